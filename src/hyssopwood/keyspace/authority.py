"""Authority of the leader: how long it may grant ranges after the store last confirmed it."""

from __future__ import annotations

from attrs import define, field

# The store may be unavailable for 4 to 9 s. A leader continues for this long without it, and the
# leases that it granted last cover the rest: authority, lease and renewal interval add up to 9.9 s.
# A longer authority would leave keys without an owner for longer when a server is lost together
# with the leader.
AUTHORITY_S = 6.8


@define
class Authority:
    """Track the authority of the leader, measured from when its last confirmed write was sent."""

    _confirmed_at: float = field(default=float("-inf"), init=False)

    def confirm(self, sent: float) -> None:
        """Record a successful write by the time at which it was sent."""
        self._confirmed_at = max(self._confirmed_at, sent)

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation."""
        return now - self._confirmed_at

    def is_valid(self, now: float) -> bool:
        """Return whether the leader may send grants now."""
        return self.age_s(now) < AUTHORITY_S

    def revoke(self) -> None:
        """End the authority now."""
        self._confirmed_at = float("-inf")
