"""How often an instance calls a store that doesn't answer.

It answers an outage of the store while no leader gives news: three parts of each instance would ask
several times a second, and a store that returns would be met by all of them at once. After failures
in a row only one call at a time is made, at intervals that grow and are spread over the instances.
"""

from __future__ import annotations

import random

from attrs import define, field

from hyssopwood.timers import Timers

# Failures in a row after which calls are held back; a store that loses single answers is none.
BORNE_FAILURES = 2
# Shortest and longest interval of calls to a store that is away. Instances must know within
# seconds that it is back; with 200 of them it gets some 200 calls a second meanwhile.
LEAST_INTERVAL_S = 0.4
MOST_INTERVAL_S = 1.4
GROWTH = 1.6
# Part by which intervals differ at random.
SPREAD = 0.3


@define
class StoreAvailability:
    """Tell the parts of one instance when to call the store."""

    _timers: Timers
    _chance: random.Random = field(factory=random.Random)
    _failures: int = field(default=0, init=False)
    _next_at: float = field(default=float("-inf"), init=False)
    _noted_at: float = field(default=float("-inf"), init=False)

    def may_call(self) -> bool:
        """Return whether to call now; while the store is away, one caller is let through."""
        if self._failures <= BORNE_FAILURES:
            return True
        now = self._timers.now()
        if now < self._next_at:
            return False
        self._next_at = now + self._interval_s()
        return True

    def left_s(self) -> float:
        """Return the time until the next call may be made."""
        if self._failures <= BORNE_FAILURES:
            return 0.0
        return max(0.0, self._next_at - self._timers.now())

    def note_success(self) -> None:
        """Note that the store has answered."""
        self._failures = 0

    def note_failure(self, began: float) -> None:
        """Note a call begun at `began` that failed; calls made side by side count once."""
        if began < self._noted_at:
            return
        now = self._timers.now()
        self._noted_at = now
        self._failures += 1
        self._next_at = now + self._interval_s()

    def _interval_s(self) -> float:
        steps = max(0, self._failures - BORNE_FAILURES - 1)
        interval_s = min(MOST_INTERVAL_S, LEAST_INTERVAL_S * GROWTH**steps)
        return interval_s * (1 + SPREAD * (2 * self._chance.random() - 1))
