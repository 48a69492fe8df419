"""Requests of callers that are cut off at each byte, and what may be run of them."""

from __future__ import annotations

from attrs import frozen

TARGET = b"/x?a=b"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
UPGRADE = b"Connection: upgrade\r\nUpgrade: h2c\r\n"
_HOST = b"Host: a\r\n"


@frozen(kw_only=True)
class CutRequest:
    """The bytes that a caller sends, and the request in them."""

    name: str
    head: bytes
    # Bytes of the body on the wire.
    payload: bytes = b""
    body: bytes = b""

    @property
    def data(self) -> bytes:
        """Return all bytes that the caller sends."""
        return self.head + self.payload

    @property
    def run(self) -> tuple[bytes, bytes, bytes]:
        """Return the method, target and body of the whole request."""
        return self.head.lstrip().split(b" ")[0], TARGET, self.body


def _start(method: bytes, version: bytes = b"1.1") -> bytes:
    return method + b" " + TARGET + b" HTTP/" + version + b"\r\n" + _HOST


def _plain(name: str, headers: bytes = b"", start: bytes = _start(b"GET")) -> CutRequest:
    return CutRequest(name=name, head=start + headers + b"\r\n")


def _by_length(
    name: str, body: bytes, headers: bytes = b"", start: bytes = _start(b"POST")
) -> CutRequest:
    head = start + headers + b"Content-Length: %d\r\n\r\n" % len(body)
    return CutRequest(name=name, head=head, payload=body, body=body)


def _by_chunks(name: str, payload: bytes, headers: bytes = b"") -> CutRequest:
    head = _start(b"POST") + headers + CHUNKED + b"\r\n"
    return CutRequest(name=name, head=head, payload=payload, body=b"hello")


_CHUNKS = b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"

SOUND = (
    _plain("no body"),
    _plain("HTTP/1.0", start=_start(b"GET", b"1.0")),
    _plain("empty line before the request", start=b"\r\n" + _start(b"GET")),
    _plain("upgrade", UPGRADE),
    _by_length("length", b"hello"),
    _by_length("length 0", b""),
    _by_length("HTTP/1.0 with length", b"hello", start=_start(b"POST", b"1.0")),
    _by_length("length and Expect", b"hello", b"Expect: 100-continue\r\n"),
    _by_length("length and upgrade", b"hello", UPGRADE),
    _by_length("length 0 and upgrade", b"", UPGRADE),
    _by_chunks("chunks", _CHUNKS),
    _by_chunks("chunk extensions and trailers", b"5;a=b\r\nhello\r\n0\r\nX: y\r\nZ:\r\n\r\n"),
    _by_chunks("chunks and upgrade", _CHUNKS, UPGRADE),
)


def _malformed(name: str, headers: bytes, payload: bytes = b"hello") -> CutRequest:
    return _raw(name, _start(b"POST") + headers + b"\r\n", payload)


def _raw(name: str, head: bytes, payload: bytes = b"") -> CutRequest:
    return CutRequest(name=name, head=head, payload=payload)


# No cut of these may be run.
MALFORMED = (
    _malformed("two lengths", b"Content-Length: 5\r\nContent-Length: 5\r\n"),
    _malformed("list of lengths", b"Content-Length: 5, 5\r\n"),
    _malformed("length with a plus sign", b"Content-Length: +5\r\n"),
    _malformed("length with a minus sign", b"Content-Length: -5\r\n"),
    _malformed("length without a value", b"Content-Length:\r\n"),
    _malformed("folded length", b"Content-Length: 1\r\n 0\r\n"),
    _malformed("length with a space before the colon", b"Content-Length : 5\r\n"),
    _malformed("length without a colon", b"Content-Length 5\r\n"),
    _malformed("length and chunks", b"Content-Length: 5\r\n" + CHUNKED, _CHUNKS),
    _malformed("chunks and length", CHUNKED + b"Content-Length: 5\r\n", _CHUNKS),
    _malformed("chunked isn't the last coding", b"Transfer-Encoding: chunked, x\r\n", _CHUNKS),
    _malformed("no chunks", b"Transfer-Encoding: identity\r\n", _CHUNKS),
    _malformed("unknown coding", b"Transfer-Encoding: xchunked\r\n", _CHUNKS),
    _malformed("coding before chunked", b"Transfer-Encoding: gzip, chunked\r\n", _CHUNKS),
    _malformed("two codings", b"Transfer-Encoding: gzip\r\n" + CHUNKED, _CHUNKS),
    _malformed(
        "upgrade and two codings", UPGRADE + b"Transfer-Encoding: gzip\r\n" + CHUNKED, _CHUNKS
    ),
    _malformed("folded header", b"X: a\r\n b\r\nContent-Length: 5\r\n"),
    _malformed("bare LF after a header", b"X: y\nContent-Length: 5\r\n"),
    _malformed("bare CR in a value", b"X: y\rContent-Length: 5\r\n"),
    _malformed("zero byte in a value", b"X: y\0z\r\nContent-Length: 5\r\n"),
    _malformed("bare LF after a chunk size", CHUNKED, b"5\nhello\r\n0\r\n\r\n"),
    _malformed("other bytes after a chunk", CHUNKED, b"5\r\nhelloXX0\r\n\r\n"),
    _malformed("chunk size with 0x", CHUNKED, b"0x5\r\nhello\r\n0\r\n\r\n"),
    _malformed("no last chunk", CHUNKED, b"5\r\nhello\r\n"),
    _malformed("last chunk without its end", CHUNKED, b"5\r\nhello\r\n0\r\n"),
    _malformed("upgrade and no last chunk", UPGRADE + CHUNKED, b"5\r\nhello\r\n"),
    _malformed("upgrade and a bad chunk", UPGRADE + CHUNKED, b"5\nhello\r\n0\r\n\r\n"),
    _malformed("upgrade and no chunks", UPGRADE + b"Transfer-Encoding: identity\r\n", _CHUNKS),
    _malformed("two hosts", b"Host: b\r\n", b""),
    _raw("no host", b"GET /x HTTP/1.1\r\n\r\n"),
    _raw("bare LF", b"GET /x HTTP/1.1\nHost: a\n\n"),
    _raw("absolute target", b"GET http://a/x HTTP/1.1\r\nHost: a\r\n\r\n"),
)
