"""A caller that sends an open-loop load and checks each answer against its request."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import time
from pathlib import Path
from typing import Any

import aiohttp
from attrs import asdict, define, field, frozen
from loguru import logger

from hyssopwood_standins import web_process
from hyssopwood_standins.answer_body import check_body
from hyssopwood_standins.demand import Demand, HotKey, Request, Surge, generate_requests
from hyssopwood_standins.recorder import Recorder

TARGETS_POLL_INTERVAL_S = 0.2
TARGETS_TIMEOUT_S = 1.0
MAX_IN_FLIGHT = 20_000
KEEPALIVE_TIMEOUT_S = 30
CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
CONNECT_FAILED = "connect-failed"
MAX_CONNECT_ATTEMPTS = 3
INITIAL_TARGETS_TIMEOUT_S = 30


@frozen(kw_only=True)
class CallerOptions:
    """Target, deadline, timeout and retries of a caller's requests."""

    name: str = "caller"
    platform_url: str = ""
    targets: tuple[str, ...] = ()
    path: str = "/portal/work"
    deadline_ms: int = 2_000
    timeout_s: float = 10.0
    max_retries: int = 2


@define
class Attempt:
    """Result of one attempt to send a request; its fields are written to the records."""

    outcome: str
    status: int = 0
    run_header: str = ""
    right: bool | None = None
    whole: bool | None = None
    detail: str = ""
    retry_after: str = ""
    target: str = ""


@define
class Targets:
    """Select the balancer's targets in rotation."""

    addresses: list[str] = field(factory=list)
    _position: int = 0

    def next(self, other_than: str = "") -> str | None:
        """Return the next target, other than `other_than` if there is another one."""
        choices = [item for item in self.addresses if item != other_than] or self.addresses
        if not choices:
            return None
        self._position += 1
        return choices[self._position % len(choices)]


class Caller:
    """Send the requests of a demand on time, independently of the answers."""

    def __init__(self, demand: Demand, options: CallerOptions, recorder: Recorder) -> None:
        self._demand = demand
        self._options = options
        self._recorder = recorder
        self._targets = Targets(list(options.targets))
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts = {ANSWERED: 0, NOT_RUN: 0, UNKNOWN: 0, "skipped": 0}

    async def run(self) -> None:
        """Send every request and wait for all answers."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        timeout = aiohttp.ClientTimeout(
            total=self._options.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        ) as session:
            refresher = asyncio.create_task(self._refresh_targets(session))
            try:
                await self._send_all(session)
                await asyncio.gather(*self._tasks)
            finally:
                refresher.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await refresher

    async def _send_all(self, session: aiohttp.ClientSession) -> None:
        await self._wait_for_targets()
        started = time.monotonic()
        self._recorder.write("caller_started", started, rate=self._demand.rate_per_s)
        for request in generate_requests(self._demand, self._options.name):
            due = started + request.due_s
            delay = due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            self._start_call(session, request, due)

    def _start_call(self, session: aiohttp.ClientSession, request: Request, due: float) -> None:
        if len(self._tasks) >= MAX_IN_FLIGHT:
            self.counts["skipped"] += 1
            self._recorder.write("skipped", time.monotonic(), nonce=request.nonce)
            return
        task = asyncio.create_task(self._call(session, request, due))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait_for_targets(self) -> None:
        deadline = time.monotonic() + INITIAL_TARGETS_TIMEOUT_S
        while time.monotonic() < deadline:
            if self._targets.addresses:
                return
            await asyncio.sleep(TARGETS_POLL_INTERVAL_S)
        raise TimeoutError(f"the balancer listed no target within {INITIAL_TARGETS_TIMEOUT_S} s")

    async def _refresh_targets(self, session: aiohttp.ClientSession) -> None:
        if not self._options.platform_url:
            return
        url = f"{self._options.platform_url}/v1/balancer/targets"
        timeout = aiohttp.ClientTimeout(total=TARGETS_TIMEOUT_S)
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError, KeyError):
                async with session.get(url, timeout=timeout) as answer:
                    listed = (await answer.json())["targets"]
                    self._targets.addresses = [item["address"] for item in listed]
            await asyncio.sleep(TARGETS_POLL_INTERVAL_S)

    async def _call(self, session: aiohttp.ClientSession, request: Request, due: float) -> None:
        target = ""
        for number in range(self._options.max_retries + 1):
            if number:
                await asyncio.sleep(RETRY_DELAY_S)
                due = time.monotonic()
            target = self._targets.next(other_than=target) or ""
            attempt = await self._attempt(session, request, number, target, due)
            if attempt.outcome != UNKNOWN or request.keyless:
                return

    async def _attempt(
        self, session: aiohttp.ClientSession, request: Request, number: int, target: str, due: float
    ) -> Attempt:
        sent = time.monotonic()
        attempt = await self._send_to_reachable_target(session, request, number, target)
        done = time.monotonic()
        self.counts[attempt.outcome] += 1
        self._recorder.write(
            "attempt",
            sent,
            due=due,
            done=done,
            latency_ms=(done - due) * 1000,
            nonce=request.nonce,
            attempt=str(number),
            key=request.key,
            operation=request.operation,
            repeatable=request.idempotent,
            idempotency_key=_idempotency_key(request),
            work_ms=request.work_ms,
            **asdict(attempt),
        )
        return attempt

    async def _send_to_reachable_target(
        self, session: aiohttp.ClientSession, request: Request, number: int, target: str
    ) -> Attempt:
        """Send the request; try another target if the connection to one fails."""
        attempt = Attempt(NOT_RUN, detail="no-target")
        for _ in range(MAX_CONNECT_ATTEMPTS):
            if not target:
                return attempt
            attempt = await self._send(session, request, number, target)
            if attempt.detail != CONNECT_FAILED:
                return attempt
            target = self._targets.next(other_than=target) or ""
        return attempt

    async def _send(
        self, session: aiohttp.ClientSession, request: Request, number: int, target: str
    ) -> Attempt:
        url = f"http://{target}{self._options.path}"
        headers = self._headers(request, number)
        body = _work_json(request)
        try:
            async with session.post(url, data=body, headers=headers) as answer:
                attempt = classify_answer(
                    request, answer.status, answer.headers, await answer.read()
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # No connection was made, so no byte of the request was sent.
            attempt = Attempt(NOT_RUN, detail=CONNECT_FAILED)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            attempt = Attempt(UNKNOWN, detail=type(error).__name__)
        attempt.target = target
        return attempt

    def _headers(self, request: Request, number: int) -> dict[str, str]:
        headers = {
            "Hyssopwood-Key": request.key,
            "Hyssopwood-Operation": request.operation,
            "Hyssopwood-Deadline-Ms": str(self._options.deadline_ms),
            "X-Nonce": request.nonce,
            "X-Attempt": str(number),
            "X-Work-Ms": str(request.work_ms),
            "X-Answer-Bytes": str(request.answer_bytes),
            "Content-Type": "application/json",
        }
        idempotency_key = _idempotency_key(request)
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        return headers


def _idempotency_key(request: Request) -> str | None:
    return None if request.idempotent or request.keyless else request.nonce


def _work_json(request: Request) -> str:
    """Return the body, which repeats the work headers for routers that drop unknown headers."""
    work = {"work_ms": request.work_ms, "answer_bytes": request.answer_bytes}
    return json.dumps({"nonce": request.nonce, **work})


def classify_answer(request: Request, status: int, headers: Any, body: bytes) -> Attempt:
    """Classify a complete HTTP response by its status and `Hyssopwood-Run` header."""
    run = headers.get("Hyssopwood-Run", "")
    retry_after = headers.get("Retry-After", "")
    if run == "run" and status == 200:
        check = check_body(body, request.key, request.nonce)
        return Attempt(ANSWERED, status, run, check.matches_request, check.complete)
    detail = _problem_title(body)
    outcome = NOT_RUN if run == "not-run" else UNKNOWN
    return Attempt(outcome, status, run, detail=detail, retry_after=retry_after)


def _problem_title(body: bytes) -> str:
    try:
        problem = json.loads(body)
        return str(problem.get("reason") or problem.get("type") or problem.get("title") or "")
    except (ValueError, AttributeError):
        return ""


def _parse_surge(text: str) -> Surge:
    start, end, factor = (float(part) for part in text.split(":"))
    return Surge(start, end, factor)


def _parse_hot_key(text: str) -> HotKey:
    key, share, start, end = text.rsplit(":", 3)
    return HotKey(key, float(share), float(start), float(end))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the caller process."""
    options = parser.add_argument_group("requests")
    options.add_argument(
        "--name", default="caller", help="unique name of the caller and prefix of its nonces"
    )
    options.add_argument(
        "--platform-url", default="", help="URL of the platform, which lists the targets"
    )
    options.add_argument("--target", action="append", default=[], help="fixed target, ip:port")
    options.add_argument("--path", default="/portal/work")
    options.add_argument("--record", type=Path, help="append records as JSON lines")
    options.add_argument("--deadline-ms", type=int, default=2_000)
    options.add_argument("--timeout-s", type=float, default=10.0)
    options.add_argument("--max-repeats", type=int, default=2)
    _add_demand_arguments(parser.add_argument_group("demand"))


def _add_demand_arguments(group: Any) -> None:
    group.add_argument("--rate", type=float, required=True, help="requests per second")
    group.add_argument("--duration-s", type=float, required=True)
    group.add_argument("--max-requests", type=int, default=1_000_000)
    group.add_argument("--keys", type=int, default=1_000)
    group.add_argument("--key-prefix", default="key")
    group.add_argument("--zipf", type=float, default=0.9)
    group.add_argument("--work-ms", type=float, default=10)
    group.add_argument("--straggler-share", type=float, default=0.0)
    group.add_argument("--straggler-ms", type=float, default=1_000)
    group.add_argument(
        "--once-share", type=float, default=0.3, help="share of non-idempotent requests"
    )
    group.add_argument(
        "--keyless-share",
        type=float,
        default=0.0,
        help="share of the non-idempotent requests that have no idempotency key",
    )
    group.add_argument("--repeatable-operation", default="read")
    group.add_argument("--once-operation", default="adopt")
    group.add_argument("--answer-bytes", type=int, default=256)
    group.add_argument(
        "--surge", type=_parse_surge, action="append", default=[], help="FROM:TO:FACTOR"
    )
    group.add_argument(
        "--hot-key", type=_parse_hot_key, action="append", default=[], help="KEY:SHARE:FROM:TO"
    )
    group.add_argument("--seed", type=int, default=1)


def _demand_from(arguments: argparse.Namespace) -> Demand:
    return Demand(
        rate_per_s=arguments.rate,
        duration_s=arguments.duration_s,
        max_requests=arguments.max_requests,
        keys=arguments.keys,
        key_prefix=arguments.key_prefix,
        zipf=arguments.zipf,
        work_ms=arguments.work_ms,
        straggler_share=arguments.straggler_share,
        straggler_ms=arguments.straggler_ms,
        non_idempotent_share=arguments.once_share,
        keyless_share=arguments.keyless_share,
        idempotent_operation=arguments.repeatable_operation,
        non_idempotent_operation=arguments.once_operation,
        answer_bytes=arguments.answer_bytes,
        surges=tuple(arguments.surge),
        hot_keys=tuple(arguments.hot_key),
        seed=arguments.seed,
    )


def main(arguments: argparse.Namespace) -> int:
    """Send the load and print the counts of outcomes as JSON."""
    options = CallerOptions(
        name=arguments.name,
        platform_url=arguments.platform_url,
        targets=tuple(arguments.target),
        path=arguments.path,
        deadline_ms=arguments.deadline_ms,
        timeout_s=arguments.timeout_s,
        max_retries=arguments.max_repeats,
    )
    recorder = Recorder(arguments.record, caller=arguments.name)
    caller = Caller(_demand_from(arguments), options, recorder)
    web_process.run(caller.run())
    logger.info("outcomes: {}", caller.counts)
    print(json.dumps(caller.counts))
    return 0
