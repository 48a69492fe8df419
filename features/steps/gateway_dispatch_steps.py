"""Steps for the dispatcher."""

import asyncio
from unittest.mock import patch

from attrs import evolve
from behave import given, then, when

from hyssopwood.gateway.configuration_age import ConfigurationAge
from hyssopwood.gateway.crash_suspects import CrashMonitor
from hyssopwood.gateway.dispatcher import Dispatcher, DispatcherDependencies
from hyssopwood.gateway.exchange import (
    CallerRequest,
    ExchangeBrokenError,
    NotSentError,
    ServerAnswer,
)
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord
from hyssopwood.gateway.load_reports import LoadReports
from hyssopwood.gateway.queue_keeper import QueueKeeper
from hyssopwood.gateway.queue_link import QueueLink
from hyssopwood.gateway.queue_messages import Ask, Done, QueueName, ReplyState
from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.route_table import (
    CallerLimits,
    Route,
    RouteTable,
    RouteTables,
    ServiceSpec,
    WeightedService,
)
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.shutdown import ShutdownTimes
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, Plan
from hyssopwood.keyspace.plan_view import PlanView, RangePause
from hyssopwood.metrics import Metrics
from hyssopwood.platform.request_headers import PlatformHeaderCodec
from hyssopwood.timers import SystemTimers
from support.steady_reach import SteadyReach

TIMEOUT_S = 0.5
SERVICE = "portal"


# What a server's refusal may state of the server itself.
_NOTICES = (
    (b"not-executed", b"1"),
    (b"server-leaving", b"1"),
    (b"server-limit", b"2.5"),
    (b"server-load", b"9,9,1"),
)


class _Pool:
    """A pool whose servers answer according to a script and then repeat its last entry."""

    def __init__(self):
        self.script = ["ok"]
        self.sent = []
        self.cancelled = 0
        self.finished = 0

    def abort_idle(self, server):
        pass

    async def exchange(self, server, request):
        self.sent.append(server.server)
        entry = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if entry.startswith("slow "):
            entry = entry.removeprefix("slow ")
            await asyncio.sleep(TIMEOUT_S / 5)
        if entry == "unsent":
            raise NotSentError("no connection")
        if entry == "broken":
            raise ExchangeBrokenError("reset")
        if entry in ("late", "long"):
            try:
                await asyncio.sleep(10 if entry == "late" else TIMEOUT_S / 2)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
            self.finished += 1
        return _answer(entry, request.request_id)


def _answer(entry, request_id):
    headers = [(b"request-id", request_id), (b"response-signature", b"s")]
    status = 200
    if entry == "shed":
        status, headers = 503, [*headers[:1], (b"not-executed", b"1")]
    elif entry == "shed-without-id":
        # A refusal without an id; it may be a repeated one of an earlier request.
        status, headers = 503, [(b"not-executed", b"1")]
    elif entry == "unpromised":
        # A 503 that doesn't state that the request was not executed.
        status = 503
    elif entry == "notices-without-id":
        status, headers = 503, [*_NOTICES, (b"retry-after", b"0.6")]
    elif entry == "successor":
        # The answer of a server that has the address of the one that the request names.
        status, headers = 421, [*headers[:1], (b"instance-id", b"other"), *_NOTICES]
    elif entry == "misdirected":
        status, headers = 421, headers[:1]
    elif entry == "replaced":
        status, headers = 421, [(b"instance-id", b"other")]
    elif entry == "unsigned":
        headers = headers[:1]
    elif entry == "encoded":
        headers.append((b"content-encoding", b"gzip"))
    elif entry == "foreign":
        headers[0] = (b"request-id", b"another")
    elif entry == "leaving":
        headers.append((b"server-leaving", b"1"))
    elif entry == "busy":
        status = 503
        headers = [*headers[:1], (b"not-executed", b"1"), (b"retry-after", b"0.6")]
    elif entry == "paced":
        headers.append((b"server-load", b"1,0,2,250"))
    elif entry == "limited":
        headers.append((b"server-limit", b"5.4"))
    elif entry == "failed":
        status = 500
    return ServerAnswer(status, tuple(headers), b"body")


def _record(name):
    return ServerRecord(
        server=name,
        service=SERVICE,
        address="127.0.0.1:1",
        failure_domain="a",
        slots=1,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


def _route(name, idempotent):
    return Route(
        name=name,
        host="shop.example",
        path_prefix=f"/{name}/",
        targets=(WeightedService(SERVICE, 1.0),),
        idempotent=idempotent,
        max_attempts=2,
        timeout_s=TIMEOUT_S,
        target_latency_s=TIMEOUT_S,
        priority=0,
    )


def _table(sharded):
    spec = ServiceSpec(
        name=SERVICE, health_path="/h", max_connections=9, sharded=sharded, warm_s=1.0
    )
    return RouteTable(
        version=1,
        routes=(_route("idempotent", True), _route("non-idempotent", False)),
        services={SERVICE: spec},
        limits=CallerLimits(
            header_bytes=1000, body_bytes=1000, header_timeout_s=3.0, idle_timeout_s=15.0
        ),
    )


def _plan(version, server):
    return Plan(version, {SERVICE: (KeyRange(0, KEY_COUNT - 1, server, 1, version),)})


def _request(context, path, host="shop.example", headers=((b"request-id", b"r1"),)):
    return CallerRequest(
        method=b"GET",
        target=path.encode(),
        host=host,
        headers=(*headers, (b"shard-key", b"7")),
        body=b"",
        arrived=context.system_timers.now(),
    )


@given('a dispatcher with servers "{servers}" of a {kind} service')
def step_dispatcher(context, servers, kind):
    context.system_timers = SystemTimers()
    context.pool = _Pool()
    context.directory = ServerDirectory()
    names = [] if servers == "-" else servers.split(",")
    for name in names:
        context.directory.put(_record(name))
    context.plan = PlanView(context.system_timers)
    if names:
        context.plan.offer(_plan(1, names[0]), "test")
    tables = RouteTables()
    tables.offer(_table(kind == "sharded"))
    context.dispatch_tables = tables
    context.sharded = kind == "sharded"
    context.metrics = metrics = Metrics()
    context.health = health = ServerHealth(context.system_timers)
    context.limits = ServerLimits(context.system_timers, metrics)
    context.keeper = QueueKeeper(
        context.directory,
        health,
        context.limits,
        context.plan.range_count,
        context.system_timers,
    )
    own = InstanceRecord("i1", "127.0.0.1:1", "a")
    queues = QueueLink(
        own.address,
        own.instance,
        InstanceList(own),
        context.keeper,
        context.system_timers,
        metrics,
        lambda leads: None,
    )
    context.reports = LoadReports(KeyLoad(context.system_timers))
    context.crashes = CrashMonitor(context.system_timers)
    context.reach = SteadyReach()
    context.dispatcher = Dispatcher(
        DispatcherDependencies(
            tables=tables,
            configuration_age=ConfigurationAge(context.system_timers, lambda: None),
            directory=context.directory,
            plan=context.plan,
            pool=context.pool,
            health=health,
            limits=context.limits,
            header_codec=PlatformHeaderCodec(),
            timers=context.system_timers,
            metrics=metrics,
            failure_domain="a",
            queues=queues,
            new_budget=lambda: RetryBudget(0.2, 8.0, 10.0, lambda: 1),
            reports=context.reports,
            crashes=context.crashes,
            reach=context.reach,
        )
    )


async def _settle():
    await asyncio.sleep(0.01)


def _fill(context, name):
    """Fill the queue that a server belongs to with admitted requests."""
    queue = QueueName(SERVICE, "a", name, 1) if context.sharded else QueueName(SERVICE, "a")
    ask = Ask(queue=queue, priority=0, target_s=60.0, deadline_s=60.0)
    context.fillers = []
    states = []
    while ReplyState.QUEUED not in states:
        ticket = f"filler{len(context.fillers)}"
        context.keeper.ask(ticket, ask, lambda reply: states.append(reply.state))
        context.fillers.append(ticket)
    context.keeper.release(context.fillers.pop(), Done())


@given('server "{name}" owns all keys and is full')
def step_owner_full(context, name):
    _fill(context, name)


@given('server "{name}" is full')
def step_full(context, name):
    _fill(context, name)


@given("the instance ends in {seconds:g} s")
def step_ends(context, seconds):
    now = context.system_timers.now()

    async def begin():
        context.dispatcher.begin_shutdown(ShutdownTimes(now + seconds, now + seconds))

    context.run(begin())


@when('a request to route "{route}" is sent and the servers answer "{script}"')
def step_send(context, route, script):
    context.pool.script = script.split(",")
    began = context.system_timers.now()
    context.answer = context.run(context.dispatcher.handle(_request(context, f"/{route}/x")))
    context.took_s = context.system_timers.now() - began


@when("a request with {what} is sent")
def step_send_wrong(context, what):
    request = _request(context, "/non-idempotent/x")
    if what == "an unknown host":
        request = evolve(request, host="other.example")
    elif what == "an unknown path":
        request = evolve(request, target=b"/none/x")
    elif what == "no id":
        request = evolve(request, headers=())
    else:
        assert what == "no configuration", what
        context.dispatch_tables._current = None
    context.answer = context.run(context.dispatcher.handle(request))


@when('the caller of a request to route "{route}" disconnects while the server works on it')
def step_disconnect(context, route):
    context.pool.script = ["long"]
    context.pool.cancelled = context.pool.finished = 0

    async def disconnect():
        task = asyncio.ensure_future(context.dispatcher.handle(_request(context, f"/{route}/x")))
        await _settle()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(TIMEOUT_S)

    context.run(disconnect())


@when('a request to route "{route}" is queued and the keys move to server "{name}"')
def step_wait_and_move(context, route, name):
    async def move():
        task = asyncio.ensure_future(context.dispatcher.handle(_request(context, f"/{route}/x")))
        await _settle()
        assert not context.pool.sent
        context.plan.offer(_plan(2, name), "test")
        return await task

    context.answer = context.run(move())


@when('a request to route "{route}" is queued, server "{name}" drains and has capacity again')
def step_wait_and_drain(context, route, name):
    async def drain():
        task = asyncio.ensure_future(context.dispatcher.handle(_request(context, f"/{route}/x")))
        await _settle()
        record = context.directory.get(name)
        context.directory.put(evolve(record, draining=True, sequence=2))
        for ticket in context.fillers:
            context.keeper.release(ticket, Done())
        return await task

    context.answer = context.run(drain())


@when('a request to route "{route}" is sent for paused keys that "{name}" owns {seconds:g} s later')
def step_pause(context, route, seconds, name):
    async def pause():
        context.plan.pause(RangePause(SERVICE, 0, KEY_COUNT - 1, 1))
        task = asyncio.ensure_future(context.dispatcher.handle(_request(context, f"/{route}/x")))
        await asyncio.sleep(seconds)
        assert not context.pool.sent
        context.plan.offer(_plan(2, name), "test")
        return await task

    context.answer = context.run(pause())


@when("{count:d} idempotent requests are sent and every exchange breaks")
def step_many(context, count):
    context.pool.script = ["broken"]

    async def many():
        for _ in range(count):
            await context.dispatcher.handle(_request(context, "/idempotent/x"))

    context.run(many())
    context.retries = len(context.pool.sent) - count


@then("the caller gets status {status:d} after {sends:d} sends")
def step_status(context, status, sends):
    assert context.answer.status == status, context.answer
    assert len(context.pool.sent) == sends, context.pool.sent


@then("the answer took {least:g} to {most:g} s")
def step_took(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@then("the answer has a Retry-After header")
def step_has_retry_after(context):
    assert any(name == b"Retry-After" for name, _ in context.answer.headers)


@then("the answer lacks a Retry-After header")
def step_lacks_retry_after(context):
    assert not any(name == b"Retry-After" for name, _ in context.answer.headers)


@then('server "{name}" answered it')
def step_answered_by(context, name):
    assert context.pool.sent == [name]


@then("its exchange was cancelled")
def step_cancelled(context):
    assert context.pool.cancelled == 1 and not context.pool.finished


@then("its exchange was completed")
def step_completed(context):
    assert context.pool.finished == 1 and not context.pool.cancelled


@then("at most {count:d} retries were sent")
def step_retries(context, count):
    assert 0 < context.retries <= count, context.retries


@given("the links of the instance itself are {state}")
def step_own_links(context, state):
    context.reach.doubtful = state == "in doubt"


@when('{count:d} requests to route "{route}" are lost in the way "{entry}"')
def step_losses(context, count, route, entry):
    async def send():
        for number in range(count):
            context.pool.script = [entry]
            request = _request(
                context, f"/{route}/x", headers=((b"request-id", b"loss%d" % number),)
            )
            await context.dispatcher.handle(request)
        await _settle()

    context.run(send())


@then("the failures are {reported} to the keeper and the leader")
def step_reported(context, reported):
    suspect = any(context.health.is_suspect((name, 1)) for name in ("s1", "s2"))
    lost = context.crashes.recent_report().lost
    times = context.reports.collect().times
    if reported == "reported":
        assert lost and (suspect or times), (suspect, lost, times)
    else:
        assert not suspect and not lost and not times, (suspect, lost, times)


@given('requests to route "{route}" cost {cost_s:g} s and to "{other}" {other_s:g} s')
def step_costs(context, route, cost_s, other, other_s):
    work = context.reports.work
    for _ in range(50):
        work.record(SERVICE, route, ("s1", 1), cost_s, None)
        work.record(SERVICE, other, ("s1", 1), other_s, None)
    work.review({("s1", 1)})


@when('a request to route "{route}" is sent, answered "{script}" and its messages are kept')
def step_send_kept(context, route, script):
    context.asks, context.dones = [], []
    ask, release = QueueKeeper.ask, QueueKeeper.release

    def keep_ask(keeper, ticket, message, *more):
        context.asks.append(message)
        return ask(keeper, ticket, message, *more)

    def keep_done(keeper, ticket, message):
        context.dones.append(message)
        return release(keeper, ticket, message)

    with (
        patch.object(QueueKeeper, "ask", keep_ask),
        patch.object(QueueKeeper, "release", keep_done),
    ):
        step_send(context, route, script)


@then("the keeper was told a cost of {cost_s:g} s and a pace of {pace:g}")
def step_told(context, cost_s, pace):
    (told_ask,), (told_done,) = context.asks, context.dones
    assert abs(told_ask.cost_s - cost_s) <= 0.2 * cost_s, told_ask
    assert told_done.load.pace == pace, told_done
    assert context.metrics.durations("work_error")[SERVICE].count == 1


@then("the keeper was told no cost and no pace")
def step_told_nothing(context):
    (told_ask,), (told_done,) = context.asks, context.dones
    assert told_ask.cost_s == 0.0 and told_done.load is None, (told_ask, told_done)
