"""Load of the partitions of one server, as averages that fade."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Protocol

from attrs import define, field

from hyssopwood.hot_keys import HotKeyRate
from hyssopwood.messages import KeyUsage, PartitionUsage
from hyssopwood.state import partition_service

FADE_S = 2.0
FORGET_BELOW = 0.01


class KeyCounter(Protocol):
    """Count the most frequent keys in bounded memory."""

    def add(self, key: str) -> None:
        """Count one request for a key."""
        ...

    def top(self) -> Iterable[HotKeyRate]:
        """Return the most frequent keys with their requests per second."""
        ...


class NoKeyCounter:
    """Count nothing."""

    def add(self, key: str) -> None:
        """Ignore the key."""

    def top(self) -> Iterable[HotKeyRate]:
        """Return nothing."""
        return ()


@define
class _Fading:
    value: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        self.value = self.read(now) + amount
        self.at = now

    def read(self, now: float) -> float:
        return self.value * math.exp((self.at - now) / FADE_S)


@define
class UsageMeter:
    """Measure requests and busy time per partition."""

    keys: KeyCounter = field(factory=NoKeyCounter)
    service: str = ""
    _requests: dict[str, _Fading] = field(factory=dict)
    _busy_s: dict[str, _Fading] = field(factory=dict)

    def count_request(self, partition: str, key: str, now: float) -> None:
        """Count one admitted request."""
        self.service = partition_service(partition)
        self.keys.add(key)
        self._requests.setdefault(partition, _Fading()).add(1.0, now)

    def count_busy(self, partition: str, seconds: float, now: float) -> None:
        """Add the time for which a request held its slot."""
        self._busy_s.setdefault(partition, _Fading()).add(seconds, now)

    def partitions(self, slots: int, now: float) -> tuple[PartitionUsage, ...]:
        """Return the load of each partition; the busy ratio is a share of all slots."""
        self._forget(now)
        return tuple(
            PartitionUsage(
                name,
                count.read(now) / FADE_S,
                self._busy_s.get(name, _Fading()).read(now) / FADE_S / max(1, slots),
            )
            for name, count in self._requests.items()
        )

    def hot_keys(self) -> tuple[KeyUsage, ...]:
        """Return the load of the most frequent keys."""
        return tuple(KeyUsage(self.service, item.key, item.rate) for item in self.keys.top())

    def _forget(self, now: float) -> None:
        faded = [name for name, item in self._requests.items() if item.read(now) < FORGET_BELOW]
        for name in faded:
            del self._requests[name]
            self._busy_s.pop(name, None)
