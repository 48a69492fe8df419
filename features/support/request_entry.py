"""Script commands for the HTTP interface for callers."""

import asyncio
import json
import re

from hyssopwood.entry import (
    Entry,
    EntryOptions,
    OperationRule,
    Readiness,
    ServiceRule,
    ServiceTable,
)
from hyssopwood.outcomes import Answered, BodyCutError, Reason
from support.request_fakes import KINDS
from support.request_script import REAL_LIMIT_S, Script, until

KEY = "Hyssopwood-Key: 1~Hyssopwood-Operation: read"
GOOD = "POST /portal/1 HTTP/1.1~KEY~Content-Length: 4~~body"
ALL = (
    "POST /portal/1?x=%20y HTTP/1.1~KEY~Hyssopwood-Deadline-Ms: 700~Idempotency-Key: k~"
    "Transfer-Encoding: chunked~~3~abc~2~de~0~~"
)
WORDS = {"KEY": KEY, "BIG": "x" * 101, "HUGE": "x" * 20_000, "TAB": "a\tb", "~": "\r\n"}
RULE = ServiceRule(
    name="portal",
    customer="beridze",
    path_prefix="/portal/",
    operations={"read": OperationRule(True)},
    body_bytes=100,
)


def _is_whole(response):
    head, _, body = response.partition("\r\n\r\n")
    length = re.search(r"content-length: (\d+)", head, re.IGNORECASE)
    return len(body) >= int(length[1]) if length else body.endswith("0\r\n\r\n")


class FakeBody:
    """Body of equal chunks that counts what is taken."""

    def __init__(self, count, size, cut):
        self.left, self.size, self.cut = count, size, cut
        self.taken, self.closed = 0, False

    def __aiter__(self):
        return self

    async def __anext__(self):
        if not self.left and self.cut:
            raise BodyCutError("scripted")
        if not self.left:
            raise StopAsyncIteration
        self.left -= 1
        self.taken += self.size
        return b"x" * self.size

    async def aclose(self):
        self.closed = True


class EntryScript(Script):
    def set_up(self):
        self.requests, self.was_cancelled = [], False
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.readiness = Readiness(True)
        self.answering(1, 5, 5, "whole")
        self._start()

    async def tear_down(self):
        await self.entry.stop(0.0)

    def _start(self, **bounds):
        table = ServiceTable([RULE])
        self.entry = Entry(
            "127.0.0.1:0",
            self,
            lambda: table,
            self.timers,
            readiness=lambda: self.readiness,
            metrics=lambda: b"requests 1\n",
            status=lambda: {"position": 5},
            options=EntryOptions(**bounds),
        )
        self.run(self.entry.start())
        self.port = self.entry.port

    async def handle(self, request):
        """Stand in for the dispatcher."""
        self.requests.append(request)
        try:
            await self.go_on.wait()
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise
        if isinstance(self.end, Exception):
            raise self.end
        return self.end

    def ending(self, kind, reason=""):
        if reason:
            self.end = KINDS[kind](Reason(reason), "scripted", 1.2)
        elif kind == "failure":
            self.end = RuntimeError("scripted")

    def answering(self, count, size, declared, end):
        headers = {"Content-Length": str(declared)} if int(declared) else {}
        self.body = FakeBody(int(count), int(size), end == "cut")
        self.end = Answered(200, headers, self.body)

    def unready(self):
        self.readiness = Readiness(False, ("log-is-behind",))

    def bounds(self, name, value):
        self.run(self.entry.stop(0.0))
        self._start(**{name: int(value)})

    async def _exchange(self, text, late=False):
        for word, value in WORDS.items():
            text = text.replace(word, value)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.removesuffix(">>").encode())
        if text.endswith(">>"):
            writer.write_eof()
        if late:
            await asyncio.sleep(0.05)
            await self.timers.advance(11.0)
        self.response, self.connection = "", "open"
        try:
            while not _is_whole(self.response):
                chunk = await asyncio.wait_for(reader.read(65_536), REAL_LIMIT_S)
                self.response += chunk.decode()
                if not chunk:
                    raise ConnectionError
        except ConnectionError:
            self.connection = "closed"
        writer.close()

    def send(self):
        self.run(self._exchange(GOOD))

    def send_all(self):
        self.run(self._exchange(ALL))

    def page(self, name):
        self.run(self._exchange(f"GET /hyssopwood/{name} HTTP/1.1~~"))

    def open(self):
        async def send():
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.writer.write(GOOD.replace("KEY", KEY).replace("~", "\r\n").encode())
            await until(lambda: self.requests)

        self.run(send())

    def rest(self):
        self.run(asyncio.sleep(0.3))

    def leave(self):
        self.writer.transport.abort()
        self.run(until(lambda: not self.entry.in_flight))

    def stop(self):
        self.stopping = self.loop.create_task(self.entry.stop(30.0))
        self.pass_ms(1000)

    def resume(self):
        self.go_on.set()
        self.run(until(self.stopping.done, self.timers))

    def refuses(self, request, status, fault):
        self.run(self._exchange(request, late=fault == "timeout"))
        problem = json.loads(self.response.partition("\r\n\r\n")[2])
        assert (self._status(), problem["fault"]) == (status, fault), self.response
        assert self._header("Hyssopwood-Run") == "not-run"
        assert self._header("Content-Type") == "application/problem+json"
        assert not self.requests and not self.entry.in_flight

    def _status(self):
        found = re.match(r"HTTP/1.1 (\d+)", self.response)
        assert found, f"no response but {self.response!r}, connection {self.connection}"
        return int(found[1])

    def _header(self, name):
        found = re.search(rf"^{name}: (.*)\r$", self.response, re.IGNORECASE | re.MULTILINE)
        return found[1] if found else "none"

    def replied(self, status, run, retry):
        found = (self._status(), self._header("Hyssopwood-Run"), self._header("Retry-After"))
        assert found == (int(status), run, retry), self.response

    def shows(self, status, pattern):
        assert self._status() == int(status), self.response
        assert re.search(pattern, self.response), self.response

    def dropped(self):
        assert self.connection != "open" and not self.response, self.response

    def broken(self):
        assert "xxxxx" in self.response and not self.response.endswith("0\r\n\r\n")
        assert self.connection != "open"

    def taken_at_most_mib(self, limit):
        assert 0 < self.body.taken <= int(limit) * 1_048_576, self.body.taken

    def unreachable(self):
        try:
            self.run(asyncio.open_connection("127.0.0.1", self.port))
        except ConnectionRefusedError:
            return
        raise AssertionError("a new connection was accepted")

    def got_whole(self):
        answer = self.run(asyncio.wait_for(self.reader.read(), 1.0))
        assert answer.endswith(b"\r\n\r\nxxxxx"), answer

    def passed(self, path, body, key, idempotency_key, ms):
        (request,) = self.requests
        assert (request.path, request.body.decode(), request.key) == (path, body, key)
        assert request.idempotency_key == idempotency_key
        assert abs(request.deadline - self.timers.now() - int(ms) / 1000) < 1e-6
