"""A router for backend servers that own keys exclusively.

The names exported here are the stable API: settings, tickets and the state derived from the log.
They are imported on first use, so that a daemon loads only the modules that it needs.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopwood.errors import HyssopwoodError, InputError, TicketRejectedError
    from hyssopwood.settings import Settings, load_settings
    from hyssopwood.state import ClusterState, partition_of
    from hyssopwood.ticket import Rejection, Ticket, parse_ticket
    from hyssopwood.transitions import Applied, apply

__version__ = "0.1.0"

_MODULES = {
    "Applied": "transitions",
    "ClusterState": "state",
    "HyssopwoodError": "errors",
    "InputError": "errors",
    "Rejection": "ticket",
    "Settings": "settings",
    "Ticket": "ticket",
    "TicketRejectedError": "errors",
    "apply": "transitions",
    "load_settings": "settings",
    "parse_ticket": "ticket",
    "partition_of": "state",
}

__all__ = [
    "Applied",
    "ClusterState",
    "HyssopwoodError",
    "InputError",
    "Rejection",
    "Settings",
    "Ticket",
    "TicketRejectedError",
    "__version__",
    "apply",
    "load_settings",
    "parse_ticket",
    "partition_of",
]


def __getattr__(name: str) -> object:
    """Import a name of the stable API on first use."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
