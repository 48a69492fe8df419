"""The closed set of outcomes of a request."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from enum import Enum
from typing import TypeAlias

from attrs import field, frozen

from hyssopwood.errors import HyssopwoodError


class Reason(Enum):
    """Name why a request was not answered."""

    BAD_REQUEST = "bad-request"
    NO_SERVICE = "no-service"
    NO_OWNER = "no-owner"
    MOVED = "moved"
    QUEUE_FULL = "queue-full"
    WOULD_MISS_DEADLINE = "would-miss-deadline"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    SERVER_REFUSED = "server-refused"
    SERVER_UNREACHABLE = "server-unreachable"
    COORDINATOR_UNREACHABLE = "coordinator-unreachable"
    NO_AUTHORITY = "no-authority"
    POISON = "poison"
    IN_PROGRESS = "in-progress"
    ALREADY_RUN = "already-run"
    RECORD_LOST = "record-lost"
    CONNECTION_LOST = "connection-lost"
    MISMATCHED_ANSWER = "mismatched-answer"
    SHUTTING_DOWN = "shutting-down"


@frozen
class Answered:
    """Hold the head of a whole answer and the iterator over its body."""

    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes] = field(eq=False, repr=False)


@frozen
class NotRun:
    """Say that the request was proved not to have run."""

    reason: Reason
    detail: str
    retry_after_s: float | None = None


@frozen
class Unknown:
    """Say that the request may have run."""

    reason: Reason
    detail: str
    retry_after_s: float | None = None


Outcome: TypeAlias = Answered | NotRun | Unknown


class BodyCutError(HyssopwoodError):
    """Raised by an answer's body iterator when the server's answer is incomplete."""

    exit_code = 6
