"""A process that reads answers of one server over one channel and prints what that took.

Its arguments are the channel and the server's address. It prints the growth of its memory in KiB,
the seconds until the channel gave up, and the longest processor time between two ticks in seconds.
"""

import asyncio
import contextlib
import resource
import sys
import time

import uvloop

from hyssopwood.backend import BackendClient
from hyssopwood.connection_pool import BackendServer
from hyssopwood.connection_pool import ServerRequest as BackendRequest
from hyssopwood.control_channel import HttpControlChannel
from hyssopwood.errors import HyssopwoodError
from hyssopwood.events import set_up_logging
from hyssopwood.gateway.exchange import NotSentError, ServerRequest
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
from hyssopwood.log_client import LogClient
from hyssopwood.metrics import Metrics
from hyssopwood.outcomes import Answered
from hyssopwood.platform.key_commands import PlatformKeyCommands
from hyssopwood.platform.store_client import KeyedRecord, StoreClient
from hyssopwood.timers import SystemTimers
from support.relaying_process import OwnLinks, server_record

ID_HEADER = b"request-id"
DEADLINE_S = 1.0
TICK_S = 0.005
# Time for which connections stay open after a call, as those of a pool do.
IDLE_S = 0.5
KEYS = KeyRange(first=0, last=9, server="s1", born_ms=1, fence=1)
REQUEST = ServerRequest(
    method=b"GET", target=b"/x", headers=((b"Request-Id", b"r1"),), body=b"", request_id=b"r1"
)


async def _read_answer(connection):
    """Read an answer until the deadline, as slowly as a caller that takes a piece a tick."""
    answer = await connection.exchange("s1", REQUEST, ID_HEADER)
    while answer.stream is not None and await answer.stream.read():
        await asyncio.sleep(TICK_S)


async def _request(address):
    await _read_answer(await connect(address))


async def _relayed_request(address):
    timers, metrics, links = SystemTimers(), Metrics(), OwnLinks()
    directory = ServerDirectory()
    directory.put(server_record(address))
    connector = ServerConnector(links, None, timers)
    health = ServerHealth(timers)
    server = RelayServer(
        "127.0.0.1:0", directory, connector, links, health, timers, metrics, lambda: False
    )
    await server.start()
    port = server._server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(RelayedConnection, "127.0.0.1", port)
    await connection.request(RelayRequest("s1", 1, framed=True))
    await _read_answer(connection)


async def _relay_reply(address):
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(RelayedConnection, host, int(port))
    await connection.request(RelayRequest("\r\n\r\n", 1, framed=True))


def _commands():
    return PlatformKeyCommands(ServerPool(SystemTimers(), None), GrantChannels())


async def _grant(address):
    commands = _commands()
    await commands.grant(server_record(address), KEYS, 4.0, None, None)
    await asyncio.sleep(IDLE_S)


async def _release(address):
    commands = _commands()
    await commands.release(server_record(address), KEYS, DEADLINE_S, lambda: None)
    await asyncio.sleep(IDLE_S)


async def _call_store(address, call):
    client = StoreClient(address, Metrics())
    try:
        with contextlib.suppress(HyssopwoodError):
            await call(client)
        await asyncio.sleep(IDLE_S)
    finally:
        await client.close()


async def _store_read(address):
    await _call_store(address, lambda client: client.read("x", 0, 0.9))


async def _store_listing(address):
    await _call_store(address, lambda client: client.newest("x"))


async def _store_append(address):
    records = (KeyedRecord("a", b"b"),)
    await _call_store(address, lambda client: client.append("x", records, 0))


async def _log_read(address):
    client = LogClient(SystemTimers(), f"http://{address}", "tickets", DEADLINE_S)
    try:
        with contextlib.suppress(HyssopwoodError):
            await client.read(0)
        await asyncio.sleep(IDLE_S)
    finally:
        await client.close()


async def _session_command(address):
    channel = HttpControlChannel(address, SystemTimers(), DEADLINE_S)
    try:
        with contextlib.suppress(HyssopwoodError):
            await channel.post("/hyssopwood/grant", {}, False)
        await asyncio.sleep(IDLE_S)
    finally:
        await channel.close()


async def _backend_request(address):
    timers = SystemTimers()
    client = BackendClient(timers)
    request = BackendRequest(
        server=BackendServer("s1", address, 4),
        request_id="i1.1#0",
        method="GET",
        path="/portal/17",
        headers={},
        body=b"",
        key="17",
        operation="read",
        partition="portal/1",
        token=5,
        epoch=7,
        repeatable=False,
        deadline=timers.now() + DEADLINE_S,
        first_byte_by=timers.now() + DEADLINE_S,
    )
    outcome = await client.send(request)
    try:
        if isinstance(outcome, Answered):
            async for _ in outcome.body:
                await asyncio.sleep(TICK_S)
    finally:
        await client.close()


CHANNELS = {
    "a request": _request,
    "a relayed request": _relayed_request,
    "a relay's reply": _relay_reply,
    "a grant": _grant,
    "a release": _release,
    "a read of the store": _store_read,
    "a listing of the store": _store_listing,
    "an append to the store": _store_append,
    "a read of the log": _log_read,
    "a session's command": _session_command,
    "a backend request": _backend_request,
}


async def _measure_steps(steps):
    while True:
        began = time.thread_time()
        await asyncio.sleep(TICK_S)
        steps.append(time.thread_time() - began)


def _peak_kib():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


async def _run(channel, address):
    set_up_logging("ERROR")
    loop = asyncio.get_running_loop()
    steps = [0.0]
    ticker = asyncio.ensure_future(_measure_steps(steps))
    before, began = _peak_kib(), loop.time()
    with contextlib.suppress(HyssopwoodError, OSError, TimeoutError, NotSentError):
        async with asyncio.timeout(DEADLINE_S + IDLE_S):
            await CHANNELS[channel](address)
    ticker.cancel()
    print(_peak_kib() - before, loop.time() - began, max(steps), flush=True)


if __name__ == "__main__":
    uvloop.run(_run(sys.argv[1], sys.argv[2]))
