"""Exceptions of the package and the exit code of each kind."""

from __future__ import annotations

from typing import ClassVar

from attrs import frozen


@frozen
class InputFault:
    """Describe one fault that validation found in structured input."""

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}, expected {self.expected}"


class HyssopwoodError(Exception):
    """Base of every exception that the package raises."""

    exit_code: ClassVar[int] = 1


class UsageError(HyssopwoodError):
    """Raised when a command is called with invalid arguments."""

    exit_code = 2


class InputError(HyssopwoodError):
    """Raised when structured input, such as settings or a ticket, is malformed."""

    exit_code = 3

    def __init__(self, source: str, faults: tuple[InputFault, ...]) -> None:
        super().__init__(f"{source}: " + "; ".join(str(fault) for fault in faults))
        self.source = source
        self.faults = faults


class ConfigurationRejectedError(HyssopwoodError):
    """Raised when a check finds errors in a configuration that decodes."""

    exit_code = 4


class TicketRejectedError(HyssopwoodError):
    """Raised when a ticket is rejected, before it is published or at its position in the log."""

    exit_code = 4

    def __init__(self, number: int | None, reason: str, detail: str) -> None:
        super().__init__(f"ticket {number} was rejected ({reason}): {detail}")
        self.number = number
        self.reason = reason
        self.detail = detail


class LogError(HyssopwoodError):
    """Base of the errors of the platform's log service."""

    exit_code = 5


class LogUnavailableError(LogError):
    """Raised when the log doesn't respond or rejects a request."""


class LogThrottledError(LogError):
    """Raised when the log's append rate is exceeded."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"the log's append rate is exceeded; retry in {retry_after_s} s")
        self.retry_after_s = retry_after_s


class RecordsExpiredError(LogError):
    """Raised when the requested offset is older than the log's retention."""

    def __init__(self, first: int) -> None:
        super().__init__(f"records below offset {first} have expired")
        self.first = first


class AppendUnconfirmedError(LogError):
    """Raised when an appended record isn't read back in time."""


class AppendConflictError(LogError):
    """Raised when a conditional append doesn't match the partition's end offset."""

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the partition ends at offset {end_offset}")
        self.end_offset = end_offset


class RecordTooLargeError(LogError):
    """Raised when a record exceeds the log's size limit."""


class AppendBudgetError(LogError):
    """Raised when an instance's append budget for a kind of record remains exhausted."""


class LogProtocolError(LogError):
    """Raised when the log service violates its protocol."""


class LogResponseTooLargeError(LogProtocolError):
    """Raised when a response exceeds its size limit; a smaller page may fit."""


class ProtocolError(HyssopwoodError):
    """Raised when a peer, a caller or a backend server violates its protocol."""

    exit_code = 6


class PeerUnavailableError(HyssopwoodError):
    """Raised when a peer can't be reached or doesn't answer in time."""

    exit_code = 6


class BackendServerError(HyssopwoodError):
    """Base of the errors of a backend server's control interface."""

    exit_code = 7


class BackendServerUnavailableError(BackendServerError):
    """Raised when a backend server's control interface doesn't respond."""


class StaleEpochError(BackendServerError):
    """Raised when a backend server has seen a newer coordinator epoch."""


class AuthorityLostError(HyssopwoodError):
    """Raised when an instance acts without unexpired promises from a majority of the voters."""


class MembershipLostError(HyssopwoodError):
    """Raised when an incarnation acts after it was fenced or removed from the members."""


class NotFoundError(HyssopwoodError):
    """Raised when the requested item doesn't exist."""

    exit_code = 8
