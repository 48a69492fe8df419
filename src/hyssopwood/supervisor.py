"""Supervisor tree: restarts failed children and stops them in reverse order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.timers import Timers

FIRST_RESTART_DELAY_S = 0.05
LONGEST_RESTART_DELAY_S = 5.0
# A child that ran this long is healthy again, so its restart delay starts over.
HEALTHY_AFTER_S = 10.0


@frozen
class Child:
    """Name a child and the coroutine function that runs it until cancelled."""

    name: str
    run: Callable[[], Awaitable[None]]


@define
class Supervisor:
    """Run children as tasks; a supervisor can itself be a child."""

    _name: str
    _timers: Timers
    _tasks: dict[str, asyncio.Task[None]] = field(factory=dict, init=False)
    _restarts: dict[str, int] = field(factory=dict, init=False)

    @property
    def restarts(self) -> dict[str, int]:
        """Return how often each child was restarted."""
        return dict(self._restarts)

    def start(self, child: Child) -> None:
        """Start a child and keep it running."""
        if child.name in self._tasks:
            raise ValueError(f"{self._name} already has a child named {child.name!r}")
        task = asyncio.create_task(self._keep_running(child), name=f"{self._name}/{child.name}")
        self._tasks[child.name] = task

    async def stop(self, name: str) -> None:
        """Stop one child and wait until it has ended."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop_all(self) -> None:
        """Stop every child, the last started first."""
        for name in reversed(list(self._tasks)):
            await self.stop(name)

    async def run(self, children: tuple[Child, ...]) -> None:
        """Run children until cancelled, as a child of another supervisor."""
        for child in children:
            self.start(child)
        try:
            await asyncio.Event().wait()
        finally:
            await self.stop_all()

    async def _keep_running(self, child: Child) -> None:
        delay_s = FIRST_RESTART_DELAY_S
        while True:
            started = self._timers.now()
            try:
                await child.run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if self._timers.now() - started >= HEALTHY_AFTER_S:
                    delay_s = FIRST_RESTART_DELAY_S
                self._note_failure(child, error, delay_s)
            await self._timers.sleep(delay_s)
            delay_s = min(delay_s * 2, LONGEST_RESTART_DELAY_S)

    def _note_failure(self, child: Child, error: Exception, delay_s: float) -> None:
        self._restarts[child.name] = self._restarts.get(child.name, 0) + 1
        emit(
            Event.TASK_FAILED,
            task=f"{self._name}/{child.name}",
            error=f"{type(error).__name__}: {error}",
            restart_in_s=delay_s,
        )
