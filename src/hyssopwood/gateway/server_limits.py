"""Request limits that servers name in their answers."""

from __future__ import annotations

from enum import Enum

from attrs import define, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# A limit that no answer has named for this long has ended: only answers state it, and a server
# that gets no requests would otherwise keep it forever.
LIMIT_TTL_S = 10.0
# Minimum time between two log lines on changes of one server's limit.
LOG_INTERVAL_S = 1.0


class Sent(Enum):
    """Kinds of requests that a server receives from an instance."""

    REQUEST = "request"
    # Grant, renewal or release of keys.
    COMMAND = "command"


@frozen
class LimitNotice:
    """What an instance has read of a server's limit in the server's own answers."""

    server: str
    born_ms: int
    # Requests per second that the server takes from all instances; None if it has named no limit
    # since an earlier one.
    per_s: float | None
    age_s: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and start time of the server."""
        return self.server, self.born_ms


@frozen
class _Heard:
    per_s: float | None
    at: float


@define
class _Limit:
    per_s: float
    # Time of the newest answer that named it.
    named_at: float
    first_named_at: float
    logged_at: float = float("-inf")
    sent: dict[Sent, int] = field(factory=lambda: dict.fromkeys(Sent, 0))


@define
class ServerLimits:
    """Hold the limits that servers name, and count what this instance sends meanwhile."""

    _timers: Timers
    _metrics: Metrics
    _limits: dict[tuple[str, int], _Limit] = field(factory=dict, init=False)
    _ended_at: dict[tuple[str, int], float] = field(factory=dict, init=False)
    # What this instance's own exchanges have shown. Only this is passed on: statements that were
    # passed on from instance to instance would never become old.
    _heard: dict[tuple[str, int], _Heard] = field(factory=dict, init=False)
    _unreported: set[tuple[str, int]] = field(factory=set, init=False)

    def get(self, incarnation: tuple[str, int]) -> float | None:
        """Return the server's limit in requests per second, or None if it names none."""
        limit = self._limits.get(incarnation)
        if limit is None:
            return None
        now = self._timers.now()
        if now - limit.named_at >= LIMIT_TTL_S:
            self._end(incarnation, now, f"no answer has named it for {LIMIT_TTL_S:g} s")
            return None
        return limit.per_s

    def record_answer(
        self, incarnation: tuple[str, int], per_s: float | None, sent_at: float
    ) -> None:
        """Record the limit, or its absence, in an answer to a request sent at `sent_at`."""
        now = self._timers.now()
        if per_s is not None:
            self._set(incarnation, per_s, now)
        elif incarnation in self._limits and sent_at >= self._limits[incarnation].first_named_at:
            self._end(incarnation, now, "an answer did not name it")
        else:
            # No limit is known, or the answer may be older than the limit.
            return
        self._heard[incarnation] = _Heard(per_s, now)
        self._unreported.add(incarnation)

    def apply(self, notice: LimitNotice) -> None:
        """Apply what another instance has read, unless something newer is known."""
        incarnation = notice.incarnation
        stated_at = self._timers.now() - notice.age_s
        limit = self._limits.get(incarnation)
        newest = self._ended_at.get(incarnation, float("-inf"))
        if limit is not None:
            newest = max(newest, limit.named_at)
        if notice.age_s >= LIMIT_TTL_S or stated_at <= newest:
            return
        if notice.per_s is not None:
            self._set(incarnation, notice.per_s, stated_at)
        elif limit is not None:
            self._end(incarnation, stated_at, "another instance's answer did not name it")

    @property
    def any_named(self) -> bool:
        """Return whether any server has a limit."""
        return bool(self._limits)

    @property
    def has_notices(self) -> bool:
        """Return whether this instance has read any limit in recent answers."""
        return bool(self._heard)

    def notice(self, incarnation: tuple[str, int]) -> LimitNotice | None:
        """Return what this instance has read in recent answers of the server, if anything."""
        heard = self._heard.get(incarnation)
        if heard is None:
            return None
        age_s = self._timers.now() - heard.at
        if age_s >= LIMIT_TTL_S:
            del self._heard[incarnation]
            return None
        return LimitNotice(*incarnation, heard.per_s, age_s)

    def notices(self) -> tuple[LimitNotice, ...]:
        """Return all that this instance has read in recent answers."""
        self._unreported.clear()
        found = (self.notice(incarnation) for incarnation in list(self._heard))
        return tuple(notice for notice in found if notice is not None)

    def take_new_notices(self) -> tuple[LimitNotice, ...]:
        """Return what this instance has read since the last call."""
        found = [self.notice(incarnation) for incarnation in self._unreported]
        self._unreported.clear()
        return tuple(notice for notice in found if notice is not None)

    def record_sent(self, incarnation: tuple[str, int], kind: Sent) -> None:
        """Count a request to a server if the server has a limit."""
        limit = self._limits.get(incarnation)
        if limit is not None:
            limit.sent[kind] += 1
            self._metrics.count("limited_server_sends", kind.value)

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Remove what is known of servers that aren't listed."""
        for incarnation in self._limits.keys() - incarnations:
            self._end(incarnation, self._timers.now(), "the server is no longer registered")
        for known in (self._ended_at, self._heard):
            for incarnation in known.keys() - incarnations:
                del known[incarnation]

    def _set(self, incarnation: tuple[str, int], per_s: float, named_at: float) -> None:
        limit = self._limits.get(incarnation)
        changed = limit is None or limit.per_s != per_s
        if limit is None:
            limit = self._limits[incarnation] = _Limit(per_s, named_at, named_at)
        limit.per_s, limit.named_at = per_s, named_at
        if changed and named_at - limit.logged_at >= LOG_INTERVAL_S:
            limit.logged_at = named_at
            emit(Event.SERVER_LIMIT_NAMED, server=incarnation[0], per_s=per_s)

    def _end(self, incarnation: tuple[str, int], at: float, cause: str) -> None:
        limit = self._limits.pop(incarnation)
        self._ended_at[incarnation] = at
        emit(
            Event.SERVER_LIMIT_ENDED,
            server=incarnation[0],
            per_s=limit.per_s,
            seconds=round(at - limit.first_named_at, 3),
            requests=limit.sent[Sent.REQUEST],
            commands=limit.sent[Sent.COMMAND],
            cause=cause,
        )
