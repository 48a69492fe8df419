"""A small deployment of one customer: platform, entry instances, servers and callers."""

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

REQUEST_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05
LIST_LAG_MS = 500
# The instances have to assume a longer lag than the platform's list really has.
ASSUMED_LIST_LAG_MS = 2_000
COMMAND_TIMEOUT_S = 20
STANDINS = "hyssopwood_standins"


class DeploymentError(Exception):
    """Raised when a process of a deployment fails or takes too long."""


@frozen(kw_only=True)
class Customer:
    """A customer's service and the size of its deployment."""

    name: str
    service: str
    idempotent_operation: str
    non_idempotent_operation: str
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
    idempotent_operation="browse",
    non_idempotent_operation="adopt",
    failure_domains=("didube", "vake", "isani"),
    slots=2,
    contract_ms=200,
)
BELLTONE = Customer(
    name="belltone",
    service="catalogue",
    idempotent_operation="listen",
    non_idempotent_operation="donate",
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
    platform_address: str = ""
    servers: dict[str, str] = field(factory=dict)
    entries: dict[str, str] = field(factory=dict)
    _callers: list[str] = field(factory=list)

    @property
    def platform_url(self) -> str:
        return f"http://{self.platform_address}"

    def server_name(self, number: int) -> str:
        return f"{self.customer.service}-{number}"

    def entry_name(self, number: int) -> str:
        return f"{self.customer.name}-entry-{number}"

    async def start(self) -> None:
        """Start the platform, the servers and the entry instances of every failure domain."""
        self.platform_address = _free_addresses(1)[0]
        name = f"{self.customer.name}-platform"
        options = ("--address", self.platform_address, "--list-lag-ms", str(LIST_LAG_MS))
        self.launcher.start(name, STANDINS, "platform", *options)
        for number in range(1, self.customer.servers + 1):
            self.start_server(number)
        await self._until_answers(f"{self.platform_url}/control")
        for number in range(1, self.customer.instances + 1):
            await self.start_entry(number)

    def start_server(self, number: int) -> None:
        """Start a backend server; a restarted server keeps its address."""
        name = self.server_name(number)
        address = self.servers.setdefault(name, _free_addresses(1)[0])
        options = ["--address", address, "--name", name, "--slots", str(self.customer.slots)]
        options += ["--record", str(self._record_file(name))]
        if number in self.customer.unfenced:
            options.append("--no-fencing-check")
        self.launcher.start(name, STANDINS, "server", *options)

    async def start_entry(self, number: int) -> None:
        """Start an entry instance and add it to the platform's list."""
        name = self.entry_name(number)
        http_address, peer_address = _free_addresses(2)
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
        path = self._write_json(f"{name}.jsonc", f"Settings of {name}", settings)
        await self.list_entry(name, "live")
        self.launcher.start(name, "hyssopwood", "entry", "--settings", str(path))

    async def replace_entry(self, number: int) -> None:
        """Replace a lost instance by a new one in the same failure domain."""
        await self.unlist_entry(self.entry_name(number))
        await self.start_entry(number + self.customer.instances)

    async def list_entry(self, name: str, state: str) -> None:
        """Set an entry instance's state in the platform's list."""
        body = {"address": self.entries[name], "state": state}
        await self._send("PUT", f"{self.platform_url}/v1/instances/{name}", body)

    async def unlist_entry(self, name: str) -> None:
        """Remove an entry instance from the platform's list."""
        del self.entries[name]
        await self._send("DELETE", f"{self.platform_url}/v1/instances/{name}")

    async def control(self, address: str, **faults: Any) -> None:
        """Set faults of the platform or a server."""
        await self._send("POST", f"http://{address}/control", faults)

    async def until_joined(self, limit_s: float) -> None:
        """Wait until every entry instance is a member, so that a ticket reaches all of them."""

        async def joined() -> bool:
            statuses = [await self.status(name) for name in self.entries]
            return all(status.get("members", 0) >= len(statuses) for status in statuses)

        await self._until(joined, limit_s, "all entry instances to join")

    async def until_ready(self, count: int, limit_s: float) -> None:
        """Wait until the balancer lists `count` entry instances."""

        async def listed() -> bool:
            url = f"{self.platform_url}/v1/balancer/targets"
            return len((await self._fetch(url)).get("targets", [])) >= count

        await self._until(listed, limit_s, f"{count} ready entry instances")

    def first_ticket(self) -> dict[str, Any]:
        """Return the ticket that configures the service and its servers."""
        customer = self.customer
        service = {
            "customer": customer.name,
            "path_prefix": f"/{customer.service}/",
            "shards": customer.shards,
            "contract_ms": customer.contract_ms,
            "operations": {
                customer.idempotent_operation: {"repeatable": True},
                customer.non_idempotent_operation: {"repeatable": False},
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
        """Publish a ticket; return the ms from its append until every instance has it in force."""
        number = ticket["number"]
        name = f"{self.customer.name}-ticket-{number}"
        path = self._write_json(f"{name}.jsonc", f"Ticket {number} of {self.customer.name}", ticket)
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
        """Start a caller and return its name.

        It sends its requests to the balancer's targets, or to the `--target` among the options.
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
            "--repeatable-operation": customer.idempotent_operation,
            "--once-operation": customer.non_idempotent_operation,
        }
        flattened = [part for pair in arguments.items() for part in pair]
        self.launcher.start(name, STANDINS, "caller", *flattened, *options)
        return name

    async def until_callers_end(self, limit_s: float) -> None:
        """Wait until every caller has exited."""

        async def exited() -> bool:
            return not any(name in self.launcher.pids for name in self._callers)

        await self._until(exited, limit_s, "the callers to exit")

    def recordings(self, events: list[dict[str, Any]]) -> Recordings:
        """Return the records that the servers and the callers have written so far."""
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
            statuses = [await self.status(name) for name in self.entries]
            return all(status.get("ticket_number", 0) >= number for status in statuses)

        await self._until(in_force, COMMAND_TIMEOUT_S, f"ticket {number} to be in force")

    async def _command(self, name: str, *arguments: str) -> dict[str, Any]:
        """Run a `hyssopwood` command and return the JSON that it prints."""
        self.launcher.start(name, "hyssopwood", *arguments)

        async def exited() -> bool:
            return name not in self.launcher.pids

        await self._until(exited, COMMAND_TIMEOUT_S, f"{name} to exit")
        output = self.launcher.output(name)
        if self.launcher.wait(name, 0) != 0:
            raise DeploymentError(f"{name} failed: {output.strip()}")
        return dict(json.loads(output))

    async def _until_answers(self, url: str) -> None:
        async def answers() -> bool:
            return bool(await self._fetch(url))

        await self._until(answers, COMMAND_TIMEOUT_S, f"an answer from {url}")

    async def _until(self, condition: Callable[[], Any], limit_s: float, what: str) -> None:
        deadline = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() >= deadline:
                raise DeploymentError(
                    f"{self.customer.name}: timed out after {limit_s} s waiting for {what}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _fetch(self, url: str) -> dict[str, Any]:
        """Return the JSON object at `url`, or an empty one if it can't be fetched."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as answer:
                return dict(await answer.json(content_type=None))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, TypeError):
            return {}

    async def _send(self, method: str, url: str, body: dict[str, Any] | None = None) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with self.session.request(method, url, json=body, timeout=timeout) as answer:
            if answer.status >= 400:
                raise DeploymentError(f"{method} {url}: {answer.status} {await answer.text()}")

    def _record_file(self, name: str) -> Path:
        return self.directory / f"{name}.records.jsonl"

    def _write_json(self, name: str, comment: str, data: dict[str, Any]) -> Path:
        path = self.directory / name
        path.write_text(f"// {comment}\n{json.dumps(data, indent=2)}\n", encoding="utf-8")
        return path


def _free_addresses(count: int) -> list[str]:
    return [f"127.0.0.1:{port}" for port in free_ports(count)]
