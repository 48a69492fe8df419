"""Measure the start of gateway processes: CPU time, memory and time to the first log line.

Runs processes of the checkout one after another, from modules compiled in a folder of their own, as
a deployment compiles them. Give the folder of another checkout to compare it.
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
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
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
    fields = Path(f"/proc/{process}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


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


def main() -> None:
    """Print the figures of a checkout."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("checkout", nargs="?", type=Path, default=ROOT)
    parser.add_argument("--runs", type=int, default=9)
    parser.add_argument("--idle-s", type=float, default=3.0)
    options = parser.parse_args()
    source = options.checkout.resolve() / "src"
    with tempfile.TemporaryDirectory() as cache:
        environment = _environment(source, Path(cache))
        # The libraries are compiled by the first import, the program by this.
        sys.pycache_prefix = cache
        compileall.compile_dir(source, quiet=2)
        _measure_import(environment)
        imports = [_measure_import(environment) for _ in range(options.runs)]
        idle = [_measure_idle(source, environment, options.idle_s) for _ in range(options.runs)]
    names = ("CPU time, s", "resident memory, MB", "modules")
    _print("import of hyssopwood.platform.program", names, imports)
    names = (
        "time to the first log line, s",
        "CPU time to the first log line, s",
        f"CPU time in the next {options.idle_s} s",
        "resident memory then, MB",
        "peak of resident memory, MB",
    )
    _print("process without a store", names, idle)


if __name__ == "__main__":
    main()
