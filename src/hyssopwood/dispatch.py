"""Request path of one caller request: route, permit, send, retry."""

from __future__ import annotations

import asyncio
import itertools
import random
import secrets
from collections.abc import AsyncIterator, Mapping
from typing import Protocol

import xxhash
from attrs import define, frozen

from hyssopwood.connection_pool import BackendServer, ServerRequest
from hyssopwood.durations import Durations
from hyssopwood.errors import HyssopwoodError
from hyssopwood.events import Event, emit
from hyssopwood.messages import PermitCancel, PermitReply, PermitRequest, PermitReturn
from hyssopwood.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from hyssopwood.timers import Timers
from hyssopwood.wait_limits import WaitExpiredError, WaitLimit, WaitLimits

RETRY_RATIO = 0.1
# Allows the first retries of an idle instance; the ratio bounds them under load.
RETRY_BURST = 10.0
RETRY_JITTER_S = 0.02
# A moved key is to be served again within 1 s; waiting much longer for an owner is pointless.
OWNER_WAIT_S = 1.5
MAX_WAITING = 512
# First interval after which the same owner is tried again; it doubles each time.
RECHECK_S = 0.05
# Without a bound an entry slept past the return of its owner by 0.7 s in a fault run.
MAX_RECHECK_S = 0.2
MAX_ATTEMPTS = 20
ID_BYTES = 5
SHEDDING_STATUS = 503
STORED_BODY_BYTES = 16_384
REFUSAL_RETRY_S = 0.1
LATE_FACTOR = 4.0
# Reasons that end when another server or coordinator takes over.
_MOVING = frozenset(
    {
        Reason.MOVED,
        Reason.NO_OWNER,
        Reason.NO_AUTHORITY,
        Reason.COORDINATOR_UNREACHABLE,
        Reason.SERVER_UNREACHABLE,
    }
)
# A stored key says that the request may have run already.
_MAY_HAVE_RUN = frozenset({Reason.IN_PROGRESS, Reason.ALREADY_RUN, Reason.RECORD_LOST})


@frozen
class CallerRequest:
    """Hold one whole request of a caller; `deadline` is absolute timer time."""

    service: str
    customer: str
    operation: str
    repeatable: bool
    key: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline: float
    idempotency_key: str = ""


@frozen
class Route:
    """Say which server owns a key and which incarnation coordinates it."""

    partition: str
    server: str
    address: str
    connections: int
    coordinator: str


class RouterView(Protocol):
    """View of the state in force that routing needs."""

    @property
    def version(self) -> int:
        """Return a number that grows with each change of the view."""
        ...

    def route(self, service: str, key: str) -> Route | None:
        """Return the owner of a key, None while it has none."""
        ...

    async def wait_changed(self, version: int) -> None:
        """Return when the view is newer than `version`."""
        ...


class PermitClient(Protocol):
    """Way to the coordinators of backend servers."""

    async def request(self, permit: PermitRequest, coordinator: str) -> PermitReply:
        """Return the reply; raise PeerUnavailableError or ProtocolError without one."""
        ...

    def give_back(self, permit: PermitReturn, coordinator: str) -> None:
        """Return a permit without waiting."""
        ...

    def cancel(self, cancel: PermitCancel, coordinator: str) -> None:
        """Withdraw a request that may still be queued, without waiting."""
        ...


class Sender(Protocol):
    """Way to the backend servers."""

    async def send(self, request: ServerRequest) -> Outcome:
        """Send one attempt."""
        ...


class RetryBudget:
    """Token bucket that bounds retries to a share of the requests."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def note_request(self) -> None:
        """Earn a share of one retry."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; return False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def pack_answer(content_type: str, body: bytes) -> bytes:
    """Return the stored form of a small answer; never empty, as empty means lost."""
    return content_type.encode("latin-1", "replace") + b"\n" + body


def unpack_answer(stored: bytes) -> tuple[str, bytes]:
    """Return the content type and body of a stored answer."""
    content_type, _, body = stored.partition(b"\n")
    return content_type.decode("latin-1"), body


async def _single(body: bytes) -> AsyncIterator[bytes]:
    if body:
        yield body


def digest_of(request: CallerRequest) -> int:
    """Return the digest that identifies equal requests on all instances."""
    digest = xxhash.xxh64()
    for part in (request.service, request.operation, request.key, request.method, request.path):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.intdigest()


@define(eq=False)
class _Attempt:
    """One permit and the route it was given for."""

    route: Route
    permit: PermitReply
    request_id: str
    first_byte_by: float
    returned: bool = False


@define(eq=False)
class _RecheckSchedule:
    """Bound how long one request waits for an owner."""

    until: float
    rechecks: int = 0

    def next_recheck_s(self, rng: random.Random) -> float:
        """Return the wait before the same owner is tried again."""
        wait = min(MAX_RECHECK_S, RECHECK_S * 2**self.rechecks) * rng.uniform(0.5, 1.5)
        self.rechecks += 1
        return wait


class _ReturningBody:
    """Pass an answer's body on and return its permit at the end."""

    def __init__(
        self, dispatcher: Dispatcher, attempt: _Attempt, request: CallerRequest, answer: Answered
    ) -> None:
        self._dispatcher = dispatcher
        self._attempt = attempt
        self._request = request
        self._answer = answer
        self._iterator = aiter(answer.body)
        self._stored: bytearray | None = bytearray() if request.idempotency_key else None
        on_whole = getattr(answer.body, "on_whole", None)
        if on_whole is not None and self._stored is None:
            # The server is done when its last byte is here, however slowly the caller reads.
            on_whole(lambda: self._finish(whole=True))

    def __aiter__(self) -> _ReturningBody:
        return self

    async def __anext__(self) -> bytes:
        try:
            chunk = await anext(self._iterator)
        except StopAsyncIteration:
            self._finish(whole=True)
            raise
        except BaseException:
            self._finish(whole=False)
            raise
        self._keep(chunk)
        return chunk

    async def aclose(self) -> None:
        """Give up the rest of the body."""
        close = getattr(self._iterator, "aclose", None)
        if close is not None:
            await close()
        self._finish(whole=False)

    def _keep(self, chunk: bytes) -> None:
        if self._stored is None:
            return
        if len(self._stored) + len(chunk) > STORED_BODY_BYTES:
            self._stored = None
            return
        self._stored += chunk

    def _finish(self, whole: bool) -> None:
        stored = b""
        if whole and self._stored is not None:
            content_type = self._answer.headers.get("Content-Type", "")
            stored = pack_answer(content_type, bytes(self._stored))
        self._dispatcher.finish(self._attempt, self._request, self._answer.status, stored, whole)


class Dispatcher:
    """Carry each caller request to the owner of its key."""

    def __init__(
        self,
        router: RouterView,
        permits: PermitClient,
        backend: Sender,
        timers: Timers,
        incarnation: str,
        *,
        durations: Durations | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._router = router
        self._permits = permits
        self._backend = backend
        self._timers = timers
        # Ids of an earlier process of the same instance must never be used again: coordinators
        # take an equal id for a further attempt of the same request.
        self._id_prefix = f"{incarnation}.{secrets.token_hex(ID_BYTES)}"
        self._durations = durations or Durations(timers)
        self._rng = rng or random.Random()
        self._budget = RetryBudget()
        self._wait_limits = WaitLimits(timers)
        self._asking: dict[WaitLimit, tuple[CallerRequest, Route]] = {}
        self._follower: asyncio.Task[None] | None = None
        self._sequence = itertools.count(1)
        self._waiting = 0
        self._began: dict[int, float] = {}

    def now(self) -> float:
        """Return the timers' time."""
        return self._timers.now()

    async def handle(self, request: CallerRequest) -> Outcome:
        """Return the final outcome of a request."""
        doubts: list[Unknown] = []
        outcome = await self._attempts(request, doubts)
        if isinstance(outcome, NotRun) and doubts:
            # A refused repeat proves nothing about the attempt before it.
            return Unknown(doubts[0].reason, outcome.detail, outcome.retry_after_s)
        return outcome

    async def _attempts(self, request: CallerRequest, doubts: list[Unknown]) -> Outcome:
        """Return the last attempt's outcome; add each attempt that may have run to `doubts`."""
        self._budget.note_request()
        base = f"{self._id_prefix}.{next(self._sequence)}"
        digest = digest_of(request)
        schedule = _RecheckSchedule(min(request.deadline, self._timers.now() + OWNER_WAIT_S))
        for number in range(MAX_ATTEMPTS):
            route = self._router.route(request.service, request.key)
            outcome = await self._attempt(request, route, f"{base}#{number}", digest)
            if isinstance(outcome, Answered) or self._timers.now() >= request.deadline:
                return outcome
            if isinstance(outcome, Unknown):
                doubts.append(outcome)
                again = await self._may_repeat(request, outcome)
            else:
                again = outcome.reason in _MOVING and await self._moved(request, route, schedule)
            if not again:
                return outcome
        return outcome

    async def _attempt(
        self, request: CallerRequest, route: Route | None, request_id: str, digest: int
    ) -> Outcome:
        if route is None:
            return NotRun(Reason.NO_OWNER, "the key has no owner now", REFUSAL_RETRY_S)
        reply = await self._ask(request, route, request_id, digest)
        if not isinstance(reply, _Attempt):
            return reply
        return await self._send(request, reply)

    async def _ask(
        self, request: CallerRequest, route: Route, request_id: str, digest: int
    ) -> _Attempt | Outcome:
        asked = self._timers.now()
        left_ms = int((request.deadline - asked) * 1000)
        if left_ms <= 0:
            return NotRun(Reason.DEADLINE_EXCEEDED, "the deadline has passed")
        permit = PermitRequest(
            request_id,
            route.server,
            request.service,
            request.operation,
            request.key,
            left_ms,
            digest,
            request.idempotency_key,
            request.customer,
        )
        try:
            reply = await self._request_permit(request, route, permit)
        except WaitExpiredError:
            self._permits.cancel(PermitCancel(request_id), route.coordinator)
            if self._timers.now() < request.deadline:
                return NotRun(Reason.MOVED, "the key moved while its request was queued")
            return NotRun(Reason.DEADLINE_EXCEEDED, "no slot was free in time", REFUSAL_RETRY_S)
        except HyssopwoodError as error:
            self._permits.cancel(PermitCancel(request_id), route.coordinator)
            return NotRun(Reason.COORDINATOR_UNREACHABLE, str(error), REFUSAL_RETRY_S)
        except asyncio.CancelledError:
            self._permits.cancel(PermitCancel(request_id), route.coordinator)
            raise
        if not reply.granted:
            return _refusal(reply)
        # Counted from sending the request, as the coordinator can't know when it arrived.
        return _Attempt(route, reply, request_id, asked + reply.valid_ms / 1000)

    async def _request_permit(
        self, request: CallerRequest, route: Route, permit: PermitRequest
    ) -> PermitReply:
        if self._follower is None or self._follower.done():
            self._follower = asyncio.get_running_loop().create_task(self._follow_routes())
        with self._wait_limits.limit(request.deadline) as limit:
            self._asking[limit] = (request, route)
            try:
                return await self._permits.request(permit, route.coordinator)
            finally:
                del self._asking[limit]

    async def _follow_routes(self) -> None:
        """End waits for coordinators that were replaced; a silent one would hold them."""
        while True:
            await self._router.wait_changed(self._router.version)
            for limit, (request, route) in list(self._asking.items()):
                if self._router.route(request.service, request.key) != route:
                    limit.expire()

    async def _send(self, request: CallerRequest, attempt: _Attempt) -> Outcome:
        self._began[attempt.permit.permit_id] = self._timers.now()
        try:
            outcome = await self._backend.send(self._server_request(request, attempt))
        except BaseException:
            self._give_back(attempt, "unknown", 0, b"")
            raise
        if isinstance(outcome, Answered):
            body = _ReturningBody(self, attempt, request, outcome)
            return Answered(outcome.status, outcome.headers, body)
        refused = outcome.reason is Reason.SERVER_REFUSED
        kind = "not-run" if isinstance(outcome, NotRun) else "unknown"
        # The coordinator sees from the status that the server sheds load.
        self._give_back(attempt, kind, SHEDDING_STATUS if refused else 0, b"")
        return outcome

    def _server_request(self, request: CallerRequest, attempt: _Attempt) -> ServerRequest:
        route, permit = attempt.route, attempt.permit
        high = self._durations.high(request.service, request.operation)
        return ServerRequest(
            server=BackendServer(route.server, route.address, route.connections),
            request_id=attempt.request_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            key=request.key,
            operation=request.operation,
            partition=permit.partition or route.partition,
            token=permit.token,
            epoch=permit.epoch,
            repeatable=request.repeatable,
            deadline=request.deadline,
            first_byte_by=attempt.first_byte_by,
            late_after_s=high * LATE_FACTOR,
        )

    def finish(
        self, attempt: _Attempt, request: CallerRequest, status: int, stored: bytes, whole: bool
    ) -> None:
        """Return the permit of an answer whose body has ended."""
        if attempt.returned:
            return
        if whole:
            began = self._began.get(attempt.permit.permit_id, self._timers.now())
            self._durations.record(request.service, request.operation, self._timers.now() - began)
        self._give_back(attempt, "answered" if whole else "unknown", status, stored)

    def _give_back(self, attempt: _Attempt, outcome: str, status: int, body: bytes) -> None:
        if attempt.returned:
            return
        attempt.returned = True
        permit_id = attempt.permit.permit_id
        began = self._began.pop(permit_id, self._timers.now())
        duration_ms = (self._timers.now() - began) * 1000
        self._permits.give_back(
            PermitReturn(permit_id, outcome, duration_ms, status, body),
            attempt.route.coordinator,
        )

    async def _may_repeat(self, request: CallerRequest, outcome: Unknown) -> bool:
        repeatable = request.repeatable and outcome.reason not in _MAY_HAVE_RUN
        if not repeatable or not self._budget.take():
            emit(Event.REQUEST_UNKNOWN, reason=outcome.reason.value, detail=outcome.detail)
            return False
        await self._timers.sleep(self._rng.uniform(0.0, RETRY_JITTER_S))
        return self._timers.now() < request.deadline

    async def _moved(
        self, request: CallerRequest, tried: Route | None, schedule: _RecheckSchedule
    ) -> bool:
        """Wait for another owner; return whether another attempt makes sense."""
        if self._waiting >= MAX_WAITING:
            return False
        self._waiting += 1
        try:
            with self._wait_limits.limit(schedule.until):
                return await self._wait_for_owner(request, tried, schedule)
        except WaitExpiredError:
            return False
        finally:
            self._waiting -= 1

    async def _wait_for_owner(
        self, request: CallerRequest, tried: Route | None, schedule: _RecheckSchedule
    ) -> bool:
        recheck = self._sleep_once(schedule.next_recheck_s(self._rng))
        try:
            while True:
                version = self._router.version
                if self._router.route(request.service, request.key) != tried:
                    return True
                # The same owner is only tried again within the budget for retries.
                if recheck.done() and tried is not None and self._budget.take():
                    return True
                await self._wait_changed(version, recheck)
        finally:
            recheck.cancel()

    async def _wait_changed(self, version: int, recheck: asyncio.Future[None]) -> None:
        changed = asyncio.ensure_future(self._router.wait_changed(version))
        waits = {changed} if recheck.done() else {changed, recheck}
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()

    def _sleep_once(self, seconds: float) -> asyncio.Future[None]:
        return asyncio.ensure_future(self._timers.sleep(seconds))


def _refusal(reply: PermitReply) -> Outcome:
    if reply.stored_status:
        content_type, body = unpack_answer(reply.stored_body)
        headers = {"Content-Type": content_type, "Content-Length": str(len(body))}
        return Answered(reply.stored_status, headers, _single(body))
    try:
        reason = Reason(reply.reason)
    except ValueError:
        reason = Reason.COORDINATOR_UNREACHABLE
    retry_after_s = reply.retry_after_ms / 1000 if reply.retry_after_ms else None
    kind = Unknown if reason in _MAY_HAVE_RUN else NotRun
    return kind(reason, reply.detail, retry_after_s)
