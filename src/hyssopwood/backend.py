"""Requests to backend servers over bounded connection pools."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from contextlib import suppress
from contextvars import ContextVar
from enum import Enum, auto
from typing import Any

import aiohttp
from aiohttp import hdrs
from aiohttp.client_reqrep import ClientRequest
from attrs import define, frozen
from multidict import CIMultiDict
from yarl import URL

from hyssopwood.errors import HyssopwoodError
from hyssopwood.events import Event, emit
from hyssopwood.outcomes import Answered, BodyCutError, NotRun, Outcome, Reason, Unknown
from hyssopwood.settings import Timing
from hyssopwood.timers import Timers

WATCH_INTERVAL_S = 0.02
# Backend servers close idle connections after a few seconds; ours must be gone before.
KEEPALIVE_S = 4.0
READ_BUFFER_BYTES = 65_536
MAX_LOAD_BYTES = 4_096
# One report of an idle server may be older than the request, two are not.
IDLE_PROBES = 2
MAX_CONTROL_TASKS = 256
MAX_REFUSAL_BYTES = 4_096
ABANDONED_S = 10.0
REFUSAL_RETRY_S = 0.1

REQUEST_ID = "Hyssopwood-Request-Id"
RUN = "Hyssopwood-Run"

# Headers that belong to one connection and are never passed on.
HOP_BY_HOP = frozenset(
    {
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SKIP_AUTO_HEADERS = frozenset({"User-Agent", "Accept", "Accept-Encoding", "Content-Type"})
# Set for each attempt, whatever the caller sent.
_REPLACED = (
    "Host",
    "Content-Length",
    "Expect",
    REQUEST_ID,
    RUN,
    "Hyssopwood-Partition",
    "Hyssopwood-Token",
    "Hyssopwood-Epoch",
    "Hyssopwood-Key",
    "Hyssopwood-Operation",
    "Hyssopwood-Deadline-Ms",
)
_BODILESS_STATUS = frozenset({204, 304})


@frozen
class BackendServer:
    """Name a backend server and bound its connections."""

    name: str
    address: str
    connections: int = 100


@frozen(kw_only=True)
class ServerRequest:
    """Hold one attempt; `deadline` and `first_byte_by` are absolute timer time."""

    server: BackendServer
    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    key: str
    operation: str
    partition: str
    token: int
    epoch: int
    repeatable: bool
    deadline: float
    first_byte_by: float
    late_after_s: float = 0.0


class NotSentError(HyssopwoodError):
    """Raised when an attempt ends before a byte of it left."""

    exit_code = 7

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class ResentError(HyssopwoodError):
    """Raised when the HTTP client tries to send one attempt twice."""

    exit_code = 7


class _End(Enum):
    """Why the watch ended an attempt."""

    DEADLINE = auto()
    SILENT = auto()
    CLOCK_JUMP = auto()
    CLOSED = auto()
    MOVED = auto()


@define(eq=False)
class _Attempt:
    """State of one attempt, shared by its task, the HTTP client and the watch."""

    request: ServerRequest
    pool: _Pool
    timers: Timers
    is_paused: Callable[[float], bool]
    late_at: float
    sent_at: float | None = None
    connection: Any = None
    response: aiohttp.ClientResponse | None = None
    ended: _End | None = None
    probing: bool = False
    idle_probes: int = 0

    @property
    def whole(self) -> bool:
        """Return whether the last byte of the answer is here."""
        return self.response is not None and self.response.content.is_eof()

    def note_sending(self, connection: Any) -> None:
        """Check that a byte may leave now, and remember that it does."""
        if self.sent_at is not None:
            # The request would run twice.
            raise ResentError(f"attempt {self.request.request_id} was to be sent twice")
        protocol = connection.protocol
        if protocol is None or protocol.transport is None or protocol.transport.is_closing():
            raise NotSentError(Reason.SERVER_UNREACHABLE, "the connection closed before sending")
        now = self.timers.now()
        if self.is_paused(now):
            raise NotSentError(Reason.SERVER_UNREACHABLE, "this process was paused")
        if self.ended is not None or now >= self.request.deadline:
            raise NotSentError(Reason.DEADLINE_EXCEEDED, "the deadline passed before sending")
        if now >= self.request.first_byte_by:
            raise NotSentError(Reason.MOVED, "the permit expired before sending")
        self.sent_at = now
        self.connection = connection

    def end(self, why: _End) -> None:
        """Break the connection; the task that reads from it sees the failure."""
        if self.ended is None:
            self.ended = why
        self.break_connection()

    def break_connection(self) -> None:
        if self.connection is None or self.connection.protocol is None:
            return
        transport = self.connection.protocol.transport
        if transport is not None:
            transport.abort()


_ATTEMPT: ContextVar[_Attempt | None] = ContextVar("attempt", default=None)


class _GatedRequest(ClientRequest):
    """HTTP request that asks its attempt before the first byte is written."""

    async def send(self, conn: Any) -> Any:
        attempt = _ATTEMPT.get()
        if attempt is not None:
            attempt.note_sending(conn)
        return await super().send(conn)


class _Pool:
    """Connections to one backend server."""

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self._base = f"http://{server.address}"
        self.in_use = 0
        self.retired = False
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=server.connections,
                keepalive_timeout=KEEPALIVE_S,
                use_dns_cache=False,
            ),
            request_class=_GatedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIP_AUTO_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            trust_env=False,
        )
        # Own retries go through routing and permits. _GatedRequest also refuses a resend,
        # so that a renamed attribute can't bring the client's own retry back.
        self._session._retry_connection = False

    def url(self, path: str) -> URL:
        # Joining would let a path such as //host/x leave for another host.
        return URL(f"{self._base}{path}", encoded=True)

    async def request(self, method: str, path: str, **options: Any) -> aiohttp.ClientResponse:
        return await self._session.request(method, self.url(path), allow_redirects=False, **options)

    async def release(self) -> None:
        self.in_use -= 1
        if self.retired and not self.in_use:
            await self._session.close()

    async def retire(self) -> None:
        """Use no idle connection again; attempts in flight keep theirs."""
        self.retired = True
        if not self.in_use:
            await self._session.close()

    async def close(self) -> None:
        self.retired = True
        await self._session.close()


class _AnswerBody:
    """Iterate over an answer's body; raise BodyCutError unless it is whole."""

    def __init__(
        self, client: BackendClient, attempt: _Attempt, response: aiohttp.ClientResponse
    ) -> None:
        self._client = client
        self._attempt = attempt
        self._response = response
        self._chunks = response.content.iter_any()
        self._ended = False

    def on_whole(self, callback: Callable[[], None]) -> None:
        """Call back when the last byte has arrived, read or not."""
        content = self._response.content
        if content.is_eof() and content.exception() is None:
            callback()
            return
        content.on_eof(callback)

    def __aiter__(self) -> _AnswerBody:
        return self

    async def __anext__(self) -> bytes:
        if self._ended:
            raise StopAsyncIteration
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            await self._end(whole=True)
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            await self._end(whole=False)
            emit(Event.ANSWER_CUT, server=self._attempt.request.server.name, error=str(error))
            raise BodyCutError("the backend server's answer is incomplete") from error
        except BaseException:
            await self._abandon()
            raise

    async def aclose(self) -> None:
        """Give up the rest of the body: the server is told and the connection closed."""
        if not self._ended:
            await self._abandon()

    async def _abandon(self) -> None:
        self._client.cancel_at_server(self._attempt)
        await self._end(whole=False)

    async def _end(self, whole: bool) -> None:
        if self._ended:
            return
        self._ended = True
        if not whole:
            self._response.close()
        await self._client.finish(self._attempt)


class BackendClient:
    """Send requests to backend servers; one per instance."""

    def __init__(self, timers: Timers, timing: Timing | None = None) -> None:
        self._timers = timers
        self._timing = timing or Timing()
        self._connect_s = self._timing.server_timeout_ms / 1000
        self._timeout = _connect_timeout(self._connect_s)
        self._pools: dict[str, _Pool] = {}
        self._old_pools: set[_Pool] = set()
        self._attempts: set[_Attempt] = set()
        self._control: set[asyncio.Task[None]] = set()
        self._watch_task: asyncio.Task[None] | None = None
        self._last_tick = timers.now()
        self._closed = False

    @property
    def in_flight(self) -> int:
        """Return the number of attempts whose answers have not ended."""
        return len(self._attempts)

    async def send(self, request: ServerRequest) -> Outcome:
        """Send one attempt and return its outcome with the body still to be read."""
        if self._closed:
            return NotRun(Reason.SHUTTING_DOWN, "this instance is stopping", REFUSAL_RETRY_S)
        if self._timers.now() >= request.deadline:
            return NotRun(Reason.DEADLINE_EXCEEDED, "the deadline has passed")
        self._start_watch()
        attempt = self._begin(request)
        try:
            response = await self._exchange(attempt)
            outcome = await self._judge(attempt, response)
        except NotSentError as error:
            outcome = NotRun(error.reason, error.detail, REFUSAL_RETRY_S)
        except (aiohttp.ClientError, OSError, ValueError, HyssopwoodError) as error:
            outcome = self._failed(attempt, error)
        except BaseException:
            self.cancel_at_server(attempt)
            attempt.break_connection()
            await self.finish(attempt)
            raise
        if not isinstance(outcome, Answered):
            await self.finish(attempt)
        return outcome

    def end_moved(self, owns: Callable[[str, str], bool]) -> None:
        """End attempts whose server lost the partition: its lease has lapsed, so has their work."""
        for attempt in list(self._attempts):
            request = attempt.request
            if attempt.sent_at is None or attempt.whole:
                continue
            if not owns(request.partition, request.server.name):
                attempt.end(_End.MOVED)

    async def retire_pool(self, server: str) -> None:
        """Open new connections to a server from now on."""
        pool = self._pools.pop(server, None)
        if pool is not None:
            if pool.in_use:
                self._old_pools.add(pool)
            await pool.retire()

    async def close_connections(self) -> None:
        """Break every connection, such as after this process was paused."""
        await self._break_all(_End.CLOCK_JUMP)

    async def close(self) -> None:
        """Break every connection and stop."""
        self._closed = True
        if self._watch_task is not None:
            self._watch_task.cancel()
        for task in list(self._control):
            task.cancel()
        await asyncio.gather(*self._control, return_exceptions=True)
        await self._break_all(_End.CLOSED)

    def cancel_at_server(self, attempt: _Attempt) -> None:
        """Tell the server to stop work that nobody waits for."""
        if attempt.sent_at is None or len(self._control) >= MAX_CONTROL_TASKS or self._closed:
            return
        self._spawn(self._post_cancel(attempt.request))

    async def finish(self, attempt: _Attempt) -> None:
        """Forget an attempt whose answer has ended."""
        if attempt not in self._attempts:
            return
        self._attempts.discard(attempt)
        pool = attempt.pool
        await pool.release()
        if not pool.in_use:
            self._old_pools.discard(pool)

    def _begin(self, request: ServerRequest) -> _Attempt:
        pool = self._pool_of(request.server)
        pool.in_use += 1
        late_s = max(request.late_after_s, self._timing.server_timeout_ms / 1000)
        attempt = _Attempt(
            request, pool, self._timers, self._is_paused, self._timers.now() + late_s
        )
        self._attempts.add(attempt)
        return attempt

    def _pool_of(self, server: BackendServer) -> _Pool:
        pool = self._pools.get(server.name)
        if pool is not None and pool.server == server:
            return pool
        if pool is not None:
            # The server has a new address or limit.
            self._old_pools.add(pool)
            self._spawn(pool.retire())
        pool = _Pool(server)
        self._pools[server.name] = pool
        return pool

    async def _exchange(self, attempt: _Attempt) -> aiohttp.ClientResponse:
        request = attempt.request
        token = _ATTEMPT.set(attempt)
        try:
            return await attempt.pool.request(
                request.method,
                request.path,
                headers=self._headers(request),
                data=request.body or None,
                timeout=self._connect_timeout(request),
            )
        finally:
            _ATTEMPT.reset(token)

    def _connect_timeout(self, request: ServerRequest) -> aiohttp.ClientTimeout:
        left_s = request.deadline - self._timers.now()
        if left_s >= self._connect_s:
            return self._timeout
        return _connect_timeout(max(0.001, left_s))

    def _headers(self, request: ServerRequest) -> CIMultiDict[str]:
        headers = end_to_end(request.headers)
        for name in _REPLACED:
            headers.popall(name, None)
        left_ms = max(1, int((request.deadline - self._timers.now()) * 1000))
        headers[REQUEST_ID] = request.request_id
        headers["Hyssopwood-Partition"] = request.partition
        headers["Hyssopwood-Token"] = str(request.token)
        headers["Hyssopwood-Epoch"] = str(request.epoch)
        headers["Hyssopwood-Key"] = request.key
        headers["Hyssopwood-Operation"] = request.operation
        headers["Hyssopwood-Deadline-Ms"] = str(left_ms)
        return headers

    async def _judge(self, attempt: _Attempt, response: aiohttp.ClientResponse) -> Outcome:
        attempt.response = response
        request = attempt.request
        echoed = response.headers.get(REQUEST_ID)
        if echoed != request.request_id:
            response.close()
            emit(Event.ANSWER_MISMATCHED, server=request.server.name, echoed=echoed)
            return Unknown(Reason.MISMATCHED_ANSWER, "the answer has another request id")
        if response.headers.get(RUN) == "not-run":
            return await _refused(response)
        if not _has_certain_end(request.method, response):
            response.close()
            emit(Event.BAD_ANSWER, server=request.server.name, fault="no length")
            return Unknown(Reason.CONNECTION_LOST, "the answer has no certain end")
        headers = end_to_end(response.headers)
        return Answered(response.status, headers, _AnswerBody(self, attempt, response))

    def _failed(self, attempt: _Attempt, error: Exception) -> NotRun | Unknown:
        name = attempt.request.server.name
        if isinstance(error, aiohttp.ClientResponseError):
            emit(Event.BAD_ANSWER, server=name, fault=type(error).__name__)
        if attempt.ended is _End.DEADLINE:
            reason, detail = Reason.DEADLINE_EXCEEDED, "the deadline has passed"
        elif attempt.ended is _End.MOVED:
            reason, detail = Reason.MOVED, f"{name} lost the key"
        elif attempt.sent_at is None:
            reason, detail = Reason.SERVER_UNREACHABLE, f"can't connect to {name}"
        else:
            reason, detail = Reason.CONNECTION_LOST, f"lost the connection to {name}"
        if attempt.sent_at is None:
            return NotRun(reason, f"{detail} ({type(error).__name__})", REFUSAL_RETRY_S)
        return Unknown(reason, f"{detail} ({type(error).__name__})")

    def _start_watch(self) -> None:
        if self._watch_task is None or self._watch_task.done():
            self._last_tick = self._timers.now()
            self._watch_task = asyncio.get_running_loop().create_task(self._watch())

    def _is_paused(self, now: float) -> bool:
        """Return whether the watch missed ticks, as it does when the process is paused."""
        return now - self._last_tick > self._timing.pause_detect_ms / 1000 + WATCH_INTERVAL_S

    async def _watch(self) -> None:
        """Enforce deadlines, probe silent connections and detect pauses."""
        async for now in self._timers.subscribe(WATCH_INTERVAL_S):
            paused_s, paused = now - self._last_tick, self._is_paused(now)
            self._last_tick = now
            if paused:
                emit(Event.CLOCK_JUMPED, seconds=round(paused_s, 3))
                await self._break_all(_End.CLOCK_JUMP)
            for attempt in list(self._attempts):
                self._check(attempt, now)

    def _check(self, attempt: _Attempt, now: float) -> None:
        overdue_s = now - attempt.request.deadline
        if overdue_s > ABANDONED_S and attempt.ended is not None:
            # Nobody reads this answer any more.
            self._spawn(self.finish(attempt))
        elif overdue_s >= 0:
            self._end_overdue(attempt)
        elif now >= attempt.late_at and attempt.response is None and not attempt.probing:
            attempt.probing = True
            attempt.late_at = now + self._timing.server_timeout_ms / 1000
            self._spawn(self._probe(attempt))

    def _end_overdue(self, attempt: _Attempt) -> None:
        if attempt.ended is None and not attempt.whole:
            self.cancel_at_server(attempt)
            attempt.end(_End.DEADLINE)

    async def _probe(self, attempt: _Attempt) -> None:
        """Ask the server over a new connection whether it runs anything."""
        try:
            running = await self._fetch_running(attempt.request.server)
        finally:
            attempt.probing = False
        if running is None or attempt.response is not None or attempt.sent_at is None:
            return
        server = attempt.request.server.name
        if self._pools.get(server) is attempt.pool:
            # New connections work, so the established ones aren't trusted any more.
            await self.retire_pool(server)
        attempt.idle_probes = attempt.idle_probes + 1 if running == 0 else 0
        if attempt.idle_probes >= IDLE_PROBES:
            emit(Event.CONNECTION_SILENT, server=server, request_id=attempt.request.request_id)
            attempt.end(_End.SILENT)

    async def _fetch_running(self, server: BackendServer) -> int | None:
        """Return the server's own count of running requests, None without an answer."""
        timeout = aiohttp.ClientTimeout(total=self._timing.server_timeout_ms / 1000)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{server.address}/hyssopwood/load") as response,
            ):
                report = json.loads(await response.content.read(MAX_LOAD_BYTES))
                return int(report["running"])
        except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError):
            return None

    async def _post_cancel(self, request: ServerRequest) -> None:
        timeout = aiohttp.ClientTimeout(total=self._timing.server_timeout_ms / 1000)
        url = f"http://{request.server.address}/hyssopwood/cancel"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json={"request_id": request.request_id}),
            ):
                return
        except (aiohttp.ClientError, OSError, ValueError):
            return

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._control.add(task)
        task.add_done_callback(self._control.discard)

    async def _break_all(self, why: _End) -> None:
        pools = [*self._pools.values(), *self._old_pools]
        self._pools.clear()
        self._old_pools.clear()
        for attempt in list(self._attempts):
            attempt.end(why)
        for pool in pools:
            await pool.close()


def _connect_timeout(seconds: float) -> aiohttp.ClientTimeout:
    # Only the connection; the watch enforces the deadline of the rest.
    return aiohttp.ClientTimeout(total=None, connect=seconds, sock_connect=seconds)


def end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that are passed on, repeated ones included."""
    kept = CIMultiDict(headers)
    for name in kept.popone("Connection", "").split(","):
        if name.strip():
            kept.popall(name.strip(), None)
    for name in HOP_BY_HOP:
        kept.popall(name, None)
    return kept


def _has_certain_end(method: str, response: aiohttp.ClientResponse) -> bool:
    if method == hdrs.METH_HEAD or response.status in _BODILESS_STATUS:
        return True
    headers = response.headers
    chunked = headers.get(hdrs.TRANSFER_ENCODING, "").lower() == "chunked"
    return chunked or hdrs.CONTENT_LENGTH in headers


async def _refused(response: aiohttp.ClientResponse) -> NotRun:
    retry_after_s = REFUSAL_RETRY_S
    with suppress(KeyError, ValueError):
        retry_after_s = max(retry_after_s, float(response.headers["Retry-After"]))
    await _skip_body(response)
    status = response.status
    if status == 409:
        return NotRun(Reason.MOVED, "the backend server refused the token", retry_after_s)
    return NotRun(Reason.SERVER_REFUSED, f"the backend server refused ({status})", retry_after_s)


async def _skip_body(response: aiohttp.ClientResponse) -> None:
    """Read a short body, which keeps the connection, or close a long one."""
    if (response.content_length or MAX_REFUSAL_BYTES + 1) > MAX_REFUSAL_BYTES:
        response.close()
        return
    with suppress(aiohttp.ClientError, OSError):
        await response.read()
