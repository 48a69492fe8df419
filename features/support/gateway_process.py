"""The gateway's program in a process of its own, as the platform starts it."""

import asyncio
import os
import random
import subprocess
import sys
import tempfile
from pathlib import Path

import aiohttp

from hyssopwood.platform.names import READY_PATH
from support.gateway_deployment import free_addresses

SOURCE = Path(__file__).parents[2] / "src"
START_LIMIT_S = 20.0
POLL_S = 0.05
PORT_RANGE = 16
SETTINGS = """node_name={name}
role=gateway
ip={host}
zone=a
listen.front={host}:{front}
listen.ready={host}:{ready}
internal_port_range={first},{last}
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb={memory_mb}
limits.max_fds={max_fds}
bounds.grace_s=6
bounds.config_apply_s=2
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_extra=56
bounds.max_hold_s=10
platform.address={store}
bootstrap={first_start}
"""


def _free_ports(count):
    return [int(address.rpartition(":")[2]) for address in free_addresses(count)]


def _is_socket(descriptor):
    try:
        return os.readlink(descriptor).startswith("socket:")
    except FileNotFoundError:
        # The descriptor was closed after it had been listed.
        return False


class GatewayProcess:
    """One gateway process and its addresses."""

    def __init__(self, name, store_address, memory_mb=300, max_fds=4100):
        # The port for metrics is the same on each machine, so each process has its own address.
        numbers = random.Random(os.getpid() * 1000 + id(self))
        self.host = ".".join(["127", *(str(numbers.randrange(2, 250)) for _ in range(3))])
        front, ready, first = _free_ports(3)
        self.caller_address, self._ready = f"{self.host}:{front}", f"{self.host}:{ready}"
        self._folder = tempfile.TemporaryDirectory()
        self._settings = Path(self._folder.name) / "settings.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=self.host,
                front=front,
                ready=ready,
                first=first,
                last=first + PORT_RANGE,
                store=store_address,
                first_start="true",
                memory_mb=memory_mb,
                max_fds=max_fds,
            ),
            encoding="utf-8",
        )
        self._process = None

    def launch(self):
        """Start the process."""
        environment = {
            **os.environ,
            "HYSSOPWOOD_BOOT": str(self._settings),
            "PYTHONPATH": str(SOURCE),
        }
        self._process = subprocess.Popen(
            [sys.executable, str(SOURCE / "gateway_main.py")],
            env=environment,
            stdout=subprocess.DEVNULL,
        )

    async def wait_ready(self):
        """Wait until the process is ready."""
        async with asyncio.timeout(START_LIMIT_S), aiohttp.ClientSession() as session:
            while not await self._is_ready(session):
                await asyncio.sleep(POLL_S)

    async def _is_ready(self, session):
        try:
            async with session.get(f"http://{self._ready}{READY_PATH}") as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    @property
    def running(self):
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def peak_kib(self):
        """Return the peak of the process's memory in KiB."""
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1])

    def socket_count(self):
        """Return how many descriptors of the process are sockets."""
        folder = Path(f"/proc/{self._process.pid}/fd")
        return sum(_is_socket(item) for item in folder.iterdir())

    def end(self):
        """Kill the process."""
        if self.running:
            self._process.kill()
            self._process.wait()
        self._folder.cleanup()
