"""Ways in which an attempt at a request can end, and the request itself while it is carried."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

from attrs import define, field, frozen

from hyssopwood.gateway.exchange import CallerHead, CallerRequest, ServerAnswer
from hyssopwood.gateway.route_table import Route

DEFAULT_RETRY_AFTER_S = 0.25


class Cause(Enum):
    """Name why a request wasn't answered by a server."""

    NO_CONFIGURATION = "no-configuration"
    BAD_HEAD = "bad-head"
    NO_ROUTE = "no-route"
    NO_OWNER = "no-owner"
    NO_SERVER = "no-server"
    SERVER_REFUSED = "server-refused"
    SERVER_BUSY = "server-busy"
    SERVER_UNREACHABLE = "server-unreachable"
    PREDICTED_LATE = "predicted-late"
    DEADLINE = "deadline"
    MOVED = "moved"
    BROKEN = "broken"
    BAD_ANSWER = "bad-answer"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"


@frozen
class Refused:
    """Say that an attempt has not run and never will."""

    cause: Cause
    detail: str
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


@frozen
class OutcomeUnknown:
    """Say that an attempt was sent and its outcome is unknown."""

    cause: Cause
    detail: str


@frozen
class Answered:
    """Hold the server's answer."""

    answer: ServerAnswer


Outcome: TypeAlias = Answered | Refused | OutcomeUnknown


@define(eq=False, kw_only=True)
class RoutedRequest:
    """Follow one request through its attempts."""

    request: CallerRequest
    head: CallerHead
    route: Route
    service: str
    deadline: float
    sharded: bool
    # Version of the configuration that routed it.
    version: int
    sends: int = 0
    tried: set[str] = field(factory=set)
    server: str = ""
    plan_version: int = -1
    # Why the key's owner can't be used, for the log.
    owner_state: str = ""
    # The server that answered last has refused the request.
    refused: bool = False
    # Time spent on finding places, and the instance that gave the last one.
    waited_s: float = 0.0
    keeper: str = ""

    @property
    def target(self) -> float:
        """Return when the answer is due for full use."""
        return self.request.arrived + self.route.target_latency_s
