"""Scripts of Examples rows: commands separated by commas, each a method of a subclass."""

import asyncio
from collections.abc import Sized
from keyword import iskeyword
from operator import attrgetter

REAL_LIMIT_S = 3.0


async def until(condition, timers=None):
    """Wait for real sockets, moving manual time in steps shorter than a detected pause."""
    for _ in range(int(REAL_LIMIT_S / 0.002)):
        if condition():
            return
        await asyncio.sleep(0.002)
        if timers is not None:
            await timers.advance(0.02)
    raise AssertionError("the condition was not met in time")


class Script:
    def __init__(self, context):
        self.loop, self.timers, self.run = context.loop, context.timers, context.run
        self.guard = self.loop.create_task(self._close_at_end())
        self.set_up()
        self.run(self.timers.settle())

    def play(self, text):
        for command in text.split(", "):
            name, *arguments = command.split()
            method = name.replace("-", "_")
            getattr(self, f"{method}_" if iskeyword(method) else method)(*arguments)
            self.run(self.timers.settle())

    def set(self, path, value):
        target, _, name = path.rpartition(".")
        setattr(self._at(target), name, int(value) if value.isdigit() else value)

    def call(self, path, *arguments):
        self._at(path)(*(int(value) if value.isdigit() else value for value in arguments))

    def expect(self, path, *expected):
        found = self._at(path)
        found = found() if callable(found) else found
        found = len(found) if isinstance(found, Sized) and not isinstance(found, str) else found
        assert str(found) == " ".join(expected), found

    def _at(self, path):
        return attrgetter(path)(self) if path else self

    def pass_ms(self, ms):
        self.run(self.timers.advance(int(ms) / 1000))

    def jump_ms(self, ms):
        self.timers.jump(int(ms) / 1000)

    def set_up(self):
        """Prepare the part under test."""

    async def tear_down(self):
        """Close what the script opened."""

    async def _close_at_end(self):
        try:
            await self.loop.create_future()
        finally:
            await self.tear_down()
