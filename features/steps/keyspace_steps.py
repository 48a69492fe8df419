"""Steps for the ownership of key ranges under faults."""

import asyncio
import itertools
import os
import random
import subprocess
import sys

from behave import given, then, when

from hyssopwood.errors import AppendConflictError, AppendUnconfirmedError
from hyssopwood.gateway.route_table import CallerLimits, RouteTable, RouteTables, ServiceSpec
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace.authority import Authority
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.key_manager import (
    LEASE_S,
    CommandAnswer,
    KeyManager,
    KeyManagerDependencies,
)
from hyssopwood.keyspace.leadership import Leadership, LeadershipDependencies
from hyssopwood.keyspace.leases import COMMAND_TIMEOUT_S, fence_of
from hyssopwood.keyspace.placement import Move
from hyssopwood.keyspace.plan import Leader, Plan, divide_evenly
from hyssopwood.keyspace.plan_store import StoredPlan
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.keyspace.plan_writer import PlanWriter
from hyssopwood.keyspace.position import era_of, position_at
from hyssopwood.metrics import Metrics
from support.key_cluster import (
    SERVICE,
    add_other_entry,
    crash_server,
    cut_leader_off,
    explore,
    explore_cut_off,
    explore_first_seconds,
    explore_restores,
    isolate_leader,
    lose_leader_and_server,
    lose_plan,
    lose_registration_beside_leader,
    lose_rival_claim,
    lose_server_after_claim,
    lose_server_without_store,
    run_two_leaders,
    start_first,
)
from support.key_guards import without_guard
from support.steady_reach import SteadyReach
from support.virtual_time import SimulatedProcess, VirtualLoop

# Some keys may change their owner at any time.
OWNED_SHARE = 0.999


@given("the key cluster schedules with seeds from {first:d} to {last:d}")
def step_seeds(context, first, last):
    context.seeds = range(first, last + 1)


@given('the key cluster runs without "{guard}"')
def step_guard(context, guard):
    disabled = without_guard(guard)
    disabled.__enter__()
    context.add_cleanup(disabled.__exit__, None, None, None)


@when("each key cluster schedule with instances that reach no server is played")
def step_play_cut_off(context):
    _record_results(context, [explore_cut_off(seed) for seed in context.seeds])


@when("the leader reaches no server for {cut_s:g} s, with seeds from {first:d} to {last:d}")
def step_cut_leader_off(context, cut_s, first, last):
    results = [cut_leader_off(seed, cut_s) for seed in range(first, last + 1)]
    context.violations = [item for violations, _ in results for item in violations]
    context.shares = [share for _, share in results]


@then("every key had an owner all the time")
def step_always_owned(context):
    assert min(context.shares) >= OWNED_SHARE, context.shares


@when("each key cluster schedule is played")
def step_play(context):
    _record_results(context, [explore(seed) for seed in context.seeds])


@when("each key cluster schedule is played with restores of the store")
def step_play_restores(context):
    _record_results(context, [explore_restores(seed) for seed in context.seeds])


@when("each key cluster schedule is played from the first start on")
def step_play_first_seconds(context):
    _record_results(context, [explore_first_seconds(seed) for seed in context.seeds])


def _record_results(context, results):
    context.violations = [item for violations, _, _ in results for item in violations]
    context.shares = [share for _, share, _ in results]
    context.grants = sum(grants for _, _, grants in results)


@when(
    "key cluster schedules are played from seed {first:d} until one breaks ownership, "
    "at most {most:d}"
)
def step_play_until(context, first, most):
    context.violations = []
    for seed in range(first, first + most):
        context.violations, _, _ = explore(seed)
        if context.violations:
            return


@when(
    "key cluster schedules with restores are played from seed {first:d} until one breaks "
    "ownership, at most {most:d}"
)
def step_play_restores_until(context, first, most):
    context.violations = []
    for seed in range(first, first + most):
        context.violations, _, _ = explore_restores(seed)
        if context.violations:
            return


@when(
    "the store loses the claim of a rival that has moved keys, "
    "with seeds from {first:d} to {last:d}"
)
def step_lose_rival(context, first, last):
    results = [lose_rival_claim(seed) for seed in range(first, last + 1)]
    context.violations = [item for violations, _, _ in results for item in violations]
    context.continued = all(continued for _, continued, _ in results)
    context.share = min(share for _, _, share in results)


@then("the previous leader continued")
def step_continued(context):
    assert context.continued


@when("a leader without the store is the only one that reaches a server")
def step_isolate_leader(context):
    context.violations = isolate_leader(1)


@when("a server drains while an earlier leader without the store still renews it")
def step_two_leaders(context):
    context.violations = run_two_leaders(1)


@when("the leader is lost together with all connections to a server")
def step_lose_leader(context):
    context.violations, context.share = lose_leader_and_server(1)


@when(
    "the entry of a running server is lost with the leader and returns, "
    "with seeds from {first:d} to {last:d}"
)
def step_lose_registration(context, first, last):
    results = [lose_registration_beside_leader(seed) for seed in range(first, last + 1)]
    context.violations = [item for violations, _ in results for item in violations]
    context.recovery_s = max(elapsed_s for _, elapsed_s in results)


@when("a server is lost soon after its leader, with seeds from {first:d} to {last:d}")
def step_lose_server_after_claim(context, first, last):
    results = [lose_server_after_claim(seed) for seed in range(first, last + 1)]
    context.violations = [item for violations, _ in results for item in violations]
    context.recovery_s = max(elapsed_s for _, elapsed_s in results)


@when(
    "a server crashes and {successor} follows at its address, {store}, "
    "with seeds from {first:d} to {last:d}"
)
def step_crash_server(context, successor, store, first, last):
    outage_s = {"with the store": 0.0, "without the store for 8 s": 8.0}[store]
    results = [crash_server(seed, successor, outage_s) for seed in range(first, last + 1)]
    context.violations = [item for violations, _ in results for item in violations]
    context.recovery_s = max(elapsed_s for _, elapsed_s in results)


@when(
    "an entry of {server} has the address of {address_of}, which no server wrote, and s1 drains, "
    "with seeds from {first:d} to {last:d}"
)
def step_other_entry(context, server, address_of, first, last):
    results = [add_other_entry(seed, server, address_of) for seed in range(first, last + 1)]
    context.violations = [item for violations, _ in results for item in violations]
    context.recovery_s = max(elapsed_s for _, elapsed_s in results)


@when(
    "the store is restored to before its first plan and {last} of the instances stays alone, cut "
    "off, with seeds from {first:d} to {last_seed:d}"
)
def step_lose_plan(context, last, first, last_seed):
    results = [
        lose_plan(seed, last.removeprefix("one ").removesuffix(" on"))
        for seed in range(first, last_seed + 1)
    ]
    context.violations = [item for violations, _ in results for item in violations]
    context.recovery_s = max(elapsed_s for _, elapsed_s in results)


@when(
    "the system starts for the first time, and all instances are killed after {killed_s:g} s, "
    "with seeds from {first:d} to {last:d}"
)
def step_start_first(context, killed_s, first, last):
    results = [start_first(seed, killed_s) for seed in range(first, last + 1)]
    context.violations = [item for violations, _ in results for item in violations]
    context.recovery_s = max(elapsed_s for _, elapsed_s in results)


@then("its keys have an owner again within {seconds:g} s")
@then("all keys have an owner within {seconds:g} s")
def step_recovered(context, seconds):
    assert context.recovery_s <= seconds, context.recovery_s


@then("every key has an owner in the end")
def step_all_owned(context):
    assert context.share > 0.999, context.share


@when("one of four servers is lost while the store is unavailable for {outage_s:d} s")
def step_lose_server(context, outage_s):
    context.least = lose_server_without_store(1, outage_s)


@then("the other servers' keys stay owned")
def step_stay_owned(context):
    assert context.least >= 0.74, context.least


@then("no key had two owners and no token decreased")
def step_sole(context):
    assert not context.violations, context.violations[:3]


@then("one of them broke ownership")
def step_broken(context):
    assert context.violations


@then("every key has an owner at the end of each schedule")
def step_owned(context):
    assert context.grants > 100 * len(context.shares), context.grants
    assert min(context.shares) > 0.999, min(context.shares)


SCHEDULE_SCRIPT = """
import sys
from loguru import logger
from support.key_cluster import explore
logger.remove()
violations, share, grants = explore(int(sys.argv[1]))
print(len(violations), share, grants)
"""


@when('the schedule of seed {seed:d} is played in processes with hash seeds "{hash_seeds}"')
def step_play_in_processes(context, seed, hash_seeds):
    context.seen = []
    for hash_seed in hash_seeds.split(","):
        environment = {
            **os.environ,
            "PYTHONHASHSEED": hash_seed,
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        played = subprocess.run(
            [sys.executable, "-c", SCHEDULE_SCRIPT, str(seed)],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        context.seen.append(played.stdout)


@then("all of them give the same result")
def step_alike(context):
    assert context.seen[0].strip() and len(set(context.seen)) == 1, context.seen


class _SlowStore:
    """A store with a fixed duration of each write."""

    def __init__(self, write_s):
        self.write_s = write_s
        self.writes = 0

    async def write(self, end, plan, leader):
        await asyncio.sleep(self.write_s)
        self.writes += plan is not None
        return end + 2


class _RestoredStore:
    """A store that is restored once, to a copy with an older claim of the leader."""

    def __init__(self):
        self.era = 0
        self.end = 10
        self.writes = 0
        self.leader = None
        self.plan = None

    def restore(self):
        self.era, self.end, self.plan = 1, 5, None

    async def load(self):
        return StoredPlan(position_at(self.era, self.end), None, self.leader)

    async def write(self, at, plan, leader):
        await asyncio.sleep(0.004)
        if at != position_at(self.era, self.end):
            raise AppendConflictError(position_at(self.era, self.end))
        self.writes += plan is not None
        self.plan = plan or self.plan
        self.end += 1 if plan is None else 2
        self.leader = leader
        return position_at(self.era, self.end)


class _FakeCommands:
    """Servers that answer at once, except for one; records every grant."""

    def __init__(self, silent, timers):
        self.silent = silent
        self.timers = timers
        self.grants = []

    async def grant(self, server, keys, lease_s, handover, channel):
        self.grants.append((self.timers.now(), server.server, keys))
        if server.server == self.silent:
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return CommandAnswer(done=False)
        return CommandAnswer(done=True)

    async def release(self, server, keys, limit_s, before_sending):
        before_sending()
        return CommandAnswer(done=True, handover="h")


def _manager(store, timers, published):
    directory = ServerDirectory()
    for number in range(62):
        directory.put(_server_record(f"s{number}"))
    authority = Authority()
    writer = PlanWriter(store, Leader("i1", "1", "i1:1"), authority, timers, 10)
    dependencies = KeyManagerDependencies(
        writer=writer,
        authority=authority,
        commands=_FakeCommands("s61", timers),
        tables=RouteTables(),
        directory=directory,
        load=KeyLoad(timers),
        limits=ServerLimits(timers, Metrics()),
        reach=SteadyReach(),
        timers=timers,
        metrics=Metrics(),
        publish=lambda plan, change: published.append((timers.now(), plan, store.writes)),
        pause=lambda pause: None,
        max_lease_s=10.0,
    )
    return KeyManager(dependencies), writer


def _server_record(name, service=SERVICE):
    return ServerRecord(
        server=name,
        service=service,
        address=f"{name}:1",
        failure_domain="d",
        slots=2,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


@when("a leader's store is restored {seconds:g} s after it last confirmed the leader, in a move")
def step_restored_in_move(context, seconds):
    loop = VirtualLoop()
    store = _RestoredStore()

    async def move():
        timers = SimulatedProcess("i1", random.Random(1))
        manager, writer = _manager(store, timers, [])
        # Servers without keys would be given some by the next round of balancing.
        manager._balanced_at = float("inf")
        incarnations = (("s1", 1), ("s2", 1))
        manager.inherit(
            await writer.claim(Plan(8, {SERVICE: divide_evenly(incarnations, 8)})), True
        )
        running = asyncio.ensure_future(manager.run())
        await timers.sleep(seconds)
        store.restore()
        context.restored_at = timers.now()
        part = divide_evenly(incarnations, 8)[0]
        manager._start_move(SERVICE, Move(part.first, part.last, ("s60", 1)))
        for _ in range(25):
            await timers.sleep(0.7)
            await writer.confirm()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        context.has_unrecorded_leases = writer.has_unrecorded_leases
        return manager._deps.commands.grants

    try:
        context.grants = loop.run_until_complete(move())
    finally:
        loop.close()
    assert store.era == 1 and store.writes > 1


# Time after a claim at which the keys of a new service are divided without a further wait.
SETTLED_S = 2.0
NEW_SERVICE = "desk"
NEW_SERVER = "new"
NEW_TABLE = RouteTable(
    version=2,
    routes=(),
    services={
        NEW_SERVICE: ServiceSpec(
            name=NEW_SERVICE, health_path="/health", max_connections=10, sharded=True, warm_s=1.0
        )
    },
    limits=CallerLimits(header_bytes=1, body_bytes=1, header_timeout_s=1, idle_timeout_s=1),
)


@when(
    "a leader's store is restored {seconds:g} s after it last confirmed the leader, and a version "
    "names a new service {named_s:g} s later"
)
def step_restored_with_new_service(context, seconds, named_s):
    loop = VirtualLoop()
    store = _RestoredStore()

    async def add_service():
        timers = SimulatedProcess("i1", random.Random(1))
        manager, writer = _manager(store, timers, [])
        manager._deps.directory.put(_server_record(NEW_SERVER, NEW_SERVICE))
        manager._balanced_at = float("inf")
        keys = divide_evenly((("s1", 1),), 8)
        manager.inherit(await writer.claim(Plan(8, {SERVICE: keys})), True)
        running = asyncio.ensure_future(manager.run())
        await timers.sleep(SETTLED_S)
        await writer.confirm()
        await timers.sleep(seconds)
        store.restore()
        context.restored_at = timers.now()
        confirming = asyncio.ensure_future(_confirm_often(writer, timers))
        await timers.sleep(named_s)
        manager._deps.tables.offer(NEW_TABLE)
        await timers.sleep(16.0)
        for task in (running, confirming):
            task.cancel()
        await asyncio.gather(running, confirming, return_exceptions=True)
        return manager._deps.commands.grants

    try:
        context.grants = loop.run_until_complete(add_service())
    finally:
        loop.close()


@when("a leader claims on a store that had lost writes {lost_s:g} s before")
def step_claim_after_loss(context, lost_s):
    loop = VirtualLoop()

    async def claim():
        timers = SimulatedProcess("i1", random.Random(1))
        manager, writer = _manager(_RestoredStore(), timers, [])
        manager._deps.directory.put(_server_record(NEW_SERVER, NEW_SERVICE))
        manager._deps.tables.offer(NEW_TABLE)
        manager._balanced_at = float("inf")
        keys = divide_evenly((("s1", 1),), 8)
        plan = await writer.claim(Plan(8, {SERVICE: keys}), doubtful=True)
        context.restored_at = timers.now()
        manager.inherit(plan, False, timers.now() - lost_s)
        tasks = [asyncio.ensure_future(manager.run())]
        tasks.append(asyncio.ensure_future(_confirm_often(writer, timers)))
        await timers.sleep(16.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return manager._deps.commands.grants

    try:
        context.grants = loop.run_until_complete(claim())
    finally:
        loop.close()


@then("nothing is granted before {seconds:g} s")
def step_no_grants_before(context, seconds):
    assert min(at for at, _, _ in context.grants) - context.restored_at >= seconds, context.grants


async def _confirm_often(writer, timers):
    while True:
        await timers.sleep(0.5)
        await writer.confirm()


@then("the server of the new service is granted its keys after {least_s:g} to {most_s:g} s")
def step_new_service_granted(context, least_s, most_s):
    at, _ = _grants_since_restore(context, NEW_SERVER)[0]
    assert least_s <= at <= most_s, at


def _grants_since_restore(context, server):
    return [
        (at - context.restored_at, keys)
        for at, name, keys in context.grants
        if name == server and at >= context.restored_at
    ]


@when("a leader's store is restored and the leader confirms its authority")
def step_restored_and_confirmed(context):
    loop = VirtualLoop()
    store = _RestoredStore()

    async def confirm():
        timers = SimulatedProcess("i1", random.Random(1))
        writer = PlanWriter(store, Leader("i1", "1", "i1:1"), Authority(), timers, 10)
        claimed = await writer.claim(Plan(8, {SERVICE: divide_evenly((("s1", 1),), 8)}))
        await timers.sleep(0.5)
        store.restore()
        await writer.confirm()
        return claimed

    try:
        context.claimed = loop.run_until_complete(confirm())
    finally:
        loop.close()
    context.stored = store.plan


@then("the store holds the plan again with the same owners and tokens")
def step_plan_again(context):
    assert era_of(context.stored.version) == 1
    assert context.stored.services == context.claimed.services


class _LosingStore(_RestoredStore):
    """A store that carries out the second write and loses its answer."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.on_loss = lambda: None

    async def write(self, at, plan, leader):
        self.calls += 1
        end = await super().write(at, plan, leader)
        if self.calls == 2:
            self.on_loss()
            raise AppendUnconfirmedError("lost")
        return end


@when("the answer to a write is lost and the leader's record changes before it writes again")
def step_lost_and_changed(context):
    loop = VirtualLoop()
    store = _LosingStore()

    async def confirm():
        timers = SimulatedProcess("i1", random.Random(1))
        authority = Authority()
        writer = PlanWriter(store, Leader("i1", "1", "i1:1"), authority, timers, 10)
        plan = Plan(8, {SERVICE: divide_evenly((("s1", 1),), 8)})
        await writer.claim(plan, doubtful=True)
        store.on_loss = writer.clear_unrecorded_leases
        await writer.confirm()
        await writer.confirm()
        return authority.is_valid(timers.now())

    try:
        context.still_leads = loop.run_until_complete(confirm())
    finally:
        loop.close()


@then("the leader continues")
def step_still_leads(context):
    assert context.still_leads


@given("a store that was restored to a record of this instance's earlier claim")
def step_own_earlier_claim(context):
    timers = SimulatedProcess("i1", random.Random(1))
    leader = Leader("i1", "0", "i1:1", claim=10)
    context.restored = StoredPlan(position_at(1, 12), None, leader)
    context.claimant = Leadership(
        LeadershipDependencies(
            store=_RestoredStore(),
            identity=Leader("i1", "1", "i1:1"),
            view=PlanView(timers),
            link=None,
            timers=timers,
            rng=random.Random(1),
            availability=StoreAvailability(timers),
            lead=lambda claim: None,
            may_lead=lambda: True,
        )
    )
    context.claimant_timers = timers


@then("the instance claims only after {seconds:g} s without a write")
def step_claims_after(context, seconds):
    loop = VirtualLoop()

    async def wait():
        context.claimant._last_write_seen_at = context.claimant_timers.now()
        early = context.claimant._may_claim(context.restored)
        await context.claimant_timers.sleep(seconds)
        return early, context.claimant._may_claim(context.restored)

    try:
        assert loop.run_until_complete(wait()) == (False, True)
    finally:
        loop.close()


@then("the other server is renewed throughout under its earlier token")
def step_renewed(context):
    renewed = _grants_since_restore(context, "s2")
    times = [0.0, *(at for at, _ in renewed)]
    assert max(after - at for at, after in itertools.pairwise(times)) < LEASE_S / 2, times
    assert {era_of(fence_of(keys.fence)) for _, keys in renewed} == {0}


@then("the next owner is granted its keys after {least_s:g} to {most_s:g} s, by a token of the era")
def step_granted_after(context, least_s, most_s):
    at, keys = _grants_since_restore(context, "s60")[0]
    assert least_s <= at <= most_s, at
    assert era_of(fence_of(keys.fence)) == 1
    assert not context.has_unrecorded_leases


@given("a leader whose store takes {seconds:g} s for a write")
def step_slow_store(context, seconds):
    context.slow_store = _SlowStore(seconds)


@when("{count:d} ranges are moved at once, one of them to a server that doesn't answer")
def step_move_at_once(context, count):
    loop = VirtualLoop()
    published = []

    async def move():
        timers = SimulatedProcess("i1", random.Random(1))
        manager, writer = _manager(context.slow_store, timers, published)
        incarnations = tuple((f"s{number}", 1) for number in range(count))
        manager.inherit(
            await writer.claim(Plan(8, {SERVICE: divide_evenly(incarnations, 8)})), True
        )
        running = asyncio.ensure_future(manager.run())
        await timers.sleep(1.0)
        writes, began = context.slow_store.writes, timers.now()
        parts = divide_evenly(incarnations, 8)
        for number, part in enumerate(parts):
            target = "s61" if number == 0 else "s60"
            manager._start_move(SERVICE, Move(part.first, part.last, (target, 1)))
        await timers.sleep(3.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        at, needed = max(_first_moved(published, part) for part in parts)
        return at - began, needed - writes

    try:
        context.published_after, context.move_writes = loop.run_until_complete(move())
    finally:
        loop.close()


def _first_moved(published, part):
    """Return when a range's new owner was first published, and the writes until then."""
    return min(
        (at, writes)
        for at, plan, writes in published
        if plan.owner(SERVICE, part.first).server != part.server
    )


@then("the next owners of all are published within {seconds:g} s")
def step_published_within(context, seconds):
    assert context.published_after <= seconds, context.published_after


@then("at most {count:d} writes were needed")
def step_writes(context, count):
    assert 0 < context.move_writes <= count, context.move_writes
