"""A recorder whose records a test can read."""

from hyssopwood_standins.recorder import Recorder


class MemoryRecorder(Recorder):
    """Keep the records in a list."""

    def __init__(self, **common):
        super().__init__(None, **common)
        self.records = []

    def write(self, kind, t, **fields):
        self.records.append({"type": kind, "t": t, **self._common, **fields})
