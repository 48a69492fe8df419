"""Frames in which a relaying instance passes a server's bytes on.

A connection's end doesn't tell whose it is: the kernel of a killed process closes its connections
in order. So a frame of its own tells that the server has closed the connection.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import Enum

from attrs import define, field, frozen

from hyssopwood.errors import ProtocolError

_HEADER = struct.Struct(">BI")


class FrameKind(Enum):
    """Kinds of frames; the values are sent."""

    BYTES = 0
    # The server has closed the connection in order. No frame follows.
    SERVER_CLOSED = 1
    # The instance relays no further request on the connection. The asking instance closes it after
    # the answer that is under way, as only that instance knows where an answer ends.
    RETIRED = 2


@frozen
class Frame:
    """A frame, or for BYTES a part of one."""

    kind: FrameKind
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the frame's kind, size and bytes."""
        return _HEADER.pack(self.kind.value, len(self.data)) + self.data


@define
class FrameReader:
    """Split the bytes of a relayed connection into frames, without holding a frame's bytes back."""

    _header: bytearray = field(factory=bytearray, init=False)
    # Bytes of the frame that is being read which have not arrived yet.
    _left: int = field(default=0, init=False)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield what arrived; raise ProtocolError if the bytes are malformed."""
        view = memoryview(data)
        while view:
            if self._left:
                piece = bytes(view[: self._left])
                self._left -= len(piece)
                view = view[len(piece) :]
                yield Frame(FrameKind.BYTES, piece)
                continue
            missing = _HEADER.size - len(self._header)
            self._header += view[:missing]
            view = view[missing:]
            if len(self._header) < _HEADER.size:
                return
            kind = self._read_header()
            if kind is not FrameKind.BYTES:
                yield Frame(kind)

    def _read_header(self) -> FrameKind:
        number, size = _HEADER.unpack(self._header)
        self._header.clear()
        try:
            kind = FrameKind(number)
        except ValueError as error:
            raise ProtocolError(f"a relay frame has the kind {number}") from error
        if size and kind is not FrameKind.BYTES:
            raise ProtocolError(f"a relay frame of kind {kind.name} has {size} bytes")
        self._left = size
        return kind
