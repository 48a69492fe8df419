"""Progress and figures of answers that take time to arrive."""

from __future__ import annotations

from attrs import frozen

MS_PER_S = 1000


@frozen
class Transfer:
    """How an answer arrived: the call, the time to its first byte and to its last, and its size."""

    call: str = ""
    waited_s: float = 0.0
    received_s: float = 0.0
    size_bytes: int = 0

    @property
    def waited_ms(self) -> int:
        """Return the time from the call to the first byte, for log lines."""
        return round(self.waited_s * MS_PER_S)

    @property
    def received_ms(self) -> int:
        """Return the time from the first byte to the last one that came, for log lines."""
        return round(self.received_s * MS_PER_S)
