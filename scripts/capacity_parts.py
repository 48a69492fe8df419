"""Measure single modules in this process: state, records, permits and the entry."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop
from loguru import logger
from measure_request_path import LOOPBACK, _ImmediateHandler, _service_table

from hyssopwood.admission import Admission, AdmissionRequest, AdmittedSlot
from hyssopwood.checkpoint import decode_state, encode_state
from hyssopwood.dispatch import CallerRequest
from hyssopwood.durations import Durations
from hyssopwood.entry import Entry, Readiness
from hyssopwood.messages import (
    Envelope,
    PermitReply,
    PermitRequest,
    PermitReturn,
    SupportReply,
    SupportRequest,
    decode,
    encode,
)
from hyssopwood.outcomes import Answered
from hyssopwood.records import (
    Body,
    CoordinatorChange,
    FenceRecord,
    Grant,
    GrantedRecord,
    JoinRecord,
    LeaveRecord,
    LogRecord,
    Move,
    PlannerRecord,
    PlanRecord,
    TicketRecord,
    VotersCommittedRecord,
    VotersProposedRecord,
    decode_record,
    encode_record,
)
from hyssopwood.state import ClusterState
from hyssopwood.timers import SystemTimers
from hyssopwood.transitions import apply

REPEATS = 30
SERVICE = "portal"
US_PER_S = 1e6
OPERATIONS = {"browse": {"repeatable": True}, "adopt": {"repeatable": False}}


def _cpu_us(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the minimum CPU time of a call in microseconds, which excludes most interference."""
    least_s = float("inf")
    for _ in range(repeats):
        started_at = time.process_time()
        call()
        least_s = min(least_s, time.process_time() - started_at)
    return least_s * US_PER_S


class _StateBuilder:
    """Build a state by applying the records that a real log would hold."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self._sequences: dict[str, int] = {}

    def record(self, writer: str, body: Body) -> LogRecord:
        self._sequences[writer] = self._sequences.get(writer, 0) + 1
        return LogRecord(f"{writer}:{self._sequences[writer]}", writer, body)

    def add(self, writer: str, body: Body) -> None:
        applied = apply(self.state, self.state.applied + 1, 0, self.record(writer, body))
        assert not applied.rejected, applied.rejected
        self.state = applied.state

    def apply_call(self, writer: str, body: Body) -> Callable[[], object]:
        """Return a call that applies the next record to the state without keeping the result."""
        record = self.record(writer, body)
        return lambda: apply(self.state, self.state.applied + 1, 0, record)


def _incarnation(number: int) -> str:
    return f"entry-{number}.{number:016x}"


def _join_record(number: int) -> JoinRecord:
    return JoinRecord(
        instance=f"entry-{number}",
        incarnation=_incarnation(number),
        peer_address=f"10.0.{number // 250}.{number % 250}:7000",
        http_address=f"10.0.{number // 250}.{number % 250}:8000",
        failure_domain=f"d{number % 4}",
    )


def _server_entry(number: int) -> dict[str, Any]:
    address = f"10.{1 + number // 62_500}.{number // 250 % 250}.{number % 250}:9000"
    return {
        "service": SERVICE,
        "address": address,
        "failure_domain": f"d{number % 4}",
        "slots": 2,
    }


def _ticket_text(servers: int, shards: int) -> str:
    service = {
        "customer": "beridze",
        "shards": shards,
        "path_prefix": "/portal/",
        "operations": OPERATIONS,
    }
    server_entries = {f"s{number}": _server_entry(number) for number in range(servers)}
    return json.dumps({"number": 1, "services": {SERVICE: service}, "servers": server_entries})


def _limits_ticket(number: int) -> TicketRecord:
    text = json.dumps({"number": number, "limits": {SERVICE: {"queue": 40}}})
    return TicketRecord(publisher="operator", text=text)


def _build_state(members: int, servers: int, partitions: int) -> _StateBuilder:
    builder = _StateBuilder()
    for number in range(members):
        builder.add(_incarnation(number), _join_record(number))
    builder.add("cli.1", TicketRecord(publisher="operator", text=_ticket_text(servers, partitions)))
    planner = _incarnation(0)
    claim = PlannerRecord(instance="entry-0", incarnation=planner, previous_epoch=-1)
    builder.add(planner, claim)
    epoch = builder.state.planner_epoch
    changes = tuple(
        CoordinatorChange(server=f"s{number}", incarnation=_incarnation(number % members))
        for number in range(servers)
    )
    moves = tuple(
        Move(partition=f"{SERVICE}/{number}", target=f"s{number % servers}")
        for number in range(partitions)
    )
    builder.add(planner, PlanRecord(epoch=epoch, coordinators=changes, moves=moves))
    return builder


def _record_bodies(builder: _StateBuilder) -> dict[str, tuple[str, Body]]:
    state = builder.state
    planner, epoch = state.planner, state.planner_epoch
    members = list(state.members)
    voters = tuple(members[:9])
    target = "s1" if state.ownerships[f"{SERVICE}/0"].server == "s0" else "s0"
    owner = state.ownerships[f"{SERVICE}/0"]
    coordinator = state.coordinations[owner.server].incarnation
    grant = Grant(partition=f"{SERVICE}/0", token=owner.token, server=owner.server)
    last = members[-1]
    leave = LeaveRecord(instance=state.members[last].instance, incarnation=last)
    return {
        "ticket": ("cli.2", _limits_ticket(2)),
        "join": ("entry-9999.1", _join_record(9_999)),
        "leave": (last, leave),
        "planner": (
            members[1],
            PlannerRecord(instance="entry-1", incarnation=members[1], previous_epoch=epoch),
        ),
        "plan, 1 move": (
            planner,
            PlanRecord(epoch=epoch, moves=(Move(partition=f"{SERVICE}/0", target=target),)),
        ),
        "voters_proposed": (planner, VotersProposedRecord(epoch=epoch, voters=voters)),
        "voters_committed": (planner, VotersCommittedRecord(epoch=epoch, acks=voters[:5])),
        "fence": (planner, FenceRecord(instance="entry-1", incarnation=members[1], absent=True)),
        "granted, 1 grant": (coordinator, GrantedRecord(grants=(grant,))),
    }


def _state_row(label: str, members: int, servers: int, partitions: int) -> None:
    gc.collect()
    tracemalloc.start()
    builder = _build_state(members, servers, partitions)
    gc.collect()
    kept_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    bodies = _record_bodies(builder)
    names = ("plan, 1 move", "join", "ticket", "fence")
    costs = {name: _cpu_us(builder.apply_call(*bodies[name])) for name in names}
    encode_us = _cpu_us(lambda: encode_state(builder.state), 3)
    parts = encode_state(builder.state)
    decode_us = _cpu_us(lambda: decode_state(parts), 3)
    shown = "  ".join(f"{name}={cost:.0f}us" for name, cost in costs.items())
    print(
        f"{label} members={members} servers={servers} partitions={partitions}: "
        f"state={kept_kb:.0f}KB {shown}  checkpoint={sum(map(len, parts))}B in {len(parts)} "
        f"parts, encode={encode_us / 1000:.1f}ms decode={decode_us / 1000:.1f}ms",
        flush=True,
    )


def measure_state() -> None:
    """Print the state's memory and CPU cost by number of partitions, servers and members."""
    for partitions in (1_000, 8_000, 32_000, 64_000):
        _state_row("partitions", 9, 20, partitions)
    for servers in (20, 200, 1_000, 3_000):
        _state_row("servers", 9, servers, 1_000)
    for members in (9, 90, 350, 700):
        _state_row("members", members, 20, 1_000)
    _state_row("target", 700, 3_000, 32_000)


def measure_records() -> None:
    """Print the size, decode cost and apply cost of each kind of record for three state sizes."""
    for members, servers, partitions in ((9, 20, 64), (90, 200, 4_096), (700, 1_000, 16_384)):
        builder = _build_state(members, servers, partitions)
        # Only a member that coordinates no server may leave, so add one.
        builder.add(_incarnation(9_998), _join_record(9_998))
        print(f"members={members} servers={servers} partitions={partitions}")
        bodies = _record_bodies(builder)
        for name, (writer, body) in bodies.items():
            if isinstance(body, VotersCommittedRecord):
                # The first set of voters needs no commit, so propose a second one.
                builder.add(*bodies["voters_proposed"])
                builder.add(writer, VotersProposedRecord(epoch=body.epoch, voters=body.acks))
            text = encode_record(builder.record(writer, body))
            decode_us = _cpu_us(lambda text=text: decode_record(text))
            record = builder.record(writer, body)
            offset = builder.state.applied + 1
            result = apply(builder.state, offset, 0, record)
            apply_us = _cpu_us(builder.apply_call(writer, body))
            effect = result.rejected or "accepted"
            print(
                f"    {name}: {len(text)} B, decode {decode_us:.0f} us, apply {apply_us:.0f} us"
                f" ({effect})",
                flush=True,
            )


# Permits


def _permit_request(number: int, position: int = 100_000) -> PermitRequest:
    return PermitRequest(
        f"entry-1.0123456789abcdef.{number}", "s1", SERVICE, "browse", f"animal-{number}",
        2_000, number, "", "beridze", position,
    )  # fmt: skip


async def _admission_us(queue: int, count: int) -> float:
    """Return the CPU time in us of an admission and release while `queue` requests wait."""
    timers = SystemTimers()
    durations = Durations(timers)
    admission = Admission("s1", 2, timers, durations, max(queue + 10, 50), rng=random.Random(1))

    def request(number: int) -> AdmissionRequest:
        return AdmissionRequest(
            f"r{number}", SERVICE, "beridze", "browse", None, timers.now() + 1_000
        )

    running = [await admission.acquire(request(-number)) for number in range(2)]
    waiting = [asyncio.ensure_future(admission.acquire(request(n))) for n in range(queue)]
    await asyncio.sleep(0)
    started_at = time.process_time()
    for number in range(count):
        task = asyncio.ensure_future(admission.acquire(request(queue + number)))
        waiting.append(task)
        await asyncio.sleep(0)
        slot = running.pop(0)
        assert isinstance(slot, AdmittedSlot)
        admission.release(slot, 0.005, True)
        first_waiting = waiting.pop(0)
        running.append(await first_waiting)
    cpu_s = time.process_time() - started_at
    for task in waiting:
        task.cancel()
    return cpu_s / count * US_PER_S


def _codec_us(body: Any, count: int = 2_000) -> tuple[int, float, float]:
    envelope = Envelope(7, 0, body)
    data = encode(envelope)

    def encoding() -> None:
        for _ in range(count):
            encode(envelope)

    def decoding() -> None:
        for _ in range(count):
            decode(data)

    return len(data) + 4, _cpu_us(encoding, 3) / count, _cpu_us(decoding, 3) / count


def measure_permits() -> None:
    """Print the codec cost of each message and the admission cost by queue length."""
    bodies = (
        _permit_request(1),
        PermitReply(True, 12_345, f"{SERVICE}/17", 99, 88, 190),
        PermitReturn(12_345, "answered", 5.2, 200, b""),
        SupportRequest(_incarnation(1), 1_000),
        SupportReply(True, 1_000, 100_000),
    )
    for body in bodies:
        size, encode_us, decode_us = _codec_us(body)
        name = type(body).__name__
        print(f"{name}: {size} B, encode {encode_us:.1f} us, decode {decode_us:.1f} us")
    for queue in (0, 10, 40, 160):
        cost = asyncio.run(_admission_us(queue, 2_000))
        print(f"admission with {queue} waiting: {cost:.1f} us for acquire and release", flush=True)


# Entry


class _WaitingHandler:
    """A handler that keeps every request in flight until released."""

    def __init__(self, expected: int) -> None:
        self.release = asyncio.Event()
        self.all_arrived = asyncio.Event()
        self._expected = expected

    async def handle(self, request: CallerRequest) -> Answered:
        self._expected -= 1
        if not self._expected:
            self.all_arrived.set()
        await self.release.wait()
        return await _ImmediateHandler().handle(request)


def _resident_kb() -> int:
    lines = Path("/proc/self/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


async def _start_entry(handler: Any) -> Entry:
    table = _service_table()
    entry = Entry(
        f"{LOOPBACK}:0", handler, lambda: table, SystemTimers(),
        readiness=lambda: Readiness(True), metrics=lambda: b"", status=dict,
    )  # fmt: skip
    await entry.start()
    return entry


def _request_bytes(body_bytes: int) -> bytes:
    return (
        b"POST /portal/animals/17 HTTP/1.1\r\nHost: portal\r\nHyssopwood-Key: 17\r\n"
        b"Hyssopwood-Operation: read\r\nHyssopwood-Deadline-Ms: 20000\r\n"
        b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % body_bytes
    ) + b"x" * body_bytes


async def _start_child(port: int, mode: str, *numbers: int) -> asyncio.subprocess.Process:
    arguments = (str(port), mode, *map(str, numbers))
    return await asyncio.create_subprocess_exec(
        sys.executable, __file__, *arguments, stdin=asyncio.subprocess.PIPE
    )


async def _measure_connections(size: int) -> None:
    entry = await _start_entry(_ImmediateHandler())
    before = _resident_kb()
    child = await _start_child(entry.port, "idle", size)
    await asyncio.sleep(4)
    kb_each = (_resident_kb() - before) / size
    print(f"{size} idle connections: {kb_each:.1f} KB each", flush=True)
    child.stdin.close()
    await child.wait()
    await entry.stop(1.0)


async def _measure_in_flight(size: int) -> None:
    handler = _WaitingHandler(size)
    entry = await _start_entry(handler)
    before = _resident_kb()
    child = await _start_child(entry.port, "flight", size)
    await handler.all_arrived.wait()
    kb_each = (_resident_kb() - before) / size
    print(f"{size} requests in flight, body 1 KB: {kb_each:.1f} KB each", flush=True)
    handler.release.set()
    child.stdin.close()
    await child.wait()
    await entry.stop(1.0)


async def _paced_cost_us(port: int, rate: int, body: int, seconds: int) -> float:
    started_at = time.process_time()
    child = await _start_child(port, "paced", rate, body, seconds)
    assert not await child.wait()
    return (time.process_time() - started_at) / (rate * seconds) * US_PER_S


async def _measure_entry() -> None:
    entry = await _start_entry(_ImmediateHandler())
    await _paced_cost_us(entry.port, 200, 11, 2)
    for rate in (100, 300, 900):
        cost = await _paced_cost_us(entry.port, rate, 11, 4)
        print(f"entry at {rate} requests/s: {cost:.0f} us/request", flush=True)
    for body in (1_000, 30_000, 100_000, 300_000):
        cost = await _paced_cost_us(entry.port, 100, body, 3)
        print(f"entry, body of {body} B: {cost:.0f} us/request", flush=True)
    await entry.stop(1.0)
    # Each size runs in its own process, because freed memory would be reused by the next size.
    for mode in ("measure-connections", "measure-in-flight"):
        for size in (400, 800, 1_600):
            memory = await _start_child(0, mode, size)
            await memory.wait()


def measure_entry() -> None:
    """Print the entry's CPU cost by rate and body size, and its memory by connections."""
    uvloop.run(_measure_entry())


# Child process


async def _request_once(connection: tuple[Any, Any], body: int) -> None:
    reader, writer = connection
    writer.write(_request_bytes(body))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
    await reader.readexactly(int(length or 0))


async def _send_paced(port: int, rate: int, body: int, seconds: int) -> None:
    free: list[Any] = [await asyncio.open_connection(LOOPBACK, port) for _ in range(8)]
    start = asyncio.get_running_loop().time()

    async def send() -> None:
        connection = free.pop() if free else await asyncio.open_connection(LOOPBACK, port)
        await _request_once(connection, body)
        free.append(connection)

    tasks = []
    for number in range(rate * seconds):
        await asyncio.sleep(start + number / rate - asyncio.get_running_loop().time())
        tasks.append(asyncio.ensure_future(send()))
    await asyncio.gather(*tasks)


async def _keep_connections_open(port: int, mode: str, size: int) -> None:
    connections = [await asyncio.open_connection(LOOPBACK, port) for _ in range(size)]
    if mode == "flight":
        for _, writer in connections:
            writer.write(_request_bytes(1_000))
    # Stop when the parent closes this process's standard input.
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def _run_child(port: int, mode: str, *numbers: int) -> None:
    if mode == "measure-connections":
        uvloop.run(_measure_connections(*numbers))
    elif mode == "measure-in-flight":
        uvloop.run(_measure_in_flight(*numbers))
    elif mode == "paced":
        uvloop.run(_send_paced(port, *numbers))
    else:
        uvloop.run(_keep_connections_open(port, mode, *numbers))


if __name__ == "__main__":
    logger.remove()
    _run_child(int(sys.argv[1]), sys.argv[2], *map(int, sys.argv[3:]))
