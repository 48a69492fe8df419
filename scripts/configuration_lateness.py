"""Measure how late configurations are in force, by their size, their rate and the link.

Three real instances reach the stand-in of the store over one narrow loopback link each. Run it with
`PYTHONPATH=src:features`; it prints one row for each case, as the capacity page has them.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from attrs import frozen

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from hyssopwood.events import set_up_logging  # noqa: E402
from hyssopwood.platform.configuration import decode_configuration  # noqa: E402
from support.configuration_series import (  # noqa: E402
    Disturbance,
    NarrowDeployment,
    Series,
    large_configuration,
)

INSTANCES = ["i1", "i2", "i3"]
TICK_S = 0.005


@frozen
class Case:
    """Versions at an interval over a link, and whether connections fall silent."""

    mbit_s: float
    routes: int
    count: int
    interval_s: float
    silent: bool


CASES = (
    Case(10.0, 100, 8, 0.9, silent=False),
    Case(10.0, 1400, 8, 0.9, silent=False),
    Case(10.0, 1400, 8, 0.9, silent=True),
    Case(4.6, 100, 8, 0.3, silent=False),
    Case(4.6, 100, 8, 0.3, silent=True),
    Case(4.6, 1400, 8, 0.9, silent=False),
    Case(4.6, 1400, 8, 0.9, silent=True),
    Case(4.6, 1400, 16, 0.3, silent=False),
    Case(2.4, 1400, 6, 2.0, silent=False),
    Case(2.4, 1400, 6, 2.0, silent=True),
)


async def _measure_steps(steps: list[float]) -> None:
    while True:
        began = time.thread_time()
        await asyncio.sleep(TICK_S)
        steps.append(time.thread_time() - began)


def _quantile(values: list[float], share: float) -> str:
    value = sorted(values)[min(len(values) - 1, int(share * len(values)))]
    return "never" if value == float("inf") else f"{value:.2f}"


async def _measure(case: Case) -> str:
    deployment = NarrowDeployment(case.mbit_s)
    steps = [0.0]
    try:
        await deployment.start(["s1", "s2", "s3"], INSTANCES)
        series = Series(deployment)
        calls, sent = deployment.store.calls, _forwarded(deployment)
        ticker = asyncio.ensure_future(_measure_steps(steps))
        disturbances = (Disturbance(1.0, "silence"),) if case.silent else ()
        await series.play(case.count, case.interval_s, case.routes, disturbances)
        ticker.cancel()
        calls, sent = deployment.store.calls - calls, _forwarded(deployment) - sent
    finally:
        await deployment.stop()
    late = [float("inf") if item.late_s is None else item.late_s for item in series.taken()]
    never = sum(value == float("inf") for value in late)
    quantiles = " | ".join(_quantile(late, share) for share in (0.5, 0.99, 1.0))
    size_kb = len(large_configuration(10, case.routes)) / 1000
    return (
        f"| {case.mbit_s:g} | {size_kb:.0f} | {case.interval_s:g} | "
        f"{'silence' if case.silent else 'none'} | {quantiles} | {never} of {len(late)} | "
        f"{calls} | {sent / 1e6:.1f} | {max(steps) * 1000:.0f} |"
    )


def _forwarded(deployment: NarrowDeployment) -> int:
    return sum(link.forwarded for link in deployment.links.values())


def _decoding_ms(routes: int) -> float:
    document = large_configuration(10, routes)
    took = []
    for _ in range(5):
        began = time.thread_time()
        decode_configuration(document)
        took.append(time.thread_time() - began)
    return min(took) * 1000


def main() -> None:
    """Measure all cases one after the other."""
    set_up_logging("ERROR")
    for case in CASES:
        print(asyncio.run(_measure(case)), flush=True)
    for routes in (100, 1400):
        print(f"decoding {routes} more routes: {_decoding_ms(routes):.1f} ms", flush=True)


if __name__ == "__main__":
    main()
