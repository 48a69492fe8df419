"""Steps for callers that don't keep to the gateway's rules, against its program."""

import asyncio
import json

import aiohttp
from behave import given, then, when

from hyssopwood_standins.key_server import KeyServer
from hyssopwood_standins.keyed_store import KeyedStore
from steps.platform_steps import configuration
from support.caller_flood import HOST, CallerFlood
from support.gateway_process import GatewayProcess

SERVICE = "desk"
MIB = 1 << 20
KIB = 1024
HEARTBEAT_S = 0.5
ROUTE = {
    "name": "r-desk",
    "match": {"path_prefix": "/desk/"},
    "type": "unsafe",
    "priority": 1,
    "target_latency_s": 1.0,
    "action": {"service": SERVICE, "timeout_s": 5.0, "max_attempts": 2},
}
# Enough for all connections of a flood, so that the gateway's queue doesn't refuse their requests.
SLOTS = 40
# Time for one ordinary request with its repeats; unresponsive processes take longer than this.
ANSWER_LIMIT_S = 8.0
REPEAT_INTERVAL_S = 0.2
POLL_S = 0.02
# Sockets of a process that don't belong to callers: listeners, store, links and servers.
FILES = 200


def encode_configuration(max_body_bytes):
    document = configuration(5)
    document["limits"]["max_body_bytes"] = max_body_bytes
    cluster = {**document["clusters"][0], "name": SERVICE}
    cluster.pop("sharded", None)
    document["clusters"] = [cluster]
    document["listeners"] = [{"host": HOST, "route_rules": [ROUTE]}]
    return json.dumps(document).encode()


async def _send_heartbeats(store, servers):
    while True:
        for server in servers:
            store.put("keyed.servers", server.name, server.registration())
        await asyncio.sleep(HEARTBEAT_S)


def _start(context, memory_mb, max_fds, body_mib, answer_bytes=0):
    async def start():
        await context.store.start()
        context.store.put("keyed.op", "config", encode_configuration(body_mib * MIB))
        for server in context.servers:
            server.large_answer_bytes = answer_bytes
            await server.start()
        context.heartbeats = asyncio.ensure_future(_send_heartbeats(context.store, context.servers))
        context.program = GatewayProcess("i1", context.store.address, memory_mb, max_fds)
        context.program.launch()
        await context.program.wait_ready()
        assert await _is_answered(context, "warm-up", b"")

    async def stop():
        context.program.end()
        context.heartbeats.cancel()
        for server in context.servers:
            await server.stop()
        await context.store.stop()

    context.memory_mb, context.max_fds = memory_mb, max_fds
    context.max_body_bytes = body_mib * MIB
    context.max_sockets = 0
    context.answered = {}
    context.store = KeyedStore()
    context.servers = [
        KeyServer(name, SERVICE, sharded=False, slots=SLOTS) for name in ("s1", "s2")
    ]
    context.add_cleanup(lambda: context.run(stop()))
    context.run(start())


async def _send_once(url, body, headers):
    """Return the status of the answer to a request on a connection of its own."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=body, headers=headers) as answer,
    ):
        await answer.read()
        return answer.status


async def _is_answered(context, name, body):
    """Return whether a request on a connection of its own is answered 200, with repeats."""
    url = f"http://{context.program.caller_address}/desk/{name}"
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            number = 0
            while True:
                number += 1
                headers = {"Host": HOST, "Request-Id": f"{name}-{number}", "Deadline-Ms": "5000"}
                try:
                    if await _send_once(url, body, headers) == 200:
                        return True
                except aiohttp.ClientError:
                    if not context.program.running:
                        return False
                await asyncio.sleep(REPEAT_INTERVAL_S)
    except TimeoutError:
        return False


@given("the gateway's program with {memory_mb:d} MB, for bodies of up to {body_mib:d} MiB")
def step_program(context, memory_mb, body_mib):
    _start(context, memory_mb, 4100, body_mib)


@given("the gateway's program with {memory_mb:d} MB and servers with answers of {size:d} KiB")
def step_program_with_answers(context, memory_mb, size):
    _start(context, memory_mb, 4100, 8, answer_bytes=size * KIB)


@given("the gateway's program with {max_fds:d} descriptors")
def step_program_with_descriptors(context, max_fds):
    _start(context, 300, max_fds, 8)


@when("{count:d} connections send {pattern} for {seconds:g} s")
def step_flood(context, count, pattern, seconds):
    host, _, port = context.program.caller_address.rpartition(":")

    async def run():
        flood = CallerFlood((host, int(port)), pattern)
        task = asyncio.ensure_future(flood.run(count))
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at and context.program.running:
            context.max_sockets = max(context.max_sockets, context.program.socket_count())
            await asyncio.sleep(POLL_S)
        context.answered["during"] = await _is_answered(context, "during", b"x")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        context.answered["afterwards"] = await _is_answered(context, "afterwards", b"x")

    context.run(run())


@when("a body of {size:d} MiB is sent")
def step_largest(context, size):
    context.answered["largest"] = context.run(_is_answered(context, "largest", bytes(size * MIB)))


@then("the process still runs, and its memory has stayed below the limit")
def step_memory(context):
    assert context.program.running
    peak_bytes = context.program.peak_kib() * KIB
    assert peak_bytes < context.memory_mb * 1_000_000, f"{peak_bytes // 1_000_000} MB"


@then("its sockets have stayed below the descriptors that aren't reserved for files")
def step_descriptors(context):
    assert context.program.running
    assert context.max_sockets < context.max_fds - FILES, context.max_sockets


@then(
    "an ordinary request was answered while the connections were open, and another one afterwards"
)
def step_answered(context):
    assert context.answered == {"during": True, "afterwards": True}, context.answered


@then("a request of the largest permitted size is answered")
def step_largest_answered(context):
    assert context.run(_is_answered(context, "largest", bytes(context.max_body_bytes)))


@then("it is answered")
def step_single_answered(context):
    assert context.answered["largest"]
