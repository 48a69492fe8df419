"""Steps for answers that don't come from the addressed server or not for its request."""

import asyncio
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when

from hyssopwood.gateway.queue_keeper import QueueKeeper
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, Plan
from steps.gateway_dispatch_steps import SERVICE, _request

# A server with the limit of the tests admits another request after this time.
ADMISSION_S = 0.3


@given('server "{name}" of another service has registered {when} with the address of "{former}"')
def step_reuse(context, name, when, former):
    record = evolve(context.directory.get(former), born_ms=5, sequence=2)
    context.directory.put(record)
    context.plan.offer(
        Plan(2, {SERVICE: (KeyRange(0, KEY_COUNT - 1, former, record.born_ms, 2),)}), "test"
    )
    born_ms = record.born_ms + (1 if when == "later" else -1)
    context.directory.put(evolve(record, server=name, service="other", born_ms=born_ms))


@when('requests are sent and the answers are "{answers}"')
def step_answers(context, answers):
    context.pool.script = answers.split(",")
    context.released = []
    release = QueueKeeper.release

    def record(keeper, ticket, done):
        context.released.append(done)
        release(keeper, ticket, done)

    async def send():
        for _ in answers.split(","):
            context.answer = await context.dispatcher.handle(_request(context, "/non-idempotent/x"))
            await asyncio.sleep(ADMISSION_S)

    with patch.object(QueueKeeper, "release", record):
        context.run(send())
    assert len(context.pool.sent) == len(answers.split(",")), context.pool.sent


@then('server "{name}" isn\'t leaving, has no back-off and its limit is {limit}')
def step_state(context, name, limit):
    record = context.directory.get(name)
    assert not record.draining
    assert not context.reports.collect().leaving
    assert context.health.back_off_left_s(record.incarnation) == 0
    expected = None if limit == "none" else float(limit)
    assert context.limits.get(record.incarnation) == expected


@then('no load or back-off of server "{name}" was released')
def step_no_load(context, name):
    assert context.released
    assert all(done.load is None and done.back_off_s is None for done in context.released)


@then('no service time or lost request of server "{name}" was recorded')
def step_no_reports(context, name):
    report = context.reports.collect()
    assert (name, 1) not in report.times, report.times
    assert not context.crashes.next_report().lost


@then('a lost request of server "{name}" {was} recorded')
def step_lost(context, name, was):
    lost = [incarnation for _, incarnation in context.crashes.next_report().lost]
    times = context.reports.collect().times
    assert lost == ([(name, 5)] if was == "was" else []), lost
    samples = [done.sample_s for done in context.released if done.sample_s is not None]
    assert not (times or samples) or was == "was", (times, samples)


@then('server "{name}" is avoided')
def step_avoided(context, name):
    assert context.health.is_suspect((name, 1))
