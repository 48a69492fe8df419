"""Limits on the waits of tasks, enforced by one periodic check."""

from __future__ import annotations

import asyncio
from types import TracebackType

from hyssopwood.errors import HyssopwoodError
from hyssopwood.timers import Timers

# One check for all waits costs less CPU than a timer per request.
CHECK_INTERVAL_S = 0.01
IDLE_CHECKS = 100


class WaitExpiredError(HyssopwoodError):
    """Raised when a wait was ended by its limit."""

    exit_code = 6


class WaitLimit:
    """Context that ends the waits of the current task at a deadline or on demand."""

    __slots__ = ("_limiter", "_until", "_task", "_expired")

    def __init__(self, limiter: WaitLimits, until: float) -> None:
        self._limiter = limiter
        self._until = until
        self._task: asyncio.Task[object] | None = None
        self._expired = False

    @property
    def until(self) -> float:
        return self._until

    def __enter__(self) -> WaitLimit:
        self._task = asyncio.current_task()
        self._limiter._add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._limiter._remove(self)
        if not self._expired or self._task is None:
            return
        # A cancellation from elsewhere takes precedence over the deadline.
        if self._task.uncancel() == 0 and kind is asyncio.CancelledError:
            raise WaitExpiredError("the wait has ended") from error

    def expire(self) -> None:
        """Interrupt the task once."""
        if not self._expired and self._task is not None:
            self._expired = True
            self._task.cancel()


class WaitLimits:
    """Interrupt tasks whose deadline has passed."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._limits: set[WaitLimit] = set()
        self._checker: asyncio.Task[None] | None = None

    def limit(self, until: float) -> WaitLimit:
        """Return a context that raises WaitExpiredError at `until`."""
        return WaitLimit(self, until)

    def _add(self, limit: WaitLimit) -> None:
        self._limits.add(limit)
        if self._checker is None or self._checker.done():
            self._checker = asyncio.get_running_loop().create_task(self._check())

    def _remove(self, limit: WaitLimit) -> None:
        self._limits.discard(limit)

    async def _check(self) -> None:
        """Run while tasks wait, and a little longer to spare restarts."""
        idle = 0
        while idle < IDLE_CHECKS:
            await self._timers.sleep(CHECK_INTERVAL_S)
            now = self._timers.now()
            idle = 0 if self._limits else idle + 1
            for limit in [limit for limit in self._limits if limit.until <= now]:
                limit.expire()
