"""Apply log records to the cluster state.

Every instance applies the same records in the same order, so `apply` uses nothing but the state,
the offset, the platform's time and the record.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from functools import singledispatch

from attrs import define, evolve, field, frozen

from hyssopwood.audit import AuditEntry
from hyssopwood.records import (
    CheckpointRecord,
    CoordinatorChange,
    FenceRecord,
    Grant,
    GrantedRecord,
    HotKey,
    JoinRecord,
    LeaveRecord,
    LogRecord,
    Move,
    OutageMove,
    OutageMovesRecord,
    PlannerRecord,
    PlanRecord,
    ServerStatus,
    TicketRecord,
    VotersCommittedRecord,
    VotersProposedRecord,
)
from hyssopwood.state import (
    MAX_AUDIT_ENTRIES,
    MAX_FENCED,
    MAX_VERDICTS,
    MAX_VOTERS,
    MAX_WRITERS,
    STATUS_DOWN,
    STATUS_UP,
    ClusterState,
    Coordination,
    Member,
    Ownership,
    Verdict,
    effective_voters,
    has_quorum,
    hot_partition,
    is_live,
    is_majority,
    is_referenced,
    partition_service,
    shard_of,
)
from hyssopwood.structure import FieldError, unstructure
from hyssopwood.ticket import Ticket, parse_ticket, ticket_digest, validate_key
from hyssopwood.ticket_rules import merged, ticket_rejection

# Bounds the audit trail in a checkpoint; a ticket's full text stands in its own record.
MAX_AUDIT_CHARACTERS = 1_000
MAX_PUBLISHER_CHARACTERS = 100
# 18 digits fit 64 bits; int() refuses texts of more than 4300 digits.
_SHARD_INDEX = re.compile(r"0|[1-9][0-9]{0,5}")
_ID = re.compile(r"[\x21-\x7e]{1,128}:[0-9]{1,18}")


class InvalidRecordError(Exception):
    """Raised inside `apply` when a record has no effect; never leaves this module."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@frozen
class Applied:
    """Hold the state after a record, and why the record had no effect if it had none.

    `record` is None for a record that can't be decoded and for a state from a checkpoint.
    """

    state: ClusterState
    audit: tuple[AuditEntry, ...] = ()
    rejected: str = ""
    record: LogRecord | None = None


@frozen
class _Context:
    offset: int
    time_ms: int
    record_id: str
    writer: str

    def entry(self, subject: str, old: object, new: object, cause: str) -> AuditEntry:
        shown = (_clipped(str(text)) for text in (self.writer, subject, old, new, cause))
        return AuditEntry(self.offset, self.time_ms, *shown)


def _clipped(text: str) -> str:
    return text if len(text) <= MAX_AUDIT_CHARACTERS else text[:MAX_AUDIT_CHARACTERS] + "..."


_Effect = tuple[ClusterState, tuple[AuditEntry, ...]]


def apply(state: ClusterState, offset: int, time_ms: int, record: LogRecord) -> Applied:
    """Return the state after a record; a record that isn't valid changes only the position."""
    writer, _, sequence_text = record.id.rpartition(":")
    if writer != record.writer or _ID.fullmatch(record.id) is None:
        return _reject(state, offset, record, "bad-id")
    sequence = int(sequence_text)
    if state.writers.get(writer, -1) >= sequence:
        return _reject(state, offset, record, "duplicate")
    state = evolve(state, writers=_remember(state.writers, writer, sequence, MAX_WRITERS))
    context = _Context(offset, time_ms, record.id, record.writer)
    try:
        changed, entries = _effect(record.body, state, context)
    except InvalidRecordError as error:
        return _reject(state, offset, record, error.reason)
    audit = (*changed.audit, *entries)[-MAX_AUDIT_ENTRIES:]
    return Applied(evolve(changed, applied=offset, audit=audit), entries, record=record)


def skip(state: ClusterState, offset: int) -> ClusterState:
    """Return the state past a record that can't be decoded."""
    return evolve(state, applied=offset)


def _reject(state: ClusterState, offset: int, record: LogRecord, reason: str) -> Applied:
    return Applied(evolve(state, applied=offset), (), reason, record)


def _remember(table: Mapping[str, int], name: str, value: int, limit: int) -> Mapping[str, int]:
    kept = {key: old for key, old in table.items() if key != name}
    kept[name] = value
    while len(kept) > limit:
        del kept[next(iter(kept))]
    return kept


def _require(valid: bool, reason: str) -> None:
    if not valid:
        raise InvalidRecordError(reason)


@singledispatch
def _effect(body: object, state: ClusterState, context: _Context) -> _Effect:
    raise InvalidRecordError("unknown-kind")


# Tickets


@_effect.register
def _(body: TicketRecord, state: ClusterState, context: _Context) -> _Effect:
    publisher = body.publisher[:MAX_PUBLISHER_CHARACTERS]
    parsed = parse_ticket(body.text)
    ticket = parsed.value_or(None)
    rejection = parsed.failure() if ticket is None else ticket_rejection(state, ticket)
    verdict = Verdict(
        context.offset,
        context.time_ms,
        context.record_id,
        publisher,
        ticket.number if ticket else 0,
        rejection.reason.value if rejection else "",
        rejection.detail if rejection else "",
        ticket_digest(ticket) if ticket else "",
    )
    verdicts = (*state.verdicts, verdict)[-MAX_VERDICTS:]
    if ticket is None or rejection is not None:
        return evolve(state, verdicts=verdicts), ()
    changed = _with_ticket(state, ticket)
    entries = tuple(_ticket_entries(state, ticket, context, publisher))
    return _prune(evolve(changed, verdicts=verdicts)), entries


def _with_ticket(state: ClusterState, ticket: Ticket) -> ClusterState:
    named = {name for name, server in ticket.servers.items() if server is not None}
    gone = {name for name, server in ticket.servers.items() if server is None}
    kept = {name: server for name, server in ticket.servers.items() if server is not None}
    services = merged(state.services, ticket.services)
    return evolve(
        state,
        ticket_number=ticket.number,
        services=services,
        servers={**state.servers, **kept},
        removed_servers=(state.removed_servers | gone) - named,
        pins=merged(state.pins, ticket.ownership),
        limits=merged(state.limits, ticket.limits),
        hot_keys={
            partition: key
            for partition, key in state.hot_keys.items()
            if partition_service(partition) in services
        },
    )


def _ticket_entries(
    state: ClusterState, ticket: Ticket, context: _Context, publisher: str
) -> Iterable[AuditEntry]:
    tables = (
        ("service", state.services, ticket.services),
        ("server", state.servers, ticket.servers),
        ("ownership", state.pins, ticket.ownership),
        ("limits", state.limits, ticket.limits),
    )
    cause = f"ticket {ticket.number}"
    actor = evolve(context, writer=publisher)
    yield actor.entry("ticket", state.ticket_number, ticket.number, cause)
    for label, current, changes in tables:
        for name, new in changes.items():
            old = unstructure(current.get(name))
            yield actor.entry(f"{label} {name}", old, unstructure(new), cause)


# Servers that a ticket removed


def _prune(state: ClusterState) -> ClusterState:
    """Drop removed servers that no partition refers to, and partitions without an owner."""
    ownerships = {
        name: owner for name, owner in state.ownerships.items() if owner.server or owner.awaiting
    }
    state = evolve(state, ownerships=ownerships)
    gone = {name for name in state.removed_servers if not is_referenced(state, name)}
    if not gone:
        return state
    return evolve(
        state,
        servers={name: value for name, value in state.servers.items() if name not in gone},
        removed_servers=state.removed_servers - gone,
        coordinations={n: value for n, value in state.coordinations.items() if n not in gone},
        server_status={n: value for n, value in state.server_status.items() if n not in gone},
    )


# Membership


@_effect.register
def _(body: JoinRecord, state: ClusterState, context: _Context) -> _Effect:
    _require(body.incarnation not in state.members, "already-member")
    _require(body.incarnation not in state.fenced, "fenced")
    member = Member(
        body.instance,
        body.incarnation,
        body.peer_address,
        body.http_address,
        body.failure_domain,
        context.offset,
    )
    entry = context.entry(f"instance {body.instance}", "", body.incarnation, "join")
    return evolve(state, members={**state.members, body.incarnation: member}), (entry,)


@_effect.register
def _(body: LeaveRecord, state: ClusterState, context: _Context) -> _Effect:
    member = state.members.get(body.incarnation)
    _require(member is not None and member.instance == body.instance, "not-a-member")
    coordinates = any(c.incarnation == body.incarnation for c in state.coordinations.values())
    _require(not coordinates, "still-coordinates")
    # The member may have applied a plan that named it after it wrote this record and before its
    # successor's plan; only its position shows that it has handed those servers over.
    awaited = any(
        body.incarnation in c.previous and c.epoch > body.applied
        for c in state.coordinations.values()
    )
    _require(not awaited, "still-awaited")
    entry = context.entry(f"instance {body.instance}", body.incarnation, "", "leave")
    return _without_member(state, body.incarnation), (entry,)


@_effect.register
def _(body: FenceRecord, state: ClusterState, context: _Context) -> _Effect:
    member = state.members.get(body.incarnation)
    known = body.incarnation in (*state.voters, *state.pending_voters)
    _require(member is not None or known, "not-a-member")
    # Only the news that a fenced voter was terminated adds something to its first fence.
    mark = state.fenced.get(body.incarnation)
    _require(mark is None or (body.absent and mark >= 0), "already-fenced")
    if body.absent:
        _require(bool(state.planner) and context.writer == state.planner, "not-the-planner")
    else:
        others = [name for name in body.attesters if name != body.incarnation]
        _require(has_quorum(state, others), "no-quorum")
    # A negative value marks an incarnation that the platform has terminated, which never counts
    # as a voter again.
    mark = -context.offset - 1 if body.absent else context.offset
    fenced = _remember(state.fenced, body.incarnation, mark, MAX_FENCED)
    changed = evolve(
        _without_member(state, body.incarnation), fenced=fenced, membership_offset=context.offset
    )
    cause = "absent from the platform's list" if body.absent else f"attested by {body.attesters}"
    entry = context.entry(f"instance {body.instance}", body.incarnation, "fenced", cause)
    # The attesters pass on moves that the fenced coordinator made without the log.
    moved, entries = _with_outage_moves(changed, body.outage_moves, context)
    return moved, (entry, *entries)


def _without_member(state: ClusterState, incarnation: str) -> ClusterState:
    members = {name: value for name, value in state.members.items() if name != incarnation}
    coordinations = {
        server: evolve(c, previous=tuple(p for p in c.previous if p != incarnation))
        for server, c in state.coordinations.items()
    }
    # The epoch stays, so that the next claim names it; a record of the old planner has no effect.
    planner = "" if state.planner == incarnation else state.planner
    return evolve(state, members=members, coordinations=coordinations, planner=planner)


@_effect.register
def _(body: PlannerRecord, state: ClusterState, context: _Context) -> _Effect:
    _require(is_live(state, body.incarnation), "not-a-member")
    _require(context.writer == body.incarnation, "not-the-writer")
    _require(body.previous_epoch == state.planner_epoch, "lost-race")
    entry = context.entry("planner", state.planner, body.incarnation, "claim")
    changed = evolve(state, planner=body.incarnation, planner_epoch=context.offset)
    return changed, (entry,)


def _require_epoch(state: ClusterState, context: _Context, epoch: int) -> None:
    _require(epoch == state.planner_epoch, "stale-epoch")
    _require(bool(state.planner) and context.writer == state.planner, "not-the-planner")


@_effect.register
def _(body: VotersProposedRecord, state: ClusterState, context: _Context) -> _Effect:
    _require_epoch(state, context, body.epoch)
    _require(not _may_be_committed(state), "voters-pending")
    _require(0 < len(body.voters) <= MAX_VOTERS, "bad-count")
    _require(len(set(body.voters)) == len(body.voters), "repeated-voter")
    _require(all(is_live(state, name) for name in body.voters), "not-a-member")
    entry = context.entry("voters", state.voters, body.voters, "proposed")
    if not effective_voters(state, state.voters):
        changed = evolve(state, voters=body.voters, pending_voters=(), pending_offset=-1)
    else:
        changed = evolve(state, pending_voters=body.voters, pending_offset=context.offset)
    return evolve(changed, membership_offset=context.offset), (entry,)


def _may_be_committed(state: ClusterState) -> bool:
    """Return whether enough voters of both sets remain to commit the pending ones.

    Giving up a proposal is safe at any time: until its commit, authority and fences both need a
    majority of the old voters.
    """
    if not effective_voters(state, state.voters):
        return False
    effective = effective_voters(state, state.pending_voters)
    live = sum(1 for voter in effective if is_live(state, voter))
    return is_majority(live, len(effective))


@_effect.register
def _(body: VotersCommittedRecord, state: ClusterState, context: _Context) -> _Effect:
    _require_epoch(state, context, body.epoch)
    _require(bool(state.pending_voters), "no-voters-pending")
    _require(has_quorum(state, body.acks), "no-quorum")
    entry = context.entry("voters", state.voters, state.pending_voters, "committed")
    changed = evolve(
        state,
        voters=state.pending_voters,
        pending_voters=(),
        pending_offset=-1,
        membership_offset=context.offset,
    )
    return changed, (entry,)


# Plans


@define
class _Draft:
    """Collect the changes of one plan in tables that are copied once."""

    state: ClusterState
    context: _Context
    ownerships: dict[str, Ownership]
    hot_keys: dict[str, str]
    coordinations: dict[str, Coordination]
    server_status: dict[str, str]
    entries: list[AuditEntry] = field(factory=list)

    @classmethod
    def of(cls, state: ClusterState, context: _Context) -> _Draft:
        return cls(
            state,
            context,
            dict(state.ownerships),
            dict(state.hot_keys),
            dict(state.coordinations),
            dict(state.server_status),
        )

    def note(self, subject: str, old: object, new: object, cause: str) -> None:
        self.entries.append(self.context.entry(subject, old, new, cause))

    def finish(self) -> _Effect:
        changed = evolve(
            self.state,
            ownerships=self.ownerships,
            hot_keys=self.hot_keys,
            coordinations=self.coordinations,
            server_status=self.server_status,
        )
        return _prune(changed), tuple(self.entries)


@_effect.register
def _(body: PlanRecord, state: ClusterState, context: _Context) -> _Effect:
    _require_epoch(state, context, body.epoch)
    draft = _Draft.of(state, context)
    for status in body.server_status:
        _set_status(draft, status)
    for change in body.coordinators:
        _set_coordinator(draft, change)
    for hot_key in body.hot_keys_added:
        _add_hot_key(draft, hot_key)
    for move in body.moves:
        _move(draft, move)
    for hot_key in body.hot_keys_removed:
        _remove_hot_key(draft, hot_key)
    return draft.finish()


def _set_status(draft: _Draft, change: ServerStatus) -> None:
    old = draft.server_status.get(change.server, STATUS_UP)
    valid = change.server in draft.state.servers and change.status in (STATUS_UP, STATUS_DOWN)
    if not valid or old == change.status:
        return
    draft.note(f"server {change.server}", old, change.status, "status")
    draft.server_status[change.server] = change.status


def _set_coordinator(draft: _Draft, change: CoordinatorChange) -> None:
    state = draft.state
    current = draft.coordinations.get(change.server)
    unchanged = current is not None and current.incarnation == change.incarnation
    if change.server not in state.servers or not is_live(state, change.incarnation) or unchanged:
        return
    earlier = () if current is None else (*current.previous, current.incarnation)
    # The new coordinator never waits for itself: it knows what it has given up.
    previous = tuple(
        dict.fromkeys(
            name for name in earlier if is_live(state, name) and name != change.incarnation
        )
    )
    old = "" if current is None else current.incarnation
    draft.note(f"coordinator of {change.server}", old, change.incarnation, "plan")
    draft.coordinations[change.server] = Coordination(
        change.incarnation, draft.context.offset, previous
    )


def _move(draft: _Draft, move: Move) -> None:
    if not _partition_exists(draft, move.partition):
        return
    target = draft.state.servers.get(move.target)
    service = partition_service(move.partition)
    if move.target and (target is None or target.service != service):
        return
    current = draft.ownerships.get(move.partition)
    if current is not None and current.server == move.target:
        return
    old = "" if current is None else current.server
    holders = () if current is None else (*current.awaiting, current.server)
    # A partition that returns to a holder still waits for the others, never for itself.
    awaiting = tuple(dict.fromkeys(name for name in holders if name and name != move.target))
    draft.note(f"partition {move.partition}", old, move.target, "move")
    draft.ownerships[move.partition] = Ownership(move.target, draft.context.offset, awaiting)


def _partition_exists(draft: _Draft, partition: str) -> bool:
    if partition in draft.hot_keys:
        return True
    service, _, index = partition.partition("/")
    known = draft.state.services.get(service)
    if known is None or _SHARD_INDEX.fullmatch(index) is None:
        return False
    return int(index) < known.shards


def _add_hot_key(draft: _Draft, hot_key: HotKey) -> None:
    partition = hot_partition(hot_key.service, hot_key.key)
    if hot_key.service not in draft.state.services or partition in draft.hot_keys:
        return
    if not _is_valid_key(hot_key.key):
        return
    shard = draft.ownerships.get(_shard(draft, hot_key))
    if shard is None or shard.awaiting or not shard.server:
        return
    draft.note(f"partition {partition}", "", shard.server, "hot key")
    draft.hot_keys[partition] = hot_key.key
    draft.ownerships[partition] = Ownership(shard.server, draft.context.offset)


def _is_valid_key(key: str) -> bool:
    try:
        validate_key(key)
    except FieldError:
        return False
    return True


def _remove_hot_key(draft: _Draft, hot_key: HotKey) -> None:
    partition = hot_partition(hot_key.service, hot_key.key)
    if partition not in draft.hot_keys or hot_key.service not in draft.state.services:
        return
    own = draft.ownerships.get(partition, Ownership("", -1))
    if not _may_rejoin(own, draft.ownerships.get(_shard(draft, hot_key))):
        return
    draft.note(f"partition {partition}", own.server, "", "no longer hot")
    del draft.hot_keys[partition]
    draft.ownerships.pop(partition, None)


def _shard(draft: _Draft, hot_key: HotKey) -> str:
    return shard_of(draft.state, hot_key.service, hot_key.key)


def _may_rejoin(own: Ownership, shard: Ownership | None) -> bool:
    """Return whether nobody but the shard's settled owner can hold the key."""
    if not own.server:
        return not own.awaiting
    settled = shard is not None and not shard.awaiting and not own.awaiting
    return settled and shard.server == own.server


@_effect.register
def _(body: OutageMovesRecord, state: ClusterState, context: _Context) -> _Effect:
    """Apply moves made without the log; the coordinator of either server may record them."""
    allowed = tuple(
        move
        for move in body.moves
        if _coordinates(state, context.writer, move.source)
        or _coordinates(state, context.writer, move.target)
    )
    _require(bool(allowed), "not-the-coordinator")
    return _with_outage_moves(state, allowed, context)


def _with_outage_moves(
    state: ClusterState, moves: Iterable[OutageMove], context: _Context
) -> _Effect:
    ownerships = dict(state.ownerships)
    entries = []
    for move in moves:
        current = ownerships.get(move.partition)
        changed = None if current is None else _after_outage_move(state, current, move, context)
        if current is None or changed is None:
            continue
        ownerships[move.partition] = changed
        subject = f"partition {move.partition}"
        entries.append(context.entry(subject, current.server, changed.server, "log outage"))
    return evolve(state, ownerships=ownerships), tuple(entries)


def _after_outage_move(
    state: ClusterState, current: Ownership, move: OutageMove, context: _Context
) -> Ownership | None:
    """Return the ownership after a move, or None when the move is known or void.

    When another move was planned before this one reached the log, the target of this one becomes
    one more holder that must release the partition, under a new token.
    """
    if move.target not in state.servers or move.target in (current.server, *current.awaiting):
        return None
    if current == Ownership(move.source, move.token):
        return Ownership(move.target, move.token, (move.source,))
    if current.token <= move.token or move.source not in current.awaiting:
        return None
    return Ownership(current.server, context.offset, (*current.awaiting, move.target))


@_effect.register
def _(body: GrantedRecord, state: ClusterState, context: _Context) -> _Effect:
    ownerships = dict(state.ownerships)
    entries = []
    for grant in body.grants:
        settled = _settled(state, grant, context.writer)
        if settled is None:
            continue
        ownerships[grant.partition] = settled
        subject = f"partition {grant.partition}"
        entries.append(context.entry(subject, "moving", settled.server, "granted"))
    coordinations = dict(state.coordinations)
    for takeover in body.takeovers:
        current = coordinations.get(takeover.server)
        if current is not None and (current.incarnation, current.epoch) == (
            context.writer,
            takeover.epoch,
        ):
            coordinations[takeover.server] = evolve(current, previous=())
    changed = evolve(state, ownerships=ownerships, coordinations=coordinations)
    return _prune(changed), tuple(entries)


def _settled(state: ClusterState, grant: Grant, writer: str) -> Ownership | None:
    """Return the ownership after a grant, or None when the grant changes nothing."""
    current = state.ownerships.get(grant.partition)
    if current is None or current.token != grant.token or not current.awaiting:
        return None
    if current.server:
        if not _coordinates(state, writer, current.server):
            return None
        return evolve(current, awaiting=())
    # Without a new owner, each holder's coordinator reports its own release.
    if grant.server not in current.awaiting or not _coordinates(state, writer, grant.server):
        return None
    return evolve(current, awaiting=tuple(n for n in current.awaiting if n != grant.server))


def _coordinates(state: ClusterState, incarnation: str, server: str) -> bool:
    current = state.coordinations.get(server)
    return current is not None and current.incarnation == incarnation


@_effect.register
def _(body: CheckpointRecord, state: ClusterState, context: _Context) -> _Effect:
    _require_epoch(state, context, body.epoch)
    return evolve(state, last_checkpoint=context.offset), ()
