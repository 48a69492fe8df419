"""Replica of the cluster state: tails the log, confirms appends, falls back to peers."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any, Protocol
from weakref import WeakSet

from attrs import frozen

from hyssopwood.append_budget import AppendBudget
from hyssopwood.backoff import Backoff
from hyssopwood.changes import Changes
from hyssopwood.checkpoint import CheckpointCollector, CheckpointError, decode_state, encode_state
from hyssopwood.errors import (
    AppendBudgetError,
    AppendUnconfirmedError,
    LogError,
    LogResponseTooLargeError,
    LogThrottledError,
    PeerUnavailableError,
    ProtocolError,
    RecordsExpiredError,
    RecordTooLargeError,
)
from hyssopwood.events import Event, emit
from hyssopwood.history import MAX_REPLY_RECORDS, History
from hyssopwood.log_client import Log, LogPage, StoredRecord
from hyssopwood.messages import Body as PeerBody
from hyssopwood.messages import (
    CheckpointReply,
    CheckpointRequest,
    PositionReply,
    PositionRequest,
    RecordsReply,
    RecordsRequest,
)
from hyssopwood.records import Body, LogRecord, TicketRecord, decode_record, encode_record
from hyssopwood.state import ClusterState, has_quorum
from hyssopwood.timers import Timers
from hyssopwood.transitions import Applied, apply, skip
from hyssopwood.waiting import WaitTimeoutError, within

POLL_WAIT_MS = 1_000
PAGE_RECORDS = 500
# A record must also fit a peer message, which is as large as the log's record limit of 1 MiB.
MAX_APPEND_BYTES = 1_040_000
# Records applied before other tasks run; a record takes well under 1 ms.
APPLY_SLICE = 20
APPEND_LIMIT_S = 10.0
RECENT_S = 5.0
PEER_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 0.5
# Peers are asked when the log wasn't read for longer than one long poll and its round trip.
PEER_AFTER_S = POLL_WAIT_MS / 1000 + 0.5
MAX_REJECTION_CHARACTERS = 200
APPLY_FAILED = "apply-failed"
UNDECODABLE = "undecodable"


class PeerLink(Protocol):
    """Ask peers and answer them; `Peers` does."""

    async def request(self, incarnation: str, body: PeerBody, timeout_s: float) -> PeerBody:
        """Return a peer's reply; raise PeerUnavailableError when there is none in time."""
        ...

    def on(
        self, body_type: type, handler: Callable[[str, Any], Awaitable[PeerBody | None]]
    ) -> None:
        """Register the handler of a message type."""
        ...


@frozen
class Recency:
    """Say whether the state is provably recent, and why not."""

    recent: bool
    reason: str

    def __bool__(self) -> bool:
        return self.recent


class Replica:
    """Hold the cluster state that the log's records produce."""

    def __init__(
        self,
        timers: Timers,
        log: Log,
        incarnation: str,
        *,
        append_rate_per_s: float = 20.0,
        append_limit_s: float = APPEND_LIMIT_S,
        recent_s: float = RECENT_S,
        chance: random.Random | None = None,
    ) -> None:
        self._timers = timers
        self._log = log
        self._incarnation = incarnation
        self._append_limit_s = append_limit_s
        self._recent_s = recent_s
        self._chance = chance or random.Random()
        self._budget = AppendBudget(timers, append_rate_per_s)
        self._state = ClusterState()
        self._changed = asyncio.Event()
        self._subscribers: WeakSet[Changes] = WeakSet()
        self._history = History()
        self._page_records = PAGE_RECORDS
        self._log_reachable = False
        self._read_at = -math.inf
        self._sequence = 0
        self._append_lock = asyncio.Lock()
        self._awaited: dict[str, asyncio.Future[Applied]] = {}
        self._peers: PeerLink | None = None
        self._peer_names: Callable[[], Sequence[str]] = self._members
        self._peer_turn = 0
        self._positions: dict[str, tuple[float, int]] = {}
        # Many instances may start at once and ask for the same state.
        self._encoded: tuple[ClusterState, tuple[str, ...]] | None = None

    @property
    def state(self) -> ClusterState:
        """Return the state in force."""
        return self._state

    @property
    def incarnation(self) -> str:
        """Return the incarnation that this replica appends as."""
        return self._incarnation

    @property
    def log_reachable(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return self._log_reachable

    @property
    def read_age_s(self) -> float:
        """Return the time since the start of the last read that reached the log's end."""
        return self._timers.now() - self._read_at

    @property
    def budget(self) -> AppendBudget:
        """Return the append budget with its counts."""
        return self._budget

    # Following the log

    def use_peers(self, peers: PeerLink, names: Callable[[], Sequence[str]] | None = None) -> None:
        """Answer peers, and ask the named ones (default: the members) while the log is down."""
        self._peers = peers
        self._peer_names = names or self._members
        peers.on(RecordsRequest, self._on_records_request)
        peers.on(CheckpointRequest, self._on_checkpoint_request)
        peers.on(PositionRequest, self._on_position_request)

    async def run(self) -> None:
        """Follow the log, and peers while the log is down, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_log())
            tasks.create_task(self._follow_peers())

    async def catch_up(self) -> None:
        """Read to the log's current end; raise LogError when that fails."""
        while not await self._read_once(wait_ms=0):
            pass

    async def _follow_log(self) -> None:
        backoff = Backoff(self._chance)
        while True:
            try:
                await self._read_once(POLL_WAIT_MS)
            except LogError as error:
                self._log_failed(error)
                await self._timers.sleep(backoff.next_s())
            else:
                backoff.reset()

    async def _read_once(self, wait_ms: int) -> bool:
        """Read and apply one page; return whether it reached the log's end."""
        started = self._timers.now()
        start = self._state.applied + 1
        limit = self._page_records
        try:
            page = await self._log.read(start, limit, wait_ms)
        except LogResponseTooLargeError:
            if self._page_records == 1:
                raise
            self._page_records //= 2
            return False
        except RecordsExpiredError as error:
            await self._load_checkpoint(error.first)
            return False
        self._page_records = min(PAGE_RECORDS, self._page_records * 2)
        self._log_answered()
        await self._apply_all(page.records)
        # A full page may leave records behind even when `next` follows its last record.
        short = len(page.records) < limit
        at_end = not page.records or (short and self._state.applied + 1 >= page.next)
        if at_end:
            self._read_at = max(self._read_at, started)
        return at_end

    async def _load_checkpoint(self, first: int) -> None:
        """Start from the newest checkpoint in the log; peers may have one when it has none."""
        collector = await self._scan_checkpoints(first)
        try:
            if collector.through + 1 < first:
                raise CheckpointError(f"the records after offset {collector.through} have expired")
            self._replace(collector.state())
        except CheckpointError as error:
            raise RecordsExpiredError(first) from error

    async def _scan_checkpoints(self, first: int) -> CheckpointCollector:
        collector = CheckpointCollector()
        position = first
        while True:
            page = await self._scan_page(position)
            for stored in page.records:
                position = stored.offset + 1
                # Most records are of other kinds and need no decoding.
                if '"checkpoint"' in stored.data:
                    _collect(collector, stored)
            if not page.records or position >= page.next:
                return collector

    async def _scan_page(self, position: int) -> LogPage:
        while True:
            try:
                return await self._log.read(position, self._page_records, 0)
            except LogResponseTooLargeError:
                if self._page_records == 1:
                    raise
                self._page_records //= 2

    def _replace(self, state: ClusterState) -> None:
        # An older state would revert what this instance already acted on.
        if state.applied <= self._state.applied:
            raise CheckpointError(f"checkpoint at {state.applied} is not newer")
        self._state = state
        self._history.clear(state.applied + 1)
        emit(Event.CHECKPOINT_LOADED, through=state.applied)
        self._publish(Applied(state))

    async def _apply_all(self, records: Iterable[StoredRecord]) -> None:
        for count, stored in enumerate(records, start=1):
            if stored.offset > self._state.applied:
                self._apply(stored)
            if count % APPLY_SLICE == 0:
                await asyncio.sleep(0)

    def _apply(self, stored: StoredRecord) -> None:
        applied = self._applied(stored)
        self._state = applied.state
        self._history.add(stored)
        if applied.rejected and applied.rejected != "duplicate":
            emit(Event.RECORD_REJECTED, offset=stored.offset, reason=applied.rejected)
        if applied.record is not None:
            if isinstance(applied.record.body, TicketRecord):
                _emit_verdict(applied)
            waiter = self._awaited.pop(applied.record.id, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(applied)
        self._publish(applied)

    def _applied(self, stored: StoredRecord) -> Applied:
        try:
            record = decode_record(stored.data)
        except ProtocolError as error:
            detail = f"{UNDECODABLE}: {error}"[:MAX_REJECTION_CHARACTERS]
            return Applied(skip(self._state, stored.offset), rejected=detail)
        try:
            return apply(self._state, stored.offset, stored.time_ms, record)
        except Exception as error:
            # Every instance runs the same code on the same data and skips the same record.
            detail = f"{APPLY_FAILED}: {type(error).__name__}"
            return Applied(skip(self._state, stored.offset), rejected=detail, record=record)

    def _publish(self, applied: Applied) -> None:
        for subscriber in tuple(self._subscribers):
            subscriber.put(applied)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _log_answered(self) -> None:
        if not self._log_reachable:
            emit(Event.LOG_RECOVERED)
        self._log_reachable = True

    def _log_failed(self, error: LogError) -> None:
        if self._log_reachable:
            emit(Event.LOG_UNAVAILABLE, error=error)
        self._log_reachable = False

    # Observing

    def changes(self) -> Changes:
        """Return an iterator over the records that are applied from now on."""
        changes = Changes()
        self._subscribers.add(changes)
        return changes

    async def wait_until(self, predicate: Callable[[ClusterState], bool], timeout_s: float) -> bool:
        """Wait for a state that satisfies the predicate; return False after the timeout."""
        try:
            await within(self._timers, timeout_s, self._until(predicate))
        except WaitTimeoutError:
            return predicate(self._state)
        return True

    async def _until(self, predicate: Callable[[ClusterState], bool]) -> None:
        while not predicate(self._state):
            await self._changed.wait()

    def recent(self) -> Recency:
        """Say whether the log or a majority of the voters confirms the position."""
        if self.read_age_s <= self._recent_s:
            return Recency(True, "")
        oldest = self._timers.now() - self._recent_s
        confirming = {
            name
            for name, (asked_at, applied) in self._positions.items()
            if asked_at >= oldest and applied <= self._state.applied
        }
        if has_quorum(self._state, {*confirming, self._incarnation}):
            return Recency(True, "")
        age = "never" if math.isinf(self._read_at) else f"{self.read_age_s:.1f} s ago"
        voters = len(self._state.voters)
        reason = f"the log was last read {age}, and {len(confirming)} of {voters} voters"
        return Recency(False, f"{reason} confirmed position {self._state.applied}")

    # Appending

    async def append(self, body: Body) -> Applied:
        """Append a record and return its effect after reading it back.

        After AppendUnconfirmedError the record may or may not come into force.
        """
        deadline = self._timers.now() + self._append_limit_s
        await self._wait_for_budget(body, deadline)
        async with self._append_lock:
            self._sequence += 1
            record = LogRecord(f"{self._incarnation}:{self._sequence}", self._incarnation, body)
            text = encode_record(record)
            if len(text) > MAX_APPEND_BYTES:
                raise RecordTooLargeError(
                    f"record has {len(text)} bytes, at most {MAX_APPEND_BYTES}"
                )
            waiter: asyncio.Future[Applied] = asyncio.get_running_loop().create_future()
            self._awaited[record.id] = waiter
            try:
                await self._append_until_read(record.id, text, waiter, deadline)
                return waiter.result()
            finally:
                self._awaited.pop(record.id, None)
                waiter.cancel()

    async def _wait_for_budget(self, body: Body, deadline: float) -> None:
        kind = LogRecord("", "", body).kind
        while wait_s := self._budget.wait_s(kind):
            if self._timers.now() + wait_s > deadline:
                raise AppendBudgetError(f"the append budget for {kind!r} records is exhausted")
            await self._timers.sleep(wait_s)

    async def _append_until_read(
        self, record_id: str, text: str, waiter: asyncio.Future[Applied], deadline: float
    ) -> None:
        backoff = Backoff(self._chance)
        failure = "the log accepted it"
        while not waiter.done():
            remaining = deadline - self._timers.now()
            if remaining <= 0:
                detail = f"record {record_id} was not read back in time; {failure}"
                raise AppendUnconfirmedError(detail)
            try:
                await self._log.append(text)
            except RecordTooLargeError:
                raise
            except LogError as error:
                failure = str(error)
                pause_s = backoff.next_s()
                if isinstance(error, LogThrottledError):
                    pause_s += error.retry_after_s
                emit(Event.APPEND_RETRIED, id=record_id, error=error)
            else:
                failure = "the log accepted it"
                pause_s = remaining
            await self._wait_for_record(waiter, min(pause_s, remaining))

    async def _wait_for_record(self, waiter: asyncio.Future[Applied], seconds: float) -> None:
        try:
            # A record whose append answer was lost may be read back during the pause.
            await within(self._timers, seconds, asyncio.shield(waiter))
        except WaitTimeoutError:
            return

    # Peers

    def records_since(self, offset: int, limit: int) -> RecordsReply:
        """Return records from the recent history for a peer, bounded to one message."""
        return self._history.since(offset, limit, self._state.applied + 1)

    def _members(self) -> Sequence[str]:
        return [name for name in self._state.members if name != self._incarnation]

    async def _on_records_request(self, sender: str, body: RecordsRequest) -> RecordsReply:
        return self.records_since(body.from_, body.limit)

    async def _on_position_request(self, sender: str, body: PositionRequest) -> PositionReply:
        return PositionReply(self._state.applied)

    async def _on_checkpoint_request(self, sender: str, body: CheckpointRequest) -> CheckpointReply:
        state = self._state
        if self._encoded is None or self._encoded[0] is not state:
            self._encoded = (state, await asyncio.to_thread(encode_state, state))
        encoded, parts = self._encoded
        if encoded.applied < 0 or len(parts) > 1:
            return CheckpointReply(-1, "")
        return CheckpointReply(encoded.applied, parts[0])

    async def _follow_peers(self) -> None:
        async for _ in self._timers.ticks(PEER_INTERVAL_S):
            if self._peers is not None and self.read_age_s > PEER_AFTER_S:
                await self._read_from_peers()
                await self._confirm_position()

    async def _read_from_peers(self) -> None:
        name = self._next_peer()
        if name is None:
            return
        start = self._state.applied + 1
        reply = await self._ask(name, RecordsRequest(start, MAX_REPLY_RECORDS))
        if not isinstance(reply, RecordsReply):
            return
        if reply.first > start:
            await self._start_from(name)
            return
        records = [StoredRecord(item.offset, item.time_ms, item.data) for item in reply.records]
        # Records that aren't in order can't be a part of the log.
        if all(a.offset < b.offset for a, b in zip(records, records[1:], strict=False)):
            await self._apply_all(records)

    def _next_peer(self) -> str | None:
        names = self._peer_names()
        if not names:
            return None
        self._peer_turn += 1
        return names[self._peer_turn % len(names)]

    async def _start_from(self, name: str) -> None:
        reply = await self._ask(name, CheckpointRequest())
        if not isinstance(reply, CheckpointReply) or reply.through < 0:
            return
        try:
            self._replace(decode_state([reply.data]))
        except CheckpointError as error:
            emit(Event.PEER_REJECTED, peer=name, error=error)

    async def _confirm_position(self) -> None:
        asked_at = self._timers.now()
        names = {*self._state.voters, *self._state.pending_voters} - {self._incarnation}
        replies = await asyncio.gather(*(self._ask(name, PositionRequest()) for name in names))
        self._positions = {name: kept for name, kept in self._positions.items() if name in names}
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, PositionReply):
                self._positions[name] = (asked_at, reply.applied)

    async def _ask(self, name: str, body: PeerBody) -> PeerBody | None:
        if self._peers is None:
            return None
        try:
            return await self._peers.request(name, body, PEER_TIMEOUT_S)
        except (PeerUnavailableError, ProtocolError):
            return None


def _collect(collector: CheckpointCollector, stored: StoredRecord) -> None:
    try:
        collector.add(decode_record(stored.data))
    except ProtocolError:
        return


def _emit_verdict(applied: Applied) -> None:
    if not applied.state.verdicts or applied.rejected:
        return
    verdict = applied.state.verdicts[-1]
    if verdict.accepted:
        emit(Event.TICKET_ACCEPTED, number=verdict.number, publisher=verdict.publisher)
    else:
        emit(Event.TICKET_REJECTED, number=verdict.number, reason=verdict.reason)
