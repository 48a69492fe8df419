"""Decoder of the operator's records that evacuate failure domains."""

from __future__ import annotations

from hyssopwood.documents import quote
from hyssopwood.errors import InputError, InputFault
from hyssopwood.gateway.evacuations import EvacuationChange, EvacuationRecords, TopicPosition
from hyssopwood.platform.names import EVACUATION_PREFIX
from hyssopwood.platform.server_entries import MAX_NAME_CHARACTERS
from hyssopwood.platform.store_client import KeyedRecord

# Replaces bytes of a key that aren't UTF-8.
_UNDECODABLE = "\N{REPLACEMENT CHARACTER}"


def decode_evacuations(
    records: tuple[KeyedRecord, ...], position: TopicPosition | None, complete: bool
) -> EvacuationRecords:
    """Return the evacuations among the records of a read, and the faults of invalid ones."""
    changes: list[EvacuationChange] = []
    rejected: list[InputError] = []
    for record in records:
        if not record.key.startswith(EVACUATION_PREFIX):
            continue
        domain = record.key.removeprefix(EVACUATION_PREFIX)
        try:
            _check_domain(record.key, domain)
        except InputError as error:
            rejected.append(error)
            continue
        changes.append(EvacuationChange(domain, record.value is not None))
    return EvacuationRecords(tuple(changes), position, complete, tuple(rejected))


def _check_domain(key: str, domain: str) -> None:
    valid = domain.isprintable() and _UNDECODABLE not in domain
    if not valid or not 0 < len(domain) <= MAX_NAME_CHARACTERS:
        detail = f"a domain of {len(domain)} characters"
        fault = InputFault(quote(key), detail, "a printable name of a failure domain")
        raise InputError("evacuation", (fault,))
