"""Steps for sole ownership of partitions."""

import asyncio
import random

from behave import given, then, when

from hyssopwood.records import TicketRecord
from hyssopwood.state import partition_of
from hyssopwood.structure import unstructure
from support.fake_log import LOG
from support.ownership_cluster import KEYS, SERVICE, Cluster
from support.ownership_faults import end_loop, run_schedule
from support.virtual_time import VirtualLoop

SEED = 7
REPAIR_S = 8.0
MOVES = 4


def _run(context, work):
    return context.ownership_loop.run_until_complete(work)


@given('an ownership cluster whose servers "{kind}" fencing')
def step_cluster(context, kind):
    loop = context.ownership_loop = VirtualLoop()
    context.add_cleanup(end_loop, loop)
    checks = kind == "check"

    async def start():
        cluster = Cluster(random.Random(SEED), fencing=(checks,) * 3)
        await cluster.start()
        return cluster

    context.cluster = _run(context, start())


def _coordinator(cluster, server="s0"):
    return cluster.instance_of(cluster.log.state.coordinations[server].incarnation)


async def _fault(cluster, fault, seconds):
    instance, server = _coordinator(cluster), cluster.servers["s0"]
    paused = {
        "coordinator paused": [instance.process],
        "server paused": [server],
        "coordinator and server paused": [instance.process, server],
    }.get(fault)
    if paused:
        for process in paused:
            process.pause()
        await asyncio.sleep(seconds)
        for process in paused:
            process.resume()
    elif fault == "coordinator killed":
        await instance.stop()
        await asyncio.sleep(seconds)
        instance.start()
    elif fault == "server killed":
        server.restart()
        server.alive = False
        await asyncio.sleep(seconds)
        server.alive = True
    elif fault == "log unavailable":
        cluster.log.available = False
        await asyncio.sleep(seconds)
        cluster.log.available = True
    elif fault == "messages delayed":
        cluster.network.slow_share = 0.3
        await asyncio.sleep(seconds)
        cluster.network.slow_share = 0.02
    else:
        await _cut(cluster, instance.name, fault, seconds)


async def _cut(cluster, name, fault, seconds):
    peers = [other for other in (*cluster.instances, "planner") if other != name]
    targets = {
        "coordinator cut from log": [LOG],
        "coordinator cut from peers": peers,
        "coordinator cut from its server": ["s0"],
        "coordinator cut from log, peers": [LOG, *peers],
        "coordinator cut from log, server": [LOG, "s0"],
        "coordinator cut from everything": [LOG, *peers, *cluster.servers],
        "answers of the server lost": [],
    }[fault]
    for target in targets:
        cluster.network.block(name, target)
    cluster.break_connections(name, targets)
    if not targets:
        cluster.network.blocked.add(("s0", name))
    await asyncio.sleep(seconds)
    cluster.heal()


@when('the ownership fault "{fault}" lasts {ms:d} ms while partitions move')
def step_fault(context, fault, ms):
    cluster = context.cluster

    async def scenario():
        running = asyncio.ensure_future(_fault(cluster, fault, ms / 1000))
        for number in range(MOVES):
            await asyncio.sleep(ms / 1000 / MOVES)
            partition = f"{SERVICE}/{number}"
            cluster.planner.move(partition, cluster.rng.choice(list(cluster.servers)))
        await running
        context.lost = await cluster.repaired(REPAIR_S)
        cluster.stop_traffic()
        await asyncio.sleep(2.5)

    _run(context, scenario())


@then("the servers' records show one owner at a time")
def step_one_owner(context):
    async def check():
        return context.cluster.double_owners()

    double = _run(context, check())
    assert not double, f"two owners at once: {double}"


@then("every assignment is in force again")
def step_nothing_lost(context):
    assert not context.lost, f"lost assignments: {context.lost}"


@then("no slot was overcommitted or leaked")
def step_slots(context):
    over = [server.name for server in context.cluster.servers.values() if server.overcommits]
    assert not over, f"overcommitted: {over}"
    leaked = context.cluster.leaked_slots()
    assert not leaked, f"leaked: {leaked}"


@when("the random ownership schedule {seed:d} runs")
def step_schedule(context, seed):
    context.verdict = run_schedule(seed)


@then("it leaves one owner at a time, nothing lost and no slot leaked")
def step_schedule_clean(context):
    assert context.verdict.clean, f"{context.verdict}"
    assert context.verdict.runs > 0, "no request ran"


@when("the ownership coordinator of a server hands it over")
def step_hand_over(context):
    cluster = context.cluster
    context.old = _coordinator(cluster)
    others = [item for item in cluster.instances.values() if item is not context.old]

    async def scenario():
        waiting = asyncio.ensure_future(context.old.coordinators.hand_over(5.0))
        for server, current in cluster.log.state.coordinations.items():
            if current.incarnation == context.old.incarnation:
                cluster.planner.coordinate(server, others[0].incarnation)
        await asyncio.sleep(0.15)
        context.served = not cluster.lost_assignments()
        context.handed_over = await waiting
        await asyncio.sleep(0.5)

    _run(context, scenario())


@then("the log no longer awaits the old coordinator")
def step_not_awaited(context):
    for server, current in context.cluster.log.state.coordinations.items():
        assert not current.previous, f"{server} awaits {current.previous}"


@then("another coordinator serves its partitions within 150 ms")
def step_handed_over(context):
    assert context.handed_over, "the old coordinator still has servers"
    assert _coordinator(context.cluster) is not context.old
    assert context.served, "partitions were not served in time"


@when("a server is killed and the log refuses the appends of all coordinators")
def step_kill_read_only(context):
    cluster = context.cluster
    cluster.log.read_only = True

    async def scenario():
        state = cluster.log.state
        context.keys = [
            key
            for key in KEYS
            if state.ownerships[partition_of(state, SERVICE, key)].server == "s0"
        ]
        cluster.servers["s0"].restart()
        cluster.servers["s0"].alive = False
        await asyncio.sleep(1.5)

    _run(context, scenario())


async def _until_admitted(instance, key):
    """Repeat what the remaining servers refuse for their load; that is not about owners."""
    for _ in range(20):
        outcome = await instance.request(key, 0.01)
        if outcome not in ("would-miss-deadline", "queue-full"):
            return outcome
        await asyncio.sleep(0.1)
    return outcome


@then("requests for its keys are answered by other servers")
def step_answered_elsewhere(context):
    assert context.keys
    instance = next(iter(context.cluster.instances.values()))
    outcomes = {key: _run(context, _until_admitted(instance, key)) for key in context.keys}
    assert set(outcomes.values()) == {"answered"}, outcomes
    state = context.cluster.log.state
    assert any(owner.awaiting for owner in state.ownerships.values()), "a grant was recorded"


def _publish(cluster, **changes):
    import json

    state = cluster.log.state
    servers = {
        name: {**unstructure(state.servers[name]), **change} for name, change in changes.items()
    }
    text = json.dumps({"number": state.ticket_number + 1, "servers": servers})
    cluster.log.append("cli", TicketRecord(publisher="cli", text=text))


@when("a server is leaving and its partitions have no other owner yet")
def step_leaving(context):
    cluster = context.cluster

    async def scenario():
        context.left_at = asyncio.get_running_loop().time()
        _publish(cluster, s0={"state": "leaving"})
        await asyncio.sleep(4.5)

    _run(context, scenario())


@then("it still runs requests after {early:d} ms and none after {late:d} ms")
def step_no_new_work(context, early, late):
    starts = [run["start"] - context.left_at for run in context.cluster.servers["s0"].runs]
    assert any(early / 1000 < start < 3.0 for start in starts), "it stopped too early"
    assert not [start for start in starts if start > late / 1000], "it got new work"


@when("a partition shall move while a request runs for {ms:d} ms on it")
def step_straggler(context, ms):
    cluster = context.cluster
    cluster.stop_traffic()

    async def scenario():
        await asyncio.sleep(0.5)
        key = KEYS[0]
        context.partition = partition_of(cluster.log.state, SERVICE, key)
        owner = cluster.log.state.ownerships[context.partition].server
        context.target = next(name for name in cluster.servers if name != owner)
        instance = next(iter(cluster.instances.values()))
        context.straggler = asyncio.ensure_future(instance.request(key, ms / 1000, 2.0))
        await asyncio.sleep(0.05)
        cluster.planner.move(context.partition, context.target)
        context.moved_at = asyncio.get_running_loop().time()

    _run(context, scenario())


@then("the partition is served by its {which} owner after {ms:d} ms")
def step_served_by(context, which, ms):
    async def scenario():
        await asyncio.sleep(context.moved_at + ms / 1000 - asyncio.get_running_loop().time())
        instance = next(iter(context.cluster.instances.values()))
        outcome = await instance.request(KEYS[0], 0.01)
        newest = max(
            (run["start"], server.name)
            for server in context.cluster.servers.values()
            for run in server.runs
        )
        return outcome, newest[1]

    outcome, server = _run(context, scenario())
    assert outcome == "answered", outcome
    assert (server == context.target) == (which == "new"), server
