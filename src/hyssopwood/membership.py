"""Membership of this instance: join, leave, instance list and usage reports."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from hyssopwood.errors import HyssopwoodError, LogError, MembershipLostError
from hyssopwood.events import Event, emit
from hyssopwood.liveness import PeerNetwork
from hyssopwood.messages import Ack, ServerUsage, UsageReport
from hyssopwood.planner import LogReplica
from hyssopwood.records import JoinRecord, LeaveRecord
from hyssopwood.settings import Settings
from hyssopwood.state import ClusterState
from hyssopwood.timers import Timers
from hyssopwood.voters import instance_of

LIST_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 1.0
REPORT_RETRY_S = 0.2
RETRY_S = 0.5
VOTER_HANDOVER_S = 2.0
INCARNATION_BYTES = 4


def new_incarnation(instance: str) -> str:
    """Return an incarnation id that no earlier process of the instance has used."""
    return f"{instance}.{secrets.token_hex(INCARNATION_BYTES)}"


class InstanceListClient(Protocol):
    """Read the platform's list of instances."""

    async def instances(self) -> Any:
        """Return a list with `as_of_ms` and `instances`, each with `name` and `state`."""
        ...


class InstanceList:
    """Track how long the platform's list has not shown each instance.

    Absence counts in the list's own time as well as in this process's time, so a list that stands
    still proves nothing. A list without this instance, which is evidently alive, is ignored.
    """

    def __init__(self, own_instance: str, lag_ms: int, timers: Timers) -> None:
        self._own_instance = own_instance
        self._lag_ms = lag_ms
        self._timers = timers
        self._as_of_ms = -1
        self._absent_since: dict[str, tuple[float, int]] = {}
        self._usable = True

    def observe(self, listed: Any, state: ClusterState) -> None:
        """Take in one reading of the list."""
        names = {item.name for item in listed.instances}
        usable = self._own_instance in names and listed.as_of_ms > self._as_of_ms
        if not usable and self._usable:
            emit(Event.INSTANCE_LIST_IGNORED, as_of_ms=listed.as_of_ms, instances=len(names))
        self._usable = usable
        if not usable:
            return
        self._as_of_ms = listed.as_of_ms
        now = self._timers.now()
        voters = (instance_of(voter) for voter in (*state.voters, *state.pending_voters))
        known = {*voters, *(member.instance for member in state.members.values())}
        self._absent_since = {
            name: self._absent_since.get(name, (now, listed.as_of_ms)) for name in known - names
        }

    def absent(self, instance: str) -> bool:
        """Return whether an instance has been absent for longer than the list's lag."""
        since = self._absent_since.get(instance)
        if since is None:
            return False
        since_s, since_ms = since
        waited_ms = (self._timers.now() - since_s) * 1000
        return min(waited_ms, self._as_of_ms - since_ms) >= self._lag_ms


class Membership:
    """Keep this incarnation a member and tell the daemon when it no longer is one."""

    def __init__(
        self,
        settings: Settings,
        replica: LogReplica,
        peers: PeerNetwork,
        platform: InstanceListClient,
        timers: Timers,
        usage: Callable[[], tuple[ServerUsage, ...]],
        statuses: Callable[[], tuple[tuple[str, str], ...]],
        on_lost: Callable[[str], Awaitable[None]],
        note_report: Callable[[str, bool], None] = lambda planner, accepted: None,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._peers = peers
        self._platform = platform
        self._timers = timers
        self._usage = usage
        self._statuses = statuses
        self._on_lost = on_lost
        self.note_report = note_report
        self._joined = False
        self._leaving = False
        self._sent: tuple[object, ...] = ()
        self._report_due_s = 0.0
        self.instance_list = InstanceList(
            settings.instance, settings.timing.instance_list_lag_ms, timers
        )

    @property
    def _own(self) -> str:
        return self._replica.incarnation

    async def join(self) -> None:
        """Become a member; retry while the log is unavailable."""
        body = JoinRecord(
            instance=self._settings.instance,
            incarnation=self._own,
            peer_address=self._settings.peer_address,
            http_address=self._settings.http_address,
            failure_domain=self._settings.failure_domain,
        )
        while self._own not in self._replica.state.members:
            if self._own in self._replica.state.fenced:
                raise MembershipLostError(f"incarnation {self._own!r} was fenced")
            try:
                await self._replica.append(body)
            except LogError:
                await self._timers.sleep(RETRY_S)
        self._joined = True
        emit(Event.JOINED, incarnation=self._own)

    async def leave(self) -> bool:
        """Hand over and leave; return False when that took longer than the drain limit."""
        self._leaving = True
        started_s = self._timers.now()
        while self._own in self._replica.state.members:
            waited_s = self._timers.now() - started_s
            if waited_s >= self._settings.timing.drain_limit_ms / 1000:
                return False
            if self._may_leave(self._replica.state, waited_s):
                await self._try_to_leave()
            else:
                await self._timers.sleep(CHECK_INTERVAL_S)
        emit(Event.LEFT, incarnation=self._own)
        return True

    def _may_leave(self, state: ClusterState, waited_s: float) -> bool:
        """Return whether others have taken over this instance's roles.

        A member may leave while it is a voter, but then its vote is missing until it is replaced.
        """
        if any(self._own in (c.incarnation, *c.previous) for c in state.coordinations.values()):
            return False
        votes = self._own in (*state.voters, *state.pending_voters)
        return not votes or len(state.members) == 1 or waited_s >= VOTER_HANDOVER_S

    async def _try_to_leave(self) -> None:
        body = LeaveRecord(instance=self._settings.instance, incarnation=self._own)
        try:
            applied = await self._replica.append(body)
        except LogError:
            await self._timers.sleep(RETRY_S)
            return
        if applied.rejected:
            await self._timers.sleep(CHECK_INTERVAL_S)

    async def run(self) -> None:
        """Watch the own membership and the platform's list, and report usage."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch())
            tasks.create_task(self._read_list())
            tasks.create_task(self._report())

    async def _watch(self) -> None:
        async for _ in self._timers.ticks(CHECK_INTERVAL_S):
            state = self._replica.state
            if not self._joined or self._leaving or self._own in state.members:
                continue
            self._joined = False
            reason = "fenced" if self._own in state.fenced else "vanished"
            emit(Event.INCARNATION_LOST, incarnation=self._own, reason=reason)
            await self._on_lost(reason)

    async def _read_list(self) -> None:
        async for _ in self._timers.ticks(LIST_INTERVAL_S):
            try:
                listed = await self._platform.instances()
            except HyssopwoodError:
                continue
            self.instance_list.observe(listed, self._replica.state)

    async def _report(self) -> None:
        async for now in self._timers.ticks(CHECK_INTERVAL_S):
            planner = self._replica.state.planner
            if not self._joined or planner not in self._replica.state.members:
                continue
            # Status changes and a new planner can't wait for the next periodic report.
            key = (planner, self._leaving, self._statuses())
            # Half a check interval absorbs rounding errors, which would delay each report by one.
            if key == self._sent and now + CHECK_INTERVAL_S / 2 < self._report_due_s:
                continue
            report = UsageReport(self._settings.instance, self._usage(), self._leaving)
            accepted = await self._send(planner, report)
            self.note_report(planner, accepted)
            self._sent = key
            self._report_due_s = now + (REPORT_INTERVAL_S if accepted else REPORT_RETRY_S)

    async def _send(self, planner: str, report: UsageReport) -> bool:
        try:
            timeout_s = self._settings.timing.peer_timeout_ms / 1000
            reply = await self._peers.request(planner, report, timeout_s)
        except HyssopwoodError:
            return False
        return isinstance(reply, Ack)
