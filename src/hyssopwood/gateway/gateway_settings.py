"""Settings of the gateway daemon."""

from __future__ import annotations

from typing import Any

from attrs import Attribute, field, frozen
from attrs.validators import optional

from hyssopwood.gateway.instance_list import NOMINAL_CAPACITY_MILLICORES
from hyssopwood.gateway.store_availability import DEFAULT_APPLY_S
from hyssopwood.validation import (
    MAX_NUMBER,
    FieldError,
    validate_address,
    validate_not_negative,
    validate_positive,
)

# Descriptors that are reserved for files; sockets share the others.
FILE_DESCRIPTORS = 200
# Link speed of a machine whose settings don't state one; it doesn't limit the capacity.
DEFAULT_LINK_MBPS = 1000.0
# Link speed that one core of shared work needs: heartbeats, changes and reports of 195 instances
# take about 2 Mbit/s of a leader's link, and requests need the rest.
LINK_MBPS_PER_CORE = 20.0


def _validate_descriptors(_: Any, __: Attribute[Any], value: int) -> None:
    if not FILE_DESCRIPTORS < value <= MAX_NUMBER:
        raise FieldError(value, f"more descriptors than the {FILE_DESCRIPTORS} for files")


@frozen(kw_only=True)
class Bounds:
    """Limits that the deployment guarantees or requires, in seconds unless stated otherwise."""

    # Time between the stop signal and the kill.
    shutdown_s: float = field(validator=validate_positive)
    # Longest lease that a server accepts.
    max_hold_s: float = field(validator=validate_positive)
    # Retries per first attempt, over all instances and per service.
    retry_ratio: float = field(validator=validate_positive)
    retry_window_s: float = field(validator=validate_positive)
    # Retries allowed in each window in addition to the ratio, over all instances and per service.
    retry_extra: float = field(validator=validate_positive)
    # Time within which a confirmed configuration must be in force.
    apply_s: float = field(default=DEFAULT_APPLY_S, validator=validate_positive)
    # Time within which no request may reach a server of an evacuated failure domain; without it,
    # evacuations are ignored.
    evacuate_s: float | None = field(default=None, validator=optional(validate_positive))
    # A cold server may get at most this multiple of its `warmup_per_s`, and `warmup_slack` more
    # requests, in any second; 0 if the deployment states no such bound.
    warmup_overage: float = field(default=0.0, validator=validate_not_negative)
    warmup_slack: float = field(default=0.0, validator=validate_not_negative)


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway instance."""

    instance: str
    failure_domain: str
    caller_address: str = field(validator=validate_address)
    readiness_address: str = field(validator=validate_address)
    peer_address: str = field(validator=validate_address)
    # Address for connections that this instance relays for others.
    relay_address: str = field(validator=validate_address)
    metrics_address: str = field(validator=validate_address)
    store_address: str = field(validator=validate_address)
    bounds: Bounds
    # Whether the process starts because the whole system starts for the first time.
    first_start: bool = False
    # Processor time of the machine in cores, and the speed of its link in Mbit/s.
    cores: float = field(default=1.0, validator=validate_positive)
    link_mbps: float = field(default=DEFAULT_LINK_MBPS, validator=validate_positive)
    # Memory of the process in MB, and its descriptors; None for no bound.
    memory_mb: float | None = field(default=None, validator=optional(validate_positive))
    max_descriptors: int | None = field(default=None, validator=optional(_validate_descriptors))

    @property
    def capacity(self) -> int:
        """Return the machine's capacity for shared work, in thousandths of a core."""
        useful = min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)
        return max(1, int(useful * NOMINAL_CAPACITY_MILLICORES))
