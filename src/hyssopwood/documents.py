"""JSON documents of other writers, limited to what can be stored and sent on."""

from __future__ import annotations

import json
from math import isfinite
from reprlib import Repr
from typing import Any

# Largest integer of the encodings in which values are sent on.
MAX_INTEGER = 2**63 - 1
# Characters of a value that an error message quotes.
MAX_QUOTED = 60
# Characters of an error message about a document.
MAX_DETAIL = 400

_REPR = Repr()
_REPR.maxstring = _REPR.maxother = _REPR.maxlong = MAX_QUOTED
_REPR.maxlevel = 2


def parse_document(data: bytes) -> Any:
    """Return the value of a JSON document.

    Raises ValueError if it is malformed, nested too deeply or contains a number that isn't finite.
    """
    try:
        return json.loads(data, parse_float=_parse_finite, parse_constant=_parse_finite)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


def check_integer(value: int, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Return an integer; raise ValueError if it is out of range."""
    if not minimum <= value <= maximum:
        raise ValueError(f"{quote(value)} is out of range, expected {minimum} to {maximum}")
    return value


def quote(value: Any) -> str:
    """Return a short form of a value for an error message."""
    return _REPR.repr(value)


def shorten(text: str) -> str:
    """Return a text of limited length for an error message."""
    return text if len(text) <= MAX_DETAIL else f"{text[:MAX_DETAIL]}..."


def _parse_finite(text: str) -> float:
    number = float(text)
    if not isfinite(number):
        raise ValueError(f"{quote(text)} is not a finite number")
    return number
