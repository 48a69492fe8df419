"""Body of a request, held once: read into segments, sent from them and released."""

from __future__ import annotations

from collections.abc import Iterator

from hyssopwood.errors import HyssopwoodError
from hyssopwood.gateway.memory_budget import Reservation

# Larger bodies are kept in segments of this size. Equal sizes let the allocator reuse them without
# fragmentation, and nothing is copied when a body grows.
SEGMENT_BYTES = 65_536


class OverBudgetError(HyssopwoodError):
    """Raised when the memory budget doesn't grant the bytes of a body."""

    exit_code = 7


class HeldBody:
    """A complete body in segments."""

    def __init__(
        self, segments: list[bytearray], size: int, reservation: Reservation | None
    ) -> None:
        self._segments = segments
        self._size = size
        self._reservation = reservation

    def __len__(self) -> int:
        return self._size

    def __del__(self) -> None:
        # An exchange may go on after its caller has disconnected; its end drops the last reference.
        self.release()

    def pieces(self) -> Iterator[memoryview]:
        """Yield the body in order, without copies."""
        left = self._size
        for segment in self._segments:
            yield memoryview(segment)[: min(left, SEGMENT_BYTES)]
            left -= SEGMENT_BYTES

    def release(self) -> None:
        """Free the body; no attempt can need it any more."""
        self._segments = []
        self._size = 0
        if self._reservation is not None:
            self._reservation.release()


def body_pieces(body: bytes | HeldBody) -> Iterator[bytes | memoryview]:
    """Yield a body in order."""
    if isinstance(body, HeldBody):
        yield from body.pieces()
    else:
        yield body


def release_body(body: bytes | HeldBody) -> None:
    """Free a body that is held in segments."""
    if isinstance(body, HeldBody):
        body.release()


class BodyBuffer:
    """A body that is being read."""

    def __init__(self, reservation: Reservation | None = None) -> None:
        self._reservation = reservation
        self._small = bytearray()
        self._segments: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def small_size(self) -> int:
        """Return the bytes of a body that is too small for segments, which aren't reserved."""
        return len(self._small)

    def expect(self, length: int, now: float) -> None:
        """Reserve the memory for a body of a declared length; raise OverBudgetError if refused."""
        if length > SEGMENT_BYTES:
            self._reserve(-(-length // SEGMENT_BYTES) * SEGMENT_BYTES, now)

    def append(self, data: bytes, now: float) -> None:
        """Add bytes; raise OverBudgetError if the budget doesn't grant their memory."""
        size = self._size + len(data)
        if size <= SEGMENT_BYTES and not self._segments:
            self._small += data
            self._size = size
            return
        if not self._segments:
            data = bytes(self._small) + data
            self._small.clear()
            self._size = 0
        view = memoryview(data)
        while view:
            used = self._size % SEGMENT_BYTES
            if not used:
                self._add_segment(now)
            piece = view[: SEGMENT_BYTES - used]
            self._segments[-1][used : used + len(piece)] = piece
            self._size += len(piece)
            view = view[len(piece) :]

    def finish(self) -> bytes | HeldBody:
        """Return the complete body, which takes over the memory."""
        if not self._segments:
            self.release()
            return bytes(self._small)
        body = HeldBody(self._segments, self._size, self._reservation)
        self._segments, self._reservation = [], None
        return body

    def release(self) -> None:
        """Free the memory of a body that isn't completed."""
        self._segments = []
        if self._reservation is not None:
            self._reservation.release()

    def _add_segment(self, now: float) -> None:
        needed = (len(self._segments) + 1) * SEGMENT_BYTES
        if self._reservation is not None and needed > self._reservation.size:
            self._reserve(needed - self._reservation.size, now)
        self._segments.append(bytearray(SEGMENT_BYTES))

    def _reserve(self, size: int, now: float) -> None:
        if self._reservation is not None and not self._reservation.grow(size, now):
            raise OverBudgetError("the memory budget doesn't grant the body")
