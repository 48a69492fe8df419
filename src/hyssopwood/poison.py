"""Suspects of crashing backend servers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define

from hyssopwood.events import Event, emit
from hyssopwood.messages import SuspectReport
from hyssopwood.timers import Timers

MAX_SUSPECTS = 10_000
# The second crash convicts: suspects never run side by side, so an innocent request that ran
# beside the first crash is not there at the second.
QUARANTINE_CRASHES = 2
ALONE = 1.0
# A trial whose end is never reported must not block the server's other suspects for long.
TRIAL_LIMIT_S = 5.0


@define(eq=False)
class _Suspect:
    """Crashes seen with one request digest."""

    crashes: int
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
            suspect = self._suspects[report.digest] = _Suspect(0, False, 0.0)
        suspect.crashes += 1
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
            weight=round(report.weight, 2),
        )

    def quarantined_s(self, digest: int) -> float | None:
        """Return the remaining seconds of a request's quarantine, None when it may run."""
        if not self._suspects:
            return None
        self._expire()
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.crashes < QUARANTINE_CRASHES:
            return None
        return suspect.expires - self._timers.now()

    def is_suspect(self, digest: int) -> bool:
        """Return whether a request ran when a server crashed and has not succeeded since."""
        return digest in self._suspects

    def _expire(self) -> None:
        now = self._timers.now()
        while self._suspects:
            digest, suspect = next(iter(self._suspects.items()))
            if suspect.expires > now:
                return
            del self._suspects[digest]


@define(eq=False)
class _Trial:
    """One suspect that runs at a server."""

    request_id: str
    until: float


class Trials:
    """Let at most one suspect run at each server at a time."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._trials: dict[str, _Trial] = {}

    def begin(self, server: str, request_id: str) -> bool:
        """Return whether a suspect may run now."""
        now = self._timers.now()
        trial = self._trials.get(server)
        if trial is not None and trial.request_id != request_id and now < trial.until:
            return False
        self._trials[server] = _Trial(request_id, now + TRIAL_LIMIT_S)
        return True

    def end(self, server: str, request_id: str) -> None:
        """Let the next suspect run."""
        trial = self._trials.get(server)
        if trial is not None and trial.request_id == request_id:
            del self._trials[server]

    def end_all(self, server: str) -> None:
        """Forget the trial of a server that has crashed."""
        self._trials.pop(server, None)
