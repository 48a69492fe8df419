"""Experiment with queues at a crest: a seeded model of servers and callers, played by policy.

Every policy is played on the same arrivals. The first one is the baseline that the table's ratios
refer to.
"""

from __future__ import annotations

import argparse
import heapq
import math
import random
from collections.abc import Callable, Hashable, Iterator, Sequence
from itertools import count
from typing import Protocol

from attrs import define, evolve, field, frozen

from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.shared_queue import (
    Decision,
    Granted,
    Queued,
    QueuedRequest,
    QueueServer,
    Rejected,
    SharedQueue,
    service_sample_s,
)

# Requests that a server queues besides those that it runs, as the users' sites state; it never
# answers one that finds no room.
SERVER_QUEUE = 8
REVIEW_INTERVAL_S = 0.1
# Spread, share of long work and its factor, as the users' sites state them.
WORK_SIGMA = 0.45
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
LONGEST_WORK_S = 2.0
# Half-life of the count of arrivals, and part of what a server can serve that counts as a crest.
DEMAND_HALF_LIFE_S = 0.7
SATURATED_SHARE = 0.9
# Callers wait as they are told, but at most for this part of the time that they have left.
CALLERS_PATIENCE = 1 / 3


@frozen(kw_only=True)
class Kind:
    """Describe one kind of request."""

    name: str
    # Lower is more urgent.
    priority: int
    worth: float
    late_worth: float
    # Part of all requests.
    share: float
    work_s: float
    target_s: float
    deadline_s: float


# The kinds of the larger of the users' deployments.
KINDS = (
    Kind(
        name="browse",
        priority=2,
        worth=1,
        late_worth=0.1,
        share=0.58,
        work_s=0.19,
        target_s=0.6,
        deadline_s=3.0,
    ),
    Kind(
        name="request",
        priority=1,
        worth=2,
        late_worth=0.2,
        share=0.23,
        work_s=0.25,
        target_s=0.8,
        deadline_s=3.0,
    ),
    Kind(
        name="booking",
        priority=0,
        worth=3,
        late_worth=0.3,
        share=0.19,
        work_s=0.13,
        target_s=0.6,
        deadline_s=2.5,
    ),
)


@frozen(kw_only=True)
class Workload:
    """Describe a deployment and what is asked of it."""

    seed: int = 1
    instances: int = 85
    servers: int = 12
    slots: int = 2
    # Demand in relation to what the servers can do.
    crest: float = 1.3
    seconds: float = 30.0


@frozen
class Arrival:
    """Hold one request of the model."""

    number: int
    at: float
    kind: Kind
    instance: int
    server: int
    work_s: float
    # When its caller first asked, if it has come back after a refusal.
    first_at: float | None = None

    @property
    def asked_at(self) -> float:
        """Return when its caller first asked."""
        return self.at if self.first_at is None else self.first_at

    @property
    def deadline(self) -> float:
        """Return when its caller leaves."""
        return self.asked_at + self.kind.deadline_s


@define
class Result:
    """Count what became of the requests of one policy."""

    in_target: dict[str, int] = field(factory=dict)
    late: dict[str, int] = field(factory=dict)
    refused: dict[str, int] = field(factory=dict)
    failed: dict[str, int] = field(factory=dict)
    # Requests that a full server never answered.
    overflowed: int = 0
    # Time that refused requests spent in queues, over all of them.
    held_s: float = 0.0

    def note(self, counts: dict[str, int], kind: Kind) -> None:
        """Count a request of a kind."""
        counts[kind.name] = counts.get(kind.name, 0) + 1

    def total(self, kind: Kind) -> int:
        """Return how many requests of a kind there were."""
        parts = (self.in_target, self.late, self.refused, self.failed)
        return sum(counts.get(kind.name, 0) for counts in parts)

    @property
    def mean_held_s(self) -> float:
        """Return how long a refused request waited for its refusal, in the mean."""
        return self.held_s / max(1, sum(self.refused.values()))

    def share(self, counts: dict[str, int]) -> float:
        """Return the part of all requests that the counts hold."""
        return sum(counts.values()) / max(1, sum(self.total(kind) for kind in KINDS))

    def worth_of(self, kind: Kind) -> float:
        """Return the worth earned for a kind, as a part of what was owed."""
        earned = self.in_target.get(kind.name, 0) * kind.worth
        earned += self.late.get(kind.name, 0) * kind.late_worth
        return earned / max(1e-9, self.total(kind) * kind.worth)

    @property
    def worth(self) -> float:
        """Return the worth earned, as a part of what was owed."""
        owed = sum(self.total(kind) * kind.worth for kind in KINDS)
        earned = sum(self.worth_of(kind) * self.total(kind) * kind.worth for kind in KINDS)
        return earned / max(1e-9, owed)


class Policy(Protocol):
    """Decide when requests are sent to one server."""

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Take a new request."""
        ...

    def leave(self, arrival: Arrival, sample_s: float, load: ServerLoad, now: float) -> None:
        """Take the end of a request that was sent."""
        ...

    def review(self, now: float) -> None:
        """Do what is due by time."""
        ...


@define(eq=False)
class _Server:
    """Run requests on slots, in order of their arrival."""

    slots: int
    model: _Model
    running: int = 0
    queue: list[Arrival] = field(factory=list)
    policy: Policy | None = None

    def take(self, arrival: Arrival, now: float) -> None:
        if self.running < self.slots:
            self._run(arrival, now)
        elif len(self.queue) < SERVER_QUEUE:
            self.queue.append(arrival)
        else:
            self.model.result.overflowed += 1
            self.model.at(arrival.deadline, lambda: self._end(arrival, now, ran=False))

    def _run(self, arrival: Arrival, now: float) -> None:
        self.running += 1
        end = min(now + arrival.work_s, max(now, arrival.deadline))
        self.model.at(end, lambda: self._finish(arrival, now))

    def _finish(self, arrival: Arrival, began: float) -> None:
        self.running -= 1
        now = self.model.now
        if self.queue:
            self._run(self.queue.pop(0), now)
        self._end(arrival, began, ran=began + arrival.work_s <= arrival.deadline)

    def _end(self, arrival: Arrival, began: float, ran: bool) -> None:
        model, now = self.model, self.model.now
        if not ran:
            model.result.note(model.result.failed, arrival.kind)
        elif now <= arrival.asked_at + arrival.kind.target_s:
            model.result.note(model.result.in_target, arrival.kind)
        else:
            model.result.note(model.result.late, arrival.kind)
        load = ServerLoad(self.running, len(self.queue), self.slots)
        assert self.policy is not None
        self.policy.leave(arrival, service_sample_s(now - began, None, self.slots), load, now)


@define(eq=False)
class _Model:
    """Play events in the order of their times."""

    result: Result = field(factory=Result)
    now: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: count[int] = field(factory=count)

    def at(self, time: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), event))

    def run(self) -> None:
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()


@define(eq=False)
class OwnLimits:
    """Let each instance have one request at the server, whatever the others have there."""

    _server: _Server
    _model: _Model
    _busy: set[int] = field(factory=set, init=False)
    _waiting: dict[int, list[Arrival]] = field(factory=dict, init=False)

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Send the request, or let it wait for the instance's one place."""
        if arrival.instance in self._busy:
            self._waiting.setdefault(arrival.instance, []).append(arrival)
            return
        self._busy.add(arrival.instance)
        self._server.take(arrival, now)

    def leave(self, arrival: Arrival, sample_s: float, load: ServerLoad, now: float) -> None:
        """Send the instance's most urgent request that can still be in time."""
        self._busy.discard(arrival.instance)
        waiting = self._waiting.get(arrival.instance, [])
        waiting.sort(key=lambda item: (item.kind.priority, item.number))
        while waiting:
            following = waiting.pop(0)
            if now + following.kind.work_s > following.deadline:
                self._model.result.note(self._model.result.refused, following.kind)
                continue
            self.arrive(following, now)
            return

    def review(self, now: float) -> None:
        """Do nothing; an instance acts when its request ends."""


class _OrderedQueue(SharedQueue):
    """A shared queue with another order of those who wait."""

    rank: Callable[[QueuedRequest], tuple[float, ...]]

    def _sorted(self, answered_at: float) -> list:  # type: ignore[type-arg]
        return sorted(
            self._waiting.values(), key=lambda item: (*self.rank(item.request), item.order)
        )


@define(eq=False)
class OneQueue:
    """Send from one queue of all instances."""

    _server: _Server
    _model: _Model
    _queue: SharedQueue
    _arrivals: dict[Hashable, Arrival] = field(factory=dict, init=False)

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Enter the queue."""
        request = QueuedRequest(
            ticket=arrival.number,
            priority=arrival.kind.priority,
            target=arrival.at + arrival.kind.target_s,
            deadline=arrival.deadline,
        )
        self._arrivals[arrival.number] = arrival
        self._take(arrival.number, self._queue.enter(request, now), now)

    def leave(self, arrival: Arrival, sample_s: float, load: ServerLoad, now: float) -> None:
        """Give the place back."""
        self._queue.release(arrival.number, sample_s, load, now)
        self.review(now)

    def review(self, now: float) -> None:
        """Send and refuse what waits."""
        self._queue.expire(now)
        for ticket, decision in self._queue.advance(now):
            self._take(ticket, decision, now)

    def _take(self, ticket: Hashable, decision: object, now: float) -> None:
        if isinstance(decision, Granted):
            self._server.take(self._arrivals.pop(ticket), now)
        elif isinstance(decision, Rejected):
            self._refuse(self._arrivals.pop(ticket), decision.wait_s, now)

    def _refuse(self, arrival: Arrival, wait_s: float, now: float) -> None:
        """Refuse a request; its caller comes back once, as it was told or sooner."""
        result = self._model.result
        result.held_s += now - arrival.at
        back_s = min(wait_s, CALLERS_PATIENCE * (arrival.deadline - now))
        if arrival.first_at is not None or back_s <= 0:
            result.note(result.refused, arrival.kind)
            return
        again = evolve(arrival, at=now + back_s, first_at=arrival.at)
        self._model.at(again.at, lambda: self.arrive(again, again.at))


def _record(slots: int) -> ServerRecord:
    return ServerRecord(
        server="s",
        service="portal",
        address="s:1",
        failure_domain="a",
        slots=slots,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


def _queue(kind: type[SharedQueue], slots: int) -> SharedQueue:
    record = QueueServer(_record(slots))
    return kind(lambda: [record])


@define
class _Demand:
    """Measure how many requests arrive in a second, with an exponential decay."""

    _count: float = field(default=0.0, init=False)
    _at: float = field(default=0.0, init=False)

    def note(self, now: float) -> None:
        """Count an arrival."""
        self._count = self._decayed(now) + 1
        self._at = now

    def rate(self, now: float) -> float:
        """Return the arrivals a second."""
        return self._decayed(now) * math.log(2) / DEMAND_HALF_LIFE_S

    def _decayed(self, now: float) -> float:
        return self._count * 0.5 ** ((now - self._at) / DEMAND_HALF_LIFE_S)


@define
class _RefusesLate(SharedQueue):
    """A shared queue that refuses what would turn late while at least as much arrives as it serves.

    Those that turn late are passed by all that follow, and many are refused in the end.
    """

    _demand: _Demand = field(factory=_Demand, init=False)

    def enter(self, request: QueuedRequest, now: float) -> Decision:
        self._demand.note(now)
        decision = super().enter(request, now)
        if not isinstance(decision, Queued):
            return decision
        usable = self._usable()
        answered = now + decision.wait_s + self._mean_service_time_s(usable)
        rate = sum(server.slots(now) / server.service_time_s for server, _ in usable)
        if answered > request.target and self._demand.rate(now) >= SATURATED_SHARE * rate:
            self.withdraw(request.ticket)
            return Rejected(decision.wait_s)
        return decision


def _refuses_late(server: _Server, model: _Model) -> Policy:
    return OneQueue(server, model, _queue(_RefusesLate, server.slots))


def _own_limits(server: _Server, model: _Model) -> Policy:
    return OwnLimits(server, model)


def _shipped(server: _Server, model: _Model) -> Policy:
    return OneQueue(server, model, _queue(SharedQueue, server.slots))


def _ordered(
    rank: Callable[[], Callable[[QueuedRequest], tuple[float, ...]]],
) -> Callable[[_Server, _Model], Policy]:
    def build(server: _Server, model: _Model) -> Policy:
        queue = _queue(_OrderedQueue, server.slots)
        assert isinstance(queue, _OrderedQueue)
        queue.rank = rank()
        return OneQueue(server, model, queue)

    return build


def _by_age() -> Callable[[QueuedRequest], tuple[float, ...]]:
    return lambda request: ()


def _by_priority() -> Callable[[QueuedRequest], tuple[float, ...]]:
    return lambda request: (request.priority,)


def _weighted_fair() -> Callable[[QueuedRequest], tuple[float, ...]]:
    """Give each kind turns by its worth.

    It stands for the smoothed round robin between classes of Mohanty and Bhuyan, "Fair scheduling
    over multiple servers with flow-dependent server rate", for one server: there its linear program
    has nothing to divide.
    """
    weights = {kind.priority: kind.worth for kind in KINDS}
    tags: dict[Hashable, float] = {}
    last: dict[int, float] = {}

    def rank(request: QueuedRequest) -> tuple[float, ...]:
        tag = tags.get(request.ticket)
        if tag is None:
            began = max(last.get(request.priority, 0.0), min(last.values(), default=0.0))
            tag = last[request.priority] = began + 1 / weights[request.priority]
            tags[request.ticket] = tag
        return (tag,)

    return rank


POLICIES: dict[str, Callable[[_Server, _Model], Policy]] = {
    "own limits": _own_limits,
    "one queue, by age": _ordered(_by_age),
    "one queue, by priority": _ordered(_by_priority),
    "one queue, weighted fair": _ordered(_weighted_fair),
    "one queue, in time first": _shipped,
    "in time first, refuses late": _refuses_late,
}


def arrivals(load: Workload) -> Iterator[Arrival]:
    """Yield the requests of a load, alike for each policy."""
    rng = random.Random(load.seed)
    mean_s = sum(kind.share * kind.work_s for kind in KINDS)
    mean_s *= 1 + LONG_SHARE * (LONG_FACTOR - 1)
    rate = load.crest * load.servers * load.slots / mean_s
    now = 0.0
    for number in count():
        now += rng.expovariate(rate)
        if now > load.seconds:
            return
        kind = rng.choices(KINDS, [item.share for item in KINDS])[0]
        work_s = kind.work_s * rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
        if rng.random() < LONG_SHARE:
            work_s *= LONG_FACTOR
        server = rng.randrange(load.servers)
        instance = rng.randrange(load.instances)
        yield Arrival(number, now, kind, instance, server, min(work_s, LONGEST_WORK_S))


def simulate(load: Workload, policy: str) -> Result:
    """Return what a policy does with a load."""
    model = _Model()
    servers = [_Server(load.slots, model) for _ in range(load.servers)]
    policies = [POLICIES[policy](server, model) for server in servers]
    for server, decided in zip(servers, policies, strict=True):
        server.policy = decided

    def send(arrival: Arrival) -> Callable[[], None]:
        return lambda: policies[arrival.server].arrive(arrival, model.now)

    for arrival in arrivals(load):
        model.at(arrival.at, send(arrival))
    longest_s = load.seconds + max(kind.deadline_s for kind in KINDS)
    for step in range(int(longest_s / REVIEW_INTERVAL_S)):
        model.at(step * REVIEW_INTERVAL_S, lambda: [item.review(model.now) for item in policies])
    model.run()
    return model.result


def table(load: Workload, policies: Sequence[str]) -> str:
    """Return the results of policies as lines of a table."""
    lines = [
        f"{'policy':<28}{'worth':>7}{'ratio':>7}{'in time':>9}{'late':>7}{'refused':>9}"
        f"{'failed':>8}{'overflow':>10}{'held s':>8}" + "".join(f"{kind.name:>9}" for kind in KINDS)
    ]
    baseline: float | None = None
    for name in policies:
        result = simulate(load, name)
        baseline = result.worth if baseline is None else baseline
        lines.append(
            f"{name:<28}{result.worth:>7.3f}{result.worth / baseline:>7.2f}"
            f"{result.share(result.in_target):>9.3f}{result.share(result.late):>7.3f}"
            f"{result.share(result.refused):>9.3f}{result.share(result.failed):>8.3f}"
            f"{result.overflowed:>10}{result.mean_held_s:>8.2f}"
            + "".join(f"{result.worth_of(kind):>9.3f}" for kind in KINDS)
        )
    return "\n".join(lines)


def main() -> None:
    """Play the policies on one load and print a table."""
    defaults = Workload()
    parser = argparse.ArgumentParser(prog="hyssopwood-experiment", description=__doc__)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--instances", type=int, default=defaults.instances)
    parser.add_argument("--servers", type=int, default=defaults.servers)
    parser.add_argument("--slots", type=int, default=defaults.slots)
    parser.add_argument(
        "--crest", type=float, default=defaults.crest, help="demand / what the servers can do"
    )
    parser.add_argument("--seconds", type=float, default=defaults.seconds)
    load = Workload(**vars(parser.parse_args()))
    print(table(load, tuple(POLICIES)))


if __name__ == "__main__":
    main()
