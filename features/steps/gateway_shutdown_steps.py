"""Steps for the graceful shutdown of a gateway instance."""

import asyncio
import time

from attrs import define, field
from behave import given, then, when

from support.gateway_deployment import Deployment

KEY = 7
# Longer than the longest deadline of the deployments.
DEADLINE_MS = 9000
# Refused callers can use another instance at once.
MAX_RETRY_AFTER_S = 0.1
# Time by which the first part of a late request is sent before the rest.
FIRST_PART_LEAD_S = 1.0


@define
class _Call:
    """A request on a connection of its own, and what its caller received."""

    request_id: str
    received: bytes = b""
    ended_at: float | None = None
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    headers: dict[str, str] = field(factory=dict)

    @property
    def status(self):
        """Return the status of a complete answer, or None."""
        head, end, body = self.received.partition(b"\r\n\r\n")
        if not end:
            return None
        lines = head.decode().split("\r\n")
        self.headers = dict(line.split(": ", 1) for line in lines[1:])
        complete = len(body) == int(self.headers["Content-Length"])
        return int(lines[0].split(" ")[1]) if complete else None

    async def connect(self, instance):
        host, _, port = instance.settings.caller_address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def send_first_part(self):
        """Send a request's head without its last line."""
        self.writer.write(
            f"POST /pigs/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {self.request_id}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nShard-Key: {KEY}\r\nContent-Length: 0\r\n".encode()
        )

    def send_rest(self):
        self.writer.write(b"\r\n")

    async def receive(self):
        try:
            while data := await self.reader.read(65_536):
                self.received += data
        except OSError:
            pass
        self.ended_at = time.monotonic()
        self.writer.close()


async def _until_ended(context, instance, calls):
    """Wait until a stopped instance and with it its connections have ended."""
    await asyncio.gather(instance.task)
    context.stopped_at = time.monotonic()
    for connection in list(instance.daemon._callers._connections):
        connection._transport.abort()
    await asyncio.gather(*calls)


def _executed_ids(deployment):
    return [
        request_id
        for server in deployment.servers.values()
        for request_id in server.executed_request_ids
    ]


@given(
    "a platform with a shutdown time of {shutdown:g} s and routes with a timeout of {timeout:g} s"
)
def step_platform(context, shutdown, timeout):
    context.deployment = Deployment(shutdown, timeout)
    context.add_cleanup(lambda: context.run(context.deployment.stop()))
    context.run(context.deployment.start(["s1", "s2"], ["i1", "i2"]))


@when('instance "{name}" stops and the rest of a request to it is sent {seconds:g} s later')
def step_late_request(context, name, seconds):
    instance = context.deployment.instances[name]
    context.call = _Call("late")

    async def stop():
        context.stop_began = time.monotonic()
        instance.daemon.stop()
        # The listener closes after 2.4 s, and a head must be complete within 3 s.
        early_s = max(0.0, seconds - FIRST_PART_LEAD_S)
        await asyncio.sleep(early_s)
        await context.call.connect(instance)
        context.call.send_first_part()
        receiving = asyncio.ensure_future(context.call.receive())
        await asyncio.sleep(seconds - early_s)
        context.call.send_rest()
        await _until_ended(context, instance, [receiving])

    context.run(stop())


@when(
    '{count:d} requests for one key are sent to instance "{name}" and it stops {seconds:g} s later'
)
def step_waiting_requests(context, count, name, seconds):
    instance = context.deployment.instances[name]
    context.calls = [_Call(f"waiting{number}") for number in range(count)]

    async def stop():
        for call in context.calls:
            await call.connect(instance)
            call.send_first_part()
            call.send_rest()
        receiving = [asyncio.ensure_future(call.receive()) for call in context.calls]
        await asyncio.sleep(seconds)
        context.stop_began = time.monotonic()
        instance.daemon.stop()
        await _until_ended(context, instance, receiving)

    context.run(stop())


@then("its caller has status {status:d}, and the connection is announced to close")
def step_status(context, status):
    assert context.call.status == status, context.call.received
    assert context.call.headers["Connection"] == "close"
    if status == 503:
        assert float(context.call.headers["Retry-After"]) <= MAX_RETRY_AFTER_S


@then("the request ran {count:d} times")
def step_ran(context, count):
    assert _executed_ids(context.deployment).count(context.call.request_id) == count


@then("those that no server ran have status 503 before the instance ends")
def step_waiting_refused(context):
    executed = _executed_ids(context.deployment)
    waiting = [call for call in context.calls if call.request_id not in executed]
    assert len(waiting) >= 3, executed
    for call in waiting:
        assert call.status == 503, (call.request_id, call.received)
        assert call.ended_at < context.stopped_at


@then("the stopped instance ended by itself within its shutdown time")
def step_ended(context):
    assert context.stopped_at - context.stop_began < context.deployment.shutdown_s
