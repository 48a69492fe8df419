"""Steps for the connections over which the store is called."""

import asyncio

from behave import given, then, when

from hyssopwood.errors import AppendUnconfirmedError, LogUnavailableError
from hyssopwood.metrics import Metrics
from hyssopwood.platform.store_client import KeyedRecord, StoreClient
from support.closing_store import ClosingStore

# Time for bytes to arrive at the other end of a loopback connection.
SETTLE_S = 0.1


def _start(context, store):
    context.closing_store = store
    context.add_cleanup(context.run(store.start()).close)
    context.client = StoreClient(store.address, Metrics())
    context.add_cleanup(lambda: context.run(context.client.close()))


@given("a store that answers every call")
def step_answers(context):
    _start(context, ClosingStore())


@given("a store that closes a connection at its call {number:d}")
def step_closes(context, number):
    _start(context, ClosingStore(closes_at=number))


@given("a store that closes every connection at its first call")
def step_closes_all(context):
    _start(context, ClosingStore(always=True))


@given("a store that answers no call before it is told to")
def step_waits(context):
    context.told = asyncio.Event()
    _start(context, ClosingStore(waits=context.told))


async def _list(context):
    try:
        await context.client.newest("x")
    except LogUnavailableError:
        return 0
    return 1


async def _list_in_turn(context, count, pause_s=0.0):
    answered = 0
    for number in range(count):
        await asyncio.sleep(pause_s if number else 0.0)
        answered += await _list(context)
    return answered


@when("it is listed {count:d} times")
def step_list(context, count):
    context.answered = context.run(_list_in_turn(context, count))


@when("it is listed {count:d} times, {pause_s:g} s apart")
def step_list_apart(context, count, pause_s):
    context.answered = context.run(_list_in_turn(context, count, pause_s))


async def _list_at_once(context, count, then):
    calls = [asyncio.ensure_future(_list(context)) for _ in range(count)]
    await asyncio.sleep(SETTLE_S)
    await then()
    answered = sum(await asyncio.gather(*calls))
    await asyncio.sleep(SETTLE_S)
    return answered


@when("it is listed {count:d} times at once and then told to answer")
def step_list_at_once(context, count):
    async def tell():
        context.told.set()

    context.answered = context.run(_list_at_once(context, count, tell))


@when("it is listed {count:d} times at once and the client is closed")
def step_list_and_close(context, count):
    context.answered = context.run(_list_at_once(context, count, context.client.close))


@when("records are appended to it")
def step_append(context):
    async def append():
        try:
            await context.client.append("x", (KeyedRecord("a", b"b"),), 0)
        except AppendUnconfirmedError:
            return True
        return False

    context.unconfirmed = context.run(append())


@then("{calls:d} calls have come over {connections:d} connection, and {answered:d} were answered")
@then("{calls:d} calls have come over {connections:d} connections, and {answered:d} were answered")
def step_counts(context, calls, connections, answered):
    store = context.closing_store
    counts = (store.calls, store.connections, context.answered)
    assert counts == (calls, connections, answered), counts


@then("1 call has come over 1 connection, and the append is unconfirmed")
def step_unconfirmed(context):
    store = context.closing_store
    assert (store.calls, store.connections) == (1, 1), (store.calls, store.connections)
    assert context.unconfirmed
