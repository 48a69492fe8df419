"""Permit requests to one server's coordinator."""

from __future__ import annotations

from attrs import define, evolve, field

from hyssopwood.admission import AdmissionRequest, AdmittedSlot, Refused
from hyssopwood.messages import PermitReply, PermitRequest, PermitReturn
from hyssopwood.outcomes import Reason
from hyssopwood.permits import Permit
from hyssopwood.server_coordinator import ServerCoordinator
from hyssopwood.state import ClusterState, partition_of
from hyssopwood.voting import CLOCK_RATE_MARGIN

# A grant or the decision about a frozen partition is waited for this long at most.
GRANT_WAIT_S = 0.3
RETRY_AFTER_MS = 50
# A permit that is valid for less is no use to the entry.
MIN_PERMIT_S = 0.005
# A server that sheds load is asked again after this time, with one request per slot.
SHEDDING_S = 0.1
SHEDDING_STATUS = 503
OUTCOME_UNKNOWN = "unknown"
OUTCOME_NOT_RUN = "not-run"


def refusal(reason: Reason, detail: str, retry_after_ms: int = RETRY_AFTER_MS) -> PermitReply:
    """Return a refusal."""
    return PermitReply(False, reason=reason.value, detail=detail, retry_after_ms=retry_after_ms)


@define(eq=False)
class PermitIssuer:
    """Issue the permits of one server and take them back."""

    coordinator: ServerCoordinator
    _queued: dict[str, str] = field(factory=dict, init=False)
    _asking: set[tuple[str, str]] = field(factory=set, init=False)
    _withdrawn: set[tuple[str, str]] = field(factory=set, init=False)

    async def request(self, sender: str, request: PermitRequest) -> PermitReply:
        """Return a permit, a stored response or a refusal."""
        asked = (sender, request.request_id)
        self._asking.add(asked)
        try:
            return await self._answer(sender, request)
        finally:
            self._asking.discard(asked)
            self._withdrawn.discard(asked)

    async def _answer(self, sender: str, request: PermitRequest) -> PermitReply:
        parts = self.coordinator.parts
        received = parts.timers.now()
        deadline = received + request.deadline_ms / 1000
        unserved = await self._await_service(request, deadline)
        if unserved is not None:
            return unserved
        stopped = await parts.hooks.before(self.coordinator.name, request)
        if stopped is not None:
            return stopped
        reply = None
        try:
            reply = await self._admit(sender, request, received, deadline)
            return reply
        finally:
            if reply is None or not reply.granted:
                parts.hooks.not_issued(self.coordinator.name, request)

    def give_back(self, permit: Permit, returned: PermitReturn) -> None:
        """Take a permit back; an unknown outcome keeps it in the book until it has ended."""
        coordinator = self.coordinator
        now = coordinator.parts.timers.now()
        coordinator.parts.hooks.returned(coordinator.name, permit.request, returned)
        coordinator.records.meter.count_busy(permit.partition, now - permit.issued_at, now)
        if returned.outcome == OUTCOME_UNKNOWN:
            coordinator.book.abandon(permit, now)
            return
        if returned.outcome == OUTCOME_NOT_RUN and returned.status == SHEDDING_STATUS:
            coordinator.records.admission.set_shedding(now + SHEDDING_S)
        coordinator.end_permit(permit, completed=returned.outcome != OUTCOME_NOT_RUN)

    def withdraw(self, sender: str, request_id: str) -> None:
        """Drop a request in progress, or a permit that never reached its entry."""
        if (sender, request_id) in self._asking:
            self._withdrawn.add((sender, request_id))
        self.coordinator.records.admission.cancel(request_id)
        permit = self.coordinator.book.of_request(sender, request_id)
        if permit is not None and not permit.abandoned:
            self.coordinator.parts.hooks.not_issued(self.coordinator.name, permit.request)
            self.coordinator.end_permit(permit, completed=False)

    def refuse_moved(self) -> None:
        """Refuse queued requests whose partition the server no longer serves."""
        for request_id, partition in list(self._queued.items()):
            if not self.coordinator.serves(partition) and not self._waits_for(partition):
                self.coordinator.records.admission.cancel(request_id)

    async def _await_service(self, request: PermitRequest, deadline: float) -> PermitReply | None:
        """Wait briefly until the partition is served here; return a refusal if it is not."""
        parts = self.coordinator.parts
        until = min(deadline, parts.timers.now() + GRANT_WAIT_S)
        while True:
            stopped = self._refusal_now(request)
            if stopped is None:
                return None
            partition = _partition(parts.state, request)
            left = until - parts.timers.now()
            if left <= 0 or not self._waits_for(partition):
                return stopped
            await parts.changed.wait(left)

    def _waits_for(self, partition: str) -> bool:
        return bool(partition) and self.coordinator.will_serve(partition)

    def _refusal_now(self, request: PermitRequest) -> PermitReply | None:
        coordinator = self.coordinator
        if not coordinator.parts.authority.held():
            return refusal(Reason.NO_AUTHORITY, "the coordinator has no authority at present")
        partition = _partition(coordinator.parts.state, request)
        if not partition:
            return refusal(Reason.NO_SERVICE, f"service {request.service!r:.60} is not in force")
        if coordinator.serves(partition):
            return None
        owner = coordinator.parts.state.ownerships.get(partition)
        if owner is not None and owner.server == coordinator.name and coordinator.lapsed():
            return refusal(Reason.SERVER_UNREACHABLE, f"{coordinator.name} holds no lease")
        return refusal(Reason.MOVED, f"{coordinator.name} doesn't serve {partition}")

    async def _admit(
        self, sender: str, request: PermitRequest, received: float, deadline: float
    ) -> PermitReply:
        while True:
            unserved = await self._await_service(request, deadline)
            if unserved is not None:
                return unserved
            if (sender, request.request_id) in self._withdrawn:
                # A permit for it would hold its slot until the deadline.
                return refusal(Reason.DEADLINE_EXCEEDED, "the request was withdrawn")
            result = await self._acquire(request, deadline)
            if isinstance(result, Refused):
                return self._refused(request, result)
            withdrawn = (sender, request.request_id) in self._withdrawn
            # The wait for the slot may have outlasted the authority or the partition.
            if not withdrawn and self._refusal_now(request) is None:
                return self._issue(sender, request, received, deadline, result)
            self.coordinator.records.admission.release(result, 0.0, False)

    async def _acquire(self, request: PermitRequest, deadline: float) -> AdmittedSlot | Refused:
        self._queued[request.request_id] = _partition(self.coordinator.parts.state, request)
        try:
            return await self.coordinator.records.admission.acquire(
                _admission_request(self.coordinator.parts.state, request, deadline)
            )
        finally:
            self._queued.pop(request.request_id, None)

    def _refused(self, request: PermitRequest, result: Refused) -> PermitReply:
        unserved = self._refusal_now(request)
        if unserved is not None:
            return unserved
        return refusal(result.reason, result.detail, int(result.retry_after_s * 1000) + 1)

    def _issue(
        self,
        sender: str,
        request: PermitRequest,
        received: float,
        deadline: float,
        slot: AdmittedSlot,
    ) -> PermitReply:
        coordinator = self.coordinator
        parts = coordinator.parts
        now = parts.timers.now()
        use_by = min(now + parts.timing.permit_ms / 1000, parts.authority.until(), deadline)
        if use_by - now < MIN_PERMIT_S:
            coordinator.records.admission.release(slot, 0.0, False)
            return refusal(Reason.NO_AUTHORITY, "the authority or the deadline ends too soon")
        partition = _partition(parts.state, request)
        permit = coordinator.book.add(
            sender=sender,
            request=request,
            partition=partition,
            token=coordinator.held[partition],
            issued_at=now,
            use_by=use_by,
            run_by=deadline,
            slot=slot,
        )
        coordinator.records.meter.count_request(partition, request.key, now)
        return PermitReply(
            True,
            permit_id=permit.id,
            partition=partition,
            token=permit.token,
            epoch=coordinator.epoch,
            # The entry counts from sending its request, which was before `received`.
            valid_ms=int((use_by - received) * 1000 * (1 - CLOCK_RATE_MARGIN)),
        )


def _partition(state: ClusterState, request: PermitRequest) -> str:
    if request.service not in state.services:
        return ""
    return partition_of(state, request.service, request.key)


def _admission_request(
    state: ClusterState, request: PermitRequest, deadline: float
) -> AdmissionRequest:
    service = state.services[request.service]
    operation = service.operations.get(request.operation)
    plain = AdmissionRequest(
        request.request_id,
        request.service,
        request.customer,
        request.operation,
        None,
        deadline,
        service.weight,
        contract_s=service.contract_ms / 1000,
    )
    if operation is None:
        return plain
    return evolve(plain, declared_class=operation.work_class)
