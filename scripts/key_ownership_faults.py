"""Explore the ownership of key ranges under random schedules of faults, by seed."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from loguru import logger

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.key_cluster import explore, explore_restores  # noqa: E402


def main() -> int:
    """Run schedules, print each seed that fails a check, and return 1 if any does."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1000, help="number of seeds")
    parser.add_argument(
        "--restores", action="store_true", help="also restore the store from older copies"
    )
    options = parser.parse_args()
    play = explore_restores if options.restores else explore
    logger.remove()
    broken = unowned = grants = 0
    for seed in range(options.first, options.first + options.seeds):
        violations, share, carried_out = play(seed)
        grants += carried_out
        if violations:
            broken += 1
            print(f"seed {seed}: {violations[0]}")
        if share < 0.999:
            unowned += 1
            print(f"seed {seed}: only {share:.3f} of the keys have an owner at the end")
    print(f"{options.seeds} schedules, {grants} grants, {broken} broken, {unowned} unowned")
    return 1 if broken or unowned or not grants else 0


if __name__ == "__main__":
    sys.exit(main())
