"""In-memory log, network and platform list for tests of the planner and the membership."""

import asyncio
import json

from attrs import frozen

from hyssopwood.errors import LogUnavailableError, PeerUnavailableError
from hyssopwood.membership import Membership
from hyssopwood.messages import (
    AttestReply,
    AttestRequest,
    ErrorReply,
    KeyUsage,
    PartitionUsage,
    PositionReply,
    PositionRequest,
    ServerUsage,
)
from hyssopwood.planner import Planner
from hyssopwood.records import (
    Grant,
    GrantedRecord,
    LogRecord,
    Takeover,
    TicketRecord,
    decode_record,
    encode_record,
)
from hyssopwood.settings import Settings, Timing
from hyssopwood.state import ClusterState, has_quorum, partition_of
from hyssopwood.transitions import apply
from support.manual_timers import ManualTimers

PROMISE_S = 0.3
SETTLE_ROUNDS = 12
LIST_LAG_MS = 3_000
APPEND_S = 0.02


class BriefTimers(ManualTimers):
    """Manual timers with as many rounds as these fakes need; a cell has many sleepers."""

    async def settle(self):
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)


class FakeLog:
    """A log whose records are applied when they are appended."""

    def __init__(self, timers):
        self.timers = timers
        self.state = ClusterState()
        self.records = []
        self.rejections = []
        self.times = []
        self.down = False
        self.append_s = APPEND_S
        self.attempts = 0
        self.sequences = {}

    def write(self, writer, body):
        sequence = self.sequences[writer] = self.sequences.get(writer, 0) + 1
        record = decode_record(encode_record(LogRecord(f"{writer}:{sequence}", writer, body)))
        applied = apply(self.state, len(self.records), self.timers.wall_ms(), record)
        self.state = applied.state
        self.records.append(record)
        self.rejections.append(applied.rejected)
        self.times.append(self.timers.now())
        return applied

    def publish(self, **entries):
        """Append the next ticket; fail the test when it is rejected."""
        ticket = {"number": self.state.ticket_number + 1, **entries}
        self.write("operator", TicketRecord(publisher="operator", text=json.dumps(ticket)))
        assert self.state.verdicts[-1].accepted, self.state.verdicts[-1]

    def kinds(self, start=0):
        return [record.kind for record in self.records[start:]]

    def bodies(self, kind, start=0):
        """Return (time, body) of the records of a kind that came into force."""
        return [
            (self.times[index], self.records[index].body)
            for index in range(start, len(self.records))
            if self.records[index].kind == kind and not self.rejections[index]
        ]


class FakeReplica:
    """A replica that reads the log without delay, unless it is held back."""

    def __init__(self, log, incarnation):
        self._log = log
        self.incarnation = incarnation
        self.held_state = None

    @property
    def state(self):
        return self.held_state or self._log.state

    @property
    def log_reachable(self):
        return not self._log.down

    async def append(self, body):
        self._log.attempts += 1
        await self._log.timers.sleep(self._log.append_s)
        if self._log.down:
            raise LogUnavailableError("the log is down")
        return self._log.write(self.incarnation, body)


class FakeNetwork:
    """Deliver messages between incarnations that are up and not cut off."""

    def __init__(self, timers):
        self.timers = timers
        self.handlers = {}
        self.cut_since = {}
        self.dead_since = {}

    def cut(self, name, others):
        for other in others:
            for pair in ((name, other), (other, name)):
                self.cut_since.setdefault(pair, self.timers.now())

    def silence(self, sender, receiver):
        """Return how long no message has passed, or None while messages pass."""
        times = (
            self.cut_since.get((sender, receiver)),
            self.dead_since.get(sender),
            self.dead_since.get(receiver),
        )
        known = [since for since in times if since is not None]
        return self.timers.now() - min(known) if known else None


class FakePeers:
    """The peers of one incarnation."""

    def __init__(self, network, incarnation):
        self._network = network
        self._incarnation = incarnation
        self._handlers = network.handlers.setdefault(incarnation, {})

    def on(self, body_type, handler):
        self._handlers[body_type] = handler

    async def request(self, incarnation, body, timeout_s):
        handler = self._network.handlers.get(incarnation, {}).get(type(body))
        if handler is None or self._network.silence(self._incarnation, incarnation) is not None:
            await self._network.timers.sleep(timeout_s)
            raise PeerUnavailableError(f"{incarnation} does not answer")
        await asyncio.sleep(0)
        reply = await handler(self._incarnation, body)
        if isinstance(reply, ErrorReply):
            raise PeerUnavailableError(reply.reason)
        return reply


class FakeAuthority:
    """Authority from the voters that the network reaches; promises end after PROMISE_S."""

    def __init__(self, node):
        self._node = node

    def held(self):
        node = self._node
        state = node.replica.state
        voters = {*state.voters, *state.pending_voters}
        reached = [v for v in voters if self._promised(v)]
        return node.incarnation in state.members and has_quorum(state, reached)

    def _promised(self, voter):
        node = self._node
        if node.unsupported:
            return False
        if node.incarnation in node.cluster.attested.get(voter, ()):
            return False
        silence = node.cluster.network.silence(voter, node.incarnation)
        return voter == node.incarnation or silence is None or silence < PROMISE_S

    def attest(self, incarnation):
        node = self._node
        silence = node.cluster.network.silence(node.incarnation, incarnation)
        asked = node.cluster.holder_of(incarnation)
        if asked is not None and asked.unsupported:
            silence = PROMISE_S
        if silence is None:
            return AttestReply(False, int(PROMISE_S * 1000))
        if silence < PROMISE_S:
            return AttestReply(False, int((PROMISE_S - silence) * 1000) + 1)
        node.cluster.attested.setdefault(node.incarnation, set()).add(incarnation)
        return AttestReply(True, 0)


@frozen
class Listed:
    """One entry of the platform's list."""

    name: str
    state: str = "live"


@frozen
class Listing:
    """One reading of the platform's list."""

    as_of_ms: int
    instances: tuple


class FakePlatform:
    """The platform's list, which can stand still, lie or fail."""

    def __init__(self, timers):
        self.timers = timers
        self.names = set()
        self.hidden = set()
        self.frozen_listing = None
        self.down = False

    async def instances(self):
        if self.down:
            raise LogUnavailableError("the platform is down")
        if self.frozen_listing is not None:
            return self.frozen_listing
        shown = sorted(self.names - self.hidden)
        return Listing(self.timers.wall_ms(), tuple(Listed(name) for name in shown))


class FakeNode:
    """One instance: planner and membership over the fakes."""

    def __init__(self, cluster, instance, domain, incarnation):
        self.cluster = cluster
        self.instance = instance
        self.incarnation = incarnation
        self.lost = []
        self.unsupported = False
        self.settings = Settings(
            instance=instance,
            failure_domain=domain,
            http_address="127.0.0.1:8000",
            peer_address="127.0.0.1:9000",
            log_url="http://127.0.0.1:7000",
            initial_voters=cluster.initial_voters,
            timing=Timing(instance_list_lag_ms=LIST_LAG_MS),
        )
        timers = cluster.timers
        self.replica = FakeReplica(cluster.log, incarnation)
        self.peers = FakePeers(cluster.network, incarnation)
        self.authority = FakeAuthority(self)
        self.peers.on(PositionRequest, self._position)
        self.peers.on(AttestRequest, self._attest)
        self.membership = Membership(
            self.settings,
            self.replica,
            self.peers,
            cluster.platform,
            timers,
            self.usage,
            lambda: tuple((item.server, item.status) for item in self.usage()),
            self._lose,
            note_report=lambda planner, accepted: self.planner.note_report(planner, accepted),
        )
        self.planner = Planner(
            self.settings,
            self.replica,
            self.peers,
            self.authority,
            self.membership.instance_list,
            timers,
        )
        self.tasks = []

    async def _position(self, sender, body):
        return PositionReply(self.replica.state.applied)

    async def _attest(self, sender, body):
        return self.authority.attest(body.incarnation)

    async def _lose(self, reason):
        self.lost.append(reason)

    def usage(self):
        state = self.replica.state
        servers = []
        for server, coordination in state.coordinations.items():
            if coordination.incarnation == self.incarnation:
                servers.append(self.cluster.server_usage(state, server))
        return tuple(servers)

    async def start(self):
        await self.membership.join()
        self.tasks = [
            asyncio.create_task(self.planner.run()),
            asyncio.create_task(self.membership.run()),
            asyncio.create_task(self._take_over()),
        ]

    async def _take_over(self):
        """Record takeovers from live previous coordinators, as the coordinators do."""
        async for _ in self.cluster.timers.ticks(0.1):
            taken = tuple(
                Takeover(server=server, epoch=c.epoch)
                for server, c in self.replica.state.coordinations.items()
                if c.incarnation == self.incarnation and c.previous
            )
            if taken and not self.cluster.log.down:
                self.cluster.log.write(self.incarnation, GrantedRecord(takeovers=taken))

    def stop(self):
        for task in self.tasks:
            task.cancel()


class FakeCluster:
    """Instances over one log, one network and one platform list."""

    def __init__(self, timers, initial_voters=3):
        self.timers = timers
        self.initial_voters = initial_voters
        self.log = FakeLog(timers)
        self.network = FakeNetwork(timers)
        self.platform = FakePlatform(timers)
        self.attested = {}
        self.nodes = {}
        self.down_servers = set()
        self.loads = {}
        self.hot_keys = {}

    @property
    def state(self):
        return self.log.state

    def server_usage(self, state, server):
        slots = state.servers[server].slots
        owned = [name for name, owner in state.ownerships.items() if owner.server == server]
        busy = {name: self.loads.get(name, 0.0) / slots for name in owned}
        parts = tuple(PartitionUsage(name, 100 * ratio, ratio) for name, ratio in busy.items())
        service = state.servers[server].service
        keys = tuple(
            KeyUsage(service, key, 100 * load / slots)
            for key, load in self.hot_keys.items()
            if partition_of(state, service, key) in owned
        )
        status = "down" if server in self.down_servers else "up"
        return ServerUsage(server, status, sum(busy.values()), parts, keys)

    def settle_moves(self):
        """Confirm every release, as the coordinators do."""
        for name, owner in self.state.ownerships.items():
            if owner.awaiting:
                server = owner.server or owner.awaiting[0]
                writer = self.state.coordinations[server].incarnation
                grant = Grant(partition=name, token=owner.token, server=server)
                self.log.write(writer, GrantedRecord(grants=(grant,)))

    def add(self, instance, domain, generation=1):
        node = FakeNode(self, instance, domain, f"{instance}.{generation}")
        self.platform.names.add(instance)
        self.nodes[instance] = node
        return node

    async def start(self, *nodes):
        for node in nodes:
            task = asyncio.create_task(node.start())
            await self.timers.advance(self.log.append_s)
            await task

    def kill(self, instance):
        node = self.nodes.pop(instance)
        node.stop()
        self.network.dead_since[node.incarnation] = self.timers.now()
        return node

    def cut_off(self, instance):
        own = self.nodes[instance].incarnation
        self.network.cut(own, [name for name in self.network.handlers if name != own])

    def holder_of(self, incarnation):
        return next((n for n in self.nodes.values() if n.incarnation == incarnation), None)

    def partition_of(self, service, key):
        return partition_of(self.state, service, key)
