"""Lease state of each range as the leader tracks it: owner, fencing token and latest expiry.

A key may be granted to another server only when its owner can no longer have a lease: the owner
confirmed a release and no unanswered grant can still take effect, or every lease that it may have
has expired.
"""

from __future__ import annotations

import asyncio

from attrs import define, evolve, field

from hyssopwood.keyspace.plan import KeyRange

# A server's clock may run 2% slow, so a lease may last that much longer than granted.
SLOW_CLOCK_FACTOR = 1.0 / 0.98
# A grant that isn't answered in this time is abandoned and its connection reset, so that it can't
# arrive later.
COMMAND_TIMEOUT_S = 0.8
# Covers the timers' resolution and the last packet of a reset connection.
LEASE_END_MARGIN_S = 0.35
# Number of no channel: the token can't be sent again.
NO_CHANNEL = 0
# Tokens that a leader may use for one fencing token of the plan, without a write to the store. With
# 256, tokens stay below 2**53, which every JSON parser reads exactly, for the first 31 eras.
TOKENS_PER_FENCE = 256


def first_token(fence: int) -> int:
    """Return the first token that is sent to servers for a fencing token of the plan."""
    return fence * TOKENS_PER_FENCE


def fence_of(token: int) -> int:
    """Return the fencing token of the plan to which a sent token belongs."""
    return token // TOKENS_PER_FENCE


# Margin where the answer shows that the grant had arrived; it covers the timers' resolution only.
ANSWERED_LEASE_END_MARGIN_S = 0.1


def answered_lease_end(answered: float, lease_s: float) -> float:
    """Return the time by which the lease of a grant that was answered at `answered` has expired."""
    return answered + lease_s * SLOW_CLOCK_FACTOR + ANSWERED_LEASE_END_MARGIN_S


def lease_end(sent: float, lease_s: float) -> float:
    """Return the time by which the lease of a grant that was sent at `sent` has expired."""
    return sent + COMMAND_TIMEOUT_S + lease_s * SLOW_CLOCK_FACTOR + LEASE_END_MARGIN_S


@define(eq=False)
class RangeLease:
    """The lease of one range, as tracked by the leader."""

    service: str
    keys: KeyRange
    # Latest expiry of a lease that this leader granted to the owner.
    leased_until: float = 0.0
    # Latest expiry of a lease that the previous leader renewed; 0 if there can be none. The owner
    # rejects that leader's renewals once it has answered a grant of this leader.
    inherited_until: float = 0.0
    # The owner has answered a grant of the range's current token, which voids all lower tokens.
    confirmed: bool = False
    # Until then an unanswered grant of the current token may still be carried out.
    uncertain_until: float = 0.0
    # Tokens that were used before the current one under the plan's fencing token.
    token_step: int = 0
    # Number of the channel that carried the current token; None before its first grant. Over
    # another one the token could reach another process.
    channel: int | None = None
    # The owner has seen a higher token, so only a higher fencing token of the plan is accepted.
    fenced: bool = False
    # Until then another leader, whose writes the restored store has lost, may have granted the
    # range to another server. An answered renewal rules that out: the owner would reject one under
    # an outdated token.
    disputed_until: float = 0.0
    disputed_from: float = 0.0
    # The range may not be granted before then, as its last owner isn't known for certain.
    not_granted_before: float = 0.0
    moving: bool = False
    handover: str | None = None
    # Another object represents the keys after a split or a merge.
    replaced: bool = False
    # Serializes the commands for the range.
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    @property
    def token(self) -> int:
        """Return the fencing token that is sent to the owner."""
        return first_token(self.keys.fence) + self.token_step

    @property
    def sent_keys(self) -> KeyRange:
        """Return the range with the fencing token that is sent to the owner."""
        return evolve(self.keys, fence=self.token)

    def record_grant_sent(self, now: float, lease_s: float) -> None:
        """Extend the latest expiry before a grant is sent."""
        self.leased_until = max(self.leased_until, lease_end(now, lease_s))

    def undo_grant_sent(self, leased_until: float) -> None:
        """Restore the earlier expiry after a grant of which no byte was sent."""
        self.leased_until = leased_until

    def record_grant_answered(
        self,
        sent: float,
        answered: float,
        lease_s: float,
        leased_until_before: float,
        channel: int | None,
    ) -> None:
        """Record that the owner carried out a grant; set the expiry from the time of its answer."""
        self.confirmed = True
        self.channel = channel
        self.handover = None
        self.inherited_until = 0.0
        self.leased_until = max(leased_until_before, answered_lease_end(answered, lease_s))
        if sent >= self.disputed_from:
            # The owner has seen no higher token, so no other leader has moved the range.
            self.disputed_until = 0.0

    def record_grant_unanswered(self, now: float, lease_s: float, channel: int | None) -> None:
        """Record that a grant may still be carried out; `channel` is None if that has ended."""
        self.uncertain_until = max(self.uncertain_until, lease_end(now, lease_s))
        self.channel = NO_CHANNEL if channel is None else channel

    def record_fenced(self) -> None:
        """Record that the owner has seen a higher token than the current one."""
        self.fenced = True
        self.channel = NO_CHANNEL

    def handle_predecessor_ended(self, now: float, lease_s: float) -> None:
        """Limit the inherited lease, as the ended previous leader can send no more renewals."""
        self.inherited_until = min(self.inherited_until, lease_end(now, lease_s))

    def mark_disputed(self, now: float, until: float) -> None:
        """Record that a leader whose writes the store has lost may have moved the range."""
        self.disputed_from = now
        self.disputed_until = max(self.disputed_until, until)

    def is_disputed(self, now: float) -> bool:
        """Return whether another leader may have granted the range to another server."""
        return now < self.disputed_until

    def may_grant(self, now: float) -> bool:
        """Return whether the range may be granted to its owner or renewed."""
        return now >= self.not_granted_before

    def may_release(self, now: float) -> bool:
        """Return whether an answered release would prove that the owner has no lease."""
        return self.confirmed and now >= self.uncertain_until

    def has_expired(self, now: float) -> bool:
        """Return whether every lease that the owner may have has expired."""
        return now >= max(self.leased_until, self.inherited_until)

    @property
    def tokens_exhausted(self) -> bool:
        """Return whether a further token needs a higher fencing token in the plan."""
        return self.token_step == TOKENS_PER_FENCE - 1

    def needs_new_fence(self, now: float) -> bool:
        """Return whether the range can't be renewed without a higher fencing token in the plan."""
        used_up = self.fenced or self.tokens_exhausted
        return used_up and self.channel == NO_CHANNEL and not self.is_disputed(now)

    def use_next_token(self) -> None:
        """Use a higher token for the same owner.

        Grants under lower tokens are void as soon as the owner has answered one under this token.
        """
        self._start_token(self.token_step + 1)

    def replace_fence(self, keys: KeyRange) -> None:
        """Set a higher fencing token of the plan for the same owner."""
        self.keys = keys
        self._start_token(0)

    def _start_token(self, step: int) -> None:
        self.token_step = step
        self.confirmed = False
        self.uncertain_until = 0.0
        self.channel = None
        self.fenced = False

    def set_owner(self, keys: KeyRange, handover: str | None) -> None:
        """Set a new owner after the previous one's lease has ended."""
        if keys.server != self.keys.server:
            # A later incarnation of the owner may have taken what was sent to the earlier one.
            self.leased_until = self.inherited_until = 0.0
        self.keys = keys
        self.not_granted_before = max(self.not_granted_before, self.disputed_until)
        self._start_token(0)
        self.handover = handover
        self.moving = False

    def split(self, first: int, last: int) -> RangeLease:
        """Return a part of the range with the same lease state."""
        keys = KeyRange(first, last, self.keys.server, self.keys.born_ms, self.keys.fence)
        return RangeLease(
            self.service,
            keys,
            self.leased_until,
            self.inherited_until,
            self.confirmed,
            self.uncertain_until,
            self.token_step,
            self.channel,
            self.fenced,
            self.disputed_until,
            self.disputed_from,
            self.not_granted_before,
            handover=self.handover,
        )

    def can_merge(self, other: RangeLease) -> bool:
        """Return whether `other` continues this range under the same owner and token."""
        return (
            not self.moving
            and not other.moving
            and not self.lock.locked()
            and not other.lock.locked()
            and self.keys.last + 1 == other.keys.first
            and self.keys.incarnation == other.keys.incarnation
            and self.token == other.token
            and self.channel == other.channel
            and self.fenced == other.fenced
            and self.handover is None
            and other.handover is None
        )

    def merge(self, other: RangeLease) -> RangeLease:
        """Return both ranges as one, with the less certain state of the two."""
        merged = self.split(self.keys.first, other.keys.last)
        self.replaced = other.replaced = True
        merged.leased_until = max(self.leased_until, other.leased_until)
        merged.inherited_until = max(self.inherited_until, other.inherited_until)
        merged.confirmed = self.confirmed and other.confirmed
        merged.uncertain_until = max(self.uncertain_until, other.uncertain_until)
        merged.disputed_until = max(self.disputed_until, other.disputed_until)
        merged.disputed_from = max(self.disputed_from, other.disputed_from)
        merged.not_granted_before = max(self.not_granted_before, other.not_granted_before)
        return merged


def merge_adjacent_leases(ranges: list[RangeLease]) -> list[RangeLease]:
    """Return the leases with adjacent ranges of the same owner and token merged."""
    merged: list[RangeLease] = []
    for lease in ranges:
        if merged and merged[-1].can_merge(lease):
            merged[-1] = merged[-1].merge(lease)
        else:
            merged.append(lease)
    return merged
