"""The newest log records of a replica, kept for its peers."""

from __future__ import annotations

from collections import deque

from hyssopwood.log_client import StoredRecord
from hyssopwood.messages import Record, RecordsReply

MAX_HISTORY_RECORDS = 4_096
MAX_HISTORY_CHARACTERS = 8 * 1_048_576
MAX_REPLY_RECORDS = 500
# Leaves room in a peer message of 1 MiB for framing.
MAX_REPLY_CHARACTERS = 900_000


class History:
    """Keep the newest records for peers, bounded by count and size."""

    def __init__(self) -> None:
        self._records: deque[StoredRecord] = deque()
        self._first = 0
        self._characters = 0

    def clear(self, first: int) -> None:
        """Forget everything; the next record will be `first`."""
        self._records.clear()
        self._first = first
        self._characters = 0

    def add(self, record: StoredRecord) -> None:
        """Add the record that was applied."""
        self._records.append(record)
        self._characters += len(record.data)
        while len(self._records) > MAX_HISTORY_RECORDS or self._characters > MAX_HISTORY_CHARACTERS:
            dropped = self._records.popleft()
            self._first = dropped.offset + 1
            self._characters -= len(dropped.data)

    def since(self, offset: int, limit: int, end: int) -> RecordsReply:
        """Return records from an offset; `end` follows the last applied record."""
        chosen: list[Record] = []
        room = MAX_REPLY_CHARACTERS
        for stored in self._records:
            if stored.offset < offset:
                continue
            room -= len(stored.data)
            if len(chosen) == min(limit, MAX_REPLY_RECORDS) or (room < 0 and chosen):
                break
            chosen.append(Record(stored.offset, stored.time_ms, stored.data))
        following = chosen[-1].offset + 1 if chosen else max(offset, end)
        return RecordsReply(self._first, following, tuple(chosen))
