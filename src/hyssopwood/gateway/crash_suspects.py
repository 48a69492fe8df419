"""Detection of requests that crash the servers that run them, by all instances together.

A request that crashes each server that starts to run it costs another server with every retry of
its caller. Instances report to the leader which requests a server was running when its connection
was lost or their deadline passed. The leader counts the server incarnations per request and sends
the request's fingerprint to all instances: as watched after losses at two incarnations, so that any
success clears it, and as quarantined when three of them have ended.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

from attrs import define, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.gateway.exchange import CallerRequest
from hyssopwood.gateway.held_body import body_pieces
from hyssopwood.timers import Timers

# Server incarnations at which a request must have been lost before it is watched, and how many of
# them must have ended before it is refused. A harmless request can run beside the crashing one once
# or twice, and succeeds in between.
WATCHED_CRASHES = 2
QUARANTINE_CRASHES = 3
# A suspicion expires this long after the last reported loss, a quarantine this long after it began.
SUSPICION_TTL_S = 120.0
# Limits on the losses that an instance keeps, and on the cases that the leader keeps.
MAX_LOCAL_LOSSES = 512
MAX_CASES = 8192

Incarnation = tuple[str, int]


@frozen
class CrashReport:
    """A report of an instance on suspected requests, by their fingerprints."""

    # Requests that a server incarnation was running when its connection was lost or the deadline
    # passed.
    lost: tuple[tuple[int, Incarnation], ...] = ()
    # Watched requests that have succeeded.
    cleared: tuple[int, ...] = ()


@frozen
class Suspects:
    """Fingerprints of the requests that the leader has found suspect."""

    watched: frozenset[int] = frozenset()
    quarantined: frozenset[int] = frozenset()


def request_fingerprint(request: CallerRequest) -> int:
    """Return a hash that is the same for retries of a request with other ids and deadlines."""
    digest = blake2b(digest_size=8)
    for part in (request.method, request.host.encode(), request.target):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    digest.update(len(request.body).to_bytes(8))
    for piece in body_pieces(request.body):
        digest.update(piece)
    return int.from_bytes(digest.digest())


@define
class _Loss:
    fingerprint: int
    incarnation: Incarnation
    observed_at: float


@define
class CrashMonitor:
    """Record the losses that this instance observes, and keep the leader's suspects."""

    _timers: Timers
    _suspects: Suspects = field(factory=Suspects, init=False)
    _recent_losses: list[_Loss] = field(factory=list, init=False)
    _unreported: int = field(default=0, init=False)
    _cleared: set[int] = field(factory=set, init=False)

    def set_suspects(self, suspects: Suspects) -> None:
        """Replace the suspects by those that the leader sent."""
        self._suspects = suspects

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether a request is quarantined and must not be sent to any server."""
        quarantined = self._suspects.quarantined
        return bool(quarantined) and request_fingerprint(request) in quarantined

    def record_lost(self, request: CallerRequest, incarnation: Incarnation) -> None:
        """Record that a server didn't answer: its connection was lost or the deadline passed."""
        now = self._timers.now()
        kept = [item for item in self._recent_losses if now - item.observed_at < SUSPICION_TTL_S]
        self._unreported = min(self._unreported, len(kept)) + 1
        kept.append(_Loss(request_fingerprint(request), incarnation, now))
        self._recent_losses = kept[-MAX_LOCAL_LOSSES:]

    def record_success(self, request: CallerRequest) -> None:
        """Report a watched request as cleared because a server has answered it."""
        if not self._suspects.watched:
            return
        fingerprint = request_fingerprint(request)
        if fingerprint in self._suspects.watched:
            self._cleared.add(fingerprint)

    def next_report(self) -> CrashReport:
        """Return a report of what was recorded since the last one."""
        lost = (
            self._recent_losses[len(self._recent_losses) - self._unreported :]
            if self._unreported
            else []
        )
        self._unreported = 0
        cleared, self._cleared = tuple(self._cleared), set()
        return CrashReport(tuple((item.fingerprint, item.incarnation) for item in lost), cleared)

    def recent_report(self) -> CrashReport:
        """Return a report of all recent losses for a new leader."""
        self._unreported = len(self._recent_losses)
        return self.next_report()


@define
class _Case:
    incarnations: set[Incarnation] = field(factory=set)
    last_observed_at: float = 0.0


@define
class CrashCounter:
    """Count, at the leader, the servers that ended while the same request was running."""

    _timers: Timers
    # Whether a server incarnation has ended: its registration was removed, or a later one exists.
    _has_ended: Callable[[Incarnation], bool]
    _cases: dict[int, _Case] = field(factory=dict, init=False)
    _quarantined: dict[int, float] = field(factory=dict, init=False)

    def reset(self) -> None:
        """Discard all counts; the instances report theirs to a new leader."""
        self._cases.clear()
        self._quarantined.clear()

    def add_report(self, report: CrashReport) -> None:
        """Count the losses that an instance reports."""
        now = self._timers.now()
        for fingerprint, incarnation in report.lost:
            case = self._cases.pop(fingerprint, None) or _Case()
            case.incarnations.add(incarnation)
            case.last_observed_at = now
            # Insertion order is by last loss, so the oldest cases are evicted first.
            self._cases[fingerprint] = case
        for fingerprint in report.cleared:
            if fingerprint not in self._quarantined:
                self._cases.pop(fingerprint, None)
        while len(self._cases) > MAX_CASES:
            del self._cases[next(iter(self._cases))]

    def suspects(self) -> Suspects:
        """Return the suspects to send to all instances."""
        now = self._timers.now()
        for fingerprint, case in list(self._cases.items()):
            if now - case.last_observed_at > SUSPICION_TTL_S:
                del self._cases[fingerprint]
        watched = set()
        for fingerprint, case in self._cases.items():
            if len(case.incarnations) < WATCHED_CRASHES:
                continue
            ended = sum(self._has_ended(incarnation) for incarnation in case.incarnations)
            if ended >= QUARANTINE_CRASHES and fingerprint not in self._quarantined:
                emit(Event.POISON_REFUSED, fingerprint=f"{fingerprint:016x}", crashes=ended)
                self._quarantined[fingerprint] = now
            watched.add(fingerprint)
        for fingerprint, since in list(self._quarantined.items()):
            if now - since > SUSPICION_TTL_S:
                del self._quarantined[fingerprint]
                self._cases.pop(fingerprint, None)
        return Suspects(frozenset(watched - self._quarantined.keys()), frozenset(self._quarantined))
