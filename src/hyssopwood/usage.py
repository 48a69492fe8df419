"""Usage reports of the coordinators, and the snapshots of load that placement works on."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

from attrs import define

from hyssopwood.messages import ServerUsage, UsageReport
from hyssopwood.placement import PartitionLoad, ServerLoad, Snapshot
from hyssopwood.state import (
    STATUS_DOWN,
    STATUS_UP,
    ClusterState,
    hot_partition,
    shards_of,
)
from hyssopwood.timers import Timers

SMOOTHING_S = 5.0
# Each partition counts for a little load, so that idle partitions are spread by number.
BASE_LOAD_RATIO = 0.02
RAMP_S = 30.0
MIN_SHARE = 0.2
MOVE_COOLDOWN_S = 30.0
# A server that fails again and again waits longer each time before it gets partitions.
FIRST_HOLD_S = 2.0
MAX_HOLD_S = 300.0
FLAP_MEMORY_S = 600.0
REPORT_FRESH_S = 5.0


@define
class _Smoothed:
    value: float
    at_s: float


@define
class _History:
    """Remember when a server came up and how often it failed."""

    up_since_s: float
    down_since_s: float = -math.inf
    failures: int = 0


class UsageBook:
    """Hold what the coordinators last reported."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._loads: dict[str, _Smoothed] = {}
        self._rates: dict[str, float] = {}
        self._servers: dict[str, tuple[float, ServerUsage]] = {}
        self._history: dict[str, _History] = {}
        self._leaving: dict[str, bool] = {}
        self._moved_s: dict[str, float] = {}
        self._reporters: dict[str, float] = {}

    def record(self, sender: str, report: UsageReport, state: ClusterState) -> bool:
        """Store a report; return whether it calls for a plan at once."""
        urgent = report.leaving and not self._leaving.get(sender)
        self._leaving[sender] = report.leaving
        self._reporters[sender] = self._timers.now()
        for usage in report.servers:
            coordination = state.coordinations.get(usage.server)
            # Only the current coordinator speaks for a server.
            if coordination is None or coordination.incarnation != sender:
                continue
            self._servers[usage.server] = (self._timers.now(), usage)
            self._record_loads(usage, state)
            known = state.server_status.get(usage.server, STATUS_UP)
            urgent = urgent or (usage.status in (STATUS_UP, STATUS_DOWN) and usage.status != known)
        return urgent

    def _record_loads(self, usage: ServerUsage, state: ClusterState) -> None:
        slots = state.servers[usage.server].slots
        now = self._timers.now()
        for part in usage.partitions:
            owner = state.ownerships.get(part.partition)
            if owner is None or owner.server != usage.server:
                continue
            value = max(0.0, part.busy_ratio) * slots
            old = self._loads.get(part.partition)
            if old is not None:
                kept = math.exp(-(now - old.at_s) / SMOOTHING_S)
                value = old.value * kept + value * (1 - kept)
            self._loads[part.partition] = _Smoothed(value, now)
            self._rates[part.partition] = part.requests_per_s

    def leaving(self) -> Collection[str]:
        """Return the incarnations that reported that they leave."""
        return {name for name, leaving in self._leaving.items() if leaving}

    def reported_status(self, server: str) -> str:
        """Return the status in a fresh report, or an empty string."""
        at_s, usage = self._servers.get(server, (-math.inf, None))
        if usage is None or self._timers.now() - at_s > REPORT_FRESH_S:
            return ""
        return usage.status

    def forget_server(self, server: str) -> None:
        """Drop a server's report, because its coordinator has changed."""
        self._servers.pop(server, None)

    def note_status(self, server: str, status: str) -> None:
        """Remember a change of a server's status that was put into a plan."""
        now = self._timers.now()
        history = self._history.setdefault(server, _History(now))
        if status == STATUS_DOWN:
            if now - history.down_since_s > FLAP_MEMORY_S:
                history.failures = 0
            history.failures += 1
            history.down_since_s = now
        else:
            history.up_since_s = now

    def note_move(self, partition: str) -> None:
        """Remember when a partition was moved."""
        self._moved_s[partition] = self._timers.now()

    def settle(self, state: ClusterState) -> None:
        """Treat servers that own partitions as warm, and others as just started."""
        now = self._timers.now()
        owners = {owner.server for owner in state.ownerships.values()}
        for name in state.servers:
            warm = not owners or name in owners
            self._history.setdefault(name, _History(-math.inf if warm else now))

    def _share(self, server: str) -> float:
        """Return the part of its load that a server may get, by its time since the start."""
        history = self._history.get(server)
        if history is None:
            return 1.0
        hold_s = 0.0
        if history.failures:
            hold_s = min(MAX_HOLD_S, FIRST_HOLD_S * 2.0 ** (history.failures - 1))
        age_s = self._timers.now() - history.up_since_s - hold_s
        if age_s < 0:
            return 0.0
        return min(1.0, MIN_SHARE + (1 - MIN_SHARE) * age_s / RAMP_S)

    def snapshot(self, state: ClusterState, service: str) -> Snapshot:
        """Return the load of one service as placement sees it."""
        servers = tuple(
            ServerLoad(
                name=name,
                slots=server.slots,
                failure_domain=server.failure_domain,
                usable=(
                    server.state == "active"
                    and name not in state.removed_servers
                    and state.server_status.get(name, STATUS_UP) == STATUS_UP
                ),
                removed=name in state.removed_servers,
                share=self._share(name),
            )
            for name, server in sorted(state.servers.items())
            if server.service == service
        )
        names = [*shards_of(state, service), *_hot_partitions(state, service)]
        slots = sum(server.slots for server in servers)
        base = BASE_LOAD_RATIO * max(slots, 1) / len(names)
        pins = _pinned(state, service)
        partitions = tuple(self._partition(state, name, base, pins) for name in names)
        return Snapshot(servers=servers, partitions=partitions)

    def _partition(
        self, state: ClusterState, name: str, base: float, pins: Mapping[str, str]
    ) -> PartitionLoad:
        owner = state.ownerships.get(name)
        smoothed = self._loads.get(name)
        load = base + (smoothed.value if smoothed else 0.0)
        pin = pins.get(name, "")
        if owner is None:
            return PartitionLoad(name=name, load=load, pin=pin)
        rested = self._timers.now() - self._moved_s.get(name, -math.inf) >= MOVE_COOLDOWN_S
        holder = owner.awaiting[-1] if owner.awaiting else ""
        return PartitionLoad(
            name=name,
            owner=owner.server,
            load=load,
            holder=holder,
            pin=pin,
            movable=rested and not owner.awaiting,
        )


def _hot_partitions(state: ClusterState, service: str) -> list[str]:
    prefix = hot_partition(service, "")
    return sorted(name for name in state.hot_keys if name.startswith(prefix))


def _pinned(state: ClusterState, service: str) -> dict[str, str]:
    pins = state.pins.get(service, {})
    return {hot_partition(service, key): server for key, server in pins.items()}
