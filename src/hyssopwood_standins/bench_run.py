"""What the parts of the benchmark share: a running deployment and measures of its records."""

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
    """A time of a run, with the keys that a measure concerns; no keys stand for all."""

    start: float
    end: float
    keys: frozenset[str] = frozenset()


@define
class Run:
    """A deployment with the times of the phases that it went through."""

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
        """Note that a phase lasted from `start` until now."""
        window = Window(start, time.monotonic(), frozenset(keys))
        self.windows.setdefault(phase, []).append(window)

    async def bring_up(self) -> None:
        """Start every process and publish the first ticket."""
        deployment = self.deployment
        await deployment.start()
        await deployment.until_joined(READY_LIMIT_S)
        self.tickets_ms.append(await deployment.publish(deployment.first_ticket()))
        await deployment.until_ready(deployment.customer.instances, READY_LIMIT_S)

    def violations(self) -> list[str]:
        """Return what contradicts a guarantee."""
        ticket_ms = max(self.tickets_ms, default=None)
        return report.violations(report.measures(self.recordings, ticket_ms))


@asynccontextmanager
async def running(
    customer: Customer, directory: Path, baseline: bool, sharing: str = "local"
) -> AsyncIterator[Run]:
    """Yield a run whose processes end with the block."""
    own = directory / ("baseline" if baseline else "product")
    own.mkdir(parents=True, exist_ok=True)
    with Launcher(own, Recorder(own / "events.records.jsonl")) as launcher:
        async with aiohttp.ClientSession() as session:
            if baseline:
                shape = baseline_customer(customer)
                deployment: Deployment = BaselineDeployment(
                    shape, launcher, own, session, sharing=sharing
                )
            else:
                deployment = Deployment(customer, launcher, own, session)
            run = Run(deployment, own, baseline)
            await run.bring_up()
            yield run
            _stop_entries(launcher, deployment)


def _stop_entries(launcher: Launcher, deployment: Deployment) -> None:
    """Stop the entries while the log and the servers still answer them."""
    names = [name for name in deployment.entries if name in launcher.pids]
    for name in names:
        launcher.terminate(name)
    limit = time.monotonic() + DRAIN_LIMIT_S
    for name in names:
        launcher.wait(name, max(0.0, limit - time.monotonic()))


def attempts_in(recordings: Recordings, window: Window) -> Recordings:
    """Return the recordings with only the attempts that overlap a window."""
    kept = [
        item
        for item in recordings.attempts
        if item["t"] < window.end
        and item["done"] > window.start
        and (not window.keys or item["key"] in window.keys)
    ]
    return evolve(recordings, attempts=kept)


def unavailable_ms(recordings: Recordings, windows: list[Window]) -> list[float]:
    """Return for each key and window the longest time without service, in ms."""
    found: list[float] = []
    for window in windows:
        spans = report.unavailable_spans(attempts_in(recordings, window)).values()
        found += [(end - start) * MS_PER_S for start, end in spans]
    return found


def latencies_ms(attempts: list[dict[str, Any]]) -> list[float]:
    """Return the latencies of the answered attempts."""
    return [item["latency_ms"] for item in attempts if item["outcome"] == "answered"]
