"""Steps for the queues that all instances share."""

import asyncio
import random
from contextlib import suppress
from unittest.mock import patch

import uvloop
from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import LogUnavailableError, PeerUnavailableError
from hyssopwood.gateway.crash_suspects import CrashReport
from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, InstanceUpdate
from hyssopwood.gateway.queue_keeper import QueueKeeper
from hyssopwood.gateway.queue_link import Admission, QueueLink
from hyssopwood.gateway.queue_messages import Ask, Done, Leads, QueueName, decode
from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.shared_queue import (
    Granted,
    Queued,
    QueuedRequest,
    QueueServer,
    Rejected,
    SharedQueue,
)
from hyssopwood.gateway.silent_peers import SilentPeers
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace import link
from hyssopwood.keyspace.leadership import Leadership, LeadershipDependencies
from hyssopwood.keyspace.link import LEADER_STALE_S, LeaderLink, LeaderStatus, LinkServer
from hyssopwood.keyspace.link_codec import Heartbeat, Hello, InstanceReport
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, Leader, Plan, PlanChange
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.metrics import Metrics
from hyssopwood.timers import SystemTimers
from support.gateway_deployment import free_addresses

# Interval at which instances without a link follow the leader again; they poll the store meanwhile.
RELINK_INTERVAL_S = 0.2
OBSERVE_INTERVAL_S = 0.02
EXTRA_RETRIES = 56
SERVICE = "portal"
QUEUE = QueueName(SERVICE, "a", "s1", 1)


def _record(name, slots):
    return ServerRecord(
        server=name,
        service=SERVICE,
        address="127.0.0.1:1",
        failure_domain="a",
        slots=slots,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


def _request(context, ticket, priority=0, target_s=60.0, deadline_s=60.0, **more):
    return QueuedRequest(
        ticket=ticket,
        priority=priority,
        target=context.now + target_s,
        deadline=context.now + deadline_s,
        **more,
    )


@given('a queue for servers "{names}" with {slots:d} slots')
def step_queue(context, names, slots):
    context.now = 1000.0
    context.records = {name: QueueServer(_record(name, slots)) for name in names.split(",")}
    context.queue = SharedQueue(lambda: context.records.values())
    context.admitted = []
    context.queued = []


@given("the servers work {seconds:g} s on a request")
def step_service_time(context, seconds):
    for number in range(200):
        ticket = f"sample{number}"
        context.queue.enter(_request(context, ticket), context.now)
        context.queue.release(ticket, seconds, None, context.now)


def _enter(context, request):
    context.decision = context.queue.enter(request, context.now)
    context.ticket = request.ticket
    if isinstance(context.decision, Granted):
        context.admitted.append(request.ticket)
    elif isinstance(context.decision, Queued):
        context.queued.append(request.ticket)


def _advance(context):
    for ticket in context.queue.expire(context.now):
        context.admitted.remove(ticket)
    decided = context.queue.advance(context.now)
    for ticket, decision in decided:
        context.queued.remove(ticket)
        if isinstance(decision, Granted):
            context.admitted.append(ticket)
        if ticket == context.ticket:
            context.decision = decision
    return [ticket for ticket, decision in decided if isinstance(decision, Granted)]


@when("{count:d} requests enter")
def step_enter(context, count):
    for number in range(count):
        _enter(context, _request(context, f"r{number}"))


@when("one admission is released")
@when("an admission is released with no report")
def step_release_in_queue(context):
    context.queue.release(context.admitted.pop(0), None, None, context.now)
    _advance(context)


@when("an admission is released with a report of {running:d} running and {waiting:d} waiting")
def step_release_with_report(context, running, waiting):
    load = ServerLoad(running, waiting, 2)
    context.queue.release(context.admitted.pop(0), None, load, context.now)
    _advance(context)


@when("{seconds:g} s pass in the queue")
def step_pass(context, seconds):
    context.now += seconds
    _advance(context)


@then("{count:d} of them are admitted")
def step_admitted(context, count):
    assert len(context.admitted) == count, context.admitted


@when('requests "{text}" enter and the admissions are released one by one')
def step_order(context, text):
    for item in text.split(","):
        name, priority = item[:-1], int(item[-1])
        target_s = 0.0 if name == "late" else 60.0
        _enter(context, _request(context, name, priority, target_s))
    context.order = []
    while context.admitted:
        context.queue.release(context.admitted.pop(0), None, None, context.now)
        context.order += _advance(context)


@then('they are admitted in the order "{order}"')
def step_in_order(context, order):
    assert ",".join(context.order) == order, context.order


@when("a request with {seconds:g} s left enters")
def step_short_deadline(context, seconds):
    _enter(context, _request(context, f"left{seconds}", deadline_s=seconds))


@when("a request that may wait {seconds:g} s enters")
def step_may_wait(context, seconds):
    _enter(context, _request(context, "picky", max_wait_s=seconds))


@then("it is rejected")
def step_rejected(context):
    assert isinstance(context.decision, Rejected), context.decision


@then("it waits")
def step_waits(context):
    assert isinstance(context.decision, Queued), context.decision


@when("the waiting request is withdrawn")
def step_withdraw(context):
    context.queue.withdraw(context.queued.pop())


@given('server "{name}" is {state}')
def step_server_state(context, name, state):
    server = context.records[name]
    if state == "suspected":
        context.records[name] = evolve(server, suspect=True)
    elif state == "warming":
        context.records[name] = QueueServer(evolve(server.record, warmup_left_s=2.0))
    elif state == "slow":
        every, context.records = context.records, {name: server}
        step_service_time(context, 0.5)
        context.records = every
    else:
        assert state == "healthy", state


@when('a request enters that was tried at "{tried}"')
def step_tried(context, tried):
    servers = frozenset() if tried == "-" else frozenset(tried.split(","))
    _enter(context, _request(context, "again", tried=servers))


@then('it is admitted at "{name}" or, without one, is rejected')
def step_admitted_at(context, name):
    if name == "-":
        step_rejected(context)
        return
    assert context.decision == Granted(context.records[name].record), context.decision


class _Instance:
    """The queue keeper and queue link of one instance, with datagrams that can be lost."""

    def __init__(self, name, address, slots):
        self.record = InstanceRecord(name, address, "a")
        self.timers = SystemTimers()
        self.directory = ServerDirectory()
        self.directory.put(_record("s1", slots))
        health = ServerHealth(self.timers)
        self.limits = ServerLimits(self.timers, Metrics())
        self.keeper = QueueKeeper(
            self.directory, health, self.limits, lambda incarnation: 0, self.timers
        )
        self.instances = InstanceList(self.record)
        self.announcements = []
        self.link = QueueLink(
            address,
            name,
            self.instances,
            self.keeper,
            self.timers,
            Metrics(),
            self.announcements.append,
        )
        self.losses = {}
        self.silent = False

    async def start(self):
        await self.link.start()
        send = self.link._transport.sendto

        def lossy(data, address):
            kind = type(decode(data)[1]).__name__
            if self.silent or self.losses.get(kind, 0) > 0:
                self.losses[kind] = self.losses.get(kind, 0) - 1
                return
            send(data, address)

        self.link._transport = _Lossy(self.link._transport, lossy)
        self.tasks = [
            asyncio.ensure_future(self.keeper.run()),
            asyncio.ensure_future(self.link.run()),
        ]


class _Lossy:
    def __init__(self, transport, sendto):
        self._transport = transport
        self.sendto = sendto

    def is_closing(self):
        return self._transport.is_closing()

    def close(self):
        self._transport.close()


@given('instances "{names}" that know each other and server "s1" with {slots:d} slots')
def step_instances(context, names, slots):
    names = names.split(",")
    context.instances = [
        _Instance(name, address, slots)
        for name, address in zip(names, free_addresses(len(names)), strict=True)
    ]
    update = InstanceUpdate(tuple(item.record for item in context.instances), complete=True)

    async def start():
        for item in context.instances:
            item.instances.apply(update)
            await item.start()

    context.run(start())
    context.add_cleanup(lambda: context.run(_stop(context)))
    ranked = context.instances[0].instances.ranked(str(QUEUE), "a")
    context.queue_keeper_instance = next(i for i in context.instances if i.record == ranked[0])
    context.other = next(i for i in context.instances if i is not context.queue_keeper_instance)


async def _stop(context):
    for item in context.instances:
        item.link.close()
        for task in item.tasks:
            task.cancel()
        await asyncio.gather(*item.tasks, return_exceptions=True)


def _ask():
    return Ask(queue=QUEUE, priority=0, target_s=10.0, deadline_s=10.0)


@when("{count:d} requests ask for admission, each at the next instance")
def step_ask_each(context, count):
    context.asks = []

    async def ask():
        for number in range(count):
            instance = context.instances[number % len(context.instances)]
            context.asks.append((instance, asyncio.ensure_future(instance.link.acquire(_ask()))))
        await asyncio.sleep(0.1)

    context.run(ask())


@when("{count:d} requests of the other instance and one of the keeper ask for admission")
def step_ask_both(context, count):
    async def ask():
        context.asks = []
        for instance in [context.other] * count + [context.queue_keeper_instance]:
            context.asks.append((instance, asyncio.ensure_future(instance.link.acquire(_ask()))))
            await asyncio.sleep(0.02)

    context.run(ask())


@when("the keeper stops and {seconds:g} s pass")
def step_keeper_stops(context, seconds):
    context.queue_keeper_instance.link.declining = True
    context.run(asyncio.sleep(seconds))


@then("{count:d} requests are admitted, counted over all instances")
def step_admitted_in_all(context, count):
    assert sum(task.done() for _, task in context.asks) == count


@then("one instance keeps all of them")
def step_one_keeper(context):
    counts = sorted(item.keeper.request_count for item in context.instances)
    assert counts == [0, len(context.asks)], counts


@when("all of them release their admissions as they get them")
def step_release_all(context):
    async def use(instance, task):
        admission = await task
        assert isinstance(admission, Admission), admission
        instance.link.release(admission, Done(0.01))
        return admission

    async def use_all():
        async with asyncio.timeout(2):
            return await asyncio.gather(*(use(*item) for item in context.asks))

    context.admissions = context.run(use_all())
    context.run(asyncio.sleep(0.1))


@then("{count:d} requests were admitted and none is left")
def step_were_admitted(context, count):
    assert len(context.admissions) == count
    assert not any(item.keeper.request_count for item in context.instances)


@given("the instance that keeps the queue is {state}")
def step_keeper_state(context, state):
    if state == "silent":
        context.queue_keeper_instance.silent = True
    elif state == "stopping":
        context.queue_keeper_instance.link.declining = True
    else:
        assert state == "unaware", state
        context.queue_keeper_instance.directory.remove("s1", 0.0, with_grace=False)


@when("{rate:d} requests a second ask the other instance for admission for {seconds:d} s")
def step_ask_for_long(context, rate, seconds):
    async def ask():
        began = asyncio.get_running_loop().time()
        admission = await context.other.link.acquire(_ask())
        waited = asyncio.get_running_loop().time() - began
        context.other.link.release(admission, Done(0.01))
        return waited

    async def ask_all():
        asks = []
        for _ in range(rate * seconds):
            asks.append(asyncio.ensure_future(ask()))
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*asks)

    context.waits = context.run(ask_all())


@then("at most {count:d} of them waited more than {seconds:g} s for admission")
def step_few_waited(context, count, seconds):
    waited = sum(item > seconds for item in context.waits)
    assert 0 < waited <= count, waited


@when("the instance that keeps the queue answers again and {seconds:d} s pass")
def step_answers_again(context, seconds):
    context.queue_keeper_instance.silent = False
    context.run(asyncio.sleep(seconds))


@then("the next request is admitted by that instance")
def step_admitted_by(context):
    admission = context.run(context.other.link.acquire(_ask()))
    assert admission.keeper == context.queue_keeper_instance.record, admission.keeper
    context.other.link.release(admission, Done())


class _ManualClock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


@given("a peer that was silent at {at:g} s")
def step_silent_peer(context, at):
    context.clock = _ManualClock()
    context.peers = SilentPeers(context.clock)
    step_silent_again(context, at)


@when("it is silent again at {at:g} s")
def step_silent_again(context, at):
    context.clock.time = at
    context.peers.record_silence("peer:1")


@when("a message of it arrives at {at:g} s")
def step_message_arrives(context, at):
    context.clock.time = at
    context.peers.record_message("peer:1")


@then("of asks at these times only some are let through")
def step_let_through(context):
    for row in context.table:
        context.clock.time = float(row["at"])
        assert context.peers.may_ask("peer:1") is (row["let through"] == "yes"), row


@given('the first {count:d} datagrams of kind "{kind}" are lost')
def step_losses(context, count, kind):
    for item in context.instances:
        item.losses[kind] = count


@when("a request asks for admission at the other instance")
def step_ask_other(context):
    async def ask():
        began = context.other.timers.now()
        async with asyncio.timeout(2):
            admission = await context.other.link.acquire(_ask())
        return admission, context.other.timers.now() - began

    context.admission, context.elapsed_s = context.run(ask())


@then("it is admitted within {seconds:g} s")
def step_admitted_within(context, seconds):
    assert isinstance(context.admission, Admission), context.admission
    assert context.elapsed_s <= seconds, context.elapsed_s


@when("it releases its admission")
def step_release(context):
    async def release():
        context.other.link.release(context.admission, Done())

    context.run(release())


@then("no admission is held after {seconds:g} s")
def step_none_held(context, seconds):
    context.run(asyncio.sleep(seconds))
    assert not any(item.keeper.request_count for item in context.instances)
    assert not any(item.link._releases for item in context.instances)


@when("{count:d} requests ask for admission at the other instance and are cancelled")
def step_cancel(context, count):
    async def ask_and_cancel():
        tasks = [asyncio.ensure_future(context.other.link.acquire(_ask())) for _ in range(count)]
        # The first ask has not been answered yet; the last one will be queued.
        tasks[0].cancel()
        await asyncio.sleep(0.1)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Admission):
                context.other.link.release(result, Done())

    context.run(ask_and_cancel())


@when("malformed datagrams are sent to the instance that keeps the queue")
def step_malformed(context):
    async def send():
        host, _, port = context.queue_keeper_instance.record.address.rpartition(":")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(host, int(port))
        )
        for data in (b"", b"\x00", b"\xff" * 60, b"\x10\x01\x01" * 30):
            transport.sendto(data)
        await asyncio.sleep(0.05)
        transport.close()

    context.run(send())


@given('a list of instances "{text}" sent by a leader')
def step_list(context, text):
    pairs = [item.split(":") for item in text.split(",")]
    records = [InstanceRecord(name, f"{name}:1", domain) for name, domain in pairs]
    context.lists = [InstanceList(record) for record in records]
    for item in context.lists:
        item.apply(InstanceUpdate(tuple(records), complete=True))
    context.queue_keepers = _keepers(context)


def _keepers(context):
    return [context.lists[0].ranked(f"q{n}", "a")[0].instance for n in range(50)]


@then('the keeper of "{queue}" in domain "{domain}" is "{name}"')
def step_keeper_is(context, queue, domain, name):
    assert context.lists[0].ranked(queue, domain)[0].instance == name


@then('the keeper of "{queue}" in domain "{domain}" is one of "{names}"')
def step_keeper_one_of(context, queue, domain, names):
    assert context.lists[0].ranked(queue, domain)[0].instance in names.split(",")


@then("all instances agree on the keeper of {count:d} queues")
def step_agree(context, count):
    for number in range(count):
        firsts = {item.ranked(f"q{number}", "a")[0].instance for item in context.lists}
        assert len(firsts) == 1, firsts


@when('instance "{name}" is reported to have left')
def step_left(context, name):
    context.lists[0].apply(InstanceUpdate((), (name,)))


@then('of {count:d} queues in domain "a" none has another keeper than before')
def step_same_keepers(context, count):
    assert len(context.queue_keepers) == count
    assert _keepers(context) == context.queue_keepers
    assert len(set(context.queue_keepers)) == 2


class _LinkedInstance:
    """An instance that follows a leader and applies its instance list."""

    def __init__(self, name, leader_address, timers):
        self.leader_address = leader_address
        self.record = InstanceRecord(name, f"{name}:1", "a")
        self.instances = InstanceList(self.record)
        self.updates = []
        self.plan = None
        self.link = LeaderLink(
            timers,
            self._hello,
            self._offer,
            lambda: self.plan,
            lambda: InstanceReport({}, {}),
            self._next_report,
            self.updates.append,
            lambda pause: None,
            self.instances.apply,
            lambda suspects: None,
            lambda: self.shown_count or self.instances.count,
        )
        self.lost = ()
        self.reports = 0
        self.shown_count = 0
        self.task = asyncio.ensure_future(self.link.follow(leader_address, lambda heartbeat: True))

    async def follow_while_confirmed(self):
        """Leave the leader at each heartbeat without a recent confirmation, then link again."""
        while True:
            with suppress(PeerUnavailableError):
                await self.link.follow(
                    self.leader_address, lambda heartbeat: heartbeat.store_age_s < LEADER_STALE_S
                )
            await asyncio.sleep(RELINK_INTERVAL_S)

    def _offer(self, plan, source):
        self.plan = plan
        return True

    def _hello(self):
        return Hello(self.record, "1", -1, self.instances.digest())

    def _next_report(self):
        self.reports += 1
        lost, self.lost = self.lost, ()
        return InstanceReport({}, {}, CrashReport(lost))


@given('a leader with links of instances "{names}"')
def step_leader(context, names):
    context.loop_of_links = uvloop.new_event_loop()
    context.failures = []
    context.announced = []
    context.reported = []
    context.store_age_s = 0.0
    context.loop_of_links.set_exception_handler(
        lambda loop, failure: context.failures.append(failure)
    )
    timers = SystemTimers()
    (address,) = free_addresses(1)
    context.leader_list = InstanceList(InstanceRecord("leader", address, "a"))
    context.link_server = LinkServer(
        address,
        timers,
        lambda: LeaderStatus(context.store_age_s, 1, 0.0, 7, -1),
        lambda: None,
        lambda: tuple(_record(f"s{number}", 2) for number in range(400)),
        context.reported.append,
        lambda hello: None,
        context.leader_list,
        context.announced.append,
    )

    async def start():
        context.listener = await context.link_server.start()
        context.linked = {name: _LinkedInstance(name, address, timers) for name in names.split(",")}
        await asyncio.sleep(0.1)

    context.loop_of_links.run_until_complete(start())


@when('instance "{name}" has lost a request and nothing else to report')
def step_lost_request(context, name):
    context.linked[name].lost = ((7, ("s1", 1)),)
    context.loop_of_links.run_until_complete(asyncio.sleep(0.4))


@then("the leader has received a report of that request")
def step_reported(context):
    assert [report.crashes.lost for report in context.reported if report.crashes.lost] == [
        ((7, ("s1", 1)),)
    ]


@when("{count:d} instances are known and {seconds:g} s pass")
def step_many_instances(context, count, seconds):
    for item in context.linked.values():
        item.shown_count, item.reports = count, 0
    # Links without heartbeats are considered lost.
    step_heartbeats(context, seconds)


@then("each instance has reported {least:d} to {most:d} times")
def step_report_count(context, least, most):
    counts = [item.reports for item in context.linked.values()]
    assert all(least <= count <= most for count in counts), counts


@when('the links of instances "{names}" are reset at the same moment')
def step_reset_links(context, names):
    async def reset():
        for writer, instance in context.link_server._writers.items():
            if instance in names.split(","):
                writer.transport.abort()
        await asyncio.sleep(0.1)
        # Changes of the instance list are sent with the next heartbeat.
        context.link_server.send_heartbeat()
        await asyncio.sleep(0.1)
        context.listener.close()
        context.listed = sorted(item.instance for item in context.leader_list.records())
        received = {name: item.instances.records() for name, item in context.linked.items()}
        tasks = [item.task for item in context.linked.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return received

    context.received_lists = context.loop_of_links.run_until_complete(reset())
    context.loop_of_links.close()


@then('the leader\'s list names "{names}"')
def step_leader_list(context, names):
    assert ",".join(context.listed) == names, context.listed


@then('instance "{name}" was informed that "{left}" left')
def step_informed(context, name, left):
    listed = {item.instance for item in context.received_lists[name]}
    assert "leader" in listed and not listed & set(left.split(",")), listed


@given("the instances leave a leader that the store doesn't confirm, and link again")
def step_follow_while_confirmed(context):
    async def start():
        for item in context.linked.values():
            item.task.cancel()
        await asyncio.gather(
            *(item.task for item in context.linked.values()), return_exceptions=True
        )
        for item in context.linked.values():
            item.task = asyncio.ensure_future(item.follow_while_confirmed())
        await asyncio.sleep(0.1)

    context.loop_of_links.run_until_complete(start())


@when("{seconds:g} s pass in which the store {confirms} the leader")
def step_outage(context, seconds, confirms):
    context.store_age_s = {"confirms": 0.0, "doesn't confirm": LEADER_STALE_S + 0.1}[confirms]
    lists = [context.leader_list, *(item.instances for item in context.linked.values())]
    context.counts, context.shares, context.keeper_counts = [], [], []

    async def observe():
        running = asyncio.ensure_future(context.link_server.run())
        for _ in range(int(seconds / OBSERVE_INTERVAL_S)):
            await asyncio.sleep(OBSERVE_INTERVAL_S)
            context.counts.append(tuple(item.count for item in lists))
            context.shares.append(sum(_extra_retries(item) for item in lists))
            keepers = {item.ranked("q", "a")[0].instance for item in lists}
            context.keeper_counts.append(len(keepers))
        running.cancel()

    context.loop_of_links.run_until_complete(observe())


def _extra_retries(instances):
    """Return the retries that an instance may send without first sends."""
    return RetryBudget(0.2, EXTRA_RETRIES, 10.0, lambda: instances.count).available(0.0)


@then("all instances together may always send at most {share:g} of the extra retries")
def step_extra_retries(context, share):
    most = max(context.shares)
    assert most <= share * EXTRA_RETRIES + 1e-6, (most, sorted(set(context.counts)))


@then("all instances always agree on the keeper of a queue")
def step_one_keeper(context):
    assert set(context.keeper_counts) == {1}, context.keeper_counts


@then("every list of instances now has {count:d} instances")
def step_list_lengths(context, count):
    counts = context.counts[-1]
    assert set(counts) == {count}, counts


@when('instance "{name}" ends')
def step_instance_ends(context, name):
    context.linked.pop(name).task.cancel()
    context.loop_of_links.run_until_complete(asyncio.sleep(0.1))


@then("no task of the leader failed")
def step_no_failure(context):
    assert not context.failures, context.failures


@when("the leader has sent heartbeats for {seconds:g} s")
def step_heartbeats(context, seconds):
    sent = context.sent = []
    frame = link._frame

    def count(message):
        data = frame(message)
        sent.append((type(message).__name__, len(data)))
        return data

    async def send_heartbeats():
        running = asyncio.ensure_future(context.link_server.run())
        await asyncio.sleep(seconds)
        running.cancel()

    with patch.object(link, "_frame", count):
        context.loop_of_links.run_until_complete(send_heartbeats())


@when('instance "{name}" requests all registrations')
def step_request_registrations(context, name):
    context.loop_of_links.call_soon(context.linked[name].link.request_servers)


@then('only instance "{name}" was sent registrations')
def step_sent_registrations(context, name):
    for other, item in context.linked.items():
        assert len(item.updates) == (other == name), (other, len(item.updates))
    assert len(context.linked[name].updates[0].present) == 400


@then("no other message had more than {most:d} bytes")
def step_small(context, most):
    assert len([kind for kind, _ in context.sent if kind == "Heartbeat"]) >= 2
    large = {kind for kind, size in context.sent if size > most}
    assert large == {"ServerUpdate"}, large


@when("the leader publishes changes of the plan from {text}")
def step_publish_changes(context, text):
    async def publish():
        for item in text.split(", "):
            base, version = (int(number) for number in item.split(" to "))
            keys = KeyRange(0, KEY_COUNT - 1, f"s{version}", 1, version)
            context.link_server.publish(PlanChange(base, version, ((SERVICE, keys),)))
        await asyncio.sleep(0.1)

    context.loop_of_links.run_until_complete(publish())


@then("every linked instance has plan {version:d}")
def step_plan_version(context, version):
    plans = {name: item.plan and item.plan.version for name, item in context.linked.items()}
    assert set(plans.values()) == {version}, plans


@then("an instance that links with plan {version:d} gets plan {newest:d}")
def step_late_link(context, version, newest):
    async def follow():
        address = context.listener.sockets[0].getsockname()
        late = _LinkedInstance("late", f"{address[0]}:{address[1]}", SystemTimers())
        late.plan = Plan(version, {})
        late._hello = lambda: Hello(late.record, "1", version, 0)
        late.link._hello = late._hello
        await asyncio.sleep(0.1)
        late.task.cancel()
        return late.plan.version

    assert context.loop_of_links.run_until_complete(follow()) == newest


@when('instances "{names}" were known to the leader before and the leader sends heartbeats')
def step_known_before(context, names):
    records = tuple(InstanceRecord(name, f"{name}:1", "a") for name in names.split(","))
    context.leader_list.apply(InstanceUpdate(records))
    step_heartbeats(context, 0.7)


@then('the leader announced itself to instances "{names}" and no other')
def step_announced(context, names):
    assert set(context.announced) == {f"{name}:1" for name in names.split(",")}


@when("the claim of leader {name} at {claim:d} is announced to the other instance by datagram")
def step_announce(context, name, claim):
    context.leads = Leads(Leader(name, "1", f"{name}:1"), claim)
    context.queue_keeper_instance.link.announce(context.other.record.address, context.leads)
    context.run(asyncio.sleep(0.05))


@then("the other instance has received the announcement")
def step_announcement_received(context):
    assert context.other.announcements == [context.leads]


class _SilentStore:
    async def load(self):
        raise LogUnavailableError("refused")


class _FollowedLink:
    """A leader link that records the followed addresses and stays until a heartbeat ends it."""

    def __init__(self):
        self.followed = []
        # A leader's plan is at least as new as its claim.
        self.versions = {"i2:1": 10, "i3:1": 13}

    async def follow(self, address, stay):
        self.followed.append(address)
        while stay(Heartbeat(0.0, plan_version=self.versions[address])):
            await asyncio.sleep(0.05)

    def request_plan(self):
        pass


@given("an instance that the store refuses")
def step_refused_instance(context):
    timers = SystemTimers()
    context.followed_link = _FollowedLink()
    context.refused = Leadership(
        LeadershipDependencies(
            store=_SilentStore(),
            identity=Leader("i1", "1", "i1:1"),
            view=PlanView(timers),
            link=context.followed_link,
            timers=timers,
            rng=random.Random(1),
            availability=StoreAvailability(timers),
            lead=lambda claim: None,
            may_lead=lambda: True,
        )
    )

    async def start():
        context.refused_task = asyncio.ensure_future(context.refused.run())

    context.run(start())
    context.add_cleanup(context.refused_task.cancel)


@when("leader {name} that claimed at {claim:d} announces itself for {seconds:g} s")
def step_announces(context, name, claim, seconds):
    async def announce():
        for _ in range(int(seconds / 0.1)):
            context.refused.handle_announcement(Leader(name, "1", f"{name}:1"), claim)
            await asyncio.sleep(0.1)

    context.run(announce())


@then('the instance has followed "{names}"')
def step_followed(context, names):
    addresses = [f"{name}:1" for name in names.split(",") if name != "-"]
    assert context.followed_link.followed == addresses, context.followed_link.followed
