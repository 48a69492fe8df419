"""Instances that apply the log at different speeds, and who acts and serves at each moment."""

import random

from hyssopwood.records import (
    FenceRecord,
    Grant,
    GrantedRecord,
    LeaveRecord,
    LogRecord,
    Takeover,
    TicketRecord,
)
from hyssopwood.state import ClusterState, partition_of
from hyssopwood.transitions import apply
from support.memory_log import first_tables, ticket_text
from support.random_records import KEYS, SERVERS, WRITERS, RandomRecords

RARE_ENDS = 0.85


class EntitlementModel:
    """Check that no key has two serving servers and no server two acting coordinators.

    The coordinators follow the rules of the design page: they act once every predecessor in their
    own view has handed over, and their server takes a partition once the coordinator of each
    awaited server has released it for the same token. Permits and leases are left out: a release
    takes effect at once, and a fence ends the fenced incarnation's actions at once.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.records = RandomRecords(seed, server_changes=False)
        self.states = []
        self.state = ClusterState()
        self.position = dict.fromkeys(WRITERS, 0)
        self.acting = {name: set() for name in SERVERS}
        self.given_up = {}
        self.holding = {}
        self.ended = set()
        self.acquired = self.took_over = self.rejected = 0
        self._write("ana", TicketRecord(publisher="ana", text=ticket_text(1, **first_tables())))

    def step(self):
        """Do one random thing and check the guarantees."""
        steps = (self._write_any, self._advance, self._advance, self._act, self._acquire)
        self.random.choice(steps)()
        self._check()

    def view(self, name):
        return self.states[self.position[name]]

    # Records

    def _write(self, writer, body, record_id=None):
        offset = len(self.states)
        record = LogRecord(record_id or f"{writer}:{offset}", writer, body)
        applied = apply(self.state, offset, offset, record)
        self.rejected += bool(applied.rejected)
        before, self.state = self.state, applied.state
        self.states.append(self.state)
        if isinstance(body, FenceRecord):
            for name in before.members.keys() - self.state.members.keys():
                self._end(name)

    def _end(self, name):
        self.ended.add(name)
        for acting in self.acting.values():
            acting.discard(name)

    def _write_any(self):
        record_id, body = self.records.next(self.state)
        writer = record_id.rpartition(":")[0]
        # Ended incarnations never return, so frequent ends would leave nobody to act.
        if isinstance(body, FenceRecord | LeaveRecord) and self.random.random() < RARE_ENDS:
            return
        if isinstance(body, GrantedRecord):
            self._write_granted()
        elif isinstance(body, LeaveRecord):
            self._write_leave(writer)
        else:
            self._write(writer, body)

    def _write_granted(self):
        name = self.random.choice(SERVERS)
        for writer in tuple(self.acting[name]):
            view = self.view(writer)
            grants = tuple(
                Grant(partition=partition, token=owner.token, server=name)
                for partition, owner in view.ownerships.items()
                if self._is_complete(name, partition, owner)
            )
            epoch = view.coordinations[name].epoch
            takeovers = (Takeover(server=name, epoch=epoch),)
            self._write(writer, GrantedRecord(grants=grants, takeovers=takeovers))

    def _is_complete(self, name, partition, owner):
        held = (name, owner.token) in self.holding.get(partition, ())
        if owner.server == name:
            return held
        holds = any(server == name for server, _ in self.holding.get(partition, ()))
        return not owner.server and name in owner.awaiting and not holds

    def _write_leave(self, writer):
        view = self.view(writer)
        coordinates = any(c.incarnation == writer for c in view.coordinations.values())
        if coordinates or any(writer in acting for acting in self.acting.values()):
            return
        stops = self.random.random() < 0.5
        applied = self.position[writer] if stops else -1
        if stops:
            self.ended.add(writer)
        self._write(writer, LeaveRecord(instance=f"n{writer}", incarnation=writer, applied=applied))

    # Instances

    def _advance(self):
        name = self.random.choice(WRITERS)
        behind = len(self.states) - 1 - self.position[name]
        self.position[name] += self.random.randint(0, min(behind, 12))
        for server, acting in self.acting.items():
            if name in acting and not self._is_coordinator(name, server):
                acting.discard(name)

    def _is_coordinator(self, name, server):
        view = self.view(name)
        current = view.coordinations.get(server)
        if current is None or current.incarnation != name or name not in view.members:
            return False
        return current.epoch > self.given_up.get((name, server), -1)

    def _act(self):
        name, server = self.random.choice(WRITERS), self.random.choice(SERVERS)
        if name in self.ended or not self._is_coordinator(name, server):
            return
        current = self.view(name).coordinations[server]
        for previous in current.previous:
            # A predecessor that already knows a newer epoch of its own doesn't hand over.
            view = self.view(previous).coordinations.get(server)
            if view and view.incarnation == previous and view.epoch >= current.epoch:
                return
            self.given_up[previous, server] = max(
                current.epoch, self.given_up.get((previous, server), -1)
            )
            self.acting[server].discard(previous)
        self.took_over += name not in self.acting[server]
        self.acting[server].add(name)

    def _acquire(self):
        server = self.random.choice(SERVERS)
        for name in self.acting[server]:
            for partition, owner in self.view(name).ownerships.items():
                if owner.server != server:
                    continue
                if all(self._release(partition, owner.token, other) for other in owner.awaiting):
                    holders = self.holding.setdefault(partition, set())
                    holders.difference_update({h for h in holders if h[0] == server})
                    holders.add((server, owner.token))
                    self.acquired += 1

    def _release(self, partition, token, server):
        """Return whether the coordinator of an awaited server has released the partition."""
        for name in self.acting[server]:
            owner = self.view(name).ownerships.get(partition)
            if owner is None or owner.token != token or server not in owner.awaiting:
                return False
            holders = self.holding.setdefault(partition, set())
            holders.difference_update({h for h in holders if h[0] == server})
            return True
        return False

    # Guarantees

    def _check(self):
        for server, acting in self.acting.items():
            assert len(acting) <= 1, f"{sorted(acting)} coordinate {server}"
        for key in KEYS:
            serving = {
                server
                for server, acting in self.acting.items()
                for name in acting
                if self._serves(server, self.view(name), key)
            }
            assert len(serving) <= 1, f"{sorted(serving)} serve {key}"

    def _serves(self, server, view, key):
        partition = partition_of(view, "portal", key)
        owner = view.ownerships.get(partition)
        # A server may keep a grant of an earlier life of a hot key; its coordinator ignores it.
        if owner is None or server not in (owner.server, *owner.awaiting):
            return False
        return any(holder == server for holder, _ in self.holding.get(partition, ()))
