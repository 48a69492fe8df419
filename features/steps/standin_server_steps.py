"""Steps for the stand-in backend server."""

import asyncio
import json

import aiohttp
from behave import given, then, when

from hyssopwood_standins.answer_body import body_parts, check_body
from hyssopwood_standins.grants import Grants, RefusedError
from hyssopwood_standins.processor_sharing import ProcessorSharing
from hyssopwood_standins.server import Server
from support.standin_http import exchange, running
from support.standin_recorder import MemoryRecorder

LEASE_MS = 60_000
YES_NO = {True: "yes", False: "no", None: "-"}


def _run_command(grants, line):
    at, name, *words = line.split()
    now = float(at)
    if name == "run":
        return grants.refusal_reason(words[0], int(words[1]), now) or "ok"
    epoch = int(words[0])
    try:
        if name == "renew":
            grants.renew(epoch, "i1", float(words[1]) * 1000, now)
        elif name == "grant":
            grants.change(epoch, {words[1]: int(words[2])}, [], now)
        else:
            grants.change(epoch, {}, [words[1]], now)
    except RefusedError as error:
        return error.reason
    return "ok"


@then('the stand-in grants with fencing {fencing} follow "{lines}"')
def step_grants(context, fencing, lines):
    grants = Grants(MemoryRecorder(), fencing == "on")
    for line in lines.split(";"):
        command, expected = line.strip().split("=")
        result = _run_command(grants, command)
        assert result == expected, f"{command}: {result}, expected {expected}"


@then(
    "the stand-in lapse of a lease until {until:g} that is detected at {detected:g} "
    "is recorded at {expected:g}"
)
def step_lapse(context, until, detected, expected):
    recorder = MemoryRecorder()
    grants = Grants(recorder, True, clock_offset_s=500.0)
    grants.renew(1, "i1", (until + 500) * 1000, 1.0)
    grants.change(1, {"p": 7}, [], 1.0)
    grants.expire(detected)
    lapses = [item for item in recorder.records if item["type"] == "lapsed"]
    assert [(item["partition"], item["t"]) for item in lapses] == [("p", expected)], lapses


class _ServerFixture:
    """A server that owns partition `p` with token 7, and a client session with it."""

    def __init__(self, behaviour="{}", lease_ms=LEASE_MS):
        self.behaviour = behaviour
        self.lease_ms = lease_ms
        self.recorder = MemoryRecorder(server="s")
        self.server = Server("s", 2, self.recorder)

    async def run(self, use):
        async with running(self.server.app()) as (base, runner):
            self.base = base
            self.server.set_connection_source(lambda: list(runner.server.connections))
            async with aiohttp.ClientSession() as self.session:
                await self._acquire_partition()
                await self.post("/control", self.behaviour)
                return await use()

    async def post(self, path, body, headers=None):
        return await exchange(self.session, "POST", self.base + path, body, headers)

    async def work(self, nonce, **headers):
        all_headers = {"Hyssopwood-Partition": "p", "Hyssopwood-Token": "7", "Hyssopwood-Key": "k"}
        all_headers |= {"X-Nonce": nonce, "Hyssopwood-Request-Id": nonce, **headers}
        return await self.post("/work", "", all_headers)

    def count(self, **expected):
        return sum(expected.items() <= record.items() for record in self.recorder.records)

    async def _acquire_partition(self):
        session = {"epoch": 1, "coordinator": "i1", "lease_until_ms": 0}
        _, _, body = await self.post("/hyssopwood/session", json.dumps(session))
        session["lease_until_ms"] = json.loads(body)["clock_ms"] + self.lease_ms
        await self.post("/hyssopwood/session", json.dumps(session))
        grant = {"epoch": 1, "grant": [{"partition": "p", "token": 7}]}
        await self.post("/hyssopwood/grants", json.dumps(grant))


@given("a stand-in server with the behaviour {behaviour}")
def step_server(context, behaviour):
    context.server = _ServerFixture(behaviour)


@when('stand-in work is sent {times:d} times with headers "{headers}"')
def step_work(context, times, headers):
    name, _, value = headers.partition(": ")
    server = context.server

    async def use():
        if times > 1:
            await server.post("/control", json.dumps({"duplicate_id_answers": 0}))
            await server.work("n0")
            await server.post("/control", server.behaviour)
        return await server.work("n", **{name: value})

    context.answer = context.run(server.run(use))


@then("the last stand-in answer has status {status} and run header {run}")
def step_status(context, status, run):
    actual, headers, _ = context.answer
    assert (actual, headers.get("Hyssopwood-Run", "missing")) == (status, run), context.answer


@then("the last stand-in answer matches its request: {matches}, is complete: {complete}")
def step_answer(context, matches, complete):
    status, _, body = context.answer
    if status != "200":
        assert (matches, complete) == ("-", "-")
        return
    check = check_body(body.encode("latin-1"), "k", "n")
    assert YES_NO[check.matches_request] == matches, body[:200]


@then('the stand-in server recorded "{kind}"')
def step_recorded(context, kind):
    assert context.server.count(type=kind), context.server.recorder.records


@when("two stand-in requests run at once")
def step_two(context):
    server = context.server

    async def use():
        return await asyncio.gather(server.work("n1"), server.work("n2"))

    context.answers = context.run(server.run(use))


@then("exactly one stand-in answer belongs to the other request")
def step_swapped(context):
    pairs = zip(("n1", "n2"), context.answers, strict=True)
    right = [f'"nonce": "{nonce}"' in body for nonce, (_, _, body) in pairs]
    assert sorted(right) == [False, True], context.answers


@then("three stand-in requests on two slots are recorded as one overcommit")
def step_overcommit(context):
    server = _ServerFixture('{"work_ms": 100}')

    async def use():
        await asyncio.gather(*(server.work(f"n{number}") for number in range(3)))

    context.run(server.run(use))
    assert server.count(type="run_started", overcommit=False) == 2
    assert server.count(type="run_started", overcommit=True) == 1


@then(
    "{count:d} pieces of stand-in work of 1 s on 2 slots are done after {seconds:g} s, not before"
)
def step_processor_sharing(context, count, seconds):
    timers = context.timers

    async def use():
        processor = ProcessorSharing(2, timers.now)
        tasks = [asyncio.create_task(processor.run(1.0)) for _ in range(count)]
        done = []
        for step_s in (0, seconds - 0.1, 0.1):
            timers.jump(step_s)
            await timers.settle()
            processor.finish_due()
            await timers.settle()
            done.append(sum(task.done() for task in tasks))
        return done

    assert context.run(use()) == [0, 0, count]


@then("a silenced stand-in connection gets no answer and a new one does")
def step_silent(context):
    server = _ServerFixture()

    async def use():
        await server.work("n1")
        async with aiohttp.ClientSession() as other:
            body = '{"silence_connections": true}'
            await exchange(other, "POST", f"{server.base}/control", body)
        silenced = await server.work("n2")
        return silenced[0], (await server.work("n3"))[0]

    statuses = context.run(server.run(use))
    assert statuses == ("none", "200"), statuses
    assert not server.count(type="run_started", nonce="n2")


@then("cancelled stand-in work ends incomplete and frees its slot")
def step_cancel(context):
    server = _ServerFixture('{"work_ms": 5000}')

    async def use():
        work = asyncio.create_task(server.work("n1"))
        await asyncio.sleep(0.05)
        cancelled = await server.post("/hyssopwood/cancel", '{"request_id": "n1"}')
        _, _, load = await exchange(server.session, "GET", f"{server.base}/hyssopwood/load")
        return cancelled[2], (await work)[0], json.loads(load)["running"]

    assert context.run(server.run(use)) == ('{"cancelled": true}', "500", 0)
    assert server.count(type="run_ended", completed=False, reason="cancelled") == 1


@then("stand-in work under a lapsing lease ends incomplete at the lapse")
def step_lapsing(context):
    server = _ServerFixture('{"work_ms": 5000}', lease_ms=200)
    status, _, _ = context.run(server.run(lambda: server.work("n1")))
    times = {item["type"]: item["t"] for item in server.recorder.records}
    assert status == "500" and times["run_ended"] == times["lapsed"], server.recorder.records
    assert server.count(type="run_ended", completed=False) == 1


@then("a stand-in body with {damage} matches its request: {matches}, is complete: {complete}")
def step_damage(context, damage, matches, complete):
    body = b"".join(body_parts("k", "n", 100, "s", 1))
    nonce = "m" if damage == "another nonce" else "n"
    damaged = {
        "its last byte cut": body[:-1],
        "a byte changed": body[:-1] + bytes([body[-1] ^ 1]),
        "no head line": b"x" * 10,
    }.get(damage, body)
    check = check_body(damaged, "k", nonce)
    assert (YES_NO[check.matches_request], YES_NO[check.complete]) == (matches, complete), check
