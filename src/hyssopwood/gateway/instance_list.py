"""The list of running instances, as the leader sends it, and the choice of queue keepers."""

from __future__ import annotations

import math
from collections.abc import Callable
from hashlib import blake2b

from attrs import define, field, frozen

# Capacity of an instance whose settings don't state its share, in thousandths of a core.
NOMINAL_CAPACITY_MILLICORES = 1000


@frozen
class InstanceRecord:
    """A running instance."""

    instance: str
    # Address for messages between instances.
    address: str
    failure_domain: str
    # Processor time for shared work, in thousandths of a core.
    capacity: int = NOMINAL_CAPACITY_MILLICORES
    # Address for connections that the instance relays to servers; empty if it relays none.
    relay_address: str = ""
    # Build that the instance runs; empty if it doesn't say.
    build: str = ""


def _rank(queue: str, record: InstanceRecord) -> float:
    """Return the rank by weighted rendezvous hashing; the lowest rank is preferred."""
    digest = blake2b(f"{queue}|{record.instance}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest) + 1) / 2**64
    return -math.log(uniform) / max(1, record.capacity)


def rank(queue: str, failure_domain: str, record: InstanceRecord) -> tuple[bool, float]:
    """Return an instance's rank for a queue; the instance with the lowest keeps the queue."""
    return record.failure_domain != failure_domain, _rank(queue, record)


@frozen
class InstanceUpdate:
    """Instances that were added or changed, and the names of removed ones."""

    present: tuple[InstanceRecord, ...]
    removed: tuple[str, ...] = ()
    # Whether `present` is the leader's complete list.
    complete: bool = False


@define
class InstanceList:
    """Hold the known instances; the last list stays valid while there is no leader."""

    _own: InstanceRecord
    _records: dict[str, InstanceRecord] = field(factory=dict, init=False)
    _ranked: dict[tuple[str, str], tuple[InstanceRecord, ...]] = field(factory=dict, init=False)

    _listeners: list[Callable[[InstanceRecord], None]] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        self._records[self._own.instance] = self._own

    def subscribe(self, listener: Callable[[InstanceRecord], None]) -> None:
        """Call back with each record that is removed or replaced."""
        self._listeners.append(listener)

    @property
    def count(self) -> int:
        """Return the number of known instances."""
        return len(self._records)

    def digest(self) -> int:
        """Return a digest that two lists share only if they are equal."""
        rows = sorted(
            f"{x.instance}|{x.address}|{x.failure_domain}|{x.capacity}|{x.relay_address}"
            for x in self.records()
        )
        return int.from_bytes(blake2b("\n".join(rows).encode(), digest_size=8).digest())

    def records(self) -> tuple[InstanceRecord, ...]:
        """Return all known instances."""
        return tuple(self._records.values())

    def others(self) -> tuple[InstanceRecord, ...]:
        """Return all known instances except this one."""
        return tuple(item for item in self._records.values() if item != self._own)

    def get(self, instance: str) -> InstanceRecord | None:
        """Return an instance's record."""
        return self._records.get(instance)

    def apply(self, update: InstanceUpdate) -> bool:
        """Apply an update from the leader, and return whether it changed anything."""
        previous = dict(self._records)
        if update.complete:
            self._records.clear()
        for name in update.removed:
            self._records.pop(name, None)
        for record in update.present:
            self._records[record.instance] = record
        self._records[self._own.instance] = self._own
        changed = self._records != previous
        if changed:
            self._ranked.clear()
            for record in previous.values():
                if self._records.get(record.instance) != record:
                    for listener in self._listeners:
                        listener(record)
        return changed

    def is_among_first(self, purpose: str, count: int) -> bool:
        """Return whether this instance is among the first `count` of its failure domain by rank."""
        first = self.ranked(purpose, self._own.failure_domain)[:count]
        return self.count <= count or self._own in first

    def ranked(self, queue: str, failure_domain: str) -> tuple[InstanceRecord, ...]:
        """Return the instances that may keep a queue, the preferred one first.

        Instances whose lists are equal return the same order, and a change of the list moves few
        queues. Instances of the queue's failure domain come first, so that a queue message crosses
        domains no more often than the request itself; among them the share of queues follows the
        capacity.
        """
        ranked = self._ranked.get((queue, failure_domain))
        if ranked is None:
            ranked = tuple(
                sorted(
                    self._records.values(),
                    key=lambda item: rank(queue, failure_domain, item),
                )
            )
            self._ranked[(queue, failure_domain)] = ranked
        return ranked
