"""Script commands for idempotency records, suspects and learned durations."""

from hyssopwood import idempotency
from hyssopwood.durations import Durations
from hyssopwood.idempotency import Begun, IdempotencyRecords, Stored
from hyssopwood.messages import SuspectReport
from hyssopwood.poison import Suspects
from support.request_script import Script

WINDOW_S = 60
BOUND = 100


class KeyScript(Script):
    def set_up(self):
        self.records = IdempotencyRecords(self.timers, WINDOW_S, BOUND)

    def begin(self, digest, request_id, key="k"):
        self.result = self.records.begin("portal", key, int(digest), request_id)

    def begin_key(self, key):
        self.begin(1, "i3.1#0", key)

    def answer(self, size, key="k"):
        self.records.finish("portal", key, 200, b"x" * int(size))

    def unknown(self, attempt="i1.1#0"):
        self.records.mark_unknown("portal", "k", attempt)

    def not_run(self, attempt="i1.1#0"):
        self.records.abandon("portal", "k", attempt)

    def copy(self):
        copies = list(self.records.export("s1"))
        self.set_up()
        self.records.import_copies(copies)
        self.records.take_over()

    def late_copy(self, size):
        beginning = self.records.copy_of("s1", "portal", "k")
        self.answer(size)
        copies = [*self.records.export("s1"), beginning]
        self.set_up()
        self.records.import_copies(copies)

    def lose(self):
        self.set_up()
        self.records.distrust_until(self.timers.now() + WINDOW_S)

    def fill(self):
        limit, idempotency.MAX_STORED_BYTES = idempotency.MAX_STORED_BYTES, 1_000_000
        for number in range(BOUND):
            self.begin_key(f"k{number}")
            self.answer(16_000, f"k{number}")
        idempotency.MAX_STORED_BYTES = limit

    def bounded(self, count, size):
        assert len(self.records) == int(count)
        assert 0 < self.records.stored_bytes <= int(size)

    def is_(self, expected):
        kinds = {Begun: "begun", Stored: "stored"}
        found = kinds.get(type(self.result)) or self.result.reason.value
        assert found == expected, self.result


class SuspectScript(Script):
    def set_up(self):
        self.suspects = Suspects(self.timers, WINDOW_S, BOUND)

    def crash(self, *groups):
        for group in groups:
            self.suspects.record_crash("s1", [int(digest) for digest in group.split("+")])

    def report(self, *groups):
        for group in (group.split("+") for group in groups):
            for digest in group:
                self.suspects.merge(SuspectReport(int(digest), "s2", 1 / len(group), False))

    def clear(self, digest):
        self.suspects.merge(SuspectReport(int(digest), "s2", 0.0, True))

    def others(self, count):
        self.crash(*(str(1000 + number) for number in range(int(count))))

    def guilty(self, expected):
        found = [digest for digest in range(10) if self.suspects.quarantined_s(digest)]
        assert found == ([] if expected == "none" else [int(expected)]), found


class DurationScript(Script):
    def set_up(self):
        self.durations = Durations(self.timers, max_operations=40)
        self.record(90, 10)
        self.record(10, 2000)

    def record(self, count, ms, operation="read"):
        for _ in range(int(count)):
            self.durations.record("portal", operation, int(ms) / 1000)

    def names(self, count):
        for number in range(int(count)):
            self.record(1, 10, f"new-{number}")

    def mean(self, low, high):
        self._between(self.durations.mean("portal", "read"), low, high)

    def high(self, low, high):
        self._between(self.durations.high("portal", "read"), low, high)

    def left_after(self, ms, low, high):
        self._between(self.durations.residual("portal", "read", int(ms) / 1000), low, high)

    def named(self, work_class):
        declared = "short" if work_class == "long" else "long"
        assert self.durations.classify("portal", "read", declared) == work_class

    def _between(self, seconds, low_ms, high_ms):
        assert int(low_ms) <= seconds * 1000 <= int(high_ms), f"{seconds * 1000} ms"
