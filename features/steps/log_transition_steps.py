"""Steps for the effects of log records."""

import json

from behave import given, then, when

from hyssopwood.records import LogRecord, decode_record
from hyssopwood.state import ClusterState, Ownership, partition_of
from hyssopwood.transitions import apply
from support.memory_log import first_tables, ticket_text

NOBODY = {"nobody", "none", ""}


def _names(text):
    return () if text in NOBODY else tuple(text.split())


def _join(number):
    return {
        "instance": f"n{number}",
        "incarnation": f"i{number}",
        "peer_address": f"127.0.0.1:{7000 + number}",
        "http_address": f"127.0.0.1:{8000 + number}",
        "failure_domain": "a",
    }


class LogCell:
    """Apply records that are written as JSON."""

    def __init__(self):
        self.state = ClusterState()
        self.offset = -1

    def write(self, writer, kind, fields, record_id=None):
        self.offset += 1
        header = {"id": record_id or f"{writer}:{self.offset}", "kind": kind, "writer": writer}
        record = decode_record(json.dumps(header | fields))
        assert isinstance(record, LogRecord)
        applied = apply(self.state, self.offset, 1_000 + self.offset, record)
        self.state = applied.state
        assert self.state.applied == self.offset
        return applied.rejected


@given("a log cell of members i1 to i6 with planner i1, voters i1, i2, i3 and epoch 7")
def step_cell(context):
    context.cell = cell = LogCell()
    text = ticket_text(1, **first_tables())
    rejected = [cell.write("cli", "ticket", {"publisher": "ana", "text": text})]
    rejected += [cell.write(f"i{number}", "join", _join(number)) for number in range(1, 7)]
    claim = {"instance": "n1", "incarnation": "i1", "previous_epoch": -1}
    rejected.append(cell.write("i1", "planner", claim))
    voters = {"epoch": 7, "voters": ["i1", "i2", "i3"]}
    rejected.append(cell.write("i1", "voters_proposed", voters))
    assert not any(rejected), rejected
    assert cell.state.planner_epoch == 7


def _fields(row):
    fields = json.loads(row["fields"])
    if row["kind"] == "join":
        fields = _join(int(fields["incarnation"][1:])) | fields
    return fields


@when("the log records are applied")
def step_apply(context):
    for row in context.table:
        result = context.cell.write(row["writer"], row["kind"], _fields(row))
        assert result == row["result"], f"{row['kind']} {row['fields']}: {result!r}"


@when("the log records with ids are applied")
def step_apply_with_ids(context):
    for row in context.table:
        result = context.cell.write(row["writer"], row["kind"], _fields(row), row["id"])
        assert result == row["result"], f"{row['id']}: {result!r}"


@then('the log voters are "{voters}" with "{pending}" pending')
def step_voters(context, voters, pending):
    state = context.cell.state
    assert state.voters == _names(voters), state.voters
    assert state.pending_voters == _names(pending), state.pending_voters


@then('log server "{server}" is coordinated by "{name}" in epoch {epoch:d} after "{previous}"')
def step_coordination(context, server, name, epoch, previous):
    current = context.cell.state.coordinations[server]
    assert (current.incarnation, current.epoch) == (name, epoch), current
    assert current.previous == _names(previous), current


@then('log partition "{partition}" belongs to "{owner}" after "{awaiting}" with token {token:d}')
def step_ownership(context, partition, owner, awaiting, token):
    expected = Ownership("".join(_names(owner)), token, _names(awaiting))
    current = context.cell.state.ownerships[partition]
    assert current == expected, current


@then('the log has no partition "{partition}"')
def step_no_partition(context, partition):
    assert partition not in context.cell.state.ownerships, context.cell.state.ownerships


@then('log key "{key}" of "{service}" is served by "{owner}" under "{partition}"')
def step_key(context, key, service, owner, partition):
    state = context.cell.state
    assert partition_of(state, service, key) == partition, state.hot_keys
    assert state.ownerships[partition].server == owner, state.ownerships[partition]
