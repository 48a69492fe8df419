"""Turns in which connections with very small pieces are read, so that others go first."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hyssopwood.timers import Timers

# Bodies' pieces below this size count as small.
SMALL_PIECE_BYTES = 512
# Small pieces that are parsed in one turn; chunks of one byte took 1.3 ms.
PIECES_PER_TURN = 512
# Cost of one read of a few bytes, in pieces.
READ_PIECES = 16
# Cost of a request behind another one that isn't answered yet, in pieces: 9 may come in a row.
PIPELINED_PIECES = 64
# Turns in a row. Requests that are read in a turn run after it, so its time doesn't include theirs.
TURNS_IN_A_ROW = 4
# Time for all turns in a row, and the least time until the next ones. Other work of the event loop
# gets at least half of the time.
TURNS_S = 0.004
PAUSE_S = 0.005


@define(eq=False)
class ReadTurns:
    """Call the waiting connections in the order in which they asked, for a part of the time."""

    _timers: Timers
    _waiting: dict[Callable[[], None], None] = field(factory=dict, init=False)
    _scheduled: bool = field(default=False, init=False)

    @property
    def waiting(self) -> int:
        """Return how many connections wait."""
        return len(self._waiting)

    def request(self, take_turn: Callable[[], None]) -> None:
        """Call `take_turn` once, in a later turn."""
        self._waiting[take_turn] = None
        self._schedule(PAUSE_S)

    def withdraw(self, take_turn: Callable[[], None]) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(take_turn, None)

    def _schedule(self, delay_s: float) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._timers.call_later(delay_s, self._run)

    def _run(self) -> None:
        self._scheduled = False
        began = self._timers.now()
        left = min(len(self._waiting), TURNS_IN_A_ROW)
        while self._waiting and left and self._timers.now() - began < TURNS_S:
            take_turn = next(iter(self._waiting))
            del self._waiting[take_turn]
            left -= 1
            take_turn()
        if self._waiting:
            self._schedule(max(PAUSE_S, self._timers.now() - began))
