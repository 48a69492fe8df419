"""Steps for servers that name a limit on the requests that they take."""

import asyncio
import contextlib
import random
import time
from itertools import pairwise

from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import ProtocolError
from hyssopwood.gateway.queue_messages import Ask, Done, QueueName, decode, encode
from hyssopwood.gateway.server_limits import LimitNotice, ServerLimits
from hyssopwood.gateway.shared_queue import (
    Granted,
    Queued,
    QueuedRequest,
    QueueServer,
    Rejected,
    SharedQueue,
)
from hyssopwood.keyspace import link_codec
from hyssopwood.keyspace.key_load import RATE_PER_COUNT, KeyLoad
from hyssopwood.keyspace.link_codec import InstanceReport
from hyssopwood.keyspace.placement import CandidateServer, plan_moves
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, Plan, divide_evenly
from hyssopwood.keyspace.renewals import renew_interval_s, request_rate_per_s
from hyssopwood.metrics import Metrics
from steps.gateway_dispatch_steps import _request
from steps.gateway_wish_steps import RECORD, SERVICE
from steps.keyspace_steps import _manager, _RestoredStore
from support.virtual_time import SimulatedProcess, VirtualLoop

LOAD_S = 8.0
# The load is spread over the lowest keys.
KEY_SPAN = 16_000
KEY_STEP = 977
# The users' bound: from `contact_s` on, in any 4 s at most 1.5 times the limit and 5 more.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5


@when(
    'server "{name}" names a limit of {limit:g} requests a second and gets {rate:d} a second by '
    "each instance"
)
def step_load(context, name, limit, rate):
    deployment = context.deployment
    context.limited_server = deployment.servers[name]
    context.results = []

    async def send(instance, key):
        began = time.monotonic()
        answer = await deployment.send_for_answer(instance, key)
        context.results.append((time.monotonic() - began, answer))

    async def load():
        # The first server by name gets the lowest keys.
        owner = await deployment.send_for_answer(deployment.instances["i1"], 0)
        assert owner.body.startswith(name), owner
        context.limited_server.limit_per_s = limit
        context.named_at = time.monotonic()
        sends = []
        for number in range(int(LOAD_S * rate)):
            key = number * KEY_STEP % KEY_SPAN
            for instance in deployment.instances.values():
                sends.append(asyncio.ensure_future(send(instance, key)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*sends)

    context.run(load())


@then("from 3 s on it got in each 4 s at most half as much again and 5 requests and commands")
def step_within_limit(context):
    server = context.limited_server
    allowed = TOLERANCE * server.limit_per_s * WINDOW_S + EXTRA_REQUESTS
    arrived_at = [at - context.named_at for at in server.arrived_at if at > context.named_at]
    ends = [at for at in arrived_at if at >= CONTACT_S]
    counts = [sum(end - WINDOW_S < at <= end for at in arrived_at) for end in ends]
    assert ends, "the server got nothing"
    assert max(counts) <= allowed, (max(counts), allowed)


@then("what it didn't run was refused with a Retry-After")
def step_refused(context):
    refused = [answer for _, answer in context.results if answer.status != 200]
    assert 0 < len(refused) < len(context.results)
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.headers["Retry-After"]) > 0, answer


@then("9 in 10 of them within {soon:g} s and all within {latest:g} s")
def step_refused_soon(context, soon, latest):
    elapsed_s = [elapsed_s for elapsed_s, answer in context.results if answer.status != 200]
    slow = sorted(at for at in elapsed_s if at >= soon)
    assert len(slow) <= len(elapsed_s) / 10, (len(slow), len(elapsed_s), slow)
    # The route's target latency: a queued request that a lower limit makes late is refused by then.
    assert max(elapsed_s) < latest, slow


def _queue(context, rates):
    context.servers = [
        QueueServer(evolve(RECORD, server=f"s{number}", slots=3), rate_per_s=rate)
        for number, rate in enumerate(rates, 1)
    ]
    context.queue = SharedQueue(lambda: context.servers)


@given("a queue of a server with 3 slots that takes {rate:g} requests a second")
def step_limited_queue(context, rate):
    _queue(context, [rate])


@given(
    "a queue of a server with 3 slots that takes {rate:g} requests a second, and of one without a "
    "limit"
)
def step_mixed_queue(context, rate):
    _queue(context, [rate, None])


class _QueueLoad:
    """Requests that enter a queue at fixed intervals; each occupies its server for a while."""

    WORK_S = 0.05
    STEP_S = 0.01

    def __init__(self, queue):
        self.queue = queue
        self.now = 1000.0
        # Server and time of each admission, and the decision and wait of each refusal, by ticket.
        self.admitted = {}
        self.refused = {}
        self.entered = {}
        self._ends = []

    def run(self, rates, seconds, life_s):
        steps = round(seconds / self.STEP_S)
        for step in range(steps):
            for priority, rate in rates.items():
                if int(step * self.STEP_S * rate) < int((step + 1) * self.STEP_S * rate):
                    self._enter(priority, life_s)
            self.now += self.STEP_S
            for end, ticket in [item for item in self._ends if item[0] <= self.now]:
                self._ends.remove((end, ticket))
                self.queue.release(ticket, self.WORK_S, None, self.now)
            for ticket, decision in self.queue.advance(self.now):
                self._decide(ticket, decision)

    def _enter(self, priority, life_s):
        ticket = (priority, len(self.entered))
        self.entered[ticket] = self.now
        request = QueuedRequest(
            ticket=ticket,
            priority=priority,
            target=self.now + life_s,
            deadline=self.now + life_s,
        )
        self._decide(ticket, self.queue.enter(request, self.now))

    def _decide(self, ticket, decision):
        if isinstance(decision, Granted):
            self.admitted[ticket] = (decision.server.server, self.now)
            self._ends.append((self.now + self.WORK_S, ticket))
        elif isinstance(decision, Rejected):
            self.refused[ticket] = (decision, self.now)


def _enter_load(context, rates, seconds, life_s):
    context.load = _QueueLoad(context.queue)
    context.load.run(rates, seconds, life_s)


@when("{rate:d} requests a second enter for {seconds:g} s, each with {life_s:g} s to live")
def step_enter_load(context, rate, seconds, life_s):
    _enter_load(context, {0: rate}, seconds, life_s)


@when(
    "{urgent:d} urgent and {other:d} other requests a second enter for {seconds:g} s, each with "
    "{life_s:g} s to live"
)
def step_enter_mixed_load(context, urgent, other, seconds, life_s):
    _enter_load(context, {0: urgent, 1: other}, seconds, life_s)


@then("{low:d} to {high:d} were admitted, and at most {most:d} in any 2 s")
def step_admitted_at_rate(context, low, high, most):
    times = sorted(at for _, at in context.load.admitted.values())
    assert low <= len(times) <= high, len(times)
    assert max(sum(at <= other < at + 2 for other in times) for at in times) <= most


@then("the others were refused when they entered, told to wait until the limit admits them")
def step_refused_at_entry(context):
    load = context.load
    assert len(load.refused) >= 80, len(load.refused)
    for ticket, (decision, at) in load.refused.items():
        assert decision.limited, decision
        assert at == load.entered[ticket], (ticket, at - load.entered[ticket])
        # A place becomes free every 0.25 s; what was queued before goes first.
        assert 0.2 < decision.wait_s < 1.0, decision


@then("at least 90% of the urgent requests were admitted")
def step_urgent(context):
    urgent = [ticket for ticket in context.load.entered if ticket[0] == 0]
    admitted = [ticket for ticket in urgent if ticket in context.load.admitted]
    assert len(admitted) >= 0.9 * len(urgent), (len(admitted), len(urgent))


@then("none was refused, and at most {most:d} were sent to the limited server")
def step_none_refused(context, most):
    assert not context.load.refused, context.load.refused
    sent = [server for server, _ in context.load.admitted.values()]
    assert 0 < sent.count("s1") <= most, sent.count("s1")


@when("4 requests run, and one enters that would miss its target but not its deadline")
def step_late_request(context):
    _enter_excluding(context, "first", ())
    context.queue.withdraw("first")
    requests = [
        QueuedRequest(ticket=number, priority=0, target=1001.05, deadline=1010.0)
        for number in range(5)
    ]
    *running, context.decision = [context.queue.enter(request, 1001.0) for request in requests]
    assert all(isinstance(decision, Granted) for decision in running), running


@then("it is queued")
def step_is_queued(context):
    assert isinstance(context.decision, Queued), context.decision


def _enter_excluding(context, ticket, tried):
    request = QueuedRequest(
        ticket=ticket, priority=0, target=2000.0, deadline=2000.0, tried=frozenset(tried)
    )
    return context.queue.enter(request, 1000.0)


@when("requests that exclude the limited server fill the other one and one more waits")
def step_fill_other(context):
    decisions = [_enter_excluding(context, f"a{number}", {"s1"}) for number in range(5)]
    assert [type(item) for item in decisions] == [Granted] * 4 + [Queued], decisions


@then("the limit is not what delays it")
def step_not_delayed(context):
    assert context.queue.next_token_s(1000.0) is None


@when("the limited server has admitted 1 request and another one waits for it")
def step_wait_for_limited(context):
    context.queue.withdraw("a4")
    assert isinstance(_enter_excluding(context, "b0", {"s2"}), Granted)
    assert isinstance(_enter_excluding(context, "b1", {"s2"}), Queued)


@then("the limit delays it for {seconds:g} s")
def step_delayed(context, seconds):
    assert abs(context.queue.next_token_s(1000.0) - seconds) < 0.001


@when('an instance learns "{statements}"')
def step_learns(context, statements):
    context.limits = ServerLimits(context.timers, Metrics())
    start = context.timers.now()
    for statement in statements.split(";"):
        at, reader, since, limit = statement.split()
        context.run(context.timers.advance(start + float(at) - context.timers.now()))
        per_s = None if limit == "no" else float(limit)
        if reader == "own":
            context.limits.record_answer(RECORD.incarnation, per_s, start + float(since))
        else:
            age_s = float(at) - float(since)
            context.limits.apply(LimitNotice(*RECORD.incarnation, per_s, age_s))


@then("the server's limit is {limit}")
def step_is_limit(context, limit):
    expected = None if limit == "no" else float(limit)
    assert context.limits.get(RECORD.incarnation) == expected


@then("it has nothing to pass on")
def step_nothing(context):
    assert context.limits.notice(RECORD.incarnation) is None
    assert context.limits.notices() == context.limits.take_new_notices() == ()


@when("it reads a limit of {limit:g} in an answer")
def step_reads(context, limit):
    context.limits.record_answer(RECORD.incarnation, limit, context.timers.now())


@then("it passes on a limit of {limit:g} in asks, releases and reports")
def step_passes_on(context, limit):
    notice = LimitNotice(*RECORD.incarnation, limit, 0.0)
    assert context.limits.notice(RECORD.incarnation) == notice
    queue = QueueName(SERVICE, "a", *RECORD.incarnation)
    ask = Ask(queue=queue, priority=0, target_s=1.0, deadline_s=1.0, limits=(notice,))
    assert decode(encode(1, ask))[1].limits == (notice,)
    assert decode(encode(1, Done(limit=notice)))[1].limit == notice
    report = InstanceReport({}, {}, limits=context.limits.take_new_notices())
    assert not report.empty
    assert link_codec.decode(link_codec.encode(report)).limits == (notice,)
    assert context.limits.take_new_notices() == ()


@given('an instance that isn\'t the keeper has read a limit of {limit:g} requests a second of "s1"')
def step_read_limit(context, limit):
    context.other.limits.record_answer(("s1", 1), limit, context.other.timers.now())


def _limited_ask(instance):
    notice = instance.limits.notice(("s1", 1))
    queue = QueueName(SERVICE, "a", "s1", 1)
    return Ask(queue=queue, priority=0, target_s=10.0, deadline_s=10.0, limits=(notice,))


@when("it asks for {count:d} admissions at the same time")
def step_asks(context, count):
    async def ask():
        tasks = [
            asyncio.ensure_future(context.other.link.acquire(_limited_ask(context.other)))
            for _ in range(count)
        ]
        await asyncio.sleep(0.1)
        context.admitted_count = sum(task.done() for task in tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.run(ask())


@then("{count:d} of them is admitted, and the keeper knows the limit")
def step_one_admitted(context, count):
    assert context.admitted_count == count, context.admitted_count
    keeper = context.queue_keeper_instance
    assert keeper.limits.get(("s1", 1)) == context.other.limits.get(("s1", 1))
    assert keeper.limits.notice(("s1", 1)) is None


@when("an instance that isn't the keeper reads a limit of {limit:g} during an exchange")
def step_reads_in_exchange(context, limit):
    _exchange(context, limit)


@when("it reads no limit during the next exchange")
def step_reads_none(context):
    _exchange(context, None)


def _exchange(context, limit):
    """Let the other instance admit a request, read an answer to it and release the admission."""

    async def exchange():
        link, limits = context.other.link, context.other.limits
        queue = QueueName(SERVICE, "a", "s1", 1)
        admission = await link.acquire(Ask(queue=queue, priority=0, target_s=10.0, deadline_s=10.0))
        limits.record_answer(("s1", 1), limit, context.other.timers.now())
        link.release(admission, Done(0.01, limit=limits.notice(("s1", 1))))
        await asyncio.sleep(0.1)

    context.run(exchange())


@then("the keeper knows {what} limit")
@then("the keeper knows {what} limit of {limit:g}")
def step_keeper_knows(context, what, limit=None):
    assert context.queue_keeper_instance.limits.get(("s1", 1)) == limit


@when("{count:d} further requests are sent at the same time and the server names its limit")
def step_together(context, count):
    context.pool.script = ["limited"]

    async def send():
        handle = context.dispatcher.handle
        requests = [_request(context, "/non-idempotent/x") for _ in range(count)]
        return await asyncio.gather(*(handle(request) for request in requests))

    context.answers = context.run(send())


@then("some of them are refused, and told to retry after {low:g} to {high:g} s")
def step_told(context, low, high):
    refused = [answer for answer in context.answers if answer.status == 503]
    assert 0 < len(refused) < len(context.answers), refused
    for answer in refused:
        (seconds,) = [float(value) for name, value in answer.headers if name == b"Retry-After"]
        assert low <= seconds <= high, seconds
    context.refused_count = len(refused)


@then('the metrics count them as "{cause}"')
def step_counted(context, cause):
    line = f'hyssopwood_gateway_requests_total{{label="{cause}"}} {context.refused_count:.1f}'
    assert line in context.metrics.exposition().decode()


@given('a leader of servers "s1,s2" of which "s1" names a limit of {limit:g} requests a second')
def step_leader(context, limit):
    context.limit = limit


@when("{seconds:d} s pass and the limit is named again every 5 s")
def step_lead(context, seconds):
    loop = VirtualLoop()

    async def lead():
        timers = SimulatedProcess("i1", random.Random(1))
        manager, writer = _manager(_RestoredStore(), timers, [])
        manager._balanced_at = float("inf")
        keys = divide_evenly((("s1", 1), ("s2", 1)), 8)
        manager.inherit(await writer.claim(Plan(8, {SERVICE: keys})), True)
        running = asyncio.ensure_future(manager.run())
        for second in range(seconds):
            if second % 5 == 0:
                manager._deps.limits.record_answer(("s1", 1), context.limit, timers.now())
            await timers.sleep(1.0)
            await writer.confirm()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return manager._deps.commands.grants

    try:
        context.grants = loop.run_until_complete(lead())
    finally:
        loop.close()


def _grant_times(context, name):
    return [at for at, server, _ in context.grants if server == name]


@then('"s1" got {low:d} to {high:d} grants and "s2" {other_low:d} to {other_high:d}')
def step_grants(context, low, high, other_low, other_high):
    counts = len(_grant_times(context, "s1")), len(_grant_times(context, "s2"))
    assert low <= counts[0] <= high and other_low <= counts[1] <= other_high, counts


@then("no two grants of a server were more than {seconds:g} s apart")
def step_apart(context, seconds):
    for name in ("s1", "s2"):
        assert max(b - a for a, b in pairwise(_grant_times(context, name))) <= seconds


@given("no other instance answers")
def step_silent(context):
    for instance in context.instances:
        instance.silent = instance is not context.other


@when("it releases and asks again for {seconds:g} s")
def step_asks_again(context, seconds):
    async def ask():
        context.admitted_count = 0
        link, limits = context.other.link, context.other.limits
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    admission = await link.acquire(_limited_ask(context.other))
                    context.admitted_count += 1
                    limits.record_answer(("s1", 1), 9.0, context.other.timers.now())
                    link.release(admission, Done(0.01))

    context.run(ask())


@then("it was admitted {low:d} to {high:d} times")
def step_admitted_times(context, low, high):
    assert low <= context.admitted_count <= high, context.admitted_count


def _limit_value(text):
    return None if text == "no" else float(text)


@then("a server with {ranges:d} ranges and a limit of {limit} is renewed every {interval:g} s")
def step_renewed(context, ranges, limit, interval):
    context.ranges, context.limit = ranges, _limit_value(limit)
    assert abs(renew_interval_s(ranges, context.limit) - interval) < 0.01


@then("{requests} requests a second are left")
def step_left(context, requests):
    if requests == "-":
        assert context.limit is None
        return
    left = request_rate_per_s(context.ranges, context.limit)
    assert abs(left - float(requests)) < 0.01, left


@given(
    "{count:d} servers with {rate:g} requests a second each, one of which has a limit that leaves "
    "{left:g}"
)
def step_limited_servers(context, count, rate, left):
    incarnations = tuple((f"s{number}", 1) for number in range(count))
    context.parts = list(divide_evenly(incarnations, 1))
    context.max_rates = {incarnations[0]: left}
    load = KeyLoad(context.timers)
    keys = range(0, KEY_COUNT, 64)
    # A decayed count with a constant rate of requests.
    for key in keys:
        load.record_requests(SERVICE, key, rate * count / len(keys) / RATE_PER_COUNT)
    context.load_map = load.load_map(SERVICE)


def _rate(context, incarnation):
    return sum(
        context.load_map.rate(keys.first, keys.last)
        for keys in context.parts
        if keys.incarnation == incarnation
    )


@when("moves are planned until none is left")
def step_plan(context):
    incarnations = sorted({keys.incarnation for keys in context.parts})
    context.rounds = []
    for _ in range(60):
        candidates = [
            CandidateServer(item, _rate(context, item), 3.0, 1, context.max_rates.get(item))
            for item in incarnations
        ]
        moves = plan_moves(tuple(context.parts), candidates, context.load_map)
        if not moves:
            return
        limited = set(context.max_rates)
        from_limited = 0
        for move in moves:
            (source,) = [x for x in context.parts if x.first <= move.first <= move.last <= x.last]
            from_limited += source.incarnation in limited
            context.parts.remove(source)
            context.parts += _split(source, move)
        context.rounds.append(from_limited)
    raise AssertionError("moves don't end")


def _split(source, move):
    if source.first < move.first:
        yield evolve(source, last=move.first - 1)
    server, born_ms = move.target
    yield KeyRange(move.first, move.last, server, born_ms, 2)
    if move.last < source.last:
        yield evolve(source, first=move.last + 1)


@then("each round took at most one part from the limited server")
def step_one_part(context):
    assert context.rounds and max(context.rounds) == 1, context.rounds


@then(
    "the limited server has {low:g} to {high:g} requests a second left, and no other has more than "
    "{most:g}"
)
def step_balanced(context, low, high, most):
    rates = {keys.incarnation: 0.0 for keys in context.parts}
    rates = {incarnation: _rate(context, incarnation) for incarnation in rates}
    (limited,) = context.max_rates
    assert low <= rates[limited] <= high, rates
    assert max(rate for item, rate in rates.items() if item != limited) <= most, rates


def _leader_and_other(deployment):
    instances = deployment.instances.values()
    (leader,) = [item for item in instances if item.daemon.is_leader]
    return leader, next(item for item in instances if item is not leader)


def _send_to_follower(context):
    _, other = _leader_and_other(context.deployment)
    context.run(context.deployment.send(other, 0))


@when(
    'server "{name}" names a limit of {limit:g} requests a second to an instance that doesn\'t lead'
)
def step_names_to_follower(context, name, limit):
    context.limited_server = context.deployment.servers[name]
    context.limited_server.limit_per_s = limit
    _send_to_follower(context)


@when('server "{name}" no longer names it to that instance')
def step_names_no_more(context, name):
    context.deployment.servers[name].limit_per_s = None
    _send_to_follower(context)


@then("the leader knows {what} limit within 1 s")
def step_leader_knows(context, what):
    leader, _ = _leader_and_other(context.deployment)
    server = context.limited_server
    expected = server.limit_per_s if what == "the" else None
    limits = leader.daemon._limits

    async def wait():
        async with asyncio.timeout(1):
            while limits.get((server.name, server.born_ms)) != expected:
                await asyncio.sleep(0.02)

    context.run(wait())


@when("a datagram states a limit of {limit:g}")
def step_datagram(context, limit):
    notice = LimitNotice(*RECORD.incarnation, limit, 0.0)
    context.datagram = encode(1, Done(limit=notice))


@then("the datagram is {result}")
def step_result(context, result):
    if result == "accepted":
        decode(context.datagram)
        return
    try:
        decode(context.datagram)
    except ProtocolError:
        return
    raise AssertionError("the datagram was accepted")
