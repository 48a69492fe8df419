"""Time limits on awaitables, measured by the timer service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from hyssopwood.timers import Timers

T = TypeVar("T")


async def within(timers: Timers, seconds: float, awaitable: Awaitable[T]) -> T:
    """Await for at most `seconds`; cancel the awaitable and raise TimeoutError after that."""
    work = asyncio.ensure_future(awaitable)
    alarm = asyncio.ensure_future(timers.sleep(seconds))
    try:
        await asyncio.wait({work, alarm}, return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            return work.result()
        raise TimeoutError
    finally:
        # Waiting for the cancelled work closes its connection before the caller goes on.
        work.cancel()
        alarm.cancel()
        await asyncio.gather(work, alarm, return_exceptions=True)
