"""Steps for connections to servers."""

import asyncio
import socket
import struct

from behave import given, then, when

from hyssopwood.gateway.exchange import ExchangeBrokenError, NotSentError, ServerRequest
from hyssopwood.gateway.server_connection import connect
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_pool import ServerPool

LIMIT_S = 1.0
SETTLE_S = 0.05


def _decoded(text):
    return text.encode().decode("unicode_escape").encode()


def _request(request_id):
    return ServerRequest(
        method=b"GET", target=b"/x", headers=(), body=b"", request_id=request_id.encode()
    )


class _ScriptedServer:
    """A server that answers each request with fixed bytes."""

    def __init__(self, data, ending):
        self.data, self.ending = data, ending
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.data)
                await writer.drain()
                if self.ending == "closes":
                    writer.close()
                    return
                if self.ending == "resets":
                    await asyncio.sleep(SETTLE_S / 2)
                    raw = writer.get_extra_info("socket")
                    no_linger = struct.pack("ii", 1, 0)
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
                    writer.transport.abort()
                    return
                if self.ending == "sends more":
                    await asyncio.sleep(SETTLE_S / 4)
                    writer.write(self.data)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _start(context, script):
    server = context.run(asyncio.start_server(script.serve, "127.0.0.1", 0))
    context.add_cleanup(server.close)
    host, port = server.sockets[0].getsockname()[:2]
    context.address = f"{host}:{port}"
    context.scripted_server = script


@given('a scripted server that answers "{text}" and then {ending}')
def step_script(context, text, ending):
    _start(context, _ScriptedServer(_decoded(text), ending))


@when('the gateway sends request "{request_id}" to it')
def step_send(context, request_id):
    async def send():
        context.connection = await connect(context.address)
        async with asyncio.timeout(LIMIT_S):
            return await context.connection.exchange(
                context.address, _request(request_id), b"request-id"
            )

    try:
        answer = context.run(send())
        context.outcome = f"{answer.status} {answer.body.decode()}".strip()
    except ExchangeBrokenError:
        context.outcome = "broken"


@when("the gateway connects to a port without a listener")
def step_no_listener(context):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    try:
        context.run(connect(address))
        context.outcome = "connected"
    except NotSentError:
        context.outcome = "not sent"


@then('the exchange ends as "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then("the connection is reusable")
def step_reusable(context):
    assert context.connection.usable


@then("the connection is not reusable")
def step_not_reusable(context):
    assert not context.connection.usable


@then("shortly afterwards the connection is not reusable")
def step_later_not_reusable(context):
    context.run(asyncio.sleep(SETTLE_S))
    assert not context.connection.usable


@given("a pool to a scripted server that keeps idle connections for {seconds:d} s")
def step_pool(context, seconds):
    data = f"HTTP/1.1 200 OK\r\nKeep-Alive: timeout={seconds}\r\nContent-Length: 0\r\n\r\n"
    _start(context, _ScriptedServer(data.encode(), "waits"))
    context.pool = ServerPool(context.timers, None)
    context.server = ServerRecord(
        server="s",
        service="p",
        address=context.address,
        failure_domain="a",
        slots=1,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


@when("two requests are sent with a pause of {seconds:d} s")
def step_two(context, seconds):
    context.run(context.pool.exchange(context.server, _request("r1")))
    step_after(context, seconds)


@when("a request is sent after a pause of {seconds:d} s")
def step_after(context, seconds):
    context.timers.jump(seconds)
    context.run(context.pool.exchange(context.server, _request("r2")))


@then("{count:d} connection was opened")
def step_opened_one(context, count):
    assert context.pool.opened == count == context.scripted_server.connections


@then("{count:d} connections were opened")
def step_opened(context, count):
    assert context.pool.opened == count == context.scripted_server.connections
