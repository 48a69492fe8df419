"""Interface of the store that persists the plan and decides who its leader is."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from hyssopwood.keyspace.plan import Leader, Plan


@frozen
class StoredPlan:
    """The newest stored plan and leader, and the position of the next write."""

    end_position: int
    plan: Plan | None
    leader: Leader | None


class PlanStore(Protocol):
    """Store the plan; a write succeeds only if nothing else was written since `at`."""

    async def load(self) -> StoredPlan:
        """Return the stored plan and leader."""
        ...

    async def write(self, at: int, plan: Plan | None, leader: Leader) -> int:
        """Store the leader, and a plan if given, at `at`; return the position of the new end.

        The new end has a higher era than `at` if the store was restored before the write. Raise
        AppendConflictError if something else was written, and AppendUnconfirmedError if the write
        may or may not take effect, possibly later.
        """
        ...
