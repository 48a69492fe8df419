"""Replay of a wave of demand over servers of uneven and changing speed, without a network.

Servers differ in speed, and a fifth of them run up to three times slower for about 0.4 s at a time.
The queues and the estimates of costs are those of the gateway; servers, callers and the times on
the way are simulated.
"""

import heapq
import math
import random
from bisect import bisect_right
from itertools import count

from attrs import define, field, frozen

from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.shared_queue import (
    Granted,
    Queued,
    QueuedRequest,
    QueueServer,
    SharedQueue,
    service_sample_s,
)
from hyssopwood.gateway.work_estimates import WorkEstimates

SERVICE = "p"
REVIEW_INTERVAL_S = 0.1
ESTIMATES_INTERVAL_S = 1.0
# Time of a message between an instance, a keeper and a server.
TRANSIT_S = 0.001
SLOTS = (2, 4, 6)
# Time that a server needs relative to one of mean speed.
SLOWEST, FASTEST = 1 / 0.5, 1 / 1.6
SHARED_EVERY = 5
SLOW_S = 0.4
NORMAL_S = 1.2
SLOWEST_PACE = 3.0
WORK_SIGMA = 0.45
LONG_SHARE = 0.02
LONG_FACTORS = (3.0, 7.0)
# Errors count within this time after a change of the server's speed.
CHANGED_WITHIN_S = 2.0
# Requests before this time aren't counted: estimates are learned.
COUNTED_FROM_S = 6.0
# Distinct keys of requests to servers that own keys.
UNIFORM = "uniform"


@frozen
class ReplayRoute:
    """One route of the service: its share of the requests, work, and times."""

    name: str
    share: float
    work_s: float
    priority: int
    target_s: float
    deadline_s: float


MIXED_ROUTES = (
    ReplayRoute("view", 0.6, 0.06, 1, 0.4, 2.0),
    ReplayRoute("book", 0.3, 0.12, 0, 0.6, 2.5),
    ReplayRoute("report", 0.1, 0.45, 2, 1.5, 4.0),
)
ONE_ROUTE = (ReplayRoute("view", 1.0, 0.12, 0, 0.6, 2.5),)


@define(eq=False)
class _Server:
    """A server with slots and a queue of its own, whose pace changes."""

    name: str
    slots: int
    factor: float
    # Times at which the pace changes, and the paces from then on.
    changes: list[float]
    paces: list[float]
    waiting: list = field(factory=list)
    running: int = 0

    def pace(self, now):
        return self.paces[bisect_right(self.changes, now) - 1]

    def changed_within(self, now, seconds):
        index = bisect_right(self.changes, now) - 1
        return index > 0 and now - self.changes[index] <= seconds

    def end_of(self, work_s, now):
        """Return when work that starts now ends."""
        index = bisect_right(self.changes, now) - 1
        left_s = work_s * self.factor
        while index + 1 < len(self.changes):
            span_s = self.changes[index + 1] - now
            if left_s * self.paces[index] <= span_s:
                break
            left_s -= span_s / self.paces[index]
            now = self.changes[index + 1]
            index += 1
        return now + left_s * self.paces[index]


@define(eq=False)
class _Request:
    number: int
    route: ReplayRoute
    instance: int
    arrived: float
    work_s: float
    queue: SharedQueue
    predicted_wait_s: float = 0.0
    expected_s: float = 0.0
    server_wait_s: float = 0.0
    sent_at: float = 0.0


@define(eq=False, slots=False)
class Replay:
    """Replay a wave of demand, and count the outcomes."""

    seed: int
    routes: tuple[ReplayRoute, ...] = MIXED_ROUTES
    # Whether requests state their cost, and which figures the servers' load has.
    states_cost: bool = True
    figures: int = 4
    # One queue for each server, as for servers that own keys, or one for all.
    owners: bool = False
    servers: int = 6
    instances: int = 6
    seconds: float = 22.0
    crest: float = 1.9
    paced: bool = True
    outcomes: dict = field(factory=dict, init=False)
    work_errors: dict = field(factory=dict, init=False)
    wait_errors: dict = field(factory=dict, init=False)
    # Numbers of the requests in the order of their admission, with the servers.
    admitted: list = field(factory=list, init=False)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.seed)
        self._events = []
        self._order = count()
        self._now = 0.0
        self._requests = {}
        self._servers = [self._server(number) for number in range(self.servers)]
        self._by_name = {server.name: server for server in self._servers}
        candidates = [QueueServer(_record(server)) for server in self._servers]
        groups = [[item] for item in candidates] if self.owners else [candidates]
        self._queues = [SharedQueue(lambda group=group: group) for group in groups]
        self._estimates = [WorkEstimates() for _ in range(self.instances)]

    def play(self):
        """Play the whole wave."""
        mean_s = sum(route.share * route.work_s for route in self.routes) * _mean_of_spread()
        # A server's share of time at a slower pace lowers its capacity.
        self._capacity = sum(server.slots / server.factor for server in self._servers) / mean_s
        self._schedule(0.0, self._arrive)
        self._schedule(REVIEW_INTERVAL_S, self._review)
        self._schedule(ESTIMATES_INTERVAL_S, self._review_estimates)
        while self._events:
            self._now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    def share(self, *outcomes):
        """Return the share of the counted requests with one of these outcomes."""
        total = sum(self.outcomes.values())
        chosen = sum(n for (_, outcome), n in self.outcomes.items() if outcome in outcomes)
        return chosen / total

    def _server(self, number):
        rng = self._rng
        changes, paces = [0.0], [1.0]
        if self.paced and number % SHARED_EVERY == 0:
            now = 0.0
            while now < self.seconds + 10:
                now += rng.expovariate(1 / NORMAL_S)
                changes.append(now)
                paces.append(rng.uniform(1.5, SLOWEST_PACE))
                now += SLOW_S * rng.uniform(0.5, 1.5)
                changes.append(now)
                paces.append(1.0)
        factor = math.exp(rng.uniform(math.log(FASTEST), math.log(SLOWEST)))
        return _Server(f"s{number:02}", rng.choice(SLOTS), factor, changes, paces)

    def _load(self):
        """Return the demand relative to the capacity: 1.0, and two waves up to the crest."""
        part = max(0.0, (self._now - COUNTED_FROM_S) / (self.seconds - COUNTED_FROM_S))
        return 1.0 + (self.crest - 1.0) * math.sin(2 * math.pi * part) ** 2

    def _schedule(self, at, call, *arguments):
        heapq.heappush(self._events, (at, next(self._order), call, arguments))

    def _arrive(self):
        rng = self._rng
        if self._now < self.seconds:
            self._schedule(self._now + rng.expovariate(self._capacity * self._load()), self._arrive)
        weights = [route.share for route in self.routes]
        (route,) = rng.choices(self.routes, weights)
        work_s = route.work_s * math.exp(rng.gauss(0.0, WORK_SIGMA))
        if rng.random() < LONG_SHARE:
            work_s *= rng.uniform(*LONG_FACTORS)
        # Keys are placed by the speed of the servers.
        shares = [server.slots / server.factor for server in self._servers]
        (owner,) = rng.choices(range(len(self._servers)), shares)
        request = _Request(
            next(self._order),
            route,
            rng.randrange(self.instances),
            self._now,
            work_s,
            self._queues[owner if self.owners else 0],
        )
        cost_s = None
        if self.states_cost:
            cost_s = self._estimates[request.instance].expected_cost_s(SERVICE, route.name)
        self._schedule(self._now + TRANSIT_S, self._enter, request, cost_s)

    def _enter(self, request, cost_s):
        route = request.route
        queued = QueuedRequest(
            ticket=request.number,
            priority=route.priority,
            target=request.arrived + route.target_s,
            deadline=request.arrived + route.deadline_s,
            cost_s=cost_s,
        )
        decision = request.queue.enter(queued, self._now)
        if isinstance(decision, Queued):
            request.predicted_wait_s = decision.wait_s
            request.sent_at = self._now
        self._requests[request.number] = request
        self._decide(request, decision)

    def _decide(self, request, decision):
        if isinstance(decision, Queued):
            return
        del self._requests[request.number]
        if not isinstance(decision, Granted):
            self._count(request, "refused")
            return
        if request.sent_at and self._now >= COUNTED_FROM_S:
            error = abs(self._now - request.sent_at - request.predicted_wait_s)
            self.wait_errors.setdefault(request.route.name, []).append(error)
        request.expected_s = decision.expected_s
        request.server_wait_s = decision.server_wait_s
        request.sent_at = self._now
        server = self._by_name[decision.server.server]
        self.admitted.append((request.number, server.name))
        self._schedule(self._now + 2 * TRANSIT_S, self._receive, request, server)

    def _receive(self, request, server):
        if server.running >= server.slots:
            server.waiting.append(request)
            return
        self._run(request, server)

    def _run(self, request, server):
        server.running += 1
        self._schedule(
            server.end_of(request.work_s, self._now), self._complete, request, server, self._now
        )

    def _complete(self, request, server, started_at):
        server.running -= 1
        if server.waiting:
            self._run(server.waiting.pop(0), server)
        pace = round(server.pace(self._now), 2) if self.figures == 4 else None
        load = ServerLoad(server.running, len(server.waiting), server.slots, pace)
        if not self.figures:
            load = None
        self._schedule(self._now + TRANSIT_S, self._answer, request, server, load)

    def _answer(self, request, server, load):
        route = request.route
        elapsed_s = self._now - request.sent_at
        if server.changed_within(self._now, CHANGED_WITHIN_S) and self._now >= COUNTED_FROM_S:
            error = abs(elapsed_s - request.expected_s) / elapsed_s
            self.work_errors.setdefault(route.name, []).append(error)
        late = self._now - request.arrived
        in_target = late <= route.target_s
        outcome = "in target" if in_target else "late" if late <= route.deadline_s else "failed"
        self._count(request, outcome)
        sample_s = service_sample_s(elapsed_s, load, server.slots)
        self._estimates[request.instance].record(
            SERVICE,
            route.name,
            (server.name, 1),
            sample_s,
            load.pace if load else None,
            request.server_wait_s,
        )
        self._schedule(self._now + TRANSIT_S, self._release, request, sample_s, load)

    def _release(self, request, sample_s, load):
        request.queue.release(request.number, sample_s, load, self._now)
        self._advance(request.queue)

    def _advance(self, queue):
        queue.expire(self._now)
        for ticket, decision in queue.advance(self._now):
            self._decide(self._requests[ticket], decision)

    def _review(self):
        for queue in self._queues:
            self._advance(queue)
        if self._now < self.seconds + 5:
            self._schedule(self._now + REVIEW_INTERVAL_S, self._review)

    def _review_estimates(self):
        known = {(server.name, 1) for server in self._servers}
        for estimates in self._estimates:
            estimates.review(known)
        if self._now < self.seconds:
            self._schedule(self._now + ESTIMATES_INTERVAL_S, self._review_estimates)

    def _count(self, request, outcome):
        if request.arrived >= COUNTED_FROM_S:
            key = request.route.name, outcome
            self.outcomes[key] = self.outcomes.get(key, 0) + 1


def quantile(values, share):
    """Return a quantile of values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _mean_of_spread():
    long_factor = sum(LONG_FACTORS) / 2
    return math.exp(WORK_SIGMA**2 / 2) * (1 + LONG_SHARE * (long_factor - 1))


def _record(server):
    return ServerRecord(
        server=server.name,
        service=SERVICE,
        address="s:1",
        failure_domain="a",
        slots=server.slots,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )
