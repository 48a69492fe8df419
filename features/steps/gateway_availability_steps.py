"""Steps for calls to an unavailable store, and for instances that wait for a leader."""

import asyncio
import random

from behave import given, then, when

from hyssopwood.errors import PeerUnavailableError
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, InstanceUpdate
from hyssopwood.gateway.store_availability import StoreAvailability, longest_interval_s
from hyssopwood.keyspace.leadership import Leadership, LeadershipDependencies
from hyssopwood.keyspace.link_codec import Heartbeat
from hyssopwood.keyspace.plan import Leader, Plan
from hyssopwood.keyspace.plan_store import StoredPlan
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.timers import SystemTimers

STEP_S = 0.05
COMPONENTS = 3
# Time in which deployments of this size must apply a configuration.
GROWN_APPLY_S = 2.5


class _Clock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class _Caller:
    """An instance whose components call the store at an interval unless calls are suppressed."""

    def __init__(self, clock, number, interval_s):
        rng = random.Random(number)
        self.clock = clock
        self.availability = StoreAvailability(clock, rng, longest_interval_s(GROWN_APPLY_S))
        self.interval_s = interval_s
        self.due = [rng.random() * interval_s for _ in range(COMPONENTS)]
        self.calls = []

    def step(self, answers):
        for component in range(COMPONENTS):
            if self.clock.time < self.due[component]:
                continue
            self.due[component] = self.clock.time + self.interval_s
            if not self.availability.may_call():
                continue
            self.calls.append(self.clock.time)
            if answers(self):
                self.availability.record_success()
            else:
                self.availability.record_failure(self.clock.time)


def _advance(context, seconds, answers):
    context.began = context.clock.time
    while context.clock.time < context.began + seconds:
        for caller in context.callers:
            caller.step(answers)
        context.clock.time += STEP_S
    context.lasted = seconds


@given("{count:d} instances whose three components call the store every {interval_s:g} s")
def step_callers(context, count, interval_s):
    context.clock = _Clock()
    context.callers = [_Caller(context.clock, number, interval_s) for number in range(count)]


@when("the store is unavailable for {seconds:d} s")
def step_unavailable(context, seconds):
    _advance(context, seconds, lambda caller: False)


@when("the store is available again")
def step_available(context):
    _advance(context, 4, lambda caller: True)


@when("the store loses every third answer for {seconds:d} s")
def step_loses(context, seconds):
    _advance(context, seconds, lambda caller: len(caller.calls) % 3 != 0)


def _rates(context):
    return [
        sum(context.began <= at for at in caller.calls) / context.lasted
        for caller in context.callers
    ]


@then("an instance made at most {most:g} calls a second in that time")
def step_at_most(context, most):
    assert max(_rates(context)) <= most, max(_rates(context))


@then("an instance made at least {least:g} calls a second in that time")
def step_at_least(context, least):
    assert min(_rates(context)) >= least, min(_rates(context))


def _first_calls(context):
    return [min(at for at in caller.calls if at >= context.began) for caller in context.callers]


@then("every instance has called it within {seconds:g} s")
def step_called_within(context, seconds):
    assert max(_first_calls(context)) - context.began <= seconds


@then("at most half of the instances make their first call within the same quarter of a second")
def step_spread(context):
    first = _first_calls(context)
    most = max(sum(at <= other < at + 0.25 for other in first) for at in first)
    assert most <= len(first) / 2, most


@given('a list of {count:d} instances in each of the domains "{domains}"')
def step_large_list(context, count, domains):
    context.records = [
        InstanceRecord(f"i{domain}{number}", f"{domain}{number}:1", domain)
        for domain in domains.split(",")
        for number in range(count)
    ]


def _candidates(records, count):
    found = []
    for record in records:
        instances = InstanceList(record)
        instances.apply(InstanceUpdate(tuple(records), complete=True))
        if instances.is_among_first("leader", count):
            found.append(record)
    return found


@then("{count:d} of each domain are candidates to lead")
def step_candidates(context, count):
    domains = [record.failure_domain for record in _candidates(context.records, count)]
    assert {domain: domains.count(domain) for domain in domains} == dict.fromkeys("abc", count)


@then("when {count:d} instances are known, all are candidates")
def step_few(context, count):
    assert len(_candidates(context.records[:count], 4)) == count


class _Store:
    def __init__(self):
        self.reads = 0

    async def load(self):
        self.reads += 1
        return StoredPlan(5, None, Leader("i2", "1", "i2:1"))


class _Link:
    """A link that fails to connect to the first leader and follows any other."""

    def __init__(self):
        self.followed = []

    async def follow(self, address, stay):
        if address == "i2:1":
            raise PeerUnavailableError("connection refused")
        self.followed.append(address)
        while stay(Heartbeat(0.0, plan_version=12)):
            await asyncio.sleep(0.05)


@given("an instance that is not a candidate and has lost its leader")
def step_without_leader(context):
    timers = SystemTimers()
    context.store, context.link = _Store(), _Link()
    context.view = PlanView(timers)
    context.view.offer(Plan(12, {}), "test")
    context.leadership = Leadership(
        LeadershipDependencies(
            store=context.store,
            identity=Leader("i1", "1", "i1:1"),
            view=context.view,
            link=context.link,
            timers=timers,
            rng=random.Random(1),
            availability=StoreAvailability(timers),
            is_candidate=lambda: False,
            lead=lambda claim: None,
            may_lead=lambda: True,
        )
    )


@when("leader {name} that claimed at {claim:d} announces itself after {seconds:g} s")
def step_announces_after(context, name, claim, seconds):
    async def announce():
        context.task = asyncio.ensure_future(context.leadership.run())
        await asyncio.sleep(0.25 + seconds)
        context.leadership.handle_announcement(Leader(name, "1", f"{name}:1"), claim)
        await asyncio.sleep(0.4)
        context.task.cancel()
        await asyncio.gather(context.task, return_exceptions=True)

    context.run(announce())


@then("the instance follows {name} within {seconds:g} s and has read the store twice")
def step_followed(context, name, seconds):
    assert context.link.followed == [f"{name}:1"], context.link.followed
    assert context.store.reads == 2, context.store.reads
