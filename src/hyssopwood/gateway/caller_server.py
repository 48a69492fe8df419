"""HTTP listener for callers, readiness checks and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from attrs import define, field

from hyssopwood.gateway.caller_connection import DEFAULT_LIMITS, CallerConnection, Handler
from hyssopwood.gateway.caller_protection import CallerProtection
from hyssopwood.gateway.route_table import CallerLimits
from hyssopwood.timers import Timers

# Connections that wait to be accepted; if the queue is full, a caller's SYN is repeated after 1 s.
BACKLOG = 1024
LIMIT_CHECK_INTERVAL_S = 0.25


def choose_connection_to_close(
    connections: Iterable[CallerConnection], now: float
) -> CallerConnection | None:
    """Return the oldest connection that has not sent a request.

    If there is none, the oldest idle one is returned, or else the oldest one that is slow.
    """
    idle: CallerConnection | None = None
    slow: CallerConnection | None = None
    for connection in connections:
        if connection.unused:
            return connection
        if idle is None and not connection.busy:
            idle = connection
        if slow is None and connection.obstructs(now):
            slow = connection
    return idle or slow


@define
class CallerServer:
    """Accept connections on an address and close them gracefully."""

    _address: str
    _handler: Handler
    _timers: Timers
    _limits: Callable[[], CallerLimits | None] = lambda: None
    # Bounds on what callers take of the process; None for none.
    _protection: CallerProtection | None = None
    # In the order in which they were accepted.
    _connections: dict[CallerConnection, None] = field(factory=dict, init=False)
    _server: asyncio.Server | None = field(default=None, init=False)
    _stopping: bool = field(default=False, init=False)

    @property
    def busy(self) -> int:
        """Return how many connections have an unanswered request."""
        return sum(connection.busy for connection in self._connections)

    async def start(self) -> None:
        """Start accepting connections."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connection, host, int(port), backlog=BACKLOG, reuse_address=True
        )

    async def enforce_limits(self) -> None:
        """Close connections that exceed the limits on callers, until cancelled."""
        async for now in self._timers.ticks(LIMIT_CHECK_INTERVAL_S):
            for connection in list(self._connections):
                connection.check_limits(now)
            if self._protection is not None:
                self._protection.check(now, len(self._connections))

    def disable_keep_alive(self) -> None:
        """Close each connection after its pending requests, or if idle, after its next one."""
        self._stopping = True
        for connection in self._connections:
            connection.stop()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def reset_unfinished(self) -> None:
        """Reset the connections with a part of an answer, before the process ends."""
        for connection in list(self._connections):
            connection.reset_if_unfinished()

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def _connection(self) -> CallerConnection:
        connection = CallerConnection(
            self._handler, self._timers, self._current_limits, self._forget, self._protection
        )
        if not self._make_room():
            connection.decline()
            return connection
        self._connections[connection] = None
        if self._stopping:
            connection.stop()
        return connection

    def _forget(self, connection: CallerConnection) -> None:
        self._connections.pop(connection, None)

    def _make_room(self) -> bool:
        """Return whether another connection may be accepted, after closing one if necessary."""
        protection = self._protection
        if protection is None or protection.max_connections is None:
            return True
        count = len(self._connections)
        if count < protection.max_connections:
            return True
        victim = choose_connection_to_close(self._connections, self._timers.now())
        protection.record_connection("not accepted" if victim is None else "closed", count)
        if victim is None:
            return False
        self._forget(victim)
        victim.give_way()
        return True

    def _current_limits(self) -> CallerLimits:
        return self._limits() or DEFAULT_LIMITS
