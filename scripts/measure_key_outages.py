"""Measure for how long callers' keys have no owner: at starts, after restores, and in moves.

Two gateway processes, three servers and a store run on the loopback interface. Each case is played
several times with the sources of each given checkout in turns; the median of its runs is printed.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

from hyssopwood_standins.key_server import KeyServer
from hyssopwood_standins.keyed_store import KeyedStore

ROOT = Path(__file__).parent.parent
HOST_HEADER = "shop.example"
HEARTBEAT_S = 0.3
REQUEST_INTERVAL_S = 0.02
REQUEST_LIMIT_S = 1.0
CASE_LIMIT_S = 60.0
# Longer than all leases that a lost leader may have granted.
STEADY_LIMIT_S = 18.0
# A removed entry is that of a server that has missed this many seconds of heartbeats.
ENTRY_LIFETIME_S = 2.6
# Times after a server's end at which another one uses its address, before and after the removal of
# its entry.
EARLY_REUSE_S = 2.0
LATE_REUSE_S = 3.2
STORE_AWAY_S = 0.3
COPY_AGE_S = 4.0
STEADY_S = 6.0
KEY = 100
SETTINGS = """node_name={name}
zone=a
ip={host}
listen.front={host}:19001
listen.ready={host}:19002
internal_port_range=19003,19019
platform.address={store}
bootstrap={first_start}
bounds.grace_s=6
bounds.config_apply_s=2
bounds.max_hold_s=10
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_extra=56
"""


def _configuration(version: int, services: tuple[str, ...]) -> bytes:
    rules = [
        {
            "name": name,
            "type": "safe",
            "target_latency_s": 0.6,
            "priority": 1,
            "match": {"path_prefix": f"/{name}/"},
            "action": {"service": name, "timeout_s": REQUEST_LIMIT_S, "max_attempts": 2},
        }
        for name in services
    ]
    clusters = [
        {"name": name, "health_path": "/health", "max_connections": 110, "sharded": True}
        for name in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1_000_000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    document = {
        "version": version,
        "limits": limits,
        "listeners": [{"host": HOST_HEADER, "route_rules": rules}],
        "clusters": clusters,
    }
    return json.dumps(document).encode()


class Deployment:
    """A store, servers and gateway processes of one checkout."""

    def __init__(self, source: Path) -> None:
        self._source = source
        self.store = KeyedStore()
        self.servers: dict[str, KeyServer] = {}
        self.draining: set[str] = set()
        # Several measurements may run at the same time; the ports are the same for all.
        network = 1 + os.getpid() % 60_000
        self._hosts = [f"127.{network // 250}.{1 + network % 250}.{number}" for number in (1, 2)]
        self._processes: list[subprocess.Popen[bytes]] = []
        self._folder = tempfile.TemporaryDirectory()
        self._numbers = itertools.count()
        self._heartbeats: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Deployment:
        self._session = aiohttp.ClientSession()
        await self.store.start()
        self.publish(5, ("portal",))
        for name in ("s1", "s2", "s3"):
            await self.add_server(name, "portal")
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.kill()
        assert self._heartbeats is not None
        self._heartbeats.cancel()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()
        await self._session.close()
        self._folder.cleanup()

    def publish(self, version: int, services: tuple[str, ...]) -> None:
        """Publish a configuration of sharded services."""
        self.store.put("keyed.op", "config", _configuration(version, services))

    async def add_server(self, name: str, service: str, port: int = 0) -> None:
        """Start a server, which registers with the next heartbeats."""
        server = KeyServer(name, service, born_ms=int(time.time() * 1000))
        await server.start(port)
        self.servers[name] = server

    async def _send_heartbeats(self) -> None:
        while True:
            for name, server in self.servers.items():
                state = "draining" if name in self.draining else "ready"
                self.store.put("keyed.servers", name, server.registration(state))
            await asyncio.sleep(HEARTBEAT_S)

    def launch(self, first_start: bool) -> None:
        """Start the gateway processes."""
        for host in self._hosts:
            path = Path(self._folder.name) / f"{host}.conf"
            text = SETTINGS.format(
                name=host,
                host=host,
                store=self.store.address,
                first_start="true" if first_start else "false",
            )
            path.write_text(text, encoding="utf-8")
            self._processes.append(
                subprocess.Popen(
                    [sys.executable, str(self._source / "gateway_main.py")],
                    env={
                        **os.environ,
                        "HYSSOPWOOD_BOOT": str(path),
                        "PYTHONPATH": str(self._source),
                    },
                    stdout=subprocess.DEVNULL,
                )
            )

    def kill(self) -> None:
        """Kill the gateway processes."""
        for process in self._processes:
            process.kill()
            process.wait()
        self._processes.clear()

    async def is_served(self, service: str = "portal", key: int = KEY) -> bool:
        """Send a keyed request and return whether it is served."""
        number = next(self._numbers)
        headers = {
            "Host": HOST_HEADER,
            "Request-Id": f"r{number}",
            "Deadline-Ms": str(int(REQUEST_LIMIT_S * 1000)),
            "Shard-Key": str(key),
        }
        url = f"http://{self._hosts[number % len(self._hosts)]}:19001/{service}/x"
        try:
            async with self._session.get(url, headers=headers) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def time_until_served(self, service: str = "portal", key: int = KEY) -> float:
        """Return the time until a keyed request is served."""
        began = time.monotonic()
        while True:
            if await self.is_served(service, key):
                return time.monotonic() - began
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def time_until_steady(self) -> float:
        """Return the time after which all keyed requests of some time are served."""
        began = time.monotonic()
        steady_from = 0.0
        while (elapsed_s := time.monotonic() - began) < STEADY_LIMIT_S:
            if not await self.is_served():
                steady_from = 0.0
            elif not steady_from:
                steady_from = elapsed_s
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return steady_from

    async def longest_gap(self, key: int, span_s: float) -> float:
        """Return the longest time without a served request for a key."""
        began = served = time.monotonic()
        longest = 0.0
        while time.monotonic() < began + span_s:
            if await self.is_served(key=key):
                longest, served = max(longest, time.monotonic() - served), time.monotonic()
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return max(longest, time.monotonic() - served)

    async def owner(self, key: int = KEY) -> str:
        """Return the server that has a lease of a key, once it isn't being moved."""
        while True:
            for name, server in self.servers.items():
                if server.has_lease(key):
                    return name
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def run_steadily(self) -> None:
        """Start for the first time and serve for some time."""
        self.launch(first_start=True)
        await self.time_until_served()
        await asyncio.sleep(STEADY_S)


async def _first_start(deployment: Deployment) -> float:
    deployment.launch(first_start=True)
    return await deployment.time_until_served()


async def _all_killed(deployment: Deployment) -> float:
    await deployment.run_steadily()
    deployment.kill()
    deployment.launch(first_start=False)
    return await deployment.time_until_steady()


async def _kill_and_restore(deployment: Deployment, copied: dict) -> float:
    deployment.kill()
    deployment.store.faults.error_status = 503
    await asyncio.sleep(STORE_AWAY_S)
    deployment.store.restore(copied)
    deployment.store.faults.error_status = 0
    deployment.publish(5, ("portal",))
    deployment.launch(first_start=False)
    return await deployment.time_until_steady()


async def _restored_with_plan(deployment: Deployment) -> float:
    await deployment.run_steadily()
    copied = deployment.store.snapshot()
    await asyncio.sleep(COPY_AGE_S)
    return await _kill_and_restore(deployment, copied)


async def _restored_without_plan(deployment: Deployment) -> float:
    copied = deployment.store.snapshot()
    await deployment.run_steadily()
    return await _kill_and_restore(deployment, copied)


async def _service_added(deployment: Deployment) -> float:
    await deployment.run_steadily()
    await deployment.add_server("n1", "added")
    await asyncio.sleep(STORE_AWAY_S * 10)
    deployment.publish(6, ("portal", "added"))
    return await deployment.time_until_served("added")


async def _reuse_address(deployment: Deployment, after_s: float) -> float:
    await deployment.run_steadily()
    name = await deployment.owner()
    ended = deployment.servers.pop(name)
    await ended.stop()
    port = int(ended.address.rpartition(":")[2])

    async def remove_entry() -> None:
        await asyncio.sleep(ENTRY_LIFETIME_S)
        deployment.store.put("keyed.servers", name, b"")

    async def reuse() -> None:
        await asyncio.sleep(after_s)
        await deployment.add_server("n1", "portal", port)

    following = asyncio.gather(remove_entry(), reuse())
    outage_s = await deployment.time_until_served()
    await following
    return outage_s


async def _address_reused(deployment: Deployment) -> float:
    return await _reuse_address(deployment, EARLY_REUSE_S)


async def _address_reused_late(deployment: Deployment) -> float:
    return await _reuse_address(deployment, LATE_REUSE_S)


async def _planned_move(deployment: Deployment) -> float:
    await deployment.run_steadily()
    deployment.draining.add(await deployment.owner())
    return await deployment.longest_gap(KEY, 4.0)


CASES: dict[str, Callable[[Deployment], Awaitable[float]]] = {
    "first-start": _first_start,
    "all-killed": _all_killed,
    "restored-with-plan": _restored_with_plan,
    "restored-without-plan": _restored_without_plan,
    "service-added": _service_added,
    "address-reused": _address_reused,
    "address-reused-late": _address_reused_late,
    "planned-move": _planned_move,
}


async def _play(case: str, source: Path) -> float:
    async with asyncio.timeout(CASE_LIMIT_S), Deployment(source) as deployment:
        return await CASES[case](deployment)


def main() -> None:
    """Play the cases and print the median and the most of each checkout's runs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("checkout", nargs="*", type=Path, default=[ROOT])
    parser.add_argument("--case", action="append", choices=CASES)
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    for case in options.case or CASES:
        times: dict[Path, list[float]] = {checkout: [] for checkout in options.checkout}
        for _ in range(options.runs):
            for checkout in options.checkout:
                times[checkout].append(asyncio.run(_play(case, checkout / "src")))
        for checkout, measured in times.items():
            median = statistics.median(measured)
            print(f"{case} {checkout.name}: {median:.2f} s, most {max(measured):.2f} s", flush=True)


if __name__ == "__main__":
    main()
