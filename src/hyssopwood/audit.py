"""Audit entries: who changed what, when, from what to what, and why."""

from __future__ import annotations

from attrs import frozen


@frozen
class AuditEntry:
    """Describe one change; `offset` is the log record that caused it."""

    offset: int
    time_ms: int
    actor: str
    subject: str
    old: str
    new: str
    cause: str
