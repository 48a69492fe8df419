"""Requests that crash the servers that run them, found by all instances together.

It answers a request that ends each server that begins to run it and that its caller sends again:
every repeat costs another server. Instances tell the leader which requests were at work when a
server's connection was lost. The leader counts the different server starts that have ended with the
same request at work, and names the request to all instances: with two of them as watched, so that
any success clears it, and with three as quarantined.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

from attrs import define, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.gateway.exchange import CallerRequest
from hyssopwood.timers import Timers

# Server starts that ended with a request at work before it is watched, and before it is refused. An
# innocent request can be beside the guilty one once or twice, and succeeds in between.
WATCHED_CRASHES = 2
QUARANTINE_CRASHES = 3
# A request that crashed no server for so long is forgotten, and so is its quarantine.
SUSPICION_TTL_S = 120.0
# Suspicions that one instance keeps, and those of all that the leader keeps.
MAX_LOCAL_LOSSES = 512
MAX_CASES = 8192

Incarnation = tuple[str, int]


@frozen
class CrashReport:
    """Hold what an instance tells of suspected requests, by their fingerprints."""

    # Requests that were at work at a server when its connection was lost.
    lost: tuple[tuple[int, Incarnation], ...] = ()
    # Watched requests that have succeeded.
    cleared: tuple[int, ...] = ()


@frozen
class Suspects:
    """Hold the fingerprints of the requests that the leader has found."""

    watched: frozenset[int] = frozenset()
    quarantined: frozenset[int] = frozenset()


def fingerprint(request: CallerRequest) -> int:
    """Return a number that repeats of a request share, whatever their ids and deadlines are."""
    digest = blake2b(digest_size=8)
    for part in (request.method, request.host.encode(), request.target, request.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest())


@define
class _Loss:
    number: int
    incarnation: Incarnation
    observed_at: float


@define
class CrashMonitor:
    """Keep what this instance saw and what the leader told."""

    _timers: Timers
    _suspects: Suspects = field(factory=Suspects, init=False)
    _recent_losses: list[_Loss] = field(factory=list, init=False)
    _unreported: int = field(default=0, init=False)
    _cleared: set[int] = field(factory=set, init=False)

    def set_suspects(self, suspects: Suspects) -> None:
        """Take what the leader has found."""
        self._suspects = suspects

    def refuses(self, request: CallerRequest) -> bool:
        """Return whether a request must not be sent to another server."""
        quarantined = self._suspects.quarantined
        return bool(quarantined) and fingerprint(request) in quarantined

    def record_lost(self, request: CallerRequest, incarnation: Incarnation) -> None:
        """Note that a server's connection was lost while it had the request."""
        now = self._timers.now()
        kept = [item for item in self._recent_losses if now - item.observed_at < SUSPICION_TTL_S]
        self._unreported = min(self._unreported, len(kept)) + 1
        kept.append(_Loss(fingerprint(request), incarnation, now))
        self._recent_losses = kept[-MAX_LOCAL_LOSSES:]

    def record_success(self, request: CallerRequest) -> None:
        """Clear a watched request that a server has answered."""
        if not self._suspects.watched:
            return
        number = fingerprint(request)
        if number in self._suspects.watched:
            self._cleared.add(number)

    def next_report(self) -> CrashReport:
        """Return what is new since the last report."""
        lost = (
            self._recent_losses[len(self._recent_losses) - self._unreported :]
            if self._unreported
            else []
        )
        self._unreported = 0
        cleared, self._cleared = tuple(self._cleared), set()
        return CrashReport(tuple((item.number, item.incarnation) for item in lost), cleared)

    def recent_report(self) -> CrashReport:
        """Return all that a new leader should know."""
        self._unreported = len(self._recent_losses)
        return self.next_report()


@define
class _Case:
    incarnations: set[Incarnation] = field(factory=set)
    last_observed_at: float = 0.0


@define
class CrashCounter:
    """Count for the leader how many servers ended with the same request at work."""

    _timers: Timers
    # Whether a start of a server has ended: it is gone, or a later one is registered.
    _has_ended: Callable[[Incarnation], bool]
    _cases: dict[int, _Case] = field(factory=dict, init=False)
    _quarantined: dict[int, float] = field(factory=dict, init=False)

    def reset(self) -> None:
        """Start anew; the instances tell what they know."""
        self._cases.clear()
        self._quarantined.clear()

    def add_report(self, report: CrashReport) -> None:
        """Count what an instance tells."""
        now = self._timers.now()
        for number, incarnation in report.lost:
            case = self._cases.pop(number, None) or _Case()
            case.incarnations.add(incarnation)
            case.last_observed_at = now
            # The latest case stands last, so the oldest go first.
            self._cases[number] = case
        for number in report.cleared:
            if number not in self._quarantined:
                self._cases.pop(number, None)
        while len(self._cases) > MAX_CASES:
            del self._cases[next(iter(self._cases))]

    def suspects(self) -> Suspects:
        """Return what all instances should know now."""
        now = self._timers.now()
        for number, case in list(self._cases.items()):
            if now - case.last_observed_at > SUSPICION_TTL_S:
                del self._cases[number]
        watched = set()
        for number, case in self._cases.items():
            if len(case.incarnations) < WATCHED_CRASHES:
                continue
            ended = sum(self._has_ended(incarnation) for incarnation in case.incarnations)
            if ended >= QUARANTINE_CRASHES and number not in self._quarantined:
                emit(Event.POISON_REFUSED, fingerprint=f"{number:016x}", crashes=ended)
                self._quarantined[number] = now
            watched.add(number)
        for number, since in list(self._quarantined.items()):
            if now - since > SUSPICION_TTL_S:
                del self._quarantined[number]
                self._cases.pop(number, None)
        return Suspects(frozenset(watched - self._quarantined.keys()), frozenset(self._quarantined))
