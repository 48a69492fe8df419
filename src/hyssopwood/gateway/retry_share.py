"""An instance's share of the extra retries, which all instances together may send.

The leader counts processes instead of listed instances, because an instance that has left the list
may still be running and sending. Every process that uses a share has been counted for as long as
another one's retries can matter, so the shares of any window add up to no more than the whole,
whatever happens to links, leaders and processes.
"""

from __future__ import annotations

import secrets

from attrs import define, field

from hyssopwood.timers import Timers

# A count holds for this long after the store last confirmed the leader that states it. A new leader
# can only claim after that confirmation, so two leaders' counts overlap for no longer.
COUNT_LIFETIME_S = 3.0
TERM_BITS = 63


def settling_s(window_s: float) -> float:
    """Return for how long a process must have been counted before it uses a share.

    A process that has left is counted for the same time.
    """
    return window_s + COUNT_LIFETIME_S


@define
class ProcessCount:
    """Count the processes that may have used a share recently, this leading one included."""

    _timers: Timers
    _settling_s: float
    _own: tuple[str, str]
    # Number of links of each process, by instance and incarnation.
    _links: dict[tuple[str, str], int] = field(factory=dict, init=False)
    _left_at: dict[tuple[str, str], float] = field(factory=dict, init=False)

    def link_opened(self, process: tuple[str, str]) -> None:
        """Count a process from now on."""
        self._links[process] = self._links.get(process, 0) + 1
        self._left_at.pop(process, None)

    def link_closed(self, process: tuple[str, str]) -> None:
        """Count a process without a link for the settling time only."""
        links = self._links.pop(process, 0) - 1
        if links > 0:
            self._links[process] = links
        else:
            self._left_at[process] = self._timers.now()

    def count(self) -> int:
        """Return the number of processes that share the extra retries."""
        now = self._timers.now()
        for process, left_at in list(self._left_at.items()):
            if now - left_at > self._settling_s:
                del self._left_at[process]
        return len({self._own, *self._links, *self._left_at})


@define
class RetryShare:
    """Hold the count of processes that share the extra retries with this one."""

    _timers: Timers
    _settling_s: float
    _term: int = field(default=0, init=False)
    _count: int = field(default=0, init=False)
    # Time since which this process has been counted in the term.
    _counted_since: float = field(default=float("-inf"), init=False)
    # Time at which the leader sent the count, and at which the store confirmed the leader.
    _sent_at: float = field(default=float("-inf"), init=False)
    _confirmed_at: float = field(default=float("-inf"), init=False)

    def record(self, term: int, count: int, age_s: float, confirmed_age_s: float) -> None:
        """Record the count that the leader sent `age_s` ago in its term."""
        if not term or not count:
            # Leaders of earlier builds count listed instances only.
            return
        now = self._timers.now()
        if term != self._term or now - self._sent_at > self._settling_s:
            self._term, self._counted_since = term, now
        self._count, self._sent_at = count, now - age_s
        self._confirmed_at = now - confirmed_age_s

    def count(self) -> int | None:
        """Return by how many processes the extra retries are shared; None for no share."""
        now = self._timers.now()
        if now - self._confirmed_at > COUNT_LIFETIME_S:
            return None
        return self._count if now - self._counted_since >= self._settling_s else None


class SharedRetries:
    """Take part in the sharing of the extra retries, as a follower and as the leader."""

    def __init__(self, timers: Timers, window_s: float, process: tuple[str, str]) -> None:
        self._processes = ProcessCount(timers, settling_s(window_s), process)
        self._share = RetryShare(timers, settling_s(window_s))
        # Random number of this process's term as the leader, 0 while it doesn't lead.
        self._term = 0

    def begin_term(self) -> None:
        """Begin to lead; nothing that was counted in an earlier term holds."""
        self._term = secrets.randbits(TERM_BITS) | 1

    def end_term(self) -> None:
        """End to lead."""
        self._term = 0

    def handle_link(self, process: tuple[str, str], opened: bool) -> None:
        """Count the links of a process to this leader."""
        if opened:
            self._processes.link_opened(process)
        else:
            self._processes.link_closed(process)

    def announce(self, confirmed_age_s: float) -> tuple[int, int]:
        """Return the term and the count for the followers, and apply them to this leader."""
        count = self._processes.count()
        self._share.record(self._term, count, 0.0, confirmed_age_s)
        return self._term, count

    def record(self, term: int, count: int, age_s: float, confirmed_age_s: float) -> None:
        """Record the count that a leader sent `age_s` ago in its term."""
        self._share.record(term, count, age_s, confirmed_age_s)

    def sharers(self) -> int | None:
        """Return by how many processes the extra retries are shared; None for no share."""
        return self._share.count()
