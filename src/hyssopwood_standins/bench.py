"""Measure ownership and requests against baselines and write the results as JSON."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import json
import tempfile
import time
from pathlib import Path

from loguru import logger

from hyssopwood_standins import web_process
from hyssopwood_standins.bench_run import BASELINE

PARTS = ("ownership", "requests")
OUTPUT = Path("out")
TIME_LIMIT_S = 240


async def _measure(parts: list[str], directory: Path, output: Path) -> list[str]:
    violations: list[str] = []
    async with asyncio.timeout(TIME_LIMIT_S):
        for part in parts:
            module = importlib.import_module(f"hyssopwood_standins.bench_{part}")
            values, found = await module.measure(directory / part)
            violations += [f"{part}: {line}" for line in found]
            text = json.dumps(values, indent=2) + "\n"
            (output / f"{part}.json").write_text(text, encoding="utf-8")
            print(table(part, values), flush=True)
    return violations


def table(part: str, values: dict[str, float]) -> str:
    """Return the measures beside those of the baseline, as aligned lines."""
    names = [name for name in values if not name.startswith(BASELINE)]
    width = max(len(name) for name in names)
    lines = [f"{part:<{width}}  {'product':>10}  {'baseline':>10}"]
    for name in names:
        lines.append(f"{name:<{width}}  {values[name]:>10}  {values[BASELINE + name]:>10}")
    return "\n".join(lines)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options of the benchmark."""
    parser.add_argument("--part", choices=PARTS, action="append", help="only this part")
    parser.add_argument("--output", type=Path, default=OUTPUT, help="directory for the results")
    parser.add_argument("--keep", type=Path, help="directory for logs and records, kept afterwards")


def main(arguments: argparse.Namespace) -> int:
    """Run the benchmark; return 1 when the product violated a guarantee."""
    if arguments.keep is not None:
        return _bench(arguments, arguments.keep.resolve())
    with tempfile.TemporaryDirectory(prefix="hyssopwood-bench-") as name:
        return _bench(arguments, Path(name))


def _bench(arguments: argparse.Namespace, directory: Path) -> int:
    arguments.output.mkdir(parents=True, exist_ok=True)
    started = time.monotonic()
    parts = arguments.part or list(PARTS)
    try:
        found = web_process.run(_measure(parts, directory, arguments.output))
    except (ExceptionGroup, TimeoutError, OSError) as error:
        logger.opt(exception=error).error("the benchmark failed: {!r}", error)
        return 2
    logger.info("the benchmark took {:.1f} s", time.monotonic() - started)
    for line in found:
        print(f"VIOLATED: {line}")
    return 1 if found else 0
