"""The entry daemon: builds the supervisor tree, serves callers, shuts down gracefully."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import uvloop
from attrs import define, field

from hyssopwood.backend import BackendClient
from hyssopwood.dispatch import Dispatcher
from hyssopwood.durations import Durations
from hyssopwood.entry import Entry, EntryOptions, Readiness
from hyssopwood.events import Event, emit, set_up_logging
from hyssopwood.incarnation import Incarnation
from hyssopwood.log_client import LogClient
from hyssopwood.metrics import Metrics
from hyssopwood.peers import Peers
from hyssopwood.permit_client import PeerPermits
from hyssopwood.routes import Routes
from hyssopwood.settings import Settings
from hyssopwood.state import ClusterState
from hyssopwood.status import instance_status, set_gauges
from hyssopwood.supervisor import Child, Supervisor
from hyssopwood.timers import SystemTimers

READINESS_INTERVAL_S = 0.1


@define(eq=False)
class Daemon:
    """Run one instance until it is told to stop."""

    settings: Settings
    _timers: SystemTimers = field(factory=SystemTimers, init=False)
    _metrics: Metrics = field(factory=Metrics, init=False)
    _incarnation: Incarnation | None = field(default=None, init=False)
    _lost: asyncio.Event = field(factory=asyncio.Event, init=False)
    _stopping: bool = field(default=False, init=False)
    _was_ready: bool = field(default=False, init=False)
    _log: LogClient = field(init=False)
    _routes: Routes = field(init=False)
    _permits: PeerPermits = field(init=False)
    _backend: BackendClient = field(init=False)
    _durations: Durations = field(init=False)
    _entry: Entry = field(init=False)
    _supervisor: Supervisor = field(init=False)

    def __attrs_post_init__(self) -> None:
        settings, timers = self.settings, self._timers
        self._log = LogClient(
            timers, settings.log_url, settings.stream, settings.timing.log_timeout_ms / 1000
        )
        self._durations = Durations(timers)
        self._routes = Routes(self._state)
        self._permits = PeerPermits(self._peers, self._routes, timers)
        self._backend = BackendClient(timers, settings.timing)
        self._supervisor = Supervisor(settings.instance, timers)
        dispatcher = Dispatcher(
            self._routes,
            self._permits,
            self._backend,
            timers,
            settings.instance,
            durations=self._durations,
        )
        self._entry = Entry(
            settings.http_address,
            dispatcher,
            self._routes.services,
            timers,
            readiness=self.readiness,
            metrics=self._exposition,
            status=self._status,
            observe=self._observe,
            options=EntryOptions(limits=settings.limits),
        )

    async def run(self) -> None:
        """Serve until the first signal, then shut down; a second signal ends the wait."""
        first, second = asyncio.Event(), asyncio.Event()
        _on_signals(lambda: second.set() if first.is_set() else first.set())
        emit(Event.STARTED, instance=self.settings.instance)
        await self._entry.start()
        self._supervisor.start(Child("incarnation", self._keep_incarnation))
        self._supervisor.start(Child("readiness", self._report_readiness))
        await first.wait()
        shutdown = asyncio.create_task(self._shut_down())
        ended = asyncio.create_task(second.wait())
        await asyncio.wait((shutdown, ended), return_when=asyncio.FIRST_COMPLETED)
        shutdown.cancel()
        ended.cancel()
        await asyncio.gather(shutdown, ended, return_exceptions=True)
        await self._close()
        emit(Event.STOPPED, instance=self.settings.instance)

    def readiness(self) -> Readiness:
        """Return whether callers may be sent here, and why not."""
        reasons = tuple(self._reasons())
        return Readiness(not reasons, reasons)

    def _reasons(self) -> list[str]:
        if self._stopping:
            return ["shutting down"]
        incarnation = self._incarnation
        if incarnation is None or incarnation.id not in incarnation.replica.state.members:
            return ["not a member yet"]
        recency = incarnation.replica.recent()
        return [] if recency else [recency.reason]

    async def _keep_incarnation(self) -> None:
        """Run one incarnation after the other; a fenced one is never used again."""
        while True:
            self._lost.clear()
            incarnation = Incarnation(
                self.settings,
                self._timers,
                self._log,
                self._durations,
                self._note_lost,
                self._note_change,
            )
            incarnation.start()
            self._incarnation = incarnation
            try:
                await self._lost.wait()
            finally:
                await incarnation.stop()

    def _note_change(self) -> None:
        self._routes.note_change()
        self._backend.end_moved(self._routes.owns)

    async def _note_lost(self, _: str) -> None:
        self._lost.set()

    async def _shut_down(self) -> None:
        timing = self.settings.timing
        self._stopping = True
        emit(Event.SHUTDOWN_STARTED, instance=self.settings.instance)
        # The load balancer needs this long to see that the instance is no longer ready.
        grace = asyncio.create_task(self._timers.sleep(timing.balancer_grace_ms / 1000))
        if self._incarnation is not None:
            await self._incarnation.depart(timing.drain_limit_ms / 1000)
        await grace
        await self._entry.stop(timing.drain_limit_ms / 1000)
        await self._permits.close()

    async def _close(self) -> None:
        await self._supervisor.stop_all()
        await self._backend.close()
        await self._log.close()

    async def _report_readiness(self) -> None:
        async for _ in self._timers.ticks(READINESS_INTERVAL_S):
            readiness = self.readiness()
            if readiness.ready != self._was_ready:
                self._was_ready = readiness.ready
                event = Event.READY if readiness.ready else Event.NOT_READY
                emit(event, reasons="; ".join(readiness.reasons))

    def _state(self) -> ClusterState:
        return ClusterState() if self._incarnation is None else self._incarnation.outage.state

    def _peers(self) -> Peers | None:
        return None if self._incarnation is None else self._incarnation.peers

    def _observe(self, service: str, outcome: str, seconds: float) -> None:
        self._metrics.observe("request", service, seconds)
        self._metrics.count("requests", f"{service}/{outcome}")

    def _exposition(self) -> bytes:
        if self._incarnation is not None:
            set_gauges(self._metrics, self._incarnation)
        return self._metrics.exposition()

    def _status(self) -> dict[str, Any]:
        return instance_status(
            self.settings, self._incarnation, self.readiness(), self._entry.in_flight, self._metrics
        )


def _on_signals(handler: Any) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handler)


async def _run(settings: Settings) -> None:
    await Daemon(settings).run()


def run_daemon(settings: Settings) -> None:
    """Run the entry daemon until it is told to stop."""
    set_up_logging(settings.log_level, settings.log_json)
    uvloop.run(_run(settings))
