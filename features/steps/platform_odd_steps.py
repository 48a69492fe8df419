"""Steps for odd entries that other writers leave in the store."""

import asyncio
import copy
import json
import time
from unittest.mock import AsyncMock, patch

from behave import then, when
from loguru import logger

from hyssopwood.errors import HyssopwoodError, InputError
from hyssopwood.gateway.exchange import ServerAnswer
from hyssopwood.keyspace.plan import KEY_COUNT
from hyssopwood.keyspace.plan_codec import decode_leader, decode_plan
from hyssopwood.metrics import Metrics
from hyssopwood.platform.configuration import decode_configuration
from hyssopwood.platform.request_headers import PlatformHeaderCodec
from hyssopwood.platform.server_entries import decode_server_entry
from hyssopwood.platform.store_client import StoreClient
from hyssopwood_standins.key_server import KeyServer
from steps.platform_steps import configuration

DEEP = 100_000
MS_PER_S = 1000
SERVICE = "portal"


def _nested(depth):
    return "[" * depth + "]" * depth


def _entry(**changes):
    """Return a sound entry with changed fields; texts that begin with = are written as they are."""
    fields = {
        "service": SERVICE,
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "max_concurrency": 2,
        "state": "ready",
        "warmup_left_s": 0,
        "sequence": 1,
        "born": 1,
        **changes,
    }
    texts = []
    for name, value in fields.items():
        written = isinstance(value, str) and value.startswith("=")
        texts.append(f'"{name}":{value[1:] if written else json.dumps(value)}')
    return ("{" + ",".join(texts) + "}").encode()


_ENTRIES = {
    "a list nested 100000 deep": _nested(DEEP).encode(),
    "an object nested 100000 deep": ('{"a":' * DEEP + "1" + "}" * DEEP).encode(),
    "sound beside a value nested 100000 deep": _entry(more="=" + _nested(DEEP)),
    "a service nested 900 deep": _entry(service="=" + _nested(900)),
    "cut off": _entry()[:-10],
    "no text": b"\xff\xfe\x00{",
    "a number": b"7",
    "with max_concurrency 10**12": _entry(max_concurrency=10**12),
    "with max_concurrency 10**400": _entry(max_concurrency=10**400),
    "with max_concurrency 1e400": _entry(max_concurrency="=1e400"),
    "with max_concurrency -1": _entry(max_concurrency=-1),
    "with sequence 2**70": _entry(sequence=2**70),
    "with sequence -1": _entry(sequence=-1),
    "with sequence of 5000 digits": _entry(sequence="=" + "9" * 5000),
    "with born 2**70": _entry(born=2**70),
    "with born -1": _entry(born=-1),
    "with warmup_left_s 1e400": _entry(warmup_left_s="=1e400"),
    "with warmup_left_s 10**400": _entry(warmup_left_s=10**400),
    "with warmup_left_s NaN": _entry(warmup_left_s="=NaN"),
    "with warmup_left_s -1": _entry(warmup_left_s=-1),
    "with port 65536": _entry(address="10.0.0.1:65536"),
    "with port 99999999999": _entry(address="10.0.0.1:99999999999"),
    "with port 0": _entry(address="10.0.0.1:0"),
    "with port -1": _entry(address="10.0.0.1:-1"),
    "with port +80": _entry(address="10.0.0.1:+80"),
    "with port 8_0": _entry(address="10.0.0.1:8_0"),
    "with a port in other digits": _entry(address="10.0.0.1:\u0668\u0660"),
    "with a host name as address": _entry(address="server.example:80"),
    "with address 10.0.0.999:80": _entry(address="10.0.0.999:80"),
    "with a list as state": _entry(state=["ready"]),
    "with half a character as service": _entry(service='="\\ud800"'),
    "with half a character as zone": _entry(zone='="\\ud800"'),
    "with a service of 100000 characters": _entry(service="x" * 100_000),
    "sound under an id with a line break": _entry(),
    "sound under an empty id": _entry(),
    "sound under an id with half a character": _entry(),
}
_IDS = {
    "sound under an id with a line break": "odd\r\nX: 1",
    "sound under an empty id": "",
    "sound under an id with half a character": "odd\ud800",
}


def _decode(context, decode, *arguments):
    context.error = None
    try:
        decode(*arguments)
    except HyssopwoodError as error:
        context.error = error


@when("an entry that is {odd} is decoded")
def step_decode(context, odd):
    _decode(context, decode_server_entry, _IDS.get(odd, "odd"), _ENTRIES[odd])


@then("decoding fails with an input error of at most {most:d} characters")
def step_input_error(context, most):
    assert isinstance(context.error, InputError), context.error
    assert len(str(context.error)) <= most, len(str(context.error))


@then("decoding fails with a typed error")
def step_typed_error(context):
    assert context.error is not None


def _record_events(context):
    context.names = []
    handler = logger.add(lambda line: context.names.append(line.record["extra"].get("name")))
    context.add_cleanup(logger.remove, handler)


@when(
    "entries of a service that no configuration names are written at the address of "
    '"{name}" and under its id'
)
def step_write_unnamed(context, name):
    deployment = context.deployment
    _record_events(context)
    entry = _entry(
        service="inventory",
        address=deployment.servers[name].address,
        born=int(time.time() * MS_PER_S),
    )
    for server in ("inventory-1", name):
        deployment.store.put("keyed.servers", server, entry)


@then('both instances know "{names}" and nothing else for {seconds:d} s')
def step_known_throughout(context, names, seconds):
    async def check():
        # The list is read twice a second.
        await asyncio.sleep(1.0)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for instance in context.deployment.instances.values():
                records = instance.daemon._directory.records()
                assert {(item.server, item.service) for item in records} == {
                    (name, SERVICE) for name in names.split(",")
                }, records
            await asyncio.sleep(0.1)

    context.run(check())


@when("every odd entry is written to the servers' list, and again")
def step_write(context):
    deployment = context.deployment
    _record_events(context)

    async def write():
        for _ in range(2):
            for number, (odd, value) in enumerate(_ENTRIES.items()):
                if odd in _IDS and (not _IDS[odd] or "\ud800" in _IDS[odd]):
                    # The store's stand-in holds keys of text only.
                    continue
                deployment.store.put("keyed.servers", _IDS.get(odd, f"odd{number}"), value)
            await asyncio.sleep(1.2)

    context.run(write())


@when('a server "{new}" registers and server "{old}" drains')
def step_change(context, new, old):
    deployment = context.deployment

    async def change():
        server = KeyServer(new, SERVICE)
        await server.start()
        deployment.servers[new] = server
        deployment.draining.add(old)

    context.run(change())


@then(
    'within {limit_s:d} s both instances know "{ready}" as ready and nothing else but "{leaving}"'
)
def step_known(context, limit_s, ready, leaving):
    deployment = context.deployment

    def known(instance):
        records = instance.daemon._directory.records()
        return {record.server for record in records if not record.draining}, {
            record.server for record in records if record.draining
        }

    async def wait():
        async with asyncio.timeout(limit_s):
            while any(
                known(item) != (set(ready.split(",")), {leaving})
                for item in deployment.instances.values()
            ):
                await asyncio.sleep(0.05)

    context.run(wait())


@then('{count:d} requests are answered, none by "{leaving}"')
def step_answered(context, count, leaving):
    deployment = context.deployment

    async def send():
        # The keys of the draining server move first.
        await asyncio.sleep(2.0)
        instances = list(deployment.instances.values())
        return [
            await deployment.send_for_answer(
                instances[number % len(instances)], number * KEY_COUNT // count
            )
            for number in range(count)
        ]

    answers = context.run(send())
    assert all(answer.status == 200 for answer in answers), answers
    assert not any(answer.body.startswith(f"{leaving} ") for answer in answers), answers


@then("no task of the instances failed and no link between them was lost")
def step_no_failure(context):
    failed = {"TASK_FAILED", "PEER_LOST", "PEER_REJECTED", "PLANNER_CLAIMED"} & set(context.names)
    assert not failed, failed


def _configuration(odd):
    document = copy.deepcopy(configuration(5))
    if odd == "a version of 2**70":
        document["version"] = 2**70
    text = json.dumps(document)
    if odd == "a value nested 100000 deep":
        return f'{text[:-1]},"more":{_nested(DEEP)}}}'.encode()
    if odd == "a timeout of 1e400":
        document["listeners"][0]["route_rules"][0]["action"]["timeout_s"] = 31337
        return json.dumps(document).replace("31337", "1e400").encode()
    return text.encode()


@when("the configuration with {odd} is decoded")
def step_configuration(context, odd):
    _decode(context, decode_configuration, _configuration(odd))


@when("the plan with {odd} is decoded")
def step_plan(context, odd):
    fence = {"a fence of 2**70": str(2**70), "a fence of 1e400": "1e400"}.get(odd, "1")
    more = f',"more":{_nested(DEEP)}' if odd == "a value nested 100000 deep" else ""
    rows = f"[[0,{KEY_COUNT - 1},0,{fence}]]"
    text = f'{{"version":1,"lives":[["s1",1]],"services":{{"portal":{rows}}}{more}}}'
    _decode(context, decode_plan, text.encode())


@when("the leader with {odd} is decoded")
def step_leader(context, odd):
    claim = "1e400" if odd == "a claim of 1e400" else _nested(DEEP)
    _decode(context, decode_leader, f'["i1","1","10.0.0.1:1",{claim},false]'.encode())


_ANSWERS = {
    "a value nested 100000 deep": f'{{"items":{_nested(DEEP)}}}',
    "no end offset": '{"items":[]}',
    "an item that is a number": '{"items":[7],"end_offset":1}',
    "a value that isn't base64": '{"items":[{"key":"k","value":"=x"}],"end_offset":1}',
}


@when("an answer of the store with {odd} is decoded")
def step_store_answer(context, odd):
    client = StoreClient("127.0.0.1:1", Metrics())
    answer = AsyncMock(status=200, data=_ANSWERS[odd].encode(), era=0)

    async def read():
        with patch.object(client, "_request", AsyncMock(return_value=answer)):
            return await client.newest("keyed.servers")

    _decode(context, context.run, read())


@when("an answer states a load of {digits:d} digits")
def step_load(context, digits):
    headers = ((b"request-id", b"r1"), (b"server-load", b"9" * digits + b",0,2"))
    context.head = PlatformHeaderCodec().decode_answer_headers(ServerAnswer(200, headers, b""))


@then("the answer counts as one without a load")
def step_no_load(context):
    assert context.head.load is None
