"""Steps for operators' commands that run against the stand-in platform."""

import asyncio
import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest.mock import patch

from behave import given, step, then, when

from hyssopwood import cli
from hyssopwood.checkpoint import encode_state
from hyssopwood.records import (
    CheckpointRecord,
    GrantedRecord,
    LogRecord,
    TicketRecord,
    encode_record,
)
from hyssopwood.state import ClusterState
from hyssopwood.transitions import apply
from hyssopwood_standins.platform import Platform, PlatformFaults
from support.memory_log import first_tables, ticket_text
from support.standin_http import running

SETTINGS = {
    "instance": "i1",
    "failure_domain": "a",
    "http_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "log_url": "http://127.0.0.1:8082",
}
PINS = {"portal": {f"key-{number:0200d}": "a" for number in range(6_000)}}
CONTENTS = {
    "10 MB": b" " * 10_500_000,
    "1 MB of pins": ticket_text(2, ownership=PINS).encode(),
    "latin-1": '{"instance": "gé"}'.encode("latin-1"),
    "settings": json.dumps(SETTINGS).encode(),
}


@given("a ticket platform on which ticket 1 was published")
def step_platform(context):
    context.platform = Platform(PlatformFaults())
    manager = running(context.platform.app())
    context.url, _ = context.run(manager.__aenter__())
    context.add_cleanup(lambda: context.run(manager.__aexit__(None, None, None)))
    context.stream = context.platform._streams["hyssopwood"] = _new_stream(context)
    text = ticket_text(1, **first_tables())
    context.record = LogRecord("ana:1", "ana", TicketRecord(publisher="ana", text=text))
    context.stream.append(encode_record(context.record))
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / "input.json"


def _new_stream(context):
    class Request:
        match_info = {"stream": "hyssopwood"}

    return context.platform._stream(Request())


@given("the ticket file {content}")
def step_file(context, content):
    if content != "no file":
        context.file.write_bytes(CONTENTS.get(content, content.encode()))


@given("the ticket platform loses 1 response")
def step_lost_response(context):
    context.platform.faults.lose_answers = 1


@given("the ticket platform has an outage")
def step_outage(context):
    context.platform.faults.outage = True


@given("the ticket platform keeps only a checkpoint")
def step_checkpoint(context):
    state = apply(ClusterState(), 0, 1, context.record).state
    (text,) = encode_state(state)
    body = CheckpointRecord(epoch=0, through=0, state=text)
    context.stream.append(encode_record(LogRecord("i1:1", "i1", GrantedRecord())))
    context.stream.append(encode_record(LogRecord("i1:2", "i1", body)))
    context.stream.retention = 2
    context.stream.trim()


@given('"{publisher}" publishes another ticket 2 after the ticket command has validated its own')
def step_race(context, publisher):
    def publish_competitor(state, ticket):
        text = ticket_text(2, limits={"portal": {"queue": 9}})
        body = TicketRecord(publisher=publisher, text=text)
        context.stream.append(encode_record(LogRecord(f"{publisher}:1", publisher, body)))

    patcher = patch("hyssopwood.cli._require_acceptable", publish_competitor)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when('the ticket command "{command}" is run')
def step_run(context, command):
    words = {"FILE": str(context.file), "URL": context.url}
    arguments = [words.get(word, word) for word in command.split()]
    output = io.StringIO()
    with (
        patch("hyssopwood.cli.set_up_logging"),
        redirect_stdout(output),
        redirect_stderr(output),
    ):
        context.code = context.run(asyncio.to_thread(cli.run, arguments))
    context.output = output.getvalue()


@then('the ticket command exits with {code:d} and prints "{text}"')
def step_exits(context, code, text):
    assert context.code == code, f"{context.code}: {context.output}"
    assert text in context.output, context.output


@then('the ticket command exits with {code:d} and prints ""')
def step_exits_with_code(context, code):
    assert context.code == code, f"{context.code}: {context.output}"


@step("the ticket platform still holds 1 record")
def step_holds(context):
    assert context.stream.next == 1, context.stream.next
