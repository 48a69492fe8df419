"""Permits from the coordinators, over the connections between instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, evolve, field

from hyssopwood.errors import PeerUnavailableError
from hyssopwood.messages import ErrorReply, PermitCancel, PermitReply, PermitRequest, PermitReturn
from hyssopwood.outcomes import Reason
from hyssopwood.peers import Peers
from hyssopwood.routes import Routes
from hyssopwood.timers import Timers

# A queued request is answered by its deadline; the reply still has to travel.
REPLY_GRACE_S = 0.05
RETURN_ATTEMPTS = 3
RETURN_RETRY_S = 0.05


@define(eq=False)
class PeerPermits:
    """Ask for permits, and return them in the background."""

    _peers: Callable[[], Peers | None]
    _routes: Routes
    _timers: Timers
    _tasks: set[asyncio.Task[None]] = field(factory=set, init=False)

    async def request(self, permit: PermitRequest, coordinator: str) -> PermitReply:
        """Return the reply; raise PeerUnavailableError without one."""
        peers = self._peers()
        if peers is None:
            raise PeerUnavailableError("this instance is not a member at present")
        timeout_s = permit.deadline_ms / 1000 + REPLY_GRACE_S
        # The coordinator may have read less of the log than the route that led to it.
        permit = evolve(permit, position=self._routes.position)
        reply = await peers.request(coordinator, permit, timeout_s)
        if isinstance(reply, ErrorReply):
            raise PeerUnavailableError(reply.reason)
        if not isinstance(reply, PermitReply):
            raise PeerUnavailableError(f"unexpected {type(reply).__name__} from {coordinator}")
        if reply.reason == Reason.MOVED.value:
            self._routes.note_moved(permit.service, permit.key)
        return reply

    def give_back(self, permit: PermitReturn, coordinator: str) -> None:
        """Return a permit without waiting."""
        self._start(self._notify(coordinator, permit))

    def cancel(self, cancel: PermitCancel, coordinator: str) -> None:
        """Withdraw a request that may still be queued, without waiting."""
        self._start(self._notify(coordinator, cancel))

    async def close(self) -> None:
        """Wait for returns that are on their way."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _notify(self, coordinator: str, body: PermitReturn | PermitCancel) -> None:
        """Send a message; the coordinator's own bounds cover one that is lost."""
        for _ in range(RETURN_ATTEMPTS):
            peers = self._peers()
            if peers is not None:
                try:
                    await peers.notify(coordinator, body)
                    return
                except PeerUnavailableError:
                    pass
            await self._timers.sleep(RETURN_RETRY_S)
