"""How often an instance calls a store that doesn't answer.

It answers an outage of the store while no leader gives news: three parts of each instance would ask
several times a second, and a store that returns would be met by all of them at once. After failures
in a row only one call at a time is made, at intervals that grow and are spread over the instances.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from attrs import define, field

from hyssopwood.errors import LogError, LogUnavailableError
from hyssopwood.timers import Timers

# Failures in a row after which calls are held back; a store that loses single answers is none.
TOLERATED_FAILURES = 2
# Shortest interval of calls to a store that is away.
MIN_INTERVAL_S = 0.4
# Longest interval as a share of the time in which a configuration must be in force. With SPREAD an
# instance finds the store back within half of that time.
APPLY_TIME_SHARE = 0.4
INTERVAL_GROWTH_FACTOR = 1.6
# Part by which intervals differ at random.
JITTER_SHARE = 0.2
# Longest wait for the answer to a call made while the store is held to be away. Silent stores leave
# calls unanswered; one that works 60 times slower than usual answers in 0.24 s.
PROBE_TIMEOUT_S = 0.6
# Bound of a deployment that states none; the shortest one seen.
DEFAULT_APPLY_S = 2.0


def longest_interval_s(apply_s: float) -> float:
    """Return the longest interval of calls where configurations must be in force in `apply_s`."""
    return max(MIN_INTERVAL_S, APPLY_TIME_SHARE * apply_s)


Answer = TypeVar("Answer")


@define
class StoreAvailability:
    """Tell the parts of one instance when to call the store."""

    _timers: Timers
    _random: random.Random = field(factory=random.Random)
    _max_interval_s: float = longest_interval_s(DEFAULT_APPLY_S)
    _failures: int = field(default=0, init=False)
    _next_call_at: float = field(default=float("-inf"), init=False)
    _last_failure_at: float = field(default=float("-inf"), init=False)
    _answered: asyncio.Event = field(factory=asyncio.Event, init=False)

    @property
    def unavailable(self) -> bool:
        """Return whether calls are held back."""
        return self._failures > TOLERATED_FAILURES

    def may_call(self) -> bool:
        """Return whether to call now; while the store is away, one caller is let through."""
        if not self.unavailable:
            return True
        now = self._timers.now()
        if now < self._next_call_at:
            return False
        self._next_call_at = now + self._interval_s()
        return True

    async def wait_until_allowed(self) -> None:
        """Wait until the next call may be made, or until the store has answered another part."""
        if not self.unavailable:
            return
        try:
            async with asyncio.timeout(max(0.0, self._next_call_at - self._timers.now())):
                await self._answered.wait()
        except TimeoutError:
            return

    async def call(self, work: Callable[[], Awaitable[Answer]]) -> Answer:
        """Make a call and note how it ended; raise LogError if it failed."""
        started_at = self._timers.now()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S if self.unavailable else None):
                answer = await work()
        except TimeoutError as error:
            self.record_failure(started_at)
            raise LogUnavailableError("the store didn't answer in time") from error
        except LogError:
            self.record_failure(started_at)
            raise
        self.record_success()
        return answer

    def record_success(self) -> None:
        """Note that the store has answered."""
        self._failures = 0
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()

    def record_failure(self, started_at: float) -> None:
        """Note a call begun at `began` that failed; calls made side by side count once."""
        if started_at < self._last_failure_at:
            return
        self._last_failure_at = self._timers.now()
        self._failures += 1
        # Counted from the call's start, so that one that hangs doesn't delay the next.
        self._next_call_at = max(self._last_failure_at, started_at + self._interval_s())

    def _interval_s(self) -> float:
        steps = max(0, self._failures - TOLERATED_FAILURES - 1)
        interval_s = min(self._max_interval_s, MIN_INTERVAL_S * INTERVAL_GROWTH_FACTOR**steps)
        return interval_s * (1 + JITTER_SHARE * (2 * self._random.random() - 1))
