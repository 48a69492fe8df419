"""Random log records from a seed; many of them are invalid."""

import random

from hyssopwood.records import (
    CoordinatorChange,
    FenceRecord,
    Grant,
    GrantedRecord,
    HotKey,
    JoinRecord,
    LeaveRecord,
    Move,
    PlannerRecord,
    PlanRecord,
    ServerStatus,
    Takeover,
    TicketRecord,
    VotersCommittedRecord,
    VotersProposedRecord,
)
from support.memory_log import server, ticket_text

KEYS = ("wolf", "lynx", "hare", "bear")
SERVERS = ("a", "b", "c")
WRITERS = tuple(f"i{number}" for number in range(1, 9))


class RandomRecords:
    """Choose records that fit the state often enough to change it."""

    def __init__(self, seed, server_changes=True):
        self.random = random.Random(seed)
        self.server_changes = server_changes
        self.sequence = 0

    def next(self, state):
        """Return a record id and a body."""
        self.sequence += 1
        makers = (
            self._plan,
            self._plan,
            self._plan,
            self._granted,
            self._granted,
            self._join,
            self._leave,
            self._planner,
            self._fence,
            self._voters,
            self._ticket,
        )
        writer, body = self.random.choice(makers)(state)
        repeated = self.random.random() < 0.05
        return f"{writer}:{self.sequence - repeated}", body

    def _writer(self):
        return self.random.choice(WRITERS)

    def _planner_name(self, state):
        return state.planner or self._writer()

    def _some(self, names, most):
        return tuple(self.random.sample(names, self.random.randint(1, most)))

    def _partition(self):
        if self.random.random() < 0.3:
            return f"portal={self.random.choice(KEYS)}"
        return f"portal/{self.random.randrange(5)}"

    def _plan(self, state):
        hot_key = HotKey(service="portal", key=self.random.choice(KEYS))
        name = self.random.choice(SERVERS)
        body = PlanRecord(
            epoch=state.planner_epoch,
            coordinators=(CoordinatorChange(server=name, incarnation=self._writer()),),
            moves=tuple(
                Move(partition=self._partition(), target=self.random.choice((*SERVERS, "")))
                for _ in range(self.random.randrange(4))
            ),
            hot_keys_added=(hot_key,) if self.random.random() < 0.4 else (),
            hot_keys_removed=(hot_key,) if self.random.random() < 0.4 else (),
            server_status=(ServerStatus(server=name, status=self.random.choice(("up", "down"))),),
        )
        return self._planner_name(state), body

    def _granted(self, state):
        partitions = list(state.ownerships) or ["portal/0"]
        partition = self.random.choice(partitions)
        owner = state.ownerships.get(partition)
        name = owner.server if owner and owner.server else self.random.choice(SERVERS)
        current = state.coordinations.get(name)
        body = GrantedRecord(
            grants=(Grant(partition=partition, token=owner.token if owner else 0, server=name),),
            takeovers=(Takeover(server=name, epoch=current.epoch if current else 0),),
        )
        return current.incarnation if current else self._writer(), body

    def _join(self, state):
        name = self._writer()
        body = JoinRecord(
            instance=f"n{name}",
            incarnation=name,
            peer_address="127.0.0.1:1",
            http_address="127.0.0.1:2",
            failure_domain="a",
        )
        return name, body

    def _leave(self, state):
        name = self._writer()
        return name, LeaveRecord(instance=f"n{name}", incarnation=name, applied=state.applied)

    def _planner(self, state):
        name = self._writer()
        epoch = state.planner_epoch
        return name, PlannerRecord(instance=f"n{name}", incarnation=name, previous_epoch=epoch)

    def _fence(self, state):
        absent = self.random.random() < 0.2
        name = self._writer() if self.random.random() < 0.5 else f"x{self.sequence}"
        body = FenceRecord(
            instance="n", incarnation=name, attesters=self._some(WRITERS, 5), absent=absent
        )
        return self._planner_name(state), body

    def _voters(self, state):
        epoch = state.planner_epoch
        voters = self._some(list(state.members) or WRITERS, min(3, len(state.members) or 1))
        if self.random.random() < 0.5:
            return self._planner_name(state), VotersProposedRecord(epoch=epoch, voters=voters)
        acks = (*state.voters, *state.pending_voters)
        return self._planner_name(state), VotersCommittedRecord(epoch=epoch, acks=acks)

    def _ticket(self, state):
        number = state.ticket_number + self.random.choice((1, 1, 1, 0, 2))
        name = self.random.choice((*SERVERS, "e"))
        choices = [
            {"limits": {"portal": {"queue": self.random.randint(-1, 50)}}},
            {"ownership": {"portal": {self.random.choice(KEYS): name}}},
        ]
        if self.server_changes:
            choices.append({"servers": {name: None}})
            choices.append({"servers": {name: server(9_000 + self.random.randrange(4))}})
        tables = self.random.choice(choices)
        return f"cli{self.sequence}", TicketRecord(
            publisher="ana", text=ticket_text(number, **tables)
        )
