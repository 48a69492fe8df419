"""Steps for answers without end, read by processes of their own."""

import asyncio
import os
import sys
from pathlib import Path

from behave import then, when

from support.pouring_server import FORMS

SUPPORT = Path(__file__).parent.parent / "support"
KIB = 1024
# Processes that read at the same time; more would wait for each other.
CONCURRENT = 4


async def _start(script, *arguments):
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(SUPPORT / script),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        env=environment,
    )


async def _read_form(channel, form):
    """Return the growth of memory in KiB, the seconds, and the longest step in seconds."""
    server = await _start("pouring_server.py", form)
    try:
        port = int(await server.stdout.readline())
        reading = await _start("reading_process.py", channel, f"127.0.0.1:{port}")
        output, _ = await reading.communicate()
    finally:
        server.kill()
        await server.wait()
    assert reading.returncode == 0, (channel, form, reading.returncode)
    return tuple(float(value) for value in output.split())


@when("a process reads {channel} from a server that pours each form of bytes without end")
def step_read_forms(context, channel):
    limit = asyncio.Semaphore(CONCURRENT)

    async def read(form):
        async with limit:
            return form, await _read_form(channel, form)

    async def run():
        return dict(await asyncio.gather(*(read(form) for form in FORMS)))

    context.measured = context.run(run())


@then("its memory grows by less than {megabytes:d} MB with each form")
def step_memory(context, megabytes):
    grown = {form: round(kib) for form, (kib, _, _) in context.measured.items()}
    too_much = {form: kib for form, kib in grown.items() if kib * KIB >= megabytes * 1_000_000}
    assert len(grown) == len(FORMS)
    assert not too_much, f"KiB: {too_much}"


@then(
    "it gives up within {limit_s:g} s, and no step of its event loop takes {step_s:g} s of"
    " processor time"
)
def step_times(context, limit_s, step_s):
    wrong = {
        form: (seconds, longest_s)
        for form, (_, seconds, longest_s) in context.measured.items()
        if seconds > limit_s or longest_s > step_s
    }
    assert not wrong, wrong
