"""Steps for answers that are streamed while they arrive."""

import asyncio
import socket
import struct
import time

from behave import given, then, when

from hyssopwood.gateway.answer_stream import AnswerStream
from hyssopwood.gateway.caller_server import CallerServer
from hyssopwood.gateway.configuration_age import ConfigurationAge
from hyssopwood.gateway.crash_suspects import CrashMonitor
from hyssopwood.gateway.dispatcher import Dispatcher, DispatcherDependencies
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord
from hyssopwood.gateway.load_reports import LoadReports
from hyssopwood.gateway.queue_keeper import QueueKeeper
from hyssopwood.gateway.queue_link import QueueLink
from hyssopwood.gateway.queue_messages import Failure
from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.route_table import (
    CallerLimits,
    Route,
    RouteTable,
    RouteTables,
    ServiceSpec,
    WeightedService,
)
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.metrics import Metrics
from hyssopwood.platform.request_headers import PlatformHeaderCodec
from hyssopwood.timers import SystemTimers
from support.steady_reach import SteadyReach

SERVICE = "photos"
KIB = 1024
# Piece that the server repeats as its body.
PIECE = bytes(range(256)) * 16
SMALL = b"small"
LIMIT_S = 20.0


class _Server:
    """A server that sends a large body for /large as configured, and a small one otherwise."""

    def __init__(self, size, framing, ends="", cut=None, truncated_answers=None, delayed_bytes=0):
        self.size, self.framing, self.ends = size, framing, ends
        self.cut = size if cut is None else cut
        # Number of answers that are truncated; None for all of them.
        self.truncated_answers = truncated_answers
        self.delayed_bytes = delayed_bytes
        self.may_continue = asyncio.Event()
        self.requests = 0
        self.sent = 0
        self.ended_at = None

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
                if b"/large" in head.split(b"\r\n")[0]:
                    self.requests += 1
                    if not await self._send_large(writer, request_id):
                        return
                else:
                    writer.write(_head(request_id, len(SMALL), "length") + SMALL)
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            self.ended_at = time.monotonic()
        finally:
            writer.close()

    async def _send_large(self, writer, request_id):
        writer.write(_head(request_id, self.size, self.framing))
        early = self.truncated_answers is None or self.requests <= self.truncated_answers
        limit = self.cut if early else self.size
        left = limit
        while left:
            piece = PIECE[:left]
            if self.delayed_bytes and left <= self.delayed_bytes:
                await self._wait_to_continue(writer)
            if self.framing == "chunks":
                piece_framed = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
                writer.write(piece_framed)
            else:
                writer.write(piece)
            await writer.drain()
            left -= len(piece)
            self.sent += len(piece)
        if limit < self.size:
            if self.ends == "resets":
                await asyncio.sleep(0.05)
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
            return False
        if self.framing == "chunks":
            writer.write(b"0\r\n\r\n")
        return self.framing != "close"

    async def _wait_to_continue(self, writer):
        while not self.may_continue.is_set():
            if writer.transport.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(0.005)


def _head(request_id, size, framing):
    lines = [b"HTTP/1.1 200 OK", b"Request-Id: " + request_id, b"Response-Signature: s"]
    if framing == "length":
        lines.append(f"Content-Length: {size}".encode())
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _body(size):
    return (PIECE * (size // len(PIECE) + 1))[:size]


def _table(timeout_s):
    spec = ServiceSpec(
        name=SERVICE, health_path="/h", max_connections=99, sharded=False, warm_s=1.0
    )
    route = Route(
        name="all",
        host="a",
        path_prefix="/",
        targets=(WeightedService(SERVICE, 1.0),),
        idempotent=True,
        max_attempts=2,
        timeout_s=timeout_s,
        target_latency_s=timeout_s,
        priority=0,
    )
    limits = CallerLimits(
        header_bytes=1000, body_bytes=1000, header_timeout_s=3.0, idle_timeout_s=15.0
    )
    return RouteTable(version=1, routes=(route,), services={SERVICE: spec}, limits=limits)


class _RecordingLink(QueueLink):
    """Record the result with which each slot is released."""

    def release(self, place, done):
        self.returned.append(done)
        super().release(place, done)


def _start(context, server, timeout_s=LIMIT_S):
    context.server = server
    context.server_task = context.run(asyncio.start_server(server.serve, "127.0.0.1", 0))
    context.add_cleanup(context.server_task.close)
    timers = SystemTimers()
    directory = ServerDirectory()
    port = context.server_task.sockets[0].getsockname()[1]
    # Two registrations of the same server make a retry possible.
    for name in ("s1", "s2"):
        directory.put(
            ServerRecord(
                server=name,
                service=SERVICE,
                address=f"127.0.0.1:{port}",
                failure_domain="a",
                slots=20,
                draining=False,
                warmup_left_s=0.0,
                born_ms=1,
                sequence=1,
            )
        )
    tables = RouteTables()
    tables.offer(_table(timeout_s))
    metrics, health = Metrics(), ServerHealth(timers)
    own = InstanceRecord("i1", "127.0.0.1:1", "a")
    limits = ServerLimits(timers, metrics)
    keeper = QueueKeeper(directory, health, limits, lambda incarnation: 0, timers)
    context.queues = _RecordingLink(
        own.address, own.instance, InstanceList(own), keeper, timers, metrics, lambda leads: None
    )
    context.queues.returned = []
    dispatcher = Dispatcher(
        DispatcherDependencies(
            tables=tables,
            configuration_age=ConfigurationAge(timers, lambda: None),
            directory=directory,
            plan=PlanView(timers),
            pool=ServerPool(timers, b"request-id"),
            health=health,
            limits=limits,
            header_codec=PlatformHeaderCodec(),
            timers=timers,
            metrics=metrics,
            failure_domain="a",
            queues=context.queues,
            new_budget=lambda: RetryBudget(0.2, 8.0, 10.0, lambda: 1),
            reports=LoadReports(KeyLoad(timers)),
            crashes=CrashMonitor(timers),
            reach=SteadyReach(),
        )
    )
    context.listener = CallerServer("127.0.0.1:0", dispatcher, timers)
    context.run(context.listener.start())
    context.add_cleanup(context.listener.close)


@given("a gateway before a server that sends {size:d} KiB by {framing:w}")
def step_server(context, size, framing):
    _start(context, _Server(size * KIB, framing))


@given("a gateway before a server that sends {size:d} KiB by length, the last {held:d} KiB later")
def step_held(context, size, held):
    _start(context, _Server(size * KIB, "length", delayed_bytes=held * KIB))


@given(
    "a gateway before a server that sends {size:d} KiB by {framing:w} "
    "and {ends:w} after {cut:d} KiB"
)
def step_cut(context, size, framing, ends, cut):
    _start(context, _Server(size * KIB, framing, ends, cut * KIB))


@given(
    "a gateway before a server that sends {size:d} KiB by {framing:w} "
    "and once {ends:w} after {cut:d} KiB"
)
def step_cut_once(context, size, framing, ends, cut):
    _start(context, _Server(size * KIB, framing, ends, cut * KIB, truncated_answers=1))


async def _open(context):
    port = context.listener._server.sockets[0].getsockname()[1]
    return await asyncio.open_connection("127.0.0.1", port)


def _request(path, version="1.1", number=1, deadline_s=LIMIT_S):
    return (
        f"GET {path} HTTP/{version}\r\nHost: a\r\nRequest-Id: r{number}\r\n"
        f"Deadline-Ms: {int(deadline_s * 1000)}\r\n\r\n"
    ).encode()


async def _read_body(reader):
    """Return a body and whether it is complete as far as a caller can tell."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    assert head.startswith(b"http/1.1 200"), head
    try:
        if b"content-length: " in head:
            size = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            return await reader.readexactly(size), True
        if b"transfer-encoding: chunked" in head:
            return await _read_chunks(reader)
        return await reader.read(), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except ConnectionError:
        return b"", False


async def _read_chunks(reader):
    body = bytearray()
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return bytes(body), True


@when("a caller asks for it")
def step_ask(context):
    step_ask_version(context, "1.1")


@when("a caller of HTTP/{version} asks for it")
def step_ask_version(context, version):
    async def ask():
        reader, writer = await _open(context)
        writer.write(_request("/large", version))
        if context.server.delayed_bytes:
            head = await reader.readuntil(b"\r\n\r\n")
            first = await reader.readexactly(500 * KIB)
            context.early = len(first)
            context.rest_pending = not context.server.may_continue.is_set()
            context.server.may_continue.set()
            size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            result = first + await reader.readexactly(size - len(first)), True
        else:
            result = await _read_body(reader)
        writer.close()
        await asyncio.sleep(0.05)
        return result

    async def limited():
        async with asyncio.timeout(LIMIT_S):
            return await ask()

    context.body, context.whole = context.run(limited())


@when("a caller of HTTP/{version} asks for it, and the gateway ends after {size:d} KiB")
def step_end_within(context, version, size):
    async def ask():
        port = context.listener._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=16 * KIB)
        writer.write(_request("/large", version))
        await reader.readuntil(b"\r\n\r\n")
        body = await reader.readexactly(size * KIB)
        connections = list(context.listener._connections)
        context.listener.reset_unfinished()
        # The end of a process closes its sockets and discards what it hasn't written.
        for connection in connections:
            connection._transport.abort()
        try:
            while data := await reader.read(64 * KIB):
                body += data
            whole = True
        except ConnectionError:
            whole = False
        writer.close()
        return body, whole

    context.body, context.whole = context.run(ask())


@when("a caller asks for it within {seconds:g} s")
def step_ask_within(context, seconds):
    async def ask():
        reader, writer = await _open(context)
        writer.write(_request("/large", deadline_s=seconds))
        result = await _read_body(reader)
        context.left_at = time.monotonic()
        writer.close()
        await asyncio.sleep(0.2)
        return result

    context.body, context.whole = context.run(ask())


@when("a caller asks for it and leaves after {size:d} KiB")
def step_leave(context, size):
    async def leave():
        reader, writer = await _open(context)
        writer.write(_request("/large"))
        await reader.readexactly(size * KIB)
        context.left_at = time.monotonic()
        writer.transport.abort()
        await asyncio.sleep(0.3)

    context.run(leave())


@when("a caller reads it at {rate:d} MiB/s for {seconds:d} s beside {count:d} small requests")
def step_slow(context, rate, seconds, count):
    context.max_buffered = 0
    context.times = []
    streams = []
    made = AnswerStream.__init__

    def record_stream(stream, *args):
        made(stream, *args)
        streams.append(stream)

    def measure():
        waiting = sum(len(stream._waiting) for stream in streams)
        unsent = sum(
            connection._transport.get_write_buffer_size()
            for connection in context.listener._connections
            if connection._transport is not None
        )
        context.max_buffered = max(context.max_buffered, waiting + unsent)

    async def read_slowly():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", context.listener._server.sockets[0].getsockname()[1], limit=16 * KIB
        )
        writer.write(_request("/large"))
        step_s = 0.01
        for _ in range(int(seconds / step_s)):
            await reader.readexactly(int(rate * KIB * KIB * step_s))
            measure()
            await asyncio.sleep(step_s)
            measure()
        writer.transport.abort()

    async def ask_small(number):
        await asyncio.sleep(seconds * number / count)
        reader, writer = await _open(context)
        began = time.monotonic()
        writer.write(_request("/small", number=number + 2))
        body, whole = await _read_body(reader)
        assert body == SMALL and whole
        context.times.append(time.monotonic() - began)
        writer.close()

    async def both():
        await asyncio.gather(read_slowly(), *(ask_small(number) for number in range(count)))

    AnswerStream.__init__ = record_stream
    try:
        context.run(both())
    finally:
        AnswerStream.__init__ = made


@when("a caller pipelines requests for it and for a small answer")
def step_pipeline(context):
    async def ask():
        reader, writer = await _open(context)
        writer.write(_request("/large", number=1) + _request("/small", number=2))
        async with asyncio.timeout(LIMIT_S):
            large = await _read_body(reader)
            small = await _read_body(reader)
        writer.close()
        return large, small

    context.both = context.run(ask())


@then("the caller has {size:d} KiB before the server sends the rest")
def step_early(context, size):
    assert context.early >= size * KIB and context.rest_pending


@then("the caller has the whole body in the end")
def step_whole(context):
    assert context.whole
    assert context.body == _body(context.server.size)


@then("the caller can tell that the body is incomplete")
def step_incomplete(context):
    assert not context.whole
    assert len(context.body) < context.server.size


@then("the slot at the server was released once, without a failure")
def step_released(context):
    assert [done.failure for done in context.queues.returned] == [Failure.NONE]


@then("the slot at the server was released once, as failed")
def step_released_failed(context):
    assert [done.failure for done in context.queues.returned] == [Failure.UNCERTAIN]


@then("the server got {count:d} requests")
def step_requests(context, count):
    assert context.server.requests == count


@then("the gateway held at most {size:d} KiB of it at any time")
def step_held_at_most(context, size):
    assert 0 < context.max_buffered <= size * KIB, context.max_buffered


@then("each small request was answered within {limit:d} ms")
def step_small_times(context, limit):
    assert len(context.times) == 300
    assert max(context.times) * 1000 <= limit, max(context.times)


@then("the server's connection ends within {limit:d} ms")
def step_server_ended(context, limit):
    assert context.server.ended_at is not None
    assert (context.server.ended_at - context.left_at) * 1000 <= limit


@then("the caller has both answers in their order")
def step_both(context):
    (large, large_whole), (small, small_whole) = context.both
    assert large_whole and large == _body(context.server.size)
    assert small_whole and small == SMALL


@when("a caller asks for it {count:d} times")
def step_ask_often(context, count):
    async def ask():
        context.bodies = []
        for _ in range(count):
            reader, writer = await _open(context)
            writer.write(_request("/large"))
            async with asyncio.timeout(1.0):
                context.bodies.append(await _read_body(reader))
            writer.close()
            # Give the connection time to return to the pool for the next exchange.
            await asyncio.sleep(0.01)

    context.run(ask())


@then("the caller has had the whole body {count:d} times")
def step_had_often(context, count):
    assert context.bodies == [(_body(context.server.size), True)] * count


@when("a caller asks for it, and reads only {seconds:g} s after the gateway has it whole")
def step_read_late(context, seconds):
    async def ask():
        loop = asyncio.get_running_loop()
        # Nothing reads from this socket yet, and the buffers on both sides hold a few KiB.
        raw = socket.socket()
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        port = context.listener._server.sockets[0].getsockname()[1]
        await loop.sock_connect(raw, ("127.0.0.1", port))
        while not any(item._transport for item in context.listener._connections):
            await asyncio.sleep(0.001)
        (connection,) = context.listener._connections
        own = connection._transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * KIB)
        await loop.sock_sendall(raw, _request("/large"))
        async with asyncio.timeout(LIMIT_S):
            while context.server.sent < context.server.size or not _idle_slots(context):
                await asyncio.sleep(0.001)
        context.busy = []
        for _ in range(int(seconds / 0.01)):
            context.busy.append(context.listener.busy)
            await asyncio.sleep(0.01)
        received = bytearray()
        async with asyncio.timeout(LIMIT_S):
            while b"\r\n\r\n" not in received or len(_body_of(received)) < context.server.size:
                received += await loop.sock_recv(raw, 64 * KIB)
        raw.close()
        return _body_of(received)

    context.body, context.whole = context.run(ask()), True


def _body_of(received):
    return bytes(received).partition(b"\r\n\r\n")[2]


def _idle_slots(context):
    return all(not connection._slots for connection in context.listener._connections)


@then("the gateway was busy all the time")
def step_busy(context):
    assert context.busy and all(context.busy), context.busy
