"""Body of an answer that is forwarded while it arrives, with back-pressure."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hyssopwood.gateway.exchange import ExchangeBrokenError, StreamEnd

# Reading from the server pauses while this many bytes wait for the caller. With one more read, and
# the same amount again on the caller's side, a stream buffers at most 256 KiB.
WINDOW_BYTES = 65_536


class StreamSource(Protocol):
    """The connection from which a stream's bytes come."""

    def pause(self) -> None:
        """Stop reading until `resume` is called."""
        ...

    def resume(self) -> None:
        """Continue reading."""
        ...

    def abort(self) -> None:
        """Abort the connection."""
        ...


class AnswerStream:
    """Forward a body from a server's connection to a single reader."""

    def __init__(self, length: int | None, source: StreamSource) -> None:
        self._source = source
        self._waiting = bytearray()
        self._paused = False
        self._cause = ""
        self._changed = asyncio.Event()
        # Size declared by the server, or None.
        self.length = length
        self.ended: asyncio.Future[StreamEnd] = asyncio.get_running_loop().create_future()

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end; raise ExchangeBrokenError if truncated."""
        while not self._waiting:
            if self.ended.done():
                if self.ended.result() is StreamEnd.WHOLE:
                    return b""
                raise ExchangeBrokenError(self._cause or self.ended.result().value)
            self._changed.clear()
            await self._changed.wait()
        piece = bytes(self._waiting)
        self._waiting.clear()
        self._resume()
        return piece

    def put(self, data: bytes) -> None:
        """Add bytes from the server."""
        if self.ended.done():
            return
        self._waiting += data
        self._changed.set()
        if len(self._waiting) >= WINDOW_BYTES and not self._paused:
            self._paused = True
            self._source.pause()

    def finish(self) -> None:
        """Mark the body as complete; its connection may carry the next exchange."""
        self._resume()
        self._end(StreamEnd.WHOLE)

    def fail(self, cause: str) -> None:
        """Mark the body as truncated because the server's connection ended."""
        self._cause = cause
        self._end(StreamEnd.BROKEN)

    def expire(self) -> None:
        """End a stream whose deadline has passed."""
        self._terminate(StreamEnd.EXPIRED)

    def abandon(self) -> None:
        """End a stream that has no reader any more."""
        self._terminate(StreamEnd.ABANDONED)

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._source.resume()

    def _terminate(self, end: StreamEnd) -> None:
        if self.ended.done():
            return
        self._waiting.clear()
        self._end(end)
        self._source.abort()

    def _end(self, end: StreamEnd) -> None:
        if not self.ended.done():
            self.ended.set_result(end)
            self._changed.set()
