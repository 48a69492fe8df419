"""Status of one instance, for `hyssopwood status`."""

from __future__ import annotations

from typing import Any

from attrs import asdict

from hyssopwood.entry import Readiness
from hyssopwood.incarnation import Incarnation
from hyssopwood.metrics import Metrics
from hyssopwood.settings import Settings
from hyssopwood.state import STATUS_UP

MS_PER_S = 1000


def instance_status(
    settings: Settings,
    incarnation: Incarnation | None,
    readiness: Readiness,
    in_flight: int,
    metrics: Metrics,
) -> dict[str, Any]:
    """Return an instance's status for operators, as JSON data."""
    status: dict[str, Any] = {
        "instance": settings.instance,
        "failure_domain": settings.failure_domain,
        "ready": readiness.ready,
        "reasons": list(readiness.reasons),
        "in_flight": in_flight,
        "requests": _request_durations(metrics),
    }
    if incarnation is None:
        return status
    return status | _member_status(incarnation)


def _member_status(incarnation: Incarnation) -> dict[str, Any]:
    state = incarnation.replica.state
    return {
        "incarnation": incarnation.id,
        "ticket_number": state.ticket_number,
        "applied": state.applied,
        "log_reachable": incarnation.replica.log_reachable,
        "authority": incarnation.authority.held(),
        "planner": state.planner == incarnation.id,
        "voter": incarnation.id in state.voters,
        "members": len(state.members),
        "servers": [asdict(usage) for usage in incarnation.coordinators.usage()],
    }


def _request_durations(metrics: Metrics) -> dict[str, Any]:
    return {
        service: {
            "count": durations.count,
            "p50_ms": durations.quantile_s(0.5) * MS_PER_S,
            "p99_ms": durations.quantile_s(0.99) * MS_PER_S,
        }
        for service, durations in metrics.durations("request").items()
    }


def set_gauges(metrics: Metrics, incarnation: Incarnation) -> None:
    """Update the gauges of an instance's view of the cluster before they are exposed.

    Counts restart from zero with each incarnation.
    """
    state = incarnation.replica.state
    metrics.set("ticket_number", state.ticket_number)
    metrics.set("log_offset", state.applied)
    metrics.set("log_reachable", float(incarnation.replica.log_reachable))
    metrics.set("authority_held", float(incarnation.authority.held()))
    metrics.set("members", len(state.members))
    for kind, count in incarnation.replica.budget.appended.items():
        metrics.set("appends", count, kind)
    moving = sum(1 for owner in state.ownerships.values() if owner.awaiting or not owner.server)
    metrics.set("partitions_moving", moving)
    for usage in incarnation.coordinators.usage():
        metrics.set("server_busy_ratio", usage.busy_ratio, usage.server)
        metrics.set("server_up", float(usage.status == STATUS_UP), usage.server)
