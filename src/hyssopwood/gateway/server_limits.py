"""Request limits that servers name in their answers."""

from __future__ import annotations

from enum import Enum

from attrs import define, field

from hyssopwood.events import Event, emit
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# A limit that no answer has named for this long has ended: only answers state it, and a server
# whose limit lets nothing through would otherwise never be asked again.
LIMIT_TTL_S = 10.0
# Minimum time between two log lines on changes of one server's limit.
LOG_INTERVAL_S = 1.0


class Sent(Enum):
    """Kinds of requests that a server receives from an instance."""

    REQUEST = "request"
    # Grant, renewal or release of keys.
    COMMAND = "command"


@define
class _Limit:
    # Requests per second that the server takes from all instances together.
    per_s: float
    # Time of the newest answer that named it.
    named_at: float
    first_named_at: float
    logged_at: float
    sent: dict[Sent, int] = field(factory=lambda: dict.fromkeys(Sent, 0))


@define
class ServerLimits:
    """Hold the limits that servers name, and count what this instance sends meanwhile."""

    _timers: Timers
    _metrics: Metrics
    _limits: dict[tuple[str, int], _Limit] = field(factory=dict, init=False)

    def get(self, incarnation: tuple[str, int]) -> float | None:
        """Return the server's limit in requests per second, or None if it names none."""
        limit = self._limits.get(incarnation)
        if limit is None:
            return None
        if self._timers.now() - limit.named_at >= LIMIT_TTL_S:
            self._end(incarnation, f"no answer has named it for {LIMIT_TTL_S:g} s")
            return None
        return limit.per_s

    def record_answer(
        self, incarnation: tuple[str, int], per_s: float | None, sent_at: float
    ) -> None:
        """Record the limit, or its absence, in an answer to a request sent at `sent_at`."""
        if per_s is not None:
            self._set(incarnation, per_s, self._timers.now())
            return
        limit = self._limits.get(incarnation)
        # The server may have made an answer to an earlier request before it named the limit.
        if limit is not None and sent_at >= limit.first_named_at:
            self._end(incarnation, "an answer did not name it")

    def record_sent(self, incarnation: tuple[str, int], kind: Sent) -> None:
        """Count a request to a server if the server has a limit."""
        limit = self._limits.get(incarnation)
        if limit is not None:
            limit.sent[kind] += 1
            self._metrics.count("limited_server_sends", kind.value)

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Remove the limits of servers that aren't listed."""
        for incarnation in self._limits.keys() - incarnations:
            self._end(incarnation, "the server is no longer registered")

    def _set(self, incarnation: tuple[str, int], per_s: float, named_at: float) -> None:
        limit = self._limits.get(incarnation)
        if limit is None:
            limit = _Limit(per_s, named_at, first_named_at=named_at, logged_at=float("-inf"))
            self._limits[incarnation] = limit
        changed = limit.per_s != per_s or limit.first_named_at == named_at
        limit.per_s, limit.named_at = per_s, named_at
        if changed and named_at - limit.logged_at >= LOG_INTERVAL_S:
            limit.logged_at = named_at
            emit(Event.SERVER_LIMIT_NAMED, server=incarnation[0], per_s=per_s)

    def _end(self, incarnation: tuple[str, int], cause: str) -> None:
        limit = self._limits.pop(incarnation)
        emit(
            Event.SERVER_LIMIT_ENDED,
            server=incarnation[0],
            per_s=limit.per_s,
            seconds=round(self._timers.now() - limit.first_named_at, 3),
            requests=limit.sent[Sent.REQUEST],
            commands=limit.sent[Sent.COMMAND],
            cause=cause,
        )
