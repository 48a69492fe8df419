"""Steps for endless messages, randomly altered messages and many pipelined requests."""

import asyncio
import itertools
import random
import time
import tracemalloc
from unittest.mock import patch

from behave import given, then, when

from hyssopwood.gateway.answer_reader import AnswerReader
from hyssopwood.gateway.caller_connection import CallerConnection
from hyssopwood.gateway.exchange import ExchangeBrokenError
from hyssopwood.gateway.request_reader import RequestReader, RequestRefusedError
from hyssopwood.gateway.route_table import CallerLimits
from hyssopwood.gateway.server_connection import ServerConnection
from support.pouring_server import ANSWER, CHUNKED, FORMS

LIMITS = CallerLimits(
    header_bytes=8_192, body_bytes=65_536, header_timeout_s=3.0, idle_timeout_s=15.0
)
MIB = 1_048_576
# Exceeds every limit of the readers.
MAX_FED_BYTES = 16 * MIB
REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\n"
# Start of each kind of request, and the bytes that are repeated after it.
REQUESTS = {
    "target": (b"GET /", b"y"),
    "header lines": (REQUEST, b"X: y\r\n"),
    "header value": (REQUEST + b"X: ", b"y"),
    "chunk extension": (REQUEST + CHUNKED + b"2;", b"y"),
    "trailer lines": (REQUEST + CHUNKED + b"0\r\n", b"X: y\r\n"),
    "trailer value": (REQUEST + CHUNKED + b"0\r\nX: ", b"y"),
}


class _Answers:
    """Handle the events of an answer as a connection to a server does."""

    def __init__(self):
        self.mismatched = 0
        self.body = 0
        self.complete = 0

    def answer_started(self, start):
        if dict(start.headers).get(b"request-id") == b"r0":
            self.mismatched += 1
            if self.mismatched > 4:
                raise ExchangeBrokenError("too many answers to other requests")

    def answer_body(self, data):
        self.body += len(data)

    def answer_ended(self):
        self.complete += 1


class _Requests:
    def __init__(self):
        self.read = []

    def continue_expected(self):
        pass

    def request_read(self, request, keeps_alive):
        self.read.append(request)

    def upgrade_proposed(self):
        pass

    def may_read_next(self):
        return True


def _pieces(begin, repeated, size):
    """Yield an endless message in pieces of one size."""
    block = begin + repeated * (MIB // len(repeated))
    rest = repeated * (MIB // len(repeated))
    for data in itertools.chain([block], itertools.repeat(rest)):
        for first in range(0, len(data), size):
            yield data[first : first + size]


@given("an answer of {form} without end")
def step_answer(context, form):
    if form in ("other answers", "body of another answer"):
        context.feed = _connection_feed()
    else:
        context.feed = AnswerReader(_Answers()).feed
    context.form = FORMS[form]


def _connection_feed():
    """Return a function that feeds bytes to a connection that waits for the answer to r1."""
    connection = ServerConnection()
    loop = asyncio.new_event_loop()
    result = connection._result = loop.create_future()
    connection._id_header, connection._request_id = b"request-id", b"r1"

    def feed(data):
        connection.received(data)
        if result.done():
            loop.close()
            raise result.exception()

    return feed


@given("a request of {form} without end")
def step_request(context, form):
    context.feed = RequestReader(_Requests(), lambda: 0.0, lambda: LIMITS).feed
    context.form = REQUESTS[form]


@when("it is read in pieces of {size:d} bytes")
def step_read(context, size):
    context.fed, context.error = 0, None
    tracemalloc.start()
    try:
        pieces = _pieces(*context.form, size)
        first = next(pieces)
        before = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        for piece in itertools.chain([first], pieces):
            context.fed += len(piece)
            try:
                context.feed(piece)
            except (ExchangeBrokenError, RequestRefusedError) as error:
                context.error = error
                break
            if context.fed > MAX_FED_BYTES:
                break
        context.peak = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


@then("it is aborted within {limit:d} KiB")
def step_broken(context, limit):
    assert isinstance(context.error, ExchangeBrokenError), context.error
    assert context.fed <= limit * 1024, context.fed


@then("it is refused with status {status:d} within {limit:d} KiB")
def step_refused(context, status, limit):
    assert isinstance(context.error, RequestRefusedError), context.error
    assert context.error.status == status, context.error.status
    assert context.fed <= limit * 1024, context.fed


@then("reading it took less than 1 MiB of memory")
def step_memory(context):
    assert context.peak < MIB, context.peak


def _mutate(rng, message):
    """Return a message with bytes deleted, duplicated, replaced or inserted."""
    data = bytearray(message)
    for _ in range(rng.randint(1, 6)):
        first = rng.randrange(len(data) + 1)
        last = min(len(data), first + rng.randint(0, 12))
        kind = rng.randrange(4)
        if kind == 0:
            del data[first:last]
        elif kind == 1:
            data[first:first] = data[first:last] * rng.randint(1, 400)
        elif kind == 2:
            data[first:last] = rng.randbytes(last - first)
        else:
            data[first:first] = rng.choice((b"\r\n", b"\0", b";", b":", b"\n", b"ffffffffff"))
    return bytes(data)


def _feed_in_pieces(rng, feed, data):
    while data:
        size = rng.choice((1, 3, 17, 200, 5000, 65_536))
        feed(data[:size])
        data = data[size:]


@when(
    "{answers:d} answers and {requests:d} requests, altered at random from seed {seed:d}, are read"
)
def step_fuzz(context, answers, requests, seed):
    rng = random.Random(seed)
    context.unexpected_errors = []
    tracemalloc.start()
    plain = ANSWER + b"Content-Length: 5\r\n\r\nhello"
    chunked = ANSWER + CHUNKED + b"5;a=b\r\nhello\r\n3\r\nabc\r\n0\r\nT: u\r\n\r\n"
    asked = REQUEST + b"Content-Length: 5\r\n\r\nhello" + REQUEST + CHUNKED + b"1\r\na\r\n0\r\n\r\n"
    for number in range(answers + requests):
        if number < answers:
            feed = AnswerReader(_Answers()).feed
            data = _mutate(rng, rng.choice((plain, chunked, plain + chunked)))
        else:
            feed = RequestReader(_Requests(), lambda: 0.0, lambda: LIMITS).feed
            data = _mutate(rng, asked)
        try:
            _feed_in_pieces(rng, feed, data)
        except (ExchangeBrokenError, RequestRefusedError):
            continue
        except Exception as error:
            context.unexpected_errors.append((number, data, repr(error)))
    context.peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("each was read, aborted or refused, within the limits")
def step_no_unexpected_errors(context):
    assert not context.unexpected_errors, context.unexpected_errors[:3]
    assert context.peak < 4 * MIB, context.peak


@when("a caller pipelines {count:d} short requests")
def step_flood(context, count):
    context.longest_s = 0.0
    context.flood = count
    buffer_updated = CallerConnection.buffer_updated

    def timed(connection, size):
        began = time.thread_time()
        buffer_updated(connection, size)
        context.longest_s = max(context.longest_s, time.thread_time() - began)

    flush = CallerConnection._flush

    def timed_flush(connection):
        began = time.thread_time()
        flush(connection)
        context.longest_s = max(context.longest_s, time.thread_time() - began)

    async def flood():
        port = context.listener._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /x HTTP/1.1\r\nHost:a\r\n\r\n" * count)
        async with asyncio.timeout(20):
            answered = 0
            while answered < count:
                answered += (await reader.readuntil(b"\r\n\r\n/x")).count(b"HTTP/1.1 200")
        writer.close()
        return answered

    with (
        patch.object(CallerConnection, "buffer_updated", timed),
        patch.object(CallerConnection, "_flush", timed_flush),
    ):
        context.answered = context.run(flood())


@then("all of them are answered")
def step_all_answered(context):
    assert context.answered == context.flood


@then("at most {count:d} ran at the same time")
def step_max_running(context, count):
    assert context.handler.max_running <= count, context.handler.max_running


@then("no step of the event loop took 20 ms of processor time")
def step_no_long_step(context):
    assert context.longest_s < 0.02, context.longest_s
