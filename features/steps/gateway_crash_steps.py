"""Steps for requests that crash servers."""

from behave import given, then, when

from hyssopwood.gateway.crash_suspects import (
    CrashCounter,
    CrashWatch,
    Suspects,
    fingerprint,
)
from hyssopwood.gateway.exchange import CallerRequest
from hyssopwood.keyspace.link_codec import InstanceReport, decode, encode


def _request(name, request_id="r1"):
    return CallerRequest(
        method=b"POST",
        target=f"/{name}".encode(),
        host="a",
        headers=((b"request-id", request_id.encode()),),
        body=b"body",
        arrived=0.0,
    )


def _tell(context, report):
    """Pass a report over the wire and the leader's findings back."""
    context.counter.take(decode(encode(InstanceReport({}, {}, report))).crashes)
    suspects = decode(encode(context.counter.suspects()))
    for watch in context.watches.values():
        watch.take(suspects)


@given('instances "{names}" that report to a leader')
def step_instances(context, names):
    context.ended = set()
    context.watches = {name: CrashWatch(context.timers) for name in names.split(",")}
    context.counter = CrashCounter(context.timers, lambda life: life[0] in context.ended)


@when('request "{name}" is lost at server "{server}" by instance "{instance}", and the server ends')
def step_lost(context, name, server, instance):
    watch = context.watches[instance]
    watch.note_lost(_request(name, request_id=f"{server}-{instance}"), (server, 1))
    _tell(context, watch.next_report())
    context.ended.add(server)
    _tell(context, watch.next_report())


@when('request "{name}" is lost at servers "{servers}" by instance "{instance}"')
def step_lost_alive(context, name, servers, instance):
    watch = context.watches[instance]
    for server in servers.split(","):
        watch.note_lost(_request(name), (server, 1))
    _tell(context, watch.next_report())


@when('{count:d} different requests are lost at server "{server}" by instance "{instance}"')
def step_many(context, count, server, instance):
    watch = context.watches[instance]
    for number in range(count):
        watch.note_lost(_request(f"n{number}"), (server, 1))
        if number % 100 == 0:
            _tell(context, watch.next_report())
    _tell(context, watch.next_report())


@when('request "{name}" succeeds at instance "{instance}"')
def step_success(context, name, instance):
    watch = context.watches[instance]
    watch.note_success(_request(name))
    _tell(context, watch.next_report())


@when("another leader takes over")
def step_leader(context):
    context.counter.forget()
    for watch in context.watches.values():
        _tell(context, watch.recent_report())


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.timers.jump(seconds)
    for watch in context.watches.values():
        _tell(context, watch.next_report())


@given("the leader has quarantined the request")
def step_quarantined(context):
    numbers = set()
    for path in ("/repeatable/x", "/once/x"):
        request = CallerRequest(
            method=b"GET",
            target=path.encode(),
            host="shop.example",
            headers=(),
            body=b"",
            arrived=0,
        )
        numbers.add(fingerprint(request))
    context.dispatcher._parts.crashes.take(Suspects(quarantined=frozenset(numbers)))


@then('every instance refuses request "{name}"')
def step_all_refuse(context, name):
    assert all(watch.refuses(_request(name, "new")) for watch in context.watches.values())


@then('no instance refuses request "{name}"')
def step_none_refuses(context, name):
    assert not any(watch.refuses(_request(name, "new")) for watch in context.watches.values())


@then("the instance keeps at most {own:d} of them and the leader {led:d}")
def step_bounded(context, own, led):
    (watch,) = context.watches.values()
    assert len(watch.recent_report().lost) <= own
    assert len(context.counter._cases) <= led
