"""Steps for a store that is restored from an older copy."""

import asyncio
import json

from behave import given, then, when

from hyssopwood.errors import AppendConflictError
from hyssopwood.gateway.configuration_age import ConfigurationAge
from hyssopwood.gateway.feeds import ConfigurationFollower, ServerFollower
from hyssopwood.gateway.route_table import RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace.plan import Leader, Plan, divide_evenly
from hyssopwood.keyspace.position import era_of
from hyssopwood.metrics import Metrics
from hyssopwood.platform.feeds import PlatformConfigurationFeed, PlatformServerFeed
from hyssopwood.platform.plan_store import PlatformPlanStore
from hyssopwood.timers import SystemTimers
from hyssopwood_standins.key_server import KeyServer
from steps.platform_steps import configuration
from steps.platform_store_steps import SERVERS, step_store

OPERATOR = "keyed.op"
PLAN = Plan(0, {"portal": divide_evenly((("s1", 1),), 0)})
LEADER = Leader("i1", "1", "i1:1")


class _NoLeader:
    """A missing leader: an instance without a link reads the store itself."""

    def configuration_fresh_s(self):
        return 0.0

    def fresh_heartbeat(self):
        return None

    def configuration_version(self):
        return 0

    def request_servers(self):
        pass

    async def wait_heartbeat(self):
        await asyncio.Event().wait()


@given("a keyed store of era {era:d}")
def step_store_of_era(context, era):
    step_store(context)
    context.store.era = era
    context.servers = {}


def _register(context, name, state="ready"):
    server = context.servers.setdefault(name, KeyServer(name, "portal"))
    server.address = "127.0.0.1:9"
    context.store.put(SERVERS, name, server.registration(state))


@when('the store forgets server "{name}" by being restored')
def step_forgets(context, name):
    context.store.restore(context.before_s2)


@when(
    'the store forgets server "{name}" by being restored, and server "{other}" registers at its '
    "offset"
)
def step_forgets_and_registers(context, name, other):
    context.store.restore(context.before_s2)
    _register(context, other)


@when("the store is restored while the feed polls")
def step_restored_in_poll(context):
    async def poll():
        polling = asyncio.ensure_future(context.feed.next(5.0))
        await asyncio.sleep(0.1)
        context.store.restore(context.before_s2)
        return await asyncio.wait_for(polling, 1.0)

    context.polled = context.run(poll())


@then('the feed lists "{names}" as all that is present, after a restore')
def step_listed(context, names):
    changes = getattr(context, "polled", None) or context.run(context.feed.next(0.0))
    assert changes.present == frozenset(names.split(",")), changes
    assert changes.restored


@given("an instance that follows servers of a keyed store of era {era:d}")
def step_follow(context, era):
    step_store_of_era(context, era)
    _register(context, "s1")
    context.before_s2 = context.store.snapshot()
    _register(context, "s2")
    context.directory = ServerDirectory()
    timers = SystemTimers()
    feed = PlatformServerFeed(context.client, Metrics())
    follower = ServerFollower(
        feed, context.directory, timers, _NoLeader(), StoreAvailability(timers)
    )

    async def start():
        context.task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.2)

    context.run(start())
    assert context.directory.get("s2") is not None


@then('the instance still lists server "{name}" after {seconds:g} s')
def step_still_listed(context, name, seconds):
    context.run(asyncio.sleep(seconds))
    assert context.directory.get(name) is not None


@then('it has dropped server "{name}" after {seconds:g} s')
def step_dropped(context, name, seconds):
    context.run(asyncio.sleep(seconds))
    assert context.directory.get(name) is None


@when('server "{one}" drains, server "{other}" leaves and the store forgets both by being restored')
def step_drain_and_leave(context, one, other):
    copy = context.store.snapshot()
    _register(context, one, "draining")
    context.store.put(SERVERS, other, b"")
    context.run(asyncio.sleep(0.8))
    assert context.directory.get(other) is None
    context.store.restore(copy)
    context.run(asyncio.sleep(1.0))


@then('the instance lists server "{one}" as draining and server "{other}" as removed')
def step_still_draining(context, one, other):
    assert context.directory.get(one).draining
    assert context.directory.get(other) is None


def _publish(context, version):
    context.store.put(OPERATOR, "config", json.dumps(configuration(version)).encode())


@given(
    "an instance that follows configurations of a keyed store of era {era:d} and has version "
    "{version:d}"
)
def step_follow_configurations(context, era, version):
    step_store_of_era(context, era)
    _publish(context, 5)
    context.older = context.store.snapshot()
    _publish(context, version)
    context.route_tables = RouteTables()
    timers = SystemTimers()
    feed = PlatformConfigurationFeed(context.client)
    follower = ConfigurationFollower(
        feed,
        context.route_tables,
        timers,
        _NoLeader(),
        lambda: None,
        StoreAvailability(timers),
        ConfigurationAge(timers, lambda: None),
    )

    async def start():
        context.task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.3)

    context.run(start())
    assert context.route_tables.current.version == version


@when("the store is restored to a copy with version {version:d}")
def step_restore_configuration(context, version):
    context.store.restore(context.older)


@when("the operator writes version {version:d}")
def step_operator_writes(context, version):
    _publish(context, version)


@then("the instance has version {version:d} after {seconds:g} s")
def step_has_version(context, version, seconds):
    context.run(asyncio.sleep(seconds))
    assert context.route_tables.current.version == version


@given("a plan store on a keyed store of era {era:d}")
def step_plan_store(context, era):
    step_store_of_era(context, era)
    context.plans = PlatformPlanStore(context.client)
    context.at = context.run(context.plans.load()).end_position
    context.copy = context.store.snapshot()


@when("the store is restored to the end that the writer expects")
def step_restore_to_end(context):
    context.store.restore(context.copy)


@then("a write returns a position of era {era:d}")
def step_position(context, era):
    end = context.run(context.plans.write(context.at, PLAN, LEADER))
    assert era_of(end) == era and end > context.at, end


@then("the next write at a position of era {era:d} conflicts without a call")
def step_conflicts(context, era):
    calls = context.store.calls
    assert era_of(context.at) == era
    try:
        context.run(context.plans.write(context.at + 2, PLAN, LEADER))
    except AppendConflictError as error:
        assert era_of(error.end_offset) > era
        assert context.store.calls == calls
        return
    raise AssertionError("the write succeeded")


@given('a keyed store of era {era:d} whose header is "{values}"')
def step_odd_header(context, era, values):
    step_store_of_era(context, era)
    context.store.faults.era_headers = tuple(values.split(","))


@then("the client has era {era:d}")
def step_known_era(context, era):
    assert context.client.era == era, context.client.era


@when("the store's answers are of era {era:d}")
def step_answers_of(context, era):
    context.store.faults.era_headers = (str(era),)
