"""Checks of settings that need no parser of structured input."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Any

from attrs import Attribute

from hyssopwood.errors import InputError, InputFault

MAX_SETTINGS_BYTES = 131_072
MAX_PORT = 65_535
MAX_NAME_CHARACTERS = 100
# 1e999 parses as infinity, which JSON can't represent when the state is encoded again.
MAX_NUMBER = 10**12


class FieldError(ValueError):
    """Raised by a field's validator with the invalid value and what was expected."""

    def __init__(self, value: object, expected: str) -> None:
        super().__init__(f"got {value!r}, expected {expected}")
        self.value = value
        self.expected = expected


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
