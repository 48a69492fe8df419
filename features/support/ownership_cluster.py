"""Several instances with the product's ownership modules over fake peers, log and servers."""

import asyncio
import itertools

from hyssopwood.admission import Admission
from hyssopwood.authority import Authority
from hyssopwood.coordinator import Coordinators
from hyssopwood.durations import Durations
from hyssopwood.errors import HyssopwoodError, LogError, PeerUnavailableError
from hyssopwood.messages import (
    AttestReply,
    AttestRequest,
    ErrorReply,
    PermitCancel,
    PermitRequest,
    PermitReturn,
    PositionReply,
    PositionRequest,
)
from hyssopwood.ownership_parts import Parts
from hyssopwood.records import (
    CoordinatorChange,
    FenceRecord,
    HotKey,
    JoinRecord,
    Move,
    PlannerRecord,
    PlanRecord,
    ServerStatus,
    TicketRecord,
    VotersCommittedRecord,
    VotersProposedRecord,
)
from hyssopwood.settings import Timing
from hyssopwood.state import (
    STATUS_DOWN,
    STATUS_UP,
    effective_voters,
    has_quorum,
    partition_of,
    shard_partition,
)
from hyssopwood.structure import unstructure
from hyssopwood.ticket import Operation, Server, Service, Ticket
from hyssopwood.waiting import TaskGroup, WaitTimeoutError, within
from support.fake_log import LOG, FakeLog, FakeReplica
from support.fake_servers import NEVER_S, FakeChannel, FakeServer, kept_task
from support.virtual_time import SimulatedNetwork, SimulatedProcess

SERVICE = "portal"
SHARDS = 6
KEYS = [f"animal-{number}" for number in range(12)]
PLANNER = "planner"
SILENT_S = 0.3
LIST_LAG_S = 1.0
CHECK_S = 0.1


class FakePeers:
    """Carry messages between the instances of one cluster."""

    def __init__(self, cluster, process, incarnation):
        self.incarnation = incarnation
        self.process = process
        self._cluster = cluster
        self._handlers = {PositionRequest: self._on_position}
        self._listeners = []

    def on(self, body_type, handler):
        self._handlers[body_type] = handler

    def on_lost(self, listener):
        self._listeners.append(listener)

    def lose(self, incarnation):
        for listener in self._listeners:
            listener(incarnation)

    async def _on_position(self, sender, body):
        return PositionReply(self._cluster.instance_of(self.incarnation).replica.state.applied)

    async def handle(self, sender, body):
        handler = self._handlers.get(type(body))
        try:
            return await handler(sender, body) if handler else ErrorReply("not handled")
        except HyssopwoodError as error:
            return ErrorReply(str(error))

    async def request(self, incarnation, body, timeout_s):
        try:
            reply = await within(self.process, timeout_s, self._exchange(incarnation, body))
        except WaitTimeoutError as error:
            raise PeerUnavailableError("no reply in time") from error
        if reply is None or isinstance(reply, ErrorReply):
            raise PeerUnavailableError("refused")
        return reply

    async def notify(self, incarnation, body):
        target = self._cluster.instance_of(incarnation)
        if target is not None:
            await self._deliver(target.peers, body)

    async def _exchange(self, incarnation, body):
        target = self._cluster.instance_of(incarnation)
        if target is None:
            return None
        if target.peers is self:
            return await self.handle(self.incarnation, body)
        peers = target.peers
        reply = await self._deliver(peers, body)
        if reply is None or not await peers.travel_to(self):
            await asyncio.sleep(NEVER_S)
        return reply

    async def _deliver(self, peers, body):
        if not await self.travel_to(peers):
            return None
        return await peers.handle(self.incarnation, body)

    async def travel_to(self, other):
        """Return whether a message arrived at a process that still runs."""
        if not await self._cluster.network.deliver(self.process.name, other.process.name):
            return False
        await other.process.wait_while_paused()
        return other.process.alive


class Instance:
    """One incarnation after another of an instance."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.process = SimulatedProcess(name, cluster.rng)
        self._starts = itertools.count()
        self.tasks = TaskGroup()
        self.incarnation = ""

    def start(self):
        """Start a new process with a new incarnation."""
        cluster = self.cluster
        self.process = SimulatedProcess(self.name, cluster.rng)
        self.incarnation = f"{self.name}.{next(self._starts)}"
        self.replica = FakeReplica(self.process, self.incarnation, cluster.log, cluster.network)
        self.peers = FakePeers(cluster, self.process, self.incarnation)
        timing = cluster.timing
        self.authority = Authority(self.peers, self.replica, self.process, timing)
        parts = Parts(
            self.replica,
            self.peers,
            self.authority,
            self.process,
            timing,
            lambda address: FakeChannel(
                self.process,
                cluster.servers[cluster.names[address]],
                cluster.network,
                timing.server_timeout_ms / 1000,
            ),
            lambda name, slots, queue: Admission(
                name, slots, self.process, Durations(self.process), queue, rng=cluster.rng
            ),
        )
        self.coordinators = Coordinators(parts)
        for name, work in (
            ("replica", self.replica.run()),
            ("authority", self.authority.run()),
            ("coordinators", self.coordinators.run()),
            ("membership", self._stay_member()),
        ):
            self.tasks.start(name, work)
        for number in range(cluster.callers):
            self.tasks.start(("traffic", number), self._traffic())

    async def stop(self):
        """Kill the process."""
        self.process.alive = False
        lost, self.incarnation = self.incarnation, ""
        await self.tasks.stop_all()
        for other in self.cluster.instances.values():
            if other.incarnation:
                other.peers.lose(lost)

    async def _stay_member(self):
        """Join; start again as another incarnation when fenced."""
        own = self.incarnation
        while own not in self.replica.state.members:
            try:
                await self.replica.append(JoinRecord(**_member_fields(self.name, own)))
            except LogError:
                await self.process.sleep(0.05)
        while own in self.replica.state.members and not self.authority.refused_for_good():
            await self.process.sleep(0.02)
        self.cluster.tasks.start(("restart", own), self._restart())

    async def _restart(self):
        await self.stop()
        self.start()

    # Requests of callers

    async def _traffic(self):
        rng = self.cluster.rng
        while True:
            await self.process.sleep(rng.uniform(0.002, 0.03))
            await self.request(rng.choice(KEYS), rng.choice((0.004, 0.02, 0.02, 0.3)))

    async def request(self, key, work_s, deadline_s=1.0):
        """Carry one request the way an entry does; return its outcome."""
        state = self.replica.state
        owner = state.ownerships.get(partition_of(state, SERVICE, key)) if state.services else None
        if owner is None:
            return "no-owner"
        for server in dict.fromkeys((*reversed(owner.awaiting), owner.server)):
            coordination = state.coordinations.get(server)
            if coordination is not None:
                outcome = await self._attempt(key, work_s, deadline_s, server, coordination)
                if outcome != "moved":
                    return outcome
        return "moved"

    async def _attempt(self, key, work_s, deadline_s, server, coordination):
        cluster, target = self.cluster, coordination.incarnation
        asked = self.process.now()
        request_id = f"{self.incarnation}-{next(cluster.request_ids)}"
        ask = PermitRequest(
            request_id, server, SERVICE, "read", key, int(deadline_s * 1000), 0, "", "beridze"
        )
        try:
            permit = await self.peers.request(target, ask, deadline_s)
        except PeerUnavailableError:
            await self.peers.notify(target, PermitCancel(request_id))
            return "unreachable"
        if not permit.granted:
            return permit.reason
        outcome = "not-run"
        if self.process.now() < asked + permit.valid_ms / 1000:
            deadline = asyncio.get_running_loop().time() + deadline_s - (self.process.now() - asked)
            outcome = await self._send(cluster.servers[server], key, permit, work_s, deadline)
        await self.peers.notify(target, PermitReturn(permit.permit_id, outcome, 1.0))
        return outcome

    async def _send(self, server, key, permit, work_s, deadline):
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        if not server.alive:
            return "not-run"

        async def work():
            if not await self.cluster.network.deliver(self.process.name, server.name):
                return None
            outcome = await server.run(
                key, permit.partition, permit.token, work_s, deadline, sent_at
            )
            back = await self.cluster.network.deliver(server.name, self.process.name)
            return outcome if back else None

        # The server goes on with a request whose entry has given up.
        running = kept_task(work())
        try:
            left = max(0.01, deadline - loop.time())
            outcome = await within(self.process, left, asyncio.shield(running))
        except WaitTimeoutError:
            outcome = None
        return outcome or "unknown"


class Cluster:
    """Instances, servers, a log and a planner that repairs what fails."""

    def __init__(self, rng, fencing=(True, True, False), instances=4, callers=3):
        self.rng = rng
        self.timing = Timing()
        self.callers = callers
        self.network = SimulatedNetwork(rng)
        self.log = FakeLog()
        self.tasks = TaskGroup()
        self.request_ids = itertools.count()
        self.servers = {
            f"s{number}": FakeServer(f"s{number}", rng, checks)
            for number, checks in enumerate(fencing)
        }
        self.names = {f"127.0.0.1:{9000 + i}": name for i, name in enumerate(self.servers)}
        self.instances = {f"i{n}": Instance(self, f"i{n}") for n in range(instances)}
        self.planner = Planner(self)

    def instance_of(self, incarnation):
        """Return the instance that runs an incarnation now."""
        if incarnation == self.planner.incarnation:
            return self.planner
        named = self.instances.get(incarnation.partition(".")[0])
        return named if named is not None and named.incarnation == incarnation else None

    async def start(self):
        self.planner.start()
        for instance in self.instances.values():
            instance.start()
        await asyncio.sleep(0.2)
        self.planner.begin(self._ticket())
        await asyncio.sleep(1.5)

    def _ticket(self):
        service = Service(
            customer="beridze",
            shards=SHARDS,
            operations={"read": Operation(repeatable=True)},
            path_prefix="/portal/",
            # The fault cases wait for owners; refusals for a short contract would hide that.
            contract_ms=2_000,
        )
        servers = {
            name: Server(
                service=SERVICE,
                address=address,
                failure_domain="a",
                slots=2,
                checks_fencing=self.servers[name].fencing,
            )
            for address, name in self.names.items()
        }
        return Ticket(number=1, services={SERVICE: service}, servers=servers)

    async def stop(self):
        await self.tasks.stop_all()
        for instance in [*self.instances.values(), self.planner]:
            await instance.tasks.stop_all()

    def heal(self):
        """End every fault."""
        self.network.heal()
        self.log.available = True
        for instance in self.instances.values():
            instance.process.resume()
            if not instance.incarnation:
                instance.start()
        for server in self.servers.values():
            if not server.alive:
                server.restart()
            server.resume()

    def stop_traffic(self):
        callers, self.callers = self.callers, 0
        for instance in self.instances.values():
            for number in range(callers):
                instance.tasks.stop(("traffic", number))

    def break_connections(self, one, others):
        """Tell both ends of some connections that they have ended."""
        first = self.instances.get(one)
        for other in (self.instances.get(name) for name in others):
            if first and other and first.incarnation and other.incarnation:
                first.peers.lose(other.incarnation)
                other.peers.lose(first.incarnation)

    # Verdicts from the servers' own records

    def double_owners(self):
        """Return pairs of servers that held one partition, or worked on one key, at once."""
        now = asyncio.get_running_loop().time()
        held = [
            (name, since, until, server.name)
            for server in self.servers.values()
            if server.fencing
            for name, since, until in server.holdings()
        ]
        ran = [
            (run["key"], run["start"], run.get("end", now), server.name)
            for server in self.servers.values()
            for run in server.runs
        ]
        return [*_overlaps(held), *_overlaps(ran)]

    async def repaired(self, limit_s):
        """Wait until no assignment is lost; return those that are lost after the limit."""
        for _ in range(int(limit_s / CHECK_S)):
            if not self.lost_assignments():
                break
            await asyncio.sleep(CHECK_S)
        return self.lost_assignments()

    def lost_assignments(self):
        """Return partitions that no server serves by its coordinator."""
        state = self.log.state
        wanted = {shard_partition(SERVICE, n) for n in range(SHARDS)} | state.hot_keys.keys()
        return sorted(name for name in wanted if not self._served(state, name))

    def _served(self, state, partition):
        owner = state.ownerships.get(partition)
        if owner is None or owner.awaiting or not owner.server:
            return False
        coordination = state.coordinations[owner.server]
        instance = self.instance_of(coordination.incarnation)
        active = instance.coordinators._active.get(owner.server) if instance else None
        if active is None or not active.coordinator.serves(partition):
            return False
        grants = self.servers[owner.server].grants
        return {"partition": partition, "token": owner.token} in grants.held_partitions()

    def leaked_slots(self):
        """Return servers with slots in use although nothing runs, once traffic has stopped."""
        found = []
        for instance in self.instances.values():
            for name, active in instance.coordinators._active.items():
                records = active.coordinator.records
                if records.book.permits or records.admission.running:
                    found.append((instance.name, name, records.admission.running))
        return found


class Planner(Instance):
    """Fence silent instances, replace coordinators and voters, move partitions of lost servers."""

    def __init__(self, cluster):
        super().__init__(cluster, PLANNER)
        self._answered = {}
        self._missing = {}

    def start(self):
        self.incarnation = PLANNER
        self.replica = FakeReplica(self.process, PLANNER, self.cluster.log, self.cluster.network)
        self.peers = FakePeers(self.cluster, self.process, PLANNER)
        self.tasks.start("replica", self.replica.run())
        self.tasks.start("planner", self._plan_forever())

    def begin(self, ticket):
        """Write the first records."""
        log = self.cluster.log
        text = _json(unstructure(ticket))
        log.append("cli", TicketRecord(publisher="cli", text=text))
        log.append(PLANNER, JoinRecord(**_member_fields(PLANNER, PLANNER)))
        log.append(PLANNER, PlannerRecord(instance=PLANNER, incarnation=PLANNER, previous_epoch=-1))
        voters = [item.incarnation for item in self.cluster.instances.values()][:3]
        self.append(VotersProposedRecord, voters=tuple(voters))
        servers = list(self.cluster.servers)
        names = [item.incarnation for item in self.cluster.instances.values()]
        self.append(
            PlanRecord,
            coordinators=tuple(
                CoordinatorChange(server=server, incarnation=names[index % len(names)])
                for index, server in enumerate(servers)
            ),
            moves=tuple(
                Move(partition=shard_partition(SERVICE, n), target=servers[n % len(servers)])
                for n in range(SHARDS)
            ),
        )

    def append(self, kind, **fields):
        state = self.cluster.log.state
        if self.cluster.log.available:
            self.cluster.log.append(PLANNER, kind(epoch=state.planner_epoch, **fields))

    def move(self, partition, target):
        self.append(PlanRecord, moves=(Move(partition=partition, target=target),))

    def coordinate(self, server, incarnation):
        change = CoordinatorChange(server=server, incarnation=incarnation)
        self.append(PlanRecord, coordinators=(change,))

    def hot_key(self, key, hot):
        item = (HotKey(service=SERVICE, key=key),)
        self.append(PlanRecord, **{"hot_keys_added" if hot else "hot_keys_removed": item})

    async def _plan_forever(self):
        while True:
            await self.process.sleep(0.1)
            if not self.cluster.log.available or not self.replica.state.voters:
                continue
            await asyncio.gather(*(self._check(name) for name in self._others()))
            self._fence_absent()
            self._replace_coordinators()
            await self._replace_voters()
            await self._follow_servers()

    def _others(self):
        return [name for name in self.replica.state.members if name != PLANNER]

    async def _check(self, incarnation):
        now = self.process.now()
        try:
            await self.peers.request(incarnation, PositionRequest(), 0.1)
            self._answered[incarnation] = now
        except PeerUnavailableError:
            if now - self._answered.setdefault(incarnation, now) > SILENT_S:
                await self._fence(incarnation)

    async def _fence(self, incarnation):
        state = self.cluster.log.state
        known = dict.fromkeys((*state.voters, *state.pending_voters))
        voters = [voter for voter in known if voter != incarnation]
        replies = await asyncio.gather(*(self._attest(voter, incarnation) for voter in voters))
        attesters = tuple(voter for voter, yes in zip(voters, replies, strict=True) if yes)
        if has_quorum(state, attesters):
            name = incarnation.partition(".")[0]
            record = FenceRecord(instance=name, incarnation=incarnation, attesters=attesters)
            self.cluster.log.append(PLANNER, record)

    def _fence_absent(self):
        """Fence processes that the platform's list has not shown for its lag."""
        state, now = self.cluster.log.state, self.process.now()
        known = dict.fromkeys((*state.members, *state.voters, *state.pending_voters))
        for name in known:
            if self.cluster.instance_of(name) is not None or state.fenced.get(name, 0) < 0:
                self._missing.pop(name, None)
            elif now - self._missing.setdefault(name, now) > LIST_LAG_S:
                instance = name.partition(".")[0]
                record = FenceRecord(instance=instance, incarnation=name, absent=True)
                self.cluster.log.append(PLANNER, record)

    async def _attest(self, voter, incarnation):
        try:
            reply = await self.peers.request(voter, AttestRequest(incarnation), 0.1)
        except PeerUnavailableError:
            return False
        return isinstance(reply, AttestReply) and reply.attested

    def _replace_coordinators(self):
        state = self.cluster.log.state
        live = [name for name in state.members if name != PLANNER]
        for server, current in state.coordinations.items():
            if current.incarnation not in live and live:
                self.coordinate(server, self.cluster.rng.choice(live))

    async def _replace_voters(self):
        state = self.cluster.log.state
        kept = [name for name in state.voters if name in state.members]
        joined = [name for name in state.members if name != PLANNER]
        live = list(dict.fromkeys((*kept, *joined)))[:3]
        alive = [effective_voters(state, s) for s in (state.voters, state.pending_voters)]
        if all(alive):
            acks = await asyncio.gather(*(self._acked(v, state) for v in state.voters))
            acked = tuple(v for v, yes in zip(state.voters, acks, strict=True) if yes)
            self.append(VotersCommittedRecord, acks=acked)
        elif set(effective_voters(state, state.voters)) != set(live) and len(live) == 3:
            self.append(VotersProposedRecord, voters=tuple(live))

    async def _acked(self, voter, state):
        try:
            reply = await self.peers.request(voter, PositionRequest(), 0.1)
        except PeerUnavailableError:
            return False
        return reply.applied >= state.pending_offset

    async def _follow_servers(self):
        for instance in self.cluster.instances.values():
            if not instance.incarnation or not await self._reports(instance):
                continue
            for usage in instance.coordinators.usage():
                self._note_status(usage)

    async def _reports(self, instance):
        there = await self.cluster.network.deliver(instance.name, PLANNER)
        return there and not instance.process.paused

    def _note_status(self, usage):
        state = self.cluster.log.state
        if state.server_status.get(usage.server, STATUS_UP) == usage.status:
            return
        status = (ServerStatus(server=usage.server, status=usage.status),)
        up = [
            name
            for name in state.servers
            if name != usage.server and state.server_status.get(name, STATUS_UP) == STATUS_UP
        ]
        owned = [name for name, item in state.ownerships.items() if item.server == usage.server]
        moves = ()
        if usage.status == STATUS_DOWN and up:
            moves = tuple(
                Move(partition=name, target=self.cluster.rng.choice(up)) for name in owned
            )
        self.append(PlanRecord, server_status=status, moves=moves)


def _overlaps(spans):
    found, latest = [], {}
    for name, start, end, server in sorted(spans, key=lambda span: (span[0], span[1])):
        until, holder = latest.get(name, (0.0, server))
        if start < until and holder != server:
            found.append((name, holder, server, round(min(until, end) - start, 4)))
        if end > until or holder == server:
            latest[name] = (max(end, until if holder == server else 0.0), server)
    return found


def _member_fields(name, incarnation):
    return {
        "instance": name,
        "incarnation": incarnation,
        "peer_address": "127.0.0.1:1",
        "http_address": "127.0.0.1:2",
        "failure_domain": "a",
    }


def _json(data):
    import json

    return json.dumps(data)


__all__ = ["LOG", "Cluster"]
