"""Steps for servers that name a limit on the requests that they take."""

import asyncio
import time

from behave import then, when

LOAD_S = 8.0
# The load is spread over the lowest keys.
KEY_SPAN = 16_000
KEY_STEP = 977
# The users' bound: from `contact_s` on, in any 4 s at most 1.5 times the limit and 5 more.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5


@when(
    'server "{name}" names a limit of {limit:g} requests a second and gets {rate:d} a second by '
    "each instance"
)
def step_load(context, name, limit, rate):
    deployment = context.deployment
    context.limited_server = deployment.servers[name]
    context.results = []

    async def send(instance, key):
        began = time.monotonic()
        answer = await deployment.send_for_answer(instance, key)
        context.results.append((time.monotonic() - began, answer))

    async def load():
        # The first server by name gets the lowest keys.
        owner = await deployment.send_for_answer(deployment.instances["i1"], 0)
        assert owner.body.startswith(name), owner
        context.limited_server.limit_per_s = limit
        context.named_at = time.monotonic()
        sends = []
        for number in range(int(LOAD_S * rate)):
            key = number * KEY_STEP % KEY_SPAN
            for instance in deployment.instances.values():
                sends.append(asyncio.ensure_future(send(instance, key)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*sends)

    context.run(load())


@then("from 3 s on it got in each 4 s at most half as much again and 5 requests and commands")
def step_within_limit(context):
    server = context.limited_server
    allowed = TOLERANCE * server.limit_per_s * WINDOW_S + EXTRA_REQUESTS
    arrived_at = [at - context.named_at for at in server.arrived_at if at > context.named_at]
    ends = [at for at in arrived_at if at >= CONTACT_S]
    counts = [sum(end - WINDOW_S < at <= end for at in arrived_at) for end in ends]
    assert ends, "the server got nothing"
    assert max(counts) <= allowed, (max(counts), allowed)


@then("each request that it didn't run was refused with a Retry-After within {seconds:g} s")
def step_refused(context, seconds):
    assert any(answer.status == 200 for _, answer in context.results)
    for elapsed_s, answer in context.results:
        if answer.status == 200:
            continue
        assert answer.status == 503, answer
        assert float(answer.headers["Retry-After"]) > 0, answer
        assert elapsed_s < seconds, elapsed_s
