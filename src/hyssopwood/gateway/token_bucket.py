"""Token bucket that limits the rate of admissions."""

from __future__ import annotations

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
