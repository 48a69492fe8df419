"""The planner role: claims, fences, voters and plans."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from hyssopwood.errors import LogError
from hyssopwood.events import Event, emit
from hyssopwood.liveness import Attestations, Liveness, PeerNetwork
from hyssopwood.messages import Ack, ErrorReply, UsageReport
from hyssopwood.messages import OutageMove as KeptMove
from hyssopwood.plans import PlanBuilder, TokenBucket
from hyssopwood.records import (
    FenceRecord,
    OutageMove,
    PlannerRecord,
    VotersCommittedRecord,
    VotersProposedRecord,
)
from hyssopwood.settings import Settings
from hyssopwood.state import (
    MAX_VOTERS,
    ClusterState,
    Member,
    effective_voters,
    has_quorum,
)
from hyssopwood.timers import Timers
from hyssopwood.transitions import Applied
from hyssopwood.usage_reports import UsageBook
from hyssopwood.voters import choose_voters, instance_of
from hyssopwood.waiting import Signal

FEWEST_SPREAD_VOTERS = 3
# Voters attest nothing before a promise has run out, so asking early only saves time.
SUSPECT_AFTER_PROMISES = 0.5
# A candidate waits a little less than a promise, so that the fence follows the claim at once.
CLAIM_AFTER_S = 0.25
CLAIM_STEP_S = 0.1
# Silence of the planner, in probe intervals, after which candidates probe every member.
PRECAUTION_INTERVALS = 1.2
# A planner that answers but accepts no reports lacks a majority of the voters.
IDLE_AFTER_S = 2.0
# Longer than any promise or message lives after its process has ended.
TERMINATED_AFTER_S = 1.0
# A member that is silent for longer but not fenced is only out of the planner's reach.
UNREACHABLE_AFTER_S = 2.0
VOTER_WAIT_S = 2.0
# Keeps a rounding error from turning the wait for a turn into a busy loop.
MIN_WAIT_S = 0.005
VOTER_SETTLE_S = 1.0
# A replacement usually joins sooner, and a smaller set tolerates no more failures meanwhile.
VOTER_SHRINK_S = 10.0
RETRY_AFTER_LOG_ERROR_S = 1.0
# Part of the instance's append rate that plans may use; one plan carries every change of a round.
PLAN_APPEND_SHARE = 0.25


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
    """Tell whether this instance holds authority."""

    def held(self) -> bool: ...


class AbsenceView(Protocol):
    """Tell whether the platform has terminated an instance."""

    def absent(self, instance: str) -> bool: ...


class OutageView(Protocol):
    """Tell which moves this instance keeps that the log doesn't have."""

    def has_unrecorded(self) -> bool: ...

    def attested(self, incarnation: str) -> tuple[KeptMove, ...]: ...


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
        standby: Callable[[str], str] = lambda server: "",
        outage: OutageView | None = None,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._authority = authority
        self._absence = absence
        self._outage = outage
        self._timers = timers
        self._own = replica.incarnation
        self._interval_s = settings.timing.planner_interval_ms / 1000
        self._suspect_after_s = settings.timing.promise_ms / 1000 * SUSPECT_AFTER_PROMISES
        self._wake = Signal(timers)
        self._liveness = Liveness(peers, timers, self._suspect_after_s)
        self._attestations = Attestations(peers, timers, self._suspect_after_s, self._wake.set)
        self._usage = UsageBook(timers)
        self._plans = PlanBuilder(settings, self._usage, timers, standby)
        rate_per_s = settings.limits.append_rate_per_s * PLAN_APPEND_SHARE
        self._appends = TokenBucket(timers, rate_per_s, max(2.0, 2 * rate_per_s))
        self._epoch: int | None = None
        self._epoch_since_s = 0.0
        self._resigned = False
        self._paused = False
        self._over_budget = False
        self._vacant_since_s = math.inf
        self._refused = ("", math.inf)
        self._voter_target: tuple[frozenset[str], float] = (frozenset(), 0.0)
        self._suspects: frozenset[str] = frozenset()
        peers.on(UsageReport, self.on_usage_report)

    def resign(self) -> None:
        """Never claim the planner epoch again, because this instance leaves."""
        self._resigned = True

    def note_report(self, planner: str, accepted: bool) -> None:
        """Take note of whether the planner accepted this instance's usage report."""
        if accepted:
            self._refused = ("", math.inf)
        elif self._refused[0] != planner:
            self._refused = (planner, self._timers.now())

    async def on_usage_report(self, sender: str, report: UsageReport) -> Ack | ErrorReply:
        """Store a coordinator's report; refuse it when this instance can't plan."""
        if self._replica.state.planner != self._own:
            return ErrorReply("not-the-planner")
        if self._usage.record(sender, report, self._replica.state):
            self._wake.set()
        return Ack() if self._authority.held() else ErrorReply("no-authority")

    async def run(self) -> None:
        """Plan or watch until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._probe())
                tasks.create_task(self._plan())
        finally:
            await self._liveness.stop()
            await self._attestations.stop()

    async def _probe(self) -> None:
        """Probe the planner, or as the planner every member; appends don't delay probes."""
        pause_s = self._interval_s + self._settings.timing.pause_detect_ms / 1000
        last_s = self._timers.now()
        async for now in self._timers.ticks(self._interval_s):
            if now - last_s > pause_s:
                self._liveness.restart()
            last_s = now
            watched = tuple(self._watched(self._replica.state))
            self._liveness.probe(watched)
            self._liveness.keep(watched)

    def _watched(self, state: ClusterState) -> Iterable[str]:
        """Return the members to probe.

        A candidate watches the planner only, until it may have to replace it; by the time of its
        claim it then knows which others are silent too.
        """
        if state.planner != self._own and state.planner in state.members:
            answers = (
                self._liveness.silent_s(state.planner) < PRECAUTION_INTERVALS * self._interval_s
            )
            if answers and self._authority.held():
                return (state.planner,)
        return (name for name in state.members if name != self._own)

    async def _plan(self) -> None:
        while True:
            if self._replica.log_reachable:
                await self._guarded_round()
            else:
                self._note_pause("the log does not answer")
            await self._wake.wait(min(self._interval_s, self._until_turn_s()))

    async def _guarded_round(self) -> None:
        try:
            await self._round()
        except LogError as error:
            self._note_pause(str(error))
            await self._timers.sleep(RETRY_AFTER_LOG_ERROR_S)
        else:
            self._paused = False

    def _note_pause(self, detail: str) -> None:
        if not self._paused:
            emit(Event.PLANNER_PAUSED, detail=detail)
        self._paused = True

    async def _round(self) -> None:
        state = self._replica.state
        if self._own not in state.members:
            return
        if state.planner != self._own:
            self._epoch = None
            self._suspects = frozenset()
            await self._consider_claim(state)
            return
        if self._epoch != state.planner_epoch:
            self._begin_epoch(state)
        if not self._authority.held():
            await self._fence_absent()
            await self._propose_first_voters()
            return
        await self._fence_suspects()
        # Plans come before voters: keys wait for the plan, and a majority of the voters is left.
        await self._write_plan()
        await self._change_voters()

    def _begin_epoch(self, state: ClusterState) -> None:
        self._epoch = state.planner_epoch
        self._epoch_since_s = self._timers.now()
        self._plans.begin_epoch()

    # Claims

    async def _consider_claim(self, state: ClusterState) -> None:
        silent_s = self._vacant_s(state)
        self._watch_promises(state, silent_s)
        # Each candidate waits a little longer than those that joined earlier, so that few race.
        overdue = silent_s >= self._rank(state) * CLAIM_STEP_S
        if self._resigned or not overdue or not self._may_claim(state):
            return
        body = PlannerRecord(
            instance=self._settings.instance,
            incarnation=self._own,
            previous_epoch=state.planner_epoch,
        )
        if await self._append(body):
            emit(Event.PLANNER_CLAIMED, epoch=self._replica.state.planner_epoch)
            self._wake.set()

    def _until_turn_s(self) -> float:
        """Return the time until this candidate's turn; infinite when it isn't ahead."""
        state = self._replica.state
        if self._own not in state.members or state.planner == self._own:
            return math.inf
        left_s = self._rank(state) * CLAIM_STEP_S - self._vacant_s(state)
        return max(left_s, MIN_WAIT_S) if left_s > 0 else math.inf

    def _vacant_s(self, state: ClusterState) -> float:
        """Return since when the role may be claimed; negative while the planner works."""
        now = self._timers.now()
        if state.planner not in state.members:
            self._vacant_since_s = min(self._vacant_since_s, now)
            return now - self._vacant_since_s
        self._vacant_since_s = math.inf
        planner, refused_s = self._refused
        idle_s = now - refused_s - IDLE_AFTER_S if planner == state.planner else -math.inf
        return max(self._liveness.silent_s(state.planner) - CLAIM_AFTER_S, idle_s)

    def _watch_promises(self, state: ClusterState, silent_s: float) -> None:
        """Ask the voters about a planner that may have to be replaced."""
        doubtful = state.planner in state.members
        doubtful = doubtful and silent_s >= self._suspect_after_s - CLAIM_AFTER_S
        suspects = (state.planner,) if doubtful and self._authority.held() else ()
        self._attestations.keep(state.members)
        self._attestations.collect(suspects, {*state.voters, *state.pending_voters})

    def _rank(self, state: ClusterState) -> int:
        """Return the number of candidates that claim before this one."""
        own = state.members[self._own]
        others = (member for name, member in state.members.items() if name != state.planner)
        return sum(1 for member in others if member.joined < own.joined)

    def _may_claim(self, state: ClusterState) -> bool:
        """Return whether a claim could help.

        A planner that only this instance can't reach keeps its promises at a majority of the
        voters; otherwise two instances without a connection would take the role from each other.
        Without a majority a claim helps only when the planner was terminated or no voter is left.
        """
        planner = state.members.get(state.planner)
        if not effective_voters(state, state.voters):
            return True
        if not self._authority.held():
            if planner is not None:
                return self._is_terminated(state, planner)
            # Instances with authority claim sooner; without any, only a planner can help.
            return self._vacant_s(state) >= IDLE_AFTER_S
        if planner is None:
            return True
        return has_quorum(state, self._attestations.lapsing(state.planner, self._suspect_after_s))

    # Fences

    async def _fence_absent(self) -> None:
        """Fence what the platform has terminated, because no majority can attest it."""
        for name, member in tuple(self._replica.state.members.items()):
            if name != self._own and self._is_terminated(self._replica.state, member):
                await self._fence(name, member.instance, (), "absent")
        state = self._replica.state
        for name in dict.fromkeys((*state.voters, *state.pending_voters)):
            fenced = name not in state.members and state.fenced.get(name, 0) >= 0
            if fenced and self._is_replaced(state, name):
                await self._fence(name, instance_of(name), (), "absent")

    def _is_terminated(self, state: ClusterState, member: Member) -> bool:
        """Return whether a member's process is certainly gone.

        Either the platform's list has not shown the instance for longer than its lag, or a newer
        incarnation of the instance listens on the same address.
        """
        if self._liveness.silent_s(member.incarnation) < TERMINATED_AFTER_S:
            return False
        if self._absence.absent(member.instance):
            return True
        return any(
            other.peer_address == member.peer_address and other.joined > member.joined
            for other in self._answering(state, member.instance)
        )

    def _is_replaced(self, state: ClusterState, voter: str) -> bool:
        """Return whether a fenced voter can't give promises any more.

        A process ends a fenced incarnation before it joins as a new one.
        """
        instance = instance_of(voter)
        return self._absence.absent(instance) or any(self._answering(state, instance))

    def _answering(self, state: ClusterState, instance: str) -> Iterable[Member]:
        for name, member in state.members.items():
            if member.instance == instance and (name == self._own or self._liveness.answers(name)):
                yield member

    async def _fence_suspects(self) -> None:
        state = self._replica.state
        suspects = frozenset(
            name
            for name in state.members
            if name != self._own and self._liveness.silent_s(name) >= self._suspect_after_s
        )
        for name in suspects - self._suspects:
            emit(Event.MEMBER_SUSPECTED, incarnation=name)
        self._suspects = suspects
        self._attestations.keep(state.members)
        self._attestations.collect(suspects, {*state.voters, *state.pending_voters})
        for name in sorted(suspects):
            attesters = self._attestations.attesters(name)
            current = self._replica.state
            member = current.members.get(name)
            if member is not None and has_quorum(current, attesters):
                await self._fence(name, member.instance, attesters, "attested")

    async def _fence(
        self, name: str, instance: str, attesters: tuple[str, ...], cause: str
    ) -> None:
        body = FenceRecord(
            instance=instance,
            incarnation=name,
            attesters=attesters,
            absent=not attesters,
            outage_moves=self._moves_of(name),
        )
        if await self._append(body):
            emit(Event.FENCED, incarnation=name, cause=cause)

    def _moves_of(self, incarnation: str) -> tuple[OutageMove, ...]:
        """Return the moves without the log that a fenced incarnation made."""
        moves = {move.partition: move for move in self._attestations.moves(incarnation)}
        if self._outage is not None:
            moves |= {move.partition: move for move in self._outage.attested(incarnation)}
        return tuple(
            OutageMove(partition=m.partition, source=m.source, target=m.target, token=m.token)
            for m in moves.values()
        )

    # Voters

    def _eligible(self, state: ClusterState, silent_s: float = math.inf) -> dict[str, Member]:
        """Return the members that stay and answered within `silent_s` and the suspect time."""
        limit_s = min(silent_s, self._suspect_after_s)
        return {
            name: member
            for name, member in state.members.items()
            if name not in self._usage.leaving and self._liveness.silent_s(name) < limit_s
        }

    async def _propose_first_voters(self) -> None:
        state = self._replica.state
        if effective_voters(state, state.voters):
            return
        eligible = self._eligible(state)
        waited = self._timers.now() - self._epoch_since_s >= VOTER_WAIT_S
        if len(eligible) >= self._settings.initial_voters or waited:
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
            if name in eligible or (name in state.voters and name not in self._usage.leaving)
        }
        kept = [name for name in state.voters if name in staying]
        target = choose_voters(staying.values(), kept, _largest_step(len(kept)))
        if not target or set(target) == set(state.voters):
            return
        if frozenset(target) != self._voter_target[0]:
            self._voter_target = (frozenset(target), self._timers.now())
        waited_s = self._timers.now() - self._voter_target[1]
        spare = len(kept) - (len(effective_voters(state, state.voters)) // 2 + 1)
        if len(kept) == len(state.voters):
            due_s = VOTER_SETTLE_S
        else:
            # Without a spare voter each slow one interrupts everybody, so fewer are better.
            due_s = 0.0 if spare <= 0 or len(target) // 2 > spare else VOTER_SHRINK_S
        if waited_s >= due_s:
            await self._propose(target)

    async def _propose(self, voters: tuple[str, ...]) -> None:
        epoch = self._replica.state.planner_epoch
        if voters and await self._append(VotersProposedRecord(epoch=epoch, voters=voters)):
            emit(Event.VOTERS_CHANGED, voters=",".join(voters))

    async def _commit(self, state: ClusterState) -> None:
        """Commit the pending voters once majorities have applied their proposal."""
        acks = tuple(
            name
            for name in dict.fromkeys((*state.voters, *state.pending_voters))
            if self._has_applied(name, state.pending_offset)
        )
        if has_quorum(state, acks):
            await self._append(VotersCommittedRecord(epoch=state.planner_epoch, acks=acks))

    def _has_applied(self, name: str, offset: int) -> bool:
        """Return whether a voter knows a proposal and keeps no moves that the log lacks.

        New voters would not know those moves, so a fence could miss them.
        """
        if name == self._own:
            return self._outage is None or not self._outage.has_unrecorded()
        return self._liveness.position(name) >= offset and not self._liveness.keeps_moves(name)

    # Plans

    async def _write_plan(self) -> None:
        if self._appends.available() < 1:
            if not self._over_budget:
                emit(Event.APPEND_BUDGET_SPENT)
            self._over_budget = True
            return
        self._over_budget = False
        state = self._replica.state
        # Servers go to members that answered the last probe, if there are any.
        prompt = self._eligible(state, PRECAUTION_INTERVALS * self._interval_s)
        body = self._plans.build(state, prompt or self._eligible(state), self._unreachable(state))
        if body is None:
            return
        self._appends.spend(1)
        if await self._append(body):
            self._plans.written(body)

    def _unreachable(self, state: ClusterState) -> frozenset[str]:
        """Return members that hold authority but whose reports can't reach this planner."""
        return frozenset(
            name for name in state.members if self._liveness.silent_s(name) >= UNREACHABLE_AFTER_S
        )

    async def _append(self, body: Any) -> bool:
        """Append a record; return whether it came into force."""
        applied = await self._replica.append(body)
        return not applied.rejected


def _largest_step(kept: int) -> int:
    """Return the size of a new set of voters in which `kept` present voters are a majority.

    Authority needs promises from a majority of the pending voters too, and only the present ones
    have given any. A single voter can't be a majority of more, so the first step goes to three.
    """
    return min(MAX_VOTERS, max(FEWEST_SPREAD_VOTERS, 2 * kept - 1))
