"""Work that slows down when more of it runs than there are slots."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

MIN_TIMER_S = 0.0005


class ProcessorSharing:
    """Share `slots` equally among the running work.

    Progress is kept as virtual time that advances by min(1, slots / running) per second, so
    running more work than slots adds no capacity.
    """

    def __init__(self, slots: int, now: Callable[[], float] = time.monotonic) -> None:
        self._slots = slots
        self._now = now
        self._virtual_s = 0.0
        self._updated = now()
        self._sequence = itertools.count()
        self._finishes: list[tuple[float, int, asyncio.Future[None]]] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        return len(self._finishes)

    async def run(self, seconds: float) -> None:
        """Return when `seconds` of work are done; cancelling frees the slot."""
        self._advance()
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (self._virtual_s + seconds, next(self._sequence), future)
        heapq.heappush(self._finishes, entry)
        self._set_timer()
        try:
            await future
        finally:
            self._remove(entry)

    def _rate(self) -> float:
        return min(1.0, self._slots / self.running) if self.running else 1.0

    def _advance(self) -> None:
        now = self._now()
        self._virtual_s += (now - self._updated) * self._rate()
        self._updated = now

    def _remove(self, entry: tuple[float, int, asyncio.Future[None]]) -> None:
        if entry not in self._finishes:
            return
        self._advance()
        self._finishes.remove(entry)
        heapq.heapify(self._finishes)
        self._set_timer()

    def finish_due(self) -> None:
        """Complete the work that is done by now."""
        self._advance()
        while self._finishes and self._finishes[0][0] <= self._virtual_s + MIN_TIMER_S / 2:
            _, _, future = heapq.heappop(self._finishes)
            if not future.done():
                future.set_result(None)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._finishes:
            remaining = (self._finishes[0][0] - self._virtual_s) / self._rate()
            delay = max(MIN_TIMER_S, remaining)
            self._timer = asyncio.get_running_loop().call_later(delay, self.finish_due)
