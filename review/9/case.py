"""A store restored to a copy without a plan lets a new leader divide the keys at once."""

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
    Store,
    configuration,
    watch_holders,
)

SERVICE = "portal"
STORE_AWAY_S = 0.3
OBSERVED_S = 8.0


async def load(clients: Clients, gateways: list[Gateway], stop: asyncio.Event) -> None:
    """Send short requests for keys of the whole range."""
    number = 0
    while not stop.is_set():
        number += 1
        clients.start(gateways[number % len(gateways)], "/browse/5", number * 2_003 % 65_536)
        await asyncio.sleep(0.02)


async def play(record: Record, trouble: bool) -> int:
    """Return 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration(5, SERVICE))
    servers = [BackendServer(record, store, f"i-{name}", SERVICE) for name in "abc"]
    for server in servers:
        server.peers = [item for item in servers if item is not server]
    gateways = [Gateway(record, store, f"edge-{number}") for number in (1, 2)]
    clients = Clients(record, "shop.example")
    watch = watch_holders(servers, record, 0.5)
    stop = asyncio.Event()
    try:
        for server in servers[:2]:
            await server.start()
            server.begin_heartbeats()
        copy = store.snapshot()
        for gateway in gateways:
            gateway.launch()
        for gateway in gateways:
            if not await gateway.wait_ready():
                return 2
        traffic = asyncio.create_task(load(clients, gateways, stop))
        await servers[2].start()
        servers[2].begin_heartbeats()
        await asyncio.sleep(2.5)
        if trouble:
            record.write("store away")
            store.go_down()
        for gateway in gateways:
            gateway.kill()
        await asyncio.sleep(STORE_AWAY_S)
        if trouble:
            record.write("store back from a copy", era=store.era + 1)
            store.restore(copy)
            store.up = True
            # What the operator and the servers wrote is written again.
            store.put("keyed.op", "config", configuration(5, SERVICE))
            for server in servers:
                server.register()
        for gateway in gateways:
            gateway.launch(bootstrap=False)
        await asyncio.sleep(OBSERVED_S)
        stop.set()
        await traffic
        await clients.finish()
        record.write("totals", statuses=clients.statuses)
        violations = [item for server in servers for item in server.violations]
        record.write("violations", violations=violations)
        return 1 if violations else 0
    finally:
        stop.set()
        watch.cancel()
        for gateway in gateways:
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
