"""Queue and slots of one backend server."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
from collections.abc import Iterable

from attrs import define, field, frozen

from hyssopwood.durations import LONG_S, Durations, WorkClass
from hyssopwood.events import Event, emit
from hyssopwood.outcomes import Reason
from hyssopwood.timers import Timers

DEFAULT_QUEUE_LIMIT = 50
MIN_RETRY_S = 0.01
# Long work gets a turn after this many short picks, so that it is slow but never starved.
SHORT_PICKS_PER_LONG = 8
# Expired work is refused within this time; the queue is short, so a scan is cheap.
EXPIRY_TICK_S = 0.005
# A report can close a server for at most this long; reports lag and mislead.
MAX_SHEDDING_S = 1.0
MIN_COLD_SHARE = 0.1
# Durations vary, so a wait that just fits would be missed by many. With exponential ones and
# three times the capacity, 1.0 and 1.0 gave 0.89 of the capacity in time, these gave 0.94.
# The own margin is bounded by the learned 95th percentile: for work of nearly constant length
# 2.5 times the mean left so little time to wait that 12% were refused at 0.6 of the capacity.
WAIT_MARGIN = 1.2
OWN_MARGIN = 2.5
MIN_CONTRACT_SHARE = 0.5


@frozen
class AdmissionRequest:
    """Ask for one slot; `deadline` is absolute timer time."""

    request_id: str
    service: str
    customer: str
    operation: str
    work_class: str | None
    deadline: float
    weight: float = 1.0
    declared_class: str = WorkClass.SHORT
    contract_s: float | None = None


@define(eq=False)
class AdmittedSlot:
    """Hold one slot until it is released."""

    request: AdmissionRequest
    work_class: WorkClass
    started: float
    server: str
    waited_s: float = 0.0


@frozen
class Refused:
    """Say why no slot was given and when to ask again."""

    reason: Reason
    detail: str
    retry_after_s: float


@define(eq=False, order=False)
class _Waiter:
    """One queued request."""

    request: AdmissionRequest
    work_class: WorkClass
    expected_s: float
    arrived: float
    future: asyncio.Future[AdmittedSlot | Refused]

    @property
    def give_up_at(self) -> float:
        return self.request.deadline - self.expected_s


@define(eq=False)
class _Flow:
    """Waiting requests of one customer and service, with its fair-queuing tag."""

    weight: float
    start_tag: float
    waiters: list[tuple[float, int, _Waiter]] = field(factory=list)


class _ClassQueue:
    """Start-time fair queuing between flows, earliest deadline first within a flow."""

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._tags: dict[tuple[str, str], float] = {}
        self._virtual = 0.0
        self._sequence = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterable[_Waiter]:
        for flow in self._flows.values():
            for _, _, waiter in flow.waiters:
                yield waiter

    def push(self, waiter: _Waiter) -> None:
        request = waiter.request
        name = (request.customer, request.service)
        flow = self._flows.get(name)
        if flow is None:
            # A flow that returns after a pause gets no credit for the pause.
            start = max(self._virtual, self._tags.pop(name, 0.0))
            flow = self._flows[name] = _Flow(max(request.weight, 1e-6), start)
        heapq.heappush(flow.waiters, (request.deadline, next(self._sequence), waiter))
        self._size += 1

    def pop(self) -> _Waiter:
        name, flow = min(self._flows.items(), key=lambda item: item[1].start_tag)
        _, _, waiter = heapq.heappop(flow.waiters)
        self._size -= 1
        self._virtual = flow.start_tag
        flow.start_tag += waiter.expected_s / flow.weight
        if not flow.waiters:
            self._retire(name, flow)
        return waiter

    def remove(self, waiter: _Waiter) -> None:
        name = (waiter.request.customer, waiter.request.service)
        flow = self._flows.get(name)
        if flow is None:
            return
        kept = [item for item in flow.waiters if item[2] is not waiter]
        self._size -= len(flow.waiters) - len(kept)
        flow.waiters = kept
        heapq.heapify(kept)
        if not kept:
            self._retire(name, flow)

    def ahead_of(self, request: AdmissionRequest) -> list[float]:
        """Return the expected durations of the work that a new request would wait for."""
        name = (request.customer, request.service)
        own = self._flows.get(name)
        before = [item for item in own.waiters if item[0] <= request.deadline] if own else []
        durations = [item[2].expected_s for item in before]
        for other_name, flow in self._flows.items():
            if other_name == name:
                continue
            share = math.ceil((len(before) + 1) * flow.weight / max(request.weight, 1e-6))
            durations.extend(item[2].expected_s for item in flow.waiters[:share])
        return durations

    def _retire(self, name: tuple[str, str], flow: _Flow) -> None:
        del self._flows[name]
        # Only tags ahead of the virtual time matter; this also bounds the memory.
        self._tags = {key: tag for key, tag in self._tags.items() if tag > self._virtual}
        self._tags[name] = flow.start_tag


class Admission:
    """Give the slots of one backend server to requests."""

    def __init__(
        self,
        server: str,
        slots: int,
        timers: Timers,
        durations: Durations,
        queue_limit: int = DEFAULT_QUEUE_LIMIT,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._server = server
        self._slots = slots
        self._timers = timers
        self._durations = durations
        self._queue_limit = queue_limit
        self._rng = rng or random.Random()
        self._running: set[AdmittedSlot] = set()
        self._queues = {WorkClass.SHORT: _ClassQueue(), WorkClass.LONG: _ClassQueue()}
        self._waiters: dict[str, _Waiter] = {}
        self._short_picks = 0
        self._shedding_until = -math.inf
        self._cold_from = -math.inf
        self._cold_s = 0.0
        self._closed: tuple[Reason, str] | None = None
        self._ticker: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    @property
    def usable_slots(self) -> int:
        """Return the slots that may be in use now, less on a cold server."""
        return max(1, math.ceil(self._slots * self._warm_share())) if self._slots > 0 else 0

    async def acquire(self, request: AdmissionRequest) -> AdmittedSlot | Refused:
        """Return a slot, at once or after a wait, or a refusal."""
        now = self._timers.now()
        work_class = self._class_of(request)
        expected = self._durations.mean(request.service, request.operation, request.declared_class)
        refusal = self._refuse_on_arrival(request, work_class, expected, now)
        if refusal is not None:
            return refusal
        if not self._waiters and self._may_start(work_class):
            return self._start(request, work_class, now)
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(request, work_class, expected, now, future)
        self._enqueue(waiter)
        self._fill_slots()
        try:
            return await future
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def release(self, slot: AdmittedSlot, duration_s: float, completed: bool) -> None:
        """Return a slot; only completed work teaches its duration."""
        if slot not in self._running:
            return
        self._running.remove(slot)
        if completed:
            request = slot.request
            self._durations.record(request.service, request.operation, duration_s)
        self._fill_slots()

    def cancel(self, request_id: str) -> bool:
        """Withdraw a queued request; return whether it was queued."""
        waiter = self._waiters.get(request_id)
        if waiter is None:
            return False
        self._refuse(waiter, Reason.DEADLINE_EXCEEDED, "the request was withdrawn", 0.0)
        return True

    def close(self, reason: Reason, detail: str = "the queue is closed") -> None:
        """Refuse everything queued and everything that arrives later."""
        self._closed = (reason, detail)
        for waiter in list(self._waiters.values()):
            self._refuse(waiter, reason, detail, self._spread(MIN_RETRY_S))
        if self._ticker is not None:
            self._ticker.cancel()

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running work is not affected."""
        self._slots = slots
        self._fill_slots()

    def set_shedding(self, until: float) -> None:
        """Start nothing before `until`, a hint that is bounded in time."""
        self._shedding_until = min(until, self._timers.now() + MAX_SHEDDING_S)
        self._watch_queue()

    def set_cold(self, warm_up_s: float) -> None:
        """Give a server that just started its slots gradually over `warm_up_s`."""
        self._cold_from = self._timers.now()
        self._cold_s = warm_up_s

    def hint_load(self, running: int, queue: int) -> None:
        """Compare a load report with the own counts, which take precedence."""
        if running != len(self._running):
            emit(
                Event.LOAD_REPORT_IGNORED,
                server=self._server,
                reported=running,
                reported_queue=queue,
                counted=len(self._running),
            )

    def predicted_wait_s(self, request: AdmissionRequest) -> float:
        """Return how long a new request would wait for its slot."""
        return self._predict(request, self._class_of(request), self._timers.now())

    def _class_of(self, request: AdmissionRequest) -> WorkClass:
        if request.work_class is not None:
            return WorkClass(request.work_class)
        return self._durations.classify(request.service, request.operation, request.declared_class)

    def _warm_share(self) -> float:
        elapsed = self._timers.now() - self._cold_from
        if elapsed >= self._cold_s:
            return 1.0
        return max(MIN_COLD_SHARE, elapsed / self._cold_s)

    def _refuse_on_arrival(
        self, request: AdmissionRequest, work_class: WorkClass, expected: float, now: float
    ) -> Refused | None:
        if self._closed is not None:
            reason, detail = self._closed
            return Refused(reason, detail, self._spread(MIN_RETRY_S))
        if request.request_id in self._waiters:
            return Refused(Reason.BAD_REQUEST, "the request is queued already", MIN_RETRY_S)
        left = request.deadline - now
        if left <= 0:
            return Refused(Reason.DEADLINE_EXCEEDED, "no time is left", 0.0)
        if not self._waiters and self._may_start(work_class):
            return None
        wait = self._predict(request, work_class, now)
        if len(self._waiters) >= math.ceil(self._queue_limit * self._warm_share()):
            detail = f"{len(self._waiters)} requests wait for {self._server}"
            return Refused(Reason.QUEUE_FULL, detail, self._spread(wait))
        limit = self._wait_limit(request, left, expected)
        if wait > 0 and wait * WAIT_MARGIN > limit:
            detail = f"{self._server} is free in {wait:.3f} s, at most {limit:.3f} s may pass"
            return Refused(Reason.WOULD_MISS_DEADLINE, detail, self._spread(wait - limit))
        return None

    def _wait_limit(self, request: AdmissionRequest, left: float, expected: float) -> float:
        """Return how long a request may wait so that it likely ends in time."""
        high = self._durations.high(request.service, request.operation, request.declared_class)
        own = min(OWN_MARGIN * expected, max(expected, high))
        limit = left - own
        if request.contract_s is not None:
            in_contract = request.contract_s - own
            # Work that is longer than the contract may still wait for a part of it.
            limit = min(limit, max(in_contract, request.contract_s * MIN_CONTRACT_SHARE))
        return max(0.0, limit)

    def _predict(self, request: AdmissionRequest, work_class: WorkClass, now: float) -> float:
        slots = max(1, self.usable_slots)
        opens = max(now, self._shedding_until)
        free = [max(opens, now + self._residual(slot, now)) for slot in self._running]
        free = sorted(free)[-slots:] if len(free) > slots else free
        free += [opens] * (slots - len(free))
        heapq.heapify(free)
        ahead = self._queues[work_class].ahead_of(request)
        if work_class is WorkClass.LONG:
            ahead += [waiter.expected_s for waiter in self._queues[WorkClass.SHORT]]
        for expected in ahead:
            heapq.heapreplace(free, free[0] + expected)
        return max(0.0, free[0] - now)

    def _residual(self, slot: AdmittedSlot, now: float) -> float:
        request = slot.request
        return self._durations.residual(
            request.service, request.operation, now - slot.started, request.declared_class
        )

    def _spread(self, retry_s: float) -> float:
        # Callers that were refused together must not come back together.
        return max(MIN_RETRY_S, retry_s) * self._rng.uniform(1.0, 2.0)

    def _may_start(self, work_class: WorkClass) -> bool:
        slots = self.usable_slots
        if len(self._running) >= slots or self._timers.now() < self._shedding_until:
            return False
        if work_class is WorkClass.SHORT or not self._queues[WorkClass.SHORT]:
            return True
        return self._long_running() < max(1, slots - 1)

    def _long_running(self) -> int:
        # Short work that overruns holds its slot like long work.
        now = self._timers.now()
        return sum(
            1
            for slot in self._running
            if slot.work_class is WorkClass.LONG or now - slot.started >= LONG_S
        )

    def _start(
        self, request: AdmissionRequest, work_class: WorkClass, arrived: float
    ) -> AdmittedSlot:
        now = self._timers.now()
        slot = AdmittedSlot(request, work_class, now, self._server, now - arrived)
        self._running.add(slot)
        return slot

    def _enqueue(self, waiter: _Waiter) -> None:
        self._queues[waiter.work_class].push(waiter)
        self._waiters[waiter.request.request_id] = waiter
        self._watch_queue()

    def _fill_slots(self) -> None:
        while self._waiters and (work_class := self._next_class()) is not None:
            waiter = self._queues[work_class].pop()
            del self._waiters[waiter.request.request_id]
            if waiter.future.done():
                continue
            if waiter.give_up_at < self._timers.now():
                self._settle_late(waiter)
                continue
            self._count_pick(work_class)
            waiter.future.set_result(self._start(waiter.request, work_class, waiter.arrived))

    def _next_class(self) -> WorkClass | None:
        short, long = self._queues[WorkClass.SHORT], self._queues[WorkClass.LONG]
        long_first = long and (not short or self._short_picks >= SHORT_PICKS_PER_LONG)
        if long_first and self._may_start(WorkClass.LONG):
            return WorkClass.LONG
        if short and self._may_start(WorkClass.SHORT):
            return WorkClass.SHORT
        return None

    def _count_pick(self, work_class: WorkClass) -> None:
        if work_class is WorkClass.LONG or not self._queues[WorkClass.LONG]:
            self._short_picks = 0
        else:
            self._short_picks += 1

    def _settle_late(self, waiter: _Waiter) -> None:
        if not waiter.future.done():
            detail = f"the slot of {self._server} came too late"
            retry = self._spread(MIN_RETRY_S)
            waiter.future.set_result(Refused(Reason.WOULD_MISS_DEADLINE, detail, retry))

    def _refuse(self, waiter: _Waiter, reason: Reason, detail: str, retry_s: float) -> None:
        self._drop(waiter)
        if not waiter.future.done():
            waiter.future.set_result(Refused(reason, detail, retry_s))

    def _drop(self, waiter: _Waiter) -> None:
        if self._waiters.get(waiter.request.request_id) is waiter:
            del self._waiters[waiter.request.request_id]
            self._queues[waiter.work_class].remove(waiter)

    def _forget(self, waiter: _Waiter) -> None:
        """Drop a waiter whose task was cancelled, or return the slot it just got."""
        self._drop(waiter)
        if not waiter.future.done() or waiter.future.cancelled():
            return
        result = waiter.future.result()
        if isinstance(result, AdmittedSlot):
            self.release(result, 0.0, completed=False)

    def _watch_queue(self) -> None:
        if self._waiters and (self._ticker is None or self._ticker.done()):
            self._ticker = asyncio.get_running_loop().create_task(self._tick())

    async def _tick(self) -> None:
        """Refuse queued work that can't finish in time; runs only while work is queued."""
        while self._waiters:
            await self._timers.sleep(EXPIRY_TICK_S)
            now = self._timers.now()
            for waiter in [w for w in self._waiters.values() if w.give_up_at < now]:
                self._drop(waiter)
                self._settle_late(waiter)
            # Shedding and warm-up end without any other call.
            self._fill_slots()
