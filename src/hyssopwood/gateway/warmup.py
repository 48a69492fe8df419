"""Cold servers: which servers are cold, what they may get, and which instance may admit it.

A cold server crashes at a rate that it serves easily once it is warm. The keeper of its queue
admits requests within a sliding window, and only a keeper that is certain to be the only one under
its leader does so. docs/design/cold-servers.md has the argument for the sum over all instances.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from enum import Enum

from attrs import define, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, rank
from hyssopwood.gateway.queue_messages import QueueName
from hyssopwood.gateway.route_table import RouteTable, RouteTables
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.token_bucket import SlidingWindow
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

BOUND_WINDOW_S = 1.0
# A request to a cold server is sent at most this long after its admission. Instances answer within
# 2 ms, and one whose processor quota is used up within a tenth of a second.
MAX_ADMISSION_AGE_S = 0.15
# Keepers that may admit to one server in the same second: one under each of the leaders that can
# lead at the same time while partitions separate them.
MAX_KEEPERS = 3
# A registration is up to 0.9 s old when it is read, and is read every 0.5 s. A cold server without
# traffic stays cold, so it stays so here until its next registration.
REGISTRATION_AGE_S = 1.5
# A server counts as cold for this time after it couldn't be reached. If it has restarted, its next
# registration is distributed within this time.
UNREACHABLE_COLD_S = 3.0
# The leader distributes a registration again if the server stays cold for longer than the last
# distributed one has shown; less than REGISTRATION_AGE_S, so that followers don't see it as warm.
REPUBLISH_S = 0.5
# A keeper admits to cold servers only this long after its leader sent the last heartbeat; three
# heartbeats fit in.
MAX_CONTACT_AGE_S = 0.9
# The leader sends changes of the instance list after its next heartbeat, which is up to 0.3 s later
# and states nothing of them; the rest is for late timers.
LIST_DELAY_S = 0.35
# A keeper must have been the first in rank for this time: then an earlier one under the same leader
# has admitted nothing for a whole second, and what it admitted has been sent or dropped.
SETTLING_S = MAX_CONTACT_AGE_S + LIST_DELAY_S + BOUND_WINDOW_S + MAX_ADMISSION_AGE_S
# A keeper admits to cold servers only this long after the store last confirmed its leader. Leaders
# that lose the store one after the other claim at least 1.15 s apart, so a keeper under the fourth
# one admits 3 x 1.15 + SETTLING_S = 5.85 s after the first one's last confirmation at the earliest:
# a second after the last request that a keeper under the first one has admitted.
MAX_CONFIRMED_AGE_S = 4.5
# Minimum time between two log lines of one kind about one server.
LOG_INTERVAL_S = 1.0
# Time up to which a server was cold that isn't any more.
WARM = float("-inf")


class ColdAdmission(Enum):
    """What a queue may admit to a server."""

    # The server isn't cold.
    FREE = "free"
    # As much as the server's window admits.
    LIMITED = "limited"
    # Nothing: another queue or another keeper may admit requests to the cold server.
    CLOSED = "closed"


@frozen
class ColdLimit:
    """What one keeper admits to a cold server: `count` requests in any time of `window_s`."""

    count: int
    window_s: float

    @property
    def per_s(self) -> float:
        """Return the rate that the limit admits under load."""
        return self.count / self.window_s


def cold_limit(warmup_per_s: float, overage: float, slack: float) -> ColdLimit:
    """Return what one keeper admits to a server that tolerates `warmup_per_s` while it is cold.

    The window is longer than the second of the bound by the time for which an admission may be
    used, so that the requests sent in any second are at most `count` as well.
    """
    # A server that tolerates less than one request a second gets one in a longer window.
    second = max(BOUND_WINDOW_S, 1 / warmup_per_s)
    shared = (warmup_per_s * overage + slack) / MAX_KEEPERS
    count = max(1, math.floor(min(warmup_per_s, shared)))
    return ColdLimit(count, second + MAX_ADMISSION_AGE_S)


@define
class _State:
    record: ServerRecord
    cold_until: float = WARM
    # Time up to which the server is cold by the registration that was last distributed.
    published_until: float = float("-inf")
    # Whether the last log line on the server states that it is cold.
    logged_cold: bool = False
    # What this keeper has admitted, whichever of its queues did.
    window: SlidingWindow | None = None
    logged_at: float = float("-inf")


@define(eq=False)
class ColdServers:
    """Hold which servers are cold, and what this instance has admitted to each as a keeper."""

    _timers: Timers
    _metrics: Metrics
    _tables: RouteTables
    # The deployment's bound; no server counts as cold unless the overage is above 0.
    _overage: float = 0.0
    _slack: float = 0.0
    _states: dict[tuple[str, int], _State] = field(factory=dict, init=False)
    # Limits of the services in the configuration that they were read from.
    _limits: dict[str, ColdLimit] = field(factory=dict, init=False)
    _limits_of: RouteTable | None = field(default=None, init=False)
    _cold_count: int = field(default=0, init=False)

    @property
    def any_cold(self) -> bool:
        """Return whether any server counts as cold."""
        return self._cold_count > 0

    def record_registration(self, record: ServerRecord, distributed: bool) -> bool:
        """Apply a registration, and return whether the leader must distribute it.

        `distributed` states whether it is distributed anyway, as it changes routing. Of the others
        the followers get only these: they count down what the last distributed one has stated.
        """
        now = self._timers.now()
        state = self._state(record)
        if record.warmup_left_s <= 0:
            return False
        until = now + record.warmup_left_s + REGISTRATION_AGE_S
        self._extend(state, until)
        if not distributed and until <= state.published_until + REPUBLISH_S:
            return False
        state.published_until = until
        return not distributed and self._limit(record) is not None

    def record_answer(self, incarnation: tuple[str, int], warmup_s: float | None) -> None:
        """Apply for how long a server's answer states that it stays cold, if it does."""
        state = self._states.get(incarnation)
        if state is None or warmup_s is None:
            return
        if warmup_s > 0:
            self._extend(state, self._timers.now() + warmup_s)
        else:
            # Expires at the next question, which logs the change.
            state.cold_until = min(state.cold_until, self._timers.now())

    def record_unreachable(self, incarnation: tuple[str, int]) -> None:
        """Treat a server as cold until its state is known, as it may have restarted."""
        state = self._states.get(incarnation)
        if state is not None:
            self._extend(state, self._timers.now() + UNREACHABLE_COLD_S)

    def is_cold(self, record: ServerRecord) -> bool:
        """Return whether a server counts as cold, which limits its requests."""
        state = self._states.get(record.incarnation)
        if state is None or state.cold_until == WARM:
            return False
        cold = self._timers.now() < state.cold_until and self._limit(record) is not None
        if cold != state.logged_cold:
            state.logged_cold = cold
            self._cold_count += 1 if cold else -1
            self._log_change(state, cold)
        if self._timers.now() >= state.cold_until:
            state.cold_until = WARM
        return cold

    def window(self, record: ServerRecord) -> SlidingWindow | None:
        """Return the window of this keeper's admissions to a server; None if it has no limit."""
        limit = self._limit(record)
        if limit is None:
            return None
        state = self._states.get(record.incarnation) or self._state(record)
        if state.window is None:
            state.window = SlidingWindow(limit.count, limit.window_s)
        elif state.window.limit != limit.count or state.window.window_s != limit.window_s:
            state.window.configure(limit.count, limit.window_s)
        return state.window

    def max_rate(self, record: ServerRecord) -> float | None:
        """Return the requests per second that a cold server may get; None if it isn't cold."""
        limit = self._limit(record)
        return limit.per_s if limit is not None and self.is_cold(record) else None

    def uses_server_queue(self, record: ServerRecord) -> bool:
        """Return whether a cold server gets its requests through its own queue only."""
        table = self._tables.current
        spec = None if table is None else table.services.get(record.service)
        return spec is not None and spec.sharded

    def count_refused(self, record: ServerRecord, admission: ColdAdmission) -> None:
        """Count a request that wasn't admitted at once because a server is cold."""
        self._metrics.count("cold_server_refusals", admission.value)
        state = self._states.get(record.incarnation)
        now = self._timers.now()
        if state is not None and now - state.logged_at >= LOG_INTERVAL_S:
            state.logged_at = now
            closed = admission is ColdAdmission.CLOSED
            emit(
                Event.COLD_SERVER_CLOSED if closed else Event.COLD_SERVER_FULL,
                server=record.server,
                service=record.service,
                left_s=round(state.cold_until - now, 2),
            )

    def count_late(self, record: ServerRecord, age_s: float) -> None:
        """Count an admission that was dropped because it was received or used too late."""
        self._metrics.count("cold_server_refusals", "late")
        emit(
            Event.COLD_ADMISSION_LATE,
            server=record.server,
            age_ms=round(age_s * 1000),
            allowed_ms=round(MAX_ADMISSION_AGE_S * 1000),
        )

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Remove the servers that aren't listed, and update the count of cold servers."""
        for incarnation in self._states.keys() - incarnations:
            self._cold_count -= self._states.pop(incarnation).logged_cold
        if self._overage:
            count = sum(self.is_cold(state.record) for state in self._states.values())
            self._metrics.set("cold_servers", count)

    def _state(self, record: ServerRecord) -> _State:
        state = self._states.get(record.incarnation)
        if state is None:
            state = self._states[record.incarnation] = _State(record)
        state.record = record
        return state

    def _limit(self, record: ServerRecord) -> ColdLimit | None:
        """Return what a keeper admits to the server while it is cold; None for any number."""
        table = self._tables.current
        if table is not self._limits_of:
            # The limits of a large service's servers are needed for each request.
            self._limits_of = table
            self._limits = {} if table is None else dict(self._read_limits(table))
        return self._limits.get(record.service)

    def _read_limits(self, table: RouteTable) -> Iterator[tuple[str, ColdLimit]]:
        for name, spec in table.services.items():
            if self._overage > 0 and spec.warmup_per_s > 0:
                yield name, cold_limit(spec.warmup_per_s, self._overage, self._slack)

    def _extend(self, state: _State, until: float) -> None:
        state.cold_until = max(state.cold_until, until)

    def _log_change(self, state: _State, cold: bool) -> None:
        left_s = max(0.0, state.cold_until - self._timers.now())
        emit(
            Event.SERVER_COLD if cold else Event.SERVER_WARM,
            server=state.record.server,
            service=state.record.service,
            registered_left_s=state.record.warmup_left_s,
            left_s=round(left_s, 2),
        )


@define(eq=False)
class SettledRank:
    """Decide whether this instance is certain to be a queue's only keeper under its leader."""

    _timers: Timers
    _instances: InstanceList
    _own: InstanceRecord
    # Time at which the leader sent the last heartbeat, and since when there was no gap in them.
    _contact_at: float = field(default=float("-inf"), init=False)
    _confirmed_at: float = field(default=float("-inf"), init=False)
    # Identity of the link or of the own term that the heartbeats belong to.
    _source: Hashable = field(default=None, init=False)
    _in_contact_since: float = field(default=float("inf"), init=False)
    # Instances that have left the list, and when.
    _former: dict[InstanceRecord, float] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._instances.subscribe(self._record_removed)

    def record_contact(self, source: Hashable, age_s: float, confirmed_age_s: float) -> None:
        """Record a heartbeat that the leader sent `age_s` ago, or one of this leader's own.

        The settling time begins again with each link and term: another instance may have been the
        first in rank meanwhile.
        """
        now = self._timers.now()
        if source != self._source or now - self._contact_at > MAX_CONTACT_AGE_S:
            self._source, self._in_contact_since = source, now
        self._contact_at, self._confirmed_at = now - age_s, now - confirmed_age_s

    def is_settled_first(self, queue: QueueName) -> bool:
        """Return whether this instance has been the first in rank for the settling time.

        It must have been told of all changes of the list meanwhile.
        """
        now = self._timers.now()
        if now - self._contact_at > MAX_CONTACT_AGE_S:
            return False
        if now - self._in_contact_since < SETTLING_S:
            return False
        if now - self._confirmed_at > MAX_CONFIRMED_AGE_S:
            return False
        first = self._instances.ranked(str(queue), queue.failure_domain)[0]
        if first != self._own:
            return False
        own_rank = rank(str(queue), queue.failure_domain, self._own)
        for record, removed_at in list(self._former.items()):
            if now - removed_at >= SETTLING_S:
                del self._former[record]
            elif rank(str(queue), queue.failure_domain, record) < own_rank:
                return False
        return True

    def _record_removed(self, record: InstanceRecord) -> None:
        now = self._timers.now()
        self._former[record] = now
        for former, removed_at in list(self._former.items()):
            if now - removed_at >= SETTLING_S:
                del self._former[former]
