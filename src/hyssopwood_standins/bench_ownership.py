"""Measure ownership: balance, moves, and the unavailability of keys after losses."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from attrs import evolve

from hyssopwood_standins import report
from hyssopwood_standins.bench_run import Run, Window, running, unavailable_ms
from hyssopwood_standins.deployment import BERIDZE
from hyssopwood_standins.report import Recordings

CUSTOMER = evolve(BERIDZE, servers=9, unfenced=(), instances_per_domain=2)
HOT_LOAD_S = 24.0
HOT_KEY_PERIOD_S = 8.0
HOT_KEY_SHARE = 0.25
HOT_LOAD_RATE_PER_S = 150.0
HOT_LOAD_WORK_MS = 30
IMBALANCE_SLICE_S = 4.0
PROBE_KEY_COUNT = 8
PROBE_RATE_PER_S = 200.0
BACKGROUND_RATE_PER_S = 60.0
TICKET_COUNT = 5
KEYS_PER_TICKET = 4
MOVE_WINDOW_S = 1.2
LOSS_WINDOW_S = 3.0
RECOVERY_S = 2.5
OUTAGE_BEFORE_LOSS_S = 0.5
SETTLE_S = 0.5
SECONDS_PER_MINUTE = 60

LOSS_PHASES = ("server_loss", "instance_loss", "domain_loss", "outage")


async def measure(directory: Path) -> tuple[dict[str, float], list[str]]:
    """Run the product and the baseline concurrently; return measures and violations."""
    async with (
        running(CUSTOMER, directory, baseline=False) as product,
        running(CUSTOMER, directory, baseline=True) as baseline,
        asyncio.TaskGroup() as group,
    ):
        group.create_task(_run_phases(product))
        group.create_task(_run_phases(baseline))
    values = {**_measures_of(product), **_measures_of(baseline)}
    return values, product.violations()


async def _run_phases(run: Run) -> None:
    callers = _start_background(run)
    await _send_changing_hot_keys(run)
    await _move_keys(run)
    await _lose_instance(run, is_planner=False)
    await _lose_instance(run, is_planner=True)
    for probe in (0, 1):
        await _lose_server(run, "server_loss", _probe_owner(run, probe))
    await _lose_server_in_outage(run, _probe_owner(run, 2))
    await _lose_failure_domain(run)
    for name in callers:
        run.deployment.launcher.terminate(name)
    await asyncio.sleep(SETTLE_S)


def _start_background(run: Run) -> list[str]:
    """Start the callers whose keys are measured; they run until they are terminated."""
    probes = ("--keys", str(PROBE_KEY_COUNT), "--zipf", "0", "--key-prefix", "probe")
    max_duration_s = 200
    return [
        run.deployment.start_caller(max_duration_s, PROBE_RATE_PER_S, *probes, "--seed", "2"),
        run.deployment.start_caller(
            max_duration_s, BACKGROUND_RATE_PER_S, "--keys", "200", "--seed", "3"
        ),
    ]


async def _send_changing_hot_keys(run: Run) -> None:
    """Send a Zipf load whose hottest key changes every `HOT_KEY_PERIOD_S`."""
    options = ["--keys", "200", "--work-ms", str(HOT_LOAD_WORK_MS), "--seed", "4"]
    for index in range(int(HOT_LOAD_S / HOT_KEY_PERIOD_S)):
        start = index * HOT_KEY_PERIOD_S
        options += ["--hot-key", f"hot-{index}:{HOT_KEY_SHARE}:{start}:{start + HOT_KEY_PERIOD_S}"]
    run.deployment.start_caller(HOT_LOAD_S, HOT_LOAD_RATE_PER_S, *options)
    start = time.monotonic()
    await asyncio.sleep(HOT_LOAD_S)
    run.add_window("swing", start)


async def _move_keys(run: Run) -> None:
    """Pin keys to other servers several times."""
    pins: dict[str, str] = {}
    for number in range(2, TICKET_COUNT + 2):
        moved = [f"probe-{(number + step) % PROBE_KEY_COUNT}" for step in range(KEYS_PER_TICKET)]
        recordings = run.recordings
        for key in moved:
            pins[key] = _other_server(run, report.last_server_of(recordings, key))
        ticket = {"number": number, "ownership": {run.deployment.customer.service: dict(pins)}}
        start = time.monotonic()
        run.tickets_ms.append(await run.deployment.publish(ticket))
        await asyncio.sleep(MOVE_WINDOW_S)
        run.add_window("planned_move", start, *moved)


def _other_server(run: Run, owner: str) -> str:
    names = sorted(run.deployment.servers)
    following = names.index(owner) + 1 if owner in names else 0
    return names[following % len(names)]


async def _lose_instance(run: Run, is_planner: bool) -> None:
    name = await _choose_instance(run, is_planner)
    start = time.monotonic()
    run.deployment.launcher.kill(name)
    await asyncio.sleep(LOSS_WINDOW_S)
    run.add_window("instance_loss", start)
    await run.deployment.replace_entry(_number_of(name))
    await asyncio.sleep(RECOVERY_S)


async def _choose_instance(run: Run, is_planner: bool) -> str:
    """Return an entry instance that is the planner, or one that isn't."""
    names = list(run.deployment.entries)
    if run.is_baseline:
        return names[0] if is_planner else names[-1]
    for name in names:
        if bool((await run.deployment.status(name)).get("planner")) == is_planner:
            return name
    return names[0]


def _probe_owner(run: Run, probe: int) -> str:
    """Return the server of a probe key, so that the loss of this server affects a measured key."""
    owner = report.last_server_of(run.recordings, f"probe-{probe}")
    return owner or run.deployment.server_name(1)


async def _lose_server(run: Run, phase: str, name: str) -> None:
    start = time.monotonic()
    run.deployment.launcher.kill(name)
    await asyncio.sleep(LOSS_WINDOW_S)
    run.add_window(phase, start)
    run.deployment.start_server(_number_of(name))
    await asyncio.sleep(RECOVERY_S)


async def _lose_server_in_outage(run: Run, name: str) -> None:
    deployment = run.deployment
    await deployment.control(deployment.platform_address, outage=True)
    await asyncio.sleep(OUTAGE_BEFORE_LOSS_S)
    try:
        await _lose_server(run, "outage", name)
    finally:
        await deployment.control(deployment.platform_address, outage=False)
    await asyncio.sleep(RECOVERY_S)


async def _lose_failure_domain(run: Run) -> None:
    """Kill all instances and servers in the failure domain of a probe key's owner."""
    customer = run.deployment.customer
    lost = customer.domain_of_server(_number_of(_probe_owner(run, 3)))
    entries = [n for n in run.deployment.entries if customer.domain_of_entry(_number_of(n)) == lost]
    servers = [
        n for n in run.deployment.servers if customer.domain_of_server(_number_of(n)) == lost
    ]
    start = time.monotonic()
    for name in [*entries, *servers]:
        run.deployment.launcher.kill(name)
    await asyncio.sleep(LOSS_WINDOW_S)
    run.add_window("domain_loss", start)


def _number_of(name: str) -> int:
    return int(name.rpartition("-")[2])


def _measures_of(run: Run) -> dict[str, float]:
    recordings = run.recordings
    swing = run.windows["swing"][0]
    moves = unavailable_ms(recordings, run.windows["planned_move"])
    values = {
        "imbalance_max_over_mean": round(_imbalance(recordings, swing, run), 2),
        "moves_per_minute": round(_moves_per_minute(recordings, swing), 1),
        "planned_move_unavailable_ms_p99": round(report.percentile(moves, 0.99), 1),
    }
    for phase in LOSS_PHASES:
        longest = max(unavailable_ms(recordings, run.windows[phase]))
        values[f"{phase}_unavailable_ms_max"] = round(longest, 1)
    return {run.prefix + name: value for name, value in values.items()}


def _imbalance(recordings: Recordings, window: Window, run: Run) -> float:
    """Return the ratio of the busiest server's busy time to the mean, averaged over time slices."""
    runs = report.run_intervals(recordings)
    ratios = []
    start = window.start
    while start + IMBALANCE_SLICE_S <= window.end:
        busy: Counter[str] = Counter()
        for item in runs:
            overlap = min(item.end, start + IMBALANCE_SLICE_S) - max(item.start, start)
            busy[item.server] += max(0.0, overlap)  # type: ignore[assignment]
        mean = sum(busy.values()) / len(run.deployment.servers)
        ratios.append(max(busy.values()) / mean)
        start += IMBALANCE_SLICE_S
    return sum(ratios) / len(ratios)


def _moves_per_minute(recordings: Recordings, window: Window) -> float:
    in_window = [at for at in server_changes(recordings) if window.start <= at < window.end]
    return len(in_window) * SECONDS_PER_MINUTE / (window.end - window.start)


def server_changes(recordings: Recordings) -> Iterator[float]:
    """Yield the times at which a partition ran on a different server than before.

    The first run in a key's own partition is compared with the previous run of that key. Runs are
    compared instead of grants because the baseline has no grants.
    """
    runs = [item for item in recordings.servers if item["type"] == "run_started"]
    by_partition: dict[str, str] = {}
    by_key: dict[str, str] = {}
    for item in sorted(runs, key=lambda run: run["t"]):
        server = item["server"]
        previous = by_partition.get(item["partition"]) or by_key.get(item["key"], server)
        by_partition[item["partition"]] = by_key[item["key"]] = server
        if previous != server:
            yield item["t"]
