"""Steps for the state of evacuated domains, the feed, heartbeats and the leader's grants."""

import asyncio
import json
from collections import Counter

from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import LogUnavailableError
from hyssopwood.gateway.evacuations import (
    EvacuationChange,
    EvacuationRecords,
    Evacuations,
    EvacuationState,
    TopicPosition,
)
from hyssopwood.gateway.instance_list import InstanceRecord
from hyssopwood.gateway.server_directory import ServerDirectory
from hyssopwood.keyspace.link import LeaderLink
from hyssopwood.keyspace.link_codec import Heartbeat, Hello, InstanceReport, decode, encode
from hyssopwood.keyspace.plan import NO_PLAN
from hyssopwood.metrics import Metrics
from hyssopwood.platform.evacuation_entries import decode_evacuations
from hyssopwood.platform.feeds import PlatformConfigurationFeed
from hyssopwood.platform.names import OPERATOR_TOPIC
from hyssopwood.platform.store_client import KeyedRecord, StoreClient
from hyssopwood_standins.keyed_store import KeyedStore
from steps.platform_steps import configuration
from support.configuration_series import large_configuration
from support.evacuated_keys import EvacuatingLeader, server_record
from support.virtual_time import VirtualLoop

BOUND_S = 5.0
LARGE_ROUTES = 1400
NAMES = {
    "an empty name": "",
    "a name that is too long": "b" * 257,
    "a name with a line break": "b\n",
    "a name that isn't UTF-8": b"b\xff".decode("utf-8", "replace"),
    "half of a character": "\ud800",
}


def _split(text):
    return [item for item in text.split(",") if item]


def _evacuations(context):
    if "evacuations" not in context:
        context.metrics = Metrics()
        context.evacuations = Evacuations(context.timers, context.metrics)
    return context.evacuations


def _run(context, work):
    """Do work in the event loop, which timers need."""

    async def run():
        work()

    context.run(run())


def _changes(domains):
    return tuple(EvacuationChange(domain, True) for domain in _split(domains))


@when('the topic\'s records "{records}" are applied one read after the other')
def step_records(context, records):
    evacuations = _evacuations(context)
    for offset, text in enumerate(records.split(" ")):
        key, _, value = text.partition("=")
        data = value.encode("latin-1").decode("unicode_escape").encode("latin-1")
        record = KeyedRecord(key, data or None)
        position = TopicPosition(0, offset + 1)
        evacuations.apply(decode_evacuations((record,), position, complete=False))


@when('a record that evacuates {name} is applied, and then one that evacuates "{domain}"')
def step_bad_name(context, name, domain):
    records = tuple(KeyedRecord(f"evacuate/{item}", b"{}") for item in (NAMES[name], domain))
    context.key = records[0].key
    context.rejected = decode_evacuations(records, TopicPosition(0, 2), complete=False).rejected
    _evacuations(context).apply(decode_evacuations(records, TopicPosition(0, 2), complete=False))


@when("{count:d} domains are evacuated")
def step_many(context, count):
    changes = tuple(EvacuationChange(f"d{number}", True) for number in range(count))
    _evacuations(context).apply(EvacuationRecords(changes, TopicPosition(0, count)))


@then("{count:d} domains are evacuated")
def step_count(context, count):
    assert len(context.evacuations.domains) == count


@then("{count:d} records were rejected")
def step_rejected(context, count):
    text = context.metrics.exposition().decode()
    assert f'hyssopwood_evacuations_rejected_total{{label=""}} {count}.0' in text


@then("{count:d} record was rejected and its error names the record's key")
def step_rejected_key(context, count):
    step_rejected(context, count)
    (error,) = context.rejected
    # The key is quoted in a short form.
    assert "evacuate/" in error.faults[0].path, error.faults


@then('the evacuated domains are "{domains}"')
def step_domains(context, domains):
    assert context.evacuations.domains == set(_split(domains)), context.evacuations.domains


@then('the evacuated domains are ""')
def step_no_domains(context):
    assert not context.evacuations.domains, context.evacuations.domains


@given('an instance that has read "{domains}" up to offset {offset:d} of era {era:d}')
def step_read_state(context, domains, offset, era):
    position = TopicPosition(era, offset)
    _evacuations(context).apply(EvacuationRecords(_changes(domains), position, complete=True))


@given('an instance that has read "" up to offset {offset:d} of era {era:d}')
def step_read_empty(context, offset, era):
    step_read_state(context, "", offset, era)


@when('the leader states "{domains}" up to offset {offset:d} of era {era:d}')
def step_state(context, domains, offset, era):
    state = EvacuationState(TopicPosition(era, offset), frozenset(_split(domains)))
    _run(context, lambda: context.evacuations.accept(state))


@when('the leader states "" up to offset {offset:d} of era {era:d}')
def step_state_empty(context, offset, era):
    step_state(context, "", offset, era)


@when('the instance reads that "{domains}" is evacuated up to offset {offset:d} of era {era:d}')
def step_read_more(context, domains, offset, era):
    context.evacuations.apply(EvacuationRecords(_changes(domains), TopicPosition(era, offset)))


@when("a {kind} listing without domains ends at offset {offset:d} of era {era:d}")
def step_listing(context, kind, offset, era):
    position = TopicPosition(era, offset) if kind == "whole" else None
    records = EvacuationRecords((), position, complete=kind == "whole")
    _run(context, lambda: _evacuations(context).apply(records))


@when("nothing else is read")
def step_nothing(context):
    """Leave the state as it is."""


@when("{seconds:g} s pass for the instance")
def step_time(context, seconds):
    context.run(context.timers.advance(seconds))


@then("the state that a leader would send is none")
def step_no_state(context):
    assert context.evacuations.state is None


@then("the state that a leader would send has offset {offset:d}")
def step_state_offset(context, offset):
    assert context.evacuations.state.position.offset == offset


@when('a listing with the domains "{domains}" is applied')
def step_listed(context, domains):
    evacuations = _evacuations(context)
    context.seen = []
    evacuations.subscribe(lambda domain, evacuated: context.seen.append(evacuations.state))
    step_read_state(context, domains, 3, 0)


@then('the first listener call saw the state "{domains}"')
def step_seen(context, domains):
    assert context.seen[0].domains == set(_split(domains)), context.seen


@given('a directory with servers in the domains "{domains}"')
def step_directory(context, domains):
    context.directory = ServerDirectory()
    for domain in _split(domains):
        for number in range(2):
            context.directory.put(server_record(f"{domain}{number}", domain))
    context.before = context.directory.digest(), context.directory.stored_records()
    context.told = []
    context.directory.subscribe(lambda record, removed: context.told.append((record, removed)))


@when('domain "{domain}" becomes evacuated')
def step_set(context, domain):
    context.directory.set_evacuated(domain, True)


@when('domain "{domain}" is no longer evacuated')
def step_unset(context, domain):
    context.told.clear()
    context.directory.set_evacuated(domain, False)


@when('a server of domain "{domain}" registers')
def step_register(context, domain):
    context.directory.put(server_record(f"{domain}0", domain))


@when('the servers of "{domain}" announce that they leave')
def step_leave(context, domain):
    for record in context.directory.stored_records():
        if record.failure_domain == domain:
            context.directory.mark_leaving(record.incarnation)


def _check_draining(directory, expected):
    names = [record.server for record in directory.stored_records()]
    reads = {
        "records": directory.records(),
        "of_service": tuple(directory.of_service("portal")),
        "get": tuple(directory.get(name) for name in names),
        "get_recent": tuple(directory.get_recent(name, 0.0) for name in names),
    }
    for read, records in reads.items():
        found = {record.failure_domain for record in records if record.draining}
        ready = {record.failure_domain for record in records if not record.draining}
        assert found == expected and not ready & expected, (read, found, ready)


@then('every read of the directory returns the servers of "{domain}" alone as draining')
def step_draining(context, domain):
    _check_draining(context.directory, {domain})


@then("every read of the directory returns no server as draining")
def step_none_draining(context):
    _check_draining(context.directory, set())


@then("the digest and the stored records are as before")
def step_unchanged(context):
    digest, records = context.before
    assert (context.directory.digest(), context.directory.stored_records()) == context.before
    # A digest that is first computed during an evacuation is the same.
    directory = ServerDirectory()
    for record in records:
        directory.put(record)
    directory.set_evacuated("b", True)
    assert directory.digest() == digest


@then('the listeners were told of the servers of "{domain}" as {state}')
def step_told(context, domain, state):
    assert len(context.told) == 2, context.told
    for record, removed in context.told:
        assert record.failure_domain == domain and not removed
        assert record.draining == (state == "draining")


class _Feed:
    """A feed of the operator's topic of a stand-in store, and the evacuations it passes on."""

    def __init__(self, context):
        self.store = KeyedStore()
        context.run(self.store.start())
        self.client = StoreClient(self.store.address, Metrics())
        self.feed = PlatformConfigurationFeed(self.client)
        self.feed.subscribe_evacuations(_evacuations(context).apply)
        self.versions = [10]
        context.add_cleanup(lambda: context.run(self.store.stop()))
        context.add_cleanup(lambda: context.run(self.client.close()))

    def put(self, key, value):
        self.store.put(OPERATOR_TOPIC, key, value)

    def put_large(self):
        self.versions.append(self.versions[-1] + 1)
        self.put("config", large_configuration(self.versions[-1], LARGE_ROUTES))


@given("a feed of the operator's topic that has read all of it")
def step_feed(context):
    feed = context.operator = _Feed(context)
    feed.put("config", json.dumps(configuration(10)).encode())
    context.run(feed.feed.next(0.0))


@given('a store whose topic has the evacuation of "{domain}" and a configuration')
def step_topic(context, domain):
    feed = context.operator = _Feed(context)
    feed.put(f"evacuate/{domain}", b"{}")
    feed.put("config", json.dumps(configuration(10)).encode())


@given("the store's next listing fails")
def step_listing_fails(context):
    client = context.operator.client
    newest = client.newest

    async def fail(*arguments):
        client.newest = newest
        raise LogUnavailableError("the listing was lost")

    client.newest = fail


@given("the store's listings are cut off before the first record")
def step_cut_listings(context):
    context.operator.store.faults.page_items = 0


@when("the store's listings are whole again")
def step_whole_listings(context):
    context.operator.store.faults.page_items = 500


@when(
    'a large configuration, the evacuation of "{domain}" and {count:d} large configurations are'
    " written"
)
def step_write_series(context, domain, count):
    context.operator.put_large()
    context.operator.put(f"evacuate/{domain}", b"{}")
    for _ in range(count):
        context.operator.put_large()


@when("the feed reads once")
def step_feed_reads(context):
    context.tables = context.run(context.operator.feed.next(0.0))


@then("the feed returned the last configuration")
def step_feed_returned(context):
    found = [table.version for table in context.tables]
    assert found == [context.operator.versions[-1]], found


def _follower(context, on_evacuations):
    report = InstanceReport({}, {})
    return LeaderLink(
        context.timers,
        lambda: Hello(InstanceRecord("i1", "127.0.0.1:1", "a"), "x"),
        lambda plan, source: True,
        lambda: NO_PLAN,
        lambda: report,
        lambda: report,
        lambda update: None,
        lambda pause: None,
        lambda update: None,
        on_evacuations=on_evacuations,
    )


@then("a heartbeat without evacuations replaces reads unless the follower needs them")
def step_earlier_heartbeat(context):
    heartbeat = decode(encode(Heartbeat(0.1, 5, 0.1, configuration_age_s=0.1)))
    assert heartbeat.evacuations is None
    for needs, replaces in ((None, True), (lambda state: None, False)):
        link = _follower(context, needs)
        link._accept_heartbeat(heartbeat)
        assert (link.configuration_fresh_s() > 0) == replaces


@then('a heartbeat with the evacuations of "{domain}" replaces reads and is decoded as it was sent')
def step_heartbeat(context, domain):
    for position in (TopicPosition(0, 0), TopicPosition(3, 17)):
        state = EvacuationState(position, frozenset({domain}))
        sent = evolve(Heartbeat(0.1, 5, 0.1, configuration_age_s=0.1), evacuations=state)
        heartbeat = decode(encode(sent))
        assert heartbeat.evacuations == state, heartbeat
        link = _follower(context, lambda state: None)
        link._accept_heartbeat(heartbeat)
        assert link.configuration_fresh_s() > 0


def _create_leader(context, domains):
    context.virtual = VirtualLoop()
    context.add_cleanup(context.virtual.close)

    async def create():
        context.leader = EvacuatingLeader(_split(domains), BOUND_S)

    context.virtual.run_until_complete(create())
    context.add_cleanup(lambda: context.virtual.run_until_complete(context.leader.stop()))


@given('a leader that inherits keys of servers in domains "{domains}" from one that may run')
def step_inheriting(context, domains):
    _create_leader(context, domains)


@given('a leader that has confirmed the keys of servers in domains "{domains}"')
def step_confirmed(context, domains):
    _create_leader(context, domains)

    async def confirm():
        await context.leader.start(predecessor_ended=True)
        await asyncio.sleep(2)

    context.virtual.run_until_complete(confirm())


def _evacuate_for_leader(context, domains, seconds):
    leader = context.leader

    async def play():
        context.evacuated_at = leader.timers.now()
        context.moved_before = len(leader.plans)
        changes = tuple(EvacuationChange(domain, True) for domain in domains)
        leader.evacuations.apply(EvacuationRecords(changes, TopicPosition(0, 1), complete=True))
        leader.commands.grants.clear()
        if not leader.started:
            await leader.start(predecessor_ended=False)
        await asyncio.sleep(seconds)

    context.virtual.run_until_complete(play())


@when('domain "{domain}" is evacuated for the leader and {seconds:g} s pass')
def step_leader_evacuates(context, domain, seconds):
    _evacuate_for_leader(context, [domain], seconds)


@when("both domains are evacuated for the leader and {seconds:g} s pass")
def step_leader_evacuates_all(context, seconds):
    _evacuate_for_leader(context, ["a", "b"], seconds)


@when("the evacuations are lifted for the leader and {seconds:g} s pass")
def step_leader_lifts(context, seconds):
    leader = context.leader

    async def play():
        leader.commands.grants.clear()
        records = EvacuationRecords((), TopicPosition(0, 2), complete=True)
        leader.evacuations.apply(records)
        await asyncio.sleep(seconds)

    context.virtual.run_until_complete(play())


def _grants_to(context, domain):
    return [item for item in context.leader.commands.grants if item[1].startswith(domain)]


@then('no server of "{domain}" was granted keys')
def step_no_grants(context, domain):
    assert not _grants_to(context, domain), _grants_to(context, domain)


@then('each server of "{domain}" was granted its keys at most once and within {limit_s:g} s')
def step_few_grants(context, domain, limit_s):
    grants = _grants_to(context, domain)
    assert grants, "the releases would prove nothing"
    assert max(Counter(server for _, server, _ in grants).values()) == 1, grants
    latest = max(at for at, _, _ in grants) - context.evacuated_at
    assert latest <= limit_s, latest


@then('all keys were moved to servers of "{domain}" within {limit_s:g} s')
def step_moved(context, domain, limit_s):
    times = [
        at - context.evacuated_at
        for at, servers in context.leader.plans[context.moved_before :]
        if all(name.startswith(domain) for name in servers)
    ]
    assert times and min(times) <= limit_s, times


@then("every server was granted keys again")
def step_granted_again(context):
    granted = {server for _, server, _ in context.leader.commands.grants}
    expected = {record.server for record in context.leader.directory.records()}
    assert granted == expected, granted
