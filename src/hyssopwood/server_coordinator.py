"""Coordinate one backend server: its session, its grants and its releases."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from attrs import define, field

from hyssopwood.departures import Departures
from hyssopwood.errors import (
    AuthorityLostError,
    BackendServerError,
    ProtocolError,
    StaleEpochError,
)
from hyssopwood.events import Event, emit
from hyssopwood.inherited import InheritedWork
from hyssopwood.messages import ReleaseQuery, ReleaseReply, ServerUsage
from hyssopwood.ownership_parts import AdmissionPort, Parts
from hyssopwood.permits import Permit, PermitBook
from hyssopwood.session import Doubt, ServerReport, Session, lease_margin_s
from hyssopwood.state import STATUS_DOWN, STATUS_UP, ClusterState, Ownership
from hyssopwood.takeover import Takeover
from hyssopwood.ticket import Server, ServiceLimits
from hyssopwood.usage_meter import UsageMeter
from hyssopwood.waiting import Signal, TaskGroup

LEAVING = "leaving"
MAX_COMMAND_ITEMS = 500
MAX_CLEARANCES = 64
CLEARANCE_RETRY_S = 0.02
# Pause of the main loop while it has no authority or no session.
IDLE_S = 0.02
MIN_PAUSE_S = 0.002
# A restarted server gets its slots gradually over this time.
WARM_UP_S = 1.0
# How long a release query waits for the release at its receiver.
RELEASE_POLL_S = 0.2


@define(eq=False)
class ServerRecords:
    """What an instance knows about a server, also while another one coordinates it."""

    book: PermitBook
    meter: UsageMeter
    admission: AdmissionPort
    address: str
    # Until then an earlier process at another address may hold an unexpired lease.
    address_settled_at: float
    leaving_since: float | None = None
    doubts: dict[str, Doubt] = field(factory=dict)
    # Until then permits of earlier coordinators may start work.
    earlier_quiet_at: float = -math.inf

    def end(self, permit: Permit, now: float, completed: bool = False) -> None:
        """Forget a permit and free its slot."""
        self.book.end(permit)
        self.free_slot(permit, now, completed)

    def free_slot(self, permit: Permit, now: float, completed: bool = False) -> None:
        """Free the slot of a permit once."""
        if permit.slot_held:
            permit.slot_held = False
            self.admission.release(permit.slot, now - permit.issued_at, completed)


@define(eq=False)
class ServerCoordinator:
    """Run one server under one coordinator epoch."""

    parts: Parts
    name: str
    epoch: int
    records: ServerRecords
    served_changed: Callable[[], None] = lambda: None
    session: Session = field(init=False)
    departures: Departures = field(init=False)
    inherited: InheritedWork = field(factory=InheritedWork, init=False)
    held: dict[str, int] = field(factory=dict, init=False)
    _taken_over_at: float = field(default=math.inf, init=False)
    _incarnation: str = field(default="", init=False)
    _report: ServerReport | None = field(default=None, init=False)
    _renew_at: float = field(default=-math.inf, init=False)
    _cleared: dict[str, int] = field(factory=dict, init=False)
    _granting: set[str] = field(factory=set, init=False)
    _clearances: TaskGroup = field(factory=TaskGroup, init=False)
    _signal: Signal = field(init=False)
    _failing: bool = field(default=False, init=False)
    _lapse_noted: bool = field(default=False, init=False)
    _checks_fencing: bool = field(default=True, init=False)
    _last_entry: Server = field(init=False)

    def __attrs_post_init__(self) -> None:
        parts = self.parts
        self._signal = Signal(parts.timers)
        self.departures = Departures(self.name, parts.timing.move_freeze_ms / 1000)
        self._last_entry = parts.state.servers[self.name]
        self._checks_fencing = self._last_entry.checks_fencing
        self.session = Session(
            parts.make_channel(self.records.address),
            parts.incarnation,
            self.epoch,
            parts.timers,
            parts.timing,
            parts.authority.require,
            self.records.doubts,
        )

    # Queries

    @property
    def book(self) -> PermitBook:
        """Return the permits in use."""
        return self.records.book

    @property
    def taken_over(self) -> bool:
        """Return whether no earlier coordinator can act on the server."""
        return self.parts.timers.now() >= self._taken_over_at

    def reachable(self) -> bool:
        """Return whether the server holds a lease by our clock."""
        return self._report is not None and not self.lapsed()

    def lapsed(self) -> bool:
        """Return whether every lease that the server can have had has certainly ended."""
        return self.parts.timers.now() >= self._lapsed_at()

    def serves(self, partition: str) -> bool:
        """Return whether permits may be issued for a partition now."""
        return (
            self.taken_over
            and self.reachable()
            and partition in self.held
            and self._entitled(partition)
            and not self.departures.frozen(partition)
            and not self._leaves_for_good()
        )

    def _entitled(self, partition: str) -> bool:
        """Return whether the server owns the partition or its release is still awaited.

        A grant may be left over from an earlier life of a hot key, which others don't wait for.
        """
        owner = self.parts.state.ownerships.get(partition)
        return owner is not None and self.name in (owner.server, *owner.awaiting)

    def will_serve(self, partition: str) -> bool:
        """Return whether permits for a partition may be issued soon."""
        owner = self.parts.state.ownerships.get(partition)
        if owner is None or self._leaves_for_good():
            return False
        return owner.server == self.name or self.departures.frozen(partition)

    def status(self) -> str:
        """Return whether the server is lost, which costs less than all of its usage."""
        return STATUS_DOWN if self._failing and self.lapsed() else STATUS_UP

    def usage(self) -> ServerUsage:
        """Return status and load of the server."""
        now = self.parts.timers.now()
        partitions = self.records.meter.partitions(self._server.slots, now)
        return ServerUsage(
            self.name,
            self.status(),
            min(1.0, sum(item.busy_ratio for item in partitions)),
            partitions,
            self.records.meter.hot_keys(),
        )

    def unrecorded_moves(self) -> Mapping[str, int]:
        """Return partitions whose move is complete here and not yet recorded in the log."""
        index = self.parts.index
        done = {
            name: owner.token
            for name, owner in index.arriving.get(self.name, {}).items()
            if self.held.get(name) == owner.token
        }
        for name, owner in index.awaited.get(self.name, {}).items():
            if not owner.server and self.certainly_released(name):
                done[name] = owner.token
        return done

    def unrecorded_takeover(self) -> bool:
        """Return whether the takeover is complete and the log still awaits predecessors."""
        current = self.parts.state.coordinations.get(self.name)
        if current is None or current.epoch != self.epoch or not current.previous:
            return False
        return self.taken_over and self.parts.timers.now() >= self.inherited.quiet_at

    # Main loop

    def stop_permits(self) -> None:
        """Stop serving at once; the session ends with the task."""
        self.held.clear()
        self._taken_over_at = math.inf

    def end_permit(self, permit: Permit, completed: bool) -> None:
        """Forget a permit whose work has ended and look at the moves again."""
        self.records.end(permit, self.parts.timers.now(), completed)
        self.wake()

    def wake(self) -> None:
        """Look at the state again."""
        self._signal.set()

    async def run(self) -> None:
        """Take the server over, then renew its lease and change its grants until cancelled."""
        try:
            await self._take_over()
            while True:
                await self._cycle()
                await self._signal.wait(self._pause_s())
        finally:
            self.stop_permits()
            await self._clearances.stop_all()
            await self.session.close()

    async def _take_over(self) -> None:
        takeover = Takeover(self.parts, self.name, self.epoch)
        quiet_at = await takeover.run()
        now = self.parts.timers.now()
        self._taken_over_at = now
        self.inherited.begin(quiet_at, self._longest_s())
        self.records.earlier_quiet_at = quiet_at
        self.parts.hooks.taken_over(self.name, self.epoch)
        emit(Event.SERVER_TAKEN_OVER, server=self.name, epoch=self.epoch)
        self._clearances.start("quiet", self._await_quiet(takeover))
        await self.parts.timers.sleep(self.records.address_settled_at - now)

    async def _await_quiet(self, takeover: Takeover) -> None:
        """Renew as soon as no earlier permit can start work, to learn what still runs."""
        async for quiet_at in takeover.shorter_waits():
            self.inherited.quiet_at = min(self.inherited.quiet_at, quiet_at)
            self.records.earlier_quiet_at = self.inherited.quiet_at
        await self.parts.timers.sleep(self.inherited.quiet_at - self.parts.timers.now())
        self._renew_at = -math.inf
        self.wake()

    async def _cycle(self) -> None:
        if self._server_gone():
            return
        try:
            self.parts.authority.require()
            if self.parts.timers.now() >= self._renew_at:
                await self._renew()
            if self.reachable():
                await self._change_grants()
        except AuthorityLostError:
            self._failing = False
        except (BackendServerError, ProtocolError) as error:
            self._note_failure(error)
        self._settle()

    def _note_failure(self, error: Exception) -> None:
        if not self._failing:
            emit(Event.SESSION_LOST, server=self.name, error=error)
        self._failing = True
        if isinstance(error, StaleEpochError):
            self.held.clear()

    def _pause_s(self) -> float:
        now = self.parts.timers.now()
        pause_s = self._renew_at - now if self._renew_at > now else IDLE_S
        if self.reachable():
            pause_s = min(pause_s, self.departures.next_check(now))
        if not self.lapsed():
            pause_s = min(pause_s, self._lapsed_at() - now)
        return max(MIN_PAUSE_S, pause_s)

    # Session

    async def _renew(self) -> None:
        self._renew_at = self.parts.timers.now() + self.parts.timing.renew_interval_ms / 1000
        report = await self.session.renew()
        self._failing = False
        if report.incarnation != self._incarnation:
            self._opened(report)
        self._report = report
        self._lapse_noted = False
        self._note_held(report.holds)
        self.inherited.note(report)
        for permit in self.book.surplus_slots(report):
            self.records.free_slot(permit, report.received_at)
        self._ended(self.book.settle_by_report(report))

    def _opened(self, report: ServerReport) -> None:
        if self._incarnation:
            emit(Event.SERVER_RESTARTED, server=self.name, incarnation=report.incarnation)
            self.inherited.end()
            self._note_crash()
            self.records.admission.set_cold(WARM_UP_S)
        else:
            emit(Event.SESSION_OPENED, server=self.name, epoch=self.epoch, holds=len(report.holds))
        self.held.clear()
        if not self._checks_fencing and not self._incarnation:
            self._adopt_settled(report.holds)
        self._incarnation = report.incarnation

    def _note_crash(self) -> None:
        now = self.parts.timers.now()
        running = tuple(permit.request for permit in self.book.permits.values())
        self.parts.hooks.crashed(self.name, running)
        self._ended(self.book.settle_by_lapse(now))

    def _adopt_settled(self, holds: Mapping[str, int]) -> None:
        """Continue partitions of a server that doesn't check fencing.

        Its list may be outdated: the previous coordinator may have given a partition away while
        the server was silent. Only partitions that nobody else waits for are continued.
        """
        owned = self.parts.index.owned.get(self.name, {})
        for partition, token in holds.items():
            owner = owned.get(partition)
            if owner is not None and not owner.awaiting and owner.token == token:
                self.held[partition] = token

    def _note_held(self, holds: Mapping[str, int]) -> None:
        if self._checks_fencing:
            self.held = dict(holds)
        self._tell_changed()

    def _tell_changed(self) -> None:
        self.served_changed()
        self.parts.changed.set()

    def _lapsed_at(self) -> float:
        lease_s = self.parts.timing.lease_ms / 1000
        earlier = self._taken_over_at + lease_s + lease_margin_s(lease_s, lease_s)
        return max(earlier, self.session.lapsed_at(), self.records.address_settled_at)

    # Grants and releases

    async def _change_grants(self) -> None:
        release = self._departing()[:MAX_COMMAND_ITEMS]
        grant = self._arriving()
        if not grant and not release:
            return
        self._granting = set(grant)
        if any(partition in self.held for partition in grant):
            self.inherited.superseded |= self.inherited.count(self.parts.timers.now()) > 0
        try:
            holds = await self.session.change(grant, release)
        finally:
            self._granting = set()
        self._note_released(release, holds)
        self._note_granted(grant, holds)
        self._tell_changed()

    def _departing(self) -> tuple[str, ...]:
        owned = self.parts.index.owned.get(self.name, {})
        now = self.parts.timers.now()
        return self.departures.update(
            [name for name in self.held if name not in owned],
            self._leaves_unasked,
            self._drained,
            self._leaves_for_good(),
            now,
        )

    def _leaves_unasked(self, partition: str) -> bool:
        owner = self.parts.state.ownerships.get(partition)
        return owner is None or not owner.server or self.name not in owner.awaiting

    def _arriving(self) -> dict[str, int]:
        grant: dict[str, int] = {}
        for partition, owner in self.parts.index.owned.get(self.name, {}).items():
            if self.held.get(partition) == owner.token or len(grant) >= MAX_COMMAND_ITEMS:
                continue
            if owner.awaiting and self._cleared.get(partition) != owner.token:
                self._start_clearance(partition, owner)
                continue
            grant[partition] = owner.token
        return grant

    def _note_released(self, release: tuple[str, ...], holds: Mapping[str, int]) -> None:
        for partition in release:
            if partition in holds and self._checks_fencing:
                continue
            self.held.pop(partition, None)
            emit(Event.PARTITION_RELEASED, server=self.name, partition=partition)

    def _note_granted(self, grant: Mapping[str, int], holds: Mapping[str, int]) -> None:
        if self._checks_fencing:
            self.held = dict(holds)
        else:
            self.held.update(grant)
        for partition, token in grant.items():
            if self.held.get(partition) == token:
                self.book.supersede(partition, token)
                emit(Event.PARTITION_GRANTED, server=self.name, partition=partition, token=token)

    def _start_clearance(self, partition: str, owner: Ownership) -> None:
        name = (partition, owner.token)
        if name not in self._clearances and len(self._clearances) < MAX_CLEARANCES:
            self._clearances.start(name, self._clear(partition, owner))

    async def _clear(self, partition: str, owner: Ownership) -> None:
        """Ask until every awaited server has certainly released the partition."""
        pending = list(owner.awaiting)
        while pending and self._current(partition, owner.token):
            holder = pending[0]
            query = ReleaseQuery(partition, owner.token, holder)
            coordination = self.parts.state.coordinations.get(holder)
            if coordination is None:
                await self.parts.changed.wait(CLEARANCE_RETRY_S)
                continue
            timeout_s = RELEASE_POLL_S + self.parts.timing.peer_timeout_ms / 1000
            reply = await self.parts.ask(coordination.incarnation, query, ReleaseReply, timeout_s)
            if reply is not None and reply.released:
                pending.pop(0)
            elif pending:
                await self.parts.timers.sleep(CLEARANCE_RETRY_S)
        if not pending and self._current(partition, owner.token):
            self._cleared[partition] = owner.token
            self.wake()

    def _current(self, partition: str, token: int) -> bool:
        owner = self.parts.state.ownerships.get(partition)
        return owner is not None and owner.token == token and owner.server == self.name

    # Releases for other coordinators

    def release_if_certain(self, partition: str) -> bool:
        """Return whether the server has certainly released a partition that it doesn't own."""
        self.departures.ask(partition, self.parts.timers.now())
        if not self.certainly_released(partition):
            self.wake()
            return False
        # A lapsed server may come back and must not be served by what it held before.
        self.held.pop(partition, None)
        return True

    def certainly_released(self, partition: str) -> bool:
        """Return whether no work on a partition can be in progress or begin at the server.

        A server that checks fencing has released a partition when its lease has lapsed, or when
        its list no longer shows the partition, no grant of it is on its way and no work on it is
        in progress. Any other server obeys nobody, so only the end of every permit counts.
        """
        if not self.taken_over or partition in self._granting:
            return False
        self._settle()
        lapsed = self.lapsed()
        if not self._drained(partition, lapsed and self._checks_fencing):
            return False
        if lapsed:
            return True
        known = self._report is not None
        return known and partition not in self.held and not self.session.in_doubt(partition)

    def _drained(self, partition: str, lapsed: bool = False) -> bool:
        if self.inherited.count(self.parts.timers.now()):
            return False
        return not self.book.blocks(self.parts.state, partition, lapsed)

    # Permits that end

    def _settle(self) -> None:
        now = self.parts.timers.now()
        self._ended(self.book.settle_by_time(now))
        if self.lapsed():
            self._note_lapse(now)
        self._set_slots()

    def _note_lapse(self, now: float) -> None:
        if self._checks_fencing:
            self.inherited.lapse()
            self.held.clear()
            self._ended(self.book.settle_by_lapse(now))
        if not self._lapse_noted and self._report is not None:
            emit(Event.LEASE_LAPSED, server=self.name)
            self._tell_changed()
        self._lapse_noted = True

    def _ended(self, permits: list[Permit]) -> None:
        for permit in permits:
            self.records.free_slot(permit, self.parts.timers.now())

    def _set_slots(self) -> None:
        now = self.parts.timers.now()
        usable = self.inherited.usable_slots(self._server.slots, now) if self.reachable() else 0
        self.records.admission.set_slots(usable)

    # The server's entry in the state

    @property
    def _server(self) -> Server:
        """Return the server's entry, the last one when a ticket has just removed it."""
        self._last_entry = self.parts.state.servers.get(self.name, self._last_entry)
        return self._last_entry

    def _server_gone(self) -> bool:
        return self.name not in self.parts.state.servers

    def _leaves_for_good(self) -> bool:
        since = self.records.leaving_since
        grace_s = self.parts.timing.leaving_grace_ms / 1000
        return since is not None and self.parts.timers.now() >= since + grace_s

    def _longest_s(self) -> float:
        return longest_work_s(self.parts.state, self._server)


def longest_work_s(state: ClusterState, server: Server) -> float:
    """Return the longest deadline that entries give to a server's requests."""
    limits = state.limits.get(server.service, ServiceLimits())
    return limits.deadline_ms / 1000
