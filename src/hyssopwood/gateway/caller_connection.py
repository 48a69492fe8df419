"""A caller's connection: reads requests, runs them and sends the answers in request order."""

from __future__ import annotations

import asyncio
import socket
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
from hyssopwood.gateway.caller_protection import CallerProtection
from hyssopwood.gateway.exchange import (
    CallerAnswer,
    CallerRequest,
    ExchangeBrokenError,
    Headers,
)
from hyssopwood.gateway.held_body import BodyBuffer, release_body
from hyssopwood.gateway.memory_budget import GRACE_S, Holder, Kind, Reservation
from hyssopwood.gateway.read_buffer import (
    READ_BYTES,
    BufferedConnection,
    is_closed_by_peer,
    reset,
    set_reset_on_close,
)
from hyssopwood.gateway.read_turns import PIPELINED_PIECES, READ_PIECES, SMALL_PIECE_BYTES
from hyssopwood.gateway.request_reader import RequestReader, RequestRefusedError
from hyssopwood.gateway.route_table import CallerLimits
from hyssopwood.timers import Timers

# Requests of one connection that run, or whose answers wait for those of earlier requests.
MAX_PIPELINED_REQUESTS = 16
# Time for a refusal to reach a caller that is still sending, before the connection is closed.
LINGER_S = 0.5
# Bytes of a refused request that are read and discarded meanwhile, if the process is protected. The
# rest of a large body is left to the connection's reset.
LINGER_BYTES = 262_144
# Receive buffer of a connection, as far as the kernel grants it. Otherwise the kernel could buffer
# up to its own limit, usually 6 MB, for each connection that isn't read.
RECEIVE_BUFFER_BYTES = 262_144
# Bytes that may wait unread while reading is paused: the kernel doubles the receive buffer for its
# own use, and one read waits in the process.
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES + READ_BYTES
# Unsent bytes of answers above which a connection's answers wait and count towards the budget.
BUDGETED_UNSENT_BYTES = 16_384
# Bytes that a streamed answer buffers at most; see `WINDOW_BYTES`.
STREAM_BYTES = 4 * WINDOW_BYTES
# Bytes in which the memory of a request that is being read is reserved.
READING_STEP_BYTES = 4096
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
    # Memory of the request's head and small body, and of its answer.
    reserved: tuple[Reservation, ...] = ()

    def release(self) -> None:
        """Return the memory of the request and its answer to the budget."""
        for reservation in self.reserved:
            reservation.release()

    def drop(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self.task is not None:
            self.task.cancel()
        if self.answer is not None and self.answer.stream is not None:
            self.answer.stream.abandon()
        self.release()


class CallerConnection(BufferedConnection):
    """Serve one connection; pipelined requests run concurrently if their method allows it."""

    def __init__(
        self,
        handler: Handler,
        timers: Timers,
        limits: Callable[[], CallerLimits],
        closed: Callable[[CallerConnection], None],
        protection: CallerProtection | None = None,
    ) -> None:
        self._handler = handler
        self._timers = timers
        self._limits = limits
        self._closed = closed
        self._transport: asyncio.Transport | None = None
        self._protection = protection
        self._budget = None if protection is None else protection.budget
        self._holder = Holder(self._is_refusable, self._refuse_for_memory)
        self._unread_memory = self._reserve(Kind.UNREAD)
        self._reading_memory = self._reserve(Kind.REQUEST)
        self._unsent_memory = self._reserve(Kind.ANSWER)
        self._reader = RequestReader(
            self, timers.now, limits, self._new_body, throttled=self._budget is not None
        )
        self._slots: deque[_Slot] = deque()
        self._idle_since = timers.now()
        self._closing = False
        self._stopping = False
        self._unread = b""
        self._paused = False
        self._awaits_turn = False
        self._declined = False
        self._unused = True
        self._lingering_bytes = 0
        self._accepts_requests = True
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered, or an answer is not sent yet."""
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        return bool(self._slots) or self._reader.busy or unsent

    @property
    def unused(self) -> bool:
        """Return whether the connection has not sent the head of a request."""
        return self._unused and not self._reader.head_complete

    def obstructs(self, now: float) -> bool:
        """Return whether a request has been arriving, or answers have been unread, for long."""
        if not self._writable.is_set():
            return True
        return not self._slots and self._reader.age_s(now) > GRACE_S

    def decline(self) -> None:
        """Close the connection as soon as it is made."""
        self._declined = True

    def give_way(self) -> None:
        """Reset the connection, so that another one can be accepted."""
        self._closing = True
        self._reader.drop()
        if self._transport is not None:
            reset(self._transport)
            self._transport.abort()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        if self._declined:
            self._closing = True
            transport.abort()
            return
        budgeted = self._budget is not None
        transport.set_write_buffer_limits(high=BUDGETED_UNSENT_BYTES if budgeted else WINDOW_BYTES)
        raw = transport.get_extra_info("socket")
        if self._budget is not None and raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def received(self, data: bytes) -> None:
        if self._closing:
            self._linger(len(data))
            return
        self._holder.progress_at = self._timers.now()
        if self._unread:
            self._unread += data
            return
        if len(data) < SMALL_PIECE_BYTES and self._reader.busy:
            self._reader.pieces += READ_PIECES
        self._feed(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._closing = True
        self._writable.set()
        for slot in self._slots:
            slot.drop()
        self._slots.clear()
        self._reader.drop()
        self._unread = b""
        for reservation in (self._unread_memory, self._reading_memory, self._unsent_memory):
            if reservation is not None:
                reservation.release()
        if self._protection is not None:
            self._protection.turns.withdraw(self._take_turn)
        self._closed(self)

    def pause_writing(self) -> None:
        self._writable.clear()
        if self._unsent_memory is not None and self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
            self._unsent_memory.force(unsent, self._timers.now())

    def resume_writing(self) -> None:
        self._writable.set()
        if self._unsent_memory is not None:
            self._unsent_memory.release()
        self._holder.progress_at = self._timers.now()
        if self._transport is not None and not self._transport.is_closing():
            self._flush()

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
        if self._awaits_turn and is_closed_by_peer(self._transport):
            # Nobody needs its remaining bytes. The event loop doesn't report the close while
            # reading is paused.
            self._transport.abort()
        elif self._is_expired(now):
            # Its bytes may wait at the caller's side, where a close behind them can't be seen.
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self._awaits_turn and self._reader.is_overdue(now):
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self.busy and now - self._idle_since > self._limits().idle_timeout_s:
            self.close_if_idle()

    def _is_expired(self, now: float) -> bool:
        """Return whether the request that is being read has exceeded its own timeout."""
        protection = self._protection
        return protection is not None and self._reader.is_expired(now, protection.timeout_of)

    def continue_expected(self) -> None:
        """Send 100 Continue, so that the caller sends the body."""
        if not self._slots:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_read(self, request: CallerRequest, keeps_alive: bool) -> None:
        """Append a request to the order of answers and start what may run."""
        self._unused = False
        self._reader.pieces = self._reader.pieces + PIPELINED_PIECES if self._slots else 0
        if self._reading_memory is not None:
            self._reading_memory.release()
        slot = _Slot(request, close=not keeps_alive)
        if self._budget is not None and not self._reserve_request(slot, request):
            raise RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE)
        self._slots.append(slot)
        self._start_next()

    def upgrade_proposed(self) -> None:
        """Close the connection after the answer to the last request."""
        self._accepts_requests = False
        if self._slots:
            self._slots[-1].close = True

    def may_read_next(self) -> bool:
        """Return whether another request may be read."""
        # A caller that doesn't read its answers gets no further ones, as they would be buffered.
        pending = len(self._slots)
        return (
            self._accepts_requests and self._writable.is_set() and pending < MAX_PIPELINED_REQUESTS
        )

    def _feed(self, data: bytes) -> None:
        try:
            self._unread = self._reader.feed(data)
        except RequestRefusedError as refusal:
            self._refuse(refusal.status)
            return
        if self._transport is None or self._transport.is_closing():
            return
        if not self._reserve_reading():
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if not self._paused and (self._unread or not self.may_read_next()):
            self._pause()
        if self._reader.turn_used and not self._awaits_turn and self._protection is not None:
            self._awaits_turn = True
            self._protection.record_throttled(self._reader.pieces)
            self._protection.turns.request(self._take_turn)
            self._pause()

    def _pause(self) -> None:
        """Stop reading; what arrives meanwhile stays with the kernel and counts as held."""
        if self._paused or self._transport is None:
            return
        self._paused = True
        self._transport.pause_reading()
        if self._unread_memory is not None:
            self._unread_memory.force(UNREAD_BYTES, self._timers.now())

    def _take_turn(self) -> None:
        """Read on after other connections have had their turns."""
        self._awaits_turn = False
        if self._closing:
            return
        self._reader.begin_turn()
        self._resume_reading()

    def _reserve(self, kind: Kind) -> Reservation | None:
        return None if self._budget is None else self._budget.reserve(self._holder, kind)

    def _new_body(self) -> BodyBuffer:
        return BodyBuffer(self._reserve(Kind.BODY))

    def _reserve_reading(self) -> bool:
        """Reserve what a request that is being read has buffered besides its body's segments."""
        memory = self._reading_memory
        if memory is None:
            return True
        missing = self._reader.small_bytes - memory.size
        if missing <= 0:
            return True
        steps = -(-missing // READING_STEP_BYTES)
        return memory.grow(steps * READING_STEP_BYTES, self._timers.now())

    def _reserve_request(self, slot: _Slot, request: CallerRequest) -> bool:
        assert self._budget is not None
        size = sum(len(name) + len(value) for name, value in request.headers) + len(request.target)
        if isinstance(request.body, bytes):
            size += len(request.body)
        reservation = self._budget.reserve(self._holder, Kind.REQUEST)
        slot.reserved = (reservation,)
        return reservation.grow(size, self._timers.now())

    def _reserve_answer(self, slot: _Slot) -> None:
        """Count an answer, which exists already."""
        if self._budget is None or slot.answer is None:
            return
        reservation = self._budget.reserve(self._holder, Kind.ANSWER)
        slot.reserved += (reservation,)
        size = STREAM_BYTES if slot.answer.stream is not None else len(slot.answer.body)
        reservation.force(size, self._timers.now())

    def _is_refusable(self) -> bool:
        """Return whether a request is still being read, or its answers aren't being read."""
        if not self._writable.is_set():
            return True
        return not self._closing and self._reader.busy

    def _refuse_for_memory(self) -> None:
        """Release what this connection holds, as it holds most for longest."""
        if not self._writable.is_set() and self._transport is not None:
            self._closing = True
            self._reader.drop()
            for slot in self._slots:
                slot.drop()
            self._slots.clear()
            reset(self._transport)
            # Without this, a transport that is closing would keep what it has not sent.
            self._transport.abort()
        else:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def _linger(self, size: int) -> None:
        """Discard the bytes of a refused request up to a limit."""
        if self._protection is None:
            return
        self._lingering_bytes += size
        transport = self._transport
        beyond = self._lingering_bytes > LINGER_BYTES
        if beyond and not self._paused and transport is not None and not transport.is_closing():
            self._paused = True
            transport.pause_reading()

    def _resume_reading(self) -> None:
        """Parse the bytes that were held back while too many requests were pending."""
        if self._closing or not self.may_read_next() or self._transport is None:
            return
        if self._awaits_turn:
            return
        unread, self._unread = self._unread, b""
        if unread:
            self._feed(unread)
        if self._closing or self._awaits_turn or self._unread or not self._paused:
            return
        if self.may_read_next() and not self._transport.is_closing():
            self._paused = False
            if self._unread_memory is not None:
                self._unread_memory.release()
            self._transport.resume_reading()

    def _refuse(self, status: int) -> None:
        """Refuse the request that is being read, and read no more."""
        self._reader.drop()
        self._unread = b""
        if self._reading_memory is not None:
            self._reading_memory.release()
        emit(Event.CALLER_REFUSED, status=int(status))
        headers: Headers = ()
        if status == HTTPStatus.SERVICE_UNAVAILABLE and self._protection is not None:
            # After this time the heaviest holders may be refused in favour of others.
            headers = self._protection.retry_after(GRACE_S)
        self._slots.append(
            _Slot(None, CallerAnswer(status=int(status), headers=headers), close=True)
        )
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
        # No further attempt needs the body.
        release_body(slot.request.body)
        self._reserve_answer(slot)
        self._flush()

    def _flush(self) -> None:
        """Write the answers that are next in order."""
        while self._slots and self._slots[0].answer is not None:
            slot = self._slots[0]
            if slot.streaming or not self._writable.is_set():
                return
            if slot.answer.stream is not None:
                slot.streaming = True
                slot.task = asyncio.get_running_loop().create_task(self._stream_body(slot))
                return
            self._slots.popleft()
            close = self._closes_after(slot)
            self._write(encode_answer(slot.answer, close))
            slot.release()
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
        if not self._slots:
            # Its last bytes reached the limit on unsent ones, and the budget ended the connection.
            return
        self._slots.popleft()
        slot.release()
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
