"""Compare queueing policies under overload in a seeded simulation of servers and callers.

Every policy handles the same arrivals. The table's ratios are relative to the first policy.
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

# Requests that a server queues in addition to those that it runs, as the users' sites specify; a
# request that arrives at a full queue is never answered.
SERVER_QUEUE_LENGTH = 8
REVIEW_INTERVAL_S = 0.1
# Spread of the work time, share of long requests and their factor, as the users' sites specify.
WORK_SIGMA = 0.45
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
LONGEST_WORK_S = 2.0
# Half-life of the arrival count, and the share of a server's capacity from which arrivals count as
# saturating it.
ARRIVALS_HALF_LIFE_S = 0.7
SATURATION_SHARE = 0.9
# Callers retry after the advised delay, but wait at most this share of the time left before their
# deadline.
MAX_RETRY_DELAY_SHARE = 1 / 3


@frozen(kw_only=True)
class RequestKind:
    """Describe one kind of request."""

    name: str
    # Lower is more urgent.
    priority: int
    # Score of an answer within the target time, and of a later one.
    worth: float
    late_worth: float
    # Share of all requests.
    share: float
    work_s: float
    target_s: float
    deadline_s: float


# The kinds of the larger of the users' deployments.
KINDS = (
    RequestKind(
        name="browse",
        priority=2,
        worth=1,
        late_worth=0.1,
        share=0.58,
        work_s=0.19,
        target_s=0.6,
        deadline_s=3.0,
    ),
    RequestKind(
        name="request",
        priority=1,
        worth=2,
        late_worth=0.2,
        share=0.23,
        work_s=0.25,
        target_s=0.8,
        deadline_s=3.0,
    ),
    RequestKind(
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
    """Describe a deployment and the demand on it."""

    seed: int = 1
    instances: int = 85
    servers: int = 12
    slots: int = 2
    # Ratio of the demand to the servers' capacity.
    crest: float = 1.3
    seconds: float = 30.0


@frozen
class Arrival:
    """A simulated request that arrives at a given time."""

    number: int
    arrived_at: float
    kind: RequestKind
    instance: int
    server: int
    work_s: float
    # When the caller first sent the request, if this is a retry after a refusal.
    first_attempt_at: float | None = None

    @property
    def requested_at(self) -> float:
        """Return when the caller first sent the request."""
        return self.arrived_at if self.first_attempt_at is None else self.first_attempt_at

    @property
    def deadline(self) -> float:
        """Return when the caller stops waiting."""
        return self.requested_at + self.kind.deadline_s


@define
class Result:
    """Count the outcomes of the requests under one policy."""

    in_target: dict[str, int] = field(factory=dict)
    late: dict[str, int] = field(factory=dict)
    refused: dict[str, int] = field(factory=dict)
    failed: dict[str, int] = field(factory=dict)
    # Requests that a full server never answered.
    overflowed: int = 0
    # Total time that requests waited in a shared queue until they were refused, including those
    # that their callers retried.
    refusal_wait_s: float = 0.0

    def record_outcome(self, counts: dict[str, int], kind: RequestKind) -> None:
        """Add a request of a kind to one of the outcome counts."""
        counts[kind.name] = counts.get(kind.name, 0) + 1

    def total(self, kind: RequestKind) -> int:
        """Return the number of requests of a kind."""
        parts = (self.in_target, self.late, self.refused, self.failed)
        return sum(counts.get(kind.name, 0) for counts in parts)

    @property
    def mean_refusal_wait_s(self) -> float:
        """Return the total wait before refusals, divided by the number of refused requests."""
        return self.refusal_wait_s / max(1, sum(self.refused.values()))

    def share(self, counts: dict[str, int]) -> float:
        """Return the counted requests as a share of all requests."""
        return sum(counts.values()) / max(1, sum(self.total(kind) for kind in KINDS))

    def worth_of(self, kind: RequestKind) -> float:
        """Return the worth earned by a kind as a share of its maximum."""
        earned = self.in_target.get(kind.name, 0) * kind.worth
        earned += self.late.get(kind.name, 0) * kind.late_worth
        return earned / max(1e-9, self.total(kind) * kind.worth)

    @property
    def worth(self) -> float:
        """Return the worth earned by all kinds as a share of the maximum."""
        maximum = sum(self.total(kind) * kind.worth for kind in KINDS)
        earned = sum(self.worth_of(kind) * self.total(kind) * kind.worth for kind in KINDS)
        return earned / max(1e-9, maximum)


class Policy(Protocol):
    """Decide when requests are sent to one server."""

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Handle the arrival of a request."""
        ...

    def complete(self, arrival: Arrival, sample_s: float, load: ServerLoad, now: float) -> None:
        """Handle the end of a request that was sent to the server."""
        ...

    def review(self, now: float) -> None:
        """Send or refuse waiting requests; called every REVIEW_INTERVAL_S."""
        ...


@define(eq=False)
class _Server:
    """A simulated server that runs requests on its slots in order of arrival."""

    slots: int
    simulation: _Simulation
    running: int = 0
    queue: list[Arrival] = field(factory=list)
    policy: Policy | None = None

    def receive(self, arrival: Arrival, now: float) -> None:
        if self.running < self.slots:
            self._run(arrival, now)
        elif len(self.queue) < SERVER_QUEUE_LENGTH:
            self.queue.append(arrival)
        else:
            self.simulation.result.overflowed += 1
            self.simulation.schedule(
                arrival.deadline, lambda: self._end(arrival, now, completed=False)
            )

    def _run(self, arrival: Arrival, now: float) -> None:
        self.running += 1
        end = min(now + arrival.work_s, max(now, arrival.deadline))
        self.simulation.schedule(end, lambda: self._finish(arrival, now))

    def _finish(self, arrival: Arrival, started_at: float) -> None:
        self.running -= 1
        now = self.simulation.now
        if self.queue:
            self._run(self.queue.pop(0), now)
        self._end(arrival, started_at, completed=started_at + arrival.work_s <= arrival.deadline)

    def _end(self, arrival: Arrival, started_at: float, completed: bool) -> None:
        simulation, now = self.simulation, self.simulation.now
        if not completed:
            simulation.result.record_outcome(simulation.result.failed, arrival.kind)
        elif now <= arrival.requested_at + arrival.kind.target_s:
            simulation.result.record_outcome(simulation.result.in_target, arrival.kind)
        else:
            simulation.result.record_outcome(simulation.result.late, arrival.kind)
        load = ServerLoad(self.running, len(self.queue), self.slots)
        assert self.policy is not None
        self.policy.complete(
            arrival, service_sample_s(now - started_at, None, self.slots), load, now
        )


@define(eq=False)
class _Simulation:
    """Run events in chronological order."""

    result: Result = field(factory=Result)
    now: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: count[int] = field(factory=count)

    def schedule(self, time: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), event))

    def run(self) -> None:
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()


@define(eq=False)
class PerInstanceLimit:
    """Limit each instance to one request at the server, independently of the other instances."""

    _server: _Server
    _simulation: _Simulation
    _busy_instances: set[int] = field(factory=set, init=False)
    _waiting: dict[int, list[Arrival]] = field(factory=dict, init=False)

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Send the request, or queue it while the instance has another one at the server."""
        if arrival.instance in self._busy_instances:
            self._waiting.setdefault(arrival.instance, []).append(arrival)
            return
        self._busy_instances.add(arrival.instance)
        self._server.receive(arrival, now)

    def complete(self, arrival: Arrival, sample_s: float, load: ServerLoad, now: float) -> None:
        """Send the instance's next request by priority; refuse those that would be too late."""
        self._busy_instances.discard(arrival.instance)
        waiting = self._waiting.get(arrival.instance, [])
        waiting.sort(key=lambda item: (item.kind.priority, item.number))
        while waiting:
            next_arrival = waiting.pop(0)
            if now + next_arrival.kind.work_s > next_arrival.deadline:
                self._simulation.result.record_outcome(
                    self._simulation.result.refused, next_arrival.kind
                )
                continue
            self.arrive(next_arrival, now)
            return

    def review(self, now: float) -> None:
        """Do nothing; the policy only acts when a request arrives or ends."""


class _OrderedQueue(SharedQueue):
    """A shared queue with a configurable order of the waiting requests."""

    rank: Callable[[QueuedRequest], tuple[float, ...]]

    def _sorted(self, now: float, times: object) -> list:  # type: ignore[type-arg]
        return sorted(
            self._waiting.values(), key=lambda item: (*self.rank(item.request), item.order)
        )


@define(eq=False)
class SharedQueuePolicy:
    """Queue the requests of all instances in one shared queue."""

    _server: _Server
    _simulation: _Simulation
    _queue: SharedQueue
    _arrivals: dict[Hashable, Arrival] = field(factory=dict, init=False)

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Enter the request into the shared queue."""
        request = QueuedRequest(
            ticket=arrival.number,
            priority=arrival.kind.priority,
            target=arrival.arrived_at + arrival.kind.target_s,
            deadline=arrival.deadline,
        )
        self._arrivals[arrival.number] = arrival
        self._apply_decision(arrival.number, self._queue.enter(request, now), now)

    def complete(self, arrival: Arrival, sample_s: float, load: ServerLoad, now: float) -> None:
        """Release the request's slot and send the next requests."""
        self._queue.release(arrival.number, sample_s, load, now)
        self.review(now)

    def review(self, now: float) -> None:
        """Send or refuse waiting requests as the shared queue decides."""
        self._queue.expire(now)
        for ticket, decision in self._queue.advance(now):
            self._apply_decision(ticket, decision, now)

    def _apply_decision(self, ticket: Hashable, decision: object, now: float) -> None:
        if isinstance(decision, Granted):
            self._server.receive(self._arrivals.pop(ticket), now)
        elif isinstance(decision, Rejected):
            self._refuse(self._arrivals.pop(ticket), decision.wait_s, now)

    def _refuse(self, arrival: Arrival, wait_s: float, now: float) -> None:
        """Refuse a request; its caller retries once, after the advised delay or sooner."""
        result = self._simulation.result
        result.refusal_wait_s += now - arrival.arrived_at
        retry_delay_s = min(wait_s, MAX_RETRY_DELAY_SHARE * (arrival.deadline - now))
        if arrival.first_attempt_at is not None or retry_delay_s <= 0:
            result.record_outcome(result.refused, arrival.kind)
            return
        retry = evolve(arrival, arrived_at=now + retry_delay_s, first_attempt_at=arrival.arrived_at)
        self._simulation.schedule(retry.arrived_at, lambda: self.arrive(retry, retry.arrived_at))


def _server_record(slots: int) -> ServerRecord:
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


def _build_queue(kind: type[SharedQueue], slots: int) -> SharedQueue:
    record = QueueServer(_server_record(slots))
    return kind(lambda: [record])


@define
class _ArrivalRate:
    """Estimate the arrivals per second with an exponentially decaying count."""

    _stored_count: float = field(default=0.0, init=False)
    _updated_at: float = field(default=0.0, init=False)

    def record(self, now: float) -> None:
        """Count an arrival."""
        self._stored_count = self._count_at(now) + 1
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the estimated arrivals per second."""
        return self._count_at(now) * math.log(2) / ARRIVALS_HALF_LIFE_S

    def _count_at(self, now: float) -> float:
        return self._stored_count * 0.5 ** ((now - self._updated_at) / ARRIVALS_HALF_LIFE_S)


@define
class _LateRejectingQueue(SharedQueue):
    """A shared queue that refuses requests that would miss their target under saturation.

    A request that misses its target in the queue is overtaken by all later ones and is often
    refused in the end. While arrivals saturate the servers, one that is expected to miss its target
    is therefore refused on arrival.
    """

    _arrival_rate: _ArrivalRate = field(factory=_ArrivalRate, init=False)

    def enter(self, request: QueuedRequest, now: float) -> Decision:
        self._arrival_rate.record(now)
        decision = super().enter(request, now)
        if not isinstance(decision, Queued):
            return decision
        usable = self._usable(now)
        expected_answer_at = now + decision.wait_s + self._unit_time_s(usable)
        rate = sum(server.slots(now) / server.service_time_s for server, _ in usable)
        if (
            expected_answer_at > request.target
            and self._arrival_rate.rate(now) >= SATURATION_SHARE * rate
        ):
            self.withdraw(request.ticket)
            return Rejected(decision.wait_s)
        return decision


def _in_time_first_refusing_late(server: _Server, simulation: _Simulation) -> Policy:
    return SharedQueuePolicy(server, simulation, _build_queue(_LateRejectingQueue, server.slots))


def _per_instance_limit(server: _Server, simulation: _Simulation) -> Policy:
    return PerInstanceLimit(server, simulation)


def _in_time_first(server: _Server, simulation: _Simulation) -> Policy:
    return SharedQueuePolicy(server, simulation, _build_queue(SharedQueue, server.slots))


def _ordered(
    rank: Callable[[], Callable[[QueuedRequest], tuple[float, ...]]],
) -> Callable[[_Server, _Simulation], Policy]:
    def build(server: _Server, simulation: _Simulation) -> Policy:
        queue = _build_queue(_OrderedQueue, server.slots)
        assert isinstance(queue, _OrderedQueue)
        queue.rank = rank()
        return SharedQueuePolicy(server, simulation, queue)

    return build


def _by_age() -> Callable[[QueuedRequest], tuple[float, ...]]:
    return lambda request: ()


def _by_priority() -> Callable[[QueuedRequest], tuple[float, ...]]:
    return lambda request: (request.priority,)


def _weighted_fair() -> Callable[[QueuedRequest], tuple[float, ...]]:
    """Share the server between kinds in proportion to their worth.

    This is the single-server case of the smoothed round robin between classes of Mohanty and
    Bhuyan, "Fair scheduling over multiple servers with flow-dependent server rate". With one server
    there is nothing for their linear program to divide.
    """
    weights = {kind.priority: kind.worth for kind in KINDS}
    tags: dict[Hashable, float] = {}
    last: dict[int, float] = {}

    def rank(request: QueuedRequest) -> tuple[float, ...]:
        tag = tags.get(request.ticket)
        if tag is None:
            start_tag = max(last.get(request.priority, 0.0), min(last.values(), default=0.0))
            tag = last[request.priority] = start_tag + 1 / weights[request.priority]
            tags[request.ticket] = tag
        return (tag,)

    return rank


POLICIES: dict[str, Callable[[_Server, _Simulation], Policy]] = {
    "own limits": _per_instance_limit,
    "one queue, by age": _ordered(_by_age),
    "one queue, by priority": _ordered(_by_priority),
    "one queue, weighted fair": _ordered(_weighted_fair),
    "one queue, in time first": _in_time_first,
    "in time first, refuses late": _in_time_first_refusing_late,
}


def arrivals(workload: Workload) -> Iterator[Arrival]:
    """Yield the requests of a workload, which are the same for every policy."""
    rng = random.Random(workload.seed)
    mean_s = sum(kind.share * kind.work_s for kind in KINDS)
    mean_s *= 1 + LONG_SHARE * (LONG_FACTOR - 1)
    rate = workload.crest * workload.servers * workload.slots / mean_s
    now = 0.0
    for number in count():
        now += rng.expovariate(rate)
        if now > workload.seconds:
            return
        kind = rng.choices(KINDS, [item.share for item in KINDS])[0]
        work_s = kind.work_s * rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
        if rng.random() < LONG_SHARE:
            work_s *= LONG_FACTOR
        server = rng.randrange(workload.servers)
        instance = rng.randrange(workload.instances)
        yield Arrival(number, now, kind, instance, server, min(work_s, LONGEST_WORK_S))


def simulate(workload: Workload, policy: str) -> Result:
    """Simulate a policy under a workload and return its outcome counts."""
    simulation = _Simulation()
    servers = [_Server(workload.slots, simulation) for _ in range(workload.servers)]
    policies = [POLICIES[policy](server, simulation) for server in servers]
    for server, server_policy in zip(servers, policies, strict=True):
        server.policy = server_policy

    def send(arrival: Arrival) -> Callable[[], None]:
        return lambda: policies[arrival.server].arrive(arrival, simulation.now)

    for arrival in arrivals(workload):
        simulation.schedule(arrival.arrived_at, send(arrival))
    end_s = workload.seconds + max(kind.deadline_s for kind in KINDS)
    for step in range(int(end_s / REVIEW_INTERVAL_S)):
        simulation.schedule(
            step * REVIEW_INTERVAL_S, lambda: [item.review(simulation.now) for item in policies]
        )
    simulation.run()
    return simulation.result


def table(workload: Workload, policies: Sequence[str]) -> str:
    """Simulate each policy and return a table of the results."""
    lines = [
        f"{'policy':<28}{'worth':>7}{'ratio':>7}{'in time':>9}{'late':>7}{'refused':>9}"
        f"{'failed':>8}{'overflow':>10}{'held s':>8}" + "".join(f"{kind.name:>9}" for kind in KINDS)
    ]
    baseline: float | None = None
    for name in policies:
        result = simulate(workload, name)
        baseline = result.worth if baseline is None else baseline
        lines.append(
            f"{name:<28}{result.worth:>7.3f}{result.worth / baseline:>7.2f}"
            f"{result.share(result.in_target):>9.3f}{result.share(result.late):>7.3f}"
            f"{result.share(result.refused):>9.3f}{result.share(result.failed):>8.3f}"
            f"{result.overflowed:>10}{result.mean_refusal_wait_s:>8.2f}"
            + "".join(f"{result.worth_of(kind):>9.3f}" for kind in KINDS)
        )
    return "\n".join(lines)


def main() -> None:
    """Simulate all policies under one workload and print a table."""
    defaults = Workload()
    parser = argparse.ArgumentParser(prog="hyssopwood-experiment", description=__doc__)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--instances", type=int, default=defaults.instances)
    parser.add_argument("--servers", type=int, default=defaults.servers)
    parser.add_argument("--slots", type=int, default=defaults.slots)
    parser.add_argument(
        "--crest", type=float, default=defaults.crest, help="demand / capacity of the servers"
    )
    parser.add_argument("--seconds", type=float, default=defaults.seconds)
    workload = Workload(**vars(parser.parse_args()))
    print(table(workload, tuple(POLICIES)))


if __name__ == "__main__":
    main()
