"""Set up each scenario with an event loop of its own and manual timers."""

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


def after_scenario(context, scenario):
    context.loop.run_until_complete(_cancel_other_tasks())
    context.loop.run_until_complete(context.loop.shutdown_asyncgens())
    context.loop.close()


async def _cancel_other_tasks():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
