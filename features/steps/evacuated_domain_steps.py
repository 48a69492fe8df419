"""Steps for evacuated failure domains, in a deployment of real daemons."""

import asyncio
import time
from collections import Counter

from behave import given, then, when

from hyssopwood.keyspace.plan import KEY_COUNT
from support.evacuated_deployment import EvacuatedDeployment

SETTLED_S = 1.0
ANSWERED = 200
REFUSED = 503
OUTAGE_S = 2.0
SLOW_S = 0.24


def _deployment(context, servers, instances, domains, **named):
    domains = domains.split(",")
    server_names = [f"s{number}" for number in range(servers)]
    names = [f"i{number}" for number in range(instances)]
    domain_of = {
        name: domains[index % len(domains)]
        for group in (server_names, names)
        for index, name in enumerate(group)
    }
    deployment = context.deployment = EvacuatedDeployment(domain_of, **named)
    context.add_cleanup(lambda: context.run(deployment.stop()))
    return deployment, server_names, names


def _start(context, servers, instances, domains, path=None, **named):
    deployment, server_names, names = _deployment(context, servers, instances, domains, **named)
    deployment.path = path or deployment.path

    async def start():
        await deployment.start(server_names, names)
        await deployment.until(lambda: any(item.daemon.is_leader for item in _all(deployment)))
        deployment.start_load()
        await asyncio.sleep(SETTLED_S)

    context.run(start())


def _all(deployment):
    return deployment.instances.values()


@given('{servers:d} servers and {instances:d} instances in domains "{domains}" under load')
def step_platform(context, servers, instances, domains):
    _start(context, servers, instances, domains)


@given('{servers:d} servers without keys and {instances:d} instances in domains "{domains}"')
def step_unsharded(context, servers, instances, domains):
    _start(context, servers, instances, domains, "/photos/x", service="desk")


@given("{servers:d} servers and {count:d} instances whose links to servers can be cut")
def step_cuttable(context, servers, count):
    _start(context, servers, count, "a,b,c", cuttable=True)


@given("{servers:d} servers and {count:d} instances without the setting of the bound")
def step_inactive(context, servers, count):
    deployment, server_names, names = _deployment(context, servers, count, "a,b,c")
    deployment.evacuate_s = None

    async def start():
        await deployment.start(server_names, names)
        deployment.start_load()
        await asyncio.sleep(SETTLED_S)

    context.run(start())


@given("a leader of an earlier build, {servers:d} servers and {count:d} followers of this build")
def step_earlier_leader(context, servers, count):
    deployment, server_names, names = _deployment(context, servers, count + 1, "a,b,c")

    async def start():
        # A leader without the setting states no evacuations, like one of an earlier build.
        deployment.evacuate_s = None
        await deployment.start(server_names, names[:1])
        await deployment.until(lambda: deployment.instances[names[0]].daemon.is_leader)
        deployment.evacuate_s = EvacuatedDeployment(()).evacuate_s
        for name in names[1:]:
            deployment.start_instance(name)
        await deployment.until(lambda: all(item.daemon.is_ready() for item in _all(deployment)))
        context.earlier = deployment.instances.pop(names[0])
        context.add_cleanup(lambda: context.run(deployment.kill(context.earlier)))
        deployment.start_load()
        await asyncio.sleep(SETTLED_S)

    context.run(start())


@given("the links between the instances are cut")
def step_no_links(context):
    context.deployment.cut_peer_links()


@given('instance "{name}" reaches servers by way of others only')
def step_relayed(context, name):
    context.deployment.instances[name].links.cut("are reset")
    context.run(asyncio.sleep(2 * SETTLED_S))


async def _disturb(deployment, fault):
    """Play a disturbance that begins right after the operator's write."""
    if fault == "the leader is killed":
        leader = deployment.leader()
        del deployment.instances[leader.name]
        await deployment.kill(leader)
    elif fault == "the store refuses all calls":
        deployment.store.faults.error_status = 503
        await asyncio.sleep(OUTAGE_S)
        deployment.store.faults.error_status = 0
    elif fault == "the store is slow":
        deployment.store.faults.delay_s = SLOW_S
    elif fault == "the links between the instances are cut":
        deployment.cut_peer_links()
    else:
        assert fault == "nothing else happens", fault


@when('domain "{domain}" is evacuated and {fault}')
def step_evacuate(context, domain, fault):
    deployment = context.deployment
    if fault == "all connections to the store fall silent":
        deployment.store.silence_connections(1.0, _AlwaysLow())
    elif fault == "the leader loses the store":
        # Before the write, as the leader's open poll would return it.
        deployment.cut_off_store(deployment.leader())

    async def evacuate():
        deployment.evacuate(domain)
        if not fault.startswith(("all connections", "the leader loses")):
            await _disturb(deployment, fault)

    context.run(evacuate())


class _AlwaysLow:
    """A source of random numbers that are below any share."""

    def random(self):
        return 0.0


@when('domain "{domain}" is evacuated with the value "{value}"')
def step_evacuate_value(context, domain, value):
    context.deployment.evacuate(domain, value.encode("latin-1").decode("unicode_escape").encode())


@when('the evacuation of "{domain}" is lifted')
def step_lift(context, domain):
    context.lifted_at = time.monotonic()
    context.deployment.lift(domain)


@when("{seconds:g} s pass under load")
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@when('"{count}" requests for keys of domain "{domain}" wait and the domain is evacuated')
def step_queued(context, count, domain):
    deployment = context.deployment

    async def play():
        await deployment.stop_load()
        deployment.calls.clear()
        deployment.answers.clear()
        names = list(deployment.instances)
        view = deployment.leader().daemon._view
        servers = {item.name for item in deployment.servers_of(domain)}
        keys = [
            key for key in range(0, KEY_COUNT, 64) if view.owner("portal", key).server in servers
        ]
        calls = [
            deployment.call(names[number % len(names)], keys[number * 17 % len(keys)])
            for number in range(int(count))
        ]
        running = asyncio.gather(*calls)
        await asyncio.sleep(0.1)
        deployment.evacuate(domain)
        await running

    context.run(play())


@when("the store is restored from a copy made before the evacuation")
def step_restored(context):
    deployment = context.deployment
    deployment.store.restore(context.copy)


@given("a copy of the store is made")
def step_copy(context):
    context.copy = context.deployment.store.snapshot()


def _after(times, began, bound_s):
    return [round(item - began, 2) for item in times if item > began + bound_s]


@then('no request reached domain "{domain}" later than {bound_s:g} s after its evacuation')
def step_none_reached(context, domain, bound_s):
    deployment = context.deployment
    began, ended = deployment.evacuated_at[domain], getattr(context, "lifted_at", float("inf"))
    for server in deployment.servers_of(domain):
        times = [item for item in server.requested_at if item < ended]
        assert not _after(times, began, bound_s), (server.name, _after(times, began, bound_s))


@then('no grant reached domain "{domain}" later than {bound_s:g} s after its evacuation')
def step_none_granted(context, domain, bound_s):
    deployment = context.deployment
    began, ended = deployment.evacuated_at[domain], getattr(context, "lifted_at", float("inf"))
    for server in deployment.servers_of(domain):
        times = [item for item in server.granted_at if item < ended]
        assert not _after(times, began, bound_s), (server.name, _after(times, began, bound_s))


@then('requests reach domain "{domain}" again within {limit_s:g} s')
def step_reached_again(context, domain, limit_s):
    deployment = context.deployment
    context.run(asyncio.sleep(limit_s))
    # A queue of servers without keys may prefer one of two idle servers.
    for server in deployment.servers_of(domain):
        reached = any(item > context.lifted_at for item in server.requested_at)
        assert reached or not server.sharded, server.name
    assert any(
        item > context.lifted_at
        for server in deployment.servers_of(domain)
        for item in server.requested_at
    )


@then("requests still reach domain {domain}")
def step_still_reached(context, domain):
    now = time.monotonic()
    context.run(asyncio.sleep(SETTLED_S))
    for server in context.deployment.servers_of(domain.strip('"')):
        assert any(item > now for item in server.requested_at), server.name


def _calls_since_evacuation(deployment, bound_s):
    began = min(deployment.evacuated_at.values())
    return [item for item in deployment.calls if item.sent_at > began + bound_s]


@then("callers got only answers and refusals, and only answers from {bound_s:g} s on")
def step_callers(context, bound_s):
    deployment = context.deployment
    statuses = Counter(item.status for item in deployment.calls if item.status is not None)
    assert set(statuses) <= {ANSWERED, REFUSED}, statuses
    late = Counter(item.status for item in _calls_since_evacuation(deployment, bound_s))
    assert late[ANSWERED] and set(late) == {ANSWERED}, late


@then("every waiting request was answered by a server elsewhere or had begun before")
def step_placed_again(context):
    statuses = Counter(item.status for item in context.deployment.calls)
    assert set(statuses) == {ANSWERED}, statuses
    domains = Counter(context.deployment.domains[item[3]] for item in context.deployment.answers)
    assert domains["a"] and domains["c"], domains


@then("from {bound_s:g} s on callers are refused at once with 503 and the instances count it")
def step_refused(context, bound_s):
    deployment = context.deployment
    late = _calls_since_evacuation(deployment, bound_s)
    assert late and {item.status for item in late} == {REFUSED}, Counter(
        item.status for item in late
    )
    slowest = max(item.took_s for item in late)
    assert slowest < 0.3, slowest
    for instance in _all(deployment):
        assert b"hyssopwood_evacuated_requests_total" in instance.metrics.exposition()


@then("{count:d} instances know domain {domain} as evacuated")
def step_known(context, count, domain):
    known = context.deployment.knowing(domain.strip('"'))
    assert len(known) == count, known


@then("no key has two owners")
def step_one_owner(context):
    servers = context.deployment.servers.values()
    for key in range(0, KEY_COUNT, 97):
        owners = [server.name for server in servers if server.has_lease(key)]
        assert len(owners) <= 1, (key, owners)


@then("every instance has the same digest of registrations")
def step_digests(context):
    digests = {item.daemon._directory.digest() for item in _all(context.deployment)}
    assert len(digests) == 1, digests
