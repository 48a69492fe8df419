"""Backend servers in the test's process, and the channel that coordinators reach them by."""

import asyncio
import itertools

from hyssopwood.control_channel import ConnectionReplacedError
from hyssopwood.errors import BackendServerUnavailableError
from hyssopwood.waiting import WaitTimeoutError, within
from hyssopwood_standins.grants import Grants, RefusedError
from support.standin_recorder import MemoryRecorder
from support.virtual_time import SimulatedProcess

MAX_MESSAGE_LIFE_S = 0.1
# Longer than any schedule.
NEVER_S = 3600.0


_kept = set()


def kept_task(work):
    """Return a task that goes on although nobody waits for it."""
    task = asyncio.ensure_future(work)
    _kept.add(task)
    task.add_done_callback(_kept.discard)
    return task


class FakeServer(SimulatedProcess):
    """Hold grants like the stand-in server and record what it held and ran, in loop time."""

    def __init__(self, name, rng, fencing, slots=2):
        super().__init__(name, rng)
        self.fencing = fencing
        self.slots = slots
        self.recorder = MemoryRecorder(server=name)
        self.runs = []
        self.overcommits = 0
        self.grants = None
        self.running = []
        self._starts = itertools.count()
        self.restart()

    def restart(self):
        """Replace the process: its grants and its work are gone."""
        now = asyncio.get_running_loop().time()
        for run in self.running:
            self._end(run, now)
        if self.grants is not None:
            self.grants.expire(self.now())
        self.recorder.write("restarted", self.now(), partition="", token=0)
        self.incarnation = f"{self.name}-{next(self._starts)}"
        self.grants = Grants(self.recorder, self.fencing, self.rng.uniform(0, 1000))
        self.running = []
        self.alive = True
        self.resume()

    def holdings(self):
        """Return (partition, start, end) for everything held, in loop time."""
        self.grants.expire(self.now())
        open_since, found = {}, []
        for record in self.recorder.records:
            name, at = record.get("partition"), self.loop_time(record["t"])
            if record["type"] == "granted":
                open_since[name] = at
            elif record["type"] in ("released", "lapsed") and name in open_since:
                found.append((name, open_since.pop(name), at))
            elif record["type"] == "restarted":
                found += [(name, since, at) for name, since in open_since.items()]
                open_since.clear()
        end = asyncio.get_running_loop().time()
        return found + [(name, since, end) for name, since in open_since.items()]

    def command(self, path, body):
        """Answer a command of the control interface."""
        now = self.now()
        try:
            if path.endswith("/session"):
                self.grants.renew(body["epoch"], body["coordinator"], body["lease_until_ms"], now)
                return 200, {
                    "incarnation": self.incarnation,
                    "clock_ms": self.grants.clock_ms(now),
                    "epoch": self.grants.epoch,
                    "holds": self.grants.held_partitions(),
                    "running": len(self.running),
                    "slots": self.slots,
                }
            grant = {item["partition"]: item["token"] for item in body["grant"]}
            self.grants.change(body["epoch"], grant, body["release"], now)
            return 200, {"holds": self.grants.held_partitions()}
        except RefusedError as error:
            return 409, {"reason": error.reason, "epoch": self.grants.epoch}

    async def run(self, key, partition, token, work_s, deadline, sent_at):
        """Run one request; return `answered`, `not-run`, or None when the process died."""
        loop = asyncio.get_running_loop()
        incarnation = self.incarnation
        await self.wait_while_paused()
        # The system assumes that nothing arrives later than this at a server that doesn't
        # check fencing, so the fake must not break the assumption.
        late = not self.fencing and loop.time() - sent_at > MAX_MESSAGE_LIFE_S
        refused = self.grants.refusal_reason(partition, token, self.now())
        if not self.alive or incarnation != self.incarnation:
            return None
        if late or refused or loop.time() >= deadline:
            return "not-run"
        run = {"key": key, "held": (partition, token), "start": loop.time(), "deadline": deadline}
        self.runs.append(run)
        self.running.append(run)
        self.overcommits += len(self.running) > self.slots
        await asyncio.sleep(min(work_s, deadline - loop.time()))
        await self.wait_while_paused()
        if run not in self.running:
            return None
        self.running.remove(run)
        return "answered" if self._end(run, loop.time()) else None

    def _end(self, run, now):
        """Record the end of a run; return whether it was the normal one.

        A process that was paused stops the work when it wakes up, and nothing was done meanwhile.
        """
        self.grants.expire(self.now())
        started = run["start"] * self._rate + self._offset
        lapsed = self.grants.lapsed_since(*run["held"], started)
        ends = [now, run["deadline"], *([] if lapsed is None else [self.loop_time(lapsed)])]
        run["end"] = min(ends)
        return lapsed is None


class FakeChannel:
    """Control channel from one instance to a fake server.

    A command that was sent stays on its way while the server is paused or the network is
    blocked, and takes effect afterwards although nobody waits for its answer any more.
    """

    def __init__(self, process, server, network, timeout_s):
        self._process = process
        self._server = server
        self._network = network
        self._timeout_s = timeout_s
        self._connection = None

    async def post(self, path, body, same_connection):
        server = self._server
        if same_connection and self._connection != server.incarnation:
            self._connection = None
            raise ConnectionReplacedError("the connection was closed")
        if not server.alive:
            raise BackendServerUnavailableError("connection refused")
        sent_to = server.incarnation
        delivery = kept_task(self._deliver(path, body, sent_to))
        try:
            answer = await within(self._process, self._timeout_s, asyncio.shield(delivery))
        except WaitTimeoutError as error:
            self._connection = None
            raise BackendServerUnavailableError("no answer in time") from error
        except BaseException:
            self._connection = None
            raise
        self._connection = sent_to
        return answer

    async def close(self):
        self._connection = None

    async def _deliver(self, path, body, incarnation):
        server, rng = self._server, self._network.rng
        if not await self._network.deliver(self._process.name, server.name):
            # Retransmitted for a short while, then dropped with its connection.
            await asyncio.sleep(rng.uniform(0, MAX_MESSAGE_LIFE_S))
            if (self._process.name, server.name) in self._network.blocked:
                await asyncio.sleep(NEVER_S)
        if server.paused:
            await server.wait_while_paused()
            # A server that wakes up reads its connections in any order.
            await asyncio.sleep(rng.choice((0, rng.uniform(0, 0.02))))
        if server.incarnation != incarnation or not server.alive:
            await asyncio.sleep(NEVER_S)
        answer = server.command(path, body)
        if not await self._network.deliver(server.name, self._process.name):
            await asyncio.sleep(NEVER_S)
        await self._process.wait_while_paused()
        return answer
