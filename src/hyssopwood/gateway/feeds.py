"""Keeps configuration and server registrations current, also during outages of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from attrs import define, field, frozen

from hyssopwood.errors import LogError
from hyssopwood.events import Event, emit
from hyssopwood.gateway.configuration_age import ConfigurationAge, KnowledgeOfNewest
from hyssopwood.gateway.evacuations import EvacuationRecords
from hyssopwood.gateway.route_table import RouteTable, RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace.link_codec import Heartbeat
from hyssopwood.timers import Timers
from hyssopwood.transfers import Transfer

# Duration of the store's long poll for a configuration. A connection without an answer is abandoned
# soon afterwards, within the time in which a configuration must be in force.
CONFIGURATION_POLL_S = 0.9
# While the leader announces new configurations, the store is read only after an announcement, and
# at most this often if versions follow each other quickly.
CONFIGURATION_READ_INTERVAL_S = 0.2
# Servers' heartbeats would end a long poll immediately, so registrations are polled at intervals.
# Two intervals and a slow answer reveal a leaving server within 1.5 s.
SERVER_POLL_INTERVAL_S = 0.5
# After a longer pause all servers are listed again instead of reading every missed heartbeat.
RELIST_AFTER_S = 3.0
RETRY_INTERVAL_S = 0.25
# An instance whose registrations differ from the leader's reads the store itself, at most this
# often, because either of the two may briefly have newer ones.
REREAD_INTERVAL_S = 2.0
# Servers whose entries disappear this soon after an outage are kept for a grace period, in which
# they may register again.
GRACE_AFTER_OUTAGE_S = 2.0


@frozen
class ServerChanges:
    """New records and ids of removed entries in order, and all ids if this is a full listing."""

    changes: tuple[ServerRecord | str, ...]
    present: frozenset[str] | None
    # The store was restored from an older copy; servers will register again what it lost.
    restored: bool = False


class LeaderUpdates(Protocol):
    """Recent heartbeats of the leader, which replace this instance's own reads of the store."""

    def fresh_heartbeat(self) -> Heartbeat | None:
        """Return the last heartbeat, or None if it or the leader's registrations are too old."""
        ...

    def configuration_fresh_s(self) -> float:
        """Return for how long the leader's version still replaces reads; 0 or less if not."""
        ...

    def configuration_version(self) -> int:
        """Return the configuration version in the last heartbeat, or 0 if that is too old."""
        ...

    async def wait_heartbeat(self) -> None:
        """Wait for the next heartbeat."""
        ...

    def request_servers(self) -> None:
        """Request all registrations from the leader."""
        ...


class ConfigurationFeed(Protocol):
    """Source of configurations."""

    @property
    def newest_rejected(self) -> bool:
        """Return whether the newest configuration that was read can't be decoded."""
        ...

    @property
    def at_end(self) -> bool:
        """Return whether the last read reached the newest configuration."""
        ...

    @property
    def transfer(self) -> Transfer:
        """Return how the answer to the last read arrived."""
        ...

    def subscribe_evacuations(self, listener: Callable[[EvacuationRecords], None]) -> None:
        """Call back with the evacuations of each read, before its configuration is returned."""
        ...

    async def next(self, wait_s: float) -> tuple[RouteTable, ...]:
        """Return the configurations stored since the last call."""
        ...


class ServerFeed(Protocol):
    """Source of servers' registrations."""

    async def next(self, wait_s: float) -> ServerChanges:
        """Return the changes since the last call."""
        ...

    def relist(self) -> None:
        """Make the next call return all servers."""
        ...


@define
class ConfigurationFollower:
    """Keep the route table current."""

    _feed: ConfigurationFeed
    _tables: RouteTables
    _timers: Timers
    _leader: LeaderUpdates
    _on_applied: Callable[[], None]
    _store: StoreAvailability
    _age: ConfigurationAge
    _available: bool = field(default=True, init=False)
    _left_to_leader: bool = field(default=False, init=False)
    _read_at: float = field(default=float("-inf"), init=False)
    # Newest version for which the store was called although it was considered unavailable.
    _called_for_version: int = field(default=0, init=False)

    @property
    def age(self) -> ConfigurationAge:
        """Return the age of what this instance knows of the newest configuration."""
        return self._age

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            fresh_s = self._leader.configuration_fresh_s()
            announced = self._tables.current is not None and fresh_s > 0
            self._report_source(announced)
            if announced and not await self._leader_has_newer(fresh_s):
                continue
            # A long poll may hang, so the first read after a time without any doesn't wait.
            await self._read(0.0 if announced or self._is_behind() else CONFIGURATION_POLL_S)
            if announced or self._tables.current is None:
                await self._timers.sleep(CONFIGURATION_READ_INTERVAL_S)

    def _is_behind(self) -> bool:
        return self._timers.now() - self._read_at > CONFIGURATION_POLL_S + RETRY_INTERVAL_S

    def _report_source(self, left_to_leader: bool) -> None:
        if left_to_leader == self._left_to_leader:
            return
        self._left_to_leader = left_to_leader
        known = self._age.newest()
        emit(
            (
                Event.CONFIGURATION_LEFT_TO_LEADER
                if left_to_leader
                else Event.CONFIGURATION_READ_DIRECTLY
            ),
            version=0 if self._tables.current is None else self._tables.current.version,
            known_from=known.source,
            known_ms_ago=known.age_ms,
        )

    async def _leader_has_newer(self, limit_s: float) -> bool:
        """Wait for a heartbeat and return whether it contains a newer configuration version."""
        try:
            async with asyncio.timeout(limit_s):
                await self._leader.wait_heartbeat()
        except TimeoutError:
            return False
        version, table = self._leader.configuration_version(), self._tables.current
        return table is None or version > table.version

    async def _read(self, wait_s: float) -> None:
        if not self._store.may_call() and not self._claim_early_call():
            await self._await_turn()
            return
        if self._store.unavailable:
            # A long poll that begins just before the store recovers may stay unanswered.
            wait_s = 0.0
        started_at = self._timers.now()
        try:
            tables = await self._store.call(partial(self._feed.next, wait_s))
        except LogError as error:
            if self._available:
                emit(Event.LOG_UNAVAILABLE, use="configuration", error=error)
            self._available = False
            # A call that was waited for has lasted longer than the pause already.
            elapsed_s = self._timers.now() - started_at
            await self._timers.sleep(max(0.0, RETRY_INTERVAL_S - elapsed_s))
            return
        if not self._available:
            self._available = True
            emit(Event.LOG_RECOVERED, use="configuration")
        # Before the read is recorded: any later version was stored after this time.
        known = self._age.newest()
        # The store answers a long poll at once if there is something new, else at its end.
        known_at = started_at if tables else min(self._timers.now(), started_at + wait_s)
        if self._feed.newest_rejected:
            self._age.record_rejected()
        elif self._feed.at_end:
            self._age.record_read(known_at)
        elif not tables:
            # Such a read ends at once, unlike one that waits for a record.
            await self._timers.sleep(RETRY_INTERVAL_S)
        self._read_at = self._timers.now()
        announced = self._leader.configuration_version()
        for table in tables:
            if self._tables.offer(table):
                self._report_taken(table, announced, known)
                self._on_applied()

    def _report_taken(
        self, table: RouteTable, announced: int, known_before: KnowledgeOfNewest
    ) -> None:
        """Log a version, how it came, and how long ago it may have been stored at the earliest."""
        transfer = self._feed.transfer
        emit(
            Event.CONFIGURATION_TAKEN,
            version=table.version,
            announced=announced,
            call=transfer.call,
            waited_ms=transfer.waited_ms,
            received_ms=transfer.received_ms,
            received_bytes=transfer.size_bytes,
            stored_ms_ago_at_most=known_before.age_ms,
        )

    def _leader_has_unread_version(self) -> bool:
        """Return whether the leader has a newer version for which no call was made yet."""
        table = self._tables.current
        version = 0 if table is None else table.version
        return self._leader.configuration_version() > max(version, self._called_for_version)

    def _claim_early_call(self) -> bool:
        """Return whether a new version permits a call while calls are held back, and record it."""
        if not self._leader_has_unread_version():
            return False
        self._called_for_version = self._leader.configuration_version()
        return True

    async def _await_turn(self) -> None:
        """Wait until a call is allowed, or until a newer version permits an earlier one."""
        turn = asyncio.ensure_future(self._store.wait_until_allowed())
        new_version = asyncio.ensure_future(self._wait_for_unread_version())
        try:
            await asyncio.wait({turn, new_version}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            turn.cancel()
            new_version.cancel()

    async def _wait_for_unread_version(self) -> None:
        while not self._leader_has_unread_version():
            await self._leader.wait_heartbeat()


@define
class ServerFollower:
    """Keep the server directory current."""

    _feed: ServerFeed
    _directory: ServerDirectory
    _timers: Timers
    _leader: LeaderUpdates
    _store: StoreAvailability
    _failed_at: float = field(default=float("-inf"), init=False)
    _available: bool = field(default=True, init=False)
    _read_at: float = field(default=float("-inf"), init=False)

    @property
    def read_at(self) -> float:
        """Return the time of the last read of the registrations."""
        return self._read_at

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        async for now in self._timers.ticks(SERVER_POLL_INTERVAL_S):
            heartbeat = self._leader.fresh_heartbeat()
            if heartbeat is not None and self._may_skip_read(heartbeat, now):
                self._directory.expire(now)
            elif not await self._poll() and heartbeat is not None:
                self._leader.request_servers()

    def _may_skip_read(self, heartbeat: Heartbeat, now: float) -> bool:
        alike = heartbeat.servers_digest == self._directory.digest()
        return alike or now - self._read_at < REREAD_INTERVAL_S

    async def _poll(self) -> bool:
        if not self._store.may_call():
            self._failed_at = self._timers.now()
            return False
        if self._timers.now() - self._read_at > RELIST_AFTER_S:
            self._feed.relist()
        try:
            changes = await self._store.call(partial(self._feed.next, 0.0))
        except LogError as error:
            self._failed_at = self._timers.now()
            if self._available:
                emit(Event.LOG_UNAVAILABLE, use="servers", error=error)
            self._available = False
            return False
        now = self._timers.now()
        if not self._available:
            self._available = True
            emit(Event.LOG_RECOVERED, use="servers")
        if changes.restored:
            self._failed_at = now
        with_grace = now - self._failed_at < GRACE_AFTER_OUTAGE_S
        self._read_at = now
        self.apply(changes, now, with_grace)
        return True

    def apply(self, changes: ServerChanges, now: float, with_grace: bool) -> None:
        """Apply changes to the directory."""
        for change in changes.changes:
            if isinstance(change, str):
                self._directory.remove(change, now, with_grace)
            else:
                self._directory.put(change)
        if changes.present is not None:
            self._directory.retain(changes.present, now, with_grace)
        self._directory.expire(now)
