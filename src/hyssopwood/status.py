"""Status of one instance, for `hyssopwood status`."""

from __future__ import annotations

from typing import Any

from attrs import asdict

from hyssopwood.entry import Readiness
from hyssopwood.member import Member
from hyssopwood.metrics import Metrics
from hyssopwood.settings import Settings

MS_PER_S = 1000


def instance_status(
    settings: Settings,
    member: Member | None,
    readiness: Readiness,
    in_flight: int,
    metrics: Metrics,
) -> dict[str, Any]:
    """Return what an operator wants to know about an instance, as JSON data."""
    status: dict[str, Any] = {
        "instance": settings.instance,
        "failure_domain": settings.failure_domain,
        "ready": readiness.ready,
        "reasons": list(readiness.reasons),
        "in_flight": in_flight,
        "requests": _request_durations(metrics),
    }
    if member is None:
        return status
    return status | _member_status(member)


def _member_status(member: Member) -> dict[str, Any]:
    state = member.replica.state
    return {
        "incarnation": member.incarnation,
        "ticket_number": state.ticket_number,
        "applied": state.applied,
        "log_reachable": member.replica.log_reachable,
        "authority": member.authority.held(),
        "planner": state.planner == member.incarnation,
        "voter": member.incarnation in state.voters,
        "members": len(state.members),
        "servers": [asdict(usage) for usage in member.coordinators.usage()],
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
