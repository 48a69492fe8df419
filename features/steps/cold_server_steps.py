"""Steps for servers that are cold and tolerate few requests."""

import asyncio
import time

from behave import given, then, when

from support.gateway_deployment import Deployment

WARMUP_PER_S = 5.3
KEY_SPAN = 16_000
KEY_STEP = 977
# Time in which a new platform's instances link and their ranks settle.
SETTLED_S = 4.0


@given("a platform whose {kind} servers tolerate {rate:g} requests a second while they are cold")
def step_platform(context, kind, rate):
    sharded = kind == "sharded"
    deployment = context.deployment = Deployment(service="portal" if sharded else "desk")
    deployment.bounds = {"warmup_overage": 1.5, "warmup_slack": 8}
    deployment.cluster_fields = {"warmup_per_s": rate, "warmup_s": 6}
    context.path = "/pigs/x" if sharded else "/photos/x"
    context.add_cleanup(lambda: context.run(deployment.stop()))
    names = ["s1", "s2", "s3"] if sharded else ["s1"]
    context.run(deployment.start(names, ["i1", "i2", "i3"]))
    context.run(asyncio.sleep(SETTLED_S))


@when(
    'server "{name}" becomes cold for {seconds:g} s under {rate:d} requests a second by each of 3 '
    "instances"
)
def step_cold(context, name, seconds, rate):
    deployment = context.deployment
    server = context.cold_server = deployment.servers[name]
    context.results = []

    async def send(instance, key):
        began = time.monotonic()
        answer = await deployment.send_for_answer(instance, key, context.path)
        context.results.append((time.monotonic() - began, answer))

    async def load():
        context.cold_at = time.monotonic()
        server.cold_until = context.cold_at + seconds
        sends = []
        for number in range(int(seconds * rate)):
            key = number * KEY_STEP % KEY_SPAN
            for instance in deployment.instances.values():
                sends.append(asyncio.ensure_future(send(instance, key)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*sends)

    context.run(load())


def _accepted(context, since_s):
    server = context.cold_server
    low, high = context.cold_at + since_s, server.cold_until
    return [at for at in server.accepted_at if low <= at <= high]


@then("from {since:g} s on it got at most {most:d} requests in any second while it was cold")
def step_at_most(context, since, most):
    accepted = _accepted(context, since)
    counts = [sum(start <= at <= start + 1 for at in accepted) for start in accepted]
    context.cold_count = len(accepted)
    assert max(counts, default=0) <= most, (max(counts), counts)


@then("it got at least {least:d} of them")
def step_at_least(context, least):
    assert context.cold_count >= least, context.cold_count
