"""Usage reports of the coordinators, and the snapshots of load that placement works on."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

from attrs import define, frozen

from hyssopwood.messages import KeyUsage, PartitionUsage, ServerUsage, UsageReport
from hyssopwood.placement import KeyLoad, PartitionLoad, ServerLoad, Snapshot
from hyssopwood.state import (
    STATUS_DOWN,
    STATUS_UP,
    ClusterState,
    hot_partition,
    partition_service,
    shard_of,
    shards_of,
)
from hyssopwood.timers import Timers

_Name = TypeVar("_Name")

SMOOTHING_S = 5.0
REPORT_FRESH_S = 5.0
# Each partition counts for a little load, so that idle partitions are spread by number.
BASE_LOAD_RATIO = 0.05
# An isolated key that used less than this part of its server's slots for this long is merged back.
# It lies well below the ratio that isolates a key, so that a key does not alternate.
COLD_SLOT_RATIO = 0.03
COLD_AFTER_S = 30.0
# A server that starts cold gets a growing share of its load.
RAMP_S = 30.0
MIN_SHARE = 0.2
# A server that failed counts as up after it was reported up for a time that doubles each time.
FIRST_HOLD_S = 2.0
MAX_HOLD_S = 300.0
FLAP_MEMORY_S = 600.0
MOVE_COOLDOWN_S = 30.0


@define
class _Smoothed:
    value: float
    at_s: float

    def update(self, value: float, now: float) -> None:
        kept = math.exp(-(now - self.at_s) / SMOOTHING_S)
        self.value = self.value * kept + value * (1 - kept)
        self.at_s = now


@define
class _History:
    """Remember since when a server is up and how often it failed."""

    up_since_s: float
    down_since_s: float = -math.inf
    failures: int = 0

    def share(self, now: float) -> float:
        """Return the part of its load that the server may get."""
        return min(1.0, MIN_SHARE + (1 - MIN_SHARE) * (now - self.up_since_s) / RAMP_S)

    def hold_s(self) -> float:
        """Return how long the server must be reported up before it counts as up."""
        if not self.failures:
            return 0.0
        return min(MAX_HOLD_S, FIRST_HOLD_S * 2.0 ** min(self.failures - 1, 10))


@frozen
class _Report:
    """Hold a server's last report, and since when its reports name the same status."""

    usage: ServerUsage
    at_s: float
    status_since_s: float


class UsageBook:
    """Hold what the coordinators last reported."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._loads: dict[str, _Smoothed] = {}
        self._rates: dict[str, _Smoothed] = {}
        self._keys: dict[tuple[str, str], _Smoothed] = {}
        self._low_since_s: dict[str, float] = {}
        self._servers: dict[str, _Report] = {}
        self._history: dict[str, _History] = {}
        self._leaving: set[str] = set()
        self._moved_s: dict[str, float] = {}

    def record(self, sender: str, report: UsageReport, state: ClusterState) -> bool:
        """Store a report; return whether it calls for a plan at once."""
        urgent = report.leaving and sender not in self._leaving
        if report.leaving:
            self._leaving.add(sender)
        for usage in report.servers:
            coordination = state.coordinations.get(usage.server)
            # Only the current coordinator speaks for a server.
            if coordination is None or coordination.incarnation != sender:
                continue
            if usage.server not in state.servers:
                continue
            self._store(usage)
            for part in usage.partitions:
                self._record_partition(usage.server, part, state)
            for key in usage.hot_keys:
                self._record_key(usage.server, key, state)
            known = state.server_status.get(usage.server, STATUS_UP)
            urgent = urgent or (usage.status in (STATUS_UP, STATUS_DOWN) and usage.status != known)
        return urgent

    def _store(self, usage: ServerUsage) -> None:
        now = self._timers.now()
        old = self._servers.get(usage.server)
        same = old is not None and old.usage.status == usage.status
        since_s = old.status_since_s if same and old is not None else now
        self._servers[usage.server] = _Report(usage, now, since_s)

    def _record_partition(self, server: str, part: PartitionUsage, state: ClusterState) -> None:
        owner = state.ownerships.get(part.partition)
        if owner is None or owner.server != server:
            return
        load = max(0.0, part.busy_ratio) * state.servers[server].slots
        self._smooth(self._loads, part.partition, load)
        self._smooth(self._rates, part.partition, max(0.0, part.requests_per_s))

    def _smooth(self, table: dict[_Name, _Smoothed], name: _Name, value: float) -> None:
        now = self._timers.now()
        if name in table:
            table[name].update(value, now)
        else:
            table[name] = _Smoothed(value, now)

    def _record_key(self, server: str, usage: KeyUsage, state: ClusterState) -> None:
        if usage.service != state.servers[server].service:
            return
        self._smooth(self._keys, (usage.service, usage.key), max(0.0, usage.requests_per_s))

    @property
    def leaving(self) -> frozenset[str]:
        """Return the incarnations that reported that they leave."""
        return frozenset(self._leaving)

    def reported_status(self, server: str) -> str:
        """Return the status in a fresh report, or an empty string."""
        report = self._servers.get(server)
        if report is None or self._timers.now() - report.at_s > REPORT_FRESH_S:
            return ""
        return report.usage.status

    def is_steady(self, server: str) -> bool:
        """Return whether a server was reported up for long enough after its failures."""
        report, history = self._servers.get(server), self._history.get(server)
        if report is None or history is None:
            return True
        return self._timers.now() - report.status_since_s >= history.hold_s()

    def forget_report(self, server: str) -> None:
        """Drop a server's report, because its coordinator has changed."""
        self._servers.pop(server, None)

    def note_status(self, server: str, status: str) -> None:
        """Remember a change of a server's status that was put into a plan."""
        now = self._timers.now()
        history = self._history.setdefault(server, _History(now))
        if status == STATUS_UP:
            history.up_since_s = now
            return
        if now - history.down_since_s > FLAP_MEMORY_S:
            history.failures = 0
        history.failures += 1
        history.down_since_s = now

    def note_move(self, partition: str) -> None:
        """Remember when a partition was moved to even out the load."""
        self._moved_s[partition] = self._timers.now()

    def follow(self, state: ClusterState) -> None:
        """Forget what is gone, and treat unknown servers without partitions as cold.

        A service without any owner is new, so all of its servers start at their full share.
        """
        self._leaving &= state.members.keys()
        gone = self._history.keys() - state.servers.keys()
        unknown = state.servers.keys() - self._history.keys()
        for name in gone:
            del self._history[name]
        if not unknown:
            return
        owners = {owner.server for owner in state.ownerships.values()}
        owned = {partition_service(name) for name in state.ownerships}
        for name in unknown:
            warm = name in owners or state.servers[name].service not in owned
            self._history[name] = _History(-math.inf if warm else self._timers.now())

    def forget_idle(self, state: ClusterState) -> None:
        """Forget partitions and keys that no longer matter; bounds the memory."""
        for table in (self._loads, self._rates, self._moved_s):
            for name in table.keys() - state.ownerships.keys():
                del table[name]
        for name in self._low_since_s.keys() - state.hot_keys.keys():
            del self._low_since_s[name]
        now = self._timers.now()
        self._keys = {n: key for n, key in self._keys.items() if now - key.at_s <= REPORT_FRESH_S}

    def snapshot(self, state: ClusterState, service: str) -> Snapshot:
        """Return the load of one service as placement sees it."""
        servers = tuple(_server_loads(state, service, self._history, self._timers.now()))
        names = [*shards_of(state, service), *_hot_partitions(state, service)]
        base = BASE_LOAD_RATIO * max(sum(s.slots for s in servers), 1) / len(names)
        pins = {hot_partition(service, k): s for k, s in state.pins.get(service, {}).items()}
        partitions = tuple(self._partition(state, name, base, pins) for name in names)
        candidates, isolated = self._key_loads(state, service)
        return Snapshot(
            servers=servers,
            partitions=partitions,
            hot_candidates=tuple(candidates),
            isolated=tuple(isolated),
        )

    def _partition(
        self, state: ClusterState, name: str, base: float, pins: Mapping[str, str]
    ) -> PartitionLoad:
        owner = state.ownerships.get(name)
        load = base + self._load(name, owner.server if owner else "")
        pin = pins.get(name, "")
        if owner is None:
            return PartitionLoad(name=name, load=load, pin=pin)
        cooled = self._timers.now() - self._moved_s.get(name, -math.inf) >= MOVE_COOLDOWN_S
        return PartitionLoad(
            name=name,
            owner=owner.server,
            load=load,
            holder=owner.awaiting[-1] if owner.awaiting else "",
            pin=pin,
            movable=cooled and not owner.awaiting,
        )

    def _load(self, partition: str, owner: str) -> float:
        """Return a partition's smoothed load; reports leave idle partitions out."""
        smoothed = self._loads.get(partition)
        if smoothed is None:
            return 0.0
        report = self._servers.get(owner)
        unmentioned_s = 0.0 if report is None else max(0.0, report.at_s - smoothed.at_s)
        return smoothed.value * math.exp(-unmentioned_s / SMOOTHING_S)

    def _key_loads(self, state: ClusterState, service: str) -> tuple[list[KeyLoad], list[KeyLoad]]:
        candidates: list[KeyLoad] = []
        for (name, key), rate in self._keys.items():
            own = hot_partition(service, key)
            fresh = self._timers.now() - rate.at_s <= REPORT_FRESH_S
            if name == service and fresh and own not in state.hot_keys:
                shard = shard_of(state, service, key)
                load = self._key_load(shard, rate.value)
                candidates.append(KeyLoad(key=key, shard=shard, partition=own, load=load))
        isolated = []
        for own in _hot_partitions(state, service):
            key = state.hot_keys[own]
            shard = shard_of(state, service, key)
            cold = self._is_cold(state, own)
            isolated.append(KeyLoad(key=key, shard=shard, partition=own, load=0.0, cold=cold))
        return candidates, isolated

    def _key_load(self, shard: str, key_rate: float) -> float:
        """Estimate a key's load as its part of its shard's requests."""
        load, rate = self._loads.get(shard), self._rates.get(shard)
        if load is None or rate is None or rate.value <= 0:
            return 0.0
        return load.value * min(1.0, key_rate / rate.value)

    def _is_cold(self, state: ClusterState, partition: str) -> bool:
        """Return whether an isolated key's load has been low for some time."""
        now = self._timers.now()
        owner = state.ownerships.get(partition)
        if owner is None or owner.server not in state.servers:
            return False
        slots = state.servers[owner.server].slots
        if self._load(partition, owner.server) > COLD_SLOT_RATIO * slots:
            self._low_since_s.pop(partition, None)
            return False
        return now - self._low_since_s.setdefault(partition, now) >= COLD_AFTER_S


def _server_loads(
    state: ClusterState, service: str, history: Mapping[str, _History], now: float
) -> Iterable[ServerLoad]:
    for name, server in sorted(state.servers.items()):
        if server.service != service:
            continue
        removed = name in state.removed_servers
        up = state.server_status.get(name, STATUS_UP) == STATUS_UP
        yield ServerLoad(
            name=name,
            slots=server.slots,
            usable=up and server.state == "active" and not removed,
            removed=removed,
            share=history[name].share(now) if name in history else 1.0,
        )


def _hot_partitions(state: ClusterState, service: str) -> list[str]:
    prefix = hot_partition(service, "")
    return sorted(name for name in state.hot_keys if name.startswith(prefix))
