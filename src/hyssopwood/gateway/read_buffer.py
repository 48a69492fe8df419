"""The read buffer that all connections share, and a limit on the framing of messages."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

from attrs import define

# Maximum size of one read. Without a buffer of its own a protocol gets up to 256 KiB at once.
READ_BYTES = 65_536
# Allowed bytes of framing per byte of a body; a chunk of one byte has five.
FRAMING_PER_BODY_BYTE = 16

# Event loops fill the buffer and deliver it in one step, so connections can share it.
_SHARED_BUFFER = bytearray(READ_BYTES)
_NO_LINGER = struct.pack("ii", 1, 0)
_DEFAULT_LINGER = struct.pack("ii", 0, 0)


def set_reset_on_close(transport: asyncio.Transport, enabled: bool) -> None:
    """Choose whether the connection's close resets it, also when the process ends."""
    raw = transport.get_extra_info("socket")
    if raw is not None:
        linger = _NO_LINGER if enabled else _DEFAULT_LINGER
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that the peer can't mistake this for an orderly close."""
    if transport.is_closing():
        return
    set_reset_on_close(transport, True)
    transport.abort()


def is_closed_by_peer(transport: asyncio.Transport | None) -> bool:
    """Return whether the peer has ended a connection that isn't being read."""
    raw = None if transport is None else transport.get_extra_info("socket")
    if raw is None or raw.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class BufferedConnection(asyncio.BufferedProtocol):
    """Read into the shared buffer, so that idle connections need no buffer of their own."""

    def get_buffer(self, sizehint: int) -> bytearray:
        return _SHARED_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.received(bytes(memoryview(_SHARED_BUFFER)[:nbytes]))

    def received(self, data: bytes) -> None:
        """Handle the bytes of one read."""
        raise NotImplementedError


@define
class FramingMeter:
    """Count the bytes of a message outside its body: heads, chunk frames and trailers.

    Parsers buffer a header or a chunk extension before they report it, so all bytes are counted
    when they are fed to the parser.
    """

    _max_bytes: int
    _fed: int = 0
    _body: int = 0

    @property
    def exceeded(self) -> bool:
        """Return whether the message has more framing than allowed."""
        return self._fed - self._body > self._max_bytes + FRAMING_PER_BODY_BYTE * self._body

    def count_fed(self, size: int) -> None:
        """Count bytes that were fed to the parser."""
        self._fed += size

    def count_body(self, size: int) -> None:
        """Count bytes of the body that the parser reported."""
        self._body += size
