"""Measure clusters of real processes: idle control cost, log records and the request path."""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, evolve, field, frozen

from hyssopwood_standins.deployment import BERIDZE, Customer, Deployment
from hyssopwood_standins.launcher import Launcher
from hyssopwood_standins.recorder import Recorder

READY_LIMIT_S = 60.0
SETTLE_S = 5.0
PROBE = "capacity_probe"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@frozen
class Sample:
    """Counters of one process since it started."""

    at: float
    cpu_s: float
    resident_kb: int
    read_bytes: int
    written_bytes: int
    messages: dict[str, int]


def read_sample(pid: int, counts_file: Path) -> Sample:
    """Read a process's counters; the byte counts include socket traffic."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    io = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    resident = next(line for line in status if line.startswith("VmRSS"))
    counts = json.loads(counts_file.read_text())["counts"] if counts_file.exists() else {}
    return Sample(
        time.monotonic(),
        (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S,
        int(resident.split()[1]),
        int(io["rchar"]),
        int(io["wchar"]),
        counts,
    )


class _ProbedLauncher(Launcher):
    """Start entry instances under the probe that counts their messages."""

    def start(self, name: str, *arguments: str) -> Any:
        if arguments[:2] == ("hyssopwood", "entry"):
            arguments = (PROBE, str(self._directory / f"{name}.counts"), *arguments[1:])
        return super().start(name, *arguments)


@define
class Cluster:
    """A running deployment whose processes are measured."""

    deployment: Deployment
    launcher: Launcher
    directory: Path
    _base: dict[str, Sample] = field(factory=dict)

    async def start(self, ticket: dict[str, Any] | None = None) -> None:
        """Start all processes and wait until the plan is stable."""
        deployment = self.deployment
        await deployment.start()
        await deployment.until_joined(READY_LIMIT_S)
        await deployment.publish(ticket or deployment.first_ticket())
        await deployment.until_ready(deployment.customer.instances, READY_LIMIT_S)
        await asyncio.sleep(SETTLE_S)

    def samples(self) -> dict[str, Sample]:
        """Return the current counters of each entry instance."""
        pids = self.launcher.pids
        return {
            name: read_sample(pids[name], self.directory / f"{name}.counts")
            for name in self.deployment.entries
        }

    async def records(self) -> list[dict[str, Any]]:
        """Return all records of the log."""
        records_so_far: list[dict[str, Any]] = []
        url = f"{self.deployment.platform_url}/v1/streams/hyssopwood/records"
        while True:
            page = await self.deployment._fetch(
                f"{url}?from={len(records_so_far)}&limit=500&wait_ms=0"
            )
            if not page.get("records"):
                return records_so_far
            records_so_far.extend(page["records"])

    async def rows(self, window_s: float) -> list[dict[str, Any]]:
        """Return one row of rates per entry instance, measured over a window."""
        first = self.samples()
        await asyncio.sleep(window_s)
        last = self.samples()
        rows = []
        for name, before in first.items():
            status = await self.deployment.status(name)
            rows.append(_rate_row(name, status, before, last[name]))
        return rows


def _rate_row(name: str, status: dict[str, Any], before: Sample, after: Sample) -> dict[str, Any]:
    elapsed_s = after.at - before.at
    rates = {
        key: (value - before.messages.get(key, 0)) / elapsed_s
        for key, value in after.messages.items()
    }
    peer_rates = {
        direction: sum(value for key, value in rates.items() if key.startswith(direction))
        for direction in ("sent.messages", "sent.bytes", "received.messages", "received.bytes")
    }
    return {
        "name": name,
        "planner": status.get("planner"),
        "voter": status.get("voter"),
        "servers": len(status.get("servers", ())),
        "cpu_percent": (after.cpu_s - before.cpu_s) / elapsed_s * 100,
        "resident_mb": after.resident_kb / 1024,
        "socket_out_bytes": (after.written_bytes - before.written_bytes) / elapsed_s,
        "socket_in_bytes": (after.read_bytes - before.read_bytes) / elapsed_s,
        **{f"peer_{key.replace('.', '_')}": value for key, value in peer_rates.items()},
        "sent": {
            key.rpartition(".")[2]: round(value, 2)
            for key, value in sorted(rates.items())
            if key.startswith("sent.messages") and value > 0.05
        },
    }


def _mean(rows: list[dict[str, Any]], key: str) -> float:
    return statistics.fmean(row[key] for row in rows)


def _build_customer(instances: int, servers: int, shards: int = 32) -> Customer:
    return evolve(
        BERIDZE,
        servers=servers,
        shards=shards,
        instances_per_domain=instances // len(BERIDZE.failure_domains),
        unfenced=(),
    )


async def _with_cluster(customer: Customer, measure: Any) -> Any:
    os.environ["PYTHONPATH"] = f"{Path(__file__).parent}:{os.environ.get('PYTHONPATH', '')}"
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        events = Recorder(directory / "events.jsonl")
        with _ProbedLauncher(directory, events) as launcher:
            async with aiohttp.ClientSession() as session:
                deployment = Deployment(customer, launcher, directory, session)
                cluster = Cluster(deployment, launcher, directory)
                await cluster.start()
                return await measure(cluster)


def _print_rows(label: str, rows: list[dict[str, Any]]) -> None:
    keys = ("cpu_percent", "resident_mb", "peer_sent_messages", "peer_sent_bytes")
    more_keys = ("peer_received_bytes", "socket_out_bytes", "socket_in_bytes")
    means = "  ".join(f"{key}={_mean(rows, key):.1f}" for key in (*keys, *more_keys))
    print(f"{label}: {means}", flush=True)
    for row in rows:
        role = "planner" if row["planner"] else "voter" if row["voter"] else "member"
        print(
            f"    {role} servers={row['servers']} cpu={row['cpu_percent']:.2f}% "
            f"rss={row['resident_mb']:.0f}MB out={row['socket_out_bytes']:.0f} "
            f"in={row['socket_in_bytes']:.0f} B/s sent/s={row['sent']}"
        )


def measure_idle(sizes: Iterator[tuple[int, int, int]], window_s: float) -> None:
    """Print the cost of idle clusters of the given sizes (instances, servers, shards)."""
    for instances, servers, shards in sizes:

        async def measure(cluster: Cluster) -> list[dict[str, Any]]:
            return await cluster.rows(window_s)

        rows = asyncio.run(_with_cluster(_build_customer(instances, servers, shards), measure))
        _print_rows(f"idle instances={instances} servers={servers} shards={shards}", rows)


def measure_load(rates: tuple[int, ...], servers: int, shards: int, window_s: float) -> None:
    """Print the CPU time of all entries per request, permits included, by request rate."""

    async def measure(cluster: Cluster) -> None:
        idle = await cluster.rows(window_s)
        idle_cores = sum(row["cpu_percent"] for row in idle) / 100
        for rate in rates:
            cluster.deployment.start_caller(window_s + 4, rate)
            await asyncio.sleep(2)
            rows = await cluster.rows(window_s)
            await cluster.deployment.until_callers_end(30)
            used_cores = sum(row["cpu_percent"] for row in rows) / 100
            sent: Counter[str] = Counter()
            for row in rows:
                sent.update(row["sent"])
            us_per_request = (used_cores - idle_cores) / rate * 1e6
            print(
                f"load rate={rate} servers={servers} shards={shards}: entries' CPU="
                f"{used_cores:.3f} cores, idle={idle_cores:.3f}, "
                f"{us_per_request:.0f} us/request above idle, peer bytes out/s="
                f"{sum(row['peer_sent_bytes'] for row in rows):.0f} sent/s={dict(sent)}",
                flush=True,
            )

    asyncio.run(_with_cluster(_build_customer(3, servers, shards), measure))


def measure_records(replacements: int) -> None:
    """Print the log records caused by start, instance replacements, tickets and idling."""

    async def measure(cluster: Cluster) -> None:
        deployment = cluster.deployment
        print(f"start: {_count_kinds(await cluster.records())}", flush=True)
        for number in range(1, replacements + 1):
            before = len(await cluster.records())
            cluster.launcher.kill(deployment.entry_name(number))
            await deployment.replace_entry(number)
            await deployment.until_ready(deployment.customer.instances, READY_LIMIT_S)
            await asyncio.sleep(SETTLE_S)
            print(f"replacement: {_count_kinds((await cluster.records())[before:])}", flush=True)
        for number in range(2, 2 + replacements):
            before = len(await cluster.records())
            publish_ms = await deployment.publish(
                {"number": number, **deployment.limits(40 + number)}
            )
            new_kinds = _count_kinds((await cluster.records())[before:])
            print(f"ticket in force after {publish_ms:.0f} ms: {new_kinds}", flush=True)
        before = len(await cluster.records())
        await asyncio.sleep(SETTLE_S)
        print(f"idle {SETTLE_S} s: {_count_kinds((await cluster.records())[before:])}", flush=True)

    asyncio.run(_with_cluster(_build_customer(3, 8), measure))


def _count_kinds(records: list[dict[str, Any]]) -> dict[str, tuple[int, int]]:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for record in records:
        kind = json.loads(record["data"])["kind"]
        counts[kind] += 1
        sizes[kind] += len(record["data"])
    return {kind: (count, sizes[kind] // count) for kind, count in counts.items()}
