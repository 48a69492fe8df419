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
        self.lost_answers = 0
        self.throttled = 0
        self.refused = 0
        self.appends = 0
        self.changed = asyncio.Event()

    def write(self, text):
        """Store a record without faults."""
        offset = self.first + len(self.records)
        self.records.append(StoredRecord(offset, self.timers.wall_ms(), text))
        self.wake()
        return offset

    def write_body(self, record_id, body):
        """Store a well-formed record."""
        return self.write(encode_record(LogRecord(record_id, record_id.rpartition(":")[0], body)))

    def expire_before(self, offset):
        self.records = [record for record in self.records if record.offset >= offset]
        self.first = offset

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def view(self):
        return LogView(self)


class LogView:
    """One instance's access to the log, with faults of its own."""

    def __init__(self, log):
        self._log = log
        self.unreachable = False
        self.reads_held = False

    def set_faults(self, unreachable=False, reads_held=False):
        self.unreachable = unreachable
        self.reads_held = reads_held
        self._log.wake()

    async def append(self, text):
        log = self._log
        await asyncio.sleep(0)
        log.appends += 1
        if self.unreachable:
            raise LogUnavailableError("unreachable")
        if log.refused > 0:
            log.refused -= 1
            raise LogUnavailableError("503")
        if log.throttled > 0:
            log.throttled -= 1
            raise LogThrottledError(0.5)
        offset = log.write(text)
        if log.lost_answers > 0:
            log.lost_answers -= 1
            raise LogUnavailableError("the answer was lost")
        return offset

    async def read(self, start, limit=500, wait_ms=0):
        await asyncio.sleep(0)
        while self.reads_held:
            await self._log.changed.wait()
        page = self._page(start, limit)
        if page.records or not wait_ms:
            return page
        waits = [
            asyncio.ensure_future(self._log.changed.wait()),
            asyncio.ensure_future(self._log.timers.sleep(wait_ms / 1000)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        while self.reads_held:
            await self._log.changed.wait()
        return self._page(start, limit)

    def _page(self, start, limit):
        log = self._log
        if self.unreachable:
            raise LogUnavailableError("unreachable")
        if start < log.first:
            raise RecordsExpiredError(log.first)
        index = start - log.first
        chosen = tuple(log.records[index : index + limit])
        return LogPage(log.first, start + len(chosen), chosen)


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
