"""The plan: which server owns which range of keys, under which fencing token."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Mapping

from attrs import evolve, field, frozen

KEY_COUNT = 65_536


@frozen
class KeyRange:
    """An inclusive range of keys that one incarnation of a server owns."""

    first: int
    last: int
    server: str
    born_ms: int
    # Fencing token of the grant; a position in the store's plan partition.
    fence: int

    @property
    def size(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the name and start time of the owning server process."""
        return self.server, self.born_ms


@frozen
class Leader:
    """The process that may change the plan."""

    instance: str
    incarnation: str
    # Address at which other instances reach the leader; empty while there is no leader.
    address: str
    # Position of its claim in the store; -1 before its claim.
    claim: int = -1
    # The store was restored, so servers may have leases that the stored plan doesn't record.
    has_unrecorded_leases: bool = False

    def is_same_process(self, other: Leader) -> bool:
        """Return whether both identify the same process."""
        return (self.instance, self.incarnation) == (other.instance, other.incarnation)


@frozen
class Plan:
    """The ranges of every sharded service; each key lies in exactly one range."""

    # Position of the plan's record in the store; a later plan has a higher one.
    version: int
    services: Mapping[str, tuple[KeyRange, ...]]
    _firsts: Mapping[str, list[int]] = field(init=False, repr=False, eq=False)

    @_firsts.default
    def _index(self) -> Mapping[str, list[int]]:
        return {name: [part.first for part in parts] for name, parts in self.services.items()}

    def owner(self, service: str, key: int) -> KeyRange | None:
        """Return the range that contains a key, or None for a service without a plan."""
        firsts = self._firsts.get(service)
        if not firsts:
            return None
        return self.services[service][bisect_right(firsts, key) - 1]

    def ranges(self) -> Iterator[tuple[str, KeyRange]]:
        """Yield every range with its service."""
        for service, parts in self.services.items():
            for part in parts:
                yield service, part

    def with_fence(self, fence: int) -> Plan:
        """Return the same owners under a new fencing token, which is also the plan's version."""
        services = {
            service: merge_adjacent(tuple(evolve(part, fence=fence) for part in parts))
            for service, parts in self.services.items()
        }
        return Plan(fence, services)


# Base of the first change of a plan.
NO_PLAN = Plan(-1, {})


@frozen
class PlanChange:
    """The owners that differ between two versions of the plan."""

    base: int
    version: int
    owners: tuple[tuple[str, KeyRange], ...]

    def apply(self, plan: Plan) -> Plan:
        """Return the changed plan; `plan` must have the version `base`."""
        services = dict(plan.services)
        for service, keys in self.owners:
            services[service] = assign(services.get(service, ()), keys)
        return Plan(self.version, services)


def is_complete(parts: tuple[KeyRange, ...]) -> bool:
    """Return whether the ranges cover every key once, in order."""
    expected = 0
    for part in parts:
        if part.first != expected or part.last < part.first:
            return False
        expected = part.last + 1
    return expected == KEY_COUNT


def merge_adjacent(parts: tuple[KeyRange, ...]) -> tuple[KeyRange, ...]:
    """Return the ranges with adjacent ones of the same owner and fencing token merged."""
    merged: list[KeyRange] = []
    for part in parts:
        last = merged[-1] if merged else None
        if last is not None and last.incarnation == part.incarnation and last.fence == part.fence:
            merged[-1] = evolve(last, last=part.last)
        else:
            merged.append(part)
    return tuple(merged)


def assign(parts: tuple[KeyRange, ...], change: KeyRange) -> tuple[KeyRange, ...]:
    """Return the ranges with the keys of `change` assigned to its owner."""
    if not parts or parts[-1].last < change.first:
        return (*parts, change)
    result: list[KeyRange] = []
    for part in parts:
        if part.last < change.first or part.first > change.last:
            result.append(part)
            continue
        if part.first < change.first:
            result.append(evolve(part, last=change.first - 1))
        if part.first <= change.first <= part.last:
            result.append(change)
        if part.last > change.last:
            result.append(evolve(part, first=change.last + 1))
    return merge_adjacent(tuple(result))


def divide_evenly(incarnations: tuple[tuple[str, int], ...], fence: int) -> tuple[KeyRange, ...]:
    """Divide all keys into one range of about equal size for each server."""
    count = len(incarnations)
    bounds = [KEY_COUNT * index // count for index in range(count + 1)]
    return tuple(
        KeyRange(bounds[index], bounds[index + 1] - 1, server, born_ms, fence)
        for index, (server, born_ms) in enumerate(incarnations)
    )
