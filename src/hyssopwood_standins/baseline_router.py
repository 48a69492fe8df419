"""Router of the benchmark's baseline: static hashing, lease expiry and per-server limits.

Each router assigns keys by their hash to a fixed list of servers, considers a server dead if it
answered no renewal within the lease, and forwards requests in order of arrival. It has no grants,
no shared plan and no prediction.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import xxhash
from aiohttp import web
from attrs import define, field, frozen

from hyssopwood_standins import web_process

LEASE_S = 0.4
RENEW_INTERVAL_S = 0.1
RENEW_TIMEOUT_S = 0.25
PINS_INTERVAL_S = 0.1
REQUEST_LIMIT_S = 2.0
RETRY_AFTER_S = "1"
MAX_BODY_BYTES = 1_048_576
HEADERS_NOT_FORWARDED = ("host", "content-length", "transfer-encoding", "connection")
HEADERS_RETURNED = ("Hyssopwood-Run", "Hyssopwood-Request-Id", "Content-Type", "Retry-After")


@frozen(kw_only=True)
class Plan:
    """The fixed servers and routers, which are the same for every router."""

    service: str
    shards: int
    queue: int
    servers: dict[str, dict[str, Any]]
    routers: list[str]
    sharing: str = "local"


class RefusedError(Exception):
    """Raised when a request is refused before it is sent to a server."""


@define
class ConcurrencyLimiter:
    """Limit the requests running at a server; waiting requests get slots in order of arrival."""

    limit: int
    queue: int
    _waiting: int = 0
    _slots: asyncio.Semaphore = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = asyncio.Semaphore(self.limit)

    async def acquire(self) -> None:
        """Wait for a slot; raise RefusedError if the queue is full or the wait too long."""
        if self._slots.locked() and self._waiting >= self.queue:
            raise RefusedError("queue-full")
        self._waiting += 1
        try:
            async with asyncio.timeout(REQUEST_LIMIT_S):
                await self._slots.acquire()
        except TimeoutError as error:
            raise RefusedError("waited-too-long") from error
        finally:
            self._waiting -= 1

    def release(self) -> None:
        self._slots.release()


class KeyAssignment:
    """Assign keys to servers by hash, except for pins that are read from a file."""

    def __init__(self, plan: Plan, pins_file: Path) -> None:
        self._plan = plan
        self._pins_file = pins_file
        self._names = sorted(plan.servers)
        self._pins: dict[str, str] = {}
        self._blocked_until: dict[str, float] = {}
        self._alive_until = dict.fromkeys(self._names, 0.0)

    def record_renewal(self, server: str, sent: float) -> None:
        self._alive_until[server] = max(self._alive_until[server], sent + LEASE_S)

    def partition(self, key: str) -> str:
        return f"{self._plan.service}/{_hash(key) % self._plan.shards}"

    def owner(self, key: str, now: float) -> str:
        """Return the server of a key; raise RefusedError if every server is dead."""
        shard = _hash(key) % self._plan.shards
        owner = self._pins.get(key) or self._names[shard % len(self._names)]
        if now < self._alive_until[owner]:
            return owner
        alive = [name for name in self._names if now < self._alive_until[name]]
        if not alive:
            raise RefusedError("no-server")
        return alive[shard % len(alive)]

    def remaining_block_s(self, key: str, now: float) -> float:
        """Return how long a key still has to wait for the expiry of its previous owner's lease."""
        return max(0.0, self._blocked_until.get(key, 0.0) - now)

    def read_pins(self, now: float) -> None:
        """Read the pins; requests of a key with a new owner wait for the old lease to expire."""
        try:
            pins = json.loads(self._pins_file.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            return
        for key, server in pins.items():
            if self._pins.get(key) != server:
                self._blocked_until[key] = now + LEASE_S
        self._pins = pins


def _hash(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())


class BaselineRouter:
    """Forward callers' requests to the servers of their keys."""

    def __init__(self, address: str, plan: Plan, pins_file: Path) -> None:
        self._address = address
        self._plan = plan
        self._assignment = KeyAssignment(plan, pins_file)
        self._limiters = {
            name: ConcurrencyLimiter(self._concurrency_limit(int(server["slots"])), plan.queue)
            for name, server in plan.servers.items()
        }
        self._session: aiohttp.ClientSession | None = None

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/hyssopwood/ready", self._ready)
        app.router.add_post("/baseline/permits/{server}", self._issue_permit)
        app.router.add_delete("/baseline/permits/{server}", self._return_permit)
        app.router.add_post("/baseline/forward/{server}/{path:.*}", self._handle_forwarded)
        app.router.add_route("*", "/{path:.*}", self._route_request)
        app.cleanup_ctx.append(self._run_background_tasks)
        return app

    def _concurrency_limit(self, slots: int) -> int:
        # A local limit is at least 1, so the limits of many routers together exceed the slots.
        if self._plan.sharing == "local":
            return max(1, round(slots / len(self._plan.routers)))
        return slots

    async def _run_background_tasks(self, _: web.Application) -> AsyncIterator[None]:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as session:
            self._session = session
            tasks = [asyncio.create_task(self._renew_forever(name)) for name in self._plan.servers]
            tasks.append(asyncio.create_task(self._watch_pins()))
            yield
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _renew_forever(self, server: str) -> None:
        url = f"http://{self._plan.servers[server]['address']}/hyssopwood/session"
        body = {"epoch": 1, "coordinator": self._address, "lease_until_ms": 0}
        while True:
            sent = time.monotonic()
            if await self._post(url, body):
                self._assignment.record_renewal(server, sent)
            await asyncio.sleep(max(0.0, sent + RENEW_INTERVAL_S - time.monotonic()))

    async def _post(self, url: str, body: dict[str, Any]) -> bool:
        timeout = aiohttp.ClientTimeout(total=RENEW_TIMEOUT_S)
        try:
            async with self._client.post(url, json=body, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    @property
    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise RuntimeError("the router has not started")
        return self._session

    async def _watch_pins(self) -> None:
        while True:
            self._assignment.read_pins(time.monotonic())
            await asyncio.sleep(PINS_INTERVAL_S)

    async def _ready(self, _: web.Request) -> web.StreamResponse:
        return web.Response()

    async def _route_request(self, request: web.Request) -> web.StreamResponse:
        key = request.headers.get("Hyssopwood-Key", "")
        body = await request.read()
        try:
            await asyncio.sleep(self._assignment.remaining_block_s(key, time.monotonic()))
            server = self._assignment.owner(key, time.monotonic())
            return await self._send_sharing_slots(request, server, body)
        except RefusedError as error:
            return _refusal(str(error))

    async def _send_sharing_slots(
        self, request: web.Request, server: str, body: bytes
    ) -> web.Response:
        """Send a request to its server within the limit of the plan's mode of sharing slots.

        Mode `local` limits each router to its part of the slots. Otherwise the server's coordinator
        applies the limit: `permits` asks it for a permit, `forwarding` sends the request via it.
        """
        coordinator = self._coordinator_of(server)
        if self._plan.sharing == "local" or coordinator == self._address:
            return await self._send_within_limit(request, server, body)
        if self._plan.sharing == "forwarding":
            url = f"http://{coordinator}/baseline/forward/{server}{request.path}"
            return await self._send(request, url, body)
        async with self._holding_permit(coordinator, server):
            return await self._send_to_server(request, server, body)

    def _coordinator_of(self, server: str) -> str:
        routers = self._plan.routers
        return routers[sorted(self._plan.servers).index(server) % len(routers)]

    async def _send_within_limit(
        self, request: web.Request, server: str, body: bytes
    ) -> web.Response:
        limiter = self._limiters[server]
        await limiter.acquire()
        try:
            return await self._send_to_server(request, server, body)
        finally:
            limiter.release()

    async def _send_to_server(self, request: web.Request, server: str, body: bytes) -> web.Response:
        path = f"/{request.match_info['path']}"
        return await self._send(request, self._url(server, path), body)

    def _url(self, server: str, path: str) -> str:
        return f"http://{self._plan.servers[server]['address']}{path}"

    async def _send(self, request: web.Request, url: str, body: bytes) -> web.Response:
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in HEADERS_NOT_FORWARDED
        }
        key = request.headers.get("Hyssopwood-Key", "")
        headers["Hyssopwood-Partition"] = self._assignment.partition(key)
        timeout = aiohttp.ClientTimeout(total=2 * REQUEST_LIMIT_S)
        try:
            async with self._client.request(
                request.method, url, data=body, headers=headers, timeout=timeout
            ) as answer:
                kept = {
                    name: answer.headers[name]
                    for name in HEADERS_RETURNED
                    if name in answer.headers
                }
                return web.Response(body=await answer.read(), status=answer.status, headers=kept)
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so no byte of the request was sent.
            raise RefusedError("connect-failed") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _problem(502, type(error).__name__, {})

    @asynccontextmanager
    async def _holding_permit(self, coordinator: str, server: str) -> AsyncIterator[None]:
        url = f"http://{coordinator}/baseline/permits/{server}"
        try:
            async with self._client.post(url) as answer:
                if answer.status != 200:
                    raise RefusedError("no-permit")
        except (aiohttp.ClientError, OSError) as error:
            raise RefusedError("no-coordinator") from error
        try:
            yield
        finally:
            async with self._client.delete(url):
                pass

    async def _issue_permit(self, request: web.Request) -> web.StreamResponse:
        try:
            await self._limiters[request.match_info["server"]].acquire()
        except RefusedError as error:
            return _refusal(str(error))
        return web.Response()

    async def _return_permit(self, request: web.Request) -> web.StreamResponse:
        self._limiters[request.match_info["server"]].release()
        return web.Response()

    async def _handle_forwarded(self, request: web.Request) -> web.StreamResponse:
        try:
            server = request.match_info["server"]
            return await self._send_within_limit(request, server, await request.read())
        except RefusedError as error:
            return _refusal(str(error))


def _refusal(reason: str) -> web.Response:
    return _problem(503, reason, {"Hyssopwood-Run": "not-run", "Retry-After": RETRY_AFTER_S})


def _problem(status: int, reason: str, headers: dict[str, str]) -> web.Response:
    return web.json_response({"title": reason, "status": status}, status=status, headers=headers)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the baseline router process."""
    parser.add_argument("--address", required=True, help="ip:port to listen on")
    parser.add_argument("--plan", type=Path, required=True, help="JSON file with the fixed plan")
    parser.add_argument("--pins", type=Path, required=True, help="JSON file with pinned keys")


def main(arguments: argparse.Namespace) -> int:
    """Run the baseline router until SIGTERM or SIGINT."""
    plan = Plan(**json.loads(arguments.plan.read_text(encoding="utf-8")))
    router = BaselineRouter(arguments.address, plan, arguments.pins)
    web_process.run(web_process.serve(router.app(), arguments.address))
    return 0
