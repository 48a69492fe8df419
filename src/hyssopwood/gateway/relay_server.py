"""Relays connections of instances that are cut off from the servers.

The asking instance decides everything about a request; this one only connects to the server and
copies bytes both ways. The server's orderly close is passed on as what it is, and any other end of
the connection as a broken one, so that a broken answer never looks complete.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from attrs import define, field

from hyssopwood.errors import ProtocolError
from hyssopwood.events import Event, emit
from hyssopwood.gateway.exchange import NotSentError, OwnLinkError
from hyssopwood.gateway.read_buffer import BufferedConnection, reset
from hyssopwood.gateway.relay_codec import (
    RelayFrame,
    RelayReply,
    RelayRequest,
    RelayResult,
    decode_request,
)
from hyssopwood.gateway.relay_output import (
    FramedOutput,
    PlainOutput,
    close_sent,
    open_output,
    pass_bytes,
    pass_close,
)
from hyssopwood.gateway.server_connection import UNACKNOWLEDGED_TIMEOUT_MS
from hyssopwood.gateway.server_connector import ServerConnector
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_reach import ServerReach
from hyssopwood.metrics import Metrics
from hyssopwood.timers import TimerHandle, Timers

# Relayed connections at a time; each takes two descriptors of the process, which has at least 4100.
MAX_RELAYED = 800
# Time for the request after a connection was accepted.
REQUEST_TIMEOUT_S = 1.0
# Time for the connection to the server. The asking instance waits a little longer.
RELAY_CONNECT_TIMEOUT_S = 0.35
# An answer counts as complete if no more of it arrives for this time.
QUIET_S = 0.2
# Limit on the time for which another instance's notice keeps this one away from a server.
MAX_BACK_OFF_S = 60.0


class _RelayEnd(BufferedConnection):
    """One end of a relayed connection; what it receives is passed on by the other end."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _RelayEnd | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)

    @property
    def writable(self) -> bool:
        """Return whether this end still takes bytes."""
        return self.transport is not None and not self.transport.is_closing()

    def pass_on(self, data: bytes) -> None:
        """Send bytes that the other end has received."""
        raise NotImplementedError

    def received(self, data: bytes) -> None:
        if self.other is None:
            # A server that speaks first, or a request before the reply, breaks the protocol.
            self.reset()
            return
        self.other.pass_on(data)

    def pause_writing(self) -> None:
        other = self.other
        if other is not None and other.transport is not None and other.writable:
            other.transport.pause_reading()

    def resume_writing(self) -> None:
        other = self.other
        if other is not None and other.transport is not None and other.writable:
            other.transport.resume_reading()

    def eof_received(self) -> bool:
        # The transport closes itself.
        return False

    def reset(self) -> None:
        """Reset this end, and the other one with it."""
        if self.transport is not None:
            reset(self.transport)
        other, self.other = self.other, None
        if other is not None:
            other.reset()


class _ServerEnd(_RelayEnd):
    """The server's end."""

    other: _AskingEnd | None

    def join(self, asking: _AskingEnd) -> None:
        """Copy between the two ends from now on."""
        self.other, asking.other = asking, self

    def pass_on(self, data: bytes) -> None:
        if self.transport is not None and self.writable:
            self.transport.write(data)

    def eof_received(self) -> bool:
        asking, self.other = self.other, None
        if asking is not None:
            asking.pass_server_close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        # An orderly close of the server has been handled before.
        other, self.other = self.other, None
        if other is not None:
            other.reset()


class _AskingEnd(_RelayEnd):
    """The end of the instance that asks for the connection."""

    def __init__(self, relays: RelayServer) -> None:
        super().__init__()
        self._relays = relays
        self._frame: RelayFrame | None = RelayFrame()
        self._expiry: TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._output: FramedOutput | PlainOutput | None = None
        self._awaits_answer = True
        self._answered_at = 0.0
        # Incarnation of the server, once the connection is relayed.
        self.server: tuple[str, int] | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._expiry = self._relays.start_expiry(self.reset)

    @property
    def awaits_answer(self) -> bool:
        """Return whether the last bytes went to the server, or may have more bytes behind them."""
        return self._awaits_answer or self._relays.now() - self._answered_at < QUIET_S

    def accept(self, framed: bool) -> None:
        """Send the reply that the connection is relayed; the server's bytes follow."""
        if self.transport is None or not self.writable:
            return
        self.transport.write(RelayReply(RelayResult.CONNECTED, framed=framed).encode())
        self._output = open_output(self.transport, framed)

    def pass_on(self, data: bytes) -> None:
        self._awaits_answer, self._answered_at = False, self._relays.now()
        if self.writable:
            pass_bytes(self._output, data)

    def pass_server_close(self) -> None:
        """Pass on that the server has closed the connection in order."""
        if self.writable:
            pass_close(self._output)

    def resume_writing(self) -> None:
        super().resume_writing()
        close_sent(self._output)

    def received(self, data: bytes) -> None:
        if self._frame is None:
            self._awaits_answer = True
            super().received(data)
            return
        try:
            message = self._frame.feed(data)
            if message is None:
                return
            request = decode_request(message)
            if self._frame.rest:
                raise ProtocolError("bytes follow a relay request before its reply")
        except ProtocolError as error:
            emit(Event.PEER_REJECTED, error=error)
            self.reset()
            return
        self._frame = None
        self._cancel_expiry()
        self._task = asyncio.get_running_loop().create_task(self._relays.open(self, request))

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_expiry()
        if self._task is not None:
            self._task.cancel()
        self._relays.forget(self)
        other, self.other = self.other, None
        if other is None:
            return
        if exc is None and other.transport is not None:
            other.transport.close()
        else:
            other.reset()

    def refuse(self, reply: RelayReply) -> None:
        """Send a reply that ends the connection."""
        if self.transport is not None and self.writable:
            self.transport.write(reply.encode())
            self.transport.close()

    def _cancel_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()


@define(eq=False)
class RelayServer:
    """Accept requests of other instances to relay connections to servers."""

    _address: str
    _directory: ServerDirectory
    _connector: ServerConnector
    _reach: ServerReach
    _health: ServerHealth
    _timers: Timers
    _metrics: Metrics
    _declining: Callable[[], bool]
    _server: asyncio.Server | None = field(default=None, init=False)
    _ends: set[_AskingEnd] = field(factory=set, init=False)

    async def start(self) -> None:
        """Accept connections of other instances."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, int(port))

    def close(self) -> None:
        """Stop accepting connections and reset those that are relayed."""
        if self._server is not None:
            self._server.close()
        for end in list(self._ends):
            end.reset()

    @property
    def busy(self) -> int:
        """Return the number of relayed connections on which an answer may be under way."""
        return sum(end.awaits_answer for end in self._ends)

    def close_idle(self) -> None:
        """Close the relayed connections without a request, so that they carry no further one."""
        for end in list(self._ends):
            if not end.awaits_answer and end.transport is not None:
                self._count_end("idle")
                end.transport.close()

    def close_idle_to(self, incarnation: tuple[str, int]) -> None:
        """Close the relayed connections to a server that asked this instance to back off."""
        for end in list(self._ends):
            if end.server == incarnation and not end.awaits_answer and end.transport is not None:
                self._count_end("idle")
                end.transport.close()

    def _count_end(self, ended_by: str) -> None:
        self._metrics.count("relayed_connections_ended", ended_by)

    def _apply_back_off(self, request: RelayRequest) -> None:
        incarnation = request.server, request.born_ms
        self._health.record_back_off(incarnation, min(MAX_BACK_OFF_S, request.back_off_s))
        self.close_idle_to(incarnation)

    def now(self) -> float:
        """Return the time on the timers' clock."""
        return self._timers.now()

    def start_expiry(self, expire: Callable[[], None]) -> TimerHandle:
        """Limit the time for a request."""
        return self._timers.call_later(REQUEST_TIMEOUT_S, expire)

    def forget(self, end: _AskingEnd) -> None:
        """Remove a connection that has ended."""
        self._ends.discard(end)

    async def open(self, end: _AskingEnd, request: RelayRequest) -> None:
        """Connect to the server of a request and begin to relay, or refuse that."""
        if request.back_off_s:
            self._apply_back_off(request)
            end.refuse(RelayReply(RelayResult.BACKED_OFF, request.back_off_s))
            return
        reply = self._find_refusal(request)
        server = self._directory.get(request.server)
        if reply is None and server is not None:
            try:
                server_end = await self._connect(server)
            except OwnLinkError:
                reply = RelayReply(RelayResult.CUT_OFF)
            except NotSentError:
                reply = RelayReply(RelayResult.UNREACHABLE)
            else:
                reply = self._join(end, server_end, request.framed)
                end.server = server.incarnation
        reply = reply or RelayReply(RelayResult.UNKNOWN_SERVER)
        self._metrics.count("relayed_connections", reply.result.value)
        if reply.result is not RelayResult.CONNECTED:
            end.refuse(reply)

    def _join(self, end: _AskingEnd, server_end: _ServerEnd, framed: bool) -> RelayReply:
        """Begin to relay unless the server has closed the connection already."""
        if not server_end.writable:
            return RelayReply(RelayResult.UNREACHABLE)
        end.accept(framed)
        server_end.join(end)
        return RelayReply(RelayResult.CONNECTED)

    async def _connect(self, server: ServerRecord) -> _ServerEnd:
        return await self._connector.open_directly(_ServerEnd, server, RELAY_CONNECT_TIMEOUT_S)

    def _accept(self) -> _AskingEnd:
        end = _AskingEnd(self)
        self._ends.add(end)
        return end

    def _find_refusal(self, request: RelayRequest) -> RelayReply | None:
        server = self._directory.get(request.server)
        if self._declining() or len(self._ends) > MAX_RELAYED:
            return RelayReply(RelayResult.BUSY)
        if server is None or server.incarnation != (request.server, request.born_ms):
            return RelayReply(RelayResult.UNKNOWN_SERVER)
        if server.draining:
            return RelayReply(RelayResult.UNKNOWN_SERVER)
        if self._reach.cut_off(server.service):
            return RelayReply(RelayResult.CUT_OFF)
        back_off_s = self._health.back_off_left_s(server.incarnation)
        return RelayReply(RelayResult.BACKED_OFF, back_off_s) if back_off_s else None
