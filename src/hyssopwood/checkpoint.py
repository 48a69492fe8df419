"""Checkpoints: cluster state to and from log records, and the task that writes them."""

from __future__ import annotations

import asyncio
import base64
import json
import zlib
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

from attrs import define, field, frozen
from xxhash import xxh64_hexdigest

from hyssopwood.errors import InputError, LogError, ProtocolError
from hyssopwood.events import Event, emit
from hyssopwood.records import Body, CheckpointRecord, LogRecord
from hyssopwood.settings import Limits
from hyssopwood.state import ClusterState
from hyssopwood.structure import make_converter, parse_plain_json, structure
from hyssopwood.timers import Timers
from hyssopwood.transitions import Applied

VERSION = 1
# Leaves room in a record of 1 MiB for the header and for escaped quotes.
MAX_PART_CHARACTERS = 900_000
MAX_PARTS = 64
MAX_STATE_BYTES = 64 * 1_048_576
COMPRESSION_LEVEL = 6
CHECK_INTERVAL_S = 1.0


class CheckpointError(ProtocolError):
    """Raised when a checkpoint can't be used."""


@frozen(kw_only=True)
class CheckpointPart:
    """Carry one part of a compressed state; `digest` covers the whole uncompressed text."""

    version: int
    through: int
    digest: str
    part: int
    parts: int
    data: str


def _make_state_converter() -> Any:
    converter = make_converter()
    converter.register_unstructure_hook_func(
        lambda kind: getattr(kind, "__origin__", kind) is frozenset, sorted
    )
    return converter


_CONVERTER = _make_state_converter()


def encode_state(state: ClusterState) -> tuple[str, ...]:
    """Return the parts of a state's checkpoint; each fits one record."""
    # The order of the tables is part of the state: it decides which writer is forgotten first.
    text = json.dumps(_CONVERTER.unstructure(state), separators=(",", ":")).encode()
    if len(text) > MAX_STATE_BYTES:
        raise CheckpointError(f"state has {len(text)} bytes, at most {MAX_STATE_BYTES}")
    packed = base64.b64encode(zlib.compress(text, COMPRESSION_LEVEL)).decode()
    pieces = [
        packed[start : start + MAX_PART_CHARACTERS]
        for start in range(0, len(packed), MAX_PART_CHARACTERS)
    ]
    if len(pieces) > MAX_PARTS:
        raise CheckpointError(f"checkpoint has {len(pieces)} parts, at most {MAX_PARTS}")
    digest = xxh64_hexdigest(text)
    return tuple(
        _part_text(state.applied, digest, number, len(pieces), piece)
        for number, piece in enumerate(pieces)
    )


def _part_text(through: int, digest: str, part: int, parts: int, data: str) -> str:
    fields = {
        "version": VERSION,
        "through": through,
        "digest": digest,
        "part": part,
        "parts": parts,
        "data": data,
    }
    return json.dumps(fields, separators=(",", ":"))


def decode_part(text: str) -> CheckpointPart:
    """Return one part; raise CheckpointError when it is malformed."""
    try:
        part = structure("checkpoint", parse_plain_json(text), CheckpointPart)
    except (InputError, ValueError) as error:
        raise CheckpointError(f"checkpoint is malformed: {error}") from error
    if part.version != VERSION:
        raise CheckpointError(f"checkpoint has version {part.version}, expected {VERSION}")
    if not 0 <= part.part < part.parts <= MAX_PARTS:
        raise CheckpointError(f"checkpoint has part {part.part} of {part.parts}")
    return part


def decode_state(texts: Sequence[str]) -> ClusterState:
    """Return the state in a checkpoint's parts; raise CheckpointError when they don't fit."""
    return _join([decode_part(text) for text in texts])


def _join(parts: Sequence[CheckpointPart]) -> ClusterState:
    if [part.part for part in parts] != list(range(parts[0].parts)):
        raise CheckpointError("checkpoint is incomplete")
    text = _inflate("".join(part.data for part in parts))
    if xxh64_hexdigest(text) != parts[0].digest:
        raise CheckpointError("checkpoint doesn't match its digest")
    try:
        state: ClusterState = _CONVERTER.structure(json.loads(text), ClusterState)
    except Exception as error:
        # Malformed values make cattrs raise groups of any exception type.
        raise CheckpointError(f"checkpoint is malformed: {type(error).__name__}") from error
    if state.applied != parts[0].through:
        raise CheckpointError(f"checkpoint ends at {state.applied}, not {parts[0].through}")
    return state


def _inflate(packed: str) -> bytes:
    try:
        inflater = zlib.decompressobj()
        text = inflater.decompress(base64.b64decode(packed, validate=True), MAX_STATE_BYTES)
    except (ValueError, zlib.error) as error:
        raise CheckpointError("checkpoint can't be decompressed") from error
    if not inflater.eof:
        raise CheckpointError(f"checkpoint is cut or exceeds {MAX_STATE_BYTES} bytes")
    return text


@define
class CheckpointCollector:
    """Collect the parts of checkpoints from records and keep the newest whole one."""

    newest: tuple[CheckpointPart, ...] = ()
    _partial: dict[str, list[CheckpointPart]] = field(factory=dict)

    def add(self, record: LogRecord) -> None:
        """Add a record; records other than checkpoints and malformed parts are ignored."""
        if not isinstance(record.body, CheckpointRecord):
            return
        try:
            part = decode_part(record.body.state)
        except CheckpointError:
            return
        known = self._partial.get(record.writer, [])
        follows = bool(known) and (known[-1].digest, len(known)) == (part.digest, part.part)
        if part.part and not follows:
            return
        parts = [*known, part] if part.part else [part]
        self._partial[record.writer] = parts
        if len(parts) == part.parts:
            del self._partial[record.writer]
            self.newest = tuple(parts)

    @property
    def through(self) -> int:
        """Return the last offset that the newest checkpoint covers, -1 when there is none."""
        return self.newest[0].through if self.newest else -1

    def state(self) -> ClusterState:
        """Return the newest checkpoint's state; raise CheckpointError when it can't be used."""
        if not self.newest:
            raise CheckpointError("no complete checkpoint was found")
        return _join(self.newest)


class CheckpointWriter(Protocol):
    """Give the checkpointer the state and the log; `Replica` does."""

    @property
    def state(self) -> ClusterState:
        """Return the state in force."""
        ...

    @property
    def incarnation(self) -> str:
        """Return the writer's incarnation."""
        ...

    async def append(self, body: Body) -> Applied:
        """Append a record and read it back."""
        ...


class Checkpointer:
    """Write a checkpoint by count and by age while this instance is the planner."""

    def __init__(
        self,
        timers: Timers,
        replica: CheckpointWriter,
        limits: Limits,
        offload: Callable[..., Awaitable[tuple[str, ...]]] = asyncio.to_thread,
    ) -> None:
        self._timers = timers
        self._replica = replica
        self._limits = limits
        # Encoding a large state takes longer than the event loop may be blocked.
        self._offload = offload
        self._seen_checkpoint = -1
        self._seen_at = timers.now()

    async def run(self) -> None:
        """Write checkpoints until cancelled."""
        async for _ in self._timers.ticks(CHECK_INTERVAL_S):
            if not self._due():
                continue
            try:
                await self.write()
            except (LogError, CheckpointError) as error:
                emit(Event.CHECKPOINT_FAILED, error=error)

    async def write(self) -> None:
        """Write a checkpoint of the state in force."""
        state = self._replica.state
        parts = await self._offload(encode_state, state)
        for text in parts:
            record = CheckpointRecord(epoch=state.planner_epoch, through=state.applied, state=text)
            applied = await self._replica.append(record)
            if applied.rejected:
                emit(Event.CHECKPOINT_FAILED, error=applied.rejected)
                return
        emit(Event.CHECKPOINT_WRITTEN, through=state.applied, parts=len(parts))

    def _due(self) -> bool:
        state = self._replica.state
        now = self._timers.now()
        if state.last_checkpoint != self._seen_checkpoint:
            self._seen_checkpoint = state.last_checkpoint
            self._seen_at = now
        if state.planner != self._replica.incarnation or state.applied < 0:
            return False
        by_count = state.applied - state.last_checkpoint >= self._limits.checkpoint_records
        return by_count or now - self._seen_at >= self._limits.checkpoint_age_s
