"""Count refused and failed requests in gateway logs by route, cause, detail, server and second."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import define, field

sys.path.insert(0, str(Path(__file__).parent.parent / "src"))

from hyssopwood.events import Event  # noqa: E402
from hyssopwood.explain import LogLine, read_lines  # noqa: E402

LOST_REQUEST_EVENTS = frozenset(
    {Event.REQUEST_REFUSED.value.number, Event.REQUEST_UNKNOWN.value.number}
)
MAX_TABLE_ROWS = 25


@define
class Losses:
    """Counts of lost requests."""

    first_line_at: float = float("inf")
    causes: Counter[tuple[str, str]] = field(factory=Counter)
    seconds: dict[str, Counter[int]] = field(factory=dict)
    servers: Counter[tuple[str, str]] = field(factory=Counter)
    details: Counter[tuple[str, str]] = field(factory=Counter)

    def add(self, lines: Iterable[LogLine]) -> None:
        """Count the lost requests of log lines in any order."""
        lost = []
        for line in lines:
            self.first_line_at = min(self.first_line_at, line.time)
            if line.event in LOST_REQUEST_EVENTS and "cause" in line.fields:
                lost.append(line)
        for line in lost:
            route = str(line.fields.get("route", line.fields.get("target", "-")))
            cause = str(line.fields["cause"])
            self.causes[(route, cause)] += 1
            self.seconds.setdefault(cause, Counter())[int(line.time - self.first_line_at)] += 1
            self.servers[(cause, str(line.fields.get("server", "")))] += 1
            self.details[(cause, _generalize(str(line.fields.get("detail", ""))))] += 1


def _generalize(detail: str) -> str:
    """Replace words that contain digits, so that details of different requests compare equal."""
    words = ("_" if any(char.isdigit() for char in word) else word for word in detail.split())
    return " ".join(words)


def _table(title: str, counts: Counter[tuple[str, str]]) -> Iterator[str]:
    yield f"\n{title}"
    for (first, second), count in counts.most_common(MAX_TABLE_ROWS):
        yield f"{count:7d}  {first:20s} {second}"


def report(losses: Losses) -> str:
    """Return the tables of lost requests as text."""
    total = sum(losses.causes.values())
    lines = [f"{total} requests refused or failed"]
    lines += _table("by route and cause", losses.causes)
    lines += _table("by cause and detail", losses.details)
    lines += _table("by cause and last server", losses.servers)
    lines.append("\nby second since the first line, and cause")
    for second in sorted({second for counts in losses.seconds.values() for second in counts}):
        found = {cause: counts[second] for cause, counts in losses.seconds.items()}
        shown = " ".join(f"{cause}={count}" for cause, count in sorted(found.items()) if count)
        lines.append(f"{second:4d}  {sum(found.values()):6d}  {shown}")
    return "\n".join(lines)


def main() -> int:
    """Print tables of the lost requests in the given log files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path, help="files of log lines")
    losses = Losses()
    losses.add(read_lines(parser.parse_args().logs))
    print(report(losses))
    return 0


if __name__ == "__main__":
    sys.exit(main())
