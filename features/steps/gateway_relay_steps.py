"""Steps for connections that an instance relays to servers."""

import asyncio
import os
import random
import re
import signal
import struct
import subprocess
import sys
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from loguru import logger

from hyssopwood.gateway.exchange import (
    ExchangeBrokenError,
    NotSentError,
    OwnLinkError,
    ServerRequest,
)
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, InstanceUpdate
from hyssopwood.gateway.read_buffer import reset
from hyssopwood.gateway.relay_codec import RelayReply, RelayRequest, RelayResult
from hyssopwood.gateway.relay_frames import Frame, FrameKind, FrameReader
from hyssopwood.gateway.relay_server import RelayServer
from hyssopwood.gateway.server_connector import ServerConnector
from hyssopwood.gateway.server_directory import ServerDirectory
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.gateway.server_relays import ServerRelays
from hyssopwood.metrics import Metrics
from hyssopwood.timers import SystemTimers
from support.gateway_deployment import free_addresses
from support.relaying_process import OwnLinks, server_record

ID_HEADER = b"request-id"
BODY = b"x" * 300 * 1024
LIMIT_S = 5.0


class _Listener:
    """A server that counts its requests."""

    def __init__(self):
        self.requests = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def close(self):
        self._server.close()


class _Server(_Listener):
    """A server that answers each request in one way."""

    def __init__(self, does):
        super().__init__()
        self.does = does
        self.ended = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            if self.does == "speaks before the request":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                if self.does == "never answers":
                    await reader.read()
                    self.ended.set()
                    return
                await self._answer(writer)
        except (asyncio.IncompleteReadError, OSError):
            self.ended.set()
        finally:
            writer.close()

    async def _answer(self, writer):
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
        length = b"Content-Length: %d\r\n" % len(BODY)
        does = self.does
        if does == "answers after 0.5 s":
            await asyncio.sleep(0.5)
        if "before the answer" in does:
            pass
        elif "within the body" in does:
            writer.write(head + length + b"\r\n" + BODY[:100_000])
            await asyncio.sleep(0.05)
        elif "without a length" in does:
            writer.write(head + b"Connection: close\r\n\r\n" + BODY)
            await asyncio.sleep(0.05)
        elif "300 KiB" in does:
            writer.write(head + length + b"\r\n" + BODY)
        else:
            writer.write(head + b"Content-Length: 2\r\n\r\nok")
        if "reset" in does:
            reset(writer.transport)
        elif "close" in does:
            writer.close()


def _server_that(does):
    match = re.fullmatch(r"answers (.+) and pauses after (\d+) bytes", does)
    return _PausingServer(match[1], int(match[2])) if match else _Server(does)


@given("an instance that relays to a server which {does}")
def step_relay(context, does):
    timers, metrics = SystemTimers(), Metrics()
    context.server = _server_that(does)
    address = context.run(context.server.start())
    context.add_cleanup(context.server.close)
    (relay_address,) = free_addresses(1)
    directory, health, reach = ServerDirectory(), ServerHealth(timers), OwnLinks()
    context.relaying_health = health
    context.stopping = does == "answers, though the instance stops"
    reach.is_cut_off = does == "can't be reached by the instance either"
    context.record = server_record(address)
    if does == "doesn't listen":
        context.server.close()
    if does == "has started again since":
        directory.put(server_record(address, born_ms=2))
    elif does != "isn't registered":
        directory.put(server_record(address, draining=does == "is draining"))
    if does == "has told the instance to back off":
        health.record_back_off(("s1", 1), 5.0)
    context.asking_health = ServerHealth(timers)
    own = InstanceRecord("i1", "127.0.0.1:1", "a")
    other = InstanceRecord("i2", "127.0.0.1:2", "a", relay_address=relay_address)
    instances = InstanceList(own)
    instances.apply(InstanceUpdate((own, other), complete=True))
    context.relays = ServerRelays(own, instances, context.asking_health, timers, metrics)
    connector = ServerConnector(reach, context.relays, timers)
    context.relay_server = RelayServer(
        relay_address,
        directory,
        connector,
        reach,
        health,
        timers,
        metrics,
        lambda: context.stopping,
    )
    context.relay_address = relay_address
    if does == "answers, though the instance is silent":
        silent = context.run(_listen_silently(relay_address))
        context.add_cleanup(silent.close)
    elif does != "answers, though the instance is gone":
        context.run(context.relay_server.start())
        context.add_cleanup(context.relay_server.close)


async def _listen_silently(address):
    host, _, port = address.rpartition(":")
    return await asyncio.start_server(lambda reader, writer: None, host, int(port))


async def _exchange(context):
    async def connect(record):
        context.connection = await context.relays.connect(record)
        await asyncio.sleep(0.02)
        return context.connection

    context.pool = ServerPool(SystemTimers(), ID_HEADER, connect)
    request = ServerRequest(
        method=b"GET", target=b"/x", headers=((b"Request-Id", b"r1"),), body=b"", request_id=b"r1"
    )
    answer = await context.pool.exchange(context.record, request)
    body = answer.body
    while answer.stream is not None and (data := await answer.stream.read()):
        body += data
    return body


async def _run_exchange(context):
    try:
        async with asyncio.timeout(LIMIT_S):
            body = await _exchange(context)
    except (ExchangeBrokenError, NotSentError):
        return "a broken answer"
    return "the whole answer" if body in (b"ok", BODY) else f"{len(body)} bytes"


@when("a request is sent over a relayed connection")
def step_exchange(context):
    context.result = context.run(_run_exchange(context))


@then("the exchange ends with {result}")
def step_result(context, result):
    assert context.result == result, context.result


@when("a relayed connection is asked for")
def step_ask(context):
    context.failure = None

    async def ask():
        try:
            await context.relays.connect(context.record)
        except NotSentError as error:
            context.failure = type(error).__name__

    context.run(ask())


@then("asking fails with {error}")
def step_failure(context, error):
    assert context.failure == error, context.failure


@then("the server got no request")
def step_no_request(context):
    assert context.server.requests == 0


@when("a request is sent over a relayed connection and cancelled after {seconds:g} s")
def step_cancel(context, seconds):
    async def cancel():
        task = asyncio.ensure_future(_exchange(context))
        await asyncio.sleep(seconds)
        assert context.server.requests == 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.run(cancel())


@then("the server sees the connection end within {seconds:g} s")
def step_ended(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            await context.server.ended.wait()

    context.run(wait())


@when("a request is sent over a relayed connection and the instance stops {seconds:g} s later")
def step_stop(context, seconds):
    async def stop():
        task = asyncio.ensure_future(_run_exchange(context))
        await asyncio.sleep(seconds)
        context.stopping = True
        context.relay_server.retire()
        context.busy_while_running = []
        while not task.done():
            context.busy_while_running.append(context.relay_server.busy)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.05)
        return task.result()

    context.result = context.run(stop())


@then("the instance counts as busy until then, and the asking one closes the connection after it")
def step_busy(context):
    assert min(context.busy_while_running) == 1, context.busy_while_running
    assert context.relay_server.busy == 0
    assert context.connection.ended


@when(
    "a request is sent over a relayed connection and its server asks for a back-off of"
    " {seconds:g} s"
)
def step_back_off(context, seconds):
    async def back_off():
        assert await _run_exchange(context) == "the whole answer"
        context.relays.report_back_off(context.record, seconds)
        await asyncio.sleep(0.1)

    context.run(back_off())


@then("the relaying instance stays away from the server and closes the relayed connection")
def step_stays_away(context):
    assert context.relaying_health.back_off_left_s(("s1", 1)) > 4
    assert context.connection.ended


@then("another instance that asks for a relayed connection is told of the back-off")
def step_told(context):
    step_ask(context)
    assert context.failure == "NotSentError", context.failure
    assert context.asking_health.back_off_left_s(("s1", 1)) > 4


_BYTES = {
    "40 random bytes": random.Random(1).randbytes(40),
    "65535 random bytes": random.Random(2).randbytes(65_535),
    "a length of 65535": struct.pack(">H", 65_535),
    "no bytes": b"",
    "a request and more bytes": RelayRequest("s1", 1).encode() + b"GET / HTTP/1.1\r\n\r\n",
}


@when("{name} are sent to its relay address")
def step_bytes(context, name):
    async def send():
        host, _, port = context.relay_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_BYTES[name])
        try:
            async with asyncio.timeout(1.5):
                context.received = await reader.read()
        except ConnectionResetError:
            context.received = b""
        finally:
            writer.close()

    context.run(send())


@then("that connection is ended within {seconds:g} s")
def step_connection_ended(context, seconds):
    assert context.received == b"", context.received


@then("a request over a relayed connection still gets its answer")
def step_still(context):
    assert context.run(_run_exchange(context)) == "the whole answer"


class _KnownRelays(ServerRelays):
    """Ask instances of which it is known whether they reach the server."""

    reaching = frozenset()

    async def _connect_by(self, record, server):
        if record.instance in self.reaching:
            return record.instance
        raise NotSentError("no connection")


@given('instances "{reaching}" that reach a server and "{cut}" that don\'t, by failure domain')
def step_known_relays(context, reaching, cut):
    names = [name for name in f"{reaching},{cut}".split(",") if name]
    records = tuple(
        InstanceRecord(name, f"{name}:1", name[0], relay_address=f"{name}:2") for name in names
    )
    own = InstanceRecord("a1", "a1:1", "a")
    context.known_instances = InstanceList(own)
    context.known_instances.apply(InstanceUpdate((own, *records), complete=True))
    context.reaching = frozenset(reaching.split(","))
    context.own_record = own


@given('instances "" that reach a server and "{cut}" that don\'t, by failure domain')
def step_no_known_relays(context, cut):
    step_known_relays(context, "", cut)


@when("relayed connections to the server are asked for with {count:d} seeds")
def step_ask_with_seeds(context, count):
    context.opened = []
    for seed in range(count):
        timers = SystemTimers()
        relays = _KnownRelays(
            context.own_record,
            context.known_instances,
            ServerHealth(timers),
            timers,
            Metrics(),
            random.Random(seed),
        )
        relays.reaching = context.reaching
        try:
            context.opened.append(context.run(relays.connect(server_record("127.0.0.1:1"))))
        except NotSentError as error:
            context.opened.append(type(error))


@then("every one is opened")
def step_all_opened(context):
    assert set(context.opened) <= context.reaching, context.opened


@then("every one fails as the server's fault")
def step_all_fail(context):
    assert set(context.opened) == {NotSentError}, context.opened


PAUSE_S = 0.4
FIRST_PART_LIMIT_S = 3.0
CHUNK_BYTES = 4096


def _encode_body(framing, data):
    if framing != "in chunks":
        return data
    pieces = (data[first : first + CHUNK_BYTES] for first in range(0, len(data), CHUNK_BYTES))
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)


def _encode_head(framing):
    headers = {
        "without a length": b"Connection: close\r\n",
        "in chunks": b"Transfer-Encoding: chunked\r\n",
        "with a length": b"Content-Length: %d\r\n" % len(BODY),
    }
    return b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + headers[framing] + b"\r\n"


class _PausingServer(_Listener):
    """A server that pauses within the body of each answer."""

    def __init__(self, framing, first):
        super().__init__()
        self.framing, self.first = framing, first
        self.pauses = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                writer.write(_encode_head(self.framing))
                writer.write(_encode_body(self.framing, BODY[: self.first]))
                self.pauses.set()
                await asyncio.sleep(PAUSE_S)
                writer.write(_encode_body(self.framing, BODY[self.first :]))
                if self.framing == "in chunks":
                    writer.write(b"0\r\n\r\n")
                await writer.drain()
                if self.framing == "without a length":
                    return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()


def _relays_by_way_of(relay_address):
    """Return an instance's relays by way of the only other instance."""
    timers, metrics = SystemTimers(), Metrics()
    own = InstanceRecord("i1", "127.0.0.1:1", "a")
    other = InstanceRecord("i2", "127.0.0.1:2", "a", relay_address=relay_address)
    instances = InstanceList(own)
    instances.apply(InstanceUpdate((own, other), complete=True))
    return ServerRelays(own, instances, ServerHealth(timers), timers, metrics)


@given("a process that relays to a server which answers {framing} and pauses after {first:d} bytes")
def step_relaying_process(context, framing, first):
    context.server = _PausingServer(framing, first)
    address = context.run(context.server.start())
    context.add_cleanup(context.server.close)
    (context.relay_address,) = free_addresses(1)
    script = Path(__file__).parent.parent / "support" / "relaying_process.py"
    command = [sys.executable, str(script), context.relay_address, address]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, env=environment)
    context.add_cleanup(context.process.stdout.close)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    assert context.process.stdout.readline() == b"ready\n"
    context.relays = _relays_by_way_of(context.relay_address)
    context.record = server_record(address)


async def _end_in_pause(context, ending):
    async with asyncio.timeout(FIRST_PART_LIMIT_S):
        await context.server.pauses.wait()
    await asyncio.sleep(PAUSE_S / 4)
    if ending.startswith("is paused"):
        context.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(2 * PAUSE_S)
    if "killed" in ending:
        context.process.kill()


@when("a request is sent over a relayed connection and the process {ending} in the pause")
def step_end_process(context, ending):
    async def run():
        task = asyncio.ensure_future(_run_exchange(context))
        await _end_in_pause(context, ending)
        return await task

    context.result = context.run(run())


async def _read_without_frames(context, reading, ending):
    """Send a request as builds do that read no frames, and return how the answer ends."""
    host, _, port = context.relay_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(RelayRequest("s1", 1).encode())
    (size,) = struct.unpack(">H", await reader.readexactly(2))
    await reader.readexactly(size)
    writer.write(b"GET /x HTTP/1.1\r\nRequest-Id: r1\r\n\r\n")
    ended = asyncio.ensure_future(_end_in_pause(context, ending))
    if reading == "late":
        await ended
    try:
        async with asyncio.timeout(LIMIT_S):
            data = await reader.read(-1)
    except ConnectionResetError:
        return "a reset"
    finally:
        await ended
        writer.close()
    whole = data == _encode_head(context.server.framing) + BODY
    return f"{'the whole answer' if whole else len(data)} and an orderly close"


@when(
    "an instance that reads no frames sends a request, reads {reading}, and the process {ending}"
    " in the pause"
)
def step_read_without_frames(context, reading, ending):
    context.seen = context.run(_read_without_frames(context, reading, ending))


@then("that instance sees {result}")
def step_seen(context, result):
    assert context.seen == result, context.seen


def _start_plain_relay(context, reply, sent):
    """Start an instance that accepts each relay and sends given bytes after the request."""

    async def serve(reader, writer):
        (size,) = struct.unpack(">H", await reader.readexactly(2))
        await reader.readexactly(size)
        writer.write(reply.encode())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await writer.drain()
        writer.close()

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.add_cleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    context.relays = _relays_by_way_of(context.run(start()))
    context.record = server_record("127.0.0.1:1")


@given("an instance of an earlier build that relays an answer {framing} and then closes")
def step_earlier_relay(context, framing):
    sent = _encode_head(framing) + _encode_body(framing, BODY)
    if framing == "in chunks":
        sent += b"0\r\n\r\n"
    _start_plain_relay(context, RelayReply(RelayResult.CONNECTED), sent)


@given("an instance of an earlier build that relays frames of {form} and then closes")
def step_malformed_frames(context, form):
    answer = Frame(FrameKind.BYTES, _encode_head("without a length") + BODY).encode()
    sent = {
        "an unknown kind": answer + struct.pack(">BI", 77, 0),
        "a close that has bytes": answer + struct.pack(">BI", FrameKind.SERVER_CLOSED.value, 1),
        "a header cut short": answer + Frame(FrameKind.SERVER_CLOSED).encode()[:-1],
    }
    _start_plain_relay(context, RelayReply(RelayResult.CONNECTED, framed=True), sent[form])


def _random_frames(rng):
    frames = [
        Frame(FrameKind.BYTES, rng.randbytes(rng.choice((0, 1, 4, 5, 6, 300, 70_000))))
        for _ in range(rng.randrange(6))
    ]
    return [*frames, Frame(FrameKind.SERVER_CLOSED)] if rng.random() < 0.5 else frames


@when("{count:d} sequences of frames are cut into pieces at random with seed {seed:d}")
def step_cut_frames(context, count, seed):
    rng = random.Random(seed)
    context.wrong = []
    for _ in range(count):
        frames = _random_frames(rng)
        data = b"".join(frame.encode() for frame in frames)
        frame_reader, body, closed, position = FrameReader(), b"", False, 0
        while position < len(data):
            size = rng.choice((1, 2, 5, 6, 1000, 65_536))
            for frame in frame_reader.feed(data[position : position + size]):
                assert len(frame.data) <= size and not closed
                body += frame.data
                closed = frame.kind is FrameKind.SERVER_CLOSED
            position += size
        expected = b"".join(frame.data for frame in frames)
        if (body, closed) != (expected, Frame(FrameKind.SERVER_CLOSED) in frames):
            context.wrong.append(frames)


@then("each is read as it was sent, with at most one piece held in memory")
def step_frames_read(context):
    assert not context.wrong, len(context.wrong)


def _happen(context, event):
    if event == "the instance stops":
        context.stopping = True
        context.relay_server.retire()
    else:
        context.relaying_health.record_back_off(("s1", 1), 5.0)
        context.relay_server.refuse_requests_to(("s1", 1))


async def _happen_in_pause(context, event):
    async with asyncio.timeout(FIRST_PART_LIMIT_S):
        await context.server.pauses.wait()
    # Without this, the announcement could arrive before the request is sent.
    await asyncio.sleep(PAUSE_S / 4)
    _happen(context, event)


@when("a request is sent over a relayed connection and {event} in the pause")
def step_event_in_pause(context, event):
    async def run():
        task = asyncio.ensure_future(_run_exchange(context))
        await _happen_in_pause(context, event)
        return await task

    context.result = context.run(run())


@then("no further request is sent over that connection, which is closed")
def step_not_reused(context):
    async def settle():
        await asyncio.sleep(0.1)

    context.run(settle())
    assert context.connection.ended
    assert context.relay_server.busy == 0
    assert context.server.requests == 1, context.server.requests


async def _read_answer_with_length(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    return head + await reader.readexactly(len(BODY))


async def _request_without_frames(context, event):
    host, _, port = context.relay_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(RelayRequest("s1", 1).encode())
    (size,) = struct.unpack(">H", await reader.readexactly(2))
    await reader.readexactly(size)
    request = b"GET /x HTTP/1.1\r\nRequest-Id: r1\r\n\r\n"
    writer.write(request)
    await _happen_in_pause(context, event)
    expected = _encode_head(context.server.framing) + BODY
    async with asyncio.timeout(LIMIT_S):
        whole = await _read_answer_with_length(reader) == expected
        writer.write(request)
        try:
            again = await _read_answer_with_length(reader)
        except (ConnectionResetError, asyncio.IncompleteReadError) as error:
            again = type(error)
    writer.close()
    return "the whole answer" if whole else "another answer", again


@when("an instance that reads no frames sends a request, and {event} in the pause")
def step_event_without_frames(context, event):
    context.seen, context.again = context.run(_request_without_frames(context, event))


@then("its next request is answered, too")
def step_next_answered(context):
    assert context.again == _encode_head(context.server.framing) + BODY
    assert context.server.requests == 2


@then("its next request is reset and reaches no server")
def step_next_reset(context):
    assert context.again is ConnectionResetError, context.again
    assert context.server.requests == 1


@when("a request is sent over a relayed connection and the instance stops after its answer")
def step_stop_when_idle(context):
    async def run():
        assert await _run_exchange(context) == "the whole answer"
        assert context.connection.usable
        _happen(context, "the instance stops")

    context.run(run())


@then("the asking instance has closed the connection within {seconds:g} s")
def step_closed_within(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while context.relay_server.busy or not context.connection.ended:
                await asyncio.sleep(0.005)

    context.run(wait())


@then("a request over it fails before it is sent, as this instance's own loss of a path")
def step_fails_unsent(context):
    request = ServerRequest(method=b"GET", target=b"/x", headers=(), body=b"")

    async def send():
        try:
            await context.connection.exchange("s1", request, ID_HEADER)
        except OwnLinkError:
            return True
        return False

    assert context.run(send())
    assert context.server.requests == 1


@when("the instance stops while it connects to the server")
def step_stop_while_connecting(context):
    connect = context.relay_server._connect

    async def connect_slowly(server):
        end = await connect(server)
        _happen(context, "the instance stops")
        return end

    with patch.object(
        type(context.relay_server), "_connect", lambda _, server: connect_slowly(server)
    ):
        step_ask(context)


@when("a request is sent over a relayed connection which this instance {gives_up} in the pause")
def step_give_up(context, gives_up):
    async def read_stream():
        connection = await context.relays.connect(context.record)
        request = ServerRequest(method=b"GET", target=b"/x", headers=(), body=b"", request_id=b"r1")
        answer = await connection.exchange("s1", request, ID_HEADER)
        if answer.stream is not None:
            answer.stream.expire()

    async def run():
        task = asyncio.ensure_future(read_stream())
        await _end_in_pause(context, "lives on")
        if gives_up == "cancels":
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.1)

    context.events = _run_and_collect(context, run())


@when("the process is killed in the pause of an answer, and the log is read")
def step_killed_logged(context):
    async def run():
        task = asyncio.ensure_future(_run_exchange(context))
        await _end_in_pause(context, "is killed")
        await task

    context.events = _run_and_collect(context, run())


def _run_and_collect(context, coroutine):
    """Run a coroutine and return the fields of its events E517."""
    events = []
    sink = logger.add(lambda message: events.append(message.record["extra"]), level="INFO")
    try:
        context.run(coroutine)
    finally:
        logger.remove(sink)
    return [item["fields"] for item in events if item.get("event") == 517]


@then('the log has "{fields}" for it')
def step_logged(context, fields):
    (event,) = context.events
    logged = " ".join(f"{name}={value}" for name, value in event.items())
    assert logged == fields, logged


@then("the log has no lost relay")
def step_not_logged(context):
    assert context.events == [], context.events
