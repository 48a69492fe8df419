"""Log records and their JSON codec."""

from __future__ import annotations

import json
from typing import Any, TypeAlias

from attrs import asdict, frozen

from hyssopwood.errors import InputError, ProtocolError
from hyssopwood.structure import parse_plain_json, structure


@frozen(kw_only=True)
class TicketRecord:
    """Publish a ticket; `text` is plain JSON."""

    publisher: str
    text: str


@frozen(kw_only=True)
class JoinRecord:
    """Make an incarnation of an instance a member."""

    instance: str
    incarnation: str
    peer_address: str
    http_address: str
    failure_domain: str


@frozen(kw_only=True)
class LeaveRecord:
    """Remove a member that has no role left.

    `applied` is the member's position when it stopped coordinating for good. The default claims
    nothing, and then the record is rejected while a successor still waits for the member.
    """

    instance: str
    incarnation: str
    applied: int = -1


@frozen(kw_only=True)
class PlannerRecord:
    """Claim the planner role; the record's offset becomes the epoch."""

    instance: str
    incarnation: str
    previous_epoch: int


@frozen(kw_only=True)
class CoordinatorChange:
    """Name the coordinator (an incarnation) of a backend server."""

    server: str
    incarnation: str


@frozen(kw_only=True)
class Move:
    """Assign a partition to a server; an empty target leaves it without an owner."""

    partition: str
    target: str


@frozen(kw_only=True)
class HotKey:
    """Name a key that has a partition of its own."""

    service: str
    key: str


@frozen(kw_only=True)
class ServerStatus:
    """Report a backend server as `up` or `down`."""

    server: str
    status: str


@frozen(kw_only=True)
class PlanRecord:
    """Change coordinators, owners, hot keys and server status."""

    epoch: int
    coordinators: tuple[CoordinatorChange, ...] = ()
    moves: tuple[Move, ...] = ()
    hot_keys_added: tuple[HotKey, ...] = ()
    hot_keys_removed: tuple[HotKey, ...] = ()
    server_status: tuple[ServerStatus, ...] = ()


@frozen(kw_only=True)
class VotersProposedRecord:
    """Propose a new set of voters."""

    epoch: int
    voters: tuple[str, ...]


@frozen(kw_only=True)
class VotersCommittedRecord:
    """Make the pending voters the voters."""

    epoch: int
    acks: tuple[str, ...]


@frozen(kw_only=True)
class OutageMove:
    """Name a move of a lost server's partition that was made while the log was down.

    `token` is the token of the source's ownership.
    """

    partition: str
    source: str
    target: str
    token: int


@frozen(kw_only=True)
class OutageMovesRecord:
    """Record moves that were made while the log was down."""

    moves: tuple[OutageMove, ...]


@frozen(kw_only=True)
class FenceRecord:
    """Remove an incarnation from every role.

    `absent` states that the platform's list has not shown the instance for longer than its lag.
    """

    instance: str
    incarnation: str
    attesters: tuple[str, ...] = ()
    absent: bool = False
    outage_moves: tuple[OutageMove, ...] = ()


@frozen(kw_only=True)
class Grant:
    """Name a partition and its fencing token.

    `server` is the one whose coordinator writes the record. It matters when the partition is left
    without an owner: the writer may coordinate several of the awaited servers and have released
    the partition at only one of them.
    """

    partition: str
    token: int
    server: str = ""


@frozen(kw_only=True)
class Takeover:
    """Name a server and the epoch in which its coordinator has taken it over."""

    server: str
    epoch: int


@frozen(kw_only=True)
class GrantedRecord:
    """Record that previous holders have released partitions, and previous coordinators servers."""

    grants: tuple[Grant, ...] = ()
    takeovers: tuple[Takeover, ...] = ()


@frozen(kw_only=True)
class CheckpointRecord:
    """Carry the state through an offset."""

    epoch: int
    through: int
    state: str


Body: TypeAlias = (
    TicketRecord
    | JoinRecord
    | LeaveRecord
    | PlannerRecord
    | PlanRecord
    | VotersProposedRecord
    | VotersCommittedRecord
    | FenceRecord
    | GrantedRecord
    | OutageMovesRecord
    | CheckpointRecord
)

_TYPES: dict[str, type] = {
    "ticket": TicketRecord,
    "join": JoinRecord,
    "leave": LeaveRecord,
    "planner": PlannerRecord,
    "plan": PlanRecord,
    "voters_proposed": VotersProposedRecord,
    "voters_committed": VotersCommittedRecord,
    "fence": FenceRecord,
    "granted": GrantedRecord,
    "outage_moves": OutageMovesRecord,
    "checkpoint": CheckpointRecord,
}
_KINDS = {kind: name for name, kind in _TYPES.items()}
_HEADER = ("id", "kind", "writer")


@frozen
class LogRecord:
    """Hold one record; `id` is `<writer incarnation>:<sequence>`."""

    id: str
    writer: str
    body: Body

    @property
    def kind(self) -> str:
        """Return the record's kind as it stands in the log."""
        return _KINDS[type(self.body)]


def encode_record(record: LogRecord) -> str:
    """Return the JSON text of a record."""
    header = {"id": record.id, "kind": record.kind, "writer": record.writer}
    return json.dumps(header | asdict(record.body), separators=(",", ":"))


def decode_record(text: str) -> LogRecord:
    """Return the record in a JSON text; raise ProtocolError when it isn't one."""
    try:
        data: Any = parse_plain_json(text)
    except (ValueError, RecursionError) as error:
        raise ProtocolError("log record is not JSON") from error
    if not isinstance(data, dict) or not all(isinstance(data.get(name), str) for name in _HEADER):
        raise ProtocolError("log record has no id, kind and writer")
    kind = _TYPES.get(data["kind"])
    if kind is None:
        raise ProtocolError(f"log record has the unknown kind {data['kind']!r:.40}")
    fields = {name: value for name, value in data.items() if name not in _HEADER}
    try:
        body = structure("record", fields, kind)
    except InputError as error:
        raise ProtocolError(f"log record is malformed: {error}") from error
    return LogRecord(data["id"], data["writer"], body)
