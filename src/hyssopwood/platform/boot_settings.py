"""Decoder of the settings file that the platform writes for a process."""

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
from hyssopwood.validation import MAX_SETTINGS_BYTES, FieldError, read_text

# The deploy file names the same port.
METRICS_PORT = 9464
_FLAGS = {"true": True, "false": False}


@frozen
class _SettingsReader:
    """Read typed values from `name=value` lines and collect the faults."""

    values: Mapping[str, str]
    faults: list[InputFault]

    def text(self, name: str) -> str:
        value = self.values.get(name, "")
        if not value:
            self.faults.append(InputFault(name, "nothing", "a value"))
        return value

    def optional_number(self, name: str) -> float | None:
        return self.number(name) if name in self.values else None

    def number(self, name: str, default: float | None = None) -> float:
        if default is not None and name not in self.values:
            return default
        value = self.values.get(name, "")
        try:
            return float(value)
        except ValueError:
            self.faults.append(InputFault(name, repr(value), "a number"))
            return 0.0

    def flag(self, name: str) -> bool:
        value = self.values.get(name) or "false"
        if value not in _FLAGS:
            self.faults.append(InputFault(name, repr(value), "true or false"))
        return _FLAGS.get(value, False)


def _parse_lines(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals and not name.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


def _read_ports(settings: _SettingsReader) -> tuple[int, int]:
    value = settings.text("internal_port_range")
    first, _, last = value.partition(",")
    try:
        ports = int(first), int(last)
    except ValueError:
        ports = 0, 0
    if not 0 < ports[0] < ports[1]:
        settings.faults.append(InputFault("internal_port_range", repr(value), "two ports"))
    return ports


def parse_boot_settings(source: str, text: str) -> GatewaySettings:
    """Return the validated settings; raise InputError with all faults."""
    settings = _SettingsReader(_parse_lines(text), [])
    values = _read_gateway_values(settings)
    bounds = _read_bounds_values(settings)
    if settings.faults:
        raise InputError(source, tuple(settings.faults))
    try:
        return GatewaySettings(**values, bounds=Bounds(**bounds))
    except FieldError as error:
        raise InputError(source, (InputFault("$", str(error.value), error.expected),)) from error


def _read_gateway_values(settings: _SettingsReader) -> dict[str, Any]:
    first_port, _ = _read_ports(settings)
    ip = settings.text("ip")
    return {
        "instance": settings.text("node_name"),
        "failure_domain": settings.text("zone"),
        "caller_address": settings.text("listen.front"),
        "readiness_address": settings.text("listen.ready"),
        "peer_address": f"{ip}:{first_port}",
        "relay_address": f"{ip}:{first_port + 1}",
        "metrics_address": f"{ip}:{METRICS_PORT}",
        "store_address": settings.text("platform.address"),
        "first_start": settings.flag("bootstrap"),
        # "cpu_share" is a share of one core, and "cpu_cores" is the speed of that core.
        "cores": settings.number("limits.cpu_share", 1.0)
        * settings.number("limits.cpu_cores", 1.0),
        "memory_mb": settings.optional_number("limits.memory_mb"),
        "max_descriptors": settings.optional_number("limits.max_fds"),
        "link_mbps": settings.number("limits.link_mbps", DEFAULT_LINK_MBPS),
    }


def _read_bounds_values(settings: _SettingsReader) -> dict[str, float]:
    # "grace_s" is the time between the stop signal and the kill.
    names = {
        "shutdown_s": "grace_s",
        "max_hold_s": "max_hold_s",
        "retry_ratio": "retry_budget_ratio",
        "retry_window_s": "retry_window_s",
        "retry_extra": "retry_budget_extra",
    }
    bounds = {own: settings.number(f"bounds.{name}") for own, name in names.items()}
    bounds["apply_s"] = settings.number("bounds.config_apply_s", DEFAULT_APPLY_S)
    if "bounds.evacuate_s" in settings.values:
        bounds["evacuate_s"] = settings.number("bounds.evacuate_s")
    bounds["warmup_overage"] = settings.number("bounds.warmup_overage", 0.0)
    bounds["warmup_slack"] = settings.number("bounds.warmup_slack", 0.0)
    return bounds


def load_boot_settings() -> GatewaySettings:
    """Load the settings file whose path the platform sets in the environment."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        fault = InputFault(SETTINGS_VARIABLE, "nothing", "the path of the settings file")
        raise InputError("environment", (fault,))
    return parse_boot_settings(path, read_text(Path(path), MAX_SETTINGS_BYTES))
