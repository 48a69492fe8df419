"""The planner role: claims, fences, voters and plans."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection, Iterable
from typing import Any, Protocol

from attrs import evolve

from hyssopwood.errors import LogError
from hyssopwood.events import Event, emit
from hyssopwood.liveness import Attestations, Liveness, PeerNetwork
from hyssopwood.messages import Ack, AttestReply, AttestRequest, ErrorReply, UsageReport
from hyssopwood.placement import RebalanceLimits, rebalancing_moves, required_moves
from hyssopwood.records import (
    CoordinatorChange,
    FenceRecord,
    HotKey,
    Move,
    PlannerRecord,
    PlanRecord,
    ServerStatus,
    VotersCommittedRecord,
    VotersProposedRecord,
)
from hyssopwood.settings import Settings
from hyssopwood.state import (
    STATUS_DOWN,
    STATUS_UP,
    ClusterState,
    Member,
    effective_voters,
    has_quorum,
    hot_partition,
)
from hyssopwood.timers import Timers
from hyssopwood.transitions import Applied
from hyssopwood.usage import UsageBook
from hyssopwood.voters import balancing_coordinators, choose_voters, required_coordinators

# Half a promise: attestations are refused until the promise ends, so asking early only saves time.
SUSPECT_AFTER_PROMISES = 0.5
# A candidate waits a little less than a promise, so that the fence follows the claim at once.
CLAIM_AFTER_S = 0.25
CLAIM_STEP_S = 0.1
VOTER_WAIT_S = 2.0
VOTER_SETTLE_S = 2.0
REBALANCE_INTERVAL_S = 1.0
RETRY_AFTER_LOG_ERROR_S = 1.0
MOVE_BURST = 10.0
COORDINATION_MOVES_PER_S = 1.0
COORDINATION_BURST = 8.0
# Keeps a plan well below the log's record limit of 1 MiB.
MAX_MOVES_PER_PLAN = 4_000


class LogReplica(Protocol):
    """Read the cluster state and append to the log."""

    @property
    def state(self) -> ClusterState: ...

    @property
    def log_reachable(self) -> bool: ...

    @property
    def incarnation(self) -> str: ...

    async def append(self, body: Any) -> Applied: ...


class AuthorityView(Protocol):
    """Tell whether this instance holds authority, and attest as a voter."""

    def held(self) -> bool: ...

    def attest(self, incarnation: str) -> AttestReply: ...


class AbsenceView(Protocol):
    """Tell whether the platform has terminated an instance."""

    def absent(self, instance: str) -> bool: ...


class _Budget:
    """A token bucket on the timer service's clock."""

    def __init__(self, timers: Timers, rate_per_s: float, burst: float) -> None:
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at_s = timers.now()

    def available(self) -> int:
        now = self._timers.now()
        self._tokens = min(self._burst, self._tokens + (now - self._at_s) * self._rate_per_s)
        self._at_s = now
        return int(self._tokens)

    def spend(self, count: int) -> None:
        self._tokens -= count


class Planner:
    """Plan while this incarnation holds the planner epoch; otherwise watch the one that does."""

    def __init__(
        self,
        settings: Settings,
        replica: LogReplica,
        peers: PeerNetwork,
        authority: AuthorityView,
        absence: AbsenceView,
        timers: Timers,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._peers = peers
        self._authority = authority
        self._absence = absence
        self._timers = timers
        self._own = replica.incarnation
        promise_s = settings.timing.promise_ms / 1000
        self._suspect_after_s = promise_s * SUSPECT_AFTER_PROMISES
        self._liveness = Liveness(peers, timers, promise_s * SUSPECT_AFTER_PROMISES)
        self._attestations = Attestations(self._ask_voter, timers, self._wake_up)
        self._usage = UsageBook(timers)
        limits = settings.limits
        self._appends = _Budget(timers, limits.append_rate_per_s / 2, limits.append_rate_per_s)
        self._moves = _Budget(timers, limits.moves_per_minute / 60, MOVE_BURST)
        self._handovers = _Budget(timers, COORDINATION_MOVES_PER_S, COORDINATION_BURST)
        self._wake = asyncio.Event()
        self._epoch: int | None = None
        self._epoch_since_s = 0.0
        self._resigned = False
        self._paused = False
        self._vacant_since_s: float | None = None
        self._voter_target: tuple[frozenset[str], float] = (frozenset(), 0.0)
        self._rebalance_due_s = 0.0
        self._coordinated_since: dict[str, tuple[int, float]] = {}
        self._suspects: frozenset[str] = frozenset()
        peers.on(UsageReport, self.on_usage_report)

    @property
    def active(self) -> bool:
        """Return whether this incarnation is the planner and may act."""
        return self._replica.state.planner == self._own and self._authority.held()

    def resign(self) -> None:
        """Never claim the planner epoch again, because this instance leaves."""
        self._resigned = True

    async def on_usage_report(self, sender: str, report: UsageReport) -> Ack | ErrorReply:
        """Store a coordinator's report; refuse it when this instance can't plan."""
        if self._replica.state.planner != self._own:
            return ErrorReply("not-the-planner")
        if self._usage.record(sender, report, self._replica.state):
            self._wake_up()
        return Ack()

    async def run(self) -> None:
        """Plan or watch until cancelled."""
        interval_s = self._settings.timing.planner_interval_ms / 1000
        pause_s = interval_s + self._settings.timing.pause_detect_ms / 1000
        try:
            while True:
                started_s = self._timers.now()
                await self._guarded_round()
                await self._wait(interval_s)
                if self._timers.now() - started_s > pause_s:
                    self._liveness.restart()
        finally:
            self._liveness.stop()
            self._attestations.stop()

    async def _wait(self, interval_s: float) -> None:
        sleep = asyncio.ensure_future(self._timers.sleep(interval_s))
        woken = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait((sleep, woken), return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            woken.cancel()
        self._wake.clear()

    def _wake_up(self) -> None:
        self._wake.set()

    async def _guarded_round(self) -> None:
        if not self._replica.log_reachable:
            self._note_paused("the log does not answer")
            return
        try:
            await self._round()
        except LogError as error:
            self._note_paused(str(error))
            await self._timers.sleep(RETRY_AFTER_LOG_ERROR_S)
            self._liveness.restart()
        else:
            self._paused = False

    def _note_paused(self, detail: str) -> None:
        if not self._paused:
            emit(Event.PLANNER_PAUSED, detail=detail)
        self._paused = True

    async def _round(self) -> None:
        state = self._replica.state
        if self._own not in state.members:
            return
        if state.planner != self._own:
            self._epoch = None
            self._attestations.stop()
            await self._consider_claim(state)
            return
        self._begin_epoch(state)
        self._liveness.probe(name for name in state.members if name != self._own)
        self._liveness.keep(state.members)
        self._note_coordinations(state)
        await self._fence_absent()
        if not effective_voters(self._replica.state, self._replica.state.voters):
            await self._first_voters()
        if not self._authority.held():
            return
        await self._fence_suspects()
        await self._write_plan()
        await self._change_voters()

    def _begin_epoch(self, state: ClusterState) -> None:
        if self._epoch == state.planner_epoch:
            return
        self._epoch = state.planner_epoch
        self._epoch_since_s = self._timers.now()
        self._rebalance_due_s = self._timers.now() + REBALANCE_INTERVAL_S
        self._usage.settle(state)

    # Claims

    async def _consider_claim(self, state: ClusterState) -> None:
        now = self._timers.now()
        planner = state.planner
        if planner in state.members:
            self._vacant_since_s = None
            self._liveness.probe((planner,))
            silent_s = self._liveness.silent_s(planner) - CLAIM_AFTER_S
        else:
            if self._vacant_since_s is None:
                self._vacant_since_s = now
            silent_s = now - self._vacant_since_s
        if self._resigned or silent_s < self._rank(state) * CLAIM_STEP_S:
            return
        if not self._may_claim(state):
            return
        body = PlannerRecord(
            instance=self._settings.instance,
            incarnation=self._own,
            previous_epoch=state.planner_epoch,
        )
        applied = await self._append(body)
        if applied is not None and not applied.rejected:
            emit(Event.PLANNER_CLAIMED, epoch=self._replica.state.planner_epoch)
            self._wake_up()

    def _rank(self, state: ClusterState) -> int:
        """Return the number of candidates that claim before this one."""
        own = state.members[self._own]
        others = (m for name, m in state.members.items() if name != state.planner)
        return sum(1 for member in others if member.joined < own.joined)

    def _may_claim(self, state: ClusterState) -> bool:
        """Return whether a claim could help.

        Without a majority of the voters a claim is useful only when the voters or the planner were
        terminated; otherwise an isolated instance would take the role from a working planner.
        """
        if self._authority.held() or not effective_voters(state, state.voters):
            return True
        planner = state.members.get(state.planner)
        return planner is None or self._absence.absent(planner.instance)

    # Fences

    async def _fence_absent(self) -> None:
        """Fence members that the platform has terminated, when no majority can attest it."""
        if self._authority.held():
            return
        state = self._replica.state
        for name, member in self._absent_members(state):
            if name == self._own or self._liveness.silent_s(name) < self._suspect_after_s:
                continue
            body = FenceRecord(instance=member, incarnation=name, absent=True)
            applied = await self._append(body)
            if applied is not None and not applied.rejected:
                emit(Event.FENCED, incarnation=name, cause="absent")

    def _absent_members(self, state: ClusterState) -> Iterable[tuple[str, str]]:
        for name, member in tuple(state.members.items()):
            if self._absence.absent(member.instance):
                yield name, member.instance

    async def _fence_suspects(self) -> None:
        state = self._replica.state
        suspects = frozenset(
            name
            for name in state.members
            if name != self._own and self._liveness.silent_s(name) >= self._suspect_after_s
        )
        for name in suspects - self._suspects:
            emit(Event.MEMBER_SUSPECTED, incarnation=name)
        for name in self._suspects - suspects:
            self._attestations.forget(name)
        self._suspects = suspects
        self._attestations.collect(suspects, {*state.voters, *state.pending_voters})
        for name in sorted(suspects):
            await self._fence_if_attested(name)

    async def _fence_if_attested(self, name: str) -> None:
        state = self._replica.state
        attesters = self._attestations.attesters(name)
        member = state.members.get(name)
        if member is None or not has_quorum(state, attesters):
            return
        body = FenceRecord(instance=member.instance, incarnation=name, attesters=attesters)
        applied = await self._append(body)
        if applied is not None and not applied.rejected:
            emit(Event.FENCED, incarnation=name, cause="attested")

    async def _ask_voter(self, voter: str, request: AttestRequest) -> Any:
        if voter == self._own:
            return self._authority.attest(request.incarnation)
        return await self._peers.request(voter, request, self._suspect_after_s)

    # Voters

    def _eligible(self, state: ClusterState) -> dict[str, Member]:
        """Return the members that answer and stay."""
        leaving = self._usage.leaving()
        return {
            name: member
            for name, member in state.members.items()
            if name not in leaving and self._liveness.silent_s(name) < self._suspect_after_s
        }

    async def _first_voters(self) -> None:
        state = self._replica.state
        eligible = self._eligible(state)
        waited = self._timers.now() - self._epoch_since_s >= VOTER_WAIT_S
        if len(eligible) >= self._settings.initial_voters or (eligible and waited):
            await self._propose(choose_voters(eligible.values(), ()))

    async def _change_voters(self) -> None:
        state = self._replica.state
        if state.pending_voters:
            await self._commit(state)
            return
        eligible = self._eligible(state)
        # A voter that is only silent keeps its place until it is fenced.
        staying = {
            name: member
            for name, member in state.members.items()
            if name in eligible or (name in state.voters and name not in self._usage.leaving())
        }
        target = choose_voters(staying.values(), state.voters)
        if not target or set(target) == set(state.voters):
            return
        if frozenset(target) != self._voter_target[0]:
            self._voter_target = (frozenset(target), self._timers.now())
        lost = any(name not in staying for name in state.voters)
        settled = self._timers.now() - self._voter_target[1] >= VOTER_SETTLE_S
        if lost or settled:
            await self._propose(target)

    async def _propose(self, voters: tuple[str, ...]) -> None:
        epoch = self._replica.state.planner_epoch
        applied = await self._append(VotersProposedRecord(epoch=epoch, voters=voters))
        if applied is not None and not applied.rejected:
            emit(Event.VOTERS_CHANGED, voters=",".join(voters))

    async def _commit(self, state: ClusterState) -> None:
        acks = [
            name
            for name in (*state.voters, *state.pending_voters)
            if name == self._own or self._liveness.position(name) >= state.pending_offset
        ]
        if has_quorum(state, acks):
            acked = tuple(dict.fromkeys(acks))
            await self._append(VotersCommittedRecord(epoch=state.planner_epoch, acks=acked))

    # Plans

    async def _write_plan(self) -> None:
        state = self._replica.state
        status = tuple(self._status_changes(state))
        planned = _with_status(state, status)
        coordinators = self._coordinator_changes(state)
        moves = self._placement_moves(planned)
        if not (status or coordinators or moves):
            return
        body = PlanRecord(
            epoch=state.planner_epoch,
            coordinators=coordinators,
            moves=moves,
            hot_keys_added=self._pins_to_add(state),
            server_status=status,
        )
        applied = await self._append(body)
        if applied is None or applied.rejected:
            return
        self._note_plan(body)

    def _note_plan(self, body: PlanRecord) -> None:
        for change in body.server_status:
            self._usage.note_status(change.server, change.status)
        for move in body.moves:
            self._usage.note_move(move.partition)
        for change in body.coordinators:
            self._usage.forget_server(change.server)
        emit(
            Event.PLAN_WRITTEN,
            coordinators=len(body.coordinators),
            moves=len(body.moves),
            status=len(body.server_status),
        )

    def _status_changes(self, state: ClusterState) -> Iterable[ServerStatus]:
        for server in state.servers:
            reported = self._usage.reported_status(server)
            known = state.server_status.get(server, STATUS_UP)
            if reported not in (STATUS_UP, STATUS_DOWN) or reported == known:
                continue
            if reported == STATUS_DOWN and not self._coordinated_long_enough(state, server):
                continue
            yield ServerStatus(server=server, status=reported)

    def _coordinated_long_enough(self, state: ClusterState, server: str) -> bool:
        """Return whether the coordinator has had a lease time to open its session.

        A new coordinator knows nothing about its server; a server that merely changed hands must
        not lose its partitions.
        """
        _, since_s = self._coordinated_since.get(server, (0, math.inf))
        return self._timers.now() - since_s >= self._settings.timing.lease_ms / 1000

    def _note_coordinations(self, state: ClusterState) -> None:
        now = self._timers.now()
        self._coordinated_since = {
            server: (
                known
                if (known := self._coordinated_since.get(server, (-1, now)))[0] == current.epoch
                else (current.epoch, now)
            )
            for server, current in state.coordinations.items()
        }

    def _coordinator_changes(self, state: ClusterState) -> tuple[CoordinatorChange, ...]:
        eligible = self._eligible(state)
        required = required_coordinators(state, eligible, self._usage.leaving())
        if required:
            return required
        changes = balancing_coordinators(state, eligible, self._handovers.available())
        self._handovers.spend(len(changes))
        return changes

    def _placement_moves(self, state: ClusterState) -> tuple[Move, ...]:
        moves: list[Move] = []
        due = self._timers.now() >= self._rebalance_due_s
        if due:
            self._rebalance_due_s = self._timers.now() + REBALANCE_INTERVAL_S
        for service in state.services:
            snapshot = self._usage.snapshot(state, service)
            required = required_moves(snapshot)
            moves.extend(required)
            if due and not required:
                limits = RebalanceLimits()
                chosen = rebalancing_moves(snapshot, limits, self._moves.available())
                self._moves.spend(len(chosen))
                moves.extend(chosen)
        return tuple(moves[:MAX_MOVES_PER_PLAN])

    def _pins_to_add(self, state: ClusterState) -> tuple[HotKey, ...]:
        return tuple(
            HotKey(service=service, key=key)
            for service, keys in state.pins.items()
            for key in keys
            if hot_partition(service, key) not in state.hot_keys
        )

    # Appends

    async def _append(self, body: Any) -> Applied | None:
        """Append a record; return None when the append budget is spent."""
        if self._appends.available() < 1:
            emit(Event.APPEND_BUDGET_SPENT, kind=type(body).__name__)
            return None
        self._appends.spend(1)
        return await self._replica.append(body)


def _with_status(state: ClusterState, changes: Collection[ServerStatus]) -> ClusterState:
    """Return the state as it will be when the status changes are in force."""
    status = {**state.server_status, **{c.server: c.status for c in changes}}
    return evolve(state, server_status=status)
