"""Partitions of each server, computed once per table of ownerships."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from hyssopwood.state import Ownership


@frozen
class OwnershipIndex:
    """Map each server to partitions that it owns, that arrive at it, or that it shall release."""

    ownerships: Mapping[str, Ownership]
    owned: Mapping[str, Mapping[str, Ownership]]
    arriving: Mapping[str, Mapping[str, Ownership]]
    awaited: Mapping[str, Mapping[str, Ownership]]

    @classmethod
    def of(cls, ownerships: Mapping[str, Ownership]) -> OwnershipIndex:
        """Return the index of a table."""
        arriving: dict[str, dict[str, Ownership]] = {}
        owned: dict[str, dict[str, Ownership]] = {}
        awaited: dict[str, dict[str, Ownership]] = {}
        for partition, ownership in ownerships.items():
            if ownership.server:
                owned.setdefault(ownership.server, {})[partition] = ownership
            if ownership.server and ownership.awaiting:
                arriving.setdefault(ownership.server, {})[partition] = ownership
            for holder in ownership.awaiting:
                awaited.setdefault(holder, {})[partition] = ownership
        return cls(ownerships, owned, arriving, awaited)
