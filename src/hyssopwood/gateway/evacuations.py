"""Failure domains that the operator has evacuated, so that their servers get no more requests.

The operator's topic states them. An instance reads it itself or is told of it by the leader, and
uses whichever statement belongs to the later position of the topic.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from hyssopwood.errors import InputError, InputFault
from hyssopwood.events import Event, emit
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Domains that can be evacuated at a time. Each heartbeat lists them, and the known deployments have
# a few domains each.
MAX_EVACUATED_DOMAINS = 64
# A store that was restored from an older copy may lack an evacuation that the operator writes
# again. The domain stays evacuated for this long; servers register again within two seconds.
RESTORED_GRACE_S = 5.0


@frozen(order=True)
class TopicPosition:
    """A position in the operator's topic; an era begins with each restore of the store."""

    era: int
    offset: int


@frozen
class EvacuationState:
    """The evacuated domains that the topic states up to a position."""

    position: TopicPosition
    domains: frozenset[str]


@frozen
class EvacuationChange:
    """A record of the topic that evacuates a domain or lifts its evacuation."""

    domain: str
    evacuated: bool


@frozen
class EvacuationRecords:
    """The changes of one read in order, and the faults of records without a valid domain."""

    changes: tuple[EvacuationChange, ...]
    # Position that follows the read; None for a truncated listing, which shows no removals.
    position: TopicPosition | None
    # The changes list all evacuated domains.
    complete: bool = False
    rejected: tuple[InputError, ...] = ()


@frozen
class _Evacuation:
    """Where an evacuation is stated, and when this instance learned of it."""

    position: TopicPosition
    learned_at: float
    # The restored store lacks the record, which may be written again.
    missing: bool = False


_UNKNOWN_POSITION = TopicPosition(-1, -1)


@define
class Evacuations:
    """Hold the evacuated domains as of the latest known position of the topic."""

    _timers: Timers
    _metrics: Metrics
    _domains: dict[str, _Evacuation] = field(factory=dict, init=False)
    _position: TopicPosition = field(default=_UNKNOWN_POSITION, init=False)
    _informed: asyncio.Event = field(factory=asyncio.Event, init=False)
    # Changes of which the listeners haven't been told yet.
    _unreported: list[tuple[str, bool]] = field(factory=list, init=False)
    _listeners: list[Callable[[str, bool], None]] = field(factory=list, init=False)

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated domains."""
        return frozenset(self._domains)

    @property
    def state(self) -> EvacuationState | None:
        """Return what the topic states, or None if its whole content isn't known."""
        if self._position == _UNKNOWN_POSITION:
            return None
        stated = (name for name, item in self._domains.items() if not item.missing)
        return EvacuationState(self._position, frozenset(stated))

    def evacuated(self, domain: str) -> bool:
        """Return whether a domain is evacuated."""
        return domain in self._domains

    def position_of(self, domain: str) -> TopicPosition | None:
        """Return the position at which a domain's evacuation is stated, or None without one."""
        evacuation = self._domains.get(domain)
        return None if evacuation is None else evacuation.position

    def learned_at(self, domain: str) -> float | None:
        """Return when this instance learned of a domain's evacuation, or None without one."""
        evacuation = self._domains.get(domain)
        return None if evacuation is None else evacuation.learned_at

    async def wait_informed(self, limit_s: float) -> bool:
        """Wait for the first statement of the evacuated domains; return whether it has come."""
        try:
            async with asyncio.timeout(limit_s):
                await self._informed.wait()
        except TimeoutError:
            return False
        return True

    def subscribe(self, listener: Callable[[str, bool], None]) -> None:
        """Call back with a domain and whether it is evacuated, after all changes of a read."""
        self._listeners.append(listener)

    def apply(self, records: EvacuationRecords) -> None:
        """Apply the records of a read of the topic unless a later position is known."""
        self._informed.set()
        for error in records.rejected:
            self._reject(error)
        self._apply_changes(records)
        self._report()

    def _apply_changes(self, records: EvacuationRecords) -> None:
        if records.position is None:
            for change in records.changes:
                if change.evacuated:
                    self._add(change.domain, self._position, "store")
            return
        if records.position <= self._position:
            return
        self._position = records.position
        if records.complete:
            stated = {change.domain for change in records.changes if change.evacuated}
            self._replace(stated, "store")
            return
        for change in records.changes:
            if change.evacuated:
                self._add(change.domain, records.position, "store")
            else:
                self._lift(change.domain, "the operator removed the record")

    def accept(self, state: EvacuationState) -> None:
        """Apply what the leader states unless this instance knows of the same or a later one."""
        self._informed.set()
        if state.position <= self._position:
            return
        self._position = state.position
        self._replace(set(state.domains), "leader")
        self._report()

    def _replace(self, stated: set[str], source: str) -> None:
        """Evacuate exactly the stated domains, except for those that a restore has lost."""
        for domain in [name for name in self._domains if name not in stated]:
            if self._domains[domain].position.era < self._position.era:
                self._keep_missing(domain)
            else:
                self._lift(domain, f"the {source} states no such record")
        for domain in sorted(stated):
            self._add(domain, self._position, source)

    def _add(self, domain: str, position: TopicPosition, source: str) -> None:
        known = self._domains.get(domain)
        if known is not None:
            self._domains[domain] = evolve(known, position=position, missing=False)
            return
        if len(self._domains) >= MAX_EVACUATED_DOMAINS:
            fault = InputFault(domain, "one more domain", f"up to {MAX_EVACUATED_DOMAINS} domains")
            self._reject(InputError("evacuation", (fault,)))
            return
        self._domains[domain] = _Evacuation(position, self._timers.now())
        emit(
            Event.EVACUATION_LEARNED,
            domain=domain,
            source=source,
            era=position.era,
            offset=position.offset,
        )
        self._unreported.append((domain, True))

    def _keep_missing(self, domain: str) -> None:
        known = self._domains[domain]
        if known.missing:
            return
        kept = evolve(known, missing=True)
        self._domains[domain] = kept
        emit(Event.EVACUATION_MISSING, domain=domain, kept_s=RESTORED_GRACE_S)
        self._timers.call_later(RESTORED_GRACE_S, lambda: self._lift_if_missing(domain, kept))

    def _lift_if_missing(self, domain: str, kept: _Evacuation) -> None:
        if self._domains.get(domain) is kept:
            self._lift(domain, "the restored store has no such record")
            self._report()

    def _lift(self, domain: str, cause: str) -> None:
        if self._domains.pop(domain, None) is None:
            return
        emit(Event.EVACUATION_LIFTED, domain=domain, cause=cause)
        self._unreported.append((domain, False))

    def _report(self) -> None:
        """Tell the listeners of the changes, which may pass on the whole state."""
        changes = self._unreported.copy()
        self._unreported.clear()
        if changes:
            self._metrics.set("evacuated_domains", len(self._domains))
        for domain, evacuated in changes:
            for listener in self._listeners:
                listener(domain, evacuated)

    def _reject(self, error: InputError) -> None:
        self._metrics.count("evacuations_rejected")
        emit(Event.EVACUATION_REJECTED, error=error)
