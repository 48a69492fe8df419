"""Messages that begin a relayed connection, and their framing."""

from __future__ import annotations

import struct
from enum import Enum
from pathlib import Path
from typing import Any

import capnp
from attrs import define, field, frozen

from hyssopwood.errors import ProtocolError

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("relay.capnp")))
# Limit on what the decoder reads for one message of a peer, in words of 8 bytes.
TRAVERSAL_WORDS = 256
MAX_MESSAGE_BYTES = 1024
MAX_MS = 2**32 - 1
MS_PER_S = 1000
_LENGTH = struct.Struct(">H")


class RelayResult(Enum):
    """Results of a request to relay a connection."""

    CONNECTED = "connected"
    # The relaying instance, whose own links are sound, can't connect to the server.
    UNREACHABLE = "unreachable"
    # The server isn't registered, or it is leaving.
    UNKNOWN_SERVER = "unknownServer"
    # The relaying instance may be cut off from the servers itself.
    CUT_OFF = "cutOff"
    # The instance relays no further connection, as it has enough of them or stops.
    BUSY = "busy"
    # The server has told the relaying instance to back off.
    BACKED_OFF = "backedOff"


@frozen
class RelayRequest:
    """A request to connect to a server and to relay the connection's bytes.

    With `back_off_s` it is a notice instead: the server asked for this back-off over a connection
    that the receiver relays, and counts the receiver's own requests with those.
    """

    server: str
    born_ms: int
    back_off_s: float = 0.0
    # Whether the sender reads the server's bytes in frames.
    framed: bool = False

    def encode(self) -> bytes:
        """Return the framed message."""
        wire = _SCHEMA.RelayRequest.new_message()
        wire.server, wire.bornMs = self.server, self.born_ms
        wire.backOffMs = _to_milliseconds(self.back_off_s)
        wire.framed = self.framed
        return _frame(wire)


@frozen
class RelayReply:
    """The reply to a request; if it is CONNECTED, the server's bytes follow."""

    result: RelayResult
    back_off_s: float = 0.0
    # Whether the server's bytes follow in frames.
    framed: bool = False

    def encode(self) -> bytes:
        """Return the framed message."""
        wire = _SCHEMA.RelayReply.new_message()
        wire.result = self.result.value
        wire.backOffMs = _to_milliseconds(self.back_off_s)
        wire.framed = self.framed
        return _frame(wire)


def _to_milliseconds(seconds: float) -> int:
    return int(min(MAX_MS, max(0.0, seconds * MS_PER_S)))


def _frame(wire: Any) -> bytes:
    data = wire.to_bytes_packed()
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"a relay message has {len(data)} bytes")
    return _LENGTH.pack(len(data)) + data


@define
class RelayFrame:
    """Collect the bytes of one framed message."""

    _received: bytearray = field(factory=bytearray, init=False)

    def feed(self, data: bytes) -> bytes | None:
        """Add bytes; return the message when it is complete. `rest` then has what follows it."""
        self._received += data
        if len(self._received) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._received)
        if length > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a relay message has {length} bytes")
        end = _LENGTH.size + length
        if len(self._received) < end:
            return None
        message = bytes(self._received[_LENGTH.size : end])
        del self._received[:end]
        return message

    @property
    def rest(self) -> bytes:
        """Return the bytes after a complete message."""
        return bytes(self._received)


def _read(struct_type: Any, data: bytes) -> Any:
    return struct_type.from_bytes_packed(data, traversal_limit_in_words=TRAVERSAL_WORDS)


def decode_request(data: bytes) -> RelayRequest:
    """Return a request; raise ProtocolError if the bytes are malformed."""
    try:
        wire = _read(_SCHEMA.RelayRequest, data)
        return RelayRequest(wire.server, wire.bornMs, wire.backOffMs / MS_PER_S, wire.framed)
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(f"malformed relay request: {error}") from error


def decode_reply(data: bytes) -> RelayReply:
    """Return a reply; raise ProtocolError if the bytes are malformed."""
    try:
        wire = _read(_SCHEMA.RelayReply, data)
        result = RelayResult(str(wire.result))
        return RelayReply(result, wire.backOffMs / MS_PER_S, wire.framed)
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(f"malformed relay reply: {error}") from error
