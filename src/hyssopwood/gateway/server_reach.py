"""Detection of whether this instance itself has lost its links to the backend servers.

A failed connection doesn't show at which end the fault is. An instance whose own links are lost
sees every server fail, so after failures at several servers it tries others: only if none of them
accepts a connection does it count as cut off.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from attrs import define, field

from hyssopwood.events import Event, emit
from hyssopwood.gateway.exchange import NotSentError
from hyssopwood.gateway.server_connection import ServerConnection
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Servers that must fail, without a success in between, before the cause may be at this instance.
FAILED_SERVERS_TO_DOUBT = 2
# Servers that are tried to settle a doubt, at first and if none of those accepts a connection. With
# fewer, a crash of two thirds of the servers would count as a cut.
PROBED_SERVERS = 4
CONFIRMING_SERVERS = 8
# An established path accepts a connection in a few milliseconds; a lost packet adds 0.2 s.
PROBE_TIMEOUT_S = 0.4
# Interval of probes while cut off.
PROBE_INTERVAL_S = 0.4
# Failures older than this say nothing about the present.
FAILURE_TTL_S = 2.0
# After an answer or an accepted connection failures raise no doubt for this time, so that crashes
# of servers don't cause a probe each.
CONFIRMED_S = 0.3


@define(eq=False)
class ServerReach:
    """Decide from connections to servers whether this instance is cut off from all of them."""

    _directory: ServerDirectory
    # Connects to an address within a time in seconds.
    _connect: Callable[[str, float], Awaitable[ServerConnection]]
    # Takes the connections of successful probes.
    _adopt: Callable[[ServerRecord, ServerConnection], None]
    _timers: Timers
    _metrics: Metrics
    _rng: random.Random = field(factory=random.Random)
    # Times of the latest failure at each address, of exchanges and of connection attempts. Answers
    # over old connections don't show that new ones are accepted, so both are kept apart.
    _failed: dict[str, float] = field(factory=dict, init=False)
    _unconnected: dict[str, float] = field(factory=dict, init=False)
    _answered_at: float = field(default=float("-inf"), init=False)
    _connected_at: float = field(default=float("-inf"), init=False)
    _cut_off: asyncio.Event = field(factory=asyncio.Event, init=False)
    _cut_off_since: float = field(default=0.0, init=False)
    _doubted: asyncio.Event = field(factory=asyncio.Event, init=False)
    _settled: asyncio.Event = field(factory=asyncio.Event, init=False)
    _listeners: list[Callable[[bool], None]] = field(factory=list, init=False)

    @property
    def cut_off(self) -> bool:
        """Return whether this instance can connect to no server."""
        return self._cut_off.is_set()

    @property
    def in_doubt(self) -> bool:
        """Return whether failures at servers may be caused by this instance's own links."""
        return self.cut_off or self._doubted.is_set()

    def subscribe(self, listener: Callable[[bool], None]) -> None:
        """Call back with True when this instance is cut off, and with False when it isn't."""
        self._listeners.append(listener)

    def record_connected(self) -> None:
        """Record that a server accepted a connection."""
        self._unconnected.clear()
        self._connected_at = self._timers.now()
        self.record_answered()

    def record_answered(self) -> None:
        """Record that a server answered over a direct connection."""
        self._failed.clear()
        self._answered_at = self._timers.now()

    def record_failed(self, address: str) -> None:
        """Record that an exchange over a direct connection failed."""
        self._record(self._failed, address, self._answered_at)

    def record_unconnected(self, address: str) -> None:
        """Record that a connection attempt failed or takes unusually long."""
        self._record(self._failed, address, self._answered_at)
        self._record(self._unconnected, address, self._connected_at)

    async def wait_cut_off(self) -> None:
        """Wait until this instance is cut off."""
        await self._cut_off.wait()

    async def wait_settled(self) -> None:
        """Wait until a doubt is settled; return at once if there is none."""
        if self._doubted.is_set() and not self.cut_off:
            self._settled.clear()
            await self._settled.wait()

    async def run(self) -> None:
        """Settle doubts by probes until cancelled."""
        while True:
            if not self.cut_off:
                await self._doubted.wait()
            self._apply(not await self._is_reached())
            self._doubted.clear()
            self._settled.set()
            if self.cut_off:
                await self._timers.sleep(PROBE_INTERVAL_S)

    def _record(self, failures: dict[str, float], address: str, succeeded_at: float) -> None:
        now = self._timers.now()
        failures.pop(address, None)
        failures[address] = now
        while now - next(iter(failures.values())) > FAILURE_TTL_S:
            del failures[next(iter(failures))]
        if len(failures) >= FAILED_SERVERS_TO_DOUBT and now - succeeded_at > CONFIRMED_S:
            self._doubted.set()

    async def _is_reached(self) -> bool:
        """Return whether a server accepts a connection, or there are too few to tell."""
        servers = self._servers_to_probe()
        if len(servers) < FAILED_SERVERS_TO_DOUBT:
            return True
        first, others = servers[:PROBED_SERVERS], servers[PROBED_SERVERS:]
        if await self._probe(first):
            return True
        if self.cut_off:
            return False
        return await self._probe(others[:CONFIRMING_SERVERS])

    def _servers_to_probe(self) -> list[ServerRecord]:
        """Return the servers in the order to probe them: first those that haven't failed."""
        servers = [record for record in self._directory.records() if not record.draining]
        self._rng.shuffle(servers)
        servers.sort(key=lambda record: record.address in self._failed)
        return servers

    async def _probe(self, servers: list[ServerRecord]) -> bool:
        """Return whether any of the servers accepts a connection."""
        attempts = [asyncio.ensure_future(self._attempt(server)) for server in servers]
        try:
            for attempt in asyncio.as_completed(attempts):
                if await attempt:
                    return True
            return False
        finally:
            for item in attempts:
                item.cancel()

    async def _attempt(self, server: ServerRecord) -> bool:
        self._metrics.count("server_probes")
        try:
            connection = await self._connect(server.address, PROBE_TIMEOUT_S)
        except NotSentError:
            return False
        self.record_connected()
        self._adopt(server, connection)
        return True

    def _apply(self, cut_off: bool) -> None:
        if cut_off == self.cut_off:
            return
        now = self._timers.now()
        if cut_off:
            self._cut_off.set()
            self._cut_off_since = now
            emit(Event.SERVERS_UNREACHABLE, failed=len(self._failed))
        else:
            self._cut_off.clear()
            emit(Event.SERVERS_REACHABLE, after_s=round(now - self._cut_off_since, 2))
        for listener in self._listeners:
            listener(cut_off)
