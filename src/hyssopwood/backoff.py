"""Pauses between repeated attempts."""

from __future__ import annotations

import random

MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class Backoff:
    """Double a pause up to a limit, with jitter."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._pause_s = MIN_BACKOFF_S

    def next_s(self) -> float:
        """Return the next pause."""
        pause_s = self._pause_s * self._chance.uniform(0.5, 1.0)
        self._pause_s = min(MAX_BACKOFF_S, self._pause_s * 2)
        return pause_s

    def reset(self) -> None:
        """Start again with the shortest pause."""
        self._pause_s = MIN_BACKOFF_S
