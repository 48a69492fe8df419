"""Steps for large configurations in series, and other large answers, over narrow links."""

import asyncio
import contextlib
import struct
import time

from behave import given, then, when

from hyssopwood.errors import LogUnavailableError, PeerUnavailableError
from hyssopwood.gateway.instance_list import InstanceRecord
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.store_availability import TOLERATED_FAILURES, StoreAvailability
from hyssopwood.keyspace.link import LeaderLink
from hyssopwood.keyspace.link_codec import Heartbeat, Hello, InstanceReport, ServerUpdate, encode
from hyssopwood.keyspace.plan import NO_PLAN
from hyssopwood.metrics import Metrics
from hyssopwood.platform.feeds import PlatformConfigurationFeed
from hyssopwood.platform.names import OPERATOR_TOPIC
from hyssopwood.platform.store_client import StoreClient
from hyssopwood.timers import BootTimers
from hyssopwood_standins.keyed_store import KeyedStore
from support.configuration_series import (
    Disturbance,
    NarrowDeployment,
    Series,
    large_configuration,
)
from support.narrow_link import NarrowLink

FIRST_VERSION = 10
PIECES = 40


def _parse_disturbances(text):
    if text == "nothing":
        return ()
    items = [part.split(" at ") for part in text.split(" and ")]
    return tuple(Disturbance(float(at), kind) for kind, at in items)


@given("instances with links of {mbit_s:g} Mbit/s to the store")
def step_narrow_links(context, mbit_s):
    deployment = context.deployment = NarrowDeployment(mbit_s)
    context.add_cleanup(lambda: context.run(deployment.stop()))
    context.run(deployment.start(["s1", "s2", "s3"], ["i1", "i2", "i3"]))


@when(
    "{count:d} versions with {routes:d} more routes are published every {interval_s:g} s, with"
    " {disturbances}"
)
def step_series(context, count, routes, interval_s, disturbances):
    context.series = Series(context.deployment)
    context.run(context.series.play(count, interval_s, routes, _parse_disturbances(disturbances)))


@then(
    "each version or a later one is in force at each instance {bound_s:g} s after its publication,"
    " or {contact_s:g} s after connections were last lost"
)
def step_in_force_in_time(context, bound_s, contact_s):
    assert len(context.series.taken()) >= 3
    late = context.series.late(bound_s, contact_s)
    assert not late, (len(late), late[:3])


class _NarrowStore:
    """A store with configurations, and a client that reaches it over a narrow link."""

    def __init__(self):
        self.store = KeyedStore()
        self.published = 0

    async def start(self, mbit_s):
        await self.store.start()
        self.link = NarrowLink(self.store.address, mbit_s)
        await self.link.start()
        self.client = StoreClient(self.link.address, Metrics())

    async def stop(self):
        await self.client.close()
        await self.link.stop()
        await self.store.stop()

    def publish(self, count, routes=1400):
        for _ in range(count):
            self.put(large_configuration(FIRST_VERSION + self.published, routes))
            self.published += 1

    def put(self, document):
        self.document_bytes = len(document)
        self.store.put(OPERATOR_TOPIC, "config", document)


@given(
    "a store with {count:d} configuration with {routes:d} more routes behind a link of {mbit_s:g}"
    " Mbit/s"
)
@given(
    "a store with {count:d} configurations with {routes:d} more routes behind a link of {mbit_s:g}"
    " Mbit/s"
)
def step_narrow_store(context, count, routes, mbit_s):
    narrow = context.narrow = _NarrowStore()
    context.add_cleanup(lambda: context.run(narrow.stop()))
    context.run(narrow.start(mbit_s))
    narrow.publish(count, routes)


async def _read_all(context, call):
    began = time.monotonic()
    try:
        context.page, context.error = await call(), None
    except LogUnavailableError as error:
        context.page, context.error = None, error
    context.read_s = time.monotonic() - began


@when("all records are read while the link {does}")
def step_read_all(context, does):
    narrow = context.narrow

    async def play():
        reading = asyncio.ensure_future(
            _read_all(context, lambda: narrow.client.read(OPERATOR_TOPIC, 0, 0.0))
        )
        if does != "goes on":
            await asyncio.sleep(float(does.split()[-2]))
            narrow.link.silence()
        await reading

    context.run(play())


@when("calls fail until the store counts as unavailable, and all records are read")
def step_probe(context):
    availability = StoreAvailability(BootTimers())
    for _ in range(TOLERATED_FAILURES + 1):
        availability.record_failure(float("inf"))
    assert availability.unavailable
    client = context.narrow.client
    context.run(
        _read_all(context, lambda: availability.call(lambda: client.read(OPERATOR_TOPIC, 0, 0.0)))
    )


@then("the read {ends} within {limit_s:g} s")
def step_read_ends(context, ends, limit_s):
    if ends == "returns all of them":
        assert context.error is None, context.error
        assert len(context.page.records) == context.narrow.published
    else:
        assert context.error is not None
    assert context.read_s < limit_s, context.read_s


@given("a reader of configurations that has read it")
def step_reader(context):
    context.feed = PlatformConfigurationFeed(context.narrow.client)
    (table,) = context.run(context.feed.next(0.0))
    assert table.version == FIRST_VERSION


@when("{count:d} more of these are published and the reader reads again")
def step_read_again(context, count):
    context.narrow.publish(count)
    before = context.narrow.link.forwarded
    context.tables = context.run(context.feed.next(0.0))
    context.forwarded = context.narrow.link.forwarded - before


@when("{count:d} more of these and an unusable one are published and the reader reads twice")
def step_read_unusable(context, count):
    context.narrow.publish(count)
    context.narrow.put(b"{" * context.narrow.document_bytes)
    first = context.run(context.feed.next(0.0))
    assert first == () and not context.feed.at_end
    context.tables = context.run(context.feed.next(0.0))


@then("it returns version {version:d} alone, and {more}")
def step_returned(context, version, more):
    assert [table.version for table in context.tables] == [version], context.tables
    if "rejected" in more:
        assert context.feed.newest_rejected
    else:
        assert context.forwarded < 2 * context.narrow.document_bytes, context.forwarded


class _SlowLeader:
    """Send all registrations slowly, or a part of them only, after a first heartbeat."""

    def __init__(self, count, whole):
        self.update = ServerUpdate(tuple(_record(n) for n in range(count)), complete=True)
        self.whole = whole
        self.links = 0
        self.writers = []

    async def serve(self, _, writer):
        self.links += 1
        self.writers.append(writer)
        writer.write(_frame(Heartbeat(0.1, 5, 0.1)))
        frame = _frame(self.update)
        size = -(-len(frame) // PIECES)
        sent = PIECES if self.whole else PIECES // 2
        for number in range(sent):
            writer.write(frame[number * size : (number + 1) * size])
            await asyncio.sleep(1.8 / PIECES)
        while self.whole:
            writer.write(_frame(Heartbeat(0.1, 5, 0.1)))
            await asyncio.sleep(0.3)
        await asyncio.Event().wait()


def _frame(message):
    data = encode(message)
    return struct.pack(">I", len(data)) + data


def _record(number):
    return ServerRecord(
        server=f"i-{number:010x}",
        service="catalogue",
        address=f"10.128.0.9:{number + 8000}",
        failure_domain="laventille",
        slots=2,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1_773_027_576_360 + number,
        sequence=1,
    )


@given("a leader that sends {count:d} registrations within 2 s of each link")
def step_slow_leader(context, count):
    context.leader = _SlowLeader(count, whole=True)


@given("a leader that falls silent within a message of registrations")
def step_silent_leader(context):
    context.leader = _SlowLeader(500, whole=False)


async def _follow(context, seconds):
    server = await asyncio.start_server(context.leader.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    report = InstanceReport({}, {})
    context.received, context.lost_after_s = [], []
    link = LeaderLink(
        BootTimers(),
        lambda: Hello(InstanceRecord("i1", "127.0.0.1:1", "a"), "x"),
        lambda plan, source: True,
        lambda: NO_PLAN,
        lambda: report,
        lambda: report,
        lambda update: context.received.extend(update.present),
        lambda pause: None,
        lambda update: None,
    )
    began = time.monotonic()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while True:
                try:
                    await link.follow(address, lambda heartbeat: True)
                except PeerUnavailableError:
                    context.lost_after_s.append(time.monotonic() - began)
    server.close()
    for writer in context.leader.writers:
        writer.transport.abort()


@when("an instance follows it for {seconds:g} s")
def step_follow(context, seconds):
    context.run(_follow(context, seconds))


@then("the instance has linked once and has received {count:d} registrations")
def step_linked_once(context, count):
    assert context.leader.links == 1, context.leader.links
    assert len(context.received) == count, len(context.received)


@then("the instance has lost its link within {limit_s:g} s")
def step_link_lost(context, limit_s):
    # The last byte comes 0.9 s after the link.
    assert context.lost_after_s and context.lost_after_s[0] < 0.9 + limit_s, context.lost_after_s
