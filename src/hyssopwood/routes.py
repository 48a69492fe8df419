"""Routes from keys to the coordinator of the server that serves them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field

from hyssopwood.dispatch import Route
from hyssopwood.entry import OperationRule, ServiceRule, ServiceTable
from hyssopwood.state import STATUS_UP, ClusterState, Ownership, partition_of
from hyssopwood.ticket import ServiceLimits

MAX_MOVED = 4_096


@define(eq=False)
class Routes:
    """Answer routing questions from the state in force.

    While a partition moves, its previous holder may still serve it, so that one is asked first;
    once it has answered `moved`, the assigned owner is asked.
    """

    _state: Callable[[], ClusterState]
    _version: int = field(default=0, init=False)
    _changed: asyncio.Event = field(factory=asyncio.Event, init=False)
    _moved: dict[tuple[str, int], None] = field(factory=dict, init=False)
    _services: ServiceTable = field(factory=lambda: ServiceTable(()), init=False)
    _services_ticket: int = field(default=-1, init=False)

    @property
    def version(self) -> int:
        """Return a number that grows with each change of the routes."""
        return self._version

    @property
    def position(self) -> int:
        """Return the offset of the last record that the routes reflect."""
        return self._state().applied

    def note_change(self) -> None:
        """Wake every request that waits for another owner or coordinator."""
        self._version += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def note_moved(self, service: str, key: str) -> None:
        """Record that the previous holder of a key has stopped serving it."""
        state = self._state()
        partition = partition_of(state, service, key)
        ownership = state.ownerships.get(partition)
        if ownership is None or (partition, ownership.token) in self._moved:
            return
        self._moved[(partition, ownership.token)] = None
        if len(self._moved) > MAX_MOVED:
            del self._moved[next(iter(self._moved))]
        self.note_change()

    async def wait_changed(self, version: int) -> None:
        """Return when the routes are newer than `version`."""
        while self._version <= version:
            await self._changed.wait()

    def route(self, service: str, key: str) -> Route | None:
        """Return the route of a key, None while nobody serves it."""
        state = self._state()
        if service not in state.services:
            return None
        partition = partition_of(state, service, key)
        ownership = state.ownerships.get(partition)
        if ownership is None:
            return None
        name = ownership.server
        if self._may_still_serve(state, partition, ownership):
            name = ownership.awaiting[-1]
        server = state.servers.get(name)
        coordination = state.coordinations.get(name)
        if server is None or coordination is None:
            return None
        return Route(partition, name, server.address, server.connections, coordination.incarnation)

    def _may_still_serve(self, state: ClusterState, partition: str, ownership: Ownership) -> bool:
        """Return whether the last holder of a moving partition may still serve it."""
        if not ownership.awaiting or (partition, ownership.token) in self._moved:
            return False
        return state.server_status.get(ownership.awaiting[-1], STATUS_UP) == STATUS_UP

    def owns(self, partition: str, server: str) -> bool:
        """Return whether a server owns a partition or has yet to release it."""
        ownership = self._state().ownerships.get(partition)
        if ownership is None:
            # A hot key's partition that was merged into its shard stays at the same server.
            return True
        return server == ownership.server or server in ownership.awaiting

    def services(self) -> ServiceTable:
        """Return the services in force, built once per ticket."""
        state = self._state()
        if state.ticket_number != self._services_ticket:
            self._services = _service_table(state)
            self._services_ticket = state.ticket_number
        return self._services


def _service_table(state: ClusterState) -> ServiceTable:
    default = ServiceLimits()
    return ServiceTable(
        [
            ServiceRule(
                name=name,
                customer=service.customer,
                path_prefix=service.path_prefix,
                operations={
                    operation: OperationRule(rule.repeatable, rule.work_class)
                    for operation, rule in service.operations.items()
                },
                deadline_ms=state.limits.get(name, default).deadline_ms,
                body_bytes=state.limits.get(name, default).body_bytes,
            )
            for name, service in state.services.items()
        ]
    )
