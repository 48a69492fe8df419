"""Measure how costs grow with size and rate, the basis of docs/CAPACITY.md."""

from __future__ import annotations

import argparse

import capacity_cluster
import capacity_parts
from loguru import logger

IDLE_MEMBERS = ((3, 6, 32), (6, 6, 32), (9, 6, 32), (12, 6, 32), (15, 6, 32))
IDLE_SERVERS = ((3, 3, 32), (3, 12, 32), (3, 24, 32))
IDLE_SHARDS = ((3, 6, 32), (3, 6, 1024), (3, 6, 8192))
LOAD_RATES = (50, 100, 200)


def main() -> None:
    """Run one group of measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    groups = ("state", "records", "log", "coordinator", "entry", "members", "servers", "shards")
    parser.add_argument("group", choices=(*groups, "load"))
    parser.add_argument("--window-s", type=float, default=10.0)
    options = parser.parse_args()
    logger.remove()
    window_s = options.window_s
    match options.group:
        case "state":
            capacity_parts.measure_state()
        case "records":
            capacity_parts.measure_records()
        case "coordinator":
            capacity_parts.measure_permits()
        case "entry":
            capacity_parts.measure_entry()
        case "log":
            capacity_cluster.measure_records(3)
        case "members":
            capacity_cluster.measure_idle(IDLE_MEMBERS, window_s)
        case "servers":
            capacity_cluster.measure_idle(IDLE_SERVERS, window_s)
        case "shards":
            capacity_cluster.measure_idle(IDLE_SHARDS, window_s)
        case "load":
            for servers, shards in ((4, 32), (12, 32), (24, 32), (12, 4096)):
                capacity_cluster.measure_load(LOAD_RATES, servers, shards, window_s)


if __name__ == "__main__":
    main()
