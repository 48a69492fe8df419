"""Steps for the answers to commands that grant and release keys."""

import asyncio

from behave import given, then, when

from hyssopwood.gateway.exchange import ExchangeBrokenError, NotSentError, ServerAnswer
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.keyspace.grant_channels import GrantChannels
from hyssopwood.keyspace.plan import KeyRange
from hyssopwood.platform.key_commands import PlatformKeyCommands

RELEASE_LIMIT_S = 1.0
LEASE_S = 4.5
RESULTS = {
    "done": (True, False, None),
    "not done": (False, False, None),
    "not done and fenced": (False, True, None),
    "not done, s2 answered": (False, False, "s2"),
}


class _Connection:
    """A connection, and a pool of one, that gives each command the same answer."""

    ended = False

    def __init__(self, answer):
        self._answer = answer

    async def connect(self, address):
        return self

    async def exchange(self, *arguments):
        return self._answer


class _FailingPool:
    """A pool whose exchanges fail."""

    def __init__(self, failure):
        self._failure = failure

    async def exchange(self, *arguments):
        if self._failure is None:
            await asyncio.Event().wait()
        raise self._failure

    def abort_idle(self, server):
        """Close no connection, as there is none."""


FAILURES = {
    "are refused": NotSentError("refused"),
    "break": ExchangeBrokenError("reset"),
    "give no answer": None,
}


@given('a server "{name}" that answers commands with status {status:d} and the headers "{headers}"')
@given('a server "{name}" that answers commands with status {status:d} and the headers ""')
def step_server(context, name, status, headers=""):
    pairs = (item.split(": ") for item in headers.split(", ") if item)
    lines = tuple((key.lower().encode(), value.encode()) for key, value in pairs)
    connection = _Connection(ServerAnswer(status, lines, b""))
    context.commands = PlatformKeyCommands(connection, GrantChannels(connection.connect))
    context.record = _record(name)


@given('a server "{name}" whose connections {fail}')
def step_failing_server(context, name, fail):
    pool = _FailingPool(FAILURES[fail])
    context.commands = PlatformKeyCommands(pool, GrantChannels(pool.exchange))
    context.record = _record(name)


def _record(name):
    return ServerRecord(
        server=name,
        service="portal",
        address="127.0.0.1:1",
        failure_domain="a",
        slots=1,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


@when("it gets a {command:w}")
def step_command(context, command):
    keys = KeyRange(first=0, last=9, server=context.record.server, born_ms=1, fence=1)
    if command == "grant":
        sent = context.commands.grant(context.record, keys, LEASE_S, None, None)
    else:
        sent = context.commands.release(context.record, keys, RELEASE_LIMIT_S, lambda: None)
    context.command_result = asyncio.run(sent)


@when("it is asked for its id")
def step_identify(context):
    context.answered_by = asyncio.run(context.commands.identify(context.record, "/health"))


@then('the id in the answer is "{name}"')
@then('the id in the answer is ""')
def step_id(context, name=""):
    assert (context.answered_by or "") == name, context.answered_by


@then("the command counts as {result}")
def step_result(context, result):
    answer = context.command_result
    assert (answer.done, answer.fenced, answer.replaced_by) == RESULTS[result], answer
    assert not answer.leaving, answer
