"""Log streams, append rate limit and instance list of the stand-in platform."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import frozen

BURST_S = 0.1


@frozen
class StoredRecord:
    """An appended record."""

    offset: int
    time_ms: int
    data: str


class ExpiredError(Exception):
    """Raised when a read starts below the oldest retained record."""

    def __init__(self, first: int) -> None:
        super().__init__(f"records below offset {first} have expired")
        self.first = first


class Stream:
    """An append-only log that retains its newest records."""

    def __init__(self, retention: int) -> None:
        self.retention = retention
        self._records: deque[StoredRecord] = deque()
        self._next = 0
        self._appended = asyncio.Event()

    @property
    def first(self) -> int:
        return self._next - len(self._records)

    @property
    def next(self) -> int:
        return self._next

    def append(self, data: str) -> int:
        """Store a record and return its offset."""
        offset = self._next
        self._records.append(StoredRecord(offset, int(time.time() * 1000), data))
        self._next += 1
        self.trim()
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def trim(self) -> None:
        """Drop the oldest records above the retention limit."""
        while len(self._records) > self.retention:
            self._records.popleft()

    def read(self, start: int, limit: int) -> list[StoredRecord]:
        """Return at most `limit` records from `start`; raise ExpiredError if it has expired."""
        if start < self.first:
            raise ExpiredError(self.first)
        begin = start - self.first
        end = min(len(self._records), begin + limit)
        return [self._records[index] for index in range(begin, end)]

    async def wait_appended(self, timeout_s: float) -> None:
        """Return after the next append or after `timeout_s`."""
        appended = self._appended
        try:
            await asyncio.wait_for(appended.wait(), timeout_s)
        except TimeoutError:
            return

    def wake_readers(self) -> None:
        """End every pending wait."""
        self._appended.set()
        self._appended = asyncio.Event()


class TokenBucket:
    """Limit a rate, with bursts of up to `BURST_S` seconds of tokens."""

    def __init__(self, rate_per_s: float, now: Callable[[], float]) -> None:
        self._now = now
        self._rate = rate_per_s
        self._tokens = self._burst
        self._updated = now()

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate * BURST_S)

    def set_rate(self, rate_per_s: float) -> None:
        self._refill()
        self._rate = rate_per_s
        self._tokens = min(self._tokens, self._burst)

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now = self._now()
        self._tokens = min(self._burst, self._tokens + (now - self._updated) * self._rate)
        self._updated = now


@frozen
class Instance:
    """An instance in the platform's list."""

    name: str
    address: str
    state: str


class InstanceList:
    """The platform's instances and their history, which allows views that lag behind."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._times: list[float] = [float("-inf")]
        self._views: list[dict[str, Instance]] = [{}]

    @property
    def current(self) -> dict[str, Instance]:
        return self._views[-1]

    def put(self, instance: Instance) -> None:
        self._add_view({**self.current, instance.name: instance})

    def remove(self, name: str) -> bool:
        """Remove an instance; return whether it was listed."""
        if name not in self.current:
            return False
        self._add_view({key: item for key, item in self.current.items() if key != name})
        return True

    def view(self, lag_s: float) -> dict[str, Instance]:
        """Return the instances as of `lag_s` ago."""
        return self._views[bisect_right(self._times, self._now() - lag_s) - 1]

    def _add_view(self, view: dict[str, Instance]) -> None:
        self._times.append(self._now())
        self._views.append(view)


def instances_json(view: dict[str, Instance]) -> list[dict[str, Any]]:
    """Return the JSON form of a view of the list."""
    return [{"name": item.name, "state": item.state} for item in view.values()]
