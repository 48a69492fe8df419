"""Timer service: monotonic time, sleeps and periodic ticks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Protocol


class TimerHandle(Protocol):
    """Hold a callback that is due later."""

    def cancel(self) -> None:
        """Don't call back any more."""
        ...


class Timers(Protocol):
    """Give parts the time; tests inject a manual implementation."""

    def now(self) -> float:
        """Return monotonic seconds."""
        ...

    def wall_ms(self) -> int:
        """Return wall-clock milliseconds, for display only."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the caller for `seconds`."""
        ...

    def call_later(self, seconds: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back once after `seconds` unless cancelled."""
        ...

    def ticks(self, interval_s: float) -> AsyncIterator[float]:
        """Yield the time once every `interval_s` seconds; missed ticks are skipped."""
        ...


class SystemTimers:
    """Timer service on the system's monotonic clock."""

    def now(self) -> float:
        return time.monotonic()

    def wall_ms(self) -> int:
        return int(time.time() * 1000)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds))

    def call_later(self, seconds: float, callback: Callable[[], None]) -> TimerHandle:
        return asyncio.get_running_loop().call_later(max(0.0, seconds), callback)

    async def ticks(self, interval_s: float) -> AsyncIterator[float]:
        due = self.now()
        while True:
            yield self.now()
            due = max(due + interval_s, self.now())
            await self.sleep(due - self.now())


class BootTimers(SystemTimers):
    """Timer service whose time also counts while the machine is suspended.

    Leases must be measured on it: the monotonic clock stands still during a suspension.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
