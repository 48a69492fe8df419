"""Run an entry instance and count its peer messages by type, for `capacity.py`.

Usage: `python -m capacity_probe COUNTS_FILE entry --settings FILE`.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from hyssopwood import cli, peer_link
from hyssopwood.messages import Envelope

WRITE_INTERVAL_S = 0.5


class MessageCounts:
    """Count peer messages and their bytes, excluding TCP and IP headers."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._frame = peer_link.frame
        self._decode = peer_link.decode

    def install(self) -> None:
        """Wrap the two functions that encode and decode every peer message."""
        peer_link.frame = self._count_sent
        peer_link.decode = self._count_received

    def write(self, path: Path) -> None:
        """Write the counts atomically, so that a reader never sees a partial file."""
        temporary_path = path.with_suffix(".part")
        temporary_path.write_text(
            json.dumps({"at": time.monotonic(), "counts": dict(self._counts)})
        )
        os.replace(temporary_path, path)

    def _count_sent(self, envelope: Envelope) -> bytes:
        data = self._frame(envelope)
        self._add("sent", type(envelope.body).__name__, len(data))
        return data

    def _count_received(self, data: bytes) -> Envelope:
        envelope = self._decode(data)
        size = len(data) + peer_link.LENGTH_BYTES
        self._add("received", type(envelope.body).__name__, size)
        return envelope

    def _add(self, direction: str, kind: str, size: int) -> None:
        self._counts[f"{direction}.messages.{kind}"] += 1
        self._counts[f"{direction}.bytes.{kind}"] += size


def _write_forever(counts: MessageCounts, path: Path) -> None:
    while True:
        time.sleep(WRITE_INTERVAL_S)
        counts.write(path)


def main() -> None:
    """Run one command of `hyssopwood` and write its message counts to a file."""
    counts = MessageCounts()
    counts.install()
    target = (counts, Path(sys.argv[1]))
    threading.Thread(target=_write_forever, args=target, daemon=True).start()
    sys.exit(cli.run(sys.argv[2:]))


if __name__ == "__main__":
    main()
