"""Keepers that admit all they may to one cold server while processes and links fail at random."""

import random
from collections import defaultdict

from attrs import frozen

from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord, InstanceUpdate
from hyssopwood.gateway.queue_messages import QueueName
from hyssopwood.gateway.token_bucket import SlidingWindow, TokenBucket
from hyssopwood.gateway.warmup import MAX_ADMISSION_AGE_S, SettledRank, cold_limit

STEP_S = 0.05
HEARTBEAT_STEPS = 6
LATEST_MESSAGE_S = 0.9
LINK_SILENCE_S = 0.95
# Silence after which an instance that reaches the store claims to lead.
LEADER_SILENCE_S = 1.15
LEADER_STALE_S = 1.8
RELINK_S = 2.0
AUTHORITY_S = 6.8
LATEST_GRANT_S = 1.2
WINDOW_S = 1.0
WARMUP_PER_S, OVERAGE, SLACK = 5.3, 1.5, 8.0
BOUND = WARMUP_PER_S * OVERAGE + SLACK
LIMIT = cold_limit(WARMUP_PER_S, OVERAGE, SLACK)
UNDISTURBED_S = 10.0
SCHEDULE_S = 10.0
MAX_PROCESSES = 8
ALL_GUARDS = frozenset({"first", "source", "former", "window", "late"})


@frozen
class Faults:
    """Chances of each fault in a step, and into how many groups partitions divide the instances."""

    parted: float
    joined: float
    store: float
    restarts: float
    starts: float
    breaks: float
    groups: int


# Few faults of all kinds; processes that start and end; partitions during which the store is
# reached by one group after the other, so that leaders overlap.
SCHEDULES = (
    Faults(0.004, 0.01, 0.006, 0.003, 0.003, 0.01, 3),
    Faults(0.0, 0.0, 0.0, 0.01, 0.01, 0.01, 1),
    Faults(0.01, 0.004, 0.04, 0.001, 0.001, 0.0, 5),
)


class Clock:
    """The timer service's clock."""

    def __init__(self):
        self.time = 1000.0

    def now(self):
        """Return the virtual time."""
        return self.time


class _Process:
    """An instance's process with its list, its rank and its window for the server."""

    def __init__(self, clock, name, group, guards):
        self.name, self.group, self.alive = name, group, True
        self.record = InstanceRecord(name, name, "a")
        self.instances = InstanceList(self.record)
        self.rank = SettledRank(clock, self.instances, self.record)
        self.window = SlidingWindow(LIMIT.count, LIMIT.window_s)
        if "window" not in guards:
            self.window = TokenBucket(WARMUP_PER_S, clock.time)
        self.greedy = True
        self.link = None
        self.term = 0
        # As a leader: when the store last confirmed it, its links and unsent changes of its list.
        self.leads = False
        self.confirmed_at = float("-inf")
        self.keep_until = float("-inf")
        self.links = []
        self.changes = {}


class _Link:
    """A follower's link to a leader; messages arrive in order."""

    def __init__(self, follower, leader, now):
        self.follower, self.leader = follower, leader
        self.term = leader.term
        self.messages = []
        self.heard_at = now
        self.last_arrival = now


class ColdServerModel:
    """Play one schedule and record the requests that are sent to the cold server."""

    def __init__(self, seed, guards):
        self.random = random.Random(seed)
        self.faults = SCHEDULES[seed % len(SCHEDULES)]
        self.guards = guards
        self.clock = Clock()
        self.queue = QueueName("portal", "a", f"s{seed}", 1)
        # Time of each send and the term of the leader that its keeper follows.
        self.sends = []
        self.terms = 1
        self.started = 0
        self.store_group = 0
        self.processes = [self._start(0) for _ in range(self.random.randint(3, 6))]
        self.current = self.processes[0]
        self._begin_undisturbed()

    def _start(self, group):
        self.started += 1
        return _Process(self.clock, f"i{self.started}", group, self.guards)

    def _begin_undisturbed(self):
        """Let all instances have followed the first one for long."""
        now = self.clock.time
        records = tuple(item.record for item in self.processes)
        for item in self.processes:
            item.instances.apply(InstanceUpdate(records, complete=True))
        leader = self.current
        leader.leads, leader.term, leader.confirmed_at = True, 1, now
        for item in self.processes[1:]:
            self._open_link(item, leader, first=False)
            self._record_contact(item, item.link, 0.0, 0.0)
        self._record_contact(leader, 1, 0.0, 0.0)
        for item in self.processes:
            item.term = 1
            item.rank._in_contact_since = now - UNDISTURBED_S

    def play(self, seconds):
        """Play for some time."""
        for step in range(int(seconds / STEP_S)):
            self.clock.time += STEP_S
            self._disturb()
            self._claim()
            self._follow()
            if step % HEARTBEAT_STEPS == 0:
                for leader in [item for item in self.processes if item.leads]:
                    self._lead(leader)
            self._deliver()
            for process in self.processes:
                self._admit(process)

    def _disturb(self):
        chance, faults = self.random.random, self.faults
        if chance() < faults.parted:
            for process in self.processes:
                process.group = self.random.randrange(faults.groups)
        if chance() < faults.joined:
            for process in self.processes:
                process.group = 0
            self.store_group = 0
        if chance() < faults.store:
            # Often the store is reached by others than the leader.
            self.store_group = self.random.randrange(-1, faults.groups)
        if chance() < faults.breaks:
            self._end_links(self.random.choice(self.processes))
        if chance() < faults.restarts:
            self._restart(self.random.randrange(len(self.processes)))
        if chance() < faults.starts and len(self.processes) < MAX_PROCESSES:
            self.processes.append(self._start(self.random.randrange(faults.groups)))

    def _restart(self, index):
        old = self.processes[index]
        old.alive = old.leads = False
        self._end_links(old)
        new = _Process(self.clock, old.name, old.group, self.guards)
        self.processes[index] = new

    def _end_links(self, process):
        if process.link is not None:
            self._close_link(process.link)
        for link in list(process.links):
            self._close_link(link)

    def _close_link(self, link):
        link.follower.link = None
        if link in link.leader.links:
            link.leader.links.remove(link)

    def _claim(self):
        now = self.clock.time
        if now - self.current.confirmed_at < LEADER_SILENCE_S or self.random.random() < 0.7:
            return
        able = [item for item in self.processes if item.group == self.store_group]
        able = [item for item in able if not item.leads]
        if not able:
            return
        self.current = leader = self.random.choice(able)
        self._end_links(leader)
        self.terms += 1
        leader.leads, leader.term, leader.confirmed_at = True, self.terms, now
        leader.keep_until = now + RELINK_S
        leader.changes = {}
        self._lead(leader)

    def _follow(self):
        now, chance = self.clock.time, self.random.random
        for process in self.processes:
            link = process.link
            if link is not None:
                silent = now - link.heard_at > LINK_SILENCE_S
                ended = not link.leader.leads and link.leader.group == process.group
                stale = now - link.leader.confirmed_at > LEADER_STALE_S and chance() < 0.1
                if silent or ended or stale:
                    self._close_link(link)
            if process.link is None and not process.leads and chance() < 0.3:
                leaders = [
                    item for item in self.processes if item.leads and item.group == process.group
                ]
                if leaders:
                    self._open_link(process, self.random.choice(leaders))

    def _open_link(self, process, leader, first=True):
        now = self.clock.time
        process.link = link = _Link(process, leader, now)
        leader.links.append(link)
        if first:
            self._change(leader, InstanceUpdate((process.record,)))
            whole = InstanceUpdate(leader.instances.records(), complete=True)
            self._send(link, whole)
            self._send(link, (now, leader.confirmed_at))

    def _change(self, leader, update):
        if leader.instances.apply(update):
            leader.changes |= {record.instance: record for record in update.present}
            leader.changes |= dict.fromkeys(update.removed)

    def _record_contact(self, process, source, *ages):
        process.rank.record_contact(source if "source" in self.guards else None, *ages)

    def _send(self, link, message):
        delay_s = LATEST_MESSAGE_S * self.random.random() ** 4
        link.last_arrival = max(link.last_arrival, self.clock.time + delay_s)
        link.messages.append((link.last_arrival, message))

    def _lead(self, leader):
        now = self.clock.time
        if leader.group == self.store_group:
            if leader is not self.current:
                self._resign(leader)
                return
            leader.confirmed_at = now
        if now - leader.confirmed_at > AUTHORITY_S:
            self._resign(leader)
            return
        age_s = now - leader.confirmed_at
        if age_s >= LEADER_STALE_S:
            leader.keep_until = now + RELINK_S
        for link in leader.links:
            self._send(link, (now, leader.confirmed_at))
        self._record_contact(leader, leader.term, 0.0, age_s)
        for link in list(leader.links):
            if link.follower.group != leader.group and now - link.heard_at > LINK_SILENCE_S:
                leader.links.remove(link)
        if now >= leader.keep_until:
            linked = {link.follower.name for link in leader.links}
            others = (record.instance for record in leader.instances.others())
            gone = tuple(name for name in others if name not in linked)
            self._change(leader, InstanceUpdate((), gone))
        if leader.changes:
            present = tuple(record for record in leader.changes.values() if record is not None)
            removed = tuple(name for name, record in leader.changes.items() if record is None)
            leader.changes = {}
            for link in leader.links:
                self._send(link, InstanceUpdate(present, removed))

    def _resign(self, leader):
        leader.leads = False
        for link in list(leader.links):
            self._close_link(link)

    def _deliver(self):
        now = self.clock.time
        for process in self.processes:
            link = process.link
            if link is None or link.leader.group != process.group:
                continue
            while link.messages and link.messages[0][0] <= now:
                _, message = link.messages.pop(0)
                link.heard_at = now
                if isinstance(message, InstanceUpdate):
                    process.instances.apply(message)
                else:
                    sent_at, confirmed_at = message
                    process.term = link.term
                    self._record_contact(process, link, now - sent_at, now - confirmed_at)

    def _may_admit(self, process):
        if "former" not in self.guards:
            process.rank._former.clear()
        if "first" in self.guards:
            return process.rank.is_settled_first(self.queue)
        return process.rank._in_contact_since < float("inf")

    def _admit(self, process):
        now, chance = self.clock.time, self.random.random
        if chance() < 0.01:
            process.greedy = not process.greedy
        if not process.greedy or not self._may_admit(process):
            return
        while process.window.tokens(now) >= 1:
            process.window.take(now)
            in_time = chance() < 0.6
            delay_s = chance() * (MAX_ADMISSION_AGE_S if in_time else LATEST_GRANT_S)
            if delay_s <= MAX_ADMISSION_AGE_S or "late" not in self.guards:
                self.sends.append((now + delay_s, process.term))

    def worst_counts(self):
        """Return the most requests in any second, in all and of the keepers under one leader."""
        by_term = defaultdict(list)
        for at, term in self.sends:
            by_term[term].append(at)
        of_all = _most([at for at, _ in self.sends])
        return of_all, max(map(_most, by_term.values()), default=0)


def _most(times):
    times.sort()
    worst = first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def run_schedules(first, count, guards=ALL_GUARDS, seconds=SCHEDULE_S):
    """Play schedules; return those that exceed a bound, and the largest counts and the sends."""
    exceeded, largest, sends = [], (0, 0), 0
    for seed in range(first, first + count):
        model = ColdServerModel(seed, guards)
        model.play(seconds)
        of_all, of_leader = model.worst_counts()
        if of_all > BOUND or of_leader > LIMIT.count:
            exceeded.append((seed, of_all, of_leader))
        largest = max(largest[0], of_all), max(largest[1], of_leader)
        sends += len(model.sends)
    return exceeded, largest, sends
