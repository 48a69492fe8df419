"""Steps for the HTTP interface for callers."""

import asyncio
import json
import re

from behave import given, then, when

from hyssopwood.entry import (
    Entry,
    EntryOptions,
    OperationRule,
    Readiness,
    ServiceRule,
    ServiceTable,
)
from hyssopwood.outcomes import Answered, BodyCutError, NotRun, Reason, Unknown
from support.request_fakes import close_at_end, until

KEY = "Hyssopwood-Key: 1~Hyssopwood-Operation: read"
BODY_LIMIT = 100
GOOD = "POST /portal/1 HTTP/1.1~" + KEY + "~Content-Length: 4~~body"
WORDS = {"KEY": KEY, "BIG": "x" * 101, "HUGE": "x" * 20_000, "TAB": "a\tb", "~": "\r\n"}
KINDS = {"not-run": NotRun, "unknown": Unknown}
CHUNK = b"x" * 65_536


def _expand(text):
    for word, value in WORDS.items():
        text = text.replace(word, value.replace("~", "\r\n"))
    return text


class FakeBody:
    """Body that remembers whether it was closed."""

    def __init__(self, chunks):
        self._chunks = chunks
        self.closed = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        return await anext(self._chunks)

    async def aclose(self):
        self.closed = True


class FakeHandler:
    """Handler with one scripted way to end each request."""

    def __init__(self, make_outcome):
        self.make_outcome = make_outcome
        self.requests = []
        self.cancelled = 0
        self.taken = 0
        self.go_on = asyncio.Event()

    async def handle(self, request):
        self.requests.append(request)
        try:
            return await self.make_outcome(self)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def chunks(self, count, chunk, cut=False):
        for _ in range(count):
            self.taken += len(chunk)
            yield chunk
        if cut:
            raise BodyCutError("scripted")


def _answer(headers=None, count=1, chunk=b"whole", cut=False):
    async def make(handler):
        handler.body = FakeBody(handler.chunks(count, chunk, cut))
        return Answered(200, headers or {}, handler.body)

    return make


def _build(context, make_outcome, readiness=None, **bounds):
    rule = ServiceRule(
        name="portal",
        customer="beridze",
        path_prefix="/portal/",
        operations={"read": OperationRule(True)},
        body_bytes=BODY_LIMIT,
    )
    table = ServiceTable([rule])
    context.handler = FakeHandler(make_outcome)
    context.entry = Entry(
        "127.0.0.1:0",
        context.handler,
        lambda: table,
        context.timers,
        readiness=lambda: readiness or Readiness(True),
        metrics=lambda: b"requests 1\n",
        status=lambda: {"position": 5},
        options=EntryOptions(**bounds),
    )
    context.run(context.entry.start())
    context.port = context.entry.port
    close_at_end(context, lambda: context.entry.stop(0.0))


@given("an entry with a fake handler")
def step_entry(context):
    _build(context, _answer())


@given("an entry whose handler ends with {outcome}")
def step_entry_outcome(context, outcome):
    async def make(handler):
        kind, _, reason = outcome.partition(" ")
        if kind not in KINDS:
            raise RuntimeError("scripted")
        return KINDS[kind](Reason(reason), "scripted", 1.2)

    _build(context, _answer() if outcome == "answered" else make)


@given("an entry whose handler cuts an answer {framing}")
def step_entry_cut(context, framing):
    headers = {"Content-Length": "100"} if framing == "of a known length" else {}
    _build(context, _answer(headers, cut=True))


@given("an entry whose handler answers 64 MiB")
def step_entry_large(context):
    _build(context, _answer(count=1024, chunk=CHUNK))


async def _wait_then_answer(handler):
    await handler.go_on.wait()
    return Answered(200, {}, handler.chunks(2, b"whole"))


@given("an entry whose handler waits")
def step_entry_waits(context):
    _build(context, _wait_then_answer)


@given("an entry whose handler waits, bounded to 1 request in flight")
def step_entry_bounded(context):
    _build(context, _wait_then_answer, max_in_flight=1)


@given("an entry whose handler waits, bounded to 5 bytes of bodies")
def step_entry_bounded_bytes(context):
    _build(context, _wait_then_answer, max_buffered_bytes=5)


@given("an entry that is {state}")
def step_entry_state(context, state):
    _build(context, _answer(), Readiness(state == "ready", ("log is behind",)))


async def _exchange(context, text, half_close=False):
    """Send bytes and return what comes back until the connection ends or is idle."""
    reader, writer = await asyncio.open_connection("127.0.0.1", context.port)
    writer.write(text.encode())
    if half_close:
        writer.write_eof()
    received = b""
    try:
        while chunk := await asyncio.wait_for(reader.read(65_536), 0.1):
            received += chunk
        context.ended = "closed"
    except TimeoutError:
        context.ended = "open"
    except ConnectionError:
        context.ended = "reset"
    writer.close()
    return received.decode()


@when('a caller sends "{line}" with "{headers}" and the body "{body}"')
def step_send(context, line, headers, body):
    half_close = body.endswith(">>")
    text = f"{line} HTTP/1.1~{headers}~~{body.removesuffix('>>')}"
    context.response = context.run(_exchange(context, _expand(text), half_close))


@when('a caller sends "{line}" with "{headers}" and the body ""')
def step_send_bodiless(context, line, headers):
    step_send(context, line, headers, "")


@when("a caller sends a good request")
def step_send_good(context):
    context.response = context.run(_exchange(context, _expand(GOOD)))


@when('the page "{page}" is fetched')
def step_fetch(context, page):
    context.response = context.run(_exchange(context, f"GET {page} HTTP/1.1\r\n\r\n"))


async def _open(context):
    context.reader, context.writer = await asyncio.open_connection("127.0.0.1", context.port)
    context.writer.write(_expand(GOOD).encode())
    await until(lambda: context.handler.requests)


@when("a caller sends a good request and waits")
def step_send_wait(context):
    context.run(_open(context))


@when("a caller sends a good request and reads nothing")
def step_send_no_read(context):
    async def send():
        await _open(context)
        await asyncio.sleep(0.3)

    context.run(send())


@when("a caller sends a good request and goes away")
def step_send_leave(context):
    async def leave():
        await _open(context)
        context.writer.close()
        await until(lambda: not context.entry.in_flight)

    context.run(leave())


@when("the caller leaves the answer unread")
def step_leave_unread(context):
    context.writer.transport.abort()
    context.run(until(lambda: not context.entry.in_flight))


@then("the answer is closed")
def step_answer_closed(context):
    assert context.handler.body.closed


@when("a caller sends a good request and the entry is stopped")
def step_send_stop(context):
    async def stop():
        await _open(context)
        context.stopping = asyncio.ensure_future(context.entry.stop(30.0))
        await context.timers.advance(1.0)

    context.run(stop())


@when("the handler goes on")
def step_go_on(context):
    async def go_on():
        context.handler.go_on.set()
        await until(context.stopping.done, context.timers)

    context.run(go_on())


def _status(context):
    found = re.match(r"HTTP/1.1 (\d+)", context.response)
    assert found, f"no response but {context.response!r}, connection {context.ended}"
    return int(found[1])


def _header(context, name):
    found = re.search(rf"^{name}: (.*)\r$", context.response, re.IGNORECASE | re.MULTILINE)
    return found[1] if found else "none"


@then("the response has status {status:d} and fault {fault}")
def step_fault(context, status, fault):
    problem = json.loads(context.response.partition("\r\n\r\n")[2])
    assert (_status(context), problem["fault"]) == (status, fault), context.response
    assert _header(context, "Hyssopwood-Run") == "not-run"
    assert _header(context, "Content-Type") == "application/problem+json"


@then("nothing was passed on")
def step_nothing_passed(context):
    assert context.handler.requests == []
    assert context.entry.in_flight == 0


@then("the response has status {status:d}, run header {run} and retry time {retry}")
def step_run(context, status, run, retry):
    found = (_status(context), _header(context, "Hyssopwood-Run"), _header(context, "Retry-After"))
    assert found == (status, run, retry), context.response


@then('the response has status {status:d} and contains "{text}"')
def step_contains(context, status, text):
    assert _status(context) == status, context.response
    assert text in context.response, context.response


@then("the caller's connection breaks inside the answer")
def step_broken(context):
    assert "whole" in context.response
    assert context.ended in ("closed", "reset")
    assert not context.response.endswith("0\r\n\r\n")


@then(
    'the handler got the path "{path}", body "{body}", key "{key}", '
    'idempotency key "{idempotency_key}" and {ms:d} ms'
)
def step_passed_on(context, path, body, key, idempotency_key, ms):
    (request,) = context.handler.requests
    assert (request.path, request.body.decode(), request.key) == (path, body, key)
    assert request.idempotency_key == idempotency_key
    assert abs(request.deadline - context.timers.now() - ms / 1000) < 1e-6
    assert request.headers["Hyssopwood-Deadline-Ms"] == str(ms)


@then("less than {limit:d} MiB are taken from the handler")
def step_taken(context, limit):
    assert 0 < context.handler.taken < limit * 1_048_576, context.handler.taken


@then("the handler is cancelled")
def step_handler_cancelled(context):
    assert context.handler.cancelled == 1


@then("no request is in flight")
def step_idle(context):
    assert context.entry.in_flight == 0


@then("the entry still waits")
def step_still_waits(context):
    assert not context.stopping.done()


@then("new connections are refused")
def step_no_connections(context):
    async def connect():
        try:
            await asyncio.open_connection("127.0.0.1", context.port)
        except ConnectionRefusedError:
            return True
        return False

    assert context.run(connect())


@then("the caller got the whole answer")
def step_whole_answer(context):
    async def read():
        return await asyncio.wait_for(context.reader.read(), 1.0)

    answer = context.run(read())
    assert answer.count(b"whole") == 2 and answer.endswith(b"0\r\n\r\n"), answer


@then("the entry has stopped with nothing in flight")
def step_stopped(context):
    assert context.stopping.result() is True
