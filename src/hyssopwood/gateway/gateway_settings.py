"""Settings of the gateway daemon."""

from __future__ import annotations

from attrs import field, frozen

from hyssopwood.gateway.instance_list import NOMINAL_CAPACITY
from hyssopwood.settings import validate_address, validate_positive


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
    # Processor time and link for work that any instance may do, in thousandths of a core.
    capacity: int = field(default=NOMINAL_CAPACITY, validator=validate_positive)
