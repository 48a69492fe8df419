"""Suspects of crashing backend servers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define

from hyssopwood.events import Event, emit
from hyssopwood.messages import SuspectReport
from hyssopwood.timers import Timers

MAX_SUSPECTS = 10_000
QUARANTINE_CRASHES = 2
# Crashes with others beside count in part: with 2 requests each, two crashes are enough, with
# 3 it takes three. Fewer would quarantine innocent repeated requests. Below 1 for rounding.
QUARANTINE_WEIGHT = 0.999
ALONE = 1.0


@define(eq=False)
class _Suspect:
    """Crashes seen with one request digest."""

    crashes: int
    weight: float
    ran_alone: bool
    expires: float


class Suspects:
    """Count crashes per request digest and quarantine the guilty, bounded in count."""

    def __init__(
        self, timers: Timers, quarantine_s: float, max_suspects: int = MAX_SUSPECTS
    ) -> None:
        self._timers = timers
        self._quarantine_s = quarantine_s
        self._max_suspects = max_suspects
        # Ordered by the last crash, which is the order of expiry.
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def record_crash(self, server: str, running: Sequence[int]) -> tuple[SuspectReport, ...]:
        """Suspect the requests that ran when a server crashed; return reports for peers."""
        digests = dict.fromkeys(running)
        if not digests:
            return ()
        weight = ALONE / len(running)
        reports = tuple(SuspectReport(digest, server, weight, False) for digest in digests)
        for report in reports:
            self.merge(report)
        return reports

    def record_success(self, server: str, digest: int) -> SuspectReport | None:
        """Clear a request that completed, unless it crashed a server alone."""
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.ran_alone:
            return None
        del self._suspects[digest]
        return SuspectReport(digest, server, 0.0, True)

    def merge(self, report: SuspectReport) -> None:
        """Apply one crash or clearance, own or from a peer; each is reported once."""
        self._expire()
        suspect = self._suspects.get(report.digest)
        if report.cleared:
            if suspect is not None and not suspect.ran_alone:
                del self._suspects[report.digest]
            return
        if suspect is None:
            suspect = self._suspects[report.digest] = _Suspect(0, 0.0, False, 0.0)
        suspect.crashes += 1
        suspect.weight += min(ALONE, max(0.0, report.weight))
        suspect.ran_alone = suspect.ran_alone or report.weight >= ALONE
        suspect.expires = self._timers.now() + self._quarantine_s
        self._suspects.move_to_end(report.digest)
        if len(self._suspects) > self._max_suspects:
            self._suspects.popitem(last=False)
        emit(
            Event.POISON_SUSPECTED,
            digest=f"{report.digest:016x}",
            server=report.server,
            crashes=suspect.crashes,
            weight=round(suspect.weight, 2),
        )

    def quarantined_s(self, digest: int) -> float | None:
        """Return the remaining seconds of a request's quarantine, None when it may run."""
        if not self._suspects:
            return None
        self._expire()
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.crashes < QUARANTINE_CRASHES:
            return None
        if suspect.weight < QUARANTINE_WEIGHT:
            return None
        return suspect.expires - self._timers.now()

    def _expire(self) -> None:
        now = self._timers.now()
        while self._suspects:
            digest, suspect = next(iter(self._suspects.items()))
            if suspect.expires > now:
                return
            del self._suspects[digest]
