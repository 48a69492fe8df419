"""The parts of an instance that live as long as one incarnation."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field

from hyssopwood.admission import Admission
from hyssopwood.authority import Authority
from hyssopwood.checkpoint import Checkpointer
from hyssopwood.control_channel import HttpControlChannel
from hyssopwood.coordinator import Coordinators
from hyssopwood.durations import Durations
from hyssopwood.errors import LogError, PeerUnavailableError
from hyssopwood.hot_keys import HotKeys
from hyssopwood.key_replication import KeyReplication
from hyssopwood.log_client import LogClient
from hyssopwood.membership import Membership, new_incarnation
from hyssopwood.messages import Hello, PositionReply, PositionRequest, SuspectReport
from hyssopwood.outage_moves import OutageMoves
from hyssopwood.ownership_parts import Parts
from hyssopwood.peers import Peers
from hyssopwood.permit_guard import PermitGuard
from hyssopwood.planner import Planner
from hyssopwood.replica import Replica
from hyssopwood.settings import Settings
from hyssopwood.supervisor import Child, Supervisor
from hyssopwood.timers import Timers


@define(eq=False)
class Incarnation:
    """Run one incarnation: replica, peers, authority, coordinators, planner, membership."""

    settings: Settings
    timers: Timers
    log: LogClient
    durations: Durations
    on_lost: Callable[[str], Awaitable[None]]
    on_change: Callable[[], None]
    id: str = field(init=False)
    replica: Replica = field(init=False)
    peers: Peers = field(init=False)
    authority: Authority = field(init=False)
    outage: OutageMoves = field(init=False)
    replication: KeyReplication = field(init=False)
    guard: PermitGuard = field(init=False)
    coordinators: Coordinators = field(init=False)
    membership: Membership = field(init=False)
    planner: Planner = field(init=False)
    _supervisor: Supervisor = field(init=False)
    _background: set[asyncio.Task[None]] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        settings, timers = self.settings, self.timers
        self.id = new_incarnation(settings.instance)
        self._supervisor = Supervisor(self.id, timers)
        rate = settings.limits.append_rate_per_s
        self.replica = Replica(timers, self.log, self.id, append_rate_per_s=rate)
        hello = Hello(settings.instance, self.id, settings.stream)
        self.peers = Peers(hello, self.replica, timers, settings.peer_address)
        self.replica.use_peers(self.peers)
        self.authority = Authority(
            self.peers,
            self.replica,
            timers,
            settings.timing,
            moves_of=lambda incarnation: self.outage.attested(incarnation),
        )
        self.outage = OutageMoves(
            self.replica,
            self.peers,
            self.authority,
            timers,
            settings.timing,
            lambda: self.coordinators.statuses(),
            self._note_change,
        )
        self.peers.on(PositionRequest, self._on_position_request)
        self.replication = KeyReplication(self.outage, self.peers, timers, settings.timing)
        self.guard = PermitGuard(
            timers, settings.timing, self._share_suspect, self.outage, self.replication
        )
        self.peers.on(SuspectReport, self.guard.on_suspect_report)
        self.coordinators = Coordinators(self._coordinator_parts())
        self.membership = self._make_membership()
        self.planner = Planner(
            settings,
            self.outage,
            self.peers,
            self.authority,
            self.membership.instance_list,
            timers,
            self.replication.last_standby,
            self.outage,
        )
        self.membership.note_report = self.planner.note_report

    def start(self) -> None:
        """Start every part."""
        checkpointer = Checkpointer(self.timers, self.replica, self.settings.limits)
        for child in (
            Child("replica", self.replica.run),
            Child("peers", self.peers.run),
            Child("routes", self._follow_changes),
            Child("authority", self.authority.run),
            Child("refusals", self._watch_refusals),
            Child("outage moves", self.outage.run),
            Child("key replication", self.replication.run),
            Child("coordinators", self.coordinators.run),
            Child("join", self._join),
            Child("membership", self.membership.run),
            Child("planner", self.planner.run),
            Child("checkpointer", checkpointer.run),
        ):
            self._supervisor.start(child)

    async def stop(self) -> None:
        """Stop every part at once."""
        await self._supervisor.stop_all()

    async def depart(self, limit_s: float) -> bool:
        """Hand over every role and leave; return whether that was done in time."""
        self.planner.resign()
        leave = asyncio.create_task(self.membership.leave())
        handed_over = await self.coordinators.hand_over(limit_s)
        return await leave and handed_over

    def _make_membership(self) -> Membership:
        return Membership(
            self.settings,
            self.replica,
            self.peers,
            self.log,
            self.timers,
            self.coordinators.usage,
            self.coordinators.statuses,
            self.on_lost,
        )

    def _coordinator_parts(self) -> Parts:
        timing = self.settings.timing
        return Parts(
            self.outage,
            self.peers,
            self.authority,
            self.timers,
            timing,
            make_channel=lambda address: HttpControlChannel(
                address, self.timers, timing.server_timeout_ms / 1000, self.authority.require
            ),
            make_admission=lambda name, slots, limit: Admission(
                name, slots, self.timers, self.durations, limit
            ),
            hooks=self.guard,
            unrecorded=self.outage.unrecorded,
            moved_without_log=self.outage.involves,
            make_key_counter=lambda: HotKeys(self.timers),
        )

    async def _join(self) -> None:
        """Join once the log's end has been read, so that the first records are known."""
        while True:
            try:
                await self.replica.catch_up()
                break
            except LogError:
                await self.timers.sleep(self.settings.timing.planner_interval_ms / 1000)
        await self.membership.join()

    async def _watch_refusals(self) -> None:
        """Give the incarnation up when an unfinished fence leaves it without authority."""
        async for _ in self.timers.ticks(self.settings.timing.promise_ms / 1000):
            if self.authority.refused_for_good():
                await self.on_lost("refused")

    async def _follow_changes(self) -> None:
        async for applied in self.replica.changes():
            self.replication.note_state(applied.state)
            self.on_change()

    def _note_change(self) -> None:
        """Let routes and coordinators see moves that the log doesn't have."""
        self.coordinators.refresh()
        self.on_change()

    async def _on_position_request(self, _: str, __: PositionRequest) -> PositionReply:
        return PositionReply(self.replica.state.applied, self.outage.has_unrecorded())

    def _share_suspect(self, report: SuspectReport) -> None:
        for incarnation in self.replica.state.members:
            if incarnation != self.id:
                task = asyncio.create_task(self._notify(incarnation, report))
                self._background.add(task)
                task.add_done_callback(self._background.discard)

    async def _notify(self, incarnation: str, report: SuspectReport) -> None:
        try:
            await self.peers.notify(incarnation, report)
        except PeerUnavailableError:
            # The peer learns of the suspect when the request crashes a server again.
            return
