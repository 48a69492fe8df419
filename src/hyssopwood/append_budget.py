"""Append budget: one token bucket for each kind of record."""

from __future__ import annotations

from collections import Counter

from attrs import define

from hyssopwood.timers import Timers

# Share of the instance's append rate for each kind. Rare kinds can't starve behind frequent ones
# because each has a bucket of its own.
_SHARES = {"plan": 0.5, "granted": 0.5}
_DEFAULT_SHARE = 0.25
BURST_S = 2.0
MIN_BURST = 4.0
MIN_WAIT_S = 0.001


@define
class _Bucket:
    rate_per_s: float
    burst: float
    tokens: float
    updated: float

    def wait_s(self, now: float) -> float:
        """Take a token and return 0, or return how long to wait for one."""
        self.tokens = min(self.burst, self.tokens + (now - self.updated) * self.rate_per_s)
        self.updated = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        # Rounding can leave a missing share of a token that is too small to wait for.
        return max(MIN_WAIT_S, (1 - self.tokens) / self.rate_per_s)


class AppendBudget:
    """Bound how often an instance appends each kind of record, and count the appends."""

    def __init__(self, timers: Timers, rate_per_s: float) -> None:
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._buckets: dict[str, _Bucket] = {}
        self._appended: Counter[str] = Counter()
        self._delayed: Counter[str] = Counter()

    @property
    def appended(self) -> Counter[str]:
        """Return the number of records appended, by kind."""
        return self._appended

    @property
    def delayed(self) -> Counter[str]:
        """Return how often an append waited for its budget, by kind."""
        return self._delayed

    def wait_s(self, kind: str) -> float:
        """Take a token of a kind and return 0, or return how long to wait for one."""
        wait_s = self._bucket(kind).wait_s(self._timers.now())
        counter = self._delayed if wait_s else self._appended
        counter[kind] += 1
        return wait_s

    def _bucket(self, kind: str) -> _Bucket:
        if kind not in self._buckets:
            rate = self._rate_per_s * _SHARES.get(kind, _DEFAULT_SHARE)
            burst = max(MIN_BURST, rate * BURST_S)
            self._buckets[kind] = _Bucket(rate, burst, burst, self._timers.now())
        return self._buckets[kind]
