"""Small fakes for the request path: a scripted backend server, a router view and permits."""

import asyncio
import re

from hyssopwood.backend import BackendServer, ServerRequest
from hyssopwood.dispatch import CallerRequest, Route
from hyssopwood.messages import PermitReply

REAL_LIMIT_S = 3.0
ANSWER = "HTTP/1.1 {status}\r\nHyssopwood-Request-Id: {id}\r\n{extra}\r\n{body}"


async def until(condition, timers=None):
    """Wait for real sockets, moving manual time in steps shorter than a detected pause."""
    for _ in range(int(REAL_LIMIT_S / 0.002)):
        if condition():
            return
        await asyncio.sleep(0.002)
        if timers is not None:
            await timers.advance(0.02)
    raise AssertionError("the condition was not met in time")


def close_at_end(context, *closers):
    """Await the closers when the scenario's tasks are cancelled."""

    async def guard():
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            for close in closers:
                await close()

    context.request_guard = context.loop.create_task(guard())
    context.run(asyncio.sleep(0))


class ScriptedServer:
    """Backend server whose answers follow a script; `running` is its own load report."""

    def __init__(self, behaviour, running=0):
        self.behaviour = behaviour
        self.running = running
        self.seen = []
        self.cancelled = []
        self.connections = 0
        self.writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.close()

    async def _connection(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"content-length: (\d+)", head, re.IGNORECASE)
                body = await reader.readexactly(int(length[1]) if length else 0)
                if not await self._answer(writer, head, body):
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, writer, head, body):
        if head.startswith("GET /hyssopwood/load"):
            return self._send(writer, "200 OK", f'{{"running": {self.running}}}')
        if head.startswith("POST /hyssopwood/cancel"):
            self.cancelled.append(body.decode())
            return self._send(writer, "200 OK", "{}")
        self.seen.append(head)
        found = re.search(r"Hyssopwood-Request-Id: (\S+)", head, re.IGNORECASE)
        return getattr(self, "_" + self.behaviour.replace(" ", "_"))(writer, found[1])

    def _send(self, writer, status, body, request_id="", extra=""):
        extra += f"Content-Length: {len(body)}\r\n"
        text = ANSWER.format(status=status, id=request_id, extra=extra, body=body)
        writer.write(text.encode())
        return True

    def _raw(self, writer, request_id, extra, body):
        text = ANSWER.format(status="200 OK", id=request_id, extra=extra, body=body)
        writer.write(text.encode())
        return False

    def _answers(self, writer, request_id):
        return self._send(writer, "200 OK", "whole", request_id)

    def _answers_once(self, writer, request_id):
        return len(self.seen) == 1 and self._answers(writer, request_id)

    def _echoes_another_id(self, writer, request_id):
        return self._send(writer, "200 OK", "whole", "another")

    def _refuses_the_token(self, writer, request_id):
        return self._send(writer, "409 Conflict", "", request_id, "Hyssopwood-Run: not-run\r\n")

    def _sheds(self, writer, request_id):
        extra = "Hyssopwood-Run: not-run\r\nRetry-After: 3\r\n"
        return self._send(writer, "503 Busy", "busy", request_id, extra)

    def _fails_after_running(self, writer, request_id):
        return self._send(writer, "503 Busy", "ran", request_id)

    def _closes(self, writer, request_id):
        return False

    def _sends_garbage(self, writer, request_id):
        writer.write(b"\x00\x01garbage\r\n\r\n")
        return False

    def _cuts_a_counted_body(self, writer, request_id):
        return self._raw(writer, request_id, "Content-Length: 100\r\n", "part")

    def _cuts_a_chunked_body(self, writer, request_id):
        return self._raw(writer, request_id, "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n")

    def _sends_no_length(self, writer, request_id):
        return self._raw(writer, request_id, "", "part")

    def _stays_silent(self, writer, request_id):
        return True

    def _stalls_in_the_body(self, writer, request_id):
        return not self._raw(writer, request_id, "Content-Length: 100\r\n", "part")


def server_request(address, timers, **changes):
    """Return an attempt with usual values."""
    now = timers.now()
    values = {
        "server": BackendServer("s1", address, 4),
        "request_id": "i1.1#0",
        "method": "POST",
        "path": "/portal/17",
        "headers": {},
        "body": b"body",
        "key": "17",
        "operation": "read",
        "partition": "portal/1",
        "token": 5,
        "epoch": 7,
        "repeatable": False,
        "deadline": now + 2,
        "first_byte_by": now + 0.2,
    }
    return ServerRequest(**{**values, **changes})


def caller_request(timers, **changes):
    """Return a caller's request with usual values."""
    values = {
        "service": "portal",
        "customer": "beridze",
        "operation": "read",
        "repeatable": False,
        "key": "17",
        "method": "POST",
        "path": "/portal/17",
        "headers": {},
        "body": b"body",
        "deadline": timers.now() + 2,
    }
    return CallerRequest(**{**values, **changes})


class FakeRouter:
    """Router view that tests change."""

    def __init__(self, server="s1"):
        self.version = 1
        self.current = Route("portal/1", server, "127.0.0.1:1", 4, "c1") if server else None
        self._changed = asyncio.Event()

    def route(self, service, key):
        return self.current

    def move_to(self, server):
        self.current = Route("portal/1", server, "127.0.0.1:1", 4, "c2")
        self.version += 1
        self._changed.set()

    async def wait_changed(self, version):
        while self.version <= version:
            await self._changed.wait()
            self._changed.clear()


class FakePermits:
    """Permit client that grants, or follows a list of replies and errors."""

    def __init__(self, *script):
        self.script = list(script)
        self.asked = []
        self.returned = []
        self.cancelled = []

    async def request(self, permit, coordinator):
        self.asked.append(permit)
        step = self.script.pop(0) if self.script else None
        if step == "hangs":
            await asyncio.get_running_loop().create_future()
        if isinstance(step, Exception):
            raise step
        return step or PermitReply(True, len(self.asked), "portal/1", 5, 7, 200)

    def give_back(self, permit, coordinator):
        self.returned.append(permit)

    def cancel(self, cancel, coordinator):
        self.cancelled.append(cancel)
