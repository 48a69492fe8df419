"""Steps for connections of callers."""

import asyncio
import re

from behave import given, then, when

from hyssopwood.gateway.caller_server import CallerServer
from hyssopwood.gateway.exchange import CallerAnswer
from hyssopwood.gateway.route_table import CallerLimits

LIMITS = CallerLimits(header_bytes=500, body_bytes=1000, header_timeout_s=3.0, idle_timeout_s=15.0)
READ_LIMIT_S = 2.0


class _Handler:
    def __init__(self, times):
        self.times = times
        self.ran = []
        self.cancelled = 0
        self.running = 0
        self.max_running = 0

    async def handle(self, request):
        self.ran.append(request)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await asyncio.sleep(self.times.get(request.target.decode(), 0.0))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        return CallerAnswer(status=200, body=request.target)


def _port(server):
    return server._server.sockets[0].getsockname()[1]


@given('a gateway listener whose requests take "{times}"')
def step_listener(context, times):
    pairs = (item.split(":") for item in times.split(","))
    context.handler = _Handler({path: float(seconds) for path, seconds in pairs})
    context.listener = CallerServer("127.0.0.1:0", context.handler, context.timers, lambda: LIMITS)
    context.run(context.listener.start())
    context.add_cleanup(context.listener.close)


async def _open(context):
    return await asyncio.open_connection("127.0.0.1", _port(context.listener))


async def _read_all(reader):
    async with asyncio.timeout(READ_LIMIT_S):
        return await reader.read()


def _request(text, last):
    method, path = text.split(" ")
    length = "Content-Length: 0\r\n" if method == "POST" else ""
    close = "Connection: close\r\n" if last else ""
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\n{length}{close}\r\n"


async def _exchange(context, data):
    reader, writer = await _open(context)
    writer.write(data)
    received = await _read_all(reader)
    writer.close()
    return received


@when('a caller sends "{requests}" at once')
def step_send(context, requests):
    parts = requests.split(";")
    data = "".join(_request(part, part is parts[-1]) for part in parts)
    context.received = context.run(_exchange(context, data.encode()))


@when('a caller sends "{requests}" at once and leaves after {seconds:g} s')
def step_send_and_leave(context, requests, seconds):
    async def leave():
        _, writer = await _open(context)
        writer.write(_request(requests, False).encode())
        await asyncio.sleep(seconds)
        writer.close()
        await asyncio.sleep(seconds)

    context.run(leave())


@when('a caller sends "{requests}" at once and the gateway disables keep-alive')
def step_send_and_stop(context, requests):
    async def stop():
        reader, writer = await _open(context)
        writer.write(_request(requests, False).encode())
        await asyncio.sleep(0.02)
        context.listener.disable_keep_alive()
        received = await _read_all(reader)
        writer.close()
        return received

    context.received = context.run(stop())


@when(
    'a caller sends "{requests}", the gateway disables keep-alive and the caller sends "{behind}"'
)
def step_send_behind(context, requests, behind):
    async def stop():
        reader, writer = await _open(context)
        for part in requests.split(";"):
            writer.write(_request(part, False).encode())
        await asyncio.sleep(0.02)
        context.listener.disable_keep_alive()
        for part in behind.split(";"):
            writer.write(_request(part, False).encode())
        received = await _read_all(reader)
        writer.close()
        return received

    context.received = context.run(stop())


@when('a caller sends the bytes "{text}"')
def step_send_bytes(context, text):
    text = re.sub(r"\{(\d+)\}", lambda match: "x" * int(match.group(1)), text)
    data = text.encode().decode("unicode_escape").encode()
    context.received = context.run(_exchange(context, data))


async def _check_after(context, data, seconds):
    reader, writer = await _open(context)
    writer.write(data)
    await asyncio.sleep(0.02)
    watch = asyncio.ensure_future(context.listener.enforce_limits())
    await context.timers.advance(seconds)
    received = await _read_all(reader)
    watch.cancel()
    writer.close()
    return received


@when('a caller sends the bytes "{text}" and the limits are checked after {seconds:d} s')
def step_late_head(context, text, seconds):
    data = text.encode().decode("unicode_escape").encode()
    context.received = context.run(_check_after(context, data, seconds))


@when("a caller connects, sends nothing and the limits are checked after {seconds:d} s")
def step_idle(context, seconds):
    context.received = context.run(_check_after(context, b"", seconds))


@then('the caller gets the bodies "{bodies}" in this order')
def step_bodies(context, bodies):
    found = re.findall(rb"\r\n\r\n(/[a-z]+)", context.received)
    assert [body.decode() for body in found] == bodies.split(";"), context.received


@then("both ran at the same time")
def step_overlap(context):
    assert context.handler.max_running == 2


@then("no two ran at the same time")
def step_no_overlap(context):
    assert context.handler.max_running == 1


@then("the work for it was cancelled")
def step_cancelled(context):
    assert context.handler.cancelled == 1


@then("the caller gets status {status:d} and the connection ends")
def step_status(context, status):
    assert context.received.startswith(f"HTTP/1.1 {status} ".encode()), context.received
    assert context.received.count(b"HTTP/1.1") == 1


@then("the connection ends without an answer")
def step_no_answer(context):
    assert context.received == b""


@then("the gateway ran {count:d} requests")
def step_ran(context, count):
    assert len(context.handler.ran) == count


@then('the gateway saw the body "{body}"')
def step_body(context, body):
    assert context.handler.ran[0].body == body.encode()


@then('the gateway saw the headers "{names}"')
def step_headers(context, names):
    seen = [name.decode() for name, _ in context.handler.ran[0].headers]
    assert seen == names.split(","), seen


@then("the answer announces that the connection closes")
def step_announces_close(context):
    assert b"Connection: close" in context.received
