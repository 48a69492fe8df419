"""Datagrams for admission to shared queues and for leader announcements, and their codec."""

from __future__ import annotations

from enum import Enum
from functools import singledispatch
from pathlib import Path
from typing import Any, TypeAlias

import capnp
from attrs import field, frozen

from hyssopwood.errors import ProtocolError
from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.limit_codec import fill_limit, read_limit
from hyssopwood.gateway.server_limits import LimitNotice
from hyssopwood.keyspace.plan import Leader

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("queue.capnp")))
# Limit on what the decoder reads for one message of a peer, in words of 8 bytes.
TRAVERSAL_WORDS = 4096
MAX_MS = 2**32 - 1
MAX_COUNT = 65_535
MS_PER_S = 1000
PERCENT = 100
# Expected costs above this are malformed.
MAX_COST_MS = 600_000


class ReplyState(Enum):
    """State of a request at the keeper of its queue."""

    QUEUED = "queued"
    GRANTED = "granted"
    REJECTED = "rejected"
    # The instance can't keep the queue, for example because it knows no usable server of it.
    DECLINED = "declined"


class Failure(Enum):
    """Kind of failure of an exchange: `CERTAIN` if the server can't have received the request."""

    NONE = "none"
    UNCERTAIN = "uncertain"
    CERTAIN = "certain"


@frozen
class QueueName:
    """Identity of a queue: of one server that owns keys, or of a service in a failure domain."""

    service: str
    failure_domain: str
    server: str = ""
    born_ms: int = 0

    def __str__(self) -> str:
        return f"{self.service}/{self.failure_domain}/{self.server}/{self.born_ms}"


@frozen(kw_only=True)
class Ask:
    """A request for admission; times are in seconds from now."""

    queue: QueueName
    priority: int
    target_s: float
    deadline_s: float
    max_wait_s: float = float("inf")
    tried: frozenset[str] = frozenset()
    # Limits of the queue's servers, as the asking instance has read them in answers.
    limits: tuple[LimitNotice, ...] = ()
    # Time that a server of mean speed is expected to work on the request; 0 if not stated.
    cost_s: float = 0.0


@frozen
class Reply:
    """Reply to an ask; a grant names the server and its start time."""

    state: ReplyState
    # Predicted wait; with a grant, until a slot of the server is free.
    wait_s: float = 0.0
    server: str = ""
    born_ms: int = 0
    # The servers' own limits determine the wait of a rejected request.
    limited: bool = False
    # Time between the receipt of the ask and the grant.
    held_s: float = 0.0
    # The granted server is cold, so that the grant must be used at once.
    cold: bool = False


@frozen
class Done:
    """Release of an admission with what was learned from it, or withdrawal of a request."""

    sample_s: float | None = None
    load: ServerLoad | None = None
    failure: Failure = field(default=Failure.NONE)
    # Time for which the server told the sending instance to back off.
    back_off_s: float | None = None
    limit: LimitNotice | None = None
    # Time for which the server stays cold, if its answer has stated it.
    warmup_s: float | None = None


@frozen
class Taken:
    """Confirmation that a release was received."""


@frozen
class Leads:
    """Announcement of the leader and its claim to an instance that has no link to it."""

    leader: Leader
    # Plan version of the claim; a later leader has a higher one.
    claim: int


QueueMessage: TypeAlias = Ask | Reply | Done | Taken | Leads


def _to_milliseconds(seconds: float) -> int:
    return int(min(MAX_MS, max(0.0, seconds * MS_PER_S)))


@singledispatch
def _fill(message: QueueMessage, wire: Any) -> None:
    raise TypeError(f"{type(message).__name__} is not a queue message")


@_fill.register
def _(message: Ask, wire: Any) -> None:
    ask = wire.init("ask")
    ask.service = message.queue.service
    ask.server = message.queue.server
    ask.bornMs = message.queue.born_ms
    ask.failureDomain = message.queue.failure_domain
    ask.priority = min(MAX_COUNT, max(0, message.priority))
    ask.targetMs = _to_milliseconds(message.target_s)
    ask.deadlineMs = _to_milliseconds(message.deadline_s)
    ask.mostWaitMs = _to_milliseconds(message.max_wait_s)
    if message.tried:
        tried = ask.init("tried", len(message.tried))
        for index, server in enumerate(sorted(message.tried)):
            tried[index] = server
    if message.limits:
        limits = ask.init("limits", len(message.limits))
        for row, notice in zip(limits, message.limits, strict=True):
            fill_limit(row, notice)
    ask.costMs = min(MAX_COST_MS, message.cost_s * MS_PER_S)


@_fill.register
def _(message: Reply, wire: Any) -> None:
    reply = wire.init("reply")
    reply.state = message.state.value
    reply.waitMs = _to_milliseconds(message.wait_s)
    reply.server = message.server
    reply.bornMs = message.born_ms
    reply.limited = message.limited
    reply.heldMs = _to_milliseconds(message.held_s)
    reply.cold = message.cold


@_fill.register
def _(message: Done, wire: Any) -> None:
    done = wire.init("done")
    done.sampleMs = 0.0 if message.sample_s is None else message.sample_s * MS_PER_S
    done.failure = message.failure.value
    done.backOffMs = _to_milliseconds(message.back_off_s or 0.0)
    if message.load is not None:
        done.hasLoad = True
        done.running = min(MAX_COUNT, message.load.running)
        done.waiting = min(MAX_COUNT, message.load.waiting)
        done.slots = min(MAX_COUNT, message.load.slots)
        done.pace = min(MAX_COUNT, round((message.load.pace or 0.0) * PERCENT))
    if message.limit is not None:
        fill_limit(done.init("limit"), message.limit)
    if message.warmup_s is not None:
        done.warmupMsPlusOne = min(MAX_MS, _to_milliseconds(message.warmup_s) + 1)


@_fill.register
def _(message: Taken, wire: Any) -> None:
    wire.taken = None


@_fill.register
def _(message: Leads, wire: Any) -> None:
    leads = wire.init("leads")
    leads.instance = message.leader.instance
    leads.incarnation = message.leader.incarnation
    leads.address = message.leader.address
    leads.claim = message.claim


def _read_ask(ask: Any) -> Ask:
    max_wait_ms = ask.mostWaitMs
    return Ask(
        queue=QueueName(ask.service, ask.failureDomain, ask.server, ask.bornMs),
        priority=ask.priority,
        target_s=ask.targetMs / MS_PER_S,
        deadline_s=ask.deadlineMs / MS_PER_S,
        max_wait_s=float("inf") if max_wait_ms == MAX_MS else max_wait_ms / MS_PER_S,
        tried=frozenset(ask.tried),
        limits=tuple(read_limit(row) for row in ask.limits),
        cost_s=_read_cost_s(ask.costMs),
    )


def _read_cost_s(cost_ms: float) -> float:
    if not 0 <= cost_ms <= MAX_COST_MS:
        # A comparison with NaN is false as well.
        raise ValueError(f"the expected cost is {cost_ms} ms")
    return cost_ms / MS_PER_S


def _read_done(done: Any) -> Done:
    load = None
    if done.hasLoad:
        pace = done.pace / PERCENT if done.pace else None
        load = ServerLoad(done.running, done.waiting, done.slots, pace)
    sample_s = done.sampleMs / MS_PER_S if done.sampleMs > 0 else None
    back_off_s = done.backOffMs / MS_PER_S if done.backOffMs else None
    limit = read_limit(done.limit) if done.limit.server else None
    warmup_s = (done.warmupMsPlusOne - 1) / MS_PER_S if done.warmupMsPlusOne else None
    return Done(sample_s, load, Failure(str(done.failure)), back_off_s, limit, warmup_s)


def encode(ticket: int, message: QueueMessage) -> bytes:
    """Return the encoded message."""
    wire = _SCHEMA.QueueMessage.new_message()
    wire.ticket = ticket
    _fill(message, wire)
    return wire.to_bytes_packed()


def decode(data: bytes) -> tuple[int, QueueMessage]:
    """Return a ticket and a message; raise ProtocolError if the bytes are malformed."""
    try:
        wire = _SCHEMA.QueueMessage.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_WORDS
        )
        kind = wire.which()
        if kind == "ask":
            return wire.ticket, _read_ask(wire.ask)
        if kind == "reply":
            reply = wire.reply
            state = ReplyState(str(reply.state))
            wait_s = reply.waitMs / MS_PER_S
            return wire.ticket, Reply(
                state,
                wait_s,
                reply.server,
                reply.bornMs,
                reply.limited,
                reply.heldMs / MS_PER_S,
                reply.cold,
            )
        if kind == "leads":
            leads = wire.leads
            leader = Leader(leads.instance, leads.incarnation, leads.address)
            return wire.ticket, Leads(leader, leads.claim)
        if kind == "done":
            return wire.ticket, _read_done(wire.done)
        return wire.ticket, Taken()
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise ProtocolError(f"malformed queue message: {error}") from error
