"""Feeds of the operator's configuration and of the servers' registrations."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hyssopwood.errors import InputError, LogError, RecordsExpiredError
from hyssopwood.events import Event, emit
from hyssopwood.gateway.evacuations import EvacuationRecords, TopicPosition
from hyssopwood.gateway.feeds import ServerChanges
from hyssopwood.gateway.route_table import RouteTable
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.metrics import Metrics
from hyssopwood.platform.configuration import decode_configuration
from hyssopwood.platform.evacuation_entries import decode_evacuations
from hyssopwood.platform.names import CONFIGURATION_KEY, OPERATOR_TOPIC, SERVER_TOPIC
from hyssopwood.platform.server_entries import decode_server_entry
from hyssopwood.platform.store_client import KeyedRecord, StoreClient
from hyssopwood.transfers import Transfer


@define
class _Cursor:
    """Read a keyed topic: first the newest record of each key, then appended records."""

    _client: StoreClient
    _topic: str
    # Whether records that are followed by later ones may be left out.
    _newest_only: bool = False
    # Records before this offset are read although later ones follow.
    _read_all_before: int = field(default=0, init=False)
    _skipped_from: int | None = field(default=None, init=False)
    _offset: int | None = field(default=None, init=False)
    # Era of the store to which the offset belongs; None before the first read.
    _era: int | None = field(default=None, init=False)
    _at_end: bool = field(default=False, init=False)
    _truncated: bool = field(default=False, init=False)
    _transfer: Transfer = field(factory=Transfer, init=False)

    @property
    def transfer(self) -> Transfer:
        """Return how the answer to the last read arrived."""
        return self._transfer

    @property
    def at_end(self) -> bool:
        """Return whether the last read reached the end of the topic."""
        return self._at_end

    @property
    def offset(self) -> int | None:
        """Return the offset of the next read, or None before the first one."""
        return self._offset

    @property
    def truncated(self) -> bool:
        """Return whether the last read was a listing that may lack keys."""
        return self._truncated

    @property
    def skipped(self) -> bool:
        """Return whether the last read left out records."""
        return self._skipped_from is not None

    @property
    def era(self) -> int | None:
        """Return the era of the store at the last read, or None before the first one."""
        return self._era

    def relist(self) -> None:
        """Start again with the newest records."""
        self._offset = None

    def return_to_skipped(self) -> None:
        """Make the next calls return the records that the last read left out, if there were any."""
        if self._skipped_from is None or self._offset is None:
            return
        self._read_all_before, self._offset = self._offset, self._skipped_from
        self._skipped_from, self._at_end = None, False

    async def next(self, wait_s: float) -> tuple[tuple[KeyedRecord, ...], bool]:
        """Return the next records, and whether they are a full listing of the topic."""
        if self._offset is None or self._client.era != self._era:
            newest = await self._client.newest(self._topic)
            self._read_all_before, self._skipped_from = 0, None
            self._offset, self._era = newest.end_offset, newest.era
            self._at_end, self._transfer = True, newest.transfer
            self._truncated = newest.truncated
            return newest.records, True
        try:
            newest_only = self._newest_only and self._offset >= self._read_all_before
            page = await self._client.read(self._topic, self._offset, wait_s, newest_only)
        except RecordsExpiredError:
            self._offset = None
            return await self.next(wait_s)
        if page.era != self._era:
            # The offset belongs to an earlier era, so records may have been skipped.
            return await self.next(wait_s)
        self._skipped_from = self._offset if page.skipped else None
        self._offset, self._at_end = page.next_offset, page.reaches_end
        self._truncated = False
        self._transfer = page.transfer
        return page.records, False


class PlatformConfigurationFeed:
    """Follow the operator's configuration."""

    def __init__(self, client: StoreClient) -> None:
        # Each configuration is complete, so only the newest one counts.
        self._cursor = _Cursor(client, OPERATOR_TOPIC, newest_only=True)
        self._newest_rejected = False
        self._newest_version = -1
        self._client = client
        self._on_evacuations: Callable[[EvacuationRecords], None] | None = None
        # The last read may have left out records of evacuations, so they must be listed.
        self._evacuations_due = False

    def subscribe_evacuations(self, listener: Callable[[EvacuationRecords], None]) -> None:
        """Call back with the evacuations of each read, before its configuration is returned."""
        self._on_evacuations = listener

    @property
    def newest_rejected(self) -> bool:
        """Return whether the newest configuration that was read can't be decoded."""
        return self._newest_rejected

    @property
    def at_end(self) -> bool:
        """Return whether the last read reached the newest configuration."""
        return self._cursor.at_end

    @property
    def transfer(self) -> Transfer:
        """Return how the answer to the last read arrived."""
        return self._cursor.transfer

    async def next(self, wait_s: float) -> tuple[RouteTable, ...]:
        """Return the newest configuration that was stored since the last call, if there is one."""
        records, listed = await self._cursor.next(0.0 if self._evacuations_due else wait_s)
        self._pass_evacuations(records, listed)
        tables = self._take_newest(records)
        if self._evacuations_due:
            try:
                await self._list_evacuations()
            except LogError:
                # The listing is due at the next call too; a configuration must not be lost by it.
                if not tables:
                    raise
        return tables

    def _pass_evacuations(self, records: tuple[KeyedRecord, ...], listed: bool) -> None:
        """Pass on the evacuations of a read, or note that they must be listed."""
        if self._on_evacuations is None:
            return
        era, offset = self._cursor.era, self._cursor.offset
        assert era is not None and offset is not None
        complete = listed and not self._cursor.truncated
        if not complete and (self._evacuations_due or self._cursor.skipped):
            # A position past these records would state that none before them was left out.
            self._evacuations_due = True
            return
        self._evacuations_due = listed and not complete
        position = None if self._evacuations_due else TopicPosition(era, offset)
        self._on_evacuations(decode_evacuations(records, position, listed))

    async def _list_evacuations(self) -> None:
        """List the keys after the configuration's, among which are those of all evacuations."""
        assert self._on_evacuations is not None
        newest = await self._client.newest(OPERATOR_TOPIC, CONFIGURATION_KEY)
        self._evacuations_due = newest.truncated
        position = None if newest.truncated else TopicPosition(newest.era, newest.end_offset)
        self._on_evacuations(decode_evacuations(newest.records, position, complete=True))

    def _take_newest(self, records: tuple[KeyedRecord, ...]) -> tuple[RouteTable, ...]:
        table = self._decode_newest(records)
        if table is None:
            # The last record is no usable configuration, so an earlier one counts.
            self._cursor.return_to_skipped()
            return ()
        self._newest_version = table.version
        return (table,)

    def _decode_newest(self, records: tuple[KeyedRecord, ...]) -> RouteTable | None:
        """Return the usable configuration with the highest version if it is a new one."""
        newest: RouteTable | None = None
        for record in records:
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            try:
                table = decode_configuration(record.value)
                self._newest_rejected = False
            except InputError as error:
                self._newest_rejected = True
                emit(Event.RECORD_REJECTED, source="configuration", error=error)
                continue
            # An older version may follow a newer one.
            if table.version > max(self._newest_version, -1 if newest is None else newest.version):
                newest = table
        return newest


class PlatformServerFeed:
    """Follow the servers' registrations."""

    def __init__(self, client: StoreClient, metrics: Metrics) -> None:
        self._cursor = _Cursor(client, SERVER_TOPIC)
        self._metrics = metrics

    def relist(self) -> None:
        """Make the next call return all servers."""
        self._cursor.relist()

    async def next(self, wait_s: float) -> ServerChanges:
        """Return the changes since the last call in order; malformed entries are skipped."""
        era = self._cursor.era
        records, complete = await self._cursor.next(wait_s)
        try:
            changes = self._decode(records)
        except Exception:
            # The cursor is behind these records already, so they must be read again.
            self._cursor.relist()
            raise
        present = frozenset(record.key for record in records if record.value is not None)
        restored = era is not None and self._cursor.era != era
        return ServerChanges(changes, present if complete else None, restored)

    def _decode(self, records: tuple[KeyedRecord, ...]) -> tuple[ServerRecord | str, ...]:
        changes: list[ServerRecord | str] = []
        for record in records:
            if record.value is None:
                changes.append(record.key)
                continue
            try:
                changes.append(decode_server_entry(record.key, record.value))
            except InputError as error:
                self._metrics.count("server_entries_rejected")
                emit(Event.RECORD_REJECTED, source="servers", error=error)
        return tuple(changes)
