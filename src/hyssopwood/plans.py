"""Plan records: what the state and the usage reports call for."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from attrs import define, evolve, field

from hyssopwood.events import Event, emit
from hyssopwood.placement import (
    RebalanceLimits,
    Snapshot,
    hot_key_changes,
    rebalancing_moves,
    required_moves,
)
from hyssopwood.records import CoordinatorChange, HotKey, Move, PlanRecord, ServerStatus
from hyssopwood.settings import Settings
from hyssopwood.state import STATUS_DOWN, STATUS_UP, ClusterState, Member, hot_partition, shard_of
from hyssopwood.timers import Timers
from hyssopwood.usage_reports import UsageBook
from hyssopwood.voters import balancing_coordinators, required_coordinators

REBALANCE_INTERVAL_S = 1.0
# A server that has just changed coordinators would lose its permits once more.
SETTLE_S = 1.0
MOVE_BURST = 10.0
COORDINATION_MOVES_PER_S = 1.0
COORDINATION_BURST = 8.0
# Bounds the partitions of one service that wait for a release at the same time.
MAX_MOVES_UNDER_WAY = 8
# Keeps a plan well below the log's record limit of 1 MiB.
MAX_MOVES_PER_PLAN = 4_000
# A server that stays down may only be out of its coordinator's reach, so others get a turn.
FIRST_TURN_S = 5.0
MAX_TURN_S = 600.0


class TokenBucket:
    """Bound a rate on the timer service's clock."""

    def __init__(self, timers: Timers, rate_per_s: float, burst: float) -> None:
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at_s = timers.now()

    def available(self) -> int:
        """Return the number of whole tokens."""
        now = self._timers.now()
        self._tokens = min(self._burst, self._tokens + (now - self._at_s) * self._rate_per_s)
        self._at_s = now
        return int(self._tokens)

    def spend(self, count: int) -> None:
        """Take tokens."""
        self._tokens -= count


@define
class _Tenure:
    """Remember since when a coordinator has a server, and the turns of others while it is down."""

    epoch: int
    since_s: float
    down_since_s: float = math.inf
    turns: int = 0

    def turn_due(self, now: float) -> bool:
        waited_s = now - max(self.since_s, self.down_since_s)
        return waited_s >= min(MAX_TURN_S, FIRST_TURN_S * 2.0 ** min(self.turns, 8))


@define
class _Draft:
    """Collect the changes of a plan, service by service."""

    moves: list[Move] = field(factory=list)
    added: list[HotKey] = field(factory=list)
    removed: list[HotKey] = field(factory=list)
    rebalanced: set[str] = field(factory=set)


class PlanBuilder:
    """Build at most one plan record for each round."""

    def __init__(
        self,
        settings: Settings,
        usage: UsageBook,
        timers: Timers,
        standby: Callable[[str], str] = lambda server: "",
    ) -> None:
        self._usage = usage
        self._standby = standby
        self._timers = timers
        self._lease_s = settings.timing.lease_ms / 1000
        self._limits = RebalanceLimits()
        per_s = settings.limits.moves_per_minute / 60
        self._moves = TokenBucket(timers, per_s, min(MOVE_BURST, per_s * 60))
        self._handovers = TokenBucket(timers, COORDINATION_MOVES_PER_S, COORDINATION_BURST)
        self._tenures: dict[str, _Tenure] = {}
        self._rebalance_due_s = 0.0
        self._balance_after_s = -math.inf
        self._settled: ClusterState | None = None
        self._rebalanced: frozenset[str] = frozenset()

    def begin_epoch(self) -> None:
        """Wait for reports before the first rebalancing of a new epoch."""
        self._rebalance_due_s = self._timers.now() + REBALANCE_INTERVAL_S

    def build(
        self,
        state: ClusterState,
        eligible: Mapping[str, Member],
        unreachable: frozenset[str] = frozenset(),
    ) -> PlanRecord | None:
        """Return the plan for this round, or None when nothing has to change."""
        self._usage.follow(state)
        self._follow_coordinations(state)
        status = tuple(self._status_changes(state))
        draft = self._placement(state, status)
        body = PlanRecord(
            epoch=state.planner_epoch,
            coordinators=self._coordinator_changes(state, eligible, unreachable),
            moves=tuple(draft.moves[:MAX_MOVES_PER_PLAN]),
            hot_keys_added=tuple(draft.added),
            hot_keys_removed=tuple(draft.removed),
            server_status=status,
        )
        self._moves.spend(len(draft.rebalanced))
        self._rebalanced = frozenset(draft.rebalanced)
        return None if body == PlanRecord(epoch=state.planner_epoch) else body

    def written(self, body: PlanRecord) -> None:
        """Remember what a plan in force has changed."""
        for change in body.server_status:
            self._usage.note_status(change.server, change.status)
        for partition in self._rebalanced:
            self._usage.note_move(partition)
        for coordinator in body.coordinators:
            self._usage.forget_report(coordinator.server)
            emit(
                Event.COORDINATOR_CHANGED,
                server=coordinator.server,
                incarnation=coordinator.incarnation,
            )
        for hot_key in body.hot_keys_added:
            emit(Event.HOT_KEY_ISOLATED, service=hot_key.service, key=hot_key.key)
        emit(
            Event.PLAN_WRITTEN,
            coordinators=len(body.coordinators),
            moves=len(body.moves),
            status=len(body.server_status),
        )

    # Server status

    def _status_changes(self, state: ClusterState) -> Iterable[ServerStatus]:
        for server in state.servers:
            reported = self._usage.reported_status(server)
            if reported not in (STATUS_UP, STATUS_DOWN):
                continue
            if reported == state.server_status.get(server, STATUS_UP):
                continue
            if reported == STATUS_UP and not self._may_come_up(state, server):
                continue
            # A coordinator knows nothing about its server at first; a server that only changed
            # hands must not lose its partitions.
            if reported == STATUS_DOWN and self._tenure_s(server) < self._lease_s:
                continue
            yield ServerStatus(server=server, status=reported)

    def _may_come_up(self, state: ClusterState, server: str) -> bool:
        """Return whether a server that was down is steady, or no other one of its service is up."""
        service = state.servers[server].service
        others = (
            name
            for name, other in state.servers.items()
            if other.service == service
            and state.server_status.get(name, STATUS_UP) == STATUS_UP
            and other.state == "active"
        )
        return self._usage.is_steady(server) or next(others, None) is None

    def _tenure_s(self, server: str) -> float:
        tenure = self._tenures.get(server)
        return -math.inf if tenure is None else self._timers.now() - tenure.since_s

    def _follow_coordinations(self, state: ClusterState) -> None:
        now = self._timers.now()
        for server, current in state.coordinations.items():
            tenure = self._tenures.setdefault(server, _Tenure(current.epoch, now))
            if tenure.epoch != current.epoch:
                tenure.epoch, tenure.since_s = current.epoch, now
            if state.server_status.get(server, STATUS_UP) == STATUS_UP:
                tenure.turns, tenure.down_since_s = 0, math.inf
            else:
                tenure.down_since_s = min(tenure.down_since_s, now)
        for server in self._tenures.keys() - state.coordinations.keys():
            del self._tenures[server]

    # Coordinators

    def _coordinator_changes(
        self, state: ClusterState, eligible: Mapping[str, Member], unreachable: frozenset[str]
    ) -> tuple[CoordinatorChange, ...]:
        giving_up = self._usage.leaving | unreachable
        required = required_coordinators(state, eligible, giving_up, self._standby)
        if required:
            self._balance_after_s = self._timers.now() + SETTLE_S
            return required
        turns = tuple(self._turns(state, eligible))
        if turns:
            return turns
        if self._timers.now() < self._balance_after_s:
            return ()
        staying = {name: eligible[name] for name in eligible if name not in self._usage.leaving}
        changes = balancing_coordinators(state, staying, self._handovers.available(), self._standby)
        self._handovers.spend(len(changes))
        return changes

    def _turns(
        self, state: ClusterState, eligible: Mapping[str, Member]
    ) -> Iterable[CoordinatorChange]:
        """Yield other coordinators for servers that stay down under the present one."""
        for server, status in sorted(state.server_status.items()):
            tenure = self._tenures.get(server)
            if status != STATUS_DOWN or tenure is None:
                continue
            if not tenure.turn_due(self._timers.now()):
                continue
            current = state.coordinations[server].incarnation
            others = sorted(name for name in eligible if name != current)
            if others:
                tenure.turns += 1
                chosen = others[tenure.turns % len(others)]
                yield CoordinatorChange(server=server, incarnation=chosen)

    # Partitions

    def _placement(self, state: ClusterState, status: tuple[ServerStatus, ...]) -> _Draft:
        draft = _Draft()
        due = self._timers.now() >= self._rebalance_due_s
        if state is self._settled and not due and not status:
            return draft
        if due:
            self._rebalance_due_s = self._timers.now() + REBALANCE_INTERVAL_S
            self._usage.forget_idle(state)
        known = {**state.server_status, **{change.server: change.status for change in status}}
        self._place_services(draft, evolve(state, server_status=known), due)
        # Without new records or status reports, only rebalancing can call for a move later.
        self._settled = state if draft == _Draft() else None
        return draft

    def _place_services(self, draft: _Draft, state: ClusterState, due: bool) -> None:
        for service in state.services:
            snapshot = self._usage.snapshot(state, service)
            self._add_pins(draft, state, service)
            required = required_moves(snapshot)
            draft.moves.extend(required)
            if due and not required:
                self._rebalance(draft, service, snapshot)

    def _add_pins(self, draft: _Draft, state: ClusterState, service: str) -> None:
        """Give pinned keys their own partitions; the next round moves them."""
        for key in state.pins.get(service, ()):
            shard = state.ownerships.get(shard_of(state, service, key))
            settled = shard is not None and shard.server and not shard.awaiting
            if settled and hot_partition(service, key) not in state.hot_keys:
                draft.added.append(HotKey(service=service, key=key))

    def _rebalance(self, draft: _Draft, service: str, snapshot: Snapshot) -> None:
        waiting = sum(1 for part in snapshot.partitions if part.holder)
        budget = min(self._moves.available() - len(draft.rebalanced), MAX_MOVES_UNDER_WAY - waiting)
        if budget < 0:
            return
        hot = hot_key_changes(snapshot, self._limits, budget)
        draft.added.extend(HotKey(service=service, key=key) for key in hot.added)
        draft.removed.extend(HotKey(service=service, key=key) for key in hot.removed)
        moves = hot.moves or rebalancing_moves(snapshot, self._limits, budget)
        draft.moves.extend(moves)
        draft.rebalanced.update(move.partition for move in moves)
