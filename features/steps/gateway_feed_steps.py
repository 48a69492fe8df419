"""Steps for following configurations, server registrations and the plan."""

import asyncio

from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import InputError, LogUnavailableError
from hyssopwood.gateway.configuration_age import ConfigurationAge
from hyssopwood.gateway.feeds import ConfigurationFollower, ServerChanges, ServerFollower
from hyssopwood.gateway.route_table import CallerLimits, RouteTable, RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace.link_codec import Heartbeat
from hyssopwood.keyspace.plan import KeyRange, Plan, PlanChange, divide_evenly
from hyssopwood.keyspace.plan_codec import decode_plan, encode_plan
from hyssopwood.timers import SystemTimers
from hyssopwood.transfers import Transfer

RECORD = ServerRecord(
    server="s1",
    service="p",
    address="127.0.0.1:1",
    failure_domain="a",
    slots=2,
    draining=False,
    warmup_left_s=0.0,
    born_ms=1,
    sequence=1,
)
LIMITS = CallerLimits(header_bytes=1, body_bytes=1, header_timeout_s=1, idle_timeout_s=1)


def _table(version):
    return RouteTable(version=version, routes=(), services={}, limits=LIMITS)


class _Leader:
    def __init__(self, digest=lambda: 0):
        self.version = 5
        self.silent = False
        self.digest = digest
        self.asked = 0

    def fresh_heartbeat(self):
        return None if self.silent else Heartbeat(0.1, self.version, 0.1, self.digest())

    def configuration_fresh_s(self):
        return 0.0 if self.silent else 0.5

    def configuration_version(self):
        return 0 if self.silent else self.version

    def request_servers(self):
        self.asked += 1

    async def wait_heartbeat(self):
        await asyncio.sleep(0.05)
        if self.silent:
            await asyncio.Event().wait()


class _Configurations:
    newest_rejected = False
    at_end = True
    transfer = Transfer()

    def __init__(self):
        self.stored = [_table(5)]
        self.read = 0
        self.polls_hang = False

    async def next(self, wait_s):
        if wait_s and self.polls_hang:
            await asyncio.Event().wait()
        await asyncio.sleep(0.005)
        found, self.read = self.stored[self.read :], len(self.stored)
        return tuple(found)


class _Servers:
    def __init__(self):
        self.record = RECORD
        self.calls = 0
        self.refuses = False

    def relist(self):
        pass

    async def next(self, wait_s):
        await asyncio.sleep(0.005)
        self.calls += 1
        if self.refuses:
            raise LogUnavailableError("refused")
        self.record = evolve(self.record, sequence=self.record.sequence + 1)
        return ServerChanges((self.record,), frozenset({self.record.server}))


async def _within(seconds, condition):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@given("an instance that follows configurations, and a leader that has version {version:d}")
def step_follow(context, version):
    context.leader = _Leader()
    context.feed = _Configurations()
    context.route_tables = RouteTables()
    follower = ConfigurationFollower(
        context.feed,
        context.route_tables,
        SystemTimers(),
        context.leader,
        lambda: None,
        StoreAvailability(SystemTimers()),
        ConfigurationAge(SystemTimers(), lambda: None),
    )

    async def start():
        context.task = asyncio.ensure_future(follower.run())
        await _within(1, lambda: context.route_tables.current is not None)

    context.run(start())
    assert context.route_tables.current.version == version


@when("the store holds version 7, long polls hang and the leader announces version 7")
def step_hang(context):
    context.feed.polls_hang = True
    context.feed.stored.append(_table(7))
    context.leader.version = 7


@when("the store holds version 7 and later version 6")
def step_back(context):
    context.leader.silent = True
    context.feed.stored += [_table(7), _table(6)]


@then("the instance has version {version:d} within {seconds:d} s")
def step_version(context, version, seconds):
    context.run(_within(seconds, lambda: context.route_tables.current.version == version))
    context.run(asyncio.sleep(0.1))
    assert context.route_tables.current.version == version


@given("an instance that follows servers, with a leader")
def step_follow_servers(context):
    context.server_feed = _Servers()
    context.directory = ServerDirectory()
    context.leader = _Leader(context.directory.digest)
    context.directory.put(RECORD)
    follower = ServerFollower(
        context.server_feed,
        context.directory,
        SystemTimers(),
        context.leader,
        StoreAvailability(SystemTimers()),
    )

    async def start():
        context.task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.1)

    context.run(start())


@when('the leader\'s heartbeats stop and server "{name}" drains')
def step_silent(context, name):
    context.leader.silent = True
    context.server_feed.record = evolve(context.server_feed.record, draining=True)


@when("the leader lists other servers and the store {answers}")
def step_differs(context, answers):
    context.server_feed.refuses = answers == "refuses this instance"
    context.server_feed.calls = 0
    context.leader.digest = lambda: -1
    context.run(asyncio.sleep(1.8))


@then("the instance has read the store {calls:d} times and asked the leader {asked:d} times")
def step_read_and_asked(context, calls, asked):
    assert context.server_feed.calls == calls, context.server_feed.calls
    assert context.leader.asked == asked, context.leader.asked


@then('the instance lists server "{name}" as draining within {seconds:g} s')
def step_lists_draining(context, name, seconds):
    context.run(_within(seconds, lambda: context.directory.get(name).draining))


@given('a directory that received the records "{records}"')
def step_records(context, records):
    context.directory = ServerDirectory()
    for item in records.split(","):
        if item == "removed":
            context.directory.remove("s1", 1000.0, with_grace=False)
            continue
        version, state = item.split(" ")
        born, sequence = version.split(".")
        record = evolve(
            RECORD, born_ms=int(born), sequence=int(sequence), draining=state == "draining"
        )
        context.directory.put(record)


def _named_record(text):
    """Return the record of a text like "s1/p 1.5": id, service, start time and sequence."""
    name, version = text.split(" ")
    server, service = name.split("/")
    born, sequence = version.split(".")
    return evolve(RECORD, server=server, service=service, born_ms=int(born), sequence=int(sequence))


def _apply_change(directory, change):
    kind, _, rest = change.rpartition(" s") if change.startswith("removed") else ("", "", change)
    if kind == "removed":
        directory.remove(f"s{rest}", 1000.0, with_grace=False)
    elif kind == "removed by the leader":
        directory.remove_version(_named_record(f"s{rest}"), 1000.0)
    elif change.startswith("named "):
        directory.name_services([change.removeprefix("named ")])
    else:
        directory.put(_named_record(change))


@given('a directory of the services "{services}" and the records "{records}"')
def step_named_records(context, services, records):
    step_unnamed_records(context, f"named {services},{records}")


@given('a directory of no services yet and the records "{records}"')
def step_unnamed_records(context, records):
    context.directory = ServerDirectory()
    for change in records.split(","):
        _apply_change(context.directory, change)


@then('the directory uses the records "{records}"')
@then('the directory uses the records ""')
def step_used(context, records=""):
    expected = {_named_record(item) for item in records.split(",") if item}
    assert set(context.directory.records()) == expected, context.directory.records()


@then("no address counts as reused")
def step_address_not_reused(context):
    directory = context.directory
    assert not any(directory.is_address_reused(item) for item in directory.records())


@then("it lists the same records as one that knows no services")
def step_listed(context):
    other = ServerDirectory()
    for record in context.directory.listed_records():
        other.put(record)
    assert len(other.records()) == 2
    assert other.digest() == context.directory.digest()


@then('the directory has server "{name}" as {state}')
def step_state(context, name, state):
    record = context.directory.get(name)
    shown = "removed" if record is None else "draining" if record.draining else "ready"
    assert shown == state, shown


@when('server "{name}" expires around an outage and {seconds:d} s pass')
def step_expire(context, name, seconds):
    context.now = 1000.0
    context.directory.remove(name, context.now, with_grace=True)
    context.now += seconds
    context.directory.expire(context.now)


@when("{seconds:d} s more pass without a new entry")
def step_no_return(context, seconds):
    context.directory.expire(context.now + seconds)


@given("a plan of version {version:d} with {count:d} servers")
def step_plan(context, version, count):
    incarnations = tuple((f"s{number}", 1) for number in range(1, count + 1))
    context.first_plan = Plan(version, {"p": divide_evenly(incarnations, version)})


@when(
    "a change of version {version:d} based on {base:d} assigns keys {first:d} to {last:d} "
    'to server "{name}"'
)
def step_change(context, version, base, first, last, name):
    keys = KeyRange(first, last, name, 1, version)
    change = PlanChange(base, version, (("p", keys),))
    context.changed = change.apply(context.first_plan)


@then(
    'the plan of version {version:d} assigns key {one:d} to "{first}" and key {other:d} to '
    '"{second}"'
)
def step_owners(context, version, one, first, other, second):
    assert context.changed.version == version
    assert context.changed.owner("p", one).server == first
    assert context.changed.owner("p", other).server == second


@then("its stored form reads back as the same plan")
def step_round_trip(context):
    assert decode_plan(encode_plan(context.changed)) == context.changed


@when('a stored plan is "{value}"')
def step_stored(context, value):
    try:
        context.result = decode_plan(value.encode())
        context.error = None
    except InputError as error:
        context.error = error


@then("reading the stored plan fails")
def step_stored_fails(context):
    assert context.error is not None, context.result
