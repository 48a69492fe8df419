"""A broken answer resets its connection, and with it requests that other servers have run."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from standins import (  # noqa: E402
    BackendServer,
    Clients,
    Gateway,
    Record,
    Request,
    Store,
    configuration,
    read_answer,
)

SERVICE = "portal"
# The keys are divided evenly: the first server has the lower half, the second the upper one.
FAULTY_KEY, SOUND_KEY = 100, 60_000
LARGE_BYTES = 300_000
BROKEN_ANSWERS = 2
PIPELINED = 3
ORDINARY_REQUESTS = 150
SOUND_WORK_MS = 300
DEADLINE_MS = 4000
# RULES.md: "more than three times".
ALLOWED = 3


class LargeAnswers(BackendServer):
    """A server whose answers to some paths are large."""

    async def _answer(self, request: Request) -> bytes:
        answer = await super()._answer(request)
        if "/large/" not in request.path or not answer.startswith(b"HTTP/1.1 200"):
            return answer
        head, _, _ = answer.partition(b"\r\nContent-Length")
        return head + f"\r\nContent-Length: {LARGE_BYTES}\r\n\r\n".encode() + bytes(LARGE_BYTES)


async def pipeline(clients: Clients, gateway: Gateway) -> tuple[list[str], int]:
    """Send one request, then a large one and further ones behind it on the same connection.

    Return the ids of the further ones, and how many of them were answered.
    """
    reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
    try:
        _, data = clients.encode("GET", "/browse/5", SOUND_KEY, DEADLINE_MS)
        writer.write(data)
        await read_answer(reader)
        large, data = clients.encode("GET", "/browse/large/5", FAULTY_KEY, DEADLINE_MS)
        writer.write(data)
        clients.record.write("sent", request=large, key=FAULTY_KEY)
        behind = []
        for _ in range(PIPELINED):
            path = f"/browse/{SOUND_WORK_MS}"
            request_id, data = clients.encode("GET", path, SOUND_KEY, DEADLINE_MS)
            clients.record.write("sent", request=request_id, key=SOUND_KEY, behind=large)
            writer.write(data)
            behind.append(request_id)
        answered = -1
        try:
            while answered < PIPELINED:
                status, headers, _ = await asyncio.wait_for(read_answer(reader), 6)
                clients.record.write("answered", request=headers.get("request-id"), status=status)
                answered += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            clients.record.write("connection ended", error=type(error).__name__, behind=large)
        return behind, max(0, answered)
    finally:
        writer.transport.abort()


async def play(record: Record, trouble: bool) -> int:
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration(5, SERVICE))
    faulty = LargeAnswers(record, store, "i-a", SERVICE)
    sound = BackendServer(record, store, "i-b", SERVICE)
    servers = [faulty, sound]
    gateway = Gateway(record, store, "edge-1")
    clients = Clients(record, "shop.example")
    try:
        for server in servers:
            await server.start()
            server.begin_heartbeats()
        gateway.launch()
        if not await gateway.wait_ready():
            return 2
        for _ in range(ORDINARY_REQUESTS):
            await clients.send(gateway, "/browse/2", FAULTY_KEY)
        lost = 0
        faulty.breaks_off = lambda request: trouble and "/large/" in request.path
        for _ in range(BROKEN_ANSWERS):
            behind, answered = await pipeline(clients, gateway)
            ran = sum(request_id in sound.runs for request_id in behind)
            record.write("behind a large answer", sent=len(behind), ran=ran, answered=answered)
            lost += max(0, ran - answered)
        record.write("totals", lost=lost, answers_of_faulty=faulty.answers)
        return 1 if lost > ALLOWED else 0
    finally:
        gateway.close()
        for server in servers:
            await server.stop()
        await store.stop()


def main() -> None:
    """Play the case and exit with its result."""
    record = Record(HERE / "record.txt")
    try:
        code = asyncio.run(asyncio.wait_for(play(record, os.environ.get("TROUBLE") != "0"), 110))
    except TimeoutError:
        code = 2
    record.write("result", code=code)
    record.close()
    sys.exit(code)


main()
