"""Steps for the path of one request."""

import asyncio
import random

import parse
from behave import given, register_type, then, when

from hyssopwood.dispatch import Dispatcher, unpack_answer
from hyssopwood.errors import PeerUnavailableError
from hyssopwood.messages import PermitReply
from hyssopwood.outcomes import Answered, BodyCutError, NotRun, Reason, Unknown
from support.request_fakes import FakePermits, FakeRouter, caller_request

KINDS = {"not-run": NotRun, "unknown": Unknown}


@parse.with_pattern("refuses|loses")
def _fault(text):
    return text


@parse.with_pattern("non-repeatable|repeatable|keyed")
def _request_kind(text):
    return text


register_type(Fault=_fault, RequestKind=_request_kind)


class ScriptedSender:
    """Backend client whose attempts end as scripted, then with an answer."""

    def __init__(self, ends="", repeat_last=False, size=5):
        self.ends = ends.split()
        self.repeat_last = repeat_last
        self.size = size
        self.sent = []
        self.before_end = None

    async def send(self, request):
        self.sent.append(request)
        if self.before_end is not None:
            self.before_end()
        if self.repeat_last:
            return self._end(self.ends[0])
        return self._end(self.ends.pop(0) if self.ends else "answered")

    def _end(self, text):
        kind, _, reason = text.partition(":")
        if reason:
            return KINDS[kind](Reason(reason), "scripted")
        return Answered(200, {"Content-Type": "text/plain"}, self._body(kind == "cut"))

    async def _body(self, cut):
        yield b"x" * self.size
        if cut:
            raise BodyCutError("scripted")


def _build(context, sender=None, permits=None, router=None):
    context.sender = sender or ScriptedSender()
    context.permits = permits or FakePermits()
    context.router = router or FakeRouter()
    context.dispatcher = Dispatcher(
        context.router,
        context.permits,
        context.sender,
        context.timers,
        "i1",
        rng=random.Random(1),
    )


@given('attempts that end as "{ends}"')
def step_ends(context, ends):
    _build(context, sender=ScriptedSender(ends))


@given("a server that {fault:Fault} every connection")
def step_failing_server(context, fault):
    ends = "not-run:server-unreachable" if fault == "refuses" else "unknown:connection-lost"
    _build(context, sender=ScriptedSender(ends, repeat_last=True))


@given("an answer of {size:d} bytes")
def step_answer_size(context, size):
    _build(context, sender=ScriptedSender(size=size))


@given('a coordinator that replies "{reply}"')
def step_reply(context, reply):
    steps = {
        "unreachable": PeerUnavailableError("scripted"),
        "hangs": "hangs",
        "stored": PermitReply(False, stored_status=200, stored_body=b"text/plain\nxxxxx"),
    }
    refusal = PermitReply(False, reason=reply, retry_after_ms=70)
    _build(context, permits=FakePermits(steps.get(reply, refusal)))


@given("a coordinator that takes {ms:d} ms to reply")
def step_slow_coordinator(context, ms):
    _build(context)
    request = context.permits.request

    async def late(permit, coordinator):
        await context.timers.sleep(ms / 1000)
        return await request(permit, coordinator)

    context.permits.request = late


@given('a key that moves to "{server}" during the first attempt')
def step_moves(context, server):
    def move():
        context.sender.before_end = None
        context.router.move_to(server)

    context.sender.before_end = move


@given("a key without an owner")
def step_no_owner(context):
    _build(context, router=FakeRouter(server=None))


@given("a request that waits for a slot")
def step_waiting_for_slot(context):
    _build(context, permits=FakePermits("hangs"))
    context.handling = _handle(context)
    context.run(context.timers.settle())


@given("a request that is being answered")
def step_being_answered(context):
    _build(context)
    outcome = context.run(context.dispatcher.handle(caller_request(context.timers)))
    context.run(anext(outcome.body))
    context.handling = outcome.body


def _handle(context, **changes):
    request = caller_request(context.timers, **changes)
    return context.loop.create_task(_whole(context.dispatcher, request))


async def _whole(dispatcher, request):
    """Handle a request, read its body and describe the outcome."""
    outcome = await dispatcher.handle(request)
    if isinstance(outcome, Answered):
        try:
            body = b"".join([chunk async for chunk in outcome.body])
        except BodyCutError:
            return "cut"
        return "answered" if body else "answered empty"
    kind = "not run" if isinstance(outcome, NotRun) else "unknown"
    return f"{kind} {outcome.reason.value}"


def _until_done(context, tasks):
    context.ended_after = 0.0
    while not all(task.done() for task in tasks) and context.ended_after < 3:
        context.run(context.timers.advance(0.01))
        context.ended_after += 0.01
    context.outcomes = [task.result() for task in tasks]


@when("a {kind:RequestKind} request is handled")
def step_handle(context, kind):
    changes = {"repeatable": kind == "repeatable"}
    if kind == "keyed":
        changes["idempotency_key"] = "k"
    context.began = context.timers.now()
    _until_done(context, [_handle(context, **changes)])


@when("a non-repeatable request is handled without time passing")
def step_handle_at_once(context):
    task = _handle(context)
    context.run(context.timers.settle())
    context.outcomes = [task.result()]


@when("{count:d} requests are handled at the same time")
def step_handle_many(context, count):
    _until_done(context, [_handle(context, repeatable=True) for _ in range(count)])


@when("{count:d} requests are handled one after another")
def step_handle_in_turn(context, count):
    for _ in range(count):
        _until_done(context, [_handle(context, repeatable=True)])


@when("the caller goes away")
def step_caller_gone(context):
    if isinstance(context.handling, asyncio.Task):
        context.handling.cancel()
    else:
        context.run(context.handling.aclose())
    context.run(context.timers.settle())


@then("its outcome is {expected}")
def step_outcome(context, expected):
    assert context.outcomes == [expected], context.outcomes


@then("{count:d} attempts were sent")
def step_sent(context, count):
    assert len(context.sender.sent) == count, context.sender.sent


@then("at most {count:d} attempts were sent")
def step_sent_at_most(context, count):
    assert len(context.sender.sent) <= count, len(context.sender.sent)


@then('every permit was returned as "{outcomes}"')
@then('its permit was returned as "{outcomes}"')
def step_returned(context, outcomes):
    returned = [permit.outcome for permit in context.permits.returned]
    assert returned == outcomes.split(), returned


@then('the attempts went to "{servers}"')
def step_servers(context, servers):
    went = [request.server.name for request in context.sender.sent]
    assert went == servers.split(), went


@then("it ended after {seconds:g} s")
def step_ended(context, seconds):
    assert abs(context.ended_after - seconds) <= 0.05, context.ended_after


@then("its place in the queue is given up")
def step_place(context):
    asked = [permit.request_id for permit in context.permits.asked]
    assert [cancel.request_id for cancel in context.permits.cancelled] == asked


@then("the returned permit carries {kept}")
def step_kept_body(context, kept):
    (permit,) = context.permits.returned
    if kept == "no body":
        assert permit.body == b""
        return
    assert permit.status == 200
    assert unpack_answer(permit.body) == ("text/plain", b"x" * context.sender.size)


@then("the first byte had to leave within {ms:d} ms")
def step_first_byte(context, ms):
    (request,) = context.sender.sent
    asked_for = request.first_byte_by - (context.began + 0.15)
    assert abs(asked_for * 1000 - ms) <= 1, asked_for
