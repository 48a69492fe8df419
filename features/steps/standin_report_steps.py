"""Steps for the report of the stand-ins."""

import io
import json
import tempfile
from contextlib import redirect_stdout
from pathlib import Path

from behave import given, then, when

from hyssopwood_standins import demo, report
from support.standin_records import CASES

TICKET_MS = 100.0
TOLERANCE = 0.01


@given('the stand-in case "{case}"')
def step_case(context, case):
    context.measures = report.measures(CASES[case], TICKET_MS)


@then("the stand-in demo writes the measures and ends with exit code {code:d}")
def step_demo(context, code):
    with tempfile.TemporaryDirectory() as directory, redirect_stdout(io.StringIO()):
        output = Path(directory) / "out" / "demo.json"
        assert demo.finish(context.measures, output) == code
        assert json.loads(output.read_text(encoding="utf-8")) == context.measures


@when("the stand-in ticket did not come into force")
def step_no_ticket(context):
    context.measures["ticket_in_force_ms"] = None


@then('the stand-in measure "{name}" is {value:g}')
def step_measure(context, name, value):
    measured = context.measures[name]
    assert abs(measured - value) < TOLERANCE, f"{name} is {measured}, expected {value}"


@then("the stand-in violations name {text}")
def step_violations(context, text):
    violations = report.violations(context.measures)
    expected = 0 if text == "nothing" else 1
    assert len(violations) == expected and all(
        text in line for line in violations
    ), f"violations: {violations}"


@then("the stand-in measures have the keys")
def step_keys(context):
    expected = [name.strip() for name in context.text.replace("\n", " ").split(",")]
    assert list(context.measures) == expected, list(context.measures)


@when("a stand-in record file ends in an unfinished line")
def step_unfinished(context):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "records.jsonl"
        path.write_text('{"type": "started", "t": 1}\n{"type": "gran', encoding="utf-8")
        context.records = report.read_records(path)


@then("the stand-in reader returns the finished lines")
def step_finished(context):
    assert context.records == [{"type": "started", "t": 1}]


@then("the stand-in percentile {share:g} of 1 to {count:d} is {value:d}")
def step_percentile(context, share, count, value):
    values = [float(number) for number in range(count, 0, -1)]
    measured = report.percentile(values, share)
    assert measured == value, f"got {measured}"
