"""Run an aiohttp application as a process until it receives SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Coroutine
from typing import Any

import uvloop
from aiohttp import web
from loguru import logger

SHUTDOWN_TIMEOUT_S = 0.5
LOG_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {message}"


def set_up_logging(level: str) -> None:
    """Write log lines to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=LOG_FORMAT, backtrace=False)


def split_address(address: str) -> tuple[str, int]:
    """Split an `ip:port` address, with the brackets of an IPv6 address removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def start_app(app: web.Application, address: str) -> web.AppRunner:
    """Start listening; the caller has to clean up the runner."""
    host, port = split_address(address)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True).start()
    return runner


def bound_address(runner: web.AppRunner) -> str:
    """Return the address that a started runner listens on."""
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def until_signalled() -> None:
    """Wait for SIGTERM or SIGINT."""
    signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, signalled.set)
    await signalled.wait()


async def serve(app: web.Application, address: str) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    runner = await start_app(app, address)
    logger.info("listening on {}", bound_address(runner))
    try:
        await until_signalled()
    finally:
        await runner.cleanup()


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on uvloop."""
    return uvloop.run(main)
