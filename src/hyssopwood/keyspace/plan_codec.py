"""Stored form of the plan and of its leader."""

from __future__ import annotations

import json
from typing import Any

from hyssopwood.errors import InputError, InputFault
from hyssopwood.keyspace.plan import KeyRange, Leader, Plan, is_complete


def encode_plan(plan: Plan) -> bytes:
    """Return a plan's stored form; its version is the offset at which it is stored."""
    lives: dict[tuple[str, int], int] = {}
    services: dict[str, list[list[int]]] = {}
    for service, part in plan.ranges():
        index = lives.setdefault(part.incarnation, len(lives))
        services.setdefault(service, []).append([part.first, part.last, index, part.fence])
    document = {"version": plan.version, "lives": list(lives), "services": services}
    return json.dumps(document, separators=(",", ":")).encode()


def decode_plan(value: bytes) -> Plan:
    """Return a stored plan; raise InputError if it is malformed or leaves keys out."""
    try:
        document = json.loads(value)
        lives = [(str(server), int(born_ms)) for server, born_ms in document["lives"]]
        services = {
            str(service): tuple(_part(row, lives) for row in rows)
            for service, rows in document["services"].items()
        }
        version = int(document["version"])
    except (ValueError, TypeError, KeyError, IndexError, AttributeError) as error:
        raise _malformed("plan", f"{type(error).__name__}: {error}") from error
    for service, parts in services.items():
        if not is_complete(parts):
            raise _malformed("plan", f"the ranges of {service} leave keys out or overlap")
    return Plan(version, services)


def _part(row: Any, lives: list[tuple[str, int]]) -> KeyRange:
    first, last, index, fence = (int(value) for value in row)
    return KeyRange(first, last, *lives[index], fence)


def encode_leader(leader: Leader) -> bytes:
    """Return a leader's stored form."""
    row = [leader.instance, leader.incarnation, leader.address, leader.claim, leader.unsettled]
    return json.dumps(row).encode()


def decode_leader(value: bytes) -> Leader:
    """Return a stored leader; raise InputError if it is malformed."""
    try:
        instance, incarnation, address, *rest = json.loads(value)
        # Earlier versions don't state the claim.
        claim, unsettled = rest if rest else (-1, False)
        claim = int(claim)
    except (ValueError, TypeError) as error:
        raise _malformed("leader", f"{type(error).__name__}: {error}") from error
    return Leader(str(instance), str(incarnation), str(address), claim, bool(unsettled))


def _malformed(what: str, detail: str) -> InputError:
    return InputError(f"stored {what}", (InputFault("$", detail, f"a {what}"),))
