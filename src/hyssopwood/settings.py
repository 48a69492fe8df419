"""Settings of an entry instance's daemon."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from attrs import Attribute, field, frozen

from hyssopwood.structure import parse_as
from hyssopwood.validation import (
    MAX_SETTINGS_BYTES,
    FieldError,
    read_text,
    validate_address,
    validate_name,
    validate_positive,
)


def _validate_url(_: Any, __: Attribute[str], value: str) -> None:
    if not value.startswith(("http://", "https://")) or value.endswith("/"):
        raise FieldError(value, "a URL without a trailing slash")


@frozen(kw_only=True)
class Timing:
    """Durations of leases, promises, intervals and timeouts in milliseconds."""

    support_interval_ms: int = field(default=75, validator=validate_positive)
    promise_ms: int = field(default=300, validator=validate_positive)
    renew_interval_ms: int = field(default=100, validator=validate_positive)
    lease_ms: int = field(default=400, validator=validate_positive)
    max_message_life_ms: int = field(default=100, validator=validate_positive)
    permit_ms: int = field(default=200, validator=validate_positive)
    move_freeze_ms: int = field(default=250, validator=validate_positive)
    leaving_grace_ms: int = field(default=3_000, validator=validate_positive)
    planner_interval_ms: int = field(default=100, validator=validate_positive)
    pause_detect_ms: int = field(default=100, validator=validate_positive)
    instance_list_lag_ms: int = field(default=30_000, validator=validate_positive)
    peer_timeout_ms: int = field(default=250, validator=validate_positive)
    server_timeout_ms: int = field(default=250, validator=validate_positive)
    log_timeout_ms: int = field(default=2_000, validator=validate_positive)
    balancer_grace_ms: int = field(default=1_000, validator=validate_positive)
    drain_limit_ms: int = field(default=30_000, validator=validate_positive)
    idempotency_window_ms: int = field(default=60_000, validator=validate_positive)
    poison_quarantine_ms: int = field(default=60_000, validator=validate_positive)

    def __attrs_post_init__(self) -> None:
        # The loss of a single renewal or promise must not end the lease or the authority.
        if self.renew_interval_ms * 2 >= self.lease_ms:
            raise FieldError(self.lease_ms, "lease_ms above twice renew_interval_ms")
        if self.support_interval_ms * 2 >= self.promise_ms:
            raise FieldError(self.promise_ms, "promise_ms above twice support_interval_ms")


@frozen(kw_only=True)
class Limits:
    """Bounds on input sizes and on rates."""

    head_bytes: int = field(default=16_384, validator=validate_positive)
    body_bytes: int = field(default=1_048_576, validator=validate_positive)
    append_rate_per_s: float = field(default=20.0, validator=validate_positive)
    moves_per_minute: int = field(default=60, validator=validate_positive)
    checkpoint_records: int = field(default=2_000, validator=validate_positive)
    checkpoint_age_s: int = field(default=300, validator=validate_positive)


@frozen(kw_only=True)
class Settings:
    """Settings of one instance."""

    instance: str = field(validator=validate_name)
    failure_domain: str = field(validator=validate_name)
    http_address: str = field(validator=validate_address)
    peer_address: str = field(validator=validate_address)
    log_url: str = field(validator=_validate_url)
    stream: str = field(default="hyssopwood", validator=validate_name)
    initial_voters: int = field(default=3, validator=validate_positive)
    log_level: str = field(default="INFO")
    log_json: bool = False
    timing: Timing = field(factory=Timing)
    limits: Limits = field(factory=Limits)


def load_settings(path: Path) -> Settings:
    """Load and validate the settings file."""
    return parse_as(str(path), read_text(path, MAX_SETTINGS_BYTES), Settings)
