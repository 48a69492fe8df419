"""Steps for membership."""

from attrs import evolve
from behave import given, then, when

from hyssopwood.errors import AppendUnconfirmedError, MembershipLostError
from hyssopwood.membership import InstanceList, new_incarnation
from hyssopwood.messages import Ack, ErrorReply, ServerUsage, UsageReport
from hyssopwood.state import Coordination, Member
from support.planner_fakes import FakeCluster, Listed, Listing


@given('a membership of instance "{instance}"')
def step_membership(context, instance):
    context.cluster = FakeCluster(context.timers)
    context.node = context.cluster.add(instance, "a")
    context.membership = context.node.membership
    context.reports = []


def _advance(context, seconds):
    context.run(context.timers.advance(seconds))


@when("the membership joins while {fault}")
def step_join(context, fault):
    log = context.cluster.log
    if fault == "the response is lost":
        _lose_next_response(context.node.replica)
    log.down = "down" in fault
    task = context.loop.create_task(context.membership.join())
    _advance(context, 2)
    log.down = False
    _advance(context, 1)
    assert task.done() and task.exception() is None


def _lose_next_response(replica):
    append = replica.append

    async def lossy(body):
        replica.append = append
        await append(body)
        raise AppendUnconfirmedError("the response was lost")

    replica.append = lossy


@then("the membership has joined with 1 join record in force")
def step_joined(context):
    log = context.cluster.log
    assert context.node.incarnation in log.state.members
    assert len(log.bodies("join")) == 1 and log.kinds().count("join") == 1


@when("the membership incarnation was fenced before it joins")
def step_fenced_before(context):
    log = context.cluster.log
    log.state = evolve(log.state, fenced={context.node.incarnation: 3})


@then("the membership join fails because it was fenced")
def step_join_fails(context):
    task = context.loop.create_task(context.membership.join())
    _advance(context, 1)
    assert isinstance(task.exception(), MembershipLostError)


@then('{count:d} new incarnations of "{instance}" are different and begin with "{prefix}"')
def step_incarnations(context, count, instance, prefix):
    made = {new_incarnation(instance) for _ in range(count)}
    assert len(made) == count and all(name.startswith(prefix) for name in made)


@given("the membership has joined")
def step_has_joined(context):
    task = context.loop.create_task(context.membership.join())
    _advance(context, 0.1)
    assert task.done()
    context.loop.create_task(context.membership.run())
    _advance(context, 0.1)


@when("the membership incarnation is {change}")
def step_change(context, change):
    log, own = context.cluster.log, context.node.incarnation
    if change == "gone after it left":
        context.loop.create_task(context.membership.leave())
    elif change != "left intact":
        fenced = {own: 5} if change == "fenced" else {}
        log.state = evolve(log.state, members={}, fenced=fenced)


@when("the membership runs for {seconds:d} s")
def step_runs(context, seconds):
    _advance(context, seconds)


@then("the membership reported the loss {losses}")
def step_losses(context, losses):
    expected = [] if losses == "never" else [losses.split()[0]]
    assert context.node.lost == expected, context.node.lost


def _other():
    return Member("i1", "i1.1", "127.0.0.1:1", "127.0.0.1:2", "b", 9)


@given("the membership instance {role}")
def step_role(context, role):
    log, own = context.cluster.log, context.node.incarnation
    members = {**log.state.members, "i1.1": _other()}
    log.state = evolve(log.state, members=members)
    if "coordinates" in role:
        log.state = evolve(log.state, coordinations={"s0": Coordination(own, 1)})
    elif "awaited" in role:
        log.state = evolve(log.state, coordinations={"s0": Coordination("i1.1", 1, (own,))})
    elif "voter" in role:
        log.state = evolve(log.state, voters=(own,))
    log.down = "log is down" in role


@when("the membership leaves and its role ends after {seconds:d} s")
def step_leave(context, seconds):
    log = context.cluster.log
    context.loop.create_task(_end_role(context, log, seconds))
    context.began_s = context.timers.now()
    context.leave = context.loop.create_task(context.membership.leave())
    context.left_s = None
    context.leave.add_done_callback(lambda _: setattr(context, "left_s", context.timers.now()))
    _advance(context, 40)


async def _end_role(context, log, seconds):
    await context.timers.sleep(seconds)
    log.state = evolve(log.state, coordinations={}, voters=("i1.1",))
    log.down = False


@then("the membership has left after {limit} s")
def step_left(context, limit):
    took_s = context.left_s - context.began_s
    left = context.cluster.log.kinds().count("leave") == 1
    if limit == "never":
        assert context.leave.result() is False and not left
        return
    assert context.leave.result() is True and left
    assert float(limit) - 0.7 <= took_s <= float(limit) + 0.01, took_s


@given("the membership has joined and reports to a planner")
def step_reports(context):
    cluster = context.cluster
    planner, second = cluster.add("i1", "b"), cluster.add("i2", "c")
    for node in (planner, second):
        context.loop.create_task(node.membership.join())
        node.peers.on(UsageReport, lambda sender, report: _take(context, report))
    context.status, context.reply = "up", Ack()
    context.membership._usage = lambda: (ServerUsage("s0", context.status, 0.0, (), ()),)
    context.membership._statuses = lambda: (("s0", context.status),)
    _advance(context, 0.1)
    cluster.log.state = evolve(cluster.log.state, planner=planner.incarnation)
    step_has_joined(context)
    _advance(context, 1)
    context.reports.clear()


async def _take(context, report):
    context.reports.append(report)
    return context.reply


@when("the membership sees that {what}")
def step_sees(context, what):
    log = context.cluster.log
    if what == "a server goes down":
        context.status = "down"
    elif what == "it has to leave":
        log.state = evolve(log.state, coordinations={"s0": Coordination("i0.1", 1)})
        context.loop.create_task(context.membership.leave())
    elif what == "there is a new planner":
        log.state = evolve(log.state, planner="i2.1")
    elif what == "the planner refuses reports":
        context.reply = ErrorReply("no-authority")
        _advance(context, 1)
        context.reports.clear()


@then("the membership sends {count:d} reports in {seconds:g} s")
def step_sends(context, count, seconds):
    _advance(context, seconds)
    assert len(context.reports) == count, len(context.reports)


@given('a membership list with a lag of {lag:d} s, read by "{reader}"')
def step_list(context, lag, reader):
    context.listing = InstanceList(reader, lag * 1000, context.timers)
    context.cluster = FakeCluster(context.timers)
    member = evolve(_other(), instance="x")
    context.state = evolve(context.cluster.state, members={"x.1": member})


@when("the membership list is read as {readings}")
def step_readings(context, readings):
    as_of_ms = 1_000_000
    for reading in readings.split():
        shown, count = reading.split("*")
        names = shown.rstrip("!<").replace("-", "").split(",")
        listed = tuple(Listed(name) for name in names if name)
        for _ in range(int(count)):
            step_ms = {"!": 0, "<": -1000}.get(shown[-1], 1000)
            as_of_ms += step_ms
            context.timers.jump(1)
            context.listing.observe(Listing(as_of_ms, listed), context.state)


@then('the membership list says that "{instance}" is {verdict}')
def step_verdict(context, instance, verdict):
    assert context.listing.absent(instance) == (verdict == "absent")
