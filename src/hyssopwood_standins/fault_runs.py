"""Inject single and double faults into real processes and check each run's guarantees."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from itertools import product
from pathlib import Path
from typing import Any, TypeAlias

from attrs import evolve, field, frozen
from loguru import logger

from hyssopwood_standins import report, web_process
from hyssopwood_standins.bench_run import Run, Window, running, unavailable_ms
from hyssopwood_standins.deployment import BERIDZE, DeploymentError

CUSTOMER = evolve(BERIDZE, shards=16)
OUTPUT = Path("out/fault-runs.json")
RATE_PER_S = 100.0
# Few keys keep each in constant demand: a gap in service doesn't show between rare requests.
KEY_COUNT = 8
WARMUP_S = 1.5
# Longer than a server's lease and a voter's promise together.
FREEZE_S = 1.5
OUTAGE_S = 3.0
RECOVERY_S = 4.0
SETTLE_S = 0.5
TIME_LIMIT_S = 300
RUN_LIMIT_S = 60
GRACEFUL_EXIT_CODE = 0
# A leaving voter that no instance can replace waits 10 s for the planner to shrink the voter set.
DRAIN_LIMIT_S = 20.0
MOVED_KEY_COUNT = 4

Fault: TypeAlias = Callable[["_Target"], Awaitable[None]]


@frozen
class _Target:
    """The target of a fault: a server and the instance that coordinates it."""

    run: Run
    server: str
    coordinator: str
    violations: list[str] = field(factory=list)

    @property
    def launcher(self) -> Any:
        return self.run.deployment.launcher

    async def set_log_faults(self, **faults: Any) -> None:
        await self.run.deployment.control(self.run.deployment.platform_address, **faults)

    async def set_server_faults(self, **faults: Any) -> None:
        address = self.run.deployment.servers[self.server]
        await self.run.deployment.control(address, **faults)


def _kill(*parts: str) -> Fault:
    async def fault(target: _Target) -> None:
        for part in parts:
            target.launcher.kill(getattr(target, part))

    return fault


def _freeze(*parts: str) -> Fault:
    async def fault(target: _Target) -> None:
        names = [getattr(target, part) for part in parts]
        for name in names:
            target.launcher.freeze(name)
        try:
            await asyncio.sleep(FREEZE_S)
        finally:
            for name in names:
                target.launcher.resume(name)

    return fault


def _during_log_outage(inner: Fault | None = None) -> Fault:
    async def fault(target: _Target) -> None:
        await target.set_log_faults(outage=True)
        try:
            await asyncio.sleep(SETTLE_S)
            if inner is not None:
                await inner(target)
            await asyncio.sleep(OUTAGE_S)
        finally:
            await target.set_log_faults(outage=False)

    return fault


def _with_slow_log(inner: Fault) -> Fault:
    async def fault(target: _Target) -> None:
        await target.set_log_faults(slow_ms=300)
        await inner(target)

    return fault


def _with_lost_log_answers(inner: Fault) -> Fault:
    async def fault(target: _Target) -> None:
        await target.set_log_faults(lose_answers=3)
        await inner(target)

    return fault


async def _kill_failure_domain(target: _Target) -> None:
    deployment = target.run.deployment
    customer = deployment.customer
    lost = customer.domain_of_server(_number_of(target.server))
    names = [n for n in deployment.entries if customer.domain_of_entry(_number_of(n)) == lost]
    names += [n for n in deployment.servers if customer.domain_of_server(_number_of(n)) == lost]
    for name in names:
        target.launcher.kill(name)


async def _silence_connections(target: _Target) -> None:
    await target.set_server_faults(silence_connections=True)


async def _silence_and_kill_coordinator(target: _Target) -> None:
    await _silence_connections(target)
    target.launcher.kill(target.coordinator)


async def _misreport_load_and_kill_coordinator(target: _Target) -> None:
    load_report = {"running": 0, "queue": 0, "shedding": False}
    await target.set_server_faults(load_report=load_report)
    target.launcher.kill(target.coordinator)


async def _shut_down_coordinator(target: _Target) -> None:
    """Stop the coordinator gracefully; its exit code shows whether it drained."""
    await target.run.deployment.list_entry(target.coordinator, "leaving")
    target.launcher.terminate(target.coordinator)
    wait = target.launcher.wait
    code = await asyncio.to_thread(wait, target.coordinator, DRAIN_LIMIT_S)
    if code != GRACEFUL_EXIT_CODE:
        target.violations.append(f"SIGTERM: exit code {code}, expected {GRACEFUL_EXIT_CODE}")


async def _kill_server_then_coordinator(target: _Target) -> None:
    """Kill the server, and its coordinator before the server's lease has expired."""
    target.launcher.kill(target.server)
    await asyncio.sleep(0.2)
    target.launcher.kill(target.coordinator)


async def _move_keys_while_frozen(target: _Target) -> None:
    """Pin keys to another server while their own server is frozen."""
    deployment = target.run.deployment
    others = [name for name in deployment.servers if name != target.server]
    pins = {f"{CUSTOMER.service}-{index}": others[0] for index in range(MOVED_KEY_COUNT)}
    ticket = {"number": 2, "ownership": {CUSTOMER.service: pins}}
    target.launcher.freeze(target.server)
    try:
        target.run.tickets_ms.append(await deployment.publish(ticket))
        await asyncio.sleep(SETTLE_S)
    finally:
        target.launcher.resume(target.server)


def _number_of(name: str) -> int:
    return int(name.rpartition("-")[2])


FAULTS: dict[str, Fault] = {
    "kill server": _kill("server"),
    "kill coordinator": _kill("coordinator"),
    "kill both": _kill("server", "coordinator"),
    "kill server, then coordinator": _kill_server_then_coordinator,
    "freeze server": _freeze("server"),
    "freeze coordinator": _freeze("coordinator"),
    "freeze both": _freeze("server", "coordinator"),
    "log outage": _during_log_outage(),
    "log outage, kill server": _during_log_outage(_kill("server")),
    "log outage, freeze server": _during_log_outage(_freeze("server")),
    "log outage, freeze coordinator": _during_log_outage(_freeze("coordinator")),
    "log outage, freeze both": _during_log_outage(_freeze("server", "coordinator")),
    "log outage, kill coordinator": _during_log_outage(_kill("coordinator")),
    "log outage, kill both": _during_log_outage(_kill("server", "coordinator")),
    "failure domain lost": _kill_failure_domain,
    "log answers lost, kill server": _with_lost_log_answers(_kill("server")),
    "log answers lost, kill coordinator": _with_lost_log_answers(_kill("coordinator")),
    "log slow, kill coordinator": _with_slow_log(_kill("coordinator")),
    "connections silent": _silence_connections,
    "connections silent, kill coordinator": _silence_and_kill_coordinator,
    "load misreported, kill coordinator": _misreport_load_and_kill_coordinator,
    "SIGTERM of coordinator": _shut_down_coordinator,
    "ticket while server is frozen": _move_keys_while_frozen,
}
# Faults that are run without the fencing check too, even if `--unfenced` isn't given.
UNFENCED_FAULTS = (
    "kill server",
    "kill coordinator",
    "kill both",
    "freeze server",
    "freeze coordinator",
    "freeze both",
)
# Faults in which no request of the caller may be cut off, lost or refused.
GRACEFUL_FAULTS = ("SIGTERM of coordinator",)


async def _run_fault(name: str, unfenced: bool, seed: int, directory: Path) -> dict[str, Any]:
    unfenced_servers = tuple(range(1, CUSTOMER.servers + 1)) if unfenced else ()
    customer = evolve(CUSTOMER, unfenced=unfenced_servers)
    label = f"{name}{' (no fencing check)' if unfenced else ''}"
    async with asyncio.timeout(RUN_LIMIT_S), running(customer, directory, False) as run:
        duration_s = WARMUP_S + OUTAGE_S + FREEZE_S + RECOVERY_S
        stragglers = ("--straggler-share", "0.01", "--straggler-ms", "300")
        load = ("--keys", str(KEY_COUNT), "--zipf", "0", "--keyless-share", "0.2")
        run.deployment.start_caller(duration_s, RATE_PER_S, *load, *stragglers, "--seed", str(seed))
        await asyncio.sleep(WARMUP_S)
        key = f"{CUSTOMER.service}-{random.Random(seed).randrange(KEY_COUNT)}"
        server = report.last_server_of(run.recordings, key) or run.deployment.server_name(1)
        target = _Target(run, server, await _coordinator_of(run, server))
        start = time.monotonic()
        await FAULTS[name](target)
        await run.deployment.until_callers_end(RUN_LIMIT_S)
        await asyncio.sleep(SETTLE_S)
        window = Window(start, time.monotonic())
    return _check_guarantees(label, name, seed, run, target.violations, window)


async def _coordinator_of(run: Run, server: str) -> str:
    """Return the instance that coordinates a server."""
    for name in run.deployment.entries:
        usages = (await run.deployment.status(name)).get("servers", [])
        if any(usage.get("server") == server for usage in usages):
            return name
    raise DeploymentError(f"no instance reports that it coordinates {server}")


def _check_guarantees(
    label: str, name: str, seed: int, run: Run, fault_violations: list[str], window: Window
) -> dict[str, Any]:
    recordings = run.recordings
    values = report.measures(recordings, max(run.tickets_ms, default=None))
    violations = [*fault_violations, *report.violations(values)]
    if name in GRACEFUL_FAULTS:
        violations += [f"interrupted: {item}" for item in report.failures(recordings)]
    return {
        "fault": label,
        "seed": seed,
        "unavailable_ms": round(max(unavailable_ms(recordings, [window]), default=0.0), 1),
        "requests": values["requests"],
        "not_run": values["not_run"],
        "unknown": values["unknown"],
        **{key: values[key] for key in report.VIOLATION_MEASURES},
        "violations": violations,
    }


async def _run_all(arguments: argparse.Namespace, directory: Path) -> list[dict[str, Any]]:
    # The index, and so the seed, of a run doesn't depend on which other runs are selected.
    jobs = [
        (index, name, unfenced)
        for index, (name, unfenced) in enumerate(product(FAULTS, (False, True)))
        if any(text in name for text in arguments.only or [""])
        and (not unfenced or arguments.unfenced or name in UNFENCED_FAULTS)
    ]
    slots = asyncio.Semaphore(arguments.jobs)
    deadline = time.monotonic() + arguments.time_limit_s

    async def run_job(index: int, name: str, unfenced: bool) -> dict[str, Any]:
        async with slots:
            if time.monotonic() > deadline:
                return {
                    "fault": name,
                    "seed": arguments.seed,
                    "violations": ["not run: time limit reached"],
                }
            seed = arguments.seed + index
            run_directory = directory / f"{index:02d}-{name.replace(' ', '-').replace(',', '')}"
            try:
                return await _run_fault(name, unfenced, seed, run_directory)
            except (DeploymentError, TimeoutError, OSError, ExceptionGroup) as error:
                return {"fault": name, "seed": seed, "violations": [f"failed: {error!r}"]}

    return list(await asyncio.gather(*(run_job(*job) for job in jobs)))


COLUMNS = ("unavailable_ms", "requests", "not_run", "unknown", *report.VIOLATION_MEASURES)


def table(results: list[dict[str, Any]]) -> str:
    """Return the results as aligned columns, one line per run."""
    width = max(len(result["fault"]) for result in results)
    lines = [f"{'fault':<{width}}  seed  " + "  ".join(COLUMNS)]
    for result in results:
        cells = (f"{result.get(name, '-')!s:>{len(name)}}" for name in COLUMNS)
        lines.append(f"{result['fault']:<{width}}  {result['seed']:>4}  " + "  ".join(cells))
    return "\n".join(lines)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the fault runs."""
    parser.add_argument(
        "--only", action="append", help="run only faults whose name contains this text"
    )
    parser.add_argument(
        "--unfenced", action="store_true", help="run all faults without the fencing check too"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, help="number of concurrent runs")
    parser.add_argument("--time-limit-s", type=float, default=TIME_LIMIT_S - RUN_LIMIT_S)
    parser.add_argument("--output", type=Path, default=OUTPUT)
    parser.add_argument("--keep", type=Path, help="directory in which logs and records are kept")


def main(arguments: argparse.Namespace) -> int:
    """Run the faults; return 1 if a guarantee was violated."""
    if arguments.keep is not None:
        return _run_and_report(arguments, arguments.keep.resolve())
    with tempfile.TemporaryDirectory(prefix="hyssopwood-faults-") as name:
        return _run_and_report(arguments, Path(name))


def _run_and_report(arguments: argparse.Namespace, directory: Path) -> int:
    started = time.monotonic()
    results = web_process.run(_run_all(arguments, directory))
    if not results:
        logger.error("no fault's name contains one of {!r}", arguments.only)
        return 2
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")
    print(table(results))
    violations = [(item["fault"], line) for item in results for line in item["violations"]]
    for fault, line in violations:
        print(f"VIOLATED: {fault}: {line}")
    logger.info("the fault runs took {:.1f} s", time.monotonic() - started)
    return 1 if violations else 0
