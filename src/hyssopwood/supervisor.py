"""Supervisor tree that restarts failed tasks and stops them in reverse order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.timers import Timers

INITIAL_RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 5.0
# A child that ran this long counts as healthy, which resets its restart delay.
HEALTHY_AFTER_S = 10.0


@frozen
class Child:
    """Describe a child: its name and the coroutine function that runs until cancelled."""

    name: str
    run: Callable[[], Awaitable[None]]


@define
class Supervisor:
    """Run children as tasks and restart those that fail; supervisors can be nested."""

    _name: str
    _timers: Timers
    _tasks: dict[str, asyncio.Task[None]] = field(factory=dict, init=False)
    _restart_counts: dict[str, int] = field(factory=dict, init=False)

    @property
    def restarts(self) -> dict[str, int]:
        """Return how often each child was restarted."""
        return dict(self._restart_counts)

    def start(self, child: Child) -> None:
        """Start a child and restart it whenever it fails."""
        if child.name in self._tasks:
            raise ValueError(f"{self._name} already has a child named {child.name!r}")
        task = asyncio.create_task(self._keep_running(child), name=f"{self._name}/{child.name}")
        self._tasks[child.name] = task

    async def stop(self, name: str) -> None:
        """Cancel one child and wait until it has ended."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop_all(self) -> None:
        """Stop all children in reverse order of their start."""
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
        delay_s = INITIAL_RESTART_DELAY_S
        while True:
            started_at = self._timers.now()
            try:
                await child.run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if self._timers.now() - started_at >= HEALTHY_AFTER_S:
                    delay_s = INITIAL_RESTART_DELAY_S
                self._report_failure(child, error, delay_s)
            await self._timers.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RESTART_DELAY_S)

    def _report_failure(self, child: Child, error: Exception, delay_s: float) -> None:
        self._restart_counts[child.name] = self._restart_counts.get(child.name, 0) + 1
        emit(
            Event.TASK_FAILED,
            task=f"{self._name}/{child.name}",
            error=f"{type(error).__name__}: {error}",
            restart_in_s=delay_s,
        )
