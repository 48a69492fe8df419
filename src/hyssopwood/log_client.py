"""Client of the platform's log and instance list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Protocol

import aiohttp
from attrs import frozen

from hyssopwood.bounded_http import BoundedConnector
from hyssopwood.errors import (
    LogProtocolError,
    LogResponseTooLargeError,
    LogThrottledError,
    LogUnavailableError,
    RecordsExpiredError,
    RecordTooLargeError,
)
from hyssopwood.structure import exceeds_nesting_limit
from hyssopwood.timers import Timers
from hyssopwood.waiting import WaitTimeoutError, within

MAX_RECORD_BYTES = 1_048_576
# A page must hold one record of 1 MiB whose every byte JSON escapes to six.
MAX_PAGE_BYTES = 8 * 1_048_576
MAX_LIST_BYTES = 1_048_576
MAX_ERROR_BYTES = 65_536
MAX_SHOWN_CHARACTERS = 120
DEFAULT_PAGE_RECORDS = 500
DEFAULT_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
CHUNK_BYTES = 65_536


@frozen
class StoredRecord:
    """Hold one record as it stands in the log."""

    offset: int
    time_ms: int
    data: str


@frozen
class LogPage:
    """Hold one page of records; `next` is the offset that follows it."""

    first: int
    next: int
    records: tuple[StoredRecord, ...]


@frozen
class ListedInstance:
    """Describe one instance in the platform's list; `state` is `live` or `leaving`."""

    name: str
    state: str


@frozen
class InstanceList:
    """Hold the platform's list of instances; it lags behind the truth."""

    as_of_ms: int
    instances: tuple[ListedInstance, ...]


class Log(Protocol):
    """Read and append records of one stream."""

    async def append(self, text: str) -> int:
        """Append a record and return its offset."""
        ...

    async def read(self, start: int, limit: int, wait_ms: int) -> LogPage:
        """Read records from `start`, waiting up to `wait_ms` for the first one."""
        ...


@frozen
class _Response:
    status: int
    headers: Mapping[str, str]
    content: bytes


class _Channel:
    """Send one kind of request over a session that is replaced after each failure.

    A connection that went silent can't be told from a slow one by its own timeouts, so a failure
    retires the whole pool.
    """

    def __init__(self, timers: Timers, url: str) -> None:
        self._timers = timers
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        limit_bytes: int,
        **options: Any,
    ) -> _Response:
        """Return the response; raise LogUnavailableError when there is none in time."""
        exchange = self._exchange(method, path, limit_bytes, options)
        try:
            return await within(self._timers, timeout_s, exchange)
        except WaitTimeoutError as error:
            await self.close()
            raise LogUnavailableError(f"no answer from the log within {timeout_s} s") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            await self.close()
            detail = f"{type(error).__name__}: {error}"[:MAX_SHOWN_CHARACTERS]
            raise LogUnavailableError(f"the log can't be reached: {detail}") from error
        except LogProtocolError:
            await self.close()
            raise

    async def close(self) -> None:
        """Close every connection; the next request opens a new one."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def _exchange(
        self, method: str, path: str, limit_bytes: int, options: dict[str, Any]
    ) -> _Response:
        session = self._open()
        url = self._url + path
        async with session.request(method, url, allow_redirects=False, **options) as response:
            bound = limit_bytes if response.status < 300 else MAX_ERROR_BYTES
            content = await _read_bounded(response, bound)
            return _Response(response.status, response.headers, content)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedConnector(),
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
                # A compressed response would evade the bound on its size.
                headers={"Accept-Encoding": "identity"},
                auto_decompress=False,
            )
        return self._session


async def _read_bounded(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    content = bytearray()
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        content += chunk
        if len(content) > limit_bytes:
            raise LogResponseTooLargeError(f"the log's response exceeds {limit_bytes} bytes")
    return bytes(content)


class LogClient:
    """Read and append records of one stream, and read the platform's instance list."""

    def __init__(
        self, timers: Timers, url: str, stream: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._path = f"/v1/streams/{stream}/records"
        self._timeout_s = timeout_s
        # Separate channels keep a failed read from breaking an append and the reverse.
        self._reads = _Channel(timers, url)
        self._appends = _Channel(timers, url)
        self._lists = _Channel(timers, url)

    async def append(self, text: str) -> int:
        """Append a record and return its offset.

        After LogUnavailableError the record may nevertheless stand in the log.
        """
        body = text.encode()
        if len(body) > MAX_RECORD_BYTES:
            raise RecordTooLargeError(f"record has {len(body)} bytes, at most {MAX_RECORD_BYTES}")
        headers = {"Content-Type": "text/plain; charset=utf-8"}
        response = await self._appends.request(
            "POST", self._path, self._timeout_s, MAX_ERROR_BYTES, data=body, headers=headers
        )
        _raise_for_status(response, 201)
        return _integer(_parse_object(response.content), "offset")

    async def read(
        self, start: int, limit: int = DEFAULT_PAGE_RECORDS, wait_ms: int = 0
    ) -> LogPage:
        """Read records from `start`, waiting up to `wait_ms` for the first one."""
        query = {"from": str(start), "limit": str(limit), "wait_ms": str(wait_ms)}
        timeout_s = wait_ms / 1000 + self._timeout_s
        response = await self._reads.request(
            "GET", self._path, timeout_s, MAX_PAGE_BYTES, params=query
        )
        if response.status == 410:
            raise RecordsExpiredError(_integer(_parse_object(response.content), "first"))
        _raise_for_status(response, 200)
        return _page(_parse_object(response.content), start)

    async def instances(self) -> InstanceList:
        """Return the platform's list of instances."""
        response = await self._lists.request(
            "GET", "/v1/instances", self._timeout_s, MAX_LIST_BYTES
        )
        _raise_for_status(response, 200)
        return _instance_list(_parse_object(response.content))

    async def close(self) -> None:
        """Close every connection."""
        await asyncio.gather(self._reads.close(), self._appends.close(), self._lists.close())


def _raise_for_status(response: _Response, expected: int) -> None:
    status = response.status
    if status == expected:
        return
    if status == 429:
        raise LogThrottledError(_retry_after_s(response.headers))
    if status == 413:
        raise RecordTooLargeError("the log refused the record as too large")
    if status >= 500:
        raise LogUnavailableError(f"the log answered {status}")
    raise LogProtocolError(f"the log answered {status}, expected {expected}")


def _retry_after_s(headers: Mapping[str, str]) -> float:
    try:
        value = float(headers.get("Retry-After", DEFAULT_RETRY_AFTER_S))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    return min(value, MAX_RETRY_AFTER_S) if value > 0 else DEFAULT_RETRY_AFTER_S


def _parse_object(content: bytes) -> dict[str, Any]:
    try:
        text = content.decode()
        if exceeds_nesting_limit(text):
            raise LogProtocolError("the log's response is nested too deeply")
        data = json.loads(text)
    except ValueError as error:
        raise LogProtocolError("the log's response is not JSON") from error
    if not isinstance(data, dict):
        raise LogProtocolError("the log's response is not a JSON object")
    return data


def _field(data: dict[str, Any], name: str, kind: type) -> Any:
    value = data.get(name)
    if type(value) is not kind:
        shown = repr(value)[:MAX_SHOWN_CHARACTERS]
        raise LogProtocolError(f"the log's response has {name}={shown}, expected {kind.__name__}")
    return value


def _integer(data: dict[str, Any], name: str) -> int:
    value: int = _field(data, name, int)
    if value < 0:
        raise LogProtocolError(f"the log's response has {name}={value}, expected 0 or more")
    return value


def _objects(data: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items: list[Any] = _field(data, name, list)
    if not all(isinstance(item, dict) for item in items):
        raise LogProtocolError(f"the log's response has {name} that are not objects")
    return items


def _page(data: dict[str, Any], start: int) -> LogPage:
    records = tuple(
        StoredRecord(_integer(item, "offset"), _integer(item, "time_ms"), _field(item, "data", str))
        for item in _objects(data, "records")
    )
    page = LogPage(_integer(data, "first"), _integer(data, "next"), records)
    expected = start
    for record in records:
        if record.offset < expected:
            raise LogProtocolError(f"the log returned offset {record.offset} after {expected - 1}")
        expected = record.offset + 1
    if page.next < expected:
        raise LogProtocolError(f"the log returned next={page.next}, expected at least {expected}")
    if page.first > start:
        raise RecordsExpiredError(page.first)
    return page


def _instance_list(data: dict[str, Any]) -> InstanceList:
    instances = tuple(
        ListedInstance(_field(item, "name", str), _field(item, "state", str))
        for item in _objects(data, "instances")
    )
    return InstanceList(_integer(data, "as_of_ms"), instances)
