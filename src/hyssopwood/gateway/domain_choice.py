"""Choice of the failure domain whose servers get work without a key.

It answers a crest that differs between failure domains: crossing costs bandwidth, so work stays
in its own domain until waiting there costs more than the crossing. Which server of the domain gets
it is the decision of the domain's queue.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

# Predicted extra wait in the own failure domain that is borne before work crosses to another.
CROSSING_PENALTY_S = 0.12


def order_domains(domains: Iterable[str], own: str, waits: Mapping[str, float]) -> tuple[str, ...]:
    """Return failure domains in the order in which to ask them, by the waits they last told."""
    return tuple(sorted(domains, key=lambda item: (item != own, waits.get(item, 0.0), item)))


def choose_waiting_domain(own: str, waits: Mapping[str, float]) -> str:
    """Return the failure domain to wait in when none has room at once."""

    def cost(domain: str) -> tuple[float, str]:
        return waits[domain] + (0.0 if domain == own else CROSSING_PENALTY_S), domain

    return min(waits, key=cost)
