"""Stand-in for a backend server that owns key ranges under fenced grants."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from aiohttp import web
from attrs import define, field

SLOTS = 2


@define
class _Lease:
    first: int
    last: int
    fence: int
    expires_at: float


@define
class KeyServer:
    """Accept grants and releases, execute requests and record their ids."""

    name: str
    service: str
    failure_domain: str = "a"
    work_s: float = 0.0
    sharded: bool = True
    born_ms: int = 1
    address: str = ""
    # Requests per second that the server states in its answers that it takes; None for no limit.
    limit_per_s: float | None = None
    # Time on the monotonic clock until which the server states that it is cold.
    cold_until: float = 0.0
    # Times at which requests arrived that got no 421, on the monotonic clock.
    accepted_at: list[float] = field(factory=list)
    # Concurrent requests that the server states it takes.
    slots: int = SLOTS
    # Size of the answers to paths that contain "/large/"; 0 for the usual short answers.
    large_answer_bytes: int = 0
    # Times at which requests and key commands arrived, on the monotonic clock.
    arrived_at: list[float] = field(factory=list)
    executed_request_ids: list[str] = field(factory=list)
    # Whether the answer to a request is lost after the request ran: its connection is aborted.
    loses_answer: Callable[[str], bool] = lambda request_id: False
    _leases: list[_Lease] = field(factory=list, init=False)
    _running: int = field(default=0, init=False)
    _released: int = field(default=0, init=False)
    _sequence: int = field(default=0, init=False)
    _runner: web.AppRunner | None = field(default=None, init=False)

    @property
    def warmup_left_s(self) -> float:
        """Return for how long the server stays cold."""
        return round(max(0.0, self.cold_until - time.monotonic()), 3)

    async def start(self, port: int = 0) -> None:
        """Listen on a port of the loopback interface, or on a free one."""
        app = web.Application(middlewares=[self._refuse_misdirected, self._state_limit])
        app.router.add_post("/hyssopwood/grant", self._grant)
        app.router.add_post("/hyssopwood/release", self._release)
        app.router.add_route("*", "/{path:.*}", self._execute)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def registration(self, state: str = "ready") -> bytes:
        """Return a registration record with the next sequence number."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.failure_domain,
                "version": "v1",
                "max_concurrency": self.slots,
                "state": state,
                "warmup_left_s": self.warmup_left_s,
                "sequence": self._sequence,
                "born": self.born_ms,
            }
        ).encode()

    def has_lease(self, key: int) -> bool:
        """Return whether the server has an unexpired lease on a key."""
        now = time.monotonic()
        return any(
            lease.first <= key <= lease.last and lease.expires_at > now for lease in self._leases
        )

    @web.middleware
    async def _refuse_misdirected(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> web.Response:
        """Refuse requests and commands that name another server, and state the own id."""
        if request.headers.get("Target-Instance", self.name) == self.name:
            return await handler(request)
        headers = {"Instance-Id": self.name}
        if "Request-Id" in request.headers:
            headers["Request-Id"] = request.headers["Request-Id"]
        return web.Response(status=421, headers=headers)

    @web.middleware
    async def _state_limit(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> web.Response:
        """Count an arrival and state the limit in the answer."""
        self.arrived_at.append(time.monotonic())
        answer = await handler(request)
        if self.limit_per_s is not None:
            answer.headers["Server-Limit"] = f"{self.limit_per_s:g}"
        return answer

    async def _grant(self, request: web.Request) -> web.Response:
        command = await request.json()
        first, last, fence = command["from_revision"], command["to"], command["fence"]
        if any(
            lease.first <= last and first <= lease.last and lease.fence > fence
            for lease in self._leases
        ):
            return web.Response(status=409)
        expires_at = time.monotonic() + command["hold_s"]
        self._leases = [
            lease for lease in self._leases if not first <= lease.first <= lease.last <= last
        ]
        self._leases.append(_Lease(first, last, fence, expires_at))
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        command = await request.json()
        kept: list[_Lease] = []
        for lease in self._leases:
            if lease.last < command["from_revision"] or lease.first > command["to"]:
                kept.append(lease)
                continue
            if lease.first < command["from_revision"]:
                kept.append(
                    _Lease(lease.first, command["from_revision"] - 1, lease.fence, lease.expires_at)
                )
            if lease.last > command["to"]:
                kept.append(_Lease(command["to"] + 1, lease.last, lease.fence, lease.expires_at))
        self._leases = kept
        self._released += 1
        return web.Response(headers={"Handover": f"h-{self.name}-{self._released}"})

    async def _execute(self, request: web.Request) -> web.Response:
        headers = {"Request-Id": request.headers.get("Request-Id", "")}
        key = request.headers.get("Shard-Key")
        if self.sharded and (key is None or not self.has_lease(int(key))):
            return web.Response(status=421, headers={**headers, "Not-Executed": "1"})
        self.accepted_at.append(time.monotonic())
        if self.cold_until:
            headers["Warmup-Ms"] = str(int(self.warmup_left_s * 1000))
        async for _ in request.content.iter_any():
            # The body is discarded; a request is executed once it is complete.
            pass
        self._running += 1
        self.executed_request_ids.append(headers["Request-Id"])
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if self.loses_answer(headers["Request-Id"]) and request.transport is not None:
            request.transport.abort()
        headers["Response-Signature"] = f"{self.name}.{headers['Request-Id']}"
        headers["Server-Load"] = f"{self._running},0,{self.slots}"
        body = f"{self.name} {request.path}".encode()
        if self.large_answer_bytes and "/large/" in request.path:
            body = body.ljust(self.large_answer_bytes)
        return web.Response(body=body, headers=headers)
