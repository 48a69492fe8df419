"""HTTP interface for callers."""

from __future__ import annotations

import itertools
import json
import math
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any, Protocol

from attrs import Factory, frozen
from multidict import CIMultiDict
from sanic import Sanic
from sanic.exceptions import (
    BadRequest,
    PayloadTooLarge,
    RequestCancelled,
    RequestTimeout,
    SanicException,
)
from sanic.http import Http, Stage
from sanic.request import Request
from sanic.response import HTTPResponse
from sanic.server import HttpProtocol

from hyssopwood.dispatch import CallerRequest
from hyssopwood.errors import HyssopwoodError
from hyssopwood.events import Event, emit
from hyssopwood.outcomes import Answered, BodyCutError, NotRun, Outcome, Reason, Unknown
from hyssopwood.settings import Limits
from hyssopwood.timers import Timers
from hyssopwood.wait_limits import WaitExpiredError, WaitLimits

_UNUSED_SIGNALS = "http.lifecycle."
_LINE_END = b"\r\n"
OWN_PREFIX = b"/hyssopwood/"
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
PROBLEM_TYPE = "application/problem+json"
MAX_KEY_BYTES = 512
MAX_CONNECTIONS = 8_192
MAX_IN_FLIGHT = 4_096
# Bodies are held until the owner has a free slot, so their sum is bounded.
MAX_BUFFERED_BYTES = 33_554_432
REQUEST_TIMEOUT_S = 10
KEEP_ALIVE_S = 75
# Deadlines end requests; this only stops a caller that reads nothing.
RESPONSE_TIMEOUT_S = 300
DEFAULT_RETRY_S = 1.0
DRAIN_POLL_S = 0.01
BACKLOG = 1_024

_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_SERVICE: 404,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.POISON: 429,
    Reason.IN_PROGRESS: 409,
    Reason.ALREADY_RUN: 409,
    Reason.CONNECTION_LOST: 502,
    Reason.MISMATCHED_ANSWER: 502,
}
_UNAVAILABLE = 503
_REQUEST_TIMEOUT = 408
# Repeating these unchanged is useless, so they carry no retry time.
_FINAL = frozenset({Reason.BAD_REQUEST, Reason.NO_SERVICE, Reason.ALREADY_RUN})
_UNSAFE_TEXT = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")


@frozen
class OperationRule:
    """Describe one operation of a service."""

    repeatable: bool
    work_class: str = "short"


@frozen(kw_only=True)
class ServiceRule:
    """Describe what the entry needs to know about a service."""

    name: str
    customer: str
    path_prefix: str
    operations: Mapping[str, OperationRule]
    key_header: str = "Hyssopwood-Key"
    deadline_ms: int = 2_000
    body_bytes: int = 1_048_576


class ServiceTable:
    """Find the service of a path by its longest prefix."""

    def __init__(self, rules: Sequence[ServiceRule]) -> None:
        self._rules = sorted(rules, key=lambda rule: len(rule.path_prefix), reverse=True)

    def match(self, path: str) -> ServiceRule | None:
        """Return the service that serves a path."""
        for rule in self._rules:
            if path.startswith(rule.path_prefix):
                return rule
        return None


@frozen
class Readiness:
    """Say whether callers may be sent here, and why not."""

    ready: bool
    reasons: tuple[str, ...] = ()


class Handler(Protocol):
    """Part that carries a request to its owner."""

    async def handle(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a request."""
        ...


class BadRequestError(HyssopwoodError):
    """Raised when a caller's request can't be used."""

    exit_code = 6

    def __init__(self, fault: str, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.fault = fault
        self.detail = detail
        self.status = status


class ListenError(HyssopwoodError):
    """Raised when the address for callers can't be used."""

    exit_code = 3


class _OverloadedError(HyssopwoodError):
    """Raised when this instance holds as many requests or bytes as it may."""


class _TruncatedError(SanicException):
    """Raised when a caller closes its side in the middle of a request."""

    status_code = 400
    quiet = True


class _Http(Http):
    """HTTP parser that checks the line end after each chunk, which sanic skips unread."""

    async def read(self) -> bytes | None:
        if self.request_body == "chunked" and not self.request_bytes_left:
            while len(self.recv_buffer) < len(_LINE_END):
                await self._receive_more()
            if self.recv_buffer[: len(_LINE_END)] != _LINE_END:
                self.keep_alive = False
                raise BadRequest("Bad chunked encoding")
        return await super().read()


class _Protocol(HttpProtocol):
    """Connection of a caller that answers truncated requests."""

    HTTP_CLASS = _Http
    __slots__ = ("_cut",)

    def connection_made(self, transport: Any) -> None:
        self._cut = False
        super().connection_made(transport)
        if len(self.connections) > self.app.ctx.max_connections:
            transport.abort()

    def eof_received(self) -> bool:
        """Keep the connection for a refusal when the request is incomplete."""
        if not self._reads_request():
            # Between requests this is a normal end; later the caller gave up.
            return False
        self._cut = True
        self._data_received.set()
        return True

    async def receive_more(self) -> None:
        if self._cut:
            raise _TruncatedError("the request ended early")
        await super().receive_more()
        if self._cut:
            raise _TruncatedError("the request ended early")

    def _reads_request(self) -> bool:
        http = self._http
        if http is None:
            return False
        if http.stage is Stage.IDLE:
            return False
        return http.stage is Stage.REQUEST or bool(http.request_body)


class _Application(Sanic):
    """Application that passes callers' requests on without router, middleware and signals.

    Five lifecycle signals a request cost a third of the entry's CPU time; none has a handler.
    """

    async def dispatch(self, event: str, **options: Any) -> Any:
        if event.startswith(_UNUSED_SIGNALS):
            return None
        return await super().dispatch(event, **options)

    async def handle_request(self, request: Request) -> None:
        if request.raw_url.startswith(OWN_PREFIX):
            await super().handle_request(request)
            return
        response = await self.ctx.serve(request)
        if response is not None:
            await request.stream.respond(response).send(end_stream=True)


@frozen(kw_only=True)
class EntryOptions:
    """Bounds of the caller interface."""

    limits: Limits = Factory(Limits)
    max_connections: int = MAX_CONNECTIONS
    max_in_flight: int = MAX_IN_FLIGHT
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    request_timeout_s: float = REQUEST_TIMEOUT_S
    keep_alive_s: float = KEEP_ALIVE_S


class Entry:
    """Serve callers on one address."""

    _names = itertools.count(1)

    def __init__(
        self,
        address: str,
        handler: Handler,
        services: Callable[[], ServiceTable],
        timers: Timers,
        *,
        readiness: Callable[[], Readiness],
        metrics: Callable[[], bytes],
        status: Callable[[], Mapping[str, Any]],
        observe: Callable[[str, str, float], None] | None = None,
        options: EntryOptions | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self._services = services
        self._timers = timers
        self._readiness = readiness
        self._metrics = metrics
        self._status = status
        self._observe = observe
        self._options = options or EntryOptions()
        self._wait_limits = WaitLimits(timers)
        self._in_flight = 0
        self._buffered = 0
        self._stopping = False
        self._app = self._build()
        self._server: Any = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return self._in_flight

    @property
    def port(self) -> int:
        """Return the port in use."""
        return int(self._server.server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Accept callers."""
        self._server = await self._app.create_server(
            sock=_bind(self._address),
            protocol=_Protocol,
            backlog=BACKLOG,
            access_log=False,
            return_asyncio_server=True,
        )
        await self._server.startup()
        await self._server.start_serving()

    async def stop(self, limit_s: float) -> bool:
        """Refuse new requests and wait for those in flight; return whether all ended."""
        self._stopping = True
        if self._server is None:
            return True
        self._server.server.close()
        until = self._timers.now() + limit_s
        while self._in_flight and self._timers.now() < until:
            self._close_idle()
            await self._timers.sleep(DRAIN_POLL_S)
        finished = not self._in_flight
        for connection in list(self._server.connections):
            connection.close()
        Sanic.unregister_app(self._app)
        return finished

    def _close_idle(self) -> None:
        for connection in list(self._server.connections):
            connection.close_if_idle()

    def _build(self) -> Sanic:
        app = _Application(f"hyssopwood-{next(self._names)}", configure_logging=False)
        app.ctx.serve = self._serve
        app.ctx.max_connections = self._options.max_connections
        config = app.config
        config.TOUCHUP = False
        config.ACCESS_LOG = False
        config.MOTD = False
        config.REQUEST_MAX_HEADER_SIZE = self._options.limits.head_bytes
        config.REQUEST_MAX_SIZE = self._options.limits.body_bytes
        config.REQUEST_TIMEOUT = self._options.request_timeout_s
        config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
        config.KEEP_ALIVE_TIMEOUT = self._options.keep_alive_s
        app.add_route(self._ready, "/hyssopwood/ready", name="ready")
        app.add_route(self._show_metrics, "/hyssopwood/metrics", name="metrics")
        app.add_route(self._show_status, "/hyssopwood/status", name="status")
        app.exception(Exception)(self._on_exception)
        return app

    async def _ready(self, request: Request) -> HTTPResponse:
        readiness = self._readiness()
        reasons = list(readiness.reasons)
        if self._stopping:
            reasons.append("stopping")
        ready = readiness.ready and not self._stopping
        return _json({"ready": ready, "reasons": reasons}, 200 if ready else _UNAVAILABLE)

    async def _show_metrics(self, request: Request) -> HTTPResponse:
        return HTTPResponse(self._metrics(), content_type="text/plain; version=0.0.4")

    async def _show_status(self, request: Request) -> HTTPResponse:
        return _json(dict(self._status()), 200)

    async def _serve(self, request: Request) -> HTTPResponse | None:
        began = self._timers.now()
        try:
            async with self._admit():
                return await self._route(request, began)
        except BadRequestError as error:
            if request.stream.request_body:
                # The rest of the body is dropped with the connection.
                request.stream.keep_alive = False
            if error.status == _REQUEST_TIMEOUT:
                request.stream.request_body = None
            emit(Event.BAD_REQUEST, fault=error.fault, detail=error.detail)
            return _problem(error.status, Reason.BAD_REQUEST, error.detail, fault=error.fault)
        except _OverloadedError as error:
            refusal = NotRun(Reason.QUEUE_FULL, str(error), DEFAULT_RETRY_S)
            return self._refuse(request, refusal, close=True)

    @asynccontextmanager
    async def _admit(self) -> AsyncIterator[None]:
        if self._in_flight >= self._options.max_in_flight:
            raise _OverloadedError("this instance has too many requests in flight")
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    async def _route(self, request: Request, began: float) -> HTTPResponse | None:
        if self._stopping:
            refusal = NotRun(Reason.SHUTTING_DOWN, "this instance is stopping", DEFAULT_RETRY_S)
            return self._refuse(request, refusal, close=True)
        _check_head(request)
        target = request.raw_url.decode("ascii")
        rule = self._services().match(target)
        if rule is None:
            return self._refuse(request, NotRun(Reason.NO_SERVICE, "no service has this path"))
        limit = min(rule.body_bytes, self._options.limits.body_bytes)
        async with self._buffer(request, limit) as body:
            caller_request = self._read(request, rule, target, body, began)
            outcome = await self._handler.handle(caller_request)
        if not isinstance(outcome, Answered):
            self._note(rule.name, outcome, began)
            return self._refuse(request, outcome)
        await self._stream(request, outcome)
        self._note(rule.name, outcome, began)
        return None

    @asynccontextmanager
    async def _buffer(self, request: Request, limit: int) -> AsyncIterator[bytes]:
        """Read the whole body, as a slot must not wait for a slow caller."""
        stream = request.stream
        chunks: list[bytes] = []
        size = 0
        try:
            declared = stream.request_bytes or 0
            if declared > limit:
                raise BadRequestError("oversize-body", f"the body exceeds {limit} bytes", 413)
            until = self._timers.now() + self._options.request_timeout_s
            while stream.request_body:
                chunk = await self._read_chunk(stream, until)
                size += len(chunk)
                self._buffered += len(chunk)
                chunks.append(chunk)
                if size > limit:
                    raise BadRequestError("oversize-body", f"the body exceeds {limit} bytes", 413)
                if self._buffered > self._options.max_buffered_bytes:
                    raise _OverloadedError("this instance holds too many bytes of bodies")
            yield chunks[0] if len(chunks) == 1 else b"".join(chunks)
        finally:
            self._buffered -= size

    async def _read_chunk(self, stream: _Http, until: float) -> bytes:
        try:
            with self._wait_limits.limit(until):
                return await stream.read() or b""
        except WaitExpiredError as error:
            raise BadRequestError("timeout", "the body is late", _REQUEST_TIMEOUT) from error

    def _read(
        self, request: Request, rule: ServiceRule, target: str, body: bytes, began: float
    ) -> CallerRequest:
        headers = request.headers
        key = _text(headers, rule.key_header, "no-key")
        operation = _text(headers, "Hyssopwood-Operation", "no-operation")
        known = rule.operations.get(operation)
        if known is None:
            raise BadRequestError("unknown-operation", f"{rule.name} has no such operation")
        return CallerRequest(
            service=rule.name,
            customer=rule.customer,
            operation=operation,
            repeatable=known.repeatable,
            key=key,
            method=request.method,
            path=target,
            headers=headers,
            body=body,
            deadline=began + _deadline_ms(headers, rule.deadline_ms) / 1000,
            idempotency_key=(
                _text(headers, "Idempotency-Key", "no-idempotency-key")
                if "Idempotency-Key" in headers
                else ""
            ),
        )

    async def _stream(self, request: Request, answer: Answered) -> None:
        headers = CIMultiDict(answer.headers)
        headers["Hyssopwood-Run"] = "run"
        if self._stopping:
            request.stream.keep_alive = False
        try:
            response = await request.respond(status=answer.status, headers=headers)
            left = int(headers.get("Content-Length", "-1"))
            async for chunk in answer.body:
                left -= len(chunk)
                # Ending with the last chunk saves a write.
                await response.send(chunk, end_stream=not left)
            if left:
                await response.eof()
        except BodyCutError:
            # A clean end would make an incomplete answer look whole.
            request.stream.protocol.abort()
        finally:
            close: Callable[[], Awaitable[None]] | None = getattr(answer.body, "aclose", None)
            if close is not None:
                await close()

    def _refuse(
        self, request: Request, outcome: NotRun | Unknown, close: bool = False
    ) -> HTTPResponse:
        emit(Event.REQUEST_REFUSED, reason=outcome.reason.value, detail=outcome.detail)
        if close or self._stopping:
            request.stream.keep_alive = False
        status = _STATUS.get(outcome.reason, _UNAVAILABLE)
        retry_s = None
        if outcome.reason not in _FINAL:
            retry_s = DEFAULT_RETRY_S if outcome.retry_after_s is None else outcome.retry_after_s
        return _problem(
            status,
            outcome.reason,
            outcome.detail,
            run="not-run" if isinstance(outcome, NotRun) else _unknown_run(outcome),
            retry_s=retry_s,
        )

    def _note(self, service: str, outcome: Outcome, began: float) -> None:
        if self._observe is not None:
            self._observe(service, type(outcome).__name__, self._timers.now() - began)

    async def _on_exception(self, request: Request, error: Exception) -> HTTPResponse:
        """Answer what sanic itself refuses; it has not been passed on."""
        if isinstance(error, RequestCancelled):
            raise error
        status = error.status_code if isinstance(error, SanicException) else 500
        request.stream.keep_alive = False
        if isinstance(error, (_TruncatedError, BadRequest)):
            # Nothing of this connection can be read any more.
            request.stream.request_body = None
        if status >= 500:
            emit(Event.TASK_FAILED, task="entry", error=repr(error))
            return _problem(status, Reason.CONNECTION_LOST, "internal failure", run="unknown")
        fault = _fault_of(error)
        status = 431 if fault == "oversize-head" else status
        emit(Event.BAD_REQUEST, fault=fault, detail=str(error))
        return _problem(status, Reason.BAD_REQUEST, str(error), fault=fault)


def _bind(address: str) -> socket.socket:
    # sanic listens on port 8000 when it is asked for any free port.
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise ListenError(f"can't listen on {address}: {error.strerror}") from error
    return listener


def _fault_of(error: Exception) -> str:
    if isinstance(error, _TruncatedError):
        return "truncated"
    if isinstance(error, PayloadTooLarge):
        return "oversize-head" if "header" in str(error) else "oversize-body"
    return "timeout" if isinstance(error, RequestTimeout) else "malformed"


def _unknown_run(outcome: Unknown) -> str:
    return "run" if outcome.reason is Reason.ALREADY_RUN else "unknown"


def _is_ambiguous(head: bytes, headers: Mapping[str, str]) -> bool:
    """Find forms that parsers read differently: bare CR, LF or NUL, folds, space before a colon."""
    ends = head.count(b"\r\n")
    if head.count(b"\n") != ends or head.count(b"\r") != ends or b"\0" in head:
        return True
    return any(not name or name[0] in " \t" or name[-1] in " \t" for name in headers)


def _check_head(request: Request) -> None:
    if _is_ambiguous(request.head, request.headers):
        request.stream.keep_alive = False
        raise BadRequestError("malformed-head", "the header lines are ambiguous")
    if request.version != "1.1":
        # An older caller can't tell a cut answer from a whole one.
        raise BadRequestError("http-version", f"HTTP/{request.version} is not supported", 505)
    if request.method not in METHODS:
        raise BadRequestError("method", f"{request.method} is not supported", 405)
    if not request.raw_url.startswith(b"/"):
        raise BadRequestError("malformed-target", "the target must be a path")


def _text(headers: Mapping[str, str], name: str, fault: str) -> str:
    value = headers.get(name, "").strip()
    if not value:
        raise BadRequestError(fault, f"the header {name} is missing")
    if len(value) > MAX_KEY_BYTES or _UNSAFE_TEXT.search(value):
        raise BadRequestError(fault, f"the header {name} is malformed")
    return value


def _deadline_ms(headers: Mapping[str, str], limit_ms: int) -> int:
    value = headers.get("Hyssopwood-Deadline-Ms")
    if value is None:
        return limit_ms
    if not value.isdecimal() or len(value) > 9 or int(value) == 0:
        raise BadRequestError("bad-deadline", "Hyssopwood-Deadline-Ms must be milliseconds")
    return min(int(value), limit_ms)


def _json(content: Mapping[str, Any], status: int) -> HTTPResponse:
    return HTTPResponse(json.dumps(content), status, content_type="application/json")


def _problem(
    status: int,
    reason: Reason,
    detail: str,
    run: str = "not-run",
    retry_s: float | None = None,
    fault: str | None = None,
) -> HTTPResponse:
    content: dict[str, Any] = {
        "type": f"urn:hyssopwood:{reason.value}",
        "title": reason.value,
        "status": status,
        "detail": detail,
    }
    headers = {"Hyssopwood-Run": run}
    if fault is not None:
        content["fault"] = fault
    if retry_s is not None:
        # Retry-After counts whole seconds; the body has the precise time.
        content["retry_after_ms"] = math.ceil(retry_s * 1000)
        headers["Retry-After"] = str(max(1, math.ceil(retry_s)))
    return HTTPResponse(json.dumps(content), status, headers, content_type=PROBLEM_TYPE)
