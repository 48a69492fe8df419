"""A process that streams an answer of unknown length and ends in a given way.

Its arguments are the way in which it ends and the number of bytes. It prints its port.
"""

import asyncio
import os
import signal
import sys

import uvloop

from hyssopwood.gateway.answer_stream import AnswerStream
from hyssopwood.gateway.caller_server import CallerServer
from hyssopwood.gateway.exchange import CallerAnswer
from hyssopwood.timers import SystemTimers

SETTLE_S = 0.1


class _Source:
    """A server's connection that is never paused."""

    def pause(self):
        pass

    def resume(self):
        pass

    def abort(self):
        pass


class _Handler:
    def __init__(self, size, whole):
        self._size, self._whole = size, whole
        self.asked = asyncio.Event()

    async def handle(self, request):
        stream = AnswerStream(None, _Source())
        stream.put(b"x" * self._size)
        if self._whole:
            stream.finish()
        self.asked.set()
        return CallerAnswer(status=200, stream=stream)


async def _run(ending, size):
    handler = _Handler(size, ending.startswith("finishes"))
    listener = CallerServer("127.0.0.1:0", handler, SystemTimers())
    await listener.start()
    print(listener._server.sockets[0].getsockname()[1], flush=True)
    await handler.asked.wait()
    if ending == "finishes":
        while listener.busy:
            await asyncio.sleep(0.001)
        return
    await asyncio.sleep(SETTLE_S)
    if ending.endswith("is killed"):
        os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    uvloop.run(_run(sys.argv[1], int(sys.argv[2])))
