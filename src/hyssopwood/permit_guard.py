"""Idempotency records and poison suspects, consulted for each permit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, field

from hyssopwood.events import Event, emit
from hyssopwood.idempotency import Begun, KeyRefused, Stored
from hyssopwood.key_replication import KeyReplication
from hyssopwood.messages import PermitReply, PermitRequest, PermitReturn, SuspectReport
from hyssopwood.outcomes import Reason
from hyssopwood.peers import StateSource
from hyssopwood.poison import Suspects, Trials
from hyssopwood.settings import Timing
from hyssopwood.state import partition_of
from hyssopwood.timers import Timers

OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
STANDBY_RETRY_S = 0.1
TRIAL_RETRY_S = 0.1


def _refusal(reason: Reason, detail: str, retry_after_s: float | None) -> PermitReply:
    retry_after_ms = 0 if retry_after_s is None else int(retry_after_s * 1000) + 1
    return PermitReply(False, reason=reason.value, detail=detail, retry_after_ms=retry_after_ms)


@define(eq=False)
class PermitGuard:
    """Refuse quarantined requests and repeated idempotency keys."""

    _timers: Timers
    _timing: Timing
    _share: Callable[[SuspectReport], None]
    _source: StateSource
    _replication: KeyReplication
    _suspects: Suspects = field(init=False)
    _trials: Trials = field(init=False)
    _copies: dict[object, asyncio.Task[bool]] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._suspects = Suspects(self._timers, self._timing.poison_quarantine_ms / 1000)
        self._trials = Trials(self._timers)

    async def before(self, server: str, request: PermitRequest) -> PermitReply | None:
        """Return a refusal or a stored response, None after recording the key."""
        quarantine_s = self._suspects.quarantined_s(request.digest)
        if quarantine_s is not None:
            emit(Event.POISON_REFUSED, server=server, digest=f"{request.digest:016x}")
            detail = "the request crashed backend servers"
            return _refusal(Reason.POISON, detail, quarantine_s)
        if not self._may_run_beside_others(server, request):
            detail = "another request that ran when a backend server crashed runs here now"
            return _refusal(Reason.QUEUE_FULL, detail, TRIAL_RETRY_S)
        if not request.idempotency_key:
            return None
        return await self._begin(server, request)

    def _may_run_beside_others(self, server: str, request: PermitRequest) -> bool:
        if not self._suspects.is_suspect(request.digest):
            return True
        return self._trials.begin(server, request.request_id)

    async def _begin(self, server: str, request: PermitRequest) -> PermitReply | None:
        records = self._replication.records_of(server)
        service, key = request.service, request.idempotency_key
        partition = partition_of(self._source.state, service, request.key)
        result = records.begin(
            service, key, request.digest, request.request_id, request.key, partition
        )
        match result:
            case Begun():
                if await self._replication.store(server, service, key):
                    return None
                records.abandon(service, key, request.request_id)
                detail = "the standby of the coordinator can't store the idempotency key"
                return _refusal(Reason.COORDINATOR_UNREACHABLE, detail, STANDBY_RETRY_S)
            case Stored(status, body):
                return PermitReply(False, stored_status=status, stored_body=body)
            case KeyRefused(reason, detail, retry_after_s):
                return _refusal(reason, detail, retry_after_s)

    def not_issued(self, server: str, request: PermitRequest) -> None:
        """Forget the key of a request that was proved not to have run."""
        self._trials.end(server, request.request_id)
        if request.idempotency_key:
            self._abandon(server, request)

    def _abandon(self, server: str, request: PermitRequest) -> None:
        service, key = request.service, request.idempotency_key
        self._replication.records_of(server).abandon(service, key, request.request_id)
        self._replication.publish(server, service, key, request.key)

    def returned(self, server: str, request: PermitRequest, outcome: PermitReturn) -> None:
        """Note the outcome of a request."""
        self._trials.end(server, request.request_id)
        if outcome.outcome == OUTCOME_ANSWERED:
            cleared = self._suspects.record_success(server, request.digest)
            if cleared is not None:
                self._share(cleared)
        if not request.idempotency_key:
            return
        records = self._replication.records_of(server)
        service, key = request.service, request.idempotency_key
        if outcome.outcome == OUTCOME_NOT_RUN:
            self._abandon(server, request)
            return
        if outcome.outcome == OUTCOME_ANSWERED:
            records.finish(service, key, outcome.status, outcome.body)
        else:
            records.mark_unknown(service, key, request.request_id)
        self._replication.publish(server, service, key, request.key)

    def crashed(self, server: str, running: tuple[PermitRequest, ...]) -> None:
        """Suspect the requests that may have run when a server crashed."""
        self._trials.end_all(server)
        digests = [request.digest for request in running]
        for report in self._suspects.record_crash(server, digests):
            self._share(report)

    def taken_over(self, server: str, epoch: int) -> None:
        """Begin as a server's coordinator."""
        self._replication.taken_over(server, epoch)

    async def before_release(self, partition: str, server: str, asker: str) -> bool:
        """Copy a partition's idempotency records to the coordinator of its next owner."""
        copy = self._replication.copy_partition(partition, server, asker)
        return await self._shared((partition, server, asker), copy)

    async def before_hand_over(self, server: str, asker: str) -> bool:
        """Copy a server's idempotency records to its next coordinator."""
        return await self._shared((server, asker), self._replication.pass_on_all(server, asker))

    async def _shared(self, name: object, copy: Coroutine[Any, Any, bool]) -> bool:
        """Await one copying although the asker repeats its query while it goes on."""
        task = self._copies.get(name)
        if task is not None:
            copy.close()
        else:
            task = self._copies[name] = asyncio.create_task(copy)
            task.add_done_callback(lambda _: self._copies.pop(name, None))
        return await asyncio.shield(task)

    async def on_suspect_report(self, _: str, report: SuspectReport) -> None:
        """Take in a peer's suspect."""
        self._suspects.merge(report)
