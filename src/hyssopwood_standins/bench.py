"""Measure ownership and requests against the baseline and write the results as JSON."""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any

from loguru import logger

from hyssopwood_standins import bench_ownership, bench_requests, web_process
from hyssopwood_standins.bench_run import BASELINE

MEASURES = {"ownership": bench_ownership.measure, "requests": bench_requests.measure}
# Run only on request: with it, a full run would exceed its time limit.
SHARING = "sharing"
OUTPUT = Path("out")
TIME_LIMIT_S = 240


async def _measure_parts(parts: list[str], directory: Path, output: Path) -> list[str]:
    violations: list[str] = []
    async with asyncio.timeout(TIME_LIMIT_S):
        for part in parts:
            if part == SHARING:
                compared = await bench_requests.compare_sharing(directory / part)
                _write_results(output, part, compared)
                print(columns(part, compared), flush=True)
                continue
            values, part_violations = await MEASURES[part](directory / part)
            violations += [f"{part}: {line}" for line in part_violations]
            _write_results(output, part, values)
            print(table(part, values), flush=True)
    return violations


def _write_results(output: Path, part: str, values: dict[str, Any]) -> None:
    text = json.dumps(values, indent=2) + "\n"
    (output / f"{part}.json").write_text(text, encoding="utf-8")


def table(part: str, values: dict[str, float]) -> str:
    """Return the measures next to those of the baseline, as aligned columns."""
    names = [name for name in values if not name.startswith(BASELINE)]
    product = {name: values[name] for name in names}
    baseline = {name: values[BASELINE + name] for name in names}
    return columns(part, {"product": product, "baseline": baseline})


def columns(title: str, compared: dict[str, dict[str, float]]) -> str:
    """Return one aligned column for each of the compared runs."""
    names = list(next(iter(compared.values())))
    width = max(len(name) for name in names)
    lines = [f"{title:<{width}}" + "".join(f"  {name:>10}" for name in compared)]
    for name in names:
        cells = "".join(f"  {values[name]:>10}" for values in compared.values())
        lines.append(f"{name:<{width}}{cells}")
    return "\n".join(lines)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the benchmark."""
    parser.add_argument(
        "--part", choices=(*MEASURES, SHARING), action="append", help="run only this part"
    )
    parser.add_argument("--output", type=Path, default=OUTPUT, help="directory for the results")
    parser.add_argument("--keep", type=Path, help="directory in which logs and records are kept")


def main(arguments: argparse.Namespace) -> int:
    """Run the benchmark; return 1 if the product violated a guarantee."""
    if arguments.keep is not None:
        return _run_bench(arguments, arguments.keep.resolve())
    with tempfile.TemporaryDirectory(prefix="hyssopwood-bench-") as name:
        return _run_bench(arguments, Path(name))


def _run_bench(arguments: argparse.Namespace, directory: Path) -> int:
    arguments.output.mkdir(parents=True, exist_ok=True)
    started = time.monotonic()
    parts = arguments.part or list(MEASURES)
    try:
        violations = web_process.run(_measure_parts(parts, directory, arguments.output))
    except (ExceptionGroup, TimeoutError, OSError) as error:
        logger.opt(exception=error).error("the benchmark failed: {!r}", error)
        return 2
    logger.info("the benchmark took {:.1f} s", time.monotonic() - started)
    for line in violations:
        print(f"VIOLATED: {line}")
    return 1 if violations else 0
