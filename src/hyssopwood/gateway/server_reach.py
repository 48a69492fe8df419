"""Detection of whether this instance itself has lost its links to the servers of a service.

A failed connection doesn't show at which end the fault is. An instance whose own links are lost
sees every server fail, so after failures at several servers of a service it tries others: only if
none of them accepts a connection does it count as cut off from the service.
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
# Time after which the other servers are tried, while the first ones may still answer.
CONFIRM_AFTER_S = 0.15
# Interval of probes while cut off.
PROBE_INTERVAL_S = 0.4
# Failures older than this say nothing about the present.
FAILURE_TTL_S = 2.0
# After an answer or an accepted connection failures raise no doubt for this time, so that crashes
# of servers don't cause a probe each.
CONFIRMED_S = 0.3


@define(eq=False)
class _ServiceReach:
    """What is known of the links to one service's servers."""

    # Times of the latest failure at each address, of exchanges and of connection attempts. Answers
    # over old connections don't show that new ones are accepted, so both are kept apart.
    failed: dict[str, float] = field(factory=dict)
    unconnected: dict[str, float] = field(factory=dict)
    answered_at: float = float("-inf")
    connected_at: float = float("-inf")
    cut_off: bool = False
    cut_off_since: float = 0.0
    # Settles the doubt, and probes until the cut is over; None while there is no doubt.
    probing: asyncio.Task[None] | None = None
    settled: asyncio.Event = field(factory=asyncio.Event)


@define(eq=False)
class ServerReach:
    """Decide from connections to servers from which services this instance is cut off."""

    _directory: ServerDirectory
    # Connects to an address within a time in seconds.
    _connect: Callable[[str, float], Awaitable[ServerConnection]]
    # Takes the connections of successful probes.
    _adopt: Callable[[ServerRecord, ServerConnection], None]
    _timers: Timers
    _metrics: Metrics
    _rng: random.Random = field(factory=random.Random)
    _services: dict[str, _ServiceReach] = field(factory=dict, init=False)
    _cut_off: asyncio.Event = field(factory=asyncio.Event, init=False)
    _listeners: list[Callable[[str, bool], None]] = field(factory=list, init=False)

    @property
    def any_cut_off(self) -> bool:
        """Return whether this instance is cut off from any service."""
        return self._cut_off.is_set()

    @property
    def cut_off_since(self) -> float:
        """Return when the latest cut was noticed, or minus infinity while there is none."""
        times = [item.cut_off_since for item in self._services.values() if item.cut_off]
        return max(times, default=float("-inf"))

    def cut_off_services(self) -> list[str]:
        """Return the services from which this instance is cut off."""
        return [service for service, reach in self._services.items() if reach.cut_off]

    def cut_off(self, service: str) -> bool:
        """Return whether this instance can connect to no server of a service."""
        reach = self._services.get(service)
        return reach is not None and reach.cut_off

    def in_doubt(self, service: str) -> bool:
        """Return whether failures at the servers may be caused by this instance's own links."""
        reach = self._services.get(service)
        return reach is not None and (reach.cut_off or reach.probing is not None)

    def subscribe(self, listener: Callable[[str, bool], None]) -> None:
        """Call back with a service and whether this instance is cut off from it."""
        self._listeners.append(listener)

    def record_connected(self, service: str) -> None:
        """Record that a server accepted a connection."""
        reach = self._of(service)
        reach.unconnected.clear()
        reach.connected_at = self._timers.now()
        self.record_answered(service)

    def record_answered(self, service: str) -> None:
        """Record that a server answered."""
        reach = self._of(service)
        reach.failed.clear()
        reach.answered_at = self._timers.now()

    def record_failed(self, server: ServerRecord) -> None:
        """Record that an exchange with a server failed."""
        reach = self._of(server.service)
        self._record(reach, reach.failed, server, reach.answered_at)

    def record_unconnected(self, server: ServerRecord) -> None:
        """Record that a connection attempt failed or takes unusually long."""
        self.record_failed(server)
        reach = self._of(server.service)
        self._record(reach, reach.unconnected, server, reach.connected_at)

    async def wait_cut_off(self) -> None:
        """Wait until this instance is cut off from a service."""
        await self._cut_off.wait()

    async def wait_settled(self, service: str) -> None:
        """Wait until a doubt is settled; return at once if there is none."""
        reach = self._services.get(service)
        if reach is not None and reach.probing is not None and not reach.cut_off:
            await reach.settled.wait()

    def close(self) -> None:
        """Stop all probes."""
        for reach in self._services.values():
            if reach.probing is not None:
                reach.probing.cancel()

    def _of(self, service: str) -> _ServiceReach:
        reach = self._services.get(service)
        if reach is None:
            reach = self._services[service] = _ServiceReach()
        return reach

    def _record(
        self,
        reach: _ServiceReach,
        failures: dict[str, float],
        server: ServerRecord,
        succeeded_at: float,
    ) -> None:
        now = self._timers.now()
        failures.pop(server.address, None)
        failures[server.address] = now
        while now - next(iter(failures.values())) > FAILURE_TTL_S:
            del failures[next(iter(failures))]
        doubtful = len(failures) >= FAILED_SERVERS_TO_DOUBT and now - succeeded_at > CONFIRMED_S
        if doubtful and reach.probing is None:
            reach.settled = asyncio.Event()
            reach.probing = asyncio.ensure_future(self._settle(server.service, reach))

    async def _settle(self, service: str, reach: _ServiceReach) -> None:
        """Find out whether the service's servers are reached, and when they are again."""
        try:
            while not await self._is_reached(service, reach):
                self._apply(service, reach, True)
                reach.settled.set()
                await self._timers.sleep(PROBE_INTERVAL_S)
        finally:
            reach.probing = None
            self._apply(service, reach, False)
            reach.settled.set()

    async def _is_reached(self, service: str, reach: _ServiceReach) -> bool:
        """Return whether a server accepts a connection, or there are too few to tell."""
        servers = self._servers_to_probe(service, reach)
        if len(servers) < FAILED_SERVERS_TO_DOUBT:
            return True
        first, others = servers[:PROBED_SERVERS], servers[PROBED_SERVERS:]
        return await self._probe(first, [] if reach.cut_off else others[:CONFIRMING_SERVERS])

    def _servers_to_probe(self, service: str, reach: _ServiceReach) -> list[ServerRecord]:
        """Return the servers in the order to probe them: first those that haven't failed."""
        servers = [item for item in self._directory.of_service(service) if not item.draining]
        self._rng.shuffle(servers)
        servers.sort(key=lambda record: record.address in reach.failed)
        return servers

    async def _probe(self, first: list[ServerRecord], others: list[ServerRecord]) -> bool:
        """Return whether a server accepts a connection; others are tried if the first don't."""
        attempts = {asyncio.ensure_future(self._attempt(server)) for server in first}
        try:
            if await _any_succeeds(attempts, CONFIRM_AFTER_S):
                return True
            attempts |= {asyncio.ensure_future(self._attempt(server)) for server in others}
            return await _any_succeeds(attempts, PROBE_TIMEOUT_S)
        finally:
            for item in attempts:
                item.cancel()

    async def _attempt(self, server: ServerRecord) -> bool:
        self._metrics.count("server_probes")
        try:
            connection = await self._connect(server.address, PROBE_TIMEOUT_S)
        except NotSentError:
            return False
        self.record_connected(server.service)
        self._adopt(server, connection)
        return True

    def _apply(self, service: str, reach: _ServiceReach, cut_off: bool) -> None:
        if cut_off == reach.cut_off:
            return
        now = self._timers.now()
        reach.cut_off = cut_off
        if cut_off:
            reach.cut_off_since = now
            emit(Event.SERVERS_UNREACHABLE, service=service, failed=len(reach.failed))
        else:
            after_s = round(now - reach.cut_off_since, 2)
            emit(Event.SERVERS_REACHABLE, service=service, after_s=after_s)
        if any(item.cut_off for item in self._services.values()):
            self._cut_off.set()
        else:
            self._cut_off.clear()
        for listener in self._listeners:
            listener(service, cut_off)


async def _any_succeeds(attempts: set[asyncio.Future[bool]], limit_s: float) -> bool:
    """Return whether an attempt succeeds before all have failed or the time has passed."""
    pending = attempts
    try:
        async with asyncio.timeout(limit_s):
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if any(item.result() for item in done):
                    return True
    except TimeoutError:
        return False
    return False
