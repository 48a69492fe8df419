"""Steps for the allowance of repeats that all instances share."""

import asyncio
import time
from bisect import bisect_left, bisect_right
from contextlib import suppress
from unittest.mock import patch

import aiohttp
from behave import given, then, when

from support.gateway_deployment import Deployment
from support.retry_share_model import EXTRA, RATIO, RetryShareModel

SERVICE = "desk"
PATH = "/photos/x"
WINDOW_S = 10.0
LEADER_LIMIT_S = 6.0
SCHEDULE_S = 90.0


class _Arrivals:
    """What servers saw: the time of each arrival, and whether it was the first of its request."""

    def __init__(self):
        self._seen = set()
        self.first_at = []
        self.repeated_at = []

    def record(self, request_id):
        """Record an arrival and return whether it was the first one."""
        first = request_id not in self._seen
        self._seen.add(request_id)
        (self.first_at if first else self.repeated_at).append(time.monotonic())
        return first


@given("{count:d} instances and {servers:d} servers whose every first answer to a request is lost")
def step_deployment(context, count, servers):
    context.deployment = Deployment(service=SERVICE)
    context.add_cleanup(lambda: context.run(context.deployment.stop()))
    names = [f"i{number}" for number in range(count)]
    context.run(context.deployment.start([f"s{number}" for number in range(servers)], names))
    context.arrivals = _Arrivals()
    for server in context.deployment.servers.values():
        server.loses_answer = context.arrivals.record
    context.sent_at = []


def _leader(deployment):
    leaders = [item for item in deployment.instances.values() if item.daemon.is_leader]
    return leaders[-1] if leaders else None


async def _refuse(*address):
    raise ConnectionRefusedError("the links between instances are cut")


def _cut_links(deployment):
    for instance in deployment.instances.values():
        for writer in list(instance.daemon._link_server._writers):
            writer.transport.abort()
    return patch("hyssopwood.keyspace.link.asyncio.open_connection", _refuse)


async def _call(context, instance):
    context.sent_at.append(time.monotonic())
    with suppress(aiohttp.ClientError, OSError):
        await context.deployment.send(instance, 1, path=PATH)


async def _send_to_all(context, leader_rate, other_rate):
    """Send requests at the given rates until cancelled."""
    tasks, due = set(), {}
    try:
        while True:
            now = time.monotonic()
            leader = _leader(context.deployment)
            for instance in list(context.deployment.instances.values()):
                rate = leader_rate if instance is leader else other_rate
                if now - due.get(instance, now - 1 / rate) >= 1 / rate:
                    due[instance] = now
                    tasks.add(asyncio.ensure_future(_call(context, instance)))
            await asyncio.sleep(0.01)
    finally:
        await asyncio.gather(*tasks, return_exceptions=True)


@when(
    "the instances lose their links to each other, and each leader is killed after {seconds:g} s,"
    " {times:d} times"
)
def step_plan(context, seconds, times):
    context.leader_s, context.kills = seconds, times


@when(
    "the current leader gets {leader_rate:g} requests a second meanwhile and each other instance"
    " {other_rate:g}"
)
def step_play(context, leader_rate, other_rate):
    deployment = context.deployment

    async def play():
        count = len(deployment.instances)
        await deployment.until(
            lambda: all(
                item.daemon._instances.count == count for item in deployment.instances.values()
            )
        )
        sending = asyncio.ensure_future(_send_to_all(context, leader_rate, other_rate))
        with _cut_links(deployment):
            for _ in range(context.kills):
                async with asyncio.timeout(LEADER_LIMIT_S):
                    while _leader(deployment) is None:
                        await asyncio.sleep(0.02)
                await asyncio.sleep(context.leader_s)
                await deployment.kill(deployment.instances.pop(_leader(deployment).name))
            await asyncio.sleep(context.leader_s)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    context.run(play())


def _count(times, start, end):
    return bisect_right(times, end) - bisect_left(times, start)


@when(
    "the instances lose their links to each other as soon as each has linked to the leader, and"
    " each gets {rate:g} requests a second for {seconds:g} s"
)
def step_cut_early(context, rate, seconds):
    deployment = context.deployment

    async def play():
        # New instances of a running deployment: each links while the leader's list is filling up.
        for name in list(deployment.instances):
            await deployment.kill(deployment.instances.pop(name))
            deployment.start_instance(name)
        others = {item for item in deployment.instances.values() if item is not _leader(deployment)}
        await deployment.until(lambda: all(item.daemon._link._writer for item in others))
        with _cut_links(deployment):
            sending = asyncio.ensure_future(_send_to_all(context, rate, rate))
            await asyncio.sleep(seconds)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    context.run(play())


@then("no 10 s have more repeats at the servers than {ratio:g} of the requests and {extra:d}")
def step_bound(context, ratio, extra):
    repeated, sent = context.arrivals.repeated_at, sorted(context.sent_at)
    for end in repeated:
        start = end - WINDOW_S
        most = max(_count(sent, start - back, end - back) for back in (0, WINDOW_S / 2, WINDOW_S))
        repeats = _count(repeated, start, end)
        assert repeats <= ratio * most + extra, (repeats, ratio * most + extra, most)


@then("at least {count:d} requests were repeated")
def step_repeated(context, count):
    assert len(context.arrivals.repeated_at) >= count, len(context.arrivals.repeated_at)


@when(
    "{count:d} processes that get {rate:d} requests a second and repeat all they may meet kills,"
    " lost links, lost stores and leaders that follow each other, with seeds from {first:d} to"
    " {last:d}"
)
def step_schedules(context, count, rate, first, last):
    context.models = [RetryShareModel(seed, count, rate) for seed in range(first, last + 1)]
    for model in context.models:
        model.play(SCHEDULE_S)


@then("no 10 s of any schedule have more repeats than {ratio:g} of the requests and {extra:d}")
def step_schedules_bound(context, ratio, extra):
    excess = {number: item.worst_excess(ratio, extra) for number, item in enumerate(context.models)}
    worst = max(excess, key=excess.get)
    assert excess[worst] <= 0, (worst, excess[worst])
    # Each schedule must have had several leaders, or it shows nothing.
    assert min(item.terms for item in context.models) >= 2


@when(
    "{count:d} processes that get {rate:d} requests a second and repeat all they may run"
    " undisturbed for {seconds:d} s"
)
def step_undisturbed(context, count, rate, seconds):
    context.model = RetryShareModel(1, count, rate, faults=False)
    context.model.play(seconds)


@then("the last 10 s have at least {least:g} and at most {most:g} of the allowance")
def step_whole(context, least, most):
    model, end = context.model, context.model.clock.time
    repeats = _count(model.repeats, end - WINDOW_S, end)
    allowed = RATIO * _count(model.first_sends, end - WINDOW_S, end) + EXTRA
    assert least * allowed <= repeats <= most * allowed, (repeats, allowed)
