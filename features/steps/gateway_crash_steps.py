"""Steps for requests that crash servers."""

from behave import given, then, when

from hyssopwood.gateway.crash_suspects import (
    CrashCounter,
    CrashMonitor,
    Suspects,
    request_fingerprint,
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


def _exchange_reports(context, report):
    """Send a report to the leader and its suspects back, both encoded and decoded."""
    context.counter.add_report(decode(encode(InstanceReport({}, {}, report))).crashes)
    suspects = decode(encode(context.counter.suspects()))
    for monitor in context.monitors.values():
        monitor.set_suspects(suspects)


@given('instances "{names}" that report to a leader')
def step_instances(context, names):
    context.ended = set()
    context.monitors = {name: CrashMonitor(context.timers) for name in names.split(",")}
    context.counter = CrashCounter(
        context.timers, lambda incarnation: incarnation[0] in context.ended
    )


@when('request "{name}" is lost at server "{server}" by instance "{instance}", and the server ends')
def step_lost(context, name, server, instance):
    monitor = context.monitors[instance]
    monitor.record_lost(_request(name, request_id=f"{server}-{instance}"), (server, 1))
    _exchange_reports(context, monitor.next_report())
    context.ended.add(server)
    _exchange_reports(context, monitor.next_report())


@when('request "{name}" is lost at servers "{servers}" by instance "{instance}"')
def step_lost_alive(context, name, servers, instance):
    monitor = context.monitors[instance]
    for server in servers.split(","):
        monitor.record_lost(_request(name), (server, 1))
    _exchange_reports(context, monitor.next_report())


@when('{count:d} different requests are lost at server "{server}" by instance "{instance}"')
def step_many(context, count, server, instance):
    monitor = context.monitors[instance]
    for number in range(count):
        monitor.record_lost(_request(f"n{number}"), (server, 1))
        if number % 100 == 0:
            _exchange_reports(context, monitor.next_report())
    _exchange_reports(context, monitor.next_report())


@when('request "{name}" succeeds at instance "{instance}"')
def step_success(context, name, instance):
    monitor = context.monitors[instance]
    monitor.record_success(_request(name))
    _exchange_reports(context, monitor.next_report())


@when("another leader takes over")
def step_leader(context):
    context.counter.reset()
    for monitor in context.monitors.values():
        _exchange_reports(context, monitor.recent_report())


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.timers.jump(seconds)
    for monitor in context.monitors.values():
        _exchange_reports(context, monitor.next_report())


@given("the leader has quarantined the request")
def step_quarantined(context):
    fingerprints = set()
    for path in ("/idempotent/x", "/non-idempotent/x"):
        request = CallerRequest(
            method=b"GET",
            target=path.encode(),
            host="shop.example",
            headers=(),
            body=b"",
            arrived=0,
        )
        fingerprints.add(request_fingerprint(request))
    context.dispatcher._deps.crashes.set_suspects(Suspects(quarantined=frozenset(fingerprints)))


@then('every instance refuses request "{name}"')
def step_all_refuse(context, name):
    assert all(
        monitor.is_quarantined(_request(name, "new")) for monitor in context.monitors.values()
    )


@then('no instance refuses request "{name}"')
def step_none_refuses(context, name):
    assert not any(
        monitor.is_quarantined(_request(name, "new")) for monitor in context.monitors.values()
    )


@then("the instance keeps at most {instance_limit:d} of them and the leader {leader_limit:d}")
def step_bounded(context, instance_limit, leader_limit):
    (monitor,) = context.monitors.values()
    assert len(monitor.recent_report().lost) <= instance_limit
    assert len(context.counter._cases) <= leader_limit
