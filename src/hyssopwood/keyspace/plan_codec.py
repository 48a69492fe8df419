"""Encoding of the stored plan and of its stored leader."""

from __future__ import annotations

import json
from typing import Any

from hyssopwood.documents import check_integer, parse_document, shorten
from hyssopwood.errors import InputError, InputFault
from hyssopwood.keyspace.plan import KeyRange, Leader, Plan, is_complete


def encode_plan(plan: Plan) -> bytes:
    """Return the stored form of a plan; its version is the position of its record."""
    incarnations: dict[tuple[str, int], int] = {}
    services: dict[str, list[list[int]]] = {}
    for service, part in plan.ranges():
        index = incarnations.setdefault(part.incarnation, len(incarnations))
        services.setdefault(service, []).append([part.first, part.last, index, part.fence])
    document = {"version": plan.version, "lives": list(incarnations), "services": services}
    return json.dumps(document, separators=(",", ":")).encode()


def decode_plan(value: bytes) -> Plan:
    """Return the plan; raise InputError if it is malformed or doesn't cover every key once."""
    try:
        document = parse_document(value)
        incarnations = [
            (str(server), check_integer(int(born_ms))) for server, born_ms in document["lives"]
        ]
        services = {
            str(service): tuple(_part(row, incarnations) for row in rows)
            for service, rows in document["services"].items()
        }
        version = check_integer(int(document["version"]))
    except (ValueError, TypeError, KeyError, IndexError, AttributeError) as error:
        raise _malformed("plan", f"{type(error).__name__}: {error}") from error
    for service, parts in services.items():
        if not is_complete(parts):
            raise _malformed("plan", f"the ranges of {service} leave keys out or overlap")
    return Plan(version, services)


def _part(row: Any, incarnations: list[tuple[str, int]]) -> KeyRange:
    first, last, index, fence = (check_integer(int(value)) for value in row)
    return KeyRange(first, last, *incarnations[index], fence)


def encode_leader(leader: Leader) -> bytes:
    """Return the stored form of a leader."""
    row = [
        leader.instance,
        leader.incarnation,
        leader.address,
        leader.claim,
        leader.has_unrecorded_leases,
    ]
    return json.dumps(row).encode()


def decode_leader(value: bytes) -> Leader:
    """Return the leader; raise InputError if it is malformed."""
    try:
        instance, incarnation, address, *rest = parse_document(value)
        # Records of earlier builds have no claim, and those of later ones may have more fields.
        claim, has_unrecorded_leases, *_ = rest if rest else (-1, False)
        claim = check_integer(int(claim), minimum=-1)
    except (ValueError, TypeError) as error:
        raise _malformed("leader", f"{type(error).__name__}: {error}") from error
    return Leader(str(instance), str(incarnation), str(address), claim, bool(has_unrecorded_leases))


def _malformed(what: str, detail: str) -> InputError:
    return InputError(f"stored {what}", (InputFault("$", shorten(detail), f"a {what}"),))
