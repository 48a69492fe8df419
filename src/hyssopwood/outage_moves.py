"""Moves of a lost server's partitions while the log is down.

The coordinator of a lost server decides alone where its partitions go, because nobody else may
release them. It acts only after a majority of the voters keeps the moves: a fence of the
coordinator needs a majority of attesters, so the fence record carries them into the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, Protocol

from attrs import define, evolve, field
from xxhash import xxh64_intdigest

from hyssopwood.errors import LogError, PeerUnavailableError
from hyssopwood.events import Event, emit
from hyssopwood.messages import (
    Ack,
    Body,
    ErrorReply,
    OutageMove,
    OutageMovesNotice,
    OutageMovesRequest,
)
from hyssopwood.records import OutageMove as RecordedMove
from hyssopwood.records import OutageMovesRecord
from hyssopwood.session import lease_margin_s
from hyssopwood.settings import Timing
from hyssopwood.state import (
    STATUS_DOWN,
    STATUS_UP,
    ClusterState,
    Ownership,
    effective_voters,
    has_quorum,
    partition_service,
)
from hyssopwood.timers import Timers
from hyssopwood.transitions import Applied

CHECK_INTERVAL_S = 0.05
NOTICE_INTERVAL_S = 0.5
# The log counts as down only after this long, so that one failed read starts nothing.
LOG_DOWN_AFTER_S = 0.2
MAX_MOVES_PER_MESSAGE = 2_000
ACTIVE = "active"


class Replica(Protocol):
    """Give the log's state and append to it."""

    @property
    def state(self) -> ClusterState:
        """Return the state that the log's records produce."""
        ...

    @property
    def log_reachable(self) -> bool:
        """Return whether the last read of the log succeeded."""
        ...

    @property
    def incarnation(self) -> str:
        """Return the own incarnation."""
        ...

    def changes(self) -> AsyncIterator[Applied]:
        """Yield after each applied record."""
        ...

    async def append(self, body: Any) -> Applied:
        """Append a record and return after it was read back."""
        ...


class Peers(Protocol):
    """Send messages to other instances and answer theirs."""

    async def request(self, incarnation: str, body: Body, timeout_s: float) -> Body:
        """Return the reply; raise PeerUnavailableError without one."""
        ...

    async def notify(self, incarnation: str, body: Body) -> None:
        """Send a message without a reply; raise PeerUnavailableError without a connection."""
        ...

    def on(self, body_type: type, handler: Any) -> None:
        """Register the handler of one kind of message."""
        ...


class Authority(Protocol):
    """Say whether this instance may act."""

    def held(self) -> bool:
        """Return whether authority is held."""
        ...


def holds_for(state: ClusterState, move: OutageMove) -> bool:
    """Return whether the log's state is still the one that a move was made for."""
    return state.ownerships.get(move.partition) == Ownership(move.source, move.token)


def is_recorded(state: ClusterState, move: OutageMove) -> bool:
    """Return whether the log's state accounts for the target as owner or holder."""
    ownership = state.ownerships.get(move.partition)
    return ownership is None or move.target in (ownership.server, *ownership.awaiting)


def choose_target(state: ClusterState, partition: str, excluded: Iterable[str]) -> str:
    """Return the server that takes over a partition, empty without one.

    Every instance would choose the same one, by rendezvous hashing over the servers in use.
    """
    service = partition_service(partition)
    candidates = [
        name
        for name, server in state.servers.items()
        if server.service == service
        and server.state == ACTIVE
        and name not in state.removed_servers
        and state.server_status.get(name, STATUS_UP) == STATUS_UP
        and name not in excluded
    ]
    ranked = ((xxh64_intdigest(f"{partition} {name}".encode()), name) for name in candidates)
    return max(ranked, default=(0, ""))[1]


@define(eq=False)
class OutageMoves:
    """Make, keep, announce and record moves without the log.

    `state` is the log's state with the moves in force; it replaces the replica for the parts that
    route and coordinate.
    """

    _replica: Replica
    _peers: Peers
    _authority: Authority
    _timers: Timers
    _timing: Timing
    _statuses: Callable[[], tuple[tuple[str, str], ...]]
    _on_change: Callable[[], None]
    _in_force: dict[str, OutageMove] = field(factory=dict, init=False)
    _kept: dict[str, dict[str, OutageMove]] = field(factory=dict, init=False)
    _gone: dict[str, float] = field(factory=dict, init=False)
    _refused: set[str] = field(factory=set, init=False)
    _overlaid: tuple[ClusterState, ClusterState] | None = field(default=None, init=False)
    _down_since: float | None = field(default=None, init=False)
    _notice_at: float = field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._peers.on(OutageMovesRequest, self.on_request)
        self._peers.on(OutageMovesNotice, self.on_notice)

    # The replica as other parts see it

    @property
    def state(self) -> ClusterState:
        """Return the log's state with the moves in force."""
        state = self._replica.state
        if self._overlaid is None or self._overlaid[0] is not state:
            self._overlaid = (state, self._overlay(state))
        return self._overlaid[1]

    @property
    def log_reachable(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return self._replica.log_reachable

    @property
    def incarnation(self) -> str:
        """Return the own incarnation."""
        return self._replica.incarnation

    def changes(self) -> AsyncIterator[Applied]:
        """Yield after each applied record."""
        return self._replica.changes()

    async def append(self, body: Any) -> Applied:
        """Append a record and return after it was read back."""
        return await self._replica.append(body)

    def _overlay(self, state: ClusterState) -> ClusterState:
        moves = [move for move in self._in_force.values() if holds_for(state, move)]
        if not moves:
            return state
        moved = {m.partition: Ownership(m.target, m.token, (m.source,)) for m in moves}
        lost = {move.source: STATUS_DOWN for move in moves}
        return evolve(
            state,
            ownerships={**state.ownerships, **moved},
            server_status={**state.server_status, **lost},
        )

    def unrecorded(self, partition: str, asking_token: int) -> bool:
        """Return whether a partition went elsewhere in a way that the asker can't know yet."""
        move = self._in_force.get(partition)
        state = self._replica.state
        if move is None or is_recorded(state, move):
            return False
        if move.target not in state.servers:
            return self._timers.now() < self._gone_until(move.target)
        return asking_token != move.token

    def _gone_until(self, server: str) -> float:
        """Return when the last lease of a server that a ticket removed has certainly lapsed."""
        lease_s = self._timing.lease_ms / 1000
        lapsed = self._timers.now() + lease_s + lease_margin_s(lease_s, lease_s)
        return self._gone.setdefault(server, lapsed)

    def involves(self, server: str) -> bool:
        """Return whether moves from or to a server are not in the log yet."""
        state = self._replica.state
        return any(
            server in (move.source, move.target) and not is_recorded(state, move)
            for move in self._in_force.values()
        )

    # The voter's side

    async def on_request(self, sender: str, request: OutageMovesRequest) -> Ack | ErrorReply:
        """Keep a coordinator's moves, unless it may be fenced or knows older voters."""
        state = self._replica.state
        if sender in self._refused or sender not in state.members:
            return ErrorReply("the sender may be fenced")
        if request.membership_offset < state.membership_offset:
            return ErrorReply("the sender knows older voters")
        kept = self._kept.setdefault(sender, {})
        kept.update({move.partition: move for move in request.moves})
        return Ack()

    def attested(self, incarnation: str) -> tuple[OutageMove, ...]:
        """Return the moves kept for an incarnation, and keep no more for it."""
        self._refused.add(incarnation)
        state = self._replica.state
        kept = self._kept.get(incarnation, {})
        return tuple(move for move in kept.values() if not is_recorded(state, move))

    def has_unrecorded(self) -> bool:
        """Return whether this instance keeps moves that the log doesn't have."""
        state = self._replica.state
        return any(
            not is_recorded(state, move) for kept in self._kept.values() for move in kept.values()
        )

    async def on_notice(self, _: str, notice: OutageMovesNotice) -> None:
        """Put moves into force that a majority of the voters keeps."""
        state = self._replica.state
        new = [m for m in notice.moves if self._in_force.get(m.partition) != m]
        new = [move for move in new if not is_recorded(state, move)]
        if new:
            self._put_in_force(new)

    # Making and recording moves

    async def run(self) -> None:
        """Move partitions of lost servers while the log is down, record them afterwards."""
        async for now in self._timers.ticks(CHECK_INTERVAL_S):
            self._prune()
            if self._replica.log_reachable:
                self._down_since = None
                await self._record()
                continue
            self._down_since = now if self._down_since is None else self._down_since
            if now - self._down_since >= LOG_DOWN_AFTER_S and self._authority.held():
                await self._move_lost()
            if self._in_force and now >= self._notice_at:
                self._notice_at = now + NOTICE_INTERVAL_S
                await self._announce(tuple(self._own_moves()))

    def _prune(self) -> None:
        state = self._replica.state
        self._in_force = {
            name: move for name, move in self._in_force.items() if not is_recorded(state, move)
        }
        self._refused &= set(state.members)
        for name, kept in list(self._kept.items()):
            left = {key: move for key, move in kept.items() if not is_recorded(state, move)}
            self._kept[name] = left
            if not left:
                del self._kept[name]

    async def _move_lost(self) -> None:
        lost = {server for server, status in self._statuses() if status == STATUS_DOWN}
        moves = tuple(self._needed(lost))[:MAX_MOVES_PER_MESSAGE]
        if not moves or not await self._keep_at_voters(moves):
            return
        # Authority may have ended while the voters answered.
        if not self._authority.held():
            return
        emit(Event.OUTAGE_MOVED, partitions=len(moves), servers=",".join(sorted(lost)))
        self._put_in_force(moves)
        await self._announce(moves)

    def _needed(self, lost: set[str]) -> Iterable[OutageMove]:
        state = self.state
        for partition, ownership in state.ownerships.items():
            if ownership.server not in lost or ownership.awaiting:
                continue
            target = choose_target(state, partition, lost)
            if target:
                yield OutageMove(partition, ownership.server, target, ownership.token)

    async def _keep_at_voters(self, moves: tuple[OutageMove, ...]) -> bool:
        state = self._replica.state
        request = OutageMovesRequest(state.membership_offset, moves)
        voters = effective_voters(state, (*state.voters, *state.pending_voters))
        timeout_s = self._timing.peer_timeout_ms / 1000
        answers = await asyncio.gather(*(self._ask(v, request, timeout_s) for v in set(voters)))
        return has_quorum(state, (voter for voter in answers if voter))

    async def _ask(self, voter: str, request: OutageMovesRequest, timeout_s: float) -> str:
        try:
            reply = await self._peers.request(voter, request, timeout_s)
        except PeerUnavailableError:
            return ""
        return voter if isinstance(reply, Ack) else ""

    def _put_in_force(self, moves: Iterable[OutageMove]) -> None:
        self._in_force |= {move.partition: move for move in moves}
        self._overlaid = None
        self._on_change()

    def _own_moves(self) -> Iterable[OutageMove]:
        """Yield the moves whose source or target this instance coordinates."""
        coordinations = self._replica.state.coordinations
        for move in self._in_force.values():
            for server in (move.source, move.target):
                current = coordinations.get(server)
                if current is not None and current.incarnation == self.incarnation:
                    yield move
                    break

    async def _announce(self, moves: tuple[OutageMove, ...]) -> None:
        notice = OutageMovesNotice(moves)
        members = [name for name in self._replica.state.members if name != self.incarnation]
        await asyncio.gather(*(self._notify(name, notice) for name in members))

    async def _notify(self, incarnation: str, notice: OutageMovesNotice) -> None:
        try:
            await asyncio.wait_for(
                self._peers.notify(incarnation, notice), self._timing.peer_timeout_ms / 1000
            )
        except (PeerUnavailableError, TimeoutError):
            # The notice is repeated until the log has the moves.
            return

    async def _record(self) -> None:
        moves = tuple(self._own_moves())[:MAX_MOVES_PER_MESSAGE]
        if not moves:
            return
        recorded = tuple(
            RecordedMove(partition=m.partition, source=m.source, target=m.target, token=m.token)
            for m in moves
        )
        try:
            await self._replica.append(OutageMovesRecord(moves=recorded))
        except LogError:
            return
