"""A router for backend servers that own keys exclusively.

The names here are the library's stable part: settings, tickets and the state that the log gives.
"""

from hyssopwood.errors import HyssopwoodError, InputError, TicketRejectedError
from hyssopwood.settings import Settings, load_settings
from hyssopwood.state import ClusterState, partition_of
from hyssopwood.ticket import Rejection, Ticket, parse_ticket
from hyssopwood.transitions import Applied, apply

__version__ = "0.1.0"

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
