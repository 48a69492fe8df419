"""Settings of a process as the platform writes them, decoded into checked settings."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import frozen

from hyssopwood.errors import InputError, InputFault
from hyssopwood.gateway.gateway_settings import DEFAULT_LINK_MBPS, Bounds, GatewaySettings
from hyssopwood.gateway.store_availability import DEFAULT_APPLY_S
from hyssopwood.platform.names import SETTINGS_VARIABLE
from hyssopwood.settings import MAX_SETTINGS_BYTES, read_text
from hyssopwood.structure import FieldError

# The deploy file names the same port.
METRICS_PORT = 9464


@frozen
class _Lines:
    """Read typed values from `name=value` lines and collect what is wrong with them."""

    values: Mapping[str, str]
    faults: list[InputFault]

    def text(self, name: str) -> str:
        value = self.values.get(name, "")
        if not value:
            self.faults.append(InputFault(name, "nothing", "a value"))
        return value

    def number(self, name: str, default: float | None = None) -> float:
        if default is not None and name not in self.values:
            return default
        value = self.values.get(name, "")
        try:
            return float(value)
        except ValueError:
            self.faults.append(InputFault(name, repr(value), "a number"))
            return 0.0


def _parse_lines(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals and not name.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


def _ports(lines: _Lines) -> tuple[int, int]:
    value = lines.text("internal_port_range")
    first, _, last = value.partition(",")
    try:
        return int(first), int(last)
    except ValueError:
        lines.faults.append(InputFault("internal_port_range", repr(value), "two ports"))
        return 0, 0


def parse_boot_settings(source: str, text: str) -> GatewaySettings:
    """Return the checked settings; raise InputError with every fault."""
    lines = _Lines(_parse_lines(text), [])
    values = _gateway_values(lines)
    bounds = _bounds_values(lines)
    if lines.faults:
        raise InputError(source, tuple(lines.faults))
    try:
        return GatewaySettings(**values, bounds=Bounds(**bounds))
    except FieldError as error:
        raise InputError(source, (InputFault("$", str(error.value), error.expected),)) from error


def _gateway_values(lines: _Lines) -> dict[str, Any]:
    first_port, _ = _ports(lines)
    ip = lines.text("ip")
    return {
        "instance": lines.text("node_name"),
        "failure_domain": lines.text("zone"),
        "caller_address": lines.text("listen.front"),
        "readiness_address": lines.text("listen.ready"),
        "peer_address": f"{ip}:{first_port}",
        "metrics_address": f"{ip}:{METRICS_PORT}",
        "store_address": lines.text("platform.address"),
        # "cpu_cores" is the speed of the one core that "cpu_share" is a part of.
        "cores": lines.number("limits.cpu_share", 1.0) * lines.number("limits.cpu_cores", 1.0),
        "link_mbps": lines.number("limits.link_mbps", DEFAULT_LINK_MBPS),
    }


def _bounds_values(lines: _Lines) -> dict[str, float]:
    # "grace_s" is the time between the request to stop and the kill.
    names = {
        "shutdown_s": "grace_s",
        "max_hold_s": "max_hold_s",
        "retry_ratio": "retry_budget_ratio",
        "retry_window_s": "retry_window_s",
        "retry_extra": "retry_budget_extra",
    }
    bounds = {own: lines.number(f"bounds.{name}") for own, name in names.items()}
    bounds["apply_s"] = lines.number("bounds.config_apply_s", DEFAULT_APPLY_S)
    return bounds


def load_boot_settings() -> GatewaySettings:
    """Load the settings file that the platform names in the environment."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        fault = InputFault(SETTINGS_VARIABLE, "nothing", "the path of the settings file")
        raise InputError("environment", (fault,))
    return parse_boot_settings(path, read_text(Path(path), MAX_SETTINGS_BYTES))
