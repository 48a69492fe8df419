"""Admission queue that all instances share for a group of servers.

Under peak load many instances send to few slots. Limits that each instance enforces by itself
either overload a server or leave slots unused, and each instance sees only a part of the queue; a
shared queue sees every request. Requests that can still be answered within their target latency go
first, by priority and then by age: served in order of age alone, all of them would be late at peak
load. A request that can no longer start in time is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from itertools import count
from typing import TypeAlias

from attrs import define, field, frozen

from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.token_bucket import SlidingWindow, TokenBucket
from hyssopwood.gateway.warmup import ColdAdmission

# Maximum requests in flight at a server while an instance must back off from it. It may still serve
# the other instances, but together they must not overload it again.
REQUESTS_WHILE_BACKED_OFF = 1
# Requests admitted beyond a server's slots; one keeps the server busy while the next request is
# on its way to a free slot.
EXTRA_REQUESTS_PER_SERVER = 1
# Load reports older than this are ignored.
REPORT_TTL_S = 1.0
# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
# Within the range of mean service times of the known deployments, 36 to 250 ms.
INITIAL_SERVICE_TIME_S = 0.1
# Extra time expected of a server that has just started, which runs at about half of its speed.
WARMUP_PENALTY_S = 0.10
# Timers fire late: a request that a server's limit would admit at the last moment isn't queued.
LIMITED_WAIT_MARGIN_S = 0.02
# An admission that its sender never released expires this long after the request's deadline.
ADMISSION_GRACE_S = 0.5
NEVER_S = float("inf")


@frozen(kw_only=True)
class QueuedRequest:
    """A request as the queue sees it."""

    ticket: Hashable
    # Lower is more urgent.
    priority: int
    # Times by which the answer meets the target latency, and after which it is useless.
    target: float
    deadline: float
    # The request is rejected rather than queued if its predicted wait is longer.
    max_wait_s: float = NEVER_S
    # Servers that the request isn't sent to: already tried, or that told its sender to back off.
    tried: frozenset[str] = frozenset()


@frozen
class QueueServer:
    """A server that the queue may send to."""

    record: ServerRecord
    suspect: bool = False
    # Requests per second that the server's limit leaves to this queue; None for no limit.
    rate_per_s: float | None = None
    # What the queue may admit while the server is cold, and all that the keeper has admitted.
    cold: ColdAdmission = ColdAdmission.FREE
    window: SlidingWindow | None = None


@frozen
class Granted:
    """The request is admitted to a server."""

    server: ServerRecord


@frozen
class Queued:
    """The request is queued, with its predicted wait."""

    wait_s: float


@frozen
class Rejected:
    """The request is rejected: its predicted wait is too long, or there is no server for it."""

    wait_s: float
    # The servers' own limits determine the wait.
    limited: bool = False


Decision: TypeAlias = Granted | Queued | Rejected


@define
class _Server:
    record: ServerRecord
    in_flight: int = 0
    service_time_s: float = INITIAL_SERVICE_TIME_S
    # Requests at the server that this queue didn't send, by the server's last load report.
    external: int = 0
    reported_at: float = float("-inf")
    # End of the latest back-off that the server asked any instance for.
    backed_off_until: float = float("-inf")
    # Admissions while the server names a limit.
    bucket: TokenBucket | None = None
    # Admissions while the server is cold.
    cold: ColdAdmission = ColdAdmission.FREE
    window: SlidingWindow | None = None

    def set_rate(self, rate_per_s: float | None, now: float) -> None:
        """Admit at most this many requests per second, or any number if it is None."""
        if rate_per_s is None:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = TokenBucket(rate_per_s, now)
        else:
            self.bucket.set_rate(rate_per_s, now)

    def slots(self, now: float) -> int:
        """Return how many requests the server processes at a time."""
        backed_off = now < self.backed_off_until
        return REQUESTS_WHILE_BACKED_OFF if backed_off else self.record.slots

    def rate_per_s(self, now: float) -> float:
        """Return how many requests per second the server is expected to serve."""
        return min(self._slot_rate_per_s(now), self._limit_per_s())

    def limited(self, now: float) -> bool:
        """Return whether the server's limit is below what its slots serve."""
        return self._limit_per_s() < self._slot_rate_per_s(now)

    def free_capacity(self, now: float) -> float:
        """Return how many more requests may be sent now; a part of one may not be sent yet."""
        free: float = self._free_slots(now)
        if self.bucket is not None:
            free = min(free, self.bucket.tokens(now))
        if self.cold is ColdAdmission.CLOSED:
            return min(free, 0.0)
        if self.cold is ColdAdmission.LIMITED and self.window is not None:
            free = min(free, self.window.tokens(now))
        return free

    def next_token_s(self, now: float) -> float | None:
        """Return when the limit next admits a request, or None if it isn't what delays one."""
        if self.cold is ColdAdmission.CLOSED or self._free_slots(now) < 1:
            return None
        waits = []
        if self.bucket is not None and self.bucket.tokens(now) < 1:
            waits.append(self.bucket.next_token_s(now))
        limited = self.cold is ColdAdmission.LIMITED
        if limited and self.window is not None and self.window.tokens(now) < 1:
            waits.append(self.window.next_token_s(now))
        return max(waits, default=None)

    def take(self, now: float) -> None:
        """Count an admission against the limits."""
        if self.bucket is not None:
            self.bucket.take(now)
        if self.window is not None:
            self.window.take(now)

    def _limit_per_s(self) -> float:
        """Return how many requests per second the limits admit."""
        if self.cold is ColdAdmission.CLOSED:
            return 0.0
        limit = NEVER_S if self.bucket is None else self.bucket.rate_per_s
        if self.cold is ColdAdmission.LIMITED and self.window is not None:
            limit = min(limit, self.window.rate_per_s)
        return limit

    def _slot_rate_per_s(self, now: float) -> float:
        return self.slots(now) / self.service_time_s

    def _free_slots(self, now: float) -> int:
        if now < self.backed_off_until:
            return REQUESTS_WHILE_BACKED_OFF - self.in_flight
        external = self.external if now - self.reported_at < REPORT_TTL_S else 0
        limit = max(1, self.record.slots + EXTRA_REQUESTS_PER_SERVER - external)
        return limit - self.in_flight

    def expected_time_s(self) -> float:
        """Return how long a request sent now is expected to take."""
        behind = max(0, self.in_flight + 1 - self.record.slots) / self.record.slots
        warming = WARMUP_PENALTY_S if self.record.warmup_left_s > 0 else 0.0
        return (1 + behind) * self.service_time_s + warming


@define
class _Admission:
    server: _Server
    expires_at: float


@frozen
class _Waiting:
    request: QueuedRequest
    order: int


def service_sample_s(elapsed_s: float, load: ServerLoad | None, slots: int) -> float:
    """Return the service time that an answer indicates, without the wait in the server's queue."""
    queue_rounds = 1.0 if load is None else max(1.0, (load.running + load.waiting) / slots)
    return elapsed_s / queue_rounds


@define
class SharedQueue:
    """Decide which request is sent to which server, and when."""

    _candidates: Callable[[], Iterable[QueueServer]]
    _servers: dict[tuple[str, int], _Server] = field(factory=dict, init=False)
    _admissions: dict[Hashable, _Admission] = field(factory=dict, init=False)
    _waiting: dict[Hashable, _Waiting] = field(factory=dict, init=False)
    _order: count[int] = field(factory=count, init=False)

    @property
    def idle(self) -> bool:
        """Return whether no request is admitted or queued."""
        return not self._admissions and not self._waiting

    def enter(self, request: QueuedRequest, now: float) -> Decision:
        """Admit, queue or reject a new request."""
        usable = self._usable(now)
        if all(server.record.server in request.tried for server, _ in usable):
            return Rejected(NEVER_S)
        if not self._waiting:
            granted = self._admit(request, usable, now)
            if granted is not None:
                return granted
        mean_s = self._mean_service_time_s(usable)
        urgency = _urgency(request, now + mean_s)
        ahead = sum(
            _urgency(item.request, now + mean_s) <= urgency for item in self._waiting.values()
        )
        wait_s = self._wait_s(ahead, usable, now)
        limited = _all_limited(usable, now)
        margin_s = LIMITED_WAIT_MARGIN_S if limited else 0.0
        latest = _latest_start(request, mean_s, limited)
        if wait_s > request.max_wait_s or now + wait_s + margin_s > latest:
            return Rejected(wait_s, limited)
        self._waiting[request.ticket] = _Waiting(request, next(self._order))
        return Queued(wait_s)

    def decision(self, ticket: Hashable, now: float) -> Decision | None:
        """Return the current decision on a request, or None if it is unknown."""
        admission = self._admissions.get(ticket)
        if admission is not None:
            return Granted(admission.server.record)
        waiting = self._waiting.get(ticket)
        if waiting is None:
            return None
        usable = self._usable(now)
        ahead = self._sorted(now + self._mean_service_time_s(usable)).index(waiting)
        return Queued(self._wait_s(ahead, usable, now))

    def clear_waiting(self) -> list[Hashable]:
        """Remove all queued requests and return their tickets."""
        tickets = list(self._waiting)
        self._waiting.clear()
        return tickets

    def withdraw(self, ticket: Hashable) -> None:
        """Remove a queued request, or the admission of one that won't be sent."""
        self._waiting.pop(ticket, None)
        self._remove_admission(ticket)

    def release(
        self,
        ticket: Hashable,
        sample_s: float | None,
        load: ServerLoad | None,
        now: float,
        back_off_s: float | None = None,
    ) -> tuple[str, int] | None:
        """Release an admission with what was learned, and return the server's incarnation."""
        admission = self._remove_admission(ticket)
        if admission is None:
            return None
        server = admission.server
        if sample_s is not None:
            server.service_time_s += SERVICE_TIME_WEIGHT * (sample_s - server.service_time_s)
        if back_off_s is not None:
            server.backed_off_until = max(server.backed_off_until, now + back_off_s)
        if load is not None:
            server.external = max(0, load.running + load.waiting - server.in_flight)
            server.reported_at = now
        return server.record.incarnation

    def expire(self, now: float) -> list[Hashable]:
        """Remove expired admissions and return their tickets."""
        expired = [
            ticket for ticket, admission in self._admissions.items() if admission.expires_at <= now
        ]
        for ticket in expired:
            self._remove_admission(ticket)
        return expired

    def advance(self, now: float) -> list[tuple[Hashable, Granted | Rejected]]:
        """Admit queued requests to free servers and reject those that can't start in time."""
        if not self._waiting:
            return []
        usable = self._usable(now)
        mean_s = self._mean_service_time_s(usable)
        limited = _all_limited(usable, now)
        decided: list[tuple[Hashable, Granted | Rejected]] = []
        ahead = 0
        for item in self._sorted(now + mean_s):
            decision: Granted | Rejected | None = self._admit(item.request, usable, now)
            if decision is None:
                wait_s = self._wait_s(ahead, usable, now)
                if now + wait_s > _latest_start(item.request, mean_s, limited):
                    decision = Rejected(wait_s, limited)
            if decision is None:
                ahead += 1
                continue
            del self._waiting[item.request.ticket]
            decided.append((item.request.ticket, decision))
        return decided

    def next_token_s(self, now: float) -> float | None:
        """Return when a server's limit next admits a queued request, or None if none waits."""
        if not self._waiting:
            return None
        waits = (server.next_token_s(now) for server, _ in self._usable(now))
        return min((wait_s for wait_s in waits if wait_s is not None), default=None)

    def _usable(self, now: float) -> list[tuple[_Server, bool]]:
        usable = []
        incarnations = set()
        for candidate in self._candidates():
            record = candidate.record
            server = self._servers.get(record.incarnation)
            if server is None:
                server = self._servers[record.incarnation] = _Server(record)
            server.record = record
            server.set_rate(candidate.rate_per_s, now)
            server.cold, server.window = candidate.cold, candidate.window
            incarnations.add(record.incarnation)
            usable.append((server, candidate.suspect))
        for incarnation in self._servers.keys() - incarnations:
            if not self._servers[incarnation].in_flight:
                del self._servers[incarnation]
        return usable

    def _admit(
        self, request: QueuedRequest, usable: list[tuple[_Server, bool]], now: float
    ) -> Granted | None:
        untried = [item for item in usable if item[0].record.server not in request.tried]
        healthy = [server for server, suspect in untried if not suspect]
        # Suspect servers are used only if there are no others.
        group = healthy or [server for server, _ in untried]
        free = [server for server in group if server.free_capacity(now) >= 1]
        if not free:
            return None
        server = min(free, key=lambda item: (item.expected_time_s(), item.record.server))
        server.in_flight += 1
        server.take(now)
        self._admissions[request.ticket] = _Admission(server, request.deadline + ADMISSION_GRACE_S)
        return Granted(server.record)

    def _remove_admission(self, ticket: Hashable) -> _Admission | None:
        admission = self._admissions.pop(ticket, None)
        if admission is not None:
            admission.server.in_flight -= 1
        return admission

    def _wait_s(self, ahead: int, usable: list[tuple[_Server, bool]], now: float) -> float:
        """Return the predicted wait of a request with `ahead` others before it."""
        rate = sum(server.rate_per_s(now) for server, _ in usable)
        free_capacity = sum(server.free_capacity(now) for server, _ in usable)
        return max(0, ahead + 1 - free_capacity) / rate if rate else NEVER_S

    def _mean_service_time_s(self, usable: list[tuple[_Server, bool]]) -> float:
        slots = sum(server.record.slots for server, _ in usable)
        rate = sum(server.record.slots / server.service_time_s for server, _ in usable)
        return slots / rate if rate else INITIAL_SERVICE_TIME_S

    def _sorted(self, answered_at: float) -> list[_Waiting]:
        return sorted(
            self._waiting.values(),
            key=lambda item: (*_urgency(item.request, answered_at), item.order),
        )


def _all_limited(usable: list[tuple[_Server, bool]], now: float) -> bool:
    return all(server.limited(now) for server, _ in usable)


def _latest_start(request: QueuedRequest, mean_s: float, limited: bool) -> float:
    """Return when a request must start to be of use.

    While all servers are limited, one that would miss its target is refused: later requests that
    can still meet theirs would go first, and it would wait until its deadline.
    """
    return (request.target if limited else request.deadline) - mean_s


def _urgency(request: QueuedRequest, answered_at: float) -> tuple[bool, int]:
    return request.target < answered_at, request.priority
