"""Conversion between the platform's headers and the gateway's types."""

from __future__ import annotations

from hyssopwood.gateway.exchange import (
    AnswerHead,
    BadHeadError,
    CallerHead,
    Headers,
    ServerAnswer,
    ServerLoad,
    end_to_end_headers,
)
from hyssopwood.keyspace.plan import KEY_COUNT
from hyssopwood.platform.names import (
    ANSWERED_BY,
    DEADLINE,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    SERVER_WARMUP,
    SHARD_KEY,
    SIGNATURE,
    TARGET,
)
from hyssopwood.platform.server_entries import MAX_WARMUP_S

MS_PER_S = 1000
PERCENT = 100
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# With a server's 503: seconds for which this instance should send it no requests.
RETRY_AFTER = b"retry-after"
MAX_ID_BYTES = 256
# Limit on the time for which a server may ask an instance to stay away; longer times are cut to it.
MAX_BACK_OFF_S = 60.0
# Maximum length of each number in a server's load.
MAX_LOAD_DIGITS = 9
# Maximum length of a decimal number as text.
MAX_DECIMAL_BYTES = 16
_REPLACED_HEADERS = frozenset({DEADLINE, TARGET, REQUEST_ID, SHARD_KEY})


def _single_value(headers: Headers, wanted: bytes) -> bytes | None:
    values = [value for name, value in headers if name == wanted]
    if len(values) > 1:
        raise BadHeadError(f"header {wanted.decode()} is repeated")
    return values[0] if values else None


def _parse_number(name: bytes, value: bytes) -> int:
    if not value.isdigit() or len(value) > 12:
        raise BadHeadError(f"header {name.decode()} is {value!r}, expected a whole number")
    return int(value)


def _parse_load(headers: Headers) -> ServerLoad | None:
    """Return the load that a header states once with three or four figures, or None."""
    values = [value for name, value in headers if name == SERVER_LOAD]
    if len(values) != 1:
        return None
    parts = values[0].split(b",")
    numbers = all(part.strip().isdigit() and len(part) <= MAX_LOAD_DIGITS for part in parts)
    if len(parts) not in (3, 4) or not numbers:
        return None
    running, waiting, slots, *paces = (int(part) for part in parts)
    if not paces:
        return ServerLoad(running, waiting, slots)
    (pace,) = paces
    return ServerLoad(running, waiting, slots, pace / PERCENT) if pace else None


def _parse_leaving(headers: Headers) -> bool | None:
    """Return whether the server is leaving, or None if the header is invalid."""
    values = {value for name, value in headers if name == SERVER_LEAVING}
    if not values or values == {b"0"}:
        return False
    return True if values == {b"1"} else None


def _parse_decimal(headers: Headers, wanted: bytes) -> float | None:
    """Return the value of a header that occurs once and is a decimal number, or None."""
    values = [value for name, value in headers if name == wanted]
    if len(values) != 1 or len(values[0]) > MAX_DECIMAL_BYTES:
        return None
    if not values[0].replace(b".", b"", 1).isdigit():
        return None
    return float(values[0])


class PlatformHeaderCodec:
    """Convert the platform's headers."""

    def decode_caller_headers(self, headers: Headers) -> CallerHead:
        """Return the values in a caller's headers; raise BadHeadError if they are invalid."""
        request_id = _single_value(headers, REQUEST_ID)
        if not request_id or len(request_id) > MAX_ID_BYTES:
            raise BadHeadError("header request-id is missing, empty or too long")
        deadline = _single_value(headers, DEADLINE)
        key = _single_value(headers, SHARD_KEY)
        number = None if key is None else _parse_number(SHARD_KEY, key)
        if number is not None and number >= KEY_COUNT:
            raise BadHeadError(f"key {number} is above {KEY_COUNT - 1}")
        timeout_s = None if deadline is None else _parse_number(DEADLINE, deadline) / MS_PER_S
        return CallerHead(request_id=request_id, timeout_s=timeout_s, key=number)

    def server_headers(
        self, headers: Headers, head: CallerHead, server: str, left_s: float
    ) -> Headers:
        """Return the headers of the request to a server with `left_s` seconds left."""
        kept = tuple(
            header for header in end_to_end_headers(headers) if header[0] not in _REPLACED_HEADERS
        )
        own = [
            (b"Request-Id", head.request_id),
            (b"Deadline-Ms", str(max(1, int(left_s * MS_PER_S))).encode()),
            (b"Target-Instance", server.encode()),
        ]
        if head.key is not None:
            own.append((b"Shard-Key", str(head.key).encode()))
        return kept + tuple(own)

    def decode_answer_headers(self, answer: ServerAnswer) -> AnswerHead:
        """Return the values in the headers of a server's answer."""
        answered_by = answer.header(ANSWERED_BY)
        misdirected = answer.status == MISDIRECTED_STATUS
        leaving = _parse_leaving(answer.headers)
        ignored = () if leaving is not None else (SERVER_LEAVING.decode(),)
        back_off_s = None
        if answer.status == UNAVAILABLE_STATUS and answer.header(RETRY_AFTER) is not None:
            seconds = _parse_decimal(answer.headers, RETRY_AFTER)
            back_off_s = None if seconds is None else min(MAX_BACK_OFF_S, seconds)
            ignored += () if back_off_s is not None else (RETRY_AFTER.decode(),)
        limit_per_s = None
        if answer.header(SERVER_LIMIT) is not None:
            limit_per_s = _parse_decimal(answer.headers, SERVER_LIMIT)
            ignored += () if limit_per_s is not None else (SERVER_LIMIT.decode(),)
        load = None
        if answer.header(SERVER_LOAD) is not None:
            load = _parse_load(answer.headers)
            ignored += () if load is not None else (SERVER_LOAD.decode(),)
        warmup_s = None
        if answer.header(SERVER_WARMUP) is not None:
            milliseconds = _parse_decimal(answer.headers, SERVER_WARMUP)
            warmup_s = None if milliseconds is None else min(MAX_WARMUP_S, milliseconds / MS_PER_S)
            ignored += () if warmup_s is not None else (SERVER_WARMUP.decode(),)
        return AnswerHead(
            request_id=answer.header(REQUEST_ID),
            signed=answer.header(SIGNATURE) is not None,
            not_run=misdirected or answer.header(NOT_EXECUTED) is not None,
            misdirected=misdirected,
            answered_by=None if answered_by is None else answered_by.decode("latin-1"),
            load=load,
            encoded=answer.header(b"content-encoding") not in (None, b"identity"),
            leaving=bool(leaving),
            back_off_s=back_off_s,
            limit_per_s=limit_per_s,
            warmup_s=warmup_s,
            ignored=ignored,
        )

    def retry_after(self, seconds: float) -> Headers:
        """Return the header that states when a caller should retry."""
        return ((b"Retry-After", f"{seconds:.2f}".encode()),)
