"""Times of a graceful shutdown, and which requests still fit into it."""

from __future__ import annotations

from attrs import frozen

from hyssopwood.gateway.outcome import RoutedRequest

# The load balancer checks readiness every second and removes an instance after two failures.
BALANCER_REMOVAL_S = 2.4
# Part of the shutdown time that is reserved for closing connections and ending the process.
SHUTDOWN_MARGIN_S = 0.5
# Upper bound of the margin as a share of a short shutdown time. Requests at work in the last sixth
# of the shutdown time are expected to be cut off, so connections must not end before it.
MAX_MARGIN_SHARE = 1 / 12
# The listener closes this long before the end at the latest, so that what has been read until then
# is still answered.
LISTENER_CLOSING_S = 0.1
# Time after a request's deadline in which the server's own timeout answer may still arrive.
ANSWER_GRACE_S = 0.08
# Target latencies that a request needs to be sent at all if its deadline doesn't fit. If it is cut
# off, a request that may not be repeated is lost, so it needs more.
IDEMPOTENT_TARGETS = 1
NON_IDEMPOTENT_TARGETS = 2


@frozen
class ShutdownTimes:
    """When a graceful shutdown closes the listener and ends, on the timers' clock."""

    listener_closes_at: float
    ends_at: float

    @classmethod
    def begin(cls, now: float, shutdown_s: float) -> ShutdownTimes:
        """Return the times of a shutdown that begins now and lasts at most `shutdown_s`."""
        margin_s = min(SHUTDOWN_MARGIN_S, shutdown_s * MAX_MARGIN_SHARE)
        ends_at = now + shutdown_s - margin_s
        closes_at = min(now + BALANCER_REMOVAL_S, ends_at - LISTENER_CLOSING_S)
        return cls(closes_at, ends_at)

    def accepts(self, routed: RoutedRequest, now: float) -> bool:
        """Return whether a request that has been read now is run rather than refused.

        While the load balancer still sends callers here, one that is likely to end in time is run
        even if its deadline is later than the end.
        """
        if self._deadline_fits(routed):
            return True
        return now < self.listener_closes_at and now < self.latest_send(routed)

    def latest_send(self, routed: RoutedRequest) -> float:
        """Return until when a request may be sent to a server."""
        if self._deadline_fits(routed):
            return routed.deadline
        targets = IDEMPOTENT_TARGETS if routed.route.idempotent else NON_IDEMPOTENT_TARGETS
        return self.ends_at - targets * routed.route.target_latency_s

    def _deadline_fits(self, routed: RoutedRequest) -> bool:
        return routed.deadline + ANSWER_GRACE_S <= self.ends_at
