"""Start child processes, stop them by pid and leave none behind."""

from __future__ import annotations

import ctypes
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType

from attrs import define
from loguru import logger

from hyssopwood_standins.recorder import Recorder

# Below the usual ephemeral range, so that no outgoing connection uses a port found here.
PORT_RANGE = range(20_000, 32_000)
PORT_ATTEMPTS = 1_000
TERMINATE_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.02
PR_SET_PDEATHSIG = 1

_LIBC = ctypes.CDLL(None) if sys.platform == "linux" else None


def free_ports(count: int) -> list[int]:
    """Return distinct free loopback ports; each stays bound until the last one is found."""
    bound: list[socket.socket] = []
    try:
        for _ in range(PORT_ATTEMPTS):
            if len(bound) == count:
                return [item.getsockname()[1] for item in bound]
            candidate = socket.socket()
            try:
                candidate.bind(("127.0.0.1", random.choice(PORT_RANGE)))
                bound.append(candidate)
            except OSError:
                candidate.close()
    finally:
        for item in bound:
            item.close()
    raise OSError(f"found fewer than {count} free ports")


def _die_with_parent() -> None:
    """Ask the kernel to kill this process when its parent exits for any reason."""
    if _LIBC is not None:
        _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@define
class Child:
    """A child process."""

    name: str
    process: subprocess.Popen[bytes]

    @property
    def running(self) -> bool:
        return self.process.poll() is None


class Launcher:
    """Manage child processes for the duration of a `with` block."""

    def __init__(self, directory: Path, recorder: Recorder) -> None:
        self._directory = directory
        self._recorder = recorder
        self._children: dict[str, Child] = {}

    def __enter__(self) -> Launcher:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop_all()

    @property
    def pids(self) -> dict[str, int]:
        """Return the pids of the running processes by name."""
        return {child.name: child.process.pid for child in self._children.values() if child.running}

    def start(self, name: str, *arguments: str) -> Child:
        """Start `python -m ARGUMENTS` with its output appended to `NAME.log`."""
        with self._output_file(name).open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                # Ctrl-C must reach only the launcher, which stops its children in order.
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )
        child = Child(name, process)
        self._children[name] = child
        self._record("launched", name)
        return child

    def output(self, name: str) -> str:
        """Return what a process has printed."""
        return self._output_file(name).read_text(encoding="utf-8", errors="replace")

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        child = self._children[name]
        self._signal(child, signal.SIGKILL)
        child.process.wait()
        self._record("killed", name)

    def freeze(self, name: str) -> None:
        self._signal(self._children[name], signal.SIGSTOP)
        self._record("frozen", name)

    def resume(self, name: str) -> None:
        self._record("resumed", name)
        self._signal(self._children[name], signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM without waiting for the exit."""
        self._record("terminated", name)
        self._signal(self._children[name], signal.SIGTERM)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process still runs after `timeout_s`."""
        try:
            code = self._children[name].process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        self._record("stopped", name)
        return code

    def stop_all(self) -> None:
        """Stop every process with SIGTERM, and with SIGKILL after `TERMINATE_TIMEOUT_S`."""
        running = [child for child in self._children.values() if child.running]
        for child in running:
            self._signal(child, signal.SIGCONT)
            self._signal(child, signal.SIGTERM)
        deadline = time.monotonic() + TERMINATE_TIMEOUT_S
        while time.monotonic() < deadline and any(child.running for child in running):
            time.sleep(POLL_INTERVAL_S)
        for child in running:
            if child.running:
                logger.warning("{} did not exit on SIGTERM; sending SIGKILL", child.name)
                self._signal(child, signal.SIGKILL)
            child.process.wait()
            self._record("stopped", child.name)

    def _output_file(self, name: str) -> Path:
        return self._directory / f"{name}.log"

    def _signal(self, child: Child, number: signal.Signals) -> None:
        # `running` polls first: the pid of a reaped process may belong to another process.
        if child.running:
            os.kill(child.process.pid, number)

    def _record(self, kind: str, name: str) -> None:
        self._recorder.write(kind, time.monotonic(), process=name)
