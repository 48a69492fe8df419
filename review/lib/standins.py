"""Stand-ins for the platform's store, for upstreams and for clients, and a runner of gateways.

Everything listens on loopback addresses and uses the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PING_INTERVAL_S = 0.87
# An entry is removed after three ping intervals of silence.
ENTRY_LIFETIME_S = 3 * PING_INTERVAL_S
READY_PATH = "/hyssopwood/ready"
START_LIMIT_S = 20.0

Headers = dict[str, str]


class Record:
    """Write what was sent, answered and run to a file, with times since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def free_port(host: str) -> int:
    """Return a free port below the range of outgoing connections."""
    while True:
        port = random.randrange(18_000, 28_000)
        with socket.socket() as item:
            try:
                item.bind((host, port))
            except OSError:
                continue
        return port


def loopback_host() -> str:
    """Return a random loopback address, as the gateway's metrics port is fixed."""
    return f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"


class Request:
    """A parsed HTTP request."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(item.partition("=")[::2] for item in query.split("&") if item)
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serve HTTP/1.1 requests, one at a time on a connection."""

    def __init__(self) -> None:
        self.host, self.port = "127.0.0.1", 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self.port = free_port(self.host)
        self._server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 20)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, writer):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request and return whether the connection is kept."""
        raise NotImplementedError


class Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, contents: list[bytes]) -> int:
        offset = len(self.records)
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


class Store(HttpServer):
    """The platform's store with keyed topics of one partition."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._topics: dict[str, Partition] = {}
        # Rises with each restore from an older copy.
        self.era = 1
        # How calls are met while the store is down: "busy", "reset" or "silent"; empty while it
        # is up.
        self.down = ""

    def snapshot(self) -> dict[str, tuple[list[bytes], dict[str, tuple[int, bytes]]]]:
        """Return a copy of all topics."""
        return {name: (list(x.records), dict(x.newest)) for name, x in self._topics.items()}

    def restore(self, copy: dict[str, tuple[list[bytes], dict[str, tuple[int, bytes]]]]) -> None:
        """Return to a copy; what the operator and the upstreams wrote since is written again."""
        written = {
            topic: {key: value for key, (_, value) in self.partition(topic).newest.items()}
            for topic in ("keyed.op", "keyed.servers")
        }
        replaced, self._topics = self._topics, {}
        for name, (records, newest) in copy.items():
            partition = self.partition(name)
            partition.records, partition.newest = records, newest
        for topic, values in written.items():
            for key, value in values.items():
                self.put(topic, key, value)
            for key in set(self.partition(topic).newest) - set(values):
                self.put(topic, key, b"")
        self.era += 1
        for item in replaced.values():
            item.changed.set()

    def partition(self, topic: str) -> Partition:
        return self._topics.setdefault(topic, Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        name = key.encode()
        self.partition(topic).append([bytes((len(name),)) + name + value])

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.004)
        if self.down == "silent":
            await asyncio.sleep(30)
            return False
        if self.down == "reset":
            writer.transport.abort()
            return False
        if self.down == "busy":
            writer.write(encode_answer(503, {"Store-Era": str(self.era)}, b""))
            return True
        era = self.era
        call = request.path.rsplit("/", 1)[-1]
        if call == "log-append":
            status, body = self._append(request)
        elif call == "log-read":
            status, body = await self._read(request)
        elif call == "log-newest":
            status, body = self._newest(request)
        else:
            status, body = 404, b"{}"
        if self.down or era != self.era:
            # A restore or an outage came between.
            writer.transport.abort()
            return False
        headers = {"Content-Type": "application/json", "Store-Era": str(era)}
        writer.write(encode_answer(status, headers, body))
        return True

    def _append(self, request: Request) -> tuple[int, bytes]:
        partition = self.partition(request.query["topic"])
        end = len(partition.records)
        if "at" in request.query and int(request.query["at"]) != end:
            return 412, json.dumps({"end_offset": end}).encode()
        contents, position = [], 0
        while position < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            contents.append(request.body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = partition.append(contents)
        for content in contents:
            size = content[0]
            if content[1 : 1 + size] == b"leader":
                self._record.add(f"store: appended at {offset}: {content[1 + size:].decode()}")
        end = len(partition.records)
        return 200, json.dumps({"offset": offset, "end_offset": end}).encode()

    async def _read(self, request: Request) -> tuple[int, bytes]:
        partition = self.partition(request.query["topic"])
        start = int(request.query["from_revision"])
        if start > len(partition.records):
            return 410, json.dumps({"first_offset": 0}).encode()
        if start == len(partition.records):
            try:
                async with asyncio.timeout(int(request.query.get("wait_ms", "0")) / 1000):
                    await partition.changed.wait()
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(partition.records), 0)
        for content in partition.records[start:]:
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def _newest(self, request: Request) -> tuple[int, bytes]:
        partition = self.partition(request.query["topic"])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(partition.newest.items())
        ]
        answer = {"items": items, "has_more": False, "end_offset": len(partition.records)}
        return 200, json.dumps(answer).encode()


class Lease:
    """A hold of keys at an upstream, from the arrival of a grant to its end."""

    def __init__(self, first: int, last: int, fence: int, began: float, ends: float) -> None:
        self.first, self.last, self.fence = first, last, fence
        self.began, self.ends = began, ends


class Upstream(HttpServer):
    """An upstream that owns key ranges under fenced grants and runs requests."""

    def __init__(self, name: str, service: str, record: Record, sharded: bool, slots: int) -> None:
        super().__init__()
        self.name, self.service, self.sharded, self.slots = name, service, sharded, slots
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        # Whether the store hears this upstream's pings.
        self.reaches_store = True
        self.state = "ready"
        self.work_s = 0.05
        self.ran: dict[str, int] = {}
        self.leases: list[Lease] = []
        self.past_leases: list[Lease] = []
        self._record = record

    def entry(self) -> bytes:
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "max_concurrency": self.slots,
                "state": self.state,
                "warmup_left_s": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()

    def held(self) -> list[Lease]:
        """Return every hold of this upstream, with its end."""
        return [*self.past_leases, *self.leases]

    def _cut_leases(self, first: int, last: int, now: float) -> None:
        """End the holds of some keys now."""
        kept = []
        for lease in self.leases:
            if lease.last < first or lease.first > last:
                kept.append(lease)
                continue
            ended = Lease(
                max(first, lease.first),
                min(last, lease.last),
                lease.fence,
                lease.began,
                min(now, lease.ends),
            )
            self.past_leases.append(ended)
            if lease.first < first:
                kept.append(Lease(lease.first, first - 1, lease.fence, lease.began, lease.ends))
            if lease.last > last:
                kept.append(Lease(last + 1, lease.last, lease.fence, lease.began, lease.ends))
        self.leases = kept

    def _grant(self, body: dict) -> int:
        now = self._record.now()
        first, last, fence = body["from_revision"], body["to"], body["fence"]
        seen = [lease.fence for lease in self.held() if lease.first <= last and first <= lease.last]
        if any(item > fence for item in seen):
            self._record.add(f"{self.name}: grant {first}-{last} fence {fence} refused with 409")
            return 409
        self._cut_leases(first, last, now)
        ends = now + body["hold_s"]
        self.leases.append(Lease(first, last, fence, now, ends))
        self._record.add(f"{self.name}: grant {first}-{last} fence {fence} until {ends:.3f}")
        return 200

    def notices(self) -> Headers:
        """Return the headers of all answers: an upstream that leaves says so."""
        return {"Server-Leaving": "1"} if self.state == "draining" else {}

    def holds(self, key: int) -> bool:
        now = self._record.now()
        return any(item.first <= key <= item.last and now < item.ends for item in self.leases)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        headers = self.notices()
        if "request-id" in request.headers:
            headers["Request-Id"] = request.headers["request-id"]
        if request.headers.get("target-instance", self.name) != self.name:
            writer.write(encode_answer(421, {**headers, "Instance-Id": self.name}, b""))
            return True
        if request.path == "/hyssopwood/grant":
            writer.write(encode_answer(self._grant(json.loads(request.body)), headers, b""))
            return True
        if request.path == "/hyssopwood/release":
            body = json.loads(request.body)
            self._cut_leases(body["from_revision"], body["to"], self._record.now())
            proof = f"{random.getrandbits(64):016x}"
            span = f"{body['from_revision']}-{body['to']}"
            self._record.add(f"{self.name}: release {span} fence {body['fence']}")
            writer.write(encode_answer(200, {**headers, "Handover": proof}, b""))
            return True
        if request.path == "/health":
            writer.write(encode_answer(200, {**headers, "Instance-Id": self.name}, b""))
            return True
        key = request.headers.get("shard-key")
        if self.sharded and (key is None or not self.holds(int(key))):
            writer.write(encode_answer(421, {**headers, "Not-Executed": "1"}, b""))
            return True
        return await self.run(request, headers, writer)

    async def run(self, request: Request, headers: Headers, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it."""
        name = request.headers.get("request-id", "-")
        self.ran[name] = self.ran.get(name, 0) + 1
        self._record.add(f"{self.name}: runs {request.method} {request.path} id {name}")
        await asyncio.sleep(self.work_s)
        headers["Response-Signature"] = f"{self.name}.{name}"
        writer.write(encode_answer(200, headers, f"{self.name} {name}".encode()))
        return True


async def send_pings(store: Store, upstreams: list[Upstream], record: Record) -> None:
    """Keep the upstreams' entries in the store, and remove those that are silent."""
    heard: dict[str, float] = {}
    while True:
        for item in upstreams:
            if item.reaches_store:
                heard[item.name] = time.monotonic()
                store.put("keyed.servers", item.name, item.entry())
        await asyncio.sleep(PING_INTERVAL_S)
        for name, at in list(heard.items()):
            if time.monotonic() - at > ENTRY_LIFETIME_S:
                del heard[name]
                store.put("keyed.servers", name, b"")
                record.add(f"store: entry of {name} expired")


class Proxy:
    """Forward connections to an address; the way back can be cut."""

    def __init__(self, target: str) -> None:
        self.host, self.port = "127.0.0.1", 0
        self._target = target
        # Bytes from the target are lost, and no new connection is established.
        self.answers_lost = False

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self.port = free_port(self.host)
        await asyncio.start_server(self._serve, self.host, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.answers_lost:
            # The answer to the opening packet is lost, so nothing ever arrives at the target.
            await asyncio.sleep(30)
            writer.close()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, target_writer, False), self._copy(target_reader, writer, True)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if is_answer and self.answers_lost:
                    # What follows on this connection is lost too, as bytes before it are missing.
                    await asyncio.sleep(30)
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


SETTINGS = """node_name={name}
role=gateway
machine_class=edge
serves=edge
ip={host}
zone=z1
region=r1
zones.z1=r1
listen.front={host}:{front}
listen.ready={host}:{ready}
internal_port_range={first},{last}
bootstrap={bootstrap}
loss_counts=false
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_s=0.87
contracts=base,drain,config,cost,retry,recover,own,platform
fault_tolerance.machines=2
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.contact_s=3
bounds.ack_s=4
bounds.catch_up_s=4
bounds.drain_s=2
bounds.grace_s=6
bounds.loss_slack_s=0.2
bounds.config_apply_s=2
bounds.rollback_slack_s=0.25
bounds.max_skew_s=5
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_extra=56
bounds.recovery_s=15
bounds.max_hold_s=10
bounds.thaw_slack_s=0.3
grants=direct
platform.address={store}
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.keep_s=300
platform.min_ttl_s=1
"""


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, store_address: str, folder: Path, record: Record) -> None:
        self.name, self._record, self._folder = name, record, folder
        self.host = loopback_host()
        self.front, self.ready = free_port(self.host), free_port(self.host)
        first = random.randrange(28_100, 30_000)
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=self.host,
                front=self.front,
                ready=self.ready,
                first=first,
                last=first + 15,
                store=store_address,
                bootstrap="true",
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["HYSSOPWOOD_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "src/gateway_main.py", cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add(f"platform: started {self.name} with process id {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            self._record.add(f"platform: sent {number.name} to {self.name}")

    async def wait_ended(self, limit_s: float) -> bool:
        assert self.process is not None
        try:
            async with asyncio.timeout(limit_s):
                status = await self.process.wait()
        except TimeoutError:
            return False
        self._record.add(f"platform: {self.name} ended with status {status}")
        return True

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(f"GET {READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return first.split(" ")[1] == "200"

    async def wait_ready(self) -> None:
        await until(self.is_ready, f"{self.name} is ready")
        self._record.add(f"platform: {self.name} is ready")

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class SetupFailedError(Exception):
    """Raised when the case can't run."""


async def until(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until a condition holds; raise SetupFailedError if that takes too long."""
    deadline = time.monotonic() + START_LIMIT_S
    while not await condition():
        if time.monotonic() > deadline:
            raise SetupFailedError(f"not reached: {what}")
        await asyncio.sleep(0.05)


class Answer:
    """What a client got: the status (0 for none), the headers and the body."""

    def __init__(self, status: int, headers: Headers, body: bytes, complete: bool) -> None:
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer with a length, in chunks, or up to the connection's end."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            while data := await reader.read(65_536):
                body += data
    except (OSError, asyncio.IncompleteReadError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


def encode_request(method: str, path: str, headers: Headers, body: bytes) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", *(f"{key}: {value}" for key, value in headers.items())]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


def route(
    name: str, prefix: str, kind: str, service: str, timeout_s: float, target_s: float
) -> dict:
    return {
        "name": name,
        "type": kind,
        "target_latency_s": target_s,
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {"service": service, "timeout_s": timeout_s, "max_attempts": 2},
    }


def manifest(routes: list[dict], services: dict[str, bool], max_body_bytes: int) -> bytes:
    """Return a manifest; `services` tells whether each one is divided by key."""
    return json.dumps(
        {
            "version": 7,
            "base_version": 5,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": max_body_bytes,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "listeners": [{"host": "ficu95.example", "route_rules": routes}],
            "clusters": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 110,
                    "protocol": "h1",
                    "tls": False,
                    **({"sharded": True, "warm_s": 3.0, "grants": "direct"} if sharded else {}),
                }
                for name, sharded in services.items()
            ],
        }
    ).encode()


def run_case(case: Callable[[Record, Path, bool], Awaitable[bool]], record_file: Path) -> None:
    """Run a case and write its record; exit with 0 if the rule held, 1 if not, 2 if not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_file)

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(110):
                try:
                    return await case(record, Path(temporary), trouble)
                finally:
                    # Connections of the stand-ins that are still open end here.
                    others = asyncio.all_tasks() - {asyncio.current_task()}
                    for task in others:
                        task.cancel()
                    await asyncio.gather(*others, return_exceptions=True)

    try:
        held = asyncio.run(run())
    except (SetupFailedError, TimeoutError) as error:
        record.add(f"the case could not run: {error}")
        print(f"the case could not run: {error}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    record.add("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
