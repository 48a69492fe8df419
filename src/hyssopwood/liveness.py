"""Answers of members to probes, and attestations of the voters about silent members."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from hyssopwood.errors import HyssopwoodError
from hyssopwood.messages import (
    AttestReply,
    AttestRequest,
    OutageMove,
    PositionReply,
    PositionRequest,
)
from hyssopwood.timers import Timers
from hyssopwood.waiting import TaskGroup

MIN_ATTEST_WAIT_S = 0.01
MAX_ATTEST_WAIT_S = 0.05
ANSWER_FRESH_S = 0.5


class PeerNetwork(Protocol):
    """Send messages to peers, including the own incarnation, and register handlers."""

    async def request(self, incarnation: str, body: Any, timeout_s: float) -> Any:
        """Return the peer's reply; raise PeerUnavailableError without one."""
        ...

    def on(self, body_type: type, handler: Callable[[str, Any], Awaitable[Any]]) -> None:
        """Register the handler of a message type."""
        ...


class Liveness:
    """Probe members and remember when each answered, and with which log position."""

    def __init__(self, peers: PeerNetwork, timers: Timers, timeout_s: float) -> None:
        self._peers = peers
        self._timers = timers
        self._timeout_s = timeout_s
        self._last_answer_s: dict[str, float] = {}
        self._positions: dict[str, int] = {}
        self._with_moves: set[str] = set()
        self._probes = TaskGroup()

    def probe(self, incarnations: Iterable[str]) -> None:
        """Start a probe of each incarnation that has none in flight."""
        for name in incarnations:
            self._last_answer_s.setdefault(name, self._timers.now())
            self._probes.start(name, self._probe(name))

    async def _probe(self, incarnation: str) -> None:
        try:
            reply = await self._peers.request(incarnation, PositionRequest(), self._timeout_s)
        except HyssopwoodError:
            return
        if isinstance(reply, PositionReply):
            self._last_answer_s[incarnation] = self._timers.now()
            self._positions[incarnation] = reply.applied
            self._with_moves.discard(incarnation)
            if reply.has_outage_moves:
                self._with_moves.add(incarnation)

    def silent_s(self, incarnation: str) -> float:
        """Return how long an incarnation has not answered; 0 before its first probe."""
        now = self._timers.now()
        return now - self._last_answer_s.get(incarnation, now)

    def answers(self, incarnation: str) -> bool:
        """Return whether an incarnation has answered lately."""
        answered = incarnation in self._positions
        return answered and self.silent_s(incarnation) < ANSWER_FRESH_S

    def position(self, incarnation: str) -> int:
        """Return the last reported log position, or -1."""
        return self._positions.get(incarnation, -1)

    def keeps_moves(self, incarnation: str) -> bool:
        """Return whether an incarnation keeps moves that the log doesn't have."""
        return incarnation in self._with_moves

    def restart(self) -> None:
        """Count silence from now, after a time in which this process could not listen."""
        now = self._timers.now()
        self._last_answer_s = dict.fromkeys(self._last_answer_s, now)

    def keep(self, incarnations: Iterable[str]) -> None:
        """Forget every other incarnation."""
        kept = set(incarnations)
        for table in (self._last_answer_s, self._positions):
            for name in table.keys() - kept:
                del table[name]

    async def stop(self) -> None:
        """Cancel probes in flight."""
        await self._probes.stop_all()


class Attestations:
    """Collect the voters' attestations that their promises to silent members have ended."""

    def __init__(
        self, peers: PeerNetwork, timers: Timers, timeout_s: float, on_change: Callable[[], None]
    ) -> None:
        self._peers = peers
        self._timers = timers
        self._timeout_s = timeout_s
        self._on_change = on_change
        self._attested: dict[str, set[str]] = {}
        self._waits_s: dict[tuple[str, str], float] = {}
        self._moves: dict[str, dict[str, OutageMove]] = {}
        self._wanted: set[tuple[str, str]] = set()
        self._asks = TaskGroup()

    def collect(self, suspects: Iterable[str], voters: Iterable[str]) -> None:
        """Ask each voter about each suspect until it attests; stop asking about others."""
        wanted = {(s, v) for s in suspects for v in voters if s != v}
        for pair in self._wanted - wanted:
            self._asks.stop(pair)
            self._waits_s.pop(pair, None)
        self._wanted = wanted
        for suspect, voter in wanted:
            if voter not in self._attested.get(suspect, ()):
                self._asks.start((suspect, voter), self._ask_until_attested(suspect, voter))

    async def _ask_until_attested(self, suspect: str, voter: str) -> None:
        while True:
            wait_s = MIN_ATTEST_WAIT_S
            try:
                reply = await self._peers.request(voter, AttestRequest(suspect), self._timeout_s)
            except HyssopwoodError:
                reply = None
            if isinstance(reply, AttestReply):
                if reply.attested:
                    self._attested.setdefault(suspect, set()).add(voter)
                    moves = {move.partition: move for move in reply.outage_moves}
                    self._moves.setdefault(suspect, {}).update(moves)
                    self._on_change()
                    return
                self._waits_s[suspect, voter] = reply.wait_ms / 1000
                wait_s = min(max(wait_s, reply.wait_ms / 1000), MAX_ATTEST_WAIT_S)
                self._on_change()
            await self._timers.sleep(wait_s)

    def attesters(self, suspect: str) -> tuple[str, ...]:
        """Return the voters that attested, in a stable order."""
        return tuple(sorted(self._attested.get(suspect, ())))

    def lapsing(self, suspect: str, within_s: float) -> tuple[str, ...]:
        """Return the voters that attested or whose promise was about to end when last asked."""
        waiting = {
            voter
            for (name, voter), wait_s in self._waits_s.items()
            if name == suspect and wait_s <= within_s
        }
        return tuple(sorted(waiting.union(self._attested.get(suspect, ()))))

    def moves(self, suspect: str) -> tuple[OutageMove, ...]:
        """Return the moves without the log that the attesters keep for a suspect."""
        return tuple(self._moves.get(suspect, {}).values())

    def keep(self, incarnations: Iterable[str]) -> None:
        """Forget every other incarnation. A voter never takes an attestation back."""
        for name in self._attested.keys() - set(incarnations):
            del self._attested[name]
            self._moves.pop(name, None)

    async def stop(self) -> None:
        """Stop asking."""
        self._wanted = set()
        await self._asks.stop_all()
