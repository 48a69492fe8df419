"""Script commands for the queue and slots of one server."""

import asyncio
import math
import random
from unittest.mock import AsyncMock, MagicMock, patch

from hyssopwood.admission import Admission, AdmissionRequest, AdmittedSlot, Refused
from hyssopwood.durations import Durations
from hyssopwood.messages import PermitRequest, PermitReturn
from hyssopwood.outcomes import Reason
from hyssopwood.permit_issuer import PermitIssuer
from hyssopwood.settings import Timing
from support.request_script import Script

WORK_S = {"quick": 0.02, "slow": 1.0}
TICK_S = 0.005


class AdmissionScript(Script):
    def set_up(self):
        durations = Durations(self.timers)
        for operation, seconds in 20 * list(WORK_S.items()):
            durations.record("portal", operation, seconds)
        self.queue = Admission("s1", 2, self.timers, durations, 6, rng=random.Random(1))
        self.arrivals = []

    def arrive(self, count, operation, left_ms, customer="x", weight=1, contract_ms=0):
        for _ in range(int(count)):
            deadline = self.timers.now() + int(left_ms) / 1000
            request = AdmissionRequest(
                f"r{len(self.arrivals)}",
                "portal",
                customer,
                operation,
                None,
                deadline,
                float(weight),
                contract_s=int(contract_ms) / 1000 or None,
            )
            self.arrivals.append(self.loop.create_task(self.queue.acquire(request)))
            self.run(self.timers.settle())

    def wait(self, *waiting):
        self.named = {}
        for name, _, fields in (item.partition("=") for item in waiting):
            customer, operation, left_ms, weight = fields.split(":")
            self.arrive(1, operation, left_ms, customer, float(weight))
            self.named[name] = self.arrivals[-1]
            assert not self.arrivals[-1].done(), self.arrivals[-1]

    def order(self, *expected):
        started = []
        while len(started) < len(self.named):
            # Long work keeps its slot while short work runs.
            self.give_back("quick" if self._running("quick") else "any")
            self.run(self.timers.settle())
            done = [name for name, task in self.named.items() if task.done()]
            started.extend(name for name in done if name not in started)
        assert started == list(expected), started

    def _running(self, operation="any"):
        results = [task.result() for task in self.arrivals if task.done() and not task.cancelled()]
        slots = [slot for slot in results if slot in self.queue._running]
        return [slot for slot in slots if operation in ("any", slot.request.operation)]

    def give_back(self, operation="any"):
        self.slot = min(self._running(operation), key=lambda slot: slot.started)
        self.give_back_again()

    def give_back_again(self):
        self.queue.release(self.slot, WORK_S[self.slot.request.operation], completed=True)

    def stream(self, count, operation):
        for _ in range(int(count)):
            self.arrive(1, "quick", 5000)
            self.give_back(operation)
            self.run(self.timers.settle())

    def shed_return(self):
        """Return the oldest slot through the permit desk, refused by a server that sheds."""
        slot = min(self._running(), key=lambda slot: slot.started)
        coordinator = MagicMock()
        coordinator.parts.timers, coordinator.records.admission = self.timers, self.queue
        coordinator.end_permit = lambda *_, **__: self.queue.release(slot, 0.0, completed=False)
        returned = PermitReturn(1, "not-run", 0.0, 503)
        PermitIssuer(coordinator).give_back(MagicMock(issued_at=0.0), returned)

    def withdraw_before_grant(self):
        """Withdraw a request that waits for its partition, which is granted afterwards."""
        granted = asyncio.Event()
        coordinator = MagicMock()
        coordinator.serves = lambda _: granted.is_set()
        coordinator.records.admission = self.queue
        coordinator.book.of_request.return_value = None
        parts = coordinator.parts
        parts.timers, parts.timing, parts.authority.until = self.timers, Timing(), lambda: math.inf
        parts.state.services = {"portal": MagicMock(weight=1.0, contract_ms=200, operations={})}
        parts.changed.wait = lambda _: granted.wait()
        parts.hooks.before = AsyncMock(return_value=None)
        request = PermitRequest("r", "s1", "portal", "quick", "k", 2000, 0, "", "x")
        desk = PermitIssuer(coordinator)
        with patch("hyssopwood.permit_issuer.partition_of", return_value="portal/0"):
            asked = self.loop.create_task(desk.request("entry", request))
            self.run(self.timers.settle())
            desk.withdraw("entry", "r")
            granted.set()
            self.run(self.timers.settle())
        assert not asked.result().granted

    def shedding(self, ms):
        self.queue.set_shedding(self.timers.now() + int(ms) / 1000)

    def close(self):
        self.queue.close(Reason.NO_AUTHORITY)

    def cancel(self):
        self.arrivals[-1].cancel()

    def counts(self, running, queued):
        found = (self.queue.running, self.queue.queued)
        assert found == (int(running), int(queued)), found

    def still_queued(self, number):
        assert not self.arrivals[int(number)].done()

    def admitted(self, number):
        assert isinstance(self.arrivals[int(number)].result(), AdmittedSlot)

    def refused(self, reason):
        result = self.arrivals[-1].result()
        assert isinstance(result, Refused) and result.reason.value == reason, result
        assert result.retry_after_s > 0 or reason == "deadline-exceeded", result

    def lose_slot(self):
        self.give_back()
        self.cancel()

    def peak(self, factor, seconds, left_ms):
        self.done, self.refusals = [], []
        self.run(self._peak(int(factor), int(seconds), int(left_ms) / 1000))
        capacity = 2 * int(seconds) / WORK_S["quick"]
        in_time = [took for took in self.done if took <= int(left_ms) / 1000 + TICK_S]
        assert len(in_time) >= 0.9 * capacity, f"{len(in_time)} of {capacity}"
        assert 0 <= max(self.refusals) <= TICK_S, max(self.refusals)

    async def _peak(self, factor, seconds, left_s):
        interval_s = WORK_S["quick"] / 2 / factor
        tasks = []
        for number in range(int(seconds / interval_s)):
            tasks.append(asyncio.ensure_future(self._one(f"p{number}", left_s)))
            await self.timers.advance(interval_s)
        await self.timers.advance(1.0)
        await asyncio.gather(*tasks)

    async def _one(self, request_id, left_s):
        began = self.timers.now()
        request = AdmissionRequest(request_id, "portal", "x", "quick", None, began + left_s)
        result = await self.queue.acquire(request)
        if isinstance(result, Refused):
            self.refusals.append(self.timers.now() - began)
            return
        await self.timers.sleep(WORK_S["quick"])
        self.queue.release(result, WORK_S["quick"], completed=True)
        self.done.append(self.timers.now() - began)
