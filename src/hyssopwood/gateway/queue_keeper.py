"""Shared queues kept by this instance, and the replies to the instances that use them."""

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

# Interval at which queued requests that can no longer start in time are rejected and expired
# admissions are removed.
REVIEW_INTERVAL_S = 0.1

ReplyCallback: TypeAlias = Callable[[Reply], None]


@frozen
class _Requester:
    queue: QueueName
    on_reply: ReplyCallback


def _reply(decision: Decision) -> Reply:
    if isinstance(decision, Granted):
        record = decision.server
        return Reply(ReplyState.GRANTED, 0.0, record.server, record.born_ms)
    if isinstance(decision, Queued):
        return Reply(ReplyState.QUEUED, decision.wait_s)
    return Reply(ReplyState.REJECTED, decision.wait_s)


@define
class QueueKeeper:
    """Decide on the requests of every queue that other instances or this one use here.

    Which instance keeps a queue is the choice of the instances that use it.
    """

    _directory: ServerDirectory
    _health: ServerHealth
    _timers: Timers
    _queues: dict[QueueName, SharedQueue] = field(factory=dict, init=False)
    _requesters: dict[Hashable, _Requester] = field(factory=dict, init=False)
    # Set while any request is admitted or queued.
    _has_requests: asyncio.Event = field(factory=asyncio.Event, init=False)

    @property
    def request_count(self) -> int:
        """Return how many requests are admitted or queued here."""
        return len(self._requesters)

    async def run(self) -> None:
        """Advance all queues at intervals until cancelled; sleep while they are empty."""
        while True:
            await self._has_requests.wait()
            await self._timers.sleep(REVIEW_INTERVAL_S)
            for name, queue in list(self._queues.items()):
                self._advance(name)
                if queue.idle and not self._candidates(name):
                    del self._queues[name]
            if not self._requesters:
                self._has_requests.clear()

    def ask(self, ticket: Hashable, ask: Ask, on_reply: ReplyCallback) -> None:
        """Accept a request; call `on_reply` now and whenever the request's state changes.

        A repeated ask is answered with the request's current state.
        """
        now = self._timers.now()
        existing = self._requesters.get(ticket)
        if existing is not None:
            decision = self._queues[existing.queue].decision(ticket, now)
            if decision is not None:
                on_reply(_reply(decision))
                return
        if not self._candidates(ask.queue):
            # The requester may have a server's registration that hasn't reached this instance yet.
            on_reply(Reply(ReplyState.DECLINED))
            return
        queue = self._queues.get(ask.queue)
        if queue is None:
            queue = SharedQueue(partial(self._candidates, ask.queue))
            self._queues[ask.queue] = queue
        request = QueuedRequest(
            ticket=ticket,
            priority=ask.priority,
            target=now + ask.target_s,
            deadline=now + ask.deadline_s,
            max_wait_s=ask.max_wait_s,
            tried=ask.tried,
        )
        decision = queue.enter(request, now)
        if isinstance(decision, Granted | Queued):
            self._requesters[ticket] = _Requester(ask.queue, on_reply)
            self._has_requests.set()
        on_reply(_reply(decision))

    def release(self, ticket: Hashable, done: Done) -> None:
        """Release an admission, or remove a queued request."""
        requester = self._requesters.pop(ticket, None)
        if requester is None:
            return
        queue = self._queues[requester.queue]
        now = self._timers.now()
        incarnation = queue.release(ticket, done.sample_s, done.load, now, done.back_off_s)
        queue.withdraw(ticket)
        if incarnation is not None and done.failure is not Failure.NONE:
            self._health.record_failure(incarnation, done.failure is Failure.CERTAIN)
        elif incarnation is not None and done.sample_s is not None:
            self._health.record_success(incarnation)
        self._advance(requester.queue)

    def _advance(self, name: QueueName) -> None:
        now = self._timers.now()
        queue = self._queues[name]
        for ticket in queue.expire(now):
            del self._requesters[ticket]
        if not self._candidates(name):
            # No server of the queue is usable any more; the requesters look up the next owner of
            # their key or try another failure domain.
            for ticket in queue.clear_waiting():
                self._requesters.pop(ticket).on_reply(Reply(ReplyState.DECLINED))
            return
        for ticket, decision in queue.advance(now):
            requester = self._requesters[ticket]
            if not isinstance(decision, Granted):
                del self._requesters[ticket]
            requester.on_reply(_reply(decision))

    def _candidates(self, name: QueueName) -> list[QueueServer]:
        if name.server:
            record = self._directory.get(name.server)
            current = record is not None and record.incarnation == (name.server, name.born_ms)
            records = [record] if current and record is not None else []
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
