"""Steps for servers whose answers announce that they leave or that an instance must back off."""

import asyncio

from attrs import evolve
from behave import given, then, when
from loguru import logger

from hyssopwood.events import Event
from hyssopwood.gateway.exchange import ServerAnswer
from hyssopwood.gateway.load_reports import LoadReports
from hyssopwood.gateway.queue_link import Admission
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.shared_queue import Granted, QueuedRequest, QueueServer, SharedQueue
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.link_codec import ServerUpdate, decode, encode
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, Plan
from hyssopwood.keyspace.plan_view import RangePause
from hyssopwood.platform.request_headers import PlatformHeaderCodec
from hyssopwood.timers import SystemTimers
from steps.gateway_dispatch_steps import SERVICE, _request

RECORD = ServerRecord(
    server="s1",
    service=SERVICE,
    address="127.0.0.1:1",
    failure_domain="a",
    slots=4,
    draining=False,
    warmup_left_s=0.0,
    born_ms=1,
    sequence=1,
)


async def _handle_timed(context, path):
    began = context.system_timers.now()
    answer = await context.dispatcher.handle(_request(context, path))
    return answer, context.system_timers.now() - began


@when('{count:d} further requests are sent and the servers answer "{script}"')
def step_further(context, count, script):
    context.pool.script = script.split(",")
    context.pool.sent.clear()

    async def send():
        return [await _handle_timed(context, "/non-idempotent/x") for _ in range(count)]

    context.results = context.run(send())


@when("{count:d} further requests are sent at the same time")
def step_together(context, count):
    context.pool.script = ["ok"]
    context.pool.sent.clear()

    async def send():
        return await asyncio.gather(
            *(_handle_timed(context, "/non-idempotent/x") for _ in range(count))
        )

    context.results = context.run(send())


@when("{seconds:g} s pass and {count:d} further requests are sent at the same time")
def step_later(context, seconds, count):
    context.run(asyncio.sleep(seconds))
    step_together(context, count)


@then('server "{name}" received all {count:d} requests')
def step_all(context, name, count):
    assert context.pool.sent == [name] * count, context.pool.sent


@then('server "{name}" received some of them')
def step_some(context, name):
    assert name in context.pool.sent, context.pool.sent


@then("none of the {count:d} was sent and each was refused within {seconds:g} s")
def step_none(context, count, seconds):
    assert not context.pool.sent, context.pool.sent
    assert [answer.status for answer, _ in context.results] == [503] * count
    assert max(elapsed for _, elapsed in context.results) < seconds


@when('server "{name}" registers as ready again with the same start time')
def step_same_start(context, name):
    context.directory.put(evolve(context.directory.get(name), draining=False, sequence=9))


@when('server "{name}" registers as ready after a restart')
def step_restart(context, name):
    record = evolve(context.directory.get(name), draining=False, leaving=False, born_ms=2)
    context.directory.put(record)


@when(
    'a request to route "{route}" is queued, "{name}" leaves and {seconds:g} s later '
    '"{other}" owns the keys'
)
def step_wait_and_leave(context, route, name, seconds, other):
    async def leave():
        task = asyncio.ensure_future(context.dispatcher.handle(_request(context, f"/{route}/x")))
        await asyncio.sleep(0.01)
        context.directory.mark_leaving((name, 1))
        await asyncio.sleep(seconds)
        assert not context.pool.sent
        keys = KeyRange(0, KEY_COUNT - 1, other, 1, 2)
        context.plan.offer(Plan(2, {SERVICE: (keys,)}), "test")
        return await task

    context.answer = context.run(leave())


@given("the log is recorded")
def step_record_log(context):
    context.log_records = []
    handler = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, handler)


class _Keeper:
    """A keeper that offers servers in a fixed order, except those that the ask excludes."""

    def __init__(self, names):
        self.names = names
        self.asks = 0

    async def acquire(self, ask, moved=None):
        self.asks += 1
        name = next(name for name in self.names if name not in ask.tried)
        return Admission(name, 1, None, self.asks)

    def release(self, admission, done):
        pass


@given('a keeper that offers "{first}" first')
def step_keeper(context, first):
    _replace_queues(context, _Keeper([first, *sorted({"s1", "s2"} - {first})]))


@given('a keeper that offers "{first}" first, and server "{name}" announces that it leaves')
def step_keeper_of_leaving(context, first, name):
    step_keeper(context, first)
    context.directory.mark_leaving((name, 1))


def _replace_queues(context, queues):
    context.keeper_link = queues
    context.dispatcher._selector._queues = queues
    context.dispatcher._deps = evolve(context.dispatcher._deps, queues=queues)


@then("the keeper was asked {count:d} times")
def step_asked(context, count):
    assert context.keeper_link.asks == count, context.keeper_link.asks


@given('an instance to which server "{name}" announced that it leaves')
def step_announced_leaving(context, name):
    context.reports = LoadReports(KeyLoad(SystemTimers()))
    context.reports.record_leaving((name, RECORD.born_ms))


@when("it reports to the leader, which informs a third instance")
def step_reports(context):
    report = decode(encode(context.reports.collect()))
    leader, context.third = ServerDirectory(), ServerDirectory()
    for directory in (leader, context.third):
        directory.put(RECORD)
    changed = []
    leader.subscribe(lambda record, removed: changed.append(record))
    for incarnation in report.leaving:
        leader.mark_leaving(incarnation)
    for record in changed:
        for received in decode(encode(ServerUpdate((record,)))).present:
            context.third.put(received)
    context.digests = leader.digest(), context.third.digest()


@then('the third instance considers server "{name}" draining, also after a later heartbeat')
def step_third(context, name):
    assert context.third.get(name).draining
    assert context.digests[0] == context.digests[1]
    context.third.put(evolve(RECORD, sequence=RECORD.sequence + 5))
    assert context.third.get(name).draining


@when('the keys have no owner and a request to route "non-idempotent" is sent')
def step_no_owner(context):
    context.plan.pause(RangePause(SERVICE, 0, KEY_COUNT - 1, 1))
    context.answer = context.run(context.dispatcher.handle(_request(context, "/non-idempotent/x")))


@then("the caller is told to retry after at least {seconds:g} s")
def step_retry_after(context, seconds):
    retry_after = [float(value) for name, value in context.answer.headers if name == b"Retry-After"]
    assert retry_after and retry_after[0] >= seconds, retry_after


@given("a queue of one server with {slots:d} slots")
def step_queue(context, slots):
    server = QueueServer(evolve(RECORD, slots=slots))
    context.queue, context.now = SharedQueue(lambda: [server]), 100.0


def _enter(context, ticket):
    request = QueuedRequest(ticket=ticket, priority=0, target=1e6, deadline=1e6)
    return context.queue.enter(request, context.now)


@when("the server tells one of the instances to back off for {seconds:g} s")
def step_back_off(context, seconds):
    assert isinstance(_enter(context, "first"), Granted)
    context.queue.release("first", None, None, context.now, seconds)


@when("the {seconds:g} s are over")
def step_over(context, seconds):
    context.now += seconds


@then("the queue admits {count:d} requests at a time")
def step_admitted(context, count):
    tickets = [f"{context.now}-{number}" for number in range(8)]
    granted = [isinstance(_enter(context, ticket), Granted) for ticket in tickets]
    for ticket in tickets:
        context.queue.withdraw(ticket)
    assert sum(granted) == count, granted


@when('a server answers {status:d} with "{headers}"')
def step_answers(context, status, headers):
    pairs = tuple(tuple(part.strip().encode().split(b": ", 1)) for part in headers.split(","))
    context.head = PlatformHeaderCodec().decode_answer_headers(ServerAnswer(status, pairs, b""))


@then("it leaves: {leaving}, the back-off is {seconds:g} s, and {count:d} headers are ignored")
def step_notices(context, leaving, seconds, count):
    assert context.head.leaving is (leaving == "yes"), context.head
    assert (context.head.back_off_s or 0) == seconds, context.head
    assert len(context.head.ignored) == count, context.head


@then("its limit is {limit} requests a second, and {count:d} headers are ignored")
def step_limit(context, limit, count):
    expected = None if limit == "no" else float(limit)
    assert context.head.limit_per_s == expected, context.head
    assert len(context.head.ignored) == count, context.head


def _logged(context, event):
    return [
        record["extra"]["fields"]
        for record in context.log_records
        if record["extra"].get("event") == event.value.number
    ]


@then('the log has E512 for server "{name}" with {per_s:g} requests a second')
def step_logged_limit(context, name, per_s):
    (fields,) = _logged(context, Event.SERVER_LIMIT_NAMED)
    assert (fields["server"], fields["per_s"]) == (name, per_s), fields


@then('the log has E513 for server "{name}" with {requests:d} requests and {commands:d} commands')
def step_logged_end(context, name, requests, commands):
    (fields,) = _logged(context, Event.SERVER_LIMIT_ENDED)
    sent = fields["requests"], fields["commands"]
    assert (fields["server"], *sent) == (name, requests, commands), fields


@then("the metrics count {requests:d} requests and {commands:d} commands to limited servers")
def step_counted(context, requests, commands):
    text = context.metrics.exposition().decode()
    for label, count in (("request", requests), ("command", commands)):
        line = f'hyssopwood_limited_server_sends_total{{label="{label}"}} {count:.1f}'
        assert (line in text) == bool(count), text
