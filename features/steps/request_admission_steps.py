"""Steps for the queue and slots of one server."""

import asyncio
import random

from behave import given, then, when

from hyssopwood.admission import Admission, AdmissionRequest, AdmittedSlot, Refused
from hyssopwood.durations import Durations
from hyssopwood.outcomes import Reason

SAMPLES = 20
STEP_S = 0.005


@given("a server with {slots:d} slots and a queue of {limit:d}")
def step_admission(context, slots, limit):
    context.durations = Durations(context.timers)
    context.admission = Admission(
        "s1", slots, context.timers, context.durations, limit, rng=random.Random(1)
    )
    context.arrivals = []


@given('work takes {quick:d} ms when it is "quick" and {slow:d} ms when it is "slow"')
def step_durations(context, quick, slow):
    context.work_s = {"quick": quick / 1000, "slow": slow / 1000}
    for operation, seconds in context.work_s.items():
        for _ in range(SAMPLES):
            context.durations.record("portal", operation, seconds)


def _arrive(context, operation, left_ms, customer="x", weight=1.0):
    request_id = f"r{len(context.arrivals)}"
    deadline = context.timers.now() + left_ms / 1000
    request = AdmissionRequest(request_id, "portal", customer, operation, None, deadline, weight)
    task = context.loop.create_task(context.admission.acquire(request))
    context.arrivals.append(task)
    context.run(context.timers.settle())
    return task


def _slots(context):
    done = [task.result() for task in context.arrivals if task.done() and not task.cancelled()]
    return [result for result in done if isinstance(result, AdmittedSlot)]


def _return_oldest(context, duration_s=None):
    """Return the slot that was given first and not returned yet."""
    running = [slot for slot in _slots(context) if slot in context.admission._running]
    slot = min(running, key=lambda slot: slot.started)
    duration_s = duration_s or context.work_s[slot.request.operation]
    context.admission.release(slot, duration_s, completed=True)
    return slot


@given('{count:d} "{operation:w}" requests are admitted')
@when('{count:d} "{operation:w}" requests arrive with {left:d} ms left')
def step_arrive(context, count, operation, left=60_000):
    for _ in range(count):
        _arrive(context, operation, left)


@given('{count:d} "{operation:w}" request waits with {left:d} ms left')
def step_waits(context, count, operation, left):
    context.waiting = _arrive(context, operation, left)
    assert not context.waiting.done(), context.waiting


@given("nothing runs")
def step_nothing(context):
    assert context.admission.running == 0


@given("a report of shedding for {ms:d} ms")
@when("the server reports shedding for {ms:d} ms")
def step_shedding(context, ms):
    context.admission.set_shedding(context.timers.now() + ms / 1000)


@given("the queue was closed")
def step_closed(context):
    context.admission.close(Reason.NO_AUTHORITY)


@given("a warm-up of {ms:d} ms")
def step_cold(context, ms):
    context.admission.set_cold(ms / 1000)


@when("a slot is returned twice")
def step_return_twice(context):
    slot = _return_oldest(context)
    context.admission.release(slot, 0.02, completed=True)
    context.run(context.timers.settle())


@when("a slot is returned")
def step_return(context):
    _return_oldest(context)
    context.run(context.timers.settle())


@when("the server reports {running:d} running")
def step_report(context, running):
    context.admission.hint_load(running, 0)


@when("{ms:d} ms pass")
def step_pass(context, ms):
    context.run(context.timers.advance(ms / 1000))


@when('requests wait as "{waiting}"')
def step_wait_as(context, waiting):
    context.named = {}
    for item in waiting.split():
        name, _, fields = item.partition("=")
        customer, operation, left, weight = fields.split(":")
        task = _arrive(context, operation, int(left), customer, float(weight))
        assert not task.done(), task.result()
        context.named[name] = task


@then('they start in the order "{order}"')
def step_order(context, order):
    started = []
    while len(started) < len(context.named):
        running = [slot for slot in _slots(context) if slot in context.admission._running]
        # Long work keeps its slot while short work waits.
        short = [slot for slot in running if slot.request.operation == "quick"]
        context.admission.release((short or running)[0], 0.02, completed=False)
        context.run(context.timers.settle())
        new = [name for name, task in context.named.items() if task.done()]
        started.extend(name for name in new if name not in started)
    assert started == order.split(), started


@when('{count:d} "quick" requests arrive one by one as slots are returned')
def step_stream(context, count):
    for _ in range(count):
        _arrive(context, "quick", 5_000)
        _return_oldest(context)
        context.run(context.timers.settle())


@when('{count:d} "quick" requests pass while long work keeps its slot')
def step_pass_beside(context, count):
    for _ in range(count):
        # One more waits than is returned, so that short work always waits.
        _arrive(context, "quick", 5_000)
        running = [slot for slot in _slots(context) if slot in context.admission._running]
        quick = [slot for slot in running if slot.request.operation == "quick"]
        context.admission.release(quick[0], context.work_s["quick"], completed=True)
        context.run(context.timers.settle())


@then("the long request still waits")
def step_long_waits(context):
    assert not context.waiting.done()


@then("the long request has started")
def step_long_started(context):
    assert isinstance(context.waiting.result(), AdmittedSlot)


@when("the waiting request is withdrawn by its id")
def step_withdraw(context):
    assert context.admission.cancel("r2")
    context.run(context.timers.settle())


@when("the waiting request is cancelled in the queue")
def step_cancel(context):
    context.waiting.cancel()
    context.run(context.timers.settle())


@when("the waiting request is cancelled just as it gets its slot")
def step_cancel_late(context):
    _return_oldest(context)
    context.waiting.cancel()
    context.run(context.timers.settle())


@then("{running:d} run and {queued:d} wait")
def step_counts(context, running, queued):
    counts = (context.admission.running, context.admission.queued)
    assert counts == (running, queued), counts


@then("the last request is refused as {reason} with a retry time")
def step_refused(context, reason):
    result = context.arrivals[-1].result()
    assert isinstance(result, Refused), result
    assert result.reason.value == reason, result
    assert result.retry_after_s > 0 or left_nothing(reason), result


def left_nothing(reason):
    return reason == Reason.DEADLINE_EXCEEDED.value


@when("3 times the capacity arrives for 2 s with 200 ms left")
def step_peak(context):
    context.done = []
    context.refused_after = []
    context.run(_peak(context))


async def _peak(context):
    interval_s = context.work_s["quick"] / 2 / 3
    tasks = []
    for number in range(int(2 / interval_s)):
        tasks.append(asyncio.ensure_future(_one(context, f"p{number}")))
        await context.timers.advance(interval_s)
    await context.timers.advance(1.0)
    await asyncio.gather(*tasks)


async def _one(context, request_id):
    timers, arrived = context.timers, context.timers.now()
    request = AdmissionRequest(request_id, "portal", "x", "quick", None, arrived + 0.2)
    result = await context.admission.acquire(request)
    if isinstance(result, Refused):
        context.refused_after.append(timers.now() - arrived)
        return
    await timers.sleep(context.work_s["quick"])
    context.admission.release(result, context.work_s["quick"], completed=True)
    context.done.append(timers.now() - arrived)


@then("at least 90% of the capacity is done in time")
def step_goodput(context):
    capacity = 2 / context.work_s["quick"] * 2
    in_time = sum(1 for seconds in context.done if seconds <= 0.2 + STEP_S)
    assert in_time >= 0.9 * capacity, f"{in_time} of {capacity}"


@then("every refusal came within {ms:d} ms")
def step_refusal_times(context, ms):
    assert context.refused_after
    assert max(context.refused_after) <= ms / 1000, max(context.refused_after)
