"""Steps for explanations from logs, and for writing log lines."""

import json
import os
import time
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from loguru import logger

from hyssopwood.errors import NotFoundError
from hyssopwood.events import Event, JsonLineSink, emit
from hyssopwood.explain import explain, read_lines

RECORDED = Path(__file__).parents[1] / "data" / "gateway-day.log"


@given("the recorded log of a simulated day")
def step_recorded(context):
    context.log_file = RECORDED


@given("the recorded log of a simulated day with truncated and foreign lines")
def step_mixed(context):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    text = RECORDED.read_text(encoding="utf-8")
    context.log_file = Path(folder.name) / "mixed.log"
    context.log_file.write_text(f'kernel: started\n{{"time":1,"ev\n{text}[]\n{{}}\n')


@given("log lines are written to a file")
def step_log_to_file(context):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_file = Path(folder.name) / "instance.log"
    file = context.log_file.open("w", encoding="utf-8")
    context.add_cleanup(file.close)
    handler = logger.add(JsonLineSink(file.fileno(), "i1").write, level="INFO", format="{message}")
    context.add_cleanup(logger.remove, handler)


@when('request "{request_id}" is explained')
def step_explain(context, request_id):
    try:
        context.explanation = explain(request_id, read_lines([context.log_file]))
    except NotFoundError as error:
        context.explanation = error


@then('the explanation contains "{one}", "{other}" and "{third}"')
def step_contains(context, one, other, third):
    for part in (one, other, third):
        assert part in context.explanation, context.explanation


@then("no explanation is given")
def step_none(context):
    assert isinstance(context.explanation, NotFoundError)


@given("a log pipe whose reader has stopped")
def step_pipe(context):
    context.reader, context.writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.writer)
    context.sink = JsonLineSink(context.writer, "i1")
    handler = logger.add(context.sink.write, level="INFO", format="{message}")
    context.add_cleanup(logger.remove, handler)


@when("{count:d} events are logged")
def step_log(context, count):
    started_at = time.monotonic()
    for number in range(count):
        emit(Event.PLAN_TAKEN, version=number, source="test")
    context.logging_s = time.monotonic() - started_at


@then("logging took less than {seconds:d} s and lines were dropped")
def step_dropped(context, seconds):
    assert context.logging_s < seconds, context.logging_s
    assert context.sink.dropped > 1000, context.sink.dropped


@when("the reader resumes and one more event is logged")
def step_resume(context):
    os.set_blocking(context.reader, False)
    data = os.read(context.reader, 1 << 20)
    emit(Event.PLAN_TAKEN, version=-1, source="test")
    context.lines = (data + os.read(context.reader, 1 << 20)).splitlines()


@then("every line read is a complete JSON object and one reports how many were dropped")
def step_complete(context):
    lines = [json.loads(line) for line in context.lines]
    assert len(lines) > 100
    assert any(line.get("dropped_before", 0) > 1000 for line in lines)
