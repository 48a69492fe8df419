"""Play random schedules of processes that fail and check the bound for cold servers."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from loguru import logger

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.cold_server_model import BOUND, LIMIT, run_schedules  # noqa: E402

REPORT_EVERY = 10_000


def main() -> int:
    """Play the schedules; return 0 only if none exceeds the bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=100_000)
    parser.add_argument("--first", type=int, default=1, help="seed of the first schedule")
    options = parser.parse_args()
    logger.remove()
    started_at = time.monotonic()
    exceeded, largest, sends = [], (0, 0), 0
    for first in range(options.first, options.first + options.count, REPORT_EVERY):
        count = min(REPORT_EVERY, options.first + options.count - first)
        found, most, sent = run_schedules(first, count)
        exceeded += found
        largest = max(largest[0], most[0]), max(largest[1], most[1])
        sends += sent
        print(
            f"seeds {options.first} to {first + count - 1}: {len(exceeded)} exceed a bound; in one "
            f"second at most {largest[0]} in all (allowed {BOUND:g}) and {largest[1]} under one "
            f"leader (allowed {LIMIT.count}); {sends} requests; "
            f"{time.monotonic() - started_at:.0f} s",
            flush=True,
        )
    for seed, of_all, of_leader in exceeded[:20]:
        print(f"seed {seed}: {of_all} in all, {of_leader} under one leader")
    return 1 if exceeded else 0


if __name__ == "__main__":
    sys.exit(main())
