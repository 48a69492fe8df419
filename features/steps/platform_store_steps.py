"""Steps for the client of the platform's store."""

import asyncio
import json
import socket
import struct
import time

from behave import given, then, when

from hyssopwood.errors import (
    AppendConflictError,
    AppendUnconfirmedError,
    LogError,
    LogProtocolError,
    LogUnavailableError,
    RecordsExpiredError,
)
from hyssopwood.metrics import Metrics
from hyssopwood.platform.feeds import PlatformServerFeed
from hyssopwood.platform.store_client import KeyedRecord, StoreClient
from hyssopwood_standins.key_server import KeyServer
from hyssopwood_standins.keyed_store import KeyedStore

TOPIC = "keyed.test"
SERVERS = "keyed.servers"
ERRORS = {"unavailable": LogUnavailableError, "protocol": LogProtocolError}


def _records(text):
    pairs = [item.split("=") for item in text.split(",")]
    return tuple(KeyedRecord(key, value.encode() or None) for key, value in pairs)


def _shown(records):
    return ",".join(f"{item.key}={(item.value or b'').decode()}" for item in records)


def _read_body(records):
    data = struct.pack(">QQ", len(records), 0)
    for item in records:
        content = bytes((len(item.key),)) + item.key.encode() + item.value
        data += struct.pack(">I", len(content)) + content
    return data


CUT_RECORDS = (KeyedRecord("a", b"aaa"), KeyedRecord("b", b"bb"))
# Calls with the status and the body of their answers.
CUT_CALLS = (
    ("read", 200, _read_body(CUT_RECORDS)),
    ("read", 410, b'{"first_offset":7}'),
    (
        "newest",
        200,
        json.dumps(
            {"items": [{"key": "a", "value": "YWFh"}], "has_more": False, "end_offset": 1}
        ).encode(),
    ),
    ("append", 200, b'{"offset":1,"end_offset":2}'),
    ("append", 412, b'{"end_offset":7}'),
)


class _CuttingStore:
    """Send the first bytes of an answer, then close or reset the connection."""

    def __init__(self, ends):
        self.ends = ends
        self.data = b""

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.data)
        await writer.drain()
        if self.ends == "resets":
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        writer.close()


def _framed(status, body, framing):
    head = b"HTTP/1.1 %d Status\r\nStore-Era: 1\r\n" % status
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing == "chunks":
        chunked = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked
    return head + b"\r\n" + body


async def _call_cut(address, call):
    """Return the result of a call, or its error."""
    client = StoreClient(address, Metrics())
    try:
        if call == "read":
            return await client.read(TOPIC, 0, 0.0)
        if call == "newest":
            return await client.newest(TOPIC)
        return await client.append(TOPIC, CUT_RECORDS, 1)
    except LogError as error:
        return error
    finally:
        await client.close()


async def _try_cuts(framing, ends):
    store = _CuttingStore(ends)
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    results = []
    for call, status, body in CUT_CALLS:
        data = _framed(status, body, framing)
        for cut in range(len(data) + 1):
            store.data = data[:cut]
            result = await _call_cut(address, call)
            results.append((call, status, len(data) - cut, result))
    server.close()
    return results


def _raised(context, work):
    try:
        context.run(work)
    except Exception as error:
        return error
    return None


@given("a keyed store")
def step_store(context):
    context.store = KeyedStore()
    context.run(context.store.start())
    context.client = StoreClient(context.store.address, Metrics())
    context.add_cleanup(lambda: context.run(context.store.stop()))
    context.add_cleanup(lambda: context.run(context.client.close()))


@given("a keyed store that loses the next answer")
def step_losing_store(context):
    step_store(context)
    context.store.faults.lose_answers = 1


@given("a keyed store whose reads never end")
def step_endless_store(context):
    step_store(context)
    context.store.faults.endless = True
    context.began = time.monotonic()


@then("less than {seconds:g} s have passed")
def step_passed(context, seconds):
    # Less than the call's timeout, which would also end the read.
    assert time.monotonic() - context.began < seconds


@given("a keyed store that answers {status:d}")
def step_failing_store(context, status):
    step_store(context)
    context.store.faults.error_status = status


@given("a keyed store with pages of {items:d} items")
def step_paged_store(context, items):
    step_store(context)
    context.store.faults.page_items = items


@given("a keyed store that cuts {count:d} byte off each read")
def step_cut_store(context, count):
    step_store(context)
    context.store.faults.cut_bytes = count


@when('records "{text}" are appended at {at:d}')
def step_append(context, text, at):
    context.error = context.end = None
    try:
        context.end = context.run(context.client.append(TOPIC, _records(text), at)).end_offset
    except (AppendConflictError, AppendUnconfirmedError) as error:
        context.error = error


@when("the store forgets the records before {before:d}")
def step_forget(context, before):
    context.store.partition(TOPIC).trim(before)


@then("the partition ends at {end:d}")
def step_end(context, end):
    assert context.end == end, context.error


@then("the append conflicts with end {end:d}")
def step_conflict(context, end):
    assert isinstance(context.error, AppendConflictError), context.error
    assert context.error.end_offset == end


@then("the append is unconfirmed")
def step_unconfirmed(context):
    assert isinstance(context.error, AppendUnconfirmedError), context.error


@then('reading, listing and appending fail as "{kind}"')
def step_all_fail(context, kind):
    client = context.client
    assert isinstance(_raised(context, client.read(TOPIC, 0, 0.0)), ERRORS[kind])
    assert isinstance(_raised(context, client.newest(TOPIC)), ERRORS[kind])
    appended = _raised(context, client.append(TOPIC, _records("a=1"), 0))
    unsure = AppendUnconfirmedError if kind == "unavailable" else LogProtocolError
    assert isinstance(appended, (unsure, ERRORS[kind])), appended


@then('the newest records are "{text}" up to {end:d}')
def step_newest(context, text, end):
    page = context.run(context.client.newest(TOPIC))
    assert _shown(page.records) == text, _shown(page.records)
    assert page.end_offset == end


@then("reading from {start:d} reports that records before {first:d} have expired")
def step_expired(context, start, first):
    error = _raised(context, context.client.read(TOPIC, start, 0.0))
    assert isinstance(error, RecordsExpiredError) and error.first == first, error


@then('reading from {start:d} returns "{text}" up to {end:d}')
def step_read(context, start, text, end):
    page = context.run(context.client.read(TOPIC, start, 0.0))
    assert _shown(page.records) == text
    assert page.next_offset == end


@then('reading from {start:d} fails as "{kind}"')
def step_read_fails(context, start, kind):
    assert isinstance(_raised(context, context.client.read(TOPIC, start, 0.0)), ERRORS[kind])


@given('a feed that has read server "{one}" and server "{other}"')
def step_feed(context, one, other):
    for name in (one, other):
        context.before_s2 = context.store.snapshot()
        server = KeyServer(name, "portal", address="127.0.0.1:9000")
        context.store.put(SERVERS, name, server.registration())
    context.feed = PlatformServerFeed(context.client, Metrics())
    changes = context.run(context.feed.next(0.0))
    assert changes.present == {one, other}


@when('server "{name}" is removed and the store forgets all records')
def step_remove(context, name):
    context.store.put(SERVERS, name, b"")
    partition = context.store.partition(SERVERS)
    partition.trim(partition.end)


@then('the feed lists "{name}" as all that is present')
def step_feed_lists(context, name):
    changes = context.run(context.feed.next(0.0))
    assert changes.present == {name}, changes


@given("a store whose answers by {framing:w} are cut off at each byte by a connection that {ends}")
def step_cut_answers(context, framing, ends):
    context.results = context.run(_try_cuts(framing, ends))
    context.framing = framing


@then("reading returns whole records only, and everything else fails unless it is whole")
def step_whole_only(context):
    wrong = []
    for call, status, missing, result in context.results:
        failed = isinstance(result, LogError)
        if (call, status, context.framing) == ("read", 200, "close") and not failed:
            # Without a length a part of the records can't be told from all of them. They are read
            # from the offset that follows those returned, so none is skipped.
            count = len(result.records)
            right = result.records == CUT_RECORDS[:count] and result.next_offset == count
        elif status == 410:
            right = isinstance(result, RecordsExpiredError) != bool(missing)
        elif status == 412:
            right = isinstance(result, AppendConflictError) != bool(missing)
        else:
            right = failed == bool(missing)
        if not right:
            wrong.append((call, status, missing, result))
    assert len(context.results) > 300 and not wrong, wrong[:5]


@then("each append with a broken answer is unconfirmed")
def step_cut_unconfirmed(context):
    broken = [
        (status, missing, result)
        for call, status, missing, result in context.results
        if call == "append" and missing
    ]
    wrong = [item for item in broken if not isinstance(item[2], AppendUnconfirmedError)]
    assert broken and not wrong, f"{len(wrong)} of {len(broken)}: {wrong[:5]}"
