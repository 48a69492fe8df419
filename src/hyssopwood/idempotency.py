"""Records of idempotency keys that a coordinator keeps."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from typing import TypeAlias

from attrs import define, frozen

from hyssopwood.messages import IdempotencyCopy
from hyssopwood.outcomes import Reason
from hyssopwood.timers import Timers

MAX_RECORDS = 20_000
MAX_BODY_BYTES = 16_384
# Sum over all records of one coordinator; larger sums drop the oldest bodies.
MAX_STORED_BYTES = 8_388_608
IN_PROGRESS_RETRY_S = 0.1
ATTEMPT_SEPARATOR = "#"


class KeyState(Enum):
    """State of a recorded key."""

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    ANSWER_LOST = "answer-lost"
    UNKNOWN = "unknown"
    # Only in copies: the request was proved not to have run.
    ABANDONED = "abandoned"


@define(eq=False)
class _Record:
    """One key; `attempt` is the id of the attempt that runs it, empty in copies."""

    digest: int
    state: KeyState
    expires: float
    attempt: str = ""
    request_key: str = ""
    status: int = 0
    body: bytes = b""


@frozen
class Begun:
    """Say that the request may run and that its key is recorded."""


@frozen
class Stored:
    """Hold the answer of an equal earlier request."""

    status: int
    body: bytes


@frozen
class KeyRefused:
    """Say why a request with this key must not run."""

    reason: Reason
    detail: str
    retry_after_s: float | None = None


BeginResult: TypeAlias = Begun | Stored | KeyRefused


def holder_of(request_id: str) -> str:
    """Return the caller request that an attempt's id belongs to."""
    return request_id.partition(ATTEMPT_SEPARATOR)[0]


class IdempotencyRecords:
    """Remember keyed requests for a window, bounded in count and bytes.

    A record is never dropped before its window ends, because its request could run twice;
    new keys are refused instead.
    """

    def __init__(self, timers: Timers, window_s: float, max_records: int = MAX_RECORDS) -> None:
        self._timers = timers
        self._window_s = window_s
        self._max_records = max_records
        # Ordered by expiry, as the window is the same for all.
        self._records: OrderedDict[tuple[str, str], _Record] = OrderedDict()
        self._stored_bytes = 0
        self._distrust_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def stored_bytes(self) -> int:
        """Return the sum of the stored bodies."""
        return self._stored_bytes

    def begin(
        self,
        service: str,
        key: str,
        digest: int,
        request_id: str,
        request_key: str = "",
        partition: str = "",
    ) -> BeginResult:
        """Record a key before its request runs, or say why it must not run."""
        now = self._timers.now()
        self._expire(now)
        record = self._records.get((service, key))
        if record is not None:
            return self._judge(record, digest, request_id, now)
        distrust_s = self.distrust_s(partition)
        if distrust_s > 0:
            detail = "the record of this key may have been lost with its coordinator"
            return KeyRefused(Reason.RECORD_LOST, detail, distrust_s)
        if len(self._records) >= self._max_records:
            oldest = next(iter(self._records.values()))
            detail = f"{len(self._records)} idempotency keys are recorded"
            return KeyRefused(Reason.QUEUE_FULL, detail, max(0.0, oldest.expires - now))
        expires = now + self._window_s
        record = _Record(digest, KeyState.IN_PROGRESS, expires, request_id, request_key)
        self._records[service, key] = record
        return Begun()

    def finish(self, service: str, key: str, status: int, body: bytes) -> None:
        """Record that a request ran; an empty or large `body` is not kept."""
        record = self._records.get((service, key))
        if record is None:
            return
        if body and len(body) <= MAX_BODY_BYTES:
            self._settle(service, key, record, KeyState.ANSWERED)
            record.status, record.body = status, body
            self._stored_bytes += len(body)
            self._bound_bytes()
        else:
            self._settle(service, key, record, KeyState.ANSWER_LOST)

    def mark_unknown(self, service: str, key: str, request_id: str = "") -> None:
        """Record that the outcome of an attempt, or of any, is not known."""
        record = self._in_progress(service, key, request_id)
        if record is not None:
            self._settle(service, key, record, KeyState.UNKNOWN)

    def abandon(self, service: str, key: str, request_id: str = "") -> None:
        """Forget an attempt that was proved not to have run, so that the key may run later."""
        if self._in_progress(service, key, request_id) is not None:
            del self._records[service, key]

    def _in_progress(self, service: str, key: str, request_id: str) -> _Record | None:
        record = self._records.get((service, key))
        if record is None or record.state is not KeyState.IN_PROGRESS:
            return None
        # The end of an attempt may be reported after the next one has begun to run.
        stale = record.attempt and request_id and record.attempt != request_id
        return None if stale else record

    def lookup(self, service: str, key: str) -> KeyState | None:
        """Return the state of a key."""
        self._expire(self._timers.now())
        record = self._records.get((service, key))
        return None if record is None else record.state

    def distrust_until(self, until: float, partition: str = "") -> None:
        """Refuse unknown keys of a partition, or of all, until then; records may be missing."""
        now = self._timers.now()
        kept = {name: end for name, end in self._distrust_until.items() if end > now}
        kept[partition] = max(until, kept.get(partition, until))
        self._distrust_until = kept

    def distrust_s(self, partition: str = "") -> float:
        """Return for how many seconds unknown keys of a partition are still refused."""
        ends = (self._distrust_until.get(name, -math.inf) for name in ("", partition))
        return max(0.0, max(ends) - self._timers.now())

    def copy_of(self, server: str, service: str, key: str) -> IdempotencyCopy | None:
        """Return the copy of one record for the standby."""
        record = self._records.get((service, key))
        return None if record is None else _copy(server, service, key, record)

    def export(
        self, server: str, wanted: Callable[[str, str], bool] = lambda service, key: True
    ) -> Iterator[IdempotencyCopy]:
        """Yield copies of the records whose service and request key are wanted."""
        self._expire(self._timers.now())
        for (service, key), record in list(self._records.items()):
            if wanted(service, record.request_key):
                yield _copy(server, service, key, record)

    def import_copies(self, copies: Iterable[IdempotencyCopy]) -> None:
        """Store copies from the coordinator; their window starts again."""
        self._expire(self._timers.now())
        for copy in copies:
            self._import_one(copy)

    def take_over(self) -> None:
        """Stop waiting for requests of the previous coordinator: nobody reports their end."""
        for (service, key), record in list(self._records.items()):
            if record.state is KeyState.IN_PROGRESS:
                self._settle(service, key, record, KeyState.UNKNOWN)

    def _import_one(self, copy: IdempotencyCopy) -> None:
        name = (copy.service, copy.idempotency_key)
        known = self._records.get(name)
        state = KeyState(copy.state)
        if state is KeyState.ABANDONED:
            self.abandon(*name)
            return
        if known is not None and state is KeyState.IN_PROGRESS:
            # Copies may arrive out of order; an outcome is never replaced by its beginning.
            return
        if known is not None:
            self._drop_body(known)
            del self._records[name]
        elif len(self._records) >= self._max_records:
            # The lost key can't be told from an unused one any more.
            self.distrust_until(self._timers.now() + self._window_s)
            return
        expires = self._timers.now() + self._window_s
        body = copy.body[:MAX_BODY_BYTES]
        record = _Record(copy.digest, state, expires, "", copy.key, copy.status, body)
        self._records[name] = record
        self._stored_bytes += len(body)
        self._bound_bytes()

    def _judge(self, record: _Record, digest: int, request_id: str, now: float) -> BeginResult:
        if record.digest != digest:
            detail = "the idempotency key belongs to another request"
            return KeyRefused(Reason.BAD_REQUEST, detail)
        if record.state is KeyState.ANSWERED:
            return Stored(record.status, record.body)
        if record.state is not KeyState.ANSWER_LOST and _same_request(record, request_id):
            # A further attempt; its entry makes one after an unknown end only if that is allowed.
            record.state, record.attempt = KeyState.IN_PROGRESS, request_id
            return Begun()
        if record.state is KeyState.IN_PROGRESS:
            detail = "an equal request is in progress"
            return KeyRefused(Reason.IN_PROGRESS, detail, IN_PROGRESS_RETRY_S)
        if record.state is KeyState.ANSWER_LOST:
            return KeyRefused(Reason.ALREADY_RUN, "the request ran, its answer was not kept")
        detail = "the outcome of an equal request is unknown"
        return KeyRefused(Reason.RECORD_LOST, detail, max(0.0, record.expires - now))

    def _settle(self, service: str, key: str, record: _Record, state: KeyState) -> None:
        self._drop_body(record)
        record.state = state
        record.expires = self._timers.now() + self._window_s
        self._records.move_to_end((service, key))

    def _drop_body(self, record: _Record) -> None:
        self._stored_bytes -= len(record.body)
        record.body = b""

    def _bound_bytes(self) -> None:
        if self._stored_bytes <= MAX_STORED_BYTES:
            return
        for record in self._records.values():
            if record.body:
                self._drop_body(record)
                record.state = KeyState.ANSWER_LOST
            if self._stored_bytes <= MAX_STORED_BYTES:
                return

    def _expire(self, now: float) -> None:
        while self._records:
            name, record = next(iter(self._records.items()))
            if record.expires > now:
                return
            if record.state is KeyState.IN_PROGRESS:
                # Longer than any deadline: its entry is gone and nothing proves an outcome.
                self._settle(*name, record, KeyState.UNKNOWN)
            else:
                self._drop_body(record)
                del self._records[name]


def _same_request(record: _Record, request_id: str) -> bool:
    return bool(record.attempt) and holder_of(record.attempt) == holder_of(request_id)


def _copy(server: str, service: str, key: str, record: _Record) -> IdempotencyCopy:
    return IdempotencyCopy(
        server,
        service,
        key,
        record.digest,
        record.state.value,
        record.status,
        record.body,
        record.request_key,
    )
