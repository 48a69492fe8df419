"""Stand-in for a backend server that owns partitions under fenced grants."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import random
import secrets
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web
from attrs import asdict, define, field
from loguru import logger

from hyssopwood_standins import web_process
from hyssopwood_standins.answer_body import body_parts
from hyssopwood_standins.controls import ControlError, apply_controls, read_object
from hyssopwood_standins.grants import Grants, RefusedError
from hyssopwood_standins.processor_sharing import ProcessorSharing
from hyssopwood_standins.recorder import Recorder

MAX_BODY_BYTES = 16 * 1_048_576
CRASH_EXIT_CODE = 70
MAX_REMEMBERED_CANCELS = 10_000
SILENCE_POLL_S = 0.1
CUT_BODY_SHARE = 0.5
MAX_CLOCK_OFFSET_S = 100_000
REQUEST_ID = "Hyssopwood-Request-Id"
RUN_STATUS = "Hyssopwood-Run"


@define
class ServerFaults:
    """Active faults and behaviour, set by `POST /control`."""

    work_ms: float = 20
    answer_bytes: int = 256
    draining: bool = False
    shedding: bool = False
    load_report: dict[str, Any] = field(factory=dict)
    crash_header: str = "X-Crash"
    answer_delay_ms: float = 0
    # Numbers of the next answers to cut off, to replace by a repetition of the previous answer, and
    # to replace by the answer to another running request.
    cut_answers: int = 0
    duplicate_id_answers: int = 0
    foreign_id_answers: int = 0
    stream_chunk_delay_ms: float = 0


@define
class Work:
    """A request to run, as described by the caller and the router."""

    number: int
    request_id: str
    nonce: str
    attempt: str | None
    idempotency_key: str | None
    key: str
    operation: str
    partition: str
    token: int | None
    work_s: float
    answer_bytes: int
    deadline_s: float | None
    started: float = 0.0
    task: asyncio.Task[None] | None = None
    stop_reason: str = ""


class Server:
    """Serve the control interface and run all other requests as work."""

    def __init__(
        self,
        name: str,
        slots: int,
        recorder: Recorder,
        fencing: bool = True,
        cold_s: float = 0.0,
        cold_factor: float = 1.0,
    ) -> None:
        self.faults = ServerFaults()
        self._name = name
        self._slots = slots
        self._recorder = recorder
        self._incarnation = secrets.token_hex(8)
        self._cold_factor = cold_factor
        self._warm_at = time.monotonic() + cold_s
        self._grants = Grants(recorder, fencing, random.uniform(0, MAX_CLOCK_OFFSET_S))
        self._processor = ProcessorSharing(slots)
        self._run_numbers = itertools.count(1)
        self._running: dict[str, Work] = {}
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._last_answered: Work | None = None
        self._silenced: set[Any] = set()
        self._list_connections: Callable[[], list[Any]] = list
        fields = {"incarnation": self._incarnation, "pid": os.getpid()}
        recorder.write("started", time.monotonic(), checks_fencing=fencing, slots=slots, **fields)

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(middlewares=[self._withhold_answers], client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/hyssopwood/session", self._renew_session)
        app.router.add_post("/hyssopwood/grants", self._change_grants)
        app.router.add_get("/hyssopwood/load", self._report_load)
        app.router.add_post("/hyssopwood/cancel", self._cancel)
        app.router.add_post("/control", self._set_controls)
        app.router.add_route("*", "/{path:.*}", self._handle_work)
        app.cleanup_ctx.append(self._watch_lease)
        return app

    def set_connection_source(self, list_connections: Callable[[], list[Any]]) -> None:
        """Set the function that lists the server's open connections."""
        self._list_connections = list_connections

    def expire_grants(self) -> None:
        """Record a lapse that was not recorded yet because the process was stopped."""
        self._grants.expire(time.monotonic())

    @web.middleware
    async def _withhold_answers(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        if request.protocol in self._silenced:
            return await self._wait_for_disconnect(request)
        answer = await handler(request)
        if request.protocol in self._silenced:
            return await self._wait_for_disconnect(request)
        return answer

    async def _wait_for_disconnect(self, request: web.Request) -> web.StreamResponse:
        while True:
            if request.transport is None or request.transport.is_closing():
                self._silenced.discard(request.protocol)
                return web.Response()
            await asyncio.sleep(SILENCE_POLL_S)

    async def _renew_session(self, request: web.Request) -> web.StreamResponse:
        data = await read_object(request)
        now = time.monotonic()
        try:
            lease_until_ms = float(data["lease_until_ms"])
            self._grants.renew(int(data["epoch"]), str(data["coordinator"]), lease_until_ms, now)
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"malformed session: {error}") from error
        except RefusedError as error:
            return self._refuse_command("session", error)
        return web.json_response(self._session_answer())

    async def _change_grants(self, request: web.Request) -> web.StreamResponse:
        data = await read_object(request)
        try:
            grant = {str(item["partition"]): int(item["token"]) for item in data.get("grant", [])}
            release = [str(partition) for partition in data.get("release", [])]
            self._grants.change(int(data["epoch"]), grant, release, time.monotonic())
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"malformed grants: {error}") from error
        except RefusedError as error:
            return self._refuse_command("grants", error)
        return web.json_response({"holds": self._grants.held_partitions()})

    def _session_answer(self) -> dict[str, Any]:
        return {
            "incarnation": self._incarnation,
            "clock_ms": self._grants.clock_ms(time.monotonic()),
            "epoch": self._grants.epoch,
            "holds": self._grants.held_partitions(),
            "running": len(self._running),
            "slots": self._slots,
        }

    def _refuse_command(self, command: str, error: RefusedError) -> web.Response:
        self._recorder.write(
            "command_refused", time.monotonic(), command=command, reason=error.reason
        )
        body = {"reason": error.reason, "epoch": self._grants.epoch}
        return web.json_response(body, status=409)

    async def _report_load(self, _: web.Request) -> web.StreamResponse:
        report = {
            "running": len(self._running),
            "slots": self._slots,
            "queue": max(0, len(self._running) - self._slots),
            "shedding": self.faults.shedding or self.faults.draining,
            "cold": time.monotonic() < self._warm_at,
        }
        return web.json_response({**report, **self.faults.load_report})

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        request_id = str((await read_object(request)).get("request_id"))
        work = self._running.get(request_id)
        if work is None:
            self._remember_cancelled(request_id)
            return web.json_response({"cancelled": False})
        self._stop(work, "cancelled")
        return web.json_response({"cancelled": True})

    def _remember_cancelled(self, request_id: str) -> None:
        self._cancelled[request_id] = None
        if len(self._cancelled) > MAX_REMEMBERED_CANCELS:
            self._cancelled.popitem(last=False)

    async def _set_controls(self, request: web.Request) -> web.StreamResponse:
        changes = await read_object(request)
        if changes.pop("silence_connections", False):
            self._silenced = set(self._list_connections()) - {request.protocol}
        freeze_ms = changes.pop("freeze_ms", 0)
        try:
            apply_controls(self.faults, changes)
        except ControlError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        logger.info("controls changed: {}", changes)
        if freeze_ms:
            loop = asyncio.get_running_loop()
            # Blocks the whole process intentionally, once this answer has been sent.
            loop.call_later(0.01, time.sleep, freeze_ms / 1000)
        return web.json_response(asdict(self.faults))

    async def _handle_work(self, request: web.Request) -> web.StreamResponse:
        if self.faults.crash_header in request.headers:
            await self._crash(request)
        work = await self._read_work(request)
        refusal = self._refusal_of(work)
        if refusal is not None:
            return self._refuse(work, *refusal)
        self._start(work)
        await self._run(work)
        if work.stop_reason:
            return _problem(work, 500, work.stop_reason, run=None)
        return await self._answer(request, work)

    async def _crash(self, request: web.Request) -> None:
        work = await self._read_work(request)
        if self._refusal_of(work) is None:
            self._start(work)
            os._exit(CRASH_EXIT_CODE)

    async def _read_work(self, request: web.Request) -> Work:
        described = _parse_work(await request.read())
        headers = request.headers
        number = next(self._run_numbers)
        deadline_ms = _float_or_none(headers.get("Hyssopwood-Deadline-Ms"))
        work_ms = _float_or_none(headers.get("X-Work-Ms", described.get("work_ms")))
        size = _float_or_none(headers.get("X-Answer-Bytes", described.get("answer_bytes")))
        return Work(
            number=number,
            request_id=headers.get(REQUEST_ID) or f"{self._incarnation}:{number}",
            nonce=str(headers.get("X-Nonce", described.get("nonce", ""))),
            attempt=headers.get("X-Attempt"),
            idempotency_key=headers.get("Idempotency-Key", described.get("idempotency_key")),
            key=headers.get("Hyssopwood-Key", ""),
            operation=headers.get("Hyssopwood-Operation", ""),
            partition=headers.get("Hyssopwood-Partition", ""),
            token=_token_or_none(headers.get("Hyssopwood-Token")),
            work_s=(self.faults.work_ms if work_ms is None else work_ms) / 1000,
            answer_bytes=self.faults.answer_bytes if size is None else int(size),
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        )

    def _refusal_of(self, work: Work) -> tuple[int, str] | None:
        reason = self._grants.refusal_reason(work.partition, work.token, time.monotonic())
        if reason is not None:
            return 409, reason
        if self.faults.draining:
            return 503, "draining"
        if self.faults.shedding:
            return 503, "shedding"
        if work.request_id in self._cancelled:
            return 503, "cancelled"
        if work.deadline_s is not None and work.deadline_s <= 0:
            return 503, "deadline-exceeded"
        return None

    def _refuse(self, work: Work, status: int, reason: str) -> web.Response:
        self._recorder.write("refused", time.monotonic(), reason=reason, **_identity(work))
        return _problem(work, status, reason, run="not-run")

    def _start(self, work: Work) -> None:
        work.started = time.monotonic()
        self._running[work.request_id] = work
        counts = {"running": len(self._running)}
        overcommit = len(self._running) > self._slots
        self._recorder.write(
            "run_started", work.started, overcommit=overcommit, **counts, **_identity(work)
        )

    async def _run(self, work: Work) -> None:
        factor = self._cold_factor if time.monotonic() < self._warm_at else 1.0
        work.task = asyncio.create_task(self._processor.run(work.work_s * factor))
        done, _ = await asyncio.wait({work.task}, timeout=work.deadline_s)
        if not done:
            self._stop(work, "deadline-exceeded")
            await asyncio.wait({work.task})
        self._finish(work)

    def _finish(self, work: Work) -> None:
        now = time.monotonic()
        self._grants.expire(now)
        lapsed_at = self._grants.lapsed_since(work.partition, work.token, work.started)
        if lapsed_at is not None:
            work.stop_reason = "lease-lapsed"
        if self._running.get(work.request_id) is work:
            del self._running[work.request_id]
        self._recorder.write(
            "run_ended",
            now if lapsed_at is None else lapsed_at,
            completed=not work.stop_reason,
            reason=work.stop_reason,
            **_identity(work),
        )

    def _stop(self, work: Work, reason: str) -> None:
        if work.task is not None and not work.task.done():
            work.stop_reason = work.stop_reason or reason
            work.task.cancel()

    async def _watch_lease(self, _: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(self._expire_grants_forever())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _expire_grants_forever(self) -> None:
        while True:
            now = time.monotonic()
            self._grants.expire(now)
            self._stop_lapsed_work()
            remaining = self._grants.lease_until - now
            await asyncio.sleep(min(max(remaining, 0.001), 0.01))

    def _stop_lapsed_work(self) -> None:
        for work in list(self._running.values()):
            if self._grants.lapsed_since(work.partition, work.token, work.started) is not None:
                self._stop(work, "lease-lapsed")

    async def _answer(self, request: web.Request, work: Work) -> web.StreamResponse:
        if self.faults.answer_delay_ms > 0:
            await asyncio.sleep(self.faults.answer_delay_ms / 1000)
        answered = self._work_to_answer_for(work)
        parts = body_parts(
            answered.key, answered.nonce, answered.answer_bytes, self._name, answered.number
        )
        headers = {REQUEST_ID: answered.request_id, RUN_STATUS: "run"}
        answer = web.StreamResponse(headers=headers)
        answer.content_type = "application/octet-stream"
        answer.content_length = sum(len(part) for part in parts)
        cut = self.faults.cut_answers > 0
        if cut:
            self.faults.cut_answers -= 1
        await answer.prepare(request)
        await self._send_body(request, answer, parts, cut)
        self._last_answered = work
        return answer

    def _work_to_answer_for(self, work: Work) -> Work:
        """Return the work whose answer is sent, which a fault may replace by another one."""
        others = [item for item in self._running.values() if item is not work]
        if self.faults.foreign_id_answers > 0 and others:
            self.faults.foreign_id_answers -= 1
            return others[0]
        if self.faults.duplicate_id_answers > 0 and self._last_answered is not None:
            self.faults.duplicate_id_answers -= 1
            return self._last_answered
        return work

    async def _send_body(
        self, request: web.Request, answer: web.StreamResponse, parts: list[bytes], cut: bool
    ) -> None:
        body = b"".join(parts)
        if not cut and self.faults.stream_chunk_delay_ms <= 0:
            await answer.write_eof(body)
            return
        sent = body[: int(len(body) * CUT_BODY_SHARE)] if cut else body
        for start in range(0, len(sent), 65_536):
            await answer.write(sent[start : start + 65_536])
            await asyncio.sleep(self.faults.stream_chunk_delay_ms / 1000)
        if not cut:
            await answer.write_eof()
        elif request.transport is not None:
            request.protocol.force_close()
            request.transport.close()


def _parse_work(body: bytes) -> dict[str, Any]:
    """Return the work described in the body, which is used if a router dropped the headers."""
    try:
        described = json.loads(body) if body.startswith(b"{") else {}
    except ValueError:
        described = {}
    return described if isinstance(described, dict) else {}


def _float_or_none(value: Any) -> float | None:
    try:
        return float(value)
    except (TypeError, ValueError):
        return None


def _token_or_none(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdecimal() else None


def _identity(work: Work) -> dict[str, Any]:
    return {
        "run": work.number,
        "request_id": work.request_id,
        "nonce": work.nonce,
        "attempt": work.attempt,
        "idempotency_key": work.idempotency_key,
        "key": work.key,
        "operation": work.operation,
        "partition": work.partition,
        "token": work.token,
    }


def _problem(work: Work, status: int, reason: str, run: str | None) -> web.Response:
    headers = {REQUEST_ID: work.request_id}
    if run is not None:
        headers[RUN_STATUS] = run
    if status == 503:
        headers["Retry-After"] = "1"
    body = json.dumps({"type": f"urn:backend:{reason}", "title": reason, "status": status})
    return web.Response(
        text=body, status=status, headers=headers, content_type="application/problem+json"
    )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the server process."""
    parser.add_argument("--address", required=True, help="ip:port to listen on")
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--work-ms", type=float, default=ServerFaults().work_ms)
    parser.add_argument("--record", type=Path, help="append records as JSON lines")
    parser.add_argument("--no-fencing-check", action="store_true")
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--cold-factor", type=float, default=3.0)


async def _serve(arguments: argparse.Namespace) -> None:
    server = Server(
        arguments.name,
        arguments.slots,
        Recorder(arguments.record, server=arguments.name),
        fencing=not arguments.no_fencing_check,
        cold_s=arguments.cold_s,
        cold_factor=arguments.cold_factor,
    )
    server.faults.work_ms = arguments.work_ms
    runner = await web_process.start_app(server.app(), arguments.address)
    server.set_connection_source(lambda: list(runner.server.connections if runner.server else ()))
    logger.info("listening on {}", web_process.bound_address(runner))
    try:
        await web_process.until_signalled()
    finally:
        server.expire_grants()
        await runner.cleanup()


def main(arguments: argparse.Namespace) -> int:
    """Run the backend server until SIGTERM or SIGINT."""
    web_process.run(_serve(arguments))
    return 0
