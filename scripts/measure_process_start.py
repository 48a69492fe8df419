"""Measure the start of gateway processes: CPU time, memory and time to the first log line.

Runs processes one after another, from modules compiled in a folder of their own, as a deployment
compiles them. With the folders of several checkouts it takes them in turns, so that the load of the
machine falls on all of them; the least of the runs depends least on it.
"""

from __future__ import annotations

import argparse
import compileall
import os
import random
import selectors
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
LOG_LINE_LIMIT_S = 30.0
IMPORT = """
import hyssopwood.platform.program, pathlib, sys, time
status = pathlib.Path("/proc/self/status").read_text()
print(time.process_time(), status.split("VmRSS:")[1].split()[0], len(sys.modules))
"""
SETTINGS = """node_name=measured
zone=a
ip={host}
listen.front={host}:19001
listen.ready={host}:19002
internal_port_range=19003,19019
platform.address={host}:19020
bounds.grace_s=6
bounds.max_hold_s=10
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_extra=56
"""


def _environment(source: Path, cache: Path) -> dict[str, str]:
    kept = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
    return {**kept, "PYTHONPATH": str(source), "PYTHONPYCACHEPREFIX": str(cache)}


def _measure_import(environment: dict[str, str]) -> list[float]:
    output = subprocess.check_output([sys.executable, "-c", IMPORT], env=environment, text=True)
    cpu_s, resident_kb, modules = output.split()
    return [float(cpu_s), int(resident_kb) / 1024, int(modules)]


def _cpu_s(process: int) -> float:
    """Return the CPU time of the main thread, which has all but a few milliseconds of it."""
    nanoseconds = Path(f"/proc/{process}/schedstat").read_text(encoding="ascii").split()[0]
    return int(nanoseconds) / 1e9


def _memory_mb(process: int, name: str) -> float:
    status = Path(f"/proc/{process}/status").read_text(encoding="ascii")
    return int(status.split(f"{name}:")[1].split()[0]) / 1024


def _measure_idle(source: Path, environment: dict[str, str], idle_s: float) -> list[float]:
    """Return the figures of one process, which has no store, at its first log line and later."""
    # Ports below the ephemeral ones, on an address of its own, are free.
    host = f"127.81.{random.randrange(2, 250)}.{random.randrange(2, 250)}"
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.conf"
        settings.write_text(SETTINGS.format(host=host), encoding="utf-8")
        started_at = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, str(source / "gateway_main.py")],
            env={**environment, "HYSSOPWOOD_BOOT": str(settings)},
            stdout=subprocess.PIPE,
        )
        try:
            with selectors.DefaultSelector() as selector:
                selector.register(process.stdout, selectors.EVENT_READ)
                if not selector.select(LOG_LINE_LIMIT_S):
                    raise TimeoutError(f"no log line within {LOG_LINE_LIMIT_S} s")
            first_line_s = time.monotonic() - started_at
            first_line_cpu_s = _cpu_s(process.pid)
            time.sleep(idle_s)
            if process.poll() is not None:
                raise RuntimeError(f"the process ended with {process.returncode}")
            return [
                first_line_s,
                first_line_cpu_s,
                _cpu_s(process.pid) - first_line_cpu_s,
                _memory_mb(process.pid, "VmRSS"),
                _memory_mb(process.pid, "VmHWM"),
            ]
        finally:
            process.kill()
            process.communicate()


def _print(title: str, names: tuple[str, ...], rows: list[list[float]]) -> None:
    print(title)
    for name, values in zip(names, zip(*rows, strict=True), strict=True):
        print(f"  {name:<34} median {statistics.median(values):8.3f}  least {min(values):8.3f}")


class _Checkout:
    """A checkout, the folder of its compiled modules, and the figures of its processes."""

    def __init__(self, folder: Path, cache: Path) -> None:
        self.folder = folder.resolve()
        self.source = self.folder / "src"
        self.environment = _environment(self.source, cache)
        self.imports: list[list[float]] = []
        self.idle: list[list[float]] = []
        # The libraries are compiled by the first import, the program by this.
        sys.pycache_prefix = str(cache)
        compileall.compile_dir(self.source, quiet=2)
        _measure_import(self.environment)

    def print(self, idle_s: float) -> None:
        """Print the figures."""
        print(self.folder)
        names = ("CPU time, s", "resident memory, MB", "modules")
        _print(" import of hyssopwood.platform.program", names, self.imports)
        names = (
            "time to the first log line, s",
            "CPU time to the first log line, s",
            f"CPU time in the next {idle_s} s",
            "resident memory then, MB",
            "peak of resident memory, MB",
        )
        _print(" process without a store", names, self.idle)


def main() -> None:
    """Print the figures of all checkouts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("checkouts", nargs="*", type=Path, default=[ROOT])
    parser.add_argument("--runs", type=int, default=9)
    parser.add_argument("--idle-s", type=float, default=3.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as cache:
        checkouts = [
            _Checkout(folder, Path(cache) / str(number))
            for number, folder in enumerate(options.checkouts)
        ]
        for _ in range(options.runs):
            for checkout in checkouts:
                checkout.imports.append(_measure_import(checkout.environment))
        for _ in range(options.runs):
            for checkout in checkouts:
                figures = _measure_idle(checkout.source, checkout.environment, options.idle_s)
                checkout.idle.append(figures)
    for checkout in checkouts:
        checkout.print(options.idle_s)


if __name__ == "__main__":
    main()
