"""A store that counts connections and calls, and ends connections at a given moment."""

import asyncio

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
NEWEST = b'{"items":[],"end_offset":0}'


class ClosingStore:
    """Answer calls; close a connection instead of answering its `closes_at`-th call.

    With `waits`, calls are answered once that event is set.
    """

    def __init__(self, closes_at=0, always=False, waits=None):
        self._closes_at = closes_at
        # Whether new connections are closed at their first call.
        self._always = always
        self._waits = waits
        self._closed = False
        self.connections = 0
        self.open = 0
        self.most_open = 0
        self.calls = 0
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return server

    async def _serve(self, reader, writer):
        self.connections += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await self._answer_calls(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            self.open -= 1
            writer.close()

    async def _answer_calls(self, reader, writer):
        number = 0
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"Content-Length: " in head:
                await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))
            number += 1
            self.calls += 1
            if self._always or (number == self._closes_at and not self._closed):
                self._closed = True
                return
            if self._waits is not None:
                await self._waits.wait()
            writer.write(ANSWER % (len(NEWEST), NEWEST))
