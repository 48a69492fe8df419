"""Steps for instances whose leader knows the configuration late."""

import asyncio
import struct
import time

from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import LogUnavailableError
from hyssopwood.gateway.instance_list import InstanceRecord
from hyssopwood.keyspace.link import LeaderLink
from hyssopwood.keyspace.link_codec import Heartbeat, Hello, InstanceReport, encode
from hyssopwood.keyspace.plan import NO_PLAN
from hyssopwood.platform.names import NEWEST_PATH, OPERATOR_TOPIC, READ_PATH
from hyssopwood.timers import BootTimers

INTERVAL_S = 0.05
# Difference between the clocks of the leader and its follower.
CLOCK_DIFFERENCE_S = 1000.0
PLAYED_S = 4.0


def _leave_reads_unanswered(client, may_hang):
    """Let a client's reads of the configuration run into their time limit while `may_hang()`."""
    request = client._request

    async def hang(method, path, params, limit_s, **options):
        reads = path in (READ_PATH, NEWEST_PATH) and params["topic"] == OPERATOR_TOPIC
        if reads and may_hang():
            await asyncio.sleep(limit_s)
            raise LogUnavailableError("no answer")
        return await request(method, path, params, limit_s, **options)

    client._request = hang


def _find_leader(context):
    instances = context.deployment.instances.values()
    (context.leader,) = [item for item in instances if item.daemon.is_leader]


@when("the leader's reads of the configuration stay unanswered for {seconds:g} s")
def step_hang(context, seconds):
    _find_leader(context)
    until = time.monotonic() + seconds
    _leave_reads_unanswered(context.leader.client, lambda: time.monotonic() < until)


@when("the leader's next read of the configuration stays unanswered")
def step_hang_once(context):
    _find_leader(context)
    context.hung = asyncio.Event()

    def may_hang():
        first = not context.hung.is_set()
        context.hung.set()
        return first

    _leave_reads_unanswered(context.leader.client, may_hang)


class _UndecodableRecords:
    """A cursor whose next records can't be decoded."""

    def __init__(self, cursor):
        self._cursor = cursor

    @property
    def at_end(self):
        return self._cursor.at_end

    @property
    def transfer(self):
        return self._cursor.transfer

    def return_to_skipped(self):
        self._cursor.return_to_skipped()

    async def next(self, wait_s):
        records, complete = await self._cursor.next(wait_s)
        return tuple(evolve(record, value=b"{") for record in records), complete


@when("the leader can't decode the next configuration")
def step_cannot_decode(context):
    _find_leader(context)
    feed = context.leader.daemon._configuration._feed
    feed._cursor = _UndecodableRecords(feed._cursor)


async def _publish(context, version, names):
    """Publish a configuration without the route, and record the answers of some instances."""
    deployment = context.deployment
    context.statuses = []
    deployment.publish(version, with_route=False)
    published_at = time.monotonic()
    while (elapsed_s := time.monotonic() - published_at) < PLAYED_S:
        for name in names:
            status = await deployment.send(deployment.instances[name], 1)
            context.statuses.append((elapsed_s, name, status))
        await asyncio.sleep(INTERVAL_S)


@when(
    "configuration {version:d} without the route is published while requests go to the other"
    " instances"
)
def step_publish(context, version):
    names = [name for name in context.deployment.instances if name != context.leader.name]

    async def play():
        # The read that was under way when the reads began to hang ends within one poll.
        await asyncio.sleep(1.0)
        await _publish(context, version, names)

    context.run(play())


@when("configuration {version:d} without the route is published at the start of that read")
def step_publish_at_read(context, version):
    async def play():
        await context.hung.wait()
        await _publish(context, version, list(context.deployment.instances))

    context.run(play())


@then("every request sent there {seconds:g} s after the publication or later is answered 404")
def step_in_force(context, seconds):
    late = [item for item in context.statuses if item[0] >= seconds]
    assert late and all(status == 404 for _, _, status in late), late[:3]


class _SendingLeader:
    """Accept one link and send heartbeats over it, each with a delay after the time it states."""

    def __init__(self, heartbeat):
        self.heartbeat = heartbeat
        self.late_s = 0.0
        self.silent = False

    async def serve(self, _, writer):
        due = []
        while True:
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
            due.append((now + self.late_s, now))
            while due and due[0][0] <= now and not self.silent:
                data = encode(self._at(due.pop(0)[1]))
                writer.write(struct.pack(">I", len(data)) + data)
            await asyncio.sleep(INTERVAL_S)

    def _at(self, sent_at):
        if self.heartbeat.configuration_age_s is None:
            return self.heartbeat
        return evolve(self.heartbeat, sent_at=sent_at + CLOCK_DIFFERENCE_S)


async def _link(context):
    server = await asyncio.start_server(context.sending.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    report = InstanceReport({}, {})
    context.link = LeaderLink(
        BootTimers(),
        lambda: Hello(InstanceRecord("i1", "127.0.0.1:1", "a"), "x"),
        lambda plan, source: True,
        lambda: NO_PLAN,
        lambda: report,
        lambda: report,
        lambda update: None,
        lambda pause: None,
        lambda update: None,
    )
    context.heard = []
    follow = context.link.follow(address, lambda beat: context.heard.append(beat) or True)
    context.following = asyncio.ensure_future(follow)


async def _unlink(context):
    context.following.cancel()
    await asyncio.gather(context.following, return_exceptions=True)


def _start_follower(context, heartbeat):
    context.sending = _SendingLeader(heartbeat)
    context.run(_link(context))
    context.add_cleanup(lambda: context.run(_unlink(context)))


@given("a follower of a leader whose heartbeats have a configuration {age}")
def step_follower(context, age):
    age_s = None if "unknown" in age else float(age.split()[2])
    _start_follower(context, Heartbeat(0.1, 5, 0.1, configuration_age_s=age_s))


@when("heartbeats arrive at once for {seconds:g} s and then {late_s:g} s late")
def step_late(context, seconds, late_s):
    async def play():
        await asyncio.sleep(seconds)
        context.sending.late_s = late_s
        await asyncio.sleep(late_s + 4 * INTERVAL_S)

    context.run(play())


@then("the follower takes the leader's configuration to be between {low:g} and {high:g} s old")
def step_age(context, low, high):
    age_s = context.link.configuration_age_s()
    assert low - 0.001 <= age_s <= high, age_s


@given("a follower of a leader whose heartbeats have registrations that are {age_s:g} s old")
def step_follower_of_registrations(context, age_s):
    _start_follower(context, Heartbeat(0.1, 5, age_s, configuration_age_s=0.1))


@when("heartbeats arrive at once for {seconds:g} s and then none for {silent_s:g} s")
def step_silent(context, seconds, silent_s):
    async def play():
        await asyncio.sleep(seconds)
        context.sending.silent = True
        await asyncio.sleep(silent_s)

    context.run(play())


@then("the heartbeat's registrations replace {reads} of the follower")
def step_replace(context, reads):
    assert context.link.heartbeat is not None
    assert (context.link.fresh_heartbeat() is None) == (reads == "no reads")


@then("the leader's configuration replaces no reads of the follower")
def step_unknown(context):
    assert context.link.heartbeat is not None
    assert context.link.configuration_fresh_s() <= 0


@then("the follower takes the leader's confirmation by the store to be at least {low:g} s old")
def step_store_age(context, low):
    assert context.heard[-1].store_age_s >= low - 0.001, context.heard[-1]


@when(
    "answers to reads end before their first record for {seconds:g} s from the publication of"
    " configuration {version:d}"
)
def step_cut_reads(context, seconds, version):
    deployment = context.deployment
    (context.only,) = deployment.instances.values()

    async def play():
        deployment.store.faults.without_records = True
        deployment.publish(version, with_route=False)
        await asyncio.sleep(seconds)
        context.age_s = context.only.daemon._configuration.age.own_age_s()
        deployment.store.faults.without_records = False

    context.run(play())


@then(
    "the instance's knowledge of the newest configuration is {seconds:g} s old or more at the end"
)
def step_old(context, seconds):
    assert context.age_s is None or context.age_s >= seconds, context.age_s


@then("the instance answers {status:d} within {seconds:g} s")
def step_answers(context, status, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while await context.deployment.send(context.only, 1) != status:
                await asyncio.sleep(INTERVAL_S)

    context.run(wait())
