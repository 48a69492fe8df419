"""Stand-ins of the platform's store, the backend servers and the clients, for the review's scripts.

They follow the users' pages. Everything listens on 127.0.0.1 and runs in the process of the script;
the gateways are separate processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STATUS_TEXT = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Record:
    """Write what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the script."""
        return time.monotonic() - self._began

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        line = {"t": round(self.now(), 4), "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {name: values[-1] for name, values in parse_qs(parts.query).items()}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None at the connection's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_answer(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """A TCP listener on a free port."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, contents: list[bytes], keyed: bool) -> int:
        offset = len(self.records)
        for content in contents:
            if keyed:
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

    def copy(self) -> _Partition:
        """Return a copy of the records."""
        other = _Partition()
        other.records, other.newest = list(self.records), dict(self.newest)
        return other


class Store(Listener):
    """The platform's store: keyed topics with one partition."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.era = 1
        self.up = True
        self.topics: dict[str, _Partition] = {}

    def partition(self, topic: str) -> _Partition:
        """Return the partition of a topic, which is created on first use."""
        return self.topics.setdefault(topic, _Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as operators and servers do; no value deletes the key."""
        name = key.encode()
        self.partition(topic).append([bytes((len(name),)) + name + value], keyed=True)

    def snapshot(self) -> dict[str, _Partition]:
        """Return a copy of all topics."""
        return {name: item.copy() for name, item in self.topics.items()}

    def restore(self, snapshot: dict[str, _Partition]) -> None:
        """Return to a copy; what was written since is gone, and the era rises by one."""
        replaced, self.topics = self.topics, snapshot
        self.era += 1
        for item in replaced.values():
            item.changed.set()

    def go_down(self) -> None:
        """Reset all connections, and each further one."""
        self.up = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_request(reader)
            if request is None:
                return
            if not self.up:
                writer.transport.abort()
                return
            status, body = await self._answer(request)
            kind = (
                "application/octet-stream" if request.path.endswith("read") else "application/json"
            )
            writer.write(
                encode_answer(status, {"Store-Era": str(self.era), "Content-Type": kind}, body)
            )
            await writer.drain()

    async def _answer(self, request: Request) -> tuple[int, bytes]:
        if request.path == "/hyssopwood/log-append":
            return self._append(request)
        if request.path == "/hyssopwood/log-read":
            return await self._read(request)
        if request.path == "/hyssopwood/log-newest":
            return self._newest(request)
        return 404, b"{}"

    def _append(self, request: Request) -> tuple[int, bytes]:
        topic = request.query["topic"]
        partition = self.partition(topic)
        at = request.query.get("at")
        if at is not None and int(at) != len(partition.records):
            return 412, json.dumps({"end_offset": len(partition.records)}).encode()
        contents, position = [], 0
        while position < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            contents.append(request.body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = partition.append(contents, topic.startswith("keyed."))
        self.record.write("store append", topic=topic, offset=offset, records=len(contents))
        answer = {"offset": offset, "end_offset": len(partition.records)}
        return 200, json.dumps(answer).encode()

    async def _read(self, request: Request) -> tuple[int, bytes]:
        topic, start = request.query["topic"], int(request.query["from_revision"])
        partition = self.partition(topic)
        if start > len(partition.records):
            return 410, json.dumps({"first_offset": 0}).encode()
        if start == len(partition.records):
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), max(0.001, wait_s))
            if partition is not self.topics.get(topic):
                return 410, json.dumps({"first_offset": 0}).encode()
        body = struct.pack(">QQ", len(partition.records), 0)
        limit = int(request.query.get("max_kb", "1024")) * 1024
        for content in partition.records[start:]:
            if len(body) + len(content) > limit:
                break
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def _newest(self, request: Request) -> tuple[int, bytes]:
        partition = self.partition(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:500]
        ]
        answer = {
            "items": items,
            "has_more": len(keys) > 500,
            "end_offset": len(partition.records),
        }
        return 200, json.dumps(answer).encode()


class _Hold:
    """A range that a server holds, with its fencing token and the end of its time."""

    def __init__(self, first: int, last: int, fence: int, until: float) -> None:
        self.first, self.last, self.fence, self.until = first, last, fence, until


class BackendServer(Listener):
    """A backend server that holds keys: grants, releases, requests and its registration.

    A request's path ends with the milliseconds of its work. Answers echo `Request-Id` if the call
    had one.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        name: str,
        service: str,
        slots: int = 8,
        zone: str = "a",
        keep_alive_s: int = 60,
    ) -> None:
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.slots, self.zone = name, service, slots, zone
        self.keep_alive_s = keep_alive_s
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.holds: list[_Hold] = []
        self.seen_fences: list[tuple[int, int, int]] = []
        # Every grant whose time has not run out, also of released keys.
        self.granted: list[tuple[int, int, float]] = []
        # Running work as (key, request id), and an event for each end of it.
        self.running: dict[int, tuple[int, str]] = {}
        self.ended = asyncio.Event()
        self.answers = 0
        self.runs: dict[str, int] = {}
        # Called with each answer to a command; returns whether another copy of it arrives late, at
        # the point where the next answer is expected.
        self.repeats: Callable[[Request], bool] = lambda request: False
        self.peers: list[BackendServer] = []
        self.violations: list[str] = []
        self._numbers = 0
        self._beats: asyncio.Task[None] | None = None
        self._slots = asyncio.Semaphore(slots)

    def register(self, key: str | None = None, **changes: object) -> None:
        """Write the server's entry, or one like it under another key."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "max_concurrency": self.slots,
            "state": self.state,
            "warmup_left_s": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
            **changes,
        }
        self.store.put("keyed.servers", key or self.name, json.dumps(entry).encode())

    def begin_heartbeats(self, interval_s: float = 0.87) -> None:
        """Write the entry now and at each interval."""

        async def beat() -> None:
            while True:
                if self.store.up:
                    self.register()
                await asyncio.sleep(interval_s)

        self._beats = asyncio.create_task(beat())

    def leave(self) -> None:
        """Remove the entry and write it no more."""
        if self._beats is not None:
            self._beats.cancel()
        self.store.put("keyed.servers", self.name, b"")

    async def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        await super().stop()

    def holds_key(self, key: int, now: float | None = None) -> bool:
        """Return whether the server holds a key."""
        now = time.monotonic() if now is None else now
        return any(item.first <= key <= item.last and now < item.until for item in self.holds)

    def overlap_with(self, other: BackendServer, now: float) -> tuple[int, int] | None:
        """Return a range of keys that both servers hold, or None."""
        for mine in self.holds:
            for theirs in other.holds:
                first, last = max(mine.first, theirs.first), min(mine.last, theirs.last)
                if first <= last and now < mine.until and now < theirs.until:
                    return first, last
        return None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late = b""
        while True:
            request = await read_request(reader)
            if request is None:
                return
            if late:
                self.record.write("extra answer arrives late", server=self.name)
                writer.write(late)
                await writer.drain()
                late = b""
            answer = await self._answer(request)
            self.answers += 1
            writer.write(answer)
            await writer.drain()
            if self.repeats(request):
                late = answer

    async def _answer(self, request: Request) -> bytes:
        own = {"Instance-Id": self.name, "Keep-Alive": f"timeout={self.keep_alive_s}"}
        if "request-id" in request.headers:
            own["Request-Id"] = request.headers["request-id"]
        target = request.headers.get("target-instance")
        if target is not None and target != self.name:
            return encode_answer(421, {**own, "Not-Executed": "1"})
        if request.path == "/hyssopwood/grant":
            return self._grant(request, own)
        if request.path == "/hyssopwood/release":
            return await self._release(request, own)
        return await self._run(request, own)

    def _grant(self, request: Request, own: dict[str, str]) -> bytes:
        now = time.monotonic()
        call = json.loads(request.body)
        first, last, fence = call["from_revision"], call["to"], call["fence"]
        fields = {"server": self.name, "first": first, "last": last, "fence": fence}
        if any(a <= last and first <= b and seen > fence for a, b, seen in self.seen_fences):
            self.record.write("grant refused", **fields)
            return encode_answer(409, own)
        until = now + call["hold_s"]
        news = not any(
            item.first <= first and last <= item.last and item.fence == fence and now < item.until
            for item in self.holds
        )
        if news:
            self.record.write("grant", hold_s=call["hold_s"], **fields)
        if news:
            self._check_peers(first, last, now)
        self.granted = [item for item in self.granted if now < item[2]]
        self.granted.append((first, last, until))
        self._cut(first, last)
        self.holds.append(_Hold(first, last, fence, until))
        self.seen_fences = [
            item for item in self.seen_fences if not (first <= item[0] and item[1] <= last)
        ]
        self.seen_fences.append((first, last, fence))
        return encode_answer(200, own)

    def _check_peers(self, first: int, last: int, now: float) -> None:
        """Note a grant of a key on which another server is at work while it holds the key."""
        for peer in self.peers:
            for key, request_id in peer.running.values():
                if first <= key <= last and now < peer.hold_would_end(key):
                    fact = {
                        "granted_to": self.name,
                        "still_at_work": peer.name,
                        "key": key,
                        "request": request_id,
                        "hold_left_s": round(peer.hold_would_end(key) - now, 3),
                    }
                    self.record.write("OWNER: key granted while another is at work", **fact)
                    self.violations.append(f"key {key} granted to {self.name}, {peer.name} at work")

    def hold_would_end(self, key: int) -> float:
        """Return when the grants of a key would have run out, had it not been released."""
        return max((until for a, b, until in self.granted if a <= key <= b), default=0.0)

    def _cut(self, first: int, last: int) -> None:
        kept: list[_Hold] = []
        for item in self.holds:
            if item.last < first or item.first > last:
                kept.append(item)
                continue
            if item.first < first:
                kept.append(_Hold(item.first, first - 1, item.fence, item.until))
            if item.last > last:
                kept.append(_Hold(last + 1, item.last, item.fence, item.until))
        self.holds = kept

    async def _release(self, request: Request, own: dict[str, str]) -> bytes:
        call = json.loads(request.body)
        first, last = call["from_revision"], call["to"]
        fields = {"server": self.name, "first": first, "last": last, "fence": call["fence"]}
        self.record.write("release", **fields)
        self._cut(first, last)
        while any(first <= key <= last for key, _ in self.running.values()):
            await self.ended.wait()
        self._numbers += 1
        self.record.write("release answered", **fields)
        return encode_answer(200, {**own, "Handover": f"{self.name}-{self._numbers:08x}"})

    async def _run(self, request: Request, own: dict[str, str]) -> bytes:
        request_id = request.headers.get("request-id", "")
        key = int(request.headers.get("shard-key", "-1"))
        if not request_id:
            return encode_answer(400, {**own, "Not-Executed": "1"})
        if key >= 0 and not self.holds_key(key, time.monotonic()):
            return encode_answer(421, {**own, "Not-Executed": "1"})
        async with self._slots:
            if key >= 0 and not self.holds_key(key, time.monotonic()):
                return encode_answer(421, {**own, "Not-Executed": "1"})
            self._numbers += 1
            number = self._numbers
            self.running[number] = key, request_id
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.write("run", server=self.name, request=request_id, key=key)
            try:
                await asyncio.sleep(int(request.path.rsplit("/", 1)[-1] or "0") / 1000)
            finally:
                del self.running[number]
                ended, self.ended = self.ended, asyncio.Event()
                ended.set()
        body = f"{self.name} ran {request_id}".encode()
        load = f"{len(self.running)},0,{self.slots}"
        return encode_answer(
            200, {**own, "Response-Signature": f"sig-{request_id}", "Server-Load": load}, body
        )


def watch_holders(servers: list[BackendServer], record: Record, limit_s: float) -> asyncio.Task:
    """Watch for two servers that hold the same keys for longer than `limit_s`."""

    async def watch() -> None:
        since: dict[tuple[str, str], float] = {}
        reported: set[tuple[str, str]] = set()
        while True:
            now = time.monotonic()
            for index, one in enumerate(servers):
                for other in servers[index + 1 :]:
                    pair = one.name, other.name
                    keys = one.overlap_with(other, now)
                    if keys is None:
                        since.pop(pair, None)
                        reported.discard(pair)
                        continue
                    began = since.setdefault(pair, now)
                    if now - began > limit_s and pair not in reported:
                        reported.add(pair)
                        record.write(
                            "OWNER: two servers hold the same keys",
                            servers=pair,
                            keys=keys,
                            for_s=round(now - began, 3),
                        )
                        one.violations.append(f"{pair} both hold {keys}")
            await asyncio.sleep(0.01)

    return asyncio.create_task(watch())


SETTINGS = """node_name={name}
role=gateway
machine_class=edge
serves=edge
ip={host}
zone=a
region=r
zones.a=r
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
platform.max_record_bytes=262144
platform.max_request_bytes=2097152
platform.keep_s=300
"""
_PORT_RANGE = 16


def _free_port() -> int:
    """Return a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(12_000, 30_000)
        with socket.socket() as item:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                item.bind((HOST, port))
            except OSError:
                continue
            return port


class Gateway:
    """A gateway in a process of its own, started with the command of the deploy file."""

    def __init__(self, record: Record, store: Store, name: str) -> None:
        self.record, self.name = record, name
        # The port of the metrics is the same on each machine, so each process has its own address.
        draw = random.SystemRandom().randrange
        self.host = f"127.{draw(2, 250)}.{draw(2, 250)}.{draw(2, 250)}"
        self.front, self.ready, self.first = _free_port(), _free_port(), _free_port()
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._settings = self._folder / "settings.conf"
        self._store = store.address
        self._process: subprocess.Popen[bytes] | None = None
        self.log = self._folder / "log.txt"

    def launch(self, bootstrap: bool = True) -> None:
        """Start the process."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                front=self.front,
                ready=self.ready,
                first=self.first,
                last=self.first + _PORT_RANGE,
                store=self._store,
                bootstrap="true" if bootstrap else "false",
            ),
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "HYSSOPWOOD_BOOT": str(self._settings),
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write("gateway started", gateway=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self._process is not None
        self.record.write("signal", gateway=self.name, signal=number.name)
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    @property
    def exit_code(self) -> int | None:
        """Return the process's exit code, or None while it runs."""
        return None if self._process is None else self._process.poll()

    def events(self) -> list[dict]:
        """Return the lines that the process has logged."""
        lines = self.log.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def close(self) -> None:
        """End the process and remove its folder."""
        self.kill()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def wait_ready(self, limit_s: float = 25.0) -> bool:
        """Return whether the process is ready within a time."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _, _ = await call(
                self.host, self.ready, b"GET /hyssopwood/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0
            )
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False


async def until(condition: Callable[[], bool], limit_s: float) -> bool:
    """Return whether a condition holds within a time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


async def call(
    host: str, port: int, data: bytes, limit_s: float
) -> tuple[int, dict[str, str], bytes]:
    """Send bytes over a new connection; return status, headers and body, or status 0."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Return the next answer on a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split(" ")[1]), headers, body


class Clients:
    """Clients that send requests and record the answers."""

    def __init__(self, record: Record, host_header: str) -> None:
        self.record, self.host_header = record, host_header
        self.statuses: dict[int, int] = {}
        self.answers: dict[str, int] = {}
        self._numbers = 0
        self._tasks: set[asyncio.Task] = set()

    def encode(
        self, method: str, path: str, key: int | None, deadline_ms: int, body: bytes = b""
    ) -> tuple[str, bytes]:
        """Return a new request's id and bytes."""
        self._numbers += 1
        request_id = f"{self._numbers:016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.host_header}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
        ]
        if key is not None:
            lines.append(f"Shard-Key: {key}")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return request_id, "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def send(
        self,
        gateway: Gateway,
        path: str,
        key: int | None,
        deadline_ms: int = 2000,
        method: str = "GET",
    ) -> int:
        """Send a request over a new connection and return the status, 0 without an answer."""
        request_id, data = self.encode(method, path, key, deadline_ms)
        self.record.write("sent", request=request_id, path=path, key=key, gateway=gateway.name)
        status, _, body = await call(gateway.host, gateway.front, data, deadline_ms / 1000 + 0.5)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.answers[request_id] = status
        self.record.write("answered", request=request_id, status=status, body=body.decode())
        return status

    def start(self, *arguments: object, **named: object) -> None:
        """Send a request in the background."""
        task = asyncio.create_task(self.send(*arguments, **named))  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)


def configuration(
    version: int, service: str, sharded: bool = True, timeout_s: float = 6.0
) -> bytes:
    """Return a configuration with two routes, one idempotent and one not, to one service."""

    def rule(name: str, prefix: str, kind: str) -> dict:
        return {
            "name": name,
            "match": {"path_prefix": prefix},
            "type": kind,
            "target_latency_s": 0.6,
            "priority": 1,
            "action": {"service": service, "timeout_s": timeout_s, "max_attempts": 2},
        }

    document = {
        "version": version,
        "listeners": [
            {
                "host": "shop.example",
                "route_rules": [
                    rule("browse", "/browse/", "safe"),
                    rule("book", "/book/", "unsafe"),
                ],
            }
        ],
        "clusters": [
            {
                "name": service,
                "health_path": "/health",
                "max_connections": 110,
                "sharded": sharded,
                "warm_s": 0.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_s": 5.0,
            "idle_timeout_s": 30.0,
        },
    }
    return json.dumps(document).encode()
