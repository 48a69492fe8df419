"""The voter's side of authority: promises given and fences attested."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hyssopwood.events import Event, emit
from hyssopwood.messages import (
    AttestReply,
    AttestRequest,
    OutageMove,
    SupportReply,
    SupportRequest,
)
from hyssopwood.peers import StateSource
from hyssopwood.settings import Timing
from hyssopwood.state import ClusterState, is_live
from hyssopwood.timers import Timers

# Two monotonic clocks differ by at most this share of the measured time.
CLOCK_RATE_MARGIN = 0.01


@define
class _SeenVoters:
    voters: tuple[str, ...] = ()
    since: float = field(default=0.0)


class Voter:
    """Give promises to live incarnations and attest that promises have ended.

    The promises live in memory only. That is safe because a restarted process is another
    incarnation, which counts as a voter only after a change of the voters, and because nobody
    attests until a whole promise has passed since it saw the voters change: by then the promises
    that other voters gave under the older voters have ended too.
    """

    def __init__(
        self,
        incarnation: str,
        source: StateSource,
        timers: Timers,
        timing: Timing,
        moves_of: Callable[[str], tuple[OutageMove, ...]] = lambda incarnation: (),
    ) -> None:
        self._incarnation = incarnation
        self._source = source
        self._timers = timers
        self._moves_of = moves_of
        self._promise_s = timing.promise_ms / 1000
        self._promised: dict[str, float] = {}
        self._attested: set[str] = set()
        self._seen = _SeenVoters(since=timers.now())

    async def on_support(self, sender: str, request: SupportRequest) -> SupportReply:
        """Give a promise, or refuse it."""
        state = self._source.state
        self._watch_voters(state)
        granted = sender == request.incarnation and self._may_promise(state, request)
        if granted:
            self._promised[sender] = self._timers.now() + self._promise_s
        return SupportReply(granted, state.membership_offset, state.applied)

    async def on_attest(self, sender: str, request: AttestRequest) -> AttestReply:
        """Attest that no promise to an incarnation is left, or say how long one lasts."""
        state = self._source.state
        self._watch_voters(state)
        wait_s = self._promised_until(request.incarnation) - self._timers.now()
        if wait_s > 0:
            return AttestReply(False, int(wait_s * 1000) + 1)
        if request.incarnation not in self._attested:
            emit(Event.FENCE_ATTESTED, incarnation=request.incarnation, asked_by=sender)
        self._attested.add(request.incarnation)
        self._forget(state)
        return AttestReply(True, 0, self._moves_of(request.incarnation))

    def _may_promise(self, state: ClusterState, request: SupportRequest) -> bool:
        if not is_live(state, self._incarnation):
            return False
        if request.incarnation in self._attested or request.incarnation in state.fenced:
            return False
        return request.membership_offset >= state.membership_offset

    def _promised_until(self, incarnation: str) -> float:
        older_promises = self._seen.since + self._promise_s * (1 + CLOCK_RATE_MARGIN)
        return max(self._promised.get(incarnation, older_promises), older_promises)

    def _watch_voters(self, state: ClusterState) -> None:
        if state.voters != self._seen.voters:
            self._seen = _SeenVoters(state.voters, self._timers.now())

    def _forget(self, state: ClusterState) -> None:
        """Drop what can't matter again: ended promises, and attestations of fenced instances."""
        now = self._timers.now()
        self._promised = {name: until for name, until in self._promised.items() if until > now}
        self._attested = {name for name in self._attested if name not in state.fenced}
