"""Steps for messages that are cut off."""

import asyncio
import errno
import random
import socket
import struct
import subprocess
import sys
import time
from pathlib import Path

import uvloop
from attrs import evolve
from behave import given, then, when

from hyssopwood.gateway.caller_connection import CallerConnection
from hyssopwood.gateway.caller_server import CallerServer
from hyssopwood.gateway.exchange import CallerAnswer, ExchangeBrokenError, ServerRequest
from hyssopwood.gateway.route_table import CallerLimits
from hyssopwood.gateway.server_connection import ServerConnection, connect
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.keyspace.grant_channels import GrantChannels
from hyssopwood.keyspace.plan import KeyRange
from hyssopwood.platform.key_commands import PlatformKeyCommands
from hyssopwood.timers import SystemTimers
from support import cut_requests, strict_reader
from support.cut_answers import MALFORMED, NAMES, REQUEST_ID, SOUND, WITH_EXTRA_BYTES

TABLES = {"sound": SOUND, "malformed": MALFORMED, "followed": WITH_EXTRA_BYTES}
REQUEST_TABLES = {"sound": cut_requests.SOUND, "malformed": cut_requests.MALFORMED}
LIMITS = CallerLimits(header_bytes=2000, body_bytes=1000, header_timeout_s=3.0, idle_timeout_s=9.0)
REQUEST = ServerRequest(method=b"GET", target=b"/x", headers=(), body=b"", request_id=REQUEST_ID)
# Answers whose path to the caller is tested; the others differ only in what the parser sees.
PATH_ANSWERS = ("length", "chunks", "close", "interim answer, close", "204 No Content")
LARGE_ANSWERS = ("large, length", "large, chunks", "large, close")
CONCURRENT_CUTS = 16
NO_LINGER = struct.pack("ii", 1, 0)
READ_LIMIT_S = 5.0
SETTLE_S = 0.1
HANDOVER = "5c0e7a21d94b36f8"
RESET = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
UNACKNOWLEDGED = TimeoutError(errno.ETIMEDOUT, "Connection timed out")


class _Transport:
    """A transport without a socket."""

    def __init__(self):
        self.closing = False
        self.written = b""

    def is_closing(self):
        return self.closing

    def close(self):
        self.closing = True

    def abort(self):
        self.closing = True

    def write(self, data):
        self.written += data

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        pass

    def can_write_eof(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


async def _read(exchange):
    """Return the status and the whole body, or None if the exchange failed."""
    try:
        answer = await exchange
        body = answer.body
        while answer.stream is not None and (piece := await answer.stream.read()):
            body += piece
    except ExchangeBrokenError:
        return None
    return answer.status, body


def _feed(connection, data, packets):
    position = 0
    while position < len(data) and not connection._transport.closing:
        # Single bytes inside of a large body would take most of the time and show nothing more.
        at_edge = position < 400 or len(data) - position <= 20
        size = 1 if packets == "single bytes" and at_edge else 65_536
        end = position + size if at_edge else min(position + size, len(data) - 20)
        connection.received(data[position:end])
        position = end


def _end(connection, ends):
    if ends in ("is reset", "ends without an acknowledgement"):
        connection.connection_lost(RESET if ends == "is reset" else UNACKNOWLEDGED)
        return
    if not connection._transport.closing:
        connection.eof_received()
    connection.connection_lost(None)


async def _run_cut(data, packets, ends):
    connection = ServerConnection()
    connection.connection_made(_Transport())
    exchange = connection.exchange("a", REQUEST, b"request-id")
    reading = asyncio.ensure_future(_read(exchange))
    await asyncio.sleep(0)
    _feed(connection, data, packets)
    if ends != "ends in the same packet":
        await asyncio.sleep(0)
    _end(connection, ends)
    return await reading


@given("the table of {answers:w} answers")
def step_table(context, answers):
    context.malformed = answers == "malformed"
    context.answers = TABLES[answers]


@when("each is cut off at each byte, in {packets}, and the connection {ends}")
def step_cut_answers(context, packets, ends):
    async def run_all():
        for answer in context.answers:
            for cut in answer.cuts():
                orderly = ends in ("ends in the same packet", "ends later")
                expected = None if context.malformed else answer.result(cut, orderly)
                received = await _run_cut(answer.data[:cut], packets, ends)
                context.tried += 1
                if received != expected:
                    context.wrong.append((answer.name, cut, expected, received))

    context.tried, context.wrong = 0, []
    context.run(run_all())


@when("each arrives up to each of the bytes behind it, on a connection that stays open")
def step_stay_open(context):
    async def run_all():
        for answer in context.answers:
            end = len(answer.head) + len(answer.payload)
            for cut in range(end, len(answer.data) + 1):
                connection = ServerConnection()
                connection.connection_made(_Transport())
                exchange = connection.exchange("a", REQUEST, b"request-id")
                reading = asyncio.ensure_future(_read(exchange))
                await asyncio.sleep(0)
                connection.received(answer.data[:cut])
                received = await reading
                usable = answer.keeps_alive and cut == end
                context.tried += 1
                if received != answer.result(cut, True) or connection.usable != usable:
                    context.wrong.append((answer.name, cut - end, received, connection.usable))

    context.tried, context.wrong = 0, []
    context.run(run_all())


@then("each whole answer is returned, and only those without further bytes allow another exchange")
@then("each cut is returned if it is whole and fails if it is not")
def step_no_wrong(context):
    assert context.tried > len(context.answers)
    assert not context.wrong, f"{len(context.wrong)} of {context.tried}: {context.wrong[:5]}"


@when("{count:d} sound answers are changed at random with seed {seed:d} and sent by a server")
def step_change(context, count, seed):
    async def run_all():
        for _ in range(count):
            data = strict_reader.change(rng.choice(small), rng)
            ends = rng.choice(("ends later", "is reset"))
            packets = rng.choice(("one packet", "single bytes"))
            received = await _run_cut(data, packets, ends)
            expected = strict_reader.read_answer(data, ends == "ends later")
            context.returned += received is not None
            # The gateway may be stricter than the reference.
            if received is not None and received != expected:
                context.wrong.append((data, ends, expected, received))

    rng = random.Random(seed)
    small = [answer.data for answer in SOUND if len(answer.data) < 2000]
    context.returned, context.wrong = 0, []
    context.run(run_all())


@then("each that is returned is what a strict reader returns")
def step_strict(context):
    assert context.returned > 500, context.returned
    assert not context.wrong, f"{len(context.wrong)}: {context.wrong[:3]}"


class _CuttingServer:
    """Send the part of an answer that a request's target names, then close or reset."""

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        index, cut, ends = head.split(b" ")[1].split(b"/")[1:]
        await _send_and_end(writer, SOUND[int(index)].data[: int(cut)], ends.decode())


class _Forwarder:
    """Send each request to one server; a broken exchange is answered 502."""

    def __init__(self, address):
        self._address = address

    async def handle(self, request):
        connection = await connect(self._address)
        forwarded = ServerRequest(
            method=b"GET", target=request.target, headers=(), body=b"", request_id=REQUEST_ID
        )
        try:
            answer = await connection.exchange(self._address, forwarded, b"request-id")
        except ExchangeBrokenError:
            return CallerAnswer(status=502)
        if answer.stream is None:
            connection.close()
        return CallerAnswer(status=answer.status, body=answer.body, stream=answer.stream)


class _CommandServer:
    """Send the first bytes of an answer to a release, then close or reset."""

    def __init__(self, framing):
        answer = next(item for item in SOUND if item.name == framing)
        # Answers to key commands have no request id.
        head = answer.head.replace(NAMES, b"Handover: " + HANDOVER.encode() + b"\r\n")
        self.answer = evolve(answer, head=head)
        self.cut = 0
        self.ends = ""

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await _send_and_end(writer, self.answer.data[: self.cut], self.ends)


async def _send_and_end(writer, data, ends):
    writer.write(data)
    await writer.drain()
    if ends == "resets":
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.001)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.transport.abort()
    writer.close()


def _decode_chunks(data):
    """Return the body, or None if the last chunk is missing."""
    body = b""
    while b"\r\n" in data:
        size_text, data = data.split(b"\r\n", 1)
        size = int(size_text, 16)
        if len(data) < size + 2:
            return None
        if not size:
            return body
        body, data = body + data[:size], data[size + 2 :]
    return None


def _take_answer(data, orderly):
    """Return the status and the body as a caller reads them, or None if they aren't whole."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    status = int(head.split(b" ")[1])
    headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    if status == 204:
        return status, rest
    if b"content-length" in headers:
        return (status, rest) if len(rest) == int(headers[b"content-length"]) else None
    if b"transfer-encoding" in headers:
        body = _decode_chunks(rest)
        return None if body is None else (status, body)
    return (status, rest) if orderly else None


async def _call(port, target, version):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    request = f"GET {target} HTTP/{version}\r\nHost: a\r\nConnection: close\r\n\r\n"
    writer.write(request.encode())
    data, orderly = b"", True
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            while piece := await reader.read(65_536):
                data += piece
    except ConnectionResetError:
        orderly = False
    writer.close()
    return _take_answer(data, orderly)


def _is_right(answer, cut, orderly, received):
    expected = answer.result(cut, orderly)
    if expected is not None:
        return received == expected
    # The start of a large answer is passed on while it arrives, so it can only be cut off too.
    passed_on = answer.name in LARGE_ANSWERS and cut >= len(answer.head)
    return received is None if passed_on and received is None else received == (502, b"")


async def _run_path(names, version, ends):
    server = await asyncio.start_server(_CuttingServer().serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    listener = CallerServer("127.0.0.1:0", _Forwarder(address), SystemTimers())
    await listener.start()
    port = listener._server.sockets[0].getsockname()[1]
    cuts = [
        (index, cut)
        for index, answer in enumerate(SOUND)
        if answer.name in names
        for cut in answer.cuts()
    ]
    wrong = []

    async def try_cut(index, cut):
        received = await _call(port, f"/{index}/{cut}/{ends}", version)
        if not _is_right(SOUND[index], cut, ends == "closes", received):
            wrong.append((SOUND[index].name, cut, received and (received[0], len(received[1]))))

    for at in range(0, len(cuts), CONCURRENT_CUTS):
        await asyncio.gather(*(try_cut(*cut) for cut in cuts[at : at + CONCURRENT_CUTS]))
    listener.close()
    server.close()
    return len(cuts), wrong


@when("a server {ends:w} after each byte of a {size:w} answer to an HTTP/{version} caller")
def step_path(context, ends, size, version):
    names = LARGE_ANSWERS if size == "large" else PATH_ANSWERS
    # The gateway runs on uvloop, whose connections end in another way than those of asyncio.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        context.tried, context.wrong = runner.run(_run_path(names, version, ends))


@then("the caller gets each whole answer, and never a part as whole")
def step_path_right(context):
    assert context.tried > 100
    assert not context.wrong, f"{len(context.wrong)} of {context.tried}: {context.wrong[:5]}"


class _Recorder:
    """Record what is run."""

    def __init__(self):
        self.ran = []

    async def handle(self, request):
        self.ran.append((request.method, request.target, request.body))
        return CallerAnswer(status=200)


async def _run_request(data, timers, packets, leaves):
    recorder = _Recorder()
    connection = CallerConnection(recorder, timers, lambda: LIMITS, lambda _: None)
    connection.connection_made(_Transport())
    _feed(connection, data, packets)
    await asyncio.sleep(0)
    if leaves == "closes":
        connection.eof_received()
    connection.connection_lost(None if leaves == "closes" else RESET)
    await asyncio.sleep(0)
    return recorder.ran


@given("the table of {requests:w} requests")
def step_requests(context, requests):
    context.malformed = requests == "malformed"
    context.requests = REQUEST_TABLES[requests]


@when("each is cut off at each byte, in {packets}, and its caller {leaves:w}")
def step_cut_requests(context, packets, leaves):
    async def run_all():
        for request in context.requests:
            for cut in range(len(request.data) + 1):
                whole = cut == len(request.data) and not context.malformed
                ran = await _run_request(request.data[:cut], context.timers, packets, leaves)
                context.tried += 1
                if ran != ([request.run] if whole else []):
                    context.wrong.append((request.name, cut, ran))

    context.tried, context.wrong = 0, []
    context.run(run_all())


@then("each request is run if it is whole, with its whole body, and otherwise not")
def step_requests_right(context):
    assert context.tried > len(context.requests)
    assert not context.wrong, f"{len(context.wrong)} of {context.tried}: {context.wrong[:5]}"


@given("a gateway process that streams {size:d} bytes to an HTTP/1.0 caller and {ending}")
def step_streaming_process(context, size, ending):
    script = Path(__file__).parent.parent / "support" / "streaming_process.py"
    command = [sys.executable, str(script), ending, str(size)]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE)
    context.add_cleanup(context.process.stdout.close)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    port = int(context.process.stdout.readline())
    context.caller = socket.create_connection(("127.0.0.1", port), READ_LIMIT_S)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(b"GET / HTTP/1.0\r\nHost: a\r\n\r\n")


@when("the caller reads until the connection ends")
def step_read_to_end(context):
    # The process ends meanwhile, if the connection takes all bytes of the answer.
    time.sleep(3 * SETTLE_S)
    context.received, context.end = bytearray(), "ends"
    try:
        while piece := context.caller.recv(65_536):
            context.received += piece
    except ConnectionResetError:
        context.end = "is reset"


@then("the caller got less than {size:d} bytes and the connection is reset")
def step_end_early(context, size):
    assert context.end == "is reset", context.end
    assert len(context.received) < size


@then("the caller got {size:d} bytes and the connection {end}")
def step_end(context, size, end):
    body = context.received.partition(b"\r\n\r\n")[2]
    assert (len(body), context.end) == (size, end), (len(body), context.end)


@given("a server whose answers to key commands are framed by {framing:w}")
def step_command_server(context, framing):
    context.server = _CommandServer(framing)
    listener = context.run(asyncio.start_server(context.server.serve, "127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.record = ServerRecord(
        server="s",
        service="p",
        address=f"127.0.0.1:{listener.sockets[0].getsockname()[1]}",
        failure_domain="a",
        slots=1,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


@when("it {ends:w} after each byte of its answer to a release")
def step_cut_releases(context, ends):
    async def run_all():
        commands = PlatformKeyCommands(ServerPool(context.timers, None), GrantChannels())
        keys = KeyRange(first=0, last=9, server="s", born_ms=1, fence=1)
        for cut in answer.cuts():
            server.cut = cut
            result = await commands.release(context.record, keys, READ_LIMIT_S, lambda: None)
            whole = answer.result(cut, ends == "closes") is not None
            context.tried += 1
            if (result.done, result.handover) != (whole, HANDOVER if whole else None):
                context.wrong.append((cut, result))

    server, answer = context.server, context.server.answer
    server.ends = ends
    context.tried, context.wrong = 0, []
    context.run(run_all())


@then("the release is done if the answer is whole, and otherwise not")
def step_releases_right(context):
    assert context.tried > 50
    assert not context.wrong, f"{len(context.wrong)} of {context.tried}: {context.wrong[:5]}"
