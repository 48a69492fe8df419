"""Command line of the stand-ins."""

from __future__ import annotations

import argparse
import importlib
import sys
from types import ModuleType

from hyssopwood_standins import web_process

COMMANDS = {
    "platform": "log service, instance list and load balancer",
    "server": "backend server",
    "caller": "open-loop load generator that checks each answer",
    "demo": "two small deployments under faults",
    "baseline-router": "router of the benchmark's baseline",
    "fault-runs": "single and double faults, each checked against the guarantees",
    "bench": "benchmark of ownership and requests against the baseline",
}


def _load_module(command: str) -> ModuleType:
    return importlib.import_module(f"hyssopwood_standins.{command.replace('-', '_')}")


def main(argv: list[str] | None = None) -> int:
    """Run the stand-in that the command names."""
    parser = argparse.ArgumentParser(prog="hyssopwood_standins")
    parser.add_argument("--log-level", default="INFO")
    commands = parser.add_subparsers(dest="command", required=True)
    modules = {name: _load_module(name) for name in COMMANDS}
    for name, module in modules.items():
        module.add_arguments(commands.add_parser(name, help=COMMANDS[name]))
    arguments = parser.parse_args(argv)
    web_process.set_up_logging(arguments.log_level)
    return modules[arguments.command].main(arguments)


if __name__ == "__main__":
    sys.exit(main())
