"""Client of the platform's store, an append-only log with keyed topics."""

from __future__ import annotations

import asyncio
import base64
import struct
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

from attrs import define, evolve, field, frozen

from hyssopwood.documents import parse_document, shorten
from hyssopwood.errors import (
    AppendConflictError,
    AppendUnconfirmedError,
    LogProtocolError,
    LogUnavailableError,
    RecordsExpiredError,
)
from hyssopwood.events import Event, emit
from hyssopwood.gateway.exchange import AnswerStart
from hyssopwood.keyspace.position import HIGHEST_ERA
from hyssopwood.metrics import Metrics
from hyssopwood.platform.names import APPEND_PATH, NEWEST_PATH, READ_PATH, STORE_ERA
from hyssopwood.platform.store_connection import (
    StoreCallError,
    StoreConnection,
    StoreConnections,
)
from hyssopwood.transfers import PROGRESS_BYTES, Transfer, report_progress

# Time to the first byte of an answer. The store answers in 4 ms, or in 240 ms when it is slowed
# down by a factor of 60.
CALL_TIMEOUT_S = 1.2
# Time after the end of a long poll's wait at which its connection counts as unresponsive if the
# answer hasn't begun. The wait of a configuration's poll (0.9 s), this, a pause and a read fit into
# the time in which a configuration must be in force (2 s at the least); a slowed down store answers
# in 0.24 s.
POLL_SLACK_S = 0.6
# An answer that has begun must bring PROGRESS_BYTES in each span of this length, or end.
STALL_TIMEOUT_S = 0.6
# Larger answers with several records are ended if the caller needs the last record only. A smaller
# one has arrived sooner than the answer to another call, over another connection.
MAX_SUPERSEDED_BYTES = 65_536
# Requested maximum size of a read; the store uses the same where a request states none.
MAX_READ_KB = 1024
# A page holds up to 1 MB of values, encoded in base64, and their keys.
MAX_ANSWER_BYTES = 8_388_608
# Maximum number of digits of an era.
MAX_ERA_DIGITS = 8
_LENGTH = struct.Struct(">I")
_ERA_HEADER = STORE_ERA.lower().encode()
_BOUNDS = struct.Struct(">QQ")
# Statuses that guarantee that the call had no effect.
_REFUSED_STATUSES = frozenset({429, 503, 507})


@frozen
class KeyedRecord:
    """A record of a keyed topic; without a value it deletes the key."""

    key: str
    value: bytes | None


@frozen
class ReadPage:
    """The records of one read and the offset that follows them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    # Era of the store at the read; offsets of different eras can't be compared.
    era: int = 0
    # The partition's end at the read.
    end_offset: int = 0
    transfer: Transfer = Transfer()
    # Number of records before these that were left out.
    skipped: int = 0

    @property
    def reaches_end(self) -> bool:
        """Return whether the partition had no record behind these.

        An answer may be cut off between two records, or hold only a part of what is stored.
        """
        return self.next_offset >= self.end_offset


@frozen
class NewestPage:
    """The newest record of every key, and the partition's end before they were read."""

    records: tuple[KeyedRecord, ...]
    end_offset: int
    era: int = 0
    # Of the last page.
    transfer: Transfer = Transfer()
    # The store announced further records but sent none, so keys may be lacking.
    truncated: bool = False


@frozen
class Appended:
    """The end of a partition after an append, and the era in which the append was carried out."""

    end_offset: int
    era: int


@frozen
class _Answer:
    status: int
    data: bytes
    era: int
    transfer: Transfer
    # Whether the body was read to its end.
    whole: bool = True


# Returns whether the part of a body that has arrived, of a stated length, is all that is needed.
_IsEnough = Callable[[bytearray, int | None], bool]


def _never_enough(data: bytearray, length: int | None) -> bool:
    return False


def _shows_superseded(start: int) -> _IsEnough:
    """Return a check for reads from `start`: several records, and much of them yet to come."""

    def check(data: bytearray, length: int | None) -> bool:
        if len(data) < _BOUNDS.size or len(data) == length:
            return False
        end, _ = _BOUNDS.unpack_from(data)
        return end - start > 1 and max(len(data), length or 0) > MAX_SUPERSEDED_BYTES

    return check


@define
class _Progress:
    """Measure how far a call has come."""

    call: str
    _started_at: float = field(factory=time.monotonic, init=False)
    _first_byte_at: float | None = field(default=None, init=False)
    _last_byte_at: float | None = field(default=None, init=False)
    size_bytes: int = field(default=0, init=False)

    def add(self, size_bytes: int) -> None:
        """Count bytes of the answer; the first call marks its beginning."""
        self._last_byte_at = time.monotonic()
        if self._first_byte_at is None:
            self._first_byte_at = self._last_byte_at
        self.size_bytes += size_bytes

    def transfer(self) -> Transfer:
        """Return the figures of what has arrived until now."""
        if self._first_byte_at is None or self._last_byte_at is None:
            return Transfer(self.call, time.monotonic() - self._started_at)
        waited_s = self._first_byte_at - self._started_at
        received_s = self._last_byte_at - self._first_byte_at
        return Transfer(self.call, waited_s, received_s, self.size_bytes)


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _parse_record(content: bytes) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    key = content[1:end].decode("utf-8", "replace")
    return KeyedRecord(key, content[end:] or None)


def parse_page(data: bytes, start: int, era: int = 0, transfer: Transfer | None = None) -> ReadPage:
    """Return the records of a read that began at `start`; raise LogProtocolError if malformed."""
    if len(data) < _BOUNDS.size:
        raise LogProtocolError(f"a read returned {len(data)} bytes")
    end_offset, _ = _BOUNDS.unpack_from(data)
    position = _BOUNDS.size
    offset = start
    records: list[KeyedRecord] = []
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise LogProtocolError("a record's length is truncated")
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise LogProtocolError("a record is truncated")
        record = _parse_record(data[position : position + length])
        if record is not None:
            records.append(record)
        position += length
        offset += 1
    return ReadPage(tuple(records), offset, era, end_offset, transfer or Transfer())


class StoreClient:
    """Call the platform's store; every call ends once its answer is late to begin or stalls."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._connections: StoreConnections | None = None
        self._era = 0

    @property
    def era(self) -> int:
        """Return the highest era received in an answer, or 0 before the first one."""
        return self._era

    async def close(self) -> None:
        """Close all connections."""
        if self._connections is not None:
            self._connections.close()

    async def append(self, topic: str, records: tuple[KeyedRecord, ...], at: int) -> Appended:
        """Append records if the partition ends at `at`; return its new end and the era.

        Raises AppendConflictError if it ends elsewhere, and AppendUnconfirmedError if the records
        may have been appended or may still be appended.
        """
        params = {"topic": topic, "part": "0", "at": str(at)}
        body = b"".join(_encode_record(record) for record in records)
        try:
            answer = await self._request("POST", APPEND_PATH, params, CALL_TIMEOUT_S, body)
        except LogUnavailableError as error:
            raise AppendUnconfirmedError(str(error)) from error
        if answer.status in (200, 412):
            try:
                default = -1 if answer.status == 412 else None
                end_offset = _parse_offset(answer.data, "end_offset", default)
            except LogProtocolError as error:
                # A body without a length may be cut off, although the append was carried out.
                raise AppendUnconfirmedError(str(error)) from error
        if answer.status == 412:
            raise AppendConflictError(end_offset)
        if answer.status != 200:
            _raise_for_status(answer.status, APPEND_PATH)
        return Appended(end_offset, answer.era)

    async def read(
        self, topic: str, start: int, wait_s: float, newest_only: bool = False
    ) -> ReadPage:
        """Return the records from `start`; wait up to `wait_s` for the first one.

        With `newest_only`, several records that are large together are left out but for the last.
        """
        params = {
            "topic": topic,
            "part": "0",
            "from_revision": str(start),
            "max_kb": str(MAX_READ_KB),
        }
        if wait_s > 0:
            params["wait_ms"] = str(int(wait_s * 1000))
        limit_s = wait_s + (POLL_SLACK_S if wait_s > 0 else CALL_TIMEOUT_S)
        is_enough = _shows_superseded(start) if newest_only else _never_enough
        answer = await self._request("GET", READ_PATH, params, limit_s, is_enough=is_enough)
        if answer.status == 410:
            raise RecordsExpiredError(_parse_offset(answer.data, "first_offset", 0))
        if answer.status == 404:
            return ReadPage((), start, answer.era)
        if answer.status != 200:
            _raise_for_status(answer.status, READ_PATH)
        if not answer.whole:
            end, _ = _BOUNDS.unpack_from(answer.data)
            page = await self.read(topic, end - 1, 0.0)
            return evolve(page, skipped=end - 1 - start)
        return parse_page(answer.data, start, answer.era, answer.transfer)

    async def newest(self, topic: str, after: str = "") -> NewestPage:
        """Return the newest record of every key after one, all from the same era."""
        records: list[KeyedRecord] = []
        end: int | None = None
        era: int | None = None
        while True:
            params = {"topic": topic, "part": "0"}
            if after:
                params["after"] = after
            answer = await self._request("GET", NEWEST_PATH, params, CALL_TIMEOUT_S)
            if era is not None and answer.era != era:
                raise LogUnavailableError("the store was restored between two pages")
            era = answer.era
            if answer.status == 404:
                return NewestPage((), 0, era)
            if answer.status != 200:
                _raise_for_status(answer.status, NEWEST_PATH)
            page = _parse_newest(answer.data)
            # Pages are not a snapshot, so records after the first page's end are read again.
            end = page.end_offset if end is None else end
            records += page.records
            if not page.has_more or not page.records:
                truncated = page.has_more
                return NewestPage(tuple(records), end, era, answer.transfer, truncated)
            after = page.records[-1].key

    async def _request(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        limit_s: float,
        body: bytes = b"",
        is_enough: _IsEnough = _never_enough,
    ) -> _Answer:
        """Make a call whose answer must begin within a limit, and go on without a stall."""
        progress = _Progress(path.rsplit("/", 1)[-1])
        self._metrics.count("store_calls", progress.call)
        request = self._encode(method, path, params, body)
        if self._connections is None:
            host, _, port = self._address.rpartition(":")
            self._connections = StoreConnections(host.strip("[]"), int(port))
        connections = self._connections
        answered = False
        try:
            async with asyncio.timeout(limit_s) as limit:
                answer = await self._call(connections, method, request, progress, limit, is_enough)
            answered = True
            return answer
        except (TimeoutError, StoreCallError, OSError) as error:
            kind = error.kind if isinstance(error, StoreCallError) else type(error).__name__
            self._metrics.count("store_failures", kind)
            raise LogUnavailableError(f"{path}: {kind}: {error}") from error
        finally:
            self._record(progress.transfer(), params["topic"], answered)
            if not answered:
                self._distrust(connections)

    async def _call(
        self,
        connections: StoreConnections,
        method: str,
        request: bytes,
        progress: _Progress,
        limit: asyncio.Timeout,
        is_enough: _IsEnough,
    ) -> _Answer:
        """Send a request and return its answer; a GET that stays unanswered is sent once more.

        The store may close a connection at the moment at which it is used again.
        """
        try:
            return await self._exchange(connections, request, progress, limit, is_enough)
        except StoreCallError as error:
            if method != "GET" or not error.unanswered:
                raise
        return await self._exchange(connections, request, progress, limit, is_enough)

    async def _exchange(
        self,
        connections: StoreConnections,
        request: bytes,
        progress: _Progress,
        limit: asyncio.Timeout,
        is_enough: _IsEnough,
    ) -> _Answer:
        async with connections.lend() as connection:
            start = await connection.send(request)
            era = self._accept_era(
                [value.decode("latin-1") for name, value in start.headers if name == _ERA_HEADER]
            )
            progress.add(0)
            report_progress()
            if start.status != 200:
                is_enough = _never_enough
            data, whole = await _read_body(connection, start, progress, limit, is_enough)
            return _Answer(start.status, data, era, progress.transfer(), whole)

    def _encode(self, method: str, path: str, params: dict[str, str], body: bytes) -> bytes:
        lines = [f"{method} {path}?{urlencode(params)} HTTP/1.1", f"Host: {self._address}"]
        lines.append("Accept: */*")
        if method == "POST":
            lines.append("Content-Type: application/octet-stream")
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _record(self, transfer: Transfer, topic: str, answered: bool) -> None:
        """Record how a call went; each one without a whole answer has a log line."""
        self._metrics.count("store_bytes", transfer.call, transfer.size_bytes)
        self._metrics.observe("store_wait", transfer.call, transfer.waited_s)
        self._metrics.observe("store_transfer", transfer.call, transfer.received_s)
        if not answered:
            emit(
                Event.STORE_CALL_ENDED,
                call=transfer.call,
                topic=topic,
                waited_ms=transfer.waited_ms,
                received_ms=transfer.received_ms,
                received_bytes=transfer.size_bytes,
            )

    def _distrust(self, connections: StoreConnections) -> None:
        """Open new connections from now on, after a call over these has had no answer.

        Whatever silenced one of them may have silenced them all.
        """
        if self._connections is connections:
            self._connections = None
            connections.retire()

    def _accept_era(self, values: list[str]) -> int:
        """Return an answer's era; raise LogUnavailableError if it is earlier than a known one."""
        if not values:
            return self._era
        value = values[0]
        number = value.isascii() and value.isdigit() and len(value) <= MAX_ERA_DIGITS
        if len(values) > 1 or not number or int(value) > HIGHEST_ERA:
            self._metrics.count("store_headers_ignored", STORE_ERA)
            return self._era
        era = int(value)
        if era < self._era:
            raise LogUnavailableError(f"an answer of era {era} came after one of {self._era}")
        self._era = era
        return era


async def _read_body(
    connection: StoreConnection,
    start: AnswerStart,
    progress: _Progress,
    limit: asyncio.Timeout,
    is_enough: _IsEnough,
) -> tuple[bytes, bool]:
    """Return a body, or the part of it that is enough, and whether it is whole.

    Each PROGRESS_BYTES move the time limit on. Raises LogUnavailableError if the body
    exceeds the maximum size of an answer.
    """
    loop = asyncio.get_running_loop()
    data = bytearray()
    due_bytes = PROGRESS_BYTES
    limit.reschedule(loop.time() + STALL_TIMEOUT_S)
    while piece := await connection.read():
        data += piece
        progress.add(len(piece))
        if len(data) >= due_bytes:
            limit.reschedule(loop.time() + STALL_TIMEOUT_S)
            due_bytes = len(data) + PROGRESS_BYTES
        if len(data) > MAX_ANSWER_BYTES:
            connection.abort()
            detail = f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
            raise LogUnavailableError(f"{progress.call}: {detail}")
        if is_enough(data, start.length):
            connection.abort()
            return bytes(data), False
    return bytes(data), True


@frozen
class _NewestAnswer:
    records: tuple[KeyedRecord, ...]
    end_offset: int
    has_more: bool


def _parse_newest(data: bytes) -> _NewestAnswer:
    fields = _parse_json(data)
    try:
        records = tuple(
            KeyedRecord(str(item["key"]), _decode_value(item)) for item in fields["items"]
        )
        return _NewestAnswer(records, int(fields["end_offset"]), bool(fields.get("has_more")))
    except (ValueError, TypeError, KeyError) as error:
        detail = f"{type(error).__name__}: {shorten(str(error))}"
        raise LogProtocolError(f"the newest records can't be read: {detail}") from error


def _decode_value(item: dict[str, Any]) -> bytes | None:
    return base64.b64decode(item.get("value") or "") or None


def _parse_json(data: bytes) -> dict[str, Any]:
    try:
        answer = parse_document(data)
    except ValueError as error:
        raise LogProtocolError("the store's answer is not JSON") from error
    if not isinstance(answer, dict):
        raise LogProtocolError("the store's answer is not an object")
    return answer


def _parse_offset(data: bytes, name: str, default: int | None = None) -> int:
    """Return an offset of a JSON answer; raise LogProtocolError if it isn't a number."""
    value = _parse_json(data).get(name, default)
    try:
        return int(value)
    except (TypeError, ValueError) as error:
        raise LogProtocolError(f"the store answered {name} {shorten(repr(value))}") from error


def _raise_for_status(status: int, path: str) -> None:
    if status in _REFUSED_STATUSES:
        raise LogUnavailableError(f"{path}: the store answered {status}")
    raise LogProtocolError(f"{path}: the store answered {status}")
