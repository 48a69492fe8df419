"""A process that relays connections to one server; its arguments are its address and the server's.

It prints a line when it accepts connections.
"""

import asyncio
import sys

import uvloop

from hyssopwood.events import set_up_logging
from hyssopwood.gateway.relay_server import RelayServer
from hyssopwood.gateway.server_connector import ServerConnector
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.metrics import Metrics
from hyssopwood.timers import SystemTimers


class OwnLinks:
    """What a relaying instance knows of its own links to the servers."""

    def __init__(self):
        self.is_cut_off = False

    def cut_off(self, service):
        return self.is_cut_off

    def in_doubt(self, service):
        return self.is_cut_off

    def record_connected(self, service):
        """Ignore a connection."""

    def record_unconnected(self, server):
        """Ignore a failed connection."""


def server_record(address, **changes):
    """Return the registration of the server."""
    fields = {
        "server": "s1",
        "service": "portal",
        "address": address,
        "failure_domain": "a",
        "slots": 2,
        "draining": False,
        "warmup_left_s": 0.0,
        "born_ms": 1,
        "sequence": 1,
        **changes,
    }
    return ServerRecord(**fields)


async def _run(address, server_address):
    set_up_logging("WARNING")
    timers, metrics, links = SystemTimers(), Metrics(), OwnLinks()
    directory = ServerDirectory()
    directory.put(server_record(server_address))
    # No connection is ever relayed to this instance, so it needs no list of others.
    connector = ServerConnector(links, None, timers)
    server = RelayServer(
        address,
        directory,
        connector,
        links,
        ServerHealth(timers),
        timers,
        metrics,
        lambda: False,
    )
    await server.start()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_run(*sys.argv[1:]))
