"""Decoder of the operator's configuration document into a route table."""

from __future__ import annotations

from typing import Any

from hyssopwood.documents import check_integer, parse_document, quote, shorten
from hyssopwood.errors import InputError, InputFault
from hyssopwood.gateway.route_table import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceSpec,
    WeightedService,
)

SOURCE = "configuration"
# Kinds of requests that may run more than once.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
# Limit on `warmup_s` (a day) and on `warmup_per_s`; larger values are mistakes.
MAX_WARMUP_NUMBER = 86_400


def _targets(action: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = action.get("traffic_split")
    if split:
        return tuple(WeightedService(part["service"], float(part["weight"])) for part in split)
    return (WeightedService(action["service"], 1.0),)


def decode_route(host: str, rule: dict[str, Any]) -> Route:
    """Return a route of a host."""
    action = rule["action"]
    timeout_s = float(action["timeout_s"])
    return Route(
        name=rule.get("name", ""),
        host=host.lower(),
        path_prefix=rule["match"]["path_prefix"],
        targets=_targets(action),
        idempotent=rule.get("type") in IDEMPOTENT_KINDS,
        max_attempts=max(1, int(action.get("max_attempts", 1))),
        timeout_s=timeout_s,
        target_latency_s=float(rule.get("target_latency_s") or timeout_s),
        priority=int(rule.get("priority", 0)),
    )


def _warmup_number(cluster: dict[str, Any], name: str) -> float:
    value = cluster.get(name, 0.0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is {quote(value)}, expected a number")
    if not 0 <= value <= MAX_WARMUP_NUMBER:
        raise ValueError(f"{name} is {quote(value)}, expected 0 to {MAX_WARMUP_NUMBER}")
    return float(value)


def decode_service(cluster: dict[str, Any]) -> ServiceSpec:
    """Return the description of a service."""
    return ServiceSpec(
        name=cluster["name"],
        health_path=cluster.get("health_path", ""),
        max_connections=int(cluster.get("max_connections", 0)),
        sharded=bool(cluster.get("sharded", False)),
        warm_s=float(cluster.get("warm_s", 0.0)),
        warmup_s=_warmup_number(cluster, "warmup_s"),
        warmup_per_s=_warmup_number(cluster, "warmup_per_s"),
    )


def decode_limits(limits: dict[str, Any]) -> CallerLimits:
    """Return the limits on callers."""
    return CallerLimits(
        header_bytes=int(limits["max_header_bytes"]),
        body_bytes=int(limits["max_body_bytes"]),
        header_timeout_s=float(limits["header_timeout_s"]),
        idle_timeout_s=float(limits["idle_timeout_s"]),
    )


def decode_configuration(value: bytes) -> RouteTable:
    """Return the route table of a configuration document; raise InputError if it is invalid."""
    try:
        document = parse_document(value)
        services = [decode_service(cluster) for cluster in document["clusters"]]
        return RouteTable(
            version=check_integer(int(document["version"])),
            routes=tuple(
                decode_route(listener["host"], rule)
                for listener in document["listeners"]
                for rule in listener["route_rules"]
            ),
            services={service.name: service for service in services},
            limits=decode_limits(document["limits"]),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        detail = f"{type(error).__name__}: {shorten(str(error))}"
        fault = InputFault("$", detail, "a configuration document")
        raise InputError(SOURCE, (fault,)) from error
