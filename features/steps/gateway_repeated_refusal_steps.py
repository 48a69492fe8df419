"""Steps for servers that write a refusal more than once."""

import asyncio

from attrs import evolve
from behave import given, then, when

from hyssopwood.gateway.dispatcher import Dispatcher
from hyssopwood.gateway.exchange import ServerRequest
from hyssopwood.gateway.server_connection import connect
from hyssopwood.gateway.server_pool import ServerPool
from steps.gateway_dispatch_steps import _request, step_dispatcher
from support.repeating_server import RepeatingServer

# Pause after an answer, in which bytes that follow it arrive.
SETTLE_S = 0.05


@given('servers "{servers}" of a {kind} service that repeat "{refusal}" {copy} id {moment}')
def step_servers(context, servers, kind, refusal, copy, moment):
    step_dispatcher(context, servers, kind)
    context.servers = {}
    for name in servers.split(","):
        server = RepeatingServer(refusal, copy == "with its", moment)
        context.add_cleanup(context.run(server.start()).close)
        context.servers[name] = server
        record = context.directory.get(name)
        context.directory.put(evolve(record, address=server.address, sequence=2))
    context.real_pool = ServerPool(context.system_timers, b"request-id")
    context.dispatcher = Dispatcher(evolve(context.dispatcher._deps, pool=context.real_pool))


@when('request "{request_id}" is sent to route "{route}"')
def step_send(context, request_id, route):
    request = _request(context, f"/{route}/x", headers=((b"request-id", request_id.encode()),))

    async def send():
        answer = await context.dispatcher.handle(request)
        await asyncio.sleep(SETTLE_S)
        return answer

    context.answer = context.run(send())


@when("{count:d} different requests have failed on one connection to it")
def step_failed(context, count):
    async def send():
        context.connection = await connect(context.address)
        for number in range(count):
            assert context.connection.usable, number
            request = ServerRequest(
                method=b"GET", target=b"/x", headers=(), body=b"", request_id=b"r%d" % number
            )
            await context.connection.exchange(context.address, request, None)

    context.run(send())


@then("the caller gets status {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then('request "{request_id}" ran once')
def step_ran_once(context, request_id):
    ran = [item for server in context.servers.values() for item in server.ran]
    assert ran.count(request_id) == 1, ran


@then('server "{name}" got {count:d} connections')
def step_connections(context, name, count):
    assert context.servers[name].connections == count, context.servers[name].connections


@when('a command without an id is sent to server "{name}"')
def step_command(context, name):
    command = ServerRequest(method=b"POST", target=b"/command", headers=(), body=b"")
    record = context.directory.get(name)
    context.command_answer = context.run(context.real_pool.exchange(record, command))


@then("the command is answered with status {status:d}")
def step_command_status(context, status):
    assert context.command_answer.status == status, context.command_answer
