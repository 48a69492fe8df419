"""Subscriptions to the records that a replica applies."""

from __future__ import annotations

import asyncio
from collections import deque

from hyssopwood.events import Event, emit
from hyssopwood.transitions import Applied

MAX_QUEUED_CHANGES = 10_000


class Changes:
    """Iterate over applied records; an item without a record means that changes were skipped."""

    def __init__(self) -> None:
        self._items: deque[Applied] = deque()
        self._ready = asyncio.Event()

    def __aiter__(self) -> Changes:
        return self

    async def __anext__(self) -> Applied:
        while not self._items:
            self._ready.clear()
            await self._ready.wait()
        return self._items.popleft()

    def put(self, applied: Applied) -> None:
        """Add an item; a reader that fell too far behind gets only the newest state."""
        if len(self._items) >= MAX_QUEUED_CHANGES:
            emit(Event.SUBSCRIBER_BEHIND, queued=len(self._items))
            self._items.clear()
            applied = Applied(applied.state)
        self._items.append(applied)
        self._ready.set()
