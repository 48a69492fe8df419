"""Append records as JSON lines to a file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, TextIO


class Recorder:
    """Write one JSON object per line, flushed at once so that SIGKILL loses no record."""

    def __init__(self, path: Path | None, **common: Any) -> None:
        self._common = common
        self._file: TextIO | None = None
        if path is not None:
            self._file = path.open("a", encoding="utf-8", buffering=1)

    def write(self, kind: str, t: float, **fields: Any) -> None:
        """Write a record; `t` is time.monotonic(), which all processes of a machine share."""
        if self._file is None:
            return
        record = {"type": kind, "t": t, **self._common, **fields}
        self._file.write(json.dumps(record) + "\n")

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None
