"""One customer's deployment in small: platform, entry instances, servers and callers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, field, frozen

from hyssopwood_standins.launcher import Launcher, free_ports
from hyssopwood_standins.report import Recordings, read_records

REQUEST_LIMIT_S = 1.0
POLL_S = 0.05
LIST_LAG_MS = 500
# The entries must count with more lag than the platform's list has.
ASSUMED_LIST_LAG_MS = 2_000
COMMAND_LIMIT_S = 20
STANDINS = "hyssopwood_standins"


class DeploymentError(Exception):
    """Raised when a part of a deployment does not do what it must."""


@frozen(kw_only=True)
class Customer:
    """Describe a customer's service and its size."""

    name: str
    service: str
    repeatable_operation: str
    once_operation: str
    failure_domains: tuple[str, ...]
    slots: int
    contract_ms: int
    shards: int = 32
    servers: int = 4
    work_ms: float = 5
    unfenced: tuple[int, ...] = (4,)
    instances_per_domain: int = 1

    @property
    def instances(self) -> int:
        return self.instances_per_domain * len(self.failure_domains)

    def domain_of_entry(self, number: int) -> str:
        return self.failure_domains[(number - 1) % len(self.failure_domains)]

    def domain_of_server(self, number: int) -> str:
        return self.failure_domains[number % len(self.failure_domains)]


BERIDZE = Customer(
    name="beridze",
    service="portal",
    repeatable_operation="browse",
    once_operation="adopt",
    failure_domains=("didube", "vake", "isani"),
    slots=2,
    contract_ms=200,
)
BELLTONE = Customer(
    name="belltone",
    service="catalogue",
    repeatable_operation="listen",
    once_operation="donate",
    failure_domains=("woodbrook", "belmont", "laventille"),
    slots=3,
    contract_ms=150,
)


@define
class Deployment:
    """Start and control the processes of one customer."""

    customer: Customer
    launcher: Launcher
    directory: Path
    session: aiohttp.ClientSession
    platform: str = ""
    servers: dict[str, str] = field(factory=dict)
    entries: dict[str, str] = field(factory=dict)
    _callers: list[str] = field(factory=list)

    @property
    def platform_url(self) -> str:
        return f"http://{self.platform}"

    def server_name(self, number: int) -> str:
        return f"{self.customer.service}-{number}"

    def entry_name(self, number: int) -> str:
        return f"{self.customer.name}-entry-{number}"

    async def start(self) -> None:
        """Start the platform, the servers and the entry instances of each failure domain."""
        self.platform = _addresses(1)[0]
        name = f"{self.customer.name}-platform"
        options = ("--address", self.platform, "--list-lag-ms", str(LIST_LAG_MS))
        self.launcher.start(name, STANDINS, "platform", *options)
        for number in range(1, self.customer.servers + 1):
            self.start_server(number)
        await self._until_answers(f"{self.platform_url}/control")
        for number in range(1, self.customer.instances + 1):
            await self.start_entry(number)

    def start_server(self, number: int) -> None:
        """Start a backend server; it keeps its address when it starts again."""
        name = self.server_name(number)
        address = self.servers.setdefault(name, _addresses(1)[0])
        options = ["--address", address, "--name", name, "--slots", str(self.customer.slots)]
        options += ["--record", str(self._record_file(name))]
        if number in self.customer.unfenced:
            options.append("--no-fencing-check")
        self.launcher.start(name, STANDINS, "server", *options)

    async def start_entry(self, number: int) -> None:
        """Start an entry instance and list it with the platform."""
        name = self.entry_name(number)
        http_address, peer_address = _addresses(2)
        self.entries[name] = http_address
        settings = {
            "instance": name,
            "failure_domain": self.customer.domain_of_entry(number),
            "http_address": http_address,
            "peer_address": peer_address,
            "log_url": self.platform_url,
            "initial_voters": self.customer.instances,
            "timing": {"instance_list_lag_ms": ASSUMED_LIST_LAG_MS},
        }
        path = self._write(f"{name}.jsonc", f"Settings of {name}", settings)
        await self.list_entry(name, "live")
        self.launcher.start(name, "hyssopwood", "entry", "--settings", str(path))

    async def replace_entry(self, number: int) -> None:
        """Start an instance in the same failure domain in the place of a lost one."""
        await self.unlist_entry(self.entry_name(number))
        await self.start_entry(number + self.customer.instances)

    async def list_entry(self, name: str, state: str) -> None:
        """Put an entry instance into the platform's list."""
        body = {"address": self.entries[name], "state": state}
        await self._send("PUT", f"{self.platform_url}/v1/instances/{name}", body)

    async def unlist_entry(self, name: str) -> None:
        """Remove an entry instance from the platform's list."""
        del self.entries[name]
        await self._send("DELETE", f"{self.platform_url}/v1/instances/{name}")

    async def control(self, address: str, **faults: Any) -> None:
        """Set faults of the platform or of a server."""
        await self._send("POST", f"http://{address}/control", faults)

    async def until_joined(self, limit_s: float) -> None:
        """Wait until every entry instance is a member, so that a ticket finds all of them."""

        async def joined() -> bool:
            shown = [await self.status(name) for name in self.entries]
            return all(status.get("members", 0) >= len(shown) for status in shown)

        await self._until(joined, limit_s, "all entry instances to join")

    async def until_ready(self, count: int, limit_s: float) -> None:
        """Wait until the balancer lists `count` entry instances."""

        async def listed() -> bool:
            url = f"{self.platform_url}/v1/balancer/targets"
            return len((await self._fetch(url)).get("targets", [])) >= count

        await self._until(listed, limit_s, f"{count} ready entry instances")

    def first_ticket(self) -> dict[str, Any]:
        """Return the ticket that brings the service and its servers into force."""
        customer = self.customer
        service = {
            "customer": customer.name,
            "path_prefix": f"/{customer.service}/",
            "shards": customer.shards,
            "contract_ms": customer.contract_ms,
            "operations": {
                customer.repeatable_operation: {"repeatable": True},
                customer.once_operation: {"repeatable": False},
            },
        }
        servers = {
            self.server_name(number): {
                "service": customer.service,
                "address": self.servers[self.server_name(number)],
                "failure_domain": customer.domain_of_server(number),
                "slots": customer.slots,
                "checks_fencing": number not in customer.unfenced,
            }
            for number in range(1, customer.servers + 1)
        }
        services = {customer.service: service}
        return {"number": 1, "services": services, "servers": servers, **self.limits(40)}

    def limits(self, queue: int) -> dict[str, Any]:
        """Return the part of a ticket that sets the service's limits."""
        return {"limits": {self.customer.service: {"queue": queue, "deadline_ms": 2_000}}}

    async def publish(self, ticket: dict[str, Any]) -> float:
        """Publish a ticket; return the ms from its append until every entry had it in force."""
        number = ticket["number"]
        name = f"{self.customer.name}-ticket-{number}"
        path = self._write(f"{name}.jsonc", f"Ticket {number} of {self.customer.name}", ticket)
        url = ("--log-url", self.platform_url)
        arguments = ("ticket", "publish", str(path), *url, "--json")
        command = asyncio.create_task(self._command(f"{name}-publish", *arguments))
        try:
            await self._until_in_force(number)
            in_force_at_ms = time.time() * 1000
            appended_at_ms = (await command)["time_ms"]
        finally:
            command.cancel()
        return max(0.0, in_force_at_ms - appended_at_ms)

    def start_caller(self, duration_s: float, rate: float, *options: str) -> str:
        """Start a caller that sends traffic to the balancer's targets and return its name.

        With a `--target` among the options the caller sends its traffic there instead.
        """
        customer = self.customer
        name = f"{customer.name}-caller-{len(self._callers) + 1}"
        self._callers.append(name)
        arguments = {
            "--name": name,
            **({} if "--target" in options else {"--platform-url": self.platform_url}),
            "--path": f"/{customer.service}/work",
            "--record": str(self._record_file(name)),
            "--rate": str(rate),
            "--duration-s": str(duration_s),
            "--key-prefix": customer.service,
            "--work-ms": str(customer.work_ms),
            "--repeatable-operation": customer.repeatable_operation,
            "--once-operation": customer.once_operation,
        }
        flat = [part for pair in arguments.items() for part in pair]
        self.launcher.start(name, STANDINS, "caller", *flat, *options)
        return name

    async def until_callers_end(self, limit_s: float) -> None:
        """Wait until every caller has ended."""

        async def ended() -> bool:
            return not any(name in self.launcher.pids for name in self._callers)

        await self._until(ended, limit_s, "the end of the callers")

    def recordings(self, events: list[dict[str, Any]]) -> Recordings:
        """Return what the servers and the callers have recorded so far."""
        attempts = [
            record
            for name in self._callers
            for record in read_records(self._record_file(name))
            if record["type"] == "attempt"
        ]
        servers = [
            record for name in self.servers for record in read_records(self._record_file(name))
        ]
        return Recordings(attempts, servers, events)

    async def status(self, name: str) -> dict[str, Any]:
        """Return an entry instance's own status."""
        return await self._fetch(f"http://{self.entries[name]}/hyssopwood/status")

    async def _until_in_force(self, number: int) -> None:
        async def in_force() -> bool:
            shown = [await self.status(name) for name in self.entries]
            return all(status.get("ticket_number", 0) >= number for status in shown)

        await self._until(in_force, COMMAND_LIMIT_S, f"ticket {number} in force")

    async def _command(self, name: str, *arguments: str) -> dict[str, Any]:
        """Run a command of the product and return the JSON that it prints."""
        self.launcher.start(name, "hyssopwood", *arguments)

        async def ended() -> bool:
            return name not in self.launcher.pids

        await self._until(ended, COMMAND_LIMIT_S, f"the end of {name}")
        printed = self.launcher.output(name)
        if self.launcher.wait(name, 0) != 0:
            raise DeploymentError(f"{name} failed: {printed.strip()}")
        return dict(json.loads(printed))

    async def _until_answers(self, url: str) -> None:
        async def answers() -> bool:
            return bool(await self._fetch(url))

        await self._until(answers, COMMAND_LIMIT_S, f"an answer of {url}")

    async def _until(self, done: Callable[[], Any], limit_s: float, what: str) -> None:
        limit = time.monotonic() + limit_s
        while not await done():
            if time.monotonic() >= limit:
                raise DeploymentError(f"{self.customer.name}: waited {limit_s} s for {what}")
            await asyncio.sleep(POLL_S)

    async def _fetch(self, url: str) -> dict[str, Any]:
        """Return the JSON object at `url`, or an empty one when there is none."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_LIMIT_S)
        try:
            async with self.session.get(url, timeout=timeout) as answer:
                return dict(await answer.json(content_type=None))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, TypeError):
            return {}

    async def _send(self, method: str, url: str, body: dict[str, Any] | None = None) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_LIMIT_S)
        async with self.session.request(method, url, json=body, timeout=timeout) as answer:
            if answer.status >= 400:
                raise DeploymentError(f"{method} {url}: {answer.status} {await answer.text()}")

    def _record_file(self, name: str) -> Path:
        return self.directory / f"{name}.records.jsonl"

    def _write(self, name: str, comment: str, data: dict[str, Any]) -> Path:
        path = self.directory / name
        path.write_text(f"// {comment}\n{json.dumps(data, indent=2)}\n", encoding="utf-8")
        return path


def _addresses(count: int) -> list[str]:
    return [f"127.0.0.1:{port}" for port in free_ports(count)]
