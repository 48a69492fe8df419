"""The paths from this instance to the servers: its own links, and relays by other instances."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from attrs import define, field

from hyssopwood.gateway.exchange import NotSentError
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord
from hyssopwood.gateway.memory_budget import MemoryBudget
from hyssopwood.gateway.relay_server import MAX_RELAYED, RelayServer
from hyssopwood.gateway.server_connection import Dial, ServerConnection, connect
from hyssopwood.gateway.server_connector import ServerConnector
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.gateway.server_reach import ServerReach
from hyssopwood.gateway.server_relays import ServerRelays
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers


@define(eq=False)
class ServerPaths:
    """Create the parts that connect to servers, and switch between direct and relayed paths."""

    _own: InstanceRecord
    _instances: InstanceList
    _directory: ServerDirectory
    _health: ServerHealth
    _id_header: bytes
    _timers: Timers
    _metrics: Metrics
    _dial: Dial
    # Whether this instance relays no further connections.
    _declining: Callable[[], bool]
    _budget: MemoryBudget | None = None
    _max_relayed: int = MAX_RELAYED
    _rng: random.Random = field(factory=random.Random)
    _reach: ServerReach = field(init=False)
    _connector: ServerConnector = field(init=False)
    _pool: ServerPool = field(init=False)
    _command_pool: ServerPool = field(init=False)
    _relay_server: RelayServer = field(init=False)
    _relays: ServerRelays = field(init=False)

    def __attrs_post_init__(self) -> None:
        connect_once = partial(connect, dialer=self._dial)
        self._reach = ServerReach(
            self._directory, connect_once, self._adopt, self._timers, self._metrics
        )
        self._relays = ServerRelays(
            self._own, self._instances, self._health, self._timers, self._metrics
        )
        self._connector = ServerConnector(self._reach, self._relays, self._timers, self._dial)
        self._pool = ServerPool(self._timers, self._id_header, self._connector.connect)
        self._command_pool = ServerPool(self._timers, None, self._connector.connect_directly)
        self._relay_server = RelayServer(
            self._own.relay_address,
            self._directory,
            self._connector,
            self._reach,
            self._health,
            self._timers,
            self._metrics,
            self._declining,
            self._budget,
            self._max_relayed,
        )
        self._reach.subscribe(self._switch)

    @property
    def reach(self) -> ServerReach:
        """Return what is known of this instance's own links."""
        return self._reach

    @property
    def pool(self) -> ServerPool:
        """Return the connections for requests, which may be relayed."""
        return self._pool

    @property
    def command_pool(self) -> ServerPool:
        """Return the connections for key commands, which are never relayed.

        A relay that is paused could deliver a grant after its lease counts as expired.
        """
        return self._command_pool

    @property
    def relay_server(self) -> RelayServer:
        """Return the relays for other instances."""
        return self._relay_server

    async def connect_directly(self, server: ServerRecord) -> ServerConnection:
        """Connect to a server over this instance's own links; raise NotSentError if it fails."""
        return await self._connector.connect_directly(server)

    def has_path(self, service: str) -> bool:
        """Return whether a service may be reached, directly or by way of another instance."""
        return not self._reach.cut_off(service) or self._relays.has_candidates(service)

    def handle_back_off(self, server: ServerRecord, seconds: float) -> None:
        """Keep requests of others from a server that has asked this instance to back off.

        The server doesn't tell a relaying instance's requests from those that it relays.
        """
        self._relay_server.refuse_requests_to(server.incarnation)
        self._relays.report_back_off(server, seconds)

    async def is_relayed(self) -> bool:
        """Return whether another instance reaches a server from which this one is cut off."""
        servers = [
            record
            for service in self._reach.cut_off_services()
            for record in self._directory.of_service(service)
            if not record.draining
        ]
        if not servers:
            return False
        server = self._rng.choice(servers)
        try:
            connection = await self._relays.connect(server)
        except NotSentError:
            return False
        self._adopt(server, connection)
        return True

    def _adopt(self, server: ServerRecord, connection: ServerConnection) -> None:
        self._pool.adopt(server, connection)

    def _switch(self, service: str, cut_off: bool) -> None:
        """Use relays to a service from now on, or no more."""
        for server in self._directory.of_service(service):
            # Idle connections may be silent in a cut, and those that are relayed take a detour
            # after it.
            self._pool.abort_idle(server)
            self._command_pool.abort_idle(server)
            if cut_off:
                # What looked like a failure was the loss of this instance's own links.
                self._health.forget_failure(server.incarnation)
