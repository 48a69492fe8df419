"""Links from one instance to the servers that a test can cut, over forwarders on loopback."""

import asyncio

from hyssopwood.gateway.read_buffer import reset
from hyssopwood.gateway.server_connection import dial

# Longer than any test.
NEVER_S = 3600.0
READ_BYTES = 65_536


class CuttableLinks:
    """Open connections through forwarders, which hang or reset them while the links are cut.

    `fault` is empty while the links work, or one of "hang", "are reset" and "live on while new ones
    are refused".
    """

    def __init__(self):
        self.fault = ""
        # Port of the only server that the fault concerns, or None for all servers.
        self.only_port = None
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._forwarders = {}
        self._writers = set()
        self._tasks = set()

    async def __call__(self, factory, host, port):
        """Open a connection for a daemon."""
        fault = self.fault if self.only_port in (None, port) else ""
        if fault == "hang":
            await asyncio.sleep(NEVER_S)
        if fault:
            raise ConnectionRefusedError("the links are cut")
        return await dial(factory, "127.0.0.1", await self._forwarder(host, port))

    def cut(self, fault):
        """Cut the links in one of the ways above."""
        self.fault = fault
        if fault == "hang":
            self._flowing.clear()
        if fault == "are reset":
            for writer in self._writers:
                reset(writer.transport)

    def heal(self):
        """Restore the links; connections that hang stay silent."""
        if self.fault == "hang":
            self.cut("are reset")
        self.fault = ""
        self._flowing.set()

    async def close(self):
        """Close all forwarders and connections."""
        for server in self._forwarders.values():
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forwarder(self, host, port):
        """Return the port of the forwarder to an address."""
        server = self._forwarders.get((host, port))
        if server is None:

            async def accept(reader, writer):
                self._tasks.add(asyncio.current_task())
                await self._forward(reader, writer, host, port)

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            self._forwarders[host, port] = server
        return server.sockets[0].getsockname()[1]

    async def _forward(self, reader, writer, host, port):
        try:
            server_reader, server_writer = await asyncio.open_connection(host, port)
        except OSError:
            reset(writer.transport)
            return
        self._writers |= {writer, server_writer}
        try:
            await asyncio.gather(
                self._copy(reader, server_writer), self._copy(server_reader, writer)
            )
        except OSError:
            pass
        finally:
            self._writers -= {writer, server_writer}
            for item in (writer, server_writer):
                reset(item.transport)

    async def _copy(self, reader, writer):
        while data := await reader.read(READ_BYTES):
            await self._flowing.wait()
            writer.write(data)
            await writer.drain()
        writer.close()
