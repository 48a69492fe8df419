"""Protection of a process from its callers: memory budget, turns of reading, open connections."""

from __future__ import annotations

from attrs import define, field

from hyssopwood.events import Event, emit
from hyssopwood.gateway.exchange import BadHeadError, HeaderCodec, Headers
from hyssopwood.gateway.gateway_settings import FILE_DESCRIPTORS
from hyssopwood.gateway.memory_budget import Kind, MemoryBudget, Shortage
from hyssopwood.gateway.read_turns import ReadTurns
from hyssopwood.gateway.relay_server import MAX_RELAYED
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Share of the sockets for callers' connections. Servers, relays, links and the store have the rest.
CALLERS_SHARE = 0.5
# Share of the sockets for relayed connections, which take two each.
RELAYS_SHARE = 0.25
# Time without a refusal after which a shortage counts as ended.
QUIET_S = 5.0


@define
class _Spell:
    """A time with refusals, of which the beginning and the end are logged."""

    began: Event
    ended: Event
    last_at: float = float("-inf")
    count: int = 0

    def record(self, now: float, **inputs: object) -> None:
        """Count a refusal, and log the first one with its inputs."""
        if not self.count:
            emit(self.began, **inputs)
        self.count += 1
        self.last_at = now

    def check(self, now: float) -> None:
        """Log the end of a spell."""
        if self.count and now - self.last_at > QUIET_S:
            emit(self.ended, refused=self.count)
            self.count = 0


@define(eq=False)
class CallerProtection:
    """What bounds the resources of callers' connections; without settings nothing does."""

    _timers: Timers
    _metrics: Metrics
    _header_codec: HeaderCodec
    memory_mb: float | None = None
    max_descriptors: int | None = None
    turns: ReadTurns = field(init=False)
    budget: MemoryBudget | None = field(default=None, init=False)
    _memory: _Spell = field(
        factory=lambda: _Spell(Event.MEMORY_SHORT, Event.MEMORY_RECOVERED), init=False
    )
    _connections: _Spell = field(
        factory=lambda: _Spell(Event.CONNECTIONS_SHORT, Event.CONNECTIONS_RECOVERED), init=False
    )
    _throttled_at: float = field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        self.turns = ReadTurns(self._timers)
        if self.memory_mb is not None:
            self.budget = MemoryBudget.of_process(self.memory_mb, self._record_shortage)

    @property
    def max_connections(self) -> int | None:
        """Return how many connections of callers are accepted at a time; None for no bound."""
        return None if self.max_descriptors is None else max(1, int(self._sockets * CALLERS_SHARE))

    @property
    def max_relayed(self) -> int:
        """Return how many connections are relayed at a time for other instances."""
        if self.max_descriptors is None:
            return MAX_RELAYED
        return min(MAX_RELAYED, max(1, int(self._sockets * RELAYS_SHARE / 2)))

    @property
    def _sockets(self) -> int:
        return 0 if self.max_descriptors is None else int(self.max_descriptors) - FILE_DESCRIPTORS

    def retry_after(self, seconds: float) -> Headers:
        """Return the header that states when a refused caller should retry."""
        return self._header_codec.retry_after(seconds)

    def timeout_of(self, headers: Headers) -> float | None:
        """Return the time for which a caller waits, if its headers state a valid one."""
        try:
            return self._header_codec.decode_caller_headers(headers).timeout_s
        except BadHeadError:
            # The dispatcher answers it once it has been read.
            return None

    def record_connection(self, result: str, open_connections: int) -> None:
        """Count a connection that was closed or not accepted because of the bound."""
        self._metrics.count("caller_connections_refused", result)
        self._connections.record(
            self._timers.now(), open=open_connections, limit=self.max_connections, result=result
        )

    def record_throttled(self, pieces: int) -> None:
        """Count a connection that waits for its turn; one in `QUIET_S` is logged."""
        self._metrics.count("caller_reads_throttled")
        now = self._timers.now()
        if now - self._throttled_at > QUIET_S:
            self._throttled_at = now
            emit(Event.CALLER_THROTTLED, pieces=pieces, waiting=self.turns.waiting)

    def check(self, now: float, open_connections: int) -> None:
        """Update the gauges and log the end of shortages."""
        self._memory.check(now)
        self._connections.check(now)
        self._metrics.set("caller_connections", open_connections)
        self._metrics.set("caller_reads_waiting", self.turns.waiting)
        if self.budget is not None:
            self._metrics.set("memory_budget_bytes", self.budget.limit)
            for kind in Kind:
                self._metrics.set("memory_held_bytes", self.budget.held(kind), kind.value)

    def _record_shortage(self, shortage: Shortage) -> None:
        label = f"{shortage.kind.value} {shortage.refusal.value}"
        self._metrics.count("memory_refusals", label)
        self._memory.record(
            self._timers.now(),
            refused=shortage.refusal.value,
            kind=shortage.kind.value,
            requested=shortage.requested,
            held=shortage.held,
            limit=shortage.limit,
            refused_bytes=shortage.refused_bytes,
            refused_held_s=round(shortage.refused_held_s, 3),
        )
