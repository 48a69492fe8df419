"""Bounded pools of connections to backend servers, and the attempts that use them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from enum import Enum, auto

from aiohttp import ClientRequest, ClientResponse, ClientTimeout, hdrs
from aiohttp.connector import Connection
from aiohttp.helpers import TimerNoop
from attrs import define, frozen
from multidict import CIMultiDict
from yarl import URL

from hyssopwood.bounded_http import BoundedConnector
from hyssopwood.errors import HyssopwoodError
from hyssopwood.outcomes import Reason
from hyssopwood.timers import Timers

# Backend servers close idle connections after a few seconds; ours must be gone before.
KEEPALIVE_S = 4.0
READ_BUFFER_BYTES = 65_536
_SKIP_AUTO_HEADERS = frozenset({"User-Agent", "Accept", "Accept-Encoding", "Content-Type"})


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


class End(Enum):
    """Why the watch ended an attempt."""

    DEADLINE = auto()
    SILENT = auto()
    CLOCK_JUMP = auto()
    CLOSED = auto()
    MOVED = auto()


@define(eq=False)
class Attempt:
    """State of one attempt, shared by its task, the HTTP client and the watch."""

    request: ServerRequest
    pool: ConnectionPool
    timers: Timers
    is_paused: Callable[[float], bool]
    late_at: float
    sent_at: float | None = None
    connection: Connection | None = None
    response: ClientResponse | None = None
    ended: End | None = None
    probing: bool = False
    idle_probes: int = 0

    @property
    def whole(self) -> bool:
        """Return whether the last byte of the answer is here."""
        return self.response is not None and self.response.content.is_eof()

    def note_sending(self, connection: Connection) -> None:
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

    def end(self, why: End) -> None:
        """Break the connection; the task that reads from it sees the failure."""
        if self.ended is None:
            self.ended = why
        self.break_connection()

    def break_connection(self) -> None:
        """Abort the connection in use, if any."""
        if self.connection is None or self.connection.protocol is None:
            return
        transport = self.connection.protocol.transport
        if transport is not None:
            transport.abort()


class _GatedRequest(ClientRequest):
    """HTTP request that asks its attempt before the first byte is written."""

    attempt: Attempt

    async def send(self, conn: Connection) -> ClientResponse:
        self.attempt.note_sending(conn)
        return await super().send(conn)


class ConnectionPool:
    """Connections to one backend server.

    The connector and the request of aiohttp are used without its session: the session would
    send a GET again by itself after a dropped connection, and costs a third of the CPU time.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.in_use = 0
        self._base = f"http://{server.address}"
        self._retired = False
        self._timer = TimerNoop()
        self._connector = BoundedConnector(
            limit=server.connections, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False
        )

    async def send(
        self, attempt: Attempt, headers: CIMultiDict[str], connect_s: float
    ) -> ClientResponse:
        """Send an attempt once and return the head of its answer."""
        request = self._request_of(attempt, headers)
        # Only the connection; the watch enforces the deadline of the rest.
        timeout = ClientTimeout(total=None, connect=connect_s, sock_connect=connect_s)
        connection = await self._connector.connect(request, traces=[], timeout=timeout)
        try:
            self._expect_answer(connection, request.method)
            response = await request.send(connection)
            return await self._start(response, connection)
        except BaseException:
            connection.close()
            raise

    async def release(self) -> None:
        """Note the end of an attempt."""
        self.in_use -= 1
        await self._close_when_unused()

    async def retire(self) -> None:
        """Use no idle connection again; attempts in flight keep theirs."""
        self._retired = True
        await self._close_when_unused()

    async def close(self) -> None:
        """Close every connection."""
        self._retired = True
        await self._connector.close()

    async def _close_when_unused(self) -> None:
        if self._retired and not self.in_use:
            await self._connector.close()

    def _request_of(self, attempt: Attempt, headers: CIMultiDict[str]) -> _GatedRequest:
        request = _GatedRequest(
            attempt.request.method,
            # Joining would let a path such as //host/x leave for another host.
            URL(f"{self._base}{attempt.request.path}", encoded=True),
            headers=headers,
            skip_auto_headers=_SKIP_AUTO_HEADERS,
            data=attempt.request.body or None,
            loop=asyncio.get_running_loop(),
            response_class=ClientResponse,
            timer=self._timer,
            traces=[],
        )
        request.attempt = attempt
        return request

    def _expect_answer(self, connection: Connection, method: str) -> None:
        protocol = connection.protocol
        if protocol is None:
            raise NotSentError(Reason.SERVER_UNREACHABLE, "the connection closed before sending")
        protocol.set_response_params(
            timer=self._timer,
            skip_payload=method == hdrs.METH_HEAD,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def _start(self, response: ClientResponse, connection: Connection) -> ClientResponse:
        try:
            return await response.start(connection)
        except BaseException:
            response.close()
            raise
