"""Messages of the request path and the ways in which an exchange with a server can end."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol, TypeAlias

from attrs import define, field, frozen

from hyssopwood.errors import HyssopwoodError

# Names in lower case and values, in the order received.
Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


@frozen(kw_only=True)
class ServerRequest:
    """Hold a whole request to a server; the connection adds Host and Content-Length."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: bytes = b""


@frozen(kw_only=True)
class AnswerStart:
    """Hold the head of a server's answer."""

    status: int
    headers: Headers
    # Size of the body, if the head declares it.
    length: int | None
    # Whether the answer itself tells where it ends; otherwise the connection's end does.
    framed: bool


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header given in lower case."""
    for known, value in headers:
        if known == name:
            return value
    return None


class StreamEnd(Enum):
    """Name how a stream ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    EXPIRED = "expired"
    ABANDONED = "abandoned"


class BodyStream(Protocol):
    """Body that is read while it arrives."""

    # Size of the body, if the server has declared it.
    length: int | None
    ended: asyncio.Future[StreamEnd]

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end; raise ExchangeBrokenError if cut off."""
        ...

    def expire(self) -> None:
        """End a stream whose time is over."""
        ...

    def abandon(self) -> None:
        """End a stream that nobody reads."""
        ...


@frozen
class ServerAnswer:
    """Hold a server's answer: whole, or its head and a stream of its body."""

    status: int
    headers: Headers
    body: bytes
    stream: BodyStream | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given in lower case."""
        return find_header(self.headers, name)


@define(eq=False, kw_only=True)
class CallerRequest:
    """Hold a whole request of a caller."""

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    # Time at which the head was complete, on the timers' clock.
    arrived: float
    version: str = "1.1"


@frozen(kw_only=True)
class CallerAnswer:
    """Hold the answer to a caller."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    # Replaces `body`.
    stream: BodyStream | None = None


@frozen(kw_only=True)
class CallerHead:
    """Hold what the headers of a caller's request say to the gateway."""

    request_id: bytes
    # How long the caller waits, in seconds; None when it doesn't say.
    timeout_s: float | None
    key: int | None


@frozen
class ServerLoad:
    """Hold a server's report of its own load."""

    running: int
    waiting: int
    slots: int


@frozen(kw_only=True)
class AnswerHead:
    """Hold what the headers of a server's answer say to the gateway."""

    request_id: bytes | None
    signed: bool
    # The server promises that it has not run the request and never will.
    not_run: bool
    # The answering server isn't the one that was addressed, or doesn't own the key.
    misdirected: bool
    # Id of the server that answered, where the answer names it.
    answered_by: str | None
    load: ServerLoad | None
    encoded: bool
    # The answering server is about to leave and must get no new work.
    leaving: bool = False
    # Seconds for which the server, which refused the request, wants nothing from this instance.
    back_off_s: float | None = None
    # Headers whose values were ignored because they are unusable.
    ignored: tuple[str, ...] = ()


class HeaderCodec(Protocol):
    """Translate between the headers on the wire and the gateway's types."""

    def decode_caller_headers(self, headers: Headers) -> CallerHead:
        """Return what a caller's headers say; raise BadHeadError if they are unusable."""
        ...

    def server_headers(
        self, headers: Headers, head: CallerHead, server: str, left_s: float
    ) -> Headers:
        """Return the headers of the request to a server with `left_s` seconds left."""
        ...

    def decode_answer_headers(self, answer: ServerAnswer) -> AnswerHead:
        """Return what a server's headers say."""
        ...

    def retry_after(self, seconds: float) -> Headers:
        """Return the header that tells a caller when to come back."""
        ...


class BadHeadError(HyssopwoodError):
    """Raised when a caller's headers are unusable."""

    exit_code = 6


class NotSentError(HyssopwoodError):
    """Raised when an exchange failed before a byte of the request was sent."""

    exit_code = 7


class ExchangeBrokenError(HyssopwoodError):
    """Raised when an exchange failed after the request was sent; it may have run."""

    exit_code = 7


@define
class HeaderCollector:
    """Collect the headers of one message and count their bytes."""

    headers: list[tuple[bytes, bytes]] = field(factory=list)
    size: int = 0

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.size += len(name) + len(value) + len(b": \r\n")
        self.headers.append((name.lower(), value))


# Headers that concern only one connection.
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
    """Return the headers that are passed on to the next hop."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | listed
    return tuple(header for header in headers if header[0] not in dropped)
