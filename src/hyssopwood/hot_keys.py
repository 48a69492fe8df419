"""Space-Saving heavy hitters with bounded memory and exponential decay."""

from __future__ import annotations

import heapq
import math

from attrs import define, frozen

from hyssopwood.timers import Timers

DEFAULT_CAPACITY = 128
DEFAULT_HALF_LIFE_S = 10.0
# Weights grow by 2 each half-life; rescaling well before 2**1024 avoids overflow.
MAX_SCALE_EXPONENT = 256.0


@frozen
class HotKeyRate:
    """Hold a key's decayed rate as a lower bound; the true rate is at most `rate + error`."""

    key: str
    rate: float
    error: float


@define
class _Counter:
    count: float
    error: float


class HotKeys:
    """Track the keys of one service with the highest recent weight."""

    def __init__(
        self,
        timers: Timers,
        capacity: int = DEFAULT_CAPACITY,
        half_life_s: float = DEFAULT_HALF_LIFE_S,
    ) -> None:
        self._timers = timers
        self._capacity = capacity
        self._half_life_s = half_life_s
        self._origin_s = timers.now()
        self._counters: dict[str, _Counter] = {}
        # Entries may be out of date: counts only grow, so a stale entry is never too high.
        self._heap: list[tuple[float, str]] = []

    def add(self, key: str, weight: float = 1.0) -> None:
        """Count a key; the least counter is reused when all are taken."""
        scaled = weight * self._scale()
        counter = self._counters.get(key)
        if counter is not None:
            counter.count += scaled
            return
        floor = self._evict() if len(self._counters) >= self._capacity else 0.0
        self._counters[key] = _Counter(floor + scaled, floor)
        heapq.heappush(self._heap, (floor + scaled, key))

    def top(self, limit: int = DEFAULT_CAPACITY) -> tuple[HotKeyRate, ...]:
        """Return the keys by falling rate per second."""
        to_rate = math.log(2) / self._half_life_s / self._scale()
        rates = (
            HotKeyRate(key, (counter.count - counter.error) * to_rate, counter.error * to_rate)
            for key, counter in self._counters.items()
        )
        return tuple(heapq.nlargest(limit, rates, key=lambda item: (item.rate, item.key)))

    def _scale(self) -> float:
        """Return the weight of one unit now, relative to the origin."""
        exponent = (self._timers.now() - self._origin_s) / self._half_life_s
        if exponent > MAX_SCALE_EXPONENT:
            self._rescale(exponent)
            exponent = 0.0
        return 2.0**exponent

    def _rescale(self, exponent: float) -> None:
        factor = 2.0 ** -min(exponent, 1_000.0)
        self._origin_s = self._timers.now()
        for counter in self._counters.values():
            counter.count *= factor
            counter.error *= factor
        self._heap = [(counter.count, key) for key, counter in self._counters.items()]
        heapq.heapify(self._heap)

    def _evict(self) -> float:
        """Remove the least counter and return its count."""
        while True:
            count, key = self._heap[0]
            current = self._counters[key].count
            if count == current:
                heapq.heappop(self._heap)
                del self._counters[key]
                return count
            heapq.heapreplace(self._heap, (current, key))
