"""The baseline's deployment: the same platform, servers and callers, with baseline routers."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from attrs import define, evolve, field

from hyssopwood_standins.deployment import STANDINS, Customer, Deployment
from hyssopwood_standins.launcher import free_ports


def baseline_customer(customer: Customer) -> Customer:
    """Return the customer with its own names and with servers that check no fencing."""
    unfenced = tuple(range(1, customer.servers + 1))
    return evolve(customer, name=f"{customer.name}-baseline", unfenced=unfenced)


@define
class BaselineDeployment(Deployment):
    """Run baseline routers in the place of the entry instances."""

    sharing: str = "local"
    _reserved: list[str] = field(factory=list)

    async def start_entry(self, number: int) -> None:
        """Start a baseline router at its fixed address."""
        if not self._reserved:
            ports = free_ports(self.customer.instances)
            self._reserved = [f"127.0.0.1:{port}" for port in ports]
            self._write_plan()
        name = self.entry_name(number)
        self.entries[name] = self._reserved[number - 1]
        await self.list_entry(name, "live")
        options = ("--address", self.entries[name], "--plan", str(self._plan_file))
        pins = ("--pins", str(self._pins_file))
        self.launcher.start(name, STANDINS, "baseline-router", *options, *pins)

    async def replace_entry(self, number: int) -> None:
        """Start the router again at its address, as the routers' list is fixed."""
        await self.start_entry(number)

    async def until_joined(self, limit_s: float) -> None:
        """Return at once, as baseline routers have no members."""

    async def publish(self, ticket: dict[str, Any]) -> float:
        """Write the pins of a ticket, which the routers read from the file."""
        started = time.monotonic()
        pins = ticket.get("ownership", {}).get(self.customer.service, {})
        partial = self._pins_file.with_suffix(".partial")
        partial.write_text(json.dumps(pins), encoding="utf-8")
        # A rename shows the routers either the old or the new pins.
        partial.rename(self._pins_file)
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
            "routers": self._reserved,
            "sharing": self.sharing,
        }
        self._plan_file.write_text(json.dumps(plan, indent=2), encoding="utf-8")
