"""Steps for requests to backend servers."""

import asyncio

import parse
from behave import given, register_type, then, when

from hyssopwood.backend import BackendClient
from hyssopwood.outcomes import Answered, BodyCutError, NotRun
from support.request_fakes import ScriptedServer, close_at_end, server_request, until


@parse.with_pattern("stays silent|answers")
def _behaviour(text):
    return text


register_type(Behaviour=_behaviour)


def _start(context, behaviour, running):
    context.server = ScriptedServer(behaviour, running)
    context.run(context.server.start())
    context.client = BackendClient(context.timers)
    context.changes = {}
    close_at_end(context, context.client.close, context.server.stop)


@given("a backend server that {behaviour}")
def step_request_server(context, behaviour):
    _start(context, behaviour, running=0)


@given("a busy backend server that {behaviour}")
def step_request_busy_server(context, behaviour):
    _start(context, behaviour, running=2)


@given("an attempt whose permit has expired")
def step_request_expired_permit(context):
    context.changes = {"first_byte_by": context.timers.now()}


@given("an attempt whose deadline has passed")
def step_request_passed_deadline(context):
    context.changes = {"deadline": context.timers.now()}


@given("an attempt whose server is down")
def step_request_server_down(context):
    context.run(context.server.stop())


@given("an attempt whose process was paused")
def step_request_paused(context):
    async def pause():
        await context.timers.settle()
        context.timers.jump(1.0)

    context.client._start_watch = _within(context.loop, context.client._start_watch)
    context.client._start_watch()
    context.run(pause())
    now = context.timers.now()
    context.changes = {"first_byte_by": now + 5, "deadline": now + 5}


def _within(loop, function):
    async def call():
        function()

    def run():
        if loop.is_running():
            function()
        else:
            loop.run_until_complete(call())

    return run


@given("an attempt whose path is {path}")
def step_request_path(context, path):
    context.changes = {"path": path}


async def _outcome(context, **changes):
    """Send one attempt, read its body and describe the result."""
    request = server_request(context.server.address, context.timers, **changes)
    task = asyncio.ensure_future(context.client.send(request))
    await until(task.done, context.timers)
    outcome = task.result()
    if not isinstance(outcome, Answered):
        kind = "not run" if isinstance(outcome, NotRun) else "unknown"
        return f"{kind} {outcome.reason.value}"
    reading = asyncio.ensure_future(_read(outcome))
    await until(reading.done, context.timers)
    return reading.result()


async def _read(answer):
    try:
        return "answered " + b"".join([chunk async for chunk in answer.body]).decode()
    except BodyCutError:
        return "cut"


@when("a {method:w} attempt is sent")
def step_request_send(context, method):
    body = b"" if method == "GET" else b"body"
    context.outcome = context.run(_outcome(context, method=method, body=body))


@when("another {method:w} attempt is sent on the same connection")
def step_request_send_again(context, method):
    context.connections_before = context.server.connections
    body = b"" if method == "GET" else b"body"
    context.outcome = context.run(_outcome(context, method=method, body=body, request_id="i1.2#0"))


@when("the prepared attempt is sent")
def step_request_send_prepared(context):
    context.outcome = context.run(_outcome(context, **context.changes))


@when("{count:d} attempts are answered at the same time")
def step_request_concurrent(context, count):
    async def send_all():
        return await asyncio.gather(*(_outcome(context) for _ in range(count)))

    assert set(context.run(send_all())) == {"answered whole"}
    assert context.server.connections == count


@when("the server {behaviour:Behaviour}")
def step_request_changes(context, behaviour):
    context.server.behaviour = behaviour


@when("the process is paused for {seconds:g} s")
def step_request_pause(context, seconds):
    async def pause():
        context.timers.jump(seconds)
        await context.timers.advance(0.02)

    context.run(pause())


@when("an attempt waits for {seconds:g} s")
def step_request_wait(context, seconds):
    async def wait():
        request = server_request(context.server.address, context.timers)
        context.waiting = asyncio.ensure_future(context.client.send(request))
        await until(lambda: context.server.seen)
        for _ in range(int(seconds / 0.02)):
            await context.timers.advance(0.02)
            await asyncio.sleep(0.001)

    context.run(wait())


@when("the attempt ends because its deadline passes")
def step_request_deadline(context):
    context.run(until(context.waiting.done, context.timers))


@when("the attempt ends because its caller went away")
def step_request_caller_gone(context):
    context.waiting.cancel()
    context.run(until(context.waiting.done))


@then("the attempt ends as {expected}")
def step_request_outcome(context, expected):
    assert context.outcome == expected, f"it ended as {context.outcome}"


@then("the server saw {count:d} attempts")
def step_request_seen(context, count):
    assert len(context.server.seen) == count, context.server.seen


@then("the second attempt used a new connection")
def step_request_new_connection(context):
    assert context.server.connections > context.connections_before


@then("the attempt still waits")
def step_request_still_waits(context):
    assert not context.waiting.done(), context.waiting


@then("the server was told to cancel it")
def step_request_cancelled(context):
    context.run(until(lambda: context.server.cancelled))
    assert "i1.1#0" in context.server.cancelled[0]


@then("no attempt is left in flight")
def step_request_none_left(context):
    assert context.client.in_flight == 0
