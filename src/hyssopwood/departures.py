"""Partitions that leave a server: asked for, frozen, drained, released or deferred."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from attrs import define, field

from hyssopwood.events import Event, emit

# A source freezes a partition only while the target asks for it, so that a target that can't
# take over costs nothing.
ASKED_WITHIN_S = 0.5
# A deferred move is retried after this many freeze periods.
DEFER_FACTOR = 4


@define
class Departures:
    """Decide when a partition is frozen, released or served again."""

    server: str
    freeze_s: float
    _asked_at: dict[str, float] = field(factory=dict)
    _frozen_at: dict[str, float] = field(factory=dict)
    _retry_at: dict[str, float] = field(factory=dict)

    def ask(self, partition: str, now: float) -> None:
        """Note that the target's coordinator waits for the partition."""
        self._asked_at[partition] = now

    def frozen(self, partition: str) -> bool:
        """Return whether permits for the partition are stopped."""
        return partition in self._frozen_at

    def wanted(self, partition: str, now: float) -> bool:
        """Return whether the target's coordinator asked a moment ago."""
        return now - self._asked_at.get(partition, -math.inf) <= ASKED_WITHIN_S

    def update(
        self,
        leaving: Iterable[str],
        unasked: Callable[[str], bool],
        drained: Callable[[str], bool],
        for_good: bool,
        now: float,
    ) -> tuple[str, ...]:
        """Return the partitions to release now; freeze, keep or resume the others."""
        leaving = set(leaving)
        self._forget_all_but(leaving)
        for partition in sorted(leaving - self._frozen_at.keys()):
            if for_good or unasked(partition) or self._may_start(partition, now):
                self._frozen_at[partition] = now
                emit(Event.PARTITION_FROZEN, server=self.server, partition=partition)
        ready = tuple(sorted(name for name in self._frozen_at if drained(name)))
        if not for_good:
            self._resume_slow(ready, now)
        return ready

    def next_check(self, now: float) -> float:
        """Return the seconds until a frozen partition has to be looked at again."""
        ends = [since + self.freeze_s for since in self._frozen_at.values()]
        return max(0.0, min(ends, default=math.inf) - now)

    def _may_start(self, partition: str, now: float) -> bool:
        return self.wanted(partition, now) and now >= self._retry_at.get(partition, now)

    def _resume_slow(self, ready: tuple[str, ...], now: float) -> None:
        for partition, since in list(self._frozen_at.items()):
            if partition not in ready and now - since >= self.freeze_s:
                del self._frozen_at[partition]
                self._retry_at[partition] = now + DEFER_FACTOR * self.freeze_s
                emit(Event.MOVE_DEFERRED, server=self.server, partition=partition)

    def _forget_all_but(self, leaving: set[str]) -> None:
        for table in (self._frozen_at, self._retry_at):
            for partition in table.keys() - leaving:
                del table[partition]
        # Requests to release may come before the state shows the move here.
        if len(self._asked_at) > 2 * len(leaving) + 64:
            self._asked_at = {k: v for k, v in self._asked_at.items() if k in leaving}
