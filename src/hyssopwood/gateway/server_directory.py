"""Directory of the registered backend servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b

from attrs import define, evolve, field, frozen

from hyssopwood.events import Event, emit

# Time for which a removed server's address may still be used; later another server may have it.
REMOVED_ADDRESS_VALID_S = 1.5
# Grace period for removals around an outage of the store. The platform registers live servers again
# within about two seconds after the outage.
REMOVAL_GRACE_S = 2.5


@frozen(kw_only=True)
class ServerRecord:
    """Describe one incarnation of a backend server as it registered itself."""

    server: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warmup_left_s: float
    # Start time in Unix milliseconds; a higher value is a later incarnation under the same id.
    born_ms: int
    sequence: int
    # The server has reported in an answer that it is leaving, whatever its registration states.
    leaving: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and start time, which identify this incarnation of the server."""
        return self.server, self.born_ms

    @property
    def version(self) -> tuple[int, int]:
        """Return the order of the records under one id."""
        return self.born_ms, self.sequence


@define
class _Entry:
    record: ServerRecord
    # Time at which an entry that expired around a store outage is removed.
    removal_at: float | None = None
    # The record as it is returned while the server's domain is evacuated; None before the first
    # time. Each request reads the records of a service, so copies of them are reused.
    evacuated: ServerRecord | None = None


@frozen
class _Removal:
    record: ServerRecord
    at: float


@define
class ServerDirectory:
    """Hold the newest record of each server; stale and duplicate records are ignored.

    Records of services that no configuration has named may have any writer. They are set aside, so
    that they change no other record, until a configuration names the service.
    """

    _entries: dict[str, _Entry] = field(factory=dict, init=False)
    _removed: dict[str, _Removal] = field(factory=dict, init=False)
    # All services that were named so far, or None before the first configuration.
    _services: set[str] | None = field(default=None, init=False)
    _set_aside: dict[str, ServerRecord] = field(factory=dict, init=False)
    _removed_aside: dict[str, _Removal] = field(factory=dict, init=False)
    _listeners: list[Callable[[ServerRecord, bool], None]] = field(factory=list, init=False)
    _observers: list[Callable[[ServerRecord, bool], None]] = field(factory=list, init=False)
    _digest: int | None = field(default=None, init=False)
    # Latest start time of the servers at each address, or None if a record has changed since.
    _newest_at: dict[str, int] | None = field(default=None, init=False)
    # Incarnations of servers that have reported in an answer that they are leaving.
    _leaving: set[tuple[str, int]] = field(factory=set, init=False)
    _stored_listeners: list[Callable[[ServerRecord, bool], None]] = field(factory=list, init=False)
    # Evacuated failure domains; all servers in them are returned as draining.
    _evacuated: set[str] = field(factory=set, init=False)

    def subscribe(self, listener: Callable[[ServerRecord, bool], None]) -> None:
        """Call back after each routing change with the record and whether it was removed.

        The evacuation of a failure domain, and its end, change the routing of its servers.
        """
        self._listeners.append(listener)

    def subscribe_registrations(self, observer: Callable[[ServerRecord, bool], None]) -> None:
        """Call back with each newer record and whether it changes routing."""
        self._observers.append(observer)

    def subscribe_stored(self, listener: Callable[[ServerRecord, bool], None]) -> None:
        """Call back after each change of a listed record, as the server registered it."""
        self._stored_listeners.append(listener)

    def name_services(self, services: Iterable[str]) -> None:
        """Use the records of these services from now on, besides those that were named before."""
        first = self._services is None
        self._services = (self._services or set()).union(services)
        if first:
            for record in self.stored_records():
                if not self._is_named(record):
                    self._set_aside[record.server] = record
                    self._forget(record)
        for record in list(self._set_aside.values()):
            if self._is_named(record):
                del self._set_aside[record.server]
                self.put(record)

    def _is_named(self, record: ServerRecord) -> bool:
        return self._services is None or record.service in self._services

    def set_evacuated(self, domain: str, evacuated: bool) -> None:
        """Return the servers of a failure domain as draining from now on, or no more."""
        if evacuated:
            self._evacuated.add(domain)
        else:
            self._evacuated.discard(domain)
        self._newest_at = None
        for entry in list(self._entries.values()):
            if entry.record.failure_domain == domain and not entry.record.draining:
                for listener in self._listeners:
                    listener(self._effective(entry), False)

    def is_evacuated(self, record: ServerRecord) -> bool:
        """Return whether a server belongs to an evacuated failure domain."""
        return record.failure_domain in self._evacuated

    def is_left_by_evacuation(self, service: str) -> bool:
        """Return whether a service would have usable servers but for evacuations."""
        if not self._evacuated:
            return False
        ready = [
            entry.record
            for entry in self._entries.values()
            if entry.record.service == service and not entry.record.draining
        ]
        return bool(ready) and all(self.is_evacuated(record) for record in ready)

    def _effective(self, entry: _Entry) -> ServerRecord:
        """Return an entry's record, as draining if its failure domain is evacuated."""
        record = entry.record
        if record.draining or record.failure_domain not in self._evacuated:
            return record
        if entry.evacuated is None:
            entry.evacuated = evolve(record, draining=True)
        return entry.evacuated

    def get(self, server: str) -> ServerRecord | None:
        """Return a server's record unless it was removed."""
        entry = self._entries.get(server)
        return None if entry is None else self._effective(entry)

    def get_recent(self, server: str, now: float) -> ServerRecord | None:
        """Return a server's record, also for a short time after its removal."""
        removed = self._removed.get(server)
        if removed is not None and now - removed.at < REMOVED_ADDRESS_VALID_S:
            return self._effective(_Entry(removed.record))
        return self.get(server)

    def has_ended(self, incarnation: tuple[str, int]) -> bool:
        """Return whether an incarnation was removed or replaced by a later one."""
        record = self.get(incarnation[0])
        return record is None or record.incarnation != incarnation

    def is_address_reused(self, record: ServerRecord) -> bool:
        """Return whether a server that started later has registered the server's address."""
        if self._newest_at is None:
            self._newest_at = {}
            for item in self.records():
                newest = self._newest_at.get(item.address, item.born_ms)
                self._newest_at[item.address] = max(newest, item.born_ms)
        return self._newest_at.get(record.address, record.born_ms) > record.born_ms

    def digest(self) -> int:
        """Return a digest that two directories share only if they route in the same way.

        Evacuations aren't part of it: an instance that learns of one sooner than the leader has the
        same registrations.
        """
        if self._digest is None:
            rows = sorted(_routing_row(record) for record in self.listed_records())
            data = "\n".join(rows).encode()
            self._digest = int.from_bytes(blake2b(data, digest_size=8).digest())
        return self._digest

    def of_service(self, service: str) -> Iterator[ServerRecord]:
        """Yield the records of a service's servers."""
        for entry in self._entries.values():
            if entry.record.service == service:
                yield self._effective(entry)

    def records(self) -> tuple[ServerRecord, ...]:
        """Return all records."""
        return tuple(self._effective(entry) for entry in self._entries.values())

    def stored_records(self) -> tuple[ServerRecord, ...]:
        """Return all records as the servers registered them, whatever is evacuated."""
        return tuple(entry.record for entry in self._entries.values())

    def listed_records(self) -> tuple[ServerRecord, ...]:
        """Return all records as they were registered, also those that are set aside."""
        return (*self.stored_records(), *self._set_aside.values())

    def leaving(self) -> tuple[tuple[str, int], ...]:
        """Return the listed incarnations that have reported in an answer that they are leaving."""
        return tuple(
            incarnation for incarnation in self._leaving if not self.has_ended(incarnation)
        )

    def mark_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Mark an incarnation as draining from now on; return whether that is a change."""
        entry = self._entries.get(incarnation[0])
        if entry is None or entry.record.incarnation != incarnation or incarnation in self._leaving:
            return False
        self._leaving.add(incarnation)
        leaving = evolve(entry.record, draining=True, leaving=True)
        entry.record = leaving
        _log_change(leaving, "reported in an answer that it is leaving")
        self._notify(leaving, removed=False)
        return True

    def put(self, record: ServerRecord) -> None:
        """Store a record unless a newer one is known."""
        if not self._is_named(record):
            self._put_aside(record)
            return
        if record.leaving:
            self.mark_leaving(record.incarnation)
        if record.incarnation in self._leaving:
            # Later heartbeats of the same incarnation may still state that it is ready.
            record = evolve(record, draining=True, leaving=True)
        removed = self._removed.get(record.server)
        if removed is not None and record.version <= removed.record.version:
            return
        known = self._entries.get(record.server)
        if known is not None and record.version <= known.record.version:
            return
        self._removed.pop(record.server, None)
        self._entries[record.server] = _Entry(record)
        changed = known is None or _routing_differs(known.record, record)
        for observer in self._observers:
            observer(record, changed)
        if changed:
            _log_change(record, "registered" if known is None else "changed")
            self._notify(record, removed=False)

    def _put_aside(self, record: ServerRecord) -> None:
        removed = self._removed_aside.get(record.server)
        known = self._set_aside.get(record.server)
        if any(
            record.version <= other.version
            for other in (known, None if removed is None else removed.record)
            if other is not None
        ):
            return
        self._removed_aside.pop(record.server, None)
        self._set_aside[record.server] = record
        if known is None or _routing_differs(known, record):
            _log_change(record, "set aside, as no configuration names the service")
            self._notify_stored(record, removed=False)

    def remove(self, server: str, now: float, with_grace: bool) -> None:
        """Remove a server, immediately or, around a store outage, after a grace period."""
        if server in self._set_aside:
            self._drop_aside(self._set_aside[server], now)
        entry = self._entries.get(server)
        if entry is None:
            return
        if not with_grace:
            self._drop(entry.record, now, "entry removed")
        elif entry.removal_at is None:
            entry.removal_at = now + REMOVAL_GRACE_S

    def remove_version(self, record: ServerRecord, now: float) -> None:
        """Remove a server unless a record newer than the given one is known."""
        aside = self._set_aside.get(record.server)
        if aside is not None and aside.version <= record.version:
            self._drop_aside(aside, now)
        entry = self._entries.get(record.server)
        if entry is None or not self._is_named(record):
            return
        if entry.record.version <= record.version:
            self._drop(entry.record, now, "removed by the leader")

    def retain(self, present: Iterable[str], now: float, with_grace: bool) -> None:
        """Remove every server that a complete listing doesn't contain."""
        for server in (self._entries.keys() | self._set_aside.keys()) - set(present):
            self.remove(server, now, with_grace)

    def expire(self, now: float) -> None:
        """Remove servers whose grace period has ended."""
        for entry in list(self._entries.values()):
            if entry.removal_at is not None and now >= entry.removal_at:
                self._drop(entry.record, now, "grace period ended without a new entry")

    def _drop(self, record: ServerRecord, now: float, cause: str) -> None:
        self._removed[record.server] = _Removal(record, now)
        _log_change(record, cause)
        self._forget(record)
        self._notify_stored(record, removed=True)

    def _drop_aside(self, record: ServerRecord, now: float) -> None:
        del self._set_aside[record.server]
        self._removed_aside[record.server] = _Removal(record, now)
        self._notify_stored(record, removed=True)

    def _forget(self, record: ServerRecord) -> None:
        """Stop to use a server."""
        del self._entries[record.server]
        self._leaving.discard(record.incarnation)
        self._notify_routing(record, removed=True)

    def _notify(self, record: ServerRecord, removed: bool) -> None:
        self._notify_stored(record, removed)
        self._notify_routing(record, removed)

    def _notify_stored(self, record: ServerRecord, removed: bool) -> None:
        self._digest = None
        for listener in self._stored_listeners:
            listener(record, removed)

    def _notify_routing(self, record: ServerRecord, removed: bool) -> None:
        self._digest = self._newest_at = None
        effective = self._effective(_Entry(record))
        for listener in self._listeners:
            listener(effective, removed)


def _routing_differs(old: ServerRecord, new: ServerRecord) -> bool:
    return (
        old.born_ms != new.born_ms
        or old.draining != new.draining
        or old.address != new.address
        or old.service != new.service
        or old.slots != new.slots
    )


def _routing_row(record: ServerRecord) -> str:
    return (
        f"{record.server}|{record.born_ms}|{record.draining}|{record.address}|{record.service}|"
        f"{record.slots}|{record.failure_domain}"
    )


def _log_change(record: ServerRecord, cause: str) -> None:
    emit(
        Event.SERVER_CHANGED,
        server=record.server,
        service=record.service,
        address=record.address,
        draining=record.draining,
        born_ms=record.born_ms,
        sequence=record.sequence,
        cause=cause,
    )
