"""Placement policies: pure functions from a snapshot of load to changes of ownership."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from attrs import frozen

from hyssopwood.records import Move


@frozen(kw_only=True)
class ServerLoad:
    """Describe a backend server that may own partitions.

    `share` below 1 marks a server that started recently and gets its load gradually.
    """

    name: str
    slots: int
    failure_domain: str = ""
    usable: bool = True
    removed: bool = False
    share: float = 1.0

    @property
    def capacity(self) -> float:
        """Return the slots that placement may count on."""
        return max(self.slots * self.share, 1e-6) if self.usable else 0.0


@frozen(kw_only=True)
class PartitionLoad:
    """Describe a partition: its owner, its load in busy slots and where a ticket pins it.

    `holder` is a previous owner that has not released it yet; `movable` is false while a move is
    under way or was made recently.
    """

    name: str
    owner: str = ""
    load: float = 0.0
    holder: str = ""
    pin: str = ""
    movable: bool = True


@frozen(kw_only=True)
class Snapshot:
    """Hold the load of one service."""

    servers: tuple[ServerLoad, ...]
    partitions: tuple[PartitionLoad, ...]


@frozen(kw_only=True)
class RebalanceLimits:
    """Bound rebalancing.

    A server counts as overloaded above `hysteresis` times its fair share. A move must take more
    slot-seconds of excess load off its source within `horizon_s` than it makes unavailable in
    `move_unavailable_s`.
    """

    hysteresis: float = 1.25
    horizon_s: float = 10.0
    move_unavailable_s: float = 0.1
    min_gain_slots: float = 0.05


def required_moves(snapshot: Snapshot) -> tuple[Move, ...]:
    """Return the moves that can't wait: partitions without a usable owner, and pins."""
    servers = {server.name: server for server in snapshot.servers}
    usable = [server for server in snapshot.servers if server.usable]
    loads = _loads(snapshot)
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
    return (*moves, *_spread(unowned, usable, loads))


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
    """Assign partitions to the least loaded servers, the heaviest first."""
    by_name = {server.name: server for server in usable}
    mean = sum(part.load for part in unowned) / max(len(unowned), 1)

    def entry(name: str) -> tuple[float, str]:
        # The ratio after one more partition keeps idle servers of small capacity from the top.
        return (loads[name] + mean) / by_name[name].capacity, name

    heap = [entry(server.name) for server in usable]
    heapq.heapify(heap)
    for part in sorted(unowned, key=lambda item: (-item.load, item.name)):
        target = part.holder
        if target not in by_name:
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


def rebalancing_moves(snapshot: Snapshot, limits: RebalanceLimits, budget: int) -> tuple[Move, ...]:
    """Return at most `budget` moves from overloaded servers to the least loaded ones."""
    usable = [server for server in snapshot.servers if server.usable]
    total_capacity = sum(server.capacity for server in usable)
    if len(usable) < 2 or total_capacity <= 0:
        return ()
    loads = _loads(snapshot)
    fair = sum(loads[server.name] for server in usable) / total_capacity
    if fair <= 0:
        return ()
    owned: dict[str, list[PartitionLoad]] = {server.name: [] for server in usable}
    for part in snapshot.partitions:
        if part.owner in owned and part.movable and not part.pin:
            owned[part.owner].append(part)
    moves: list[Move] = []
    while len(moves) < budget:
        move = _best_move(usable, owned, loads, fair, limits)
        if move is None:
            break
        part, source, target = move
        owned[source].remove(part)
        loads[source] -= part.load
        loads[target] += part.load
        moves.append(Move(partition=part.name, target=target))
    return tuple(moves)


def _best_move(
    usable: list[ServerLoad],
    owned: Mapping[str, list[PartitionLoad]],
    loads: Mapping[str, float],
    fair: float,
    limits: RebalanceLimits,
) -> tuple[PartitionLoad, str, str] | None:
    """Return the best move from the most overloaded server that has a worthwhile one."""
    ratios = {server.name: loads[server.name] / server.capacity for server in usable}
    rooms = {server.name: fair * server.capacity - loads[server.name] for server in usable}
    target = max(usable, key=lambda server: (rooms[server.name], server.name))
    room = rooms[target.name]
    for source in sorted(usable, key=lambda server: (-ratios[server.name], server.name)):
        if ratios[source.name] <= fair * limits.hysteresis:
            return None
        excess = loads[source.name] - fair * source.capacity
        best = max(
            owned[source.name],
            key=lambda part: (_net_gain(part.load, excess, room, limits), part.name),
            default=None,
        )
        if best is not None and _net_gain(best.load, excess, room, limits) > 0:
            return best, source.name, target.name
    return None


def _net_gain(load: float, excess: float, room: float, limits: RebalanceLimits) -> float:
    """Return the slot-seconds that a move gains, less those it makes unavailable."""
    relieved = min(load, excess) - max(0.0, load - room)
    if relieved < limits.min_gain_slots:
        return 0.0
    return relieved * limits.horizon_s - load * limits.move_unavailable_s
