"""Connections of aiohttp that bound what a server sends besides the body of an answer.

aiohttp bounds heads and trailers, and its users bound the bodies that they read. But it queues
interim answers, and answers to no request, without a limit.
"""

from __future__ import annotations

from asyncio import AbstractEventLoop, get_running_loop
from functools import partial
from typing import Any

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

# Interim answers before the final one.
MAX_INTERIM_ANSWERS = 8
# Bytes are parsed in slices, so that few answers of one read are queued before they are counted.
SLICE_BYTES = 16_384
_MIN_FINAL_STATUS = 200


class BoundedConnector(TCPConnector):
    """Open connections that end when a server sends more than one answer to a request."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public way to choose the protocol of its connections.
        self._factory = partial(_BoundedHandler, get_running_loop())


class _BoundedHandler(ResponseHandler):
    """Parse the answers on one connection, and abort it at one too many."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        super().__init__(loop)
        self._interim_answers = 0
        self._answered = False
        self._aborted = False

    def set_response_params(self, **options: Any) -> None:
        """Expect the answer to another request."""
        self._interim_answers, self._answered = 0, False
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse bytes in slices."""
        # aiohttp calls this without bytes to go on with those that it has.
        for first in range(0, len(data) or 1, SLICE_BYTES):
            if self._aborted:
                return
            super().data_received(data[first : first + SLICE_BYTES])

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue an answer, or abort the connection if it is one too many."""
        if self._aborted:
            return
        if self._answered:
            self._abort("an answer to no request")
            return
        status = data[0].code
        if status >= _MIN_FINAL_STATUS:
            self._answered = True
        else:
            self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self._abort("too many interim answers")
            return
        super().feed_data(data, size)

    def _abort(self, cause: str) -> None:
        self._aborted = True
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(HttpProcessingError(message=cause))
