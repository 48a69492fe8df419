"""Steps for answers with any status, over each channel of a gateway process that reads answers."""

import asyncio

from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import (
    AppendUnconfirmedError,
    HyssopwoodError,
    LogProtocolError,
    LogUnavailableError,
)
from hyssopwood.gateway.dispatcher import Dispatcher
from hyssopwood.gateway.exchange import ExchangeBrokenError, NotSentError, ServerRequest
from hyssopwood.gateway.relay_codec import RelayRequest
from hyssopwood.gateway.relay_server import RelayServer
from hyssopwood.gateway.server_connection import connect
from hyssopwood.gateway.server_connector import ServerConnector
from hyssopwood.gateway.server_directory import ServerDirectory
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.gateway.server_relays import RelayedConnection
from hyssopwood.keyspace.grant_channels import GrantChannels
from hyssopwood.keyspace.plan import KeyRange
from hyssopwood.metrics import Metrics
from hyssopwood.platform.key_commands import PlatformKeyCommands
from hyssopwood.platform.store_client import KeyedRecord, StoreClient
from hyssopwood.timers import SystemTimers
from steps.gateway_dispatch_steps import step_dispatcher
from support.relaying_process import OwnLinks, server_record
from support.status_server import StatusServer, encode_answer

ID_HEADER = b"request-id"
LIMIT_S = 3.0
FORMS = ("whole", "chunked", "large", "large in chunks", "after interim")
KEYS = KeyRange(first=0, last=9, server="s1", born_ms=1, fence=1)
REQUEST = ServerRequest(
    method=b"GET", target=b"/x", headers=((b"Request-Id", b"r1"),), body=b"", request_id=b"r1"
)
BROKEN = "broken"
PROTOCOL = "protocol error of the store"


async def _exchange(connection):
    try:
        answer = await connection.exchange("s1", REQUEST, ID_HEADER)
        while answer.stream is not None and await answer.stream.read():
            pass
    except (ExchangeBrokenError, NotSentError):
        return BROKEN
    return answer.status


async def _request(address):
    connection = await connect(address)
    try:
        return await _exchange(connection)
    finally:
        connection.abort()


async def _relayed(address, framed):
    timers, metrics = SystemTimers(), Metrics()
    directory, health, links = ServerDirectory(), ServerHealth(timers), OwnLinks()
    directory.put(server_record(address))
    connector = ServerConnector(links, None, timers)
    server = RelayServer(
        "127.0.0.1:0", directory, connector, links, health, timers, metrics, lambda: False
    )
    await server.start()
    port = server._server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(RelayedConnection, "127.0.0.1", port)
    try:
        await connection.request(RelayRequest("s1", 1, framed=framed))
        return await _exchange(connection)
    finally:
        connection.abort()
        server.close()


async def _command(address):
    """Return the status of an answer over the pool that commands use."""
    pool = ServerPool(SystemTimers(), None)
    request = ServerRequest(method=b"POST", target=b"/command", headers=(), body=b"{}")
    try:
        answer = await pool.exchange(server_record(address), request)
        while answer.stream is not None and await answer.stream.read():
            pass
    except (ExchangeBrokenError, NotSentError):
        return BROKEN
    finally:
        pool.abort_idle(server_record(address))
    return answer.status


async def _grant(address):
    """Return BROKEN if a grant counts neither as done nor as refused by a higher token."""
    commands = PlatformKeyCommands(ServerPool(SystemTimers(), None), GrantChannels())
    answer = await commands.grant(server_record(address), KEYS, 4.0, None, None)
    return "done" if answer.done else "fenced" if answer.fenced else BROKEN


async def _call_store(address, call):
    client = StoreClient(address, Metrics())
    try:
        await call(client)
    except LogUnavailableError:
        return BROKEN
    except AppendUnconfirmedError:
        return "unconfirmed"
    except LogProtocolError:
        return PROTOCOL
    except HyssopwoodError as error:
        return type(error).__name__
    finally:
        await client.close()
    return "returned"


async def _store_read(address):
    return await _call_store(address, lambda client: client.read("x", 0, 0.0))


async def _store_newest(address):
    return await _call_store(address, lambda client: client.newest("x"))


async def _store_append(address):
    records = (KeyedRecord("a", b"b"),)
    return await _call_store(address, lambda client: client.append("x", records, 0))


EXCHANGES = {
    "a direct connection": _request,
    "a relayed connection in frames": lambda address: _relayed(address, True),
    "a relayed connection without frames": lambda address: _relayed(address, False),
    "a command": _command,
}
STORE_CALLS = {
    "a read of the store": _store_read,
    "a listing of the store": _store_newest,
    "an append to the store": _store_append,
}
GRANTS = {"a grant": _grant}


async def _try_channel(channel, server):
    """Return what a channel makes of a server's answer."""
    listener = await server.start()
    try:
        async with asyncio.timeout(LIMIT_S):
            return await channel(server.address)
    finally:
        listener.close()


@when('a server sends the status "{status}" in each form over each channel')
def step_statuses(context, status):
    context.status = status
    context.results = {
        (name, form): context.run(_try_channel(channel, StatusServer(status, form)))
        for name, channel in {**EXCHANGES, **STORE_CALLS, **GRANTS}.items()
        for form in FORMS
    }


class _InterimAnswers(StatusServer):
    """Answer each request with an interim answer and one with the status 200."""

    def __init__(self, interim):
        super().__init__("200")
        self._interim = interim.encode()

    def _encode(self, request_id):
        interim = b"HTTP/1.1 " + self._interim + b" Interim\r\nX: y\r\n\r\n"
        return interim + encode_answer(b"200", "whole", request_id)


@when('a server sends the interim answer "{status}" before its answer over each channel')
def step_interim(context, status):
    context.status = "200"
    context.results = {
        (name, "interim"): context.run(_try_channel(channel, _InterimAnswers(status)))
        for name, channel in {**EXCHANGES, **STORE_CALLS, **GRANTS}.items()
    }


def _wrong(context, expected):
    return {key: result for key, result in context.results.items() if result != expected(key[0])}


@then("each exchange is broken, and each append is unconfirmed")
def step_broken(context):
    wrong = _wrong(
        context, lambda name: "unconfirmed" if name == "an append to the store" else BROKEN
    )
    assert context.results and not wrong, wrong


@then("each exchange returns the status")
def step_returned(context):
    exchanges = {key: item for key, item in context.results.items() if key[0] in EXCHANGES}
    wrong = {key: item for key, item in exchanges.items() if item != int(context.status)}
    assert exchanges and not wrong, wrong
    # The store's answer is read to its end; its body or its status may be a protocol error.
    calls = {key: item for key, item in context.results.items() if key[0] in STORE_CALLS}
    broken = {key: item for key, item in calls.items() if item == BROKEN}
    assert calls and not broken, broken


@then("each exchange returns the final answer")
def step_final(context):
    step_returned(context)
    assert context.results["a grant", "interim"] == "done", context.results


@given('servers "{servers}" of a keyless service whose first answer has the status "{status}"')
def step_servers(context, servers, status):
    step_dispatcher(context, servers, "keyless")
    context.servers = {}
    answered = []
    for name in servers.split(","):
        server = StatusServer(status, answered=answered)
        context.add_cleanup(context.run(server.start()).close)
        context.servers[name] = server
        record = context.directory.get(name)
        context.directory.put(evolve(record, address=server.address, sequence=2))
    context.real_pool = ServerPool(context.system_timers, ID_HEADER)
    context.dispatcher = Dispatcher(evolve(context.dispatcher._deps, pool=context.real_pool))


@then("the servers got {count:d} request")
def step_requests(context, count):
    assert sum(server.requests for server in context.servers.values()) == count
