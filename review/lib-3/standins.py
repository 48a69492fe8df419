"""Stand-ins of the platform's store, an upstream and clients, and the start of gateway processes.

All run in the process of the test, on loopback addresses. The store and the upstream do what the
users' pages say; each fault is off unless a test switches it on.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src")]

from hyssopwood_standins.keyed_store import KeyedStore  # noqa: E402

BEAT_S = 0.87
GRACE_S = 6
HOST = "shop.example"
SETTINGS = """node_name={name}
role=gateway
machine_class=edge
serves=edge
ip={host}
zone={zone}
region=tbilisi
listen.front={host}:{front}
listen.ready={host}:{ready}
internal_port_range={first},{last}
bootstrap=true
loss_counts=false
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_s=0.87
bounds.contact_s=3
bounds.drain_s=2
bounds.grace_s=6
bounds.config_apply_s=2
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_extra=56
bounds.max_hold_s=10
bounds.thaw_slack_s=0.3
platform.address={store}
platform.form=log
"""


class NotSetUpError(Exception):
    """Raised when the situation that a case needs doesn't come about."""


class Record:
    """Lines of a file: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, who: str, what: str, **fields: object) -> None:
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {who} {what} {pairs}\n")
        self._file.flush()


def manifest(version: int, services: list[dict], routes: list[dict]) -> bytes:
    """Return a manifest as the operator stores it."""
    rules = [
        {
            "name": route["name"],
            "match": {"path_prefix": route["prefix"]},
            "type": route["type"],
            "priority": route.get("priority", 0),
            "target_latency_s": route.get("target_latency_s", 0.6),
            "action": {
                "service": route["service"],
                "timeout_s": route.get("timeout_s", 2.5),
                "max_attempts": route.get("max_attempts", 2),
            },
        }
        for route in routes
    ]
    document = {
        "version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [{"host": HOST, "route_rules": rules}],
        "clusters": services,
    }
    return json.dumps(document).encode()


class Upstream:
    """An upstream without keys, which runs one request at a time on a connection."""

    def __init__(self, name: str, service: str, record: Record, zone: str = "vake") -> None:
        self.name, self.service, self.zone, self._record = name, service, zone, record
        self.work_s = 0.05
        self.slots = 2
        self.address = ""
        # Bytes of the kernel's receive buffer of each connection; 0 for the system's choice.
        self.receive_buffer = 0
        # Reads a body of a given length in place of the stand-in; None for the usual way.
        self.read_body: ReadBody | None = None
        self._born = int(time.time() * 1000)
        self._running = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        listener = socket.socket()
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=65_536)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def entry(self) -> bytes:
        """Return the entry with which the upstream registers itself."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "max_concurrency": self.slots,
                "state": "ready",
                "warmup_left_s": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                _, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                if self.read_body is not None and "request-id" in headers:
                    await self.read_body(self, reader, length, headers["request-id"])
                else:
                    await reader.readexactly(length)
                writer.write(await self._handle(target, headers))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The peer has closed the connection, or the test has ended.
            pass
        finally:
            writer.close()

    def _answer(self, status: str, headers: dict, body: bytes = b"") -> bytes:
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _handle(self, target: str, headers: dict) -> bytes:
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id} if request_id else {}
        if headers.get("target-instance", self.name) != self.name:
            return self._answer("421 Misdirected Request", {**echo, "Instance-Id": self.name})
        if target == "/health":
            return self._answer("200 OK", {"Instance-Id": self.name})
        self._record.add(self.name, "runs", id=request_id, target=target)
        self._running += 1
        try:
            body = await self._run(target)
        finally:
            self._running -= 1
        load = f"{self._running},0,{self.slots}"
        signature = f"{self.name}.{request_id}"
        own = {**echo, "Response-Signature": signature, "Server-Load": load}
        self._record.add(self.name, "answers", id=request_id, bytes=len(body))
        return self._answer("200 OK", own, body)

    async def _run(self, target: str) -> bytes:
        """Work on a request and return the body of its answer."""
        await asyncio.sleep(self.work_s)
        return self.name.encode()


ReadBody = Callable[[Upstream, asyncio.StreamReader, int, str], Awaitable[None]]


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as item:
        item.bind((host, 0))
        return item.getsockname()[1]


class Gateway:
    """A process of the gateway, started with the command of the deploy file."""

    def __init__(self, name: str, store: str, zone: str = "vake", memory_mb: int = 300) -> None:
        self.name = name
        # The port of the metrics is the same for all, so each process has its own address.
        self.host = "127.%d.%d.%d" % tuple(random.randrange(2, 250) for _ in range(3))
        self._folder = tempfile.TemporaryDirectory()
        front, ready = free_port(self.host), free_port(self.host)
        first = random.randrange(12_000, 30_000)
        self.front, self.ready = f"{self.host}:{front}", f"{self.host}:{ready}"
        self._settings = Path(self._folder.name) / "settings.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=self.host,
                zone=zone,
                front=front,
                ready=ready,
                first=first,
                last=first + 15,
                store=store,
                memory_mb=memory_mb,
            ),
            encoding="utf-8",
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, log: Path | None = None) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "HYSSOPWOOD_BOOT": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        out = asyncio.subprocess.DEVNULL if log is None else open(log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "src/gateway_main.py", cwd=ROOT, env=environment, stdout=out, stderr=out
        )

    async def is_ready(self) -> bool:
        try:
            status, _, _ = await call(self.ready, "GET", "/hyssopwood/ready", {}, b"", 1.0)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._folder.cleanup()


async def call(
    address: str, method: str, target: str, headers: dict, body: bytes, limit_s: float
) -> tuple[int, dict, bytes]:
    """Make one call over a new connection and return status, headers and body."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in {"Host": HOST, **headers}.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            found = {}
            for line in head[1:]:
                name, _, value = line.partition(":")
                if name:
                    found[name.lower()] = value.strip()
            data = await reader.readexactly(int(found.get("content-length", 0)))
            return int(head[0].split(" ")[1]), found, data
        finally:
            writer.close()


class World:
    """A store, upstreams and gateway processes of a small deployment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = KeyedStore()
        self.upstreams: list[Upstream] = []
        self.gateways: list[Gateway] = []
        self._beats: asyncio.Task | None = None
        self._ids = itertools.count(1)

    async def start(
        self,
        services: list[dict],
        routes: list[dict],
        upstreams: list[Upstream],
        gateways: int,
        memory_mb: int = 300,
    ) -> None:
        """Start everything and wait until all gateways are ready."""
        await self.store.start()
        self.store.put("keyed.op", "config", manifest(5, services, routes))
        self.upstreams = upstreams
        for item in upstreams:
            await item.start()
        self._beats = asyncio.ensure_future(self._beat())
        zones = ("vake", "saburtalo", "didube")
        for number in range(gateways):
            gateway = Gateway(
                f"edge-{number + 1}", self.store.address, zones[number % 3], memory_mb
            )
            self.gateways.append(gateway)
            log = os.environ.get("GATEWAY_LOGS")
            await gateway.start(Path(log) / f"{gateway.name}.log" if log else None)
        if not await self.wait_ready():
            raise NotSetUpError("the gateways are not ready")

    async def wait_ready(self, limit_s: float = 25.0) -> bool:
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            ready = [await item.is_ready() for item in self.gateways]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _beat(self) -> None:
        while True:
            for item in self.upstreams:
                self.store.put("keyed.servers", item.name, item.entry())
            await asyncio.sleep(BEAT_S)

    async def request(
        self,
        gateway: Gateway,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2500,
        request_id: str = "",
    ) -> int:
        """Send a client's request and return the status of its answer, 0 for none."""
        request_id = request_id or f"r{next(self._ids)}"
        headers = {"Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        self.record.add("client", "sends", id=request_id, to=gateway.name)
        try:
            status, _, data = await call(gateway.front, method, target, headers, body, 6.0)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.record.add("client", "gets-no-answer", id=request_id, error=type(error).__name__)
            return 0
        self.record.add(
            "client", "gets", id=request_id, status=status, by=data[:40].decode("latin-1")
        )
        return status

    async def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        for gateway in self.gateways:
            await gateway.end()
        for item in self.upstreams:
            item.stop()
        await self.store.stop()


def run_case(
    play: Callable[[World], Awaitable[bool]], path: Path, attempts: int = 3, limit_s: float = 110.0
) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    A case whose situation didn't come about is played again.
    """

    async def run() -> int:
        record = Record(path)
        for attempt in range(1, attempts + 1):
            record.add("test", "attempt", number=attempt)
            world = World(record)
            try:
                return 1 if await play(world) else 0
            except NotSetUpError as error:
                record.add("test", "not-set-up", cause=str(error).replace(" ", "-"))
            finally:
                await world.stop()
        return 2

    try:
        code = asyncio.run(asyncio.wait_for(run(), limit_s))
    except BaseException:
        traceback.print_exc()
        code = 2
    print(f"exit {code}")
    sys.exit(code)
