"""Steps for open connections to the store that go silent for good."""

import asyncio
import random
import time

from attrs import frozen
from behave import then, when

INTERVAL_S = 0.04
PLAYED_S = 4.0
SEED = 45
KEYS = 60


@frozen
class _Sent:
    """A request with the times since the change and since the silence at which it was sent."""

    since_change_s: float
    since_silence_s: float
    instance: str
    status: int
    server: str


@when("a share of {share:g} of the open connections to the store goes silent for good")
def step_silence(context, share):
    context.silent_at = time.monotonic()
    silenced = context.deployment.store.silence_connections(share, random.Random(SEED))
    assert silenced


async def _change_and_send(context, delay_s, change):
    deployment = context.deployment
    await asyncio.sleep(context.silent_at + delay_s - time.monotonic())
    change()
    changed_at, context.sent = time.monotonic(), []
    keys = random.Random(SEED)

    async def send(instance, at):
        key = keys.randrange(KEYS) * 65_535 // KEYS
        answer = await deployment.send_for_answer(instance, key)
        since_silence_s = at - context.silent_at
        context.sent.append(
            _Sent(
                at - changed_at,
                since_silence_s,
                instance.name,
                answer.status,
                answer.body.split(" ")[0],
            )
        )

    tasks = []
    while time.monotonic() - changed_at < PLAYED_S:
        now = time.monotonic()
        tasks += [asyncio.ensure_future(send(item, now)) for item in deployment.instances.values()]
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


@when(
    "configuration {version:d} without the route is published {delay_s:g} s later while requests go"
    " to all instances"
)
def step_publish_later(context, version, delay_s):
    deployment = context.deployment
    context.run(
        _change_and_send(context, delay_s, lambda: deployment.publish(version, with_route=False))
    )


@when('server "{name}" drains {delay_s:g} s later while requests go to all instances')
def step_drain_later(context, name, delay_s):
    deployment = context.deployment

    def drain():
        deployment.draining.add(name)
        deployment.store.put(
            "keyed.servers", name, deployment.servers[name].registration("draining")
        )

    context.run(_change_and_send(context, delay_s, drain))


def _late(context, change_s, silence_s):
    late = [
        item
        for item in context.sent
        if item.since_change_s >= change_s and item.since_silence_s >= silence_s
    ]
    assert len(late) > 30, len(late)
    return late


@then(
    "every request sent {change_s:d} s after the publication, and {silence_s:d} s after the"
    " silence, is answered {status:d}"
)
def step_all_answered(context, change_s, silence_s, status):
    wrong = [item for item in _late(context, change_s, silence_s) if item.status != status]
    assert not wrong, (len(wrong), wrong[-1])


@then(
    "no request sent {change_s:d} s after the drain, and {silence_s:d} s after the silence, is"
    ' answered by server "{name}"'
)
def step_none_by(context, change_s, silence_s, name):
    context.late = _late(context, change_s, silence_s)
    wrong = [item for item in context.late if item.server == name]
    assert not wrong, (len(wrong), wrong[-1])


@then("at least {share:d} in 100 of the requests sent then are served")
def step_served(context, share):
    served = sum(item.status == 200 for item in context.late)
    assert served * 100 >= share * len(context.late), (served, len(context.late))
