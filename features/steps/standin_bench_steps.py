"""Steps for the benchmark's measures and its baseline."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from hyssopwood_standins.baseline_router import KeyAssignment, Plan
from hyssopwood_standins.bench_ownership import server_changes
from hyssopwood_standins.bench_requests import recovery_s
from hyssopwood_standins.report import Recordings

PEAK_END_S = 10.0
CONTRACT_MS = 200
TOLERANCE = 0.001
KEYS = [f"key-{index}" for index in range(50)]


def _attempt(text):
    due_ms, latency = text.split(":")
    answered = latency != "refused"
    return {
        "due": PEAK_END_S + int(due_ms) / 1000,
        "outcome": "answered" if answered else "not_run",
        "latency_ms": int(latency) if answered else 1,
    }


@then('the bench recovery after "{attempts}" is {seconds:g}')
def step_recovery(_, attempts, seconds):
    records = [_attempt(text) for text in attempts.split()]
    assert abs(recovery_s(records, PEAK_END_S, CONTRACT_MS) - seconds) < TOLERANCE


@then('the bench counts {moves:d} moves in "{runs}"')
def step_moves(_, moves, runs):
    records = []
    for index, text in enumerate(runs.split()):
        server, partition, key = text.split(":")
        fields = {"server": server, "partition": partition, "key": key}
        records.append({"type": "run_started", "t": float(index), **fields})
    assert len(list(server_changes(Recordings(servers=records)))) == moves


@given(
    'a bench assignment over servers "{names}" with "{first}" renewed at {at:g} and '
    '"{second}" renewed at {later:g}'
)
def step_assignment(context, names, first, at, second, later):
    servers = {name: {"address": "", "slots": 1} for name in names.split()}
    plan = Plan(service="p", shards=32, queue=1, servers=servers, routers=[])
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.pins = Path(directory.name) / "pins.json"
    context.assignment = KeyAssignment(plan, context.pins)
    context.assignment.record_renewal(first, at)
    # A server renews until it fails, so the second one was alive before, too.
    context.assignment.record_renewal(second, 0)
    context.assignment.record_renewal(second, later)


@when('the bench key "{key}" is pinned to "{server}" at {at:g}')
def step_pin(context, key, server, at):
    context.pins.write_text(json.dumps({key: server}), encoding="utf-8")
    context.assignment.read_pins(at)


@then('at {at:g} the bench keys are on "{names}"')
def step_owners(context, at, names):
    assert {context.assignment.owner(key, at) for key in KEYS} == set(names.split())


@then('the bench key "{key}" waits {seconds:g} s at {at:g}')
def step_waits(context, key, seconds, at):
    assert abs(context.assignment.remaining_block_s(key, at) - seconds) < TOLERANCE


@then('the bench key "{key}" is on "{server}" at {at:g}')
def step_owner(context, key, server, at):
    assert context.assignment.owner(key, at) == server
