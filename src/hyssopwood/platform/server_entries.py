"""Decoder of the entries with which servers register themselves."""

from __future__ import annotations

import json
from typing import Any

from hyssopwood.errors import InputError, InputFault
from hyssopwood.gateway.server_directory import ServerRecord

_STATES = {"ready": False, "draining": True}


def _field(entry: dict[str, Any], name: str, kind: type) -> Any:
    value = entry.get(name)
    # Python treats JSON's true and false as integers.
    wrong = isinstance(value, bool) if kind is int else False
    if wrong or not isinstance(value, kind):
        raise TypeError(f"{name} is {value!r}, expected {kind.__name__}")
    return value


def _address(entry: dict[str, Any]) -> str:
    address = _field(entry, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not 0 < int(port) <= 65_535:
        raise ValueError(f"address is {address!r}, expected an IP address and a port")
    return address


def decode_server_entry(server: str, value: bytes) -> ServerRecord:
    """Return the record of a server's entry; raise InputError if the entry is invalid."""
    try:
        entry = json.loads(value)
        if not isinstance(entry, dict):
            raise TypeError("the entry is not an object")
        slots = _field(entry, "max_concurrency", int)
        if slots <= 0:
            raise ValueError(f"max_concurrency is {slots}, expected at least 1")
        warmup_left_s = entry.get("warmup_left_s", 0)
        if isinstance(warmup_left_s, bool) or not isinstance(warmup_left_s, int | float):
            raise TypeError(f"warmup_left_s is {warmup_left_s!r}, expected a number")
        return ServerRecord(
            server=server,
            service=_field(entry, "service", str),
            address=_address(entry),
            failure_domain=_field(entry, "zone", str),
            slots=slots,
            draining=_STATES[_field(entry, "state", str)],
            warmup_left_s=float(warmup_left_s),
            born_ms=_field(entry, "born", int),
            sequence=_field(entry, "sequence", int),
        )
    except (ValueError, TypeError, KeyError) as error:
        fault = InputFault(server, f"{type(error).__name__}: {error}", "a server entry")
        raise InputError("server entry", (fault,)) from error
