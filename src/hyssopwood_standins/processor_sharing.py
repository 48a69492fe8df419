"""Simulated work that slows down when more of it runs than there are slots."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

MIN_TIMER_S = 0.0005


class ProcessorSharing:
    """Divide `slots` equally among the running work.

    Progress is measured in virtual time, which advances by min(1, slots / running) per second:
    running more work than there are slots adds no capacity.
    """

    def __init__(self, slots: int, now: Callable[[], float] = time.monotonic) -> None:
        self._slots = slots
        self._now = now
        self._virtual_s = 0.0
        self._updated_at = now()
        self._job_numbers = itertools.count()
        self._jobs: list[tuple[float, int, asyncio.Future[None]]] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        return len(self._jobs)

    async def run(self, seconds: float) -> None:
        """Return when `seconds` of work are done; cancellation frees the slot."""
        self._advance()
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        job = (self._virtual_s + seconds, next(self._job_numbers), future)
        heapq.heappush(self._jobs, job)
        self._schedule_timer()
        try:
            await future
        finally:
            self._remove(job)

    def _rate(self) -> float:
        return min(1.0, self._slots / self.running) if self.running else 1.0

    def _advance(self) -> None:
        now = self._now()
        self._virtual_s += (now - self._updated_at) * self._rate()
        self._updated_at = now

    def _remove(self, job: tuple[float, int, asyncio.Future[None]]) -> None:
        if job not in self._jobs:
            return
        self._advance()
        self._jobs.remove(job)
        heapq.heapify(self._jobs)
        self._schedule_timer()

    def finish_due(self) -> None:
        """Complete all work that is due."""
        self._advance()
        while self._jobs and self._jobs[0][0] <= self._virtual_s + MIN_TIMER_S / 2:
            _, _, future = heapq.heappop(self._jobs)
            if not future.done():
                future.set_result(None)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._jobs:
            remaining = (self._jobs[0][0] - self._virtual_s) / self._rate()
            delay = max(MIN_TIMER_S, remaining)
            self._timer = asyncio.get_running_loop().call_later(delay, self.finish_due)
