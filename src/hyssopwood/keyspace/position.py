"""Positions in the store's plan partition, which stay in order when the store is restored.

A store that was restored from an older copy assigns offsets again, under a higher era. A position
has the era in its high bits, so a later position is always greater. Fencing tokens are positions.
"""

from __future__ import annotations

# Bits of an offset; with eras up to HIGHEST_ERA every position is exact in a JSON number.
ERA_SHIFT = 40
HIGHEST_ERA = 2**13 - 1


def position_at(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << ERA_SHIFT) + offset


def era_of(position: int) -> int:
    """Return the era of a position, or -1 for a position before the first era."""
    return position >> ERA_SHIFT


def offset_of(position: int) -> int:
    """Return the offset of a position within its era."""
    return position & ((1 << ERA_SHIFT) - 1)
