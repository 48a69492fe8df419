"""Stand-in of the platform's store: partitions of records, conditional appends, keyed topics."""

from __future__ import annotations

import asyncio
import base64
import struct

from aiohttp import web
from attrs import define, evolve, field

PAGE_ITEMS = 500
ENDLESS_PIECE_BYTES = 65_536


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
                size = content[0]
                key, value = content[1 : 1 + size].decode(), content[1 + size :]
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append(content)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def trim(self, before: int) -> None:
        """Drop the records before an offset; the newest of each key stay."""
        del self.records[: before - self.first]
        self.first = before


@define
class StoreFaults:
    """Faults in force."""

    error_status: int = 0
    # Answers to be lost after the append has been carried out.
    lose_answers: int = 0
    # Bytes cut off each read.
    cut_bytes: int = 0
    # Whether answers to reads never end.
    endless: bool = False
    page_items: int = PAGE_ITEMS
    # Values of the era's header that are sent in place of the era; none for the era itself.
    era_headers: tuple[str, ...] = ()


class KeyedStore:
    """Serve the store's calls over HTTP."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        # Rises by one each time that the store comes back from an older copy; 0 is not stated.
        self.era = 0
        self._topics: dict[str, _Partition] = {}
        self._runner: web.AppRunner | None = None
        self.address = ""

    def partition(self, topic: str) -> _Partition:
        """Return the only partition of a topic."""
        return self._topics.setdefault(topic, _Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as the operator and the servers do."""
        name = key.encode()
        self.partition(topic).append([bytes((len(name),)) + name + value], keyed=True)

    def snapshot(self) -> dict[str, _Partition]:
        """Return a copy of all that is stored."""
        return {
            name: evolve(item, records=list(item.records), newest=dict(item.newest))
            for name, item in self._topics.items()
        }

    def restore(self, copy: dict[str, _Partition]) -> None:
        """Come back from a copy; what was stored since is gone."""
        before, self._topics = self._topics, copy
        self.era += 1
        for partition in before.values():
            partition.changed.set()

    async def _state_era(self, request: web.Request, response: web.StreamResponse) -> None:
        for value in self.faults.era_headers or ([str(self.era)] if self.era else []):
            response.headers.add("Store-Era", value)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        app = web.Application()
        app.on_response_prepare.append(self._state_era)
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

    def _refusal(self) -> web.Response | None:
        self.calls += 1
        return web.Response(status=self.faults.error_status) if self.faults.error_status else None

    async def _append(self, request: web.Request) -> web.Response:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        topic = request.query["topic"]
        partition = self.partition(topic)
        at = request.query.get("at")
        if at is not None and int(at) != partition.end:
            return web.json_response({"end_offset": partition.end}, status=412)
        contents = _split(await request.read())
        offset = partition.append(contents, topic.startswith("keyed."))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"offset": offset, "end_offset": partition.end})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        if self.faults.endless:
            return await _send_without_end(request)
        partition = self.partition(request.query["topic"])
        start = int(request.query["from_revision"])
        if not partition.first <= start <= partition.end:
            return web.json_response({"first_offset": partition.first}, status=410)
        if start >= partition.end:
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
            await _wait(partition.changed, wait_s)
            if partition is not self.partition(request.query["topic"]):
                return web.json_response({"first_offset": 0}, status=410)
        body = struct.pack(">QQ", partition.end, partition.first)
        for content in partition.records[start - partition.first :]:
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body[: len(body) - self.faults.cut_bytes])

    async def _newest(self, request: web.Request) -> web.Response:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        partition = self.partition(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        shown = keys[: self.faults.page_items]
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in shown
        ]
        more = len(keys) > len(shown)
        return web.json_response({"items": items, "has_more": more, "end_offset": partition.end})


def _split(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        contents.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return contents


async def _send_without_end(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    while True:
        await response.write(bytes(ENDLESS_PIECE_BYTES))


async def _wait(event: asyncio.Event, limit_s: float) -> None:
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return
