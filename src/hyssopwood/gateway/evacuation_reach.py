"""Reports of the servers that evacuations affect, for the log."""

from __future__ import annotations

from collections import Counter

from attrs import define, field

from hyssopwood.events import Event, emit
from hyssopwood.gateway.evacuations import Evacuations
from hyssopwood.gateway.server_directory import ServerDirectory


@define
class EvacuationReach:
    """Log how many servers each evacuated domain has, and which services have no server left.

    An instance may learn of an evacuation before the registrations, so both are checked repeatedly.
    """

    _evacuations: Evacuations
    _directory: ServerDirectory
    _reported: dict[str, tuple[int, tuple[str, ...]]] = field(factory=dict, init=False)

    def report(self) -> None:
        """Log what has changed since the last call."""
        domains = self._evacuations.domains
        if not domains:
            self._reported.clear()
            return
        records = self._directory.stored_records()
        counts = Counter(record.failure_domain for record in records)
        services = sorted({record.service for record in records})
        without = tuple(name for name in services if self._directory.is_left_by_evacuation(name))
        for domain in sorted(domains):
            found = counts[domain], without
            if self._reported.get(domain) != found:
                self._reported[domain] = found
                emit(
                    Event.EVACUATION_REACH,
                    domain=domain,
                    servers=counts[domain],
                    servers_elsewhere=sum(
                        count for name, count in counts.items() if name not in domains
                    ),
                    services_without_server=without,
                )
        for domain in self._reported.keys() - domains:
            del self._reported[domain]
