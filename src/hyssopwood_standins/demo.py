"""Run two small deployments, inject faults and check the guarantees."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, field
from loguru import logger

from hyssopwood_standins import report, web_process
from hyssopwood_standins.deployment import BELLTONE, BERIDZE, Deployment
from hyssopwood_standins.launcher import Launcher
from hyssopwood_standins.recorder import Recorder

OUTPUT = Path("out/demo.json")
# Leaves the launcher enough time to stop every process within 60 s in all.
TIME_LIMIT_S = 52
READY_LIMIT_S = 15
TRAFFIC_S = 32.0
RATE_PER_S = 60.0
HOT_RATE_PER_S = 60.0
HOT_KEY = "hot-key"
# The last instances have no other to hand over to; the launcher's second SIGTERM ends their wait.
DRAIN_LIMIT_S = 2.0
FREEZE_S = 1.5
REPLACE_AFTER_S = 1.0
OUTAGE_S = 2.0
# Time for the last leases and releases to appear in the servers' records.
SETTLE_S = 0.5


@define
class _Scenario:
    """The sequence of faults of one deployment; times are seconds since its traffic started."""

    deployment: Deployment
    started: float = 0.0
    tickets_ms: list[float] = field(factory=list)

    async def run(self) -> None:
        await self._start_deployment()
        self._start_traffic()
        await self._kill_server(6)
        await self._freeze_server(10)
        await self._restart_server(14)
        await self._replace_entry(17)
        await self._make_log_unavailable(21)
        await self._move_hot_key(24)
        await self._stop_entry(27)
        await self.deployment.until_callers_end(TRAFFIC_S)
        await asyncio.sleep(SETTLE_S)

    async def _start_deployment(self) -> None:
        deployment = self.deployment
        await deployment.start()
        await deployment.until_joined(READY_LIMIT_S)
        self.tickets_ms.append(await deployment.publish(deployment.first_ticket()))
        await deployment.until_ready(len(deployment.customer.failure_domains), READY_LIMIT_S)

    def _start_traffic(self) -> None:
        self.started = time.monotonic()
        stragglers = ("--straggler-share", "0.005", "--straggler-ms", "300")
        keyless = ("--keyless-share", "0.2")
        self.deployment.start_caller(TRAFFIC_S, RATE_PER_S, *stragglers, *keyless)
        hot = ("--keys", "1", "--hot-key", f"{self.hot_key()}:1.0:0:{TRAFFIC_S}")
        self.deployment.start_caller(TRAFFIC_S, HOT_RATE_PER_S, *hot)

    def hot_key(self) -> str:
        return f"{self.deployment.customer.service}-{HOT_KEY}"

    async def _wait_until(self, second: float, event: str) -> None:
        await asyncio.sleep(max(0.0, self.started + second - time.monotonic()))
        logger.info("{}: {}", self.deployment.customer.name, event)

    async def _kill_server(self, second: float) -> None:
        await self._wait_until(second, "a backend server is killed")
        self.deployment.launcher.kill(self.deployment.server_name(1))

    async def _freeze_server(self, second: float) -> None:
        name = self.deployment.server_name(2)
        await self._wait_until(second, "a backend server is frozen")
        self.deployment.launcher.freeze(name)
        try:
            await asyncio.sleep(FREEZE_S)
        finally:
            self.deployment.launcher.resume(name)

    async def _restart_server(self, second: float) -> None:
        await self._wait_until(second, "the killed backend server is restarted")
        self.deployment.start_server(1)

    async def _replace_entry(self, second: float) -> None:
        name = self.deployment.entry_name(1)
        await self._wait_until(second, "an entry instance is killed and replaced")
        self.deployment.launcher.kill(name)
        await asyncio.sleep(REPLACE_AFTER_S)
        await self.deployment.unlist_entry(name)
        await self.deployment.start_entry(len(self.deployment.customer.failure_domains) + 1)

    async def _make_log_unavailable(self, second: float) -> None:
        await self._wait_until(second, "the log is unavailable")
        deployment = self.deployment
        await deployment.control(deployment.platform_address, outage=True)
        await asyncio.sleep(OUTAGE_S)
        await deployment.control(deployment.platform_address, outage=False)

    async def _move_hot_key(self, second: float) -> None:
        await self._wait_until(second, "a second ticket moves the hot key and changes limits")
        deployment = self.deployment
        owner = report.last_server_of(deployment.recordings([]), self.hot_key())
        others = (deployment.server_name(number) for number in (2, 3))
        pins = {self.hot_key(): next(name for name in others if name != owner)}
        ownership = {deployment.customer.service: pins}
        ticket = {"number": 2, "ownership": ownership, **deployment.limits(50)}
        self.tickets_ms.append(await deployment.publish(ticket))

    async def _stop_entry(self, second: float) -> None:
        name = self.deployment.entry_name(2)
        await self._wait_until(second, "an entry instance is shut down gracefully")
        await self.deployment.list_entry(name, "leaving")
        self.deployment.launcher.terminate(name)


@asynccontextmanager
async def _scenarios(directory: Path, launcher: Launcher) -> AsyncIterator[list[_Scenario]]:
    async with aiohttp.ClientSession() as session:
        yield [
            _Scenario(Deployment(customer, launcher, directory, session))
            for customer in (BERIDZE, BELLTONE)
        ]


async def _run_scenarios(directory: Path, launcher: Launcher) -> list[_Scenario]:
    _cancel_on_sigterm()
    async with _scenarios(directory, launcher) as scenarios, asyncio.timeout(TIME_LIMIT_S):
        async with asyncio.TaskGroup() as group:
            for scenario in scenarios:
                group.create_task(scenario.run())
        return scenarios


def _cancel_on_sigterm() -> None:
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


def _stop_entries(launcher: Launcher, scenarios: list[_Scenario]) -> None:
    """Stop the entry instances while the log and the servers still answer them."""
    names = [name for scenario in scenarios for name in scenario.deployment.entries]
    running = [name for name in names if name in launcher.pids]
    for name in running:
        launcher.terminate(name)
    deadline = time.monotonic() + DRAIN_LIMIT_S
    for name in running:
        launcher.wait(name, max(0.0, deadline - time.monotonic()))


def _measure(scenarios: list[_Scenario], events: list[dict[str, Any]]) -> dict[str, Any]:
    recordings = [scenario.deployment.recordings(events) for scenario in scenarios]
    for scenario, recording in zip(scenarios, recordings, strict=True):
        _log_summary(scenario, recording)
    merged = report.merge(recordings)
    # Every recording has all events of the launcher, so they must be counted only once.
    merged.events[:] = events
    tickets_ms = [value for scenario in scenarios for value in scenario.tickets_ms]
    return report.measures(merged, max(tickets_ms, default=None))


def _log_summary(scenario: _Scenario, recording: report.Recordings) -> None:
    customer = scenario.deployment.customer
    partition = f"{customer.service}={scenario.hot_key()}"
    owners = report.owners_of(recording, partition)
    logger.info(
        "{}: owners of the hot key: {}", customer.name, " then ".join(owners) or "its shard"
    )
    key, (start, end) = report.longest_unavailable(recording)
    origin = scenario.started
    times = f"from {start - origin:.2f} s to {end - origin:.2f} s of the traffic"
    logger.info("{}: longest unavailability: {}, {}", customer.name, key, times)
    logger.info("{}: attempts without an answer: {}", customer.name, report.failures(recording))


def finish(values: dict[str, Any], output: Path) -> int:
    """Print and write the measures; return 1 if they violate a guarantee."""
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(values, indent=2) + "\n", encoding="utf-8")
    print(report.table(values))
    violations = report.violations(values)
    for line in violations:
        print(f"VIOLATED: {line}")
    return 1 if violations else 0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the demo."""
    parser.add_argument("--output", type=Path, default=OUTPUT)
    parser.add_argument("--keep", type=Path, help="directory in which logs and records are kept")


def main(arguments: argparse.Namespace) -> int:
    """Run the demo; return 1 if a guarantee was violated."""
    if arguments.keep is not None:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        return _run_demo(arguments.keep.resolve(), arguments.output)
    with tempfile.TemporaryDirectory(prefix="hyssopwood-demo-") as name:
        return _run_demo(Path(name), arguments.output)


def _run_demo(directory: Path, output: Path) -> int:
    events_file = directory / "events.records.jsonl"
    events = Recorder(events_file)
    started = time.monotonic()
    try:
        with Launcher(directory, events) as launcher:
            scenarios = web_process.run(_run_scenarios(directory, launcher))
            _stop_entries(launcher, scenarios)
    except (KeyboardInterrupt, asyncio.CancelledError):
        logger.warning("interrupted; all processes were stopped")
        return 130
    except (ExceptionGroup, TimeoutError, OSError) as error:
        logger.error("the demo failed: {!r}", error)
        return 2
    code = finish(_measure(scenarios, report.read_records(events_file)), output)
    logger.info("the demo took {:.1f} s", time.monotonic() - started)
    return code
