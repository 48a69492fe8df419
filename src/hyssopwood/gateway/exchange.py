"""Requests and answers of the gateway, and the errors that end an exchange with a server."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol, TypeAlias

from attrs import define, field, frozen

from hyssopwood.errors import HyssopwoodError
from hyssopwood.gateway.held_body import HeldBody

# Lower-case names with their values, in the order received.
Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


@frozen(kw_only=True)
class ServerRequest:
    """A complete request to a server; the connection adds Host and Content-Length."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | HeldBody
    request_id: bytes = b""


@frozen(kw_only=True)
class AnswerStart:
    """The status line and headers of a server's answer."""

    status: int
    headers: Headers
    # Declared size of the body, or None.
    length: int | None
    # Whether the message itself delimits the body; otherwise the connection's end does.
    framed: bool


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given its name in lower case."""
    for header, value in headers:
        if header == name:
            return value
    return None


def has_unknown_coding(headers: Headers) -> bool:
    """Return whether a body is sent in another transfer coding than chunked.

    Only chunks are decoded. The header applies to one connection only, so that the next reader
    would take the encoded bytes for the body.
    """
    codings = [value.strip().lower() for name, value in headers if name == b"transfer-encoding"]
    return bool(codings) and codings != [b"chunked"]


class StreamEnd(Enum):
    """Ways in which a stream can end."""

    WHOLE = "whole"
    BROKEN = "broken"
    EXPIRED = "expired"
    ABANDONED = "abandoned"


class BodyStream(Protocol):
    """An answer's body that is read while it arrives."""

    # Size declared by the server, or None.
    length: int | None
    ended: asyncio.Future[StreamEnd]

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end; raise ExchangeBrokenError if truncated."""
        ...

    def expire(self) -> None:
        """End a stream whose deadline has passed."""
        ...

    def abandon(self) -> None:
        """End a stream that has no reader any more."""
        ...


@frozen
class ServerAnswer:
    """A server's answer: either complete, or its head with a stream of its body."""

    status: int
    headers: Headers
    body: bytes
    stream: BodyStream | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its name in lower case."""
        return find_header(self.headers, name)


@define(eq=False, kw_only=True)
class CallerRequest:
    """A complete request from a caller."""

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes | HeldBody
    # Time at which the headers were complete, on the timers' clock.
    arrived: float
    version: str = "1.1"


@frozen(kw_only=True)
class CallerAnswer:
    """The answer to a caller."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    # Source of a streamed body; replaces `body` if set.
    stream: BodyStream | None = None


@frozen(kw_only=True)
class CallerHead:
    """The values that the gateway reads from the headers of a caller's request."""

    request_id: bytes
    # Time for which the caller waits; None if the request doesn't state it.
    timeout_s: float | None
    key: int | None


@frozen
class ServerLoad:
    """A server's load as the server reports it."""

    running: int
    waiting: int
    slots: int
    # How long work takes on the server's machine at this moment, 1 being usual; None if not stated.
    pace: float | None = None


@frozen(kw_only=True)
class AnswerHead:
    """The values that the gateway reads from the headers of a server's answer."""

    request_id: bytes | None
    signed: bool
    # The server guarantees that it has not run the request and will not run it later.
    not_run: bool
    # The answering server is not the addressed one, or doesn't own the key.
    misdirected: bool
    # Id of the answering server, if the answer contains it.
    answered_by: str | None
    load: ServerLoad | None
    encoded: bool
    # The answering server is about to shut down and must get no new requests.
    leaving: bool = False
    # Time for which a server that refused the request asks this instance to send nothing.
    back_off_s: float | None = None
    # Requests per second that the server takes from all instances together; None for no limit.
    limit_per_s: float | None = None
    # Time for which the server stays cold; None if the answer doesn't state it.
    warmup_s: float | None = None
    # Names of headers that were ignored because their values are invalid.
    ignored: tuple[str, ...] = ()


class HeaderCodec(Protocol):
    """Convert between the headers on the wire and the gateway's types."""

    def decode_caller_headers(self, headers: Headers) -> CallerHead:
        """Return the values in a caller's headers; raise BadHeadError if they are invalid."""
        ...

    def server_headers(
        self, headers: Headers, head: CallerHead, server: str, left_s: float
    ) -> Headers:
        """Return the headers of the request to a server with `left_s` seconds left."""
        ...

    def decode_answer_headers(self, answer: ServerAnswer) -> AnswerHead:
        """Return the values in the headers of a server's answer."""
        ...

    def retry_after(self, seconds: float) -> Headers:
        """Return the header that states when a caller should retry."""
        ...


class BadHeadError(HyssopwoodError):
    """Raised when a caller's headers are invalid."""

    exit_code = 6


class NotSentError(HyssopwoodError):
    """Raised when an exchange fails before any byte of the request was sent."""

    exit_code = 7


class OwnLinkError(NotSentError):
    """Raised when a connection fails and this instance's own links may be the cause."""


class LateAdmissionError(NotSentError):
    """Raised when a request to a cold server would be sent too long after its admission."""


class NoPathError(OwnLinkError):
    """Raised when this instance is cut off and no other one relays a connection to the server."""


class RepeatedRequestError(NotSentError):
    """Raised when a connection has already carried the request and can't carry it again.

    The connection has been closed; the request can be sent over another one.
    """


class ExchangeBrokenError(HyssopwoodError):
    """Raised when an exchange fails after the request was sent, so that it may have run."""

    exit_code = 7


@define
class HeaderCollector:
    """Collect the headers of a message and count their bytes."""

    headers: list[tuple[bytes, bytes]] = field(factory=list)
    size: int = 0

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.size += len(name) + len(value) + len(b": \r\n")
        self.headers.append((name.lower(), value))


# Headers that apply to a single connection only.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the next hop."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | listed
    return tuple(header for header in headers if header[0] not in dropped)
