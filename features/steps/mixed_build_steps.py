"""Steps for builds side by side."""

import json

from behave import given, then, when

from hyssopwood.gateway import queue_messages
from hyssopwood.gateway.relay_codec import (
    RelayFrame,
    RelayReply,
    RelayRequest,
    RelayResult,
    decode_reply,
    decode_request,
)
from hyssopwood.keyspace import link_codec
from hyssopwood.keyspace.link import LeaderStatus
from hyssopwood.keyspace.plan import KeyRange, Leader, Plan
from hyssopwood.keyspace.plan_codec import decode_leader, decode_plan, encode_leader, encode_plan
from support.earlier_builds import (
    DATA,
    PRESENT,
    enumerants,
    fill,
    load_schema,
    records,
    union_kinds,
)

# The records of `scripts/record_build.py`.
PLAN = Plan(
    4712,
    {
        "catalogue": (
            KeyRange(0, 32767, "s1", 1_700_000_000_001, 4711),
            KeyRange(32768, 65535, "s2", 1_700_000_000_002, 4712),
        )
    },
)
LEADER = Leader("i1", "0a1b", "10.1.0.10:7720")


@given('the schemas and records of build "{build}"')
def step_build(context, build):
    context.link = load_schema(DATA / build, "keyspace/cluster.capnp").LinkMessage
    context.queue = load_schema(DATA / build, "gateway/queue.capnp").QueueMessage
    context.records = records(build)


def _messages(message_type):
    """Yield a message of each kind of a build with a value of its own in every field."""
    for kind in union_kinds(message_type.schema):
        message = message_type.new_message()
        fill(message, message_type.schema)
        field = message_type.schema.fields[kind]
        if field.proto.slot.type.which() == "struct":
            fill(message.init(kind), field.schema)
        else:
            setattr(message, kind, None)
        yield message


def _check_same(message_type, recode):
    for message in _messages(message_type):
        recoded = message_type.from_bytes_packed(recode(message.to_bytes_packed()))
        assert recoded.to_dict() == message.to_dict(), (recoded.to_dict(), message.to_dict())


@then("every link message of that build is the same after it was read and written by this one")
def step_link_messages(context):
    _check_same(context.link, lambda data: link_codec.encode(link_codec.decode(data)))


@then("every queue message of that build is the same after it was read and written by this one")
def step_queue_messages(context):
    _check_same(context.queue, lambda data: queue_messages.encode(*queue_messages.decode(data)))


@then('that build doesn\'t know the messages or states "{names}"')
def step_unknown(context, names):
    unknown = set()
    for theirs, name, kind in (
        (context.link, "keyspace/cluster.capnp", "LinkMessage"),
        (context.queue, "gateway/queue.capnp", "QueueMessage"),
    ):
        ours = getattr(load_schema(PRESENT, name), kind)
        unknown |= set(union_kinds(ours.schema)[len(union_kinds(theirs.schema)) :])
        known = sorted(count for _, count in enumerants(theirs.schema))
        present = sorted(count for _, count in enumerants(ours.schema))
        if known != present:
            unknown.add(f"states {present} instead of {known}")
    assert unknown == (set() if names == "none" else set(names.split(","))), unknown


@then("this build reads the plan and the leader that the build stored")
def step_reads(context):
    assert decode_plan(context.records["plan"].encode()) == PLAN
    assert decode_leader(context.records["leader"].encode()) == LEADER


@then("this build stores the same plan as that build")
def step_same_plan(context):
    assert encode_plan(PLAN).decode() == context.records["plan"]


@then("that build {reads} the leader's record of this one")
def step_leader_read(context, reads):
    fields = len(json.loads(encode_leader(LEADER)))
    accepted = fields in context.records["accepted_leader_fields"]
    assert accepted == (reads == "reads"), (fields, context.records["accepted_leader_fields"])


@given('the schema of relay messages of build "{build}"')
def step_relay_schema(context, build):
    context.relay = load_schema(DATA / build, "gateway/relay.capnp")


def _message(framed_message):
    return RelayFrame().feed(framed_message)


@then("that build reads the requests and replies of this one as its own")
def step_relay_read_by_earlier(context):
    data = _message(RelayRequest("s1", 7, 1.5, framed=True).encode())
    request = context.relay.RelayRequest.from_bytes_packed(data)
    assert request.to_dict() == {"server": "s1", "bornMs": 7, "backOffMs": 1500}
    for result in RelayResult:
        data = _message(RelayReply(result, 1.5, framed=True).encode())
        reply = context.relay.RelayReply.from_bytes_packed(data)
        assert reply.to_dict() == {"result": result.value, "backOffMs": 1500}


@then("this build reads the requests and replies of that one as ones without frames")
def step_earlier_relay_read(context):
    wire = context.relay.RelayRequest.new_message(server="s1", bornMs=7, backOffMs=1500)
    assert decode_request(wire.to_bytes_packed()) == RelayRequest("s1", 7, 1.5, framed=False)
    for result in RelayResult:
        wire = context.relay.RelayReply.new_message(result=result.value, backOffMs=1500)
        assert decode_reply(wire.to_bytes_packed()) == RelayReply(result, 1.5, framed=False)


@then("a leader's record with a sixth field is read")
def step_sixth(context):
    row = [*json.loads(encode_leader(LEADER)), "later"]
    assert decode_leader(json.dumps(row).encode()) == LEADER


@then("a link message of an unknown kind is read as one to be passed over")
def step_unknown_kind(context):
    later = load_schema(DATA / "later", "cluster.capnp").LinkMessage
    data = later.new_message(addedLater="x").to_bytes_packed()
    assert link_codec.decode(data) == link_codec.Unknown()


@when("the registrations of a leader are {servers_age_s:g} s old and its configuration is {age}")
def step_leader_status(context, servers_age_s, age):
    age_s = None if age == "unknown" else float(age.split()[0])
    context.heartbeat = LeaderStatus(0.1, 5, servers_age_s, 7, -1, age_s).heartbeat(1.0)


@then("followers of earlier builds are told that the registrations are {least:g} s old or more")
def step_told(context, least):
    heartbeat = link_codec.decode(link_codec.encode(context.heartbeat))
    assert heartbeat.servers_age_s >= least, heartbeat
