"""Compare placement policies on a simulated service with a fluctuating Zipf load.

The simulation advances in steps of one second. Every policy gets the same demand, server losses
and smoothed measurements, which are determined by the seed.
"""

from __future__ import annotations

import argparse
import math
import random
from collections.abc import Callable
from functools import cache
from statistics import fmean

from attrs import define, evolve, field, frozen
from xxhash import xxh64_intdigest

from hyssopwood.placement import (
    HotKeyChanges,
    KeyLoad,
    PartitionLoad,
    RebalanceLimits,
    ServerLoad,
    Snapshot,
    hot_key_changes,
    rebalancing_moves,
    required_moves,
)
from hyssopwood.records import Move

SHARDS = 64
KEYS = 2_000
SMOOTHING_S = 5.0
RAMP_S = 30.0
MIN_SHARE = 0.2
COOLDOWN_S = 30.0
COLD_AFTER_S = 30
COLD_SLOT_RATIO = 0.03
MOVES_PER_S = 1.0
MOVE_BURST = 10.0
# Assumed times that a partition has no owner: a planned move waits for the partition's running
# requests; the loss of a server is followed by the expiry of its lease, the plan and the grants.
MOVE_MEAN_S = 0.06
MOVE_MAX_S = 0.25
LOSS_S = 0.6


@frozen(kw_only=True)
class Case:
    """Describe one service and its demand."""

    name: str
    servers: int
    slots: int
    zipf: float
    utilisation: float = 0.55
    duration_s: int = 600


CASES = (
    Case(name="portal (Beridze)", servers=20, slots=2, zipf=0.8),
    Case(name="catalogue (Belltone)", servers=20, slots=3, zipf=0.9),
    Case(name="intake (Beridze)", servers=6, slots=2, zipf=0.7),
    Case(name="licensing (Belltone)", servers=6, slots=3, zipf=0.9),
)


class Demand:
    """Generate the load of each key in busy slots, second by second."""

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._random = random.Random(seed)
        self._keys = [f"key-{seed}-{index}" for index in range(KEYS)]
        weights = [(rank + 1) ** -case.zipf for rank in range(KEYS)]
        total = sum(weights)
        self._weights = [weight / total for weight in weights]
        self._level = 1.0

    def loads(self, second: int) -> dict[str, float]:
        """Return the load of each key; the hottest keys change every 150 s."""
        if second and second % 150 == 0:
            self._swap_hot_keys()
        swing = 1 + 0.35 * math.sin(second / 40) + 0.15 * math.sin(second / 7)
        self._level += 0.2 * (self._random.uniform(0.8, 1.2) - self._level)
        mean = self._case.utilisation * self._case.servers * self._case.slots
        scale = mean * swing * self._level
        return {key: w * scale for key, w in zip(self._keys, self._weights, strict=True)}

    def _swap_hot_keys(self) -> None:
        for rank in range(15):
            other = self._random.randrange(KEYS)
            self._keys[rank], self._keys[other] = self._keys[other], self._keys[rank]


MoveChooser = Callable[["PolicyInput", int], tuple[Move, ...]]


@frozen(kw_only=True)
class PolicyInput:
    """The input of a policy: the planner's snapshot and limits."""

    snapshot: Snapshot
    limits: RebalanceLimits


def greedy(policy_input: PolicyInput, budget: int) -> tuple[Move, ...]:
    """Choose moves with the planner's own rule."""
    return rebalancing_moves(policy_input.snapshot, policy_input.limits, budget)


@cache
def _weight(partition: str, server: str) -> int:
    return xxh64_intdigest(f"{partition}@{server}".encode())


def _ranking(partition: str, servers: list[str]) -> list[str]:
    return sorted(servers, key=lambda name: _weight(partition, name), reverse=True)


def rendezvous(policy_input: PolicyInput, budget: int) -> tuple[Move, ...]:
    """Place each partition on its first ranked server below the load bound, ignoring its owner."""
    targets = _bounded_targets(policy_input, sticky=False)
    return _moves_towards(policy_input, targets, budget)


def sticky_rendezvous(policy_input: PolicyInput, budget: int) -> tuple[Move, ...]:
    """Like rendezvous, but move a partition only if its owner is above the load bound."""
    targets = _bounded_targets(policy_input, sticky=True)
    return _moves_towards(policy_input, targets, budget)


def _bounded_targets(policy_input: PolicyInput, sticky: bool) -> dict[str, str]:
    capacities = {s.name: s.capacity for s in policy_input.snapshot.servers if s.usable}
    total = sum(part.load for part in policy_input.snapshot.partitions)
    load_per_capacity = total / sum(capacities.values())
    bound = {
        name: load_per_capacity * c * policy_input.limits.hysteresis
        for name, c in capacities.items()
    }
    placed = dict.fromkeys(capacities, 0.0)
    targets: dict[str, str] = {}
    for part in sorted(policy_input.snapshot.partitions, key=lambda p: (-p.load, p.name)):
        order = _ranking(part.name, list(capacities))
        if sticky and part.owner in capacities:
            order.insert(0, part.owner)
        fits = (name for name in order if placed[name] + part.load <= bound[name])
        target = next(fits, min(placed, key=lambda name: placed[name] / capacities[name]))
        placed[target] += part.load
        targets[part.name] = target
    return targets


def _moves_towards(
    policy_input: PolicyInput, targets: dict[str, str], budget: int
) -> tuple[Move, ...]:
    moves = [
        (part.load, Move(partition=part.name, target=targets[part.name]))
        for part in policy_input.snapshot.partitions
        if part.movable and part.owner and part.owner != targets[part.name]
    ]
    moves.sort(key=lambda item: -item[0])
    return tuple(move for _, move in moves[:budget])


def static_hashing(policy_input: PolicyInput, budget: int) -> tuple[Move, ...]:
    """Assign each partition to its first live server in hash order, regardless of load."""
    live = [server.name for server in policy_input.snapshot.servers if server.usable]
    targets = {part.name: _ranking(part.name, live)[0] for part in policy_input.snapshot.partitions}
    return _moves_towards(policy_input, targets, len(targets))


@define
class Result:
    """Metrics of one run."""

    imbalance: list[float] = field(factory=list)
    moves: int = 0
    lost_slot_s: float = 0.0
    overload_slot_s: float = 0.0
    demand_slot_s: float = 0.0
    hot_changes: int = 0

    def row(self, case: Case) -> dict[str, float]:
        """Return the metrics shown in the comparison."""
        ordered = sorted(self.imbalance)
        return {
            "imbalance mean": fmean(ordered),
            "imbalance p95": ordered[int(len(ordered) * 0.95)],
            "moves/min": self.moves * 60 / case.duration_s,
            "unavailable ppm": 1e6 * self.lost_slot_s / self.demand_slot_s,
            "overload %": 100 * self.overload_slot_s / self.demand_slot_s,
        }


class Simulation:
    """Simulate one policy in one case."""

    def __init__(
        self, case: Case, seed: int, choose: MoveChooser, limits: RebalanceLimits, hot_keys: bool
    ) -> None:
        self._case = case
        self._demand = Demand(case, seed)
        self._choose = choose
        self._limits = limits
        self._hot_keys = hot_keys
        self._random = random.Random(seed + 1)
        self._servers = [f"s{index}" for index in range(case.servers)]
        self._up_since = dict.fromkeys(self._servers, -1e9)
        self._owners: dict[str, str] = {}
        self._smoothed: dict[str, float] = {}
        self._moved_at: dict[str, int] = {}
        self._isolated_keys: set[str] = set()
        self._cold_since: dict[str, int] = {}
        self._move_tokens = MOVE_BURST
        self._shard_of = {
            key: f"p/{xxh64_intdigest(key.encode()) % SHARDS}" for key in self._demand.loads(0)
        }
        self.result = Result()

    def run(self) -> Result:
        """Run the whole duration and return the metrics."""
        for second in range(self._case.duration_s):
            self._run_second(second)
        return self.result

    def _live_servers(self, second: int) -> list[str]:
        """Return the live servers; one is lost from second 60 of each sixth, for at most 60 s."""
        period = self._case.duration_s // 6
        sixth, offset = divmod(second, period)
        lost = self._servers[(sixth * 7) % len(self._servers)] if 60 <= offset < 120 else ""
        if offset == 120:
            self._up_since[self._servers[(sixth * 7) % len(self._servers)]] = second
        return [name for name in self._servers if name != lost]

    def _run_second(self, second: int) -> None:
        keys = self._demand.loads(second)
        loads = self._partition_loads(keys)
        self._update_smoothed_loads(loads)
        live = self._live_servers(second)
        snapshot = self._snapshot(second, live, keys)
        self._move_tokens = min(MOVE_BURST, self._move_tokens + MOVES_PER_S)
        policy_input = PolicyInput(snapshot=snapshot, limits=self._limits)
        if second == 0 or any(self._owners[name] not in live for name in self._owners):
            self._reassign_lost(policy_input, loads, first=second == 0)
        else:
            self._rebalance(policy_input, loads, second)
        self._record_load(self._partition_loads(keys), live)

    def _reassign_lost(
        self, policy_input: PolicyInput, loads: dict[str, float], first: bool
    ) -> None:
        if self._choose is greedy:
            moves = required_moves(policy_input.snapshot)
        else:
            sticky = self._choose is sticky_rendezvous
            targets = (
                {m.partition: m.target for m in _static_targets(policy_input)}
                if self._choose is static_hashing
                else _bounded_targets(policy_input, sticky)
            )
            usable = {s.name for s in policy_input.snapshot.servers if s.usable}
            moves = tuple(
                Move(partition=part.name, target=targets[part.name])
                for part in policy_input.snapshot.partitions
                if part.owner not in usable
            )
        for move in moves:
            self._owners[move.partition] = move.target
            if not first:
                self.result.moves += 1
                self.result.lost_slot_s += loads.get(move.partition, 0.0) * LOSS_S

    def _rebalance(self, policy_input: PolicyInput, loads: dict[str, float], second: int) -> None:
        budget = int(self._move_tokens)
        moves: tuple[Move, ...] = ()
        if self._hot_keys:
            changes = hot_key_changes(policy_input.snapshot, self._limits, budget)
            moves = changes.moves
            self._change_hot_keys(changes)
        moves = moves or self._choose(policy_input, budget)
        for move in moves:
            self._move_tokens -= 1
            self._owners[move.partition] = move.target
            self._moved_at[move.partition] = second
            self.result.moves += 1
            gap_s = min(MOVE_MAX_S, self._random.expovariate(1 / MOVE_MEAN_S))
            self.result.lost_slot_s += loads.get(move.partition, 0.0) * gap_s

    def _change_hot_keys(self, changes: HotKeyChanges) -> None:
        for key in changes.added:
            shard, hot_partition = self._shard_of[key], f"p={key}"
            self._isolated_keys.add(key)
            self._owners[hot_partition] = self._owners[shard]
            self.result.hot_changes += 1
        for key in changes.removed:
            self._isolated_keys.discard(key)
            self._owners.pop(f"p={key}")
            self._smoothed.pop(f"p={key}", None)
            self._cold_since.pop(key, None)
            self.result.hot_changes += 1

    def _partition_loads(self, keys: dict[str, float]) -> dict[str, float]:
        loads = {f"p/{index}": 0.0 for index in range(SHARDS)}
        for key, load in keys.items():
            name = f"p={key}" if key in self._isolated_keys else self._shard_of[key]
            loads[name] = loads.get(name, 0.0) + load
        return loads

    def _update_smoothed_loads(self, loads: dict[str, float]) -> None:
        decay = math.exp(-1 / SMOOTHING_S)
        for name, load in loads.items():
            noisy = load * self._random.uniform(0.85, 1.15)
            previous = self._smoothed.get(name, noisy)
            self._smoothed[name] = previous * decay + noisy * (1 - decay)

    def _snapshot(self, second: int, live: list[str], keys: dict[str, float]) -> Snapshot:
        servers = tuple(
            ServerLoad(
                name=name,
                slots=self._case.slots,
                usable=name in live,
                share=min(1.0, MIN_SHARE + (second - self._up_since[name]) / RAMP_S),
            )
            for name in self._servers
        )
        names = [
            *(f"p/{i}" for i in range(SHARDS)),
            *(f"p={k}" for k in sorted(self._isolated_keys)),
        ]
        base = 0.05 * self._case.servers * self._case.slots / len(names)
        partitions = tuple(
            PartitionLoad(
                name=name,
                owner=self._owners.get(name, ""),
                load=base + self._smoothed.get(name, 0.0),
                movable=second - self._moved_at.get(name, -1_000) >= COOLDOWN_S,
            )
            for name in names
        )
        top = sorted(keys, key=lambda key: -keys[key])[:64]
        return Snapshot(
            servers=servers,
            partitions=partitions,
            hot_candidates=tuple(
                self._key_load(key, keys) for key in top if key not in self._isolated_keys
            ),
            isolated=tuple(
                evolve(self._key_load(key, keys), cold=self._is_cold(key, second))
                for key in sorted(self._isolated_keys)
            ),
        )

    def _key_load(self, key: str, keys: dict[str, float]) -> KeyLoad:
        return KeyLoad(key=key, shard=self._shard_of[key], partition=f"p={key}", load=keys[key])

    def _is_cold(self, key: str, second: int) -> bool:
        if self._smoothed.get(f"p={key}", 0.0) > COLD_SLOT_RATIO * self._case.slots:
            self._cold_since.pop(key, None)
            return False
        return second - self._cold_since.setdefault(key, second) >= COLD_AFTER_S

    def _record_load(self, loads: dict[str, float], live: list[str]) -> None:
        busy = dict.fromkeys(live, 0.0)
        for name, load in loads.items():
            busy[self._owners[name]] += load
        values = list(busy.values())
        self.result.imbalance.append(max(values) / fmean(values))
        self.result.overload_slot_s += sum(max(0.0, v - self._case.slots) for v in values)
        self.result.demand_slot_s += sum(values)


def _static_targets(policy_input: PolicyInput) -> tuple[Move, ...]:
    live = [server.name for server in policy_input.snapshot.servers if server.usable]
    return tuple(
        Move(partition=part.name, target=_ranking(part.name, live)[0])
        for part in policy_input.snapshot.partitions
    )


POLICIES: dict[str, tuple[MoveChooser, bool]] = {
    "static hashing": (static_hashing, False),
    "greedy, no hot keys": (greedy, False),
    "greedy": (greedy, True),
    "bounded rendezvous": (rendezvous, True),
    "sticky bounded rendezvous": (sticky_rendezvous, True),
}


def _mean_row(case: Case, name: str, seeds: list[int], limits: RebalanceLimits) -> dict[str, float]:
    choose, hot_keys = POLICIES[name]
    rows = [Simulation(case, seed, choose, limits, hot_keys).run().row(case) for seed in seeds]
    return {metric: fmean(row[metric] for row in rows) for metric in rows[0]}


def _print_case(case: Case, policies: list[str], seeds: list[int], limits: RebalanceLimits) -> None:
    table = {name: _mean_row(case, name, seeds, limits) for name in policies}
    metrics = list(next(iter(table.values())))
    print(f"\n{case.name}: {case.servers} servers, {case.slots} slots, Zipf {case.zipf}\n")
    print("| policy | " + " | ".join(metrics) + " |")
    print("|---" * (len(metrics) + 1) + "|")
    for name, row in table.items():
        print(f"| {name} | " + " | ".join(f"{row[metric]:.2f}" for metric in metrics) + " |")


def main() -> None:
    """Print a comparison of the policies for every case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--hysteresis", type=float, default=RebalanceLimits().hysteresis)
    parser.add_argument("--policies", nargs="+", choices=POLICIES, default=list(POLICIES))
    arguments = parser.parse_args()
    limits = RebalanceLimits(hysteresis=arguments.hysteresis)
    for case in CASES:
        _print_case(case, arguments.policies, arguments.seeds, limits)


if __name__ == "__main__":
    main()
