"""Steps for connections between instances."""

import asyncio
import time

from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import PeerUnavailableError
from hyssopwood.messages import (
    CheckpointReply,
    CheckpointRequest,
    Envelope,
    Hello,
    PositionReply,
    PositionRequest,
    RecordsReply,
    RecordsRequest,
    SupportRequest,
)
from hyssopwood.peer_link import frame
from hyssopwood.peers import Peers
from hyssopwood.state import ClusterState, Member
from hyssopwood.timers import SystemTimers

TIMEOUT_S = 0.4
LARGE = "x" * 900_000


class _Source:
    def __init__(self):
        self.state = ClusterState()

    def add(self, name, port):
        member = Member(name, name, f"127.0.0.1:{port}", "", "d", 0)
        self.state = evolve(self.state, members={**self.state.members, name: member})


class _Handlers:
    async def position(self, sender, body):
        return PositionReply(7)

    async def slow(self, sender, body):
        await asyncio.sleep(0.1)
        return RecordsReply(1, 2, ())

    async def large(self, sender, body):
        return CheckpointReply(1, LARGE)

    async def stuck(self, sender, body):
        await asyncio.sleep(60)

    async def failing(self, sender, body):
        raise ValueError("broken handler")


def _peers(context, name, port=0):
    made = Peers(
        Hello(name, name, "hyssopwood"), context.source, SystemTimers(), f"127.0.0.1:{port}"
    )
    handlers = _Handlers()
    made.on(PositionRequest, handlers.position)
    made.on(RecordsRequest, handlers.slow)
    made.on(CheckpointRequest, handlers.large)
    context.run(made.start())
    context.source.add(name, made.port)
    # Cancelled with the scenario's other tasks, which closes the sockets.
    context.loop.create_task(made.run())
    return made


@given('two peers "a" and "b" of the stream "hyssopwood"')
def step_two_peers(context):
    context.source = _Source()
    context.peers = {name: _peers(context, name) for name in ("a", "b")}


async def _position(context, sender="a", target="b"):
    return await context.peers[sender].request(target, PositionRequest(), TIMEOUT_S)


@when('"a" sends "b" a request that waits and then one that doesn\'t')
def step_concurrent(context):
    async def run():
        a = context.peers["a"]
        slow = asyncio.ensure_future(a.request("b", RecordsRequest(0, 1), TIMEOUT_S))
        await asyncio.sleep(0.02)
        context.second = await _position(context)
        context.first_was_open = not slow.done()
        context.first = await slow

    context.run(run())


@then("the second peer reply comes first and both are right")
def step_concurrent_replies(context):
    assert context.first_was_open
    assert context.first == RecordsReply(1, 2, ())
    assert context.second == PositionReply(7)


@when('"a" sends itself a request')
def step_self(context):
    context.reply = context.run(_position(context, "a", "a"))


@then("the peer reply is right")
def step_reply(context):
    assert context.reply == PositionReply(7)


def _bytes(kind):
    hello = frame(Envelope(0, 0, Hello("x", "x", "hyssopwood")))
    return {
        "oversized frame": hello + (2**20 + 1).to_bytes(4, "big"),
        "random frame": hello + (8).to_bytes(4, "big") + b"\xff" * 8,
        "empty frame": hello + (0).to_bytes(4, "big"),
        "hello of other stream": frame(Envelope(0, 0, Hello("x", "x", "other"))),
        "request before hello": frame(Envelope(1, 0, PositionRequest())),
        "nothing": b"",
        "frame cut short": hello[:-3],
    }[kind]


@when('a stranger sends "{kind}" to "b"')
def step_stranger(context, kind):
    async def run():
        port = context.peers["b"].port
        context.reader, context.writer = await asyncio.open_connection("127.0.0.1", port)
        context.writer.write(_bytes(kind))

    context.run(run())


@then("the peer connection is closed within {ms:d} ms")
def step_closed(context, ms):
    async def run():
        try:
            while await context.reader.read(65_536):
                pass
        except ConnectionError:
            pass
        context.writer.close()

    context.run(asyncio.wait_for(run(), ms / 1000))


@then('"a" still gets a reply from "b"')
def step_still_works(context):
    async def run():
        for _ in range(20):
            try:
                return await _position(context)
            except PeerUnavailableError:
                await asyncio.sleep(0.05)
        return None

    assert context.run(run()) == PositionReply(7)


@when('"a" sends a request to "{target}"')
def step_failing_request(context, target):
    b, handlers = context.peers["b"], _Handlers()
    b.on(RecordsRequest, handlers.stuck)
    b.on(CheckpointRequest, handlers.failing)
    context.source.add("dead", 1)
    context.source.add("replaced", b.port)
    incarnation, body = {
        "an unknown incarnation": ("nobody", PositionRequest()),
        "a dead address": ("dead", PositionRequest()),
        "a replaced incarnation": ("replaced", PositionRequest()),
        "a handler that never answers": ("b", RecordsRequest(0, 1)),
        "a handler that fails": ("b", CheckpointRequest()),
        "a message without handler": ("b", SupportRequest("a", 1)),
    }[target]
    began = time.monotonic()
    context.error = None
    try:
        context.run(context.peers["a"].request(incarnation, body, TIMEOUT_S))
    except PeerUnavailableError as error:
        context.error = error
    context.took_s = time.monotonic() - began


@then("a peer unavailable error is raised within {ms:d} ms")
def step_unavailable(context, ms):
    assert context.error is not None, "no error was raised"
    assert context.took_s < ms / 1000, context.took_s


class _Relay:
    """Forward connections; those that exist can be silenced without being closed."""

    def __init__(self, port):
        self._port = port
        self._speaking = []

    def silence(self):
        for speaking in self._speaking:
            speaking.clear()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        speaking = asyncio.Event()
        speaking.set()
        self._speaking.append(speaking)
        other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self._port)
        await asyncio.gather(
            self._forward(reader, other_writer, speaking),
            self._forward(other_reader, writer, speaking),
        )

    async def _forward(self, reader, writer, speaking):
        while data := await reader.read(65_536):
            await speaking.wait()
            writer.write(data)
        writer.close()


@given('the connection from "a" to "b" goes through a relay')
def step_relay(context):
    context.relay = _Relay(context.peers["b"].port)
    context.source.add("b", context.run(context.relay.start()))
    assert context.run(_position(context)) == PositionReply(7)


@when("the relay silences the established peer connections")
def step_silence(context):
    context.relay.silence()


@when('"a" keeps sending peer requests for {ms:d} ms')
def step_keep_sending(context, ms):
    async def one():
        try:
            return await _position(context)
        except PeerUnavailableError:
            return None

    async def run():
        requests = []
        for _ in range(ms // 20):
            requests.append(asyncio.ensure_future(one()))
            await asyncio.sleep(0.02)
        return await asyncio.gather(*requests)

    context.replies = context.run(run())


@then("the last peer requests are answered")
def step_last_answered(context):
    assert context.replies[0] is None, "the relay was not silent"
    assert all(context.replies[-10:]), context.replies


@when('a peer connects to "b", asks for large replies and doesn\'t read')
def step_not_reading(context):
    async def run():
        port = context.peers["b"].port
        context.reader, context.writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=1024
        )
        context.writer.write(frame(Envelope(0, 0, Hello("x", "x", "hyssopwood"))))
        for number in range(1, 41):
            context.writer.write(frame(Envelope(number, 0, CheckpointRequest())))
        await asyncio.sleep(0.5)
        assert not context.peers["b"]._incoming, "the connection is still open"

    context.run(run())


@when('"a" has sent "b" a request and stops')
def step_stop_a(context):
    context.lost = []
    context.peers["b"].on_lost(context.lost.append)
    context.run(_position(context))
    context.run(context.peers["a"].stop())
    context.run(asyncio.sleep(0.05))


@then('"b" reports the peer "a" as lost')
def step_lost(context):
    assert context.lost == ["a"], context.lost


@when('"b" stops, "a" fails to reach it, and "b" listens again')
def step_restart_b(context):
    port = context.peers["b"].port
    context.run(_position(context))
    context.run(context.peers["b"].stop())
    context.run(asyncio.sleep(0.05))
    try:
        context.run(_position(context))
        raise AssertionError("a stopped peer answered")
    except PeerUnavailableError:
        context.peers["b"] = _peers(context, "b", port)
