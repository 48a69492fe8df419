"""A flood of connections from callers that don't keep to the rules of a gateway."""

import asyncio
import itertools
import socket

from attrs import frozen

HOST = "shop.example"
MIB = 1 << 20
MAX_BODY_BYTES = 8 * MIB
SLICE_BYTES = 65_536
PIECE_BYTES = 16_384
# Bytes far over the limit on bodies.
OVERSIZED_BYTES = 10 * MAX_BODY_BYTES
PIPELINED_REQUESTS = 200
# Sends of a single byte between two pauses, so that one connection leaves time for the others.
BYTES_IN_A_ROW = 32

_ZEROS = memoryview(bytes(SLICE_BYTES))
_CHUNK = b"%x\r\n" % SLICE_BYTES + bytes(SLICE_BYTES) + b"\r\n"
_TINY_CHUNKS = b"1\r\na\r\n" * 10_000
_TINY_CHUNK_SENDS = 60
_CHUNKED = "Transfer-Encoding: chunked\r\n"

_ids = itertools.count(1)


def _head(method, path, fields=""):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: f{next(_ids)}\r\n"
        f"Deadline-Ms: 2000\r\n{fields}\r\n"
    ).encode()


@frozen
class _Caller:
    """One connection of the flood."""

    connection: socket.socket

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.connection, data)

    async def send_zeros(self, size, slice_bytes=SLICE_BYTES, pause_s=0.0):
        while size > 0:
            await self.send(_ZEROS[: min(size, slice_bytes)])
            size -= slice_bytes
            if pause_s:
                await asyncio.sleep(pause_s)


def _length(size):
    return f"Content-Length: {size}\r\n"


async def _send_whole(caller):
    await caller.send(_head("POST", "/desk/whole", _length(MAX_BODY_BYTES)))
    await caller.send_zeros(MAX_BODY_BYTES - 1)


async def _send_pieces(caller):
    await caller.send(_head("POST", "/desk/pieces", _length(MAX_BODY_BYTES)))
    await caller.send_zeros(MAX_BODY_BYTES - 1, PIECE_BYTES, pause_s=0.001)


async def _send_large_chunks(caller):
    await caller.send(_head("POST", "/desk/chunks", _CHUNKED))
    for _ in range(MAX_BODY_BYTES // SLICE_BYTES - 1):
        await caller.send(_CHUNK)
    # The last chunk lacks its last byte.
    await caller.send(_CHUNK[:-3])


async def _send_tiny_chunks(caller):
    await caller.send(_head("POST", "/desk/tiny", _CHUNKED))
    for _ in range(_TINY_CHUNK_SENDS):
        await caller.send(_TINY_CHUNKS)


async def _send_declared_oversize(caller):
    await caller.send(_head("POST", "/desk/over", _length(OVERSIZED_BYTES)))
    await caller.send_zeros(OVERSIZED_BYTES)


async def _stream_oversize(caller):
    await caller.send(_head("POST", "/desk/over", _CHUNKED))
    for _ in range(OVERSIZED_BYTES // SLICE_BYTES):
        await caller.send(_CHUNK)


async def _send_head_bytes(caller):
    head = _head("GET", "/desk/head", f"X-Filler: {'x' * 8000}\r\n")
    for index, byte in enumerate(head[:-1]):
        await caller.send(bytes((byte,)))
        if index % BYTES_IN_A_ROW == 0:
            await asyncio.sleep(0)


async def _leave_answer_unread(caller):
    await caller.send(_head("GET", "/desk/large/one"))


async def _leave_answers_unread(caller):
    """Pipeline requests whose answers are small enough to be buffered whole."""
    for _ in range(PIPELINED_REQUESTS):
        await caller.send(_head("GET", "/desk/large/many"))


async def _send_nothing(caller):
    """Keep a connection open."""


PATTERNS = {
    "whole bodies": _send_whole,
    "bodies in pieces": _send_pieces,
    "large chunks": _send_large_chunks,
    "tiny chunks": _send_tiny_chunks,
    "bodies declared over the limit": _send_declared_oversize,
    "bodies streamed over the limit": _stream_oversize,
    "heads byte by byte": _send_head_bytes,
    "requests for large answers that nobody reads": _leave_answer_unread,
    "pipelined requests for answers that nobody reads": _leave_answers_unread,
    "nothing": _send_nothing,
}


@frozen
class CallerFlood:
    """Connections that send a load pattern and stay open, as far as the gateway lets them."""

    address: tuple[str, int]
    pattern: str

    async def run(self, count):
        """Send the pattern on all connections at once until cancelled."""
        await asyncio.gather(*(self._run_one() for _ in range(count)))

    async def _run_one(self):
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            # Unread answers stay with the gateway and don't wait in this process's receive buffer.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLICE_BYTES)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                await loop.sock_connect(connection, self.address)
                await PATTERNS[self.pattern](_Caller(connection))
            except OSError:
                # The gateway has refused the request and closed the connection.
                return
            await asyncio.Event().wait()
