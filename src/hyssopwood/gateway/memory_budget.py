"""Budget of the bytes that a process buffers for callers and servers; decisions only, no I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from attrs import define, field, frozen

MEGABYTE = 1_000_000
# Memory that a process needs besides what the budget counts. Idle ones use 48 to 60 MB.
PROCESS_BYTES = 66 * MEGABYTE
# Part of the budget that bodies can't take, so that small requests are served beside large ones.
SMALL_RESERVE_BYTES = 16 * MEGABYTE
# Relayed connections of other instances take at most this part of the budget, one over the divisor.
RELAYS_DIVISOR = 2
# Smallest budget, for limits that hardly cover the process itself.
MIN_BUDGET_BYTES = 8 * MEGABYTE
# Time for which a holder isn't refused while its bytes arrive; conforming callers abandon requests
# that haven't been read after this time.
GRACE_S = 1.0
# Time without a byte after which a holder counts as stalled.
STALLED_S = 0.25


class Kind(Enum):
    """Kinds of buffered bytes."""

    # Bodies that are too large for a single segment, from their head until no attempt needs them.
    BODY = "body"
    # Heads and small bodies.
    REQUEST = "request"
    # Answers that wait for their caller, and streams.
    ANSWER = "answer"
    # Bytes that the kernel or the connection keeps while reading is paused.
    UNREAD = "unread"
    RELAY = "relay"


class Refusal(Enum):
    """Ways in which the budget refuses."""

    # The request that asked for bytes.
    REQUESTER = "requester"
    # Another one, to make room.
    HOLDER = "holder"


@frozen
class Shortage:
    """The inputs of a refusal."""

    refusal: Refusal
    kind: Kind
    requested: int
    held: int
    limit: int
    refused_bytes: int
    refused_held_s: float


@define(eq=False)
class Holder:
    """A connection that holds bytes."""

    # Whether its request or its answers may be refused now.
    is_refusable: Callable[[], bool]
    # Refuse them and release what they hold.
    refuse: Callable[[], None]
    held: int = 0
    # Time since which it has held anything, and of the last byte that it received or sent.
    since: float = 0.0
    progress_at: float = 0.0

    def weight(self, now: float) -> float:
        """Return the product of the bytes and the time for which they have been held."""
        return self.held * (now - self.since)

    def is_past_grace(self, now: float) -> bool:
        """Return whether the holder has had its time, or is stalled."""
        return now - self.since >= GRACE_S or now - self.progress_at >= STALLED_S


@define(eq=False)
class Reservation:
    """Bytes that one purpose of a holder has reserved."""

    _budget: MemoryBudget
    holder: Holder
    kind: Kind
    size: int = 0

    def grow(self, size: int, now: float) -> bool:
        """Reserve further bytes; return whether the budget grants them."""
        return self._budget.grow(self, size, now)

    def force(self, size: int, now: float) -> None:
        """Reserve bytes that exist already, also beyond the limit."""
        self._budget.force(self, size, now)

    def release(self) -> None:
        """Return all bytes to the budget."""
        self._budget.shrink(self, self.size)


@define(eq=False)
class MemoryBudget:
    """Grant bytes up to a limit; when it is reached, refuse who holds most for longest."""

    limit: int
    _on_shortage: Callable[[Shortage], None] = lambda shortage: None
    _held: dict[Kind, int] = field(factory=lambda: dict.fromkeys(Kind, 0), init=False)
    _total: int = field(default=0, init=False)
    # Holders with bytes, in the order in which they began to hold any.
    _holders: dict[Holder, None] = field(factory=dict, init=False)

    @classmethod
    def of_process(cls, memory_mb: float, on_shortage: Callable[[Shortage], None]) -> MemoryBudget:
        """Return the budget of a process with a memory limit."""
        limit = int(memory_mb * MEGABYTE) - PROCESS_BYTES
        return cls(max(MIN_BUDGET_BYTES, limit), on_shortage)

    @property
    def total(self) -> int:
        """Return how many bytes are reserved."""
        return self._total

    def held(self, kind: Kind) -> int:
        """Return how many bytes of a kind are reserved."""
        return self._held[kind]

    def reserve(self, holder: Holder, kind: Kind) -> Reservation:
        """Return an empty reservation."""
        return Reservation(self, holder, kind)

    def grow(self, reservation: Reservation, size: int, now: float) -> bool:
        """Grant bytes, if necessary after refusing holders; return whether they are granted."""
        holder = reservation.holder
        while not self._fits(reservation.kind, size):
            victim = self._heaviest(now)
            if victim is None or victim is holder:
                self._report(Refusal.REQUESTER, reservation.kind, size, holder, now)
                return False
            self._refuse(victim, reservation.kind, size, now)
        self._add(reservation, size, now)
        return True

    def force(self, reservation: Reservation, size: int, now: float) -> None:
        """Count bytes that exist already, and refuse holders if that exceeds the limit."""
        self._add(reservation, size, now)
        while self._total > self.limit:
            victim = self._heaviest(now)
            if victim is None:
                return
            self._refuse(victim, reservation.kind, size, now)

    def shrink(self, reservation: Reservation, size: int) -> None:
        """Take bytes back."""
        holder = reservation.holder
        reservation.size -= size
        holder.held -= size
        self._held[reservation.kind] -= size
        self._total -= size
        if not holder.held:
            self._holders.pop(holder, None)

    def _fits(self, kind: Kind, size: int) -> bool:
        if self._total + size > self.limit:
            return False
        if kind is Kind.RELAY:
            return self._held[kind] + size <= self.limit // RELAYS_DIVISOR
        if kind is not Kind.BODY:
            return True
        reserve = min(SMALL_RESERVE_BYTES, self.limit // 4)
        return self._held[kind] + size <= self.limit - reserve

    def _add(self, reservation: Reservation, size: int, now: float) -> None:
        holder = reservation.holder
        if not holder.held:
            holder.since = holder.progress_at = now
        reservation.size += size
        holder.held += size
        self._held[reservation.kind] += size
        self._total += size
        if holder.held:
            self._holders[holder] = None

    def _heaviest(self, now: float) -> Holder | None:
        eligible = [
            holder
            # A copy, as the garbage collector may free a body meanwhile, which changes the holders.
            for holder in list(self._holders)
            if holder.is_past_grace(now) and holder.is_refusable()
        ]
        return max(eligible, key=lambda holder: holder.weight(now), default=None)

    def _refuse(self, victim: Holder, kind: Kind, size: int, now: float) -> None:
        self._report(Refusal.HOLDER, kind, size, victim, now)
        # A holder is refused once, so that one that keeps its bytes can't be chosen again.
        self._holders.pop(victim, None)
        victim.refuse()

    def _report(self, refusal: Refusal, kind: Kind, size: int, refused: Holder, now: float) -> None:
        held_s = now - refused.since if refused.held else 0.0
        self._on_shortage(
            Shortage(refusal, kind, size, self._total, self.limit, refused.held, held_s)
        )
