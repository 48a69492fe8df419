"""A strict reader of one answer, a reference for the gateway's, and random changes of answers."""

from __future__ import annotations

import random
import re

from support.cut_answers import REQUEST_ID

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d (\d{3})( [^\r\n]*)?")
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_HEADER = re.compile(rb"(" + _TOKEN + rb"):[ \t]*([^\r\n\0]*?)[ \t]*")
_CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]+)(;[^\r\n]*)?\r\n")
_INSERTS = (
    *(bytes((value,)) for value in b"\r\n :05;\t,+-xA\0\xff"),
    b"\r\n",
    b"\r\n\r\n",
    b"chunked",
    b"X: y\r\n",
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 200 OK\r\n",
)


def read_answer(data: bytes, orderly: bool) -> tuple[int, bytes] | None:
    """Return the status and body of the answer to the request, or None if it isn't whole."""
    while True:
        head, end, rest = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        status_line = _STATUS_LINE.fullmatch(lines[0])
        headers = [_HEADER.fullmatch(line) for line in lines[1:]]
        if not end or status_line is None or None in headers:
            return None
        status = int(status_line[1])
        if 100 <= status < 200:
            data = rest
            continue
        taken = _take_body(status, headers, rest, orderly)
        ids = _values(headers, b"request-id")
        if status < 100 or taken is None or len(ids) > 1:
            return None
        body, data = taken
        if not ids or ids[0] == REQUEST_ID:
            return status, body


def change(data: bytes, rng: random.Random) -> bytes:
    """Return the data with one to three random changes."""
    changed = bytearray(data)
    for _ in range(rng.choice((1, 1, 2, 3))):
        at = rng.randrange(len(changed) + 1)
        other = rng.randrange(len(changed) + 1)
        kind = rng.randrange(5)
        if kind == 0:
            changed[at:at] = rng.choice(_INSERTS)
        elif kind == 1:
            changed[at : at + 1] = rng.choice(_INSERTS)
        elif kind == 2:
            del changed[at : at + rng.choice((1, 1, 2, 4))]
        elif kind == 3:
            changed[at:at] = changed[min(at, other) : max(at, other)]
        else:
            del changed[at:]
    return bytes(changed)


def _values(headers: list[re.Match[bytes]], name: bytes) -> list[bytes]:
    return [header[2] for header in headers if header[1].lower() == name]


def _take_body(
    status: int, headers: list[re.Match[bytes]], data: bytes, orderly: bool
) -> tuple[bytes, bytes] | None:
    """Return the body and the bytes behind it, or None if it isn't whole."""
    lengths = _values(headers, b"content-length")
    codings = _values(headers, b"transfer-encoding")
    if len(lengths) > 1 or (lengths and codings):
        return None
    if lengths and not re.fullmatch(rb"[0-9]+", lengths[0]):
        return None
    if status in (204, 304):
        return b"", data
    if codings:
        return _take_chunks(data) if [item.lower() for item in codings] == [b"chunked"] else None
    if lengths:
        size = int(lengths[0])
        return (data[:size], data[size:]) if len(data) >= size else None
    return (data, b"") if orderly else None


def _take_chunks(data: bytes) -> tuple[bytes, bytes] | None:
    body = b""
    while (found := _CHUNK_SIZE.match(data)) is not None:
        size = int(found[1], 16)
        data = data[found.end() :]
        if not size:
            return _take_trailers(body, data)
        if data[size : size + 2] != b"\r\n":
            return None
        body, data = body + data[:size], data[size + 2 :]
    return None


def _take_trailers(body: bytes, data: bytes) -> tuple[bytes, bytes] | None:
    while not data.startswith(b"\r\n"):
        line, end, data = data.partition(b"\r\n")
        if not end or _HEADER.fullmatch(line) is None:
            return None
    return body, data[2:]
