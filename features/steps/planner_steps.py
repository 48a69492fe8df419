"""Steps for the planner."""

from collections import Counter

from behave import given, then, when

from support.planner_fakes import FakeCluster

DOMAINS = "abcdefgh"


def _tables(servers, domains):
    operations = {"get": {"repeatable": True}}
    portal = {"customer": "beridze", "shards": 64, "operations": operations, "path_prefix": "/p/"}
    named = {
        f"s{index}": {
            "service": "portal",
            "address": f"127.0.0.1:{5000 + index}",
            "failure_domain": DOMAINS[index % domains],
            "slots": 2,
        }
        for index in range(servers)
    }
    return {"portal": portal}, named


@given(
    "a planner cell of {instances:d} instances in {domains:d} failure domains with {n:d} servers"
)
def step_cell(context, instances, domains, n):
    context.cell = cell = FakeCluster(context.timers)
    services, servers = _tables(n, domains)
    cell.log.publish(services=services, servers=servers)
    nodes = [cell.add(f"i{index}", DOMAINS[index % domains]) for index in range(instances)]
    context.run(cell.start(*nodes))


@when("the planner cell runs for {seconds:g} s")
def step_run(context, seconds):
    context.run(context.timers.advance(seconds))


@then("the planner cell has {count:d} voters with at most {limit:d} in each failure domain")
def step_voters(context, count, limit):
    state = context.cell.state
    domains = Counter(state.members[voter].failure_domain for voter in state.voters)
    assert len(state.voters) == count, state.voters
    assert max(domains.values()) <= limit, domains


@then("every planner server has a live coordinator outside its failure domain")
def step_coordinators(context):
    state = context.cell.state
    for name, server in state.servers.items():
        coordinator = state.members[state.coordinations[name].incarnation]
        assert coordinator.failure_domain != server.failure_domain, name


@then("the planner cell's partitions are spread with at most {limit:d} on a server")
def step_spread(context, limit):
    owners = Counter(owner.server for owner in context.cell.state.ownerships.values())
    assert sum(owners.values()) == 64 and max(owners.values()) <= limit, owners


@then("the planner log gains no record in {seconds:g} s")
def step_quiet(context, seconds):
    before = len(context.cell.log.records)
    context.run(context.timers.advance(seconds))
    assert context.cell.log.kinds(before) == [], context.cell.log.kinds(before)
