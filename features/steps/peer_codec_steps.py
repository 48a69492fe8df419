"""Steps for the peer codec."""

from attrs import fields
from behave import then, when

from hyssopwood import messages
from hyssopwood.errors import ProtocolError

SAMPLES = {"str": "text", "int": 7, "bool": True, "float": 1.5, "bytes": b"body"}


def _sample(kind):
    values = []
    for field in fields(kind):
        item_kind = messages._LIST_TYPES.get((kind, field.name))
        values.append((_sample(item_kind),) if item_kind else SAMPLES[field.type])
    return kind(*values)


@when("each message type is encoded and decoded")
def step_round_trip(context):
    context.pairs = []
    for number, kind in enumerate(messages._BODY_TYPES, start=1):
        envelope = messages.Envelope(number, number - 1, _sample(kind))
        context.pairs.append((envelope, messages.decode(messages.encode(envelope))))


@then("every decoded message equals the original")
def step_equal(context):
    assert len(context.pairs) == len(messages._BODY_TYPES)
    for original, decoded in context.pairs:
        assert original == decoded, f"{original} became {decoded}"


@when('the bytes "{hex_bytes}" are decoded')
def step_decode(context, hex_bytes):
    context.error = _decode_error(bytes.fromhex(hex_bytes))


@when('the bytes "" are decoded')
def step_decode_nothing(context):
    context.error = _decode_error(b"")


def _decode_error(data):
    try:
        messages.decode(data)
    except ProtocolError as error:
        return error
    return None


@then("a protocol error is raised")
def step_protocol_error(context):
    assert isinstance(context.error, ProtocolError), "no error was raised"
