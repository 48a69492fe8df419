"""Three instances with outage moves over a fake log and fake connections."""

import asyncio
import itertools

from attrs import evolve

from hyssopwood.errors import LogUnavailableError, PeerUnavailableError
from hyssopwood.outage_moves import OutageMoves
from hyssopwood.records import FenceRecord, LogRecord, OutageMove, OutageMovesRecord
from hyssopwood.settings import Timing
from hyssopwood.state import STATUS_DOWN, ClusterState, Coordination, Member, Ownership
from hyssopwood.ticket import Operation, Server, Service
from hyssopwood.transitions import apply

FIRST_OFFSET = 100


def parse_ownership(text, new_token=None):
    """Return the ownership written as `server@token awaiting a,b`."""
    owner, _, awaiting = text.partition(" awaiting ")
    server, _, token = owner.partition("@")
    number = new_token if token == "new" else int(token)
    return Ownership(server, number, tuple(awaiting.split(",")) if awaiting else ())


class _Replica:
    def __init__(self, cell, name):
        self._cell = cell
        self.incarnation = name
        self.membership_offset = None

    @property
    def state(self):
        if self.membership_offset is None:
            return self._cell.state
        return evolve(self._cell.state, membership_offset=self.membership_offset)

    @property
    def log_reachable(self):
        return not self._cell.log_down

    async def append(self, body):
        if self._cell.log_down:
            raise LogUnavailableError("the log is down")
        return self._cell.append(self.incarnation, body)


class _Peers:
    def __init__(self, cell, name):
        self._cell = cell
        self._name = name
        self.handlers = {}

    def on(self, body_type, handler):
        self.handlers[body_type] = handler

    async def request(self, incarnation, body, timeout_s):
        if incarnation in self._cell.silent:
            raise PeerUnavailableError("silent")
        if self._cell.authority_ends:
            self._cell.without_authority.add(self._cell.authority_ends)
        return await self._cell.peers[incarnation].handlers[type(body)](self._name, body)

    async def notify(self, incarnation, body):
        await self.request(incarnation, body, 0)


class _Authority:
    def __init__(self, cell, name):
        self._cell = cell
        self._name = name

    def held(self):
        return self._name not in self._cell.without_authority


class OutageCell:
    """Servers s1, s2 and s3, coordinated by c1, c2 and c3."""

    PARTITION = "portal/0"
    NAMES = ("c1", "c2", "c3")

    def __init__(self, timers, ownership):
        self.log_down = False
        self.silent = set()
        self.without_authority = set()
        self.authority_ends = ""
        self.lost = {}
        self.state = _state(ownership)
        self._offsets = itertools.count(FIRST_OFFSET)
        self._tasks = []
        self.replicas = {name: _Replica(self, name) for name in self.NAMES}
        self.peers = {name: _Peers(self, name) for name in self.NAMES}
        self.outages = {name: self._outage(name, timers) for name in self.NAMES}

    def _outage(self, name, timers):
        authority = _Authority(self, name)
        return OutageMoves(
            self.replicas[name],
            self.peers[name],
            authority,
            timers,
            Timing(),
            lambda: self._statuses(name),
            lambda: None,
        )

    def _statuses(self, name):
        server = self.lost.get(name)
        return ((server, STATUS_DOWN),) if server else ()

    def raise_membership_offset(self, *names):
        for name in names:
            self.replicas[name].membership_offset = FIRST_OFFSET

    async def start(self):
        self._tasks = [asyncio.ensure_future(item.run()) for item in self.outages.values()]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def append(self, writer, body):
        offset = next(self._offsets)
        applied = apply(self.state, offset, 0, LogRecord(f"{writer}:{offset}", writer, body))
        self.state = applied.state
        return applied

    def record_moves(self, writer, source, target, token):
        return self.append(writer, OutageMovesRecord(moves=(_move(source, target, token),)))

    def fence(self, incarnation, attesters, source, target, token):
        body = FenceRecord(
            instance=incarnation,
            incarnation=incarnation,
            attesters=attesters,
            outage_moves=(_move(source, target, token),),
        )
        return self.append(attesters[0], body)


def _move(source, target, token):
    return OutageMove(partition=OutageCell.PARTITION, source=source, target=target, token=token)


def _state(ownership):
    service = Service(
        customer="beridze",
        shards=1,
        operations={"browse": Operation(repeatable=True)},
        path_prefix="/portal/",
    )
    servers = {
        f"s{number}": Server(
            service="portal", address=f"127.0.0.1:900{number}", failure_domain="a", slots=2
        )
        for number in (1, 2, 3)
    }
    members = {
        name: Member(name, name, "127.0.0.1:1", "127.0.0.1:2", "a", 0) for name in OutageCell.NAMES
    }
    return ClusterState(
        applied=FIRST_OFFSET - 1,
        services={"portal": service},
        servers=servers,
        # Without s3 the only target is s2.
        server_status={"s3": STATUS_DOWN},
        members=members,
        voters=OutageCell.NAMES,
        coordinations={f"s{n}": Coordination(f"c{n}", 1) for n in (1, 2, 3)},
        ownerships={OutageCell.PARTITION: ownership},
    )
