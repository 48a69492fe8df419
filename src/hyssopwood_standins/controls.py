"""Apply the JSON of `POST /control` to an attrs class of faults."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from attrs import fields

NUMBERS = (int, float)


class ControlError(ValueError):
    """Raised when a control request has an unknown field or a value of the wrong type."""


def apply_controls(faults: Any, changes: Any) -> None:
    """Set the named fields of `faults`, or none of them when one is invalid."""
    if not isinstance(changes, dict):
        raise ControlError("expected a JSON object")
    known = {item.name: item for item in fields(type(faults))}
    for name, value in changes.items():
        if name not in known:
            raise ControlError(f"unknown field {name!r}, expected one of {sorted(known)}")
        _check_type(name, getattr(faults, name), value)
    for name, value in changes.items():
        setattr(faults, name, value)


def _check_type(name: str, current: object, value: object) -> None:
    is_number = isinstance(value, NUMBERS) and not isinstance(value, bool)
    if isinstance(current, NUMBERS) and not isinstance(current, bool):
        matches = is_number and value >= 0  # type: ignore[operator]
    else:
        matches = isinstance(value, type(current))
    if not matches:
        raise ControlError(f"{name}: got {value!r}, expected a {type(current).__name__}")


async def read_object(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in a request's body; answer 400 if it isn't one."""
    try:
        data = await request.json()
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise web.HTTPBadRequest(text="expected a JSON object")
    return data
