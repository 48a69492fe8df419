"""Settings of the gateway daemon."""

from __future__ import annotations

from attrs import field, frozen

from hyssopwood.gateway.instance_list import NOMINAL_CAPACITY_MILLICORES
from hyssopwood.gateway.store_availability import DEFAULT_APPLY_S
from hyssopwood.settings import validate_address, validate_positive

# Link of a machine that states none; no limit to shared work.
DEFAULT_LINK_MBPS = 1000.0
# Mbit/s of a link that one core of shared work can use: beats, changes and reports of 195 instances
# take about 2 Mbit/s of a leader's link, and requests need the rest.
LINK_MBPS_PER_CORE = 20.0


@frozen(kw_only=True)
class Bounds:
    """Limits that the deployment promises or demands, in seconds unless named otherwise."""

    # Time between the request to stop and the kill.
    shutdown_s: float = field(validator=validate_positive)
    # Longest hold that a server accepts.
    max_hold_s: float = field(validator=validate_positive)
    # Repeats per first send, over all instances and per service.
    retry_ratio: float = field(validator=validate_positive)
    retry_window_s: float = field(validator=validate_positive)
    # Repeats allowed besides the ratio in each window, over all instances.
    retry_extra: float = field(validator=validate_positive)
    # Time in which a confirmed configuration must be in force.
    apply_s: float = field(default=DEFAULT_APPLY_S, validator=validate_positive)


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway instance."""

    instance: str
    failure_domain: str
    caller_address: str = field(validator=validate_address)
    readiness_address: str = field(validator=validate_address)
    peer_address: str = field(validator=validate_address)
    metrics_address: str = field(validator=validate_address)
    store_address: str = field(validator=validate_address)
    bounds: Bounds
    # Processor time of the machine, in cores, and its link in Mbit/s.
    cores: float = field(default=1.0, validator=validate_positive)
    link_mbps: float = field(default=DEFAULT_LINK_MBPS, validator=validate_positive)

    @property
    def capacity(self) -> int:
        """Return what the machine has for shared work, in thousandths of a core."""
        useful = min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)
        return max(1, int(useful * NOMINAL_CAPACITY_MILLICORES))
