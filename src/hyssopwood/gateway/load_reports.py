"""Counts of requests by key and times of servers since the last report to the leader."""

from __future__ import annotations

from attrs import define, field

from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.link_codec import InstanceReport


@define
class _Times:
    total_s: float = 0.0
    count: int = 0


@define
class LoadReports:
    """Collect what the leader's placement needs to know."""

    # Own requests of the last seconds, which a new leader is told at once.
    _recent: KeyLoad
    _keys: dict[str, dict[int, int]] = field(factory=dict, init=False)
    _times: dict[tuple[str, int], _Times] = field(factory=dict, init=False)
    _leaving: list[tuple[str, int]] = field(factory=list, init=False)

    def note_leaving(self, life: tuple[str, int]) -> None:
        """Note that a server has said that it leaves."""
        self._leaving.append(life)

    def note_key(self, service: str, key: int) -> None:
        """Count a request for a key."""
        counts = self._keys.setdefault(service, {})
        counts[key] = counts.get(key, 0) + 1
        self._recent.record_requests(service, key, 1.0)

    def note_time(self, life: tuple[str, int], elapsed_s: float) -> None:
        """Take the time of an answer that wasn't queued at the server."""
        times = self._times.setdefault(life, _Times())
        times.total_s += elapsed_s
        times.count += 1

    def take(self) -> InstanceReport:
        """Return what was collected and start anew."""
        keys, self._keys = self._keys, {}
        times, self._times = self._times, {}
        leaving, self._leaving = tuple(self._leaving), []
        means = {life: item.total_s / item.count for life, item in times.items()}
        return InstanceReport(keys, means, leaving=leaving)

    def take_recent(self) -> InstanceReport:
        """Return what happened lately, also what earlier leaders were told, and start anew."""
        report = self.take()
        return InstanceReport(self._recent.counts(), report.times)
