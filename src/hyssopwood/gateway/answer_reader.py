"""Reads servers' answers: bytes in, heads and pieces of bodies out; it owns every limit."""

from __future__ import annotations

from typing import Protocol

import httptools
from attrs import define, field

from hyssopwood.gateway.exchange import AnswerStart, ExchangeBrokenError, HeaderCollector
from hyssopwood.gateway.read_buffer import READ_BYTES, FramingMeter

# Bytes of an answer that are not its body, with interim answers. Servers' heads have about 300.
MAX_FRAMING_BYTES = 32_768
# Header lines of one answer; servers send about ten.
MAX_HEADER_LINES = 128
# Interim answers before the final one.
MAX_INTERIM_ANSWERS = 8
# Heads are fed in parts, so that an endless one is noticed before much of it is gathered.
HEAD_SLICE_BYTES = 4096
_BODILESS_STATUSES = frozenset({204, 304})
# Smallest status of a final answer.
_MIN_FINAL_STATUS = 200


class AnswerEvents(Protocol):
    """Take what an answer consists of."""

    def answer_started(self, start: AnswerStart) -> None:
        """Take the head of a final answer."""
        ...

    def answer_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        ...

    def answer_ended(self) -> None:
        """Note that the answer is whole."""
        ...


@define
class _Message:
    """Follow the answer that is being read."""

    head: HeaderCollector = field(factory=HeaderCollector)
    start: AnswerStart | None = None


class AnswerReader:
    """Parse the answers on one connection."""

    def __init__(self, events: AnswerEvents) -> None:
        self._events = events
        self._parser = httptools.HttpResponseParser(self)
        self._message: _Message | None = None
        self._meter = FramingMeter(MAX_FRAMING_BYTES)
        self._interim = 0

    @property
    def keeps_alive(self) -> bool:
        """Return whether the server keeps the connection after this answer."""
        return bool(self._parser.should_keep_alive())

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise ExchangeBrokenError if they are no answer or pass a limit."""
        view = memoryview(data)
        while view:
            in_body = self._message is not None and self._message.start is not None
            piece = view[: READ_BYTES if in_body else HEAD_SLICE_BYTES]
            self._meter.count_fed(len(piece))
            try:
                self._parser.feed_data(piece)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                raise ExchangeBrokenError(f"malformed answer: {_describe_error(error)}") from error
            if self._meter.exceeded:
                raise ExchangeBrokenError("the answer has too many bytes outside of its body")
            view = view[len(piece) :]

    def end(self) -> bool:
        """Take the connection's end; return whether it completes an answer without a length."""
        message = self._message
        if message is None or message.start is None or message.start.framed:
            return False
        self.on_message_complete()
        return True

    def on_message_begin(self) -> None:
        self._message = _Message()

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._message is not None
        head = self._message.head
        head.add(name, value)
        if len(head.headers) > MAX_HEADER_LINES:
            raise ExchangeBrokenError("the answer has too many header lines")

    def on_headers_complete(self) -> None:
        message = self._message
        assert message is not None
        status = self._parser.get_status_code()
        if status < _MIN_FINAL_STATUS:
            self._interim += 1
            if self._interim > MAX_INTERIM_ANSWERS:
                raise ExchangeBrokenError("too many interim answers")
            return
        headers = tuple(message.head.headers)
        lengths = [value for name, value in headers if name == b"content-length"]
        bodiless = status in _BODILESS_STATUSES
        chunked = any(name == b"transfer-encoding" for name, _ in headers)
        message.start = AnswerStart(
            status=status,
            headers=headers,
            length=0 if bodiless else int(lengths[0]) if lengths and not chunked else None,
            framed=bool(lengths) or chunked or bodiless,
        )
        self._events.answer_started(message.start)

    def on_body(self, body: bytes) -> None:
        self._meter.count_body(len(body))
        self._events.answer_body(body)

    def on_message_complete(self) -> None:
        message, self._message = self._message, None
        if message is None or message.start is None:
            # An interim answer; the final one follows.
            return
        self._interim = 0
        # What was fed beyond the end belongs to the next answer, which has a budget of its own.
        self._meter = FramingMeter(MAX_FRAMING_BYTES)
        self._events.answer_ended()


def _describe_error(error: Exception) -> str:
    """Return the error that a callback raised, which the parser hides behind its own."""
    return str(error.__context__ or error)
