"""Timer service: monotonic time, sleeps, delayed callbacks and periodic ticks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Protocol


class TimerHandle(Protocol):
    """Handle of a scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback."""
        ...


class Timers(Protocol):
    """Clock and timers of a component; tests inject a manual implementation."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds, for display only."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the caller for `seconds`."""
        ...

    def call_later(self, seconds: float, callback: Callable[[], None]) -> TimerHandle:
        """Call `callback` once after `seconds` unless it is cancelled."""
        ...

    def ticks(self, interval_s: float) -> AsyncIterator[float]:
        """Yield the monotonic time every `interval_s` seconds; missed ticks are skipped."""
        ...


class SystemTimers:
    """Timer service based on the system's monotonic clock."""

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
    """Timer service based on the boot-time clock, which includes time spent suspended.

    Leases must be measured with it, because the monotonic clock stops while the machine is
    suspended.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
