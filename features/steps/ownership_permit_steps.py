"""Steps for the permits of one server."""

from attrs import evolve
from behave import given, then, when

from hyssopwood.messages import PermitRequest
from hyssopwood.permits import PermitBook
from hyssopwood.session import ServerReport
from hyssopwood.state import ClusterState, hot_partition, shard_of
from hyssopwood.ticket import Service

KEY = "animal-1"
SERVICE = Service(customer="beridze", shards=4, operations={}, path_prefix="/portal/")
STATE = ClusterState(services={"portal": SERVICE})


def _issue(context, partition):
    if not hasattr(context, "book"):
        context.book = PermitBook(message_life_s=0.1)
    request = PermitRequest("r", "s", "portal", "read", KEY, 2000, 0, "", "beridze", 0)
    return context.book.add(
        sender="entry",
        request=request,
        partition=partition,
        token=1,
        issued_at=0.0,
        use_by=0.2,
        run_by=2.0,
        slot=object(),
    )


def _report(running, at):
    return ServerReport("p", 0.0, 1, {}, running, 2, at, at)


@given('a permit that was issued for "{partition}"')
def step_permit(context, partition):
    context.partition = partition
    context.permit = _issue(context, partition)


@when('its entry "{entry}" after {ms:d} ms')
def step_entry(context, entry, ms):
    if entry == "reports unknown":
        context.book.abandon(context.permit, ms / 1000)
    elif entry.startswith("is lost"):
        context.book.lose_sender("entry")
    if entry.endswith("token replaced"):
        context.book.supersede(context.partition, 2)


@when('{ms:d} ms after the issue "{evidence}"')
def step_evidence(context, ms, evidence):
    now = ms / 1000
    context.book.settle_by_time(now)
    if evidence.startswith("the server reports"):
        context.book.settle_by_report(_report(int(evidence.split()[3]), now))
    elif evidence == "the lease has lapsed":
        context.book.settle_by_lapse(now)


@then('the permit "{result}" its partition')
def step_blocks(context, result):
    assert context.book.blocks(STATE, context.partition) == (result == "blocks")


@given("{count:d} abandoned permits")
def step_lost(context, count):
    for _ in range(count):
        _issue(context, "portal/1")
    context.book.lose_sender("entry")


@when("the server reports {running:d} running after they can't start work any more")
def step_count(context, running):
    assert not context.book.surplus_slots(_report(running, 0.29)), "freed too early"
    context.free = context.book.surplus_slots(_report(running, 0.31))


@then("{count:d} of their slots are free")
def step_freed(context, count):
    assert len(context.free) == count


@given('a permit that was issued for the shard of "{key}"')
def step_shard_permit(context, key):
    context.shard = shard_of(STATE, "portal", key)
    _issue(context, context.shard)


@when('"{key}" gets a partition of its own')
def step_hot(context, key):
    context.hot = hot_partition("portal", key)
    context.state = evolve(STATE, hot_keys={context.hot: key})


@then("the permit blocks both partitions and no third one")
def step_blocks_both(context):
    others = {f"portal/{index}" for index in range(4)} - {context.shard}
    assert context.book.blocks(context.state, context.shard)
    assert context.book.blocks(context.state, context.hot)
    assert not any(context.book.blocks(context.state, other) for other in others)
