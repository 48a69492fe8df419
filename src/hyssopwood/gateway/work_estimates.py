"""Expected cost of requests by route, learned separately from the speed of servers.

A service time is the cost of the request times the server's factor times the pace of its machine at
that moment. Costs are stated to the keepers of queues only where the routes of a service differ in
cost: with a single kind of request they would add noise to the keeper's own mean.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from attrs import define, field

from hyssopwood.events import Event, emit

# Weights of a new sample in the moving averages of a cost and of a server's factor.
COST_WEIGHT = 0.05
FACTOR_WEIGHT = 0.1
# A sample counts as at most this multiple of the expected time: 1 to 3% of the requests take 3 to 7
# times as long, and unbounded they would raise the mean by up to a fifth for many requests.
MAX_SAMPLE_RATIO = 3.0
# Samples of a route from which its cost counts as known.
MIN_SAMPLES = 5
# Ratio of the highest to the lowest cost of a service's routes below which they cease to differ.
EQUAL_COSTS_RATIO = 1.3
# They begin to differ above that ratio by this margin, divided by the root of the fewest samples of
# a route. Of the reviews of three routes of equal cost, 3% found a difference with a fixed ratio of
# 1.5, and 0.5% find one so.
DIFFERENT_COSTS_MARGIN = 3.0
# Samples from which the moving average of a cost becomes no steadier.
STEADY_SAMPLES = 40
# Ratio of a cost to the last logged one from which it is logged again.
LOGGED_CHANGE_RATIO = 2.0
# Routes of all services with a cost. The least recently used one is dropped for a new one.
MAX_ROUTES = 512
# Servers that are twelve times slower for seconds are known.
MIN_FACTOR = 0.1
MAX_FACTOR = 12.0
# Bounds on the pace that a server states.
MIN_PACE = 0.1
MAX_PACE = 12.0
# Slow phases of a machine last about 0.4 s, so that a stated pace tells little after a second.
PACE_DECAY_S = 0.4
# The rest of a pace after this many decay times is below 0.1% of it.
MAX_PACE_AGE_S = 8 * PACE_DECAY_S


def bound_pace(pace: float) -> float:
    """Return a stated pace within the range that is used."""
    return min(MAX_PACE, max(MIN_PACE, pace))


def decayed_pace(pace: float, age_s: float) -> float:
    """Return the expected pace at `age_s` after a server stated its pace."""
    if pace == 1.0 or age_s >= MAX_PACE_AGE_S:
        return 1.0
    return 1.0 + (pace - 1.0) * math.exp(-age_s / PACE_DECAY_S)


def time_at_pace(work_s: float, pace: float) -> float:
    """Return how long work takes that starts at a pace which decays to the usual one.

    It is the time T for which the integral of 1 / (1 + (pace - 1) exp(-t / PACE_DECAY_S)) from 0 to
    T equals the work.
    """
    if pace == 1.0 or work_s <= 0:
        return max(0.0, work_s)
    exponent = work_s / PACE_DECAY_S
    # log(pace e^x - (pace - 1)), written so that large exponents don't overflow.
    return work_s + PACE_DECAY_S * math.log(pace - (pace - 1.0) * math.exp(-exponent))


@define
class _Cost:
    mean_s: float
    samples: int = 0
    # Cost that was last logged; 0 before the first.
    logged_s: float = 0.0

    def changed(self) -> bool:
        """Return whether the cost is known and not yet logged, or has changed much since."""
        if self.samples < MIN_SAMPLES:
            return False
        ratio = self.mean_s / self.logged_s if self.logged_s else math.inf
        return not 1 / LOGGED_CHANGE_RATIO < ratio < LOGGED_CHANGE_RATIO

    def add(self, sample_s: float) -> None:
        self.samples += 1
        bounded_s = sample_s if self.samples == 1 else min(sample_s, MAX_SAMPLE_RATIO * self.mean_s)
        self.mean_s += max(COST_WEIGHT, 1 / self.samples) * (bounded_s - self.mean_s)


@define
class _Service:
    costs: dict[str, _Cost] = field(factory=dict)
    # Mean cost of the service's requests, whichever their routes.
    mean_s: float = 0.0
    factors: dict[tuple[str, int], float] = field(factory=dict)
    factor_sum: float = 0.0
    differs: bool = False

    def relative_factor(self, incarnation: tuple[str, int]) -> float:
        """Return a server's factor relative to the mean of the known servers.

        Costs and factors have a common scale that samples don't determine. With a mean factor of 1
        the costs of all instances have the same scale.
        """
        factor = self.factors.get(incarnation)
        return 1.0 if factor is None else factor * len(self.factors) / self.factor_sum

    def add_factor(self, incarnation: tuple[str, int], sample: float) -> None:
        known = self.factors.get(incarnation, 1.0)
        bounded = min(sample, MAX_SAMPLE_RATIO * known)
        factor = known + FACTOR_WEIGHT * (bounded - known)
        factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        self.factor_sum += factor - self.factors.get(incarnation, 0.0)
        self.factors[incarnation] = factor

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        for incarnation in self.factors.keys() - incarnations:
            del self.factors[incarnation]
        # The sum is built again, so that rounding errors don't accumulate.
        self.factor_sum = sum(self.factors.values())

    def costs_differ(self) -> bool:
        known = [cost for cost in self.costs.values() if cost.samples >= MIN_SAMPLES]
        if len(known) < 2:
            return False
        means = [cost.mean_s for cost in known]
        needed = EQUAL_COSTS_RATIO
        if not self.differs:
            fewest = min(STEADY_SAMPLES, *(cost.samples for cost in known))
            needed += DIFFERENT_COSTS_MARGIN / math.sqrt(fewest)
        return max(means) >= needed * min(means)


@define
class WorkEstimates:
    """Learn the expected cost of requests by service and route, and the speed of servers."""

    _services: dict[str, _Service] = field(factory=dict, init=False)
    _route_count: int = field(default=0, init=False)
    # Routes whose costs were dropped since the last review.
    _dropped: int = field(default=0, init=False)

    @property
    def server_count(self) -> int:
        """Return for how many servers of each service a factor is known."""
        return sum(len(service.factors) for service in self._services.values())

    def expected_cost_s(self, service: str, route: str) -> float | None:
        """Return the time that a server of mean speed needs, or None if it isn't to be stated.

        It is stated where the routes of the service differ in cost. An unknown route has the mean
        cost of the service.
        """
        known = self._services.get(service)
        if known is None or not known.differs:
            return None
        return self._cost_s(known, route)

    def costs_differ(self, service: str) -> bool:
        """Return whether the routes of a service differ in cost."""
        known = self._services.get(service)
        return known is not None and known.differs

    def relative_cost(self, service: str, route: str) -> float:
        """Return a request's cost relative to the service's mean; 1 where costs don't differ."""
        known = self._services.get(service)
        if known is None or not known.differs:
            return 1.0
        return self._cost_s(known, route) / known.mean_s

    def expected_time_s(
        self, service: str, route: str, incarnation: tuple[str, int], pace: float | None
    ) -> float | None:
        """Return the expected service time at a server, or None before the first sample."""
        known = self._services.get(service)
        if known is None:
            return None
        factor = known.relative_factor(incarnation)
        return self._cost_s(known, route) * factor * bound_pace(pace or 1.0)

    def record(
        self,
        service: str,
        route: str,
        incarnation: tuple[str, int],
        sample_s: float,
        pace: float | None,
        server_wait_s: float = 0.0,
    ) -> None:
        """Learn from the time of a request at its server, and the pace that the answer stated.

        `server_wait_s` is the part that was expected to pass before a slot of the server was free.
        """
        known = self._services.setdefault(service, _Service())
        cost = known.costs.pop(route, None)
        if cost is None:
            self._make_room()
            self._route_count += 1
            cost = _Cost(known.mean_s)
        # The last item is the one used most recently.
        known.costs[route] = cost
        pace = bound_pace(pace or 1.0)
        expected_s = cost.mean_s * known.relative_factor(incarnation) * pace
        # Without this correction short requests that wait behind long ones would seem long.
        run_share = expected_s / (expected_s + server_wait_s) if expected_s else 1.0
        paced_s = sample_s * run_share / pace
        cost_sample_s = paced_s / known.relative_factor(incarnation)
        if cost.mean_s > 0:
            known.add_factor(incarnation, paced_s / cost.mean_s)
        cost.add(cost_sample_s)
        weight = COST_WEIGHT if known.mean_s else 1.0
        known.mean_s += weight * (cost.mean_s - known.mean_s)

    def review(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all servers except these, and find the services whose routes differ in cost."""
        if self._dropped:
            emit(Event.ROUTE_COST_DROPPED, routes=self._dropped)
            self._dropped = 0
        for name, service in list(self._services.items()):
            if not service.costs:
                del self._services[name]
                continue
            service.retain(incarnations)
            differs = service.costs_differ()
            if differs != service.differs:
                service.differs = differs
                emit(Event.ROUTE_COSTS_DIFFER, service=name, differ=differs)
            for route, cost in service.costs.items():
                if cost.changed():
                    cost.logged_s = cost.mean_s
                    emit(Event.ROUTE_COST_CHANGED, service=name, route=route, cost_s=cost.mean_s)

    def costs(self) -> Iterator[tuple[str, str, float]]:
        """Yield service, route and expected cost of all known routes."""
        for name, service in self._services.items():
            for route, cost in service.costs.items():
                yield name, route, cost.mean_s

    def _cost_s(self, service: _Service, route: str) -> float:
        cost = service.costs.get(route)
        return service.mean_s if cost is None else cost.mean_s

    def _make_room(self) -> None:
        if self._route_count < MAX_ROUTES:
            return
        largest = max(self._services.values(), key=lambda service: len(service.costs))
        route = next(iter(largest.costs))
        del largest.costs[route]
        self._route_count -= 1
        self._dropped += 1
