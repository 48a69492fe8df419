"""A log whose records every fake replica applies with a delay of its own."""

import asyncio

from hyssopwood.errors import AppendUnconfirmedError, LogUnavailableError
from hyssopwood.records import LogRecord
from hyssopwood.state import ClusterState
from hyssopwood.transitions import apply

LOG = "log"


class FakeLog:
    """Hold the records and the state after each of them."""

    def __init__(self):
        self.states = [ClusterState()]
        self.rejected = []
        self.available = True
        self.read_only = False
        self._sequence = 0
        self._grown = asyncio.Event()

    @property
    def state(self):
        return self.states[-1]

    def append(self, writer, body):
        """Append a record; return the number of states from which it is visible."""
        offset = len(self.states) - 1
        self._sequence += 1
        record = LogRecord(f"{writer}:{self._sequence}", writer, body)
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        applied = apply(self.state, offset, now_ms, record)
        if applied.rejected:
            self.rejected.append((record.kind, applied.rejected))
        self.states.append(applied.state)
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return len(self.states)

    async def wait_beyond(self, count):
        while len(self.states) <= count:
            await self._grown.wait()


class FakeReplica:
    """Follow the log like `hyssopwood.replica`, as one process with its own delay."""

    def __init__(self, process, incarnation, log, network):
        self.process = process
        self.incarnation = incarnation
        self._log = log
        self._network = network
        self._position = len(log.states)
        self._applied = asyncio.Event()

    @property
    def state(self):
        return self._log.states[self._position - 1]

    @property
    def reachable(self):
        return self._log.available and (self.process.name, LOG) not in self._network.blocked

    async def run(self):
        while True:
            await self._log.wait_beyond(self._position)
            await self.process.sleep(self._network.rng.uniform(0.001, 0.02))
            if not self.reachable:
                await self.process.sleep(0.02)
                continue
            self._position += 1
            applied, self._applied = self._applied, asyncio.Event()
            applied.set()

    async def changes(self):
        while True:
            seen = self._position
            yield self.state
            while self._position == seen:
                await self._applied.wait()

    async def append(self, body):
        await self.process.sleep(0.004)
        if not self.reachable or self._log.read_only:
            raise LogUnavailableError("the log can't be reached")
        count = self._log.append(self.incarnation, body)
        await self.process.sleep(0.004)
        if self._network.rng.random() < 0.02:
            raise AppendUnconfirmedError("the answer was lost")
        while self._position < count:
            await self._applied.wait()
        return self.state
