"""Steps for answers without end, read by processes of their own."""

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import aiohttp
from behave import given, then, when

from hyssopwood_standins.key_server import KeyServer
from hyssopwood_standins.keyed_store import KeyedStore
from steps.platform_steps import configuration
from support.gateway_process import GatewayProcess
from support.pouring_server import FORMS

SUPPORT = Path(__file__).parent.parent / "support"
KIB = 1024
# Processes that read at the same time; more would wait for each other.
CONCURRENT = 4


def _start(script, *arguments):
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    return subprocess.Popen(
        [sys.executable, str(SUPPORT / script), *arguments],
        stdout=subprocess.PIPE,
        env=environment,
    )


def _end(process):
    process.kill()
    process.communicate()


async def _read_port(server):
    return int(await asyncio.to_thread(server.stdout.readline))


async def _read_form(channel, form):
    """Return the growth of memory in KiB, the seconds, and the longest step in seconds."""
    server = _start("pouring_server.py", form)
    try:
        port = await _read_port(server)
        reading = _start("reading_process.py", channel, f"127.0.0.1:{port}")
        output, _ = await asyncio.to_thread(reading.communicate)
    finally:
        _end(server)
    assert reading.returncode == 0, (channel, form, reading.returncode)
    return tuple(float(value) for value in output.split())


@when("a process reads {channel} from a server that pours each form of bytes without end")
def step_read_forms(context, channel):
    limit = asyncio.Semaphore(CONCURRENT)

    async def read(form):
        async with limit:
            return form, await _read_form(channel, form)

    async def run():
        return dict(await asyncio.gather(*(read(form) for form in FORMS)))

    context.measured = context.run(run())


@then("its memory grows by less than {megabytes:d} MB with each form")
def step_memory(context, megabytes):
    grown = {form: round(kib) for form, (kib, _, _) in context.measured.items()}
    too_much = {form: kib for form, kib in grown.items() if kib * KIB >= megabytes * 1_000_000}
    assert len(grown) == len(FORMS)
    assert not too_much, f"KiB: {too_much}"


@then("no step of its event loop takes {step_s:g} s of processor time")
def step_loop(context, step_s):
    longest = {form: step for form, (_, _, step) in context.measured.items() if step > step_s}
    assert not longest, longest


@then("it gives up within {limit_s:g} s")
def step_times(context, limit_s):
    late = {
        form: seconds for form, (_, seconds, _) in context.measured.items() if seconds > limit_s
    }
    assert not late, late


HOST = "shop.example"
SERVICE = "desk"
HEARTBEAT_S = 0.5
ROUTE = {
    "name": "r-desk",
    "match": {"path_prefix": "/desk/"},
    "type": "safe",
    "priority": 1,
    "target_latency_s": 0.6,
    "action": {"service": SERVICE, "timeout_s": 2.0, "max_attempts": 3},
}


def _configuration():
    document = configuration(5)
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


@given("the gateway's program, two sound servers and one that pours {form} without end")
def step_program(context, form):
    async def start():
        port = await _read_port(context.pouring)
        await context.store.start()
        context.store.put("keyed.op", "config", _configuration())
        servers = [KeyServer(name, SERVICE, sharded=False) for name in ("s1", "s2", "poured")]
        for server in servers[:2]:
            await server.start()
        servers[2].address = f"127.0.0.1:{port}"
        context.heartbeats = asyncio.ensure_future(_send_heartbeats(context.store, servers))
        context.sound = servers[:2]
        context.program = GatewayProcess("i1", context.store.address)
        context.program.launch()
        await context.program.wait_ready()

    async def stop():
        context.program.end()
        context.heartbeats.cancel()
        _end(context.pouring)
        for server in context.sound:
            await server.stop()
        await context.store.stop()

    context.store = KeyedStore()
    context.pouring = _start("pouring_server.py", form)
    context.add_cleanup(lambda: context.run(stop()))
    context.run(start())


@when("{rate:d} requests a second that may repeat are sent to it for {seconds:d} s")
def step_send(context, rate, seconds):
    async def send(session, number):
        loop = asyncio.get_running_loop()
        began = loop.time()
        headers = {"Host": HOST, "Request-Id": f"r{number}", "Deadline-Ms": "2000"}
        url = f"http://{context.program.caller_address}/desk/{number}"
        try:
            async with session.get(url, headers=headers) as answer:
                body = await answer.text()
                return answer.status, body.split(" ")[0], loop.time() - began
        except (aiohttp.ClientError, TimeoutError):
            return 0, "", loop.time() - began

    async def play():
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as session:
            tasks = []
            for number in range(rate * seconds):
                tasks.append(asyncio.ensure_future(send(session, number)))
                await asyncio.sleep(1 / rate)
            return await asyncio.gather(*tasks)

    context.results = context.run(play())


@then(
    "at least {share:d} in 100 are answered 200 by a sound server within {limit_s:g} s, and none by"
    " the other one"
)
def step_sound(context, share, limit_s):
    names = {server.name for server in context.sound}
    good = [item for item in context.results if item[0] == 200 and item[1] in names]
    in_time = [item for item in good if item[2] <= limit_s]
    assert len(in_time) * 100 >= share * len(context.results), (
        len(in_time),
        [item for item in context.results if item not in in_time][:5],
    )
    assert sum(status == 200 for status, _, _ in context.results) == len(good), context.results


@then("the program still runs, and its memory has stayed below {megabytes:d} MB")
def step_program_memory(context, megabytes):
    assert context.program.running
    peak_kib = context.program.peak_kib()
    assert peak_kib * KIB < megabytes * 1_000_000, peak_kib
