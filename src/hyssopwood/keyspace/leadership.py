"""Leader election for the plan: following a leader, claiming when there is none, leading.

The store decides: a claim is a write on the condition that nothing was written since the last read.
A claim changes no owner, so an early claim is harmless: the new leader waits for the leases of the
previous one, range by range.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from attrs import define, evolve, field, frozen

from hyssopwood.errors import (
    AppendConflictError,
    LogError,
    MembershipLostError,
    PeerUnavailableError,
)
from hyssopwood.events import Event, emit
from hyssopwood.gateway.instance_list import NOMINAL_CAPACITY_MILLICORES
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace.authority import Authority
from hyssopwood.keyspace.key_manager import SETTLE_S
from hyssopwood.keyspace.link import LEADER_STALE_S, LeaderLink
from hyssopwood.keyspace.link_codec import Heartbeat
from hyssopwood.keyspace.plan import Leader, Plan
from hyssopwood.keyspace.plan_store import PlanStore, StoredPlan
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.keyspace.plan_writer import PlanWriter, is_from_earlier_era
from hyssopwood.keyspace.position import era_of
from hyssopwood.timers import Timers

# Each confirmation is a write to the store; a slow store answers in 0.24 s.
CONFIRM_INTERVAL_S = 0.7
# A leader that wrote nothing for this long, and that can't be connected to, is replaced.
LEADER_SILENCE_S = 1.15
# Interval of reads while the store is unavailable or there is no leader.
POLL_INTERVAL_S = 0.7
# After a link was lost, the store is read at this interval to see whether the leader still writes;
# the link is retried after that.
SILENCE_POLL_S = 0.25
# Interval for instances that aren't candidates; they claim if all candidates are lost.
NON_CANDIDATE_POLL_S = 1.0
# Spreads the claims of several instances.
CLAIM_JITTER_S = 0.4
# Instances with less capacity than this wait before they claim, so that one with room for the
# leader's work claims first: a leader of 0.43 cores that links 85 instances and moves the keys of
# 26 lost servers at once delays its heartbeats and is replaced.
AMPLE_CAPACITY_MILLICORES = 800
# Delay of an instance without capacity; others wait in proportion to the capacity they lack. It
# covers two polls of the instances with ample capacity.
LOW_CAPACITY_CLAIM_DELAY_S = 0.6
# Delay of an instance that reaches no server. It claims only if no other does, as whoever leads
# then still passes on configurations and the list of instances.
CUT_OFF_CLAIM_DELAY_S = 2.0
# A process of the system's first start that reads an empty store this soon after its own start, has
# read it before any other process divided keys: others start at most START_SKEW_S earlier.
START_SKEW_S = 0.3
EARLY_READ_S = SETTLE_S - START_SKEW_S
# A leader whose last announcement is older than this, three heartbeats, may have been replaced.
ANNOUNCEMENT_LIFETIME_S = 1.0


async def _never() -> None:
    await asyncio.Event().wait()


@frozen
class Claim:
    """A successful claim: the writer, the claimed plan and the previous leader."""

    writer: PlanWriter
    authority: Authority
    plan: Plan | None
    predecessor: Leader | None
    # The process of the previous leader has certainly ended.
    predecessor_ended: bool
    # Time by which the store had lost writes, so that servers may have leases that the plan doesn't
    # record; None if it has lost none.
    writes_lost_by: float | None = None


@frozen(kw_only=True)
class LeadershipDependencies:
    """The objects, callbacks and settings that leadership uses."""

    store: PlanStore
    identity: Leader
    view: PlanView
    link: LeaderLink
    timers: Timers
    rng: random.Random
    availability: StoreAvailability
    # Whether this process belongs to the first start of the whole system.
    first_start: bool = False
    # Whether this instance is one of the few that check closely whether the leader is silent.
    is_candidate: Callable[[], bool] = lambda: True
    # Thousandths of a core that this instance has.
    capacity: int = NOMINAL_CAPACITY_MILLICORES
    # Does the leader's work on the claimed plan until it fails or is cancelled.
    lead: Callable[[Claim], Awaitable[None]]
    may_lead: Callable[[], bool]
    # Returns when another instance should lead, as this one reaches no server and others do.
    wait_hand_over: Callable[[], Awaitable[None]] = _never
    # Whether this instance reaches no server, so that others claim first.
    is_cut_off: Callable[[], bool] = lambda: False


@define
class Leadership:
    """Follow the plan's leader, or become the leader if there is none."""

    _deps: LeadershipDependencies
    _authority: Authority | None = field(default=None, init=False)
    _last_end_position: int = field(default=-1, init=False)
    _started_at: float | None = field(default=None, init=False)
    # Highest end of the plan's partition that was read; None before the first read.
    _highest_end: int | None = field(default=None, init=False)
    # When the store was first read in its present era, or later if it lost writes within it.
    _era_read_at: float = field(default=float("-inf"), init=False)
    # The store has lost nothing since the first start of the whole system.
    _complete: bool = field(default=False, init=False)
    _last_write_seen_at: float = field(default=0.0, init=False)
    _follow_not_before: float = field(default=float("-inf"), init=False)
    _store_available: bool = field(default=True, init=False)
    _plan_read: asyncio.Future[None] | None = field(default=None, init=False)
    # End of the plan's partition at which this instance last let others claim first.
    _deferred_at_position: int | None = field(default=None, init=False)
    # The latest leader that announced itself, its claim and the time of the announcement.
    _announced: Leader | None = field(default=None, init=False)
    _announced_claim: int = field(default=-1, init=False)
    _announced_at: float = field(default=float("-inf"), init=False)
    _announcement_received: asyncio.Event = field(factory=asyncio.Event, init=False)

    @property
    def leading(self) -> bool:
        """Return whether this instance leads."""
        return self._authority is not None

    def store_age_s(self) -> float | None:
        """Return the age of this instance's authority, or None while it doesn't lead."""
        if self._authority is None:
            return None
        return self._authority.age_s(self._deps.timers.now())

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        if self._started_at is None:
            self._started_at = self._deps.timers.now()
        while True:
            stored = await self._load()
            if stored is None:
                await self._follow_announced()
                await self._deps.timers.sleep(POLL_INTERVAL_S)
                continue
            if stored.plan is not None:
                self._deps.view.offer(stored.plan, "store")
            if self._may_claim(stored):
                if not await self._defer_to_stronger(stored):
                    await self._claim_and_lead(stored)
            elif self._deps.timers.now() < self._follow_not_before:
                await self._wait_for_announcement()
            else:
                await self._follow(stored)

    def handle_announcement(self, leader: Leader, claim: int) -> None:
        """Record a leader's announcement; this instance may be unable to read it from the store."""
        if claim < self._announced_claim or leader.instance == self._deps.identity.instance:
            return
        self._announced, self._announced_claim = leader, claim
        self._announced_at = self._deps.timers.now()
        self._announcement_received.set()

    async def _wait_for_announcement(self) -> None:
        """Wait before the next read of the store, and follow a leader that announces itself."""
        if self._deps.is_candidate():
            await self._deps.timers.sleep(SILENCE_POLL_S)
            return
        self._announcement_received.clear()
        try:
            async with asyncio.timeout(NON_CANDIDATE_POLL_S):
                await self._announcement_received.wait()
        except TimeoutError:
            return
        await self._follow_announced()

    def _announced_leader(self) -> Leader | None:
        fresh = self._deps.timers.now() - self._announced_at < ANNOUNCEMENT_LIFETIME_S
        return self._announced if fresh else None

    async def _follow_announced(self) -> None:
        """Follow a leader that announced itself recently, if there is one."""
        leader = self._announced_leader()
        if leader is None:
            return
        emit(Event.LEADER_TOLD, instance=leader.instance, claim=self._announced_claim)
        try:
            await self._deps.link.follow(leader.address, self._keep_following)
        except PeerUnavailableError as error:
            emit(Event.PEER_LOST, instance=leader.instance, error=error)
            self._announced_at = float("-inf")

    async def _load(self) -> StoredPlan | None:
        if not self._deps.availability.may_call():
            return None
        try:
            stored = await self._deps.availability.call(self._deps.store.load)
        except LogError as error:
            if self._store_available:
                emit(Event.LOG_UNAVAILABLE, use="plan", error=error)
            self._store_available = False
            return None
        if not self._store_available:
            self._store_available = True
            emit(Event.LOG_RECOVERED, use="plan")
            # The leader can't be observed without the store, so that time isn't its silence.
            self._last_end_position = -1
        self._track_losses(stored.end_position)
        if stored.end_position != self._last_end_position:
            self._last_end_position = stored.end_position
            self._last_write_seen_at = self._deps.timers.now()
        return stored

    def _track_losses(self, end: int) -> None:
        """Record when the store can have lost writes at the latest."""
        now, highest = self._deps.timers.now(), self._highest_end
        known = max(self._deps.view.version, -1 if highest is None else highest - 1)
        if highest is not None and era_of(end) == era_of(highest) and end > known:
            self._highest_end = end
            return
        self._highest_end, self._era_read_at = end, now
        started = float("-inf") if self._started_at is None else self._started_at
        early = highest is None and now - started <= EARLY_READ_S
        self._complete = self._deps.first_start and early

    async def _read_plan(self, version: int) -> None:
        """Read the plan from the store; request it from the leader if `version` isn't reached."""
        try:
            stored = await self._load()
            if stored is not None and stored.plan is not None:
                self._deps.view.offer(stored.plan, "store")
            if self._deps.view.version < version:
                self._deps.link.request_plan()
        finally:
            self._plan_read = None

    def _may_claim(self, stored: StoredPlan) -> bool:
        if not self._deps.may_lead():
            return False
        leader = stored.leader
        if self._may_lack_writes(stored):
            # The leader whose writes are lost may be running; only it has the state of all leases.
            return self._deps.timers.now() - self._last_write_seen_at >= LEADER_SILENCE_S
        if leader is None or leader.instance == self._deps.identity.instance or not leader.address:
            # An earlier process of this instance has ended, so it no longer leads.
            return True
        return self._deps.timers.now() - self._last_write_seen_at >= LEADER_SILENCE_S

    def _may_lack_writes(self, stored: StoredPlan) -> bool:
        """Return whether the store may have lost writes of earlier leaders by a restore."""
        end, plan, leader = stored.end_position, stored.plan, stored.leader
        if leader is not None and (
            leader.has_unrecorded_leases or is_from_earlier_era(leader, end)
        ):
            return True
        if self._deps.view.version > (-1 if plan is None else plan.version):
            return True
        if plan is not None:
            return era_of(plan.version) < era_of(end)
        # Without a plan and a leader the store may be a copy from before the first plan.
        return leader is None and not self._complete

    async def _defer_to_stronger(self, stored: StoredPlan) -> bool:
        """Let instances with more capacity claim first; return whether that delayed this one.

        The delay applies once to each state of the store.
        """
        delay_s = self._claim_delay_s()
        if not delay_s or self._deferred_at_position == stored.end_position:
            return False
        self._deferred_at_position = stored.end_position
        await self._deps.timers.sleep(delay_s)
        return True

    def _claim_delay_s(self) -> float:
        lacking = max(0.0, 1 - self._deps.capacity / AMPLE_CAPACITY_MILLICORES)
        cut_off_s = CUT_OFF_CLAIM_DELAY_S if self._deps.is_cut_off() else 0.0
        return cut_off_s + LOW_CAPACITY_CLAIM_DELAY_S * lacking

    async def _follow(self, stored: StoredPlan) -> None:
        leader = stored.leader
        if leader is None or not leader.address or leader.is_same_process(self._deps.identity):
            await self._deps.timers.sleep(POLL_INTERVAL_S)
            return
        try:
            await self._deps.link.follow(leader.address, self._keep_following)
        except PeerUnavailableError as error:
            emit(Event.PEER_LOST, instance=leader.instance, error=error)
            self._follow_not_before = self._deps.timers.now() + LEADER_SILENCE_S + SILENCE_POLL_S
            await self._deps.timers.sleep(SILENCE_POLL_S * self._deps.rng.random())
            return
        # The leader is connected but has lost the store.
        await self._replace_stale(leader)

    def _keep_following(self, heartbeat: Heartbeat) -> bool:
        if heartbeat.plan_version > self._deps.view.version and self._plan_read is None:
            # Changes precede the heartbeat with their version, so one was missed before the link.
            self._plan_read = asyncio.ensure_future(self._read_plan(heartbeat.plan_version))
        replaced = (
            self._announced_claim > heartbeat.plan_version and self._announced_leader() is not None
        )
        return heartbeat.store_age_s < LEADER_STALE_S and not replaced

    async def _replace_stale(self, leader: Leader) -> None:
        jitter_s = CLAIM_JITTER_S * self._deps.rng.random()
        await self._deps.timers.sleep(self._claim_delay_s() + jitter_s)
        stored = await self._load()
        if stored is None:
            await self._deps.timers.sleep(POLL_INTERVAL_S)
            return
        if stored.leader == leader and self._deps.may_lead():
            await self._claim_and_lead(stored)

    async def _claim_and_lead(self, stored: StoredPlan) -> None:
        deps = self._deps
        authority = Authority()
        writer = PlanWriter(deps.store, deps.identity, authority, deps.timers, stored.end_position)
        doubtful = self._may_lack_writes(stored)
        latest_plan = stored.plan
        if latest_plan is None or deps.view.version > latest_plan.version:
            latest_plan = deps.view.plan
        try:
            plan = await writer.claim(latest_plan, doubtful)
        except (MembershipLostError, AppendConflictError, LogError) as error:
            emit(Event.CLAIM_LOST, error=error)
            await deps.timers.sleep(CLAIM_JITTER_S * deps.rng.random())
            return
        at = stored.end_position
        emit(Event.PLANNER_CLAIMED, instance=deps.identity.instance, at=at, doubtful=doubtful)
        if plan is not None:
            deps.view.offer(plan, "own claim")
        self._authority = authority
        try:
            claim = _claim(writer, authority, plan, stored.leader, deps.identity)
            lost_by = self._era_read_at if doubtful else None
            await self._lead(evolve(claim, writes_lost_by=lost_by), at)
        except (MembershipLostError, LogError) as error:
            emit(Event.AUTHORITY_LOST, error=error)
        finally:
            self._authority = None
            authority.revoke()

    async def _lead(self, claim: Claim, claimed_at: int) -> None:
        tasks = {
            asyncio.ensure_future(self._confirm(claim.writer)),
            asyncio.ensure_future(self._hand_over(claim.writer)),
            asyncio.ensure_future(self._deps.lead(claim)),
            asyncio.ensure_future(self._wait_replaced(claimed_at)),
        }
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_replaced(self, claimed_at: int) -> None:
        """Raise MembershipLostError when a leader announces itself that claimed after this one.

        A leader that is cut off from the store doesn't learn of its successor otherwise, and would
        route requests by a plan that is no longer continued.
        """
        while True:
            self._announcement_received.clear()
            await self._announcement_received.wait()
            if self._announced is not None and self._announced_claim > claimed_at:
                raise MembershipLostError(f"{self._announced.instance} has claimed the plan since")

    async def _hand_over(self, writer: PlanWriter) -> None:
        await self._deps.wait_hand_over()
        emit(Event.LEADERSHIP_HANDED_OVER, instance=self._deps.identity.instance)
        if self._authority is not None:
            # The successor counts on no grants after the resignation, whose answer may be lost.
            self._authority.revoke()
        await writer.resign()

    async def _confirm(self, writer: PlanWriter) -> None:
        async for _ in self._deps.timers.ticks(CONFIRM_INTERVAL_S):
            if not self._deps.may_lead():
                await writer.resign()
                return
            await writer.confirm()


def _claim(
    writer: PlanWriter,
    authority: Authority,
    plan: Plan | None,
    predecessor: Leader | None,
    identity: Leader,
) -> Claim:
    # An instance runs one process at a time, so its earlier process has ended; a leader that
    # resigned had stopped its work before.
    ended = (
        predecessor is None or not predecessor.address or predecessor.instance == identity.instance
    )
    return Claim(writer, authority, plan, predecessor, ended)
