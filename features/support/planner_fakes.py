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
    PartitionUsage,
    PositionReply,
    PositionRequest,
    ServerUsage,
)
from hyssopwood.planner import Planner
from hyssopwood.records import LogRecord, TicketRecord, decode_record, encode_record
from hyssopwood.settings import Settings
from hyssopwood.state import ClusterState, has_quorum
from hyssopwood.transitions import apply

PROMISE_S = 0.3
APPEND_S = 0.02


class FakeLog:
    """A log whose records are applied when they are appended."""

    def __init__(self, timers):
        self.timers = timers
        self.state = ClusterState()
        self.records = []
        self.rejections = []
        self.down = False
        self.sequences = {}

    def write(self, writer, body):
        sequence = self.sequences[writer] = self.sequences.get(writer, 0) + 1
        record = decode_record(encode_record(LogRecord(f"{writer}:{sequence}", writer, body)))
        applied = apply(self.state, len(self.records), self.timers.wall_ms(), record)
        self.state = applied.state
        self.records.append(record)
        self.rejections.append(applied.rejected)
        return applied

    def publish(self, **entries):
        """Append the next ticket; fail the test when it is rejected."""
        ticket = {"number": self.state.ticket_number + 1, **entries}
        self.write("operator", TicketRecord(publisher="operator", text=json.dumps(ticket)))
        assert self.state.verdicts[-1].accepted, self.state.verdicts[-1]

    def kinds(self, start=0):
        return [record.kind for record in self.records[start:]]


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
        await self._log.timers.sleep(APPEND_S)
        if self._log.down:
            raise LogUnavailableError("the log is down")
        return self._log.write(self.incarnation, body)


class FakeNetwork:
    """Deliver messages between incarnations that are up and not cut off."""

    def __init__(self, timers):
        self.timers = timers
        self.handlers = {}
        self.cut_since = {}
        self.requests = []

    def cut(self, name, others):
        for other in others:
            for pair in ((name, other), (other, name)):
                self.cut_since.setdefault(pair, self.timers.now())

    def heal(self, name):
        for pair in [pair for pair in self.cut_since if name in pair]:
            del self.cut_since[pair]

    def silence(self, sender, receiver):
        """Return how long no message has passed, or None while messages pass."""
        since = self.cut_since.get((sender, receiver))
        return None if since is None else self.timers.now() - since


class FakePeers:
    """The peers of one incarnation."""

    def __init__(self, network, incarnation):
        self._network = network
        self._incarnation = incarnation
        self._handlers = network.handlers.setdefault(incarnation, {})

    def on(self, body_type, handler):
        self._handlers[body_type] = handler

    async def request(self, incarnation, body, timeout_s):
        self._network.requests.append((self._incarnation, incarnation, body))
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
        if node.incarnation in node.cluster.attested.get(voter, ()):
            return False
        silence = node.cluster.network.silence(voter, node.incarnation)
        return voter == node.incarnation or silence is None or silence < PROMISE_S

    def attest(self, incarnation):
        node = self._node
        silence = node.cluster.network.silence(node.incarnation, incarnation)
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
        self.settings = Settings(
            instance=instance,
            failure_domain=domain,
            http_address="127.0.0.1:8000",
            peer_address="127.0.0.1:9000",
            log_url="http://127.0.0.1:7000",
            initial_voters=cluster.initial_voters,
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
            self._lose,
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
        ]

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

    @property
    def state(self):
        return self.log.state

    def server_usage(self, state, server):
        slots = state.servers[server].slots
        parts = tuple(
            PartitionUsage(name, 10.0, self.loads.get(name, 0.0) / slots)
            for name, owner in state.ownerships.items()
            if owner.server == server
        )
        status = "down" if server in self.down_servers else "up"
        return ServerUsage(server, status, sum(p.busy_ratio for p in parts), parts, ())

    def add(self, instance, domain, generation=1):
        node = FakeNode(self, instance, domain, f"{instance}.{generation}")
        self.platform.names.add(instance)
        self.nodes[instance] = node
        return node

    async def start(self, *nodes):
        for node in nodes:
            task = asyncio.create_task(node.start())
            await self.timers.advance(APPEND_S)
            await task

    def kill(self, instance):
        node = self.nodes.pop(instance)
        node.stop()
        others = [name for name in self.network.handlers if name != node.incarnation]
        self.network.cut(node.incarnation, [*others, node.incarnation])
        return node

    def cut_off(self, instance):
        own = self.nodes[instance].incarnation
        self.network.cut(own, [name for name in self.network.handlers if name != own])

    def holder_of(self, incarnation):
        return next((n for n in self.nodes.values() if n.incarnation == incarnation), None)
