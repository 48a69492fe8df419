"""A caller's connection: reads requests, runs them and sends the answers in request order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

from attrs import define

from hyssopwood.events import Event, emit
from hyssopwood.gateway.answer_encoding import (
    Framing,
    encode_answer,
    encode_end,
    encode_head,
    encode_piece,
    framing_of,
)
from hyssopwood.gateway.answer_stream import WINDOW_BYTES
from hyssopwood.gateway.exchange import CallerAnswer, CallerRequest, ExchangeBrokenError
from hyssopwood.gateway.read_buffer import BufferedConnection, reset, set_reset_on_close
from hyssopwood.gateway.request_reader import RequestReader, RequestRefusedError
from hyssopwood.gateway.route_table import CallerLimits
from hyssopwood.timers import Timers

# Requests of one connection that run, or whose answers wait for those of earlier requests.
MAX_PIPELINED_REQUESTS = 16
# Time for a refusal to reach a caller that is still sending, before the connection is closed.
LINGER_S = 0.5
# Limits until the first configuration, which states what callers may send.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=1_048_576, header_timeout_s=5.0, idle_timeout_s=30.0
)
# Methods that may run concurrently with earlier requests of the same connection.
_CONCURRENT_METHODS = frozenset({b"GET"})


class Handler(Protocol):
    """A component that answers callers' requests."""

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer; the call is cancelled when the caller disconnects."""
        ...


@define(eq=False)
class _Slot:
    """A pipelined request and its position in the order of answers."""

    request: CallerRequest | None
    answer: CallerAnswer | None = None
    close: bool = False
    task: asyncio.Task[None] | None = None
    # Whether the answer's body is being streamed to the caller.
    streaming: bool = False

    def drop(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self.task is not None:
            self.task.cancel()
        if self.answer is not None and self.answer.stream is not None:
            self.answer.stream.abandon()


class CallerConnection(BufferedConnection):
    """Serve one connection; pipelined requests run concurrently if their method allows it."""

    def __init__(
        self,
        handler: Handler,
        timers: Timers,
        limits: Callable[[], CallerLimits],
        closed: Callable[[CallerConnection], None],
    ) -> None:
        self._handler = handler
        self._timers = timers
        self._limits = limits
        self._closed = closed
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self, timers.now, limits)
        self._slots: deque[_Slot] = deque()
        self._idle_since = timers.now()
        self._closing = False
        self._stopping = False
        self._unread = b""
        self._paused = False
        self._accepts_requests = True
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered, or an answer is not sent yet."""
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        return bool(self._slots) or self._reader.busy or unsent

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=WINDOW_BYTES)

    def received(self, data: bytes) -> None:
        if self._closing:
            return
        if self._unread:
            self._unread += data
            return
        self._feed(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._closing = True
        self._writable.set()
        for slot in self._slots:
            slot.drop()
        self._slots.clear()
        self._closed(self)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def stop(self) -> None:
        """Close after answering the requests that run; callers send those behind them again."""
        self._stopping = True

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self.busy and self._transport is not None:
            self._closing = True
            self._transport.close()

    def reset_if_unfinished(self) -> None:
        """Reset the connection if a part of an answer is sent and the rest isn't.

        Closed in order, an answer without a length would look complete.
        """
        transport = self._transport
        if transport is None:
            return
        streaming = any(slot.streaming for slot in self._slots)
        if streaming or transport.get_write_buffer_size() > 0:
            reset(transport)

    def check_limits(self, now: float) -> None:
        """Close a connection that is idle for too long or whose request arrives too slowly."""
        if self._reader.is_overdue(now):
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self.busy and now - self._idle_since > self._limits().idle_timeout_s:
            self.close_if_idle()

    def continue_expected(self) -> None:
        """Send 100 Continue, so that the caller sends the body."""
        if not self._slots:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_read(self, request: CallerRequest, keeps_alive: bool) -> None:
        """Append a request to the order of answers and start what may run."""
        self._slots.append(_Slot(request, close=not keeps_alive))
        self._start_next()

    def upgrade_proposed(self) -> None:
        """Close the connection after the answer to the last request."""
        self._accepts_requests = False
        if self._slots:
            self._slots[-1].close = True

    def may_read_next(self) -> bool:
        """Return whether another request may be read."""
        return self._accepts_requests and len(self._slots) < MAX_PIPELINED_REQUESTS

    def _feed(self, data: bytes) -> None:
        try:
            self._unread = self._reader.feed(data)
        except RequestRefusedError as refusal:
            self._refuse(refusal.status)
            return
        if self._transport is None or self._transport.is_closing():
            return
        if not self._paused and (self._unread or not self.may_read_next()):
            self._paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        """Parse the bytes that were held back while too many requests were pending."""
        if self._closing or not self.may_read_next() or self._transport is None:
            return
        unread, self._unread = self._unread, b""
        if unread:
            self._feed(unread)
        if not self._unread and self.may_read_next() and not self._transport.is_closing():
            self._paused = False
            self._transport.resume_reading()

    def _refuse(self, status: int) -> None:
        """Refuse the request that is being read, and read no more."""
        self._reader.drop()
        emit(Event.CALLER_REFUSED, status=int(status))
        self._slots.append(_Slot(None, CallerAnswer(status=int(status)), close=True))
        self._closing = True
        self._flush()

    def _start_next(self) -> None:
        """Start the requests that may run now.

        A request that isn't idempotent waits for those before it: if the connection ends with an
        earlier answer, callers send the requests behind it again. While the process stops, all
        requests wait like that: an answer behind a slow one would be lost at the process's end.
        """
        for index, slot in enumerate(self._slots):
            if slot.request is None or index >= MAX_PIPELINED_REQUESTS:
                return
            if slot.task is not None:
                continue
            if index and (self._stopping or slot.request.method not in _CONCURRENT_METHODS):
                return
            slot.task = asyncio.get_running_loop().create_task(self._run(slot))
            if slot.request.method not in _CONCURRENT_METHODS:
                return

    async def _run(self, slot: _Slot) -> None:
        assert slot.request is not None
        try:
            slot.answer = await self._handler.handle(slot.request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            emit(Event.TASK_FAILED, task="request", error=f"{type(error).__name__}: {error}")
            slot.answer = CallerAnswer(status=int(HTTPStatus.BAD_GATEWAY))
        self._flush()

    def _flush(self) -> None:
        """Write the answers that are next in order."""
        while self._slots and self._slots[0].answer is not None:
            slot = self._slots[0]
            if slot.streaming:
                return
            if slot.answer.stream is not None:
                slot.streaming = True
                slot.task = asyncio.get_running_loop().create_task(self._stream_body(slot))
                return
            self._slots.popleft()
            close = self._closes_after(slot)
            self._write(encode_answer(slot.answer, close))
            if close:
                self._end()
                return
        self._idle_since = self._timers.now()
        self._start_next()
        if self._paused:
            self._resume_reading()

    def _closes_after(self, slot: _Slot) -> bool:
        if not self._stopping:
            return slot.close
        has_started = any(item is not slot and item.task is not None for item in self._slots)
        return slot.close or not has_started

    async def _stream_body(self, slot: _Slot) -> None:
        """Forward a body while it arrives; if it is truncated, reset the connection."""
        assert slot.answer is not None and slot.answer.stream is not None
        stream = slot.answer.stream
        framing = framing_of(stream.length, slot.request)
        close = self._closes_after(slot) or framing is Framing.CLOSE
        if framing is Framing.CLOSE:
            self._set_reset_on_close(True)
        self._write(encode_head(slot.answer, framing, stream.length, close))
        try:
            while piece := await stream.read():
                await self._writable.wait()
                self._write(encode_piece(piece, framing))
        except ExchangeBrokenError:
            # A truncated answer must not look complete, so the connection is reset, not closed.
            if self._transport is not None:
                reset(self._transport)
            return
        self._write(encode_end(framing))
        if framing is Framing.CLOSE:
            await self._wait_until_sent()
            self._set_reset_on_close(False)
        self._slots.popleft()
        if close:
            self._end()
        else:
            self._flush()

    async def _wait_until_sent(self) -> None:
        """Wait until the kernel has all bytes, which it sends also if the process ends."""
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high=0)
        await self._writable.wait()

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Make the end of this process look like a broken answer, not like a complete one."""
        if self._transport is not None and not self._transport.is_closing():
            set_reset_on_close(self._transport, enabled)

    def _end(self) -> None:
        """Close after the last answer; requests behind it are discarded."""
        self._closing = True
        for slot in self._slots:
            slot.drop()
        self._slots.clear()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            # Closing with unread bytes would reset the connection before the answer is read.
            transport.write_eof()
            self._timers.call_later(LINGER_S, transport.close)
        else:
            transport.close()

    def _write(self, data: bytes) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
