"""Steps for instances that lose their links to all servers."""

import asyncio
import time
from collections import Counter

import aiohttp
from attrs import frozen
from behave import given, then, when

from hyssopwood.keyspace.plan import KEY_COUNT
from support.gateway_deployment import Deployment

# Requests per second at each instance; the servers can run 600 in all.
RATE_PER_S = 12
WORK_S = 0.02
WARM_UP_S = 1.0
AFTERWARDS_S = 4.0
REFUSED = 503
SERVED_SHARE = 49 / 50


@frozen
class _Call:
    instance: str
    request_id: str
    # Seconds since the cut began.
    sent_at: float
    took_s: float
    # None if there was no whole answer.
    status: int | None
    retry_after_s: float | None


@given(
    "a platform with {servers:d} servers and {count:d} instances in {domains:d} failure domains,"
    " whose links can be cut"
)
def step_platform(context, servers, count, domains):
    names = [f"i{number}" for number in range(count)]
    server_names = [f"s{number}" for number in range(servers)]
    domain_of = {
        name: f"d{index % domains}"
        for group in (names, server_names)
        for index, name in enumerate(group)
    }
    context.deployment = Deployment(cuttable=True, domains=domain_of)
    context.add_cleanup(lambda: context.run(context.deployment.stop()))
    context.run(context.deployment.start(server_names, names))
    for server in context.deployment.servers.values():
        server.work_s = WORK_S


def _choose(deployment, which):
    names = list(deployment.instances)
    (leader,) = [name for name in names if deployment.instances[name].daemon.is_leader]
    others = [name for name in names if name != leader]
    domain = deployment.domains[leader]
    return {
        "the leader": [leader],
        "another instance": others[:1],
        "a third with the leader": [leader, others[0]],
        "the leader's failure domain": [n for n in names if deployment.domains[n] == domain],
        "the other failure domain": [n for n in names if deployment.domains[n] != domain],
        "all but two": [leader, *others[:-2]],
        "all": names,
    }[which]


class _Callers:
    """Callers that send requests to every instance at a constant rate and never retry."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._began = time.monotonic()
        self.cut_at = 0.0
        self.calls = []

    async def run(self, name):
        tasks, number = set(), 0
        try:
            while True:
                tasks.add(asyncio.ensure_future(self._call(name, number)))
                number += 1
                await asyncio.sleep(1 / RATE_PER_S)
        finally:
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, name, number):
        request_id = f"{name}-{number}"
        method = "POST" if number % 2 else "GET"
        sent_at = time.monotonic()
        status = retry_after_s = None
        try:
            answer = await self._deployment.send_for_answer(
                self._deployment.instances[name],
                number * 7919 % KEY_COUNT,
                method=method,
                request_id=request_id,
            )
            status = answer.status
            if "Retry-After" in answer.headers:
                retry_after_s = float(answer.headers["Retry-After"])
        except aiohttp.ClientError:
            pass
        took_s = time.monotonic() - sent_at
        call = _Call(name, request_id, sent_at, took_s, status, retry_after_s)
        self.calls.append(call)

    def sent_between(self, first_s, last_s, names):
        """Return the calls that were sent to instances in a time since the cut began."""
        return [
            call
            for call in self.calls
            if first_s <= call.sent_at - self.cut_at < last_s and call.instance in names
        ]


@when(
    "the links of {which} to all servers {fail} for {seconds:g} s while callers use all instances"
)
def step_cut(context, which, fail, seconds):
    deployment = context.deployment
    context.cut_s = seconds

    async def play():
        context.callers = callers = _Callers(deployment)
        running = [asyncio.ensure_future(callers.run(name)) for name in deployment.instances]
        await asyncio.sleep(WARM_UP_S)
        context.cut_off = _choose(deployment, which)
        links = [deployment.instances[name].links for name in context.cut_off]
        callers.cut_at = time.monotonic()
        for item in links:
            item.cut(fail)
        await asyncio.sleep(seconds)
        for item in links:
            item.heal()
        await asyncio.sleep(AFTERWARDS_S)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    context.run(play())


@when("one instance can't open connections to one server for {seconds:g} s, as they {fail}")
def step_cut_one(context, seconds, fail):
    deployment = context.deployment
    context.cut_s = seconds
    links = deployment.instances["i1"].links
    server = next(iter(deployment.servers.values()))
    context.cut_off = ["i1"]

    async def play():
        context.callers = callers = _Callers(deployment)
        running = [asyncio.ensure_future(callers.run(name)) for name in deployment.instances]
        await asyncio.sleep(WARM_UP_S)
        callers.cut_at = time.monotonic()
        links.only_port, links.fault = int(server.address.rpartition(":")[2]), fail
        deployment.instances["i1"].daemon._paths.pool.retain(set())
        await asyncio.sleep(seconds)
        links.fault = ""
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    context.run(play())


def _check_served(context, names, first_s):
    calls = context.callers.sent_between(first_s, context.cut_s, names)
    served = sum(call.status == 200 for call in calls)
    statuses = Counter(call.status for call in calls)
    assert calls and served >= SERVED_SHARE * len(calls), (served, len(calls), statuses)


@then(
    "from {first_s:g} s after the cut on 49 of 50 first tries are served at the cut off instances"
)
def step_cut_served(context, first_s):
    _check_served(context, set(context.cut_off), first_s)


@then("from {first_s:g} s after the cut on 49 of 50 first tries are served at the other instances")
def step_others_served(context, first_s):
    _check_served(context, set(context.deployment.instances) - set(context.cut_off), first_s)


@then(
    "from {first_s:g} s after the cut on every request is refused within {limit_s:g} s"
    " with a time to retry"
)
def step_refused(context, first_s, limit_s):
    # A request that is sent later may get its answer after the cut, from a server.
    last_s = context.cut_s - limit_s
    calls = context.callers.sent_between(first_s, last_s, context.cut_off)
    wrong = [
        call
        for call in calls
        if call.status != REFUSED or call.took_s > limit_s or not call.retry_after_s
    ]
    assert calls and not wrong, (len(wrong), len(calls), wrong[:3])


@then("from {after_s:g} s after the end of the cut on every request is served")
def step_served_again(context, after_s):
    first_s = context.cut_s + after_s
    calls = context.callers.sent_between(first_s, float("inf"), context.cut_off)
    wrong = [call for call in calls if call.status != 200]
    assert calls and not wrong, (len(wrong), len(calls), wrong[:3])


@then("no request ran twice, and none that was refused ran")
def step_at_most_once(context):
    runs = Counter(
        request_id
        for server in context.deployment.servers.values()
        for request_id in server.executed_request_ids
    )
    posts = {call.request_id for call in context.callers.calls if _is_post(call)}
    twice = [request_id for request_id in posts if runs[request_id] > 1]
    refused = {call.request_id for call in context.callers.calls if call.status == REFUSED}
    assert not twice, twice
    assert not refused & runs.keys() & posts, refused & runs.keys() & posts


def _is_post(call):
    return int(call.request_id.rsplit("-", 1)[1]) % 2 == 1
