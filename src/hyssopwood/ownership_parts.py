"""What the ownership modules need from the other parts of an instance."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

from attrs import define, field

from hyssopwood.control_channel import ControlChannel
from hyssopwood.errors import PeerUnavailableError
from hyssopwood.messages import Body, PermitReply, PermitRequest, PermitReturn
from hyssopwood.ownership_index import OwnershipIndex
from hyssopwood.settings import Timing
from hyssopwood.state import ClusterState
from hyssopwood.timers import Timers
from hyssopwood.usage_meter import KeyCounter, NoKeyCounter
from hyssopwood.waiting import WaitTimeoutError, within


class ReplicaPort(Protocol):
    """Give the state in force and append records to the log."""

    @property
    def state(self) -> ClusterState:
        """Return the state in force."""
        ...

    def changes(self) -> AsyncIterator[Any]:
        """Yield after each applied record."""
        ...

    async def append(self, body: Any) -> Any:
        """Append a record and return after it was read back; raise a LogError kind."""
        ...


class PeersPort(Protocol):
    """Send messages to other instances and answer theirs."""

    @property
    def incarnation(self) -> str:
        """Return the own incarnation."""
        ...

    async def request(self, incarnation: str, body: Body, timeout_s: float) -> Body:
        """Return the reply; raise PeerUnavailableError without one."""
        ...

    def on(self, body_type: type, handler: Any) -> None:
        """Register the handler of one kind of message."""
        ...

    def on_lost(self, listener: Callable[[str], None]) -> None:
        """Register a listener for incarnations whose connection has ended."""
        ...


class AuthorityPort(Protocol):
    """Say whether this instance may act."""

    def held(self) -> bool:
        """Return whether authority is held."""
        ...

    def until(self) -> float:
        """Return when the present authority ends."""
        ...

    def require(self) -> None:
        """Raise AuthorityLostError unless authority is held."""
        ...


class AdmissionPort(Protocol):
    """Queue and slots of one server; `hyssopwood.admission.Admission` in the product."""

    async def acquire(self, request: Any) -> Any:
        """Return an AdmittedSlot or a Refused."""
        ...

    def release(self, slot: Any, duration_s: float, completed: bool) -> None:
        """Return a slot."""
        ...

    def cancel(self, request_id: str) -> bool:
        """Withdraw a queued request."""
        ...

    def set_slots(self, slots: int) -> None:
        """Change the number of slots."""
        ...

    def set_shedding(self, until: float) -> None:
        """Start nothing before `until`."""
        ...

    def set_cold(self, warm_up_s: float) -> None:
        """Give a server that just started its slots gradually."""
        ...


class PermitHooks(Protocol):
    """Idempotency records and poison suspects, consulted for each permit."""

    async def before(self, server: str, request: PermitRequest) -> PermitReply | None:
        """Return a refusal or a stored response, None after recording the key."""
        ...

    def not_issued(self, server: str, request: PermitRequest) -> None:
        """Note that the request got no permit or was proved not to have run."""
        ...

    def returned(self, server: str, request: PermitRequest, outcome: PermitReturn) -> None:
        """Note the outcome of a request."""
        ...

    def crashed(self, server: str, running: tuple[PermitRequest, ...]) -> None:
        """Note the requests that may have run when a server crashed."""
        ...

    def taken_over(self, server: str, epoch: int) -> None:
        """Note that this instance now coordinates a server."""
        ...

    async def before_release(self, partition: str, server: str, asker: str) -> bool:
        """Pass on what the next owner's coordinator must know; return whether it arrived."""
        ...

    async def before_hand_over(self, server: str, asker: str) -> bool:
        """Pass on what a server's next coordinator must know; return whether it arrived."""
        ...


class NoHooks:
    """Let every request pass."""

    async def before(self, server: str, request: PermitRequest) -> PermitReply | None:
        """Return None."""
        return None

    def not_issued(self, server: str, request: PermitRequest) -> None:
        """Do nothing."""

    def returned(self, server: str, request: PermitRequest, outcome: PermitReturn) -> None:
        """Do nothing."""

    def crashed(self, server: str, running: tuple[PermitRequest, ...]) -> None:
        """Do nothing."""

    def taken_over(self, server: str, epoch: int) -> None:
        """Do nothing."""

    async def before_release(self, partition: str, server: str, asker: str) -> bool:
        """Return True."""
        return True

    async def before_hand_over(self, server: str, asker: str) -> bool:
        """Return True."""
        return True


@define(eq=False)
class Broadcast:
    """Wake every task that waits for a change."""

    timers: Timers
    _waiting: asyncio.Event = field(factory=asyncio.Event)

    def set(self) -> None:
        """Wake all waiting tasks."""
        waiting, self._waiting = self._waiting, asyncio.Event()
        waiting.set()

    async def wait(self, seconds: float) -> None:
        """Return at the next change or after `seconds`."""
        try:
            await within(self.timers, seconds, self._waiting.wait())
        except WaitTimeoutError:
            return


@define(eq=False)
class Parts:
    """Parts of the instance that all coordinators share."""

    replica: ReplicaPort
    peers: PeersPort
    authority: AuthorityPort
    timers: Timers
    timing: Timing
    make_channel: Callable[[str], ControlChannel]
    make_admission: Callable[[str, int, int], AdmissionPort]
    hooks: PermitHooks = field(factory=NoHooks)
    make_key_counter: Callable[[], KeyCounter] = NoKeyCounter
    # Tells whether a partition moved without the log in a way that the asker can't know.
    unrecorded: Callable[[str, int], bool] = lambda partition, token: False
    # Tells whether moves from or to a server are not in the log yet.
    moved_without_log: Callable[[str], bool] = lambda server: False
    changed: Broadcast = field(init=False)
    _index: OwnershipIndex | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.changed = Broadcast(self.timers)

    @property
    def state(self) -> ClusterState:
        """Return the state in force."""
        return self.replica.state

    @property
    def incarnation(self) -> str:
        """Return the own incarnation."""
        return self.peers.incarnation

    @property
    def index(self) -> OwnershipIndex:
        """Return the index of the state in force."""
        ownerships = self.replica.state.ownerships
        if self._index is None or self._index.ownerships is not ownerships:
            self._index = OwnershipIndex.of(ownerships)
        return self._index

    async def ask(self, incarnation: str, body: Body, kind: type, timeout_s: float) -> Any:
        """Return the peer's reply of the expected kind, None without one."""
        try:
            reply = await self.peers.request(incarnation, body, timeout_s)
        except PeerUnavailableError:
            return None
        return reply if isinstance(reply, kind) else None
