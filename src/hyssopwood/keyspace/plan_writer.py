"""Serialized writes of the leader: claims, confirmations and changes of the plan."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, evolve, field

from hyssopwood.errors import (
    AppendConflictError,
    AppendUnconfirmedError,
    LogError,
    LogUnavailableError,
    MembershipLostError,
)
from hyssopwood.events import Event, emit
from hyssopwood.keyspace.authority import Authority
from hyssopwood.keyspace.plan import Leader, Plan
from hyssopwood.keyspace.plan_store import PlanStore, StoredPlan
from hyssopwood.keyspace.position import era_of
from hyssopwood.timers import Timers

WRITE_RETRY_S = 0.3
# No other instance can have claimed if the leader's last write was confirmed more recently than
# this: others claim only after LEADER_SILENCE_S (1.15 s) without a write; clocks differ slightly.
NO_RIVAL_WINDOW_S = 1.0


@define
class PlanWriter:
    """Write for one leader; a conflicting write of another leader ends its leadership."""

    _store: PlanStore
    _leader: Leader
    _authority: Authority
    _timers: Timers
    # Position of the next write.
    _end: int
    _newest: Plan | None = field(default=None, init=False)
    _listeners: list[Callable[[], None]] = field(factory=list, init=False)
    _lock: asyncio.Lock = field(factory=asyncio.Lock, init=False)

    @property
    def has_unrecorded_leases(self) -> bool:
        """Return whether servers may have leases that the stored plan doesn't record."""
        return self._leader.has_unrecorded_leases

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener when a restored store may have lost another leader's moves."""
        self._listeners.append(listener)

    def clear_unrecorded_leases(self) -> None:
        """Record that every lease that the stored plan doesn't record has expired."""
        self._leader = evolve(self._leader, has_unrecorded_leases=False)

    async def claim(self, plan: Plan | None, doubtful: bool = False) -> Plan | None:
        """Become the leader, and set a new fencing token for all ranges of the plan.

        A claim is doubtful if the store may have lost writes of earlier leaders.
        """
        self._leader = evolve(self._leader, claim=self._end, has_unrecorded_leases=doubtful)
        claimed = None if plan is None else plan.with_fence(self._end)
        await self._write(lambda _: claimed)
        return claimed

    async def confirm(self) -> None:
        """Renew the authority by writing the leader's record."""
        await self._write(lambda _: None)

    async def resign(self) -> None:
        """Store a leader record without an address, so that another instance can claim at once."""
        self._leader = evolve(self._leader, address="")
        await self._write(lambda _: None)
        self._authority.revoke()

    async def change(self, build: Callable[[int], Plan]) -> Plan:
        """Store the plan that `build` returns for its version, and return the stored plan.

        The plan is built again under a later version if the store was restored meanwhile.
        """
        plan = await self._write(build)
        assert plan is not None
        return plan

    async def _write(self, build: Callable[[int], Plan | None]) -> Plan | None:
        async with self._lock:
            # The leader's record may change while a write is in progress; keep the written one.
            plan, leader = build(self._end), self._leader
            while True:
                sent = self._timers.now()
                try:
                    end = await self._store.write(self._end, plan, leader)
                except AppendConflictError as error:
                    stored = await self._load()
                    if not self._was_applied(stored, plan, leader):
                        self._resume_after_restore(stored, str(error))
                        plan, leader = self._rebuild(build), self._leader
                        continue
                    end = stored.end_position
                except (AppendUnconfirmedError, LogUnavailableError) as error:
                    # The condition stays the same, so the write takes effect at most once.
                    emit(Event.APPEND_RETRIED, error=error)
                    await self._timers.sleep(WRITE_RETRY_S)
                    continue
                if era_of(end) != era_of(self._end):
                    # The store was restored meanwhile and happened to end at the expected offset.
                    self._resume_after_restore(await self._load(), "the store was restored")
                    plan, leader = self._rebuild(build), self._leader
                    continue
                self._end = end
                self._newest = plan or self._newest
                self._authority.confirm(sent)
                return plan

    async def _load(self) -> StoredPlan:
        while True:
            try:
                return await self._store.load()
            except LogError:
                await self._timers.sleep(WRITE_RETRY_S)

    def _was_applied(self, stored: StoredPlan, plan: Plan | None, leader: Leader) -> bool:
        """Return whether the conflict is with this write itself, whose answer was lost."""
        records = 1 if plan is None else 2
        if stored.leader != leader or stored.end_position != self._end + records:
            return False
        return plan is None or (stored.plan is not None and stored.plan.version == plan.version)

    def _rebuild(self, build: Callable[[int], Plan | None]) -> Plan | None:
        """Return the plan to write after a restore, as the store may have lost the newest one."""
        plan = build(self._end)
        if plan is not None or self._newest is None:
            return plan
        # The owners keep their tokens: tokens of an earlier era are lower than all later ones.
        return Plan(self._end, self._newest.services)

    def _resume_after_restore(self, stored: StoredPlan, cause: str) -> None:
        """Continue from the end of a restored store, or after a record of an earlier era.

        Raise MembershipLostError if another instance leads or may lead.
        """
        now = self._timers.now()
        restored = era_of(stored.end_position) != era_of(self._end)
        outdated = stored.leader is not None and is_from_earlier_era(
            stored.leader, stored.end_position
        )
        if not self._authority.is_valid(now) or not (
            outdated or (restored and stored.leader is None)
        ):
            self._authority.revoke()
            raise MembershipLostError(f"the plan was changed by another leader: {cause}")
        if restored:
            doubtful = self._authority.age_s(now) >= NO_RIVAL_WINDOW_S
            has_unrecorded_leases = doubtful or self._leader.has_unrecorded_leases
            self._leader = evolve(
                self._leader, claim=stored.end_position, has_unrecorded_leases=has_unrecorded_leases
            )
            emit(Event.STORE_RESTORED, era=era_of(stored.end_position), doubtful=doubtful)
            if doubtful:
                for listener in self._listeners:
                    listener()
        self._end = stored.end_position


def is_from_earlier_era(leader: Leader, end: int) -> bool:
    """Return whether the leader claimed in an earlier era of the store."""
    return leader.claim >= 0 and era_of(leader.claim) < era_of(end)
