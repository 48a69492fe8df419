"""Requests for admission to the instance that keeps a queue, over datagrams.

Datagrams need no connection to each of many instances, and a lost one costs a retransmission. When
the keeper doesn't answer, the next instance in the list's order is asked and finally this instance
keeps the queue itself, so a request never depends on a single other instance.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterator

from attrs import Factory, define, evolve, field

from hyssopwood.errors import ProtocolError
from hyssopwood.events import Event, emit
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord
from hyssopwood.gateway.queue_keeper import QueueKeeper
from hyssopwood.gateway.queue_messages import (
    Ask,
    Done,
    Failure,
    Leads,
    QueueMessage,
    Reply,
    ReplyState,
    Taken,
    decode,
    encode,
)
from hyssopwood.gateway.silent_peers import SilentPeers
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Interval at which unanswered messages are checked.
CHECK_INTERVAL_S = 0.05
# An unanswered ask or release is sent again after this time. Instances answer within 2 ms, and one
# whose CPU quota is used up within a tenth of a second.
RESEND_AFTER_S = 0.12
# The ask of a queued request is sent again at this interval: it checks that the keeper is alive,
# and the reply replaces one that was lost.
RECHECK_AFTER_S = 0.3
# A keeper that leaves this many consecutive messages unanswered is skipped.
MAX_TRIES = 2
# Maximum number of times that a release is sent; if all are lost, the admission expires at the
# keeper.
MAX_RELEASE_TRIES = 4
# Number of other instances that are asked before this one keeps the queue itself.
MAX_REMOTE_KEEPERS = 2
TICKET_COUNT = 2**32


@define(eq=False)
class Admission:
    """An admission to a server; it must be released."""

    server: str
    born_ms: int
    # Instance that granted the admission (None for this one), and the ticket to release it with.
    keeper: InstanceRecord | None
    ticket: int
    # Earliest time at which it can have been granted, and whether the server is cold.
    granted_at: float = float("-inf")
    cold: bool = False
    # Predicted time until a slot of the server is free.
    server_wait_s: float = 0.0


@define(eq=False)
class _Pending:
    """An ask that awaits its final reply."""

    ticket: int
    ask: Ask
    asked_at: float
    keeper: InstanceRecord
    final: asyncio.Future[Reply | None]
    sent_at: float
    tries: int = 1
    queued: bool = False
    # Time at which the request is expected to be admitted, by the first reply that it is queued.
    expected_at: float | None = None


@define(eq=False)
class _Release:
    """A release that awaits its keeper's confirmation."""

    keeper: InstanceRecord
    done: Done
    sent_at: float
    tries: int = 1


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        # Unanswered messages are sent again, which covers the reported loss.
        emit(Event.PEER_LOST, instance="unknown", error=exc)


@define(eq=False)
class QueueLink:
    """Acquire and release admissions from queues, whichever instance keeps them."""

    _address: str
    _instance: str
    _instances: InstanceList
    _keeper: QueueKeeper
    _timers: Timers
    _metrics: Metrics
    # Called when a leader announces itself.
    _on_leader: Callable[[Leads], None]
    _transport: asyncio.DatagramTransport | None = field(default=None, init=False)
    _next_ticket: int = field(factory=lambda: secrets.randbelow(TICKET_COUNT), init=False)
    _pending: dict[int, _Pending] = field(factory=dict, init=False)
    _releases: dict[int, _Release] = field(factory=dict, init=False)
    _silent_peers: SilentPeers = field(
        default=Factory(lambda self: SilentPeers(self._timers), takes_self=True), init=False
    )
    # Set while any message is unanswered.
    _unanswered: asyncio.Event = field(factory=asyncio.Event, init=False)
    # Set while this instance stops; other instances then use the next keeper.
    declining: bool = field(default=False, init=False)

    async def start(self) -> None:
        """Open the socket."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive), local_addr=(host, int(port))
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send unanswered messages again until cancelled; sleep while there are none."""
        while True:
            await self._unanswered.wait()
            await self._timers.sleep(CHECK_INTERVAL_S)
            now = self._timers.now()
            for pending in list(self._pending.values()):
                self._check_pending(pending, now)
            for ticket, item in list(self._releases.items()):
                if now - item.sent_at >= RESEND_AFTER_S:
                    self._resend_release(ticket, item, now)
            if not self._pending and not self._releases:
                self._unanswered.clear()

    async def acquire(
        self, ask: Ask, moved: asyncio.Future[None] | None = None
    ) -> Admission | Reply:
        """Return an admission, or the reply that refuses it.

        Completing `moved` ends the wait with the reply DECLINED. Cancelling the call releases the
        admission.
        """
        asked_at = self._timers.now()
        for keeper in self._remote_keepers(ask):
            answer = await self._acquire_from(keeper, ask, asked_at, moved)
            if isinstance(answer, Admission) or answer.state is ReplyState.REJECTED:
                return answer
            if moved is not None and moved.done():
                return answer
        return await self._acquire_locally(ask, asked_at, moved)

    def release(self, admission: Admission, done: Done) -> None:
        """Release an admission with what was learned from its exchange."""
        if admission.keeper is None:
            # The dispatcher has already recorded a failure in this instance's server health.
            self._keeper.release(
                (self._instance, admission.ticket), evolve(done, failure=Failure.NONE)
            )
            return
        self._send_release(admission.ticket, admission.keeper, done)

    def announce(self, address: str, leads: Leads) -> None:
        """Announce the leader to an instance; the datagram is sent once."""
        self._send(address, 0, leads)

    def _remote_keepers(self, ask: Ask) -> Iterator[InstanceRecord]:
        """Yield the other instances to ask before this one keeps the queue."""
        yielded = 0
        for record in self._instances.ranked(str(ask.queue), ask.queue.failure_domain):
            if record.instance == self._instance or yielded == MAX_REMOTE_KEEPERS:
                return
            if self._silent_peers.may_ask(record.address):
                yielded += 1
                yield record

    async def _acquire_locally(
        self, ask: Ask, asked_at: float, moved: asyncio.Future[None] | None
    ) -> Admission | Reply:
        ticket = self._new_ticket()
        final: asyncio.Future[Reply | None] = asyncio.get_running_loop().create_future()

        def on_reply(reply: Reply) -> None:
            if reply.state is not ReplyState.QUEUED and not final.done():
                final.set_result(reply)

        sent_at = self._timers.now()
        self._keeper.ask(
            (self._instance, ticket),
            _subtract_elapsed(ask, self._elapsed_s(asked_at)),
            on_reply,
            self._limit_share(ask),
        )
        reply: Reply | None = None
        try:
            reply = await _await_final_or_moved(final, moved)
        finally:
            if reply is None or reply.state is not ReplyState.GRANTED:
                self._keeper.release((self._instance, ticket), Done())
        if reply is None:
            return Reply(ReplyState.DECLINED)
        if reply.state is ReplyState.GRANTED:
            return _admission(reply, None, ticket, sent_at)
        return reply

    def _limit_share(self, ask: Ask) -> float:
        """Return the part of the servers' limits that this instance may use as keeper.

        If it isn't the first in rank, other instances may be keeping the same queue as well.
        """
        first = self._instances.ranked(str(ask.queue), ask.queue.failure_domain)[0]
        return 1.0 if first.instance == self._instance else 1 / self._instances.count

    async def _acquire_from(
        self,
        keeper: InstanceRecord,
        ask: Ask,
        asked_at: float,
        moved: asyncio.Future[None] | None,
    ) -> Admission | Reply:
        now = self._timers.now()
        final: asyncio.Future[Reply | None] = asyncio.get_running_loop().create_future()
        pending = _Pending(self._new_ticket(), ask, asked_at, keeper, final, now)
        self._pending[pending.ticket] = pending
        self._unanswered.set()
        self._send(keeper.address, pending.ticket, _subtract_elapsed(ask, now - asked_at))
        reply: Reply | None = None
        try:
            reply = await _await_final_or_moved(final, moved)
        finally:
            del self._pending[pending.ticket]
            if reply is None:
                # The keeper may have accepted the request already, or may do so later.
                self._send_release(pending.ticket, keeper, Done())
        self._metrics.observe("queue_ask", "remote", self._timers.now() - now)
        if reply is None:
            return Reply(ReplyState.DECLINED)
        if reply.state is ReplyState.GRANTED:
            return _admission(reply, keeper, pending.ticket, now)
        return reply

    def _check_pending(self, pending: _Pending, now: float) -> None:
        """Send an unanswered ask again, or abandon its keeper."""
        interval_s = RECHECK_AFTER_S if pending.queued and pending.tries == 0 else RESEND_AFTER_S
        if pending.final.done() or now - pending.sent_at < interval_s:
            return
        if pending.tries >= MAX_TRIES:
            self._silent_peers.record_silence(pending.keeper.address)
            emit(Event.QUEUE_KEEPER_SILENT, instance=pending.keeper.instance)
            self._metrics.count("queue_keepers_passed_over", "silent")
            pending.final.set_result(None)
            return
        pending.tries += 1
        pending.sent_at = now
        ask = _subtract_elapsed(pending.ask, now - pending.asked_at)
        self._send(pending.keeper.address, pending.ticket, ask)

    def _send_release(self, ticket: int, keeper: InstanceRecord, done: Done) -> None:
        self._releases[ticket] = _Release(keeper, done, self._timers.now())
        self._unanswered.set()
        self._send(keeper.address, ticket, done)

    def _resend_release(self, ticket: int, item: _Release, now: float) -> None:
        if item.tries >= MAX_RELEASE_TRIES:
            del self._releases[ticket]
            return
        item.tries += 1
        item.sent_at = now
        self._send(item.keeper.address, ticket, item.done)

    def _new_ticket(self) -> int:
        self._next_ticket = (self._next_ticket + 1) % TICKET_COUNT
        return self._next_ticket

    def _elapsed_s(self, asked_at: float) -> float:
        return self._timers.now() - asked_at

    def _send(self, address: str, ticket: int, message: QueueMessage) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        self._transport.sendto(encode(ticket, message), (host, int(port)))

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        address = f"{sender[0]}:{sender[1]}"
        self._silent_peers.record_message(address)
        try:
            ticket, message = decode(data)
        except ProtocolError as error:
            emit(Event.PEER_REJECTED, error=error)
            return
        if isinstance(message, Ask):
            self._handle_ask(address, ticket, message)
        elif isinstance(message, Done):
            self._keeper.release((address, ticket), message)
            self._send(address, ticket, Taken())
        elif isinstance(message, Taken):
            self._releases.pop(ticket, None)
        elif isinstance(message, Leads):
            self._on_leader(message)
        else:
            self._handle_reply(address, ticket, message)

    def _handle_ask(self, address: str, ticket: int, ask: Ask) -> None:
        if self.declining:
            # A request that is queued here moves to the next keeper and won't be released here.
            self._keeper.release((address, ticket), Done())
            self._send(address, ticket, Reply(ReplyState.DECLINED))
            return
        self._keeper.ask((address, ticket), ask, lambda reply: self._send(address, ticket, reply))

    def _handle_reply(self, address: str, ticket: int, reply: Reply) -> None:
        pending = self._pending.get(ticket)
        if pending is None or pending.keeper.address != address:
            return
        pending.tries = 0
        if reply.state is ReplyState.QUEUED:
            pending.queued = True
            if pending.expected_at is None:
                pending.expected_at = self._timers.now() + reply.wait_s
            return
        if reply.state is ReplyState.GRANTED and pending.expected_at is not None:
            error_s = abs(self._timers.now() - pending.expected_at)
            self._metrics.observe("queue_wait_error", "remote", error_s)
        if not pending.final.done():
            pending.final.set_result(reply)


def _admission(
    reply: Reply, keeper: InstanceRecord | None, ticket: int, sent_at: float
) -> Admission:
    """Return the admission of a grant; the ask was received no earlier than it was sent."""
    granted_at = sent_at + reply.held_s
    return Admission(
        reply.server, reply.born_ms, keeper, ticket, granted_at, reply.cold, reply.wait_s
    )


def _subtract_elapsed(ask: Ask, elapsed_s: float) -> Ask:
    """Return an ask whose times are relative to now instead of to `elapsed_s` ago."""
    return Ask(
        queue=ask.queue,
        priority=ask.priority,
        target_s=max(0.0, ask.target_s - elapsed_s),
        deadline_s=max(0.0, ask.deadline_s - elapsed_s),
        max_wait_s=ask.max_wait_s,
        tried=ask.tried,
        limits=tuple(evolve(item, age_s=item.age_s + elapsed_s) for item in ask.limits),
        cost_s=ask.cost_s,
    )


async def _await_final_or_moved(
    final: asyncio.Future[Reply | None], moved: asyncio.Future[None] | None
) -> Reply | None:
    """Return the final reply, or None if the key moved first."""
    if moved is None or final.done():
        return await final
    await asyncio.wait({final, moved}, return_when=asyncio.FIRST_COMPLETED)
    return final.result() if final.done() else None
