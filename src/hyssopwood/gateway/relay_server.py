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
from hyssopwood.gateway.memory_budget import Holder, Kind, MemoryBudget, Reservation
from hyssopwood.gateway.read_buffer import READ_BYTES, BufferedConnection, reset
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
    announce_retirement,
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
# Unsent bytes above which a relayed connection isn't read further, if the process has a budget.
BUDGETED_UNSENT_BYTES = 16_384
# Bytes that such a connection buffers at most: in each direction what is unsent and one more read.
RELAYED_BYTES = 2 * (BUDGETED_UNSENT_BYTES + READ_BYTES)
# Time for the request after a connection was accepted.
REQUEST_TIMEOUT_S = 1.0
# Time for the connection to the server. The asking instance waits a little longer.
RELAY_CONNECT_TIMEOUT_S = 0.35
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
        # Whether bytes of an answer have come since the last ones of a request.
        self._answered = False
        self._refuses_requests = False
        # Incarnation of the server, once the connection is relayed.
        self.server: tuple[str, int] | None = None
        self._memory: Reservation | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._expiry = self._relays.start_expiry(self.reset)

    def reserve(self, budget: MemoryBudget, now: float) -> bool:
        """Reserve the memory of a relayed connection; return whether the budget grants it."""
        holder = Holder(lambda: False, self.reset)
        self._memory = budget.reserve(holder, Kind.RELAY)
        return self._memory.grow(RELAYED_BYTES, now)

    def accept(self, framed: bool) -> None:
        """Send the reply that the connection is relayed; the server's bytes follow."""
        if self.transport is None or not self.writable:
            return
        self.transport.write(RelayReply(RelayResult.CONNECTED, framed=framed).encode())
        self._output = open_output(self.transport, framed)

    def pass_on(self, data: bytes) -> None:
        self._answered = True
        if self.writable:
            pass_bytes(self._output, data)

    def pass_server_close(self) -> None:
        """Pass on that the server has closed the connection in order."""
        if self.writable:
            pass_close(self._output)

    def announce_retirement(self) -> bool:
        """Ask for no further request, and for the connection's close; return whether that works."""
        return self.writable and announce_retirement(self._output)

    def refuse_requests(self) -> None:
        """Pass on the answer that is under way, and no further request."""
        # If the other instance is told, only a request that crosses the message may follow.
        self._refuses_requests = not self.announce_retirement()

    def resume_writing(self) -> None:
        super().resume_writing()
        close_sent(self._output)

    def received(self, data: bytes) -> None:
        if self._frame is None:
            self._receive_request(data)
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
        if self._memory is not None:
            self._memory.release()
        self._relays.forget(self)
        other, self.other = self.other, None
        if other is None:
            return
        if exc is None and other.transport is not None:
            other.transport.close()
        else:
            other.reset()

    def _receive_request(self, data: bytes) -> None:
        if self._refuses_requests and self._answered:
            # These are the first bytes of another request.
            self.reset()
            return
        self._answered = False
        super().received(data)

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
    _budget: MemoryBudget | None = None
    _max_relayed: int = MAX_RELAYED
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
        """Return the number of connections that the asking instances have not closed."""
        return len(self._ends)

    def retire(self) -> None:
        """Let the requests that are relayed end, and ask for no further ones."""
        self._metrics.count("relayed_connections_retired", "stopping", len(self._ends))
        for end in list(self._ends):
            end.announce_retirement()

    def refuse_requests_to(self, incarnation: tuple[str, int]) -> None:
        """Relay no further requests to a server that asked this instance to back off."""
        for end in list(self._ends):
            if end.server == incarnation:
                self._metrics.count("relayed_connections_retired", "back-off")
                end.refuse_requests()

    def _apply_back_off(self, request: RelayRequest) -> None:
        incarnation = request.server, request.born_ms
        self._health.record_back_off(incarnation, min(MAX_BACK_OFF_S, request.back_off_s))
        self.refuse_requests_to(incarnation)

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
                reply = self._join(end, server_end, request)
        reply = reply or RelayReply(RelayResult.UNKNOWN_SERVER)
        self._metrics.count("relayed_connections", reply.result.value)
        if reply.result is not RelayResult.CONNECTED:
            end.refuse(reply)

    def _join(self, end: _AskingEnd, server_end: _ServerEnd, request: RelayRequest) -> RelayReply:
        """Begin to relay, unless the connection isn't wanted any more or the server has closed it.

        The process may have begun to stop, or the server to leave, since the request.
        """
        refusal = self._find_refusal(request)
        if refusal is not None:
            server_end.reset()
            return refusal
        if not server_end.writable:
            return RelayReply(RelayResult.UNREACHABLE)
        if self._budget is not None:
            if not end.writable or not end.reserve(self._budget, self._timers.now()):
                server_end.reset()
                return RelayReply(RelayResult.BUSY)
            for item in (end, server_end):
                if item.transport is not None:
                    item.transport.set_write_buffer_limits(high=BUDGETED_UNSENT_BYTES)
        end.server = request.server, request.born_ms
        end.accept(request.framed)
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
        if self._declining() or len(self._ends) > self._max_relayed:
            return RelayReply(RelayResult.BUSY)
        if server is None or server.incarnation != (request.server, request.born_ms):
            return RelayReply(RelayResult.UNKNOWN_SERVER)
        if server.draining:
            return RelayReply(RelayResult.UNKNOWN_SERVER)
        if self._reach.cut_off(server.service):
            return RelayReply(RelayResult.CUT_OFF)
        back_off_s = self._health.back_off_left_s(server.incarnation)
        return RelayReply(RelayResult.BACKED_OFF, back_off_s) if back_off_s else None
