"""Measure requests: a load peak (`crest_*`), short work among stragglers, and the router's cost."""

from __future__ import annotations

import asyncio
import os
import time
from collections import defaultdict
from functools import cached_property
from pathlib import Path
from typing import Any

from attrs import evolve

from hyssopwood_standins import report
from hyssopwood_standins.bench_run import MS_PER_S, Run, latencies_ms, running
from hyssopwood_standins.deployment import BELLTONE, STANDINS
from hyssopwood_standins.launcher import free_ports
from hyssopwood_standins.report import Recordings

# With shorter work the peak would need more requests than the instances can process on one machine,
# and would measure the CPU instead of the queues.
CUSTOMER = evolve(
    BELLTONE, servers=4, unfenced=(), instances_per_domain=2, work_ms=60.0, contract_ms=200
)
CALLER_COUNT = 3
# Without a hot key the whole capacity can be used.
UNIFORM_KEYS = ("--zipf", "0")

BASE_LOAD_SHARE = 0.6
PEAK_LOAD_SHARE = 3.0
BEFORE_PEAK_S = 4.0
RAMP_STEPS = 4
RAMP_S = 2.0
PEAK_HOLD_S = 4.0
AFTER_PEAK_S = 7.0
# An answer later than the contract's time is of no use, so that time is the callers' deadline.
PEAK_DEADLINE_MS = CUSTOMER.contract_ms
RECOVERY_SLICE_S = 0.25
RECOVERED_SHARE = 0.99

STRAGGLER_S = 7.0
STRAGGLER_SHARE = 0.01
STRAGGLER_WORK_MS = 1_000.0
STRAGGLER_LOAD_SHARE = 0.5

LATENCY_S = 5.0
LATENCY_RATE_PER_S = 100.0
LATENCY_WORK_MS = 5.0
IDLE_S = 2.0
SETTLE_S = 0.5
US_PER_S = 1_000_000
CALLERS_TIMEOUT_S = 40


SHARING_MODES = ("local", "permits", "forwarding")


async def compare_sharing(directory: Path) -> dict[str, dict[str, float]]:
    """Measure the load peak of the baseline router with each mode of sharing slots."""
    compared: dict[str, dict[str, float]] = {}
    for sharing in SHARING_MODES:
        async with running(CUSTOMER, directory / sharing, True, sharing) as run:
            phases = _RequestPhases(run)
            await phases.latency()
            await phases.peak()
        compared[sharing] = {**phases.peak_measures(), **phases.cost_measures()}
    return compared


async def measure(directory: Path) -> tuple[dict[str, float], list[str]]:
    """Run the product and then the baseline; return measures and violations."""
    values: dict[str, float] = {}
    violations: list[str] = []
    for baseline in (False, True):
        async with running(CUSTOMER, directory, baseline) as run:
            phases = _RequestPhases(run)
            await phases.run_all()
        values |= phases.measures()
        if not baseline:
            violations = run.violations()
    return values, violations


class _RequestPhases:
    """Run the phases of one deployment; callers are grouped by phase."""

    def __init__(self, run: Run) -> None:
        self._run = run
        self._callers: dict[str, list[str]] = defaultdict(list)
        self._phase_cpu_s: dict[str, float] = {}
        self._phase_spans: dict[str, tuple[float, float]] = {}
        self._seed = 10

    @cached_property
    def _recordings(self) -> Recordings:
        """Read the records once, after the last phase."""
        return self._run.recordings

    async def run_all(self) -> None:
        """Run every phase."""
        await self.latency()
        await self._stragglers("without", 0.0)
        await self._stragglers("with", STRAGGLER_SHARE)
        await self.peak()
        await asyncio.sleep(SETTLE_S)

    def _capacity_per_s(self) -> float:
        """Return the requests per second that the customer's slots can run."""
        customer = self._run.deployment.customer
        return customer.servers * customer.slots * MS_PER_S / customer.work_ms

    def _start(self, phase: str, duration_s: float, rate: float, *options: str) -> None:
        self._seed += 1
        seed = ("--seed", str(self._seed))
        name = self._run.deployment.start_caller(duration_s, rate, *UNIFORM_KEYS, *seed, *options)
        self._callers[phase].append(name)

    async def _until_callers_end(self) -> None:
        await self._run.deployment.until_callers_end(CALLERS_TIMEOUT_S)

    async def latency(self) -> None:
        """Send the same light load through the router and directly to a separate server."""
        target = await self._start_direct_server()
        work = ("--work-ms", str(LATENCY_WORK_MS))
        await self._run_measuring_cpu("idle", asyncio.sleep(IDLE_S))
        self._start("routed", LATENCY_S, LATENCY_RATE_PER_S, *work)
        self._start("direct", LATENCY_S, LATENCY_RATE_PER_S, *work, "--target", target)
        await self._run_measuring_cpu("routed", self._until_callers_end())

    async def _start_direct_server(self) -> str:
        deployment = self._run.deployment
        address = f"127.0.0.1:{free_ports(1)[0]}"
        options = ("--address", address, "--name", "direct", "--no-fencing-check")
        slots = ("--slots", str(deployment.customer.slots))
        deployment.launcher.start("direct", STANDINS, "server", *options, *slots)
        return address

    async def _run_measuring_cpu(self, phase: str, work: Any) -> None:
        before, started = self._entries_cpu_s(), time.monotonic()
        await work
        self._phase_cpu_s[phase] = self._entries_cpu_s() - before
        self._phase_spans[phase] = (started, time.monotonic())

    def _entries_cpu_s(self) -> float:
        pids = self._run.deployment.launcher.pids
        return sum(process_cpu_s(pids[name]) for name in self._run.deployment.entries)

    async def _stragglers(self, phase: str, share: float) -> None:
        rate = STRAGGLER_LOAD_SHARE * self._capacity_per_s() / CALLER_COUNT
        options = ("--straggler-share", str(share), "--straggler-ms", str(STRAGGLER_WORK_MS))
        for _ in range(CALLER_COUNT):
            self._start(phase, STRAGGLER_S, rate, *options)
        await self._until_callers_end()

    async def peak(self) -> None:
        """Raise the load to three times the capacity within 2 s, hold it and lower it again."""
        duration_s = BEFORE_PEAK_S + 2 * RAMP_S + PEAK_HOLD_S + AFTER_PEAK_S
        rate = BASE_LOAD_SHARE * self._capacity_per_s() / CALLER_COUNT
        options = ["--deadline-ms", str(PEAK_DEADLINE_MS)]
        for start, end, factor in _surges():
            options += ["--surge", f"{start}:{end}:{factor}"]
        for _ in range(CALLER_COUNT):
            self._start("crest", duration_s, rate, *options)
        await self._until_callers_end()

    def _records(self, phase: str) -> list[dict[str, Any]]:
        names = set(self._callers[phase])
        return [item for item in self._recordings.attempts if item["caller"] in names]

    def measures(self) -> dict[str, float]:
        """Return every measure, calculated from the records."""
        ratio = self._short_p99("with") / self._short_p99("without")
        values = {
            **self.peak_measures(),
            "short_p99_with_stragglers_over_without": round(ratio, 3),
            **self.cost_measures(),
        }
        return {self._run.prefix + name: value for name, value in values.items()}

    def peak_measures(self) -> dict[str, float]:
        """Return the measures of the peak; most cover the requests that were due in its hold."""
        attempts = self._records("crest")
        start = min(item["due"] for item in attempts)
        hold_start = start + BEFORE_PEAK_S + RAMP_S
        hold_end = hold_start + PEAK_HOLD_S
        hold_attempts = [item for item in attempts if hold_start <= item["due"] < hold_end]
        refusals_ms = [
            (item["done"] - item["t"]) * MS_PER_S
            for item in hold_attempts
            if item["outcome"] == "not_run"
        ]
        admitted_ms = latencies_ms(hold_attempts)
        contract_ms = self._run.deployment.customer.contract_ms
        answered_in_time = sum(latency <= contract_ms for latency in admitted_ms)
        values = {
            "crest_goodput_ratio": answered_in_time
            / PEAK_HOLD_S
            / self._recorded_capacity_per_s(hold_attempts),
            "crest_admitted_p99_over_contract": report.percentile(admitted_ms, 0.99) / contract_ms,
            "slot_overcommit_max": report.max_overcommit(self._recordings),
            "refusal_ms_p99": report.percentile(refusals_ms, 0.99),
            "recovery_s": recovery_s(attempts, hold_end + RAMP_S, contract_ms),
        }
        return {name: round(value, 3) for name, value in values.items()}

    def cost_measures(self) -> dict[str, float]:
        """Return the router's CPU time per request and the latency that it adds."""
        values = {"router_cpu_us_per_request": self._router_cpu_us(), **self._added_latency()}
        return {name: round(value, 3) for name, value in values.items()}

    def _recorded_capacity_per_s(self, attempts: list[dict[str, Any]]) -> float:
        """Return the servers' recorded slots divided by the mean requested work."""
        started = [i for i in self._recordings.servers if i["type"] == "started"]
        work_ms = sum(item["work_ms"] for item in attempts) / len(attempts)
        return sum(item["slots"] for item in started) * MS_PER_S / work_ms

    def _short_p99(self, phase: str) -> float:
        short = [i for i in self._records(phase) if i["work_ms"] < STRAGGLER_WORK_MS]
        return report.percentile(latencies_ms(short), 0.99)

    def _router_cpu_us(self) -> float:
        """Return the instances' CPU time per request, less that of an equally long idle period."""
        start, end = self._phase_spans["routed"]
        idle_start, idle_end = self._phase_spans["idle"]
        idle_s = self._phase_cpu_s["idle"] * (end - start) / (idle_end - idle_start)
        requests = len(self._records("routed"))
        return (self._phase_cpu_s["routed"] - idle_s) * US_PER_S / requests

    def _added_latency(self) -> dict[str, float]:
        routed, direct = (latencies_ms(self._records(name)) for name in ("routed", "direct"))
        return {
            f"added_latency_ms_{name}": report.percentile(routed, share)
            - report.percentile(direct, share)
            for name, share in (("p50", 0.5), ("p99", 0.99))
        }


def _surges() -> list[tuple[float, float, float]]:
    """Return the steps of the load peak as start, end and factor of the base rate."""
    peak_factor = PEAK_LOAD_SHARE / BASE_LOAD_SHARE
    step_s = RAMP_S / RAMP_STEPS
    factors = [1 + (peak_factor - 1) * (index + 0.5) / RAMP_STEPS for index in range(RAMP_STEPS)]
    hold_start = BEFORE_PEAK_S + RAMP_S
    steps = [
        (BEFORE_PEAK_S + index * step_s, BEFORE_PEAK_S + (index + 1) * step_s, factor)
        for index, factor in enumerate(factors)
    ]
    steps.append((hold_start, hold_start + PEAK_HOLD_S, peak_factor))
    for index, factor in enumerate(reversed(factors)):
        start = hold_start + PEAK_HOLD_S + index * step_s
        steps.append((start, start + step_s, factor))
    return steps


def recovery_s(attempts: list[dict[str, Any]], peak_end: float, contract_ms: float) -> float:
    """Return for how long after the peak too few requests were answered within the contract."""
    slices: dict[int, list[bool]] = defaultdict(list)
    for item in attempts:
        if item["due"] >= peak_end:
            in_time = item["outcome"] == "answered" and item["latency_ms"] <= contract_ms
            slices[int((item["due"] - peak_end) / RECOVERY_SLICE_S)].append(in_time)
    late = [
        index for index, results in slices.items() if sum(results) < RECOVERED_SHARE * len(results)
    ]
    return (max(late) + 1) * RECOVERY_SLICE_S if late else 0.0


def process_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has consumed."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        values = file.read().rpartition(")")[2].split()
    # utime and stime, fields 14 and 15; the first value after the name is field 3.
    return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")
