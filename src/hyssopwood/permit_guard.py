"""Idempotency records and poison suspects, consulted for each permit."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hyssopwood.idempotency import Begun, IdempotencyRecords, KeyRefused, Stored
from hyssopwood.messages import PermitReply, PermitRequest, PermitReturn, SuspectReport
from hyssopwood.outcomes import Reason
from hyssopwood.poison import Suspects
from hyssopwood.settings import Timing
from hyssopwood.timers import Timers

OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"


def _refusal(reason: Reason, detail: str, retry_after_s: float | None) -> PermitReply:
    retry_after_ms = 0 if retry_after_s is None else int(retry_after_s * 1000) + 1
    return PermitReply(False, reason=reason.value, detail=detail, retry_after_ms=retry_after_ms)


@define(eq=False)
class PermitGuard:
    """Refuse quarantined requests and repeated idempotency keys."""

    _timers: Timers
    _timing: Timing
    _share: Callable[[SuspectReport], None]
    _records: dict[str, IdempotencyRecords] = field(factory=dict, init=False)
    _suspects: Suspects = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._suspects = Suspects(self._timers, self._timing.poison_quarantine_ms / 1000)

    def records_of(self, server: str) -> IdempotencyRecords:
        """Return the idempotency records of a server."""
        records = self._records.get(server)
        if records is None:
            window_s = self._timing.idempotency_window_ms / 1000
            records = self._records[server] = IdempotencyRecords(self._timers, window_s)
        return records

    async def before(self, server: str, request: PermitRequest) -> PermitReply | None:
        """Return a refusal or a stored response, None after recording the key."""
        quarantine_s = self._suspects.quarantined_s(request.digest)
        if quarantine_s is not None:
            detail = "the request crashed backend servers"
            return _refusal(Reason.POISON, detail, quarantine_s)
        if not request.idempotency_key:
            return None
        return self._begin(server, request)

    def _begin(self, server: str, request: PermitRequest) -> PermitReply | None:
        result = self.records_of(server).begin(
            request.service, request.idempotency_key, request.digest, request.request_id
        )
        match result:
            case Begun():
                return None
            case Stored(status, body):
                return PermitReply(False, stored_status=status, stored_body=body)
            case KeyRefused(reason, detail, retry_after_s):
                return _refusal(reason, detail, retry_after_s)

    def not_issued(self, server: str, request: PermitRequest) -> None:
        """Forget the key of a request that was proved not to have run."""
        if request.idempotency_key:
            self.records_of(server).abandon(request.service, request.idempotency_key)

    def returned(self, server: str, request: PermitRequest, outcome: PermitReturn) -> None:
        """Note the outcome of a request."""
        if outcome.outcome == OUTCOME_ANSWERED:
            cleared = self._suspects.record_success(server, request.digest)
            if cleared is not None:
                self._share(cleared)
        if not request.idempotency_key:
            return
        records = self.records_of(server)
        service, key = request.service, request.idempotency_key
        if outcome.outcome == OUTCOME_ANSWERED:
            records.finish(service, key, outcome.status, outcome.body)
        elif outcome.outcome == OUTCOME_NOT_RUN:
            records.abandon(service, key)
        else:
            records.mark_unknown(service, key)

    def crashed(self, server: str, running: tuple[PermitRequest, ...]) -> None:
        """Suspect the requests that may have run when a server crashed."""
        digests = [request.digest for request in running]
        for report in self._suspects.record_crash(server, digests):
            self._share(report)

    async def on_suspect_report(self, _: str, report: SuspectReport) -> None:
        """Take in a peer's suspect."""
        self._suspects.merge(report)
