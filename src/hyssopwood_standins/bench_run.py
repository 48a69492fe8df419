"""Shared by the parts of the benchmark: a running deployment and measures of its records."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, evolve, field, frozen

from hyssopwood_standins import report
from hyssopwood_standins.baseline_deployment import BaselineDeployment, baseline_customer
from hyssopwood_standins.deployment import Customer, Deployment
from hyssopwood_standins.launcher import Launcher
from hyssopwood_standins.recorder import Recorder
from hyssopwood_standins.report import Recordings

READY_LIMIT_S = 20
DRAIN_LIMIT_S = 2.0
MS_PER_S = 1_000
BASELINE = "baseline_"


@frozen
class Window:
    """A period of a run and the keys to measure in it; an empty set means all keys."""

    start: float
    end: float
    keys: frozenset[str] = frozenset()


@define
class Run:
    """A running deployment and the periods of its phases."""

    deployment: Deployment
    directory: Path
    is_baseline: bool = False
    windows: dict[str, list[Window]] = field(factory=dict)
    tickets_ms: list[float] = field(factory=list)

    @property
    def prefix(self) -> str:
        return BASELINE if self.is_baseline else ""

    @property
    def recordings(self) -> Recordings:
        events = report.read_records(self.directory / "events.records.jsonl")
        return self.deployment.recordings(events)

    def add_window(self, phase: str, start: float, *keys: str) -> None:
        """Record that a phase lasted from `start` until now."""
        window = Window(start, time.monotonic(), frozenset(keys))
        self.windows.setdefault(phase, []).append(window)

    async def start(self) -> None:
        """Start every process and publish the first ticket."""
        deployment = self.deployment
        await deployment.start()
        await deployment.until_joined(READY_LIMIT_S)
        self.tickets_ms.append(await deployment.publish(deployment.first_ticket()))
        await deployment.until_ready(deployment.customer.instances, READY_LIMIT_S)

    def violations(self) -> list[str]:
        """Return one line for each violation of a guarantee."""
        ticket_ms = max(self.tickets_ms, default=None)
        return report.violations(report.measures(self.recordings, ticket_ms))


@asynccontextmanager
async def running(
    customer: Customer, directory: Path, baseline: bool, sharing: str = "local"
) -> AsyncIterator[Run]:
    """Yield a run whose processes are stopped at the end of the block."""
    run_directory = directory / ("baseline" if baseline else "product")
    run_directory.mkdir(parents=True, exist_ok=True)
    with Launcher(run_directory, Recorder(run_directory / "events.records.jsonl")) as launcher:
        async with aiohttp.ClientSession() as session:
            if baseline:
                unfenced_customer = baseline_customer(customer)
                deployment: Deployment = BaselineDeployment(
                    unfenced_customer, launcher, run_directory, session, sharing=sharing
                )
            else:
                deployment = Deployment(customer, launcher, run_directory, session)
            run = Run(deployment, run_directory, baseline)
            await run.start()
            yield run
            _stop_entries(launcher, deployment)


def _stop_entries(launcher: Launcher, deployment: Deployment) -> None:
    """Stop the entry instances while the log and the servers still answer them."""
    names = [name for name in deployment.entries if name in launcher.pids]
    for name in names:
        launcher.terminate(name)
    deadline = time.monotonic() + DRAIN_LIMIT_S
    for name in names:
        launcher.wait(name, max(0.0, deadline - time.monotonic()))


def within_window(recordings: Recordings, window: Window) -> Recordings:
    """Return the recordings with only those attempts that overlap a window."""
    kept = [
        item
        for item in recordings.attempts
        if item["t"] < window.end
        and item["done"] > window.start
        and (not window.keys or item["key"] in window.keys)
    ]
    return evolve(recordings, attempts=kept)


def unavailable_ms(recordings: Recordings, windows: list[Window]) -> list[float]:
    """Return the longest unavailability of each key in each window, in ms."""
    durations: list[float] = []
    for window in windows:
        spans = report.unavailable_spans(within_window(recordings, window)).values()
        durations += [(end - start) * MS_PER_S for start, end in spans]
    return durations


def latencies_ms(attempts: list[dict[str, Any]]) -> list[float]:
    """Return the latencies of the answered attempts."""
    return [item["latency_ms"] for item in attempts if item["outcome"] == "answered"]
