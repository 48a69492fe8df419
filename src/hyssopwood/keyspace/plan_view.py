"""The newest plan that an instance has received, and the ranges whose owners are releasing them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.keyspace.plan import KeyRange, Plan
from hyssopwood.timers import Timers

# A move whose plan doesn't arrive in this time may have failed; the previous owner is used again.
MAX_PAUSE_S = 1.0


@frozen
class RangePause:
    """A range whose owner is about to release it."""

    service: str
    first: int
    last: int
    # Token of the releasing owner.
    fence: int


@frozen
class _ActivePause:
    pause: RangePause
    until: float


@define
class PlanView:
    """Keep the newest plan, and notify listeners and waiters of changes."""

    _timers: Timers

    _plan: Plan | None = field(default=None, init=False)
    _changed: asyncio.Event = field(factory=asyncio.Event, init=False)
    _paused: list[_ActivePause] = field(factory=list, init=False)
    _listeners: list[Callable[[], None]] = field(factory=list, init=False)
    # Number of ranges by owner in the newest plan; None until it is asked for.
    _range_counts: Counter[tuple[str, int]] | None = field(default=None, init=False)

    @property
    def plan(self) -> Plan | None:
        """Return the newest plan, or None before the first one."""
        return self._plan

    @property
    def version(self) -> int:
        """Return the newest plan's version, or -1."""
        return -1 if self._plan is None else self._plan.version

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener after each newer plan or pause."""
        self._listeners.append(listener)

    def offer(self, plan: Plan, source: str) -> bool:
        """Accept a plan if it is newer; return whether it was accepted."""
        if plan.version <= self.version:
            return False
        self._plan = plan
        self._range_counts = None
        self._paused = [item for item in self._paused if self._still_paused(item)]
        emit(Event.PLAN_TAKEN, version=plan.version, source=source)
        self._notify()
        return True

    def pause(self, pause: RangePause) -> None:
        """Treat the range's keys as unowned until a plan names the next owner."""
        until = self._timers.now() + MAX_PAUSE_S
        self._paused.append(_ActivePause(pause, until))
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        for listener in self._listeners:
            listener()

    def _still_paused(self, item: _ActivePause) -> bool:
        if self._timers.now() >= item.until or self._plan is None:
            return False
        owner = self._plan.owner(item.pause.service, item.pause.first)
        return owner is not None and owner.fence == item.pause.fence

    def owner(self, service: str, key: int) -> KeyRange | None:
        """Return the range that contains a key, or None if it is paused or has no owner."""
        if self._plan is None or self._is_paused(service, key):
            return None
        return self._plan.owner(service, key)

    def _is_paused(self, service: str, key: int) -> bool:
        if not self._paused:
            return False
        now = self._timers.now()
        self._paused = [item for item in self._paused if now < item.until]
        return any(
            item.pause.service == service and item.pause.first <= key <= item.pause.last
            for item in self._paused
        )

    def range_count(self, incarnation: tuple[str, int]) -> int:
        """Return the number of ranges that the newest plan gives to a server incarnation."""
        if self._plan is None:
            return 0
        if self._range_counts is None:
            self._range_counts = Counter(keys.incarnation for _, keys in self._plan.ranges())
        return self._range_counts[incarnation]

    async def wait_changed(self) -> None:
        """Wait for the next newer plan or pause."""
        await self._changed.wait()
