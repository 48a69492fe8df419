"""Steps for idempotency records and suspects at the coordinators."""

import asyncio

from behave import given, then, when

from support.key_cell import KeyCell

DIGESTS = {"poison": 7, "innocent": 8}


@given("a key cell whose server s1 is coordinated by c1")
def step_cell(context):
    context.cell = KeyCell(context.timers)
    context.run(context.cell.settle())


@given("the standby of s1 doesn't answer")
def step_silent_standby(context):
    context.cell.lost.add(context.cell.standby("s1"))
    context.cell.replications["c1"].taken_over("s1", 1)


@when('c1 issues a permit for idempotency key "{key}" and its request ends as "{end}"')
def step_issue(context, key, end):
    request, answer = context.run(context.cell.ask(key))
    assert answer == "permit", answer
    context.run(context.cell.finish(request, end))
    context.run(context.timers.settle())


@when("in the key cell nothing else happens")
def step_nothing(context):
    pass


@when("in the key cell c1 is lost and its standby takes s1 over")
def step_standby(context):
    standby = context.cell.standby("s1")
    context.cell.lose("c1")
    context.cell.take_over("s1", standby)


@when("in the key cell c1 is lost and another instance takes s1 over")
def step_other(context):
    other = context.cell.other_than("c1", context.cell.standby("s1"))
    context.cell.lose("c1")
    context.cell.take_over("s1", other)


@when("in the key cell c1 hands s1 over to another instance")
def step_hand_over(context):
    other = context.cell.other_than("c1", context.cell.standby("s1"))
    context.run(context.cell.hand_over("s1", other))


@when("in the key cell the key moves to s2")
def step_move(context):
    context.run(context.cell.move("s2"))


@when("in the key cell the key moves to s2 whose coordinator is then lost")
def step_move_and_lose(context):
    context.run(context.cell.move("s2"))
    standby = context.cell.standby("s2")
    context.cell.lose("c2")
    context.cell.take_over("s2", standby)


@when("in the key cell c1 is lost, another takes over and the key moves")
def step_lose_and_move(context):
    step_other(context)
    context.run(context.cell.settle())
    context.run(context.cell.move("s2"))


@then('a repeat of "{key}" at the present coordinator of its key gets "{expected}"')
@then('a first request with "{key}" at the present coordinator of its key gets "{expected}"')
def step_answer(context, key, expected):
    _, answer = context.run(_ask(context, key))
    assert answer == expected, answer


async def _ask(context, key):
    """Ask while the time passes, as an unreachable standby is waited for."""
    asked = asyncio.ensure_future(context.cell.ask(key))
    await context.timers.advance(1.0)
    return await asked


@then('after the idempotency window a first request with "{key}" gets "{expected}"')
def step_after_window(context, key, expected):
    context.timers.jump(context.cell.timing.idempotency_window_ms / 1000 + 1)
    step_answer(context, key, expected)


@when('s1 crashes while "{one}" and "{other}" run')
def step_crash_both(context, one, other):
    context.cell.crash("s1", (DIGESTS[one], DIGESTS[other]))


@when('s1 crashes while "{one}" runs')
def step_crash_one(context, one):
    context.cell.crash("s1", (DIGESTS[one],))


@then('permits of "{one}" and "{other}" at once are "{first}" and "{second}"')
def step_at_once(context, one, other, first, second):
    answers = [context.run(context.cell.ask("", DIGESTS[name]))[1] for name in (one, other)]
    assert answers == [first, second], answers
