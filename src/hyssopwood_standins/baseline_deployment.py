"""Deployment of the baseline: the same platform, servers and callers with baseline routers."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from attrs import define, evolve, field

from hyssopwood_standins.deployment import STANDINS, Customer, Deployment
from hyssopwood_standins.launcher import free_ports


def baseline_customer(customer: Customer) -> Customer:
    """Return the customer with names of its own and servers without the fencing check."""
    unfenced = tuple(range(1, customer.servers + 1))
    return evolve(customer, name=f"{customer.name}-baseline", unfenced=unfenced)


@define
class BaselineDeployment(Deployment):
    """A deployment with baseline routers instead of entry instances."""

    sharing: str = "local"
    _router_addresses: list[str] = field(factory=list)

    async def start_entry(self, number: int) -> None:
        """Start a baseline router at its fixed address."""
        if not self._router_addresses:
            ports = free_ports(self.customer.instances)
            self._router_addresses = [f"127.0.0.1:{port}" for port in ports]
            self._write_plan()
        name = self.entry_name(number)
        self.entries[name] = self._router_addresses[number - 1]
        await self.list_entry(name, "live")
        options = ("--address", self.entries[name], "--plan", str(self._plan_file))
        pins = ("--pins", str(self._pins_file))
        self.launcher.start(name, STANDINS, "baseline-router", *options, *pins)

    async def replace_entry(self, number: int) -> None:
        """Restart the router at its address, because the list of routers is fixed."""
        await self.start_entry(number)

    async def until_joined(self, limit_s: float) -> None:
        """Return at once, because baseline routers have no membership."""

    async def publish(self, ticket: dict[str, Any]) -> float:
        """Write the pins of a ticket to the file that the routers read; return the ms it took."""
        started = time.monotonic()
        pins = ticket.get("ownership", {}).get(self.customer.service, {})
        partial_file = self._pins_file.with_suffix(".partial")
        partial_file.write_text(json.dumps(pins), encoding="utf-8")
        # The rename is atomic: routers read either the old or the new pins.
        partial_file.rename(self._pins_file)
        return (time.monotonic() - started) * 1000

    @property
    def _plan_file(self) -> Path:
        return self.directory / f"{self.customer.name}-plan.json"

    @property
    def _pins_file(self) -> Path:
        return self.directory / f"{self.customer.name}-pins.json"

    def _write_plan(self) -> None:
        customer = self.customer
        servers = {
            name: {"address": address, "slots": customer.slots}
            for name, address in self.servers.items()
        }
        plan = {
            "service": customer.service,
            "shards": customer.shards,
            "queue": 40,
            "servers": servers,
            "routers": self._router_addresses,
            "sharing": self.sharing,
        }
        self._plan_file.write_text(json.dumps(plan, indent=2), encoding="utf-8")
