"""Metrics: HDR histograms for durations, Prometheus exposition for all."""

from __future__ import annotations

import resource
from collections.abc import Iterable, Iterator, Mapping

from attrs import define, field
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_FIGURES = 2
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class DurationHistogram:
    """Record durations with a bounded relative error."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
        self._sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Record one duration, clamped to the histogram's range."""
        value = min(HIGHEST_US, max(LOWEST_US, int(seconds * US_PER_S)))
        self._histogram.record_value(value)
        self._sum_s += seconds

    @property
    def count(self) -> int:
        """Return how many durations were recorded."""
        return self._histogram.get_total_count()

    @property
    def total_s(self) -> float:
        """Return the sum of the recorded durations in seconds."""
        return self._sum_s

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile in seconds."""
        return self._histogram.get_value_at_percentile(quantile * 100) / US_PER_S


class _DurationCollector(Collector):
    def __init__(self, histograms: dict[str, dict[str, DurationHistogram]]) -> None:
        self._histograms = histograms

    def collect(self) -> Iterable[Metric]:
        for name, by_label in self._histograms.items():
            yield from _metric_families(name, by_label)


def _metric_families(name: str, by_label: dict[str, DurationHistogram]) -> Iterator[Metric]:
    summary = SummaryMetricFamily(name, f"{name} in seconds", labels=["label"])
    gauge = Metric(f"{name}_quantile", f"Quantiles of {name}", "gauge")
    for label, durations in by_label.items():
        summary.add_metric([label], count_value=durations.count, sum_value=durations.total_s)
        for quantile in QUANTILES:
            labels = {"label": label, "quantile": str(quantile)}
            gauge.add_sample(f"{name}_quantile", labels, durations.quantile_s(quantile))
    yield summary
    yield gauge


@define
class Metrics:
    """Record the metrics of one instance."""

    _registry: CollectorRegistry = field(factory=CollectorRegistry)
    _durations: dict[str, dict[str, DurationHistogram]] = field(factory=dict)
    _counters: dict[str, Counter] = field(factory=dict)
    _gauges: dict[str, Gauge] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._registry.register(_DurationCollector(self._durations))

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Record a duration under a metric name and a label."""
        by_label = self._durations.setdefault(f"hyssopwood_{name}_seconds", {})
        durations = by_label.get(label)
        if durations is None:
            durations = by_label[label] = DurationHistogram()
        durations.record(seconds)

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Add an amount to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            full_name = f"hyssopwood_{name}"
            counter = Counter(full_name, full_name, ["label"], registry=self._registry)
            self._counters[name] = counter
        counter.labels(label).inc(amount)

    def set(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge to a value."""
        gauge = self._gauges.get(name)
        if gauge is None:
            full_name = f"hyssopwood_{name}"
            gauge = Gauge(full_name, full_name, ["label"], registry=self._registry)
            self._gauges[name] = gauge
        gauge.labels(label).set(value)

    def replace(self, name: str, values: Mapping[str, float]) -> None:
        """Set a gauge to these values by label, and remove its other labels."""
        gauge = self._gauges.get(name)
        if gauge is not None:
            gauge.clear()
        for label, value in values.items():
            self.set(name, value, label)

    def durations(self, name: str) -> dict[str, DurationHistogram]:
        """Return the histograms of a duration metric by label."""
        return self._durations.get(f"hyssopwood_{name}_seconds", {})

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set("cpu_seconds", usage.ru_utime + usage.ru_stime)
        self.set("max_resident_kilobytes", usage.ru_maxrss)
        return generate_latest(self._registry)
