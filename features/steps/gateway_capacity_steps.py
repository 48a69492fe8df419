"""Steps for shared work that is assigned to instances by their capacity."""

import asyncio
import random

from behave import given, then, when

from hyssopwood.errors import AppendConflictError
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, InstanceUpdate
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace.leadership import Leadership, LeadershipDependencies
from hyssopwood.keyspace.plan import Leader
from hyssopwood.keyspace.plan_store import StoredPlan
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.timers import SystemTimers


@given('instances of one domain with capacities "{capacities}"')
def step_capacities(context, capacities):
    context.records = [
        InstanceRecord(f"i{number}", f"i{number}:1", "a", int(capacity))
        for number, capacity in enumerate(capacities.split(","))
    ]
    context.instances = InstanceList(context.records[0])
    context.instances.apply(InstanceUpdate(tuple(context.records), complete=True))


@when("{count:d} queues are assigned to keepers")
def step_queues(context, count):
    names = [f"q{number}" for number in range(count)]
    context.kept = {name: context.instances.ranked(name, "a")[0] for name in names}


@then("each keeps its share by capacity within a tenth")
def step_shares(context):
    total = sum(record.capacity for record in context.records)
    for record in context.records:
        kept = sum(keeper == record for keeper in context.kept.values())
        expected = len(context.kept) * record.capacity / total
        assert abs(kept - expected) <= 0.1 * expected, (record, kept, expected)


@when("the instance with capacity {capacity:d} leaves")
def step_leaves(context, capacity):
    (context.left,) = (item for item in context.records if item.capacity == capacity)
    context.instances.apply(InstanceUpdate((), (context.left.instance,)))


@then("only its queues have another keeper than before")
def step_only_its(context):
    for name, keeper in context.kept.items():
        now = context.instances.ranked(name, "a")[0]
        assert (now != keeper) == (keeper == context.left), (name, keeper, now)


class _Store:
    """A store with an unclaimed plan, in which the first write succeeds."""

    def __init__(self):
        self.end = 0
        self.leader = None
        self.claimed_at = None

    async def load(self):
        await asyncio.sleep(0.001)
        return StoredPlan(self.end, None, self.leader)

    async def write(self, at, plan, leader):
        await asyncio.sleep(0.001)
        if at != self.end:
            raise AppendConflictError(self.end)
        self.end += 1
        self.leader = leader
        self.claimed_at = self.claimed_at or asyncio.get_running_loop().time()
        return self.end


class _NoLink:
    async def follow(self, address, stay):
        await asyncio.Event().wait()


@given('instances with capacities "{capacities}" that find no leader at the same time')
def step_race(context, capacities):
    async def race():
        timers = SystemTimers()
        store = _Store()
        began = asyncio.get_running_loop().time()

        async def lead(claim):
            await asyncio.Event().wait()

        runs = [
            asyncio.ensure_future(
                Leadership(
                    LeadershipDependencies(
                        store=store,
                        identity=Leader(capacity, "1", f"{capacity}:1"),
                        view=PlanView(timers),
                        link=_NoLink(),
                        timers=timers,
                        rng=random.Random(1),
                        availability=StoreAvailability(timers),
                        capacity=int(capacity),
                        first_start=True,
                        lead=lead,
                        may_lead=lambda: True,
                    )
                ).run()
            )
            for capacity in capacities.split(",")
        ]
        async with asyncio.timeout(2.0):
            while store.leader is None:
                await asyncio.sleep(0.005)
        for run in runs:
            run.cancel()
        await asyncio.gather(*runs, return_exceptions=True)
        return store.leader.instance, store.claimed_at - began

    context.claimer, context.claimed_after = context.run(race())


@then("the instance with capacity {capacity:d} claims within {limit:g} s")
def step_claimer(context, capacity, limit):
    assert context.claimer == str(capacity), context.claimer
    assert context.claimed_after <= limit, context.claimed_after
