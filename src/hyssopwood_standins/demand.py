"""Open-loop demand of a caller: arrival times, keys, operations and work of its requests."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import accumulate

from attrs import field, frozen


@frozen
class Surge:
    """A period, in time since the start, in which the rate is multiplied."""

    start_s: float
    end_s: float
    factor: float


@frozen
class HotKey:
    """A period, in time since the start, in which a share of all requests goes to one key."""

    key: str
    share: float
    start_s: float
    end_s: float


@frozen(kw_only=True)
class Demand:
    """An open-loop load, whose rate doesn't depend on the answers."""

    rate_per_s: float
    duration_s: float
    max_requests: int = 1_000_000
    keys: int = 1_000
    key_prefix: str = "key"
    zipf: float = 0.9
    work_ms: float = 10
    straggler_share: float = 0.0
    straggler_ms: float = 1_000
    non_idempotent_share: float = 0.3
    keyless_share: float = 0.0
    idempotent_operation: str = "read"
    non_idempotent_operation: str = "adopt"
    answer_bytes: int = 256
    surges: tuple[Surge, ...] = ()
    hot_keys: tuple[HotKey, ...] = ()
    seed: int = 1


@frozen
class Request:
    """A request to send `due_s` after the start.

    A `keyless` request is not idempotent and has no idempotency key, so neither the caller nor the
    router may send it twice.
    """

    number: int
    due_s: float
    key: str
    operation: str
    idempotent: bool
    keyless: bool
    work_ms: float
    answer_bytes: int
    nonce: str = field(default="")


class KeySampler:
    """Draw keys from a Zipf distribution."""

    def __init__(self, count: int, exponent: float, prefix: str, rng: random.Random) -> None:
        self._rng = rng
        self._names = [f"{prefix}-{index}" for index in range(count)]
        weights = (1 / (rank**exponent) for rank in range(1, count + 1))
        self._cumulative = list(accumulate(weights))

    def draw(self) -> str:
        return self._rng.choices(self._names, cum_weights=self._cumulative)[0]


def rate_at(demand: Demand, at_s: float) -> float:
    """Return the requests per second, with surges, at a time since the start."""
    rate = demand.rate_per_s
    for surge in demand.surges:
        if surge.start_s <= at_s < surge.end_s:
            rate *= surge.factor
    return rate


def generate_requests(demand: Demand, nonce_prefix: str) -> Iterator[Request]:
    """Yield requests in order of their time; equal seeds yield equal requests."""
    rng = random.Random(demand.seed)
    sampler = KeySampler(demand.keys, demand.zipf, demand.key_prefix, rng)
    due_s = 0.0
    for number in range(1, demand.max_requests + 1):
        due_s += rng.expovariate(rate_at(demand, due_s))
        if due_s >= demand.duration_s:
            return
        yield _make_request(demand, sampler, rng, number, due_s, f"{nonce_prefix}-{number}")


def _make_request(
    demand: Demand, sampler: KeySampler, rng: random.Random, number: int, due_s: float, nonce: str
) -> Request:
    non_idempotent = rng.random() < demand.non_idempotent_share
    is_straggler = rng.random() < demand.straggler_share
    return Request(
        number=number,
        due_s=due_s,
        key=_hot_key_at(demand, due_s, rng) or sampler.draw(),
        operation=(
            demand.non_idempotent_operation if non_idempotent else demand.idempotent_operation
        ),
        idempotent=not non_idempotent,
        keyless=non_idempotent and rng.random() < demand.keyless_share,
        work_ms=demand.straggler_ms if is_straggler else demand.work_ms,
        answer_bytes=demand.answer_bytes,
        nonce=nonce,
    )


def _hot_key_at(demand: Demand, at_s: float, rng: random.Random) -> str | None:
    for hot in demand.hot_keys:
        if hot.start_s <= at_s < hot.end_s and rng.random() < hot.share:
            return hot.key
    return None
