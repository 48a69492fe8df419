"""Answer bodies that identify their request and carry a checksum."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator

import xxhash
from attrs import frozen

BLOCK_BYTES = 4096
HEAD_LIMIT_BYTES = 4096


@frozen
class BodyCheck:
    """Whether an answer belongs to its request and whether it is complete."""

    matches_request: bool
    complete: bool
    run: int | None = None


def _payload_block(nonce: str) -> bytes:
    return hashlib.shake_128(nonce.encode()).digest(BLOCK_BYTES)


def _payload(nonce: str, size: int) -> Iterator[bytes]:
    block = _payload_block(nonce)
    for start in range(0, size, BLOCK_BYTES):
        yield block[: min(BLOCK_BYTES, size - start)]


def body_parts(key: str, nonce: str, size: int, server: str, run: int) -> list[bytes]:
    """Return a JSON head line and the parts of a payload that is derived from the nonce."""
    parts = list(_payload(nonce, size))
    checksum = xxhash.xxh64()
    for part in parts:
        checksum.update(part)
    head = {"key": key, "nonce": nonce, "length": size, "checksum": checksum.hexdigest()}
    line = json.dumps({**head, "server": server, "run": run}).encode() + b"\n"
    return [line, *parts]


def check_body(body: bytes, key: str, nonce: str) -> BodyCheck:
    """Check an answer's body against the request that the caller sent."""
    line, newline, payload = body.partition(b"\n")
    try:
        head = json.loads(line) if newline else None
    except ValueError:
        head = None
    if not isinstance(head, dict):
        return BodyCheck(matches_request=True, complete=False)
    matches_request = head.get("key") == key and head.get("nonce") == nonce
    checksum = xxhash.xxh64(payload).hexdigest()
    complete = head.get("length") == len(payload) and head.get("checksum") == checksum
    return BodyCheck(matches_request, complete, head.get("run"))
