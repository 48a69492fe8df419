"""Answer bodies that prove which request they belong to and that they are whole."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator

import xxhash
from attrs import frozen

BLOCK_BYTES = 4096
HEAD_LIMIT_BYTES = 4096


@frozen
class Check:
    """Tell whether an answer belongs to the request and whether it is complete."""

    right: bool
    whole: bool
    run: int | None = None


def _payload_block(nonce: str) -> bytes:
    return hashlib.shake_128(nonce.encode()).digest(BLOCK_BYTES)


def _payload(nonce: str, size: int) -> Iterator[bytes]:
    block = _payload_block(nonce)
    for start in range(0, size, BLOCK_BYTES):
        yield block[: min(BLOCK_BYTES, size - start)]


def body_parts(key: str, nonce: str, size: int, server: str, run: int) -> list[bytes]:
    """Return a head line (JSON) and the parts of a payload that depends on the nonce."""
    parts = list(_payload(nonce, size))
    checksum = xxhash.xxh64()
    for part in parts:
        checksum.update(part)
    head = {"key": key, "nonce": nonce, "length": size, "checksum": checksum.hexdigest()}
    line = json.dumps({**head, "server": server, "run": run}).encode() + b"\n"
    return [line, *parts]


def check_body(body: bytes, key: str, nonce: str) -> Check:
    """Compare an answer's body with the request that the caller sent."""
    line, newline, payload = body.partition(b"\n")
    try:
        head = json.loads(line) if newline else None
    except ValueError:
        head = None
    if not isinstance(head, dict):
        return Check(right=True, whole=False)
    right = head.get("key") == key and head.get("nonce") == nonce
    checksum = xxhash.xxh64(payload).hexdigest()
    whole = head.get("length") == len(payload) and head.get("checksum") == checksum
    return Check(right, whole, head.get("run"))
