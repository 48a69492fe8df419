"""Connections to servers, with what each attempt shows about this instance's own links."""

from __future__ import annotations

from functools import partial

from attrs import define

from hyssopwood.gateway.exchange import NotSentError
from hyssopwood.gateway.server_connection import Dial, ServerConnection, connect, dial
from hyssopwood.gateway.server_reach import ServerReach
from hyssopwood.timers import Timers

# An attempt that takes longer counts as a failure of the path; one lost packet adds 0.2 s.
SLOW_CONNECT_S = 0.25


@define(eq=False)
class ServerConnector:
    """Open connections to servers."""

    _reach: ServerReach
    _timers: Timers
    _dial: Dial = dial

    async def connect_directly(self, address: str) -> ServerConnection:
        """Connect to an address over this instance's own links; raise NotSentError if it fails."""
        unconnected = partial(self._reach.record_unconnected, address)
        slow = self._timers.call_later(SLOW_CONNECT_S, unconnected)
        try:
            connection = await connect(address, dialer=self._dial)
        except NotSentError:
            unconnected()
            raise
        finally:
            slow.cancel()
        self._reach.record_connected()
        return connection
