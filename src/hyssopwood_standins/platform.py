"""Stand-in for the platform: log service, instance list and load balancer."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web
from attrs import asdict, define
from loguru import logger

from hyssopwood_standins import web_process
from hyssopwood_standins.controls import ControlError, apply_controls, read_object
from hyssopwood_standins.streams import (
    ExpiredError,
    Instance,
    InstanceList,
    Stream,
    TokenBucket,
    instances_json,
)

MAX_RECORD_BYTES = 1_048_576
MAX_READ_RECORDS = 500
MAX_WAIT_MS = 30_000
# Limits the answer to one read: 500 records of 1 MiB would not fit into a client's memory.
MAX_READ_BYTES = 16 * MAX_RECORD_BYTES
READY_POLL_INTERVAL_S = 0.2
READY_POLL_TIMEOUT_S = 0.2
READY_PATH = "/hyssopwood/ready"
INSTANCE_STATES = ("live", "leaving")
FAULT_EXEMPT_PATHS = ("/control",)


@define
class PlatformFaults:
    """Active faults, set by `POST /control`."""

    outage: bool = False
    slow_ms: float = 0
    # Number of the next appends that are stored but not answered: the connection is aborted.
    lose_answers: int = 0
    drop_connections: bool = False
    append_rate: float = 300
    retention: int = 100_000
    list_lag_ms: float = 1_000
    list_outage: bool = False


class Platform:
    """Serve the platform's HTTP API with the active faults applied."""

    def __init__(self, faults: PlatformFaults, now: Callable[[], float] = time.monotonic) -> None:
        self.faults = faults
        self._streams: dict[str, Stream] = {}
        self._bucket = TokenBucket(faults.append_rate, now)
        self._instances = InstanceList(now)
        self._ready: set[str] = set()
        self._appends = 0
        self._refused_appends = 0

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(
            middlewares=[self._drop_connections], client_max_size=MAX_RECORD_BYTES
        )
        app.router.add_post("/v1/streams/{stream}/records", self._append)
        app.router.add_get("/v1/streams/{stream}/records", self._read)
        app.router.add_get("/v1/instances", self._list_instances)
        app.router.add_put("/v1/instances/{name}", self._put_instance)
        app.router.add_delete("/v1/instances/{name}", self._delete_instance)
        app.router.add_get("/v1/balancer/targets", self._list_targets)
        app.router.add_post("/control", self._control)
        app.router.add_get("/control", self._show_control)
        app.cleanup_ctx.append(self._run_balancer)
        return app

    @web.middleware
    async def _drop_connections(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        if self.faults.drop_connections and request.path not in FAULT_EXEMPT_PATHS:
            return _abort_connection(request)
        return await handler(request)

    async def _append(self, request: web.Request) -> web.StreamResponse:
        data = await _read_record(request)
        if self.faults.outage:
            return _unavailable()
        if not self._bucket.take():
            self._refused_appends += 1
            return web.json_response({}, status=429, headers={"Retry-After": "1"})
        await self._delay_answer()
        offset = self._stream(request).append(data)
        self._appends += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _abort_connection(request)
        return web.json_response({"offset": offset}, status=201)

    async def _read(self, request: web.Request) -> web.StreamResponse:
        start = _query_int(request, "from", 0)
        limit = min(_query_int(request, "limit", MAX_READ_RECORDS), MAX_READ_RECORDS)
        wait_ms = min(_query_int(request, "wait_ms", 0), MAX_WAIT_MS)
        if self.faults.outage:
            return _unavailable()
        await self._delay_answer()
        stream = self._stream(request)
        try:
            if wait_ms and not stream.read(start, 1):
                await stream.wait_appended(wait_ms / 1000)
            if self.faults.outage:
                return _unavailable()
            return _records_response(stream, start, limit)
        except ExpiredError as error:
            return web.json_response({"first": error.first}, status=410)

    async def _list_instances(self, _: web.Request) -> web.StreamResponse:
        if self.faults.list_outage:
            return _unavailable()
        lag_ms = self.faults.list_lag_ms
        view = self._instances.view(lag_ms / 1000)
        as_of_ms = int(time.time() * 1000 - lag_ms)
        return web.json_response({"as_of_ms": as_of_ms, "instances": instances_json(view)})

    async def _put_instance(self, request: web.Request) -> web.StreamResponse:
        data = await read_object(request)
        address, state = data.get("address"), data.get("state", "live")
        if not isinstance(address, str) or state not in INSTANCE_STATES:
            raise web.HTTPBadRequest(text="expected an address and a state, live or leaving")
        self._instances.put(Instance(request.match_info["name"], address, state))
        return web.json_response({})

    async def _delete_instance(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        self._ready.discard(name)
        return web.json_response({}, status=200 if self._instances.remove(name) else 404)

    async def _list_targets(self, _: web.Request) -> web.StreamResponse:
        listed = self._instances.current.values()
        ready = [item for item in listed if item.name in self._ready]
        targets = [{"name": item.name, "address": item.address} for item in ready]
        return web.json_response({"targets": targets})

    async def _control(self, request: web.Request) -> web.StreamResponse:
        changes = await read_object(request)
        try:
            apply_controls(self.faults, changes)
        except ControlError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        logger.info("faults changed: {}", changes)
        self._apply_faults()
        return web.json_response(asdict(self.faults))

    async def _show_control(self, _: web.Request) -> web.StreamResponse:
        counts = {"appends": self._appends, "refused_appends": self._refused_appends}
        return web.json_response({**asdict(self.faults), **counts})

    def _apply_faults(self) -> None:
        self._bucket.set_rate(self.faults.append_rate)
        for stream in self._streams.values():
            stream.retention = self.faults.retention
            stream.trim()
            # A pending long poll has to end as soon as an outage begins.
            stream.wake_readers()

    def _stream(self, request: web.Request) -> Stream:
        name = request.match_info["stream"]
        if name not in self._streams:
            self._streams[name] = Stream(self.faults.retention)
        return self._streams[name]

    async def _delay_answer(self) -> None:
        if self.faults.slow_ms > 0:
            await asyncio.sleep(self.faults.slow_ms / 1000)

    async def _run_balancer(self, _: web.Application) -> AsyncIterator[None]:
        timeout = aiohttp.ClientTimeout(total=READY_POLL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            task = asyncio.create_task(self._poll_readiness(session))
            yield
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _poll_readiness(self, session: aiohttp.ClientSession) -> None:
        while True:
            started = time.monotonic()
            names = list(self._instances.current)
            results = await asyncio.gather(*(self._is_ready(session, name) for name in names))
            self._ready = {name for name, ready in zip(names, results, strict=True) if ready}
            elapsed = time.monotonic() - started
            await asyncio.sleep(max(0.0, READY_POLL_INTERVAL_S - elapsed))

    async def _is_ready(self, session: aiohttp.ClientSession, name: str) -> bool:
        instance = self._instances.current.get(name)
        if instance is None:
            return False
        try:
            async with session.get(f"http://{instance.address}{READY_PATH}") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def _query_int(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f"{name}: expected a number of at least 0")
    return int(text)


async def _read_record(request: web.Request) -> str:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > MAX_RECORD_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_RECORD_BYTES, len(body))
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise web.HTTPBadRequest(text="expected UTF-8 text") from error


def _records_response(stream: Stream, start: int, limit: int) -> web.Response:
    records: list[dict[str, Any]] = []
    size = 0
    for record in stream.read(start, limit):
        size += len(record.data)
        if records and size > MAX_READ_BYTES:
            break
        records.append(asdict(record))
    next_offset = records[-1]["offset"] + 1 if records else min(start, stream.next)
    return web.json_response({"first": stream.first, "next": next_offset, "records": records})


def _unavailable() -> web.Response:
    return web.json_response({"error": "unavailable"}, status=503)


def _abort_connection(request: web.Request) -> web.Response:
    request.protocol.force_close()
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the platform process."""
    defaults = PlatformFaults()
    parser.add_argument("--address", required=True, help="ip:port to listen on")
    parser.add_argument("--append-rate", type=float, default=defaults.append_rate)
    parser.add_argument("--retention", type=int, default=defaults.retention)
    parser.add_argument("--list-lag-ms", type=float, default=defaults.list_lag_ms)


def main(arguments: argparse.Namespace) -> int:
    """Run the platform until SIGTERM or SIGINT."""
    faults = PlatformFaults(
        append_rate=arguments.append_rate,
        retention=arguments.retention,
        list_lag_ms=arguments.list_lag_ms,
    )
    web_process.run(web_process.serve(Platform(faults).app(), arguments.address))
    return 0
