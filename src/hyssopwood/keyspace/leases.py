"""What a leader knows of each range: who may hold it, until when, and under which token.

A key may be given to another server only when its holder has certainly let go: it confirmed a
release and no unanswered grant can still take effect, or every hold that it may have has ended.
"""

from __future__ import annotations

import asyncio

from attrs import define, field

from hyssopwood.keyspace.plan import KeyRange

# A server's clock may run 2% slow, so a hold may last that much longer than ordered.
SLOW_CLOCK_FACTOR = 1.0 / 0.98
# A grant that isn't answered in this time is given up and its connection reset, so that it can't
# arrive later.
COMMAND_TIMEOUT_S = 0.8
# Covers coarse timers and the last packet of a reset connection.
HOLD_MARGIN_S = 0.35
# The same where the answer shows that the grant had arrived; only timers' coarseness is left.
ANSWERED_MARGIN_S = 0.1


def answered_hold_end(answered: float, hold_s: float) -> float:
    """Return when a hold has certainly ended whose grant was answered by `answered`."""
    return answered + hold_s * SLOW_CLOCK_FACTOR + ANSWERED_MARGIN_S


def hold_end(sent: float, hold_s: float) -> float:
    """Return when a hold has certainly ended whose grant was sent at `sent`."""
    return sent + COMMAND_TIMEOUT_S + hold_s * SLOW_CLOCK_FACTOR + HOLD_MARGIN_S


@define(eq=False)
class HeldRange:
    """Track one range for the leader."""

    service: str
    keys: KeyRange
    # Latest time at which the owner may still hold the range by this leader's grants.
    held_until: float = 0.0
    # The same by renewals of the leader before, which the owner refuses once it has answered a
    # grant of this one; 0 if there can be none.
    inherited_until: float = 0.0
    # The owner has answered a grant of the range's present token, which voids all lower tokens.
    confirmed: bool = False
    # An unanswered grant of the present token may still be carried out until then.
    doubtful_until: float = 0.0
    # Until then a leader that the restored store has lost may have given the range to another
    # server, unless its owner answers a renewal: it would refuse one under an outdated token.
    disputed_until: float = 0.0
    disputed_from: float = 0.0
    # The range may not be granted before, as its last owner isn't known for sure.
    granted_from: float = 0.0
    moving: bool = False
    handover: str | None = None
    # Another object has taken the range's place after a split or a join.
    retired: bool = False
    # Serializes the orders for the range.
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    def note_grant_sent(self, now: float, hold_s: float) -> None:
        """Note a grant before it is sent."""
        self.held_until = max(self.held_until, hold_end(now, hold_s))

    def note_grant_unsent(self, held_until: float) -> None:
        """Take back the note of a grant of which no byte was sent."""
        self.held_until = held_until

    def note_grant_answered(
        self, sent: float, answered: float, hold_s: float, held_before: float
    ) -> None:
        """Note that the owner carried out the grant sent at `sent`; before, it held that long."""
        self.confirmed = True
        self.handover = None
        self.inherited_until = 0.0
        self.held_until = max(held_before, answered_hold_end(answered, hold_s))
        if sent >= self.disputed_from:
            # The owner has seen no higher token, so nobody has taken the range from it.
            self.disputed_until = 0.0

    def note_grant_lost(self, now: float, hold_s: float) -> None:
        """Note that a grant got no answer."""
        self.doubtful_until = max(self.doubtful_until, hold_end(now, hold_s))

    def handle_predecessor_ended(self, now: float, hold_s: float) -> None:
        """Note that the leader before has ended, so that it has renewed nothing since."""
        self.inherited_until = min(self.inherited_until, hold_end(now, hold_s))

    def note_disputed(self, now: float, until: float) -> None:
        """Note that a leader which the restored store has lost may have moved the range."""
        self.disputed_from = now
        self.disputed_until = max(self.disputed_until, until)

    def is_disputed(self, now: float) -> bool:
        """Return whether another server may have been given the range."""
        return now < self.disputed_until

    def may_grant(self, now: float) -> bool:
        """Return whether the owner may be granted the range, or renewed."""
        return now >= self.granted_from

    def may_release(self, now: float) -> bool:
        """Return whether an answered release would prove that the owner let go."""
        return self.confirmed and now >= self.doubtful_until

    def is_free(self, now: float) -> bool:
        """Return whether every hold that the owner may have has ended."""
        return now >= max(self.held_until, self.inherited_until)

    def needs_new_token(self, now: float) -> bool:
        """Return whether only a higher token can void an unanswered grant soon."""
        return now < self.doubtful_until and not self.is_disputed(now)

    def renew_token(self, keys: KeyRange) -> None:
        """Take a higher token for the same owner; what was sent under lower ones is void
        as soon as the owner has answered it."""
        self.keys = keys
        self.confirmed = False
        self.doubtful_until = 0.0

    def give(self, keys: KeyRange, handover: str | None) -> None:
        """Take a new owner after the old one has let go."""
        self.keys = keys
        self.inherited_until = 0.0
        self.granted_from = max(self.granted_from, self.disputed_until)
        self.held_until = 0.0
        self.doubtful_until = 0.0
        self.confirmed = False
        self.handover = handover
        self.moving = False

    def split(self, first: int, last: int) -> HeldRange:
        """Return a part of the range with the same knowledge."""
        keys = KeyRange(first, last, self.keys.server, self.keys.born_ms, self.keys.fence)
        return HeldRange(
            self.service,
            keys,
            self.held_until,
            self.inherited_until,
            self.confirmed,
            self.doubtful_until,
            self.disputed_until,
            self.disputed_from,
            self.granted_from,
            handover=self.handover,
        )

    def joins(self, other: HeldRange) -> bool:
        """Return whether `other` continues this range under the same owner and token."""
        return (
            not self.moving
            and not other.moving
            and not self.lock.locked()
            and not other.lock.locked()
            and self.keys.last + 1 == other.keys.first
            and self.keys.incarnation == other.keys.incarnation
            and self.keys.fence == other.keys.fence
            and self.handover is None
            and other.handover is None
        )

    def join(self, other: HeldRange) -> HeldRange:
        """Return both ranges as one; what is known of it is the less certain of the two."""
        joined = self.split(self.keys.first, other.keys.last)
        self.retired = other.retired = True
        joined.held_until = max(self.held_until, other.held_until)
        joined.inherited_until = max(self.inherited_until, other.inherited_until)
        joined.confirmed = self.confirmed and other.confirmed
        joined.doubtful_until = max(self.doubtful_until, other.doubtful_until)
        joined.disputed_until = max(self.disputed_until, other.disputed_until)
        joined.disputed_from = max(self.disputed_from, other.disputed_from)
        joined.granted_from = max(self.granted_from, other.granted_from)
        return joined


def join_neighbours(ranges: list[HeldRange]) -> list[HeldRange]:
    """Return the ranges with neighbours of the same owner and token joined."""
    joined: list[HeldRange] = []
    for held in ranges:
        if joined and joined[-1].joins(held):
            joined[-1] = joined[-1].join(held)
        else:
            joined.append(held)
    return joined
