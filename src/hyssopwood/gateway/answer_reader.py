"""Parser of servers' answers, which enforces all limits on their size."""

from __future__ import annotations

from typing import Protocol

import httptools
from attrs import define, field

from hyssopwood.gateway.exchange import (
    AnswerStart,
    ExchangeBrokenError,
    HeaderCollector,
    has_unknown_coding,
)
from hyssopwood.gateway.read_buffer import READ_BYTES, FramingMeter

# Bytes of an answer outside of its body, including interim answers. Servers' heads have about 300.
MAX_FRAMING_BYTES = 32_768
# Header lines of one answer; servers send about ten.
MAX_HEADER_LINES = 128
# Interim answers before the final one.
MAX_INTERIM_ANSWERS = 8
# Heads are parsed in slices, so that an endless one is detected before much of it is buffered.
HEAD_SLICE_BYTES = 4096
_BODILESS_STATUSES = frozenset({204, 304})
# Status codes that answers may have; the parser accepts any three digits.
_MIN_STATUS = 100
_MAX_STATUS = 599
_MIN_FINAL_STATUS = 200
# What follows it isn't HTTP, and no request asks for it.
_SWITCHING_PROTOCOLS = 101


class AnswerEvents(Protocol):
    """Receiver of the parts of an answer."""

    def answer_started(self, start: AnswerStart) -> None:
        """Handle the head of a final answer."""
        ...

    def answer_body(self, data: bytes) -> None:
        """Handle a piece of the body."""
        ...

    def answer_ended(self) -> None:
        """Handle the end of the answer."""
        ...


@define
class _Message:
    """The answer that is being read."""

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
        self._at_start = True

    @property
    def at_start(self) -> bool:
        """Return whether no byte of an answer has been read since the last complete one."""
        return self._at_start

    @property
    def keeps_alive(self) -> bool:
        """Return whether the server keeps the connection after this answer."""
        return bool(self._parser.should_keep_alive())

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise ExchangeBrokenError if they are malformed or exceed a limit."""
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
                raise ExchangeBrokenError("the answer has too many bytes outside its body")
            view = view[len(piece) :]

    def end(self) -> bool:
        """Handle the connection's end; return whether it completes an answer without a length."""
        message = self._message
        if message is None or message.start is None or message.start.framed:
            return False
        self.on_message_complete()
        return True

    def on_message_begin(self) -> None:
        self._message = _Message()
        self._at_start = False

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
        if not _MIN_STATUS <= status <= _MAX_STATUS or status == _SWITCHING_PROTOCOLS:
            raise ExchangeBrokenError(f"the answer has the status code {status}")
        if status < _MIN_FINAL_STATUS:
            self._interim += 1
            if self._interim > MAX_INTERIM_ANSWERS:
                raise ExchangeBrokenError("too many interim answers")
            return
        headers = tuple(message.head.headers)
        lengths = [value for name, value in headers if name == b"content-length"]
        bodiless = status in _BODILESS_STATUSES
        if has_unknown_coding(headers) and not bodiless:
            raise ExchangeBrokenError("the answer has a transfer coding other than chunked")
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
            # This was an interim answer; the final one follows.
            return
        self._interim = 0
        self._at_start = True
        # Bytes beyond the end belong to the next answer, which has its own limit.
        self._meter = FramingMeter(MAX_FRAMING_BYTES)
        self._events.answer_ended()


def _describe_error(error: Exception) -> str:
    """Return the message of the error that a callback raised and the parser wrapped."""
    return str(error.__context__ or error)
