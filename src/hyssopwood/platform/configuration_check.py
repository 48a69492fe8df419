"""Reader of a configuration document that reports all of its faults at once."""

from __future__ import annotations

from collections import Counter
from typing import Any

from attrs import frozen

from hyssopwood.documents import parse_document, quote, shorten
from hyssopwood.errors import InputError, InputFault, NotFoundError
from hyssopwood.gateway.route_table import RouteTable
from hyssopwood.metrics import Metrics
from hyssopwood.platform.configuration import (
    SOURCE,
    decode_configuration,
    decode_limits,
    decode_route,
    decode_service,
)
from hyssopwood.platform.names import CONFIGURATION_KEY, OPERATOR_TOPIC
from hyssopwood.platform.store_client import StoreClient

_DECODING_ERRORS = (ValueError, TypeError, KeyError, AttributeError, OverflowError)
# Faults that are reported at most.
MAX_FAULTS = 100


@frozen
class CheckedDocument:
    """The route table of a document, or the faults because of which there is none."""

    table: RouteTable | None
    faults: tuple[InputFault, ...] = ()


def read_configuration(value: bytes) -> CheckedDocument:
    """Return the route table of a document, or every fault of its entries."""
    try:
        document = parse_document(value)
    except ValueError as error:
        return _faulty([InputFault("$", shorten(str(error)), "a JSON document")])
    if not isinstance(document, dict):
        return _faulty([InputFault("$", quote(document), "an object")])
    faults = [*_entry_faults(document), *_repeated_services(document)]
    if faults:
        return _faulty(faults)
    try:
        return CheckedDocument(decode_configuration(value))
    except InputError as error:
        return CheckedDocument(None, error.faults)


def _faulty(faults: list[InputFault]) -> CheckedDocument:
    return CheckedDocument(None, tuple(faults[:MAX_FAULTS]))


def _entry_faults(document: dict[str, Any]) -> list[InputFault]:
    faults = [
        InputFault(f"$.{name}", "nothing", kind.__name__)
        for name, kind in (("listeners", list), ("clusters", list), ("limits", dict))
        if not isinstance(document.get(name), kind)
    ]
    if faults:
        return faults
    if (fault := _try(decode_limits, document["limits"], path="$.limits")) is not None:
        faults.append(fault)
    for index, cluster in enumerate(document["clusters"]):
        fault = _try(decode_service, cluster, path=f"$.clusters[{index}]")
        faults += [] if fault is None else [fault]
    for index, listener in enumerate(document["listeners"]):
        path = f"$.listeners[{index}]"
        if not isinstance(listener, dict) or not isinstance(listener.get("route_rules"), list):
            faults.append(InputFault(path, quote(listener), "a host with route_rules"))
            continue
        for place, rule in enumerate(listener["route_rules"]):
            fault = _try(
                decode_route, listener.get("host"), rule, path=f"{path}.route_rules[{place}]"
            )
            faults += [] if fault is None else [fault]
    return faults


def _try(decode: Any, *values: Any, path: str) -> InputFault | None:
    """Return why an entry can't be decoded, or None if it can."""
    try:
        decode(*values)
    except _DECODING_ERRORS as error:
        return InputFault(path, shorten(f"{type(error).__name__}: {error}"), f"a {SOURCE} entry")
    return None


def _repeated_services(document: dict[str, Any]) -> list[InputFault]:
    clusters = document["clusters"] if isinstance(document.get("clusters"), list) else []
    names = Counter(
        cluster["name"]
        for cluster in clusters
        if isinstance(cluster, dict) and isinstance(cluster.get("name"), str)
    )
    return [
        InputFault("$.clusters", f"{count} services named {quote(name)}", "one of each name")
        for name, count in names.items()
        if count > 1
    ]


async def fetch_configuration(address: str) -> bytes:
    """Return the newest configuration document of the store; raise NotFoundError without one."""
    client = StoreClient(address, Metrics())
    try:
        page = await client.newest(OPERATOR_TOPIC)
    finally:
        await client.close()
    for record in page.records:
        if record.key == CONFIGURATION_KEY and record.value is not None:
            return record.value
    raise NotFoundError(f"the store at {address} holds no configuration")
