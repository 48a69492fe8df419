"""One buffer for all reads of a process, and the count that bounds what is no body."""

from __future__ import annotations

import asyncio
import socket
import struct

from attrs import define

# Most bytes that one read brings. Event loops read up to 256 KiB at once without a buffer of ours.
READ_BYTES = 65_536
# Bytes of framing for each byte of a body; a chunk of one byte has five.
FRAMING_PER_BODY_BYTE = 16

# Event loops fill the buffer and hand it over in one step, so connections can share it.
_SHARED = bytearray(READ_BYTES)
_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """End a connection at once, so that the other side can't take it for an orderly end."""
    if transport.is_closing():
        return
    raw = transport.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


class BufferedConnection(asyncio.BufferedProtocol):
    """Read into the shared buffer, so that no connection keeps one while it is idle."""

    def get_buffer(self, sizehint: int) -> bytearray:
        return _SHARED

    def buffer_updated(self, nbytes: int) -> None:
        self.received(bytes(memoryview(_SHARED)[:nbytes]))

    def received(self, data: bytes) -> None:
        """Take the bytes of one read."""
        raise NotImplementedError


@define
class FramingMeter:
    """Count the bytes of a message that are not its body: heads, chunk frames and trailers.

    Parsers gather a header or a chunk extension before they tell of it, so its bytes are counted
    as they are fed.
    """

    _max_bytes: int
    _fed: int = 0
    _body: int = 0

    @property
    def exceeded(self) -> bool:
        """Return whether the message has more framing than it may have."""
        return self._fed - self._body > self._max_bytes + FRAMING_PER_BODY_BYTE * self._body

    def count_fed(self, size: int) -> None:
        """Count bytes that the parser was given."""
        self._fed += size

    def count_body(self, size: int) -> None:
        """Count bytes of the body that the parser told of."""
        self._body += size
