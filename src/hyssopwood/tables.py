"""Tables in plain text."""

from __future__ import annotations

from collections.abc import Sequence

MAX_CELL_CHARACTERS = 120
GAP = "  "


def render_table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows under a heading, each column as wide as its widest cell."""
    table = [list(columns), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[index]) for row in table) for index in range(len(columns))]
    return "\n".join(_line(row, widths) for row in table)


def _cell(value: object) -> str:
    # Control characters from the log must not reach the terminal.
    text = "".join(char if char.isprintable() else "?" for char in str(value)) or "-"
    return text if len(text) <= MAX_CELL_CHARACTERS else text[:MAX_CELL_CHARACTERS] + "..."


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return GAP.join(cells).rstrip()
