"""HTTP connection to a backend server's control interface."""

from __future__ import annotations

import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Protocol

import aiohttp

from hyssopwood.bounded_http import BoundedConnector
from hyssopwood.errors import BackendServerUnavailableError, ProtocolError
from hyssopwood.timers import Timers
from hyssopwood.waiting import WaitTimeoutError, within

MAX_ANSWER_BYTES = 1_048_576
KEEPALIVE_S = 60.0


class ConnectionReplacedError(BackendServerUnavailableError):
    """Raised when a command that belongs to one connection would go over another."""


class ControlChannel(Protocol):
    """Carry one command at a time to a backend server."""

    async def post(self, path: str, body: Any, same_connection: bool) -> tuple[int, Any]:
        """Return the status and the JSON body of the answer.

        Raise ConnectionReplacedError, without sending, when `same_connection` is asked for and
        the last answer came over a connection that is gone.
        """
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...


def _trace(require: Callable[[], None]) -> aiohttp.TraceConfig:
    async def recheck(*_: Any) -> None:
        require()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_refuse_other_connection)
    # Getting a connection may take long; nothing is sent if the authority ended meanwhile.
    trace.on_connection_create_end.append(recheck)
    trace.on_connection_reuseconn.append(recheck)
    return trace


async def _refuse_other_connection(_: Any, context: SimpleNamespace, __: Any) -> None:
    if context.trace_request_ctx:
        raise ConnectionReplacedError("the connection to the backend server was closed")


class HttpControlChannel:
    """Control channel over one keep-alive connection.

    An answer that doesn't come in time closes the connection, so that the next command tries
    another one.
    """

    def __init__(
        self,
        address: str,
        timers: Timers,
        timeout_s: float,
        require: Callable[[], None] = lambda: None,
    ) -> None:
        self._url = f"http://{address}"
        self._timers = timers
        self._timeout_s = timeout_s
        self._require = require
        self._client: aiohttp.ClientSession | None = None

    async def post(self, path: str, body: Any, same_connection: bool) -> tuple[int, Any]:
        """Return the status and the JSON body of the answer."""
        if same_connection and self._client is None:
            raise ConnectionReplacedError("the connection to the backend server was closed")
        try:
            return await within(
                self._timers, self._timeout_s, self._exchange(path, body, same_connection)
            )
        except WaitTimeoutError as error:
            await self.close()
            raise BackendServerUnavailableError(
                f"{self._url} didn't answer in {self._timeout_s} s"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            await self.close()
            raise BackendServerUnavailableError(f"{self._url}: {error!r}") from error
        except BaseException:
            await self.close()
            raise

    async def close(self) -> None:
        """Close the connection."""
        client, self._client = self._client, None
        if client is not None:
            await client.close()

    async def _exchange(self, path: str, body: Any, same_connection: bool) -> tuple[int, Any]:
        if self._client is None:
            self._client = self._open()
        url = self._url + path
        async with self._client.post(url, json=body, trace_request_ctx=same_connection) as answer:
            data = await answer.content.read(MAX_ANSWER_BYTES + 1)
            while len(data) <= MAX_ANSWER_BYTES and not answer.content.at_eof():
                data += await answer.content.read(MAX_ANSWER_BYTES + 1 - len(data))
            return answer.status, _parse(data)

    def _open(self) -> aiohttp.ClientSession:
        connector = BoundedConnector(limit=1, keepalive_timeout=KEEPALIVE_S)
        return aiohttp.ClientSession(
            connector=connector,
            trace_configs=[_trace(self._require)],
            timeout=aiohttp.ClientTimeout(total=None),
            raise_for_status=False,
        )


def _parse(data: bytes) -> Any:
    if len(data) > MAX_ANSWER_BYTES:
        raise ProtocolError(f"backend server's answer exceeds {MAX_ANSWER_BYTES} bytes")
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ProtocolError("backend server's answer is not JSON") from error
