"""A small deployment in several failure domains whose servers record what reaches them."""

import asyncio
import itertools
import time

import aiohttp
from attrs import frozen

from hyssopwood.errors import LogUnavailableError
from hyssopwood.keyspace.plan import KEY_COUNT
from hyssopwood_standins.key_server import KeyServer
from support.gateway_deployment import Deployment

EVACUATE_S = 5.0
# Requests per second at each instance.
RATE_PER_S = 20
KEY_STEP = 7919
MISDIRECTED = 421


class RecordingServer(KeyServer):
    """Record when requests and grants arrive that the server accepts."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.requested_at = []
        self.granted_at = []

    async def _execute(self, request):
        arrived_at = time.monotonic()
        answer = await super()._execute(request)
        if answer.status != MISDIRECTED:
            self.requested_at.append(arrived_at)
        return answer

    async def _grant(self, request):
        arrived_at = time.monotonic()
        answer = await super()._grant(request)
        if answer.status == 200:
            self.granted_at.append(arrived_at)
        return answer


@frozen
class Call:
    """A caller's request: when it was sent, how long it took, and the status of its answer."""

    instance: str
    sent_at: float
    took_s: float
    # None if the connection ended without an answer.
    status: int | None


class EvacuatedDeployment(Deployment):
    """A deployment that acts on evacuations, under a steady load."""

    new_server = RecordingServer

    def __init__(self, domains, **named):
        super().__init__(domains=domains, **named)
        self.evacuate_s = EVACUATE_S
        self.calls = []
        self.evacuated_at = {}
        self.path = "/pigs/x"
        self._load = []

    def start_load(self, rate_per_s=RATE_PER_S):
        """Send requests for all keys in turn to every instance until the deployment stops."""
        for number, name in enumerate(self.instances):
            self._load.append(asyncio.ensure_future(self._send_steadily(name, number, rate_per_s)))

    async def stop_load(self):
        for task in self._load:
            task.cancel()
        await asyncio.gather(*self._load, return_exceptions=True)
        self._load.clear()

    async def stop(self):
        await self.stop_load()
        await super().stop()

    async def _send_steadily(self, name, first, rate_per_s):
        pending = set()
        try:
            for number in itertools.count(first * 31):
                task = asyncio.ensure_future(self.call(name, number * KEY_STEP % KEY_COUNT))
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(1 / rate_per_s)
        finally:
            for task in pending:
                task.cancel()

    async def call(self, name, key):
        """Send a request and record how it ended."""
        sent_at = time.monotonic()
        try:
            status = await self.send(self.instances[name], key, self.path)
        except (aiohttp.ClientError, OSError):
            status = None
        self.calls.append(Call(name, sent_at, time.monotonic() - sent_at, status))

    def evacuate(self, domain, value=b"{}"):
        self.evacuated_at.setdefault(domain, time.monotonic())
        self.store.put("keyed.op", f"evacuate/{domain}", value)

    def lift(self, domain):
        self.store.put("keyed.op", f"evacuate/{domain}", b"")

    def servers_of(self, domain):
        return [item for item in self.servers.values() if item.failure_domain == domain]

    def leader(self):
        """Return the last instance that leads."""
        return [item for item in self.instances.values() if item.daemon.is_leader][-1]

    def cut_off_store(self, instance):
        """Make all further calls of an instance to the store fail, and those in progress end."""

        async def refuse(*arguments, **named):
            raise LogUnavailableError("the instance is cut off from the store")

        instance.client._request = refuse

    def cut_peer_links(self):
        """End the links between instances and accept no others."""
        for instance in self.instances.values():
            instance.daemon._peers.close()
            for writer in list(instance.daemon._link_server._writers):
                writer.transport.abort()

    def knowing(self, domain):
        """Return the instances that know a domain as evacuated."""
        return [
            name
            for name, item in self.instances.items()
            if item.daemon._evacuations.evacuated(domain)
        ]
