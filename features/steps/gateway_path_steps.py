"""Steps for the whole request path of the gateway."""

import asyncio
import time
from unittest.mock import patch

import aiohttp
from behave import given, then, when

from hyssopwood.gateway.caller_connection import CallerConnection
from hyssopwood.keyspace.plan import KEY_COUNT
from hyssopwood_standins.key_server import KeyServer
from support.gateway_deployment import Deployment


def _start(context, servers, instances, version=5):
    context.deployment = Deployment()
    context.add_cleanup(lambda: context.run(context.deployment.stop()))
    context.run(context.deployment.start(servers, instances, version))


@given('a platform with servers "{servers}" of a sharded service and instances "{instances}"')
def step_platform(context, servers, instances):
    _start(context, servers.split(","), instances.split(","))


@given('a platform without a configuration and instances "{instances}"')
def step_unconfigured(context, instances):
    _start(context, [], instances.split(","), version=0)


async def _send_spread(deployment, count):
    instances = list(deployment.instances.values())
    for number in range(count):
        key = number * KEY_COUNT // count
        await deployment.send(instances[number % len(instances)], key)


@when("{count:d} requests for spread keys are sent to the instances in turn")
def step_send(context, count):
    context.run(_send_spread(context.deployment, count))


@when('server "{name}" drains and {seconds:d} s pass')
def step_drain(context, name, seconds):
    context.deployment.draining.add(name)
    context.run(asyncio.sleep(seconds))


def _leader(deployment):
    return [item for item in deployment.instances.values() if item.daemon.is_leader]


@when("the leading instance stops while requests go to the other one")
def step_stop_leader(context):
    deployment = context.deployment
    (leader,) = _leader(deployment)
    (other,) = [item for item in deployment.instances.values() if item is not leader]

    async def stop():
        began = time.monotonic()
        leader.daemon.stop()
        number = 0
        while not leader.task.done() or time.monotonic() - began < 3:
            await deployment.send(other, number * 997 % KEY_COUNT)
            number += 1
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    context.stopped_after = context.run(stop())


@when("configuration 9 without the route is published and then version 8 with it")
def step_configurations(context):
    context.deployment.publish(9, with_route=False)
    context.deployment.publish(8)


@when("configuration {version:d} is published")
def step_publish(context, version):
    context.deployment.publish(version)


@given("every request takes {seconds:g} s")
def step_work(context, seconds):
    for server in context.deployment.servers.values():
        server.work_s = seconds


@when('instance "{name}" stops while callers keep sending it requests on new and kept connections')
def step_stop_under_load(context, name):
    deployment = context.deployment
    instance = deployment.instances[name]
    context.interrupted = {}
    context.accepted = set()
    request_read = CallerConnection.request_read

    def record_accepted(connection, request, keeps_alive):
        context.accepted.add(dict(request.headers)[b"request-id"].decode())
        request_read(connection, request, keeps_alive)

    async def call(number):
        request_id = f"stop{number}"
        try:
            key = number * 23_757 % KEY_COUNT
            await deployment.send(instance, key, method="POST", request_id=request_id)
        except aiohttp.ClientError as error:
            context.interrupted[request_id] = repr(error)

    async def stop():
        began = time.monotonic()
        instance.daemon.stop()
        calls, number = [], 0
        while not instance.task.done():
            calls.append(asyncio.ensure_future(call(number)))
            number += 1
            await asyncio.sleep(0.02)
        ended = time.monotonic() - began
        # When a process ends, its connections end with it.
        for connection in list(instance.daemon._callers._connections):
            connection._transport.abort()
        await asyncio.gather(*calls)
        return ended

    with patch.object(CallerConnection, "request_read", record_accepted):
        context.stopped_after = context.run(stop())


@then("none of the requests that it accepted was interrupted")
def step_none_interrupted(context):
    assert len(context.deployment.answers) > 30
    # A connection that is reset by the listener's close before it is accepted carried no request.
    interrupted = {
        key: error for key, error in context.interrupted.items() if key in context.accepted
    }
    assert len(context.accepted) > 30 and not interrupted, interrupted


@then("every request was answered by the server that owns its key")
def step_answered(context):
    deployment = context.deployment
    assert len(deployment.answers) >= 60
    for request_id, key, status, server in deployment.answers:
        assert status == 200, (request_id, key, status)
        assert request_id in deployment.servers[server].executed_request_ids


@then("every request ran once")
def step_once(context):
    ran = [
        item
        for server in context.deployment.servers.values()
        for item in server.executed_request_ids
    ]
    assert sorted(ran) == sorted({item[0] for item in context.deployment.answers})


@then("exactly one instance leads")
def step_one_leader(context):
    assert len(_leader(context.deployment)) == 1


@then('server "{name}" ran none of the last {count:d} requests')
def step_ran_none(context, name, count):
    last = {item[0] for item in context.deployment.answers[-count:]}
    assert not last & set(context.deployment.servers[name].executed_request_ids)


@then("the stopped instance ended by itself within {seconds:d} s")
def step_ended(context, seconds):
    assert context.stopped_after < seconds, context.stopped_after


@then("both instances answer 404 within {seconds:d} s and keep doing so")
def step_not_found(context, seconds):
    deployment = context.deployment

    async def statuses():
        return {await deployment.send(item, 1) for item in deployment.instances.values()}

    async def poll():
        async with asyncio.timeout(seconds):
            while await statuses() != {404}:
                await asyncio.sleep(0.05)
        for _ in range(20):
            assert await statuses() == {404}
            await asyncio.sleep(0.05)

    context.run(poll())


@then('instance "{name}" reports that it is not ready')
def step_not_ready(context, name):
    instance = context.deployment.instances[name]
    assert context.run(context.deployment.ready_status(instance)) == 503


@then('instance "{name}" reports that it is ready')
def step_ready(context, name):
    # The service is sharded, so the instance also needs a plan and with it a server.
    deployment = context.deployment
    instance = deployment.instances[name]

    async def poll():
        deployment.servers["s1"] = KeyServer("s1", "portal")
        await deployment.servers["s1"].start()
        async with asyncio.timeout(8):
            while await deployment.ready_status(instance) != 200:
                await asyncio.sleep(0.05)

    context.run(poll())
