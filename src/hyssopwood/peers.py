"""Messages between instances: peer server, connections and request handlers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from attrs import define

from hyssopwood.errors import HyssopwoodError, PeerUnavailableError, ProtocolError
from hyssopwood.events import Event, emit
from hyssopwood.messages import Body, Envelope, ErrorReply, Hello, PositionRequest
from hyssopwood.peer_link import Link, Wire
from hyssopwood.state import ClusterState
from hyssopwood.timers import Timers
from hyssopwood.waiting import TaskGroup, WaitTimeoutError, within

Handler = Callable[[str, Any], Awaitable[Body | None]]
LostListener = Callable[[str], None]

MAX_INCOMING_CONNECTIONS = 2_048
# Requests beyond this many waiting ones are refused; notifications are always read, because a
# waiting permit request may need a returned permit that arrives on the same connection.
MAX_WAITING_HANDLERS = 1_024
HELLO_TIMEOUT_S = 0.25
# A request without any byte from the peer for this long starts a probe over a new connection.
SILENCE_S = 0.1
FIRST_RECONNECT_S = 0.02
MAX_RECONNECT_S = 0.5


class StateSource(Protocol):
    """Give the cluster state in force."""

    @property
    def state(self) -> ClusterState:
        """Return the state in force."""
        ...


@define
class _Backoff:
    retry_at: float = 0.0
    delay_s: float = 0.0

    def failed(self, now: float) -> None:
        self.delay_s = min(MAX_RECONNECT_S, self.delay_s * 2 or FIRST_RECONNECT_S)
        self.retry_at = now + self.delay_s


class Peers:
    """Send messages to other instances and answer theirs."""

    def __init__(self, identity: Hello, source: StateSource, timers: Timers, address: str) -> None:
        self._identity = identity
        self._source = source
        self._timers = timers
        self._address = address
        self._handlers: dict[type, Handler] = {}
        self._lost_listeners: list[LostListener] = []
        self._links: dict[str, Link] = {}
        self._dials: dict[str, asyncio.Task[Link]] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._incoming: dict[Wire, str] = {}
        self._tasks = TaskGroup()
        self._server: asyncio.Server | None = None

    @property
    def incarnation(self) -> str:
        """Return the own incarnation."""
        return self._identity.incarnation

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        if self._server is None:
            raise PeerUnavailableError("the peer server is not started")
        return int(self._server.sockets[0].getsockname()[1])

    def on(self, body_type: type, handler: Handler) -> None:
        """Register the handler of one kind of message."""
        self._handlers[body_type] = handler

    def on_lost(self, listener: LostListener) -> None:
        """Call the listener with an incarnation whose last incoming connection has ended."""
        self._lost_listeners.append(listener)

    async def start(self) -> None:
        """Listen for other instances."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host.strip("[]"), int(port))

    async def run(self) -> None:
        """Listen until cancelled, then close every connection."""
        if self._server is None:
            await self.start()
        try:
            await self._watch_silence()
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Close the server and every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in self._links.values():
            link.close("this instance stops")
        for wire in list(self._incoming):
            wire.close()
        await self._tasks.stop_all()

    # Outgoing

    async def request(self, incarnation: str, body: Body, timeout_s: float) -> Body:
        """Return the peer's reply; raise PeerUnavailableError without one in time."""
        try:
            if incarnation == self.incarnation:
                return await within(self._timers, timeout_s, self._request_self(body))
            return await within(self._timers, timeout_s, self._request_peer(incarnation, body))
        except WaitTimeoutError as error:
            raise PeerUnavailableError(f"peer {incarnation} didn't answer in time") from error

    async def notify(self, incarnation: str, body: Body) -> None:
        """Send a message without a reply; raise PeerUnavailableError without a connection."""
        if incarnation == self.incarnation:
            await self._handle(incarnation, body)
            return
        (await self._link_to(incarnation)).notify(body)

    async def _request_self(self, body: Body) -> Body:
        reply = await self._handle(self.incarnation, body)
        if isinstance(reply, ErrorReply):
            raise PeerUnavailableError(f"own instance refused: {reply.reason}")
        if reply is None:
            raise PeerUnavailableError(f"{type(body).__name__} has no reply")
        return reply

    async def _request_peer(self, incarnation: str, body: Body) -> Body:
        link = await self._link_to(incarnation)
        number, future = link.send(body)
        try:
            return await future
        finally:
            link.abandon(number)

    async def _watch_silence(self) -> None:
        """Probe each connection on which requests wait and nothing arrives."""
        async for now in self._timers.ticks(SILENCE_S):
            for link in self._links.values():
                if link.waits_since(now - SILENCE_S):
                    self._tasks.start(("probe", link.incarnation), self._replace_silent(link))

    async def _replace_silent(self, link: Link) -> None:
        """Probe both the connection and a new one; close the old one if only the new one answers.

        A connection without bytes may be idle because every outstanding request waits in a queue,
        so the probe that is answered at once decides.
        """
        probed_at = self._timers.now()
        try:
            number, answer = link.send(PositionRequest())
            fresh = await self._dial(link.incarnation)
        except (PeerUnavailableError, ProtocolError):
            return
        with contextlib.suppress(WaitTimeoutError, PeerUnavailableError):
            await within(self._timers, SILENCE_S, asyncio.shield(answer))
        link.abandon(number)
        if link.wire.received_at >= probed_at:
            fresh.close("the older connection works")
            return
        emit(Event.PEER_SILENT, incarnation=link.incarnation)
        self._adopt(fresh)
        link.close("the connection was silent")

    async def _link_to(self, incarnation: str) -> Link:
        link = self._links.get(incarnation)
        if link is not None and not link.closed:
            return link
        self._links.pop(incarnation, None)
        dial = self._dials.get(incarnation)
        if dial is None:
            dial = asyncio.ensure_future(self._connect(incarnation))
            self._dials[incarnation] = dial
            dial.add_done_callback(lambda done: self._dialled(incarnation, done))
        return await asyncio.shield(dial)

    def _dialled(self, incarnation: str, dial: asyncio.Task[Link]) -> None:
        self._dials.pop(incarnation, None)
        if not dial.cancelled():
            dial.exception()

    async def _connect(self, incarnation: str) -> Link:
        backoff = self._backoffs.setdefault(incarnation, _Backoff())
        if self._timers.now() < backoff.retry_at:
            raise PeerUnavailableError(f"peer {incarnation} was unreachable a moment ago")
        try:
            link = await self._dial(incarnation)
        except (PeerUnavailableError, ProtocolError):
            backoff.failed(self._timers.now())
            raise
        self._backoffs.pop(incarnation, None)
        self._adopt(link)
        return link

    async def _dial(self, incarnation: str) -> Link:
        host, port = self._address_of(incarnation)
        try:
            streams = await within(
                self._timers, HELLO_TIMEOUT_S, asyncio.open_connection(host, port)
            )
        except (OSError, WaitTimeoutError) as error:
            raise PeerUnavailableError(f"peer {incarnation} can't be reached") from error
        wire = Wire.of(*streams, self._timers)
        try:
            hello = await wire.exchange_hello(self._identity, HELLO_TIMEOUT_S)
            if hello.incarnation != incarnation:
                raise PeerUnavailableError(f"peer {incarnation} was replaced at its address")
        except ProtocolError as error:
            emit(Event.PEER_REJECTED, incarnation=incarnation, error=error)
            wire.close()
            raise PeerUnavailableError(str(error)) from error
        except BaseException:
            wire.close()
            raise
        return Link(wire, incarnation)

    def _address_of(self, incarnation: str) -> tuple[str, int]:
        member = self._source.state.members.get(incarnation)
        if member is None:
            raise PeerUnavailableError(f"{incarnation} is not a member")
        host, _, port = member.peer_address.rpartition(":")
        return host.strip("[]"), int(port)

    def _adopt(self, link: Link) -> None:
        self._links[link.incarnation] = link
        self._tasks.start(("replies", link), self._read_replies(link))
        self._drop_departed()
        emit(Event.PEER_CONNECTED, incarnation=link.incarnation, direction="out")

    def _drop_departed(self) -> None:
        members = self._source.state.members
        for name in [name for name in self._links if name not in members]:
            self._links.pop(name).close("the peer is no longer a member")
        for name in [name for name in self._backoffs if name not in members]:
            del self._backoffs[name]

    async def _read_replies(self, link: Link) -> None:
        try:
            await link.read_replies()
        except ProtocolError as error:
            emit(Event.PEER_REJECTED, incarnation=link.incarnation, error=error)
        if self._links.get(link.incarnation) is link:
            del self._links[link.incarnation]
        emit(Event.PEER_LOST, incarnation=link.incarnation, direction="out")

    # Incoming

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = Wire.of(reader, writer, self._timers)
        if len(self._incoming) >= MAX_INCOMING_CONNECTIONS:
            wire.close()
            return
        self._incoming[wire] = ""
        try:
            await self._serve(wire)
        except ProtocolError as error:
            emit(Event.PEER_REJECTED, incarnation=self._incoming[wire] or "unknown", error=error)
        except PeerUnavailableError as error:
            emit(Event.PEER_LOST, incarnation=self._incoming[wire] or "unknown", error=error)
        finally:
            wire.close()
            self._ended(self._incoming.pop(wire))

    def _ended(self, sender: str) -> None:
        if not sender or sender in self._incoming.values():
            return
        emit(Event.PEER_LOST, incarnation=sender, direction="in")
        for listener in self._lost_listeners:
            listener(sender)

    async def _serve(self, wire: Wire) -> None:
        hello = await wire.exchange_hello(self._identity, HELLO_TIMEOUT_S)
        self._incoming[wire] = hello.incarnation
        emit(Event.PEER_CONNECTED, incarnation=hello.incarnation, direction="in")
        handlers: set[asyncio.Task[None]] = set()
        try:
            async for envelope in wire.envelopes():
                if envelope.id and len(handlers) >= MAX_WAITING_HANDLERS:
                    wire.send(Envelope(0, envelope.id, ErrorReply("too many requests wait")))
                    continue
                task = asyncio.ensure_future(self._respond(wire, hello.incarnation, envelope))
                handlers.add(task)
                task.add_done_callback(handlers.discard)
        finally:
            for task in handlers:
                task.cancel()

    async def _respond(self, wire: Wire, sender: str, envelope: Envelope) -> None:
        reply = await self._handle(sender, envelope.body)
        if not envelope.id:
            return
        if reply is None:
            reply = ErrorReply("this message has no reply")
        try:
            wire.send(Envelope(0, envelope.id, reply))
        except PeerUnavailableError:
            emit(Event.PEER_LOST, incarnation=sender, direction="in")
        except ProtocolError as error:
            wire.send(Envelope(0, envelope.id, ErrorReply(str(error))))

    async def _handle(self, sender: str, body: Body) -> Body | None:
        handler = self._handlers.get(type(body))
        if handler is None:
            return ErrorReply(f"{type(body).__name__} is not handled")
        try:
            return await handler(sender, body)
        except HyssopwoodError as error:
            return ErrorReply(f"{type(error).__name__}: {error}")
        except Exception as error:
            emit(Event.HANDLER_FAILED, kind=type(body).__name__, error=repr(error))
            return ErrorReply("internal failure")
