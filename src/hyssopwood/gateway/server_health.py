"""Suspicion of servers, learned from ordinary exchanges."""

from __future__ import annotations

from attrs import define, field

from hyssopwood.timers import Timers

# Failures in a row before a server is avoided; one may be a stale connection.
FAILURES_TO_SUSPECT = 2
# The first pause is short, as most failures are single connections; it doubles up to the longest.
INITIAL_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
# An address that answers for another server does so until the registration changes; it is tried
# again after this in case the answer was wrong.
REPLACED_PAUSE_S = 3.0


@define
class _FailureRecord:
    failures: int = 0
    pause_s: float = INITIAL_PAUSE_S
    suspect_until: float = 0.0


@define
class ServerHealth:
    """Count failures in a row for each start of a server and pause those that fail."""

    _timers: Timers
    _records: dict[tuple[str, int], _FailureRecord] = field(factory=dict, init=False)
    # Times until which servers want nothing from this instance.
    _back_off_until: dict[tuple[str, int], float] = field(factory=dict, init=False)

    def is_suspect(self, incarnation: tuple[str, int]) -> bool:
        """Return whether the server should be avoided now."""
        record = self._records.get(incarnation)
        return record is not None and self._timers.now() < record.suspect_until

    def record_success(self, incarnation: tuple[str, int]) -> None:
        """Note that the server answered."""
        self._records.pop(incarnation, None)

    def record_failure(self, incarnation: tuple[str, int], certain: bool) -> bool:
        """Note a failed exchange; `certain` if no connection could be made.

        Returns whether the server is suspect from now on.
        """
        record = self._records.setdefault(incarnation, _FailureRecord())
        record.failures += 1
        if not certain and record.failures < FAILURES_TO_SUSPECT:
            return False
        record.suspect_until = self._timers.now() + record.pause_s
        record.pause_s = min(MAX_PAUSE_S, record.pause_s * 2)
        return True

    def record_back_off(self, incarnation: tuple[str, int], seconds: float) -> None:
        """Note that the server wants nothing from this instance for so long."""
        until = self._timers.now() + seconds
        self._back_off_until[incarnation] = max(until, self._back_off_until.get(incarnation, until))

    @property
    def has_back_offs(self) -> bool:
        """Return whether any server may want nothing from this instance now."""
        return bool(self._back_off_until)

    def back_off_left_s(self, incarnation: tuple[str, int]) -> float:
        """Return for how long the server still wants nothing from this instance."""
        until = self._back_off_until.get(incarnation)
        return 0.0 if until is None else max(0.0, until - self._timers.now())

    def record_replaced(self, incarnation: tuple[str, int]) -> None:
        """Note that another server answered at the server's address."""
        record = self._records.setdefault(incarnation, _FailureRecord())
        record.suspect_until = self._timers.now() + REPLACED_PAUSE_S

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget servers that aren't listed."""
        for incarnation in self._records.keys() - incarnations:
            del self._records[incarnation]
        for incarnation in self._back_off_until.keys() - incarnations:
            del self._back_off_until[incarnation]
