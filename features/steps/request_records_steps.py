"""Steps for idempotency records, suspects and learned durations."""

from behave import given, then, when

from hyssopwood import idempotency
from hyssopwood.durations import Durations
from hyssopwood.idempotency import Begun, IdempotencyRecords, Stored
from hyssopwood.messages import SuspectReport
from hyssopwood.poison import Suspects

MAX_RECORDS = 100
MAX_SUSPECTS = 3000


def _records(context):
    return IdempotencyRecords(context.timers, context.window_s, MAX_RECORDS)


@given("idempotency records for {seconds:d} s")
def step_records(context, seconds):
    context.window_s = seconds
    context.records = _records(context)


@when('key "{key}" begins with digest {digest:d} as request "{request_id}"')
def step_begin(context, key, digest, request_id):
    context.result = context.records.begin("portal", key, digest, request_id)


@when("its request is still running")
def step_running(context):
    pass


@when("its request was answered with {size:d} bytes")
def step_answered(context, size):
    context.records.finish("portal", "k", 200, b"x" * size)


@when("its request ended unknown")
def step_unknown(context):
    context.records.mark_unknown("portal", "k")


@when("its request was proved not to have run")
def step_not_run(context):
    context.records.abandon("portal", "k")


@when("its request was answered long ago")
def step_answered_long_ago(context):
    step_answered(context, 5)
    context.timers.jump(context.window_s + 1)


@when("its request runs for longer than the window")
def step_runs_long(context):
    context.timers.jump(context.window_s + 1)


@when("its request was copied and taken over")
def step_copied(context):
    copies = list(context.records.export("s1"))
    context.records = _records(context)
    context.records.import_copies(copies)
    context.records.take_over()


@when("its request was answered, copied, taken over")
def step_answered_copied(context):
    step_answered(context, 5)
    step_copied(context)


@when("its request was answered and copied late")
def step_late_copy(context):
    beginning = context.records.copy_of("s1", "portal", "k")
    step_answered(context, 5)
    standby = _records(context)
    standby.import_copies([*context.records.export("s1"), beginning])
    context.records = standby


@when("its request was lost in a takeover")
def step_lost(context):
    context.records = _records(context)
    context.records.distrust_until(context.timers.now() + context.window_s)


@when("its request was lost in a takeover long ago")
def step_lost_long_ago(context):
    step_lost(context)
    context.timers.jump(context.window_s + 1)


def _describe(result):
    if isinstance(result, Begun):
        return "begun"
    if isinstance(result, Stored):
        return f"stored {len(result.body)} bytes"
    return result.reason.value


@then("the key's result is {expected}")
def step_result(context, expected):
    assert _describe(context.result) == expected, context.result


@when("{count:d} further keys are answered with {size:d} bytes each")
def step_further(context, count, size):
    context.limit, idempotency.MAX_STORED_BYTES = idempotency.MAX_STORED_BYTES, 1_000_000
    for number in range(count):
        context.records.begin("portal", f"further-{number}", 1, f"i1.{number}#0")
        context.records.finish("portal", f"further-{number}", 200, b"x" * size)
    idempotency.MAX_STORED_BYTES = context.limit


@then("no more than {count:d} keys and {size:d} bytes are kept")
def step_bounded(context, count, size):
    assert len(context.records) <= count
    assert 0 < context.records.stored_bytes <= size


@then('the key "{key}" is {state}')
def step_state(context, key, state):
    assert context.records.lookup("portal", key).value == state


@then("a further key is refused as {reason}")
def step_full(context, reason):
    assert _describe(context.records.begin("portal", "new", 1, "i1.x#0")) == reason


@given("suspects with a quarantine of {seconds:d} s")
def step_suspects(context, seconds):
    context.suspects = Suspects(context.timers, seconds, MAX_SUSPECTS)


def _groups(text):
    return [[int(digest) for digest in group.split(",")] for group in text.split()]


@when('servers crash while they run "{crashes}"')
def step_crash(context, crashes):
    for group in _groups(crashes):
        context.suspects.record_crash("s1", group)


@when("nothing else happens")
def step_nothing_else(context):
    pass


@when("request {digest:d} succeeds")
def step_success(context, digest):
    context.suspects.record_success("s1", digest)


@when("{seconds:d} s pass")
def step_seconds(context, seconds):
    context.timers.jump(seconds)


@when("{count:d} other requests crash one")
def step_many(context, count):
    for digest in range(1000, 1000 + 2 * count):
        context.suspects.record_crash("s1", [digest])
        if digest == 1000 + count:
            step_crash(context, "7 7")
    assert len(context.suspects) <= MAX_SUSPECTS


@when('peers report crashes of "{crashes}"')
def step_peer_crashes(context, crashes):
    for group in _groups(crashes):
        for digest in group:
            context.suspects.merge(SuspectReport(digest, "s2", 1 / len(group), False))


@when("a peer clears request {digest:d}")
def step_peer_clears(context, digest):
    context.suspects.merge(SuspectReport(digest, "s2", 0.0, True))


@then('the quarantined requests are "{guilty}"')
def step_quarantined(context, guilty):
    found = [digest for digest in range(10) if context.suspects.quarantined_s(digest)]
    assert found == [int(digest) for digest in guilty.split(",")], found


@then('the quarantined requests are ""')
def step_none_quarantined(context):
    assert not any(context.suspects.quarantined_s(digest) for digest in range(10))


@then("{count:d} suspects are kept")
def step_kept(context, count):
    assert len(context.suspects) == count


def _record(context, count, ms):
    for _ in range(count):
        context.durations.record("portal", "read", ms / 1000)


@given("{many:d} requests took {short:d} ms and {few:d} took {long:d} ms, {age:d} s ago")
def step_took(context, many, short, few, long, age):
    context.durations = Durations(context.timers, max_operations=40)
    _record(context, many, short)
    _record(context, few, long)
    context.timers.jump(age)


@when("{count:d} requests take {ms:d} ms")
def step_take(context, count, ms):
    _record(context, count, ms)


def _between(seconds, low_ms, high_ms):
    assert low_ms <= seconds * 1000 <= high_ms, f"{seconds * 1000} ms"


@then("the mean lies between {low:d} and {high:d} ms")
def step_mean(context, low, high):
    _between(context.durations.mean("portal", "read"), low, high)


@then("the 95th percentile lies between {low:d} and {high:d} ms")
def step_tail(context, low, high):
    _between(context.durations.high("portal", "read"), low, high)


@then("the operation is {name}")
def step_class(context, name):
    declared = "short" if name == "long" else "long"
    assert context.durations.classify("portal", "read", declared) == name


@then("after {ms:d} ms the remaining time lies between {low:d} and {high:d} ms")
def step_residual(context, ms, low, high):
    _between(context.durations.residual("portal", "read", ms / 1000), low, high)


@then("the learned operations stay below {bound:d} after {count:d} new ones")
def step_operations(context, bound, count):
    for number in range(count):
        context.durations.record("portal", f"new-{number}", 0.01)
    assert len(context.durations) < bound
