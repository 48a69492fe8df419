"""Limit on how often an instance calls a store that doesn't answer.

While the store is in an outage and no leader sends updates, three components of each instance would
call it several times a second, and all instances would hit it at once when it recovers.
After consecutive failures only one call at a time is made, at growing intervals with jitter.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from attrs import define, field

from hyssopwood.errors import LogError, LogUnavailableError
from hyssopwood.timers import Timers
from hyssopwood.transfers import watch_progress

# Consecutive failures that are tolerated before calls are limited; a store that loses single
# answers is not in an outage.
TOLERATED_FAILURES = 2
# Minimum interval between calls to an unavailable store.
MIN_INTERVAL_S = 0.4
# Maximum interval as a share of the time in which a configuration must take effect. Including the
# jitter, an instance notices within half of that time that the store is back.
APPLY_TIME_SHARE = 0.4
INTERVAL_GROWTH_FACTOR = 1.6
# Share by which intervals vary at random.
JITTER_SHARE = 0.2
# Time to the first byte of an answer while the store is considered unavailable. A store in an
# outage may leave calls unanswered; one that is 60 times slower than usual answers within 0.24 s.
PROBE_TIMEOUT_S = 0.6
# Apply time of deployments whose settings have none; the shortest one of the known deployments.
DEFAULT_APPLY_S = 2.0


def longest_interval_s(apply_s: float) -> float:
    """Return the maximum interval of calls if configurations must take effect in `apply_s`."""
    return max(MIN_INTERVAL_S, APPLY_TIME_SHARE * apply_s)


Answer = TypeVar("Answer")


@define
class StoreAvailability:
    """Limit the store calls of all components of one instance."""

    _timers: Timers
    _random: random.Random = field(factory=random.Random)
    _max_interval_s: float = longest_interval_s(DEFAULT_APPLY_S)
    _failures: int = field(default=0, init=False)
    _next_call_at: float = field(default=float("-inf"), init=False)
    _last_failure_at: float = field(default=float("-inf"), init=False)
    _answered: asyncio.Event = field(factory=asyncio.Event, init=False)

    @property
    def unavailable(self) -> bool:
        """Return whether the store is considered unavailable and calls to it are limited."""
        return self._failures > TOLERATED_FAILURES

    def may_call(self) -> bool:
        """Return whether to call now; one call per interval while the store is unavailable."""
        if not self.unavailable:
            return True
        now = self._timers.now()
        if now < self._next_call_at:
            return False
        self._next_call_at = now + self._interval_s()
        return True

    async def wait_until_allowed(self) -> None:
        """Wait until the next call may be made or the store has answered another component."""
        if not self.unavailable:
            return
        try:
            async with asyncio.timeout(max(0.0, self._next_call_at - self._timers.now())):
                await self._answered.wait()
        except TimeoutError:
            return

    async def call(self, work: Callable[[], Awaitable[Answer]]) -> Answer:
        """Make a call and record its outcome; raise LogError if it failed."""
        started_at = self._timers.now()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S if self.unavailable else None) as limit:
                # A large answer may take longer; the client bounds how slowly it arrives.
                with watch_progress(lambda: limit.reschedule(None)):
                    answer = await work()
        except TimeoutError as error:
            self.record_failure(started_at)
            raise LogUnavailableError("the store didn't answer before the timeout") from error
        except LogError:
            self.record_failure(started_at)
            raise
        self.record_success()
        return answer

    def record_success(self) -> None:
        """Record that the store has answered."""
        self._failures = 0
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()

    def record_failure(self, started_at: float) -> None:
        """Record the failure of a call started at `started_at`; concurrent calls count once."""
        if started_at < self._last_failure_at:
            return
        self._last_failure_at = self._timers.now()
        self._failures += 1
        # Measured from the start of the call, so that a call that hangs doesn't delay the next one.
        self._next_call_at = max(self._last_failure_at, started_at + self._interval_s())

    def _interval_s(self) -> float:
        steps = max(0, self._failures - TOLERATED_FAILURES - 1)
        interval_s = min(self._max_interval_s, MIN_INTERVAL_S * INTERVAL_GROWTH_FACTOR**steps)
        return interval_s * (1 + JITTER_SHARE * (2 * self._random.random() - 1))
