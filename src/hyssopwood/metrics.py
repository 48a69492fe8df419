"""Metrics: HDR histograms for durations, Prometheus text format for all."""

from __future__ import annotations

import resource
from collections.abc import Iterator, Mapping

from attrs import define, field
from hdrh.histogram import HdrHistogram

from hyssopwood.metrics_text import Counter, Gauge, family_lines, sample_line

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


def _duration_lines(name: str, by_label: dict[str, DurationHistogram]) -> Iterator[str]:
    yield from family_lines(name, f"{name} in seconds", "summary")
    for label, durations in by_label.items():
        yield sample_line(f"{name}_count", {"label": label}, durations.count)
        yield sample_line(f"{name}_sum", {"label": label}, durations.total_s)
    yield from family_lines(f"{name}_quantile", f"Quantiles of {name}", "gauge")
    for label, durations in by_label.items():
        for quantile in QUANTILES:
            labels = {"label": label, "quantile": str(quantile)}
            yield sample_line(f"{name}_quantile", labels, durations.quantile_s(quantile))


@define
class Metrics:
    """Record the metrics of one instance."""

    _durations: dict[str, dict[str, DurationHistogram]] = field(factory=dict)
    # By name, in the order of their first use.
    _families: dict[str, Counter | Gauge] = field(factory=dict)

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Record a duration under a metric name and a label."""
        by_label = self._durations.setdefault(f"hyssopwood_{name}_seconds", {})
        durations = by_label.get(label)
        if durations is None:
            durations = by_label[label] = DurationHistogram()
        durations.record(seconds)

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Add an amount to a counter."""
        counter = self._families.get(name)
        if counter is None:
            counter = self._families[name] = Counter(f"hyssopwood_{name}")
        counter.add(label, amount)

    def set(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge to a value."""
        gauge = self._families.get(name)
        if gauge is None:
            gauge = self._families[name] = Gauge(f"hyssopwood_{name}")
        gauge.set(label, value)

    def replace(self, name: str, values: Mapping[str, float]) -> None:
        """Set a gauge to these values by label, and remove its other labels."""
        gauge = self._families.get(name)
        if isinstance(gauge, Gauge):
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
        lines: list[str] = []
        for name, by_label in self._durations.items():
            lines.extend(_duration_lines(name, by_label))
        for family in self._families.values():
            lines.extend(family.lines())
        return "".join(lines).encode()
