"""The instances that serve together, as the leader names them, and which of them keeps a queue."""

from __future__ import annotations

import math
from hashlib import blake2b

from attrs import define, field, frozen

# Thousandths of a core of an instance whose settings don't state its share.
NOMINAL_CAPACITY_MILLICORES = 1000


@frozen
class InstanceRecord:
    """Describe one running instance."""

    instance: str
    # Address for messages between instances.
    address: str
    failure_domain: str
    # Processor time that it has for shared work, in thousandths of a core.
    capacity: int = NOMINAL_CAPACITY_MILLICORES


def _rank(queue: str, record: InstanceRecord) -> float:
    """Return a rank by weighted rendezvous hashing; the lowest keeps the queue."""
    digest = blake2b(f"{queue}|{record.instance}".encode(), digest_size=8).digest()
    chance = (int.from_bytes(digest) + 1) / 2**64
    return -math.log(chance) / max(1, record.capacity)


@frozen
class InstanceUpdate:
    """Hold instances that were added or changed, and the names of those that left."""

    present: tuple[InstanceRecord, ...]
    removed: tuple[str, ...] = ()
    # `present` is all that the leader knows.
    complete: bool = False


@define
class InstanceList:
    """Hold the known instances; what was known last holds while no leader tells more."""

    _own: InstanceRecord
    _records: dict[str, InstanceRecord] = field(factory=dict, init=False)
    _ranked: dict[tuple[str, str], tuple[InstanceRecord, ...]] = field(factory=dict, init=False)
    _has_leader_list: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        self._records[self._own.instance] = self._own

    @property
    def has_leader_list(self) -> bool:
        """Return whether any leader has named the instances, this one included."""
        return self._has_leader_list

    @property
    def count(self) -> int:
        """Return how many instances are known."""
        return len(self._records)

    def digest(self) -> int:
        """Return a number that two lists share only if they are alike."""
        rows = sorted(
            f"{x.instance}|{x.address}|{x.failure_domain}|{x.capacity}" for x in self.records()
        )
        return int.from_bytes(blake2b("\n".join(rows).encode(), digest_size=8).digest())

    def records(self) -> tuple[InstanceRecord, ...]:
        """Return all known instances."""
        return tuple(self._records.values())

    def others(self) -> tuple[InstanceRecord, ...]:
        """Return all known instances but this one."""
        return tuple(item for item in self._records.values() if item != self._own)

    def get(self, instance: str) -> InstanceRecord | None:
        """Return an instance's record."""
        return self._records.get(instance)

    def apply(self, update: InstanceUpdate) -> bool:
        """Take what a leader tells, and return whether it changed anything."""
        self._has_leader_list = True
        before = dict(self._records)
        if update.complete:
            self._records.clear()
        for name in update.removed:
            self._records.pop(name, None)
        for record in update.present:
            self._records[record.instance] = record
        self._records[self._own.instance] = self._own
        changed = self._records != before
        if changed:
            self._ranked.clear()
        return changed

    def is_among_first(self, purpose: str, count: int) -> bool:
        """Return whether this instance is one of the first by rank for a purpose."""
        first = self.ranked(purpose, self._own.failure_domain)[:count]
        return self.count <= count or self._own in first

    def ranked(self, queue: str, failure_domain: str) -> tuple[InstanceRecord, ...]:
        """Return the instances that may keep a queue, the one that should first.

        All instances with the same list return the same order, and a change of the list moves few
        queues. Instances of the queue's failure domain come first, so that asking crosses no more
        often than the request itself; among them each keeps queues by its capacity.
        """
        known = self._ranked.get((queue, failure_domain))
        if known is None:
            known = tuple(
                sorted(
                    self._records.values(),
                    key=lambda item: (item.failure_domain != failure_domain, _rank(queue, item)),
                )
            )
            self._ranked[(queue, failure_domain)] = known
        return known
