"""Three instances with permit guards over a state that the test sets."""

from attrs import evolve

from hyssopwood.errors import PeerUnavailableError
from hyssopwood.key_replication import KeyReplication, standby_of
from hyssopwood.messages import PermitRequest, PermitReturn
from hyssopwood.permit_guard import PermitGuard
from hyssopwood.settings import Timing
from hyssopwood.state import ClusterState, Coordination, Member, Ownership
from hyssopwood.ticket import Operation, Service

NAMES = ("c1", "c2", "c3")
PARTITION = "portal/0"


class _Peers:
    def __init__(self, cell, name):
        self._cell = cell
        self.incarnation = name
        self.handlers = {}

    def on(self, body_type, handler):
        self.handlers[body_type] = handler

    async def request(self, incarnation, body, timeout_s):
        if incarnation in self._cell.lost:
            raise PeerUnavailableError("lost")
        return await self._cell.peers[incarnation].handlers[type(body)](self.incarnation, body)


class KeyCell:
    """Server s1 of one partition, coordinated by c1, and s2, coordinated by c2."""

    def __init__(self, timers):
        self.timing = Timing()
        self.lost = set()
        self.state = _state()
        self.requests = 0
        self.peers = {name: _Peers(self, name) for name in NAMES}
        self.replications = {
            name: KeyReplication(self, self.peers[name], timers, self.timing) for name in NAMES
        }
        self.guards = {
            name: PermitGuard(timers, self.timing, lambda report: None, self, replication)
            for name, replication in self.replications.items()
        }
        self._note_state()

    async def settle(self):
        """Let coordinators complete their standbys, as their background task does."""
        for server, coordination in self.state.coordinations.items():
            if coordination.incarnation not in self.lost:
                await self.replications[coordination.incarnation].sync_standby(server)

    def coordinator(self, server):
        return self.state.coordinations[server].incarnation

    def owner(self):
        return self.state.ownerships[PARTITION].server

    def other_than(self, *names):
        return next(name for name in NAMES if name not in names)

    def standby(self, server):
        return standby_of(self.state, server, self.coordinator(server))

    def lose(self, name):
        self.lost.add(name)
        members = {key: value for key, value in self.state.members.items() if key != name}
        self.state = evolve(self.state, members=members)
        self._note_state()

    def assign(self, server, name):
        epoch = max(c.epoch for c in self.state.coordinations.values()) + 1
        coordination = Coordination(name, epoch)
        self.state = evolve(
            self.state, coordinations={**self.state.coordinations, server: coordination}
        )
        self._note_state()

    def take_over(self, server, name):
        self.assign(server, name)
        self.guards[name].taken_over(server, self.state.coordinations[server].epoch)

    async def hand_over(self, server, name):
        before = self.coordinator(server)
        self.assign(server, name)
        assert await self.guards[before].before_hand_over(server, name)
        self.guards[name].taken_over(server, self.state.coordinations[server].epoch)

    async def move(self, target):
        source = self.owner()
        moved = Ownership(target, 20, (source,))
        self.state = evolve(self.state, ownerships={PARTITION: moved})
        asker = self.coordinator(target)
        assert await self.guards[self.coordinator(source)].before_release(PARTITION, source, asker)

    def _note_state(self):
        for replication in self.replications.values():
            replication.note_state(self.state)

    def request(self, key, digest=1):
        self.requests += 1
        request_id = f"entry.{self.requests}#0"
        return PermitRequest(
            request_id, self.owner(), "portal", "adopt", "pig", 1000, digest, key, "beridze"
        )

    async def ask(self, key, digest=1):
        """Ask the present coordinator for a permit; return the request and the answer."""
        request = self.request(key, digest)
        guard = self.guards[self.coordinator(self.owner())]
        reply = await guard.before(self.owner(), request)
        if reply is None:
            return request, "permit"
        return request, "stored" if reply.stored_status else reply.reason

    async def finish(self, request, end):
        """End a request as its entry reports it."""
        server = self.owner()
        guard = self.guards[self.coordinator(server)]
        if end != "running":
            guard.returned(server, request, PermitReturn(1, end, 1.0, 200, b"text\nbody"))

    def crash(self, server, digests):
        running = tuple(self.request("", digest) for digest in digests)
        self.guards[self.coordinator(server)].crashed(server, running)


def _state():
    service = Service(
        customer="beridze",
        shards=1,
        operations={"adopt": Operation(repeatable=False)},
        path_prefix="/portal/",
    )
    members = {name: Member(name, name, "127.0.0.1:1", "127.0.0.1:2", name, 0) for name in NAMES}
    return ClusterState(
        services={"portal": service},
        members=members,
        coordinations={"s1": Coordination("c1", 1), "s2": Coordination("c2", 2)},
        ownerships={PARTITION: Ownership("s1", 10)},
    )
