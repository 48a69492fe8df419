"""Permits that a coordinator gave out, and what proves that their work has ended."""

from __future__ import annotations

import itertools
import math
import secrets
from collections.abc import Iterator
from typing import Any

from attrs import define, field

from hyssopwood.messages import PermitRequest
from hyssopwood.session import ServerReport
from hyssopwood.state import ClusterState, partition_of

PERMIT_ID_BITS = 32
# An entry returns its permit when the deadline ends; after this much more it is taken for lost.
RETURN_GRACE_S = 0.25


@define(eq=False)
class Permit:
    """One slot given to one request.

    The first byte leaves the entry before `use_by`, and the server ends the work at `run_by`, the
    request's deadline. `abandoned` says that the entry no longer reports the end of the work,
    `superseded` that the server holds the partition under a newer token, so that it may not stop
    the work when its lease lapses.
    """

    id: int
    sender: str
    request: PermitRequest
    partition: str
    token: int
    issued_at: float
    use_by: float
    run_by: float
    slot: Any
    abandoned: bool = False
    superseded: bool = False
    slot_held: bool = True


@define
class PermitBook:
    """Hold the permits of one server that may still be in use.

    An abandoned permit has ended when nothing of it can arrive at the server any more (`use_by`
    plus the maximum message life) and one of these holds: the server reports that nothing runs,
    the server has restarted, its lease has lapsed and it checks fencing, or the deadline has
    passed.
    """

    message_life_s: float
    permits: dict[int, Permit] = field(factory=dict)
    _ids: Iterator[int] = field(
        factory=lambda: itertools.count(secrets.randbits(PERMIT_ID_BITS) << PERMIT_ID_BITS | 1)
    )

    def add(self, **fields: Any) -> Permit:
        """Record a new permit."""
        permit = Permit(id=next(self._ids), **fields)
        self.permits[permit.id] = permit
        return permit

    def of_request(self, sender: str, request_id: str) -> Permit | None:
        """Return the permit of a request."""
        for permit in self.permits.values():
            if permit.sender == sender and permit.request.request_id == request_id:
                return permit
        return None

    def end(self, permit: Permit) -> None:
        """Forget a permit whose work has certainly ended or never began."""
        self.permits.pop(permit.id, None)

    def abandon(self, permit: Permit, now: float) -> None:
        """Note that the end of the work will not be reported; nothing new is sent for it."""
        permit.abandoned = True
        permit.use_by = min(permit.use_by, now)

    def lose_sender(self, sender: str) -> None:
        """Note that an entry can't be heard; it may still use its permits."""
        for permit in self.permits.values():
            if permit.sender == sender:
                permit.abandoned = True

    def quiet_at(self) -> float:
        """Return the time from which no permit can start new work, -inf without permits."""
        ends = [permit.use_by + self.message_life_s for permit in self.permits.values()]
        return max(ends, default=-math.inf)

    def settle_by_time(self, now: float) -> list[Permit]:
        """Remove and return permits whose deadline proves their end."""
        for permit in self.permits.values():
            if now >= permit.run_by + RETURN_GRACE_S:
                permit.abandoned = True
        return self._remove(lambda permit: now >= self._ended_at(permit))

    def settle_by_report(self, report: ServerReport) -> list[Permit]:
        """Remove and return permits whose end a session answer proves."""
        if report.running:
            return []
        return self._remove(lambda permit: report.sent_at >= self._quiet(permit))

    def settle_by_lapse(self, now: float) -> list[Permit]:
        """Remove and return permits of a server that has dropped its grants."""
        return self._remove(lambda permit: now >= self._quiet(permit) and not permit.superseded)

    def supersede(self, partition: str, token: int) -> None:
        """Note that the server holds a partition under a newer token."""
        for permit in self.permits.values():
            if permit.partition == partition and permit.token != token:
                permit.superseded = True

    def surplus_slots(self, report: ServerReport) -> list[Permit]:
        """Return abandoned permits whose slots are free, by the server's own count.

        At most `running` of them can still run; which ones doesn't matter for the slots.
        """
        lost = [permit for permit in self.permits.values() if permit.abandoned]
        if any(report.sent_at < self._quiet(permit) for permit in lost):
            return []
        holding = [permit for permit in lost if permit.slot_held]
        return holding[: max(0, len(holding) - report.running)]

    def blocks(self, state: ClusterState, partition: str, lapsed: bool = False) -> bool:
        """Return whether work on a partition may be in progress, also after the lease lapsed.

        A request counts for the partition that it was admitted for and for the one that its key
        belongs to now, because a key may have got a partition of its own meanwhile.
        """
        return any(
            partition in (permit.partition, _current_partition(state, permit.request))
            for permit in self.permits.values()
            if permit.superseded or not lapsed
        )

    def _quiet(self, permit: Permit) -> float:
        return permit.use_by + self.message_life_s

    def _ended_at(self, permit: Permit) -> float:
        return max(self._quiet(permit), permit.run_by + self.message_life_s)

    def _remove(self, ended: Any) -> list[Permit]:
        gone = [item for item in self.permits.values() if item.abandoned and ended(item)]
        for permit in gone:
            self.end(permit)
        return gone


def _current_partition(state: ClusterState, request: PermitRequest) -> str:
    if request.service not in state.services:
        return ""
    return partition_of(state, request.service, request.key)
