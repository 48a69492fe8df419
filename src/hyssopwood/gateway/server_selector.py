"""Selection of a server for each attempt: the key's owner, or any server of the service."""

from __future__ import annotations

import asyncio

from attrs import define, field, frozen

from hyssopwood.gateway.domain_choice import (
    CROSSING_PENALTY_S,
    choose_waiting_domain,
    order_domains,
)
from hyssopwood.gateway.outcome import (
    DEFAULT_RETRY_AFTER_S,
    Cause,
    Refused,
    RoutedRequest,
    stopping_refusal,
)
from hyssopwood.gateway.queue_link import Admission, QueueLink
from hyssopwood.gateway.queue_messages import Ask, Done, QueueName, Reply, ReplyState
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import LimitNotice, ServerLimits
from hyssopwood.gateway.shutdown import ShutdownTimes
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.timers import Timers

# Longest wait for a usable owner. A move of keys takes some tens of milliseconds plus the time of
# the requests that still run on them.
OWNER_WAIT_S = 0.35
# Wait for a newer plan before a request is sent again to an owner that refused it; most moves end
# sooner.
OWNER_RECHECK_S = 0.25
# A failure domain's reported wait is ignored after this time.
OBSERVED_WAIT_TTL_S = 0.5
# A longer predicted wait means that the keeper admits nothing to the servers, as they are cold.
MAX_LIMITED_WAIT_S = 3600.0
# Another keeper may admit requests to cold servers within about two seconds.
COLD_RETRY_AFTER_S = 1.0
MS_PER_S = 1000


@frozen
class Selection:
    """A selected server and the admission to it."""

    server: ServerRecord
    admission: Admission


@frozen
class _ObservedWait:
    wait_s: float
    observed_at: float


@define(eq=False)
class ServerSelector:
    """Get requests admitted at servers, and reroute waiting ones when their keys move."""

    _directory: ServerDirectory
    _plan: PlanView
    _health: ServerHealth
    _limits: ServerLimits
    _queues: QueueLink
    _timers: Timers
    _failure_domain: str
    # Requests in the queue of their key's owner, each with the owner's incarnation.
    _waiting: dict[asyncio.Future[None], tuple[RoutedRequest, tuple[str, int]]] = field(
        factory=dict, init=False
    )
    _observed_waits: dict[tuple[str, str], _ObservedWait] = field(factory=dict, init=False)
    # Limits on the time of the selections in progress.
    _limits_in_progress: dict[asyncio.Timeout, RoutedRequest] = field(factory=dict, init=False)
    _shutdown: ShutdownTimes | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._plan.subscribe(self._reroute)

    def begin_shutdown(self, times: ShutdownTimes) -> None:
        """End waits for a server, now and from now on, while the request can still be refused."""
        self._shutdown = times
        now, loop_now = self._timers.now(), asyncio.get_running_loop().time()
        for limit, routed in self._limits_in_progress.items():
            if not limit.expired():
                limit.reschedule(loop_now + self._latest_end(routed) - now)

    async def select(self, routed: RoutedRequest) -> Selection | Refused:
        """Return a server with an admission, or why there is none.

        A request that would start too late is refused at once.
        """
        started_at = self._timers.now()
        try:
            async with asyncio.timeout(self._latest_end(routed) - started_at) as limit:
                self._limits_in_progress[limit] = routed
                try:
                    admission = await (
                        self._admit_at_owner(routed)
                        if routed.sharded
                        else self._admit_at_any(routed)
                    )
                finally:
                    del self._limits_in_progress[limit]
        except TimeoutError:
            if self._latest_end(routed) < routed.deadline:
                return stopping_refusal()
            return Refused(Cause.DEADLINE, "no server admitted the request before its deadline")
        finally:
            routed.waited_s += self._timers.now() - started_at
        if isinstance(admission, Refused):
            return admission
        routed.keeper = admission.keeper.instance if admission.keeper else "own"
        server = self._directory.get(admission.server)
        if (
            server is None
            or server.draining
            or server.incarnation != (admission.server, admission.born_ms)
        ):
            self._queues.release(admission, Done())
            # The keeper may continue to offer a server that it still considers ready.
            routed.tried.add(admission.server)
            return Refused(Cause.SERVER_UNREACHABLE, "the server left while the request was queued")
        if self._health.back_off_left_s(server.incarnation):
            self._queues.release(admission, Done())
            return Refused(
                Cause.SERVER_UNREACHABLE, "the server has told this instance to back off"
            )
        return Selection(server, admission)

    def _latest_end(self, routed: RoutedRequest) -> float:
        """Return when the selection of a server must end."""
        return routed.deadline if self._shutdown is None else self._shutdown.latest_send(routed)

    async def _admit_at_owner(self, routed: RoutedRequest) -> Admission | Refused:
        owner = await self._await_owner(routed)
        if isinstance(owner, Refused):
            return owner
        queue = QueueName(routed.service, owner.failure_domain, owner.server, owner.born_ms)
        moved: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[moved] = routed, owner.incarnation
        try:
            result = await self._queues.acquire(self._build_ask(routed, queue), moved)
        finally:
            del self._waiting[moved]
        if isinstance(result, Admission):
            return result
        if result.state is ReplyState.REJECTED:
            return _refuse_late(result)
        if moved.done():
            return Refused(Cause.MOVED, "the key moved while its request was queued")
        return Refused(Cause.SERVER_UNREACHABLE, "the server left before it admitted the request")

    async def _admit_at_any(self, routed: RoutedRequest) -> Admission | Refused:
        untried = [
            record
            for record in self._directory.of_service(routed.service)
            if not record.draining and record.server not in routed.tried
        ]
        if not untried:
            if self._directory.is_left_by_evacuation(routed.service):
                return _refuse_evacuated(routed)
            return Refused(Cause.NO_SERVER, f"service {routed.service} has no untried server")
        back_offs = [
            (record, self._health.back_off_left_s(record.incarnation)) for record in untried
        ]
        domains = {record.failure_domain for record, remaining_s in back_offs if not remaining_s}
        if not domains:
            remaining_s = min(remaining_s for _, remaining_s in back_offs)
            return Refused(
                Cause.SERVER_BUSY, "every server has told this instance to back off", remaining_s
            )
        own_domain = self._failure_domain
        recent = self._recent_waits(routed.service)
        waits: dict[str, float] = {}
        last_reply: Reply | None = None
        for domain in order_domains(domains, own_domain, recent):
            max_wait_s = CROSSING_PENALTY_S if len(domains) > 1 else float("inf")
            result = await self._admit_in_domain(routed, domain, max_wait_s)
            if isinstance(result, Admission):
                return result
            last_reply = result
            if result.state is ReplyState.REJECTED:
                waits[domain] = result.wait_s
        if len(domains) > 1 and waits:
            result = await self._admit_in_domain(
                routed, choose_waiting_domain(own_domain, waits), float("inf")
            )
            if isinstance(result, Admission):
                return result
            last_reply = result
        if last_reply is not None and last_reply.state is ReplyState.REJECTED:
            return _refuse_late(last_reply)
        return Refused(Cause.SERVER_UNREACHABLE, "every server left before it admitted the request")

    async def _admit_in_domain(
        self, routed: RoutedRequest, domain: str, max_wait_s: float
    ) -> Admission | Reply:
        queue = QueueName(routed.service, domain)
        result = await self._queues.acquire(self._build_ask(routed, queue, max_wait_s))
        wait_s = 0.0 if isinstance(result, Admission) else result.wait_s
        self._observed_waits[(routed.service, domain)] = _ObservedWait(wait_s, self._timers.now())
        return result

    def _recent_waits(self, service: str) -> dict[str, float]:
        now = self._timers.now()
        return {
            domain: item.wait_s
            for (key_service, domain), item in self._observed_waits.items()
            if key_service == service and now - item.observed_at < OBSERVED_WAIT_TTL_S
        }

    def _build_ask(
        self, routed: RoutedRequest, queue: QueueName, max_wait_s: float = float("inf")
    ) -> Ask:
        now = self._timers.now()
        return Ask(
            queue=queue,
            priority=routed.route.priority,
            target_s=max(0.0, routed.target - now),
            deadline_s=max(0.0, routed.deadline - now),
            max_wait_s=max_wait_s,
            tried=self._excluded_servers(routed) if not queue.server else frozenset(),
            limits=self._limit_notices(queue),
            cost_s=routed.cost_s,
        )

    def _limit_notices(self, queue: QueueName) -> tuple[LimitNotice, ...]:
        """Return what this instance has read of the limits of the queue's servers."""
        if not self._limits.has_notices:
            return ()
        if queue.server:
            notices = [self._limits.notice((queue.server, queue.born_ms))]
        else:
            notices = [
                self._limits.notice(record.incarnation)
                for record in self._directory.of_service(queue.service)
                if record.failure_domain == queue.failure_domain
            ]
        return tuple(notice for notice in notices if notice is not None)

    def _excluded_servers(self, routed: RoutedRequest) -> frozenset[str]:
        """Return the servers already tried for the request or backed off by this instance."""
        if not self._health.has_back_offs:
            return frozenset(routed.tried)
        backed_off = {
            record.server
            for record in self._directory.of_service(routed.service)
            if self._health.back_off_left_s(record.incarnation)
        }
        return frozenset(routed.tried | backed_off)

    async def _await_owner(self, routed: RoutedRequest) -> ServerRecord | Refused:
        wait_until = min(routed.deadline, self._timers.now() + OWNER_WAIT_S)
        recheck_due = False
        while True:
            owner = self._usable_owner(routed)
            already_sent = routed.server == (owner.server if owner else "") and not recheck_due
            remaining_s = wait_until - self._timers.now()
            back_off_s = 0.0 if owner is None else self._health.back_off_left_s(owner.incarnation)
            if owner is not None and back_off_s:
                if back_off_s > remaining_s:
                    detail = f"owner {owner.server} has told this instance to back off"
                    return Refused(Cause.SERVER_BUSY, detail, back_off_s)
                await self._plan_changed_within(back_off_s)
                continue
            # After a broken exchange the request is sent to the owner again at once. An owner that
            # refused it needs time: to receive its grant, or until the plan names another owner.
            if owner is not None and not (routed.refused and already_sent):
                return owner
            if owner is None and self._directory.is_left_by_evacuation(routed.service):
                # No move of the key to another server is to be expected.
                return _refuse_evacuated(routed)
            if remaining_s <= 0:
                cause = Cause.EVACUATED if self._is_owner_evacuated(routed) else Cause.NO_OWNER
                return Refused(cause, routed.owner_state)
            recheck_due = not await self._plan_changed_within(min(remaining_s, OWNER_RECHECK_S))

    async def _plan_changed_within(self, limit_s: float) -> bool:
        try:
            async with asyncio.timeout(limit_s):
                await self._plan.wait_changed()
        except TimeoutError:
            return False
        return True

    def _usable_owner(self, routed: RoutedRequest) -> ServerRecord | None:
        assert routed.head.key is not None
        owner = self._plan.owner(routed.service, routed.head.key)
        routed.plan_version = self._plan.version
        if owner is None:
            routed.owner_state = "the plan has no owner for the key"
            return None
        record = self._directory.get(owner.server)
        if record is None:
            routed.owner_state = f"owner {owner.server} is not registered"
        elif record.incarnation != owner.incarnation:
            routed.owner_state = f"owner {owner.server} has restarted"
        elif record.draining:
            routed.owner_state = f"owner {owner.server} is draining"
        elif self._health.is_suspect(record.incarnation):
            routed.owner_state = f"owner {owner.server} is suspected"
        else:
            return record
        return None

    def _is_owner_evacuated(self, routed: RoutedRequest) -> bool:
        """Return whether the key's owner is registered in an evacuated failure domain."""
        owner = self._plan.owner(routed.service, routed.head.key or 0)
        record = None if owner is None else self._directory.get(owner.server)
        return record is not None and self._directory.is_evacuated(record)

    def _reroute(self) -> None:
        """End the wait of requests queued at a server that no longer owns their keys."""
        for moved, (routed, incarnation) in list(self._waiting.items()):
            if moved.done():
                continue
            owner = self._plan.owner(routed.service, routed.head.key or 0)
            if owner is None or owner.incarnation != incarnation:
                moved.set_result(None)


def _refuse_evacuated(routed: RoutedRequest) -> Refused:
    detail = f"all servers of {routed.service} are in evacuated failure domains"
    return Refused(Cause.EVACUATED, detail)


def _refuse_late(reply: Reply) -> Refused:
    if reply.limited:
        if reply.wait_s > MAX_LIMITED_WAIT_S:
            detail = "the server is cold and this keeper may not admit requests to it"
            return Refused(Cause.AT_LIMIT, detail, COLD_RETRY_AFTER_S)
        detail = f"the server's limit admits the request in {reply.wait_s * MS_PER_S:.0f} ms"
        return Refused(Cause.AT_LIMIT, detail, reply.wait_s)
    detail = f"the predicted wait of {reply.wait_s * MS_PER_S:.0f} ms is too long"
    return Refused(Cause.PREDICTED_LATE, detail, max(DEFAULT_RETRY_AFTER_S, reply.wait_s / 2))
