"""A timer service whose time changes only when a test advances it."""

import asyncio
import heapq
import itertools

SETTLE_ROUNDS = 50


class ManualTimers:
    """Timer service whose clock is controlled by the test."""

    def __init__(self, start_s=1000.0):
        self._now = start_s
        self._timers = []
        self._sequence = itertools.count()

    def now(self):
        return self._now

    def wall_ms(self):
        return int(self._now * 1000)

    async def sleep(self, seconds):
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._timers, (self._now + seconds, next(self._sequence), future))
        await future

    def call_later(self, seconds, callback):
        future = asyncio.get_running_loop().create_future()
        due = self._now + max(0.0, seconds)
        heapq.heappush(self._timers, (due, next(self._sequence), future))
        future.add_done_callback(lambda done: None if done.cancelled() else callback())
        return future

    async def ticks(self, interval_s):
        due = self._now
        while True:
            yield self._now
            due = max(due + interval_s, self._now)
            await self.sleep(due - self._now)

    async def settle(self):
        """Let runnable tasks run until they wait for a timer or for input."""
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)

    async def advance(self, seconds):
        """Advance the time and fire due timers in order."""
        end = self._now + seconds
        await self.settle()
        while self._timers and self._timers[0][0] <= end:
            due, _, future = heapq.heappop(self._timers)
            self._now = max(self._now, due)
            if not future.done():
                future.set_result(None)
            await self.settle()
        self._now = end
        await self.settle()

    def jump(self, seconds):
        """Advance the time without firing timers, as after a pause of the process."""
        self._now += seconds
