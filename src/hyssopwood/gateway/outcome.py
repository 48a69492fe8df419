"""Outcomes of an attempt to send a request, and the state of a routed request."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

from attrs import define, field, frozen

from hyssopwood.gateway.exchange import CallerHead, CallerRequest, ServerAnswer
from hyssopwood.gateway.route_table import Route

DEFAULT_RETRY_AFTER_S = 0.25
# Retry-After of a stopping instance: another one takes the request at once.
STOPPING_RETRY_AFTER_S = 0.05


class Cause(Enum):
    """Reason why no server answer was returned to the caller."""

    NO_CONFIGURATION = "no-configuration"
    BAD_HEAD = "bad-head"
    NO_ROUTE = "no-route"
    NO_OWNER = "no-owner"
    NO_SERVER = "no-server"
    # The key's owner, or all servers of the service, are in evacuated failure domains.
    EVACUATED = "evacuated"
    SERVER_REFUSED = "server-refused"
    SERVER_BUSY = "server-busy"
    AT_LIMIT = "at-limit"
    SERVER_UNREACHABLE = "server-unreachable"
    # This instance reaches no server of the service, and found no other one that does.
    CUT_OFF = "cut-off"
    PREDICTED_LATE = "predicted-late"
    DEADLINE = "deadline"
    MOVED = "moved"
    BROKEN = "broken"
    BAD_ANSWER = "bad-answer"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"


@frozen
class Refused:
    """An attempt that was not executed and won't be."""

    cause: Cause
    detail: str
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


def stopping_refusal() -> Refused:
    """Return the refusal of a request that may not end before this instance does."""
    detail = "this instance is stopping, and the request may not end before it does"
    return Refused(Cause.STOPPING, detail, STOPPING_RETRY_AFTER_S)


@frozen
class OutcomeUnknown:
    """An attempt that was sent and may or may not have been executed."""

    cause: Cause
    detail: str


@frozen
class Answered:
    """An attempt that the server answered."""

    answer: ServerAnswer


Outcome: TypeAlias = Answered | Refused | OutcomeUnknown


@define(eq=False, kw_only=True)
class RoutedRequest:
    """A request with its route and the state of its attempts."""

    request: CallerRequest
    head: CallerHead
    route: Route
    service: str
    deadline: float
    sharded: bool
    # Version of the configuration that the route comes from.
    version: int
    sends: int = 0
    tried: set[str] = field(factory=set)
    server: str = ""
    plan_version: int = -1
    # Why the key's owner can't be used, for log lines.
    owner_state: str = ""
    # Whether the last server to answer refused to execute the request.
    refused: bool = False
    # Time that a server of mean speed is expected to work on the request; 0 if it isn't stated.
    cost_s: float = 0.0
    # Time that was expected to pass at the server before one of its slots was free.
    server_wait_s: float = 0.0
    # Total time spent on server selection, and the instance that granted the last admission.
    waited_s: float = 0.0
    keeper: str = ""

    @property
    def target(self) -> float:
        """Return the time by which the answer meets the route's target latency."""
        return self.request.arrived + self.route.target_latency_s
