"""Grants, renewals and moves of key ranges by the leader."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping
from enum import Enum
from functools import partial
from typing import Protocol

from attrs import define, evolve, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.gateway.route_table import RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_limits import Sent, ServerLimits
from hyssopwood.gateway.server_reach import ServerReach
from hyssopwood.keyspace.authority import AUTHORITY_S, Authority
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.leases import (
    NO_CHANNEL,
    RangeLease,
    lease_end,
    merge_adjacent_leases,
)
from hyssopwood.keyspace.placement import CandidateServer, Move, distribute_lost_ranges, plan_moves
from hyssopwood.keyspace.plan import KeyRange, Plan, PlanChange, divide_evenly, merge_adjacent
from hyssopwood.keyspace.plan_view import RangePause
from hyssopwood.keyspace.plan_writer import PlanWriter
from hyssopwood.keyspace.renewals import renew_interval_s, request_rate_per_s
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

LEASE_S = 4.5
# A failed renewal is retried sooner, so that a lost server is detected within a second.
RENEW_RETRY_S = 0.4
# The store counts as reachable for this long after it confirmed the leader: two confirmation
# intervals and an answer that is 60 times slower than usual.
STORE_REACHABLE_S = 1.6
# A load peak is handled within a second; each round costs the leader about a millisecond.
WORK_INTERVAL_S = 0.25
BALANCE_INTERVAL_S = 0.25
COMMAND_RETRY_S = 0.2
# Servers answer a grant in a few milliseconds; a silent one must not delay the publication of the
# new owners of other ranges that were stored in the same write.
MAX_PUBLISH_DELAY_S = 0.15
# At a cold start servers register one after the other. Keys are divided when no further server has
# registered for SETTLE_S, and after MAX_SETTLE_S at the latest.
SETTLE_S = 1.2
MAX_SETTLE_S = 4.0
# Consecutive failed renewals before a still registered server's keys are moved to others.
FAILED_RENEWALS_TO_REPLACE = 2
# Part of the requests that a server's limit allows which its keys may get: at a full load a queue
# of requests would build up.
LIMITED_LOAD_SHARE = 0.8
# Concurrent moves of one service: at least MIN_CONCURRENT_MOVES, more in proportion to its servers.
# Requests for the moving keys wait meanwhile.
MIN_CONCURRENT_MOVES = 24
SERVERS_PER_CONCURRENT_MOVE = 3


@frozen
class CommandAnswer:
    """A server's answer to a command; neither `done` nor `fenced` means no usable answer."""

    done: bool
    # At least one byte of the command was sent.
    sent: bool = True
    # The server has seen a higher fencing token on some of the keys.
    fenced: bool = False
    handover: str | None = None
    # The server has announced in the answer that it is leaving.
    leaving: bool = False
    # Number of the channel that carried a grant; None for other commands and without an answer.
    channel: int | None = None
    # Nothing was sent because the wanted channel has ended; the server accepts another one.
    channel_ended: bool = False
    # Id of the server that answered because it has the address of the addressed one, or None.
    replaced_by: str | None = None


class KeyCommands(Protocol):
    """Send commands that grant and release key ranges to servers."""

    async def grant(
        self,
        server: ServerRecord,
        keys: KeyRange,
        lease_s: float,
        handover: str | None,
        channel: int | None,
    ) -> CommandAnswer:
        """Grant or renew a range, over the given channel only unless that is None.

        The channel is reset if no answer arrives in time.
        """
        ...

    async def release(
        self,
        server: ServerRecord,
        keys: KeyRange,
        limit_s: float,
        before_sending: Callable[[], None],
    ) -> CommandAnswer:
        """Release a range and wait until the server has ended its work on it.

        `before_sending` is called once there is a connection to the server.
        """
        ...

    async def identify(self, server: ServerRecord, health_path: str) -> str | None:
        """Return the id of the server that answers at a server's address, or None if none does."""
        ...


@frozen(kw_only=True)
class KeyManagerDependencies:
    """The objects, callbacks and limit that the key manager uses."""

    writer: PlanWriter
    authority: Authority
    commands: KeyCommands
    tables: RouteTables
    directory: ServerDirectory
    load: KeyLoad
    limits: ServerLimits
    reach: ServerReach
    timers: Timers
    metrics: Metrics
    publish: Callable[[Plan, PlanChange], None]
    pause: Callable[[RangePause], None]
    max_lease_s: float
    # Returns until when a server in an evacuated failure domain may be sent grants that void
    # unanswered ones, and None for a server elsewhere.
    evacuated_until: Callable[[ServerRecord], float | None] = lambda record: None
    # Requests per second that a cold server may get; None if it isn't cold.
    cold_rate: Callable[[ServerRecord], float | None] = lambda record: None


@frozen
class _SentGrant:
    """The arguments of a sent grant, and the latest expiry of the owner's lease before it."""

    keys: KeyRange
    sent: float
    lease_s: float
    leased_until_before: float


class _Evidence(Enum):
    """What shows that the previous owner of a range can have no lease of it."""

    ANSWERED = "the owner answered a release"
    EXPIRED = "every lease of the owner has expired"
    REPLACED = "another server answers at the owner's address"
    STARTED_AGAIN = "the next owner is a later start of the owner"


@frozen
class _Released:
    """The next owner of a range, and the previous owner's handover if it sent one."""

    target: ServerRecord
    evidence: _Evidence
    handover: str | None = None


class _GrantResult(Enum):
    ANSWERED = "answered"
    FAILED = "failed"
    # Nothing was sent, as the token is bound to a channel that has ended.
    CHANNEL_ENDED = "channel ended"


@define
class KeyManager:
    """Grant, renew and move the ranges of the plan while this instance leads."""

    _deps: KeyManagerDependencies
    _leases: dict[str, list[RangeLease]] = field(factory=dict, init=False)
    # Version of the plan that was published last.
    _published_version: int = field(default=-1, init=False)
    _newest_plan: Plan | None = field(default=None, init=False)
    # Owners that changed since the last publication.
    _unpublished: list[tuple[str, KeyRange]] = field(factory=list, init=False)
    _failed_renewals: dict[tuple[str, int], int] = field(factory=dict, init=False)
    _renewal_due: dict[tuple[str, int], float] = field(factory=dict, init=False)
    _tasks: set[asyncio.Future[None]] = field(factory=set, init=False)
    _writing: asyncio.Future[None] | None = field(default=None, init=False)
    # Last registration of each incarnation of a server.
    _registered: dict[tuple[str, int], ServerRecord] = field(factory=dict, init=False)
    # Incarnations at whose addresses other servers answer, so that they have ended.
    _ended: set[tuple[str, int]] = field(factory=set, init=False)
    # Incarnations whose addresses are being asked who answers there.
    _identifying: set[tuple[str, int]] = field(factory=set, init=False)
    # Incarnations whose leases aren't renewed because their channels have ended.
    _suspended: set[tuple[str, int]] = field(factory=set, init=False)
    _renewing: set[tuple[str, int]] = field(factory=set, init=False)
    _pending: list[tuple[RangeLease, ServerRecord, str | None]] = field(factory=list, init=False)
    _committing: bool = field(default=False, init=False)
    _started_at: float = field(default=0.0, init=False)
    # No grants before then, as servers may have leases that the plan doesn't record.
    _no_grants_until: float = field(default=float("-inf"), init=False)
    # Latest expiry of leases that the plan doesn't record because the store was restored.
    _unrecorded_leases_until: float = field(default=float("-inf"), init=False)
    _registration_count: int = field(default=-1, init=False)
    _registration_count_changed_at: float = field(default=0.0, init=False)
    _balanced_at: float = field(default=float("-inf"), init=False)

    def inherit(
        self, plan: Plan | None, predecessor_ended: bool, writes_lost_by: float | None = None
    ) -> None:
        """Take over the ranges of the plan that this leader has claimed.

        Unless the previous leader has ended, it may have renewed leases until its authority ended,
        at the latest AUTHORITY_S after this claim. If the store had lost writes by some time,
        servers may have leases that the plan doesn't record: of leaders that it had confirmed
        before. Nothing is granted before these have expired.
        """
        now = self._deps.timers.now()
        self._started_at = now
        self._deps.writer.subscribe(self._handle_store_restored)
        if writes_lost_by is not None:
            until = self._latest_lease_end(writes_lost_by)
            self._unrecorded_leases_until = self._no_grants_until = until
        if plan is None:
            return
        self._published_version = plan.version
        renewed_until = now if predecessor_ended else now + AUTHORITY_S
        leased_until = lease_end(renewed_until, self._lease_s)
        for service, keys in plan.ranges():
            lease = RangeLease(service, keys, inherited_until=leased_until)
            self._leases.setdefault(service, []).append(lease)

    def _latest_lease_end(self, confirmed_by: float) -> float:
        """Return when the leases of leaders that the store confirmed by a time have expired."""
        return lease_end(confirmed_by + AUTHORITY_S, self._lease_s)

    def _handle_store_restored(self) -> None:
        """Mark every range as disputed: a leader whose writes were lost may have moved it."""
        now = self._deps.timers.now()
        until = self._latest_lease_end(now)
        self._unrecorded_leases_until = max(self._unrecorded_leases_until, until)
        for lease in self._all_leases():
            lease.mark_disputed(now, until)

    def handle_predecessor_ended(self) -> None:
        """Limit all inherited leases, as the previous leader's process has ended."""
        now = self._deps.timers.now()
        for lease in self._all_leases():
            lease.handle_predecessor_ended(now, self._lease_s)

    async def run(self) -> None:
        """Manage the ranges until cancelled or until a write conflicts with another leader."""
        try:
            async for now in self._deps.timers.ticks(WORK_INTERVAL_S):
                self._raise_failures()
                if not self._deps.authority.is_valid(now):
                    continue
                if self._deps.writer.has_unrecorded_leases and now >= self._unrecorded_leases_until:
                    self._deps.writer.clear_unrecorded_leases()
                if now >= self._no_grants_until:
                    self._work(now)
        finally:
            for task in self._tasks:
                task.cancel()

    def _work(self, now: float) -> None:
        """Start the due work without waiting, so that renewals continue without the store."""
        for record in self._deps.directory.records():
            self._registered[record.incarnation] = record
        for ranges in self._leases.values():
            ranges[:] = merge_adjacent_leases(ranges)
        if self._writing is None or self._writing.done():
            self._writing = self._spawn(self._write_changes(now))
        self._start_renewals(now)
        self._replace_lost(now)
        self._identify_successors()
        self._balance(now)

    async def _write_changes(self, now: float) -> None:
        """Write the pending changes of the plan one after the other."""
        await self._plan_new_services(now)
        await self._renew_fences(now)
        await self._commit()

    def _raise_failures(self) -> None:
        for task in [task for task in self._tasks if task.done()]:
            self._tasks.discard(task)
            task.result()

    def _spawn(self, work: Awaitable[None]) -> asyncio.Future[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def _plan_new_services(self, now: float) -> None:
        """Divide the keys of services that have no plan yet."""
        table = self._deps.tables.current
        registration_count = len(self._deps.directory.records())
        if registration_count != self._registration_count:
            self._registration_count = registration_count
            self._registration_count_changed_at = now
        settled = (
            now - self._registration_count_changed_at >= SETTLE_S
            or now - self._started_at >= MAX_SETTLE_S
        )
        if table is None or not settled:
            return
        for name, spec in table.services.items():
            if not spec.sharded or name in self._leases:
                continue
            if self._deps.timers.now() < self._unrecorded_leases_until:
                # A rival whose writes the store has lost may have divided the keys.
                return
            servers = sorted(self._usable_servers(name), key=lambda record: record.server)
            if not servers:
                continue
            incarnations = tuple(record.incarnation for record in servers)

            def build(version: int, name: str = name, incarnations: tuple = incarnations) -> Plan:
                parts = divide_evenly(incarnations, version)
                return Plan(version, {**self._planned_services(), name: parts})

            plan = await self._deps.writer.change(build)
            # This write may have been the one that found the store restored.
            wait_until = self._unrecorded_leases_until
            self._leases[name] = [
                RangeLease(name, keys, not_granted_before=wait_until)
                for keys in plan.services[name]
            ]
            self._record_written(plan, tuple((name, keys) for keys in plan.services[name]))
            await asyncio.gather(*(self._grant_all(record) for record in servers))
            self._publish()

    def _usable_servers(self, service: str) -> list[ServerRecord]:
        return [
            record
            for record in self._deps.directory.of_service(service)
            if not record.draining
            and record.incarnation not in self._ended
            and self._failed_renewals.get(record.incarnation, 0) < FAILED_RENEWALS_TO_REPLACE
        ]

    def _planned_services(self) -> dict[str, tuple[KeyRange, ...]]:
        return {
            service: merge_adjacent(tuple(lease.keys for lease in ranges))
            for service, ranges in self._leases.items()
        }

    def _all_leases(self) -> Iterable[RangeLease]:
        for ranges in self._leases.values():
            yield from ranges

    def _start_renewals(self, now: float) -> None:
        """Start the due renewals, at most one at a time for each server."""
        range_counts = Counter(
            lease.keys.incarnation for lease in self._all_leases() if not lease.moving
        )
        for incarnation, range_count in range_counts.items():
            record = self._deps.directory.get(incarnation[0])
            if record is None or record.incarnation != incarnation:
                continue
            if self._is_evacuated(record) and not self._needs_grant(record, now):
                continue
            if incarnation in self._renewing or incarnation in self._ended:
                continue
            if now >= self._renewal_due.get(incarnation, float("-inf")):
                limit_per_s = self._deps.limits.get(incarnation)
                interval_s = renew_interval_s(range_count, limit_per_s)
                self._spawn(self._renew_server(record, interval_s))

    def _is_evacuated(self, record: ServerRecord) -> bool:
        return self._deps.evacuated_until(record) is not None

    def _needs_grant(self, record: ServerRecord, now: float) -> bool:
        """Return whether a grant to an evacuated server is needed to move one of its ranges."""
        return any(
            lease.keys.incarnation == record.incarnation and self._may_grant(lease, record, now)
            for lease in self._all_leases()
            if not lease.moving
        )

    def _may_grant(self, lease: RangeLease, record: ServerRecord, now: float) -> bool:
        """Return whether a server may be granted a range.

        One in an evacuated failure domain is only sent a higher token for a range that it may have,
        without which its release would prove nothing, and that for a limited time.
        """
        until = self._deps.evacuated_until(record)
        if until is None:
            return lease.may_grant(now)
        provable = lease.may_release(now) and not lease.is_disputed(now)
        needed = not provable and not lease.has_expired(now)
        return needed and now < until and lease.may_grant(now)

    async def _renew_server(self, record: ServerRecord, interval_s: float) -> None:
        self._renewing.add(record.incarnation)
        self._renewal_due[record.incarnation] = self._deps.timers.now() + interval_s
        try:
            await self._grant_all(record)
        finally:
            self._renewing.discard(record.incarnation)

    async def _grant_all(self, record: ServerRecord) -> None:
        """Grant or renew every range of a server."""
        results = set()
        for lease in list(self._all_leases()):
            if lease.keys.incarnation != record.incarnation or lease.moving:
                continue
            result = await self._grant(lease, record)
            if result is _GrantResult.FAILED:
                self._record_failed_renewal(record)
                return
            results.add(result)
        if _GrantResult.CHANNEL_ENDED in results:
            self._record_suspended(record)
            return
        self._suspended.discard(record.incarnation)
        failures = self._failed_renewals.pop(record.incarnation, 0)
        if failures:
            emit(
                Event.RENEWAL_RECOVERED,
                server=record.server,
                address=record.address,
                failures=failures,
            )

    def _record_suspended(self, record: ServerRecord) -> None:
        """Retry soon renewals that wait for a higher token or for the store."""
        self._renewal_due[record.incarnation] = self._deps.timers.now() + RENEW_RETRY_S
        if record.incarnation not in self._suspended:
            self._suspended.add(record.incarnation)
            emit(Event.RENEWAL_SUSPENDED, server=record.server, address=record.address)

    def _record_failed_renewal(self, record: ServerRecord) -> None:
        self._deps.reach.record_failed(record)
        if self._deps.reach.in_doubt(record.service):
            # This instance's own links may be the cause, so the failure says nothing of the server.
            self._renewal_due[record.incarnation] = self._deps.timers.now() + RENEW_RETRY_S
            return
        failures = self._failed_renewals.get(record.incarnation, 0) + 1
        self._failed_renewals[record.incarnation] = failures
        self._renewal_due[record.incarnation] = self._deps.timers.now() + RENEW_RETRY_S
        if failures == 1:
            # Later failures follow every RENEW_RETRY_S and tell nothing new.
            emit(Event.RENEWAL_FAILED, server=record.server, address=record.address)

    async def _grant(self, lease: RangeLease, record: ServerRecord) -> _GrantResult:
        """Grant one range over the channel that its token is bound to."""
        async with lease.lock:
            now = self._deps.timers.now()
            current = (
                lease.keys.incarnation == record.incarnation
                and not lease.replaced
                and not lease.moving
            )
            allowed = self._deps.authority.is_valid(now) and self._may_grant(lease, record, now)
            if not current or not allowed:
                return _GrantResult.ANSWERED
            result = await self._send_grant(lease, record)
            if result is not _GrantResult.CHANNEL_ENDED:
                return result
            lease.channel = NO_CHANNEL
            if not self._may_use_next_token(lease):
                return result
            lease.use_next_token()
            return await self._send_grant(lease, record)

    def _may_use_next_token(self, lease: RangeLease) -> bool:
        """Return whether a higher token of this leader may reach another process.

        A process that has just started accepts any token, also one that is below those of a leader
        which has claimed the plan since the store last confirmed this one.
        """
        now = self._deps.timers.now()
        confirmed = self._deps.authority.age_s(now) <= STORE_REACHABLE_S
        available = not lease.fenced and not lease.tokens_exhausted
        return confirmed and available and not lease.is_disputed(now)

    async def _send_grant(self, lease: RangeLease, record: ServerRecord) -> _GrantResult:
        now = self._deps.timers.now()
        grant = _SentGrant(lease.sent_keys, now, self._lease_s, lease.leased_until)
        lease.record_grant_sent(now, grant.lease_s)
        self._deps.limits.record_sent(record.incarnation, Sent.COMMAND)
        answer = await self._deps.commands.grant(
            record, grant.keys, grant.lease_s, lease.handover, lease.channel
        )
        return self._handle_grant_answer(lease, record, grant, answer)

    def _handle_grant_answer(
        self, lease: RangeLease, record: ServerRecord, grant: _SentGrant, answer: CommandAnswer
    ) -> _GrantResult:
        """Record the result of a grant."""
        if answer.leaving:
            self._deps.directory.mark_leaving(record.incarnation)
        if answer.done:
            self._deps.reach.record_answered(record.service)
            self._record_granted(lease, grant, answer)
            return _GrantResult.ANSWERED
        if answer.replaced_by is not None:
            self._record_replaced(record, answer.replaced_by)
        if answer.replaced_by is not None or not answer.sent:
            lease.undo_grant_sent(grant.leased_until_before)
            return _GrantResult.CHANNEL_ENDED if answer.channel_ended else _GrantResult.FAILED
        lease.record_grant_unanswered(grant.sent, grant.lease_s, answer.channel)
        keys = {"first": lease.keys.first, "last": lease.keys.last, "fence": lease.keys.fence}
        if not answer.fenced:
            emit(Event.GRANT_UNCERTAIN, server=record.server, **keys)
            return _GrantResult.FAILED
        emit(Event.GRANT_FENCED, server=record.server, **keys)
        # Another leader may be active; only a write to the store shows it.
        self._deps.authority.revoke()
        if lease.token == grant.keys.fence:
            lease.record_fenced()
        return _GrantResult.ANSWERED

    def _record_granted(self, lease: RangeLease, grant: _SentGrant, answer: CommandAnswer) -> None:
        # The token may have been replaced meanwhile; the answer confirms the granted one only.
        if lease.token == grant.keys.fence:
            lease.record_grant_answered(
                grant.sent,
                self._deps.timers.now(),
                grant.lease_s,
                grant.leased_until_before,
                answer.channel,
            )

    def _record_replaced(self, record: ServerRecord, replaced_by: str) -> None:
        """Record that a server has ended, as another one answers at its address.

        The other one refuses what is addressed to the first one, so it has no lease of its keys.
        """
        if record.incarnation in self._ended:
            return
        self._ended.add(record.incarnation)
        emit(
            Event.SERVER_REPLACED,
            server=record.server,
            address=record.address,
            replaced_by=replaced_by,
        )

    async def _renew_fences(self, now: float) -> None:
        """Set a higher fencing token in the plan for ranges that have used up their tokens."""
        exhausted = [
            lease
            for lease in self._all_leases()
            if lease.needs_new_fence(now) and not lease.moving and not lease.lock.locked()
        ]
        if not exhausted:
            return
        renewed_keys: dict[int, KeyRange] = {}

        def build(version: int) -> Plan:
            renewed_keys.clear()
            due = self._deps.timers.now()
            for lease in exhausted:
                # A move that began meanwhile sets a new token itself. A disputed range keeps its
                # token, as only that one shows whether its owner still has it.
                if not lease.moving and not lease.replaced and not lease.is_disputed(due):
                    renewed_keys[id(lease)] = evolve(lease.keys, fence=version)
            return self._build_plan(version, renewed_keys)

        plan = await self._deps.writer.change(build)
        for lease in exhausted:
            if id(lease) in renewed_keys and not lease.moving and not lease.replaced:
                lease.replace_fence(renewed_keys[id(lease)])
                self._renewal_due.pop(lease.keys.incarnation, None)
        # Only tokens change, so the published change has no owners.
        self._record_written(plan, ())
        self._publish()

    def _record_written(self, plan: Plan, owners: tuple[tuple[str, KeyRange], ...]) -> None:
        """Add a written change to those that the next publication includes."""
        self._newest_plan = plan
        self._unpublished.extend(owners)

    def _publish(self) -> None:
        """Publish the newest plan with all changes since the last publication."""
        plan = self._newest_plan
        if plan is None or plan.version <= self._published_version:
            return
        change = PlanChange(self._published_version, plan.version, tuple(self._unpublished))
        self._published_version = plan.version
        self._unpublished.clear()
        self._deps.publish(plan, change)

    def _build_plan(self, version: int, changed: Mapping[int, KeyRange]) -> Plan:
        services = {
            service: merge_adjacent(tuple(changed.get(id(lease), lease.keys) for lease in ranges))
            for service, ranges in self._leases.items()
        }
        return Plan(version, services)

    @property
    def _lease_s(self) -> float:
        return min(LEASE_S, self._deps.max_lease_s)

    def _is_lost(self, lease: RangeLease) -> bool:
        record = self._deps.directory.get(lease.keys.server)
        if record is None or record.draining or record.incarnation != lease.keys.incarnation:
            return True
        if record.incarnation in self._ended:
            return True
        return self._failed_renewals.get(lease.keys.incarnation, 0) >= FAILED_RENEWALS_TO_REPLACE

    def _replace_lost(self, now: float) -> None:
        """Move the ranges of servers that drain, are no longer registered or don't answer."""
        for service, ranges in self._leases.items():
            if self._deps.reach.in_doubt(service):
                # A cut off leader could neither release the moved keys nor grant them.
                continue
            lost = [
                lease for lease in ranges if self._is_lost(lease) and self._may_move(lease, now)
            ]
            if not lost:
                continue
            candidates = self._candidate_servers(service, ranges)
            if not candidates:
                continue
            lost_keys = tuple(lease.keys for lease in lost)
            for move in distribute_lost_ranges(
                lost_keys, candidates, self._deps.load.load_map(service)
            ):
                self._start_move(service, move)

    def _restarted(self, lease: RangeLease) -> ServerRecord | None:
        """Return the record of a later, usable incarnation of the range's owner, or None."""
        record = self._deps.directory.get(lease.keys.server)
        if record is None or record.born_ms <= lease.keys.born_ms:
            return None
        return record if record in self._usable_servers(lease.service) else None

    def _may_move(self, lease: RangeLease, now: float) -> bool:
        """Return whether a move may start.

        If the server answers, its unanswered grants are first voided by a higher token.
        """
        if lease.moving or lease.lock.locked() or lease.is_disputed(now):
            return False
        record = self._deps.directory.get(lease.keys.server)
        answers = (
            record is not None
            and record.incarnation == lease.keys.incarnation
            and record.incarnation not in self._ended
            and self._failed_renewals.get(record.incarnation, 0) < FAILED_RENEWALS_TO_REPLACE
        )
        return not answers or lease.may_release(now) or lease.has_expired(now)

    def _candidate_servers(
        self, service: str, ranges: list[RangeLease]
    ) -> tuple[CandidateServer, ...]:
        """Return the usable servers with their load and capacity."""
        load = self._deps.load.load_map(service)
        rate_by_incarnation: dict[tuple[str, int], float] = {}
        for lease in ranges:
            rate = load.rate(lease.keys.first, lease.keys.last)
            rate_by_incarnation[lease.keys.incarnation] = (
                rate_by_incarnation.get(lease.keys.incarnation, 0.0) + rate
            )
        range_counts = Counter(lease.keys.incarnation for lease in ranges)
        return tuple(
            CandidateServer(
                record.incarnation,
                rate_by_incarnation.get(record.incarnation, 0.0),
                record.slots * self._deps.load.speed(record.incarnation, record.warmup_left_s),
                sum(
                    lease.keys.size
                    for lease in ranges
                    if lease.keys.incarnation == record.incarnation
                ),
                self._max_rate(record, range_counts[record.incarnation]),
            )
            for record in self._usable_servers(service)
        )

    def _max_rate(self, record: ServerRecord, range_count: int) -> float | None:
        """Return the load that a server can take, or None if neither a limit nor cold bounds it."""
        rates = []
        limit_per_s = self._deps.limits.get(record.incarnation)
        if limit_per_s is not None:
            rates.append(request_rate_per_s(range_count, limit_per_s))
        cold_rate_per_s = self._deps.cold_rate(record)
        if cold_rate_per_s is not None:
            rates.append(cold_rate_per_s)
        return LIMITED_LOAD_SHARE * min(rates) if rates else None

    def _balance(self, now: float) -> None:
        if now - self._balanced_at < BALANCE_INTERVAL_S:
            return
        if self._deps.authority.age_s(now) > STORE_REACHABLE_S:
            # A move that can't be stored would leave its keys without an owner.
            return
        self._balanced_at = now
        for service, ranges in self._leases.items():
            if self._deps.reach.in_doubt(service):
                continue
            candidates = self._candidate_servers(service, ranges)
            moving_count = sum(lease.moving for lease in ranges)
            if moving_count >= max(
                MIN_CONCURRENT_MOVES, len(candidates) // SERVERS_PER_CONCURRENT_MOVE
            ):
                continue
            movable = tuple(
                lease.keys
                for lease in ranges
                if not lease.moving
                and not lease.is_disputed(now)
                and lease.may_release(now)
                and not self._is_lost(lease)
            )
            for move in plan_moves(movable, candidates, self._deps.load.load_map(service)):
                self._start_move(service, move)

    def _start_move(self, service: str, move: Move) -> None:
        lease = self._split_off(service, move)
        target = self._deps.directory.get(move.target[0])
        if lease is None or target is None or target.incarnation != move.target:
            return
        lease.moving = True
        self._spawn(self._move(lease, target))

    def _split_off(self, service: str, move: Move) -> RangeLease | None:
        """Split the moved keys off their range; return their lease, or None if it is in use."""
        ranges = self._leases[service]
        for index, lease in enumerate(ranges):
            keys = lease.keys
            if not keys.first <= move.first <= move.last <= keys.last:
                continue
            if lease.moving or lease.lock.locked():
                return None
            parts = []
            if keys.first < move.first:
                parts.append(lease.split(keys.first, move.first - 1))
            middle = lease.split(move.first, move.last)
            parts.append(middle)
            if move.last < keys.last:
                parts.append(lease.split(move.last + 1, keys.last))
            lease.replaced = True
            ranges[index : index + 1] = parts
            return middle
        return None

    async def _move(self, lease: RangeLease, target: ServerRecord) -> None:
        """Move a range: wait for its release, store the new owner and grant it the range."""
        started_at = self._deps.timers.now()
        async with lease.lock:
            released = await self._wait_for_release(lease, target)
        if released is None:
            self._abandon_move(lease, started_at)
            return
        self._pending.append((lease, released.target, released.handover))
        emit(
            Event.RANGE_RELEASED,
            service=lease.service,
            first=lease.keys.first,
            last=lease.keys.last,
            server=lease.keys.server,
            warm=released.handover is not None,
            evidence=released.evidence.value,
            waited_ms=round((self._deps.timers.now() - started_at) * 1000),
        )
        await self._commit()

    def _abandon_move(self, lease: RangeLease, started_at: float) -> None:
        """Leave a range with its owner, which is granted it again at once."""
        lease.moving = False
        self._renewal_due.pop(lease.keys.incarnation, None)
        emit(
            Event.MOVE_ABANDONED,
            service=lease.service,
            first=lease.keys.first,
            last=lease.keys.last,
            server=lease.keys.server,
            waited_ms=round((self._deps.timers.now() - started_at) * 1000),
        )

    def _may_stay(self, lease: RangeLease, now: float) -> bool:
        """Return whether a lost owner is back and no release can have been sent to it.

        Its lease may be one that the previous leader renewed, so the range could only be moved
        after that has expired, while the owner can be granted it without a wait.
        """
        return not lease.may_release(now) and not self._is_lost(lease)

    async def _wait_for_release(self, lease: RangeLease, target: ServerRecord) -> _Released | None:
        """Wait until no server but the next owner can have a lease of the range.

        The next owner is the target, or a later incarnation of the owner: it may have carried out
        grants that were meant for the earlier one, so only it can get the range without a wait.
        Return None if the owner is back and keeps the range.
        """
        while True:
            now = self._deps.timers.now()
            if lease.is_disputed(now):
                # Another server may own the range, so an answer of this owner proves nothing.
                await self._deps.timers.sleep(COMMAND_RETRY_S)
                continue
            restarted = self._restarted(lease)
            if restarted is not None and not lease.may_release(now):
                return _Released(restarted, _Evidence.STARTED_AGAIN)
            evidence = self._evidence_of_end(lease, now)
            if evidence is not None:
                return _Released(target, evidence)
            if not self._deps.authority.is_valid(now):
                await self._deps.timers.sleep(COMMAND_RETRY_S)
                continue
            if self._may_stay(lease, now):
                return None
            # A later incarnation of the owner may have carried out a grant that was meant for it.
            record = self._deps.directory.get_recent(lease.keys.server, now)
            if record is not None and record.born_ms >= lease.keys.born_ms:
                answer = await self._release(lease, record, now)
                if answer.done:
                    return _Released(target, _Evidence.ANSWERED, answer.handover)
                if answer.replaced_by is not None:
                    self._record_replaced(record, answer.replaced_by)
                    if self._is_at_address_of_owner(record, lease):
                        return _Released(target, _Evidence.REPLACED)
            await self._deps.timers.sleep(COMMAND_RETRY_S)

    def _is_at_address_of_owner(self, record: ServerRecord, lease: RangeLease) -> bool:
        """Return whether a registration under the owner's id has the owner's own address.

        At another address, it doesn't matter to the owner who answers.
        """
        owner = self._registered.get(lease.keys.incarnation)
        return owner is not None and owner.address == record.address

    async def _release(self, lease: RangeLease, record: ServerRecord, now: float) -> CommandAnswer:
        """Release a range unless an unanswered grant could take effect after it."""
        if not lease.may_release(now):
            return CommandAnswer(done=False, sent=False)
        keys = lease.keys
        # A server that can't be connected to keeps serving the range.
        pause = partial(
            self._deps.pause, RangePause(lease.service, keys.first, keys.last, keys.fence)
        )
        limit_s = max(lease.leased_until, lease.inherited_until) - now
        self._deps.limits.record_sent(record.incarnation, Sent.COMMAND)
        return await self._deps.commands.release(record, lease.sent_keys, limit_s, pause)

    def _evidence_of_end(self, lease: RangeLease, now: float) -> _Evidence | None:
        """Return what shows that neither the owner nor another server can have its lease."""
        if lease.has_expired(now):
            return _Evidence.EXPIRED
        return _Evidence.REPLACED if lease.keys.incarnation in self._ended else None

    def _identify_successors(self) -> None:
        """Ask who answers at the addresses of moved ranges' owners that others have registered.

        An address is reassigned only after its server has ended, but anybody may have written the
        registration, so only the process at the address can show that.
        """
        table = self._deps.tables.current
        for service, ranges in self._leases.items():
            spec = None if table is None else table.services.get(service)
            if spec is None or not spec.health_path:
                continue
            for incarnation in dict.fromkeys(
                item.keys.incarnation for item in ranges if item.moving
            ):
                record = self._registered.get(incarnation)
                known = incarnation in self._ended or incarnation in self._identifying
                if record is not None and not known and self._address_registered(record):
                    self._spawn(self._identify_successor(record, spec.health_path))

    def _address_registered(self, owner: ServerRecord) -> bool:
        """Return whether a later server has registered the owner's address."""
        return any(
            record.address == owner.address
            and record.server != owner.server
            and record.born_ms > owner.born_ms
            for record in self._deps.directory.records()
        )

    async def _identify_successor(self, record: ServerRecord, health_path: str) -> None:
        self._identifying.add(record.incarnation)
        self._deps.limits.record_sent(record.incarnation, Sent.COMMAND)
        try:
            answered_by = await self._deps.commands.identify(record, health_path)
        finally:
            self._identifying.discard(record.incarnation)
        if answered_by not in (None, record.server):
            self._record_replaced(record, answered_by)

    async def _commit(self) -> None:
        """Store all moves whose ranges are released, unless another task is doing so."""
        if self._committing:
            return
        self._committing = True
        try:
            while self._pending:
                await self._commit_pending()
        finally:
            self._committing = False

    async def _commit_pending(self) -> None:
        """Store the pending moves in one write, and start their grants.

        Moves that are released before the write starts are included.
        """
        batch: list[tuple[RangeLease, ServerRecord, str | None]] = []
        targets: list[tuple[RangeLease, KeyRange, str | None]] = []

        def build(version: int) -> Plan:
            batch.extend(self._pending)
            self._pending.clear()
            targets.clear()
            changed = {}
            for lease, target, handover in batch:
                keys = evolve(
                    lease.keys, server=target.server, born_ms=target.born_ms, fence=version
                )
                targets.append((lease, keys, handover))
                changed[id(lease)] = keys
            return self._build_plan(version, changed)

        plan = await self._deps.writer.change(build)
        for lease, keys, handover in targets:
            lease.set_owner(keys, handover)
        self._record_written(plan, tuple((lease.service, keys) for lease, keys, _ in targets))
        self._deps.metrics.count("keys_moved", amount=sum(keys.size for _, keys, _ in targets))
        self._spawn(self._grant_and_publish([lease for lease, _, _ in targets]))

    async def _grant_and_publish(self, moved: list[RangeLease]) -> None:
        """Grant moved ranges, and publish the plan once they are granted or the delay ends."""
        grants = asyncio.gather(*(self._grant_moved(lease) for lease in moved))
        await asyncio.wait([grants], timeout=MAX_PUBLISH_DELAY_S)
        self._publish()
        await grants

    async def _grant_moved(self, lease: RangeLease) -> None:
        record = self._deps.directory.get(lease.keys.server)
        if record is not None and record.incarnation == lease.keys.incarnation:
            await self._grant(lease, record)
