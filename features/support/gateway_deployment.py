"""A small deployment in one process, with stand-ins of store and servers and real daemons."""

import asyncio
import copy
import itertools
import json
import os
import socket
from collections.abc import Mapping

import aiohttp
from attrs import frozen

from hyssopwood.gateway.daemon import GatewayDaemon
from hyssopwood.gateway.gateway_settings import Bounds, GatewaySettings
from hyssopwood.gateway.server_connection import dial
from hyssopwood.metrics import Metrics
from hyssopwood.platform.names import READY_PATH
from hyssopwood.platform.program import platform_adapters
from hyssopwood.platform.store_client import StoreClient
from hyssopwood.timers import BootTimers
from hyssopwood_standins.key_server import KeyServer
from hyssopwood_standins.keyed_store import KeyedStore
from steps.platform_steps import configuration
from support.cuttable_links import CuttableLinks

SERVICE = "portal"
HEARTBEAT_S = 0.2
SETTLE_LIMIT_S = 8.0
TARGET_LATENCY_S = 0.6
SHUTDOWN_S = 6
LISTENING_PORTS = 18_000, 28_000
PORTS_PER_PROCESS = 400
# Time within which every instance has started to listen.
START_S = 0.1


def _ports_from(first):
    """Yield the listening ports forever, from one of them on."""
    low, high = LISTENING_PORTS
    for number in itertools.count(first):
        yield low + number % (high - low)


# Processes that test at the same time begin at different ports, so that none takes a port between
# another one's check and its listening.
_ports = _ports_from(os.getpid() * PORTS_PER_PROCESS)


def free_addresses(count):
    """Return addresses on free ports of the loopback address.

    They lie below the ports that the system gives to outgoing connections, any of which could take
    a port before its instance listens.
    """
    addresses = []
    while len(addresses) < count:
        port = next(_ports)
        with socket.socket() as item:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                continue
        addresses.append(f"127.0.0.1:{port}")
    return addresses


def _settings(name, store, addresses, shutdown_s, domain, bounds, first_start):
    return GatewaySettings(
        instance=name,
        first_start=first_start,
        failure_domain=domain,
        caller_address=addresses[0],
        readiness_address=addresses[1],
        peer_address=addresses[2],
        metrics_address=addresses[3],
        relay_address=addresses[4],
        store_address=store,
        bounds=Bounds(
            shutdown_s=shutdown_s,
            max_hold_s=10,
            retry_ratio=0.2,
            retry_window_s=10,
            retry_extra=56,
            **bounds,
        ),
    )


class Instance:
    """A gateway daemon and its addresses; `links` are those to the servers if they can be cut."""

    def __init__(
        self, name, store_address, shutdown_s, domain="a", links=None, bounds=None, first_start=True
    ):
        self.name = name
        self.links = links
        self.settings = _settings(
            name, store_address, free_addresses(5), shutdown_s, domain, bounds or {}, first_start
        )
        self.metrics = Metrics()
        self.client = StoreClient(store_address, self.metrics)
        self.daemon = GatewayDaemon(
            self.settings,
            platform_adapters(self.client, self.metrics),
            BootTimers(),
            self.metrics,
            links or dial,
        )
        self.task = asyncio.ensure_future(self._run())

    async def _run(self):
        try:
            await self.daemon.run()
        finally:
            await self.client.close()
            if self.links is not None:
                await self.links.close()


@frozen
class Answer:
    """The answer to a caller's request."""

    status: int
    headers: Mapping[str, str]
    body: str


class Deployment:
    """A store, servers and instances, and the answers that callers received.

    The servers belong to `service`, which is divided by key if it is "portal"; instances of
    other services never become ready. `timeout_s` replaces the timeouts of all routes. With
    `cuttable`, the links of each instance to the servers can be cut. An instance's failure domain
    is looked up in `domains`. Instances act on evacuations if `evacuate_s` is set before the start.
    """

    new_server = KeyServer

    def __init__(
        self, shutdown_s=SHUTDOWN_S, timeout_s=None, cuttable=False, domains=None, service=SERVICE
    ):
        self.service = service
        self.shutdown_s = shutdown_s
        self.timeout_s = timeout_s
        self.cuttable = cuttable
        self.domains = domains or {}
        self.evacuate_s = None
        self.store = KeyedStore()
        self.servers = {}
        self.draining = set()
        # Settings of the bounds, and fields of all services, that a test adds.
        self.bounds = {}
        self.cluster_fields = {}
        self.instances = {}
        # Whether instances that start belong to the first start of the whole system.
        self.first_start = True
        self.answers = []
        self.ids = itertools.count(1)
        self.session = None
        self.heartbeats = None

    async def start(self, servers, instances, version=5):
        self.session = aiohttp.ClientSession()
        await self.store.start()
        await self.start_links(instances)
        if version:
            self.publish(version)
        for name in servers:
            domain = self.domains.get(name, "a")
            self.servers[name] = self.new_server(
                name, self.service, failure_domain=domain, sharded=self.service == SERVICE
            )
            await self.servers[name].start()
        self.heartbeats = asyncio.ensure_future(self._send_heartbeats())
        for name in instances:
            self.start_instance(name)
        self.first_start = False
        await asyncio.sleep(START_S)
        if servers and self.service == SERVICE:
            await self.until(
                lambda: all(item.daemon.is_ready() for item in self.instances.values())
            )

    async def start_links(self, names):
        """Prepare the links of instances to the store; direct ones need nothing."""

    def store_address(self, name):
        """Return the address at which an instance reaches the store."""
        return self.store.address

    def start_instance(self, name):
        self.instances[name] = Instance(
            name,
            self.store_address(name),
            self.shutdown_s,
            self.domains.get(name, "a"),
            CuttableLinks() if self.cuttable else None,
            {**self.bounds, "evacuate_s": self.evacuate_s},
            self.first_start,
        )

    async def kill(self, instance):
        """End an instance at once, as a kill of its process does."""
        instance.task.cancel()
        await asyncio.gather(instance.task, return_exceptions=True)
        await instance.daemon.end()

    async def stop(self):
        await asyncio.gather(*(self.kill(item) for item in self.instances.values()))
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()
        await self.session.close()

    def publish(self, version, with_route=True):
        document = copy.deepcopy(configuration(version))
        for rule in document["listeners"][0]["route_rules"]:
            rule.setdefault("target_latency_s", TARGET_LATENCY_S)
            if self.timeout_s is not None:
                rule["action"]["timeout_s"] = self.timeout_s
        for cluster in document["clusters"]:
            cluster.update(self.cluster_fields)
        if not with_route:
            document["listeners"] = []
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def until(self, condition):
        async with asyncio.timeout(SETTLE_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def _send_heartbeats(self):
        while True:
            for name, server in self.servers.items():
                state = "draining" if name in self.draining else "ready"
                self.store.put("keyed.servers", name, server.registration(state))
            await asyncio.sleep(HEARTBEAT_S)

    async def send(self, instance, key, path="/pigs/x", method="GET", request_id=None):
        """Send a request and return the status of its answer."""
        return (await self.send_for_answer(instance, key, path, method, request_id)).status

    async def send_for_answer(
        self, instance, key, path="/pigs/x", method="GET", request_id=None, deadline_ms=2000
    ):
        """Send a request and record its id, key, status and the answering server.

        The client retries a GET itself when its connection is closed, but not a POST.
        """
        request_id = request_id or f"r{next(self.ids)}"
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Shard-Key": str(key),
        }
        url = f"http://{instance.settings.caller_address}{path}"
        async with self.session.request(method, url, headers=headers) as answer:
            body = (await answer.read()).decode()
            self.answers.append((request_id, key, answer.status, body.split(" ")[0]))
            return Answer(answer.status, answer.headers, body)

    async def ready_status(self, instance):
        url = f"http://{instance.settings.readiness_address}{READY_PATH}"
        async with self.session.get(url) as answer:
            return answer.status
