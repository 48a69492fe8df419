"""Rules that decide whether a parsed ticket may come into force."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from hyssopwood.state import ClusterState, is_referenced, partition_service
from hyssopwood.ticket import Rejection, RejectionReason, Server, Ticket, ticket_digest

T = TypeVar("T")

# Bound the state, and so the checkpoint that every new instance reads.
MAX_TOTAL_SHARDS = 262_144
MAX_SERVERS = 4_096
MAX_PINNED_KEYS = 16_384


def ticket_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    """Return why a ticket may not come into force, or None when it may."""
    for check in _CHECKS:
        rejection = check(state, ticket)
        if rejection is not None:
            return rejection
    return None


def _number_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    expected = state.ticket_number + 1
    if ticket.number == expected:
        return None
    if ticket.number > expected:
        return Rejection(RejectionReason.GAP, f"the next number is {expected}")
    if ticket.number < state.ticket_number:
        return Rejection(RejectionReason.STALE, f"ticket {state.ticket_number} is in force")
    winner = next((v for v in reversed(state.verdicts) if v.accepted), None)
    if winner is None:
        return Rejection(RejectionReason.REPEATED, f"ticket {ticket.number} is in force")
    named = f"ticket {ticket.number} by {winner.publisher} at offset {winner.offset}"
    if winner.digest == ticket_digest(ticket):
        return Rejection(RejectionReason.REPEATED, f"{named} has the same content")
    return Rejection(RejectionReason.LOST_RACE, f"{named} came first")


def _service_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    for name, service in ticket.services.items():
        current = state.services.get(name)
        owned = any(partition_service(item) == name for item in state.ownerships)
        if service is None:
            if current is None:
                return Rejection(RejectionReason.UNKNOWN_SERVICE, f"service {name!r}")
            if owned:
                detail = f"service {name!r} still has partitions; remove its servers first"
                return Rejection(RejectionReason.CONFLICT, detail)
        elif current is not None and owned and current.shards != service.shards:
            detail = f"service {name!r} has {current.shards} shards in use"
            return Rejection(RejectionReason.CONFLICT, detail)
    return _prefix_rejection(state, ticket)


def _prefix_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    services = merged(state.services, ticket.services)
    prefixes: dict[str, str] = {}
    for name, service in services.items():
        other = prefixes.setdefault(service.path_prefix, name)
        if other != name:
            detail = f"services {other!r} and {name!r} share the path {service.path_prefix!r}"
            return Rejection(RejectionReason.CONFLICT, detail)
    return None


def _server_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    services = merged(state.services, ticket.services)
    for name, server in ticket.servers.items():
        current = state.servers.get(name)
        if server is None:
            if current is None or name in state.removed_servers:
                return Rejection(RejectionReason.UNKNOWN_SERVER, f"server {name!r}")
        elif server.service not in services:
            detail = f"service {server.service!r} of server {name!r}"
            return Rejection(RejectionReason.UNKNOWN_SERVICE, detail)
        elif current is not None and is_referenced(state, name):
            same = (current.service, current.address) == (server.service, server.address)
            if not same:
                detail = f"server {name!r} holds partitions; its service and address can't change"
                return Rejection(RejectionReason.CONFLICT, detail)
    return _address_rejection(state, ticket)


def _address_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    addresses: dict[str, str] = {}
    for name, server in merged(state.servers, ticket.servers).items():
        other = addresses.setdefault(server.address, name)
        if other != name:
            detail = f"servers {other!r} and {name!r} share the address {server.address}"
            return Rejection(RejectionReason.CONFLICT, detail)
    return None


def _reference_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    services = merged(state.services, ticket.services)
    servers = merged(state.servers, ticket.servers)
    pins = merged(state.pins, ticket.ownership)
    limits = merged(state.limits, ticket.limits)
    for name in (*ticket.ownership, *ticket.limits):
        if name not in services:
            return Rejection(RejectionReason.UNKNOWN_SERVICE, f"service {name!r}")
    for name in (*pins, *limits):
        if name not in services and ticket.services.get(name, ...) is None:
            detail = f"service {name!r} has ownership or limits; remove them in the same ticket"
            return Rejection(RejectionReason.CONFLICT, detail)
    for name, server in servers.items():
        if server.service not in services:
            detail = f"server {name!r} belongs to service {server.service!r}"
            return Rejection(RejectionReason.CONFLICT, detail)
    return _pin_rejection(ticket, pins, servers)


def _pin_rejection(
    ticket: Ticket, pins: Mapping[str, Mapping[str, str]], servers: Mapping[str, Server]
) -> Rejection | None:
    for service, keys in pins.items():
        for key, name in keys.items():
            server = servers.get(name)
            if server is None:
                touched = service in ticket.ownership
                reason = RejectionReason.UNKNOWN_SERVER if touched else RejectionReason.CONFLICT
                return Rejection(reason, f"key {key!r} is pinned to server {name!r}")
            if server.service != service:
                detail = f"server {name!r} doesn't serve {service!r}"
                return Rejection(RejectionReason.CONFLICT, detail)
    return None


def _size_rejection(state: ClusterState, ticket: Ticket) -> Rejection | None:
    services = merged(state.services, ticket.services).values()
    pins = merged(state.pins, ticket.ownership).values()
    sizes = (
        ("shards", sum(service.shards for service in services), MAX_TOTAL_SHARDS),
        ("servers", len(merged(state.servers, ticket.servers)), MAX_SERVERS),
        ("pinned keys", sum(len(keys) for keys in pins), MAX_PINNED_KEYS),
    )
    for label, size, limit in sizes:
        if size > limit:
            return Rejection(RejectionReason.TOO_LARGE, f"{size} {label}, at most {limit}")
    return None


def merged(current: Mapping[str, T], changes: Mapping[str, T | None]) -> dict[str, T]:
    """Return the table after a ticket's changes; None removes an entry."""
    merged = {**current, **changes}
    return {name: value for name, value in merged.items() if value is not None}


_CHECKS = (
    _number_rejection,
    _size_rejection,
    _service_rejection,
    _server_rejection,
    _reference_rejection,
)
