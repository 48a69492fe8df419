"""Keeps the shared queues that fall to this instance and answers those who ask for places."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable
from functools import partial
from typing import TypeAlias

from attrs import define, field, frozen

from hyssopwood.gateway.queue_messages import Ask, Done, Failure, QueueName, Reply, ReplyState
from hyssopwood.gateway.server_directory import ServerDirectory
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.shared_queue import (
    Decision,
    Granted,
    Queued,
    QueuedRequest,
    QueueServer,
    SharedQueue,
)
from hyssopwood.timers import Timers

# Requests that can't start in time any more and places of senders that have ended are found at
# this interval.
REVIEW_INTERVAL_S = 0.1

Answer: TypeAlias = Callable[[Reply], None]


@frozen
class _Asker:
    queue: QueueName
    answer: Answer


def _reply(decision: Decision) -> Reply:
    if isinstance(decision, Granted):
        record = decision.server
        return Reply(ReplyState.GRANTED, 0.0, record.server, record.born_ms)
    if isinstance(decision, Queued):
        return Reply(ReplyState.QUEUED, decision.wait_s)
    return Reply(ReplyState.REJECTED, decision.wait_s)


@define
class QueueKeeper:
    """Decide for every queue that is asked for here; who should ask here is the askers' choice."""

    _directory: ServerDirectory
    _health: ServerHealth
    _timers: Timers
    _queues: dict[QueueName, SharedQueue] = field(factory=dict, init=False)
    _askers: dict[Hashable, _Asker] = field(factory=dict, init=False)
    # Set while any request has a place or waits.
    _occupied: asyncio.Event = field(factory=asyncio.Event, init=False)

    @property
    def places(self) -> int:
        """Return how many requests have a place or wait here."""
        return len(self._askers)

    async def run(self) -> None:
        """Review all queues at intervals until cancelled; sleep while they are empty."""
        while True:
            await self._occupied.wait()
            await self._timers.sleep(REVIEW_INTERVAL_S)
            for name, queue in list(self._queues.items()):
                self._advance(name)
                if queue.idle and not self._servers(name):
                    del self._queues[name]
            if not self._askers:
                self._occupied.clear()

    def ask(self, ticket: Hashable, ask: Ask, answer: Answer) -> None:
        """Take a request in; `answer` is called now and again when its state changes.

        An ask that was taken before is answered with its present state.
        """
        now = self._timers.now()
        known = self._askers.get(ticket)
        if known is not None:
            decision = self._queues[known.queue].decision(ticket, now)
            if decision is not None:
                answer(_reply(decision))
                return
        if not self._servers(ask.queue):
            # The asker may know a server that this instance hasn't heard of yet.
            answer(Reply(ReplyState.DECLINED))
            return
        queue = self._queues.get(ask.queue)
        if queue is None:
            queue = SharedQueue(partial(self._servers, ask.queue))
            self._queues[ask.queue] = queue
        request = QueuedRequest(
            ticket=ticket,
            priority=ask.priority,
            target=now + ask.target_s,
            deadline=now + ask.deadline_s,
            most_wait_s=ask.most_wait_s,
            tried=ask.tried,
        )
        decision = queue.enter(request, now)
        if isinstance(decision, Granted | Queued):
            self._askers[ticket] = _Asker(ask.queue, answer)
            self._occupied.set()
        answer(_reply(decision))

    def leave(self, ticket: Hashable, done: Done) -> None:
        """Take a place back, or forget a request that waits."""
        asker = self._askers.pop(ticket, None)
        if asker is None:
            return
        queue = self._queues[asker.queue]
        now = self._timers.now()
        life = queue.leave(ticket, done.sample_s, done.load, now, done.back_off_s)
        queue.withdraw(ticket)
        if life is not None and done.failure is not Failure.NONE:
            self._health.note_failure(life, done.failure is Failure.CERTAIN)
        elif life is not None and done.sample_s is not None:
            self._health.note_success(life)
        self._advance(asker.queue)

    def _advance(self, name: QueueName) -> None:
        now = self._timers.now()
        queue = self._queues[name]
        for ticket in queue.expire(now):
            del self._askers[ticket]
        if not self._servers(name):
            # The servers leave; the askers find the next owner of their keys.
            for ticket in queue.dismiss():
                self._askers.pop(ticket).answer(Reply(ReplyState.DECLINED))
            return
        for ticket, decision in queue.advance(now):
            asker = self._askers[ticket]
            if not isinstance(decision, Granted):
                del self._askers[ticket]
            asker.answer(_reply(decision))

    def _servers(self, name: QueueName) -> list[QueueServer]:
        if name.server:
            record = self._directory.get(name.server)
            known = record is not None and record.incarnation == (name.server, name.born_ms)
            records = [record] if known and record is not None else []
        else:
            records = [
                record
                for record in self._directory.of_service(name.service)
                if record.failure_domain == name.failure_domain
            ]
        return [
            QueueServer(record, self._health.is_suspect(record.incarnation))
            for record in records
            if not record.draining
        ]
