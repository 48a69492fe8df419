"""Work that the previous coordinator of a server let in and that may still run."""

from __future__ import annotations

import math

from attrs import define, field

from hyssopwood.session import ServerReport


@define
class InheritedWork:
    """Bound the work of earlier coordinators by the server's own count.

    From `quiet_at` on nothing new of theirs can start. Until then their work may fill every slot;
    afterwards it is at most the smallest count that the server has reported since, and nothing
    once `ended_at` has passed, the longest deadline later.
    """

    quiet_at: float = math.inf
    longest_s: float = 0.0
    # Some of the work may run under a token that the server no longer holds.
    superseded: bool = False
    _count: float = field(default=math.inf)

    @property
    def ended_at(self) -> float:
        """Return the time by which the deadline of all inherited work has passed."""
        return self.quiet_at + self.longest_s

    def begin(self, quiet_at: float, longest_s: float) -> None:
        """Start to count when the takeover is complete."""
        self.quiet_at = quiet_at
        self.longest_s = longest_s

    def note(self, report: ServerReport) -> None:
        """Lower the bound to the server's count."""
        if report.sent_at >= self.quiet_at:
            self._count = min(self._count, report.running)

    def end(self) -> None:
        """Note that the server has restarted."""
        self._count = 0

    def lapse(self) -> None:
        """Note that the server has stopped the work under its grants."""
        if not self.superseded:
            self._count = 0

    def count(self, now: float) -> float:
        """Return how many inherited requests may run, inf when not known."""
        return 0 if now >= self.ended_at else self._count

    def usable_slots(self, slots: int, now: float) -> int:
        """Return how many of the server's slots are certainly free of inherited work."""
        return int(max(0, slots - min(slots, self.count(now))))
