"""A connection to a server, which carries one exchange at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol, TypeVar

from hyssopwood.gateway.answer_reader import AnswerReader
from hyssopwood.gateway.answer_stream import AnswerStream
from hyssopwood.gateway.exchange import (
    AnswerStart,
    ExchangeBrokenError,
    NotSentError,
    RepeatedRequestError,
    ServerAnswer,
    ServerRequest,
    find_header,
)
from hyssopwood.gateway.held_body import HeldBody
from hyssopwood.gateway.read_buffer import BufferedConnection, reset

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)

# Servers accept a connection in a few milliseconds; one lost packet adds 0.2 s.
CONNECT_TIMEOUT_S = 0.5
# Time after which unacknowledged bytes end the connection; it covers about two retransmissions.
UNACKNOWLEDGED_TIMEOUT_MS = 900
# Assumed idle timeout of a server that states none and may soon close the connection.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Fraction of the server's idle timeout after which a connection is no longer reused.
IDLE_TIMEOUT_FRACTION = 0.6
# Larger answers are streamed while they arrive. Smaller ones are buffered, so that a broken one can
# still be retried at another server.
STREAM_THRESHOLD_BYTES = 65_536
# Late answers to other requests that are discarded before an exchange counts as broken.
MAX_MISMATCHED_ANSWERS = 4
# Bytes of their bodies.
MAX_DISCARDED_BYTES = 8_388_608
# Failed requests after which a connection is not reused; it keeps their ids.
MAX_FAILED_REQUESTS = 64


def _idle_limit(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


class ServerConnection(BufferedConnection):
    """Send requests and return their answers; unexpected bytes reset the connection."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader = AnswerReader(self)
        self._result: asyncio.Future[ServerAnswer] | None = None
        self._start: AnswerStart | None = None
        self._body = bytearray()
        self._stream: AnswerStream | None = None
        self._request_id = b""
        self._id_header: bytes | None = None
        self._usable = True
        self._mismatched_answers = 0
        self._discarded_bytes = 0
        # Ids of the requests whose answers reported a failure.
        self._failed_ids: set[bytes] = set()
        self._idle_limit_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Return whether the connection may carry another exchange."""
        return self._usable and self._result is None and self._stream is None

    @property
    def ended(self) -> bool:
        """Return whether the connection carries no further exchange."""
        return not self._usable

    @property
    def awaits_answer(self) -> bool:
        """Return whether an exchange is under way."""
        return self._stream is not None or (self._result is not None and not self._result.done())

    @property
    def request_id(self) -> bytes:
        """Return the id of the last request."""
        return self._request_id

    @property
    def idle_limit_s(self) -> float:
        """Return how long the connection may stay idle before it must not be reused."""
        return self._idle_limit_s * IDLE_TIMEOUT_FRACTION

    async def exchange(
        self, host: str, request: ServerRequest, id_header: bytes | None
    ) -> ServerAnswer:
        """Send a request and return its answer; a large answer is returned as a stream.

        An answer whose `id_header` contains the id of another request is discarded. Cancelling the
        call resets the connection. Raises RepeatedRequestError if the request has failed on this
        connection before.
        """
        if not self.usable or self._transport is None:
            raise NotSentError("the connection has ended")
        if request.request_id in self._failed_ids:
            # Servers may repeat an earlier refusal. It has the same id, so it couldn't be told
            # from the answer to the second sending.
            self.close()
            raise RepeatedRequestError("the request has failed on this connection before")
        self._result = asyncio.get_running_loop().create_future()
        self._id_header = id_header
        self._request_id = request.request_id
        self._write(host, request)
        try:
            return await self._result
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._result = None

    def abort(self) -> None:
        """Reset the connection; bytes not yet delivered are discarded."""
        self._usable = False
        if self._transport is not None:
            reset(self._transport)

    def close(self) -> None:
        """Close a connection without an exchange.

        It is reset if the server has answered without reading the request, so that the rest of the
        request isn't kept for a server that doesn't read it.
        """
        self._usable = False
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size() > 0:
            reset(self._transport)
        else:
            self._transport.close()

    def pause(self) -> None:
        """Stop reading until `resume` is called."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)

    def received(self, data: bytes) -> None:
        if not self.awaits_answer:
            # Bytes after a complete answer belong to no request.
            self.abort()
            return
        try:
            self._reader.feed(data)
        except ExchangeBrokenError as error:
            self._fail(str(error))
            return
        if not self.awaits_answer and not self._reader.at_start:
            # The start of an extra answer must not be continued by the answer to the next request.
            self.abort()

    def eof_received(self) -> bool:
        self._reader.end()
        self._fail("the server closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._usable = False
        self._fail(f"the connection was lost: {exc or 'closed'}")

    def answer_started(self, start: AnswerStart) -> None:
        """Handle an answer's head; one for another request ends the reuse of the connection."""
        if not self.awaits_answer:
            self._usable = False
            return
        self._start = start
        if sum(name == self._id_header for name, _ in start.headers) > 1:
            # Another answer began within the head of this one.
            raise ExchangeBrokenError("the answer has several request ids")
        if self._is_mismatched(start):
            # This is a late duplicate answer to an earlier request; the expected one follows.
            self._usable = False
            self._mismatched_answers += 1
            if self._mismatched_answers > MAX_MISMATCHED_ANSWERS:
                raise ExchangeBrokenError("too many answers to other requests")
            return
        if self._request_id and start.status >= HTTPStatus.BAD_REQUEST:
            self._failed_ids.add(self._request_id)
            if len(self._failed_ids) >= MAX_FAILED_REQUESTS:
                self._usable = False
        if start.length is not None and start.length > STREAM_THRESHOLD_BYTES:
            self._begin_stream(start)

    def answer_body(self, data: bytes) -> None:
        """Handle a piece of the body."""
        start = self._start
        if start is None:
            return
        if self._is_mismatched(start):
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                raise ExchangeBrokenError("too large answers to other requests")
            return
        if self._stream is not None:
            self._stream.put(data)
            return
        self._body += data
        if len(self._body) > STREAM_THRESHOLD_BYTES:
            self._begin_stream(start)

    def answer_ended(self) -> None:
        """Return the complete answer, or end its stream."""
        start, self._start = self._start, None
        if start is None or self._is_mismatched(start):
            return
        self._update_reuse(start)
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.finish()
        elif self._result is not None and not self._result.done():
            body = bytes(self._body)
            self._body.clear()
            self._result.set_result(ServerAnswer(start.status, start.headers, body))

    def _write(self, host: str, request: ServerRequest) -> None:
        """Send a request; a large body is sent from where it is held."""
        assert self._transport is not None
        head = _encode_head(host, request)
        if not isinstance(request.body, HeldBody):
            self._transport.write(head + request.body)
            return
        self._transport.write(head)
        for piece in request.body.pieces():
            self._transport.write(piece)

    def _begin_stream(self, start: AnswerStart) -> None:
        """Return the answer's head and stream its body from here on."""
        if self._result is None or self._result.done():
            return
        self._stream = AnswerStream(start.length, self)
        self._stream.put(bytes(self._body))
        self._body.clear()
        self._result.set_result(ServerAnswer(start.status, start.headers, b"", self._stream))

    def _is_mismatched(self, start: AnswerStart) -> bool:
        if self._id_header is None:
            return False
        answered = find_header(start.headers, self._id_header)
        return answered is not None and answered != self._request_id

    def _lacks_id(self, start: AnswerStart) -> bool:
        """Return whether an answer lacks its request's id, so that the true one may follow."""
        if self._id_header is None or not self._request_id:
            return False
        return find_header(start.headers, self._id_header) is None

    def _update_reuse(self, start: AnswerStart) -> None:
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        if not start.framed or unsent or not self._reader.keeps_alive or self._lacks_id(start):
            self._usable = False
        keep_alive = find_header(start.headers, b"keep-alive")
        stated = None if keep_alive is None else _idle_limit(keep_alive)
        self._idle_limit_s = DEFAULT_IDLE_TIMEOUT_S if stated is None else stated

    def _fail(self, cause: str) -> None:
        if self._result is not None and not self._result.done():
            self._result.set_exception(ExchangeBrokenError(cause))
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.fail(cause)
        self.abort()


def _encode_head(host: str, request: ServerRequest) -> bytes:
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    if not any(name.lower() == b"host" for name, _ in request.headers):
        lines.append(b"Host: " + host.encode())
    lines += [name + b": " + value for name, value in request.headers]
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: " + str(len(request.body)).encode())
    return b"\r\n".join(lines) + b"\r\n\r\n"


class Dial(Protocol):
    """Opens TCP connections; tests replace it to cut an instance off."""

    async def __call__(
        self, factory: Callable[[], ProtocolT], host: str, port: int
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Return the transport and the protocol of a connection; raise OSError if it fails."""
        ...


async def dial(
    factory: Callable[[], ProtocolT], host: str, port: int
) -> tuple[asyncio.Transport, ProtocolT]:
    """Open a TCP connection."""
    return await asyncio.get_running_loop().create_connection(factory, host, port)


async def open_connection(
    factory: Callable[[], ProtocolT],
    address: str,
    timeout_s: float = CONNECT_TIMEOUT_S,
    dialer: Dial = dial,
) -> ProtocolT:
    """Open a connection of any protocol; raise NotSentError if that fails or takes too long."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await dialer(factory, host, int(port))
    except (OSError, TimeoutError) as error:
        raise NotSentError(f"no connection to {address}: {type(error).__name__}") from error
    return connection


async def connect(
    address: str, timeout_s: float = CONNECT_TIMEOUT_S, dialer: Dial = dial
) -> ServerConnection:
    """Open a connection to a server; raise NotSentError if that fails or takes too long."""
    return await open_connection(ServerConnection, address, timeout_s, dialer)
