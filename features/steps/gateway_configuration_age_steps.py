"""Steps for instances whose leader knows the configuration late."""

import asyncio
import time

from behave import then, when

from hyssopwood.errors import LogUnavailableError
from hyssopwood.platform.names import NEWEST_PATH, OPERATOR_TOPIC, READ_PATH

INTERVAL_S = 0.05
PLAYED_S = 4.0


def _leave_reads_unanswered(client, seconds):
    """Make a client's reads of the configuration run into their time limit for some time."""
    request, until = client._request, time.monotonic() + seconds

    async def hang(method, path, params, limit_s, body=b""):
        reads = path in (READ_PATH, NEWEST_PATH) and params["topic"] == OPERATOR_TOPIC
        if reads and time.monotonic() < until:
            await asyncio.sleep(limit_s)
            raise LogUnavailableError("no answer")
        return await request(method, path, params, limit_s, body)

    client._request = hang


@when("the leader's reads of the configuration stay unanswered for {seconds:g} s")
def step_hang(context, seconds):
    instances = context.deployment.instances.values()
    (context.leader,) = [item for item in instances if item.daemon.is_leader]
    _leave_reads_unanswered(context.leader.client, seconds)


@when(
    "configuration {version:d} without the route is published while requests go to the other"
    " instances"
)
def step_publish(context, version):
    deployment = context.deployment
    context.statuses = []

    async def play():
        # The read that was under way when the reads began to hang ends within one poll.
        await asyncio.sleep(1.0)
        deployment.publish(version, with_route=False)
        published_at = time.monotonic()
        while (elapsed_s := time.monotonic() - published_at) < PLAYED_S:
            for instance in deployment.instances.values():
                if instance is not context.leader:
                    status = await deployment.send(instance, 1)
                    context.statuses.append((elapsed_s, instance.name, status))
            await asyncio.sleep(INTERVAL_S)

    context.run(play())


@then("every request sent there {seconds:g} s after the publication or later is answered 404")
def step_in_force(context, seconds):
    late = [item for item in context.statuses if item[0] >= seconds]
    assert late and all(status == 404 for _, _, status in late), late[:3]
