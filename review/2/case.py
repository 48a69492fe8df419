"""MIXED: a relayed answer without a length is cut off when the relaying gateway is killed.

A gateway's opening packet to an upstream is lost, so it sends the request by way of the second
gateway, which copies bytes. The upstream's answer has no length and ends with its connection. The
second gateway is killed while it relays the answer; its kernel closes the connection in order, and
the first gateway takes that for the end of the answer.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    Answer,
    Gateway,
    Headers,
    Record,
    Request,
    Store,
    Upstream,
    encode_request,
    free_port,
    manifest,
    new_id,
    read_answer,
    route,
    run_case,
    send_pings,
)

HOST = "ficu95.example"
# The answers of surrender-booking have up to 30,000 bytes; its mean work is 130 ms.
BODY = bytes(index % 251 for index in range(20_000))
FIRST_PART = 8_000
WORK_S = 0.13
# Pause within an answer's body.
BODY_PAUSE_S = 0.2
# How long the first gateway's opening packets to the upstream are lost.
LOSS_S = 0.3
KILL_AFTER_S = 0.05


class PausingUpstream(Upstream):
    """An upstream whose answers have no length and arrive in two parts.

    While `closed` is set, opening packets are lost: the queue of new connections is full.
    """

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, "desk", record, False, 2)
        self.first_part_sent = asyncio.Event()
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []

    async def start(self) -> None:
        self.port = free_port(self.host)
        self._listener = socket.create_server((self.host, self.port), backlog=1)
        self._listener.setblocking(False)
        await self.accept_again()

    async def lose_opening_packets(self) -> None:
        """Stop accepting, and fill the queue of new connections."""
        self._server.remove_serving()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)
        await asyncio.sleep(0.05)

    async def accept_again(self) -> None:
        self._server = Acceptor(self._listener, self._serve)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    async def run(self, request: Request, headers: Headers, writer: asyncio.StreamWriter) -> bool:
        name = request.headers["request-id"]
        peer = writer.get_extra_info("peername")
        self.ran[name] = self.ran.get(name, 0) + 1
        self._record.add(f"{self.name}: runs {request.method} id {name}, connection {peer}")
        await asyncio.sleep(self.work_s)
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {name}",
            f"Response-Signature: {self.name}.{name}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + BODY[:FIRST_PART])
        await writer.drain()
        self._record.add(f"{self.name}: has sent the head and {FIRST_PART} of {len(BODY)} bytes")
        self.first_part_sent.set()
        await asyncio.sleep(BODY_PAUSE_S)
        try:
            writer.write(BODY[FIRST_PART:])
            await writer.drain()
            self._record.add(f"{self.name}: has sent the rest and closes the connection")
        except OSError as error:
            self._record.add(f"{self.name}: could not send the rest: {type(error).__name__}")
        return False


class Acceptor:
    """Accept connections on a socket until told to stop."""

    def __init__(self, listener: socket.socket, serve) -> None:
        self._listener, self._serve = listener, serve
        self._task = asyncio.ensure_future(self._run())

    def remove_serving(self) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            asyncio.ensure_future(self._serve(reader, writer))


async def send(gateway: Gateway, record: Record) -> Answer | None:
    name = new_id()
    headers = {"Host": HOST, "Request-Id": name, "Deadline-Ms": "2500"}
    reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
    record.add(f"client: PUT id {name} to {gateway.name}")
    writer.write(encode_request("PUT", "/pufi791/2f", headers, b"{}"))
    try:
        answer = await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError) as error:
        record.add(f"client: id {name} got no answer: {type(error).__name__}")
        return None
    writer.close()
    record.add(
        f"client: id {name} got {answer.status}, signature "
        f"{answer.headers.get('response-signature', 'none')}, {len(answer.body)} bytes, "
        f"{'complete' if answer.complete else 'cut off'}, headers {answer.headers}"
    )
    return answer


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    store = Store(record)
    await store.start()
    routes = [route("r-a", "/pufi791/", "unsafe", "desk", 2.5, 0.5)]
    store.put("keyed.op", "config", manifest(routes, {"desk": False}, 1_048_576))
    upstreams = [PausingUpstream(f"i-{index}", record) for index in range(3)]
    for item in upstreams:
        await item.start()
        item.work_s = WORK_S
    pings = asyncio.ensure_future(send_pings(store, upstreams, record))
    first = Gateway("edge-z1-1", store.address, folder, record)
    second = Gateway("edge-z1-2", store.address, folder, record)
    try:
        for gateway in (first, second):
            await gateway.start()
            await gateway.wait_ready()
        await asyncio.sleep(3.0)
        if trouble:
            record.add(f"disruption: opening packets to the upstreams are lost for {LOSS_S} s")
            for item in upstreams:
                await item.lose_opening_packets()
        request = asyncio.ensure_future(send(first, record))
        await asyncio.sleep(LOSS_S)
        if trouble:
            for item in upstreams:
                await item.accept_again()
            record.add("disruption ends: opening packets arrive again")
        parts = [asyncio.ensure_future(item.first_part_sent.wait()) for item in upstreams]
        await asyncio.wait(parts, timeout=4, return_when=asyncio.FIRST_COMPLETED)
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            record.add("disruption: the relaying gateway is killed")
            second.signal(signal.SIGKILL)
        answer = await request
    finally:
        pings.cancel()
        await first.end()
        await second.end()
    # The rule: a success with a body that isn't the upstream's whole body.
    return answer is None or not answer.complete or answer.status >= 300 or answer.body == BODY


run_case(case, Path(__file__).resolve().parent / "record.txt")
