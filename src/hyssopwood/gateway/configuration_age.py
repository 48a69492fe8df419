"""Age of what an instance knows of the newest configuration."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field, frozen

from hyssopwood.timers import Timers

MS_PER_S = 1000


@frozen
class KnowledgeOfNewest:
    """How long ago a configuration was known to be the newest, and from whom."""

    source: str
    # None if it was never known.
    age_s: float | None

    @property
    def age_ms(self) -> int | None:
        """Return the age in whole milliseconds, for log lines."""
        return None if self.age_s is None else round(self.age_s * MS_PER_S)


@define
class ConfigurationAge:
    """Tell how old this instance's knowledge is that its configuration is the newest.

    Only what its own reads have shown is passed on to other instances: statements that were passed
    on from leader to leader would never become old.
    """

    _timers: Timers
    # Age of the leader's statement if it names the version that this instance has.
    _leader_age_s: Callable[[], float | None]
    _known_at: float | None = field(default=None, init=False)

    def record_read(self, known_at: float) -> None:
        """Record that the store showed no later configuration at a time."""
        self._known_at = known_at

    def record_rejected(self) -> None:
        """Record that the store has a later configuration, which can't be decoded."""
        self._known_at = None

    def own_age_s(self) -> float | None:
        """Return the age of the last own read, or None if no read vouches for the configuration."""
        return None if self._known_at is None else self._timers.now() - self._known_at

    def newest(self) -> KnowledgeOfNewest:
        """Return the latest knowledge, own or the leader's."""
        own_s, leader_s = self.own_age_s(), self._leader_age_s()
        if leader_s is not None and (own_s is None or leader_s < own_s):
            return KnowledgeOfNewest("leader", leader_s)
        return KnowledgeOfNewest("store", own_s)
