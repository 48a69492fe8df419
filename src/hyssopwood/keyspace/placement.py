"""Placement of key ranges on servers.

Demand shifts over time and busy keys are adjacent, so with ranges of equal size one or two servers
would get the peak; servers also differ in speed. Load moves in small parts from the server with the
most load for its capacity to the one with the least; parts with the fewest keys for their load are
moved first.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from attrs import define, evolve, frozen

from hyssopwood.keyspace.key_load import LoadMap
from hyssopwood.keyspace.plan import KeyRange

# Tolerated difference between the most and the least loaded server, as a share of the mean.
TOLERATED_IMBALANCE = 0.4
# Standard deviations by which a server's count of requests must exceed the mean before load is
# moved off it: a short run of requests doesn't reach it, the peak of a cold start does at once.
EXCESS_SIGNIFICANCE = 2.5
# Standard deviations for the difference of two servers; among many pairs some differ by chance.
DIFFERENCE_SIGNIFICANCE = 3.5
# Share of a server's mean load below which a move isn't worth the time without an owner.
MIN_MOVE_SHARE = 0.12
# Share of the wanted load that a move must bring at least.
MIN_PART_SHARE = 0.4
# Limits of a target's load after a move, relative to the mean and to the source's load before it.
MAX_TARGET_LOAD_SHARE = 1.25
MAX_TARGET_TO_SOURCE_SHARE = 0.7
# Moves of one round: at least MIN_MOVES_PER_ROUND, more in proportion to the servers. Keys that
# become hot are on one server and need capacity of all others. Planning 36 moves among 213 servers
# takes 20 ms.
MIN_MOVES_PER_ROUND = 12
SERVERS_PER_MOVE = 6
# A lost range is divided so that each part has at most this share of a server's mean load.
LOST_PART_SHARE = 0.35
MAX_PARTS = 8


@frozen
class CandidateServer:
    """A server that may own keys, with its load in requests per second and its capacity."""

    incarnation: tuple[str, int]
    rate: float
    capacity: float
    keys: int
    # Load that the server's own limit allows; None for no limit.
    max_rate: float | None = None


@frozen
class Move:
    """A move of an inclusive range of keys to another server."""

    first: int
    last: int
    target: tuple[str, int]


@define
class _Server:
    incarnation: tuple[str, int]
    rate: float
    capacity: float
    # Owns no key yet; a server that has just joined is given keys without waiting for a peak.
    idle: bool
    limited: bool = False
    # May lose no more keys in this round: each release is a request to a server with a limit.
    settled: bool = False

    @property
    def ratio(self) -> float:
        return self.rate / self.capacity


def _servers(candidates: Sequence[CandidateServer]) -> list[_Server]:
    unlimited = [candidate for candidate in candidates if candidate.max_rate is None]
    spare = sum(candidate.capacity for candidate in unlimited)
    # Load of the other servers in relation to their capacity once each limit is kept.
    rest = sum(candidate.rate for candidate in candidates) - sum(
        candidate.max_rate for candidate in candidates if candidate.max_rate is not None
    )
    mean = rest / spare if spare else 0.0
    return [
        _Server(
            candidate.incarnation,
            candidate.rate,
            _limited_capacity(candidate, mean),
            not candidate.keys,
            candidate.max_rate is not None,
        )
        for candidate in candidates
    ]


def _limited_capacity(candidate: CandidateServer, mean: float) -> float:
    """Return the capacity at which a server's share of the mean load is within its limit."""
    if candidate.max_rate is None or mean <= 0:
        return candidate.capacity
    return min(candidate.capacity, candidate.max_rate / mean)


def distribute_lost_ranges(
    lost: Sequence[KeyRange], candidates: Sequence[CandidateServer], load: LoadMap
) -> Iterator[Move]:
    """Yield moves that divide lost ranges among the usable servers by load and capacity."""
    servers = _servers(candidates)
    total = sum(server.rate for server in servers) + sum(
        load.rate(keys.first, keys.last) for keys in lost
    )
    mean = total / len(servers)
    for keys in lost:
        for first, last in _divide(keys, load, mean * LOST_PART_SHARE):
            rate = load.rate(first, last)
            target = min(servers, key=lambda item: (item.rate + rate) / item.capacity)
            target.rate += rate
            yield Move(first, last, target.incarnation)


def _divide(keys: KeyRange, load: LoadMap, most: float) -> Iterator[tuple[int, int]]:
    rate = load.rate(keys.first, keys.last)
    count = min(MAX_PARTS, max(1, math.ceil(rate / most)))
    first = keys.first
    for left in range(count, 1, -1):
        last = load.cut_from_first(first, keys.last, load.rate(first, keys.last) / left)
        if last >= keys.last:
            break
        yield first, last
        first = last + 1
    yield first, keys.last


def plan_moves(
    movable: Sequence[KeyRange], candidates: Sequence[CandidateServer], load: LoadMap
) -> tuple[Move, ...]:
    """Return the next moves that balance the load, or none if it is balanced enough."""
    if len(candidates) < 2:
        return ()
    servers = _servers(candidates)
    mean = sum(server.rate for server in servers) / sum(server.capacity for server in servers)
    left = list(movable)
    moves: list[Move] = []
    for _ in range(max(MIN_MOVES_PER_ROUND, len(servers) // SERVERS_PER_MOVE)):
        move = _next_move(left, servers, mean, load)
        if move is None:
            break
        keys, chosen = move
        left.remove(keys)
        left += _remainders(keys, chosen)
        moves.append(chosen)
    return tuple(moves)


def _remainders(keys: KeyRange, move: Move) -> Iterator[KeyRange]:
    """Yield the parts of a range that a move leaves."""
    if keys.first < move.first:
        yield evolve(keys, last=move.first - 1)
    if move.last < keys.last:
        yield evolve(keys, first=move.last + 1)


def _next_move(
    movable: list[KeyRange], servers: list[_Server], mean: float, load: LoadMap
) -> tuple[KeyRange, Move] | None:
    target = min(servers, key=lambda server: (not server.idle, server.ratio))
    sources = [server for server in servers if not server.settled]
    for source in sorted(sources, key=lambda server: server.ratio, reverse=True):
        if not target.idle and not _is_uneven(source, target, mean, load):
            return None
        excess = _excess(source, target, mean)
        if excess < MIN_MOVE_SHARE * mean * target.capacity:
            continue
        found = _choose_part(source, target, mean, movable, excess, load)
        if found is None:
            continue
        keys, first, last = found
        rate = load.rate(first, last)
        source.rate -= rate
        target.rate += rate
        target.idle = False
        source.settled = source.limited
        return keys, Move(first, last, target.incarnation)
    return None


def _is_uneven(source: _Server, target: _Server, mean: float, load: LoadMap) -> bool:
    if source.ratio - target.ratio <= TOLERATED_IMBALANCE * mean:
        return False
    expected = load.count(mean * source.capacity)
    counted = load.count(source.rate)
    if counted - expected > EXCESS_SIGNIFICANCE * math.sqrt(expected + 1):
        return True
    # The load that a recovered server lacks may be spread over others, each with a small excess.
    fair = counted * target.capacity / source.capacity
    lacking = load.count(target.rate)
    return fair - lacking > DIFFERENCE_SIGNIFICANCE * math.sqrt(fair + lacking + 1)


def _excess(source: _Server, target: _Server, mean: float) -> float:
    if target.idle:
        return min(source.rate / 2, mean * target.capacity)
    return min(source.rate - mean * source.capacity, mean * target.capacity - target.rate)


def _choose_part(
    source: _Server,
    target: _Server,
    mean: float,
    movable: list[KeyRange],
    excess: float,
    load: LoadMap,
) -> tuple[KeyRange, int, int] | None:
    """Return the part of the source's ranges with about the excess load and the fewest keys."""
    # A part that can't be divided further may exceed the load that the target lacks, but must leave
    # the target well below the source.
    most = (
        max(MAX_TARGET_LOAD_SHARE * mean, MAX_TARGET_TO_SOURCE_SHARE * source.ratio)
        * target.capacity
        - target.rate
    )
    best: tuple[int, KeyRange, int, int] | None = None
    for keys in movable:
        if keys.incarnation != source.incarnation:
            continue
        for first, last in _end_parts(keys, excess, load):
            rate = load.rate(first, last)
            if not MIN_PART_SHARE * excess <= rate <= most:
                continue
            size = last - first + 1
            if best is None or size < best[0]:
                best = (size, keys, first, last)
    return None if best is None else best[1:]


def _end_parts(keys: KeyRange, excess: float, load: LoadMap) -> Iterator[tuple[int, int]]:
    yield keys.first, load.cut_from_first(keys.first, keys.last, excess)
    yield load.cut_from_last(keys.first, keys.last, excess), keys.last
