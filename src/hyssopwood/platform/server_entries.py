"""Decoder of the entries with which servers register themselves."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Any

from hyssopwood.documents import check_integer, parse_document, quote, shorten
from hyssopwood.errors import InputError, InputFault
from hyssopwood.gateway.server_directory import ServerRecord

MAX_NAME_CHARACTERS = 256
MAX_SLOTS = 65_535
MAX_PORT = 65_535
# A start takes seconds; a longer time is another writer's.
MAX_WARMUP_S = 86_400
_STATES = {"ready": False, "draining": True}


def _field(entry: dict[str, Any], name: str, kind: type) -> Any:
    value = entry.get(name)
    # Python treats JSON's true and false as integers.
    wrong = isinstance(value, bool) if kind is int else False
    if wrong or not isinstance(value, kind):
        raise TypeError(f"{name} is {quote(value)}, expected {kind.__name__}")
    return value


def _integer(entry: dict[str, Any], name: str) -> int:
    return check_integer(_field(entry, name, int))


def _name(entry: dict[str, Any], name: str) -> str:
    value = _field(entry, name, str)
    if not value or len(value) > MAX_NAME_CHARACTERS:
        raise ValueError(f"{name} has {len(value)} characters")
    # JSON can contain half of a character, which can't be sent on.
    value.encode()
    return value


def _address(entry: dict[str, Any]) -> str:
    address = _field(entry, "address", str)
    host, _, port = address.rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not digits or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"address is {quote(address)}, expected an IP address and a port")
    ip_address(host)
    return address


def _warmup_left_s(entry: dict[str, Any]) -> float:
    value = entry.get("warmup_left_s", 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"warmup_left_s is {quote(value)}, expected a number")
    if not 0 <= value <= MAX_WARMUP_S:
        raise ValueError(f"warmup_left_s is {quote(value)}, expected 0 to {MAX_WARMUP_S}")
    return float(value)


def _check_id(server: str) -> None:
    """Check that an id can be sent in a header."""
    sendable = server.isascii() and server.isprintable() and " " not in server
    if not sendable or not 0 < len(server) <= MAX_NAME_CHARACTERS:
        raise ValueError("the id is empty, too long or not printable")


def decode_server_entry(server: str, value: bytes) -> ServerRecord:
    """Return the record of a server's entry; raise InputError if the entry is invalid."""
    try:
        _check_id(server)
        entry = parse_document(value)
        if not isinstance(entry, dict):
            raise TypeError("the entry is not an object")
        return ServerRecord(
            server=server,
            service=_name(entry, "service"),
            address=_address(entry),
            failure_domain=_name(entry, "zone"),
            slots=check_integer(_field(entry, "max_concurrency", int), 1, MAX_SLOTS),
            draining=_STATES[_field(entry, "state", str)],
            warmup_left_s=_warmup_left_s(entry),
            born_ms=_integer(entry, "born"),
            sequence=_integer(entry, "sequence"),
        )
    except (ValueError, TypeError, KeyError) as error:
        detail = f"{type(error).__name__}: {shorten(str(error))}"
        fault = InputFault(quote(server), detail, "a server entry")
        raise InputError("server entry", (fault,)) from error
