"""Measure memory and the time of small requests while large bodies are uploaded at the same time.

Run it with `PYTHONPATH=src`; it prints one row for each case, as the capacity page has them. The
gateway's program runs in a process of its own; the store, the servers and the callers run in this
one.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

import aiohttp
from attrs import define, field

from hyssopwood_standins.key_server import KeyServer
from hyssopwood_standins.keyed_store import KeyedStore
from steps.uncontrolled_caller_steps import HOST, SERVICE, SLOTS, encode_configuration
from support.gateway_process import GatewayProcess

MIB = 1 << 20
MAX_BODY_BYTES = 64 * MIB
SIZES = (MAX_BODY_BYTES // 2, MAX_BODY_BYTES)
COUNTS = (1, 2, 5, 10, 40)
MEMORY_MB = (200, 300)
HEARTBEAT_S = 0.5
# Interval between two small requests, and how many are sent beside no upload.
SMALL_INTERVAL_S = 0.02
CALM_REQUESTS = 100
TIMEOUT_S = 20.0


@define
class _Deployment:
    """A store, two servers and the gateway's program."""

    memory_mb: int
    store: KeyedStore = field(factory=KeyedStore, init=False)
    servers: list[KeyServer] = field(init=False)
    program: GatewayProcess = field(init=False)
    _heartbeats: asyncio.Task[None] = field(init=False)
    _sent: int = field(default=0, init=False)

    async def start(self) -> None:
        """Start all parts."""
        await self.store.start()
        self.store.put("keyed.op", "config", encode_configuration(MAX_BODY_BYTES))
        self.servers = [
            KeyServer(name, SERVICE, sharded=False, slots=SLOTS) for name in ("s1", "s2")
        ]
        for server in self.servers:
            await server.start()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        self.program = GatewayProcess("i1", self.store.address, self.memory_mb)
        self.program.launch()
        await self.program.wait_ready()
        # The servers register within a heartbeat.
        await asyncio.sleep(2 * HEARTBEAT_S)

    async def stop(self) -> None:
        """Stop all parts."""
        self.program.end()
        self._heartbeats.cancel()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    async def send(self, body: bytes) -> str:
        """Send a request over a connection of its own and return its status or error."""
        self._sent += 1
        headers = {"Host": HOST, "Request-Id": f"u{self._sent}", "Deadline-Ms": "15000"}
        url = f"http://{self.program.caller_address}/desk/upload"
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=body, headers=headers) as answer,
            ):
                await answer.read()
                return str(answer.status)
        except (aiohttp.ClientError, TimeoutError) as error:
            return type(error).__name__

    async def measure_small(self, until: asyncio.Future[object] | None) -> list[float]:
        """Return the durations of small requests, sent one after the other."""
        durations: list[float] = []
        while len(durations) < CALM_REQUESTS if until is None else not until.done():
            began = time.perf_counter()
            if await self.send(b"x") == "200":
                durations.append(time.perf_counter() - began)
            await asyncio.sleep(SMALL_INTERVAL_S)
        return sorted(durations)

    async def _send_heartbeats(self) -> None:
        while True:
            for server in self.servers:
                self.store.put("keyed.servers", server.name, server.registration())
            await asyncio.sleep(HEARTBEAT_S)


def _quantile_ms(durations: list[float], quantile: float) -> str:
    if not durations:
        return "none"
    return f"{durations[min(len(durations) - 1, int(quantile * len(durations)))] * 1000:.0f}"


async def _measure(memory_mb: int, size: int, count: int) -> str:
    deployment = _Deployment(memory_mb)
    await deployment.start()
    try:
        calm = await deployment.measure_small(None)
        idle_mb = deployment.program.peak_kib() * 1024 / 1e6
        body = bytes(size)
        uploads = asyncio.gather(*(deployment.send(body) for _ in range(count)))
        small = await deployment.measure_small(uploads)
        statuses = Counter(await uploads)
        peak_mb = deployment.program.peak_kib() * 1024 / 1e6
        cells = (
            memory_mb,
            f"{count} x {size // MIB} MiB",
            f"{idle_mb:.0f}",
            f"{peak_mb:.0f}",
            ", ".join(f"{number} x {status}" for status, number in sorted(statuses.items())),
            f"{_quantile_ms(calm, 0.5)}, {_quantile_ms(calm, 0.99)}",
            f"{_quantile_ms(small, 0.5)}, {_quantile_ms(small, 0.99)} ({len(small)})",
        )
        return f"| {' | '.join(str(cell) for cell in cells)} |"
    finally:
        await deployment.stop()


async def _run(counts: tuple[int, ...]) -> None:
    for memory_mb in MEMORY_MB:
        for size in SIZES:
            for count in counts:
                print(await _measure(memory_mb, size, count), flush=True)


def main() -> None:
    """Print the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", type=int, nargs="+", default=COUNTS)
    options = parser.parse_args()
    asyncio.run(_run(tuple(options.counts)))


if __name__ == "__main__":
    main()
