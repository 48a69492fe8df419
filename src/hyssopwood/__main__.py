"""Entry point of `python -m hyssopwood` and of the console script."""

from __future__ import annotations

import sys

from hyssopwood.cli import run


def main() -> None:
    """Run one command and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
