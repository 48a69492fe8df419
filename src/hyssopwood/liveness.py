"""Answers of members to probes, and attestations of the voters for silent ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from hyssopwood.errors import HyssopwoodError
from hyssopwood.messages import AttestReply, AttestRequest, PositionReply, PositionRequest
from hyssopwood.timers import Timers

MIN_ATTEST_WAIT_S = 0.01


class PeerNetwork(Protocol):
    """Send messages to peers and register handlers."""

    async def request(self, incarnation: str, body: Any, timeout_s: float) -> Any:
        """Return the peer's reply; raise PeerUnavailableError without one."""
        ...

    def on(self, body_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Register the handler of a message type."""
        ...


class Liveness:
    """Probe members and remember when each answered, and with which log position."""

    def __init__(self, peers: PeerNetwork, timers: Timers, probe_timeout_s: float) -> None:
        self._peers = peers
        self._timers = timers
        self._probe_timeout_s = probe_timeout_s
        self._last_answer_s: dict[str, float] = {}
        self._positions: dict[str, int] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}

    def probe(self, incarnations: Iterable[str]) -> None:
        """Start a probe of each incarnation that has none in flight."""
        for name in incarnations:
            self._last_answer_s.setdefault(name, self._timers.now())
            if name not in self._probes:
                self._probes[name] = asyncio.create_task(self._probe(name))

    async def _probe(self, incarnation: str) -> None:
        try:
            reply = await self._peers.request(incarnation, PositionRequest(), self._probe_timeout_s)
        except HyssopwoodError:
            return
        finally:
            del self._probes[incarnation]
        if isinstance(reply, PositionReply):
            self._last_answer_s[incarnation] = self._timers.now()
            self._positions[incarnation] = reply.applied

    def silent_s(self, incarnation: str) -> float:
        """Return how long an incarnation has not answered; 0 before its first probe."""
        now = self._timers.now()
        return now - self._last_answer_s.get(incarnation, now)

    def position(self, incarnation: str) -> int:
        """Return the last reported log position, or -1."""
        return self._positions.get(incarnation, -1)

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

    def stop(self) -> None:
        """Cancel probes in flight."""
        for task in tuple(self._probes.values()):
            task.cancel()


class Attestations:
    """Collect the voters' attestations that they no longer support a silent incarnation."""

    def __init__(
        self,
        ask: Callable[[str, AttestRequest], Any],
        timers: Timers,
        on_attested: Callable[[], None],
    ) -> None:
        self._ask = ask
        self._timers = timers
        self._on_attested = on_attested
        self._attested: dict[str, set[str]] = {}
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}

    def collect(self, suspects: Iterable[str], voters: Iterable[str]) -> None:
        """Ask each voter about each suspect until it attests; stop asking about others."""
        wanted = {(s, v) for s in suspects for v in voters if s != v}
        for pair in self._tasks.keys() - wanted:
            self._tasks.pop(pair).cancel()
        for suspect, voter in wanted:
            done = voter in self._attested.get(suspect, ())
            if not done and (suspect, voter) not in self._tasks:
                task = asyncio.create_task(self._ask_until_attested(suspect, voter))
                self._tasks[suspect, voter] = task

    async def _ask_until_attested(self, suspect: str, voter: str) -> None:
        while True:
            wait_s = MIN_ATTEST_WAIT_S
            try:
                reply = await self._ask(voter, AttestRequest(suspect))
            except HyssopwoodError:
                reply = None
            if isinstance(reply, AttestReply):
                if reply.attested:
                    self._attested.setdefault(suspect, set()).add(voter)
                    self._tasks.pop((suspect, voter), None)
                    self._on_attested()
                    return
                wait_s = max(wait_s, reply.wait_ms / 1000)
            await self._timers.sleep(wait_s)

    def attesters(self, suspect: str) -> tuple[str, ...]:
        """Return the voters that attested, in a stable order."""
        return tuple(sorted(self._attested.get(suspect, ())))

    def forget(self, suspect: str) -> None:
        """Drop what was collected about an incarnation."""
        self._attested.pop(suspect, None)

    def stop(self) -> None:
        """Stop asking."""
        self.collect((), ())
