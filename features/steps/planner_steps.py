"""Steps for the planner."""

from collections import Counter

from behave import given, then, when
from loguru import logger

from hyssopwood.events import Event
from hyssopwood.messages import ServerUsage, UsageReport
from hyssopwood.records import PlannerRecord
from support.planner_fakes import BriefTimers, FakeCluster

DOMAINS = "abcdefgh"


def planner_tables(servers, domains):
    """Return the services and servers entries of a ticket."""
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


def start_cell(context, domains, servers):
    """Start one instance in each named failure domain."""
    context.timers = BriefTimers()
    context.cell = cell = FakeCluster(context.timers)
    services, named = planner_tables(servers, len(set(domains)))
    cell.log.publish(services=services, servers=named)
    nodes = [cell.add(f"i{index}", domain) for index, domain in enumerate(domains)]
    context.run(cell.start(*nodes))


def mark(context):
    """Remember the present position as the start of what a scenario checks."""
    cell = context.cell
    context.start = len(cell.log.records)
    context.started_s = context.timers.now()
    context.before = cell.state
    context.lost = []


@given("a planner cell of {count:d} instances in {domains:d} failure domains with {n:d} servers")
def step_cell(context, count, domains, n):
    start_cell(context, [DOMAINS[index % domains] for index in range(count)], n)


@given("a planner cell with failure domains of {sizes} instances")
def step_sizes(context, sizes):
    counts = [int(size) for size in sizes.split(",")]
    start_cell(context, [DOMAINS[i] for i, count in enumerate(counts) for _ in range(count)], 2)


@given(
    "a settled planner cell of {count:d} instances in {domains:d} failure domains"
    " with {n:d} servers"
)
def step_settled(context, count, domains, n):
    step_cell(context, count, domains, n)
    context.run(context.timers.advance(8))
    mark(context)


@given("the planner log takes {ms:d} ms for an append")
def step_slow(context, ms):
    context.cell.log.append_s = ms / 1000


@given("planner servers look down until their coordinator has had them for {ms:d} ms")
def step_cold_coordinators(context, ms):
    cell, timers = context.cell, context.timers
    report, since = cell.server_usage, {}
    for server, current in cell.state.coordinations.items():
        since[server] = (current.epoch, -ms)

    def usage(state, server):
        epoch = state.coordinations[server].epoch
        if since[server][0] != epoch:
            since[server] = (epoch, timers.now())
        young = timers.now() - since[server][1] < ms / 1000
        cell.down_servers = {server} if young else set()
        return report(state, server)

    cell.server_usage = usage


@when("the planner cell runs for {seconds:g} s")
def step_run(context, seconds):
    context.run(context.timers.advance(seconds))


@when("the planner cell runs until it is repaired")
def step_until_repaired(context):
    for _ in range(300):
        context.run(context.timers.advance(0.01))
        if not _unrepaired(context):
            break
    context.repaired_s = context.timers.now()


@when("the planner cell runs until voters are pending")
def step_until_pending(context):
    for _ in range(200):
        context.run(context.timers.advance(0.01))
        if context.cell.state.pending_voters:
            return
    raise AssertionError("no voters were proposed")


def _victims(context, lost):
    cell = context.cell
    state = cell.state
    planner = cell.holder_of(state.planner).instance
    by_age = sorted(cell.nodes, key=lambda name: state.members[f"{name}.1"].joined)
    others = [name for name in by_age if name != planner]
    domain = state.members[state.planner].failure_domain
    return {
        "a coordinator": others[-1:],
        "a voter": [name for name in others if f"{name}.1" in state.voters][-1:],
        "the planner": [planner],
        "the planner and its successor": [planner, others[0]],
        "the planner's failure domain": [
            name for name in by_age if state.members[f"{name}.1"].failure_domain == domain
        ],
    }[lost]


@when("the planner cell loses {lost:d} instances while the platform's list {behaviour}")
def step_lose_majority(context, lost, behaviour):
    platform = context.cell.platform
    victims = sorted(context.cell.nodes)[:lost]
    for name in victims:
        context.cell.kill(name)
    keep = set(context.cell.nodes) if "but one" not in behaviour else {"i4"}
    if behaviour != "still shows them":
        platform.hidden = set() if "is empty" not in behaviour else platform.names
        platform.hidden = platform.names - keep if platform.hidden == set() else platform.hidden
    if "stands still" in behaviour:
        platform.frozen_listing = context.run(platform.instances())
    if "now and then" in behaviour:
        context.loop.create_task(_alternate(context.timers, platform))


async def _alternate(timers, platform):
    hidden = set(platform.hidden)
    while True:
        await timers.sleep(2)
        platform.hidden = set() if platform.hidden else hidden


@when("the planner cell loses {lost}")
def step_lose(context, lost):
    context.lost_s = context.timers.now()
    for name in _victims(context, lost):
        context.lost.append(context.cell.kill(name).incarnation)


@when("the planner cell's planner stops reading the log and another claims the epoch")
def step_stale(context):
    cell = context.cell
    old = cell.holder_of(cell.state.planner)
    old.replica.held_state = cell.state
    coordinations = cell.state.coordinations.items()
    own = [server for server, c in coordinations if c.incarnation == old.incarnation]
    context.server = next(server for server, _ in coordinations if server not in own)
    # The old planner hears of the failure of its own server and tries to plan.
    cell.down_servers.add(own[0])
    other = next(node for node in cell.nodes.values() if node is not old)
    context.old = old.incarnation
    claim = PlannerRecord(
        instance=other.instance,
        incarnation=other.incarnation,
        previous_epoch=cell.state.planner_epoch,
    )
    assert not cell.log.write(other.incarnation, claim).rejected


@when("the planner cell's planner gets no promises")
def step_unsupported(context):
    context.cell.holder_of(context.cell.state.planner).unsupported = True


@when("{lost:d} planner instances fail and another one is cut off but reads the log")
def step_cut_off(context, lost):
    """Leave too few voters for a fence of the instance that is cut off."""
    planner = context.cell.holder_of(context.cell.state.planner).instance
    others = [name for name in sorted(context.cell.nodes) if name != planner]
    for name in others[:lost]:
        context.cell.kill(name)
    context.cell.cut_off(others[lost])


@when("the planner cell's planner and a coordinator lose their connection")
def step_disconnect(context):
    state = context.cell.state
    context.blind = next(
        c.incarnation for c in state.coordinations.values() if c.incarnation != state.planner
    )
    context.cell.network.cut(context.blind, [state.planner])


@then("the coordinator without a connection has no planner server")
def step_no_server(context):
    coordinations = context.cell.state.coordinations.values()
    assert all(c.incarnation != context.blind for c in coordinations), coordinations


@when("the planner log goes down")
def step_log_down(context):
    context.cell.log.down = True
    context.attempts = context.cell.log.attempts
    context.messages = []
    logger.add(lambda message: context.messages.append(message.record["extra"].get("name")))


@when("the planner log comes back")
def step_log_up(context):
    logger.remove()
    context.cell.log.down = False


@when("all planner instances are replaced {how}")
def step_replace(context, how):
    cell = context.cell
    names = sorted(cell.nodes)
    for name in names:
        cell.kill(name)
    nodes = []
    for index, name in enumerate(names):
        again = how == "by themselves at their port"
        nodes.append(cell.add(name if again else f"n{index}", DOMAINS[index % 3], generation=2))
    cell.platform.hidden = cell.platform.names - set(cell.nodes)
    context.run(cell.start(*nodes))


@when("{count:d} instances join the planner cell")
def step_joins(context, count):
    nodes = [context.cell.add(f"n{index}", "cab"[index % 3]) for index in range(count)]
    context.run(context.cell.start(*nodes))


@when("the platform's list drops the lost planner instances")
def step_drop_lost(context):
    platform = context.cell.platform
    platform.hidden = platform.names - set(context.cell.nodes)


@when("a planner coordinator leaves")
def step_leave(context):
    name = next(reversed(context.cell.nodes))
    node = context.cell.nodes[name]
    context.left = node.incarnation
    node.planner.resign()
    context.loop.create_task(_leave(context.cell, node))


async def _leave(cell, node):
    await node.membership.leave()
    cell.kill(node.instance)


@when("a planner server of a current coordinator goes down")
def step_server_of_current_down(context):
    context.cell.down_servers.add(context.server)


@when('the planner server "{server}" goes down')
def step_server_down(context, server):
    context.cell.down_servers.add(server)


@when('the planner server "{server}" goes down and comes up every {pause:g} s for {total:g} s')
def step_flap(context, server, pause, total):
    for turn in range(int(total / pause)):
        context.cell.down_servers = {server} if turn % 2 == 0 else set()
        context.run(context.timers.advance(pause))
        context.cell.settle_moves()


@when('the planner server "{server}" can\'t be reached by its coordinator')
def step_unreachable(context, server):
    cell = context.cell
    blind = cell.state.coordinations[server].incarnation
    report = cell.server_usage

    def usage(state, name):
        seen_by = state.coordinations[server].incarnation
        cell.down_servers = {server} if name == server and seen_by == blind else set()
        return report(state, name)

    cell.server_usage = usage
    context.blind = blind


@when("each planner instance reports the servers of others as down")
def step_false_reports(context):
    cell = context.cell
    planner = cell.holder_of(cell.state.planner).planner
    for node in cell.nodes.values():
        others = tuple(
            ServerUsage(server, "down", 0.0, (), ())
            for server, current in cell.state.coordinations.items()
            if current.incarnation != node.incarnation
        )
        report = UsageReport(node.instance, others, False)
        context.run(planner.on_usage_report(node.incarnation, report))


@when("{count:d} planner servers go down one every {ms:d} ms")
def step_many_down(context, count, ms):
    for index in range(count):
        context.cell.down_servers.add(f"s{index}")
        context.run(context.timers.advance(ms / 1000))


@then("the planner cell has {count:d} voters with at most {limit:d} in each failure domain")
def step_voters(context, count, limit):
    state = context.cell.state
    domains = Counter(state.members[voter].failure_domain for voter in state.voters)
    assert len(state.voters) == count, state.voters
    assert max(domains.values()) <= limit, domains


@then("the planner voters did not change")
def step_voters_kept(context):
    assert context.cell.state.voters == context.before.voters


@then("every change of planner voters kept a majority of the new ones")
def step_overlap(context):
    sets = [set(body.voters) for _, body in context.cell.log.bodies("voters_proposed")]
    assert len(sets) > 1, sets
    for old, new in zip(sets, sets[1:], strict=False):
        assert len(old & new) * 2 > len(new), (old, new)


@then("every planner server has a live coordinator outside its failure domain")
def step_coordinators(context):
    state = context.cell.state
    for name, server in state.servers.items():
        coordinator = state.members[state.coordinations[name].incarnation]
        assert coordinator.failure_domain != server.failure_domain, name
        assert context.cell.holder_of(coordinator.incarnation), f"{name}: {coordinator}"


@then("the planner cell's partitions are spread with at most {limit:d} on a server")
def step_spread(context, limit):
    owners = Counter(owner.server for owner in context.cell.state.ownerships.values())
    assert sum(owners.values()) == 64 and max(owners.values()) <= limit, owners


@then("the planner log gains no record in {seconds:g} s")
def step_quiet(context, seconds):
    before = len(context.cell.log.records)
    context.run(context.timers.advance(seconds))
    assert context.cell.log.kinds(before) == [], context.cell.log.kinds(before)


def _unrepaired(context):
    state = context.cell.state
    unfenced = [name for name in context.lost if name not in state.fenced]
    orphans = [
        server
        for server, current in state.coordinations.items()
        if not context.cell.holder_of(current.incarnation)
    ]
    return unfenced + orphans


def _check_repaired(context):
    assert context.lost and not _unrepaired(context), _unrepaired(context)


@then("the lost planner instances are fenced and replaced")
def step_repaired(context):
    _check_repaired(context)


@then("the lost planner instances are fenced and replaced within {ms:d} ms")
def step_repaired_within(context, ms):
    _check_repaired(context)
    took_ms = (context.repaired_s - context.lost_s) * 1000
    assert took_ms <= ms + 0.1, f"{took_ms:.0f} ms"


@then("no planner partition has moved")
def step_unmoved(context):
    before, now = context.before.ownerships, context.cell.state.ownerships
    assert before == now, [name for name in now if now[name] != before.get(name)]


@then("every planner voter is live and no voters are pending")
def step_voters_live(context):
    state = context.cell.state
    assert state.voters and len(state.voters) % 2, state.voters
    assert all(context.cell.holder_of(voter) for voter in state.voters), state.voters
    assert not state.pending_voters, state.pending_voters


@then("at most {count:d} planner claims were written")
def step_claims(context, count):
    assert context.cell.log.kinds(context.start).count("planner") <= count


@then("a planner claim was rejected and one came into force")
def step_race(context):
    log = context.cell.log
    claims = [
        reason
        for record, reason in zip(log.records, log.rejections, strict=True)
        if record.kind == "planner"
    ]
    assert claims.count("") == 2 and "lost-race" in claims, claims


@then("every planner record in force was written by the holder of its epoch")
def step_holder(context):
    log = context.cell.log
    writers = {index: record.writer for index, record in enumerate(log.records)}
    stale = [reason for reason in log.rejections[context.start :] if "epoch" in reason]
    for kind in ("plan", "voters_proposed", "voters_committed"):
        for _, body in log.bodies(kind, context.start):
            assert writers[body.epoch] in context.cell.state.members or body.epoch < context.start
    assert not stale, stale


@then("the old planner wrote nothing into force")
def step_old_silent(context):
    log = context.cell.log
    pairs = zip(log.records, log.rejections, strict=True)
    mine = [
        reason for record, reason in list(pairs)[context.start :] if record.writer == context.old
    ]
    assert mine and all(reason == "stale-epoch" for reason in mine), mine


@then("that planner server owns nothing")
def step_owns_nothing(context):
    owners = {owner.server for owner in context.cell.state.ownerships.values()}
    assert context.server not in owners, owners


@then("the planner role went to another instance")
def step_role_moved(context):
    assert context.cell.state.planner != context.before.planner


@then("the planner role did not change")
def step_role_kept(context):
    assert context.cell.state.planner_epoch == context.before.planner_epoch


@then("each planner instance attempted no append and warned once")
def step_warned_once(context):
    assert context.cell.log.attempts == context.attempts
    warnings = context.messages.count(Event.PLANNER_PAUSED.name)
    assert warnings == len(context.cell.nodes), warnings


@then("the planner cell fenced {count:d} instances and authority is {authority}")
def step_fenced(context, count, authority):
    fences = context.cell.log.bodies("fence", context.start)
    assert len(fences) == count, fences
    held = [node.authority.held() for node in context.cell.nodes.values()]
    assert all(held) if authority == "held" else not any(held), held


@then("the planner instance has left without a fence")
def step_left(context):
    log = context.cell.log
    assert [body.incarnation for _, body in log.bodies("leave", context.start)] == [context.left]
    assert not log.bodies("fence", context.start)


@then('one planner record moved the partitions of "{server}" and no others')
def step_one_record(context, server):
    plans = [body for _, body in context.cell.log.bodies("plan", context.start) if body.moves]
    assert len(plans) == 1, plans
    moved = {move.partition for move in plans[0].moves}
    owned = {name for name, o in context.before.ownerships.items() if o.server == server}
    assert moved == owned and owned, moved ^ owned


@then('the planner server "{server}" is up under another coordinator')
def step_up_again(context, server):
    state = context.cell.state
    assert state.coordinations[server].incarnation != context.blind
    assert state.server_status[server] == "up"


@then("the planner log gained at most {plans:d} plans and {moves:d} moves")
def step_few_moves(context, plans, moves):
    written = [body for _, body in context.cell.log.bodies("plan", context.start)]
    moved = sum(len(body.moves) for body in written)
    assert written and len(written) <= plans and moved <= moves, f"{len(written)} plans, {moved}"


@then("the planner log gained at most {plans:d} plans in {seconds:g} s")
def step_few_plans(context, plans, seconds):
    times = [at_s for at_s, _ in context.cell.log.bodies("plan", context.start)]
    early = [at_s for at_s in times if at_s <= context.started_s + seconds]
    assert early and len(early) <= plans, len(early)


@then("no planner partition is owned by a server that is down")
def step_none_down(context):
    owners = {owner.server for owner in context.cell.state.ownerships.values()}
    assert not owners & context.cell.down_servers, owners
