"""Retry budget that each instance derives from its own requests and its share of the extra."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

# Share of the deployment-wide retry allowance that all instances use together; the rest is a margin
# for uneven load.
SAFETY_SHARE = 0.7


@frozen
class Allowance:
    """What a retry is decided on; the counts are those of the sliding window."""

    first_sends: int
    retries: int
    # Number of processes that share the extra retries; None if this one has no share.
    sharers: int | None
    allowed: float

    @property
    def available(self) -> float:
        """Return how many more retries are allowed."""
        return self.allowed - self.retries


@define
class RetryBudget:
    """Allow retries for one service as a ratio of the first sends in a sliding window."""

    _ratio: float
    # Retries allowed in each window in addition to the ratio, over all instances.
    _extra: float
    _window_s: float
    # Number of processes that share the extra retries; None while this one may use none of them.
    _sharers: Callable[[], int | None]
    _sends: deque[float] = field(factory=deque, init=False)
    _retries: deque[float] = field(factory=deque, init=False)

    def record_send(self, now: float) -> None:
        """Count the first send of a request."""
        self._sends.append(now)

    def allowance(self, now: float) -> Allowance:
        """Return the retries of the window that ends now, and those allowed in it."""
        for times in (self._sends, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        sharers = self._sharers()
        extra = 0.0 if sharers is None else self._extra / sharers
        sends = len(self._sends)
        allowed = SAFETY_SHARE * (self._ratio * sends + extra)
        return Allowance(sends, len(self._retries), sharers, allowed)

    def available(self, now: float) -> float:
        """Return how many retries are allowed now."""
        return self.allowance(now).available

    def try_consume(self, now: float) -> bool:
        """Consume one retry; return False if none is left."""
        if self.available(now) < 1.0:
            return False
        self._retries.append(now)
        return True
