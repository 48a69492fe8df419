"""Stand-in of a backend server that holds keys by fenced grants."""

from __future__ import annotations

import asyncio
import json
import time

from aiohttp import web
from attrs import define, field

SLOTS = 2


@define
class _Hold:
    first: int
    last: int
    fence: int
    until: float


@define
class KeyServer:
    """Serve grants, releases and requests; note everything that it ran."""

    name: str
    service: str
    failure_domain: str = "a"
    work_s: float = 0.0
    sharded: bool = True
    born_ms: int = 1
    address: str = ""
    executed_request_ids: list[str] = field(factory=list)
    _holds: list[_Hold] = field(factory=list, init=False)
    _running: int = field(default=0, init=False)
    _sequence: int = field(default=0, init=False)
    _runner: web.AppRunner | None = field(default=None, init=False)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        app = web.Application()
        app.router.add_post("/hyssopwood/grant", self._grant)
        app.router.add_post("/hyssopwood/release", self._release)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def registration(self, state: str = "ready") -> bytes:
        """Return the server's registration."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.failure_domain,
                "version": "v1",
                "max_concurrency": SLOTS,
                "state": state,
                "warmup_left_s": 0,
                "sequence": self._sequence,
                "born": self.born_ms,
            }
        ).encode()

    def holds(self, key: int) -> bool:
        """Return whether the server holds a key now."""
        now = time.monotonic()
        return any(hold.first <= key <= hold.last and hold.until > now for hold in self._holds)

    async def _grant(self, request: web.Request) -> web.Response:
        order = await request.json()
        first, last, fence = order["from_revision"], order["to"], order["fence"]
        if any(
            hold.first <= last and first <= hold.last and hold.fence > fence for hold in self._holds
        ):
            return web.Response(status=409)
        until = time.monotonic() + order["hold_s"]
        self._holds = [hold for hold in self._holds if not first <= hold.first <= hold.last <= last]
        self._holds.append(_Hold(first, last, fence, until))
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        order = await request.json()
        kept: list[_Hold] = []
        for hold in self._holds:
            if hold.last < order["from_revision"] or hold.first > order["to"]:
                kept.append(hold)
                continue
            if hold.first < order["from_revision"]:
                kept.append(_Hold(hold.first, order["from_revision"] - 1, hold.fence, hold.until))
            if hold.last > order["to"]:
                kept.append(_Hold(order["to"] + 1, hold.last, hold.fence, hold.until))
        self._holds = kept
        return web.Response(headers={"Handover": f"h-{self.name}"})

    async def _serve(self, request: web.Request) -> web.Response:
        headers = {"Request-Id": request.headers.get("Request-Id", "")}
        if request.headers.get("Target-Instance", self.name) != self.name:
            return web.Response(status=421, headers=headers)
        key = request.headers.get("Shard-Key")
        if self.sharded and (key is None or not self.holds(int(key))):
            return web.Response(status=421, headers={**headers, "Not-Executed": "1"})
        self._running += 1
        self.executed_request_ids.append(headers["Request-Id"])
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        headers["Response-Signature"] = f"{self.name}.{headers['Request-Id']}"
        headers["Server-Load"] = f"{self._running},0,{SLOTS}"
        return web.Response(body=f"{self.name} {request.path}".encode(), headers=headers)
