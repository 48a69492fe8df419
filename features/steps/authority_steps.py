"""Steps for authority and for the voters' side of it."""

import asyncio

from attrs import evolve
from behave import given, then, when

from hyssopwood.authority import Authority
from hyssopwood.errors import AuthorityLostError, PeerUnavailableError
from hyssopwood.messages import AttestRequest, SupportReply, SupportRequest
from hyssopwood.settings import Timing
from hyssopwood.state import ClusterState, Member
from hyssopwood.voting import Voter

MEMBERSHIP_OFFSET = 5
TOLERANCE_MS = 2


class _Source:
    def __init__(self, state):
        self.state = state


class _Voters:
    """Peers whose voters answer, refuse or stay silent."""

    incarnation = "a"

    def __init__(self, timers):
        self._timers = timers
        self.answering = set()
        self.refusing = set()
        self.delay_s = 0.0

    def on(self, body_type, handler):
        pass

    async def request(self, incarnation, body, timeout_s):
        if incarnation not in self.answering | self.refusing:
            await self._timers.sleep(timeout_s)
            raise PeerUnavailableError(incarnation)
        await self._timers.sleep(self.delay_s)
        return SupportReply(incarnation in self.answering, MEMBERSHIP_OFFSET, 9)


def _names(text):
    return tuple(name.strip() for name in text.split(",") if name.strip())


def _state(voters):
    members = {name: Member(name, name, "", "", "d", 0) for name in (*voters, "a", "b")}
    return ClusterState(
        members=members,
        voters=voters,
        fenced={"f": 3},
        membership_offset=MEMBERSHIP_OFFSET,
        applied=9,
    )


@given('the authority of instance "{name}" among the voters "{voters}"')
def step_authority(context, name, voters):
    context.source = _Source(_state(_names(voters)))
    context.voters = _Voters(context.timers)
    context.authority = Authority(context.voters, context.source, context.timers, Timing())
    context.voter = Voter("v1", context.source, context.timers, Timing())


@given('the pending voters of the authority are "{voters}"')
def step_pending(context, voters):
    context.source.state = evolve(context.source.state, pending_voters=_names(voters))


def _advance(context, ms):
    async def run():
        task = asyncio.ensure_future(context.authority.run())
        await context.timers.advance(ms / 1000)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.run(run())


@when('the authority runs for {ms:d} ms while the voters "{names}" answer')
def step_answer(context, ms, names):
    context.voters.answering = set(_names(names))
    _advance(context, ms)


@when('the authority runs for {ms:d} ms while the voters "" answer')
def step_silence(context, ms):
    _advance(context, ms)


@when("the authority runs for {ms:d} ms while each reply takes {delay:d} ms")
def step_delay(context, ms, delay):
    context.voters.answering = {"v1", "v2", "v3"}
    context.voters.delay_s = delay / 1000
    context.asked_at = context.timers.now()
    _advance(context, ms)


@when('the authority runs for {ms:d} ms while the voters "{names}" refuse')
def step_refuse(context, ms, names):
    context.voters.refusing = set(_names(names))
    context.voters.answering = {"v1", "v2", "v3"} - context.voters.refusing
    _advance(context, ms)


@when("the authority's process is paused for {ms:d} ms")
def step_pause(context, ms):
    context.timers.jump(ms / 1000)


@then('the authority is "{held}"')
def step_held(context, held):
    assert context.authority.held() == (held == "held")


@then('the authority is "held" until {ms:d} ms after the request')
def step_until(context, ms):
    lasts_ms = (context.authority.until() - context.asked_at) * 1000
    assert abs(lasts_ms - ms) < 0.01, lasts_ms


@then("requiring authority raises a typed error")
def step_require(context):
    try:
        context.authority.require()
    except AuthorityLostError:
        return
    raise AssertionError("no error was raised")


@then("the authority is refused for good")
def step_refused(context):
    assert not context.authority.held()
    assert context.authority.refused_for_good()


def _ask(context, sender, subject, offset):
    reply = context.run(context.voter.on_support(sender, SupportRequest(subject, offset)))
    return reply.granted


@when('an authority voter is asked by "{sender}" for "{subject}" at membership offset {offset:d}')
def step_ask_voter(context, sender, subject, offset):
    context.granted = _ask(context, sender, subject, offset)


@then('the voter\'s promise is "{answer}"')
def step_promise(context, answer):
    assert context.granted == (answer == "granted")


@when("the authority voter has been fenced")
def step_voter_fenced(context):
    state = context.source.state
    members = {name: member for name, member in state.members.items() if name != "v1"}
    context.source.state = evolve(state, members=members)


@then('it refuses a promise to "{name}"')
def step_refuses(context, name):
    assert not _ask(context, name, name, MEMBERSHIP_OFFSET)


def _attest(context):
    context.attest = context.run(context.voter.on_attest("p", AttestRequest("a")))


@given("the authority voter has watched its voters for {ms:d} ms")
def step_watched(context, ms):
    _ask(context, "b", "b", MEMBERSHIP_OFFSET)
    context.run(context.timers.advance(ms / 1000))


@when('the authority voter promises "{name}" and is asked {ms:d} ms later to attest its fence')
def step_promise_and_attest(context, name, ms):
    assert _ask(context, name, name, MEMBERSHIP_OFFSET)
    context.run(context.timers.advance(ms / 1000))
    _attest(context)


@when("an authority voter that just started is asked to attest a fence")
def step_attest_at_start(context):
    _attest(context)


@then("it doesn't attest and names a wait of about {ms:d} ms")
def step_no_attestation(context, ms):
    assert not context.attest.attested
    assert abs(context.attest.wait_ms - ms) <= TOLERANCE_MS, context.attest.wait_ms


@when("the authority voter is asked to attest again after that wait")
def step_attest_again(context):
    context.run(context.timers.advance(context.attest.wait_ms / 1000))
    _attest(context)


@then("it attests")
def step_attests(context):
    assert context.attest.attested
