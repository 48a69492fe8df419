"""An in-memory log with the platform's faults, and peers that are replicas in the same test."""

import asyncio
import json

from hyssopwood.errors import (
    LogThrottledError,
    LogUnavailableError,
    PeerUnavailableError,
    RecordsExpiredError,
)
from hyssopwood.log_client import LogPage, StoredRecord
from hyssopwood.records import LogRecord, encode_record


class MemoryLog:
    """One stream of the platform's log."""

    def __init__(self, timers):
        self.timers = timers
        self.records = []
        self.first = 0
        self.outage = False
        self.lost_answers = 0
        self.throttled = 0
        self.refused = 0
        self.appends = 0
        self._appended = asyncio.Event()

    def write(self, text):
        """Store a record without faults."""
        offset = self.first + len(self.records)
        self.records.append(StoredRecord(offset, self.timers.wall_ms(), text))
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()
        return offset

    def write_body(self, record_id, body):
        """Store a well-formed record."""
        return self.write(encode_record(LogRecord(record_id, record_id.rpartition(":")[0], body)))

    def expire_before(self, offset):
        self.records = [record for record in self.records if record.offset >= offset]
        self.first = offset

    def set_outage(self, outage):
        self.outage = outage
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()

    async def append(self, text):
        await asyncio.sleep(0)
        self.appends += 1
        if self.outage:
            raise LogUnavailableError("outage")
        if self.refused > 0:
            self.refused -= 1
            raise LogUnavailableError("503")
        if self.throttled > 0:
            self.throttled -= 1
            raise LogThrottledError(0.5)
        offset = self.write(text)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise LogUnavailableError("the answer was lost")
        return offset

    async def read(self, start, limit=500, wait_ms=0):
        await asyncio.sleep(0)
        page = self._page(start, limit)
        if page.records or not wait_ms:
            return page
        waits = [
            asyncio.ensure_future(self._appended.wait()),
            asyncio.ensure_future(self.timers.sleep(wait_ms / 1000)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        return self._page(start, limit)

    def _page(self, start, limit):
        if self.outage:
            raise LogUnavailableError("outage")
        if start < self.first:
            raise RecordsExpiredError(self.first)
        index = start - self.first
        chosen = tuple(self.records[index : index + limit])
        return LogPage(self.first, start + len(chosen), chosen)


class MemoryPeers:
    """Connect replicas by their incarnations."""

    def __init__(self):
        self.handlers = {}
        self.cut = set()

    def link(self, incarnation):
        return _Link(self, incarnation)


class _Link:
    def __init__(self, network, incarnation):
        self._network = network
        self._incarnation = incarnation

    def on(self, body_type, handler):
        self._network.handlers[self._incarnation, body_type] = handler

    async def request(self, incarnation, body, timeout_s):
        handler = self._network.handlers.get((incarnation, type(body)))
        if handler is None or incarnation in self._network.cut:
            raise PeerUnavailableError(f"peer {incarnation} is cut off")
        return await handler(self._incarnation, body)


def ticket_text(number, **tables):
    """Return a ticket's text in plain JSON."""
    return json.dumps({"number": number, **tables})


def service(customer="beridze", shards=4, path="/portal/"):
    operations = {"look": {"repeatable": True}}
    return {
        "customer": customer,
        "shards": shards,
        "operations": operations,
        "path_prefix": path,
    }


def server(port, service="portal", **changes):
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "failure_domain": "a",
        "slots": 2,
        **changes,
    }


def first_tables():
    """Return the tables of the ticket that most scenarios start from."""
    return {
        "services": {"portal": service(), "desk": service(path="/desk/", shards=1)},
        "servers": {
            "a": server(9001),
            "b": server(9002),
            "c": server(9003),
            "d": server(9004, service="desk"),
        },
    }
