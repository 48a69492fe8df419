"""Set up a separate event loop and manual timers for each scenario."""

import asyncio
import sys
from pathlib import Path

from loguru import logger

sys.path.insert(0, str(Path(__file__).parent))

from support.manual_timers import ManualTimers  # noqa: E402


def before_all(context):
    logger.remove()


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.timers = ManualTimers()
    context.run = context.loop.run_until_complete
    # Cleanups run in reverse order, so the loop is still open during those that steps add.
    context.add_cleanup(_close_loop, context.loop)


def _close_loop(loop):
    loop.run_until_complete(_cancel_other_tasks())
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()


async def _cancel_other_tasks():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
