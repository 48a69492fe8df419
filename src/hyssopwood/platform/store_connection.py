"""Connections to the platform's store, each of which carries one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from attrs import define, field

from hyssopwood.errors import HyssopwoodError
from hyssopwood.gateway.answer_reader import AnswerReader
from hyssopwood.gateway.exchange import AnswerStart, ExchangeBrokenError
from hyssopwood.gateway.read_buffer import READ_BYTES, BufferedConnection, reset

CONNECT_TIMEOUT_S = 0.5
# A connection that was idle for longer isn't used again: it may have gone silent meanwhile, and the
# call would wait until its timeout. Polls follow each other faster.
IDLE_TIMEOUT_S = 1.0
# Concurrent calls: long poll, registrations, plan and the leader's writes, and as many again that
# still wait for lost answers.
MAX_CONNECTIONS = 8
# Received and not yet taken bytes of a body at which reading pauses.
MAX_UNREAD_BYTES = 2 * READ_BYTES
# Labels of the metric store_failures. They are the names that builds with another HTTP library
# exported, so that the series continue.
NOT_CONNECTED = "ClientConnectorError"
CONNECT_TIMED_OUT = "ConnectionTimeoutError"
CLOSED = "ServerDisconnectedError"
RESET = "ClientOSError"
MALFORMED = "ClientResponseError"
BODY_CUT_OFF = "ClientPayloadError"


class StoreCallError(HyssopwoodError):
    """Raised when a call breaks; `kind` labels the cause in the metrics."""

    def __init__(self, kind: str, detail: str, unanswered: bool = False) -> None:
        super().__init__(detail)
        self.kind = kind
        # Whether the connection ended before the answer began.
        self.unanswered = unanswered


class StoreConnection(BufferedConnection):
    """Send calls and return the parts of their answers; unexpected bytes reset the connection."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader = AnswerReader(self)
        self._start: AnswerStart | None = None
        self._data = bytearray()
        self._calling = False
        self._complete = False
        self._paused = False
        self._usable = True
        self._failure: StoreCallError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Return whether the connection may carry another call."""
        return self._usable and not self._calling

    @property
    def awaits_answer(self) -> bool:
        """Return whether a call has begun whose answer wasn't taken to its end."""
        return self._calling

    async def send(self, request: bytes) -> AnswerStart:
        """Send a request and return the head of its answer; raise StoreCallError if it breaks."""
        if self._transport is None or not self.usable:
            raise StoreCallError(CLOSED, "the connection has ended", unanswered=True)
        self._start = None
        self._calling, self._complete = True, False
        self._transport.write(request)
        while self._start is None:
            await self._wait()
        return self._start

    async def read(self) -> bytes:
        """Return the next bytes of the body, or none at its end."""
        while not self._data and not self._complete:
            await self._wait()
        data = bytes(self._data)
        self._data.clear()
        if self._paused and self._transport is not None and not self._transport.is_closing():
            self._paused = False
            self._transport.resume_reading()
        if not data:
            self._calling = False
        return data

    def abort(self) -> None:
        """Reset the connection."""
        self._usable = False
        if self._transport is not None:
            reset(self._transport)

    def close(self) -> None:
        """Close an idle connection."""
        self._usable = False
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def received(self, data: bytes) -> None:
        if not self._calling or self._complete:
            # Bytes after a complete answer belong to no call.
            self.abort()
            return
        try:
            self._reader.feed(data)
        except ExchangeBrokenError as error:
            self._fail(BODY_CUT_OFF if self._start is not None else MALFORMED, str(error))
            return
        if self._complete and not self._reader.at_start:
            # The start of an extra answer must not be continued by the answer to the next call.
            self.abort()
        self._pause_if_full()

    def eof_received(self) -> bool:
        self._reader.end()
        self._fail(CLOSED, "the store closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None and self._failure is None:
            # A body without a length ends with its connection, also with a reset one: a part of the
            # records of a read can't be told from all, and the other answers are JSON documents.
            self._reader.end()
        self._fail(CLOSED if exc is None else RESET, f"the connection was lost: {exc or 'closed'}")

    def answer_started(self, start: AnswerStart) -> None:
        """Handle an answer's head; a second answer to the same call is an error."""
        if self._complete:
            self._usable = False
            raise ExchangeBrokenError("an answer to no request")
        self._start = start
        self._wake()

    def answer_body(self, data: bytes) -> None:
        """Handle a piece of the body."""
        if not self._complete:
            self._data += data
            self._wake()

    def answer_ended(self) -> None:
        """Handle the end of the answer."""
        self._complete = True
        if self._start is None or not self._start.framed or not self._reader.keeps_alive:
            self._usable = False
        self._wake()

    def _pause_if_full(self) -> None:
        if self._paused or self._transport is None or self._transport.is_closing():
            return
        if len(self._data) >= MAX_UNREAD_BYTES:
            self._paused = True
            self._transport.pause_reading()

    async def _wait(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, kind: str, detail: str) -> None:
        if self._failure is None:
            started = self._start is not None
            if started and kind in (CLOSED, RESET):
                kind = BODY_CUT_OFF
            self._failure = StoreCallError(kind, detail, not started and kind in (CLOSED, RESET))
        self.abort()
        self._wake()


async def _connect(host: str, port: int) -> StoreConnection:
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(StoreConnection, host, port)
    except TimeoutError as error:
        raise StoreCallError(CONNECT_TIMED_OUT, f"no connection to {host}:{port}") from error
    except OSError as error:
        detail = f"no connection to {host}:{port}: {type(error).__name__}"
        raise StoreCallError(NOT_CONNECTED, detail) from error
    return connection


@define(eq=False)
class StoreConnections:
    """Connections that are closed after the last call over them, once they are retired."""

    _host: str
    _port: int
    _idle: list[StoreConnection] = field(factory=list, init=False)
    _lent: set[StoreConnection] = field(factory=set, init=False)
    _free: asyncio.Semaphore = field(factory=lambda: asyncio.Semaphore(MAX_CONNECTIONS), init=False)
    _retired: bool = field(default=False, init=False)
    _closed: bool = field(default=False, init=False)

    @asynccontextmanager
    async def lend(self) -> AsyncIterator[StoreConnection]:
        """Lend a connection for one call; one whose call didn't end is reset."""
        async with self._free:
            if self._closed:
                raise StoreCallError(CLOSED, "the connections were closed")
            connection = self._take_idle() or await _connect(self._host, self._port)
            self._lent.add(connection)
            try:
                yield connection
            finally:
                self._lent.discard(connection)
                self._return(connection)

    def retire(self) -> None:
        """Close the idle connections, and the others after their calls."""
        self._retired = True
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close all connections, and open no further one."""
        self._closed = True
        self.retire()
        for connection in tuple(self._lent):
            connection.abort()

    def _take_idle(self) -> StoreConnection | None:
        oldest = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and connection.idle_since >= oldest:
                return connection
            connection.close()
        return None

    def _return(self, connection: StoreConnection) -> None:
        if connection.awaits_answer:
            connection.abort()
        elif self._retired or not connection.usable:
            connection.close()
        else:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
