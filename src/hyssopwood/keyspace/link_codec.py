"""Messages between the leader and the other instances, and their encoding."""

from __future__ import annotations

from functools import singledispatch
from pathlib import Path
from typing import Any, TypeAlias

import capnp
from attrs import field, frozen

from hyssopwood.errors import ProtocolError
from hyssopwood.gateway.crash_suspects import CrashReport, Suspects
from hyssopwood.gateway.evacuations import EvacuationState, TopicPosition
from hyssopwood.gateway.instance_list import InstanceRecord, InstanceUpdate
from hyssopwood.gateway.limit_codec import fill_limit, read_limit
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_limits import LimitNotice
from hyssopwood.keyspace.plan import KeyRange, PlanChange
from hyssopwood.keyspace.plan_view import RangePause

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("cluster.capnp")))
# Limit on what the decoder reads from a peer's message, in words of 8 bytes.
TRAVERSAL_WORDS = 1 << 20
# Highest work of a request in relation to the mean of its service.
MAX_WORK_PER_REQUEST = 1000.0
MAX_COUNT = 65_535
MAX_MS = 2**32 - 1


@frozen
class Hello:
    """The first message of an instance on a link to the leader."""

    record: InstanceRecord
    incarnation: str
    # Version of the instance's plan, and digest of its list of instances.
    plan_version: int = -1
    instances_digest: int = 0


@frozen
class InstanceReport:
    """Load and server observations of an instance since its last report."""

    keys: dict[str, dict[int, int]]
    # Mean time of answers that weren't queued, in seconds, by server incarnation.
    times: dict[tuple[str, int], float]
    crashes: CrashReport = CrashReport()
    # Server incarnations that have announced in an answer that they are leaving.
    leaving: tuple[tuple[str, int], ...] = ()
    # Limits that servers have named, or no longer name, in answers to the instance.
    limits: tuple[LimitNotice, ...] = ()
    # Work of the requests in `keys`, in requests of mean cost, for services whose routes differ in
    # cost.
    work: dict[str, dict[int, float]] = field(factory=dict)

    @property
    def empty(self) -> bool:
        """Return whether there is nothing to report."""
        crashes = self.crashes.lost or self.crashes.cleared
        return not (self.keys or self.times or crashes or self.leaving or self.limits)


@frozen
class PlanUpdate:
    """The whole plan in its stored form."""

    document: bytes


@frozen
class Heartbeat:
    """A periodic liveness message of the leader with the age and versions of its state."""

    store_age_s: float
    # Version of the leader's configuration, 0 if it has none.
    configuration: int = 0
    servers_age_s: float = 0.0
    # Digest of the leader's registrations, and version of its plan.
    servers_digest: int = 0
    plan_version: int = -1
    # Time since the store showed that no later configuration exists; None if that is unknown.
    configuration_age_s: float | None = None
    # Time of sending on the leader's clock; None from builds that don't state it.
    sent_at: float | None = None
    # Number of the leader's term, and of the processes that share the extra retries; 0 if unknown.
    term: int = 0
    retry_sharers: int = 0
    # Evacuated failure domains; None if not stated.
    evacuations: EvacuationState | None = None


@frozen
class Resync:
    """A request to the leader for all registrations, the whole plan or both."""

    servers: bool = False
    plan: bool = False


@frozen
class ServerUpdate:
    """Registrations that changed, and those that were removed."""

    present: tuple[ServerRecord, ...]
    removed: tuple[ServerRecord, ...] = ()
    # `present` lists all registrations.
    complete: bool = False


@frozen
class Unknown:
    """A message of a kind that a later build has added."""


LinkMessage: TypeAlias = (
    Hello
    | InstanceReport
    | PlanUpdate
    | PlanChange
    | Heartbeat
    | ServerUpdate
    | RangePause
    | InstanceUpdate
    | Resync
    | Suspects
    | Unknown
)


@singledispatch
def _fill(message: LinkMessage, wire: Any) -> None:
    raise TypeError(f"{type(message).__name__} is not a link message")


@_fill.register
def _(message: Hello, wire: Any) -> None:
    hello = wire.init("hello")
    _fill_instance(hello.init("record"), message.record)
    hello.incarnation = message.incarnation
    hello.planVersion = message.plan_version
    hello.instancesDigest = message.instances_digest


@_fill.register
def _(message: InstanceReport, wire: Any) -> None:
    report = wire.init("report")
    services = report.init("services", len(message.keys))
    for service, (name, counts) in zip(services, message.keys.items(), strict=True):
        service.service = name
        keys = service.init("keys", len(counts))
        work = message.work.get(name, {})
        for item, (key, count) in zip(keys, counts.items(), strict=True):
            item.key = key
            item.count = min(MAX_COUNT, count)
            item.work = work.get(key, 0.0)
    servers = report.init("servers", len(message.times))
    for item, ((server, born_ms), mean_s) in zip(servers, message.times.items(), strict=True):
        item.server = server
        item.bornMs = born_ms
        item.meanMs = mean_s * 1000
    lost = report.init("lost", len(message.crashes.lost))
    for item, (number, (server, born_ms)) in zip(lost, message.crashes.lost, strict=True):
        item.fingerprint = number
        item.server = server
        item.bornMs = born_ms
    report.cleared = list(message.crashes.cleared)
    leaving = report.init("leaving", len(message.leaving))
    for item, (server, born_ms) in zip(leaving, message.leaving, strict=True):
        item.server = server
        item.bornMs = born_ms

    limits = report.init("limits", len(message.limits))
    for item, notice in zip(limits, message.limits, strict=True):
        fill_limit(item, notice)


@_fill.register
def _(message: PlanUpdate, wire: Any) -> None:
    wire.init("plan").document = message.document


@_fill.register
def _(message: PlanChange, wire: Any) -> None:
    change = wire.init("change")
    change.base = message.base
    change.version = message.version
    owners = change.init("owners", len(message.owners))
    for item, (service, keys) in zip(owners, message.owners, strict=True):
        item.service = service
        item.first = keys.first
        item.last = keys.last
        item.server = keys.server
        item.bornMs = keys.born_ms


@_fill.register
def _(message: RangePause, wire: Any) -> None:
    pause = wire.init("pause")
    pause.service = message.service
    pause.first = message.first
    pause.last = message.last
    pause.fence = message.fence


@_fill.register
def _(message: Heartbeat, wire: Any) -> None:
    heartbeat = wire.init("beat")
    heartbeat.storeAgeMs = _milliseconds(message.store_age_s)
    heartbeat.configuration = message.configuration
    heartbeat.serversAgeMs = _milliseconds(message.servers_age_s)
    heartbeat.serversDigest = message.servers_digest
    heartbeat.planVersion = message.plan_version
    if message.configuration_age_s is not None:
        heartbeat.configurationAgeMs = min(MAX_MS, _milliseconds(message.configuration_age_s) + 1)
    if message.sent_at is not None:
        heartbeat.sentMs = int(message.sent_at * 1000)
    heartbeat.term = message.term
    heartbeat.retrySharers = message.retry_sharers
    if message.evacuations is not None:
        heartbeat.evacuated = sorted(message.evacuations.domains)
        heartbeat.evacuatedEra = message.evacuations.position.era
        heartbeat.evacuatedOffset = message.evacuations.position.offset + 1


@_fill.register
def _(message: ServerUpdate, wire: Any) -> None:
    update = wire.init("servers")
    update.complete = message.complete
    rows = update.init("rows", len(message.present) + len(message.removed))
    for index, record in enumerate((*message.present, *message.removed)):
        row = rows[index]
        row.server = record.server
        row.service = record.service
        row.address = record.address
        row.failureDomain = record.failure_domain
        row.slots = record.slots
        row.draining = record.draining
        row.warmupLeftMs = _milliseconds(record.warmup_left_s)
        row.bornMs = record.born_ms
        row.sequence = record.sequence
        row.leaving = record.leaving
        row.removed = index >= len(message.present)


@_fill.register
def _(message: InstanceUpdate, wire: Any) -> None:
    update = wire.init("instances")
    update.complete = message.complete
    rows = update.init("present", len(message.present))
    for row, record in zip(rows, message.present, strict=True):
        _fill_instance(row, record)
    removed = update.init("removed", len(message.removed))
    for index, name in enumerate(message.removed):
        removed[index] = name


@_fill.register
def _(message: Resync, wire: Any) -> None:
    resync = wire.init("resync")
    resync.servers = message.servers
    resync.plan = message.plan


@_fill.register
def _(message: Suspects, wire: Any) -> None:
    suspects = wire.init("suspects")
    suspects.watched = sorted(message.watched)
    suspects.quarantined = sorted(message.quarantined)


def _fill_instance(row: Any, record: InstanceRecord) -> None:
    row.instance = record.instance
    row.address = record.address
    row.failureDomain = record.failure_domain
    row.capacity = record.capacity
    row.relayAddress = record.relay_address
    row.build = record.build


def _read_instance(row: Any) -> InstanceRecord:
    return InstanceRecord(
        row.instance,
        row.address,
        row.failureDomain,
        row.capacity,
        row.relayAddress,
        row.build,
    )


def _read_instances(update: Any) -> InstanceUpdate:
    present = tuple(_read_instance(row) for row in update.present)
    return InstanceUpdate(present, tuple(update.removed), update.complete)


def _milliseconds(seconds: float) -> int:
    return int(min(MAX_MS, max(0.0, seconds * 1000)))


def _read_report(report: Any) -> InstanceReport:
    keys = {
        service.service: {item.key: item.count for item in service.keys}
        for service in report.services
    }
    work = {
        service.service: {item.key: _read_work(item) for item in service.keys if item.work}
        for service in report.services
    }
    times = {(item.server, item.bornMs): item.meanMs / 1000 for item in report.servers}
    lost = tuple((item.fingerprint, (item.server, item.bornMs)) for item in report.lost)
    leaving = tuple((item.server, item.bornMs) for item in report.leaving)
    limits = tuple(read_limit(item) for item in report.limits)
    return InstanceReport(
        keys,
        times,
        CrashReport(lost, tuple(report.cleared)),
        leaving,
        limits,
        {service: items for service, items in work.items() if items},
    )


def _read_work(item: Any) -> float:
    # A comparison with NaN is false as well.
    if not 0 < item.work <= MAX_WORK_PER_REQUEST * max(1, item.count):
        raise ValueError(f"{item.count} requests with a work of {item.work}")
    return float(item.work)


def _read_change(change: Any) -> PlanChange:
    owners = tuple(
        (item.service, KeyRange(item.first, item.last, item.server, item.bornMs, change.version))
        for item in change.owners
    )
    return PlanChange(change.base, change.version, owners)


def _read_servers(update: Any) -> ServerUpdate:
    present, removed = [], []
    for row in update.rows:
        record = ServerRecord(
            server=row.server,
            service=row.service,
            address=row.address,
            failure_domain=row.failureDomain,
            slots=row.slots,
            draining=row.draining,
            warmup_left_s=row.warmupLeftMs / 1000,
            born_ms=row.bornMs,
            sequence=row.sequence,
            leaving=row.leaving,
        )
        (removed if row.removed else present).append(record)
    return ServerUpdate(tuple(present), tuple(removed), update.complete)


def _read_heartbeat(heartbeat: Any) -> Heartbeat:
    return Heartbeat(
        heartbeat.storeAgeMs / 1000,
        heartbeat.configuration,
        heartbeat.serversAgeMs / 1000,
        heartbeat.serversDigest,
        heartbeat.planVersion,
        (heartbeat.configurationAgeMs - 1) / 1000 if heartbeat.configurationAgeMs else None,
        heartbeat.sentMs / 1000 if heartbeat.sentMs else None,
        heartbeat.term,
        heartbeat.retrySharers,
        _read_evacuations(heartbeat),
    )


def _read_evacuations(heartbeat: Any) -> EvacuationState | None:
    if not heartbeat.evacuatedOffset:
        return None
    position = TopicPosition(heartbeat.evacuatedEra, heartbeat.evacuatedOffset - 1)
    return EvacuationState(position, frozenset(heartbeat.evacuated))


def _read_hello(hello: Any) -> Hello:
    record = _read_instance(hello.record)
    return Hello(record, hello.incarnation, hello.planVersion, hello.instancesDigest)


def encode(message: LinkMessage) -> bytes:
    """Return the encoded form of a message."""
    wire = _SCHEMA.LinkMessage.new_message()
    _fill(message, wire)
    return wire.to_bytes_packed()


def decode(data: bytes) -> LinkMessage:
    """Return the decoded message; raise ProtocolError if the bytes are malformed."""
    try:
        wire = _SCHEMA.LinkMessage.from_bytes_packed(data, traversal_limit_in_words=TRAVERSAL_WORDS)
        try:
            kind = wire.which()
        except capnp.KjException:
            return Unknown()
        if kind == "hello":
            return _read_hello(wire.hello)
        if kind == "report":
            return _read_report(wire.report)
        if kind == "plan":
            return PlanUpdate(bytes(wire.plan.document))
        if kind == "change":
            return _read_change(wire.change)
        if kind == "servers":
            return _read_servers(wire.servers)
        if kind == "resync":
            return Resync(wire.resync.servers, wire.resync.plan)
        if kind == "suspects":
            suspects = wire.suspects
            return Suspects(frozenset(suspects.watched), frozenset(suspects.quarantined))
        if kind == "instances":
            return _read_instances(wire.instances)
        if kind == "pause":
            pause = wire.pause
            return RangePause(pause.service, pause.first, pause.last, pause.fence)
        return _read_heartbeat(wire.beat)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise ProtocolError(f"malformed link message: {error}") from error
