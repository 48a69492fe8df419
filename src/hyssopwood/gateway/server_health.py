"""Health of servers as observed in ordinary exchanges."""

from __future__ import annotations

from attrs import define, field

from hyssopwood.timers import Timers

# Consecutive failures before a server is avoided; a single one may be a stale connection. A failure
# before any byte of the request was sent is enough on its own.
FAILURES_TO_SUSPECT = 2
# The first pause is short, because most failures concern a single connection; it doubles up to the
# maximum.
INITIAL_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
# A server is avoided for this time after another server answered at its address. The address stays
# wrong until the registration changes; the server is tried again in case the answer was wrong.
REPLACED_PAUSE_S = 3.0


@define
class _FailureRecord:
    failures: int = 0
    pause_s: float = INITIAL_PAUSE_S
    suspect_until: float = 0.0


@define
class ServerHealth:
    """Count consecutive failures of each server incarnation and suspect those that fail."""

    _timers: Timers
    _records: dict[tuple[str, int], _FailureRecord] = field(factory=dict, init=False)
    # End of the back-off that each server asked this instance for.
    _back_off_until: dict[tuple[str, int], float] = field(factory=dict, init=False)

    def is_suspect(self, incarnation: tuple[str, int]) -> bool:
        """Return whether the server should be avoided now."""
        record = self._records.get(incarnation)
        return record is not None and self._timers.now() < record.suspect_until

    def record_success(self, incarnation: tuple[str, int]) -> None:
        """Record that the server answered."""
        self._records.pop(incarnation, None)

    def record_failure(self, incarnation: tuple[str, int], certain: bool) -> bool:
        """Record a failed exchange; `certain` if no byte of the request was sent.

        Return whether the server is suspect from now on.
        """
        record = self._records.setdefault(incarnation, _FailureRecord())
        record.failures += 1
        if not certain and record.failures < FAILURES_TO_SUSPECT:
            return False
        record.suspect_until = self._timers.now() + record.pause_s
        record.pause_s = min(MAX_PAUSE_S, record.pause_s * 2)
        return True

    def forget_failure(self, incarnation: tuple[str, int]) -> None:
        """Forget failures that turned out not to be the server's."""
        self._records.pop(incarnation, None)

    def record_back_off(self, incarnation: tuple[str, int], seconds: float) -> None:
        """Record that the server told this instance to back off."""
        until = self._timers.now() + seconds
        self._back_off_until[incarnation] = max(until, self._back_off_until.get(incarnation, until))

    @property
    def has_back_offs(self) -> bool:
        """Return whether any back-off is recorded; it may have ended."""
        return bool(self._back_off_until)

    def back_off_left_s(self, incarnation: tuple[str, int]) -> float:
        """Return the remaining time of the server's back-off, or 0."""
        until = self._back_off_until.get(incarnation)
        return 0.0 if until is None else max(0.0, until - self._timers.now())

    def record_replaced(self, incarnation: tuple[str, int]) -> None:
        """Record that another server answered at the server's address."""
        record = self._records.setdefault(incarnation, _FailureRecord())
        record.suspect_until = self._timers.now() + REPLACED_PAUSE_S

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Remove the records of servers that aren't listed."""
        for incarnation in self._records.keys() - incarnations:
            del self._records[incarnation]
        for incarnation in self._back_off_until.keys() - incarnations:
            del self._back_off_until[incarnation]
