"""Coordinators of the backend servers that the log assigns to this instance."""

from __future__ import annotations

from attrs import define

from hyssopwood.errors import AuthorityLostError, HyssopwoodError
from hyssopwood.events import Event, emit
from hyssopwood.messages import (
    PermitCancel,
    PermitReply,
    PermitRequest,
    PermitReturn,
    ReleaseQuery,
    ReleaseReply,
    ServerReleaseQuery,
    ServerReleaseReply,
    ServerUsage,
)
from hyssopwood.outcomes import Reason
from hyssopwood.ownership_parts import Parts
from hyssopwood.permit_issuer import OUTCOME_UNKNOWN, PermitIssuer, refusal
from hyssopwood.permits import Permit, PermitBook
from hyssopwood.records import Grant, GrantedRecord, Takeover
from hyssopwood.server_coordinator import (
    CLEARANCE_RETRY_S,
    LEAVING,
    RELEASE_POLL_S,
    ServerCoordinator,
    ServerRecords,
)
from hyssopwood.session import lease_margin_s
from hyssopwood.state import NO_EPOCH, ClusterState
from hyssopwood.ticket import Server, ServiceLimits
from hyssopwood.usage_meter import UsageMeter
from hyssopwood.waiting import TaskGroup

MAX_GRANTS_PER_RECORD = 2_000
GRANT_RECORD_INTERVAL_S = 0.02
GRANT_RECORD_RETRY_S = 0.25
HAND_OVER_CHECK_S = 0.05
CATCH_UP_S = 0.1
RESTART_S = 0.5


@define(eq=False)
class _Active:
    """One coordinated server."""

    coordinator: ServerCoordinator
    issuer: PermitIssuer


class Coordinators:
    """Run one coordinator for each server that the state assigns to this incarnation."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._records: dict[str, ServerRecords] = {}
        self._active: dict[str, _Active] = {}
        # Epochs up to which servers were handed over; no older one is acted on again.
        self._given_up: dict[str, int] = {}
        # Epochs of the coordinators that have got the records of a server.
        self._passed: dict[str, int] = {}
        self._tasks = TaskGroup()
        self._leaving = False
        parts.peers.on(PermitRequest, self._on_permit_request)
        parts.peers.on(PermitReturn, self._on_permit_return)
        parts.peers.on(PermitCancel, self._on_permit_cancel)
        parts.peers.on(ReleaseQuery, self._on_release_query)
        parts.peers.on(ServerReleaseQuery, self._on_server_release_query)
        parts.peers.on_lost(self._on_peer_lost)

    @property
    def leaving(self) -> bool:
        """Return whether this instance hands its servers over."""
        return self._leaving

    def usage(self) -> tuple[ServerUsage, ...]:
        """Return status and load of each coordinated server."""
        # A ticket may have removed a server whose task has yet to see it.
        servers = self._parts.state.servers
        return tuple(
            item.coordinator.usage() for name, item in self._active.items() if name in servers
        )

    def statuses(self) -> tuple[tuple[str, str], ...]:
        """Return the status of each coordinated server."""
        return tuple((name, item.coordinator.status()) for name, item in self._active.items())

    async def run(self) -> None:
        """Follow the state until cancelled."""
        self._tasks.start("granted records", self._record_grants())
        try:
            self._follow(self._parts.state)
            async for _ in self._parts.replica.changes():
                self._follow(self._parts.state)
        finally:
            await self._tasks.stop_all()
            self._active.clear()

    async def hand_over(self, limit_s: float) -> bool:
        """Ask for other coordinators and wait for them; return whether all have taken over."""
        self._leaving = True
        until = self._parts.timers.now() + limit_s
        while self._assigned(self._parts.state):
            if self._parts.timers.now() >= until:
                return False
            await self._parts.changed.wait(HAND_OVER_CHECK_S)
        return True

    def refresh(self) -> None:
        """Follow a change of the state that came without a log record."""
        self._follow(self._parts.state)

    # Following the state

    def _follow(self, state: ClusterState) -> None:
        self._note_servers(state)
        assigned = self._assigned(state)
        for name in [name for name in self._active if name not in assigned]:
            self._stop(name)
        for name, epoch in assigned.items():
            self._start(name, epoch)
        for active in self._active.values():
            active.coordinator.wake()
            active.issuer.refuse_moved()
        self._parts.changed.set()

    def _assigned(self, state: ClusterState) -> dict[str, int]:
        own = self._parts.incarnation
        return {
            name: coordination.epoch
            for name, coordination in state.coordinations.items()
            if coordination.incarnation == own
            and name in state.servers
            and coordination.epoch > self._given_up.get(name, NO_EPOCH)
        }

    def _note_servers(self, state: ClusterState) -> None:
        now = self._parts.timers.now()
        for name in [name for name in self._records if name not in state.servers]:
            if not self._records[name].book.permits:
                del self._records[name]
        for name, server in state.servers.items():
            records = self._records.get(name)
            if records is None:
                self._records[name] = records = self._new_records(state, name, server)
            if records.address != server.address:
                self._stop(name)
                records.address = server.address
                records.address_settled_at = now + self._longest_lease_s()
            if server.state != LEAVING:
                records.leaving_since = None
            elif records.leaving_since is None:
                records.leaving_since = now

    def _new_records(self, state: ClusterState, name: str, server: Server) -> ServerRecords:
        parts = self._parts
        limits = state.limits.get(server.service, ServiceLimits())
        # A server with a coordinator may have had another address before this instance looked.
        fresh = name not in state.coordinations
        settled_at = parts.timers.now() + (0.0 if fresh else self._longest_lease_s())
        return ServerRecords(
            PermitBook(parts.timing.max_message_life_ms / 1000),
            UsageMeter(parts.make_key_counter()),
            parts.make_admission(name, 0, limits.queue),
            server.address,
            settled_at,
        )

    def _longest_lease_s(self) -> float:
        lease_s = self._parts.timing.lease_ms / 1000
        return lease_s + lease_margin_s(lease_s, lease_s)

    def _start(self, name: str, epoch: int) -> None:
        active = self._active.get(name)
        if active is not None and active.coordinator.epoch == epoch:
            return
        self._stop(name)
        coordinator = ServerCoordinator(self._parts, name, epoch, self._records[name])
        issuer = PermitIssuer(coordinator)
        coordinator.served_changed = issuer.refuse_moved
        self._active[name] = _Active(coordinator, issuer)
        self._tasks.start(("server", name, epoch), self._supervise(coordinator))
        emit(Event.COORDINATOR_CHANGED, server=name, epoch=epoch)

    def _stop(self, name: str) -> None:
        active = self._active.pop(name, None)
        if active is None:
            return
        active.coordinator.stop_permits()
        self._tasks.stop(("server", name, active.coordinator.epoch))
        active.issuer.refuse_moved()
        self._parts.changed.set()

    async def _supervise(self, coordinator: ServerCoordinator) -> None:
        try:
            await coordinator.run()
        except Exception as error:
            emit(Event.TASK_FAILED, task=f"coordinator of {coordinator.name}", error=repr(error))
            self._active.pop(coordinator.name, None)
            self._parts.changed.set()
            self._tasks.start(("restart", coordinator.name), self._restart_failed())

    async def _restart_failed(self) -> None:
        await self._parts.timers.sleep(RESTART_S)
        self._follow(self._parts.state)

    # Granted records

    async def _record_grants(self) -> None:
        """Record completed moves and takeovers, all servers of the instance in one record."""
        while True:
            record = GrantedRecord(grants=self._unrecorded(), takeovers=self._takeovers())
            nothing = not (record.grants or record.takeovers)
            if nothing or not self._parts.authority.held():
                await self._parts.timers.sleep(GRANT_RECORD_INTERVAL_S)
                continue
            try:
                await self._parts.replica.append(record)
            except HyssopwoodError:
                await self._parts.timers.sleep(GRANT_RECORD_RETRY_S)

    def _unrecorded(self) -> tuple[Grant, ...]:
        done = [
            Grant(partition=partition, token=token, server=active.coordinator.name)
            for active in self._active.values()
            for partition, token in active.coordinator.unrecorded_moves().items()
        ]
        return tuple(done[:MAX_GRANTS_PER_RECORD])

    def _takeovers(self) -> tuple[Takeover, ...]:
        return tuple(
            Takeover(server=name, epoch=active.coordinator.epoch)
            for name, active in self._active.items()
            if active.coordinator.unrecorded_takeover()
        )

    # Permits

    async def _on_permit_request(self, sender: str, request: PermitRequest) -> PermitReply:
        await self._catch_up(request.position)
        active = self._active.get(request.server)
        if active is None:
            return refusal(Reason.MOVED, f"{request.server!r:.60} is not coordinated here")
        return await active.issuer.request(sender, request)

    async def _catch_up(self, position: int) -> None:
        """Wait briefly for records that the sender has applied and this instance hasn't."""
        until = self._parts.timers.now() + CATCH_UP_S
        while self._parts.state.applied < position:
            left = until - self._parts.timers.now()
            if left <= 0:
                return
            await self._parts.changed.wait(left)

    async def _on_permit_return(self, sender: str, returned: PermitReturn) -> None:
        for name, records in self._records.items():
            permit = records.book.permits.get(returned.permit_id)
            if permit is not None and permit.sender == sender:
                self._give_back(name, permit, returned)
                return

    def _give_back(self, name: str, permit: Permit, returned: PermitReturn) -> None:
        active = self._active.get(name)
        if active is not None:
            active.issuer.give_back(permit, returned)
            active.coordinator.wake()
            return
        records = self._records[name]
        if returned.outcome == OUTCOME_UNKNOWN:
            records.book.abandon(permit, self._parts.timers.now())
        else:
            records.end(permit, self._parts.timers.now())

    async def _on_permit_cancel(self, sender: str, cancel: PermitCancel) -> None:
        for active in self._active.values():
            active.issuer.withdraw(sender, cancel.request_id)

    def _on_peer_lost(self, incarnation: str) -> None:
        for records in self._records.values():
            records.book.lose_sender(incarnation)

    # Releases

    async def _on_release_query(self, sender: str, query: ReleaseQuery) -> ReleaseReply:
        until = self._parts.timers.now() + RELEASE_POLL_S
        while not self._released(query):
            left = until - self._parts.timers.now()
            if left <= 0:
                return ReleaseReply(False, int(CLEARANCE_RETRY_S * 1000))
            await self._parts.changed.wait(left)
        # Without these records the next owner could run a repeated request again.
        copied = await self._parts.hooks.before_release(query.partition, query.server, sender)
        released = copied and self._released(query)
        return ReleaseReply(released, 0 if released else int(CLEARANCE_RETRY_S * 1000))

    def _released(self, query: ReleaseQuery) -> bool:
        """Answer only for the token in force here and for a server under this coordinator."""
        state = self._parts.state
        owner = state.ownerships.get(query.partition)
        active = self._active.get(query.server)
        if owner is None or owner.token != query.token or query.server not in owner.awaiting:
            return False
        if self._parts.unrecorded(query.partition, query.token):
            return False
        if active is None or self._assigned(state).get(query.server) != active.coordinator.epoch:
            return False
        try:
            self._parts.authority.require()
        except AuthorityLostError:
            return False
        return active.coordinator.release_if_certain(query.partition)

    async def _on_server_release_query(
        self, sender: str, query: ServerReleaseQuery
    ) -> ServerReleaseReply:
        """Hand a server over to the coordinator of a newer epoch, after stopping its permits."""
        state = self._parts.state
        current = state.coordinations.get(query.server)
        own = current is not None and current.incarnation == self._parts.incarnation
        if own and current.epoch >= query.epoch:
            return ServerReleaseReply(False, int(CLEARANCE_RETRY_S * 1000))
        if self._parts.moved_without_log(query.server):
            # The next coordinator could not know of these moves.
            return ServerReleaseReply(False, int(CLEARANCE_RETRY_S * 1000))
        known = self._given_up.get(query.server, NO_EPOCH)
        self._given_up[query.server] = max(known, query.epoch)
        if query.server in self._active:
            emit(Event.SERVER_HANDED_OVER, server=query.server, epoch=query.epoch)
            self._stop(query.server)
        if not await self._passed_on(query, sender):
            return ServerReleaseReply(False, int(CLEARANCE_RETRY_S * 1000))
        return ServerReleaseReply(True, self._permits_end_ms(query.server))

    async def _passed_on(self, query: ServerReleaseQuery, asker: str) -> bool:
        """Pass a server's records on once to each next coordinator."""
        if self._passed.get(query.server, NO_EPOCH) >= query.epoch:
            return True
        if not await self._parts.hooks.before_hand_over(query.server, asker):
            return False
        self._passed[query.server] = query.epoch
        return True

    def _permits_end_ms(self, server: str) -> int:
        records = self._records.get(server)
        if records is None:
            return 0
        quiet_at = max(records.book.quiet_at(), records.earlier_quiet_at)
        wait_s = quiet_at - self._parts.timers.now()
        return int(wait_s * 1000) + 1 if wait_s > 0 else 0
