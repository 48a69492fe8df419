"""Change tickets: model, parsing and the rules that need no state."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from typing import Any

from attrs import Attribute, field, frozen
from returns.result import Failure, Result, Success
from xxhash import xxh64_hexdigest

from hyssopwood.errors import InputError
from hyssopwood.settings import validate_address, validate_name, validate_positive
from hyssopwood.structure import FieldError, parse_plain_json, structure, unstructure

MAX_TICKET_BYTES = 1_048_576 - 65_536  # leaves room for the record around the text
MAX_SHARDS = 65_536
MAX_KEY_BYTES = 256


class RejectionReason(Enum):
    """Name why a ticket is not in force."""

    NOT_JSON = "not-json"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    GAP = "gap"
    STALE = "stale"
    REPEATED = "repeated"
    LOST_RACE = "lost-race"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_SERVER = "unknown-server"
    CONFLICT = "conflict"


@frozen
class Rejection:
    """Hold the reason and the detail of a rejected ticket."""

    reason: RejectionReason
    detail: str


def _one_of(*allowed: str) -> Any:
    def validate(_: Any, __: Attribute[str], value: str) -> None:
        if value not in allowed:
            raise FieldError(value, " or ".join(repr(name) for name in allowed))

    return validate


def _shard_count(_: Any, __: Attribute[int], value: int) -> None:
    if not 1 <= value <= MAX_SHARDS:
        raise FieldError(value, f"1 to {MAX_SHARDS}")


def _path_prefix(_: Any, __: Attribute[str], value: str) -> None:
    if not value.startswith("/") or not value.endswith("/") or value.startswith("/hyssopwood/"):
        raise FieldError(value, "a path that begins and ends with '/' outside /hyssopwood/")


def _names(_: Any, __: Attribute[Any], value: Mapping[str, Any]) -> None:
    for name in value:
        validate_name(None, None, name)


def _pinned_keys(_: Any, __: Attribute[Any], value: Mapping[str, Any]) -> None:
    for keys in value.values():
        for key in keys or {}:
            validate_key(key)


@frozen(kw_only=True)
class Operation:
    """Describe one operation of a service."""

    repeatable: bool
    work_class: str = field(default="short", validator=_one_of("short", "long"))


@frozen(kw_only=True)
class Service:
    """Describe one service of a customer."""

    customer: str = field(validator=validate_name)
    shards: int = field(validator=_shard_count)
    operations: dict[str, Operation]
    path_prefix: str = field(validator=_path_prefix)
    contract_ms: int = field(default=200, validator=validate_positive)
    weight: float = field(default=1.0, validator=validate_positive)


@frozen(kw_only=True)
class Server:
    """Describe one backend server."""

    service: str
    address: str = field(validator=validate_address)
    failure_domain: str = field(validator=validate_name)
    slots: int = field(validator=validate_positive)
    connections: int = field(default=100, validator=validate_positive)
    checks_fencing: bool = True
    state: str = field(default="active", validator=_one_of("active", "leaving"))


@frozen(kw_only=True)
class ServiceLimits:
    """Hold the request limits of one service."""

    queue: int = field(default=50, validator=validate_positive)
    deadline_ms: int = field(default=2_000, validator=validate_positive)
    body_bytes: int = field(default=1_048_576, validator=validate_positive)


@frozen(kw_only=True)
class Ticket:
    """Hold the complete new state of everything that the ticket touches."""

    number: int = field(validator=validate_positive)
    services: dict[str, Service | None] = field(factory=dict, validator=_names)
    servers: dict[str, Server | None] = field(factory=dict, validator=_names)
    ownership: dict[str, dict[str, str] | None] = field(factory=dict, validator=_pinned_keys)
    limits: dict[str, ServiceLimits | None] = field(factory=dict)


def validate_key(key: str) -> None:
    """Raise FieldError unless the key is 1 to 256 bytes of printable text."""
    if not key or not key.isprintable() or len(key.encode()) > MAX_KEY_BYTES:
        raise FieldError(key, f"1 to {MAX_KEY_BYTES} bytes of printable text")


def parse_ticket(text: str) -> Result[Ticket, Rejection]:
    """Parse a ticket as it stands in the log, in plain JSON."""
    # A lone surrogate has no UTF-8 form; its ticket is rejected by the checks of its fields.
    if len(text.encode(errors="surrogatepass")) > MAX_TICKET_BYTES:
        return Failure(Rejection(RejectionReason.TOO_LARGE, f"more than {MAX_TICKET_BYTES} bytes"))
    try:
        data = parse_plain_json(text)
    except (ValueError, RecursionError) as error:
        return Failure(Rejection(RejectionReason.NOT_JSON, str(error)[:200]))
    try:
        return Success(structure("ticket", data, Ticket))
    except InputError as error:
        return Failure(Rejection(RejectionReason.MALFORMED, str(error)[:2_000]))


def ticket_digest(ticket: Ticket) -> str:
    """Return a digest of the content, regardless of spacing, order and left-out defaults."""
    text = json.dumps(unstructure(ticket), sort_keys=True)
    return xxh64_hexdigest(text.encode())
