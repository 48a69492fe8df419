"""Steps for published tickets."""

import json

from attrs import evolve
from behave import given, step, then, when

from hyssopwood.records import LogRecord, TicketRecord
from hyssopwood.state import ClusterState, Ownership
from hyssopwood.ticket_rules import MAX_PINNED_KEYS
from hyssopwood.transitions import apply
from support.memory_log import first_tables, service, ticket_text

TABLES = ("services", "servers", "pins", "limits", "ticket_number", "hot_keys")


def _publish(context, text, publisher):
    context.published += 1
    writer = f"cli{context.published}"
    record = LogRecord(f"{writer}:1", writer, TicketRecord(publisher=publisher, text=text))
    context.before = context.state
    context.applied = apply(context.state, context.published - 1, 1_000, record)
    context.state = context.applied.state


@given("a ticket log whose first ticket is in force")
def step_first_ticket(context):
    context.state, context.published = ClusterState(), 0
    _publish(context, ticket_text(1, **first_tables()), "ana")
    assert context.state.ticket_number == 1, context.state.verdicts


@step('the ticket {text} is published by "{publisher}"')
def step_publish(context, text, publisher):
    _publish(context, text, publisher)


@when('tickets 2 and 3 are accepted from "{publisher}"')
def step_accepted(context, publisher):
    for number in (2, 3):
        limits = {"portal": {"queue": number}}
        _publish(context, ticket_text(number, limits=limits), publisher)
        assert context.state.ticket_number == number, context.state.verdicts[-1]


EXTREMES = {
    "too large": lambda: ticket_text(2, ownership={"portal": {"k" * 1_000_000: "a"}}),
    "too many shards": lambda: ticket_text(
        2, services={f"s{n}": service(shards=65_536, path=f"/s{n}/") for n in range(5)}
    ),
    "too many pins": lambda: ticket_text(
        2, ownership={"portal": {f"k{n}": "a" for n in range(MAX_PINNED_KEYS + 1)}}
    ),
    "deep nesting": lambda: '{"number": 2, "services": ' + "[" * 900 + "]" * 900 + "}",
    "huge integer": lambda: '{"number": ' + "9" * 5_000 + "}",
    "lone surrogate": lambda: '{"number": 2, "servers": {"\\ud800": null}}',
    "number of 30 digits": lambda: json.dumps({"number": 10**30}),
}


@when('the extreme ticket "{case}" is published')
def step_extreme(context, case):
    _publish(context, EXTREMES[case](), "nino")


@when('server "{name}" is given a partition')
def step_given_partition(context, name):
    context.state = evolve(context.state, ownerships={"portal/0": Ownership(name, 0)})


@then('the ticket verdict is "{reason}" and mentions "{detail}"')
def step_verdict(context, reason, detail):
    verdict = context.state.verdicts[-1]
    assert verdict.reason == reason, verdict
    assert detail in verdict.detail, verdict


@then('the ticket verdict is "" and mentions ""')
def step_accepted_verdict(context):
    verdict = context.state.verdicts[-1]
    assert verdict.accepted, verdict


@then("the ticket tables in force are unchanged")
def step_unchanged(context):
    for table in TABLES:
        assert getattr(context.state, table) == getattr(context.before, table), table


@then('server "{name}" is still known and marked as removed')
def step_marked(context, name):
    assert name in context.state.servers and name in context.state.removed_servers
