"""A leader's key manager in virtual time, with servers in several failure domains."""

import asyncio
import random

from hyssopwood.gateway.evacuations import Evacuations
from hyssopwood.gateway.route_table import RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.keyspace.authority import Authority
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.key_manager import CommandAnswer, KeyManager, KeyManagerDependencies
from hyssopwood.keyspace.plan import Leader, Plan, divide_evenly
from hyssopwood.keyspace.plan_writer import PlanWriter
from hyssopwood.metrics import Metrics
from support.steady_reach import SteadyReach
from support.virtual_time import SimulatedProcess

SERVICE = "portal"
FIRST_VERSION = 8
CONFIRM_INTERVAL_S = 0.7
SERVERS_PER_DOMAIN = 3


def server_record(name, domain):
    return ServerRecord(
        server=name,
        service=SERVICE,
        address=f"{name}:1",
        failure_domain=domain,
        slots=2,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
        sequence=1,
    )


class _Store:
    """A store that accepts every write after a few milliseconds."""

    def __init__(self):
        self.end = 10

    async def write(self, at, plan, leader):
        await asyncio.sleep(0.004)
        self.end += 1 if plan is None else 2
        return self.end


class _Commands:
    """Servers that carry out every command; records the grants."""

    def __init__(self, timers):
        self.timers = timers
        self.grants = []

    async def grant(self, server, keys, lease_s, handover, channel):
        self.grants.append((self.timers.now(), server.server, keys))
        return CommandAnswer(done=True)

    async def release(self, server, keys, limit_s, before_sending):
        before_sending()
        return CommandAnswer(done=True)


class EvacuatingLeader:
    """A leader whose keys are owned by servers in the given domains."""

    def __init__(self, domains, bound_s):
        self.timers = SimulatedProcess("i1", random.Random(1))
        self.evacuations = Evacuations(self.timers, Metrics())
        self.directory = ServerDirectory()
        self.evacuations.subscribe(self.directory.set_evacuated)
        self.bound_s = bound_s
        for domain in domains:
            for number in range(SERVERS_PER_DOMAIN):
                self.directory.put(server_record(f"{domain}{number}", domain))
        authority = Authority()
        self.writer = PlanWriter(_Store(), Leader("i1", "1", "i1:1"), authority, self.timers, 10)
        self.commands = _Commands(self.timers)
        self.manager = KeyManager(
            KeyManagerDependencies(
                writer=self.writer,
                authority=authority,
                commands=self.commands,
                tables=RouteTables(),
                directory=self.directory,
                load=KeyLoad(self.timers),
                limits=ServerLimits(self.timers, Metrics()),
                reach=SteadyReach(),
                timers=self.timers,
                metrics=Metrics(),
                publish=self._publish,
                pause=lambda pause: None,
                max_lease_s=10.0,
                evacuated_until=self._evacuated_until,
            )
        )
        # Times at which plans were published, and the owners that each names.
        self.plans = []
        self._tasks = []

    def _evacuated_until(self, record):
        learned_at = self.evacuations.learned_at(record.failure_domain)
        return None if learned_at is None else learned_at + self.bound_s / 2

    def _publish(self, plan, change):
        self.plans.append((self.timers.now(), {keys.server for _, keys in plan.ranges()}))

    @property
    def started(self):
        return bool(self._tasks)

    async def start(self, predecessor_ended):
        incarnations = tuple(record.incarnation for record in self.directory.records())
        plan = Plan(FIRST_VERSION, {SERVICE: divide_evenly(incarnations, FIRST_VERSION)})
        self.manager.inherit(await self.writer.claim(plan), predecessor_ended)
        self._tasks = [
            asyncio.ensure_future(self.manager.run()),
            asyncio.ensure_future(self._confirm()),
        ]

    async def _confirm(self):
        async for _ in self.timers.ticks(CONFIRM_INTERVAL_S):
            await self.writer.confirm()

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
