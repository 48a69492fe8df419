"""Steps for the detection of an instance's own lost links, in virtual time."""

import asyncio
import random

from behave import given, then, when

from hyssopwood.gateway.exchange import NotSentError
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_reach import ServerReach
from hyssopwood.metrics import Metrics
from support.virtual_time import SimulatedProcess, VirtualLoop

# Time after which a request without an answer is given up.
DEADLINE_S = 0.5
REQUEST_INTERVAL_S = 0.02
CONNECT_TIMEOUT_S = 0.5
SLOW_CONNECT_S = 0.25
ROUND_TRIP_S = 0.002
WORK_S = 0.05
# Every so many requests need a new connection.
NEW_CONNECTION_EVERY = 5
END_S = 12.0


def _record(number, service="portal"):
    return ServerRecord(
        server=f"s{number}",
        service=service,
        address=f"10.0.0.{number}:1",
        failure_domain="a",
        slots=2,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


class _Links:
    """The links of one instance to its servers."""

    def __init__(self, servers, others, timers, rng):
        self.directory = ServerDirectory()
        for number in range(servers):
            self.directory.put(_record(number))
        for number in range(servers, servers + others):
            self.directory.put(_record(number, "desk"))
        self.rng = rng
        self.failing = set()
        self.fault = ""
        self.probes = 0
        self.reach = ServerReach(
            self.directory, self.probe, lambda server, connection: None, timers, Metrics(), rng
        )

    async def _open(self, address, timeout_s):
        if address in self.failing:
            if self.fault == "hang":
                await asyncio.sleep(timeout_s)
            raise NotSentError("no connection")
        await asyncio.sleep(ROUND_TRIP_S)

    async def probe(self, address, timeout_s):
        self.probes += 1
        await self._open(address, timeout_s)

    async def connect(self, server):
        loop = asyncio.get_running_loop()
        slow = loop.call_later(SLOW_CONNECT_S, self.reach.record_unconnected, server)
        try:
            await self._open(server.address, CONNECT_TIMEOUT_S)
        except NotSentError:
            self.reach.record_unconnected(server)
            return False
        finally:
            slow.cancel()
        self.reach.record_connected(server.service)
        return True

    async def request(self, number):
        server = self.rng.choice(self.directory.records())
        if number % NEW_CONNECTION_EVERY == 0 and not await self.connect(server):
            return
        if server.address in self.failing and self.fault != "live on while new ones are refused":
            await asyncio.sleep(DEADLINE_S if self.fault == "hang" else ROUND_TRIP_S)
            self.reach.record_failed(server)
            return
        await asyncio.sleep(WORK_S)
        self.reach.record_answered(server.service)


async def _simulate(servers, others, failing, fault, first_s, last_s):
    loop = asyncio.get_running_loop()
    rng = random.Random(servers)
    links = _Links(servers, others, SimulatedProcess("i", rng), rng)
    began = loop.time()
    changes = []
    links.reach.subscribe(lambda service, cut_off: changes.append((loop.time() - began, cut_off)))
    addresses = [record.address for record in links.directory.records()]
    requests, number = set(), 0
    while loop.time() - began < END_S:
        elapsed = loop.time() - began
        links.fault = fault
        links.failing = set(addresses[:failing]) if first_s <= elapsed < last_s else set()
        requests.add(asyncio.ensure_future(links.request(number)))
        number += 1
        await asyncio.sleep(REQUEST_INTERVAL_S)
    links.reach.close()
    for task in requests:
        task.cancel()
    await asyncio.gather(*requests, return_exceptions=True)
    return changes, links.probes


def _run(context, failing, fault, first_s, last_s):
    loop = VirtualLoop()
    try:
        context.changes, context.probes = loop.run_until_complete(
            _simulate(context.server_count, context.other_count, failing, fault, first_s, last_s)
        )
    finally:
        loop.close()
    context.first_s = first_s


@given("an instance with {count:d} servers that it sends requests")
def step_instance(context, count):
    context.server_count, context.other_count = count, 0


@given("{count:d} servers of another service that it sends requests")
def step_other_service(context, count):
    context.other_count = count


@when("its connections to all servers {fault} from second {first_s:g} to second {last_s:g}")
def step_cut(context, fault, first_s, last_s):
    _run(context, context.server_count, fault, first_s, last_s)


@when("its connections to {failing:d} servers {fault} from second {first_s:g} to second {last_s:g}")
def step_servers_fail(context, failing, fault, first_s, last_s):
    _run(context, failing, fault, first_s, last_s)


@then("it counts as cut off at most {known_s:g} s after that, and not before")
def step_known(context, known_s):
    at, cut_off = context.changes[0]
    assert cut_off and 0 <= at - context.first_s <= known_s, context.changes


@then("it counts as connected at most {known_s:g} s after second {last_s:g}")
def step_over(context, known_s, last_s):
    assert len(context.changes) == 2, context.changes
    at, cut_off = context.changes[1]
    assert not cut_off and 0 <= at - last_s <= known_s, context.changes


@then("it never counts as cut off")
def step_never(context):
    assert context.changes == [], context.changes


@then("it has probed at most {most:d} times")
def step_probes(context, most):
    assert context.probes <= most, context.probes
