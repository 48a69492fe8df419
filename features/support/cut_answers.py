"""Answers of servers that are cut off at each byte, and what a reader may make of them.

The expectations come from where the message ends, without a parser.
"""

from __future__ import annotations

from attrs import evolve, frozen

REQUEST_ID = b"r1"
OK = b"HTTP/1.1 200 OK\r\n"
NAMES = b"Request-Id: r1\r\nResponse-Signature: s\r\n"
HEAD = OK + NAMES
CHUNKED = b"Transfer-Encoding: chunked\r\n"
FOREIGN = OK + b"Request-Id: r0\r\nContent-Length: 3\r\n\r\nold"
LARGE = bytes(range(256)) * 300


@frozen(kw_only=True)
class CutAnswer:
    """The bytes that a server sends, and the answer in them."""

    name: str
    # Bytes up to the end of the head.
    head: bytes
    # Bytes of the body on the wire.
    payload: bytes = b""
    body: bytes = b""
    status: int = 200
    # Whether the message states its end; otherwise the connection's end does.
    framed: bool = True
    keeps_alive: bool = True
    # Bytes that follow the answer and belong to no request.
    extra: bytes = b""

    @property
    def data(self) -> bytes:
        """Return all bytes that the server sends."""
        return self.head + self.payload + self.extra

    def result(self, sent: int, orderly: bool) -> tuple[int, bytes] | None:
        """Return the answer in the first `sent` bytes, or None if it isn't whole."""
        if self.framed:
            whole = sent >= len(self.head) + len(self.payload)
            return (self.status, self.body) if whole else None
        if not orderly or sent < len(self.head):
            return None
        return self.status, self.payload[: sent - len(self.head)]

    def cuts(self) -> list[int]:
        """Return the numbers of bytes after which the server stops."""
        size = len(self.data)
        if size < 2000:
            return list(range(size + 1))
        near = (len(self.head), len(self.head) + 65_536, len(self.head) + len(self.payload), size)
        ranges = [range(len(self.head))] + [range(at - 9, at + 10) for at in near]
        return sorted({cut for part in ranges for cut in part if 0 <= cut <= size})


def _by_length(name: str, body: bytes, headers: bytes = b"", start: bytes = HEAD) -> CutAnswer:
    head = start + headers + b"Content-Length: %d\r\n\r\n" % len(body)
    return CutAnswer(name=name, head=head, payload=body, body=body)


def _by_chunks(name: str, body: bytes, size: int = 3, end: bytes = b"0\r\n\r\n") -> CutAnswer:
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    payload = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + end
    return CutAnswer(name=name, head=HEAD + CHUNKED + b"\r\n", payload=payload, body=body)


def _by_close(name: str, body: bytes, start: bytes = HEAD) -> CutAnswer:
    head = start + b"\r\n"
    return CutAnswer(name=name, head=head, payload=body, body=body, framed=False, keeps_alive=False)


def _after(start: bytes, answer: CutAnswer, name: str) -> CutAnswer:
    """Return an answer behind other bytes, which don't end the reuse of its connection."""
    return evolve(answer, name=name, head=start + answer.head)


def _bodiless(status: bytes, headers: bytes = b"") -> CutAnswer:
    head = b"HTTP/1.1 " + status + b"\r\n" + NAMES + headers + b"\r\n"
    name = (status + b" " + headers).decode().strip()
    return CutAnswer(name=name, head=head, status=int(status[:3]))


_LENGTH = _by_length("length", b"hello")
_CHUNKS = _by_chunks("chunks", b"hello")
_CLOSE = _by_close("close", b"hello")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 9\r\n\r\n"

SOUND = (
    _LENGTH,
    _CHUNKS,
    _CLOSE,
    _by_length("length 0", b""),
    _by_length("an empty header", b"hello", b"X:\r\nY: \r\n"),
    _by_length("no reason", b"hello", start=b"HTTP/1.1 200\r\n" + NAMES),
    _by_chunks("no chunk", b""),
    _by_chunks("chunk extensions and trailers", b"hello", end=b"0;a=b\r\nX: y\r\nZ:\r\n\r\n"),
    _by_close("close without a body", b""),
    evolve(
        _by_length("length and Connection: close", b"hello", b"Connection: close\r\n"),
        keeps_alive=False,
    ),
    evolve(
        _by_length("HTTP/1.0 with length", b"hello", start=b"HTTP/1.0 200 OK\r\n" + NAMES),
        keeps_alive=False,
    ),
    _by_close("HTTP/1.0 by close", b"hello", start=b"HTTP/1.0 200 OK\r\n" + NAMES),
    evolve(_by_length("failure", b"oops", start=b"HTTP/1.1 500 Oops\r\n" + NAMES), status=500),
    _bodiless(b"204 No Content"),
    _bodiless(b"304 Not Modified"),
    _bodiless(b"304 Not Modified", b"Content-Length: 5\r\n"),
    _bodiless(b"304 Not Modified", CHUNKED),
    _after(_CONTINUE, _LENGTH, "interim answer, length"),
    _after(_CONTINUE + _HINTS, _CHUNKS, "two interim answers, chunks"),
    _after(_CONTINUE, _CLOSE, "interim answer, close"),
    evolve(_after(FOREIGN, _LENGTH, "late answer, length"), keeps_alive=False),
    _after(FOREIGN, _CLOSE, "late answer, close"),
    _after(b"\r\n", _LENGTH, "empty line before the answer"),
    _by_length("large, length", LARGE),
    _by_chunks("large, chunks", LARGE, size=7000),
    _by_close("large, close", LARGE),
)

# The answer must be returned, and the connection must not carry another exchange.
WITH_EXTRA_BYTES = tuple(
    evolve(answer, name=f"{answer.name}, then {what}", extra=extra)
    for answer in (_LENGTH, _CHUNKS, _bodiless(b"204 No Content"), SOUND[9])
    for what, extra in (
        ("a whole answer", FOREIGN),
        ("an interim answer", _CONTINUE),
        ("other bytes", b"hello"),
        ("a head in whose value the next answer continues", OK + b"X: "),
    )
)


def _broken(name: str, headers: bytes, payload: bytes = b"hello", start: bytes = HEAD) -> CutAnswer:
    return CutAnswer(name=name, head=start + headers + b"\r\n", payload=payload)


def _bad_chunks(name: str, payload: bytes) -> CutAnswer:
    return _broken(name, CHUNKED, payload)


_HELLO_CHUNK = b"5\r\nhello\r\n0\r\n\r\n"

# No cut of these may be returned as an answer.
MALFORMED = (
    _broken("two lengths", b"Content-Length: 5\r\nContent-Length: 5\r\n"),
    _broken("two different lengths", b"Content-Length: 5\r\nContent-Length: 2\r\n"),
    _broken("list of lengths", b"Content-Length: 5, 5\r\n"),
    _broken("length with a plus sign", b"Content-Length: +5\r\n"),
    _broken("length with a minus sign", b"Content-Length: -5\r\n"),
    _broken("hexadecimal length", b"Content-Length: 0x5\r\n"),
    _broken("length with a space inside", b"Content-Length: 0 5\r\n"),
    _broken("length without a value", b"Content-Length:\r\n"),
    _broken("length above 64 bits", b"Content-Length: 99999999999999999999999\r\n"),
    _broken("folded length", b"Content-Length: 1\r\n 0\r\n"),
    _broken("length on the next line", b"Content-Length:\r\n 5\r\n"),
    _broken("length with a space before the colon", b"Content-Length : 5\r\n"),
    _broken("length without a colon", b"Content-Length 5\r\n"),
    _broken("length and chunks", b"Content-Length: 5\r\n" + CHUNKED, _HELLO_CHUNK),
    _broken("chunks and length", CHUNKED + b"Content-Length: 5\r\n", _HELLO_CHUNK),
    _broken("coding before chunked", b"Transfer-Encoding: gzip, chunked\r\n", _HELLO_CHUNK),
    _broken("two codings", b"Transfer-Encoding: gzip\r\n" + CHUNKED, _HELLO_CHUNK),
    _broken("chunked twice", CHUNKED + CHUNKED, _HELLO_CHUNK),
    _broken("chunked isn't the last coding", CHUNKED + b"Transfer-Encoding: gzip\r\n"),
    _broken("no chunks", b"Transfer-Encoding: identity\r\n"),
    _broken("unknown coding", b"Transfer-Encoding: xchunked\r\n", _HELLO_CHUNK),
    _broken("large with an unknown coding", b"Transfer-Encoding: gzip\r\n", LARGE),
    _broken("header without a colon", b"X\r\n"),
    _broken("space before the colon", b"X : y\r\n"),
    _broken("folded header", b"X: a\r\n b\r\nContent-Length: 5\r\n"),
    _broken("space before the first header", b"Content-Length: 5\r\n", start=OK + b" "),
    _broken("bare LF after the status line", NAMES, start=b"HTTP/1.1 200 OK\n"),
    _broken("bare LF after a header", b"X: y\nContent-Length: 5\r\n"),
    _broken("bare LF at the head's end", b"X: y\r\n\nhello\r\n"),
    _broken("bare CR in a value", b"X: y\rContent-Length: 5\r\n"),
    _broken("bare CR at the head's end", b"X: y\r\n\rhello\r\n"),
    _broken("zero byte in a value", b"X: y\0z\r\nContent-Length: 5\r\n"),
    _broken("no answer", b"", start=b"hello hello\r\n"),
    _broken("status of two digits", NAMES, start=b"HTTP/1.1 20\r\n"),
    _broken("status of four digits", NAMES, start=b"HTTP/1.1 2000 OK\r\n"),
    _broken("status below 100", NAMES, start=b"HTTP/1.1 099 OK\r\n"),
    _broken(
        "status below 100 with a length, then an answer",
        b"",
        b"hello" + HEAD + b"Content-Length: 5\r\n\r\nhello",
        start=b"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n",
    ),
    _broken("switch of the protocol", b"", start=b"HTTP/1.1 101 Switching\r\n" + NAMES),
    _broken("an interim answer only", b"", b"", start=b"HTTP/1.1 100 Continue\r\n" + NAMES),
    _broken(
        "a head that is cut off by an answer to another request",
        b"X: " + OK + b"Request-Id: r0\r\nContent-Length: 5\r\n",
    ),
    _broken("the request's id twice", b"Request-Id: r1\r\nContent-Length: 5\r\n"),
    _broken("a late answer only", b"Content-Length: 5\r\n", start=OK + b"Request-Id: r0\r\n"),
    _broken("a late answer by close", b"", start=OK + b"Request-Id: r0\r\n"),
    _bad_chunks("no chunk size", b"\r\nhello\r\n0\r\n\r\n"),
    _bad_chunks("chunk size below 0", b"-5\r\nhello\r\n0\r\n\r\n"),
    _bad_chunks("chunk size with 0x", b"0x5\r\nhello\r\n0\r\n\r\n"),
    _bad_chunks("chunk size above 64 bits", b"10000000000000005\r\nhello\r\n0\r\n\r\n"),
    _bad_chunks("bare LF after a chunk size", b"5\nhello\r\n0\r\n\r\n"),
    _bad_chunks("bare LF after a chunk", b"5\r\nhello\n0\r\n\r\n"),
    _bad_chunks("chunk longer than its size", b"5\r\nhelloXX\r\n0\r\n\r\n"),
    _bad_chunks("other bytes after a chunk", b"5\r\nhelloXX0\r\n\r\n"),
    _bad_chunks("bare LF at the end", b"5\r\nhello\r\n0\r\n\n"),
    _bad_chunks("trailer without a colon", b"5\r\nhello\r\n0\r\nX\r\n\r\n"),
    _bad_chunks("length as a trailer", b"5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n"),
    _bad_chunks("no last chunk", b"5\r\nhello\r\n"),
    _bad_chunks("last chunk without its end", b"5\r\nhello\r\n0\r\n"),
)
