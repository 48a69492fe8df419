"""Encoding of limit notices in datagrams and link messages, by `limits.capnp`."""

from __future__ import annotations

from typing import Any

from hyssopwood.gateway.server_limits import LimitNotice

MAX_AGE_MS = 2**32 - 1
MS_PER_S = 1000


def fill_limit(row: Any, notice: LimitNotice) -> None:
    """Fill an encoded notice."""
    row.server = notice.server
    row.bornMs = notice.born_ms
    row.named = notice.per_s is not None
    row.perS = notice.per_s or 0.0
    row.ageMs = int(min(MAX_AGE_MS, max(0.0, notice.age_s * MS_PER_S)))


def read_limit(row: Any) -> LimitNotice:
    """Return the notice of its encoded form; raise ValueError for a negative limit or NaN."""
    per_s = row.perS if row.named else None
    if per_s is not None and not per_s >= 0:
        raise ValueError(f"limit {per_s} of server {row.server!r} is not a rate")
    return LimitNotice(row.server, row.bornMs, per_s, row.ageMs / MS_PER_S)
