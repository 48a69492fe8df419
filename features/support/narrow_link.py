"""A loopback proxy that plays the narrow network link of one machine to the store."""

import asyncio
import contextlib

PIECE_BYTES = 4096
# Bytes that wait in the proxy for one connection, as in the window of a real one.
WINDOW_BYTES = 32_768


class NarrowLink:
    """Forward connections to a server; the answers on all of them share a rate."""

    def __init__(self, target, mbit_s):
        self.target = target
        self.bytes_s = mbit_s * 1e6 / 8
        self.address = ""
        self.forwarded = 0
        self._free_at = 0.0
        self._server = None
        self._connections = {}

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def silence(self):
        """Forward nothing more on the open connections, without closing them."""
        for silent in self._connections.values():
            silent.set()

    def reset(self):
        """Reset the open connections."""
        for task in list(self._connections):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        silent = self._connections[task] = asyncio.Event()
        try:
            host, _, port = self.target.rpartition(":")
            with contextlib.suppress(OSError, asyncio.CancelledError):
                answers, requests = await asyncio.open_connection(
                    host, int(port), limit=WINDOW_BYTES
                )
                try:
                    await self._forward(
                        _pump(reader, requests, silent),
                        self._pump_answers(answers, writer, silent),
                    )
                finally:
                    requests.transport.abort()
        finally:
            self._connections.pop(task, None)
            writer.transport.abort()

    async def _forward(self, *pumps):
        """Run both directions until one ends."""
        tasks = [asyncio.ensure_future(item) for item in pumps]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _pump_answers(self, reader, writer, silent):
        loop = asyncio.get_running_loop()
        while data := await reader.read(PIECE_BYTES):
            self._free_at = max(self._free_at, loop.time()) + len(data) / self.bytes_s
            await asyncio.sleep(self._free_at - loop.time())
            if silent.is_set():
                await asyncio.Event().wait()
            writer.write(data)
            self.forwarded += len(data)
            await writer.drain()


async def _pump(reader, writer, silent):
    while data := await reader.read(PIECE_BYTES):
        if silent.is_set():
            await asyncio.Event().wait()
        writer.write(data)
        await writer.drain()
