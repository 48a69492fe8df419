"""Pool of connections to servers, reused only while the server is certain to keep them open."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from attrs import define, field

from hyssopwood.gateway.exchange import BodyStream, ServerAnswer, ServerRequest
from hyssopwood.gateway.server_connection import ServerConnection, connect
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.timers import Timers

# Maximum number of idle connections per server; each counts against the server's connection limit,
# which all callers share.
MAX_IDLE_PER_SERVER = 4


def _do_nothing() -> None:
    return None


async def _connect_directly(server: ServerRecord) -> ServerConnection:
    return await connect(server.address)


@define
class ServerPool:
    """Run exchanges over connections that are pooled per incarnation of a server."""

    _timers: Timers
    _id_header: bytes | None
    _connect: Callable[[ServerRecord], Awaitable[ServerConnection]] = _connect_directly
    _idle: dict[tuple[str, int], list[ServerConnection]] = field(factory=dict, init=False)
    _opened: int = field(default=0, init=False)

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return self._opened

    async def exchange(
        self,
        server: ServerRecord,
        request: ServerRequest,
        before_sending: Callable[[], None] = _do_nothing,
    ) -> ServerAnswer:
        """Send a request over a pooled or a new connection and return the answer.

        `before_sending` is called once there is a connection; if it raises, nothing is sent. A
        streamed answer keeps its connection until the stream has ended. Raises NotSentError if no
        byte was sent, and ExchangeBrokenError if some were.
        """
        connection = self._acquire(server)
        if connection is None:
            connection = await self._connect(server)
            self._opened += 1
        stream: BodyStream | None = None
        try:
            before_sending()
            answer = await connection.exchange(server.address, request, self._id_header)
            stream = answer.stream
            return answer
        finally:
            if stream is None:
                self._release(server, connection)
            else:
                stream.ended.add_done_callback(lambda _: self._release(server, connection))

    def adopt(self, server: ServerRecord, connection: ServerConnection) -> None:
        """Keep an unused connection to a server for later exchanges."""
        self._opened += 1
        self._release(server, connection)

    def abort_idle(self, server: ServerRecord) -> None:
        """Reset the idle connections to a server that has failed or was replaced."""
        for connection in self._idle.pop(server.incarnation, ()):
            connection.abort()

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Close the idle connections to all incarnations except the given ones."""
        for incarnation in self._idle.keys() - incarnations:
            for connection in self._idle.pop(incarnation):
                connection.close()

    def expire(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._timers.now()
        for incarnation, connections in list(self._idle.items()):
            kept = [item for item in connections if self._is_reusable(item, now)]
            for connection in connections:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]

    def _acquire(self, server: ServerRecord) -> ServerConnection | None:
        idle = self._idle.get(server.incarnation)
        now = self._timers.now()
        while idle:
            connection = idle.pop()
            if self._is_reusable(connection, now):
                return connection
            connection.close()
        return None

    def _is_reusable(self, connection: ServerConnection, now: float) -> bool:
        return connection.usable and now - connection.idle_since < connection.idle_limit_s

    def _release(self, server: ServerRecord, connection: ServerConnection) -> None:
        idle = self._idle.setdefault(server.incarnation, [])
        if not connection.usable or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            return
        connection.idle_since = self._timers.now()
        idle.append(connection)
