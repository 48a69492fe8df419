"""Typed failures and the exit code of each kind."""

from __future__ import annotations

from typing import ClassVar

from attrs import frozen


@frozen
class InputFault:
    """Describe one fault in structured input."""

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}, expected {self.expected}"


class HyssopwoodError(Exception):
    """Base of every failure that the package raises."""

    exit_code: ClassVar[int] = 1


class UsageError(HyssopwoodError):
    """Raised when a command is called with unusable arguments."""

    exit_code = 2


class InputError(HyssopwoodError):
    """Raised when settings or a ticket are malformed."""

    exit_code = 3

    def __init__(self, source: str, faults: tuple[InputFault, ...]) -> None:
        super().__init__(f"{source}: " + "; ".join(str(fault) for fault in faults))
        self.source = source
        self.faults = faults


class TicketRejectedError(HyssopwoodError):
    """Raised when the log's order rejects a published ticket."""

    exit_code = 4

    def __init__(self, number: int | None, reason: str, detail: str) -> None:
        super().__init__(f"ticket {number} was rejected ({reason}): {detail}")
        self.number = number
        self.reason = reason
        self.detail = detail


class LogError(HyssopwoodError):
    """Base of the failures of the platform's log service."""

    exit_code = 5


class LogUnavailableError(LogError):
    """Raised when the log doesn't answer or refuses service."""


class LogThrottledError(LogError):
    """Raised when the log's append rate is exceeded."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"the log is over its append rate, retry in {retry_after_s} s")
        self.retry_after_s = retry_after_s


class RecordsExpiredError(LogError):
    """Raised when the requested offset is older than the log's retention."""

    def __init__(self, first: int) -> None:
        super().__init__(f"records below offset {first} have expired")
        self.first = first


class AppendUnconfirmedError(LogError):
    """Raised when an appended record was not read back in time."""


class AppendConflictError(LogError):
    """Raised when a conditional append finds the partition's end elsewhere."""

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the partition ends at offset {end_offset}")
        self.end_offset = end_offset


class RecordTooLargeError(LogError):
    """Raised when a record exceeds the log's size limit."""


class AppendBudgetError(LogError):
    """Raised when an instance's append budget for a kind of record stays exhausted."""


class LogProtocolError(LogError):
    """Raised when the log service breaks its protocol."""


class LogResponseTooLargeError(LogProtocolError):
    """Raised when a response exceeds its bound; a smaller page may fit."""


class ProtocolError(HyssopwoodError):
    """Raised when a peer, a caller or a backend server breaks its protocol."""

    exit_code = 6


class PeerUnavailableError(HyssopwoodError):
    """Raised when a peer can't be reached or doesn't answer in time."""

    exit_code = 6


class BackendServerError(HyssopwoodError):
    """Base of the failures of a backend server's control interface."""

    exit_code = 7


class BackendServerUnavailableError(BackendServerError):
    """Raised when a backend server doesn't answer its control interface."""


class StaleEpochError(BackendServerError):
    """Raised when a backend server knows a newer coordinator epoch."""


class AuthorityLostError(HyssopwoodError):
    """Raised when an instance acts without an unexpired majority of promises."""


class MembershipLostError(HyssopwoodError):
    """Raised when an incarnation acts that was fenced or is no longer a member."""


class NotFoundError(HyssopwoodError):
    """Raised when the named item is not in force."""

    exit_code = 8
