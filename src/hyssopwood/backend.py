"""Requests to backend servers over bounded connection pools."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import aiohttp
from aiohttp import hdrs
from multidict import CIMultiDict

from hyssopwood.bounded_http import BoundedConnector
from hyssopwood.connection_pool import (
    Attempt,
    BackendServer,
    ConnectionPool,
    End,
    NotSentError,
    ServerRequest,
)
from hyssopwood.errors import HyssopwoodError
from hyssopwood.events import Event, emit
from hyssopwood.outcomes import Answered, BodyCutError, NotRun, Outcome, Reason, Unknown
from hyssopwood.settings import Timing
from hyssopwood.timers import Timers

WATCH_INTERVAL_S = 0.02
MAX_LOAD_BYTES = 4_096
# One report of an idle server may be older than the request, two are not.
IDLE_PROBES = 2
MAX_CONTROL_TASKS = 256
MAX_REFUSAL_BYTES = 4_096
ABANDONED_S = 10.0
REFUSAL_RETRY_S = 0.1
MIN_CONNECT_S = 0.001

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


class _AnswerBody:
    """Iterate over an answer's body; raise BodyCutError unless it is whole."""

    def __init__(
        self, client: BackendClient, attempt: Attempt, response: aiohttp.ClientResponse
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
        self._pools: dict[str, ConnectionPool] = {}
        self._old_pools: set[ConnectionPool] = set()
        self._attempts: set[Attempt] = set()
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
                attempt.end(End.MOVED)

    async def retire_pool(self, server: str) -> None:
        """Open new connections to a server from now on."""
        pool = self._pools.pop(server, None)
        if pool is not None:
            if pool.in_use:
                self._old_pools.add(pool)
            await pool.retire()

    async def close_connections(self) -> None:
        """Break every connection, such as after this process was paused."""
        await self._break_all(End.CLOCK_JUMP)

    async def close(self) -> None:
        """Break every connection and stop."""
        self._closed = True
        if self._watch_task is not None:
            self._watch_task.cancel()
        for task in list(self._control):
            task.cancel()
        await asyncio.gather(*self._control, return_exceptions=True)
        await self._break_all(End.CLOSED)

    def cancel_at_server(self, attempt: Attempt) -> None:
        """Tell the server to stop work that nobody waits for."""
        if attempt.sent_at is None or len(self._control) >= MAX_CONTROL_TASKS or self._closed:
            return
        self._spawn(self._post_cancel(attempt.request))

    async def finish(self, attempt: Attempt) -> None:
        """Forget an attempt whose answer has ended."""
        if attempt not in self._attempts:
            return
        self._attempts.discard(attempt)
        pool = attempt.pool
        await pool.release()
        if not pool.in_use:
            self._old_pools.discard(pool)

    def _begin(self, request: ServerRequest) -> Attempt:
        pool = self._pool_of(request.server)
        pool.in_use += 1
        late_s = max(request.late_after_s, self._timing.server_timeout_ms / 1000)
        attempt = Attempt(request, pool, self._timers, self._is_paused, self._timers.now() + late_s)
        self._attempts.add(attempt)
        return attempt

    def _pool_of(self, server: BackendServer) -> ConnectionPool:
        pool = self._pools.get(server.name)
        if pool is not None and pool.server == server:
            return pool
        if pool is not None:
            # The server has a new address or limit.
            self._old_pools.add(pool)
            self._spawn(pool.retire())
        pool = ConnectionPool(server)
        self._pools[server.name] = pool
        return pool

    async def _exchange(self, attempt: Attempt) -> aiohttp.ClientResponse:
        request = attempt.request
        left_s = request.deadline - self._timers.now()
        connect_s = min(self._connect_s, max(MIN_CONNECT_S, left_s))
        return await attempt.pool.send(attempt, self._headers(request), connect_s)

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

    async def _judge(self, attempt: Attempt, response: aiohttp.ClientResponse) -> Outcome:
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

    def _failed(self, attempt: Attempt, error: Exception) -> NotRun | Unknown:
        name = attempt.request.server.name
        if isinstance(error, aiohttp.ClientResponseError):
            emit(Event.BAD_ANSWER, server=name, fault=type(error).__name__)
        if attempt.ended is End.DEADLINE:
            reason, detail = Reason.DEADLINE_EXCEEDED, "the deadline has passed"
        elif attempt.ended is End.MOVED:
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
        async for now in self._timers.ticks(WATCH_INTERVAL_S):
            paused_s, paused = now - self._last_tick, self._is_paused(now)
            self._last_tick = now
            if paused:
                emit(Event.CLOCK_JUMPED, seconds=round(paused_s, 3))
                await self._break_all(End.CLOCK_JUMP)
            for attempt in list(self._attempts):
                self._check(attempt, now)

    def _check(self, attempt: Attempt, now: float) -> None:
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

    def _end_overdue(self, attempt: Attempt) -> None:
        if attempt.ended is None and not attempt.whole:
            self.cancel_at_server(attempt)
            attempt.end(End.DEADLINE)

    async def _probe(self, attempt: Attempt) -> None:
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
            attempt.end(End.SILENT)

    async def _fetch_running(self, server: BackendServer) -> int | None:
        """Return the server's own count of running requests, None without an answer."""
        timeout = aiohttp.ClientTimeout(total=self._timing.server_timeout_ms / 1000)
        try:
            async with (
                aiohttp.ClientSession(connector=BoundedConnector(), timeout=timeout) as session,
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
                aiohttp.ClientSession(connector=BoundedConnector(), timeout=timeout) as session,
                session.post(url, json={"request_id": request.request_id}),
            ):
                return
        except (aiohttp.ClientError, OSError, ValueError):
            return

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._control.add(task)
        task.add_done_callback(self._control.discard)

    async def _break_all(self, why: End) -> None:
        pools = [*self._pools.values(), *self._old_pools]
        self._pools.clear()
        self._old_pools.clear()
        for attempt in list(self._attempts):
            attempt.end(why)
        for pool in pools:
            await pool.close()


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
