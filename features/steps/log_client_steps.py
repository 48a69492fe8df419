"""Steps for the client of the platform's log."""

import asyncio
import json

from aiohttp import ClientSession, web
from behave import given, then, when

from hyssopwood.errors import HyssopwoodError, RecordsExpiredError
from hyssopwood.log_client import LogClient
from hyssopwood.timers import SystemTimers
from hyssopwood_standins.platform import Platform, PlatformFaults
from support.standin_http import running

PATH = "/v1/streams/s/records"
MIB = 1_048_576
EMPTY = b'{"first": 0, "next": 5, "records": []}'
# Real time for bytes to arrive over loopback; no outcome depends on it.
ARRIVAL_S = 0.02


def _body(text):
    if text == "9 MiB":
        return b"[" + b" " * (9 * MIB) + b"]"
    if text == "deep nesting":
        return b'{"records": ' + b"[" * 5_000 + b"]" * 5_000 + b"}"
    return text.encode()


def _enter(context, manager):
    entered = context.run(manager.__aenter__())
    context.add_cleanup(lambda: context.run(manager.__aexit__(None, None, None)))
    return entered


def _client(context, url, timers=None):
    context.client = LogClient(timers or SystemTimers(), url, "s", timeout_s=2.0)
    context.add_cleanup(lambda: context.run(context.client.close()))


def _serve(context, method, respond):
    async def handle(request):
        return respond()

    app = web.Application()
    app.router.add_route(method, PATH, handle)
    url, _ = _enter(context, running(app))
    _client(context, url)


@given("a log service that answers reads with status {status:d} and body {body}")
def step_reads(context, status, body):
    # Nothing listens at the location, so a client that followed it would fail otherwise.
    headers = {"Location": "http://127.0.0.1:1/"}
    _serve(context, "GET", lambda: web.Response(status=status, headers=headers, body=_body(body)))


@given('a log service that answers appends with status {status:d} and Retry-After "{after}"')
def step_appends(context, status, after):
    headers = {"Retry-After": after}
    _serve(context, "POST", lambda: web.Response(status=status, headers=headers, body=b"{}"))


async def _error_of(awaitable):
    try:
        return await awaitable
    except HyssopwoodError as error:
        return error


@when("the log client reads from offset {offset:d}")
def step_read(context, offset):
    context.error = context.run(_error_of(context.client.read(offset, 500, 0)))


@when("the log client appends a record")
def step_append(context):
    context.error = context.run(_error_of(context.client.append("{}")))


@then('the log client fails with "{name}"')
def step_fails(context, name):
    assert type(context.error).__name__ == name, repr(context.error)


@then("the log client would retry after {seconds:g} s")
def step_retry(context, seconds):
    assert getattr(context.error, "retry_after_s", 0) == seconds, repr(context.error)


@given("a log service whose first connection falls silent")
def step_silent(context):
    context.connections = []

    async def serve(reader, writer):
        context.connections.append(reader)
        await reader.readuntil(b"\r\n\r\n")
        if len(context.connections) > 1:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(EMPTY)}\r\n\r\n"
            writer.write(head.encode() + EMPTY)
        await reader.read()
        writer.close()

    server = context.run(asyncio.start_server(serve, "127.0.0.1", 0))
    context.add_cleanup(server.close)
    port = server.sockets[0].getsockname()[1]
    _client(context, f"http://127.0.0.1:{port}", context.timers)


async def _until_arrived(timers, seconds):
    for _ in range(10):
        await asyncio.sleep(ARRIVAL_S / 10)
        await timers.settle()
    await timers.advance(seconds)
    await asyncio.sleep(ARRIVAL_S)


@when("the log client polls with wait_ms {wait_ms:d} and a timeout of 2 s")
def step_poll(context, wait_ms):
    async def start():
        return asyncio.ensure_future(_error_of(context.client.read(5, 500, wait_ms)))

    context.poll = context.run(start())


@then("after {seconds:g} s the log client still waits")
def step_waits(context, seconds):
    context.run(_until_arrived(context.timers, seconds))
    assert len(context.connections) == 1 and not context.poll.done()
    context.waited = seconds


@then('after {seconds:g} s the log client fails with "{name}" and its connection is closed')
def step_times_out(context, seconds, name):
    context.run(_until_arrived(context.timers, seconds - context.waited))
    assert context.poll.done()
    assert type(context.poll.result()).__name__ == name, context.poll.result()
    assert context.connections[0].at_eof()


@then("the next read of the log client is answered over a new connection")
def step_new_connection(context):
    page = context.run(_error_of(context.client.read(5, 500, 1000)))
    assert page.next == 5, page
    assert len(context.connections) == 2


@given("the stand-in platform with a retention of {retention:d} records")
def step_platform(context, retention):
    platform = Platform(PlatformFaults(retention=retention, list_lag_ms=0))
    context.url, _ = _enter(context, running(platform.app()))
    _client(context, context.url)


@when("the log client appends {count:d} records and reads from offset {start:d}")
def step_platform_appends(context, count, start):
    client = context.client
    offsets = [context.run(client.append(json.dumps({"n": n}))) for n in range(count)]
    assert offsets == list(range(count)), offsets
    context.page = context.run(client.read(start, 500, 0))


@then("the log client gets offsets {first:d} and {second:d} of {following:d}")
def step_page(context, first, second, following):
    assert [record.offset for record in context.page.records] == [first, second]
    assert [json.loads(r.data) for r in context.page.records] == [{"n": first}, {"n": second}]
    assert context.page.next == following


@then("a read of the log client from offset {start:d} has expired with first offset {first:d}")
def step_expired(context, start, first):
    error = context.run(_error_of(context.client.read(start, 500, 0)))
    assert isinstance(error, RecordsExpiredError) and error.first == first, repr(error)


@then("a long poll of the log client returns when a record is appended")
def step_long_poll(context):
    async def poll():
        waiting = asyncio.ensure_future(context.client.read(5, 500, 30_000))
        await asyncio.sleep(ARRIVAL_S)
        assert not waiting.done()
        await context.client.append("{}")
        return await waiting

    page = context.run(poll())
    assert [record.offset for record in page.records] == [5]


@then('the log client reads the listed instance "{name}" as "{state}"')
def step_list(context, name, state):
    async def put():
        body = {"address": "127.0.0.1:1", "state": state}
        async with ClientSession() as session:
            await session.put(f"{context.url}/v1/instances/{name}", json=body)

    context.run(put())
    listed = context.run(context.client.instances())
    assert [(item.name, item.state) for item in listed.instances] == [(name, state)]
