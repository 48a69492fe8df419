"""Measure small requests next to one large answer to a slow reader, in one or two checkouts.

The gateway of each checkout runs in its own process; the server and the callers run in this one.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import resource
import sys
import time
from pathlib import Path
from typing import Any

MIB = 1_048_576
SMALL_BYTES = 400
TIMEOUT_S = 600.0
EXIT_TIMEOUT_S = 20.0
CHUNK_BYTES = 65_536


def _route_table(service: str):
    from hyssopwood.gateway.route_table import (
        CallerLimits,
        Route,
        RouteTable,
        ServiceSpec,
        WeightedService,
    )

    spec = ServiceSpec(
        name=service, health_path="/h", max_connections=99, sharded=False, warm_s=1.0
    )
    route = Route(
        name="all",
        host="a",
        path_prefix="/",
        targets=(WeightedService(service, 1.0),),
        idempotent=True,
        max_attempts=2,
        timeout_s=TIMEOUT_S,
        target_latency_s=TIMEOUT_S,
        priority=0,
    )
    limits = CallerLimits(
        header_bytes=8192, body_bytes=65_536, header_timeout_s=5.0, idle_timeout_s=60.0
    )
    return RouteTable(version=1, routes=(route,), services={service: spec}, limits=limits)


def _dispatcher(server_port: int):
    from hyssopwood.gateway.dispatcher import Dispatcher, DispatcherDependencies
    from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord
    from hyssopwood.gateway.load_reports import LoadReports
    from hyssopwood.gateway.queue_keeper import QueueKeeper
    from hyssopwood.gateway.queue_link import QueueLink
    from hyssopwood.gateway.retry_budget import RetryBudget
    from hyssopwood.gateway.route_table import RouteTables
    from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
    from hyssopwood.gateway.server_health import ServerHealth
    from hyssopwood.gateway.server_pool import ServerPool
    from hyssopwood.keyspace.key_load import KeyLoad
    from hyssopwood.keyspace.plan_view import PlanView
    from hyssopwood.metrics import Metrics
    from hyssopwood.platform.request_headers import PlatformHeaderCodec
    from hyssopwood.timers import SystemTimers

    timers, metrics, directory = SystemTimers(), Metrics(), ServerDirectory()
    directory.put(
        ServerRecord(
            server="s",
            service="photos",
            address=f"127.0.0.1:{server_port}",
            failure_domain="a",
            slots=64,
            draining=False,
            warmup_left_s=0.0,
            born_ms=1,
            sequence=1,
        )
    )
    tables = RouteTables()
    tables.offer(_route_table("photos"))
    health = ServerHealth(timers)
    own = InstanceRecord("i", "127.0.0.1:1", "a")
    keeper_parts: list[Any] = [directory, health]
    optional_parts: dict[str, Any] = {}
    if "limits" in DispatcherDependencies.__annotations__:
        # Checkouts without these parts, but with the other names, can be measured too.
        from hyssopwood.gateway.server_limits import ServerLimits

        optional_parts["limits"] = ServerLimits(timers, metrics)
        keeper_parts += [optional_parts["limits"], lambda incarnation: 0]
    keeper = QueueKeeper(*keeper_parts, timers)
    queues = QueueLink(
        own.address, own.instance, InstanceList(own), keeper, timers, metrics, lambda leads: None
    )
    if "crashes" in DispatcherDependencies.__annotations__:
        from hyssopwood.gateway.crash_suspects import CrashMonitor

        optional_parts["crashes"] = CrashMonitor(timers)
    parts = DispatcherDependencies(
        tables=tables,
        directory=directory,
        plan=PlanView(timers),
        pool=ServerPool(timers, b"request-id"),
        health=health,
        header_codec=PlatformHeaderCodec(),
        timers=timers,
        metrics=metrics,
        failure_domain="a",
        queues=queues,
        new_budget=lambda: RetryBudget(0.2, 8.0, 10.0, lambda: 1),
        reports=LoadReports(KeyLoad(timers)),
        **optional_parts,
    )
    return Dispatcher(parts), timers


async def _serve_gateway(server_port: int) -> None:
    """Run the request path and print its port; stop when a line or the end of stdin is read."""
    from hyssopwood.gateway.caller_server import CallerServer

    dispatcher, timers = _dispatcher(server_port)
    listener = CallerServer("127.0.0.1:0", dispatcher, timers)
    await listener.start()
    print(listener._server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(usage.ru_maxrss / 1024, usage.ru_utime + usage.ru_stime, flush=True)


class _LargeServer:
    def __init__(self, size: int) -> None:
        self._size = size

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
                is_large = b"/large" in head.split(b"\r\n")[0]
                bytes_left = self._size if is_large else SMALL_BYTES
                writer.write(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n"
                    b"Content-Length: %d\r\n\r\n" % (request_id, bytes_left)
                )
                while bytes_left:
                    chunk_bytes = min(bytes_left, CHUNK_BYTES)
                    writer.write(b"x" * chunk_bytes)
                    await writer.drain()
                    bytes_left -= chunk_bytes
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


async def _request(port: int, path: str, number: int, bytes_per_s: float) -> float:
    """Return the time to the first byte at a limited rate, or to the whole answer if it is 0."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=CHUNK_BYTES)
    started_at = time.monotonic()
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: a\r\nRequest-Id: r{number}\r\n"
        f"Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\n\r\n".encode()
    )
    head = await reader.readuntil(b"\r\n\r\n")
    bytes_left = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    first_byte_s = time.monotonic() - started_at
    while bytes_left:
        chunk = await reader.readexactly(min(bytes_left, CHUNK_BYTES))
        bytes_left -= len(chunk)
        if bytes_per_s:
            await asyncio.sleep(len(chunk) / bytes_per_s)
    writer.close()
    return first_byte_s if bytes_per_s else time.monotonic() - started_at


async def _measure(source: Path, options: argparse.Namespace) -> None:
    large_server = _LargeServer(options.mib * MIB)
    server = await asyncio.start_server(large_server.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    gateway = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        "--gateway",
        str(port),
        env={**os.environ, "PYTHONPATH": str(source / "src")},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    gateway_port = int(await gateway.stdout.readline())
    duration_s = options.mib / options.rate

    async def small_request(number: int) -> float:
        await asyncio.sleep(duration_s * number / options.small)
        return await _request(gateway_port, "/small", number, 0.0)

    times = await asyncio.gather(
        _request(gateway_port, "/large", options.small, options.rate * MIB),
        *(small_request(number) for number in range(options.small)),
    )
    gateway.stdin.close()
    memory, cpu = (await gateway.stdout.readline()).split()
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        await gateway.wait()
    server.close()
    ordered = sorted(times[1:])
    print(
        f"{options.names.pop(0):>8}: peak memory {float(memory):.0f} MB, "
        f"processor {float(cpu):.2f} s, first byte of the large answer after {times[0]:.3f} s, "
        f"small answers p50 {ordered[len(ordered) // 2] * 1000:.1f} ms, "
        f"p99 {ordered[int(len(ordered) * 0.99)] * 1000:.1f} ms"
    )


def main() -> None:
    """Measure this checkout, and a second one if given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="root of a checkout to compare with")
    parser.add_argument("--mib", type=int, default=200, help="size of the large answer")
    parser.add_argument("--rate", type=float, default=1.0, help="rate of its reader in MiB/s")
    parser.add_argument("--small", type=int, default=500, help="number of small requests")
    parser.add_argument("--gateway", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.gateway is not None:
        asyncio.run(_serve_gateway(options.gateway))
        return
    sources = [Path(__file__).resolve().parent.parent]
    options.names = ["now"]
    if options.before is not None:
        sources.append(options.before)
        options.names.append("before")
    for source in sources:
        asyncio.run(_measure(source, options))


if __name__ == "__main__":
    main()
