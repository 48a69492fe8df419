"""Copies of idempotency records: at a standby, at the next coordinator, at the next owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable, Iterator
from typing import Any, Protocol

from attrs import define, field, frozen
from xxhash import xxh64_intdigest

from hyssopwood.errors import PeerUnavailableError
from hyssopwood.idempotency import IdempotencyRecords, KeyState
from hyssopwood.messages import (
    Ack,
    Body,
    ErrorReply,
    IdempotencyCopies,
    IdempotencyCopy,
    IdempotencySynced,
)
from hyssopwood.peers import StateSource
from hyssopwood.settings import Timing
from hyssopwood.state import NO_EPOCH, ClusterState, Coordination, partition_of
from hyssopwood.timers import Timers

MAX_BATCH_COPIES = 128
# Well below the peer protocol's frame limit of 1 MiB.
MAX_BATCH_BYTES = 262_144
SYNC_RETRY_S = 0.05
SYNC_INTERVAL_S = 0.1
MS_PER_S = 1000


class PeerLink(Protocol):
    """Way to the other instances."""

    @property
    def incarnation(self) -> str:
        """Return the own incarnation."""
        ...

    async def request(self, incarnation: str, body: Body, timeout_s: float) -> Body:
        """Return the reply; raise PeerUnavailableError without one."""
        ...

    def on(self, body_type: type, handler: Any) -> None:
        """Register the handler of one kind of message."""
        ...


def standby_of(state: ClusterState, server: str, coordinator: str) -> str:
    """Return the instance that keeps copies for a server's coordinator, empty without one.

    The choice is by rendezvous hashing, so that a change of one member changes few standbys. An
    instance in another failure domain is preferred.
    """
    own = state.members.get(coordinator)
    domain = "" if own is None else own.failure_domain
    ranked = [
        (member.failure_domain != domain, xxh64_intdigest(f"{server} {name}".encode()), name)
        for name, member in state.members.items()
        if name != coordinator
    ]
    return max(ranked)[2] if ranked else ""


@frozen
class _Source:
    """Name the coordinator that has copied all its records to this instance."""

    incarnation: str
    epoch: int


@define(eq=False)
class KeyReplication:
    """Keep the idempotency records of each server where its next coordinator finds them.

    A record reaches the standby before its request gets a permit. The next coordinator trusts its
    copies only when the previous one has copied everything to it; otherwise it refuses unknown
    keys for the length of the window.
    """

    _source: StateSource
    _peers: PeerLink
    _timers: Timers
    _timing: Timing
    _records: dict[str, IdempotencyRecords] = field(factory=dict, init=False)
    _synced_from: dict[str, _Source] = field(factory=dict, init=False)
    _synced_to: dict[str, str] = field(factory=dict, init=False)
    _current: dict[str, Coordination] = field(factory=dict, init=False)
    _previous: dict[str, Coordination] = field(factory=dict, init=False)
    _standbys: dict[str, str] = field(factory=dict, init=False)
    _noted: ClusterState | None = field(default=None, init=False)
    _syncs: dict[str, asyncio.Task[bool]] = field(factory=dict, init=False)
    _tasks: set[asyncio.Task[Any]] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self._peers.on(IdempotencyCopies, self.on_copies)
        self._peers.on(IdempotencySynced, self.on_synced)

    def records_of(self, server: str) -> IdempotencyRecords:
        """Return the records of a server."""
        records = self._records.get(server)
        if records is None:
            records = IdempotencyRecords(self._timers, self._window_s)
            self._records[server] = records
        return records

    # Following the coordinators

    def note_state(self, state: ClusterState) -> None:
        """Remember each server's previous coordinator and its standby."""
        noted, self._noted = self._noted, state
        if noted is not None and _same_roles(noted, state):
            return
        for server, coordination in state.coordinations.items():
            known = self._current.get(server)
            if known is not None and known.epoch != coordination.epoch:
                self._previous[server] = known
            self._current[server] = coordination
            if coordination.incarnation in state.members:
                self._standbys[server] = standby_of(state, server, coordination.incarnation)
        for server in [name for name in self._current if name not in state.coordinations]:
            self._forget(server)

    def _forget(self, server: str) -> None:
        for table in (
            self._current,
            self._previous,
            self._records,
            self._synced_from,
            self._synced_to,
            self._standbys,
        ):
            table.pop(server, None)

    def last_standby(self, server: str) -> str:
        """Return the standby of a server's last live coordinator, empty when not known."""
        return self._standbys.get(server, "")

    def taken_over(self, server: str, epoch: int) -> None:
        """Begin as a server's coordinator with the copies that are here."""
        self._synced_to.pop(server, None)
        records = self.records_of(server)
        previous = self._previous_of(server, epoch)
        if previous is not None and previous.incarnation != self._peers.incarnation:
            source = _Source(previous.incarnation, previous.epoch)
            if self._synced_from.get(server) != source:
                records.distrust_until(self._timers.now() + self._window_s)
        records.take_over()

    def _previous_of(self, server: str, epoch: int) -> Coordination | None:
        current = self._current.get(server)
        if current is not None and current.epoch < epoch:
            return current
        return self._previous.get(server)

    # Copies to others

    async def run(self) -> None:
        """Keep every standby complete, so that a takeover finds all records."""
        async for _ in self._timers.ticks(SYNC_INTERVAL_S):
            self.note_state(self._source.state)
            for server in self._current:
                if self._coordinates(server) and server not in self._syncs:
                    self._start(self.sync_standby(server))

    async def store(self, server: str, service: str, key: str) -> bool:
        """Copy a new record to the standby; return whether the standby holds everything."""
        if not await self.sync_standby(server):
            return False
        standby = self._synced_to.get(server, "")
        copy = self.records_of(server).copy_of(server, service, key)
        if not standby or copy is None:
            return True
        return await self._deliver(standby, IdempotencyCopies((copy,)))

    def publish(self, server: str, service: str, key: str, request_key: str) -> None:
        """Copy a record's outcome in the background to whoever needs it next."""
        copy = self.records_of(server).copy_of(server, service, key)
        if copy is None:
            state = KeyState.ABANDONED.value
            copy = IdempotencyCopy(server, service, key, 0, state, 0, b"", request_key)
        for target in self._interested(server):
            self._start(self._deliver(target, IdempotencyCopies((copy,))))

    def _interested(self, server: str) -> set[str]:
        """Return the standby, and the coordinator if this instance has handed over."""
        targets = {self._synced_to.get(server, "")}
        current = self._source.state.coordinations.get(server)
        if current is not None:
            targets.add(current.incarnation)
        return targets - {"", self._peers.incarnation}

    async def sync_standby(self, server: str) -> bool:
        """Copy all records to the standby in force if it hasn't got them yet."""
        standby = self._standby(server)
        if self._synced_to.get(server) == standby:
            return True
        if not standby:
            self._synced_to[server] = ""
            return True
        sync = self._syncs.get(server)
        if sync is None:
            sync = self._start(self._sync(server, standby))
            self._syncs[server] = sync
            sync.add_done_callback(lambda _: self._syncs.pop(server, None))
        return await asyncio.shield(sync)

    async def _sync(self, server: str, standby: str) -> bool:
        # Records that begin during the copying go to the new standby as well.
        self._synced_to[server] = standby
        if await self.copy_all(server, standby):
            return True
        if self._synced_to.get(server) == standby:
            del self._synced_to[server]
        await self._timers.sleep(SYNC_RETRY_S)
        return False

    async def pass_on_all(self, server: str, target: str) -> bool:
        """Make sure that a server's next coordinator holds every record."""
        if self._synced_to.get(server) == target and server not in self._syncs:
            return True
        return await self.copy_all(server, target)

    async def copy_all(self, server: str, target: str) -> bool:
        """Copy every record of a server to an instance; return whether all arrived."""
        records = self.records_of(server)
        epoch = self._own_epoch(server)
        distrust_ms = int(records.distrust_s() * MS_PER_S)
        marker = IdempotencySynced(server, epoch, "", distrust_ms)
        return await self._copy(target, records.export(server), marker)

    async def copy_partition(self, partition: str, server: str, target: str) -> bool:
        """Copy a partition's records to the coordinator of its next owner."""
        state = self._source.state
        owner = state.ownerships.get(partition)
        if owner is None or not owner.server:
            return True
        records = self.records_of(server)
        copies = records.export(
            owner.server, lambda service, key: _belongs(state, service, key, partition)
        )
        distrust_ms = int(records.distrust_s(partition) * MS_PER_S)
        marker = IdempotencySynced(owner.server, 0, partition, distrust_ms)
        return await self._copy(target, copies, marker)

    async def _copy(
        self, target: str, copies: Iterable[IdempotencyCopy], marker: IdempotencySynced
    ) -> bool:
        for batch in _batches(copies):
            if not await self._deliver(target, IdempotencyCopies(batch)):
                return False
        return await self._deliver(target, marker)

    async def _deliver(self, target: str, body: Body) -> bool:
        timeout_s = self._timing.peer_timeout_ms / MS_PER_S
        try:
            return isinstance(await self._peers.request(target, body, timeout_s), Ack)
        except PeerUnavailableError:
            return False

    # Copies from others

    async def on_copies(self, _: str, message: IdempotencyCopies) -> Ack | ErrorReply:
        """Store copies; a coordinator passes them on to its standby before it confirms."""
        by_server: dict[str, list[IdempotencyCopy]] = {}
        for copy in message.copies:
            by_server.setdefault(copy.server, []).append(copy)
        for server, copies in by_server.items():
            self.records_of(server).import_copies(copies)
            reply = await self._pass_on(server, IdempotencyCopies(tuple(copies)))
            if isinstance(reply, ErrorReply):
                return reply
        return Ack()

    async def on_synced(self, sender: str, marker: IdempotencySynced) -> Ack | ErrorReply:
        """Note that all records of a server or a partition have arrived."""
        if marker.distrust_ms:
            until = self._timers.now() + marker.distrust_ms / MS_PER_S
            self.records_of(marker.server).distrust_until(until, marker.partition)
        if marker.partition:
            return await self._pass_on(marker.server, marker)
        self._synced_from[marker.server] = _Source(sender, marker.epoch)
        return Ack()

    async def _pass_on(self, server: str, body: Body) -> Ack | ErrorReply:
        """Deliver what came with a move to the standby, which already counts as complete."""
        standby = self._synced_to.get(server, "")
        if not standby or not self._coordinates(server):
            return Ack()
        if await self._deliver(standby, body):
            return Ack()
        return ErrorReply("the standby does not answer")

    # Helpers

    @property
    def _window_s(self) -> float:
        return self._timing.idempotency_window_ms / MS_PER_S

    def _standby(self, server: str) -> str:
        return standby_of(self._source.state, server, self._peers.incarnation)

    def _own_epoch(self, server: str) -> int:
        """Return the epoch under which this instance coordinates or last coordinated a server."""
        in_force = self._source.state.coordinations.get(server)
        for known in (in_force, self._current.get(server), self._previous.get(server)):
            if known is not None and known.incarnation == self._peers.incarnation:
                return known.epoch
        return NO_EPOCH

    def _coordinates(self, server: str) -> bool:
        current = self._source.state.coordinations.get(server)
        return current is not None and current.incarnation == self._peers.incarnation

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _batches(copies: Iterable[IdempotencyCopy]) -> Iterator[tuple[IdempotencyCopy, ...]]:
    batch: list[IdempotencyCopy] = []
    size = 0
    for copy in copies:
        if batch and (len(batch) >= MAX_BATCH_COPIES or size + len(copy.body) > MAX_BATCH_BYTES):
            yield tuple(batch)
            batch, size = [], 0
        batch.append(copy)
        size += len(copy.body)
    if batch:
        yield tuple(batch)


def _same_roles(one: ClusterState, other: ClusterState) -> bool:
    return one.coordinations is other.coordinations and one.members is other.members


def _belongs(state: ClusterState, service: str, key: str, partition: str) -> bool:
    return service in state.services and partition_of(state, service, key) == partition
