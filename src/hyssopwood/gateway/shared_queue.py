"""One queue of all instances for a group of servers: who is sent next, who waits, who is refused.

It answers the crest at which many instances send to a few slots. Limits that each instance keeps
by itself either overflow a server or leave slots free, and each sees only a part of the queue; one
queue knows every request. Requests that can still be answered within their target latency go
first, by priority and then by age: at a crest served in order of age, all of them would be late.
A request that can't start in time any more is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from itertools import count
from typing import TypeAlias

from attrs import define, field, frozen

from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.server_directory import ServerRecord

# Requests at a server that has lately turned an instance away for a while. Others may still be
# served, but together they must not fill it up again.
PLACES_WHILE_BACKED_OFF = 1
# Requests at a server beyond its slots; one covers the time in which a free place is passed on.
EXTRA_PER_SERVER = 1
# A load report older than this says nothing about other senders any more.
REPORT_LIFE_S = 1.0
# Weight of a new observation in the mean service time.
SERVICE_TIME_WEIGHT = 0.1
# Between the mean work of both users' services, 36 to 250 ms.
INITIAL_SERVICE_TIME_S = 0.1
# A server that has just started works at about half of its speed.
WARMING_PENALTY_S = 0.10
# A place whose sender has ended is given back so long after the request's deadline.
PLACE_GRACE_S = 0.5
NEVER_S = float("inf")


@frozen(kw_only=True)
class QueuedRequest:
    """Hold what a queue knows of one request."""

    ticket: Hashable
    # Lower is more urgent.
    priority: int
    # Times at which the answer is due for full use and at all.
    target: float
    deadline: float
    # The request is refused rather than queued if its predicted wait is longer.
    most_wait_s: float = NEVER_S
    # Servers that it isn't sent to again.
    tried: frozenset[str] = frozenset()


@frozen
class QueueServer:
    """Name a server that the queue may send to."""

    record: ServerRecord
    suspect: bool = False


@frozen
class Granted:
    """Give a request a place at a server."""

    server: ServerRecord


@frozen
class Queued:
    """Say that a request waits."""

    wait_s: float


@frozen
class Rejected:
    """Say that a request would wait too long, or forever if there is no server."""

    wait_s: float


Decision: TypeAlias = Granted | Queued | Rejected


@define
class _Server:
    record: ServerRecord
    in_flight: int = 0
    service_time_s: float = INITIAL_SERVICE_TIME_S
    # Requests of other senders at the server by its last report.
    foreign: int = 0
    reported_at: float = float("-inf")
    # The server has turned some instance away until then.
    backed_off_until: float = float("-inf")

    def slots(self, now: float) -> int:
        """Return how many requests the server works on at a time."""
        backed_off = now < self.backed_off_until
        return PLACES_WHILE_BACKED_OFF if backed_off else self.record.slots

    def room(self, now: float) -> int:
        """Return how many requests may be sent now."""
        if now < self.backed_off_until:
            return PLACES_WHILE_BACKED_OFF - self.in_flight
        foreign = self.foreign if now - self.reported_at < REPORT_LIFE_S else 0
        limit = max(1, self.record.slots + EXTRA_PER_SERVER - foreign)
        return limit - self.in_flight

    def cost_s(self) -> float:
        """Return how long a request sent now is expected to take."""
        behind = max(0, self.in_flight + 1 - self.record.slots) / self.record.slots
        warming = WARMING_PENALTY_S if self.record.warmup_left_s > 0 else 0.0
        return (1 + behind) * self.service_time_s + warming


@define
class _Place:
    server: _Server
    expires_at: float


@frozen
class _Waiting:
    request: QueuedRequest
    order: int


def service_sample_s(elapsed_s: float, load: ServerLoad | None, slots: int) -> float:
    """Return what an answer says of the service time, without the wait at the server."""
    rounds = 1.0 if load is None else max(1.0, (load.running + load.waiting) / slots)
    return elapsed_s / rounds


@define
class SharedQueue:
    """Decide which request is sent to which server next."""

    _candidates: Callable[[], Iterable[QueueServer]]
    _servers: dict[tuple[str, int], _Server] = field(factory=dict, init=False)
    _places: dict[Hashable, _Place] = field(factory=dict, init=False)
    _waiting: dict[Hashable, _Waiting] = field(factory=dict, init=False)
    _order: count[int] = field(factory=count, init=False)

    @property
    def idle(self) -> bool:
        """Return whether no request has a place or waits."""
        return not self._places and not self._waiting

    def enter(self, request: QueuedRequest, now: float) -> Decision:
        """Give a new request a place, queue it or refuse it."""
        usable = self._usable()
        if all(server.record.server in request.tried for server, _ in usable):
            return Rejected(NEVER_S)
        if not self._waiting:
            granted = self._grant(request, usable, now)
            if granted is not None:
                return granted
        mean_s = self._mean_service_time_s(usable)
        own = _urgency(request, now + mean_s)
        ahead = sum(_urgency(item.request, now + mean_s) <= own for item in self._waiting.values())
        wait_s = self._wait_s(ahead, usable, now)
        if wait_s > request.most_wait_s or now + wait_s > request.deadline - mean_s:
            return Rejected(wait_s)
        self._waiting[request.ticket] = _Waiting(request, next(self._order))
        return Queued(wait_s)

    def decision(self, ticket: Hashable, now: float) -> Decision | None:
        """Return the present state of a request, or None if it is unknown."""
        place = self._places.get(ticket)
        if place is not None:
            return Granted(place.server.record)
        waiting = self._waiting.get(ticket)
        if waiting is None:
            return None
        usable = self._usable()
        ahead = self._sorted(now + self._mean_service_time_s(usable)).index(waiting)
        return Queued(self._wait_s(ahead, usable, now))

    def dismiss(self) -> list[Hashable]:
        """Forget all requests that wait, and return them."""
        tickets = list(self._waiting)
        self._waiting.clear()
        return tickets

    def withdraw(self, ticket: Hashable) -> None:
        """Forget a request that waits or has a place that it doesn't use."""
        self._waiting.pop(ticket, None)
        self._give_back(ticket)

    def leave(
        self,
        ticket: Hashable,
        sample_s: float | None,
        load: ServerLoad | None,
        now: float,
        back_off_s: float | None = None,
    ) -> tuple[str, int] | None:
        """Take a place back with what its exchange taught, and return the server's start."""
        place = self._give_back(ticket)
        if place is None:
            return None
        server = place.server
        if sample_s is not None:
            server.service_time_s += SERVICE_TIME_WEIGHT * (sample_s - server.service_time_s)
        if back_off_s is not None:
            server.backed_off_until = max(server.backed_off_until, now + back_off_s)
        if load is not None:
            server.foreign = max(0, load.running + load.waiting - server.in_flight)
            server.reported_at = now
        return server.record.incarnation

    def expire(self, now: float) -> list[Hashable]:
        """Take back the places of requests that ended long ago, and return those requests."""
        expired = [ticket for ticket, place in self._places.items() if place.expires_at <= now]
        for ticket in expired:
            self._give_back(ticket)
        return expired

    def advance(self, now: float) -> list[tuple[Hashable, Granted | Rejected]]:
        """Give free places to waiting requests and refuse those that can't start in time."""
        if not self._waiting:
            return []
        usable = self._usable()
        mean_s = self._mean_service_time_s(usable)
        decided: list[tuple[Hashable, Granted | Rejected]] = []
        ahead = 0
        for item in self._sorted(now + mean_s):
            decision: Granted | Rejected | None = self._grant(item.request, usable, now)
            if decision is None:
                wait_s = self._wait_s(ahead, usable, now)
                if now + wait_s > item.request.deadline - mean_s:
                    decision = Rejected(wait_s)
            if decision is None:
                ahead += 1
                continue
            del self._waiting[item.request.ticket]
            decided.append((item.request.ticket, decision))
        return decided

    def _usable(self) -> list[tuple[_Server, bool]]:
        usable = []
        lives = set()
        for candidate in self._candidates():
            record = candidate.record
            server = self._servers.get(record.incarnation)
            if server is None:
                server = self._servers[record.incarnation] = _Server(record)
            server.record = record
            lives.add(record.incarnation)
            usable.append((server, candidate.suspect))
        for life in self._servers.keys() - lives:
            if not self._servers[life].in_flight:
                del self._servers[life]
        return usable

    def _grant(
        self, request: QueuedRequest, usable: list[tuple[_Server, bool]], now: float
    ) -> Granted | None:
        untried = [item for item in usable if item[0].record.server not in request.tried]
        sound = [server for server, suspect in untried if not suspect]
        # Suspects are better than none.
        group = sound or [server for server, _ in untried]
        free = [server for server in group if server.room(now) > 0]
        if not free:
            return None
        server = min(free, key=lambda item: (item.cost_s(), item.record.server))
        server.in_flight += 1
        self._places[request.ticket] = _Place(server, request.deadline + PLACE_GRACE_S)
        return Granted(server.record)

    def _give_back(self, ticket: Hashable) -> _Place | None:
        place = self._places.pop(ticket, None)
        if place is not None:
            place.server.in_flight -= 1
        return place

    def _wait_s(self, ahead: int, usable: list[tuple[_Server, bool]], now: float) -> float:
        """Return how long a request with so many others before it would wait for a place."""
        rate = sum(server.slots(now) / server.service_time_s for server, _ in usable)
        room = sum(server.room(now) for server, _ in usable)
        return max(0, ahead + 1 - room) / rate if rate else NEVER_S

    def _mean_service_time_s(self, usable: list[tuple[_Server, bool]]) -> float:
        slots = sum(server.record.slots for server, _ in usable)
        rate = sum(server.record.slots / server.service_time_s for server, _ in usable)
        return slots / rate if rate else INITIAL_SERVICE_TIME_S

    def _sorted(self, answered_at: float) -> list[_Waiting]:
        return sorted(
            self._waiting.values(),
            key=lambda item: (*_urgency(item.request, answered_at), item.order),
        )


def _urgency(request: QueuedRequest, answered_at: float) -> tuple[bool, int]:
    return request.target < answered_at, request.priority
