"""Dispatch of requests: server selection, attempts, retries and the final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from attrs import evolve, frozen

from hyssopwood.events import Event, emit
from hyssopwood.gateway.configuration_age import ConfigurationAge
from hyssopwood.gateway.crash_suspects import CrashMonitor
from hyssopwood.gateway.exchange import (
    AnswerHead,
    BadHeadError,
    BodyStream,
    CallerAnswer,
    CallerRequest,
    ExchangeBrokenError,
    HeaderCodec,
    LateAdmissionError,
    NotSentError,
    OwnLinkError,
    RepeatedRequestError,
    ServerAnswer,
    ServerRequest,
    StreamEnd,
    end_to_end_headers,
)
from hyssopwood.gateway.load_reports import LoadReports
from hyssopwood.gateway.outcome import (
    Answered,
    Cause,
    Outcome,
    OutcomeUnknown,
    Refused,
    RoutedRequest,
    stopping_refusal,
)
from hyssopwood.gateway.queue_link import QueueLink
from hyssopwood.gateway.queue_messages import Done, Failure
from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.route_table import RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import Sent, ServerLimits
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.gateway.server_reach import PROBE_INTERVAL_S, ServerReach
from hyssopwood.gateway.server_selector import Selection, ServerSelector
from hyssopwood.gateway.shared_queue import service_sample_s
from hyssopwood.gateway.shutdown import ANSWER_GRACE_S, ShutdownTimes
from hyssopwood.gateway.warmup import MAX_ADMISSION_AGE_S, ColdServers
from hyssopwood.gateway.weighted_choice import WeightedChoice
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Callers honour Retry-After up to a third of their remaining time.
RETRY_AFTER_SHARE = 0.3
# Every Nth answered request is logged; refused and failed ones are always logged.
ANSWERED_LOG_INTERVAL = 50
MS_PER_S = 1000
# Callers take these statuses as a promise that the request was not run.
_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@frozen(kw_only=True)
class DispatcherDependencies:
    """Dependencies of the dispatcher."""

    tables: RouteTables
    configuration_age: ConfigurationAge
    directory: ServerDirectory
    plan: PlanView
    pool: ServerPool
    health: ServerHealth
    limits: ServerLimits
    header_codec: HeaderCodec
    timers: Timers
    metrics: Metrics
    failure_domain: str
    queues: QueueLink
    new_budget: Callable[[], RetryBudget]
    reports: LoadReports
    crashes: CrashMonitor
    reach: ServerReach
    # Whether a service can be reached, directly or by way of another instance.
    has_path: Callable[[str], bool] = lambda service: True
    # Called with a server that asked this instance to back off, and for how many seconds.
    on_back_off: Callable[[ServerRecord, float], None] = lambda server, seconds: None
    cold: ColdServers | None = None


@frozen
class _SentRequest:
    """A request that was sent to a server, when, and whether another server has its address."""

    server: ServerRecord
    at: float
    address_reused: bool


class Dispatcher:
    """Send callers' requests to servers and build the answers."""

    def __init__(self, deps: DispatcherDependencies) -> None:
        self._deps = deps
        self._service_choice = WeightedChoice()
        self._service_choice_version = -1
        self._selector = ServerSelector(
            deps.directory,
            deps.plan,
            deps.health,
            deps.limits,
            deps.queues,
            deps.timers,
            deps.failure_domain,
        )
        self._budgets: dict[str, RetryBudget] = {}
        self._detached: set[asyncio.Task[Outcome]] = set()
        self._answered_count = 0
        self._shutdown: ShutdownTimes | None = None

    @property
    def detached(self) -> int:
        """Return the number of running exchanges whose callers have disconnected."""
        return len(self._detached)

    def begin_shutdown(self, times: ShutdownTimes) -> None:
        """Refuse the requests that can't end in time, also those that wait for a server."""
        self._shutdown = times
        self._selector.begin_shutdown(times)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a caller's request."""
        started_at = self._deps.timers.now()
        table = self._deps.tables.current
        if table is None:
            return self._refuse_unrouted(
                request, Refused(Cause.NO_CONFIGURATION, "no configuration has been loaded yet")
            )
        try:
            head = self._deps.header_codec.decode_caller_headers(request.headers)
        except BadHeadError as error:
            return self._reject_request(request, HTTPStatus.BAD_REQUEST, Cause.BAD_HEAD, str(error))
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = table.match(request.host, path)
        if route is None:
            known = self._deps.configuration_age.newest()
            detail = f"version {table.version}, known from the {known.source} {known.age_ms} ms ago"
            return self._reject_request(request, HTTPStatus.NOT_FOUND, Cause.NO_ROUTE, detail)
        if table.version != self._service_choice_version:
            self._service_choice.reset()
            self._service_choice_version = table.version
        service = self._service_choice.choose(route)
        spec = table.services.get(service)
        routed = RoutedRequest(
            request=request,
            head=head,
            route=route,
            service=service,
            deadline=request.arrived + min(head.timeout_s or route.timeout_s, route.timeout_s),
            sharded=spec is not None and spec.sharded and head.key is not None,
            version=table.version,
            cost_s=self._deps.reports.work.expected_cost_s(service, route.name) or 0.0,
        )
        if self._shutdown is not None and not self._shutdown.accepts(routed, started_at):
            return self._finish(routed, stopping_refusal(), started_at)
        if routed.sharded and head.key is not None:
            # Demand is counted on arrival: requests for a busy key wait and may never be sent.
            self._deps.reports.record_request(service, head.key, route.name)
        outcome = await self._run_attempts(routed)
        return self._finish(routed, outcome, started_at)

    async def _run_attempts(self, routed: RoutedRequest) -> Outcome:
        """Return the answer or the failure; an attempt that may have executed takes precedence."""
        unknown: OutcomeUnknown | None = None
        last_outcome: Outcome = Refused(Cause.NO_SERVER, "the service has no registered server")
        while routed.sends < routed.route.max_attempts:
            if self._remaining_s(routed) <= 0:
                last_outcome = Refused(Cause.DEADLINE, "the deadline of the request has passed")
                break
            if self._remaining_to_send_s(routed) <= 0:
                last_outcome = stopping_refusal()
                break
            if self._deps.crashes.is_quarantined(routed.request):
                last_outcome = Refused(
                    Cause.QUARANTINED,
                    "the request is quarantined: servers crashed while they ran it",
                )
                break
            if routed.sends and not self._take_retry(routed):
                break
            if not self._deps.has_path(routed.service):
                last_outcome = _cut_off_refusal()
                break
            outcome = await self._run_attempt(routed)
            if isinstance(outcome, Answered):
                return outcome
            last_outcome = outcome
            if isinstance(outcome, OutcomeUnknown):
                unknown = outcome
                if not routed.route.idempotent or outcome.cause is Cause.DEADLINE:
                    break
            elif not self._is_retriable(outcome):
                break
            else:
                await self._wait_for_links(routed)
        return unknown or last_outcome

    def _take_retry(self, routed: RoutedRequest) -> bool:
        """Return whether the retry budget permits another send, and log one that it permits."""
        budget, now = self._retry_budget(routed.service), self._deps.timers.now()
        allowance = budget.allowance(now)
        permitted = budget.try_consume(now)
        result = "permitted" if permitted else "denied"
        self._deps.metrics.count("gateway_retries", f"{routed.service} {result}")
        if permitted:
            self._log(
                Event.REQUEST_REPEATED,
                routed,
                window_sends=allowance.first_sends,
                window_retries=allowance.retries,
                allowed=round(allowance.allowed, 2),
                shared_by=allowance.sharers,
            )
        return permitted

    async def _wait_for_links(self, routed: RoutedRequest) -> None:
        """Wait until it is known whether this instance's own links are the cause of a failure."""
        try:
            async with asyncio.timeout(max(0.0, self._remaining_to_send_s(routed))):
                await self._deps.reach.wait_settled(routed.service)
        except TimeoutError:
            return

    def _is_retriable(self, refused: Refused) -> bool:
        return refused.cause in (Cause.SERVER_REFUSED, Cause.SERVER_UNREACHABLE, Cause.MOVED)

    async def _run_attempt(self, routed: RoutedRequest) -> Outcome:
        selected = await self._selector.select(routed)
        if isinstance(selected, Refused):
            return selected
        task = asyncio.get_running_loop().create_task(self._send(routed, selected))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_abandon_stream)
            if routed.route.idempotent:
                task.cancel()
            else:
                # The exchange continues: the caller may have paid for an operation that must not be
                # lost.
                self._detached.add(task)
                task.add_done_callback(self._detached.discard)
            raise

    async def _send(self, routed: RoutedRequest, selected: Selection) -> Outcome:
        """Send a request and release its admission with what was learned from the exchange."""
        done = Done()
        stream: BodyStream | None = None
        try:
            routed.server_wait_s = selected.admission.server_wait_s
            outcome, done = await self._exchange(routed, selected)
            stream = _stream_of(outcome)
            return outcome
        finally:
            if stream is None:
                self._release(selected, done)
            else:
                self._watch_stream(routed, selected, stream, done)

    def _watch_stream(
        self, routed: RoutedRequest, selected: Selection, stream: BodyStream, done: Done
    ) -> None:
        """Bound a streamed answer by the deadline and release its admission when it ends."""
        remaining_s = routed.deadline + ANSWER_GRACE_S - self._deps.timers.now()
        expiry = self._deps.timers.call_later(remaining_s, stream.expire)

        def end(ended: asyncio.Future[StreamEnd]) -> None:
            expiry.cancel()
            result = ended.result()
            self._deps.metrics.count("gateway_streams", result.value)
            failed = result is StreamEnd.BROKEN
            if failed:
                self._record_failure(selected.server, "the answer was cut off", certain=False)
            if result is not StreamEnd.WHOLE:
                self._log(Event.ANSWER_CUT, routed, cause=result.value)
            reported = evolve(done, failure=Failure.UNCERTAIN) if failed else done
            self._release(selected, reported)

        stream.ended.add_done_callback(end)

    def _release(self, selected: Selection, done: Done) -> None:
        limit = self._deps.limits.notice(selected.server.incarnation)
        self._deps.queues.release(selected.admission, evolve(done, limit=limit))

    async def _exchange(self, routed: RoutedRequest, selected: Selection) -> tuple[Outcome, Done]:
        server = selected.server
        started_at = self._deps.timers.now()
        remaining_s = routed.deadline - started_at
        if remaining_s <= 0:
            return Refused(Cause.DEADLINE, "the deadline of the request has passed"), Done()
        routed.tried.add(server.server)
        routed.server = server.server
        sent = _SentRequest(server, started_at, self._deps.directory.is_address_reused(server))
        self._deps.limits.record_sent(server.incarnation, Sent.REQUEST)
        try:
            async with asyncio.timeout(remaining_s + ANSWER_GRACE_S):
                answer = await self._exchange_once(selected, self._server_request(routed, server))
        except (OwnLinkError, LateAdmissionError) as error:
            # The server may be sound, so it stays a choice for this request.
            routed.tried.discard(server.server)
            return Refused(Cause.SERVER_UNREACHABLE, str(error)), Done()
        except NotSentError as error:
            self._record_failure(server, str(error), certain=True)
            refused = Refused(Cause.SERVER_UNREACHABLE, str(error))
            return refused, Done(failure=Failure.CERTAIN)
        except ExchangeBrokenError as error:
            routed.refused = False
            unknown = OutcomeUnknown(Cause.BROKEN, str(error))
            return unknown, self._record_loss(routed, sent, unknown)
        except TimeoutError:
            unknown = OutcomeUnknown(Cause.DEADLINE, "the server did not answer in time")
            return unknown, self._record_loss(routed, sent, unknown)
        self._deps.reach.record_answered(server.service)
        self._count_send(routed)
        outcome, done = self._evaluate_answer(routed, server, answer, started_at)
        if answer.stream is not None and not isinstance(outcome, Answered):
            answer.stream.abandon()
        return outcome, done

    def _record_loss(
        self, routed: RoutedRequest, sent: _SentRequest, unknown: OutcomeUnknown
    ) -> Done:
        """Record that a sent request got no answer, and return what its keeper is told."""
        self._count_send(routed)
        if self._may_be_own_loss(sent.server):
            return Done()
        incarnation = sent.server.incarnation
        self._record_failure(sent.server, unknown.detail, certain=False)
        if sent.address_reused:
            # Another server at the address may break exchanges or stay silent when it is full.
            return Done(failure=Failure.UNCERTAIN)
        self._deps.crashes.record_lost(routed.request, incarnation)
        sample_s = None
        if unknown.cause is Cause.DEADLINE:
            # The service time is at least the time waited so far.
            sample_s = self._deps.timers.now() - sent.at
            self._deps.reports.record_service_time(incarnation, sample_s)
        return Done(sample_s, failure=Failure.UNCERTAIN)

    def _may_be_own_loss(self, server: ServerRecord) -> bool:
        """Record a lost exchange, and return whether the own links may be the cause.

        Such a loss is no failure of the server. Neither the keeper of its queue nor the leader may
        hear of it: they would avoid the server for all instances, take the time until the deadline
        for its service time, and count the request as one that crashes servers.
        """
        self._deps.reach.record_failed(server)
        return self._deps.reach.in_doubt(server.service)

    def _check_admission(self, selected: Selection) -> None:
        """Raise LateAdmissionError if the server is cold and its admission is too old to be used.

        Admissions that were delayed would otherwise arrive at a cold server in a burst.
        """
        cold, server = self._deps.cold, selected.server
        if cold is None or not (selected.admission.cold or cold.is_cold(server)):
            return
        age_s = self._deps.timers.now() - selected.admission.granted_at
        if age_s > MAX_ADMISSION_AGE_S:
            cold.count_late(server, age_s)
            raise LateAdmissionError(f"the admission to {server.server} is {age_s:.3f} s old")

    async def _exchange_once(self, selected: Selection, request: ServerRequest) -> ServerAnswer:
        """Exchange a request over a connection on which it has not failed before."""
        pool, server = self._deps.pool, selected.server
        while True:
            try:
                if self._deps.cold is None:
                    return await pool.exchange(server, request)
                check = partial(self._check_admission, selected)
                return await pool.exchange(server, request, check)
            except RepeatedRequestError:
                # The connection was closed, and the pool tries another one or opens a new one.
                continue

    def _count_send(self, routed: RoutedRequest) -> None:
        routed.sends += 1
        if routed.sends == 1:
            self._retry_budget(routed.service).record_send(self._deps.timers.now())

    def _evaluate_answer(
        self, routed: RoutedRequest, server: ServerRecord, answer: ServerAnswer, started_at: float
    ) -> tuple[Outcome, Done]:
        head = self._deps.header_codec.decode_answer_headers(answer)
        for name in head.ignored:
            self._deps.metrics.count("server_headers_ignored", name)
        replaced = head.answered_by not in (None, server.server)
        # An answer without the request's id may be a repeated one to an earlier request on the
        # connection. It shows nothing about this request or the server's present state.
        identified = head.request_id == routed.head.request_id
        if replaced:
            self._deps.health.record_replaced(server.incarnation)
            self._deps.pool.abort_idle(server)
            emit(
                Event.SERVER_SUSPECTED,
                server=server.server,
                detail=f"the address now belongs to {head.answered_by}",
            )
        elif identified:
            self._deps.health.record_success(server.incarnation)
            self._apply_server_notices(server, head, started_at)
        # Another server at the address runs nothing that names this one, so its 421 needs no id.
        refused = head.not_run and (identified or (replaced and head.misdirected))
        # Nothing that another server states of itself holds for this one.
        load, back_off_s = (None, None) if replaced else (head.load, head.back_off_s)
        warmup_s = head.warmup_s if identified and not replaced else None
        routed.refused = refused and not replaced
        if refused:
            detail = f"status {answer.status} from {head.answered_by or server.server}"
            done = Done(load=load, back_off_s=back_off_s, warmup_s=warmup_s)
            return Refused(Cause.SERVER_REFUSED, detail), done
        if not identified:
            detail = "the answer has no request id or the id of another request"
            return OutcomeUnknown(Cause.BAD_ANSWER, detail), Done()
        sample_s = None
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR and not replaced:
            elapsed_s = self._deps.timers.now() - started_at
            sample_s = service_sample_s(elapsed_s, load, server.slots)
            self._record_work(routed, server, sample_s, None if load is None else load.pace)
        done = Done(sample_s, load, back_off_s=back_off_s, warmup_s=warmup_s)
        fault = _answer_fault(answer, head)
        if fault:
            return OutcomeUnknown(Cause.BAD_ANSWER, fault), done
        self._deps.crashes.record_success(routed.request)
        return Answered(answer), done

    def _record_work(
        self, routed: RoutedRequest, server: ServerRecord, sample_s: float, pace: float | None
    ) -> None:
        """Learn from a service time, and record the error of its prediction."""
        service, route = routed.service, routed.route.name
        expected_s = self._deps.reports.work.expected_time_s(
            service, route, server.incarnation, pace
        )
        if expected_s is not None:
            error_s = abs(sample_s - expected_s - routed.server_wait_s)
            self._deps.metrics.observe("work_error", service, error_s)
        self._deps.reports.record_answer(
            service, route, server.incarnation, sample_s, pace, routed.server_wait_s
        )

    def _apply_server_notices(
        self, server: ServerRecord, head: AnswerHead, started_at: float
    ) -> None:
        """Apply the server's notices: that it leaves, its limit, and the back-off it asks for."""
        self._deps.limits.record_answer(server.incarnation, head.limit_per_s, started_at)
        if self._deps.cold is not None:
            self._deps.cold.record_answer(server.incarnation, head.warmup_s)
        if head.leaving and self._deps.directory.mark_leaving(server.incarnation):
            self._deps.reports.record_leaving(server.incarnation)
        if head.back_off_s:
            self._deps.health.record_back_off(server.incarnation, head.back_off_s)
            self._deps.on_back_off(server, head.back_off_s)
            emit(Event.SERVER_BACKED_OFF, server=server.server, seconds=head.back_off_s)

    def _server_request(self, routed: RoutedRequest, server: ServerRecord) -> ServerRequest:
        remaining_s = routed.deadline - self._deps.timers.now()
        headers = self._deps.header_codec.server_headers(
            routed.request.headers, routed.head, server.server, remaining_s
        )
        return ServerRequest(
            method=routed.request.method,
            target=routed.request.target,
            headers=headers,
            body=routed.request.body,
            request_id=routed.head.request_id,
        )

    def _record_failure(self, server: ServerRecord, detail: str, certain: bool) -> None:
        self._deps.pool.abort_idle(server)
        if self._deps.health.record_failure(server.incarnation, certain):
            emit(Event.SERVER_SUSPECTED, server=server.server, detail=detail)

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._deps.new_budget()
        return budget

    def _remaining_s(self, routed: RoutedRequest) -> float:
        return routed.deadline - self._deps.timers.now()

    def _remaining_to_send_s(self, routed: RoutedRequest) -> float:
        """Return for how long the request may still be sent to a server."""
        shutdown = self._shutdown
        latest = routed.deadline if shutdown is None else shutdown.latest_send(routed)
        return latest - self._deps.timers.now()

    def _finish(self, routed: RoutedRequest, outcome: Outcome, started_at: float) -> CallerAnswer:
        now = self._deps.timers.now()
        self._deps.metrics.observe("gateway_request", routed.service, now - started_at)
        self._deps.metrics.observe("gateway_wait", routed.service, routed.waited_s)
        if isinstance(outcome, Answered):
            self._deps.metrics.count("gateway_requests", "answered")
            self._answered_count += 1
            if self._answered_count % ANSWERED_LOG_INTERVAL == 1:
                self._log(Event.REQUEST_ANSWERED, routed, status=outcome.answer.status)
            answer = outcome.answer
            return CallerAnswer(
                status=answer.status,
                headers=end_to_end_headers(answer.headers),
                body=answer.body,
                stream=answer.stream,
            )
        self._deps.metrics.count("gateway_requests", outcome.cause.value)
        if outcome.cause is Cause.EVACUATED:
            self._deps.metrics.count("evacuated_requests", routed.service)
        if isinstance(outcome, Refused):
            timeout_s = routed.head.timeout_s or routed.route.timeout_s
            remaining_s = max(0.0, routed.request.arrived + timeout_s - now)
            retry_after_s = outcome.retry_after_s
            if outcome.cause is not Cause.AT_LIMIT:
                # A limited server takes nothing sooner, whatever time the caller has left.
                retry_after_s = min(retry_after_s, remaining_s * RETRY_AFTER_SHARE)
            self._log(
                Event.REQUEST_REFUSED, routed, cause=outcome.cause.value, detail=outcome.detail
            )
            return self._unavailable_answer(evolve(outcome, retry_after_s=retry_after_s))
        self._log(Event.REQUEST_UNKNOWN, routed, cause=outcome.cause.value, detail=outcome.detail)
        late = outcome.cause is Cause.DEADLINE
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        return CallerAnswer(status=int(status))

    def _unavailable_answer(self, refused: Refused) -> CallerAnswer:
        return CallerAnswer(
            status=int(HTTPStatus.SERVICE_UNAVAILABLE),
            headers=self._deps.header_codec.retry_after(refused.retry_after_s),
        )

    def _refuse_unrouted(self, request: CallerRequest, refused: Refused) -> CallerAnswer:
        self._deps.metrics.count("gateway_requests", refused.cause.value)
        emit(Event.REQUEST_REFUSED, target=request.target[:100], cause=refused.cause.value)
        return self._unavailable_answer(refused)

    def _reject_request(
        self, request: CallerRequest, status: HTTPStatus, cause: Cause, detail: str
    ) -> CallerAnswer:
        self._deps.metrics.count("gateway_requests", cause.value)
        emit(
            Event.REQUEST_REFUSED,
            target=request.target[:100],
            cause=cause.value,
            status=int(status),
            detail=detail,
        )
        return CallerAnswer(status=int(status))

    def _log(self, event: Event, routed: RoutedRequest, **fields: object) -> None:
        now = self._deps.timers.now()
        known = self._deps.configuration_age.newest()
        emit(
            event,
            request=routed.head.request_id.decode("latin-1"),
            route=routed.route.name,
            service=routed.service,
            key=routed.head.key,
            server=routed.server,
            sends=routed.sends,
            configuration=routed.version,
            configuration_from=known.source,
            configuration_known_ms_ago=known.age_ms,
            plan=routed.plan_version,
            keeper=routed.keeper,
            waited_ms=round(routed.waited_s * MS_PER_S, 1),
            elapsed_ms=round((now - routed.request.arrived) * MS_PER_S, 1),
            left_ms=round((routed.deadline - now) * MS_PER_S, 1),
            **fields,
        )


def _cut_off_refusal() -> Refused:
    detail = "this instance and those that it has asked reach no server of the service"
    return Refused(Cause.CUT_OFF, detail, PROBE_INTERVAL_S)


def _stream_of(outcome: Outcome) -> BodyStream | None:
    return outcome.answer.stream if isinstance(outcome, Answered) else None


def _abandon_stream(task: asyncio.Task[Outcome]) -> None:
    """Abandon the stream of an answer whose caller has disconnected."""
    if task.cancelled() or task.exception() is not None:
        return
    stream = _stream_of(task.result())
    if stream is not None:
        stream.abandon()


def _answer_fault(answer: ServerAnswer, head: AnswerHead) -> str:
    if head.encoded:
        return "the answer has a content encoding other than identity"
    if answer.status < HTTPStatus.MULTIPLE_CHOICES and not head.signed:
        return "the answer reports success without the server's signature"
    if answer.status in _NOT_RUN_STATUSES:
        return f"status {answer.status} without the server's statement that it did not run"
    return ""
