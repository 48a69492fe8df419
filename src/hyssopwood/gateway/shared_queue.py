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
from operator import itemgetter
from typing import TypeAlias

from attrs import define, field, frozen

from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.token_bucket import SlidingWindow, TokenBucket
from hyssopwood.gateway.warmup import ColdAdmission
from hyssopwood.gateway.work_estimates import (
    COST_WEIGHT,
    MAX_SAMPLE_RATIO,
    bound_pace,
    decayed_pace,
    time_at_pace,
)

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
# Pace from which a server gets no requests beyond its slots: its slots rarely become free, and the
# next request would wait longer at the server than in the queue.
SLOW_PACE = 1.5
# Multiple of the expected time within which requests with a known cost or pace are nearly
# always answered. At peak load many requests start when they can just meet their target; with the
# expected time itself, half of those would be late.
RUN_TIME_MARGIN = 1.7
# A sample without a load, of a request that got no answer in time, counts as at most this multiple
# of the expected time: relative to a cheap request, the time until its deadline is very long.
MAX_LOST_RATIO = 10.0
# Time for a second of cost at a server of mean speed, and at one that isn't known yet.
MEAN_FACTOR = 1.0
# Cost of each request while no request of the queue states one.
UNIT_COST = 1.0
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
    # Time that a server of mean speed is expected to work on the request; None if not stated.
    cost_s: float | None = None


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
    # Time until the server's answer as expected at the admission, and the part of it that passes
    # before a slot of the server is free; 0 for a repeated decision.
    expected_s: float = field(default=0.0, eq=False)
    server_wait_s: float = field(default=0.0, eq=False)


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
    # Sum of the costs of the requests in flight.
    work: float = 0.0
    # Time that the server works on a unit of cost at its usual pace. The unit is a request while
    # the queue's requests state no cost, and a second of a server of mean speed otherwise.
    service_time_s: float = INITIAL_SERVICE_TIME_S
    # Pace that the server's last load report stated.
    reported_pace: float = 1.0
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

    def pace(self, now: float) -> float:
        """Return how long work takes at the server now, relative to the usual."""
        if self.reported_pace == 1.0:
            return 1.0
        return decayed_pace(self.reported_pace, now - self.reported_at)

    def rate_per_s(self, now: float, mean_cost: float, pace: float) -> float:
        """Return how many units of cost per second the server serves at a pace."""
        rate_per_s = self.slots(now) / (self.service_time_s * pace)
        return min(rate_per_s, self._limit_per_s() * mean_cost)

    def limited(self, now: float, mean_cost: float) -> bool:
        """Return whether the server's limit is below what its slots serve."""
        return self._limit_per_s() * mean_cost < self.slots(now) / self.service_time_s

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

    def _free_slots(self, now: float) -> int:
        if now < self.backed_off_until:
            return REQUESTS_WHILE_BACKED_OFF - self.in_flight
        external = self.external if now - self.reported_at < REPORT_TTL_S else 0
        extra = EXTRA_REQUESTS_PER_SERVER
        # A pace only decays towards the usual one, which is below SLOW_PACE.
        if self.reported_pace >= SLOW_PACE and self.pace(now) >= SLOW_PACE:
            extra = 0
        limit = max(1, self.record.slots + extra - external)
        return limit - self.in_flight

    def expected_time_s(self, cost: float, now: float) -> float:
        """Return how long a request of a given cost sent now is expected to take."""
        warming = WARMUP_PENALTY_S if self.record.warmup_left_s > 0 else 0.0
        work_s = (cost + self.work_before_free()) * self.service_time_s
        if self.reported_pace == 1.0:
            return work_s + warming
        return time_at_pace(work_s, self.pace(now)) + warming

    def work_before_free(self) -> float:
        """Return the work that the server does before a slot is free for one more request."""
        behind = self.in_flight + 1 - self.record.slots
        if behind <= 0 or not self.in_flight:
            return 0.0
        # The first slot becomes free after a part of the mean work in flight.
        return behind / self.record.slots * (self.work / self.in_flight)

    def add(self, cost: float) -> None:
        """Count a request as in flight."""
        self.in_flight += 1
        self.work += cost

    def remove(self, cost: float) -> None:
        """Count a request as no longer in flight."""
        self.in_flight -= 1
        # An empty sum is exact, so that rounding errors don't accumulate.
        self.work = max(0.0, self.work - cost) if self.in_flight else 0.0

    def learn(self, sample_s: float, admission: _Admission, load: ServerLoad | None) -> None:
        """Learn the service time from a request."""
        if admission.stated or (load is not None and load.pace is not None):
            # The pace changes while the request runs, and is known at both ends.
            pace = admission.pace
            if load is not None and load.pace is not None:
                pace = (admission.pace + bound_pace(load.pace)) / 2
            sample = sample_s / ((admission.cost + admission.work_before) * pace)
            most = MAX_SAMPLE_RATIO if load is not None else MAX_LOST_RATIO
            sample = min(sample, most * self.service_time_s)
        else:
            sample = sample_s / admission.cost
        self.service_time_s += SERVICE_TIME_WEIGHT * (sample - self.service_time_s)


@define
class _Admission:
    server: _Server
    expires_at: float
    cost: float
    # Whether the request stated its cost.
    stated: bool
    # Pace of the server when it was admitted, and its work before a slot was free.
    pace: float
    work_before: float


@frozen
class _Waiting:
    request: QueuedRequest
    order: int


@frozen
class _RunTimes:
    """Time from the admission of a request to its answer."""

    # Time for a unit of cost, and time until a slot is free.
    unit_s: float
    before_s: float = 0.0

    def run_s(self, cost: float) -> float:
        """Return the time for a request of a given cost."""
        return cost * self.unit_s + self.before_s


@frozen
class _Fleet:
    """The usable servers of a queue at one moment."""

    # Units of cost per second that the servers serve at their usual pace.
    rate: float
    # Pace of all servers together.
    pace: float
    # Requests that may be sent now, and mean cost of those in flight.
    free: float
    mean_cost: float

    def wait_s(self, work_ahead: float) -> float:
        """Return the predicted wait of a request with this work queued before it."""
        work = max(0.0, work_ahead + (1 - self.free) * self.mean_cost)
        return time_at_pace(work / self.rate, self.pace) if self.rate else NEVER_S


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
    # Mean of the costs that requests stated; None while none has.
    _mean_cost_s: float | None = field(default=None, init=False)
    # Whether any server has stated its pace.
    _paced: bool = field(default=False, init=False)

    @property
    def idle(self) -> bool:
        """Return whether no request is admitted or queued."""
        return not self._admissions and not self._waiting

    def enter(self, request: QueuedRequest, now: float) -> Decision:
        """Admit, queue or reject a new request."""
        usable = self._usable(now)
        if all(server.record.server in request.tried for server, _ in usable):
            return Rejected(NEVER_S)
        if request.cost_s is not None:
            self._add_cost(request.cost_s, usable)
        if not self._waiting:
            granted = self._admit(request, usable, now)
            if granted is not None:
                return granted
        times = self._run_times(usable)
        urgency = self._urgency(request, now, times)
        ahead = sum(
            self._cost(item.request)
            for item in self._waiting.values()
            if self._urgency(item.request, now, times) <= urgency
        )
        wait_s = self._fleet(usable, now).wait_s(ahead)
        limited = self._all_limited(usable, now)
        margin_s = LIMITED_WAIT_MARGIN_S if limited else 0.0
        latest = _latest_start(request, times.run_s(self._cost(request)), limited)
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
        items = self._sorted(now, self._run_times(usable))
        ahead = sum(self._cost(item.request) for item in items[: items.index(waiting)])
        return Queued(self._fleet(usable, now).wait_s(ahead))

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
            server.learn(sample_s, admission, load)
        if back_off_s is not None:
            server.backed_off_until = max(server.backed_off_until, now + back_off_s)
        if load is not None:
            server.external = max(0, load.running + load.waiting - server.in_flight)
            server.reported_at = now
            self._paced |= load.pace is not None
            server.reported_pace = 1.0 if load.pace is None else bound_pace(load.pace)
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
        times = self._run_times(usable)
        limited = self._all_limited(usable, now)
        decided: list[tuple[Hashable, Granted | Rejected]] = []
        ahead = 0.0
        fleet: _Fleet | None = None
        for item in self._sorted(now, times):
            decision: Granted | Rejected | None = self._admit(item.request, usable, now)
            cost = self._cost(item.request)
            if decision is None:
                fleet = fleet or self._fleet(usable, now)
                wait_s = fleet.wait_s(ahead)
                if now + wait_s > _latest_start(item.request, times.run_s(cost), limited):
                    decision = Rejected(wait_s, limited)
            else:
                fleet = None
            if decision is None:
                ahead += cost
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
                server = self._servers[record.incarnation] = self._new_server(record)
            server.record = record
            server.set_rate(candidate.rate_per_s, now)
            server.cold, server.window = candidate.cold, candidate.window
            incarnations.add(record.incarnation)
            usable.append((server, candidate.suspect))
        for incarnation in self._servers.keys() - incarnations:
            if not self._servers[incarnation].in_flight:
                del self._servers[incarnation]
        return usable

    def _new_server(self, record: ServerRecord) -> _Server:
        if self._mean_cost_s is None:
            return _Server(record)
        return _Server(record, service_time_s=MEAN_FACTOR)

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
        cost = self._cost(request)
        expected_s, _, server = min(
            ((item.expected_time_s(cost, now), item.record.server, item) for item in free),
            key=itemgetter(0, 1),
        )
        pace, work_before = server.pace(now), server.work_before_free()
        server.add(cost)
        server.take(now)
        self._admissions[request.ticket] = _Admission(
            server,
            request.deadline + ADMISSION_GRACE_S,
            cost,
            request.cost_s is not None,
            pace,
            work_before,
        )
        server_wait_s = time_at_pace(work_before * server.service_time_s, pace)
        return Granted(server.record, expected_s, server_wait_s)

    def _remove_admission(self, ticket: Hashable) -> _Admission | None:
        admission = self._admissions.pop(ticket, None)
        if admission is not None:
            admission.server.remove(admission.cost)
        return admission

    def _cost(self, request: QueuedRequest) -> float:
        """Return a request's cost; one that states none has the mean cost."""
        if self._mean_cost_s is None:
            return UNIT_COST
        return self._mean_cost_s if request.cost_s is None else request.cost_s

    def _add_cost(self, cost_s: float, usable: list[tuple[_Server, bool]]) -> None:
        """Add a stated cost to the mean; from the first one on, the unit of cost is a second."""
        if self._mean_cost_s is None:
            self._mean_cost_s = self._unit_time_s(usable)
            for server in self._servers.values():
                server.service_time_s /= self._mean_cost_s
                server.work *= self._mean_cost_s
            for admission in self._admissions.values():
                admission.cost *= self._mean_cost_s
                admission.work_before *= self._mean_cost_s
        self._mean_cost_s += COST_WEIGHT * (cost_s - self._mean_cost_s)

    def _fleet(self, usable: list[tuple[_Server, bool]], now: float) -> _Fleet:
        mean_cost = self._cost_unit
        rate = paced_rate = free = work = 0.0
        in_flight = 0
        for server, _ in usable:
            server_rate = server.rate_per_s(now, mean_cost, 1.0)
            pace = 1.0 if server.reported_pace == 1.0 else server.pace(now)
            rate += server_rate
            paced_rate += server_rate if pace == 1.0 else server.rate_per_s(now, mean_cost, pace)
            free += server.free_capacity(now)
            in_flight += server.in_flight
            work += server.work
        fleet_pace = rate / paced_rate if paced_rate else 1.0
        return _Fleet(rate, fleet_pace, free, work / in_flight if in_flight else mean_cost)

    def _unit_time_s(self, usable: list[tuple[_Server, bool]]) -> float:
        """Return the mean time that the servers work on a unit of cost."""
        slots = sum(server.record.slots for server, _ in usable)
        rate = sum(server.record.slots / server.service_time_s for server, _ in usable)
        return slots / rate if rate else INITIAL_SERVICE_TIME_S

    def _all_limited(self, usable: list[tuple[_Server, bool]], now: float) -> bool:
        mean_cost = self._cost_unit
        return all(server.limited(now, mean_cost) for server, _ in usable)

    def _run_times(self, usable: list[tuple[_Server, bool]]) -> _RunTimes:
        unit_s = self._unit_time_s(usable)
        if self._mean_cost_s is None and not self._paced:
            return _RunTimes(unit_s)
        slots = sum(server.record.slots for server, _ in usable)
        # All slots are usually busy when requests wait, so the next one waits for one of them.
        before = self._cost_unit * EXTRA_REQUESTS_PER_SERVER * len(usable) / max(1, slots)
        return _RunTimes(unit_s * RUN_TIME_MARGIN, unit_s * before)

    @property
    def _cost_unit(self) -> float:
        return UNIT_COST if self._mean_cost_s is None else self._mean_cost_s

    def _urgency(self, request: QueuedRequest, now: float, times: _RunTimes) -> tuple[bool, int]:
        return request.target < now + times.run_s(self._cost(request)), request.priority

    def _sorted(self, now: float, times: _RunTimes) -> list[_Waiting]:
        return sorted(
            self._waiting.values(),
            key=lambda item: (*self._urgency(item.request, now, times), item.order),
        )


def _latest_start(request: QueuedRequest, work_s: float, limited: bool) -> float:
    """Return when a request must start to be of use.

    While all servers are limited, one that would miss its target is refused: later requests that
    can still meet theirs would go first, and it would wait until its deadline.
    """
    return (request.target if limited else request.deadline) - work_s
