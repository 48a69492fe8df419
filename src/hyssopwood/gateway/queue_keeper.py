"""Shared queues kept by this instance, and the replies to the instances that use them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable
from functools import partial
from typing import TypeAlias

from attrs import define, field

from hyssopwood.gateway.queue_messages import Ask, Done, Failure, QueueName, Reply, ReplyState
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.shared_queue import (
    Decision,
    Granted,
    Queued,
    QueuedRequest,
    QueueServer,
    SharedQueue,
)
from hyssopwood.gateway.warmup import ColdAdmission, ColdServers
from hyssopwood.keyspace.renewals import request_rate_per_s
from hyssopwood.timers import TimerHandle, Timers

# Interval at which queued requests that can no longer start in time are rejected and expired
# admissions are removed.
REVIEW_INTERVAL_S = 0.1
# Resolution of timers; one that fires early finds no token yet.
TIMER_RESOLUTION_S = 0.002

# Lowest cost of a request; servers need at least this for any.
MIN_COST_S = 0.001

ReplyCallback: TypeAlias = Callable[[Reply], None]


@define
class _Requester:
    queue: QueueName
    on_reply: ReplyCallback
    asked_at: float
    granted_at: float | None = None


@define
class QueueKeeper:
    """Decide on the requests of every queue that other instances or this one use here.

    Which instance keeps a queue is the choice of the instances that use it.
    """

    _directory: ServerDirectory
    _health: ServerHealth
    _limits: ServerLimits
    # Number of key ranges of a server incarnation; each must be renewed by requests.
    _range_count: Callable[[tuple[str, int]], int]
    _timers: Timers
    _cold: ColdServers | None = None
    # Whether this instance may admit requests to cold servers as the keeper of a queue.
    _may_admit_cold: Callable[[QueueName], bool] = lambda queue: True
    _queues: dict[QueueName, SharedQueue] = field(factory=dict, init=False)
    _requesters: dict[Hashable, _Requester] = field(factory=dict, init=False)
    # Share of the servers' limits that this keeper of a queue may use.
    _shares: dict[QueueName, float] = field(factory=dict, init=False)
    # Pending advances of queues whose servers' limits delay requests.
    _wakeups: dict[QueueName, TimerHandle] = field(factory=dict, init=False)
    # Set while any request is admitted or queued.
    _has_requests: asyncio.Event = field(factory=asyncio.Event, init=False)

    @property
    def request_count(self) -> int:
        """Return how many requests are admitted or queued here."""
        return len(self._requesters)

    @property
    def _any_cold(self) -> bool:
        return self._cold is not None and self._cold.any_cold

    async def run(self) -> None:
        """Advance all queues at intervals until cancelled; sleep while they are empty."""
        while True:
            await self._has_requests.wait()
            await self._timers.sleep(REVIEW_INTERVAL_S)
            for name, queue in list(self._queues.items()):
                self._advance(name)
                if queue.idle and not self._candidates(name):
                    del self._queues[name]
                    self._shares.pop(name, None)
            if not self._requesters:
                self._has_requests.clear()

    def ask(
        self, ticket: Hashable, ask: Ask, on_reply: ReplyCallback, limit_share: float = 1.0
    ) -> None:
        """Accept a request; call `on_reply` now and whenever the request's state changes.

        A repeated ask is answered with the request's current state. `limit_share` is the part of
        the servers' limits that this instance may use for the queue from now on.
        """
        now = self._timers.now()
        for notice in ask.limits:
            self._limits.apply(notice)
        existing = self._requesters.get(ticket)
        if existing is not None:
            decision = self._queues[existing.queue].decision(ticket, now)
            if decision is not None:
                on_reply(self._reply(decision, existing))
                return
        if not self._candidates(ask.queue):
            # The requester may have a server's registration that hasn't reached this instance yet.
            on_reply(Reply(ReplyState.DECLINED))
            return
        queue = self._queues.get(ask.queue)
        if queue is None:
            queue = SharedQueue(partial(self._candidates, ask.queue))
            self._queues[ask.queue] = queue
        self._shares[ask.queue] = limit_share
        request = QueuedRequest(
            ticket=ticket,
            priority=ask.priority,
            target=now + ask.target_s,
            deadline=now + ask.deadline_s,
            max_wait_s=ask.max_wait_s,
            tried=ask.tried,
            cost_s=max(MIN_COST_S, ask.cost_s) if ask.cost_s else None,
        )
        decision = queue.enter(request, now)
        requester = _Requester(ask.queue, on_reply, now)
        if isinstance(decision, Granted | Queued):
            self._requesters[ticket] = requester
            self._has_requests.set()
        if not isinstance(decision, Granted):
            self._count_cold(ask.queue)
        on_reply(self._reply(decision, requester))
        self._schedule_advance(ask.queue)

    def release(self, ticket: Hashable, done: Done) -> None:
        """Release an admission, or remove a queued request."""
        requester = self._requesters.pop(ticket, None)
        if requester is None:
            return
        queue = self._queues[requester.queue]
        now = self._timers.now()
        if done.limit is not None:
            self._limits.apply(done.limit)
        incarnation = queue.release(ticket, done.sample_s, done.load, now, done.back_off_s)
        queue.withdraw(ticket)
        if incarnation is not None and self._cold is not None:
            self._cold.record_answer(incarnation, done.warmup_s)
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
            requester.on_reply(self._reply(decision, requester))
        self._schedule_advance(name)

    def _schedule_advance(self, name: QueueName) -> None:
        """Advance the queue again as soon as a server's limit admits a request."""
        if name in self._wakeups or not (self._limits.any_named or self._any_cold):
            return
        wait_s = self._queues[name].next_token_s(self._timers.now())
        if wait_s is not None:
            delay_s = wait_s + TIMER_RESOLUTION_S
            self._wakeups[name] = self._timers.call_later(delay_s, partial(self._wake, name))

    def _wake(self, name: QueueName) -> None:
        del self._wakeups[name]
        if name in self._queues:
            self._advance(name)

    def _rate_per_s(self, name: QueueName, incarnation: tuple[str, int]) -> float | None:
        """Return how many requests per second the queue may send to a server, None for any."""
        limit_per_s = self._limits.get(incarnation)
        if limit_per_s is None:
            return None
        rate_per_s = request_rate_per_s(self._range_count(incarnation), limit_per_s)
        return rate_per_s * self._shares.get(name, 1.0)

    def _reply(self, decision: Decision, requester: _Requester) -> Reply:
        if isinstance(decision, Granted):
            record = decision.server
            if requester.granted_at is None:
                requester.granted_at = self._timers.now()
            return Reply(
                ReplyState.GRANTED,
                decision.server_wait_s,
                record.server,
                record.born_ms,
                held_s=requester.granted_at - requester.asked_at,
                cold=self._cold is not None and self._cold.is_cold(record),
            )
        if isinstance(decision, Queued):
            return Reply(ReplyState.QUEUED, decision.wait_s)
        return Reply(ReplyState.REJECTED, decision.wait_s, limited=decision.limited)

    def _cold_admission(
        self, name: QueueName, record: ServerRecord, suspect: bool
    ) -> ColdAdmission:
        """Return what the queue may admit to a server in view of whether it is cold."""
        if self._cold is None:
            return ColdAdmission.FREE
        if suspect:
            # It may have crashed and started again.
            self._cold.record_unreachable(record.incarnation)
        if not self._cold.is_cold(record):
            return ColdAdmission.FREE
        own_queue = bool(name.server) == self._cold.uses_server_queue(record)
        if own_queue and self._may_admit_cold(name):
            return ColdAdmission.LIMITED
        return ColdAdmission.CLOSED

    def _count_cold(self, name: QueueName) -> None:
        """Count a request that wasn't admitted at once where cold servers are the cause."""
        if self._cold is None or not self._cold.any_cold:
            return
        for candidate in self._candidates(name):
            if candidate.cold is not ColdAdmission.FREE:
                self._cold.count_refused(candidate.record, candidate.cold)
                return

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
        return [self._candidate(name, record) for record in records if not record.draining]

    def _candidate(self, name: QueueName, record: ServerRecord) -> QueueServer:
        suspect = self._health.is_suspect(record.incarnation)
        return QueueServer(
            record,
            suspect,
            self._rate_per_s(name, record.incarnation),
            self._cold_admission(name, record, suspect),
            None if self._cold is None else self._cold.window(record),
        )
