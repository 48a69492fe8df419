"""Checks of a configuration before it is published.

A configuration that decodes may still hold routes that no request matches, or limits that
contradict each other. The functions here decide on decoded values only.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any

from attrs import asdict, frozen

from hyssopwood.gateway.route_table import Route, RouteTable, ServiceSpec


class Severity(Enum):
    """Whether a finding makes a configuration unusable or only suspicious."""

    ERROR = "error"
    WARNING = "warning"


@frozen
class Finding:
    """A fault of a configuration entry."""

    severity: Severity
    # Entry that the finding concerns, such as "route example.org/a/" or "limits".
    subject: str
    detail: str


class Change(Enum):
    """How an entry differs from the one in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@frozen
class Difference:
    """An entry, or a field of one, that differs from the version in force."""

    change: Change
    subject: str
    field: str = ""
    old: str = ""
    new: str = ""


def check_table(table: RouteTable, in_force: RouteTable | None = None) -> tuple[Finding, ...]:
    """Return the findings on a configuration, errors first."""
    findings = [
        *_version_findings(table, in_force),
        *_limit_findings(table),
        *_match_findings(table),
        *_service_findings(table),
    ]
    for route in table.routes:
        findings += _route_findings(route, table.services)
    return tuple(sorted(findings, key=lambda item: item.severity is not Severity.ERROR))


def compare_tables(table: RouteTable, in_force: RouteTable) -> tuple[Difference, ...]:
    """Return how a configuration differs from the one in force."""
    return (
        *_changed_fields(
            "configuration", {"version": in_force.version}, {"version": table.version}
        ),
        *_changed_fields("limits", asdict(in_force.limits), asdict(table.limits)),
        *_compare_entries(
            {_route_subject(route): route for route in in_force.routes},
            {_route_subject(route): route for route in table.routes},
        ),
        *_compare_entries(
            {_service_subject(name): spec for name, spec in in_force.services.items()},
            {_service_subject(name): spec for name, spec in table.services.items()},
        ),
    )


def _route_subject(route: Route) -> str:
    return f"route {route.host}{route.path_prefix}"


def _service_subject(name: str) -> str:
    return f"service {name}"


def _error(subject: str, detail: str) -> Finding:
    return Finding(Severity.ERROR, subject, detail)


def _warning(subject: str, detail: str) -> Finding:
    return Finding(Severity.WARNING, subject, detail)


def _version_findings(table: RouteTable, in_force: RouteTable | None) -> Iterator[Finding]:
    if in_force is not None and table.version <= in_force.version:
        yield _error(
            "configuration",
            f"version {table.version} never comes into force after version {in_force.version}",
        )


def _limit_findings(table: RouteTable) -> Iterator[Finding]:
    limits = table.limits
    for name, value in asdict(limits).items():
        if not math.isfinite(value) or value <= 0:
            yield _error("limits", f"{name} is {value}, expected a positive number")
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield _warning(
            "limits",
            f"the header timeout of {limits.header_timeout_s:g} s is longer than the idle timeout "
            f"of {limits.idle_timeout_s:g} s",
        )


def _match_findings(table: RouteTable) -> Iterator[Finding]:
    """Yield the routes that no request matches."""
    counts = Counter((route.host, route.path_prefix) for route in table.routes)
    for (host, prefix), count in counts.items():
        if count > 1:
            yield _error(
                f"route {host}{prefix}", f"{count} routes have it, and only the last one matches"
            )
    for route in table.routes:
        cause = _never_matches(route, table.limits.header_bytes)
        if cause:
            yield _error(_route_subject(route), f"no request matches it: {cause}")


def _never_matches(route: Route, header_bytes: int) -> str:
    if not route.host:
        return "the host is empty"
    if ":" in route.host:
        return "requests are matched by their host without its port"
    if any(char.isspace() or char == "/" for char in route.host):
        return "the host contains a character that host names don't have"
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        return "the path prefix doesn't begin and end with a slash"
    if "?" in route.path_prefix:
        return "requests are matched by their path without its query"
    if len(route.path_prefix) >= header_bytes:
        return f"the path prefix is longer than the headers may be, {header_bytes} bytes"
    return ""


def _route_findings(route: Route, services: Mapping[str, ServiceSpec]) -> Iterator[Finding]:
    subject = _route_subject(route)
    if not math.isfinite(route.timeout_s) or route.timeout_s <= 0:
        yield _error(subject, f"the timeout is {route.timeout_s:g} s, so no request is answered")
    elif route.target_latency_s > route.timeout_s:
        yield _warning(
            subject,
            f"the target latency of {route.target_latency_s:g} s is longer than the timeout of "
            f"{route.timeout_s:g} s",
        )
    if route.target_latency_s <= 0 or not math.isfinite(route.target_latency_s):
        yield _error(subject, f"the target latency is {route.target_latency_s:g} s")
    if route.priority < 0:
        yield _error(subject, f"the priority is {route.priority}, expected 0 or more")
    if not route.targets:
        yield _error(subject, "it has no service")
    for target in route.targets:
        if target.service not in services:
            yield _error(subject, f"service {target.service} isn't defined")
        if not math.isfinite(target.weight) or target.weight < 0:
            yield _error(subject, f"the weight of service {target.service} is {target.weight:g}")
        elif target.weight == 0:
            yield _warning(subject, f"service {target.service} gets no requests: its weight is 0")
    names = Counter(target.service for target in route.targets)
    for name, count in names.items():
        if count > 1:
            yield _warning(subject, f"service {name} stands {count} times in the traffic split")
    if route.targets and not any(target.weight > 0 for target in route.targets):
        yield _error(subject, "no service has a weight above 0")


def _service_findings(table: RouteTable) -> Iterator[Finding]:
    used = {target.service for route in table.routes for target in route.targets}
    for name, spec in table.services.items():
        if name not in used:
            yield _warning(_service_subject(name), "no route leads to it")
        if spec.max_connections <= 0:
            yield _warning(_service_subject(name), f"it accepts {spec.max_connections} connections")
        if spec.warmup_per_s > 0 and spec.warmup_s <= 0:
            yield _warning(
                _service_subject(name),
                f"it takes {spec.warmup_per_s:g} requests a second while it is cold, but states no "
                "warm-up time",
            )
        if spec.health_path and not spec.health_path.startswith("/"):
            yield _error(
                _service_subject(name), f"the health path {spec.health_path!r} isn't a path"
            )


def _compare_entries(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[Difference]:
    for subject in sorted(old.keys() - new.keys()):
        yield Difference(Change.REMOVED, subject)
    for subject, entry in new.items():
        known = old.get(subject)
        if known is None:
            yield Difference(Change.ADDED, subject)
        else:
            yield from _changed_fields(subject, asdict(known), asdict(entry))


def _changed_fields(
    subject: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Difference]:
    for name, value in new.items():
        if old.get(name) != value:
            yield Difference(Change.CHANGED, subject, name, _text(old.get(name)), _text(value))


def _text(value: Any) -> str:
    if isinstance(value, tuple | list):
        return ", ".join(_text(item) for item in value)
    if isinstance(value, Mapping):
        return " ".join(_text(item) for item in value.values())
    return f"{value:g}" if isinstance(value, float) else str(value)
