"""Steps for connections to servers that end, and for answers that are repeated."""

import asyncio
from unittest.mock import patch

from behave import given, then, when

from hyssopwood.gateway.exchange import NotSentError, ServerAnswer
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.keyspace.grant_channels import GrantChannels
from hyssopwood.keyspace.plan import KeyRange
from hyssopwood.platform.key_commands import PlatformKeyCommands
from support.key_cluster import KeyCluster, _FakeConnection


async def _lose_rival_renewals(cluster):
    """Let a rival renew all ranges and the store lose its claim; return the recovery time."""
    await cluster.start()
    await asyncio.sleep(6.0)
    leader = cluster.leaders()[0]
    before = cluster.loop.time()
    cluster.store.disconnected.add(leader.name)
    others = [*(item.name for item in cluster.instances if item is not leader), *cluster.servers]
    cluster.cut_links |= {(leader.name, name) for name in others}
    while len(cluster.leaders()) < 2:
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    cluster.store.disconnected = {item.name for item in cluster.instances if item is not leader}
    cluster.store.restore(before)
    cluster.cut_links -= {(leader.name, name) for name in cluster.servers}
    restored_at = cluster.loop.time()
    await asyncio.sleep(10.0)
    while cluster.owned_share() < 0.999 and cluster.loop.time() < restored_at + 120.0:
        await asyncio.sleep(0.05)
    elapsed_s = cluster.loop.time() - restored_at
    await cluster.stop()
    return elapsed_s


@when(
    "the store loses the claim of a rival that has renewed all ranges, "
    "with seeds from {first:d} to {last:d}"
)
def step_lose_renewals(context, first, last):
    context.recoveries_s = []
    for seed in range(first, last + 1):
        cluster = KeyCluster(seed)
        context.recoveries_s.append(cluster.run(_lose_rival_renewals(cluster)))
        assert not cluster.violations, cluster.violations[:3]


@then("all keys have an owner again within {seconds:g} s")
def step_all_recovered(context, seconds):
    assert max(context.recoveries_s) <= seconds, context.recoveries_s


_exchange = _FakeConnection.exchange


async def _exchange_once(connection, address, request, id_header):
    answer = await _exchange(connection, address, request, id_header)
    connection.close()
    return answer


async def _watch_outage(cluster, outage_s):
    await cluster.start()
    await asyncio.sleep(8.0)
    cluster.store.down = True
    cluster.later(outage_s, setattr, cluster.store, "down", False)
    least = 1.0
    for _ in range(int(outage_s / 0.05)):
        await asyncio.sleep(0.05)
        least = min(least, cluster.owned_share())
    await cluster.stop()
    return least


@when(
    "servers close each connection after an answer and the store is unavailable for {outage_s:d} s"
)
def step_close_connections(context, outage_s):
    cluster = KeyCluster(1)
    with patch.object(_FakeConnection, "exchange", _exchange_once):
        context.least = cluster.run(_watch_outage(cluster, outage_s))


@then("the keys stay owned")
def step_keys_stay(context):
    assert context.least > 0.999, context.least


class _LoopTimers:
    def now(self):
        return asyncio.get_running_loop().time()


async def _repeat_answer(reader, writer):
    answers = b"HTTP/1.1 200 OK\r\nHandover: h1\r\nContent-Length: 0\r\n\r\n"
    try:
        for _ in range(2):
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(
                int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
            )
            writer.write(answers)
        await reader.read()
    finally:
        writer.close()


def _ignore():
    return None


@given("a server that repeats its answer to the first release instead of one to the second")
def step_repeating_server(context):
    context.serve = _repeat_answer
    context.before_sending = _ignore


@given("a server that {accepts} connections")
def step_accepting_server(context, accepts):
    context.accepts = accepts == "accepts"
    context.pauses = 0


@when("a range is released at it")
def step_release_one(context):
    async def connect(server):
        if not context.accepts:
            raise NotSentError("no connection")
        return _Releasing()

    class _Releasing:
        usable = False

        async def exchange(self, *arguments):
            assert context.pauses == 1, "the range wasn't paused before the release was sent"
            return ServerAnswer(200, ((b"handover", b"h"),), b"")

        def close(self):
            pass

    def pause():
        context.pauses += 1

    record = ServerRecord(
        server="s1",
        service="portal",
        address="127.0.0.1:1",
        failure_domain="a",
        slots=1,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )
    commands = PlatformKeyCommands(ServerPool(_LoopTimers(), None, connect), GrantChannels())
    keys = KeyRange(0, 9, "s1", 1, 5)
    context.released = asyncio.run(commands.release(record, keys, 1.0, pause))


@then("the range was paused {count:d} times and the release is {done}")
def step_paused(context, count, done):
    assert context.pauses == count, context.pauses
    assert context.released.done == (done == "done"), context.released


@when("two ranges are released at it")
def step_release_two(context):
    async def run():
        server = await asyncio.start_server(context.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        record = ServerRecord(
            server="s1",
            service="portal",
            address=f"127.0.0.1:{port}",
            failure_domain="a",
            slots=1,
            draining=False,
            warmup_left_s=0.0,
            born_ms=1,
            sequence=1,
        )
        pool = ServerPool(_LoopTimers(), None)
        commands = PlatformKeyCommands(pool, GrantChannels())
        answers = [
            await commands.release(
                record, KeyRange(first, first + 9, "s1", 1, 5), 1.0, context.before_sending
            )
            for first in (0, 10)
        ]
        pool.abort_idle(record)
        server.close()
        return answers

    context.answers = asyncio.run(run())


@then("only the first release counts as done")
def step_first_only(context):
    assert [answer.done for answer in context.answers] == [True, False], context.answers
