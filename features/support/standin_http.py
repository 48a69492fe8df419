"""Serve a stand-in's application on a loopback port and send requests to it."""

from contextlib import asynccontextmanager

import aiohttp

from hyssopwood_standins import web_process

ANSWER_TIMEOUT_S = 0.8
NO_ANSWER = "none"
CUT = "cut"


@asynccontextmanager
async def running(app):
    """Yield the base URL and the runner of an application."""
    runner = await web_process.start_app(app, "127.0.0.1:0")
    try:
        yield f"http://{web_process.bound_address(runner)}", runner
    finally:
        await runner.cleanup()


async def exchange(session, method, url, body="", headers=None):
    """Return status, headers and body; the status is "none" or "cut" if no answer was complete."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with session.request(
            method, url, data=body, headers=headers, timeout=timeout
        ) as answer:
            # latin-1 maps every byte to one character and back.
            body = (await answer.read()).decode("latin-1")
            return str(answer.status), answer.headers, body
    except aiohttp.ClientPayloadError:
        return CUT, {}, ""
    except (aiohttp.ClientError, TimeoutError):
        return NO_ANSWER, {}, ""
