"""Connections to servers: direct ones, and relayed ones while this instance is cut off."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from attrs import define, field

from hyssopwood.gateway.exchange import NoPathError, NotSentError, OwnLinkError
from hyssopwood.gateway.server_connection import (
    CONNECT_TIMEOUT_S,
    Dial,
    ProtocolT,
    ServerConnection,
    dial,
    open_connection,
)
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_reach import ServerReach
from hyssopwood.gateway.server_relays import ServerRelays
from hyssopwood.timers import Timers

# An attempt that takes longer counts as a failure of the path; one lost packet adds 0.2 s.
SLOW_CONNECT_S = 0.25
# Time after which the direct path to a single server is tried again.
DETOUR_S = 1.0


@define(eq=False)
class ServerConnector:
    """Open connections to servers, and record what each attempt shows about the own links."""

    _reach: ServerReach
    _relays: ServerRelays
    _timers: Timers
    _dial: Dial = dial
    # Times until which servers are only connected to by way of other instances.
    _detours: dict[tuple[str, int], float] = field(factory=dict, init=False)

    async def connect(self, server: ServerRecord) -> ServerConnection:
        """Connect to a server in the way that works now; raise NotSentError if none does."""
        if self._reach.cut_off(server.service):
            return await self._relays.connect(server)
        if self._is_detoured(server):
            try:
                return await self._relays.connect(server)
            except NoPathError:
                self._detours.pop(server.incarnation, None)
        try:
            return await self.connect_directly(server)
        except NotSentError as error:
            return await self._connect_by_detour(server, error)

    def _is_detoured(self, server: ServerRecord) -> bool:
        return self._detours.get(server.incarnation, float("-inf")) > self._timers.now()

    async def _connect_by_detour(
        self, server: ServerRecord, error: NotSentError
    ) -> ServerConnection:
        """Connect by way of another instance, as the own link to this one server may be lost.

        Raises the error of the direct attempt if no instance relays the connection.
        """
        try:
            connection = await self._relays.connect(server)
        except NoPathError:
            raise error from None
        now = self._timers.now()
        self._detours = {key: until for key, until in self._detours.items() if until > now}
        self._detours[server.incarnation] = now + DETOUR_S
        return connection

    async def connect_directly(self, server: ServerRecord) -> ServerConnection:
        """Connect to a server over this instance's own links; raise NotSentError if it fails."""
        return await self.open_directly(ServerConnection, server, CONNECT_TIMEOUT_S)

    async def open_directly(
        self, factory: Callable[[], ProtocolT], server: ServerRecord, timeout_s: float
    ) -> ProtocolT:
        """Open a connection of any protocol over this instance's own links.

        Raises OwnLinkError if the attempt fails and these links may be the cause, and NotSentError
        if it fails otherwise.
        """
        unconnected = partial(self._reach.record_unconnected, server)
        slow = self._timers.call_later(SLOW_CONNECT_S, unconnected)
        try:
            connection = await open_connection(factory, server.address, timeout_s, self._dial)
        except NotSentError as error:
            unconnected()
            if self._reach.in_doubt(server.service):
                raise OwnLinkError(str(error)) from error
            raise
        finally:
            slow.cancel()
        self._reach.record_connected(server.service)
        return connection
