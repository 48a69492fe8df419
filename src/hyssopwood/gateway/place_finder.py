"""Finds a server and a place at it for each attempt: a key's owner, or any server of a service."""

from __future__ import annotations

import asyncio

from attrs import define, field, frozen

from hyssopwood.gateway.outcome import DEFAULT_RETRY_AFTER_S, Cause, Refused, Work
from hyssopwood.gateway.queue_link import Place, QueueLink
from hyssopwood.gateway.queue_messages import Ask, Done, QueueName, Reply, ReplyState
from hyssopwood.gateway.server_choice import CROSSING_PENALTY_S, least_wait, order_domains
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.timers import Timers

# A move of keys takes some tens of milliseconds plus the work that runs on them.
OWNER_WAIT_S = 0.35
# Wait for a newer plan before an owner that refused a key is asked again; most moves end sooner.
OWNER_RECHECK_S = 0.25
# A failure domain's wait that was told longer ago than this says nothing any more.
WAIT_LIFE_S = 0.5
MS_PER_S = 1000


@frozen
class Entered:
    """Hold a server and the place at it."""

    server: ServerRecord
    place: Place


@frozen
class _KnownWait:
    wait_s: float
    at: float


@define(eq=False)
class PlaceFinder:
    """Find places for requests, and new ones for those that wait when their keys move."""

    _directory: ServerDirectory
    _plan: PlanView
    _health: ServerHealth
    _queues: QueueLink
    _timers: Timers
    _failure_domain: str
    # Requests that wait at a key's owner.
    _waiting: dict[asyncio.Future[None], tuple[Work, tuple[str, int]]] = field(
        factory=dict, init=False
    )
    _waits: dict[tuple[str, str], _KnownWait] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._plan.subscribe(self._reroute)

    async def find(self, work: Work) -> Entered | Refused:
        """Return a place, or why there is none; refuse at once what would start too late."""
        began = self._timers.now()
        try:
            async with asyncio.timeout(work.deadline - began):
                found = await (self._find_owner(work) if work.sharded else self._find_free(work))
        except TimeoutError:
            return Refused(Cause.DEADLINE, "no place at a server became free")
        finally:
            work.waited_s += self._timers.now() - began
        if isinstance(found, Refused):
            return found
        work.keeper = found.keeper.instance if found.keeper else "own"
        server = self._directory.get(found.server)
        if server is None or server.draining or server.incarnation != (found.server, found.born_ms):
            self._queues.give_back(found, Done())
            # The keeper may go on offering a server that it still takes for ready.
            work.tried.add(found.server)
            return Refused(Cause.SERVER_UNREACHABLE, "the server left while the request waited")
        if self._health.back_off_left_s(server.incarnation):
            self._queues.give_back(found, Done())
            return Refused(Cause.SERVER_UNREACHABLE, "the server has turned this instance away")
        return Entered(server, found)

    async def _find_owner(self, work: Work) -> Place | Refused:
        owner = await self._choose_owner(work)
        if isinstance(owner, Refused):
            return owner
        queue = QueueName(work.service, owner.failure_domain, owner.server, owner.born_ms)
        moved: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[moved] = work, owner.incarnation
        try:
            entered = await self._queues.enter(self._ask(work, queue), moved)
        finally:
            del self._waiting[moved]
        if isinstance(entered, Place):
            return entered
        if entered.state is ReplyState.REJECTED:
            return _late(entered)
        if moved.done():
            return Refused(Cause.MOVED, "the key moved while its request waited")
        return Refused(Cause.SERVER_UNREACHABLE, "the server left before the request was sent")

    async def _find_free(self, work: Work) -> Place | Refused:
        untried = [
            record
            for record in self._directory.of_service(work.service)
            if not record.draining and record.server not in work.tried
        ]
        if not untried:
            return Refused(Cause.NO_SERVER, f"service {work.service} has no further server")
        left = [(record, self._health.back_off_left_s(record.incarnation)) for record in untried]
        domains = {record.failure_domain for record, left_s in left if not left_s}
        if not domains:
            left_s = min(left_s for _, left_s in left)
            return Refused(Cause.SERVER_BUSY, "every server has turned this instance away", left_s)
        own = self._failure_domain
        known = self._known_waits(work.service)
        waits: dict[str, float] = {}
        last: Reply | None = None
        for domain in order_domains(domains, own, known):
            most_s = CROSSING_PENALTY_S if len(domains) > 1 else float("inf")
            entered = await self._enter_domain(work, domain, most_s)
            if isinstance(entered, Place):
                return entered
            last = entered
            if entered.state is ReplyState.REJECTED:
                waits[domain] = entered.wait_s
        if len(domains) > 1 and waits:
            entered = await self._enter_domain(work, least_wait(own, waits), float("inf"))
            if isinstance(entered, Place):
                return entered
            last = entered
        if last is not None and last.state is ReplyState.REJECTED:
            return _late(last)
        return Refused(Cause.SERVER_UNREACHABLE, "every server left before the request was sent")

    async def _enter_domain(self, work: Work, domain: str, most_s: float) -> Place | Reply:
        queue = QueueName(work.service, domain)
        entered = await self._queues.enter(self._ask(work, queue, most_s))
        wait_s = 0.0 if isinstance(entered, Place) else entered.wait_s
        self._waits[(work.service, domain)] = _KnownWait(wait_s, self._timers.now())
        return entered

    def _known_waits(self, service: str) -> dict[str, float]:
        now = self._timers.now()
        return {
            domain: item.wait_s
            for (known, domain), item in self._waits.items()
            if known == service and now - item.at < WAIT_LIFE_S
        }

    def _ask(self, work: Work, queue: QueueName, most_wait_s: float = float("inf")) -> Ask:
        now = self._timers.now()
        return Ask(
            queue=queue,
            priority=work.route.priority,
            target_s=max(0.0, work.target - now),
            deadline_s=max(0.0, work.deadline - now),
            most_wait_s=most_wait_s,
            tried=self._avoided(work) if not queue.server else frozenset(),
        )

    def _avoided(self, work: Work) -> frozenset[str]:
        """Return the servers that have had the request or have turned this instance away."""
        if not self._health.any_back_off:
            return frozenset(work.tried)
        backed_off = {
            record.server
            for record in self._directory.of_service(work.service)
            if self._health.back_off_left_s(record.incarnation)
        }
        return frozenset(work.tried | backed_off)

    async def _choose_owner(self, work: Work) -> ServerRecord | Refused:
        until = min(work.deadline, self._timers.now() + OWNER_WAIT_S)
        asked_again = False
        while True:
            owner = self._owner(work)
            seen_again = work.server == (owner.server if owner else "") and not asked_again
            left = until - self._timers.now()
            back_off_s = 0.0 if owner is None else self._health.back_off_left_s(owner.incarnation)
            if owner is not None and back_off_s:
                if back_off_s > left:
                    detail = f"owner {owner.server} has turned this instance away"
                    return Refused(Cause.SERVER_BUSY, detail, back_off_s)
                await self._plan_changes(back_off_s)
                continue
            # After a broken exchange the owner is asked again at once; only one that refused needs
            # time, for its grant or until the plan names another.
            if owner is not None and not (work.refused and seen_again):
                return owner
            if left <= 0:
                return Refused(Cause.NO_OWNER, work.owner_state)
            asked_again = not await self._plan_changes(min(left, OWNER_RECHECK_S))

    async def _plan_changes(self, limit_s: float) -> bool:
        try:
            async with asyncio.timeout(limit_s):
                await self._plan.wait_changed()
        except TimeoutError:
            return False
        return True

    def _owner(self, work: Work) -> ServerRecord | None:
        assert work.head.key is not None
        owner = self._plan.owner(work.service, work.head.key)
        work.plan_version = self._plan.version
        if owner is None:
            work.owner_state = "the plan names no owner"
            return None
        record = self._directory.get(owner.server)
        if record is None:
            work.owner_state = f"owner {owner.server} is not registered"
        elif record.incarnation != owner.life:
            work.owner_state = f"owner {owner.server} has restarted"
        elif record.draining:
            work.owner_state = f"owner {owner.server} is draining"
        elif self._health.is_suspect(record.incarnation):
            work.owner_state = f"owner {owner.server} is suspected"
        else:
            return record
        return None

    def _reroute(self) -> None:
        """Send requests that wait at a server which no longer owns their keys to the new owner."""
        for moved, (work, life) in list(self._waiting.items()):
            if moved.done():
                continue
            owner = self._plan.owner(work.service, work.head.key or 0)
            if owner is None or owner.life != life:
                moved.set_result(None)


def _late(reply: Reply) -> Refused:
    detail = f"{reply.wait_s * MS_PER_S:.0f} ms predicted wait"
    return Refused(Cause.PREDICTED_LATE, detail, max(DEFAULT_RETRY_AFTER_S, reply.wait_s / 2))
