"""Load of keys and speed of servers, as measured from the reports of the instances.

Load that starts or stops at hot keys must show within a second. A decayed count shows a fifth of a
new load after a second, so load would be moved repeatedly while the count grows. Blocks of keys
whose requests of the last second differ significantly from their decayed count use the last second
alone; the others use the steadier decayed count.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import deque
from itertools import accumulate
from operator import itemgetter

from attrs import define, field, frozen

from hyssopwood.keyspace.plan import KEY_COUNT
from hyssopwood.timers import Timers

# A hot key must show within a second or two, and a few requests per second must still average out.
HALF_LIFE_S = 3.0
# Requests per second that correspond to a decayed count of one.
RATE_PER_COUNT = math.log(2) / HALF_LIFE_S
DECAY_INTERVAL_S = 0.2
# Window of recent requests, which shows load that a decayed count doesn't show yet. It covers the
# report intervals of 160 instances; with more instances it misses a few requests.
RECENT_WINDOW_S = 1.0
# A new leader's first reports cover several seconds, so the window doesn't apply to them.
RECENT_WINDOW_USABLE_AFTER_S = 2.0
# Keys that are compared together: hot keys are adjacent, and single keys have too few requests.
BLOCK_KEYS = 256
# Standard deviations by which a block's recent requests must differ from its decayed count.
CHANGE_SIGNIFICANCE = 3.0
# Counts below this are dropped.
MIN_COUNT = 0.03
# Share of the load that is distributed evenly over all keys, so that idle keys have a weight too.
EVEN_SHARE = 0.1
MIN_EVEN_RATE = 0.5
SPEED_WEIGHT = 0.15
# A server may be twelve times slower for seconds; it keeps some keys, so that its recovery shows.
MIN_SPEED = 0.1
MAX_SPEED = 2.5
WARMUP_SPEED = 0.5


@frozen
class LoadMap:
    """The load of one service's keys at one moment, in requests per second."""

    _keys: tuple[int, ...]
    # Cumulative load of all keys before the one at the same index.
    _load_before: tuple[float, ...]
    _even_rate: float = field(default=MIN_EVEN_RATE)

    def count(self, rate: float) -> float:
        """Return the decayed number of requests that a rate was measured from."""
        return rate / RATE_PER_COUNT

    def rate(self, first: int, last: int) -> float:
        """Return the load of an inclusive range of keys."""
        low, high = bisect_left(self._keys, first), bisect_right(self._keys, last)
        measured = self._load_before[high] - self._load_before[low]
        return measured + self._even_rate * (last - first + 1) / KEY_COUNT

    def cut_from_first(self, first: int, last: int, rate: float) -> int:
        """Return the last key of the shortest part from `first` with the load, or `last`."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.rate(first, middle) >= rate:
                high = middle
            else:
                low = middle + 1
        return low

    def cut_from_last(self, first: int, last: int, rate: float) -> int:
        """Return the first key of the shortest part up to `last` with the load, or `first`."""
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.rate(middle, last) >= rate:
                low = middle
            else:
                high = middle - 1
        return low


@frozen
class _RequestCount:
    at: float
    service: str
    key: int
    count: float


def _by_block(rates: dict[int, float]) -> dict[int, float]:
    blocks: dict[int, float] = {}
    for key, rate in rates.items():
        block = key // BLOCK_KEYS
        blocks[block] = blocks.get(block, 0.0) + rate
    return blocks


def _differs(seen: float, expected: float) -> bool:
    """Return whether a number of requests differs significantly from the expected one."""
    return abs(seen - expected) > CHANGE_SIGNIFICANCE * math.sqrt(max(seen, expected) + 1)


@define
class KeyLoad:
    """Count requests by key with exponential decay, and estimate the speed of servers."""

    _timers: Timers
    _counts: dict[str, dict[int, float]] = field(factory=dict, init=False)
    _decayed_at: float = field(default=0.0, init=False)
    # Requests of the recent window, oldest first.
    _recent: deque[_RequestCount] = field(factory=deque, init=False)
    # Time at which the first request was recorded; None before.
    _first_recorded_at: float | None = field(default=None, init=False)
    _load_maps: dict[str, LoadMap] = field(factory=dict, init=False)
    _mean_times: dict[tuple[str, int], float] = field(factory=dict, init=False)

    def record_requests(self, service: str, key: int, count: float) -> None:
        """Add requests for a key to the counts."""
        self._decay()
        counts = self._counts.setdefault(service, {})
        counts[key] = counts.get(key, 0.0) + count
        if self._first_recorded_at is None:
            self._first_recorded_at = self._timers.now()
        self._recent.append(_RequestCount(self._timers.now(), service, key, count))

    def reset_counts(self) -> None:
        """Reset all counts; the servers keep their speeds."""
        self._counts.clear()
        self._recent.clear()
        self._load_maps.clear()
        self._first_recorded_at = None

    def counts(self) -> dict[str, dict[int, int]]:
        """Return the decayed counts by service and key, in whole requests."""
        self._decay()
        return {
            service: {key: round(count) for key, count in counts.items() if round(count)}
            for service, counts in self._counts.items()
        }

    def record_answer_time(self, incarnation: tuple[str, int], mean_s: float) -> None:
        """Add the mean time of answers of a server that weren't queued."""
        known = self._mean_times.get(incarnation)
        change = 0.0 if known is None else SPEED_WEIGHT * (mean_s - known)
        self._mean_times[incarnation] = mean_s if known is None else known + change

    def speed(self, incarnation: tuple[str, int], warmup_left_s: float) -> float:
        """Return a server's speed relative to the mean of all."""
        factor = WARMUP_SPEED if warmup_left_s > 0 else 1.0
        known = self._mean_times.get(incarnation)
        if known is None or known <= 0:
            return factor
        mean = sum(self._mean_times.values()) / len(self._mean_times)
        return factor * min(MAX_SPEED, max(MIN_SPEED, mean / known))

    def load_map(self, service: str) -> LoadMap:
        """Return the current load of a service's keys."""
        self._decay()
        known = self._load_maps.get(service)
        if known is None:
            known = self._load_maps[service] = self._build(service)
        return known

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Remove the answer times of all servers except these."""
        for incarnation in self._mean_times.keys() - incarnations:
            del self._mean_times[incarnation]

    def _build(self, service: str) -> LoadMap:
        items = sorted(self._rates(service).items(), key=itemgetter(0))
        before = tuple(accumulate((rate for _, rate in items), initial=0.0))
        even = max(MIN_EVEN_RATE, EVEN_SHARE * before[-1])
        return LoadMap(tuple(key for key, _ in items), before, even)

    def _rates(self, service: str) -> dict[int, float]:
        """Return the rate of each key, from the recent window if its block's load has changed."""
        steady = {key: n * RATE_PER_COUNT for key, n in self._counts.get(service, {}).items()}
        if (
            self._first_recorded_at is None
            or self._timers.now() - self._first_recorded_at < RECENT_WINDOW_USABLE_AFTER_S
        ):
            return steady
        recent: dict[int, float] = {}
        for item in self._recent:
            if item.service == service:
                recent[item.key] = recent.get(item.key, 0.0) + item.count / RECENT_WINDOW_S
        expected, seen = _by_block(steady), _by_block(recent)
        changed = {
            block
            for block in expected.keys() | seen.keys()
            if _differs(
                seen.get(block, 0.0) * RECENT_WINDOW_S, expected.get(block, 0.0) * RECENT_WINDOW_S
            )
        }
        rates = {key: rate for key, rate in steady.items() if key // BLOCK_KEYS not in changed}
        rates |= {key: rate for key, rate in recent.items() if key // BLOCK_KEYS in changed}
        return rates

    def _decay(self) -> None:
        now = self._timers.now()
        while self._recent and self._recent[0].at <= now - RECENT_WINDOW_S:
            self._recent.popleft()
        elapsed = now - self._decayed_at
        if elapsed < DECAY_INTERVAL_S:
            return
        self._decayed_at = now
        self._load_maps.clear()
        factor = 0.5 ** (elapsed / HALF_LIFE_S)
        for service, counts in self._counts.items():
            self._counts[service] = {
                key: count * factor for key, count in counts.items() if count * factor > MIN_COUNT
            }
