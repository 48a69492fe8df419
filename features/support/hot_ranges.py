"""Simulation of keys that become hot, against the placement alone."""

import random
from bisect import bisect_right

from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.placement import CandidateServer, plan_moves
from hyssopwood.keyspace.plan import KEY_COUNT, KeyRange, assign, divide_evenly

SERVICE = "p"
# Interval of the leader's placement rounds, each with the reports since the last one.
ROUND_S = 0.25
HOT_AT_S = 4.0
HOT_FOR_S = 5.0
SPAN_S = 14.0
SPEEDS = (0.5, 1.0, 1.0, 1.5)
# Keys in use besides the hot ones, and how uneven they are.
KEYS = 4000
SKEW = 0.67


class _Clock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class HotRange:
    """Servers of differing speed, and adjacent keys that receive a share of all requests."""

    def __init__(self, seed, servers, slots, work_s, rate, share, count):
        self.rng = random.Random(seed)
        self.clock = _Clock()
        self.load = KeyLoad(self.clock)
        self.rate, self.share, self.count = rate, share, count
        incarnations = [(f"s{number}", 1) for number in range(servers)]
        speeds = {
            incarnation: SPEEDS[index % len(SPEEDS)]
            for index, incarnation in enumerate(incarnations)
        }
        for incarnation, speed in speeds.items():
            self.load.record_answer_time(incarnation, work_s / speed)
        self.slots = slots
        self.capacity = {
            incarnation: slots * speed / work_s for incarnation, speed in speeds.items()
        }
        self.parts = divide_evenly(tuple(incarnations), 1)
        self.keys = [self.rng.randrange(KEY_COUNT) for _ in range(KEYS)]
        self.weights = [1 / (rank + 1) ** SKEW for rank in range(KEYS)]
        self.first_hot = self.rng.randrange(KEY_COUNT - count)
        self.moved = 0

    @property
    def hot_rate(self):
        return self.rate * self.share

    def _is_hot(self):
        return HOT_AT_S <= self.clock.time < HOT_AT_S + HOT_FOR_S

    def _arrive(self):
        """Count the requests of one round."""
        for _ in range(int(self.rate * ROUND_S * 2)):
            if self.rng.random() >= 0.5:
                continue
            if self._is_hot() and self.rng.random() < self.share:
                key = self.first_hot + self.rng.randrange(self.count)
            else:
                (key,) = self.rng.choices(self.keys, self.weights)
            self.load.record_requests(SERVICE, key, 1)

    def _true_rates(self):
        firsts = [part.first for part in self.parts]
        rates = dict.fromkeys(self.capacity, 0.0)
        base = self.rate * (1 - self.share if self._is_hot() else 1) / sum(self.weights)
        for key, weight in zip(self.keys, self.weights, strict=True):
            rates[self.parts[bisect_right(firsts, key) - 1].incarnation] += base * weight
        if self._is_hot():
            for key in range(self.first_hot, self.first_hot + self.count):
                incarnation = self.parts[bisect_right(firsts, key) - 1].incarnation
                rates[incarnation] += self.hot_rate / self.count
        return rates

    def _place(self):
        load = self.load.load_map(SERVICE)
        rates, sizes = dict.fromkeys(self.capacity, 0.0), dict.fromkeys(self.capacity, 0)
        for part in self.parts:
            rates[part.incarnation] += load.rate(part.first, part.last)
            sizes[part.incarnation] += part.size
        candidates = tuple(
            CandidateServer(
                incarnation,
                rates[incarnation],
                self.slots * self.load.speed(incarnation, 0.0),
                sizes[incarnation],
            )
            for incarnation in self.capacity
        )
        for move in plan_moves(self.parts, candidates, load):
            self.moved += move.last - move.first + 1
            keys = KeyRange(move.first, move.last, *move.target, 2)
            self.parts = assign(self.parts, keys)

    def play(self):
        """Return the requests in excess of their servers' capacity since the load rose."""
        excess = 0.0
        while self.clock.time < SPAN_S:
            self._arrive()
            self.clock.time += ROUND_S
            if self.clock.time > HOT_AT_S:
                rates = self._true_rates()
                excess += ROUND_S * sum(
                    max(0.0, rates[incarnation] - self.capacity[incarnation])
                    for incarnation in self.capacity
                )
            self._place()
        return excess
