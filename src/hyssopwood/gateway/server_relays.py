"""Connections to servers by way of other instances, while this one is cut off from them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from functools import partial

from attrs import define, field

from hyssopwood.errors import ProtocolError
from hyssopwood.events import Event, emit
from hyssopwood.gateway.exchange import (
    NoPathError,
    NotSentError,
    OwnLinkError,
    ServerAnswer,
    ServerRequest,
)
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord
from hyssopwood.gateway.relay_codec import (
    RelayFrame,
    RelayReply,
    RelayRequest,
    RelayResult,
    decode_reply,
)
from hyssopwood.gateway.relay_frames import Frame, FrameKind, FrameReader
from hyssopwood.gateway.server_connection import ServerConnection
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Time for the whole attempt: the relaying instance has 0.35 s to connect to the server.
RELAY_TIMEOUT_S = 0.45
# Instances that are asked for one connection.
MAX_ASKED = 4
# An instance that is cut off itself, busy or silent isn't asked again for this time.
UNUSABLE_S = 1.0
# Relayed connections aren't reused for longer, so that the direct path is tried again.
MAX_AGE_S = 5.0
# Servers for which the instances that relay to them are remembered.
MAX_REMEMBERED_SERVERS = 2048
# Instances that must fail to connect to a server before that counts as its failure. One of them may
# be cut off without having noticed, and others of its failure domain with it.
FAILED_RELAYS_TO_BLAME = 2


class RelayedConnection(ServerConnection):
    """A connection to a server by way of another instance."""

    def __init__(self, relay: str = "") -> None:
        super().__init__()
        self._relay = relay
        loop = asyncio.get_running_loop()
        self._frame: RelayFrame | None = RelayFrame()
        self._frames: FrameReader | None = None
        self._reply: asyncio.Future[RelayReply] = loop.create_future()
        self._retired_at = loop.time() + MAX_AGE_S

    @property
    def usable(self) -> bool:
        return super().usable and asyncio.get_running_loop().time() < self._retired_at

    async def exchange(
        self, host: str, request: ServerRequest, id_header: bytes | None
    ) -> ServerAnswer:
        """Send a request; raise OwnLinkError if the relaying instance has ended the connection."""
        if not self.usable:
            raise OwnLinkError("the relaying instance has ended the connection")
        return await super().exchange(host, request, id_header)

    async def request(self, request: RelayRequest) -> RelayReply:
        """Return the other instance's reply; raise OSError or ProtocolError if there is none."""
        if self._transport is not None:
            self._transport.write(request.encode())
        return await self._reply

    def received(self, data: bytes) -> None:
        if self._frame is None:
            self._receive_relayed(data)
            return
        try:
            message = self._frame.feed(data)
            if message is None:
                return
            reply = decode_reply(message)
        except ProtocolError as error:
            self._end_reply(error)
            self.abort()
            return
        rest, self._frame = self._frame.rest, None
        self._frames = FrameReader() if reply.framed else None
        if not self._reply.done():
            self._reply.set_result(reply)
        if rest:
            self._receive_relayed(rest)

    def eof_received(self) -> bool:
        # This is the relaying instance's end of the connection, not the server's.
        self._lose_relay("close", "the relaying instance closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None:
            # This instance has ended the connection itself.
            self._end_reply(ConnectionResetError("the connection was closed"))
        else:
            self._lose_relay("reset", f"the relaying instance was lost: {exc}")
        super().connection_lost(exc)

    def _receive_relayed(self, data: bytes) -> None:
        """Handle bytes that follow the reply."""
        if self._frames is None:
            super().received(data)
            return
        try:
            for frame in self._frames.feed(data):
                self._apply(frame)
        except ProtocolError as error:
            emit(Event.PEER_REJECTED, error=error)
            self._lose_relay("malformed", str(error))

    def _apply(self, frame: Frame) -> None:
        if frame.kind is FrameKind.BYTES:
            super().received(frame.data)
        elif frame.kind is FrameKind.SERVER_CLOSED:
            super().eof_received()
        else:
            self._retire()

    def _retire(self) -> None:
        """Send no further request; the pool closes the connection after the answer under way."""
        self._retired_at = float("-inf")
        if not self.awaits_answer:
            self.close()

    def _lose_relay(self, end: str, cause: str) -> None:
        """End the connection, and the exchange under way, without the server's answer."""
        self._end_reply(ConnectionResetError(cause))
        if self.awaits_answer:
            request_id = self.request_id.decode("latin-1")
            emit(Event.RELAY_ENDED, id=request_id, relay=self._relay, end=end)
        self._fail(cause)

    def _end_reply(self, error: Exception) -> None:
        if not self._reply.done():
            self._reply.set_exception(error)
            # The error counts as retrieved, as the caller may have been cancelled.
            self._reply.exception()


@define(eq=False)
class ServerRelays:
    """Open connections to servers by way of instances that reach them."""

    _own: InstanceRecord
    _instances: InstanceList
    _health: ServerHealth
    _timers: Timers
    _metrics: Metrics
    _rng: random.Random = field(factory=random.Random)
    # Instances that have relayed connections to a server, and when they last did.
    _relayed: dict[tuple[str, int], dict[InstanceRecord, float]] = field(factory=dict, init=False)
    _notices: set[asyncio.Future[None]] = field(factory=set, init=False)
    # Times until which instances aren't asked for servers of a service.
    _unusable_until: dict[tuple[str, str], float] = field(factory=dict, init=False)

    async def connect(self, server: ServerRecord) -> ServerConnection:
        """Connect to a server by way of another instance.

        Raises NotSentError if an instance that reaches other servers can't connect to this one, and
        NoPathError if no instance was found that reaches any.
        """
        candidates = self._rank(server)
        failures: dict[InstanceRecord, NotSentError] = {}
        for _ in range(min(MAX_ASKED, len(candidates))):
            record = _next_to_ask(candidates, failures)
            candidates.remove(record)
            try:
                return await self._connect_by(record, server)
            except NotSentError as error:
                failures[record] = error
                if len(failures) == FAILED_RELAYS_TO_BLAME:
                    break
            except (OSError, TimeoutError, ProtocolError):
                self._mark_unusable(record, server.service)
        if failures:
            raise list(failures.values())[-1]
        raise NoPathError(f"no instance relays a connection to {server.server}")

    def has_candidates(self, service: str) -> bool:
        """Return whether an instance may be asked now for servers of a service."""
        return any(True for _ in self._usable(service))

    def report_back_off(self, server: ServerRecord, seconds: float) -> None:
        """Tell the instances that relay to a server that it has asked for a back-off.

        The server takes this instance's requests for theirs.
        """
        oldest = self._timers.now() - MAX_AGE_S
        for record, relayed_at in self._relayed.pop(server.incarnation, {}).items():
            if relayed_at >= oldest:
                notice = asyncio.ensure_future(self._send_back_off(record, server, seconds))
                self._notices.add(notice)
                notice.add_done_callback(self._notices.discard)

    async def _send_back_off(
        self, record: InstanceRecord, server: ServerRecord, seconds: float
    ) -> None:
        request = RelayRequest(server.server, server.born_ms, seconds)
        try:
            await self._ask(record, request)
        except (OSError, TimeoutError, ProtocolError) as error:
            emit(Event.PEER_LOST, instance=record.instance, error=error)

    async def _ask(
        self, record: InstanceRecord, request: RelayRequest
    ) -> tuple[RelayedConnection, RelayReply]:
        """Return an instance's reply, and the connection, which is open only if it is CONNECTED."""
        host, _, port = record.relay_address.rpartition(":")
        loop = asyncio.get_running_loop()
        connection: RelayedConnection | None = None
        kept = False
        try:
            async with asyncio.timeout(RELAY_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    partial(RelayedConnection, record.instance), host, int(port)
                )
                reply = await connection.request(request)
            kept = reply.result is RelayResult.CONNECTED
            return connection, reply
        finally:
            if connection is not None and not kept:
                connection.abort()

    async def _connect_by(self, record: InstanceRecord, server: ServerRecord) -> ServerConnection:
        """Connect by way of an instance; raise ConnectionError if it can't relay now."""
        connection, reply = await self._ask(
            record, RelayRequest(server.server, server.born_ms, framed=True)
        )
        self._metrics.count("relay_requests", reply.result.value)
        if reply.result is RelayResult.CONNECTED:
            if len(self._relayed) >= MAX_REMEMBERED_SERVERS:
                self._relayed.clear()
            self._relayed.setdefault(server.incarnation, {})[record] = self._timers.now()
            return connection
        if reply.result in (RelayResult.CUT_OFF, RelayResult.BUSY):
            raise ConnectionError(reply.result.value)
        if reply.result is RelayResult.BACKED_OFF:
            # The server counts requests that are relayed as the relaying instance's own.
            self._health.record_back_off(server.incarnation, reply.back_off_s)
        detail = f"{record.instance} can't connect to {server.server}: {reply.result.value}"
        raise NotSentError(detail)

    def _rank(self, server: ServerRecord) -> list[InstanceRecord]:
        """Return the instances that may be asked, in random order.

        By way of an instance in the server's or the own failure domain, bytes cross domains no more
        often than on the direct path.
        """
        near = {server.failure_domain, self._own.failure_domain}
        usable = list(self._usable(server.service))
        self._rng.shuffle(usable)
        usable.sort(key=lambda record: record.failure_domain not in near)
        return usable

    def _usable(self, service: str) -> Iterable[InstanceRecord]:
        now = self._timers.now()
        return (
            record
            for record in self._instances.others()
            if record.relay_address
            and self._unusable_until.get((record.instance, service), now) <= now
        )

    def _mark_unusable(self, record: InstanceRecord, service: str) -> None:
        self._metrics.count("relays_unusable", record.instance)
        now = self._timers.now()
        self._unusable_until = {
            key: until for key, until in self._unusable_until.items() if until > now
        }
        self._unusable_until[record.instance, service] = now + UNUSABLE_S


def _next_to_ask(
    candidates: list[InstanceRecord], failed: Iterable[InstanceRecord]
) -> InstanceRecord:
    """Return the first candidate of a failure domain in which none has failed, if there is one."""
    domains = {record.failure_domain for record in failed}
    others = (record for record in candidates if record.failure_domain not in domains)
    return next(others, candidates[0])
