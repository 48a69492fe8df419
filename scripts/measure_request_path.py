"""Measure the CPU time per request of the entry, the dispatcher and the backend client.

The measured part runs in this process; callers and the backend server are child processes.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import pstats
import re
import subprocess
import sys
import time
from collections.abc import AsyncIterator

import uvloop
from loguru import logger

from hyssopwood.backend import BackendClient
from hyssopwood.connection_pool import BackendServer, ServerRequest
from hyssopwood.dispatch import CallerRequest, Dispatcher, Route
from hyssopwood.entry import Entry, OperationRule, Readiness, ServiceRule, ServiceTable
from hyssopwood.messages import PermitCancel, PermitReply, PermitRequest, PermitReturn
from hyssopwood.outcomes import Answered
from hyssopwood.timers import SystemTimers

LOOPBACK = "127.0.0.1"
ANSWER_BYTES = 200
WARM_UP_REQUESTS = 500
REQUEST_ID_LINE = re.compile(rb"Hyssopwood-Request-Id: ([^\r]*)", re.IGNORECASE)
REQUEST = (
    b"POST /portal/animals/17 HTTP/1.1\r\nHost: portal\r\nHyssopwood-Key: 17\r\n"
    b"Hyssopwood-Operation: read\r\nHyssopwood-Deadline-Ms: 2000\r\n"
    b"Content-Type: application/json\r\nContent-Length: 11\r\n\r\n" + b'{"id": 17 }'
)


class _ServerProtocol(asyncio.Protocol):
    """A backend server that answers each small request immediately."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._buffer = b""

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head = self._buffer[:end]
            length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
            size = end + 4 + (int(length[1]) if length else 0)
            if len(self._buffer) < size:
                return
            self._buffer = self._buffer[size:]
            found = REQUEST_ID_LINE.search(head)
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nHyssopwood-Request-Id: %b\r\n"
                b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (found[1] if found else b"", ANSWER_BYTES, b"x" * ANSWER_BYTES)
            )


async def _serve() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_ServerProtocol, LOOPBACK, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    # Stop when the parent exits or closes this process's standard input.
    await loop.run_in_executor(None, sys.stdin.read)


async def _send_requests(port: int, requests: int, connections: int) -> None:
    async def send_serially(count: int) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        for _ in range(count):
            writer.write(REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
            await reader.readexactly(int(length[1]) if length else 0)
            if not head.startswith(b"HTTP/1.1 200"):
                raise SystemExit(f"unexpected answer: {head!r}")
        writer.close()

    await asyncio.gather(*(send_serially(requests // connections) for _ in range(connections)))


class _Router:
    version = 1

    def __init__(self, address: str) -> None:
        self._route = Route("portal/1", "s1", address, 100, "c1")

    def route(self, service: str, key: str) -> Route | None:
        return self._route

    async def wait_changed(self, version: int) -> None:
        await asyncio.get_running_loop().create_future()


class _Permits:
    def __init__(self) -> None:
        self._granted = 0

    async def request(self, permit: PermitRequest, coordinator: str) -> PermitReply:
        self._granted += 1
        return PermitReply(True, self._granted, "portal/1", 5, 7, 1000)

    def give_back(self, permit: PermitReturn, coordinator: str) -> None:
        pass

    def cancel(self, cancel: PermitCancel, coordinator: str) -> None:
        pass


class _ImmediateHandler:
    async def handle(self, request: CallerRequest) -> Answered:
        headers = {"Content-Type": "application/json", "Content-Length": str(ANSWER_BYTES)}
        return Answered(200, headers, _answer_body())


async def _answer_body() -> AsyncIterator[bytes]:
    yield b"x" * ANSWER_BYTES


def _start_child(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, __file__, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def _service_table() -> ServiceTable:
    return ServiceTable(
        [
            ServiceRule(
                name="portal",
                customer="beridze",
                path_prefix="/portal/",
                operations={"read": OperationRule(True)},
            )
        ]
    )


async def _measure_entry(handler: object, requests: int, connections: int) -> float:
    table = _service_table()
    entry = Entry(
        f"{LOOPBACK}:0",
        handler,
        lambda: table,
        SystemTimers(),
        readiness=lambda: Readiness(True),
        metrics=lambda: b"",
        status=dict,
    )
    await entry.start()
    await _run_caller(entry.port, WARM_UP_REQUESTS, connections)
    started_at = time.process_time()
    await _run_caller(entry.port, requests, connections)
    cpu_s = time.process_time() - started_at
    await entry.stop(1.0)
    return cpu_s / requests * 1e6


async def _run_caller(port: int, requests: int, connections: int) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, __file__, "--call", str(port), str(requests), str(connections)
    )
    if await process.wait():
        raise SystemExit("the caller process failed")


async def _measure_client(
    client: BackendClient, address: str, requests: int, connections: int
) -> float:
    timers = SystemTimers()
    server = BackendServer("s1", address, 100)
    headers = {"Content-Type": "application/json"}

    async def send_serially(number: int, count: int) -> None:
        for index in range(count):
            now = timers.now()
            request = ServerRequest(
                server=server,
                request_id=f"m.{number}.{index}",
                method="POST",
                path="/portal/animals/17",
                headers=headers,
                body=b'{"id": 17 }',
                key="17",
                operation="read",
                partition="portal/1",
                token=5,
                epoch=7,
                repeatable=True,
                deadline=now + 2,
                first_byte_by=now + 1,
            )
            outcome = await client.send(request)
            assert isinstance(outcome, Answered), outcome
            async for _ in outcome.body:
                pass

    await send_serially(-1, WARM_UP_REQUESTS)
    started_at = time.process_time()
    requests_each = requests // connections
    await asyncio.gather(*(send_serially(number, requests_each) for number in range(connections)))
    return (time.process_time() - started_at) / requests * 1e6


async def _measure(requests: int, connections: int) -> None:
    server = _start_child("--serve")
    address = f"{LOOPBACK}:{server.stdout.readline().strip()}"
    timers = SystemTimers()
    client = BackendClient(timers)
    try:
        entry_us = await _measure_entry(_ImmediateHandler(), requests, connections)
        print(f"entry alone:          {entry_us:7.1f} us/request", flush=True)
        client_us = await _measure_client(client, address, requests, connections)
        print(f"backend client alone: {client_us:7.1f} us/request", flush=True)
        dispatcher = Dispatcher(_Router(address), _Permits(), client, timers, "m1")
        whole_us = await _measure_entry(dispatcher, requests, connections)
        print(f"whole path:           {whole_us:7.1f} us/request", flush=True)
    finally:
        await client.close()
        server.communicate()


def main() -> None:
    """Run the measurement or one of its child processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--connections", type=int, default=8)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--call", nargs=3, type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    logger.remove()
    if options.serve:
        uvloop.run(_serve())
    elif options.call:
        uvloop.run(_send_requests(*options.call))
    elif options.profile:
        profile = cProfile.Profile()
        profile.runcall(uvloop.run, _measure(options.requests, options.connections))
        pstats.Stats(profile).sort_stats("tottime").print_stats(45)
    else:
        uvloop.run(_measure(options.requests, options.connections))


if __name__ == "__main__":
    main()
