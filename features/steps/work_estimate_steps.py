"""Steps for decisions by the work of requests."""

import json
import math
import random
from pathlib import Path

from behave import given, then, when

from hyssopwood.errors import ProtocolError
from hyssopwood.gateway.exchange import ServerAnswer, ServerLoad
from hyssopwood.gateway.load_reports import LoadReports
from hyssopwood.gateway.queue_messages import Ask, Done, QueueName, decode, encode
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.shared_queue import Granted, QueuedRequest, QueueServer, SharedQueue
from hyssopwood.gateway.work_estimates import (
    MAX_ROUTES,
    WorkEstimates,
    decayed_pace,
    time_at_pace,
)
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.link_codec import InstanceReport
from hyssopwood.keyspace.link_codec import decode as decode_link
from hyssopwood.keyspace.link_codec import encode as encode_link
from hyssopwood.platform.request_headers import PlatformHeaderCodec
from support.earlier_builds import PRESENT, load_schema
from support.queue_script import play
from support.work_replay import MIXED_ROUTES, ONE_ROUTE, Replay, quantile

SERVICE = "portal"
QUEUE = QueueName(SERVICE, "a")
# Decisions of build 131c8b0 by seed, for the events of support/queue_script.py.
EARLIER_DECISIONS = Path(__file__).parents[1] / "data" / "queue-decisions.json"
ROUTES = {"mixed": MIXED_ROUTES, "one": ONE_ROUTE}


def _close(value, expected, percent):
    return abs(value - expected) <= expected * percent / 100


@when('an answer has the load "{value}"')
def step_load(context, value):
    headers = tuple((b"server-load", part.encode()) for part in value.split(";"))
    answer = ServerAnswer(200, headers, b"")
    context.answer_head = PlatformHeaderCodec().decode_answer_headers(answer)


@then('the load read is "{text}"')
def step_load_read(context, text):
    load = context.answer_head.load
    expected = None
    if text != "-":
        running, waiting, slots, pace = text.split(",")
        pace = None if pace == "-" else float(pace)
        expected = ServerLoad(int(running), int(waiting), int(slots), pace)
    assert load == expected, load


@then('the ignored headers are "{names}"')
def step_ignored(context, names):
    assert ",".join(context.answer_head.ignored) == names, context.answer_head.ignored


@then('the ignored headers are ""')
def step_none_ignored(context):
    assert not context.answer_head.ignored, context.answer_head.ignored


def _ask(cost_s=0.0):
    return Ask(queue=QUEUE, priority=0, target_s=1.0, deadline_s=1.0, cost_s=cost_s)


@when("an ask with an expected cost of {cost_s:g} s is sent")
def step_ask_cost(context, cost_s):
    context.read_ask = decode(encode(1, _ask(cost_s)))[1]


@when("a release with a pace of {pace:g} is sent")
def step_done_pace(context, pace):
    context.read_done = decode(encode(1, Done(0.1, ServerLoad(1, 0, 2, pace))))[1]


@when("an ask without a cost and a release without a pace are sent")
def step_unstated(context):
    context.read_ask = decode(encode(1, _ask()))[1]
    context.read_done = decode(encode(1, Done(0.1, ServerLoad(1, 0, 2))))[1]


@then("the keeper reads a cost of {cost_s:g} s and a pace of {pace:g}")
def step_stated(context, cost_s, pace):
    assert _close(context.read_ask.cost_s, cost_s, 0.01), context.read_ask
    assert context.read_done.load.pace == pace, context.read_done


@then("the keeper reads neither a cost nor a pace")
def step_neither(context):
    assert context.read_ask.cost_s == 0.0 and context.read_done.load.pace is None


@when("an ask states an expected cost of {cost} ms")
def step_bad_cost(context, cost):
    # The encoder bounds what it sends; a faulty peer doesn't.
    wire = load_schema(PRESENT / "gateway", "queue.capnp").QueueMessage.new_message()
    wire.init("ask").costMs = float(cost)
    context.error = None
    try:
        decode(wire.to_bytes_packed())
    except ProtocolError as error:
        context.error = error


@then("the message is malformed")
def step_malformed(context):
    assert context.error is not None


@given('servers of factors "{text}"')
def step_factors(context, text):
    pairs = (item.split(":") for item in text.split(","))
    context.factors = {name: float(factor) for name, factor in pairs}
    context.estimates = WorkEstimates()
    context.rng = random.Random(1)


def _answer(context, count, costs, paces=(1.0,), long_share=0.0, long_factor=1.0):
    rng = context.rng
    for _ in range(count):
        route, cost_s = rng.choice(costs)
        server, factor = rng.choice(list(context.factors.items()))
        pace = rng.choice(paces)
        work = rng.lognormvariate(-0.02, 0.2) * (long_factor if rng.random() < long_share else 1.0)
        sample_s = cost_s * factor * pace * work
        context.estimates.record(SERVICE, route, (server, 1), sample_s, pace)
    context.estimates.review({(server, 1) for server in context.factors})


@when(
    '{count:d} requests of "{one}" at {one_s:g} s and "{other}" at {other_s:g} s '
    "are answered by random servers"
)
def step_answered(context, count, one, one_s, other, other_s):
    _answer(context, count, [(one, one_s), (other, other_s)])


@when(
    '{count:d} requests of "{one}" at {one_s:g} s and "{other}" at {other_s:g} s '
    "are answered at paces of {low:g} and {high:g}"
)
def step_answered_paced(context, count, one, one_s, other, other_s, low, high):
    _answer(context, count, [(one, one_s), (other, other_s)], (low, high))


@when(
    '{count:d} requests of "{one}" at {one_s:g} s and "{other}" at {other_s:g} s '
    "are answered, {percent:g} percent {factor:g} times as long"
)
def step_answered_long(context, count, one, one_s, other, other_s, percent, factor):
    _answer(context, count, [(one, one_s), (other, other_s)], (1.0,), percent / 100, factor)


@then('the expected cost of "{route}" is {cost_s:g} s within {percent:g} percent')
def step_cost(context, route, cost_s, percent):
    expected_s = context.estimates.expected_cost_s(SERVICE, route)
    assert expected_s is not None and _close(expected_s, cost_s, percent), expected_s


@then(
    'a request of "{route}" is expected to take {time_s:g} s at "{server}" '
    "within {percent:g} percent"
)
def step_expected(context, route, time_s, server, percent):
    expected_s = context.estimates.expected_time_s(SERVICE, route, (server, 1), None)
    assert _close(expected_s, time_s, percent), expected_s


@then(
    'a request of "{route}" is expected to take {time_s:g} s at "{server}" '
    "at a pace of {pace:g} within {percent:g} percent"
)
def step_expected_paced(context, route, time_s, server, pace, percent):
    expected_s = context.estimates.expected_time_s(SERVICE, route, (server, 1), pace)
    assert _close(expected_s, time_s, percent), expected_s


@then('no cost is stated for "{route}"')
def step_no_cost(context, route):
    assert context.estimates.expected_cost_s(SERVICE, route) is None


@then('a cost is stated for "{route}"')
def step_some_cost(context, route):
    assert context.estimates.expected_cost_s(SERVICE, route) is not None


@then('the relative cost of "{route}" is 1')
def step_relative(context, route):
    assert context.estimates.relative_cost(SERVICE, route) == 1.0


@when(
    'routes "{one}" and "{other}" at {cost_s:g} s get {count:d} requests of widely varying work, '
    "with seeds {first:d} to {last:d}"
)
def step_equal_costs(context, one, other, cost_s, count, first, last):
    context.stating_seeds = set()
    known = {(server, 1) for server in context.factors}
    for seed in range(first, last + 1):
        rng, estimates = random.Random(seed), WorkEstimates()
        for number in range(count):
            server, factor = rng.choice(list(context.factors.items()))
            work = rng.lognormvariate(0, 0.45) * (rng.uniform(3, 7) if rng.random() < 0.02 else 1)
            route = rng.choice((one, other))
            estimates.record(SERVICE, route, (server, 1), cost_s * factor * work, None)
            if number % 10 == 0:
                estimates.review(known)
                if estimates.costs_differ(SERVICE):
                    context.stating_seeds.add(seed)


@then("at most {count:d} seeds state a cost at any time")
def step_stating_seeds(context, count):
    assert len(context.stating_seeds) <= count, context.stating_seeds


@then("an unknown route has the mean cost of the service")
def step_unknown_route(context):
    assert context.estimates.relative_cost(SERVICE, "unknown") == 1.0
    cost_s = context.estimates.expected_cost_s(SERVICE, "unknown")
    costs = [cost_s for _, _, cost_s in context.estimates.costs()]
    assert min(costs) < cost_s < max(costs), (cost_s, costs)


@when("requests of {routes:d} routes are answered by {servers:d} servers")
def step_many(context, routes, servers):
    context.estimates = WorkEstimates()
    for number in range(max(routes, servers)):
        incarnation = (f"s{number % servers}", 1)
        context.estimates.record(SERVICE, f"r{number % routes}", incarnation, 0.1, None)


@then("at most {count:d} routes have a cost")
def step_bounded(context, count):
    assert len(list(context.estimates.costs())) <= count == MAX_ROUTES


@when('only server "{name}" is left')
def step_one_left(context, name):
    context.estimates.review({(name, 1)})


@then("estimates of {count:d} server are left")
def step_servers_left(context, count):
    assert context.estimates.server_count == count, context.estimates.server_count


@then("work of {work_s:g} s at a pace of {pace:g} takes {time_s:g} s within {percent:g} percent")
def step_time(context, work_s, pace, time_s, percent):
    assert _close(time_at_pace(work_s, pace), time_s, percent), time_at_pace(work_s, pace)


@then("a pace of {pace:g} that was stated 1 s ago is within {percent:g} percent of its excess")
def step_decayed(context, pace, percent):
    assert abs(decayed_pace(pace, 1.0) - 1.0) <= abs(pace - 1.0) * percent / 100


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


@given('a work queue for servers "{names}" with {slots:d} slots')
def step_queue(context, names, slots):
    context.now, context.next_ticket = 1000.0, 0
    servers = [QueueServer(_record(name, slots)) for name in names.split(",")]
    context.queue, context.servers = SharedQueue(lambda: servers), servers


@when('server "{name}" with {slots:d} slots joins')
def step_joins(context, name, slots):
    context.servers.append(QueueServer(_record(name, slots)))


def _enter(context, cost_s, **more):
    context.next_ticket += 1
    request = QueuedRequest(
        ticket=context.next_ticket,
        priority=0,
        target=context.now + 60,
        deadline=context.now + 60,
        cost_s=cost_s,
        **more,
    )
    return context.queue.enter(request, context.now)


@given('server "{name}" has just stated a pace of {pace:g}')
def step_pace_stated(context, name, pace):
    others = frozenset({"s1", "s2"} - {name})
    decision = _enter(context, 0.1, tried=others)
    assert isinstance(decision, Granted) and decision.server.server == name
    load = ServerLoad(0, 0, 2, pace)
    # The pace rose while the request ran, so the sample shows a server of usual speed.
    context.queue.release(context.next_ticket, 0.1 * (1 + pace) / 2, load, context.now)


@when("{seconds:g} s pass in the work queue")
def step_pass(context, seconds):
    context.now += seconds


@then('a request of {cost_s:g} s is admitted at "{name}"')
def step_admitted_at(context, cost_s, name):
    decision = _enter(context, cost_s)
    assert isinstance(decision, Granted) and decision.server.server == name, decision


@then("{admitted:d} of {count:d} requests of {cost_s:g} s are admitted")
def step_admitted_count(context, admitted, count, cost_s):
    decisions = [_enter(context, cost_s) for _ in range(count)]
    assert sum(isinstance(item, Granted) for item in decisions) == admitted, decisions


@then("a request of {cost_s:g} s waits {wait_s:g} s within {percent:g} percent")
def step_waits(context, cost_s, wait_s, percent):
    decision = _enter(context, cost_s)
    assert _close(decision.wait_s, wait_s, percent), decision


@then("a request without a cost waits {wait_s:g} s within {percent:g} percent")
def step_waits_unstated(context, wait_s, percent):
    decision = _enter(context, None)
    assert _close(decision.wait_s, wait_s, percent), decision


@when("{count:d} requests of {cost_s:g} s were served")
def step_served(context, count, cost_s):
    for _ in range(count):
        assert isinstance(_enter(context, cost_s), Granted)
        context.queue.release(context.next_ticket, cost_s, None, context.now)


@when(
    '{count:d} requests without a cost took {one_s:g} s at "{one}" and {other_s:g} s at "{other}"'
)
def step_served_unstated(context, count, one_s, one, other_s, other):
    for number in range(count):
        name, sample_s, tried = (
            (one, one_s, frozenset({other})) if number % 2 else (other, other_s, frozenset({one}))
        )
        decision = _enter(context, None, tried=tried)
        assert decision.server.server == name
        context.queue.release(context.next_ticket, sample_s, None, context.now)


@then(
    "a request of {cost_s:g} s is expected to take {time_s:g} s "
    'at "{name}" within {percent:g} percent'
)
def step_expected_at(context, cost_s, time_s, name, percent):
    decision = _enter(context, cost_s)
    assert decision.server.server == name, decision
    assert _close(decision.expected_s, time_s, percent), decision.expected_s


@when(
    "{count:d} random events are replayed on queues of this and the earlier build "
    "with seed {seed:d}"
)
def step_same_events(context, count, seed):
    earlier = json.loads(EARLIER_DECISIONS.read_text(encoding="utf-8"))
    assert earlier["events"] == count
    context.decisions = play(seed, count), earlier["decisions"][str(seed)]


@then("all their decisions are the same")
def step_same(context):
    present, earlier = context.decisions
    assert len(present) == len(earlier) and len(earlier) > 1000, (len(present), len(earlier))
    kinds = {kind for kind, _, _ in earlier}
    assert kinds == {"granted", "queued", "rejected"}, kinds
    for own, known in zip(present, earlier, strict=True):
        assert own[:2] == known[:2], (own, known)
        if own[0] == "granted":
            assert own[2] == known[2], (own, known)
        else:
            assert math.isclose(own[2], known[2], rel_tol=1e-9, abs_tol=1e-9), (own, known)


@when("a wave of demand for {routes} is replayed over {queues} with seeds {first:d} to {last:d}")
def step_replay(context, routes, queues, first, last):
    common = {"routes": ROUTES[routes], "owners": queues == "owners"}
    seeds = range(first, last + 1)
    context.enabled = [Replay(seed=seed, **common).play() for seed in seeds]
    context.disabled = [
        Replay(seed=seed, states_cost=False, figures=3, **common).play() for seed in seeds
    ]


@then("late and refused responses are at most {most:g} times those without the part")
def step_outcomes(context, most):
    lost = [
        sum(1 - replay.share("in target") for replay in group)
        for group in (context.enabled, context.disabled)
    ]
    assert lost[0] <= most * lost[1], lost


@then(
    "the predicted work is wrong by at most {most:g} of itself in the median near changes of speed"
)
def step_errors(context, most):
    for name in context.enabled[0].work_errors:
        errors = [error for item in context.enabled for error in item.work_errors[name]]
        assert quantile(errors, 0.5) <= most, (name, quantile(errors, 0.5))


@given('the routes "{one}" at {one_s:g} s and "{other}" at {other_s:g} s of a service are known')
def step_known_routes(context, one, one_s, other, other_s):
    context.reports = LoadReports(KeyLoad(context.timers))
    context.factors, context.rng = {"s1": 1.0}, random.Random(1)
    context.estimates = context.reports.work
    _answer(context, 400, [(one, one_s), (other, other_s)])


@when(
    '{count:d} requests of "{one}" for key {one_key:d} and {others:d} of "{other}" '
    "for key {other_key:d} are reported"
)
def step_reported(context, count, one, one_key, others, other, other_key):
    for _ in range(count):
        context.reports.record_request(SERVICE, one_key, one)
    for _ in range(others):
        context.reports.record_request(SERVICE, other_key, other)
    context.report = decode_link(encode_link(context.reports.collect()))


@then("the leader reads {count:d} requests for each key")
def step_read_counts(context, count):
    assert set(context.report.keys[SERVICE].values()) == {count}, context.report.keys


@then("the report states no work")
def step_no_work(context):
    assert not context.report.work, context.report.work


@then("key {key:d} has {ratio:g} times the load of key {other:d} within {percent:g} percent")
def step_load_ratio(context, key, ratio, other, percent):
    load = KeyLoad(context.timers)
    work = context.report.work.get(SERVICE, {})
    for number, count in context.report.keys[SERVICE].items():
        load.record_requests(SERVICE, number, work.get(number, count))
    counts = load.counts()[SERVICE]
    assert _close(counts[key] / counts[other], ratio, percent), counts


@when("a report states a work of {work} for one request")
def step_bad_work(context, work):
    report = InstanceReport({SERVICE: {1: 1}}, {}, work={SERVICE: {1: float(work)}})
    context.error = None
    try:
        decode_link(encode_link(report))
    except ProtocolError as error:
        context.error = error
