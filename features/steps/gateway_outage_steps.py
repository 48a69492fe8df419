"""Steps for updates that are published as the store recovers from an outage."""

import asyncio
import math
import random

from behave import given, then, when

from hyssopwood.errors import LogUnavailableError
from hyssopwood.gateway.configuration_age import ConfigurationAge
from hyssopwood.gateway.feeds import ConfigurationFollower, ServerChanges, ServerFollower
from hyssopwood.gateway.route_table import CallerLimits, RouteTable, RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory
from hyssopwood.gateway.store_availability import StoreAvailability, longest_interval_s
from hyssopwood.keyspace.link_codec import Heartbeat
from hyssopwood.transfers import Transfer
from support.virtual_time import SimulatedProcess, VirtualLoop

LIMITS = CallerLimits(header_bytes=1, body_bytes=1, header_timeout_s=1, idle_timeout_s=1)
# Timeouts of the store client: of a call, and of a long poll beyond its wait.
CALL_TIMEOUT_S = 1.2
POLL_SLACK_S = 1.0
RUNS = 4
HEARTBEAT_INTERVAL_S = 0.3


def _table(version):
    return RouteTable(version=version, routes=(), services={}, limits=LIMITS)


class _Store:
    """A store that resets calls or leaves them unanswered during an outage."""

    def __init__(self):
        self.version = 1
        self.outage = None

    async def call(self, wait_s):
        outage = self.outage
        if outage == "resets calls":
            await asyncio.sleep(0.002)
            raise LogUnavailableError("reset")
        if outage == "hangs":
            await asyncio.sleep(wait_s + POLL_SLACK_S if wait_s else CALL_TIMEOUT_S)
            raise LogUnavailableError("no answer")
        await asyncio.sleep(0.004)


class _Configurations:
    newest_rejected = False
    at_end = True
    transfer = Transfer()

    def __init__(self, store):
        self.store = store
        self.read = 0
        self.calls = 0

    async def next(self, wait_s):
        self.calls += 1
        await self.store.call(wait_s)
        until = asyncio.get_running_loop().time() + wait_s
        while self.read == self.store.version and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)
            if self.store.outage:
                raise LogUnavailableError("reset")
        if self.read == self.store.version:
            return ()
        self.read = self.store.version
        return (_table(self.read),)


class _Servers:
    def __init__(self, store):
        self.store = store
        self.calls = 0

    def relist(self):
        pass

    async def next(self, wait_s):
        self.calls += 1
        await self.store.call(wait_s)
        return ServerChanges((), frozenset())


class _Leader:
    """The leader's heartbeats as an instance receives them, with the leader's version."""

    def __init__(self, version, servers_age_s):
        self._version = version
        self._servers_age_s = servers_age_s

    def fresh_heartbeat(self):
        version = self._version()
        if version is None or self._servers_age_s() > 1.0:
            return None
        return Heartbeat(0.1, version, 0.1, 0)

    def configuration_fresh_s(self):
        return 0.0 if self.fresh_heartbeat() is None else 0.5

    def configuration_version(self):
        return self._version() or 0

    def request_servers(self):
        pass

    async def wait_heartbeat(self):
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


class _Instance:
    def __init__(self, store, rng, leader, bound_s):
        timers = SimulatedProcess("i", rng)
        availability = StoreAvailability(timers, rng, longest_interval_s(bound_s))
        self.tables = RouteTables()
        self.configurations = _Configurations(store)
        self.servers = _Servers(store)
        self.applied_at = None
        self.followers = (
            ConfigurationFollower(
                self.configurations,
                self.tables,
                timers,
                leader,
                self._on_applied,
                availability,
                ConfigurationAge(timers, lambda: None),
            ),
            ServerFollower(self.servers, ServerDirectory(), timers, leader, availability),
        )

    @property
    def calls(self):
        return self.configurations.calls + self.servers.calls

    def _on_applied(self):
        self.applied_at = asyncio.get_running_loop().time()

    def start(self):
        return [asyncio.ensure_future(follower.run()) for follower in self.followers]


async def _simulate(seed, count, bound_s, with_leader, fails, after_s):
    """Return for each instance the time from the confirmation until it has the configuration."""
    rng = random.Random(seed)
    store = _Store()
    no_leader = _Leader(lambda: None, lambda: 0.0)
    first = _Instance(store, rng, no_leader, bound_s)
    # During an outage the leader reads no registrations, so its heartbeats become outdated.
    servers_age_s = lambda: 9.0 if store.outage else 0.1  # noqa: E731
    version = lambda: first.tables.current.version if first.tables.current else 0  # noqa: E731
    leader = _Leader(version, servers_age_s) if with_leader else no_leader
    others = [_Instance(store, rng, leader, bound_s) for _ in range(count - 1)]
    tasks = [task for item in (first, *others) for task in item.start()]
    await asyncio.sleep(3 + rng.random())
    store.outage = fails
    await asyncio.sleep(8)
    store.outage = None
    await asyncio.sleep(after_s)
    store.version = 7
    confirmed = asyncio.get_running_loop().time()
    await asyncio.sleep(6)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return [item.applied_at - confirmed for item in (first, *others)]


def _run(work):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


@given("{count:d} instances that follow a store with a bound of {bound_s:g} s, {leader} a leader")
def step_instances(context, count, bound_s, leader):
    context.count, context.bound_s = count, bound_s
    context.with_leader = leader == "with"


@when("the store {fails} for 8 s and a configuration is published {after_s:g} s after its recovery")
def step_outage(context, fails, after_s):
    context.delays = []
    for seed in range(RUNS):
        simulation = _simulate(
            seed, context.count, context.bound_s, context.with_leader, fails, after_s
        )
        context.delays += _run(simulation)


@then("999 of 1000 instances have it within half of the bound")
def step_in_force(context):
    delays = sorted(context.delays)
    late = delays[math.ceil(0.999 * len(delays)) - 1]
    assert late <= context.bound_s / 2, f"{late:.2f} s of {len(delays)} instances"


@given("an instance that the store refuses and whose leader has read version {version:d}")
def step_refused(context, version):
    context.version = version


@when("the refusals last {seconds:d} s")
def step_pass(context, seconds):
    async def count_calls():
        store = _Store()
        version = [1]
        leader = _Leader(lambda: version[0], lambda: 0.1)
        instance = _Instance(store, random.Random(1), leader, 2.5)
        tasks = instance.start()
        await asyncio.sleep(2)
        store.outage = "resets calls"
        version[0] = context.version
        before = instance.calls
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return instance.calls - before

    context.calls = _run(count_calls())


@then("it has called the store at most {most:d} times")
def step_calls(context, most):
    assert context.calls <= most, context.calls
