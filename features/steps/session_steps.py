"""Steps for sessions with backend servers."""

import asyncio
import json
import time

from aiohttp import web
from behave import given, then, when

from hyssopwood.control_channel import ConnectionReplacedError, HttpControlChannel
from hyssopwood.errors import AuthorityLostError, BackendServerUnavailableError, HyssopwoodError
from hyssopwood.session import Session
from hyssopwood.settings import Timing
from hyssopwood.timers import SystemTimers

CLOCK_MS = 9_000_000.0
HOLDS = {"holds": []}


class _Channel:
    """A server in the test: its clock, its lease, and the commands that it got."""

    def __init__(self, timers, rate):
        self._timers = timers
        self._rate = 1 + rate / 1000
        self._base = timers.now()
        self.incarnation = "p1"
        self.origin_ms = CLOCK_MS
        self.connected = None
        self.commands = []
        self.lease_until_ms = 0.0
        self.delay_s = 0.0
        self.lose = False
        self.answer = None

    def clock_ms(self):
        return self.origin_ms + (self._timers.now() - self._base) * 1000 * self._rate

    def remaining_s(self):
        return (self.lease_until_ms - self.clock_ms()) / 1000 / self._rate

    async def post(self, path, body, same_connection):
        if same_connection and self.connected != self.incarnation:
            raise ConnectionReplacedError("replaced")
        self.commands.append(body)
        await self._timers.sleep(self.delay_s)
        self.lease_until_ms = max(self.lease_until_ms, body.get("lease_until_ms", 0.0))
        if self.lose:
            self.connected = None
            raise BackendServerUnavailableError("the answer was lost")
        self.connected = self.incarnation
        if self.answer:
            return self.answer
        report = {"incarnation": self.incarnation, "clock_ms": self.clock_ms(), "epoch": 1}
        return 200, {**report, **HOLDS, "running": 0, "slots": 2}

    async def close(self):
        pass


@given("a session with a server whose clock gains {rate:d} parts per thousand")
def step_session(context, rate):
    context.channel = _Channel(context.timers, rate)
    context.require = lambda: None
    context.session = Session(
        context.channel, "a", 1, context.timers, Timing(), lambda: context.require()
    )


def _renew(context):
    async def run():
        task = asyncio.ensure_future(context.session.renew())
        while not task.done():
            await context.timers.advance(0.05 if context.channel.delay_s else 0.0005)
        return task.result()

    return context.run(run())


@when(
    "the session is renewed {before:d} ms after the last answer and the command takes {delay:d} ms"
)
def step_renew(context, before, delay):
    _renew(context)
    context.run(context.timers.advance(before / 1000))
    context.channel.lease_until_ms = 0.0
    context.channel.delay_s = delay / 1000
    context.sent_at = context.timers.now()
    _renew(context)


@then("the server's lease ends before the session's lease has lapsed")
def step_lease_ends(context):
    left_s = context.session.lapsed_at() - context.timers.now()
    assert context.channel.remaining_s() < left_s, (context.channel.remaining_s(), left_s)


@then("the lease has lapsed at most {margin:d} ms after the sending of the renewal")
def step_lease_bound(context, margin):
    lapse_ms = (context.session.lapsed_at() - context.sent_at) * 1000
    assert lapse_ms <= margin + 0.5, lapse_ms


@when("the session is renewed and then the answer to a renewal is lost")
def step_lost(context):
    _renew(context)
    context.run(context.timers.advance(0.1))
    context.sent_at = context.timers.now()
    context.channel.lose = True
    _fail(context)


def _fail(context):
    try:
        _renew(context)
    except HyssopwoodError as error:
        return error
    raise AssertionError("no error was raised")


@then("the lease lapses about {ms:d} ms after the lost renewal was sent")
def step_lapse(context, ms):
    lapse_ms = (context.session.lapsed_at() - context.sent_at) * 1000
    assert abs(lapse_ms - ms) < 2, lapse_ms


@when("the server process is replaced by one whose clock is {seconds:d} s behind")
def step_replace(context, seconds):
    _renew(context)
    context.channel.incarnation = "p2"
    context.channel.origin_ms -= seconds * 1000
    context.channel.lease_until_ms = 0.0


@then("the next session renewal fails without sending and the one after it succeeds")
def step_replaced(context):
    sent = len(context.channel.commands)
    assert isinstance(_fail(context), ConnectionReplacedError)
    assert len(context.channel.commands) == sent
    assert _renew(context).incarnation == "p2"


@then("no lease of the new process lasts longer than {ms:d} ms")
def step_no_long_lease(context, ms):
    assert 0 < context.channel.remaining_s() <= ms / 1000


@when('the server answers a session command with "{status:d} {body}"')
def step_bad_answer(context, status, body):
    context.channel.answer = (status, json.loads(body))
    context.error = _fail(context)


@then('the session raises "{name}"')
def step_session_error(context, name):
    assert type(context.error).__name__ == name, repr(context.error)


@when('the session grants "{partition}" and the answer is lost')
def step_doubt(context, partition):
    _renew(context)
    context.channel.lose = True
    try:
        context.run(context.session.change({partition: 5}, ()))
    except BackendServerUnavailableError:
        context.channel.lose = False


@then('"{partition}" is in doubt after the next renewal')
def step_in_doubt(context, partition):
    assert context.session.in_doubt(partition)
    _renew(context)
    assert context.session.in_doubt(partition)


@then('"{partition}" is no longer in doubt after a renewal {ms:d} ms later')
def step_settled(context, partition, ms):
    context.run(context.timers.advance(ms / 1000))
    _renew(context)
    assert not context.session.in_doubt(partition)


@when("the session's authority is lost")
def step_no_authority(context):
    _renew(context)
    context.sent = len(context.channel.commands)

    def refuse():
        raise AuthorityLostError("lost")

    context.require = refuse


@then("renewing the session sends nothing and raises a typed error")
def step_nothing_sent(context):
    assert isinstance(_fail(context), AuthorityLostError)
    assert len(context.channel.commands) == context.sent


# The HTTP channel


@given("a control server over HTTP")
def step_http_server(context):
    context.mode, context.seen = "normal", 0

    async def handle(request):
        context.seen += 1
        await request.read()
        if context.mode == "silence":
            await asyncio.sleep(30)
        if context.mode == "2 MB":
            return web.Response(body=b" " * 2_000_000)
        if context.mode == "no JSON":
            return web.Response(body=b"<html>")
        if context.mode == "a cut body":
            answer = web.StreamResponse(headers={"Content-Length": "100"})
            await answer.prepare(request)
            await answer.write(b"{")
            request.transport.close()
            return answer
        return web.json_response({"ok": True})

    async def start():
        app = web.Application()
        app.router.add_post("/c", handle)
        context.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await context.runner.setup()
        site = web.TCPSite(context.runner, "127.0.0.1", 0)
        await site.start()
        return site._server.sockets[0].getsockname()[1]

    port = context.run(start())
    context.authority_held = True

    def require():
        if not context.authority_held:
            raise AuthorityLostError("lost")

    context.http = HttpControlChannel(f"127.0.0.1:{port}", SystemTimers(), 0.25, require)
    context.run(_command(context, same=False))


async def _command(context, same):
    return await context.http.post("/c", {}, same)


@when('the control server "{event}" between two commands')
def step_event(context, event):
    async def close_connections():
        for connection in list(context.runner.server.connections):
            connection.transport.close()
        await asyncio.sleep(0.05)

    if event == "closes connections":
        context.run(close_connections())


@then('a command for the same connection "{outcome}"')
def step_same_connection(context, outcome):
    seen = context.seen
    try:
        answer = context.run(_command(context, same=True))
    except ConnectionReplacedError:
        answer = None
    assert (answer == (200, {"ok": True})) == (outcome == "succeeds")
    assert context.seen == seen + (outcome == "succeeds")


@then("a control command for any connection succeeds")
def step_any_connection(context):
    context.mode = "normal"
    assert context.run(_command(context, same=False)) == (200, {"ok": True})

    async def end():
        await context.http.close()
        await context.runner.cleanup()

    context.run(end())


@when("the authority of the control channel ends while it gets {connection}")
def step_authority_ends(context, connection):
    async def run():
        if connection == "a new connection":
            await context.http.close()
        context.authority_held = False
        await _command(context, same=False)

    context.seen_before = context.seen
    try:
        context.run(run())
        raise AssertionError("no error was raised")
    except AuthorityLostError:
        context.run(asyncio.sleep(0.05))


@then("the control server gets no further command")
def step_no_command(context):
    assert context.seen == context.seen_before
    context.authority_held = True
    step_any_connection(context)


@when('the control server answers with "{answer}"')
def step_http_answer(context, answer):
    context.mode = answer
    began = time.monotonic()
    try:
        context.run(_command(context, same=False))
        context.error = None
    except HyssopwoodError as error:
        context.error = error
    context.took_s = time.monotonic() - began


@then('the control command raises "{name}" within {ms:d} ms')
def step_http_error(context, name, ms):
    assert type(context.error).__name__ == name, repr(context.error)
    assert context.took_s < ms / 1000, context.took_s
