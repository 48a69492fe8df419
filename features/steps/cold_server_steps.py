"""Steps for servers that are cold and tolerate few requests."""

import asyncio
import json
import random
import time
from contextlib import suppress
from unittest.mock import patch

import aiohttp
from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import InputError
from hyssopwood.gateway import warmup
from hyssopwood.gateway.exchange import ServerAnswer
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, InstanceUpdate, rank
from hyssopwood.gateway.queue_keeper import QueueKeeper
from hyssopwood.gateway.queue_messages import (
    Ask,
    Done,
    QueueName,
    Reply,
    ReplyState,
    decode,
    encode,
)
from hyssopwood.gateway.route_table import CallerLimits, RouteTable, RouteTables, ServiceSpec
from hyssopwood.gateway.server_directory import ServerDirectory
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.token_bucket import SlidingWindow
from hyssopwood.gateway.warmup import ColdServers, SettledRank, cold_limit
from hyssopwood.metrics import Metrics
from hyssopwood.platform.boot_settings import parse_boot_settings
from hyssopwood.platform.configuration import decode_configuration
from hyssopwood.platform.request_headers import PlatformHeaderCodec
from steps.gateway_dispatch_steps import _request as _caller_request
from steps.gateway_wish_steps import RECORD, SERVICE
from steps.keyspace_steps import _manager, _RestoredStore
from steps.platform_steps import SETTINGS, configuration
from support.cold_server_model import ALL_GUARDS, BOUND, Clock, run_schedules
from support.gateway_deployment import Deployment

WARMUP_PER_S = 5.3
KEY_SPAN = 16_000
KEY_STEP = 977
# Time in which a new platform's instances link and their ranks settle.
SETTLED_S = 4.0


@given("a platform whose {kind} servers tolerate {rate:g} requests a second while they are cold")
def step_platform(context, kind, rate):
    sharded = kind == "sharded"
    deployment = context.deployment = Deployment(service="portal" if sharded else "desk")
    deployment.bounds = {"warmup_overage": 1.5, "warmup_slack": 8}
    deployment.cluster_fields = {"warmup_per_s": rate, "warmup_s": 6}
    context.path = "/pigs/x" if sharded else "/photos/x"
    context.add_cleanup(lambda: context.run(deployment.stop()))
    names = ["s1", "s2", "s3"] if sharded else ["s1"]
    context.run(deployment.start(names, ["i1", "i2", "i3"]))
    context.run(asyncio.sleep(SETTLED_S))


@when(
    'server "{name}" becomes cold for {seconds:g} s under {rate:d} requests a second by each of 3 '
    "instances"
)
def step_cold(context, name, seconds, rate):
    context.run(_load(context, name, seconds, rate))


@when(
    'server "{name}" becomes cold for {seconds:g} s under {rate:d} requests a second by each of 3 '
    "instances, and after {after:g} s {which} is killed"
)
def step_cold_and_kill(context, name, seconds, rate, after, which):
    deployment = context.deployment
    queue = QueueName("desk", "a")

    async def kill():
        await asyncio.sleep(after)
        instances = deployment.instances
        if which == "the leader":
            (found,) = [key for key, item in instances.items() if item.daemon.is_leader]
        else:
            ranked = instances["i1"].daemon._instances.ranked(str(queue), queue.failure_domain)
            found = ranked[0].instance
        await deployment.kill(instances.pop(found))

    async def load():
        await asyncio.gather(_load(context, name, seconds, rate), kill())

    context.run(load())


async def _load(context, name, seconds, rate):
    """Send requests at a rate to each running instance while the server is cold."""
    deployment = context.deployment
    server = context.cold_server = deployment.servers[name]
    context.results = []

    async def send(instance, key):
        began = time.monotonic()
        with suppress(aiohttp.ClientError, OSError):
            answer = await deployment.send_for_answer(instance, key, context.path)
            context.results.append((time.monotonic() - began, answer))

    context.cold_at = time.monotonic()
    server.cold_until = context.cold_at + seconds
    sends = []
    for number in range(int(seconds * rate)):
        key = number * KEY_STEP % KEY_SPAN
        for instance in list(deployment.instances.values()):
            sends.append(asyncio.ensure_future(send(instance, key)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*sends)


def _accepted(context, since_s):
    server = context.cold_server
    low, high = context.cold_at + since_s, server.cold_until
    return [at for at in server.accepted_at if low <= at <= high]


@then("from {since:g} s on it got at most {most:d} requests in any second while it was cold")
def step_at_most(context, since, most):
    accepted = _accepted(context, since)
    counts = [sum(start <= at <= start + 1 for at in accepted) for start in accepted]
    context.cold_count = len(accepted)
    assert max(counts, default=0) <= most, (max(counts), counts)


@then("it got at least {least:d} of them")
def step_at_least(context, least):
    assert context.cold_count >= least, context.cold_count


@then("it got some of them after {since:g} s")
def step_later(context, since):
    assert _accepted(context, since)


# Rules that the model can leave out, and constants whose rule this value switches off.
_GUARDS = {
    "the rank": "first",
    "the instances that have left the list": "former",
    "the sliding window, with a token bucket": "window",
    "the age of an admission": "late",
}
_CONSTANTS = {
    "the settling time": ("SETTLING_S", 0.0),
    "the age of the leader's last heartbeat": ("MAX_CONTACT_AGE_S", 1e9),
}


@when("keepers admit all they may to a cold server on {count:d} schedules of faults")
def step_schedules(context, count):
    context.exceeded, context.largest, context.sends = run_schedules(1, count)


@then(
    "no second of any schedule has more than {bound:g} requests, or {per_leader:d} under one leader"
)
def step_bound(context, bound, per_leader):
    assert bound == BOUND and not context.exceeded, context.exceeded
    # The requests must be many enough for the bound to mean something.
    assert context.largest[1] == per_leader and context.sends > 2000, context.sends


@when("keepers admit all they may to a cold server on {count:d} schedules of faults without {rule}")
def step_schedules_without(context, count, rule):
    if rule in _CONSTANTS:
        with patch.object(warmup, *_CONSTANTS[rule]):
            context.exceeded, _, _ = run_schedules(1, count)
    else:
        context.exceeded, _, _ = run_schedules(1, count, ALL_GUARDS - {_GUARDS[rule]})


@then("a second of some schedule exceeds the bound")
def step_exceeds(context):
    assert context.exceeded


HEARTBEAT_S = 0.3
QUEUE = QueueName(SERVICE, "a", *RECORD.incarnation)


@when('an instance gets "{contacts}"')
def step_contacts(context, contacts):
    clock = Clock()
    own = InstanceRecord("i0", "i0", "a")
    instances = InstanceList(own)
    names = (f"i{number}" for number in range(1, 1000))
    better = next(
        record
        for record in (InstanceRecord(name, name, "a") for name in names)
        if rank(str(QUEUE), "a", record) < rank(str(QUEUE), "a", own)
    )
    context.rank = SettledRank(clock, instances, own)
    start = clock.time
    for item in contacts.split("; "):
        until, kind, *numbers = item.split()
        end = start + float(until)
        if kind == "link":
            while True:
                context.rank.record_contact(numbers[0], 0.0, float(numbers[1]))
                if clock.time >= end:
                    break
                clock.time = min(end, clock.time + HEARTBEAT_S)
        elif kind == "add":
            instances.apply(InstanceUpdate((better,)))
        elif kind == "remove":
            instances.apply(InstanceUpdate((), (better.instance,)))
        else:
            clock.time = end


@then("it {result} admit requests to cold servers")
def step_may_admit(context, result):
    assert context.rank.is_settled_first(QUEUE) == (result == "may")


def _tables(per_s, sharded=True):
    spec = ServiceSpec(
        name=SERVICE,
        health_path="",
        max_connections=9,
        sharded=sharded,
        warm_s=0.0,
        warmup_s=5.0,
        warmup_per_s=per_s,
    )
    limits = CallerLimits(
        header_bytes=1000, body_bytes=1000, header_timeout_s=3.0, idle_timeout_s=15.0
    )
    tables = RouteTables()
    tables.offer(RouteTable(version=1, routes=(), services={SERVICE: spec}, limits=limits))
    return tables


def _cold_servers(timers, per_s=WARMUP_PER_S, sharded=True):
    return ColdServers(timers, Metrics(), _tables(per_s, sharded), 1.5, 8.0)


@when('an instance learns of a server "{statements}"')
def step_learns(context, statements):
    clock = Clock()
    start = clock.time
    context.cold = _cold_servers(clock)
    for item in statements.split("; "):
        at, *statement = item.split()
        clock.time = start + float(at)
        if statement[:1] == ["unstated"]:
            context.cold = _cold_servers(clock, 0.0)
        elif statement[:1] == ["registers"]:
            record = evolve(RECORD, warmup_left_s=float(statement[1]))
            context.cold.record_registration(record, distributed=False)
        elif statement[:1] == ["answers"]:
            left_s = None if statement[1] == "-" else float(statement[1])
            context.cold.record_answer(RECORD.incarnation, left_s)
        elif statement[:1] == ["unreachable"]:
            context.cold.record_unreachable(RECORD.incarnation)


@then("the server is {state}")
def step_state(context, state):
    assert context.cold.is_cold(RECORD) == (state == "cold")
    assert (context.cold.max_rate(RECORD) is not None) == (state == "cold")


@when('a leader reads that a server stays cold for "{times}" seconds, once a second')
def step_reads(context, times):
    clock = Clock()
    cold = _cold_servers(clock)
    context.distributed = []
    for seconds in times.split():
        record = evolve(RECORD, warmup_left_s=float(seconds))
        due = cold.record_registration(record, distributed=False)
        context.distributed.append(seconds if due else "-")
        clock.time += 1.0


@then('it distributes "{times}"')
def step_distributes(context, times):
    assert context.distributed == times.split(), context.distributed


@given(
    "a service that tolerates {rate:g} requests a second, with an overage of {overage:g} and "
    "{slack:g} more"
)
def step_service(context, rate, overage, slack):
    context.limit = cold_limit(rate, overage, slack)


@then("one keeper admits at most {count:d} requests in {window:g} s")
def step_limit(context, count, window):
    assert context.limit.count == count, context.limit
    assert abs(context.limit.window_s - window) < 1e-9, context.limit


@then("a window under full load never has more of them")
def step_window(context):
    chance = random.Random(1)
    limit = context.limit
    window = SlidingWindow(limit.count, limit.window_s)
    now, taken = 1000.0, []
    for _ in range(3000):
        now += chance.choice((0.001, 0.05, window.next_token_s(now)))
        while window.tokens(now):
            window.take(now)
            taken.append(now)
    counts = [sum(0 <= at - start <= limit.window_s for at in taken) for start in taken]
    assert max(counts) == limit.count, max(counts)
    # Almost all that the limit admits is used.
    assert len(taken) >= 0.9 * limit.per_s * (now - 1000.0), len(taken)


@given("a keeper that {may} admit requests to cold servers, and a cold server of {kind} service")
def step_keeper(context, may, kind):
    cold = _cold_servers(context.timers, sharded=kind == "a sharded")
    _start_keeper(context, cold, may == "may")


@given("a keeper without a bound for cold servers, and a cold server of a sharded service")
def step_plain_keeper(context):
    _start_keeper(context, None, True)


def _start_keeper(context, cold, may):
    context.record = evolve(RECORD, slots=30, warmup_left_s=5.0)
    context.directory = ServerDirectory()
    if cold is not None:
        context.directory.subscribe_registrations(cold.record_registration)
    context.directory.put(context.record)
    limits = ServerLimits(context.timers, Metrics())
    context.keeper = QueueKeeper(
        context.directory,
        ServerHealth(context.timers),
        limits,
        lambda incarnation: 0,
        context.timers,
        cold,
        lambda queue: may,
    )


@when("{count:d} requests enter the queue of the {queue}")
def step_enter(context, count, queue):
    incarnation = context.record.incarnation if queue == "server" else ()
    name = QueueName(SERVICE, context.record.failure_domain, *incarnation)
    context.replies = {}

    async def enter():
        for number in range(count):
            ask = Ask(queue=name, priority=0, target_s=0.2, deadline_s=0.5)
            ticket = f"{context.timers.now()}-{number}"
            replies = context.replies[ticket] = []
            context.keeper.ask(ticket, ask, replies.append)

    context.run(enter())


def _states(context):
    return [replies[0].state for replies in context.replies.values()]


@then("{count:d} are admitted and the others refused at once, as the server is limited")
def step_admitted(context, count):
    granted = [item[0] for item in context.replies.values() if item[0].state is ReplyState.GRANTED]
    others = [item[0] for item in context.replies.values() if item[0] not in granted]
    assert len(granted) == count, _states(context)
    assert all(reply.cold for reply in granted), granted
    assert all(reply.state is ReplyState.REJECTED and reply.limited for reply in others), others


@then("{count:d} are admitted, as the server has the slots")
def step_all_admitted(context, count):
    assert _states(context) == [ReplyState.GRANTED] * count
    assert not any(replies[0].cold for replies in context.replies.values())


@when("the server drains for a moment, so that the queue is removed")
def step_drains(context):
    async def drain():
        for ticket in context.replies:
            context.keeper.release(ticket, Done())
        context.directory.put(evolve(context.record, draining=True, sequence=8))
        running = asyncio.ensure_future(context.keeper.run())
        await context.timers.advance(0.3)
        running.cancel()
        assert not context.keeper._queues
        context.directory.put(evolve(context.record, sequence=9))

    context.run(drain())


class _SlowPool:
    """Servers' connections; the first one takes a while to open."""

    def __init__(self, pool, seconds):
        self._pool = pool
        self._seconds = seconds
        self.attempts = 0

    async def exchange(self, server, request, before_sending):
        self.attempts += 1
        if self.attempts == 1:
            await asyncio.sleep(self._seconds)
        before_sending()
        return await self._pool.exchange(server, request)


@given("a dispatcher with a server that is {state}")
def step_dispatcher(context, state):
    context.execute_steps('Given a dispatcher with servers "s1" of a sharded service')
    record = context.directory.get("s1")
    cold = _cold_servers(context.system_timers)
    warmup_left_s = 5.0 if state == "cold" else 0.0
    cold.record_registration(evolve(record, warmup_left_s=warmup_left_s), distributed=False)
    context.cold = cold


@when("a request is admitted and {seconds:g} s pass until it can be sent")
def step_late(context, seconds):
    context.slow_pool = _SlowPool(context.pool, seconds)
    dispatcher = context.dispatcher
    dispatcher._deps = evolve(dispatcher._deps, cold=context.cold, pool=context.slow_pool)
    request = _caller_request(context, "/non-idempotent/x")
    context.answer = context.run(dispatcher.handle(request))


@then("it is sent")
def step_sent(context):
    _check_sent(context, 1)


@then("it is not sent, and asked again")
def step_asked_again(context):
    _check_sent(context, 2)


def _check_sent(context, attempts):
    assert context.slow_pool.attempts == attempts, context.slow_pool.attempts
    assert context.pool.sent == ["s1"] and context.answer.status == 200


@then(
    "a grant with {held:g} s held of a cold server, and a release that states 0 and {left:g} s, "
    "are kept"
)
def step_messages(context, held, left):
    reply = Reply(ReplyState.GRANTED, 0.0, "s1", 1, held_s=held, cold=True)
    assert decode(encode(1, reply))[1] == reply
    for seconds in (0.0, left):
        assert decode(encode(1, Done(warmup_s=seconds)))[1] == Done(warmup_s=seconds)


@then("messages of earlier builds state none of them")
def step_earlier(context):
    # What earlier builds don't set is zero on the wire, like the defaults here.
    reply = decode(encode(1, Reply(ReplyState.GRANTED, 0.0, "s1", 1)))[1]
    assert reply.held_s == 0.0 and not reply.cold
    assert decode(encode(1, Done()))[1].warmup_s is None


@when("{place} states {name} as {value}")
def step_field(context, place, name, value):
    context.accepted = True
    try:
        if place == "the configuration":
            text = json.dumps(configuration()).replace(
                '"portal", ', f'"portal", "{name}": {value}, '
            )
            assert name in text
            decode_configuration(text.encode())
        elif place == "the settings":
            parse_boot_settings("settings", f"{SETTINGS}bounds.{name}={value}\n")
        else:
            headers = ((name.lower().encode(), value.encode()),)
            head = PlatformHeaderCodec().decode_answer_headers(ServerAnswer(200, headers, b""))
            context.accepted = not head.ignored
            assert (head.warmup_s is not None) == context.accepted
    except InputError:
        context.accepted = False


@then("the field is {result}")
def step_field_result(context, result):
    assert context.accepted == (result == "accepted")


@given("a leader of two servers with 30 requests a second, one of which is cold")
def step_leader(context):
    manager, _ = _manager(_RestoredStore(), context.timers, [])
    limit = cold_limit(WARMUP_PER_S, 1.5, 8.0)

    def cold_rate(record):
        return limit.per_s if record.server == "s0" else None

    manager._deps = evolve(manager._deps, cold_rate=cold_rate)
    context.candidates = manager._candidate_servers("portal", [])


@then(
    "the placement counts the cold one with {rate:g} requests a second at most, and the other "
    "without"
)
def step_placement(context, rate):
    by_name = {item.incarnation[0]: item.max_rate for item in context.candidates}
    assert abs(by_name["s0"] - rate) < 0.05 and by_name["s1"] is None, by_name
