"""One connection between two instances: framing, hello, requests and replies."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator

from attrs import define

from hyssopwood.errors import PeerUnavailableError, ProtocolError
from hyssopwood.messages import (
    MAX_FRAME_BYTES,
    Body,
    Envelope,
    ErrorReply,
    Hello,
    decode,
    encode,
)
from hyssopwood.timers import Timers
from hyssopwood.waiting import WaitTimeoutError, within

LENGTH_BYTES = 4
# A peer that leaves this much unread is disconnected instead of growing the buffer.
MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES
# A message that no reply is expected to.
NOTIFICATION = 0


def frame(envelope: Envelope) -> bytes:
    """Return the length-prefixed bytes of an envelope; raise ProtocolError when too large."""
    data = encode(envelope)
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolError(f"message of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


async def read_envelope(reader: asyncio.StreamReader) -> Envelope | None:
    """Return the next envelope, None at the end of the stream."""
    try:
        head = await reader.readexactly(LENGTH_BYTES)
        size = int.from_bytes(head, "big")
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES}")
        return decode(await reader.readexactly(size))
    except (asyncio.IncompleteReadError, OSError):
        return None


@define(eq=False)
class Wire:
    """Write and read envelopes on one TCP connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    timers: Timers
    received_at: float

    @classmethod
    def of(cls, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, timers: Timers) -> Wire:
        """Return the wire of an open connection."""
        return cls(reader, writer, timers, timers.now())

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope; raise PeerUnavailableError when the peer doesn't read."""
        if self.writer.is_closing():
            raise PeerUnavailableError("the connection is closed")
        if self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise PeerUnavailableError("the peer doesn't read its connection")
        self.writer.write(frame(envelope))

    async def receive(self) -> Envelope | None:
        """Return the next envelope, None at the end of the stream."""
        envelope = await read_envelope(self.reader)
        self.received_at = self.timers.now()
        return envelope

    async def envelopes(self) -> AsyncIterator[Envelope]:
        """Yield envelopes until the stream ends."""
        while (envelope := await self.receive()) is not None:
            yield envelope

    async def exchange_hello(self, own: Hello, timeout_s: float) -> Hello:
        """Send the own hello and return the peer's; raise ProtocolError for a bad one."""
        self.send(Envelope(NOTIFICATION, 0, own))
        try:
            envelope = await within(self.timers, timeout_s, self.receive())
        except WaitTimeoutError as error:
            raise PeerUnavailableError("the peer sent no hello in time") from error
        if envelope is None:
            raise PeerUnavailableError("the peer closed the connection before its hello")
        hello = envelope.body
        if not isinstance(hello, Hello):
            raise ProtocolError(f"expected hello, got {type(hello).__name__}")
        if hello.stream != own.stream:
            raise ProtocolError(f"peer belongs to stream {hello.stream!r:.60}")
        return hello

    def close(self) -> None:
        """Close the connection without waiting for unsent bytes."""
        self.writer.transport.abort()


class Link:
    """Outgoing connection to one peer: sends requests and receives their replies."""

    def __init__(self, wire: Wire, incarnation: str) -> None:
        self.wire = wire
        self.incarnation = incarnation
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Body]] = {}
        self._waiting_since = 0.0

    @property
    def closed(self) -> bool:
        """Return whether the connection can no longer be used."""
        return self.wire.writer.is_closing()

    def notify(self, body: Body) -> None:
        """Send a message that has no reply."""
        self.wire.send(Envelope(NOTIFICATION, 0, body))

    def send(self, body: Body) -> tuple[int, asyncio.Future[Body]]:
        """Send a request; return its id and the future of its reply."""
        number = next(self._ids)
        self.wire.send(Envelope(number, 0, body))
        future: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        if not self._pending:
            self._waiting_since = self.wire.timers.now()
        self._pending[number] = future
        return number, future

    def waits_since(self, since: float) -> bool:
        """Return whether requests wait and no byte has arrived since a time."""
        return bool(self._pending) and max(self._waiting_since, self.wire.received_at) < since

    def abandon(self, number: int) -> None:
        """Forget a request whose reply is no longer wanted."""
        self._pending.pop(number, None)

    async def read_replies(self) -> None:
        """Deliver replies until the connection ends; raise ProtocolError for bad bytes."""
        try:
            async for envelope in self.wire.envelopes():
                self._deliver(envelope)
        finally:
            self.close("the connection was lost")

    def close(self, reason: str) -> None:
        """Close the connection and fail what is outstanding."""
        self.wire.close()
        pending, self._pending = self._pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(PeerUnavailableError(f"peer {self.incarnation}: {reason}"))
                future.exception()  # An abandoned future must not log a warning.

    def _deliver(self, envelope: Envelope) -> None:
        future = self._pending.pop(envelope.reply_to, None)
        if future is None or future.done():
            return
        if isinstance(envelope.body, ErrorReply):
            reason = envelope.body.reason
            error = PeerUnavailableError(f"peer {self.incarnation} refused: {reason}")
            future.set_exception(error)
        else:
            future.set_result(envelope.body)
