"""The requests that a caller sends: arrival times, keys, operations and work."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import accumulate

from attrs import field, frozen


@frozen
class Surge:
    """Multiply the rate between two times since the start."""

    start_s: float
    end_s: float
    factor: float


@frozen
class HotKey:
    """Send a share of all requests to one key between two times since the start."""

    key: str
    share: float
    start_s: float
    end_s: float


@frozen(kw_only=True)
class Demand:
    """Describe an open-loop load."""

    rate_per_s: float
    duration_s: float
    max_requests: int = 1_000_000
    keys: int = 1_000
    key_prefix: str = "key"
    zipf: float = 0.9
    work_ms: float = 10
    straggler_share: float = 0.0
    straggler_ms: float = 1_000
    once_share: float = 0.3
    keyless_share: float = 0.0
    repeatable_operation: str = "read"
    once_operation: str = "adopt"
    answer_bytes: int = 256
    surges: tuple[Surge, ...] = ()
    hot_keys: tuple[HotKey, ...] = ()
    seed: int = 1


@frozen
class Request:
    """One request to send `due_s` after the start.

    `keyless` requests must not be repeated and carry no idempotency key, so nobody may send them
    twice.
    """

    number: int
    due_s: float
    key: str
    operation: str
    repeatable: bool
    keyless: bool
    work_ms: float
    answer_bytes: int
    nonce: str = field(default="")


class KeyMix:
    """Draw keys with Zipf frequencies."""

    def __init__(self, count: int, exponent: float, prefix: str, source: random.Random) -> None:
        self._source = source
        self._names = [f"{prefix}-{index}" for index in range(count)]
        weights = (1 / (rank**exponent) for rank in range(1, count + 1))
        self._cumulative = list(accumulate(weights))

    def draw(self) -> str:
        return self._source.choices(self._names, cum_weights=self._cumulative)[0]


def rate_at(demand: Demand, at_s: float) -> float:
    """Return the requests per second in force at a time since the start."""
    rate = demand.rate_per_s
    for surge in demand.surges:
        if surge.start_s <= at_s < surge.end_s:
            rate *= surge.factor
    return rate


def requests_of(demand: Demand, nonce_prefix: str) -> Iterator[Request]:
    """Yield the requests in order of time; the same seed yields the same requests."""
    source = random.Random(demand.seed)
    mix = KeyMix(demand.keys, demand.zipf, demand.key_prefix, source)
    due_s = 0.0
    for number in range(1, demand.max_requests + 1):
        due_s += source.expovariate(rate_at(demand, due_s))
        if due_s >= demand.duration_s:
            return
        yield _request(demand, mix, source, number, due_s, f"{nonce_prefix}-{number}")


def _request(
    demand: Demand, mix: KeyMix, source: random.Random, number: int, due_s: float, nonce: str
) -> Request:
    once = source.random() < demand.once_share
    straggles = source.random() < demand.straggler_share
    return Request(
        number=number,
        due_s=due_s,
        key=_hot_key_at(demand, due_s, source) or mix.draw(),
        operation=demand.once_operation if once else demand.repeatable_operation,
        repeatable=not once,
        keyless=once and source.random() < demand.keyless_share,
        work_ms=demand.straggler_ms if straggles else demand.work_ms,
        answer_bytes=demand.answer_bytes,
        nonce=nonce,
    )


def _hot_key_at(demand: Demand, at_s: float, source: random.Random) -> str | None:
    for hot in demand.hot_keys:
        if hot.start_s <= at_s < hot.end_s and source.random() < hot.share:
            return hot.key
    return None
