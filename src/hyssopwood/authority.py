"""Authority of an instance: unexpired promises of a majority of the voters."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable

from hyssopwood.errors import AuthorityLostError, PeerUnavailableError
from hyssopwood.events import Event, emit
from hyssopwood.messages import AttestRequest, OutageMove, SupportReply, SupportRequest
from hyssopwood.peers import Peers, StateSource
from hyssopwood.settings import Timing
from hyssopwood.state import ClusterState, effective_voters, has_quorum, is_live
from hyssopwood.timers import Timers
from hyssopwood.voting import CLOCK_RATE_MARGIN, Voter
from hyssopwood.waiting import TaskGroup

# Bounds the requests that wait for a voter that doesn't answer.
MAX_ASKS_PER_VOTER = 4


class Authority:
    """Collect promises from the voters and answer whether they are a majority."""

    def __init__(
        self,
        peers: Peers,
        source: StateSource,
        timers: Timers,
        timing: Timing,
        catch_up: Callable[[str], None] = lambda voter: None,
        moves_of: Callable[[str], tuple[OutageMove, ...]] = lambda incarnation: (),
    ) -> None:
        self._peers = peers
        self._source = source
        self._timers = timers
        self._interval_s = timing.support_interval_ms / 1000
        self._promise_s = timing.promise_ms / 1000
        self._catch_up = catch_up
        self._promises: dict[str, float] = {}
        self._known: tuple[ClusterState, float] | None = None
        self._asks = TaskGroup()
        self._turns = itertools.count()
        self._was_held = False
        self._refusing: set[str] = set()
        self._refused_since: float | None = None
        voter = Voter(peers.incarnation, source, timers, timing, moves_of)
        peers.on(SupportRequest, voter.on_support)
        peers.on(AttestRequest, voter.on_attest)

    def held(self) -> bool:
        """Return whether promises of a majority are unexpired."""
        return self._timers.now() < self.until()

    def until(self) -> float:
        """Return the time at which the present authority ends, -inf without any."""
        state = self._source.state
        if self._known is None or self._known[0] is not state:
            self._known = (state, self._majority_until(state))
        return self._known[1]

    def require(self) -> None:
        """Raise AuthorityLostError unless authority is held."""
        if not self.held():
            raise AuthorityLostError("the promises of a majority of the voters have expired")

    def refused_for_good(self) -> bool:
        """Return whether voters that attested a fence leave no majority any more.

        Their attestations stay in force although the fence itself may never have been written,
        so the instance has to start again as another incarnation. Until it does, the other
        voters keep promising, and the fence can't be completed either.
        """
        since = self._refused_since
        return since is not None and self._timers.now() - since >= self._promise_s

    async def run(self) -> None:
        """Ask every voter for a promise at each interval."""
        try:
            async for _ in self._timers.ticks(self._interval_s):
                self._report_change()
                self._ask_voters()
        finally:
            await self._asks.stop_all()

    def _majority_until(self, state: ClusterState) -> float:
        if not is_live(state, self._peers.incarnation):
            return -math.inf
        for end in sorted(set(self._promises.values()), reverse=True):
            lasting = [voter for voter, until in self._promises.items() if until >= end]
            if has_quorum(state, lasting):
                return end
        return -math.inf

    def _ask_voters(self) -> None:
        state = self._source.state
        voters = set(effective_voters(state, (*state.voters, *state.pending_voters)))
        self._promises = {name: end for name, end in self._promises.items() if name in voters}
        turn = next(self._turns) % MAX_ASKS_PER_VOTER
        for voter in sorted(voters):
            self._asks.start((voter, turn), self._ask(voter))

    async def _ask(self, voter: str) -> None:
        offset = self._source.state.membership_offset
        request = SupportRequest(self._peers.incarnation, offset)
        # The promise counts from before the request was sent, so its delay shortens it.
        sent_at = self._timers.now()
        try:
            reply = await self._peers.request(voter, request, self._promise_s)
        except PeerUnavailableError:
            return
        if not isinstance(reply, SupportReply):
            return
        self._note_refusal(voter, not reply.granted and reply.membership_offset <= offset)
        if reply.granted:
            self._note_promise(voter, sent_at + self._promise_s * (1 - CLOCK_RATE_MARGIN))
        elif reply.membership_offset > offset:
            self._catch_up(voter)

    def _note_refusal(self, voter: str, refused: bool) -> None:
        (self._refusing.add if refused else self._refusing.discard)(voter)
        state = self._source.state
        voters = effective_voters(state, (*state.voters, *state.pending_voters))
        willing = [name for name in voters if name not in self._refusing]
        if self.held() or has_quorum(state, willing):
            self._refused_since = None
        elif self._refused_since is None:
            self._refused_since = self._timers.now()

    def _note_promise(self, voter: str, until: float) -> None:
        self._promises[voter] = max(until, self._promises.get(voter, until))
        self._known = None
        self._report_change()

    def _report_change(self) -> None:
        held = self.held()
        if held != self._was_held:
            emit(Event.AUTHORITY_GAINED if held else Event.AUTHORITY_LOST)
        self._was_held = held
