"""Wire format of the answers to callers, both complete and streamed ones."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus

from hyssopwood.gateway.exchange import CallerAnswer, CallerRequest

_BODILESS_STATUSES = frozenset({204, 304})


class Framing(Enum):
    """Ways to delimit a body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # No framing header: for HTTP/1.0, which has no chunked encoding, and for bodiless statuses.
    CLOSE = "close"


def framing_of(length: int | None, request: CallerRequest | None) -> Framing:
    """Return the framing for a body of a declared or unknown length."""
    if length is not None:
        return Framing.LENGTH
    return Framing.CLOSE if request is not None and request.version == "1.0" else Framing.CHUNKS


def encode_answer(answer: CallerAnswer, close: bool) -> bytes:
    """Return the bytes of a complete answer."""
    if answer.status in _BODILESS_STATUSES:
        return encode_head(answer, Framing.CLOSE, None, close)
    return encode_head(answer, Framing.LENGTH, len(answer.body), close) + answer.body


def encode_head(answer: CallerAnswer, framing: Framing, length: int | None, close: bool) -> bytes:
    """Return the bytes of an answer's status line and headers."""
    lines = [f"HTTP/1.1 {answer.status} {_reason(answer.status)}".encode()]
    lines += [name + b": " + value for name, value in answer.headers]
    if framing is Framing.LENGTH:
        lines.append(b"Content-Length: " + str(length).encode())
    elif framing is Framing.CHUNKS:
        lines.append(b"Transfer-Encoding: chunked")
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_piece(piece: bytes, framing: Framing) -> bytes:
    """Return the bytes of one piece of a body."""
    if framing is Framing.CHUNKS:
        return f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
    return piece


def encode_end(framing: Framing) -> bytes:
    """Return the bytes that follow the last piece."""
    return b"0\r\n\r\n" if framing is Framing.CHUNKS else b""


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
