"""Processes, leaders and links at random in virtual time, each process repeating all it may."""

import random
from bisect import bisect_right

from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.retry_share import SharedRetries

STEP_S = 0.1
HEARTBEAT_STEPS = 3
# Leaders are replaced once the store hasn't confirmed them for longer than this.
STALE_S = 1.8
# Longest time for which a leader that has lost the store continues.
AUTHORITY_S = 6.8
LATEST_HEARTBEAT_S = 0.9
WINDOW_S = 10.0
RATIO = 0.2
EXTRA = 64.0


class Clock:
    """The timer service's clock."""

    def __init__(self):
        self.time = 1000.0

    def now(self):
        """Return the virtual time."""
        return self.time


class _Process:
    def __init__(self, clock, name, number):
        self.name = name
        self.identity = (name, str(number))
        self.retries = SharedRetries(clock, WINDOW_S, self.identity)
        self.budget = RetryBudget(RATIO, EXTRA, WINDOW_S, self.retries.sharers)
        self.reaches = True
        self.leads = False
        # When the store last confirmed it as the leader.
        self.confirmed_at = float("-inf")
        self.reaches_store = True
        self.linked_to = None
        self.announced = (0, 0)

    def begin_term(self, now):
        self.leads, self.confirmed_at = True, now
        self.retries.begin_term()

    def end_term(self):
        self.leads = False
        self.retries.end_term()


class RetryShareModel:
    """Play one schedule and record the repeats of all processes."""

    def __init__(self, seed, instances, rate_per_s, faults=True):
        self.random = random.Random(seed)
        self.clock = Clock()
        self.names = [f"i{number}" for number in range(instances)]
        self.started = 0
        self.running = {name: self._start(name) for name in self.names}
        self.rate_per_s = rate_per_s
        self.faults = faults
        self.terms = 0
        self.leader = None
        # Leaders that were replaced and don't know it yet.
        self.deposed = []
        # Heartbeats on their way: arrival, sending, receiver, term, count, age of confirmation.
        self.sent = []
        self.first_sends = []
        self.repeats = []
        self.extra_used = 0.0

    def _start(self, name):
        self.started += 1
        return _Process(self.clock, name, self.started)

    def play(self, seconds):
        """Play for some time."""
        for step in range(int(seconds / STEP_S)):
            self.clock.time += STEP_S
            if self.faults:
                self._disturb()
            self._elect()
            self._link()
            if step % HEARTBEAT_STEPS == 0:
                self._send_heartbeats()
            self._deliver()
            for process in self.running.values():
                self._serve(process)

    def _disturb(self):
        chance, processes = self.random.random, list(self.running.values())
        if chance() < 0.03:
            name = self.random.choice(self.names)
            if chance() < 0.5 and self.leader is not None and self.leader.name in self.running:
                name = self.leader.name
            self._unlink(self.running[name])
            self.running[name] = self._start(name)
        if chance() < 0.02:
            share = self.random.choice((0.2, 1.0))
            for process in processes:
                process.reaches = chance() >= share
        if chance() < 0.05:
            for process in processes:
                process.reaches = True
        if chance() < 0.03:
            process = (
                self.leader if chance() < 0.7 and self.leader else self.random.choice(processes)
            )
            process.reaches_store = not process.reaches_store

    def _is_running(self, process):
        return self.running.get(process.name) is process

    def _elect(self):
        now = self.clock.time
        leading = [item for item in (self.leader, *self.deposed) if item and item.leads]
        for process in leading:
            if process is self.leader and process.reaches_store and self._is_running(process):
                process.confirmed_at = now
            replaced = process is not self.leader and process.reaches_store
            if replaced or now - process.confirmed_at > AUTHORITY_S:
                process.end_term()
        self.deposed = [item for item in self.deposed if item.leads and self._is_running(item)]
        leader = self.leader
        if leader is not None and leader.leads and self._is_running(leader):
            if now - leader.confirmed_at < STALE_S:
                return
            if leader not in self.deposed:
                self.deposed.append(leader)
        candidates = [item for item in self.running.values() if item.reaches_store]
        if not candidates or self.random.random() < 0.9:
            return
        self.leader = self.random.choice(candidates)
        if self.leader in self.deposed:
            self.deposed.remove(self.leader)
        self.terms += 1
        self.leader.begin_term(now)

    def _unlink(self, process):
        if process.linked_to is not None:
            process.linked_to.retries.handle_link(process.identity, False)
            process.linked_to = None

    def _link(self):
        for process in self.running.values():
            to = process.linked_to
            if to is not None:
                cut = not (process.reaches and to.reaches)
                if cut or not to.leads or not self._is_running(to) or process.leads:
                    self._unlink(process)
            leader = self.leader
            if process.linked_to is None and leader is not None and leader is not process:
                ends = process.reaches and leader.reaches and self._is_running(leader)
                if ends and leader.leads and not process.leads and self.random.random() < 0.3:
                    process.linked_to = leader
                    leader.retries.handle_link(process.identity, True)

    def _send_heartbeats(self):
        now = self.clock.time
        for process in self.running.values():
            if process.leads:
                process.announced = process.retries.announce(now - process.confirmed_at)
        for process in self.running.values():
            leader = process.linked_to
            if leader is not None and leader.leads:
                late_s = LATEST_HEARTBEAT_S * self.random.random() ** 4
                arrival = max(
                    [now + late_s, *(item[0] for item in self.sent if item[2] is process)]
                )
                age_s = now - leader.confirmed_at
                beat = (arrival, now, process, *leader.announced, age_s)
                self.sent.append(beat)

    def _deliver(self):
        now = self.clock.time
        for beat in [item for item in self.sent if item[0] <= now]:
            self.sent.remove(beat)
            _, sent_at, process, term, count, age_s = beat
            process.retries.record(term, count, now - sent_at, now - sent_at + age_s)

    def _serve(self, process):
        now = self.clock.time
        for _ in range(self._requests()):
            self.first_sends.append(now)
            process.budget.record_send(now)
        while process.budget.try_consume(now):
            self.repeats.append(now)

    def _requests(self):
        mean = self.rate_per_s * STEP_S / len(self.names)
        return int(mean) + (self.random.random() < mean % 1)

    def worst_excess(self, ratio, extra):
        """Return by how much the repeats of any window exceed the allowance; negative if not."""
        worst = float("-inf")
        for end in sorted(set(self.repeats)):
            starts = (end - WINDOW_S, end - 1.5 * WINDOW_S, end - 2 * WINDOW_S)
            requests = max(_count(self.first_sends, start) for start in starts)
            worst = max(worst, _count(self.repeats, starts[0]) - ratio * requests - extra)
        return worst


def _count(times, start):
    return bisect_right(times, start + WINDOW_S) - bisect_right(times, start)
