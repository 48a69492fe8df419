"""Process that runs the gateway on the platform."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

import uvloop

from hyssopwood.errors import InputError
from hyssopwood.events import Event, emit, set_up_json_logging
from hyssopwood.gateway.daemon import GatewayDaemon, PlatformAdapters
from hyssopwood.gateway.gateway_settings import GatewaySettings
from hyssopwood.metrics import Metrics
from hyssopwood.platform.boot_settings import load_boot_settings
from hyssopwood.platform.feeds import PlatformConfigurationFeed, PlatformServerFeed
from hyssopwood.platform.key_commands import PlatformKeyCommands
from hyssopwood.platform.names import READY_PATH, REQUEST_ID
from hyssopwood.platform.plan_store import PlatformPlanStore
from hyssopwood.platform.request_headers import PlatformHeaderCodec
from hyssopwood.platform.store_client import StoreClient
from hyssopwood.timers import BootTimers

LOG_LEVEL = "INFO"


def platform_adapters(client: StoreClient, metrics: Metrics) -> PlatformAdapters:
    """Return the adapters through which the gateway uses the platform."""
    return PlatformAdapters(
        configuration=PlatformConfigurationFeed(client),
        servers=PlatformServerFeed(client, metrics),
        plan_store=PlatformPlanStore(client),
        key_commands=PlatformKeyCommands,
        header_codec=PlatformHeaderCodec(),
        id_header=REQUEST_ID,
        ready_path=READY_PATH.encode(),
    )


async def _run(settings: GatewaySettings) -> None:
    metrics = Metrics()
    client = StoreClient(settings.store_address, metrics)
    try:
        daemon = GatewayDaemon(settings, platform_adapters(client, metrics), BootTimers(), metrics)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.stop)
        loop.add_signal_handler(signal.SIGHUP, daemon.handle_reload)
        await daemon.run()
    finally:
        await client.close()


def main() -> None:
    """Run the gateway until it receives a stop signal."""
    try:
        settings = load_boot_settings()
    except InputError as error:
        set_up_json_logging(LOG_LEVEL, "unknown")
        emit(Event.BAD_SETTINGS, error=error)
        sys.exit(error.exit_code)
    set_up_json_logging(LOG_LEVEL, settings.instance)
    # The imported modules stay for good. Without this each full collection examines their objects,
    # which stops the event loop for 18 ms of CPU time.
    gc.freeze()
    uvloop.run(_run(settings))
