"""A timer service whose time moves only when a test advances it."""

import asyncio
import heapq
import itertools

SETTLE_ROUNDS = 50


class ManualTimers:
    """Give parts a time that the test controls."""

    def __init__(self, start_s=1000.0):
        self._now = start_s
        self._sleepers = []
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
        heapq.heappush(self._sleepers, (self._now + seconds, next(self._sequence), future))
        await future

    def call_later(self, seconds, callback):
        future = asyncio.get_running_loop().create_future()
        due = self._now + max(0.0, seconds)
        heapq.heappush(self._sleepers, (due, next(self._sequence), future))
        future.add_done_callback(lambda done: None if done.cancelled() else callback())
        return future

    async def ticks(self, interval_s):
        due = self._now
        while True:
            yield self._now
            due = max(due + interval_s, self._now)
            await self.sleep(due - self._now)

    async def settle(self):
        """Let every runnable task run until it waits for time or input."""
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)

    async def advance(self, seconds):
        """Move the time forward, waking sleepers in order."""
        end = self._now + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, future = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            if not future.done():
                future.set_result(None)
            await self.settle()
        self._now = end
        await self.settle()

    def jump(self, seconds):
        """Move the time without waking anyone, as a paused process sees it."""
        self._now += seconds
