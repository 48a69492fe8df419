"""Waits that are bounded by the timer service."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Coroutine
from types import TracebackType
from typing import Any, TypeVar

from hyssopwood.events import Event, emit
from hyssopwood.timers import Timers

T = TypeVar("T")


class WaitTimeoutError(Exception):
    """Raised when a bounded wait ends without its result."""


async def within(timers: Timers, seconds: float, awaitable: Awaitable[T]) -> T:
    """Return the awaitable's result; cancel it and raise WaitTimeoutError when it is late.

    The awaitable runs in the caller's task, because a task for each wait would cost more than
    most of the waits themselves.
    """
    with _Limit(timers, seconds):
        return await awaitable


class _Limit:
    """Interrupt the current task after a time, unless the block has ended by then."""

    __slots__ = ("_timers", "_seconds", "_task", "_handle", "_cancelling", "_expired")

    def __init__(self, timers: Timers, seconds: float) -> None:
        self._timers = timers
        self._seconds = seconds
        self._expired = False

    def __enter__(self) -> None:
        self._task = asyncio.current_task()
        self._cancelling = 0 if self._task is None else self._task.cancelling()
        self._handle = self._timers.call_later(self._seconds, self._expire)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._handle.cancel()
        if not self._expired or self._task is None:
            return
        # A cancellation from elsewhere takes precedence over the limit.
        if self._task.uncancel() <= self._cancelling and kind is asyncio.CancelledError:
            raise WaitTimeoutError from error

    def _expire(self) -> None:
        self._expired = True
        if self._task is not None:
            self._task.cancel()


class Signal:
    """Wake one waiting task; a signal that comes before the wait is kept."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake the waiting task."""
        self._event.set()

    async def wait(self, seconds: float) -> None:
        """Return at the next signal or after `seconds`."""
        with contextlib.suppress(WaitTimeoutError):
            await within(self._timers, seconds, self._event.wait())
        self._event.clear()


class TaskGroup:
    """Hold background tasks by name so that they can be ended together."""

    def __init__(self) -> None:
        self._tasks: dict[object, asyncio.Task[Any]] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._tasks

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, name: object, work: Coroutine[Any, Any, Any]) -> None:
        """Start a task unless one of that name still runs."""
        if name in self._tasks:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._forget(name, done))

    def stop(self, name: object) -> None:
        """Cancel the named task."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def stop_all(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, name: object, task: asyncio.Task[Any]) -> None:
        if self._tasks.get(name) is task:
            del self._tasks[name]
        error = None if task.cancelled() else task.exception()
        if error is not None:
            emit(Event.TASK_FAILED, task=name, error=repr(error))
