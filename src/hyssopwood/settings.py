"""Settings of an entry instance's daemon."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Any

from attrs import Attribute, field, frozen

from hyssopwood.errors import InputError, InputFault
from hyssopwood.structure import FieldError, parse_as

MAX_SETTINGS_BYTES = 131_072
MAX_PORT = 65_535
MAX_NAME_CHARACTERS = 100
# 1e999 parses as infinity, which JSON can't represent when the state is encoded again.
MAX_NUMBER = 10**12


def validate_address(_: Any, __: Attribute[str], value: str) -> None:
    """Raise FieldError unless the value is an IP address and a port."""
    if _canonical_address(value) != value:
        raise FieldError(value, "an IP address and a port, such as 127.0.0.1:8080")


def _canonical_address(value: str) -> str | None:
    # Only one spelling is accepted, so that a server can't be listed twice under one address.
    host, _, port = value.rpartition(":")
    try:
        address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        number = int(port)
    except ValueError:
        return None
    if not 0 < number <= MAX_PORT:
        return None
    return f"[{address}]:{number}" if address.version == 6 else f"{address}:{number}"


def validate_positive(_: Any, __: Attribute[Any], value: float) -> None:
    """Raise FieldError unless the value is above 0 and at most MAX_NUMBER."""
    if not 0 < value <= MAX_NUMBER:
        raise FieldError(value, f"a number above 0 and at most {MAX_NUMBER}")


def validate_not_negative(_: Any, __: Attribute[Any], value: float) -> None:
    """Raise FieldError unless the value is 0 or above and at most MAX_NUMBER."""
    if not 0 <= value <= MAX_NUMBER:
        raise FieldError(value, f"a number from 0 to {MAX_NUMBER}")


def validate_name(_: Any, __: Attribute[str] | None, value: str) -> None:
    """Raise FieldError unless the value is a short name of letters, digits, '-' and '_'."""
    if not value.replace("-", "").replace("_", "").isalnum() or len(value) > MAX_NAME_CHARACTERS:
        expected = f"a name of at most {MAX_NAME_CHARACTERS} letters, digits, '-' and '_'"
        raise FieldError(value, expected)


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


def read_text(path: Path, max_bytes: int) -> str:
    """Read a UTF-8 file of limited size; raise InputError if it is unreadable or too large."""
    try:
        size = path.stat().st_size
        if size > max_bytes:
            raise InputError(str(path), (InputFault("$", f"{size} bytes", f"at most {max_bytes}"),))
        return path.read_text(encoding="utf-8")
    except OSError as error:
        fault = InputFault("$", error.strerror or "an unreadable file", "a readable file")
        raise InputError(str(path), (fault,)) from error
    except UnicodeDecodeError as error:
        raise InputError(str(path), (InputFault("$", "other bytes", "UTF-8 text"),)) from error


def load_settings(path: Path) -> Settings:
    """Load and validate the settings file."""
    return parse_as(str(path), read_text(path, MAX_SETTINGS_BYTES), Settings)
