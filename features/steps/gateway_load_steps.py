"""Steps for decisions under load, without input and output."""

import random
from bisect import bisect_left

from attrs import evolve
from behave import given, then, when

from hyssopwood.gateway.domain_choice import choose_waiting_domain, order_domains
from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.route_table import Route, WeightedService
from hyssopwood.gateway.shared_queue import service_sample_s
from hyssopwood.gateway.weighted_choice import WeightedChoice
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.placement import CandidateServer, distribute_lost_ranges, plan_moves
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, assign, divide_evenly
from hyssopwood.queue_experiment import KINDS, POLICIES, Workload, simulate
from support.hot_ranges import HotRange

SERVICE = "portal"


def _targets(text):
    pairs = (item.split(":") for item in text.split(","))
    return tuple(WeightedService(name, float(weight)) for name, weight in pairs)


@when('{count:d} requests are divided between "{text}"')
def step_divide(context, count, text):
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        targets=_targets(text),
        idempotent=True,
        max_attempts=1,
        timeout_s=1.0,
        target_latency_s=1.0,
        priority=0,
    )
    choice = WeightedChoice()
    context.chosen = [choice.choose(route) for _ in range(count)]


@then('every 10 in a row hold {one:d} for "{first}" and {other:d} for "{second}"')
def step_shares(context, one, first, other, second):
    for start in range(0, len(context.chosen), 10):
        part = context.chosen[start : start + 10]
        assert (part.count(first), part.count(second)) == (one, other), part


def _waits(text):
    pairs = (item.split(":") for item in text.split(","))
    return {domain: float(wait_s) for domain, wait_s in pairs}


@when('failure domains reported waits of "{text}"')
def step_waits(context, text):
    context.waits = _waits(text)


@then('domain "{domain}" asks in the order "{order}"')
def step_order(context, domain, order):
    asked = order_domains(context.waits, domain, context.waits)
    assert ",".join(asked) == order, asked


@then('if none admits the request at once it waits in "{domain}"')
def step_waits_in(context, domain):
    assert choose_waiting_domain("a", context.waits) == domain


@given(
    "a retry budget with a ratio of {ratio:g}, {extra:d} extra and a window of {window_s:d} s "
    "for {instances:d} instances"
)
def step_budget(context, ratio, extra, window_s, instances):
    context.budget = RetryBudget(ratio, float(extra), float(window_s), lambda: instances)
    context.now = 1000.0


@when("{count:d} first sends were made")
def step_sends(context, count):
    for _ in range(count):
        context.budget.record_send(context.now)


@when("{seconds:d} s pass for the budget")
def step_budget_pass(context, seconds):
    context.now += seconds


@then("{count:d} retries are allowed")
def step_retries(context, count):
    consumed = 0
    while context.budget.try_consume(context.now):
        consumed += 1
    assert consumed == count, consumed


@given(
    "{servers:d} servers of {slots:d} slots and work of {work_s:g} s that get {rate:d} requests a "
    "second"
)
def step_hot_servers(context, servers, slots, work_s, rate):
    context.hot = (servers, slots, work_s, rate)


@when(
    "{share:g} of the requests go to {count:d} adjacent keys for 5 s, with seeds from "
    "{first:d} to {last:d}"
)
def step_hot_keys(context, share, count, first, last):
    context.simulations = [
        HotRange(seed, *context.hot, share, count) for seed in range(first, last + 1)
    ]
    context.lost = [item.play() for item in context.simulations]


@then("at most {seconds:g} s worth of the hot requests exceed the capacity of their servers")
def step_hot_lost(context, seconds):
    lost = sum(context.lost) / len(context.lost)
    assert lost <= seconds * context.simulations[0].hot_rate, (
        context.lost,
        context.simulations[0].hot_rate,
    )


@then("at most {share:g} of the keys have moved in the 14 s")
def step_hot_moved(context, share):
    moved = max(item.moved for item in context.simulations) / KEY_COUNT
    assert 0 < moved <= share, moved


@given("{count:d} instances with uneven loads that retry as often as they may")
def step_uneven_instances(context, count):
    context.rng = random.Random(1)
    context.weights = [context.rng.uniform(0.2, 3.0) for _ in range(count)]


@when(
    "they serve {rate:d} requests a second in total for {seconds:d} s, "
    "with peaks of {crest:g} times the rate"
)
def step_serve(context, rate, seconds, crest):
    rng, now = context.rng, 0.0
    context.extra = 64 if len(context.weights) == 12 else 212
    instances = len(context.weights)
    budgets = [RetryBudget(0.2, context.extra, 10.0, lambda: instances) for _ in context.weights]
    context.sends, context.retries = [], []
    while now < seconds:
        # A peak lasts 4 s of every 13 s.
        now += rng.expovariate(rate * (crest if now % 13 < 4 else 1))
        (number,) = rng.choices(range(instances), context.weights)
        budgets[number].record_send(now)
        context.sends.append(now)
        if budgets[number].try_consume(now):
            context.retries.append(now)


def _between(times, first, last):
    return bisect_left(times, last) - bisect_left(times, first)


@then("no 10 s hold more retries than 0.2 of the requests and {extra:d}")
def step_in_windows(context, extra):
    assert extra == context.extra and len(context.retries) > extra
    for end in range(100, 400):
        last = end / 10
        # The requests are counted in the window, in the previous one, or in the one 5 s earlier.
        requests = max(
            _between(context.sends, last - 10 - back, last - back) for back in (0, 5, 10)
        )
        retries = _between(context.retries, last - 10, last)
        assert retries <= 0.2 * requests + extra, (last, retries, requests)


def _incarnation(name):
    return name, 1


@given('{count:d} servers with equal parts of the keys and speeds "{speeds}"')
def step_servers(context, count, speeds):
    values = [float(value) for value in speeds.split(",")]
    context.speeds = {f"s{n}": values[n % len(values)] for n in range(1, count + 1)}
    context.parts = divide_evenly(tuple(_incarnation(name) for name in context.speeds), 1)
    context.before = context.parts
    context.load = KeyLoad(context.timers)


@given("one more server without keys")
def step_joined(context):
    context.speeds["joined"] = 1.0


@given(
    "a demand of {rate:d} a second of which {share:d} percent lies on {keys:d} keys from {first:d}"
)
def step_demand(context, rate, share, keys, first):
    rng = random.Random(1)
    for _ in range(rate * 5):
        hot = rng.random() * 100 < share
        key = first + rng.randrange(keys) if hot else rng.randrange(KEY_COUNT)
        context.load.record_requests(SERVICE, key, 1.0)


@given("{count:d} requests for random keys")
def step_few(context, count):
    rng = random.Random(2)
    for _ in range(count):
        context.load.record_requests(SERVICE, rng.randrange(KEY_COUNT), 1.0)


def _shares(context):
    load = context.load.load_map(SERVICE)
    return [
        CandidateServer(
            _incarnation(name),
            sum(load.rate(p.first, p.last) for p in context.parts if p.server == name),
            2 * speed,
            sum(p.size for p in context.parts if p.server == name),
        )
        for name, speed in context.speeds.items()
    ]


@given("all servers answer within {seconds:g} s")
def step_all_answer(context, seconds):
    for name in context.speeds:
        _record_times(context, name, service_sample_s(seconds, None, 2))


def _record_times(context, name, sample_s):
    for _ in range(20):
        context.load.record_answer_time(_incarnation(name), sample_s)


@when('requests to server "{name}" end without an answer after {seconds:g} s')
def step_no_answer(context, name, seconds):
    _record_times(context, name, service_sample_s(seconds, None, 2))


@when('server "{name}" answers within {seconds:g} s again')
def step_answers_again(context, name, seconds):
    _record_times(context, name, service_sample_s(seconds, None, 2))


@when("placement runs for {rounds:d} rounds with learned speeds")
def step_place_learned(context, rounds):
    context.speeds = {name: context.load.speed(_incarnation(name), 0.0) for name in context.speeds}
    step_place(context, rounds)


def _load_share(context, name):
    rates = {share.incarnation[0]: share.rate for share in _shares(context)}
    return rates[name] * len(rates) / sum(rates.values())


@then('server "{name}" has at most {most:g} times the mean load')
def step_at_most(context, name, most):
    assert _load_share(context, name) <= most, _load_share(context, name)


@then('server "{name}" has at least {least:g} times the mean load')
def step_at_least(context, name, least):
    assert _load_share(context, name) >= least, _load_share(context, name)


@when("placement runs for {rounds:d} rounds")
def step_place(context, rounds):
    for number in range(rounds):
        moves = plan_moves(context.parts, _shares(context), context.load.load_map(SERVICE))
        for move in moves:
            keys = KeyRange(move.first, move.last, *move.target, number + 2)
            context.parts = assign(context.parts, keys)
        context.parts = tuple(evolve(part, fence=1) for part in context.parts)


@then("the busiest server has at most {most:g} times the mean load for its speed")
def step_busiest(context, most):
    shares = _shares(context)
    mean = sum(share.rate for share in shares) / sum(share.capacity for share in shares)
    busiest = max(share.rate / share.capacity for share in shares) / mean
    assert busiest <= most, busiest


@then("at most {percent:d} percent of the keys have moved")
def step_moved(context, percent):
    before = {key: part.server for part in context.before for key in _sample(part)}
    after = {key: part.server for part in context.parts for key in _sample(part)}
    moved = sum(before[key] != after[key] for key in before)
    assert moved * 100 <= percent * len(before), moved / len(before)


def _sample(part):
    return range(part.first + -part.first % 16, part.last + 1, 16)


@then("every server has keys")
def step_all_have_keys(context):
    assert {part.server for part in context.parts} == set(context.speeds)


@when('server "{name}" is lost')
def step_lost(context, name):
    lost = [part for part in context.parts if part.server == name]
    del context.speeds[name]
    context.lost = lost
    context.moves = list(
        distribute_lost_ranges(lost, _shares(context), context.load.load_map(SERVICE))
    )


@then("its keys go to at least {count:d} servers and each key to one")
def step_divided(context, count):
    assert len({move.target for move in context.moves}) >= count
    keys = sorted(key for move in context.moves for key in range(move.first, move.last + 1))
    assert keys == [key for part in context.lost for key in range(part.first, part.last + 1)]


@when("peak load of {crest:g} times the servers' capacity is simulated with all policies")
def step_simulate_policies(context, crest):
    load = Workload(servers=6, seconds=20.0, crest=crest)
    context.results = {name: simulate(load, name) for name in POLICIES}


@then('"{one}" earns at least {factor:g} times the worth of "{other}"')
def step_earns(context, one, factor, other):
    worth = {name: result.worth for name, result in context.results.items()}
    assert worth[one] >= factor * worth[other], worth


@then('"{one}" overloads servers and "{other}" doesn\'t')
def step_overloads(context, one, other):
    assert context.results[one].overflowed > 0
    assert context.results[other].overflowed == 0


@then('with "{name}" no kind earns less than a less urgent one')
def step_urgent_first(context, name):
    kinds = sorted(KINDS, key=lambda kind: kind.priority)
    earned = [context.results[name].worth_of(kind) for kind in kinds]
    assert earned == sorted(earned, reverse=True), earned
