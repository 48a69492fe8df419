"""Placement policies: pure functions from a snapshot of load to changes of ownership."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from attrs import evolve, frozen

from hyssopwood.records import Move

# Keeps ratios finite for a server that may not get load yet.
MIN_CAPACITY_SLOTS = 1e-6


@frozen(kw_only=True)
class ServerLoad:
    """Describe a backend server that may own partitions.

    `share` below 1 marks a server that started recently and gets its load gradually.
    """

    name: str
    slots: int
    usable: bool = True
    removed: bool = False
    share: float = 1.0

    @property
    def capacity(self) -> float:
        """Return the slots that placement may count on."""
        return max(self.slots * self.share, MIN_CAPACITY_SLOTS) if self.usable else 0.0


@frozen(kw_only=True)
class PartitionLoad:
    """Describe a partition: its owner, its load in busy slots and where a ticket pins it.

    `holder` is a previous owner that has not released it yet. `movable` is false while a move is
    under way and for some time after one.
    """

    name: str
    owner: str = ""
    load: float = 0.0
    holder: str = ""
    pin: str = ""
    movable: bool = True


@frozen(kw_only=True)
class KeyLoad:
    """Describe a key that may deserve a partition of its own, or has one.

    `shard` is the partition that the key hashes to; `partition` is its own.
    """

    key: str
    shard: str
    partition: str
    load: float
    cold: bool = False


@frozen(kw_only=True)
class Snapshot:
    """Hold the load of one service."""

    servers: tuple[ServerLoad, ...]
    partitions: tuple[PartitionLoad, ...]
    hot_candidates: tuple[KeyLoad, ...] = ()
    isolated: tuple[KeyLoad, ...] = ()


@frozen(kw_only=True)
class RebalanceLimits:
    """Bound rebalancing.

    A server is overloaded above `hysteresis` times its fair share, and underloaded below the
    inverse. A move must gain more slot-seconds within `horizon_s` than it makes unavailable in
    `move_unavailable_s`, and at least `min_gain_ratio` of a server's mean load.
    """

    hysteresis: float = 1.3
    horizon_s: float = 10.0
    move_unavailable_s: float = 0.1
    min_gain_ratio: float = 0.03
    # A key is isolated when it is this part of its server's slots and of its shard's load.
    hot_slot_ratio: float = 0.1
    hot_shard_ratio: float = 0.25
    max_hot_keys: int = 32


@frozen(kw_only=True)
class HotKeyChanges:
    """Hold the keys to isolate, the isolated keys to merge back, and the moves that allow it."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    moves: tuple[Move, ...] = ()


def required_moves(snapshot: Snapshot) -> tuple[Move, ...]:
    """Return the moves that can't wait: partitions without a usable owner, and pins."""
    servers = {server.name: server for server in snapshot.servers}
    usable = [server for server in snapshot.servers if server.usable]
    moves: list[Move] = []
    unowned: list[PartitionLoad] = []
    for part in snapshot.partitions:
        owner = servers.get(part.owner)
        pin = servers.get(part.pin)
        if pin is not None and pin.usable:
            if part.owner != part.pin:
                moves.append(Move(partition=part.name, target=part.pin))
        elif owner is None or not owner.usable:
            unowned.append(part)
    if not usable:
        return (*moves, *_releases(unowned, servers))
    return (*moves, *_spread(unowned, usable, _loads(snapshot)))


def _releases(
    unowned: Iterable[PartitionLoad], servers: Mapping[str, ServerLoad]
) -> Iterable[Move]:
    """Yield moves that leave the partitions of removed servers without an owner."""
    for part in unowned:
        owner = servers.get(part.owner)
        if part.owner and (owner is None or owner.removed):
            yield Move(partition=part.name, target="")


def _spread(
    unowned: list[PartitionLoad], usable: list[ServerLoad], loads: dict[str, float]
) -> Iterable[Move]:
    """Assign partitions to the least loaded servers, the heaviest first.

    A partition that a usable server has not released yet returns to it, which takes no release.
    """
    capacities = {server.name: server.capacity for server in usable}
    mean = sum(part.load for part in unowned) / max(len(unowned), 1)

    def entry(name: str) -> tuple[float, str]:
        # The ratio after one more partition keeps idle servers of small capacity from the top.
        return (loads[name] + mean) / capacities[name], name

    heap = [entry(server.name) for server in usable]
    heapq.heapify(heap)
    for part in sorted(unowned, key=lambda item: (-item.load, item.name)):
        target = part.holder
        if target not in capacities:
            _, target = heapq.heappop(heap)
            loads[target] += part.load
            heapq.heappush(heap, entry(target))
        yield Move(partition=part.name, target=target)


def _loads(snapshot: Snapshot) -> dict[str, float]:
    loads = {server.name: 0.0 for server in snapshot.servers}
    for part in snapshot.partitions:
        if part.owner in loads:
            loads[part.owner] += part.load
    return loads


class _Balance:
    """Hold the loads of the usable servers while moves are chosen."""

    def __init__(self, snapshot: Snapshot, limits: RebalanceLimits) -> None:
        self.limits = limits
        self.loads = _loads(snapshot)
        usable = [server for server in snapshot.servers if server.usable]
        self.capacities = {server.name: server.capacity for server in usable}
        total = sum(self.loads[name] for name in self.capacities)
        self.fair = total / sum(self.capacities.values()) if usable else 0.0
        self.min_gain = limits.min_gain_ratio * total / max(len(usable), 1)

    def ratio(self, name: str) -> float:
        """Return a server's load relative to its fair share."""
        return self.loads[name] / (self.fair * self.capacities[name])

    def room(self, name: str) -> float:
        """Return the load that a server lacks to its fair share."""
        return self.fair * self.capacities[name] - self.loads[name]

    def overloaded(self) -> list[str]:
        """Return the servers above the hysteresis, the most overloaded first."""
        return [name for name in self.sources() if self.ratio(name) > self.limits.hysteresis]

    def sources(self) -> list[str]:
        """Return the servers above their fair share, the most loaded first."""
        if self.fair <= 0:
            return []
        above = [name for name in self.capacities if self.ratio(name) > 1]
        return sorted(above, key=lambda name: (-self.ratio(name), name))

    def is_underloaded(self, name: str) -> bool:
        """Return whether a server is below the inverse of the hysteresis."""
        return self.ratio(name) * self.limits.hysteresis < 1

    def gain(self, load: float, source: str, target: str) -> float:
        """Return the slot-seconds that a move gains, less those it makes unavailable.

        The gain in slots follows the sum of the squared differences from the fair shares: it is
        largest for half of the difference between both servers and 0 for all of it.
        """
        difference = self.room(target) - self.room(source)
        gained = load * (1 - load / difference) if difference > 0 else 0.0
        if gained < self.min_gain:
            return 0.0
        return gained * self.limits.horizon_s - load * self.limits.move_unavailable_s

    def move(self, load: float, source: str, target: str) -> None:
        """Account for a move."""
        self.loads[source] -= load
        self.loads[target] += load


def rebalancing_moves(snapshot: Snapshot, limits: RebalanceLimits, budget: int) -> tuple[Move, ...]:
    """Return at most `budget` moves from overloaded servers to those with the most room."""
    balance = _Balance(snapshot, limits)
    owned: dict[str, list[PartitionLoad]] = {name: [] for name in balance.capacities}
    for part in snapshot.partitions:
        if part.owner in owned and part.movable and not part.pin:
            owned[part.owner].append(part)
    moves: list[Move] = []
    while len(moves) < budget:
        chosen = _best_move(balance, owned)
        if chosen is None:
            break
        part, target = chosen
        owned[part.owner].remove(part)
        balance.move(part.load, part.owner, target)
        moves.append(Move(partition=part.name, target=target))
    return tuple(moves)


def _best_move(
    balance: _Balance, owned: Mapping[str, list[PartitionLoad]]
) -> tuple[PartitionLoad, str] | None:
    """Return the best move off the most loaded server that has a worthwhile one."""
    sources = balance.sources()
    if not sources:
        return None
    target = max(balance.capacities, key=lambda name: (balance.room(name), name))
    if not balance.is_underloaded(target):
        sources = balance.overloaded()
    for source in sources:
        gains = [
            (balance.gain(part.load, source, target), part.name, part) for part in owned[source]
        ]
        best = max(gains, key=lambda item: item[:2], default=None)
        if best is not None and best[0] > 0:
            return best[2], target
    return None


def hot_key_changes(snapshot: Snapshot, limits: RebalanceLimits, budget: int) -> HotKeyChanges:
    """Isolate the hot keys of overloaded servers and merge back keys that are no longer hot.

    An isolated key stays with its server at first; rebalancing then moves it or its neighbours.
    """
    parts = {part.name: part for part in snapshot.partitions}
    merge = _merges(snapshot, parts, budget)
    room = limits.max_hot_keys - len(snapshot.isolated)
    overloaded = set(_Balance(snapshot, limits).overloaded())
    slots = {server.name: server.slots for server in snapshot.servers}
    added = []
    for key in sorted(snapshot.hot_candidates, key=lambda item: (-item.load, item.key)):
        shard = parts.get(key.shard)
        if shard is None or shard.holder or shard.owner not in overloaded:
            continue
        large = key.load >= limits.hot_slot_ratio * slots[shard.owner]
        if large and key.load >= limits.hot_shard_ratio * shard.load:
            added.append(key.key)
    return evolve(merge, added=tuple(added[: max(room, 0)]))


def _merges(snapshot: Snapshot, parts: Mapping[str, PartitionLoad], budget: int) -> HotKeyChanges:
    removed: list[str] = []
    moves: list[Move] = []
    for key in snapshot.isolated:
        own, shard = parts.get(key.partition), parts.get(key.shard)
        if not key.cold or own is None or shard is None or own.pin:
            continue
        if own.holder or shard.holder or not shard.owner:
            continue
        if own.owner == shard.owner:
            removed.append(key.key)
        elif own.movable and len(moves) < budget:
            moves.append(Move(partition=own.name, target=shard.owner))
    return HotKeyChanges(removed=tuple(removed), moves=tuple(moves))
