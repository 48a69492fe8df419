"""Steps for the modules that a gateway process imports, and for the text of its metrics."""

import subprocess
import sys

from behave import given, then, when
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import Metric, SummaryMetricFamily

from hyssopwood.metrics import QUANTILES, Metrics
from support.gateway_process import SOURCE

LABELS = ("", "plain", 'a "quoted" \\ label\nof two lines', "été")
# Whole, small, large and special values; exponents start at seven digits before the point.
VALUES = (0.0, 1, 0.1, 12.5, 1e-7, 123_456.5, 999_999, 1_000_000, 1_234_567.25, 1e16, 1e20, 1e300)
GAUGE_VALUES = (*VALUES, -1, -1e20, float("inf"), float("-inf"), float("nan"))
DURATIONS_S = (0.0, 0.0005, 0.02, 0.02, 3.0, 500.0)
# Metrics of the process, which change with each reading.
OWN_METRICS = ("hyssopwood_cpu_seconds", "hyssopwood_max_resident_kilobytes")


@when("a process imports the gateway's program")
def step_import(context):
    code = "import hyssopwood.platform.program, sys; print(' '.join(sys.modules))"
    output = subprocess.check_output(
        [sys.executable, "-c", code], env={"PYTHONPATH": str(SOURCE)}, text=True
    )
    context.modules = set(output.split())


@then('it has imported none of "{names}"')
def step_not_imported(context, names):
    assert "hyssopwood.gateway.daemon" in context.modules
    found = context.modules & set(names.split(", "))
    assert not found, found


class _Collector:
    def __init__(self, families):
        self._families = families

    def collect(self):
        return self._families


@given("metrics with counters, gauges and durations of every form")
def step_metrics(context):
    context.metrics, context.registry = Metrics(), CollectorRegistry()
    families = []
    context.registry.register(_Collector(families))
    for name in ("wait", "send"):
        families += _observed(context.metrics, name)
    for number, value in enumerate(VALUES):
        _count(context, f"counted_{number}", value)
    _count(context, "bytes_total", 5)
    for number, value in enumerate(GAUGE_VALUES):
        gauge = Gauge(f"hyssopwood_g{number}", f"hyssopwood_g{number}", ["label"], registry=None)
        context.registry.register(gauge)
        for label in LABELS:
            context.metrics.set(f"g{number}", value, label)
            gauge.labels(label).set(value)


def _observed(metrics, name):
    full_name = f"hyssopwood_{name}_seconds"
    summary = SummaryMetricFamily(full_name, f"{full_name} in seconds", labels=["label"])
    quantiles = Metric(f"{full_name}_quantile", f"Quantiles of {full_name}", "gauge")
    for label in LABELS:
        for seconds in DURATIONS_S:
            metrics.observe(name, label, seconds)
        durations = metrics.durations(name)[label]
        summary.add_metric([label], count_value=durations.count, sum_value=durations.total_s)
        for quantile in QUANTILES:
            labels = {"label": label, "quantile": str(quantile)}
            value = durations.quantile_s(quantile)
            quantiles.add_sample(f"{full_name}_quantile", labels, value)
    return [summary, quantiles]


def _count(context, name, value):
    full_name = f"hyssopwood_{name}"
    counter = Counter(full_name, full_name, ["label"], registry=context.registry)
    for label in LABELS:
        context.metrics.count(name, label, value)
        context.metrics.count(name, label)
        counter.labels(label).inc(value)
        counter.labels(label).inc(1)


def _stable_lines(text):
    """Return the lines of a text whose values don't depend on the time of the reading."""
    lines = []
    # A label's line break is escaped, so that each line is whole.
    for line in text.decode().split("\n"):
        if any(name in line for name in OWN_METRICS):
            continue
        if "_created{" in line:
            line, _, created_at = line.rpartition(" ")
            assert float(created_at) > 1e9, created_at
        lines.append(line)
    return lines


@then("their text is that of prometheus_client")
def step_same_text(context):
    own = _stable_lines(context.metrics.exposition())
    expected = _stable_lines(generate_latest(context.registry))
    assert len(own) > 200
    assert own == expected, [
        pair for pair in zip(own, expected, strict=False) if len(set(pair)) > 1
    ][:5]


@then("reducing a counter raises ValueError")
def step_no_reduction(context):
    before = context.metrics.exposition().count(b"hyssopwood_counted_0_total{")
    try:
        context.metrics.count("counted_0", "plain", -1)
    except ValueError:
        after = context.metrics.exposition().count(b"hyssopwood_counted_0_total{")
        assert after == before
        return
    raise AssertionError("the counter was reduced")
