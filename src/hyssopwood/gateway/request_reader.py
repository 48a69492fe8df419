"""Parser of callers' requests, which enforces all limits except the one on pipelining."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import httptools
from attrs import define, field

from hyssopwood.gateway.exchange import CallerRequest, HeaderCollector, Headers, has_unknown_coding
from hyssopwood.gateway.held_body import BodyBuffer, OverBudgetError
from hyssopwood.gateway.read_buffer import READ_BYTES, FramingMeter
from hyssopwood.gateway.read_turns import PIECES_PER_TURN, SMALL_PIECE_BYTES
from hyssopwood.gateway.route_table import CallerLimits

# Heads are parsed in slices. All requests within a slice, a few dozen of the shortest ones, are
# parsed in one step.
HEAD_SLICE_BYTES = 1024
# Allowed bytes of a request beyond its header, its body and the frames of its chunks.
OTHER_FRAMING_BYTES = 1024
MAX_HEADER_LINES = 256
# Maximum time for receiving a body whose bytes still arrive.
BODY_TIMEOUT_S = 60.0
_UNSUPPORTED_METHODS = frozenset({b"HEAD", b"CONNECT", b"TRACE"})


class RequestRefusedError(Exception):
    """Raised when the received bytes can't be accepted as a request."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = int(status)


class RequestEvents(Protocol):
    """Receiver of parsed requests."""

    def continue_expected(self) -> None:
        """Handle a request whose caller waits for 100 Continue."""
        ...

    def request_read(self, request: CallerRequest, keeps_alive: bool) -> None:
        """Handle a complete request."""
        ...

    def upgrade_proposed(self) -> None:
        """Handle the proposal of another protocol by the last request.

        The upgrade is declined, and nothing is read after the request.
        """
        ...

    def may_read_next(self) -> bool:
        """Return whether another request may be read."""
        ...


@define(eq=False)
class _Reading:
    """The request that is being read."""

    began: float
    meter: FramingMeter
    head: HeaderCollector = field(factory=HeaderCollector)
    # Fields behind a chunked body, which count against the limits and aren't forwarded.
    trailers: HeaderCollector = field(factory=HeaderCollector)
    target: bytes = b""
    body: BodyBuffer = field(factory=BodyBuffer)
    arrived: float = 0.0
    # Time of the last byte of the body, or of the end of the head.
    progress_at: float = 0.0
    head_complete: bool = False
    method: bytes = b""
    version: str = ""
    keeps_alive: bool = False
    # Declared size of the body, or None.
    length: int | None = None

    @property
    def framing(self) -> list[bytes]:
        """Return the header lines that announce a body."""
        names = (b"content-length", b"transfer-encoding")
        return [name + b": " + value for name, value in self.head.headers if name in names]

    @property
    def small_bytes(self) -> int:
        """Return the size of what isn't reserved with the body's segments."""
        return self.head.size + self.trailers.size + len(self.target) + self.body.small_size

    @property
    def next_bytes(self) -> int:
        """Return how many bytes to parse next, no more than the request is known to need."""
        if not self.head_complete or self.length is None:
            return HEAD_SLICE_BYTES
        return min(READ_BYTES, max(1, self.length - len(self.body)))


class _BodyEvents:
    """Pass on what is parsed of the body behind the head of a request that proposes an upgrade."""

    def __init__(self, reader: RequestReader) -> None:
        self.on_body = reader.on_body
        self.on_message_complete = reader.complete_request


class RequestReader:
    """Parse the requests on one connection."""

    def __init__(
        self,
        events: RequestEvents,
        now: Callable[[], float],
        limits: Callable[[], CallerLimits],
        new_body: Callable[[], BodyBuffer] = BodyBuffer,
        throttled: bool = False,
    ) -> None:
        self._events = events
        self._now = now
        self._limits = limits
        self._new_body = new_body
        # Whether `feed` stops after the small pieces of one turn.
        self._throttled = throttled
        # Small pieces since the last turn; the connection resets them with an unpipelined request.
        self.pieces = 0
        self._parser = httptools.HttpRequestParser(self)
        # Whether `_parser` parses the body of the last request, which proposes an upgrade.
        self._in_last_body = False
        self._reading: _Reading | None = None

    @property
    def busy(self) -> bool:
        """Return whether a request is being read."""
        return self._reading is not None

    @property
    def head_complete(self) -> bool:
        """Return whether the head of the request that is being read is complete."""
        return self._reading is not None and self._reading.head_complete

    @property
    def small_bytes(self) -> int:
        """Return the bytes of the request that is being read, without its body's segments."""
        return 0 if self._reading is None else self._reading.small_bytes

    def is_expired(self, now: float, timeout_of: Callable[[Headers], float | None]) -> bool:
        """Return whether the caller no longer waits for the request that is being read."""
        reading = self._reading
        if reading is None or not reading.head_complete:
            return False
        timeout_s = timeout_of(tuple(reading.head.headers))
        return timeout_s is not None and now - reading.arrived > timeout_s

    def age_s(self, now: float) -> float:
        """Return for how long the current request has been read."""
        return 0.0 if self._reading is None else now - self._reading.began

    @property
    def turn_used(self) -> bool:
        """Return whether the next bytes must wait for a turn."""
        return self._throttled and self.pieces >= PIECES_PER_TURN

    def begin_turn(self) -> None:
        """Permit the pieces of one turn; the time until then doesn't count as the caller's."""
        self.pieces = 0
        if self._reading is not None:
            self._reading.progress_at = self._now()

    def feed(self, data: bytes) -> bytes:
        """Parse bytes and return the rest that must wait for a turn or for earlier requests.

        Raises RequestRefusedError if they are malformed or exceed a limit.
        """
        view = memoryview(data)
        while view and not self.turn_used and self._events.may_read_next():
            reading = self._reading
            piece = view[: HEAD_SLICE_BYTES if reading is None else reading.next_bytes]
            if reading is not None:
                reading.meter.count_fed(len(piece))
            self._parse(piece)
            if self._reading is not None and self._reading.meter.exceeded:
                raise RequestRefusedError(self._refusal_status(self._reading))
            view = view[len(piece) :]
        return bytes(view)

    def is_overdue(self, now: float) -> bool:
        """Return whether the request that is being read takes too long."""
        reading = self._reading
        if reading is None:
            return False
        limit_s = self._limits().header_timeout_s
        if not reading.head_complete:
            return now - reading.began > limit_s
        return now - reading.progress_at > limit_s or now - reading.arrived > BODY_TIMEOUT_S

    def drop(self) -> None:
        """Discard the request that is being read."""
        if self._reading is not None:
            self._reading.body.release()
        self._reading = None

    def on_message_begin(self) -> None:
        limit = self._limits().header_bytes + OTHER_FRAMING_BYTES
        self._reading = _Reading(self._now(), FramingMeter(limit), body=self._new_body())

    def on_url(self, url: bytes) -> None:
        assert self._reading is not None
        self._reading.target += url
        self._reading.head.size += len(url)
        self._check_head(self._reading)

    def on_header(self, name: bytes, value: bytes) -> None:
        reading = self._reading
        assert reading is not None
        self.pieces += 1
        fields = reading.trailers if reading.head_complete else reading.head
        fields.add(name, value)
        self._check_head(reading)

    def on_headers_complete(self) -> None:
        reading = self._reading
        assert reading is not None
        reading.head_complete = True
        reading.arrived = reading.progress_at = self._now()
        reading.method = self._parser.get_method()
        reading.version = self._parser.get_http_version()
        reading.keeps_alive = self._parser.should_keep_alive()
        if reading.method in _UNSUPPORTED_METHODS:
            raise RequestRefusedError(HTTPStatus.NOT_IMPLEMENTED)
        if has_unknown_coding(tuple(reading.head.headers)):
            raise RequestRefusedError(HTTPStatus.NOT_IMPLEMENTED)
        for name, value in reading.head.headers:
            if name == b"content-length":
                reading.length = int(value)
                if reading.length > self._limits().body_bytes:
                    raise RequestRefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                self._reserve(reading.body.expect, reading.length)
            if name == b"expect" and value.lower() == b"100-continue":
                self._events.continue_expected()

    def on_body(self, body: bytes) -> None:
        reading = self._reading
        assert reading is not None
        reading.meter.count_body(len(body))
        reading.progress_at = self._now()
        if len(reading.body) + len(body) > self._limits().body_bytes:
            raise RequestRefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if len(body) < SMALL_PIECE_BYTES:
            self.pieces += 1
        self._reserve(reading.body.append, body)

    def on_message_complete(self) -> None:
        assert self._reading is not None
        # The parser ends a request that proposes an upgrade with its head; a body may follow.
        if not self._parser.should_upgrade() or not self._reading.framing:
            self.complete_request()

    def complete_request(self) -> None:
        """Report the request whose last byte has been parsed."""
        reading, self._reading = self._reading, None
        assert reading is not None
        hosts = [value for name, value in reading.head.headers if name == b"host"]
        if len(hosts) != 1 or not reading.target.startswith(b"/"):
            raise RequestRefusedError(HTTPStatus.BAD_REQUEST)
        request = CallerRequest(
            method=reading.method,
            target=reading.target,
            host=hosts[0].decode("latin-1").rsplit(":", 1)[0].lower(),
            headers=tuple(reading.head.headers),
            body=reading.body.finish(),
            arrived=reading.arrived,
            version=reading.version,
        )
        self._events.request_read(request, reading.keeps_alive)
        if self._in_last_body:
            self._events.upgrade_proposed()

    def _reserve(self, take: Callable[[Any, float], None], value: int | bytes) -> None:
        try:
            take(value, self._now())
        except OverBudgetError as error:
            raise RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE) from error

    def _parse(self, piece: memoryview) -> None:
        try:
            self._parser.feed_data(piece)
            return
        except httptools.HttpParserUpgrade as upgrade:
            head_bytes = upgrade.args[0]
        except httptools.HttpParserError as error:
            refusal = error.__context__ or error.__cause__
            refused = isinstance(refusal, RequestRefusedError)
            if self._in_last_body and self._reading is None and not refused:
                # Bytes behind the last request are not read.
                return
            status = refusal.status if refused else HTTPStatus.BAD_REQUEST
            raise RequestRefusedError(status) from error
        if self._reading is None:
            self._events.upgrade_proposed()
        else:
            self._parse_last_body(self._reading, piece[head_bytes:])

    def _parse_last_body(self, reading: _Reading, piece: memoryview) -> None:
        """Continue with a parser that is given the head without the proposed upgrade."""
        self._in_last_body = True
        self._parser = httptools.HttpRequestParser(_BodyEvents(self))
        # With the last line the parser rejects bytes behind the body.
        lines = [b"POST / HTTP/1.1", *reading.framing, b"Connection: close"]
        self._parse(memoryview(b"\r\n".join(lines) + b"\r\n\r\n"))
        if piece:
            self._parse(piece)

    def _check_head(self, reading: _Reading) -> None:
        limits = self._limits()
        size = reading.head.size + reading.trailers.size
        lines = len(reading.head.headers) + len(reading.trailers.headers)
        if size > limits.header_bytes or lines > MAX_HEADER_LINES:
            raise RequestRefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refusal_status(self, reading: _Reading) -> int:
        if reading.head_complete:
            return HTTPStatus.BAD_REQUEST
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
