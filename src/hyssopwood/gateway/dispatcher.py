"""Carries each request to a server: owner, admission, attempts and the final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from attrs import evolve, frozen

from hyssopwood.events import Event, emit
from hyssopwood.gateway.crash_suspects import CrashWatch
from hyssopwood.gateway.exchange import (
    AnswerHead,
    BadHeadError,
    BodyStream,
    CallerAnswer,
    CallerRequest,
    ExchangeBrokenError,
    HeaderCodec,
    NotSentError,
    ServerAnswer,
    ServerRequest,
    StreamEnd,
    end_to_end_headers,
)
from hyssopwood.gateway.load_reports import LoadReports
from hyssopwood.gateway.outcome import (
    Answered,
    Cause,
    MayHaveRun,
    Outcome,
    Refused,
    Work,
)
from hyssopwood.gateway.place_finder import Entered, PlaceFinder
from hyssopwood.gateway.queue_link import QueueLink
from hyssopwood.gateway.queue_messages import Done, Failure
from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.route_table import RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.gateway.shared_queue import service_sample_s
from hyssopwood.gateway.weighted_choice import WeightedChoice
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Time beyond a request's deadline in which the server's own answer to the deadline may arrive.
ANSWER_GRACE_S = 0.08
# Callers honour a time to come back up to a third of the time that they have left.
RETRY_AFTER_SHARE = 0.3
# One line is logged for so many answered requests; refused and failed ones are always logged.
ANSWERED_LOG_INTERVAL = 50
MS_PER_S = 1000


@frozen(kw_only=True)
class DispatcherParts:
    """Name the parts that the dispatcher works with."""

    tables: RouteTables
    directory: ServerDirectory
    plan: PlanView
    pool: ServerPool
    health: ServerHealth
    header_codec: HeaderCodec
    timers: Timers
    metrics: Metrics
    failure_domain: str
    queues: QueueLink
    new_budget: Callable[[], RetryBudget]
    reports: LoadReports
    crashes: CrashWatch


class Dispatcher:
    """Answer callers' requests."""

    def __init__(self, parts: DispatcherParts) -> None:
        self._parts = parts
        self._split = WeightedChoice()
        self._split_version = -1
        self._places = PlaceFinder(
            parts.directory,
            parts.plan,
            parts.health,
            parts.queues,
            parts.timers,
            parts.failure_domain,
        )
        self._budgets: dict[str, RetryBudget] = {}
        self._detached: set[asyncio.Task[Outcome]] = set()
        self._answered = 0
        self.stopping = False

    @property
    def detached(self) -> int:
        """Return how many exchanges go on whose callers have left."""
        return len(self._detached)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a caller's request."""
        began = self._parts.timers.now()
        table = self._parts.tables.current
        if self.stopping:
            return self._refusal(request, Refused(Cause.STOPPING, "this instance is stopping"))
        if table is None:
            return self._refusal(request, Refused(Cause.NO_CONFIGURATION, "none yet"))
        try:
            head = self._parts.header_codec.decode_caller_headers(request.headers)
        except BadHeadError as error:
            return self._own(request, HTTPStatus.BAD_REQUEST, Cause.BAD_HEAD, str(error))
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = table.match(request.host, path)
        if route is None:
            detail = f"version {table.version}"
            return self._own(request, HTTPStatus.NOT_FOUND, Cause.NO_ROUTE, detail)
        if table.version != self._split_version:
            self._split.reset()
            self._split_version = table.version
        service = self._split.choose(route)
        spec = table.services.get(service)
        work = Work(
            request=request,
            head=head,
            route=route,
            service=service,
            deadline=request.arrived + min(head.timeout_s or route.timeout_s, route.timeout_s),
            sharded=spec is not None and spec.sharded and head.key is not None,
            version=table.version,
        )
        if work.sharded and head.key is not None:
            # Demand is counted on arrival: requests for a busy key wait and may never be sent.
            self._parts.reports.note_key(service, head.key)
        outcome = await self._attempts(work)
        return self._finish(work, outcome, began)

    async def _attempts(self, work: Work) -> Outcome:
        """Return the answer, or why there is none; an attempt that may have run decides."""
        doubt: MayHaveRun | None = None
        last: Outcome = Refused(Cause.NO_SERVER, "no server of the service is known")
        while work.sends < work.route.max_attempts:
            if self._left(work) <= 0:
                last = Refused(Cause.DEADLINE, "the time for this request is over")
                break
            if self._parts.crashes.refuses(work.request):
                last = Refused(Cause.QUARANTINED, "it has crashed each server that ran it")
                break
            if work.sends and not self._budget(work.service).take(self._parts.timers.now()):
                break
            outcome = await self._attempt(work)
            if isinstance(outcome, Answered):
                return outcome
            last = outcome
            if isinstance(outcome, MayHaveRun):
                doubt = outcome
                if not work.route.idempotent or outcome.cause is Cause.DEADLINE:
                    break
            elif not self._may_try_again(outcome):
                break
        return doubt or last

    def _may_try_again(self, refused: Refused) -> bool:
        return refused.cause in (Cause.SERVER_REFUSED, Cause.SERVER_UNREACHABLE, Cause.MOVED)

    async def _attempt(self, work: Work) -> Outcome:
        entered = await self._places.find(work)
        if isinstance(entered, Refused):
            return entered
        task = asyncio.get_running_loop().create_task(self._send(work, entered))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_abandon_stream)
            if work.route.idempotent:
                task.cancel()
            else:
                # The work must not be lost to a caller that has already paid for it.
                self._detached.add(task)
                task.add_done_callback(self._detached.discard)
            raise

    async def _send(self, work: Work, entered: Entered) -> Outcome:
        """Send a request and give the place back with what the exchange taught."""
        done = Done()
        stream: BodyStream | None = None
        try:
            outcome, done = await self._exchange(work, entered.server)
            stream = _stream_of(outcome)
            return outcome
        finally:
            if stream is None:
                self._parts.queues.give_back(entered.place, done)
            else:
                self._follow(work, entered, stream, done)

    def _follow(self, work: Work, entered: Entered, stream: BodyStream, done: Done) -> None:
        """End a stream in time, and give its place back when the server has sent it all."""
        left_s = work.deadline + ANSWER_GRACE_S - self._parts.timers.now()
        expiry = self._parts.timers.call_later(left_s, stream.expire)

        def end(ended: asyncio.Future[StreamEnd]) -> None:
            expiry.cancel()
            result = ended.result()
            self._parts.metrics.count("gateway_streams", result.value)
            failed = result is StreamEnd.BROKEN
            if failed:
                self._note_failure(entered.server, "an answer was cut off", certain=False)
            if result is not StreamEnd.WHOLE:
                self._log(Event.ANSWER_CUT, work, cause=result.value)
            given = evolve(done, failure=Failure.UNCERTAIN) if failed else done
            self._parts.queues.give_back(entered.place, given)

        stream.ended.add_done_callback(end)

    async def _exchange(self, work: Work, server: ServerRecord) -> tuple[Outcome, Done]:
        began = self._parts.timers.now()
        left_s = work.deadline - began
        if left_s <= 0:
            return Refused(Cause.DEADLINE, "the time for this request is over"), Done()
        work.tried.add(server.server)
        work.server = server.server
        try:
            async with asyncio.timeout(left_s + ANSWER_GRACE_S):
                answer = await self._parts.pool.exchange(server, self._message(work, server))
        except NotSentError as error:
            self._note_failure(server, str(error), certain=True)
            refused = Refused(Cause.SERVER_UNREACHABLE, str(error))
            return refused, Done(failure=Failure.CERTAIN)
        except ExchangeBrokenError as error:
            self._count_send(work)
            work.refused = False
            self._note_failure(server, str(error), certain=False)
            self._parts.crashes.note_lost(work.request, server.incarnation)
            return MayHaveRun(Cause.BROKEN, str(error)), Done(failure=Failure.UNCERTAIN)
        except TimeoutError:
            self._count_send(work)
            self._note_failure(server, "no answer in time", certain=False)
            self._parts.crashes.note_lost(work.request, server.incarnation)
            # The server needs at least so long.
            sample_s = self._parts.timers.now() - began
            self._parts.reports.note_time(server.incarnation, sample_s)
            doubt = MayHaveRun(Cause.DEADLINE, "the server did not answer in time")
            return doubt, Done(sample_s, failure=Failure.UNCERTAIN)
        self._count_send(work)
        outcome, done = self._judge(work, server, answer, began)
        if answer.stream is not None and not isinstance(outcome, Answered):
            answer.stream.abandon()
        return outcome, done

    def _count_send(self, work: Work) -> None:
        work.sends += 1
        if work.sends == 1:
            self._budget(work.service).note_send(self._parts.timers.now())

    def _judge(
        self, work: Work, server: ServerRecord, answer: ServerAnswer, began: float
    ) -> tuple[Outcome, Done]:
        head = self._parts.header_codec.decode_answer_headers(answer)
        for name in head.ignored:
            self._parts.metrics.count("server_headers_ignored", name)
        if head.misdirected and head.answered_by not in (None, server.server):
            self._parts.health.note_replaced(server.incarnation)
            self._parts.pool.abort_idle(server)
            emit(Event.SERVER_SUSPECTED, server=server.server, detail=f"is {head.answered_by} now")
        else:
            self._parts.health.note_success(server.incarnation)
            self._note_wishes(server, head)
        work.refused = head.not_run
        if head.not_run:
            detail = f"status {answer.status} from {server.server}"
            refused = Refused(Cause.SERVER_REFUSED, detail)
            return refused, Done(load=head.load, back_off_s=head.back_off_s)
        sample_s = None
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            elapsed_s = self._parts.timers.now() - began
            sample_s = service_sample_s(elapsed_s, head.load, server.slots)
            self._parts.reports.note_time(server.incarnation, sample_s)
        done = Done(sample_s, head.load, back_off_s=head.back_off_s)
        fault = _answer_fault(work, answer, head)
        if fault:
            return MayHaveRun(Cause.BAD_ANSWER, fault), done
        self._parts.crashes.note_success(work.request)
        return Answered(answer), done

    def _note_wishes(self, server: ServerRecord, head: AnswerHead) -> None:
        """Note that a server leaves, or wants nothing from this instance for a while."""
        if head.leaving and self._parts.directory.mark_leaving(server.incarnation):
            self._parts.reports.note_leaving(server.incarnation)
        if head.back_off_s:
            self._parts.health.note_back_off(server.incarnation, head.back_off_s)
            emit(Event.SERVER_BACKED_OFF, server=server.server, seconds=head.back_off_s)

    def _message(self, work: Work, server: ServerRecord) -> ServerRequest:
        left_s = work.deadline - self._parts.timers.now()
        headers = self._parts.header_codec.server_headers(
            work.request.headers, work.head, server.server, left_s
        )
        return ServerRequest(
            method=work.request.method,
            target=work.request.target,
            headers=headers,
            body=work.request.body,
            request_id=work.head.request_id,
        )

    def _note_failure(self, server: ServerRecord, detail: str, certain: bool) -> None:
        self._parts.pool.abort_idle(server)
        if self._parts.health.note_failure(server.incarnation, certain):
            emit(Event.SERVER_SUSPECTED, server=server.server, detail=detail)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._parts.new_budget()
        return budget

    def _left(self, work: Work) -> float:
        return work.deadline - self._parts.timers.now()

    def _finish(self, work: Work, outcome: Outcome, began: float) -> CallerAnswer:
        now = self._parts.timers.now()
        self._parts.metrics.observe("gateway_request", work.service, now - began)
        self._parts.metrics.observe("gateway_wait", work.service, work.waited_s)
        if isinstance(outcome, Answered):
            self._parts.metrics.count("gateway_requests", "answered")
            self._answered += 1
            if self._answered % ANSWERED_LOG_INTERVAL == 1:
                self._log(Event.REQUEST_ANSWERED, work, status=outcome.answer.status)
            answer = outcome.answer
            return CallerAnswer(
                status=answer.status,
                headers=end_to_end_headers(answer.headers),
                body=answer.body,
                stream=answer.stream,
            )
        self._parts.metrics.count("gateway_requests", outcome.cause.value)
        if isinstance(outcome, Refused):
            timeout_s = work.head.timeout_s or work.route.timeout_s
            left_s = max(0.0, work.request.arrived + timeout_s - now)
            capped = evolve(
                outcome, retry_after_s=min(outcome.retry_after_s, left_s * RETRY_AFTER_SHARE)
            )
            self._log(Event.REQUEST_REFUSED, work, cause=outcome.cause.value, detail=outcome.detail)
            return self._refuse(capped)
        self._log(Event.REQUEST_UNKNOWN, work, cause=outcome.cause.value, detail=outcome.detail)
        late = outcome.cause is Cause.DEADLINE
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        return CallerAnswer(status=int(status))

    def _refuse(self, refused: Refused) -> CallerAnswer:
        return CallerAnswer(
            status=int(HTTPStatus.SERVICE_UNAVAILABLE),
            headers=self._parts.header_codec.retry_after(refused.retry_after_s),
        )

    def _refusal(self, request: CallerRequest, refused: Refused) -> CallerAnswer:
        self._parts.metrics.count("gateway_requests", refused.cause.value)
        emit(Event.REQUEST_REFUSED, target=request.target[:100], cause=refused.cause.value)
        return self._refuse(refused)

    def _own(
        self, request: CallerRequest, status: HTTPStatus, cause: Cause, detail: str
    ) -> CallerAnswer:
        self._parts.metrics.count("gateway_requests", cause.value)
        emit(
            Event.REQUEST_REFUSED,
            target=request.target[:100],
            cause=cause.value,
            status=int(status),
            detail=detail,
        )
        return CallerAnswer(status=int(status))

    def _log(self, event: Event, work: Work, **more: object) -> None:
        now = self._parts.timers.now()
        emit(
            event,
            request=work.head.request_id.decode("latin-1"),
            route=work.route.name,
            service=work.service,
            key=work.head.key,
            server=work.server,
            sends=work.sends,
            configuration=work.version,
            plan=work.plan_version,
            keeper=work.keeper,
            waited_ms=round(work.waited_s * MS_PER_S, 1),
            elapsed_ms=round((now - work.request.arrived) * MS_PER_S, 1),
            left_ms=round((work.deadline - now) * MS_PER_S, 1),
            **more,
        )


def _stream_of(outcome: Outcome) -> BodyStream | None:
    return outcome.answer.stream if isinstance(outcome, Answered) else None


def _abandon_stream(task: asyncio.Task[Outcome]) -> None:
    """End the stream of an answer that no caller waits for any more."""
    if task.cancelled() or task.exception() is not None:
        return
    stream = _stream_of(task.result())
    if stream is not None:
        stream.abandon()


def _answer_fault(work: Work, answer: ServerAnswer, head: AnswerHead) -> str:
    if head.request_id != work.head.request_id:
        return "the answer bears no id or another request's"
    if head.encoded:
        return "the answer is encoded, which no caller asked for"
    if answer.status < HTTPStatus.MULTIPLE_CHOICES and not head.signed:
        return "a success without the server's signature"
    return ""
