"""Request counts by key and service times of servers since the last report to the leader."""

from __future__ import annotations

from attrs import define, field

from hyssopwood.gateway.work_estimates import WorkEstimates, bound_pace
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.link_codec import MAX_WORK_PER_REQUEST, InstanceReport


@define
class _ServiceTimes:
    total_s: float = 0.0
    count: int = 0


@define
class LoadReports:
    """Collect the load data that the leader needs for the placement of keys."""

    # Requests of this instance in the last seconds, which are reported to a new leader at once.
    _recent: KeyLoad
    # Expected costs of requests, learned from the same answers.
    work: WorkEstimates = field(factory=WorkEstimates, init=False)
    _keys: dict[str, dict[int, int]] = field(factory=dict, init=False)
    # Work of the same requests, in requests of mean cost.
    _work: dict[str, dict[int, float]] = field(factory=dict, init=False)
    _times: dict[tuple[str, int], _ServiceTimes] = field(factory=dict, init=False)
    _leaving: list[tuple[str, int]] = field(factory=list, init=False)

    def record_leaving(self, incarnation: tuple[str, int]) -> None:
        """Record that a server has announced that it leaves."""
        self._leaving.append(incarnation)

    def record_request(self, service: str, key: int, route: str = "") -> None:
        """Count a request for a key and its work."""
        counts = self._keys.setdefault(service, {})
        counts[key] = counts.get(key, 0) + 1
        relative = min(MAX_WORK_PER_REQUEST, self.work.relative_cost(service, route))
        work = self._work.setdefault(service, {})
        work[key] = work.get(key, 0.0) + relative
        self._recent.record_requests(service, key, relative)

    def record_service_time(self, incarnation: tuple[str, int], elapsed_s: float) -> None:
        """Record a sample of the service time, which excludes the wait in the server's queue."""
        times = self._times.setdefault(incarnation, _ServiceTimes())
        times.total_s += elapsed_s
        times.count += 1

    def record_answer(
        self,
        service: str,
        route: str,
        incarnation: tuple[str, int],
        sample_s: float,
        pace: float | None,
        server_wait_s: float = 0.0,
    ) -> None:
        """Learn from a service time, and report it as that of a request of mean cost."""
        relative = self.work.relative_cost(service, route) * bound_pace(pace or 1.0)
        self.record_service_time(incarnation, sample_s / relative)
        self.work.record(service, route, incarnation, sample_s, pace, server_wait_s)

    def collect(self) -> InstanceReport:
        """Return a report of the collected data and clear it."""
        keys, self._keys = self._keys, {}
        work, self._work = self._work, {}
        stated = {name: items for name, items in work.items() if self.work.costs_differ(name)}
        times, self._times = self._times, {}
        leaving, self._leaving = tuple(self._leaving), []
        means = {incarnation: item.total_s / item.count for incarnation, item in times.items()}
        return InstanceReport(keys, means, leaving=leaving, work=stated)

    def collect_recent(self) -> InstanceReport:
        """Return a report of recent load for a new leader and clear the collected data.

        Its request counts include those that earlier leaders received, and count a request as its
        work.
        """
        report = self.collect()
        return InstanceReport(self._recent.counts(), report.times)
