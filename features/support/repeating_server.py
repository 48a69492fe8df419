"""A server that refuses its first request and later writes that refusal once more."""

import asyncio

WORK_S = 0.02
# Bytes of a repeated refusal that arrive apart from its rest; they end inside of the status line.
PIECE_BYTES = 20


def encode_answer(status, request_id=b"", *headers):
    """Return the bytes of an answer, without an id if `request_id` is empty."""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: 0", *headers]
    if request_id:
        lines.append(b"Request-Id: " + request_id)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class RepeatingServer:
    """Refuse the first request, run all later ones and repeat the refusal at a given moment."""

    def __init__(self, status, has_id, moment):
        self._status = status.encode()
        # Whether the repeated refusal has the id of the refused request.
        self._has_id = has_id
        self._moment = moment
        self._refused = False
        self.connections = 0
        self.ran = []
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return server

    async def _serve(self, reader, writer):
        self.connections += 1
        # The refusal that is repeated on this connection.
        repeated = b""
        try:
            while True:
                request_id = await self._read_id(reader)
                if self._refused:
                    await self._answer(writer, repeated, request_id)
                else:
                    self._refused = True
                    repeated = self._refusal(request_id if self._has_id else b"")
                    await self._refuse(writer, repeated, request_id)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _read_id(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = (line for line in head.split(b"\r\n") if line.startswith(b"Request-Id: "))
        return next(lines, b"").partition(b": ")[2]

    def _refusal(self, request_id):
        return encode_answer(self._status, request_id, b"Not-Executed: 1")

    async def _refuse(self, writer, repeated, request_id):
        at_once = {
            "in the same packet": repeated,
            "half in the same packet": repeated[:PIECE_BYTES],
        }
        writer.write(self._refusal(request_id) + at_once.get(self._moment, b""))
        if self._moment == "before the next request":
            await asyncio.sleep(WORK_S / 2)
            writer.write(repeated)

    async def _answer(self, writer, repeated, request_id):
        self.ran.append(request_id.decode())
        answer = encode_answer(b"200 OK", request_id, b"Response-Signature: s")
        if repeated:
            await self._repeat(writer, repeated)
        await asyncio.sleep(WORK_S)
        if self._moment == "with the answer":
            answer = repeated + answer
        writer.write(answer)

    async def _repeat(self, writer, repeated):
        if self._moment == "half in the same packet":
            writer.write(repeated[PIECE_BYTES:])
        elif self._moment == "before the answer":
            writer.write(repeated)
        elif self._moment == "after an interim answer":
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n" + repeated)
        elif self._moment == "in pieces":
            writer.write(repeated[:PIECE_BYTES])
            await asyncio.sleep(WORK_S / 2)
            writer.write(repeated[PIECE_BYTES:])
