"""Limits on the rate of admissions: a token bucket and a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import define, field

# Time whose unused tokens are kept for a burst.
BURST_S = 0.5


@define
class TokenBucket:
    """Provide tokens at a rate; a token admits one request."""

    rate_per_s: float
    _updated_at: float
    # One request may start at once; the server is already at its limit when it names it.
    _tokens: float = field(default=1.0, init=False)

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate from now on."""
        if rate_per_s != self.rate_per_s:
            self._tokens, self._updated_at = self.tokens(now), now
            self.rate_per_s = rate_per_s

    def tokens(self, now: float) -> float:
        """Return the available tokens, with fractions."""
        most = max(1.0, self.rate_per_s * BURST_S)
        return min(most, self._tokens + (now - self._updated_at) * self.rate_per_s)

    def take(self, now: float) -> None:
        """Take one token."""
        self._tokens, self._updated_at = self.tokens(now) - 1, now

    def next_token_s(self, now: float) -> float:
        """Return the time until a whole token is available."""
        return max(0.0, 1 - self.tokens(now)) / self.rate_per_s


@define
class SlidingWindow:
    """Admit at most `limit` requests in any time of `window_s`, including both of its ends.

    A token bucket admits a burst beside its rate, so it can't bound the count of a sliding window.
    """

    limit: int
    window_s: float
    # Times of the latest admissions, oldest first; recorded also while no limit is enforced.
    _admitted_at: deque[float] = field(factory=deque, init=False)

    @property
    def rate_per_s(self) -> float:
        """Return the rate at which requests are admitted under load."""
        return self.limit / self.window_s

    def configure(self, limit: int, window_s: float) -> None:
        """Change the limit; earlier admissions count against the new one."""
        self.limit, self.window_s = limit, window_s

    def tokens(self, now: float) -> int:
        """Return how many requests may be admitted now."""
        recent = sum(now - at <= self.window_s for at in self._admitted_at)
        return max(0, self.limit - recent)

    def take(self, now: float) -> None:
        """Record an admission."""
        self._admitted_at.append(now)
        while now - self._admitted_at[0] > self.window_s:
            self._admitted_at.popleft()

    def next_token_s(self, now: float) -> float:
        """Return the time until a request may be admitted."""
        if self.tokens(now):
            return 0.0
        return max(0.0, self._admitted_at[-self.limit] + self.window_s - now)
