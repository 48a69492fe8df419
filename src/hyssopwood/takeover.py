"""Take a server over from its previous coordinators."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from hyssopwood.messages import ServerReleaseQuery, ServerReleaseReply
from hyssopwood.ownership_parts import Parts
from hyssopwood.state import Coordination
from hyssopwood.voting import CLOCK_RATE_MARGIN

ASK_INTERVAL_S = 0.02


class Takeover:
    """Wait until no previous coordinator can act on a server any more.

    A previous coordinator has handed the server over when it says so. One that was fenced or has
    left had no authority when its record was appended, so it sent its last lease and its last
    permit before that and before this instance applied the record.
    """

    def __init__(self, parts: Parts, server: str, epoch: int) -> None:
        self._parts = parts
        self._server = server
        self._epoch = epoch
        self._waits: dict[str, float] = {}
        self._departed = True

    async def run(self) -> float:
        """Return the time from which earlier permits can start no more work."""
        while True:
            current = self._parts.state.coordinations.get(self._server, Coordination("", -1))
            open_ = [name for name in current.previous if name not in self._waits]
            if current.epoch != self._epoch or not open_:
                return self._quiet_at(current)
            await asyncio.gather(*(self._ask(name) for name in open_))
            if any(name not in self._waits for name in open_):
                await self._parts.changed.wait(ASK_INTERVAL_S)

    async def shorter_waits(self) -> AsyncIterator[float]:
        """Yield earlier ends of the permits of those that handed over, as permits return."""
        while not self._departed and self._handed_until() > self._parts.timers.now():
            await self._parts.timers.sleep(ASK_INTERVAL_S)
            await asyncio.gather(*(self._ask(name) for name in self._waits))
            yield self._handed_until()

    def _handed_until(self) -> float:
        return max(self._waits.values(), default=self._parts.timers.now())

    async def _ask(self, previous: str) -> bool:
        timing = self._parts.timing
        query = ServerReleaseQuery(self._server, self._epoch)
        timeout_s = timing.peer_timeout_ms / 1000
        reply = await self._parts.ask(previous, query, ServerReleaseReply, timeout_s)
        if reply is None or not reply.released:
            return False
        wait_s = reply.wait_ms / 1000 * (1 + CLOCK_RATE_MARGIN)
        self._waits[previous] = self._parts.timers.now() + wait_s
        return True

    def _quiet_at(self, current: Coordination) -> float:
        handed = self._handed_until()
        self._departed = not self._waits
        if not self._departed:
            return handed
        # Nobody answered for the last coordinator: it was fenced, has left or never existed.
        now = self._parts.timers.now()
        return max(handed, now + self._parts.timing.max_message_life_ms / 1000)
