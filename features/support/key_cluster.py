"""Simulated instances, servers and a store in virtual time, to test the ownership of key ranges.

The real leadership, key manager and plan writer run against fakes at their interfaces. Every
carried-out grant is checked: no two live servers have a lease of one key, and tokens only increase.
"""

import asyncio
import json
import random

from attrs import evolve, frozen

from hyssopwood.errors import (
    AppendConflictError,
    AppendUnconfirmedError,
    LogUnavailableError,
    PeerUnavailableError,
)
from hyssopwood.gateway.exchange import (
    ExchangeBrokenError,
    NotSentError,
    ServerAnswer,
    find_header,
)
from hyssopwood.gateway.route_table import CallerLimits, RouteTable, RouteTables, ServiceSpec
from hyssopwood.gateway.server_connection import CONNECT_TIMEOUT_S
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.server_reach import ServerReach
from hyssopwood.gateway.store_availability import StoreAvailability
from hyssopwood.keyspace.grant_channels import GrantChannels
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.key_manager import (
    STORE_REACHABLE_S,
    KeyManager,
    KeyManagerDependencies,
)
from hyssopwood.keyspace.leadership import Leadership, LeadershipDependencies
from hyssopwood.keyspace.link_codec import Heartbeat
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, Leader
from hyssopwood.keyspace.plan_codec import decode_leader, decode_plan, encode_leader, encode_plan
from hyssopwood.keyspace.plan_store import StoredPlan
from hyssopwood.keyspace.plan_view import PlanView
from hyssopwood.keyspace.position import era_of, offset_of, position_at
from hyssopwood.metrics import Metrics
from hyssopwood.platform.key_commands import PlatformKeyCommands
from hyssopwood.platform.names import RELEASE_PATH
from hyssopwood.supervisor import Child, Supervisor
from support.virtual_time import SimulatedProcess, VirtualLoop

SERVICE = "portal"
MAX_LEASE_S = 10.0
RESUME_SLACK_S = 0.3
# Factor by which a lease lasts longer on a server whose clock runs 2% slow, the platform's limit.
SLOW_CLOCK = 1 / 0.98
TABLE = RouteTable(
    version=1,
    routes=(),
    services={
        SERVICE: ServiceSpec(
            name=SERVICE, health_path="/health", max_connections=10, sharded=True, warm_s=1.0
        )
    },
    limits=CallerLimits(header_bytes=1, body_bytes=1, header_timeout_s=1, idle_timeout_s=1),
)


class Violation(Exception):
    """Raised when two servers have a lease of one key, or a token decreases."""


class FakeServer:
    """A server that carries out grants as the platform specifies."""

    def __init__(self, cluster, name, slow, address=None):
        self.cluster = cluster
        self.name = name
        self.address = address or f"10.0.0.1:{8000 + int(name[1:])}"
        # A crashed server's registration remains for some time, and a started server's appears
        # after some.
        self.listed_until = 0.0
        self.listed_from = 0.0
        self.lost_permanently = False
        self.slow = SLOW_CLOCK if slow else 1.0
        self.alive = True
        self.draining = False
        self.born_ms = 1
        self.registered_born_ms = 1
        self.leases = []
        self.granted_tokens = []

    @property
    def now(self):
        return self.cluster.loop.time()

    def record(self, sequence):
        return ServerRecord(
            server=self.name,
            service=SERVICE,
            address=self.address,
            failure_domain="d",
            slots=2,
            draining=self.draining,
            warmup_left_s=0.0,
            born_ms=self.listed_born_ms,
            sequence=sequence,
        )

    @property
    def listed(self):
        """Return whether the store has a registration of the server."""
        now = self.now
        return (self.alive and now >= self.listed_from) or now < self.listed_until

    @property
    def listed_born_ms(self):
        """Return the start time in the registration, which may be that of an earlier process."""
        if self.alive and self.now >= self.listed_from:
            self.registered_born_ms = self.born_ms
        return self.registered_born_ms

    def restart(self, registers_after_s=0.0):
        if self.lost_permanently or self.alive:
            # Another server may have its address now.
            return
        self.born_ms += 1
        self.alive = True
        self.leases, self.granted_tokens = [], []
        self.listed_from = self.now + registers_after_s

    def crash(self):
        self.alive = False
        self.leases = []

    def grant(self, command):
        """Carry out a grant; its lease starts at its arrival."""
        keys = command.keys
        for first, last, fence in self.granted_tokens:
            if first <= keys.last and keys.first <= last and fence > keys.fence:
                return False
        until = command.arrived + command.lease_s * self.slow
        self.granted_tokens = [item for item in self.granted_tokens if not _inside(item, keys)]
        self.granted_tokens.append((keys.first, keys.last, keys.fence))
        if until > self.now:
            self.drop_leases(keys)
            if not command.ignored:
                self.leases.append((keys.first, keys.last, keys.fence, until))
                self.cluster.check(self, keys)
        return True

    def drop_leases(self, keys):
        """Drop the leases of a range's keys."""
        kept = []
        for first, last, fence, until in self.leases:
            if last < keys.first or first > keys.last:
                kept.append((first, last, fence, until))
                continue
            if first < keys.first:
                kept.append((first, keys.first - 1, fence, until))
            if last > keys.last:
                kept.append((keys.last + 1, last, fence, until))
        self.leases = kept

    def current_leases(self):
        return [item for item in self.leases if item[3] > self.now]


def _inside(item, keys):
    return keys.first <= item[0] and item[1] <= keys.last


class FakeStore:
    """The store's conditional append, with outages, lost answers, late writes and restores.

    Conditions are offsets, which a restored store assigns again under a higher era.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.era = 1
        self.end = 0
        self.plan = None
        self.leader = None
        # Copies of the stored state by time, for restores.
        self.copies = [(0.0, 0, None, None)]
        self.down = False
        # Names of the instances that can't reach the store.
        self.disconnected = set()
        # Share of writes whose answer is lost; about half of these are applied late.
        self.answer_loss_rate = 0.0

    def _apply(self, at, plan, leader):
        if offset_of(at) != self.end:
            raise AppendConflictError(self.end)
        self.end += 1 if plan is None else 2
        self.leader = encode_leader(leader)
        if plan is not None:
            self.plan = encode_plan(plan)
        now = self.cluster.loop.time()
        self.copies.append((now, self.end, self.plan, self.leader))
        return position_at(self.era, self.end)

    def restore(self, at):
        """Restore the newest copy that isn't newer than a time."""
        self.copies = [item for item in self.copies if item[0] <= at] or self.copies[:1]
        _, self.end, self.plan, self.leader = self.copies[-1]
        self.era += 1

    async def _reach(self, process):
        await process.wait_while_paused()
        await asyncio.sleep(self.cluster.rng.uniform(0.002, 0.01))
        if self.down or process.name in self.disconnected or not process.alive:
            await asyncio.sleep(self.cluster.rng.choice((0.0, 1.0)))
            raise LogUnavailableError("down")

    async def load(self, process):
        await self._reach(process)
        await process.wait_while_paused()
        plan = None if self.plan is None else decode_plan(self.plan)
        leader = None if self.leader is None else decode_leader(self.leader)
        return StoredPlan(position_at(self.era, self.end), plan, leader)

    async def write(self, process, at, plan, leader):
        rng = self.cluster.rng
        try:
            await self._reach(process)
        except LogUnavailableError as error:
            raise AppendUnconfirmedError("down") from error
        if rng.random() < self.answer_loss_rate:
            if rng.random() < 0.5:
                self.cluster.later(rng.uniform(1.0, 6.0), self._apply_quietly, at, plan, leader)
            else:
                self._apply_quietly(at, plan, leader)
            raise AppendUnconfirmedError("lost")
        end = self._apply(at, plan, leader)
        await process.wait_while_paused()
        return end

    def _apply_quietly(self, at, plan, leader):
        try:
            self._apply(at, plan, leader)
        except AppendConflictError:
            return


class _StoreClient:
    """One process's client of the store, which tracks the era of the last answer."""

    def __init__(self, store, process):
        self._store, self._process = store, process
        self._era = 0

    async def load(self):
        stored = await self._store.load(self._process)
        self._era = era_of(stored.end_position)
        return stored

    async def write(self, at, plan, leader):
        if era_of(at) != self._era:
            raise AppendConflictError(position_at(self._era, 0))
        end = await self._store.write(self._process, at, plan, leader)
        self._era = era_of(end)
        return end


class _FakePool:
    """Exchanges of one instance with whoever listens at a server's address.

    Servers receive the bytes that the gateway sends, so a command that isn't addressed to the
    listening process is carried out by it. Commands may be delayed, lost or carried out late.
    """

    def __init__(self, cluster, process):
        self._cluster, self._process = cluster, process

    async def connect(self, address):
        """Open a connection to the process that listens at an address."""
        await self._process.wait_while_paused()
        await asyncio.sleep(self._cluster.rng.uniform(0.0005, 0.003))
        server = self._cluster.listener(address)
        if server is None or not self._process.alive:
            raise NotSentError("refused")
        if self._is_cut(server):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise NotSentError("no connection in time")
        return _FakeConnection(self, server, silent_end=self._cluster.rng.random() < 0.3)

    async def connect_to(self, record):
        """Open a connection to the process that listens at a server's address."""
        return await self.connect(record.address)

    async def exchange(self, record, request, before_sending=None):
        """Send a command over a new connection."""
        connection = await self.connect(record.address)
        if before_sending is not None:
            before_sending()
        return await connection.exchange(record.address, request, None)

    def _is_cut(self, server):
        return (self._process.name, server.name) in self._cluster.cut_links

    async def send(self, server, born_ms, request):
        """Send a command to the process that a connection belongs to."""
        cluster, rng = self._cluster, self._cluster.rng
        await self._process.wait_while_paused()
        if self._is_cut(server):
            return await self._fail_after(MAX_LEASE_S)
        # A grant that arrives this soon after a pause of its sender creates no lease; the platform
        # doesn't count such grants.
        ignored = cluster.loop.time() - self._process.resumed_at < RESUME_SLACK_S
        await asyncio.sleep(rng.uniform(0.0005, 0.003))
        if not server.alive or server.born_ms != born_ms or not self._process.alive:
            return await self._fail_after(0.0)
        if request.method == b"GET":
            return ServerAnswer(200, ((b"instance-id", server.name.encode()),), b"")
        command = _decode_command(request, ignored, cluster.loop.time())
        if command.addressee not in (None, server.name):
            return ServerAnswer(421, ((b"instance-id", server.name.encode()),), b"")
        if rng.random() < cluster.late_commands:
            delay = rng.uniform(2.0, 12.0)
            cluster.later(delay, self._carry_out, server, born_ms, command)
            return await self._fail_after(MAX_LEASE_S)
        if command.path == RELEASE_PATH:
            server.drop_leases(command.keys)
            await asyncio.sleep(rng.choice((0.001, 0.2)))
            cluster.releases += 1
            answer = ServerAnswer(200, ((b"handover", b"h%d" % cluster.releases),), b"")
        else:
            done = server.grant(command)
            answer = ServerAnswer(200 if done else 409, (), b"")
        if rng.random() < cluster.lost_commands:
            return await self._fail_after(MAX_LEASE_S)
        await self._process.wait_while_paused()
        return answer

    def abort_idle(self, record):
        """Reset the idle connections to a server."""

    async def _fail_after(self, seconds):
        await asyncio.sleep(seconds)
        raise ExchangeBrokenError("reset")

    def _carry_out(self, server, born_ms, command):
        if not server.alive or server.born_ms != born_ms:
            return
        if command.path == RELEASE_PATH:
            server.drop_leases(command.keys)
        else:
            server.grant(command)


class _FakeConnection:
    """A connection to one process of a server, which breaks it when it ends, or doesn't."""

    def __init__(self, pool, server, silent_end):
        self._pool, self._server, self._silent_end = pool, server, silent_end
        self._born_ms = server.born_ms
        self._aborted = False

    @property
    def ended(self):
        return self._aborted or (not self._silent_end and not self._reaches_process)

    @property
    def _reaches_process(self):
        return self._server.alive and self._server.born_ms == self._born_ms

    async def exchange(self, address, request, id_header):
        try:
            return await self._pool.send(self._server, self._born_ms, request)
        except (ExchangeBrokenError, asyncio.CancelledError):
            self._aborted = True
            raise

    def close(self):
        self._aborted = True


@frozen
class _Command:
    """A command as a server reads it."""

    path: str
    keys: KeyRange
    lease_s: float
    addressee: str | None
    arrived: float
    # The command creates no lease, as its sender has just resumed.
    ignored: bool


def _decode_command(request, ignored, arrived):
    body = json.loads(request.body)
    addressee = find_header(
        tuple((name.lower(), value) for name, value in request.headers), b"target-instance"
    )
    return _Command(
        path=request.target.decode(),
        keys=KeyRange(body["from_revision"], body["to"], "", 0, body["fence"]),
        lease_s=body.get("hold_s", 0.0),
        addressee=None if addressee is None else addressee.decode(),
        arrived=arrived,
        ignored=ignored,
    )


class _CommandClient:
    """The real commands of one instance, whose answers wait while the instance is paused."""

    def __init__(self, cluster, process):
        pool = _FakePool(cluster, process)
        self._commands = PlatformKeyCommands(pool, GrantChannels(pool.connect_to))
        self._process = process

    async def grant(self, server, keys, lease_s, handover, channel):
        return await self._finish(self._commands.grant(server, keys, lease_s, handover, channel))

    async def release(self, server, keys, limit_s, before_sending):
        return await self._finish(self._commands.release(server, keys, limit_s, before_sending))

    async def identify(self, server, health_path):
        return await self._finish(self._commands.identify(server, health_path))

    async def _finish(self, command):
        answer = await command
        await self._process.wait_while_paused()
        return answer


class _FakeLink:
    """A link that follows another instance in the same test."""

    def __init__(self, cluster, instance):
        self._cluster, self._instance = cluster, instance
        self.heartbeat = None

    async def follow(self, address, stay):
        silent = 0.0
        while True:
            leader = self._cluster.at_address(address)
            names = (self._instance.name, leader.name if leader else "")
            reached = (
                leader is not None
                and leader.process.alive
                and not leader.process.paused
                and leader.leadership.leading
                and not self._cluster.cut_links & {names, names[::-1]}
            )
            silent = 0.0 if reached else silent + 0.3
            if silent > 1.2:
                raise PeerUnavailableError("no link")
            if reached:
                if leader.view.plan is not None:
                    self._instance.view.offer(leader.view.plan, "leader")
                if not stay(Heartbeat(leader.leadership.store_age_s())):
                    return
            await self._instance.process.sleep(0.3)


class _Instance:
    def __init__(self, cluster, name, number):
        self.cluster = cluster
        self.name = name
        self.address = f"10.1.0.{number}:7000"
        self.starts = 0
        self.start()

    def start(self):
        cluster, self.starts = self.cluster, self.starts + 1
        cluster.handle_instance_start(self.name)
        self.process = SimulatedProcess(self.name, cluster.rng)
        self.process.resumed_at = float("-inf")
        self.directory = ServerDirectory()
        self.view = PlanView(self.process)
        self.tables = RouteTables()
        self.tables.offer(TABLE)
        self.load = KeyLoad(self.process)
        self.sequence = 0
        self.stopping = False
        self.leadership = Leadership(
            LeadershipDependencies(
                store=_StoreClient(cluster.store, self.process),
                identity=Leader(self.name, f"{self.name}.{self.starts}", self.address),
                view=self.view,
                link=_FakeLink(cluster, self),
                timers=self.process,
                rng=cluster.rng,
                availability=StoreAvailability(self.process, cluster.rng),
                lead=self.lead,
                may_lead=lambda: not self.stopping,
                first_start=self.starts == 1,
                wait_hand_over=self.wait_hand_over,
                is_cut_off=lambda: self.reach.any_cut_off,
            )
        )
        # Probes have random numbers of their own, so that the other faults of a seed stay the same.
        self.probe_rng = random.Random(self.name)
        self.reach = ServerReach(
            self.directory, self.probe, self.close_probe, self.process, Metrics(), self.probe_rng
        )
        self.supervisor = Supervisor(self.name, self.process)
        self.supervisor.start(Child("leadership", self.leadership.run))
        self.supervisor.start(Child("directory", self.follow_servers))

    def resume(self, process):
        process.resumed_at = self.cluster.loop.time()
        process.resume()

    async def wait_hand_over(self):
        claimed_at = self.process.now()
        while True:
            await self.reach.wait_cut_off()
            since_claim = self.reach.cut_off_since >= claimed_at
            if since_claim and self.leadership.store_age_s() <= STORE_REACHABLE_S:
                return
            await self.process.sleep(0.2)

    async def probe(self, address, timeout_s):
        await asyncio.sleep(self.probe_rng.uniform(0.0005, 0.003))
        server = self.cluster.listener(address)
        if server is not None and (self.name, server.name) in self.cluster.cut_links:
            await asyncio.sleep(timeout_s)
            server = None
        if server is None or not self.process.alive:
            raise NotSentError("no connection")

    def close_probe(self, server, connection):
        """Discard a probe's connection."""

    async def stop(self):
        self.process.alive = False
        self.reach.close()
        self.process.resume()
        await self.supervisor.stop_all()

    async def lead(self, claim):
        manager = KeyManager(
            KeyManagerDependencies(
                writer=claim.writer,
                authority=claim.authority,
                commands=_CommandClient(self.cluster, self.process),
                tables=self.tables,
                directory=self.directory,
                load=self.load,
                limits=ServerLimits(self.process, Metrics()),
                reach=self.reach,
                timers=self.process,
                metrics=Metrics(),
                publish=lambda plan, change: self.view.offer(plan, "own"),
                pause=self.view.pause,
                max_lease_s=MAX_LEASE_S,
            )
        )
        manager.inherit(claim.plan, claim.predecessor_ended, claim.writes_lost_by)
        self.cluster.record_leader(manager, claim.predecessor)
        await manager.run()

    async def follow_servers(self):
        async for now in self.process.ticks(0.6):
            if self.cluster.store.down or self.name in self.cluster.store.disconnected:
                continue
            self.sequence += 1
            present = []
            for server in self.cluster.servers.values():
                if server.listed and server.name not in self.cluster.unregistered:
                    self.directory.put(server.record(self.sequence))
                    present.append(server.name)
            for record in self.cluster.other_entries:
                self.directory.put(evolve(record, sequence=self.sequence))
                present.append(record.server)
            self.directory.retain(present, now, with_grace=False)
            for key in range(0, KEY_COUNT, KEY_COUNT // 16):
                self.load.record_requests(SERVICE, key + self.cluster.hot, 1.0 if key else 8.0)


class KeyCluster:
    """Run instances and servers through a seeded schedule of faults."""

    def __init__(self, seed, instances=3, servers=4):
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.cut_links = set()
        self.unregistered = set()
        # Entries that no server has written.
        self.other_entries = []
        self.late_commands = 0.0
        self.lost_commands = 0.0
        self.hot = 0
        self.tokens = []
        self.managers = []
        self.violations = []
        self.grants = 0
        self.releases = 0
        self.store = FakeStore(self)
        self.servers = {
            f"s{index}": FakeServer(self, f"s{index}", self.rng.random() < 0.5)
            for index in range(1, servers + 1)
        }
        self.instances = []
        self._instance_count = instances

    def later(self, delay, work, *arguments):
        self.loop.call_later(delay, work, *arguments)

    def listener(self, address):
        """Return the live server that listens at an address, or None."""
        for server in self.servers.values():
            if server.alive and server.address == address:
                return server
        return None

    def at_address(self, address):
        for instance in self.instances:
            if instance.address == address:
                return instance
        return None

    def check(self, grantee, keys):
        """Record a violation if another live server has a lease of a key, or tokens decrease."""
        self.grants += 1
        for server in self.servers.values():
            if server is grantee or not server.alive:
                continue
            for first, last, fence, until in server.current_leases():
                if first <= keys.last and keys.first <= last:
                    self.violations.append(
                        f"{self.loop.time():.2f}: {grantee.name} got keys {keys.first}-{keys.last} "
                        f"under token {keys.fence}; {server.name} has a lease under token {fence} "
                        f"for another {until - self.loop.time():.2f} s"
                    )
        for first, last, fence, owner in self.tokens:
            overlaps = first <= keys.last and keys.first <= last
            if overlaps and owner != (grantee.name, grantee.born_ms) and fence >= keys.fence:
                self.violations.append(
                    f"{grantee.name} was granted token {keys.fence} after {fence}"
                )
        self.tokens = [item for item in self.tokens if not _inside(item, keys)]
        self.tokens.append((keys.first, keys.last, keys.fence, (grantee.name, grantee.born_ms)))

    def record_leader(self, manager, predecessor):
        """Record the leader, which is notified when the previous leader's process has ended."""
        self.managers = [(manager, predecessor)]

    def handle_instance_start(self, instance):
        """Notify the leader if the previous leader's instance starts a new process."""
        for manager, predecessor in self.managers:
            if predecessor is not None and predecessor.instance == instance:
                self.later(0.5, manager.handle_predecessor_ended)

    def owned_share(self):
        """Return the share of keys with a current lease of a live server."""
        leases = [
            item
            for server in self.servers.values()
            if server.alive
            for item in server.current_leases()
        ]
        return sum(last - first + 1 for first, last, _, _ in leases) / KEY_COUNT

    def leaders(self):
        return [item for item in self.instances if item.leadership.leading]

    async def start(self):
        self.started_at = self.loop.time()
        for number in range(1, self._instance_count + 1):
            self.instances.append(_Instance(self, f"i{number}", number))

    def _start_all(self):
        for instance in self.instances:
            instance.start()

    async def stop(self):
        for instance in self.instances:
            await instance.stop()

    def run(self, work):
        """Run a coroutine until it completes in virtual time."""
        try:
            return self.loop.run_until_complete(work)
        finally:
            self.loop.close()

    async def fault(self, kind):
        """Start one fault; most end by themselves."""
        instance = self.rng.choice(self.leaders() or self.instances)
        server = self.rng.choice(list(self.servers.values()))
        await getattr(self, "_" + kind.replace("-", "_"))(instance, server)

    def _span(self):
        return self.rng.uniform(1.0, 9.0)

    def _for_a_while(self, items, item):
        items.add(item)
        self.later(self._span(), items.discard, item)

    def _set_for_a_while(self, owner, name, value, usual):
        setattr(owner, name, value)
        self.later(self._span(), setattr, owner, name, usual)

    async def _store_down(self, instance, server):
        self._set_for_a_while(self.store, "down", True, False)

    async def _store_cut(self, instance, server):
        self._for_a_while(self.store.disconnected, instance.name)

    async def _store_restored(self, instance, server):
        """Restore the store, after a short outage, from a copy that is some seconds old."""
        copied = self.loop.time() - self.rng.uniform(0.05, 6.0)
        self.store.down = True
        await asyncio.sleep(self.rng.choice((0.05, 0.4, 1.5, 3.0)) * self.rng.uniform(0.5, 1.0))
        self.store.restore(copied)
        self.store.down = False

    async def _store_lost(self, instance, server):
        self._set_for_a_while(self.store, "answer_loss_rate", 0.4, 0.0)

    async def _late_commands(self, instance, server):
        self._set_for_a_while(self, "late_commands", 0.4, 0.0)

    async def _lost_commands(self, instance, server):
        self._set_for_a_while(self, "lost_commands", 0.4, 0.0)

    async def _server_cut(self, instance, server):
        self._for_a_while(self.cut_links, (instance.name, server.name))

    async def _instance_off_servers(self, instance, server):
        """Cut all links of an instance, mostly the leader, to the servers."""
        for name in self.servers:
            self.cut_links.add((instance.name, name))
        self.later(self._span(), self._reconnect, instance.name)

    def _reconnect(self, name):
        self.cut_links -= {(name, server) for server in self.servers}

    async def _server_unregistered(self, instance, server):
        self._for_a_while(self.unregistered, server.name)

    async def _server_crash(self, instance, server):
        server.crash()
        self.later(self._span(), server.restart)

    async def _server_reuse(self, instance, server):
        """Lose a server permanently; another one gets its address while it is still listed."""
        if not server.alive or len(self.servers) >= 8:
            return
        server.crash()
        server.lost_permanently = True
        server.listed_until = self.loop.time() + 4.5
        self.later(2.0, self._add_server, server.address)

    async def _server_succeeded(self, instance, server):
        """Lose a server; another one starts at its address soon, and registers after that."""
        if not server.alive or len(self.servers) >= 8:
            return
        server.crash()
        server.lost_permanently = True
        server.listed_until = self.loop.time() + self.rng.uniform(2.0, 3.5)
        self.later(self.rng.uniform(0.05, 2.0), self._add_server, server.address, 1.5)

    async def _server_reborn(self, instance, server):
        """Crash a server that soon starts again under its id, and registers after that."""
        if not server.alive:
            return
        server.crash()
        server.listed_until = self.loop.time() + self.rng.uniform(2.0, 3.5)
        self.later(self.rng.uniform(0.05, 2.0), server.restart, self.rng.uniform(0.0, 1.5))

    def _add_server(self, address, max_registration_delay_s=0.0):
        name = f"s{len(self.servers) + 1}"
        server = FakeServer(self, name, self.rng.random() < 0.5, address)
        server.born_ms = server.registered_born_ms = int(self.loop.time() * 1000)
        server.listed_from = self.loop.time() + self.rng.uniform(0.0, max_registration_delay_s)
        self.servers[name] = server

    async def _server_drains(self, instance, server):
        server.draining = not server.draining

    async def _instance_cut(self, instance, server):
        other = self.rng.choice(self.instances)
        self._for_a_while(self.cut_links, (instance.name, other.name))

    async def _instance_pause(self, instance, server):
        instance.process.pause()
        self.later(self._span(), instance.resume, instance.process)

    async def _instance_kill(self, instance, server):
        await instance.stop()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        instance.start()

    async def _instance_term(self, instance, server):
        instance.stopping = True
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        await instance.stop()
        instance.start()

    async def _kill_all(self, instance, server):
        for item in self.instances:
            await item.stop()
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        for item in self.instances:
            item.start()

    async def _hot(self, instance, server):
        self.hot = self.rng.randrange(KEY_COUNT // 16)

    async def explore(self, span_s, faults, calm_s):
        """Run a random schedule and return the share of keys owned some time after it."""
        await self.start()
        await asyncio.sleep(calm_s)
        end = self.loop.time() + span_s
        while self.loop.time() < end:
            await self.fault(self.rng.choice(faults))
            await asyncio.sleep(self.rng.expovariate(0.8))
        for server in self.servers.values():
            server.draining = False
        await asyncio.sleep(40.0)
        share = self.owned_share()
        await self.stop()
        return share

    async def lose_server_without_store(self, outage_s):
        """Crash a server early in an outage of the store; return the minimum share owned."""
        await self.start()
        await asyncio.sleep(8.0)
        self.store.down = True
        self.later(outage_s, setattr, self.store, "down", False)
        await asyncio.sleep(0.5)
        self.servers["s1"].crash()
        least = 1.0
        for _ in range(int(outage_s / 0.25)):
            await asyncio.sleep(0.25)
            least = min(least, self.owned_share())
        await self.stop()
        return least

    async def cut_leader_off(self, cut_s):
        """Cut the leader from all servers; return the minimum share owned until after the cut."""
        await self.start()
        await asyncio.sleep(8.0 + self.rng.uniform(0.0, 1.5))
        leader = self.leaders()[0]
        self.cut_links |= {(leader.name, name) for name in self.servers}
        self.later(cut_s, self._reconnect, leader.name)
        least = 1.0
        for _ in range(int((cut_s + 6.0) / 0.1)):
            await asyncio.sleep(0.1)
            least = min(least, self.owned_share())
        await self.stop()
        return least

    async def run_two_leaders(self):
        """Cut the leader from the store and its peers; a server drains under the next leader."""
        await self.start()
        await asyncio.sleep(6.0)
        leader = self.leaders()[0]
        self.store.disconnected.add(leader.name)
        for instance in self.instances:
            self.cut_links.add((instance.name, leader.name))
        while len(self.leaders()) < 2:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        self.servers["s1"].draining = True
        await asyncio.sleep(20.0)
        await self.stop()

    async def lose_server_after_claim(self):
        """Lose the leader and, soon after the next claim, a server; return the recovery time."""
        await self.start()
        await asyncio.sleep(6.0)
        leader = self.leaders()[0]
        await leader.stop()
        while not any(item is not leader for item in self.leaders()):
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        self.servers["s1"].crash()
        self.servers["s1"].lost_permanently = True
        lost_at = self.loop.time()
        while self.owned_share() < 0.999:
            await asyncio.sleep(0.05)
        elapsed_s = self.loop.time() - lost_at
        await self.stop()
        return elapsed_s

    async def crash_server(self, successor, outage_s):
        """Crash a server; return how long some of the keys have no owner.

        Its successor starts at its address 0.2 to 1.5 s later and registers after another 0.7 s: a
        server with another id, or a later start of the same one, or there is none. The store may be
        unavailable from shortly before the crash on.
        """
        await self.start()
        await asyncio.sleep(6.0)
        server = self.servers["s1"]
        if outage_s:
            self.store.down = True
            self.later(outage_s, setattr, self.store, "down", False)
            await asyncio.sleep(0.5)
        await asyncio.sleep(self.rng.uniform(0.0, 1.4))
        server.crash()
        server.listed_until = self.loop.time() + 2.6
        started_s = self.rng.uniform(0.2, 1.5)
        if successor == "another server":
            server.lost_permanently = True
            self.later(started_s, self._add_server, server.address, 0.7)
        elif successor == "a later start of it":
            self.later(started_s, server.restart, 0.7)
        crashed_at = self.loop.time()
        while self.owned_share() < 0.999:
            await asyncio.sleep(0.05)
        elapsed_s = self.loop.time() - crashed_at
        await asyncio.sleep(10.0)
        await self.stop()
        return elapsed_s

    async def add_other_entry(self, server, address_of):
        """Add an entry of a later start than that of any server; then server s1 drains.

        Return for how long some of the keys have no owner.
        """
        await self.start()
        await asyncio.sleep(6.0)
        record = self.servers[address_of].record(1)
        born_ms = int(self.loop.time() * 1000)
        self.other_entries.append(evolve(record, server=server, born_ms=born_ms))
        await asyncio.sleep(1.2)
        self.servers["s1"].draining = True
        unowned_s = 0.0
        for _ in range(300):
            await asyncio.sleep(0.05)
            unowned_s += 0.05 if self.owned_share() < 0.999 else 0.0
        await self.stop()
        return unowned_s

    async def lose_plan(self, last):
        """Restore the store to before its first use, and lose the instances that know the plan.

        All instances restart, but for the last one: that is "none" of them, or one that reached
        neither the store nor another instance "from its start" or "from its first read" on. With
        "none, twice" the next leader is lost as well, and with "none, after a claim" the store
        keeps the record of a leader. Return the time without an owner from the restore on.
        """
        await self.start()
        lone = None if last.startswith("none") else self.instances[-1]
        if lone is not None:
            if last == "from its first read":
                await asyncio.sleep(0.2)
            self.store.disconnected.add(lone.name)
            self.cut_links |= {(item.name, lone.name) for item in self.instances}
        await asyncio.sleep(6.0)
        # The keys are divided otherwise the next time.
        self._add_server("10.0.0.1:8005")
        await asyncio.sleep(3.0)
        for instance in self.instances:
            if instance is not lone:
                await instance.stop()
        self.store.restore(self.started_at + 0.5 if last == "none, after a claim" else 0.0)
        assert self.store.plan is None
        restored_at = self.loop.time()
        self.store.disconnected.clear()
        self.cut_links.clear()
        if lone is None:
            self._start_all()
        if last == "none, twice":
            await asyncio.sleep(3.0)
            for instance in self.instances:
                await instance.stop()
            self._start_all()
        await self._wait_owned_by_leader()
        elapsed_s = self.loop.time() - restored_at
        await asyncio.sleep(6.0)
        await self.stop()
        return elapsed_s

    async def start_first(self, killed_after_s):
        """Start for the first time; return the time until all keys are owned.

        All instances may be killed once after some time, where the store keeps what it has.
        """
        await self.start()
        if killed_after_s:
            await asyncio.sleep(killed_after_s)
            for instance in self.instances:
                await instance.stop()
            self._start_all()
        started_at = self.loop.time()
        await self._wait_owned_by_leader()
        elapsed_s = self.loop.time() - started_at
        await self.stop()
        return elapsed_s

    async def _wait_owned_by_leader(self):
        """Wait until all keys are owned by grants of the present leader."""
        while not self.leaders() or self.leaders()[0].view.plan is None:
            await asyncio.sleep(0.02)
        while self.owned_share() < 0.999:
            await asyncio.sleep(0.02)

    async def lose_rival_claim(self):
        """Let a rival move keys, and the store lose its claim; the previous leader continues."""
        await self.start()
        await asyncio.sleep(6.0)
        leader = self.leaders()[0]
        before = self.loop.time()
        self.store.disconnected.add(leader.name)
        others = [*(item.name for item in self.instances if item is not leader), *self.servers]
        self.cut_links |= {(leader.name, name) for name in others}
        while len(self.leaders()) < 2:
            await asyncio.sleep(0.05)
        rival = next(item for item in self.leaders() if item is not leader)
        self.servers["s1"].draining = True
        while self.servers["s1"].current_leases():
            await asyncio.sleep(0.05)
        self.servers["s1"].draining = False
        self.store.disconnected.add(rival.name)
        self.store.restore(before)
        self.store.disconnected.discard(leader.name)
        self.cut_links -= {(leader.name, name) for name in self.servers}
        # The leader has to move the keys of a server from which the rival has moved them already.
        self.servers["s1"].draining = True
        await asyncio.sleep(4.0)
        resumed = leader.leadership.leading and self.store.era == 2
        self.store.disconnected.clear()
        self.cut_links.clear()
        await asyncio.sleep(40.0)
        share = self.owned_share()
        await self.stop()
        return resumed, share

    async def lose_leader_and_server(self):
        """Lose the leader permanently, and all connections to a server that keeps running."""
        await self.start()
        await asyncio.sleep(6.0)
        leader = self.leaders()[0]
        self.unregistered.add("s1")
        for instance in self.instances:
            self.cut_links.add((instance.name, "s1"))
        await leader.stop()
        await asyncio.sleep(30.0)
        share = self.owned_share()
        await self.stop()
        return share

    async def lose_registration_beside_leader(self):
        """Lose the leader and a server's entry, which returns after the next leader has claimed.

        Return the time until all keys are owned again since the server's entry is back.
        """
        await self.start()
        await asyncio.sleep(6.0)
        leader = self.leaders()[0]
        self.unregistered.add("s1")
        await leader.stop()
        while not any(item is not leader for item in self.leaders()):
            await asyncio.sleep(0.05)
        await asyncio.sleep(4.8)
        self.unregistered.discard("s1")
        returned_at = self.loop.time()
        while self.owned_share() < 0.999:
            await asyncio.sleep(0.05)
        elapsed_s = self.loop.time() - returned_at
        await self.stop()
        return elapsed_s

    async def isolate_leader(self):
        """Cut the leader from the store for long, and a server from everyone but that leader."""
        await self.start()
        await asyncio.sleep(6.0)
        leader = self.leaders()[0]
        self.store.disconnected.add(leader.name)
        self.unregistered.add("s1")
        for instance in self.instances:
            if instance is not leader:
                self.cut_links.add((instance.name, "s1"))
                self.cut_links.add((instance.name, leader.name))
        await asyncio.sleep(60.0)
        await self.stop()


FAULTS = (
    "store-down",
    "store-cut",
    "store-lost",
    "late-commands",
    "lost-commands",
    "server-cut",
    "server-unregistered",
    "server-crash",
    "server-drains",
    "server-reuse",
    "server-succeeded",
    "server-reborn",
    "instance-cut",
    "instance-pause",
    "instance-kill",
    "instance-term",
    "kill-all",
    "hot",
)


# All other faults, and restores in which the store loses acknowledged writes.
RESTORE_FAULTS = (*FAULTS, *["store-restored"] * 6)


# All other faults, and instances that reach no server while all else reaches them.
CUT_OFF_FAULTS = (*FAULTS, *["instance-off-servers"] * 8)


def explore_cut_off(seed):
    """Run one schedule with instances that reach no server; return what `explore` returns."""
    return explore(seed, faults=CUT_OFF_FAULTS)


def explore_restores(seed):
    """Run one schedule with restores of the store; return what `explore` returns."""
    return explore(seed, faults=RESTORE_FAULTS)


def explore_first_seconds(seed):
    """Run one schedule that begins with the first start; return what `explore` returns."""
    # A restore soon after the first start, with all instances lost, leaves no trace of a plan.
    faults = (*RESTORE_FAULTS, *["kill-all"] * 8)
    return explore(seed, faults=faults, calm_s=random.Random(seed).uniform(0.0, 5.0))


def explore(seed, span_s=20.0, faults=FAULTS, calm_s=6.0):
    """Run one schedule; return its violations, the share of keys owned at its end, and grants."""
    cluster = KeyCluster(seed)
    share = cluster.run(cluster.explore(span_s, faults, calm_s))
    return cluster.violations, share, cluster.grants


def lose_server_without_store(seed, outage_s):
    """Simulate a server's loss in an outage; return the minimum share of keys owned."""
    cluster = KeyCluster(seed)
    return cluster.run(cluster.lose_server_without_store(outage_s))


def cut_leader_off(seed, cut_s):
    """Cut a leader from all servers; return the violations and the minimum share of keys owned."""
    cluster = KeyCluster(seed)
    least = cluster.run(cluster.cut_leader_off(cut_s))
    return cluster.violations, least


def run_two_leaders(seed):
    """Simulate two concurrent leaders; return the violations."""
    cluster = KeyCluster(seed)
    cluster.run(cluster.run_two_leaders())
    return cluster.violations


def lose_leader_and_server(seed):
    """Simulate the loss of a leader and of all connections to a server.

    Return the violations and the share of keys owned at the end.
    """
    cluster = KeyCluster(seed)
    share = cluster.run(cluster.lose_leader_and_server())
    return cluster.violations, share


def lose_registration_beside_leader(seed):
    """Simulate the loss of a leader and of a server's entry that returns.

    Return the violations and the time without an owner after the return.
    """
    cluster = KeyCluster(seed)
    elapsed_s = cluster.run(cluster.lose_registration_beside_leader())
    return cluster.violations, elapsed_s


def lose_server_after_claim(seed):
    """Simulate a server's loss soon after its leader's; return violations and recovery time."""
    cluster = KeyCluster(seed)
    elapsed_s = cluster.run(cluster.lose_server_after_claim())
    return cluster.violations, elapsed_s


def crash_server(seed, successor, outage_s):
    """Simulate a server's crash; return violations and the time without an owner."""
    cluster = KeyCluster(seed)
    elapsed_s = cluster.run(cluster.crash_server(successor, outage_s))
    return cluster.violations, elapsed_s


def add_other_entry(seed, server, address_of):
    """Simulate an entry that no server wrote; return violations and the time without an owner."""
    cluster = KeyCluster(seed)
    elapsed_s = cluster.run(cluster.add_other_entry(server, address_of))
    return cluster.violations, elapsed_s


def lose_plan(seed, last):
    """Simulate a store without a plan after all was divided; return violations and the time."""
    cluster = KeyCluster(seed)
    elapsed_s = cluster.run(cluster.lose_plan(last))
    return cluster.violations, elapsed_s


def start_first(seed, killed_after_s):
    """Simulate a first start; return violations and the time until all keys are owned."""
    cluster = KeyCluster(seed)
    elapsed_s = cluster.run(cluster.start_first(killed_after_s))
    return cluster.violations, elapsed_s


def lose_rival_claim(seed):
    """Simulate a rival claim that the store loses.

    Return the violations, whether the leader continued, and the share of keys owned at the end.
    """
    cluster = KeyCluster(seed)
    resumed, share = cluster.run(cluster.lose_rival_claim())
    return cluster.violations, resumed, share


def isolate_leader(seed):
    """Simulate a leader without the store; return the violations."""
    cluster = KeyCluster(seed)
    cluster.run(cluster.isolate_leader())
    return cluster.violations
