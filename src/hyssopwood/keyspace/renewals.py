"""Intervals at which leases are renewed, and what is left of a server's limit for requests.

A renewal is a request to the server too, so it counts against a limit that the server names.
"""

from __future__ import annotations

# Two renewals may be lost before a lease expires.
RENEW_INTERVAL_S = 1.4
# One renewal may be lost.
MAX_LIMITED_RENEW_INTERVAL_S = 2.2
# Renewals take more than this share of a server's limit only at the longest interval.
RENEWAL_SHARE = 0.5
# Share of a limit that requests may use whatever the renewals take.
MIN_REQUEST_SHARE = 0.25
# Requests that are sent however low the limit is, as only an answer shows that it has ended.
MIN_REQUESTS_PER_S = 0.1


def renew_interval_s(range_count: int, limit_per_s: float | None) -> float:
    """Return the interval for a server with `range_count` ranges, each renewed by a request."""
    if limit_per_s is None:
        return RENEW_INTERVAL_S
    wanted_s = range_count / (max(MIN_REQUESTS_PER_S, limit_per_s) * RENEWAL_SHARE)
    return min(MAX_LIMITED_RENEW_INTERVAL_S, max(RENEW_INTERVAL_S, wanted_s))


def request_rate_per_s(range_count: int, limit_per_s: float) -> float:
    """Return how many requests per second a server's limit leaves beside the renewals."""
    renewals_per_s = range_count / renew_interval_s(range_count, limit_per_s)
    left = max(limit_per_s * MIN_REQUEST_SHARE, limit_per_s - renewals_per_s)
    return max(MIN_REQUESTS_PER_S, left)
