"""The leader's work: grants, renewals and moves of key ranges."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Protocol

from attrs import define, evolve, field, frozen

from hyssopwood.events import Event, emit
from hyssopwood.gateway.route_table import RouteTables
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.keyspace.authority import AUTHORITY_S, Authority
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.leases import HeldRange, hold_end, join_neighbours
from hyssopwood.keyspace.placement import CandidateServer, Move, distribute_lost_ranges, plan_moves
from hyssopwood.keyspace.plan import KeyRange, Plan, PlanChange, divide_evenly, merge
from hyssopwood.keyspace.plan_view import RangePause
from hyssopwood.keyspace.plan_writer import PlanWriter
from hyssopwood.metrics import Metrics
from hyssopwood.timers import Timers

# Two renewals may be lost before a hold ends.
HOLD_S = 4.5
RENEW_INTERVAL_S = 1.4
# After a failed renewal the next one follows sooner, so that a lost server is known in a second.
RENEW_RETRY_S = 0.4
# The store counts as reachable for this long after it confirmed the leader: two intervals of
# confirmation and an answer that is 60 times slower than usual.
STORE_FRESH_S = 1.6
# A crest is answered within a second; each round costs the leader about a millisecond.
WORK_INTERVAL_S = 0.25
BALANCE_INTERVAL_S = 0.25
ORDER_RETRY_S = 0.2
# Servers answer a grant in a few milliseconds; one that doesn't must not hold back the new owners
# of other ranges that were stored with its own.
PUBLISH_WITHIN_S = 0.15
# At a cold start servers register one after the other; keys are divided when no further one has
# registered for a while, and at the latest after the longest wait.
SETTLE_S = 1.2
LONGEST_SETTLE_S = 4.0
# Failed renewals in a row before a server's keys go to others, while its entry still stands.
RENEWALS_TO_LOSS = 2
# Ranges of one service that are on their way at the same time, at least and by the number of
# servers; their keys wait meanwhile.
LEAST_MOVES_AT_ONCE = 24
SERVERS_PER_MOVE_AT_ONCE = 3


@frozen
class CommandAnswer:
    """Hold a server's answer to an order; neither `done` nor `fenced` means no usable answer."""

    done: bool
    # At least one byte of the order was sent.
    sent: bool = True
    # The server has seen a higher fencing token on some of the keys.
    fenced: bool = False
    handover: str | None = None
    # The server says that it leaves.
    leaving: bool = False


class KeyCommands(Protocol):
    """Order servers to take and to release keys."""

    async def grant(
        self, server: ServerRecord, keys: KeyRange, lease_s: float, handover: str | None
    ) -> CommandAnswer:
        """Grant a range or renew it; bytes that aren't answered in time are dropped."""
        ...

    async def release(self, server: ServerRecord, keys: KeyRange, limit_s: float) -> CommandAnswer:
        """Take a range back and wait until its work has ended."""
        ...


@frozen(kw_only=True)
class KeyManagerDependencies:
    """Name the parts that the key manager works with."""

    writer: PlanWriter
    authority: Authority
    commands: KeyCommands
    tables: RouteTables
    directory: ServerDirectory
    load: KeyLoad
    timers: Timers
    metrics: Metrics
    publish: Callable[[Plan, PlanChange], None]
    pause: Callable[[RangePause], None]
    max_lease_s: float


@frozen
class _SentGrant:
    """Hold what a grant was sent with, and until when its owner might hold the range before."""

    keys: KeyRange
    sent: float
    hold_s: float
    held_before: float


@define
class KeyManager:
    """Own the plan while this instance leads."""

    _parts: KeyManagerDependencies
    _ranges: dict[str, list[HeldRange]] = field(factory=dict, init=False)
    # Version of the plan that was published last.
    _version: int = field(default=-1, init=False)
    _newest: Plan | None = field(default=None, init=False)
    _unpublished: list[tuple[str, KeyRange]] = field(factory=list, init=False)
    _failures: dict[tuple[str, int], int] = field(factory=dict, init=False)
    _renewed_at: dict[tuple[str, int], float] = field(factory=dict, init=False)
    _tasks: set[asyncio.Future[None]] = field(factory=set, init=False)
    _writing: asyncio.Future[None] | None = field(default=None, init=False)
    # Last known address of each start of a server that owns keys.
    _addresses: dict[tuple[str, int], str] = field(factory=dict, init=False)
    _renewing: set[tuple[str, int]] = field(factory=set, init=False)
    _pending: list[tuple[HeldRange, ServerRecord, str | None]] = field(factory=list, init=False)
    _committing: bool = field(default=False, init=False)
    _began: float = field(default=0.0, init=False)
    # Nothing is granted before, as servers may hold ranges that the plan doesn't tell of.
    _quiet_until: float = field(default=float("-inf"), init=False)
    _settled_at: float = field(default=float("-inf"), init=False)
    _known: int = field(default=-1, init=False)
    _known_at: float = field(default=0.0, init=False)
    _balanced_at: float = field(default=float("-inf"), init=False)

    def inherit(self, plan: Plan | None, predecessor_ended: bool, doubtful: bool = False) -> None:
        """Take over the ranges of the plan that this leader has claimed.

        Unless the leader before has ended, it may have renewed holds until its authority ended, at
        the latest that long after this claim. If the claim is doubtful, holds may be out that the
        plan doesn't tell of, so nothing is granted before they have ended.
        """
        now = self._parts.timers.now()
        self._began = now
        self._parts.writer.subscribe(self._note_restored)
        if doubtful:
            self._settled_at = self._quiet_until = self._latest_hold_end(now)
        if plan is None:
            return
        self._version = plan.version
        renewed_until = now if predecessor_ended else now + AUTHORITY_S
        held_until = hold_end(renewed_until, self._hold_s)
        for service, keys in plan.ranges():
            held = HeldRange(service, keys, inherited_until=held_until)
            self._ranges.setdefault(service, []).append(held)

    def _latest_hold_end(self, now: float) -> float:
        """Return when the holds of any leader have ended that the store confirmed before now."""
        return hold_end(now + AUTHORITY_S, self._hold_s)

    def _note_restored(self) -> None:
        """Take every range as disputed: a leader that the store has lost may have moved it."""
        now = self._parts.timers.now()
        until = self._latest_hold_end(now)
        self._settled_at = max(self._settled_at, until)
        for held in self._held():
            held.note_disputed(now, until)

    def handle_predecessor_ended(self) -> None:
        """Note that the process of the leader before has ended."""
        now = self._parts.timers.now()
        for held in self._held():
            held.handle_predecessor_ended(now, self._hold_s)

    async def run(self) -> None:
        """Work until cancelled or until a write finds another leader."""
        try:
            async for now in self._parts.timers.ticks(WORK_INTERVAL_S):
                self._raise_failures()
                if not self._parts.authority.holds(now):
                    continue
                if self._parts.writer.unsettled and now >= self._settled_at:
                    self._parts.writer.note_settled()
                if now >= self._quiet_until:
                    self._work(now)
        finally:
            for task in self._tasks:
                task.cancel()

    def _work(self, now: float) -> None:
        """Start what is due; nothing here waits, so that renewals go on without the store."""
        for record in self._parts.directory.records():
            self._addresses[record.incarnation] = record.address
        for ranges in self._ranges.values():
            ranges[:] = join_neighbours(ranges)
        if self._writing is None or self._writing.done():
            self._writing = self._spawn(self._write(now))
        self._renew(now)
        self._replace_lost(now)
        self._balance(now)

    async def _write(self, now: float) -> None:
        """Write what changes the plan, one thing after the other."""
        await self._add_services(now)
        await self._renew_tokens(now)
        await self._commit()

    def _raise_failures(self) -> None:
        for task in [task for task in self._tasks if task.done()]:
            self._tasks.discard(task)
            task.result()

    def _spawn(self, work: Awaitable[None]) -> asyncio.Future[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def _add_services(self, now: float) -> None:
        """Divide the keys of services that have no plan yet."""
        table = self._parts.tables.current
        known = len(self._parts.directory.records())
        if known != self._known:
            self._known = known
            self._known_at = now
        settled = now - self._known_at >= SETTLE_S or now - self._began >= LONGEST_SETTLE_S
        if table is None or not settled:
            return
        for name, spec in table.services.items():
            if not spec.sharded or name in self._ranges:
                continue
            servers = sorted(self._usable(name), key=lambda record: record.server)
            if not servers:
                continue
            lives = tuple(record.incarnation for record in servers)

            def build(version: int, name: str = name, lives: tuple = lives) -> Plan:
                parts = divide_evenly(lives, version)
                return Plan(version, {**self._services(), name: parts})

            plan = await self._parts.writer.change(build)
            self._ranges[name] = [HeldRange(name, keys) for keys in plan.services[name]]
            self._note_written(plan, tuple((name, keys) for keys in plan.services[name]))
            await asyncio.gather(*(self._grant_all(record) for record in servers))
            self._publish()

    def _usable(self, service: str) -> list[ServerRecord]:
        return [
            record
            for record in self._parts.directory.of_service(service)
            if not record.draining and self._failures.get(record.incarnation, 0) < RENEWALS_TO_LOSS
        ]

    def _services(self) -> dict[str, tuple[KeyRange, ...]]:
        return {
            service: merge(tuple(held.keys for held in ranges))
            for service, ranges in self._ranges.items()
        }

    def _held(self) -> Iterable[HeldRange]:
        for ranges in self._ranges.values():
            yield from ranges

    def _renew(self, now: float) -> None:
        """Start the renewals that are due, one server at a time each."""
        lives = dict.fromkeys(held.keys.incarnation for held in self._held() if not held.moving)
        for life in lives:
            record = self._parts.directory.get(life[0])
            if record is None or record.incarnation != life or life in self._renewing:
                continue
            due = self._renewed_at.get(life, float("-inf")) + RENEW_INTERVAL_S
            if now >= due:
                self._spawn(self._renew_server(record))

    async def _renew_server(self, record: ServerRecord) -> None:
        self._renewing.add(record.incarnation)
        self._renewed_at[record.incarnation] = self._parts.timers.now()
        try:
            await self._grant_all(record)
        finally:
            self._renewing.discard(record.incarnation)

    async def _grant_all(self, record: ServerRecord) -> None:
        """Grant or renew every range of a server."""
        for held in list(self._held()):
            if held.keys.incarnation != record.incarnation or held.moving:
                continue
            if not await self._grant(held, record):
                self._failures[record.incarnation] = self._failures.get(record.incarnation, 0) + 1
                self._renewed_at[record.incarnation] = (
                    self._parts.timers.now() - RENEW_INTERVAL_S + RENEW_RETRY_S
                )
                return
        self._failures.pop(record.incarnation, None)

    async def _grant(self, held: HeldRange, record: ServerRecord) -> bool:
        """Grant one range; return whether the server answered."""
        async with held.lock:
            now = self._parts.timers.now()
            current = (
                held.keys.incarnation == record.incarnation and not held.retired and not held.moving
            )
            allowed = self._parts.authority.holds(now) and held.may_grant(now)
            if not current or not allowed:
                return True
            grant = _SentGrant(held.keys, now, self._hold_s, held.held_until)
            held.note_grant_sent(now, grant.hold_s)
            answer = await self._parts.commands.grant(
                record, grant.keys, grant.hold_s, held.handover
            )
            return self._take_answer(held, record, grant, answer)

    def _take_answer(
        self, held: HeldRange, record: ServerRecord, grant: _SentGrant, answer: CommandAnswer
    ) -> bool:
        """Note what came of a grant; return whether the server answered."""
        if answer.leaving:
            self._parts.directory.mark_leaving(record.incarnation)
        keys = {"first": held.keys.first, "last": held.keys.last, "fence": held.keys.fence}
        if answer.done:
            # The token may have been renewed meanwhile; the owner knows only the one it got.
            if held.keys.fence == grant.keys.fence:
                answered = self._parts.timers.now()
                held.note_grant_answered(grant.sent, answered, grant.hold_s, grant.held_before)
            return True
        if answer.fenced:
            emit(Event.GRANT_FENCED, server=record.server, **keys)
            # Only a write to the store tells whether another leader is at work.
            self._parts.authority.revoke()
            held.note_grant_lost(grant.sent, grant.hold_s)
            return True
        if not answer.sent:
            held.note_grant_unsent(grant.held_before)
            return False
        held.note_grant_lost(grant.sent, grant.hold_s)
        emit(Event.GRANT_UNCERTAIN, server=record.server, **keys)
        return False

    async def _renew_tokens(self, now: float) -> None:
        """Void unanswered grants of servers that answer again by a higher token."""
        doubtful = [
            held
            for held in self._held()
            if held.needs_new_token(now) and not held.moving and not held.lock.locked()
        ]
        if not doubtful:
            return
        renewed: dict[int, KeyRange] = {}

        def build(version: int) -> Plan:
            renewed.clear()
            due = self._parts.timers.now()
            for held in doubtful:
                # A move that began meanwhile brings a new token of its own, and only the old token
                # shows whether the owner of a disputed range still has it.
                if not held.moving and not held.retired and not held.is_disputed(due):
                    renewed[id(held)] = evolve(held.keys, fence=version)
            return self._plan(version, renewed)

        plan = await self._parts.writer.change(build)
        for held in doubtful:
            if id(held) in renewed and not held.moving and not held.retired:
                held.renew_token(renewed[id(held)])
                self._renewed_at.pop(held.keys.incarnation, None)
        # No owner changes, so the change is empty.
        self._note_written(plan, ())
        self._publish()

    def _note_written(self, plan: Plan, owners: tuple[tuple[str, KeyRange], ...]) -> None:
        """Keep a written change until it is published."""
        self._newest = plan
        self._unpublished.extend(owners)

    def _publish(self) -> None:
        """Show the newest plan to all instances; changes written meanwhile go with it."""
        plan = self._newest
        if plan is None or plan.version <= self._version:
            return
        change = PlanChange(self._version, plan.version, tuple(self._unpublished))
        self._version = plan.version
        self._unpublished.clear()
        self._parts.publish(plan, change)

    def _plan(self, version: int, changed: Mapping[int, KeyRange]) -> Plan:
        services = {
            service: merge(tuple(changed.get(id(held), held.keys) for held in ranges))
            for service, ranges in self._ranges.items()
        }
        return Plan(version, services)

    @property
    def _hold_s(self) -> float:
        return min(HOLD_S, self._parts.max_lease_s)

    def _is_lost(self, held: HeldRange) -> bool:
        record = self._parts.directory.get(held.keys.server)
        if record is None or record.draining or record.incarnation != held.keys.incarnation:
            return True
        return self._failures.get(held.keys.incarnation, 0) >= RENEWALS_TO_LOSS

    def _replace_lost(self, now: float) -> None:
        """Move the ranges of servers that leave, are gone or don't answer."""
        for service, ranges in self._ranges.items():
            lost = [held for held in ranges if self._is_lost(held) and self._may_start(held, now)]
            if not lost:
                continue
            shares = self._shares(service, ranges)
            if not shares:
                continue
            lost_keys = tuple(held.keys for held in lost)
            for move in distribute_lost_ranges(
                lost_keys, shares, self._parts.load.load_map(service)
            ):
                self._start_move(service, move)

    def _may_start(self, held: HeldRange, now: float) -> bool:
        """Return whether a move may start; a server that answers first voids lost grants."""
        if held.moving or held.lock.locked() or held.is_disputed(now):
            return False
        record = self._parts.directory.get(held.keys.server)
        answers = (
            record is not None
            and record.incarnation == held.keys.incarnation
            and self._failures.get(record.incarnation, 0) < RENEWALS_TO_LOSS
        )
        return not answers or held.may_release(now) or held.is_free(now)

    def _shares(self, service: str, ranges: list[HeldRange]) -> tuple[CandidateServer, ...]:
        """Return the usable servers with their load and speed."""
        load = self._parts.load.load_map(service)
        by_life: dict[tuple[str, int], float] = {}
        for held in ranges:
            rate = load.rate(held.keys.first, held.keys.last)
            by_life[held.keys.incarnation] = by_life.get(held.keys.incarnation, 0.0) + rate
        return tuple(
            CandidateServer(
                record.incarnation,
                by_life.get(record.incarnation, 0.0),
                record.slots * self._parts.load.speed(record.incarnation, record.warmup_left_s),
                sum(
                    held.keys.size for held in ranges if held.keys.incarnation == record.incarnation
                ),
            )
            for record in self._usable(service)
        )

    def _balance(self, now: float) -> None:
        if now - self._balanced_at < BALANCE_INTERVAL_S:
            return
        if self._parts.authority.age_s(now) > STORE_FRESH_S:
            # A move that the store can't take would leave its keys without an owner.
            return
        self._balanced_at = now
        for service, ranges in self._ranges.items():
            shares = self._shares(service, ranges)
            under_way = sum(held.moving for held in ranges)
            if under_way >= max(LEAST_MOVES_AT_ONCE, len(shares) // SERVERS_PER_MOVE_AT_ONCE):
                continue
            movable = tuple(
                held.keys
                for held in ranges
                if not held.moving
                and not held.is_disputed(now)
                and held.may_release(now)
                and not self._is_lost(held)
            )
            for move in plan_moves(movable, shares, self._parts.load.load_map(service)):
                self._start_move(service, move)

    def _start_move(self, service: str, move: Move) -> None:
        held = self._cut(service, move)
        target = self._parts.directory.get(move.target[0])
        if held is None or target is None or target.incarnation != move.target:
            return
        held.moving = True
        self._spawn(self._move(held, target))

    def _cut(self, service: str, move: Move) -> HeldRange | None:
        """Return the moved keys as a range of their own."""
        ranges = self._ranges[service]
        for index, held in enumerate(ranges):
            keys = held.keys
            if not keys.first <= move.first <= move.last <= keys.last:
                continue
            if held.moving or held.lock.locked():
                return None
            parts = []
            if keys.first < move.first:
                parts.append(held.split(keys.first, move.first - 1))
            middle = held.split(move.first, move.last)
            parts.append(middle)
            if move.last < keys.last:
                parts.append(held.split(move.last + 1, keys.last))
            held.retired = True
            ranges[index : index + 1] = parts
            return middle
        return None

    async def _move(self, held: HeldRange, target: ServerRecord) -> None:
        """Move a range: its owner lets go, the plan names the next one, which is granted."""
        began = self._parts.timers.now()
        async with held.lock:
            handover = await self._let_go(held)
        self._pending.append((held, target, handover))
        emit(
            Event.RANGE_RELEASED,
            service=held.service,
            first=held.keys.first,
            last=held.keys.last,
            server=held.keys.server,
            warm=handover is not None,
            waited_ms=round((self._parts.timers.now() - began) * 1000),
        )
        await self._commit()

    async def _let_go(self, held: HeldRange) -> str | None:
        """Wait until the owner holds the range no more; return its handover if it gave one."""
        while True:
            now = self._parts.timers.now()
            if held.is_disputed(now):
                # What this owner says tells nothing of another one.
                await self._parts.timers.sleep(ORDER_RETRY_S)
                continue
            record = self._parts.directory.get(held.keys.server)
            if record is not None and record.born_ms > held.keys.born_ms:
                # A later start of the same server holds nothing of before.
                return None
            if held.is_free(now) or self._has_ended(held):
                return None
            if not self._parts.authority.holds(now):
                await self._parts.timers.sleep(ORDER_RETRY_S)
                continue
            last = self._parts.directory.get_recent(held.keys.server, now)
            if (
                last is not None
                and last.incarnation == held.keys.incarnation
                and held.may_release(now)
            ):
                keys = held.keys
                self._parts.pause(RangePause(held.service, keys.first, keys.last, keys.fence))
                limit_s = max(held.held_until, held.inherited_until) - now
                answer = await self._parts.commands.release(last, held.keys, limit_s)
                if answer.done:
                    return answer.handover
            await self._parts.timers.sleep(ORDER_RETRY_S)

    def _has_ended(self, held: HeldRange) -> bool:
        """Return whether a later server has the owner's address, which only ended servers lose.

        The registration of an earlier server at the same address may still stand.
        """
        address = self._addresses.get(held.keys.incarnation)
        if address is None:
            return False
        return any(
            record.address == address
            and record.server != held.keys.server
            and record.born_ms > held.keys.born_ms
            for record in self._parts.directory.records()
        )

    async def _commit(self) -> None:
        """Store all moves whose old owners have let go; one task does it for all."""
        if self._committing:
            return
        self._committing = True
        try:
            while self._pending:
                await self._commit_pending()
        finally:
            self._committing = False

    async def _commit_pending(self) -> None:
        """Store what is pending when the store's turn comes, and start the grants."""
        batch: list[tuple[HeldRange, ServerRecord, str | None]] = []
        targets: list[tuple[HeldRange, KeyRange, str | None]] = []

        def build(version: int) -> Plan:
            batch.extend(self._pending)
            self._pending.clear()
            targets.clear()
            changed = {}
            for held, target, handover in batch:
                keys = evolve(
                    held.keys, server=target.server, born_ms=target.born_ms, fence=version
                )
                targets.append((held, keys, handover))
                changed[id(held)] = keys
            return self._plan(version, changed)

        plan = await self._parts.writer.change(build)
        for held, keys, handover in targets:
            held.give(keys, handover)
        self._note_written(plan, tuple((held.service, keys) for held, keys, _ in targets))
        self._parts.metrics.count("keys_moved", amount=sum(keys.size for _, keys, _ in targets))
        self._spawn(self._grant_and_publish([held for held, _, _ in targets]))

    async def _grant_and_publish(self, moved: list[HeldRange]) -> None:
        """Grant moved ranges and show their new owners once these can serve."""
        grants = asyncio.gather(*(self._grant_moved(held) for held in moved))
        await asyncio.wait([grants], timeout=PUBLISH_WITHIN_S)
        self._publish()
        await grants

    async def _grant_moved(self, held: HeldRange) -> None:
        record = self._parts.directory.get(held.keys.server)
        if record is not None and record.incarnation == held.keys.incarnation:
            await self._grant(held, record)
