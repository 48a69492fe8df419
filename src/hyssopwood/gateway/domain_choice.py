"""Choice of the failure domain for requests without a key.

Load can differ between failure domains. Sending a request to another domain costs bandwidth, so it
stays in its own domain until waiting there costs more than the crossing. The domain's queue decides
which server gets the request.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

# Cost of sending a request to another failure domain, as a wait. Each of several domains is first
# asked with this as the maximum wait; if none admits the request, it is added to the predicted
# waits of the other domains.
CROSSING_PENALTY_S = 0.12


def order_domains(domains: Iterable[str], own: str, waits: Mapping[str, float]) -> tuple[str, ...]:
    """Return failure domains in the order to ask them: the own one, then by last reported wait."""
    return tuple(sorted(domains, key=lambda item: (item != own, waits.get(item, 0.0), item)))


def choose_waiting_domain(own: str, waits: Mapping[str, float]) -> str:
    """Return the failure domain to queue in among those that rejected a request for its wait."""

    def cost(domain: str) -> tuple[float, str]:
        return waits[domain] + (0.0 if domain == own else CROSSING_PENALTY_S), domain

    return min(waits, key=cost)
