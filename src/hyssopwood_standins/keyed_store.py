"""Stand-in for the platform's store: topics with conditional appends and newest value per key."""

from __future__ import annotations

import asyncio
import base64
import random
import struct
from collections.abc import Awaitable, Callable

from aiohttp import web
from attrs import define, evolve, field

PAGE_ITEMS = 500
ENDLESS_CHUNK_BYTES = 65_536


@define
class _Partition:
    records: list[bytes] = field(factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(factory=dict)
    changed: asyncio.Event = field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, contents: list[bytes], keyed: bool) -> int:
        offset = self.end
        for content in contents:
            if keyed:
                key_size = content[0]
                key, value = content[1 : 1 + key_size].decode(), content[1 + key_size :]
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append(content)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def trim(self, first: int) -> None:
        """Drop the records below an offset; the newest record of each key is kept."""
        del self.records[: first - self.first]
        self.first = first


@define
class StoreFaults:
    """Active faults of the store."""

    # Status that answers every call; 0 for none.
    error_status: int = 0
    # Number of the next appends that are stored but not answered: the connection is aborted.
    lose_answers: int = 0
    # Bytes cut off the end of each answer to a read.
    cut_bytes: int = 0
    # Whether answers to reads end before their first record, as if they were whole.
    without_records: bool = False
    # Whether the body of an answer to a read never ends.
    endless: bool = False
    page_items: int = PAGE_ITEMS
    # Time by which each answer is delayed.
    delay_s: float = 0.0
    # Values of the `Store-Era` header that replace the store's own era; empty for its own.
    era_headers: tuple[str, ...] = ()


class KeyedStore:
    """Serve the store's HTTP API from memory."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        # Incremented each time the store is restored from a snapshot; 0 is not sent.
        self.era = 0
        self._topics: dict[str, _Partition] = {}
        self._open: set[asyncio.BaseTransport] = set()
        self._silent: set[asyncio.BaseTransport] = set()
        self._runner: web.AppRunner | None = None
        self.address = ""

    def partition(self, topic: str) -> _Partition:
        """Return the only partition of a topic."""
        return self._topics.setdefault(topic, _Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as operators and servers do; an empty value deletes the key."""
        name = key.encode()
        self.partition(topic).append([bytes((len(name),)) + name + value], keyed=True)

    def snapshot(self) -> dict[str, _Partition]:
        """Return a copy of all topics."""
        return {
            name: evolve(item, records=list(item.records), newest=dict(item.newest))
            for name, item in self._topics.items()
        }

    def restore(self, snapshot: dict[str, _Partition]) -> None:
        """Return to a snapshot in a new era; records appended since are lost."""
        replaced, self._topics = self._topics, snapshot
        self.era += 1
        for partition in replaced.values():
            partition.changed.set()

    def silence_connections(self, share: float, rng: random.Random) -> int:
        """Read and write nothing more on a share of the open connections; return their number."""
        self._open = {item for item in self._open if not item.is_closing()}
        silent = [item for item in self._open - self._silent if rng.random() < share]
        self._silent.update(silent)
        return len(silent)

    @web.middleware
    async def _track_connection(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Remember the connection; on a silent one, neither run nor answer the request."""
        assert request.transport is not None
        self._open.add(request.transport)
        await self._wait_if_silent(request)
        await asyncio.sleep(self.faults.delay_s)
        return await handler(request)

    async def _wait_if_silent(self, request: web.Request) -> None:
        if request.transport in self._silent:
            await asyncio.Event().wait()

    async def _prepare(self, request: web.Request, response: web.StreamResponse) -> None:
        await self._wait_if_silent(request)
        for value in self.faults.era_headers or ([str(self.era)] if self.era else []):
            response.headers.add("Store-Era", value)

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        app = web.Application(middlewares=[self._track_connection])
        app.on_response_prepare.append(self._prepare)
        app.router.add_post("/hyssopwood/log-append", self._append)
        app.router.add_get("/hyssopwood/log-read", self._read)
        app.router.add_get("/hyssopwood/log-newest", self._newest)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _error_answer(self) -> web.Response | None:
        self.calls += 1
        return web.Response(status=self.faults.error_status) if self.faults.error_status else None

    async def _append(self, request: web.Request) -> web.Response:
        error = self._error_answer()
        if error is not None:
            return error
        topic = request.query["topic"]
        partition = self.partition(topic)
        at = request.query.get("at")
        if at is not None and int(at) != partition.end:
            return web.json_response({"end_offset": partition.end}, status=412)
        contents = _split_records(await request.read())
        offset = partition.append(contents, topic.startswith("keyed."))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"offset": offset, "end_offset": partition.end})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        error = self._error_answer()
        if error is not None:
            return error
        if self.faults.endless:
            return await _send_endless_body(request)
        partition = self.partition(request.query["topic"])
        start = int(request.query["from_revision"])
        if not partition.first <= start <= partition.end:
            return web.json_response({"first_offset": partition.first}, status=410)
        if start >= partition.end:
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
            await _wait_at_most(partition.changed, wait_s)
            if partition is not self.partition(request.query["topic"]):
                return web.json_response({"first_offset": 0}, status=410)
        body = struct.pack(">QQ", partition.end, partition.first)
        for content in partition.records[start - partition.first :]:
            if self.faults.without_records:
                break
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body[: len(body) - self.faults.cut_bytes])

    async def _newest(self, request: web.Request) -> web.Response:
        error = self._error_answer()
        if error is not None:
            return error
        partition = self.partition(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        page = keys[: self.faults.page_items]
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in page
        ]
        more = len(keys) > len(page)
        return web.json_response({"items": items, "has_more": more, "end_offset": partition.end})


def _split_records(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        contents.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return contents


async def _send_endless_body(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    while True:
        await response.write(bytes(ENDLESS_CHUNK_BYTES))


async def _wait_at_most(event: asyncio.Event, limit_s: float) -> None:
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return
