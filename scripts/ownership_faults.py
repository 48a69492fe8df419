"""Run random fault schedules against the ownership modules and check the servers' records."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from multiprocessing import Pool
from pathlib import Path

from loguru import logger

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "features"))

from support.ownership_faults import Verdict, run_schedule  # noqa: E402
from support.ownership_guards import GUARDS, switched_off  # noqa: E402


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1_000, help="number of schedules")
    parser.add_argument("--jobs", type=int, default=2, help="processes")
    parser.add_argument("--without", choices=sorted(GUARDS), help="guard to disable")
    return parser.parse_args()


def _run(job: tuple[int, str | None]) -> Verdict:
    seed, without = job
    logger.remove()
    with switched_off(without):
        return run_schedule(seed)


def main() -> int:
    """Print the schedules with violations and the totals; return 0 if there are no violations."""
    arguments = _arguments()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    totals: Counter[str] = Counter()
    with Pool(arguments.jobs, maxtasksperchild=50) as pool:
        jobs = [(seed, arguments.without) for seed in seeds]
        for verdict in pool.imap_unordered(_run, jobs):
            totals["schedules"] += 1
            totals["requests run"] += verdict.runs
            totals["with two owners"] += bool(verdict.double_owners)
            totals["with lost assignments"] += bool(verdict.lost)
            totals["with leaked slots"] += bool(verdict.leaked)
            totals["with overcommitted slots"] += bool(verdict.overcommits)
            if not verdict.clean:
                print(verdict, flush=True)
    print(", ".join(f"{name}: {count}" for name, count in totals.items()))
    failures = sum(count for name, count in totals.items() if name.startswith("with"))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
