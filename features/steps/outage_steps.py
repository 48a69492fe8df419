"""Steps for moves without the log."""

from behave import given, then, when

from support.outage_cell import OutageCell, parse_ownership

PARTITION = OutageCell.PARTITION


@given('an outage cell whose partition is owned as "{ownership}"')
def step_cell(context, ownership):
    context.cell = OutageCell(context.timers, parse_ownership(ownership))
    context.add_cleanup(lambda: context.run(context.cell.stop()))


@given("the log of the outage cell is down")
def step_log_down(context):
    context.cell.log_down = True


@given('these voters of the outage cell don\'t answer: "{silent}"')
def step_silent(context, silent):
    context.cell.silent = set(silent.split(","))


@given('these voters of the outage cell don\'t answer: ""')
def step_none_silent(context):
    context.cell.silent = set()


@given('the outage cell has "{condition}"')
def step_condition(context, condition):
    cell = context.cell
    cell.log_down = condition != "a log that answers"
    if condition == "no authority at c1":
        cell.without_authority.add("c1")
    elif condition == "authority that ends meanwhile":
        cell.authority_ends = "c1"
    elif condition == "newer voters known to others":
        cell.raise_membership_offset("c2", "c3")
    elif condition == "a fence of c1 attested":
        for name in ("c1", "c2", "c3"):
            cell.outages[name].attested("c1")
    else:
        assert condition == "a log that answers", condition


@when(
    "coordinator {writer} records the outage move of the partition from {source} to {target} "
    "made under token {token:d}"
)
def step_record(context, writer, source, target, token):
    context.applied = context.cell.record_moves(writer, source, target, token)


@when(
    "{fenced} is fenced by {one} and {other} with the outage move from {source} to {target} "
    "made under token {token:d}"
)
def step_fence(context, fenced, one, other, source, target, token):
    context.applied = context.cell.fence(fenced, (one, other), source, target, token)
    assert not context.applied.rejected, context.applied.rejected


@when("coordinator {name} finds server {server} lost for {seconds:d} s")
def step_lost(context, name, server, seconds):
    context.cell.lost[name] = server
    context.run(context.cell.start())
    context.run(context.timers.advance(seconds))


@when("the log of the outage cell is back for {seconds:d} s")
def step_back(context, seconds):
    context.cell.log_down = False
    context.run(context.timers.advance(seconds))


@then('the outage partition is owned as "{expected}"')
def step_owned(context, expected):
    ownership = context.cell.state.ownerships[PARTITION]
    token = context.cell.state.applied if "@new" in expected else None
    wanted = parse_ownership(expected, token)
    assert ownership == wanted, f"{ownership}, expected {wanted}"


@then('the outage record is rejected as "{reason}"')
def step_rejected(context, reason):
    assert context.applied.rejected == reason, context.applied.rejected


@then('the outage partition is served by "{server}" for "{names}"')
def step_served(context, server, names):
    for name in names.split(","):
        found = context.cell.outages[name].state.ownerships[PARTITION].server
        assert found == server, f"{name} sees {found}"


@then("{name} withholds the release under token {other:d} and allows it under token {own:d}")
def step_withholds(context, name, other, own):
    outage = context.cell.outages[name]
    assert outage.unrecorded(PARTITION, other)
    assert not outage.unrecorded(PARTITION, own)


@then("no instance of the outage cell keeps moves")
def step_none_kept(context):
    for name, outage in context.cell.outages.items():
        assert not outage.has_unrecorded(), name
