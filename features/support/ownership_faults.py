"""Random schedules of faults against a cluster, judged by the servers' own records."""

import asyncio
import random

from attrs import frozen

from hyssopwood.state import shard_partition
from support.fake_log import LOG
from support.ownership_cluster import KEYS, SERVICE, SHARDS, Cluster
from support.virtual_time import VirtualLoop

FAULTS_S = 6.0
REPAIR_S = 8.0
QUIET_S = 2.5
FENCING = ((True, True, False), (True, True, True), (False, False, False))


@frozen
class Verdict:
    """What one schedule left behind."""

    seed: int
    double_owners: list
    lost: list
    leaked: list
    overcommits: int
    runs: int
    faults: tuple

    @property
    def clean(self):
        return not (self.double_owners or self.lost or self.leaked or self.overcommits)


def run_schedule(seed, faults_s=FAULTS_S):
    """Run one schedule in simulated time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(seed, faults_s))
    finally:
        asyncio.set_event_loop(None)
        end_loop(loop)


def end_loop(loop):
    """Cancel what still runs and close the loop."""
    loop.run_until_complete(_cancel_rest())
    loop.close()


async def _run(seed, faults_s):
    rng = random.Random(seed)
    cluster = Cluster(rng, fencing=rng.choice(FENCING))
    await cluster.start()
    done = []
    end = asyncio.get_running_loop().time() + faults_s
    while asyncio.get_running_loop().time() < end:
        fault = rng.choice(FAULTS)
        done.append(fault.__name__)
        cluster.tasks.start(("fault", len(done)), fault(cluster, rng))
        await asyncio.sleep(rng.uniform(0.02, 0.6))
    await asyncio.sleep(1.0)
    cluster.heal()
    verdict = await _judge(cluster, seed, tuple(done))
    await cluster.stop()
    return verdict


async def _cancel_rest():
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)


async def _judge(cluster, seed, faults):
    lost = await cluster.repaired(REPAIR_S)
    cluster.stop_traffic()
    await asyncio.sleep(QUIET_S)
    return Verdict(
        seed,
        cluster.double_owners(),
        lost,
        cluster.leaked_slots(),
        sum(server.overcommits for server in cluster.servers.values()),
        sum(len(server.runs) for server in cluster.servers.values()),
        faults,
    )


def _instance(cluster, rng):
    return rng.choice(list(cluster.instances.values()))


def _server(cluster, rng):
    return rng.choice(list(cluster.servers.values()))


def _coordinator_of(cluster, server):
    coordination = cluster.log.state.coordinations.get(server.name)
    return cluster.instance_of(coordination.incarnation) if coordination else None


async def pause_instance(cluster, rng):
    process = _instance(cluster, rng).process
    process.pause()
    await asyncio.sleep(rng.choice((0.05, 0.3, 0.6, 1.2)))
    process.resume()


async def pause_server(cluster, rng):
    server = _server(cluster, rng)
    server.pause()
    await asyncio.sleep(rng.choice((0.05, 0.3, 0.6, 1.2)))
    server.resume()


async def pause_both(cluster, rng):
    server = _server(cluster, rng)
    instance = _coordinator_of(cluster, server)
    processes = [server, *([instance.process] if instance else [])]
    for process in processes:
        process.pause()
    rng.shuffle(processes)
    for process in processes:
        await asyncio.sleep(rng.choice((0.1, 0.4, 0.8)))
        process.resume()


async def kill_instance(cluster, rng):
    instance = _instance(cluster, rng)
    if not instance.incarnation:
        return
    await instance.stop()
    await asyncio.sleep(rng.uniform(0.05, 1.0))
    if not instance.incarnation:
        instance.start()


async def kill_server(cluster, rng):
    server = _server(cluster, rng)
    server.alive = False
    server.restart()
    server.alive = False
    await asyncio.sleep(rng.uniform(0.01, 1.0))
    server.alive = True


async def cut_from_log(cluster, rng):
    await _cut(cluster, rng, _instance(cluster, rng).name, [LOG])


async def cut_from_peers(cluster, rng):
    one = _instance(cluster, rng).name
    others = [name for name in (*cluster.instances, "planner") if name != one]
    await _cut(cluster, rng, one, rng.sample(others, rng.randint(1, len(others))))


async def cut_from_server(cluster, rng):
    await _cut(cluster, rng, _instance(cluster, rng).name, [_server(cluster, rng).name])


async def isolate(cluster, rng):
    one = _instance(cluster, rng).name
    names = [*cluster.instances, *cluster.servers, "planner", LOG]
    await _cut(cluster, rng, one, [name for name in names if name != one])


async def _cut(cluster, rng, one, others):
    pairs = set()
    for other in others:
        ways = [(one, other), (other, one)]
        pairs |= set(ways) if other == LOG or rng.random() < 0.7 else {rng.choice(ways)}
    cluster.network.blocked |= pairs
    cluster.break_connections(one, others)
    await asyncio.sleep(rng.choice((0.1, 0.4, 0.8, 1.5)))
    cluster.network.blocked -= pairs


async def log_outage(cluster, rng):
    cluster.log.available = False
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    cluster.log.available = True


async def lossy_network(cluster, rng):
    cluster.network.loss_rate = rng.choice((0.01, 0.05, 0.15))
    await asyncio.sleep(rng.uniform(0.3, 1.5))
    cluster.network.loss_rate = 0.0


async def move_partitions(cluster, rng):
    for partition in rng.sample(sorted(cluster.log.state.ownerships), 3):
        cluster.planner.move(partition, rng.choice(list(cluster.servers)))


async def move_back_and_forth(cluster, rng):
    partition = shard_partition(SERVICE, rng.randrange(SHARDS))
    for _ in range(3):
        cluster.planner.move(partition, rng.choice(list(cluster.servers)))
        await asyncio.sleep(rng.choice((0.002, 0.02, 0.2)))


async def pause_target(cluster, rng):
    """Pause a server when a grant may be on its way to it, and move the partition on."""
    partition = shard_partition(SERVICE, rng.randrange(SHARDS))
    target, other = rng.sample(list(cluster.servers.values()), 2)
    cluster.planner.move(partition, target.name)
    await asyncio.sleep(rng.uniform(0.005, 0.05))
    target.pause()
    await asyncio.sleep(rng.choice((0.02, 0.2)))
    cluster.planner.move(partition, other.name)
    await asyncio.sleep(rng.choice((0.3, 0.6, 1.0)))
    target.resume()


async def hide_from_planner(cluster, rng):
    """Have a working coordinator fenced, and move the partitions of its servers at once."""
    server = _server(cluster, rng)
    instance = _coordinator_of(cluster, server)
    if instance is None:
        return
    hidden_from = rng.choice((["planner"], ["planner", LOG]))
    for other in hidden_from:
        cluster.network.block(instance.name, other)
    owned = [name for name, o in cluster.log.state.ownerships.items() if o.server == server.name]
    others = [name for name in cluster.servers if name != server.name]
    await asyncio.sleep(rng.uniform(0.35, 0.7))
    for partition in owned:
        cluster.planner.move(partition, rng.choice(others))
    await asyncio.sleep(0.5)
    for other in hidden_from:
        cluster.network.unblock(instance.name, other)


async def change_hot_key(cluster, rng):
    cluster.planner.hot_key(rng.choice(KEYS), rng.random() < 0.7)


async def change_coordinator(cluster, rng):
    members = [name for name in cluster.log.state.members if name != "planner"]
    if members:
        cluster.planner.coordinate(_server(cluster, rng).name, rng.choice(members))


FAULTS = (
    pause_instance,
    pause_server,
    pause_both,
    kill_instance,
    kill_server,
    cut_from_log,
    cut_from_peers,
    cut_from_server,
    isolate,
    log_outage,
    lossy_network,
    move_partitions,
    move_partitions,
    move_back_and_forth,
    pause_target,
    hide_from_planner,
    change_hot_key,
    change_coordinator,
)
