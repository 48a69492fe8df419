"""Links between the leader and the other instances: heartbeats, plans and load reports."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from hyssopwood.errors import InputError, PeerUnavailableError, ProtocolError
from hyssopwood.events import Event, emit
from hyssopwood.gateway.crash_suspects import Suspects
from hyssopwood.gateway.evacuations import EvacuationState
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, InstanceUpdate
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.keyspace.link_codec import (
    Heartbeat,
    Hello,
    InstanceReport,
    LinkMessage,
    PlanUpdate,
    Resync,
    ServerUpdate,
    decode,
    encode,
)
from hyssopwood.keyspace.plan import NO_PLAN, Plan, PlanChange
from hyssopwood.keyspace.plan_codec import decode_plan, encode_plan
from hyssopwood.keyspace.plan_view import RangePause
from hyssopwood.timers import Timers
from hyssopwood.transfers import PROGRESS_BYTES

# Three heartbeats fit into LINK_SILENCE_S.
HEARTBEAT_INTERVAL_S = 0.3
# A heartbeat older than HEARTBEAT_FRESH_S no longer replaces reads of the store.
HEARTBEAT_FRESH_S = 0.7
# Nor do the leader's registrations at this age. With the interval of own reads (0.5 s) and one read
# it fits into the time in which a leaving server must be detected, 2 s at the least.
SERVERS_FRESH_S = 1.2
# The leader's configuration replaces own reads until this time after the store showed the leader
# that there is no later one. It covers the leader's long poll and two heartbeats, and leaves 0.5 s
# of the shortest time in which a configuration must be in force for an own read.
CONFIGURATION_FRESH_S = 1.5
# A link counts as lost if neither a message nor PROGRESS_BYTES of one arrive for this long.
LINK_SILENCE_S = 0.95
# Load reports arrive as often as the leader balances load.
REPORT_INTERVAL_S = 0.25
# Reports that a leader receives per second from all instances. Decoding a small one takes 0.08 ms,
# in addition to receiving it; four per second from each of 195 instances would delay heartbeats.
REPORTS_PER_S = 160
CONNECT_TIMEOUT_S = 0.6
# Age that a heartbeat states for registrations of a leader whose configuration has an unknown age.
UNKNOWN_AGE_S = 3600.0
# A connected leader that the store hasn't confirmed for this long is replaced by an instance that
# reaches the store. All followers leave its link then and link again if none can replace it.
LEADER_STALE_S = 1.8
# Instances that have no link to a new leader, or to one that the store has confirmed again, are
# removed from the list after this time.
RELINK_S = 2.0
# An instance without a link is sent announcements for this long, as it may be unable to read the
# leader from the store.
ANNOUNCE_TO_UNLINKED_S = 30.0
# Changes of the plan that are kept for instances that link with an older version.
KEPT_CHANGES = 64
# Instances that are sent all registrations or the whole plan per heartbeat interval. Both have
# about 50 KB in the largest deployment, and a machine's network link may carry 5 Mbit/s: 84 at once
# delay heartbeats for seconds, so that the leader counts as lost.
RESYNCS_PER_HEARTBEAT = 2
MAX_FRAME_BYTES = 4_194_304
# Bytes that a slow instance may leave unread before its link is closed.
MAX_UNSENT_BYTES = 1_048_576
_LENGTH = struct.Struct(">I")


def _ignore() -> None:
    pass


async def _read(
    reader: asyncio.StreamReader, on_progress: Callable[[], None] = _ignore
) -> LinkMessage:
    """Return the next message; report each PROGRESS_BYTES of it."""
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise ProtocolError(f"a link message has {length} bytes")
    data = bytearray()
    while len(data) < length:
        data += await reader.readexactly(min(PROGRESS_BYTES, length - len(data)))
        on_progress()
    return decode(bytes(data))


async def _read_unless_silent(reader: asyncio.StreamReader) -> LinkMessage:
    """Return the next message; raise TimeoutError if nothing arrives for LINK_SILENCE_S."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(LINK_SILENCE_S) as limit:
        return await _read(reader, lambda: limit.reschedule(loop.time() + LINK_SILENCE_S))


def _frame(message: LinkMessage) -> bytes:
    data = encode(message)
    return _LENGTH.pack(len(data)) + data


def _write(writer: asyncio.StreamWriter, message: LinkMessage) -> None:
    writer.write(_frame(message))


def _set_send_timeout(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None:
        limit_ms = int(LINK_SILENCE_S * 1000)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def report_interval_s(instances: int) -> float:
    """Return the interval of reports of each instance, by the number of instances."""
    return max(REPORT_INTERVAL_S, instances / REPORTS_PER_S)


@frozen
class LeaderStatus:
    """The state that the leader sends in its heartbeats."""

    store_age_s: float
    configuration: int
    servers_age_s: float
    servers_digest: int
    plan_version: int
    configuration_age_s: float | None = None
    term: int = 0
    retry_sharers: int = 0
    evacuations: EvacuationState | None = None

    def heartbeat(self, now: float) -> Heartbeat:
        """Return the heartbeat with this state."""
        return Heartbeat(
            self.store_age_s,
            self.configuration,
            self._oldest_age_s(),
            self.servers_digest,
            self.plan_version,
            self.configuration_age_s,
            now,
            self.term,
            self.retry_sharers,
            self.evacuations,
        )

    def _oldest_age_s(self) -> float:
        """Return the age of the registrations, or of a configuration that is too old to rely on.

        Followers of earlier builds judge the configuration by the age of the registrations.
        """
        age_s = self.configuration_age_s
        if age_s is None:
            return max(self.servers_age_s, UNKNOWN_AGE_S)
        return max(self.servers_age_s, age_s if age_s > CONFIGURATION_FRESH_S else 0.0)


@define(eq=False)
class LinkServer:
    """Accept links of other instances while this instance leads; otherwise close them."""

    _address: str
    _timers: Timers
    # Returns None while this instance doesn't lead.
    _status: Callable[[], LeaderStatus | None]
    _plan: Callable[[], Plan | None]
    _servers: Callable[[], tuple[ServerRecord, ...]]
    _on_report: Callable[[InstanceReport], None]
    _on_hello: Callable[[Hello], None]
    _instances: InstanceList
    # Sends a datagram to an instance's address that announces this one as the leader.
    _announce: Callable[[str], None]
    _suspects: Callable[[], Suspects] = Suspects
    # Called with an instance and its incarnation, and whether a link of it was opened or closed.
    _on_link: Callable[[tuple[str, str], bool], None] = lambda process, opened: None
    # Suspects that all linked instances were last sent.
    _sent_suspects: Suspects = field(factory=Suspects, init=False)
    # Instances without a link, and the time at which that was first noticed.
    _unlinked: dict[str, tuple[InstanceRecord, float]] = field(factory=dict, init=False)
    # Instances that changed since the last heartbeat; None for those that were removed.
    _unsent_changes: dict[str, InstanceRecord | None] = field(factory=dict, init=False)
    _leading: bool = field(default=False, init=False)
    # Until this time no instance is removed from the list: instances without a link may be running.
    _keep_until: float = field(default=float("-inf"), init=False)
    _recent_changes: deque[PlanChange] = field(
        factory=lambda: deque(maxlen=KEPT_CHANGES), init=False
    )
    _pending_resyncs: dict[asyncio.StreamWriter, Resync] = field(factory=dict, init=False)
    _writers: dict[asyncio.StreamWriter, str] = field(factory=dict, init=False)
    _processes: dict[asyncio.StreamWriter, tuple[str, str]] = field(factory=dict, init=False)

    async def start(self) -> asyncio.Server:
        """Accept links."""
        host, _, port = self._address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def run(self) -> None:
        """Send heartbeats and the requested resyncs until cancelled."""
        async for _ in self._timers.ticks(HEARTBEAT_INTERVAL_S):
            self.send_heartbeat()
            for writer in list(self._pending_resyncs)[:RESYNCS_PER_HEARTBEAT]:
                self._send_all(writer, self._pending_resyncs.pop(writer))

    def _send_all(self, writer: asyncio.StreamWriter, wanted: Resync) -> None:
        if wanted.servers:
            self._send(writer, ServerUpdate(self._servers(), complete=True))
        plan = self._plan()
        if wanted.plan and plan is not None:
            self._send(writer, PlanUpdate(encode_plan(plan)))

    def _send_plan_since(self, writer: asyncio.StreamWriter, version: int) -> None:
        """Send the changes since a version if they are kept; else the instance reads the store."""
        for change in self._recent_changes:
            if change.base == version:
                self._send(writer, change)
                version = change.version

    def send_heartbeat(self) -> None:
        """Send a heartbeat to every linked instance, or close the links if not leading."""
        status = self._status()
        for writer in list(self._writers):
            if status is None:
                writer.transport.abort()
        if status is not None:
            self._keep_instances_if_stale(status)
            self._broadcast(status.heartbeat(self._timers.now()))
            self._send_suspects()
        self._track_unlinked(status is not None)
        if status is not None:
            self._send_instance_changes()
        else:
            self._unsent_changes.clear()

    def _send_suspects(self) -> None:
        suspects = self._suspects()
        if suspects != self._sent_suspects:
            self._sent_suspects = suspects
            self._broadcast(suspects)

    def _track_unlinked(self, leading: bool) -> None:
        """Announce this leader to instances without a link, and remove those that don't link."""
        now = self._timers.now()
        if not leading:
            self._leading = False
            self._unlinked.clear()
            return
        linked = set(self._writers.values())
        for record, since in list(self._unlinked.values()):
            if record.instance in linked or now - since > ANNOUNCE_TO_UNLINKED_S:
                del self._unlinked[record.instance]
            else:
                self._announce(record.address)
        if not self._leading:
            self._leading = True
            self._keep_until = now + RELINK_S
            for record in self._instances.others():
                if record.instance not in linked:
                    self._unlinked[record.instance] = record, now
        elif now >= self._keep_until:
            unlinked = tuple(
                item.instance for item in self._instances.others() if item.instance not in linked
            )
            self._change_instances(InstanceUpdate((), unlinked))

    def _keep_instances_if_stale(self, status: LeaderStatus) -> None:
        """Keep instances without a link in the list if the store doesn't confirm this leader.

        Followers leave such a leader although they run; without them, each instance would count too
        few that share the retries, and queues would have several keepers.
        """
        if status.store_age_s >= LEADER_STALE_S:
            self._keep_until = self._timers.now() + RELINK_S

    def _change_instances(self, update: InstanceUpdate) -> None:
        """Apply a change; linked instances are sent it with the next heartbeat."""
        if not self._instances.apply(update):
            return
        for name in update.removed:
            self._unsent_changes[name] = None
        for record in update.present:
            self._unsent_changes[record.instance] = record

    def _send_instance_changes(self) -> None:
        """Send all changes of instances since the last heartbeat in one message."""
        if not self._unsent_changes:
            return
        present = tuple(record for record in self._unsent_changes.values() if record is not None)
        removed = tuple(name for name, record in self._unsent_changes.items() if record is None)
        self._unsent_changes.clear()
        self._broadcast(InstanceUpdate(present, removed))

    def publish_server(self, record: ServerRecord, removed: bool) -> None:
        """Send a changed registration to every linked instance."""
        self._broadcast(ServerUpdate((), (record,)) if removed else ServerUpdate((record,)))

    def publish(self, change: PlanChange) -> None:
        """Send a change to every linked instance."""
        self._recent_changes.append(change)
        self._broadcast(change)

    def publish_pause(self, pause: RangePause) -> None:
        """Send every linked instance the range whose owner is about to release it."""
        self._broadcast(pause)

    def _queue_resync(self, writer: asyncio.StreamWriter, wanted: Resync) -> None:
        before = self._pending_resyncs.get(writer, Resync())
        servers, plan = wanted.servers or before.servers, wanted.plan or before.plan
        self._pending_resyncs[writer] = Resync(servers, plan)

    def _broadcast(self, message: LinkMessage) -> None:
        """Send a message to every linked instance; it is encoded once."""
        frame = _frame(message)
        for writer in list(self._writers):
            self._send_frame(writer, frame)

    def _send(self, writer: asyncio.StreamWriter, message: LinkMessage) -> None:
        self._send_frame(writer, _frame(message))

    def _send_frame(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        if writer.transport.is_closing():
            # Several links can end at once, before the task of each has removed it.
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            writer.transport.abort()
            return
        writer.write(frame)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _set_send_timeout(writer)
        try:
            hello = await _read(reader)
            status = self._status()
            if status is None or not isinstance(hello, Hello):
                return
            self._open_link(writer, hello, status)
            while True:
                message = await _read(reader)
                if isinstance(message, InstanceReport):
                    self._on_report(message)
                elif isinstance(message, Resync):
                    self._queue_resync(writer, message)
        except (OSError, asyncio.IncompleteReadError):
            emit(Event.PEER_LOST, instance=self._writers.get(writer, "unknown"))
        except ProtocolError as error:
            emit(Event.PEER_REJECTED, error=error)
        finally:
            self._close_link(writer)

    def _open_link(self, writer: asyncio.StreamWriter, hello: Hello, status: LeaderStatus) -> None:
        """Count an instance in and send it what it lacks."""
        self._change_instances(InstanceUpdate((hello.record,)))
        self._writers[writer] = hello.record.instance
        self._processes[writer] = hello.record.instance, hello.incarnation
        self._on_link(self._processes[writer], True)
        emit(Event.PEER_CONNECTED, instance=hello.record.instance, build=hello.record.build)
        self._on_hello(hello)
        if hello.instances_digest != self._instances.digest():
            _write(writer, InstanceUpdate(self._instances.records(), complete=True))
        self._send_plan_since(writer, hello.plan_version)
        self._keep_instances_if_stale(status)
        _write(writer, self._sent_suspects)
        _write(writer, status.heartbeat(self._timers.now()))

    def _close_link(self, writer: asyncio.StreamWriter) -> None:
        instance = self._writers.pop(writer, None)
        process = self._processes.pop(writer, None)
        if process is not None:
            self._on_link(process, False)
        self._pending_resyncs.pop(writer, None)
        writer.close()
        if instance and instance not in self._writers.values() and self._status() is not None:
            record = self._instances.get(instance)
            now = self._timers.now()
            if record is not None:
                self._unlinked[instance] = record, now
            if now >= self._keep_until:
                self._change_instances(InstanceUpdate((), (instance,)))


@define
class LeaderLink:
    """Follow a leader: receive its plans and heartbeats, and send it reports."""

    _timers: Timers
    _hello: Callable[[], Hello]
    _offer_plan: Callable[[Plan, str], bool]
    _plan: Callable[[], Plan | None]
    _recent_report: Callable[[], InstanceReport]
    _next_report: Callable[[], InstanceReport]
    _on_servers: Callable[[ServerUpdate], None]
    _on_pause: Callable[[RangePause], None]
    _on_instances: Callable[[InstanceUpdate], object]
    _on_suspects: Callable[[Suspects], None] = lambda suspects: None
    _instance_count: Callable[[], int] = lambda: 1
    # Called with the leader's term, the number of processes that share the extra retries, and the
    # ages of that number and of the leader's last confirmation.
    _on_count: Callable[[int, int, float, float], None] = lambda term, count, age_s, store_age_s: (
        None
    )
    # Called with the evacuated domains that the leader states; None if evacuations are ignored.
    _on_evacuations: Callable[[EvacuationState], None] | None = None
    _heartbeat: Heartbeat | None = field(default=None, init=False)
    _heartbeat_at: float = field(default=float("-inf"), init=False)
    # Smallest difference between the own clock at the arrival of a heartbeat and the leader's at
    # its sending; None if the leader doesn't state the latter.
    _clock_offset_s: float | None = field(default=None, init=False)
    # Time at which the hello was sent on the current link, and the leader's clock at its first
    # heartbeat, which can't have been sent earlier.
    _linked_at: float = field(default=float("-inf"), init=False)
    _first_sent_at: float | None = field(default=None, init=False)
    _heartbeat_received: asyncio.Event = field(factory=asyncio.Event, init=False)
    _writer: asyncio.StreamWriter | None = field(default=None, init=False)

    @property
    def heartbeat(self) -> Heartbeat | None:
        """Return the leader's last heartbeat on the current link."""
        return self._heartbeat

    @property
    def linked_at(self) -> float:
        """Return when the hello was sent on the current or last link."""
        return self._linked_at

    def longest_heartbeat_age_s(self) -> float:
        """Return the longest time that can have passed since the leader sent the last heartbeat."""
        if self._heartbeat is None:
            return float("inf")
        if self._first_sent_at is None or self._heartbeat.sent_at is None:
            return self._heartbeat_age_s()
        since_first_s = self._heartbeat.sent_at - self._first_sent_at
        return self._timers.now() - self._linked_at - since_first_s

    def fresh_heartbeat(self) -> Heartbeat | None:
        """Return the last heartbeat if it is fresh enough to replace reads of registrations."""
        if self._heartbeat is None or self._heartbeat_age_s() > HEARTBEAT_FRESH_S:
            return None
        age_s = self._heartbeat.servers_age_s + self._heartbeat_age_s()
        return self._heartbeat if age_s <= SERVERS_FRESH_S else None

    def configuration_version(self) -> int:
        """Return the configuration version in the last heartbeat, 0 if that is too old."""
        if self._heartbeat is None or self._heartbeat_age_s() > HEARTBEAT_FRESH_S:
            return 0
        return self._heartbeat.configuration

    def configuration_age_s(self) -> float | None:
        """Return the age of the leader's configuration, or None if it isn't known."""
        if self._heartbeat is None or self._heartbeat.configuration_age_s is None:
            return None
        return self._heartbeat.configuration_age_s + self._heartbeat_age_s()

    def configuration_fresh_s(self) -> float:
        """Return for how long the last heartbeat may still replace reads of the configuration."""
        age_s = self.configuration_age_s()
        if age_s is None or not self._states_evacuations():
            return 0.0
        return min(CONFIGURATION_FRESH_S - age_s, HEARTBEAT_FRESH_S - self._heartbeat_age_s())

    def _states_evacuations(self) -> bool:
        """Return whether the leader states all that this instance would read of the topic."""
        if self._on_evacuations is None:
            return True
        return self._heartbeat is not None and self._heartbeat.evacuations is not None

    def _heartbeat_age_s(self) -> float:
        """Return the time since the leader sent the last heartbeat.

        A heartbeat may have waited in the buffers of a slow connection. The fastest one on a link
        shows how far apart the two clocks are.
        """
        if self._heartbeat is None:
            return float("inf")
        if self._clock_offset_s is None or self._heartbeat.sent_at is None:
            return self._timers.now() - self._heartbeat_at
        return self._timers.now() - self._clock_offset_s - self._heartbeat.sent_at

    def _accept_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self._timers.now()
        self._heartbeat, self._heartbeat_at = heartbeat, now
        if self._first_sent_at is None:
            self._first_sent_at = heartbeat.sent_at
        if heartbeat.sent_at is None:
            self._clock_offset_s = None
        else:
            offset_s = now - heartbeat.sent_at
            known = self._clock_offset_s
            self._clock_offset_s = offset_s if known is None else min(known, offset_s)
        received, self._heartbeat_received = self._heartbeat_received, asyncio.Event()
        received.set()

    def request_servers(self) -> None:
        """Request all registrations from the leader."""
        self._request(Resync(servers=True))

    def request_plan(self) -> None:
        """Request the whole plan from the leader."""
        self._request(Resync(plan=True))

    def _request(self, wanted: Resync) -> None:
        if self._writer is not None and not self._writer.transport.is_closing():
            _write(self._writer, wanted)

    async def wait_heartbeat(self) -> None:
        """Wait for the next heartbeat."""
        await self._heartbeat_received.wait()

    async def follow(self, address: str, stay: Callable[[Heartbeat], bool]) -> None:
        """Follow until `stay` returns False; raise PeerUnavailableError if the link is lost."""
        self._heartbeat = self._clock_offset_s = self._first_sent_at = None
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            raise PeerUnavailableError(f"no link to the leader at {address}") from error
        _set_send_timeout(writer)
        self._linked_at = self._timers.now()
        _write(writer, self._hello())
        self._writer = writer
        reports = asyncio.ensure_future(self._send_reports(writer))
        try:
            await self._receive(reader, stay)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ProtocolError) as error:
            detail = f"the link to the leader at {address} was lost: {type(error).__name__}"
            raise PeerUnavailableError(detail) from error
        finally:
            self._heartbeat = None
            self._writer = None
            reports.cancel()
            writer.transport.abort()

    async def _receive(
        self, reader: asyncio.StreamReader, stay: Callable[[Heartbeat], bool]
    ) -> None:
        while True:
            message = await _read_unless_silent(reader)
            if isinstance(message, Heartbeat):
                if message.evacuations is not None and self._on_evacuations is not None:
                    self._on_evacuations(message.evacuations)
                self._accept_heartbeat(message)
                age_s = self._heartbeat_age_s()
                store_age_s = message.store_age_s + age_s
                self._on_count(message.term, message.retry_sharers, age_s, store_age_s)
                if not stay(evolve(message, store_age_s=store_age_s)):
                    return
            elif isinstance(message, ServerUpdate):
                self._on_servers(message)
            elif isinstance(message, RangePause):
                self._on_pause(message)
            elif isinstance(message, InstanceUpdate):
                self._on_instances(message)
            elif isinstance(message, Suspects):
                self._on_suspects(message)
            else:
                self._apply_plan_message(message)

    def _apply_plan_message(self, message: LinkMessage) -> None:
        if isinstance(message, PlanUpdate):
            try:
                self._offer_plan(decode_plan(message.document), "leader")
            except InputError as error:
                raise ProtocolError(str(error)) from error
        elif isinstance(message, PlanChange):
            plan = self._plan() or NO_PLAN
            # A change applies only to the plan that it is based on.
            if plan.version == message.base:
                self._offer_plan(message.apply(plan), "leader")

    async def _send_reports(self, writer: asyncio.StreamWriter) -> None:
        _write(writer, self._recent_report())
        while True:
            await self._timers.sleep(report_interval_s(self._instance_count()))
            report = self._next_report()
            if not report.empty:
                _write(writer, report)
