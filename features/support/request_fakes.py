"""Small fakes for the request path: a scripted backend server, a router view and permits."""

import asyncio
import re

from hyssopwood.dispatch import CallerRequest, Route
from hyssopwood.messages import PermitReply
from hyssopwood.outcomes import NotRun, Unknown

KINDS = {"not-run": NotRun, "unknown": Unknown}
ECHO = "HTTP/1.1 200 OK\r\nHyssopwood-Request-Id: {id}\r\n"
REFUSAL = "Hyssopwood-Request-Id: {id}\r\nHyssopwood-Run: not-run\r\nContent-Length: 4\r\n\r\nbusy"
# Behaviour: what is sent for a request, and whether the connection stays open.
BEHAVIOURS = {
    "answers": (ECHO + "Content-Length: 5\r\n\r\nwhole", True),
    "echoes-another-id": (ECHO.format(id="x") + "Content-Length: 5\r\n\r\nwhole", True),
    "refuses-the-token": ("HTTP/1.1 409 Conflict\r\n" + REFUSAL, True),
    "sheds": ("HTTP/1.1 503 Busy\r\nRetry-After: 3\r\n" + REFUSAL, True),
    "fails-after-running": (
        "HTTP/1.1 503 Busy\r\nHyssopwood-Request-Id: {id}\r\nContent-Length: 3\r\n\r\nran",
        True,
    ),
    "closes": ("", False),
    "sends-garbage": ("\0\1garbage\r\n\r\n", False),
    "cuts-a-counted-body": (ECHO + "Content-Length: 100\r\n\r\npart", False),
    "cuts-a-chunked-body": (ECHO + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", False),
    "sends-no-length": (ECHO + "\r\npart", False),
    "stays-silent": ("", True),
    "stalls-in-the-body": (ECHO + "Content-Length: 100\r\n\r\npart", True),
}


class ScriptedServer:
    """Backend server whose answers follow a script; `running` is its own load report."""

    def __init__(self):
        self.behaviour = "answers"
        self.running = self.connections = 0
        self.seen, self.cancelled, self.writers = [], [], []

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
        open_ = True
        try:
            while open_:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"content-length: (\d+)", head, re.IGNORECASE)
                body = await reader.readexactly(int(length[1]) if length else 0)
                text, open_ = self._answer(head, body.decode())
                writer.write(text.encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def _answer(self, head, body):
        if "/hyssopwood/load" in head:
            load = f'{{"running": {self.running}}}'
            return f"HTTP/1.1 200 OK\r\nContent-Length: {len(load)}\r\n\r\n{load}", True
        if "/hyssopwood/cancel" in head:
            self.cancelled.append(body)
            return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", True
        self.seen.append(head)
        found = re.search(r"Hyssopwood-Request-Id: (\S+)", head, re.IGNORECASE)
        text, open_ = BEHAVIOURS[self.behaviour]
        return text.format(id=found[1]), open_


def caller_request(timers, repeatable=False, idempotency_key=""):
    """Return a caller's request with usual values."""
    head = ("portal", "beridze", "read", repeatable, "17", "POST", "/portal/17", {}, b"body")
    return CallerRequest(*head, timers.now() + 2, idempotency_key)


def describe(outcome):
    """Return the kind and reason of an outcome without an answer."""
    kind = next(name for name, kind in KINDS.items() if isinstance(outcome, kind))
    return f"{kind} {outcome.reason.value}"


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
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_changed(self, version):
        while self.version <= version:
            await self._changed.wait()


class FakePermits:
    """Permit client that first follows one scripted step or delay and then grants."""

    def __init__(self, timers, step=None, delay_s=0.0):
        self._timers, self._step, self._delay_s = timers, step, delay_s
        self.asked, self.returned, self.cancelled = [], [], []

    async def request(self, permit, coordinator):
        self.asked.append(permit.request_id)
        step, self._step = self._step, None
        delay_s, self._delay_s = self._delay_s, 0.0
        await self._timers.sleep(delay_s)
        if isinstance(step, Exception):
            raise step
        return step or PermitReply(True, len(self.asked), "portal/1", 5, 7, 200)

    def give_back(self, permit, coordinator):
        self.returned.append(permit)

    def cancel(self, cancel, coordinator):
        self.cancelled.append(cancel.request_id)
