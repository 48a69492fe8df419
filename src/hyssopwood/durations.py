"""Learned durations of operations, with bounded memory and decay."""

from __future__ import annotations

import math
from collections import OrderedDict
from enum import StrEnum

from hyssopwood.timers import Timers

# Bucket bounds grow by 2**(1/4): the error of a quantile stays below 19%.
BUCKETS_PER_DOUBLING = 4
SHORTEST_S = 0.0001
BUCKETS = 96
HALF_LIFE_S = 60.0
# Weights grow instead of old ones shrinking; they are scaled down at this limit.
RESCALE_WEIGHT = 1e6
HIGH_QUANTILE = 0.95
# The quantile is read on each decision and computed once per this many records.
QUANTILE_RECORDS = 32
# Below this many decayed records the class from the ticket is used instead.
MIN_WEIGHT = 5.0
PRIOR_SHORT_S = 0.02
PRIOR_LONG_S = 1.0
LONG_S = 0.25
MAX_OPERATIONS = 4096


class WorkClass(StrEnum):
    """Class of work; short work is served before long work."""

    SHORT = "short"
    LONG = "long"


def _bucket(duration_s: float) -> int:
    if duration_s <= SHORTEST_S:
        return 0
    index = math.ceil(math.log2(duration_s / SHORTEST_S) * BUCKETS_PER_DOUBLING)
    return min(index, BUCKETS - 1)


_BOUNDS_S = tuple(SHORTEST_S * 2 ** (index / BUCKETS_PER_DOUBLING) for index in range(BUCKETS))


class _Samples:
    """Histogram of one operation with exponentially decaying weights."""

    __slots__ = ("buckets", "total", "weighted", "start", "high", "high_age")

    def __init__(self, now: float) -> None:
        self.buckets = [0.0] * BUCKETS
        self.total = 0.0
        self.weighted = 0.0
        self.start = now
        self.high = 0.0
        self.high_age = QUANTILE_RECORDS

    def record(self, now: float, duration_s: float) -> None:
        weight = 2.0 ** ((now - self.start) / HALF_LIFE_S)
        if weight > RESCALE_WEIGHT:
            self._rescale(now, weight)
            weight = 1.0
        self.buckets[_bucket(duration_s)] += weight
        self.total += weight
        self.weighted += weight * duration_s
        self.high_age += 1

    def _rescale(self, now: float, weight: float) -> None:
        self.buckets = [count / weight for count in self.buckets]
        self.total /= weight
        self.weighted /= weight
        self.start = now

    def current_weight(self, now: float) -> float:
        return self.total * 2.0 ** ((self.start - now) / HALF_LIFE_S)

    def quantile(self) -> float:
        if self.high_age >= QUANTILE_RECORDS:
            self.high = self._compute_quantile(HIGH_QUANTILE)
            self.high_age = 0
        return self.high

    def _compute_quantile(self, quantile: float) -> float:
        wanted = self.total * quantile
        seen = 0.0
        for bound, count in zip(_BOUNDS_S, self.buckets, strict=True):
            seen += count
            if seen >= wanted:
                return bound
        return _BOUNDS_S[-1]

    def residual(self, elapsed_s: float) -> float | None:
        first = _bucket(elapsed_s) + 1
        above = self.buckets[first:]
        total = sum(above)
        if not total:
            return None
        weighted = sum(bound * count for bound, count in zip(_BOUNDS_S[first:], above, strict=True))
        return weighted / total - elapsed_s


class Durations:
    """Learn the mean and a high quantile per service and operation."""

    def __init__(self, timers: Timers, max_operations: int = MAX_OPERATIONS) -> None:
        self._timers = timers
        self._max_operations = max_operations
        self._samples: OrderedDict[tuple[str, str], _Samples] = OrderedDict()

    def __len__(self) -> int:
        return len(self._samples)

    def record(self, service: str, operation: str, duration_s: float) -> None:
        """Add the duration of a completed request."""
        now = self._timers.now()
        samples = self._samples.get((service, operation))
        if samples is None:
            samples = self._samples[service, operation] = _Samples(now)
            if len(self._samples) > self._max_operations:
                self._samples.popitem(last=False)
        self._samples.move_to_end((service, operation))
        samples.record(now, max(0.0, duration_s))

    def mean(self, service: str, operation: str, declared: str = WorkClass.SHORT) -> float:
        """Return the expected duration in seconds."""
        samples = self._known(service, operation)
        if samples is None:
            return PRIOR_LONG_S if declared == WorkClass.LONG else PRIOR_SHORT_S
        return samples.weighted / samples.total

    def high(self, service: str, operation: str, declared: str = WorkClass.SHORT) -> float:
        """Return the 95th percentile in seconds."""
        samples = self._known(service, operation)
        if samples is None:
            return PRIOR_LONG_S if declared == WorkClass.LONG else LONG_S
        return samples.quantile()

    def residual(
        self, service: str, operation: str, elapsed_s: float, declared: str = WorkClass.SHORT
    ) -> float:
        """Return the expected remaining seconds of work that already ran `elapsed_s`."""
        samples = self._known(service, operation)
        left = samples.residual(elapsed_s) if samples is not None else None
        if left is not None:
            return max(0.0, left)
        # Nothing ran that long before: work that has run for t is expected to need t more.
        return max(self.mean(service, operation, declared) - elapsed_s, elapsed_s)

    def classify(self, service: str, operation: str, declared: str) -> WorkClass:
        """Return the class by learned duration, or the declared one while little is known."""
        samples = self._known(service, operation)
        if samples is None:
            return WorkClass.LONG if declared == WorkClass.LONG else WorkClass.SHORT
        mean = samples.weighted / samples.total
        return WorkClass.LONG if mean >= LONG_S else WorkClass.SHORT

    def _known(self, service: str, operation: str) -> _Samples | None:
        samples = self._samples.get((service, operation))
        if samples is None or samples.current_weight(self._timers.now()) < MIN_WEIGHT:
            return None
        return samples
