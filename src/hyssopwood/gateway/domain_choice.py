"""Choice of the failure domain for requests without a key.

Load can differ between failure domains. Sending a request to another domain costs bandwidth, so it
stays in its own domain until waiting there costs more than the crossing. The domain's queue decides
which server gets the request.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

# Predicted extra wait in the own failure domain above which a request is sent to another one.
CROSSING_PENALTY_S = 0.12


def order_domains(domains: Iterable[str], own: str, waits: Mapping[str, float]) -> tuple[str, ...]:
    """Return failure domains in the order to ask them: the own one, then by last reported wait."""
    return tuple(sorted(domains, key=lambda item: (item != own, waits.get(item, 0.0), item)))


def choose_waiting_domain(own: str, waits: Mapping[str, float]) -> str:
    """Return the failure domain to queue in when none admits the request at once."""

    def cost(domain: str) -> tuple[float, str]:
        return waits[domain] + (0.0 if domain == own else CROSSING_PENALTY_S), domain

    return min(waits, key=cost)
