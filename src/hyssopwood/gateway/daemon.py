"""The gateway daemon: builds its components, serves callers and shuts down gracefully."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable

from attrs import evolve, frozen

from hyssopwood.build import build_id
from hyssopwood.events import Event, emit
from hyssopwood.gateway.caller_protection import CallerProtection
from hyssopwood.gateway.caller_server import CallerServer
from hyssopwood.gateway.configuration_age import ConfigurationAge
from hyssopwood.gateway.crash_suspects import CrashCounter, CrashMonitor, Suspects
from hyssopwood.gateway.dispatcher import Dispatcher, DispatcherDependencies
from hyssopwood.gateway.evacuation_reach import EvacuationReach
from hyssopwood.gateway.evacuations import Evacuations
from hyssopwood.gateway.exchange import CallerAnswer, CallerRequest, HeaderCodec
from hyssopwood.gateway.feeds import (
    ConfigurationFeed,
    ConfigurationFollower,
    ServerFeed,
    ServerFollower,
)
from hyssopwood.gateway.gateway_settings import GatewaySettings
from hyssopwood.gateway.instance_list import InstanceList, InstanceRecord
from hyssopwood.gateway.load_reports import LoadReports
from hyssopwood.gateway.queue_keeper import QueueKeeper
from hyssopwood.gateway.queue_link import QueueLink
from hyssopwood.gateway.queue_messages import Leads
from hyssopwood.gateway.retry_budget import RetryBudget
from hyssopwood.gateway.retry_share import SharedRetries
from hyssopwood.gateway.route_table import CallerLimits, RouteTables
from hyssopwood.gateway.server_connection import Dial, dial
from hyssopwood.gateway.server_directory import ServerDirectory, ServerRecord
from hyssopwood.gateway.server_health import ServerHealth
from hyssopwood.gateway.server_limits import ServerLimits
from hyssopwood.gateway.server_paths import ServerPaths
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.gateway.shutdown import ShutdownTimes
from hyssopwood.gateway.store_availability import StoreAvailability, longest_interval_s
from hyssopwood.gateway.warmup import ColdServers, SettledRank
from hyssopwood.keyspace.grant_channels import GrantChannels
from hyssopwood.keyspace.key_load import KeyLoad
from hyssopwood.keyspace.key_manager import (
    STORE_REACHABLE_S,
    KeyCommands,
    KeyManager,
    KeyManagerDependencies,
)
from hyssopwood.keyspace.leadership import Claim, Leadership, LeadershipDependencies
from hyssopwood.keyspace.link import LeaderLink, LeaderStatus, LinkServer
from hyssopwood.keyspace.link_codec import Hello, InstanceReport, ServerUpdate
from hyssopwood.keyspace.plan import Leader, Plan, PlanChange
from hyssopwood.keyspace.plan_store import PlanStore
from hyssopwood.keyspace.plan_view import PlanView, RangePause
from hyssopwood.metrics import Metrics
from hyssopwood.supervisor import Child, Supervisor
from hyssopwood.timers import Timers

HOUSEKEEPING_INTERVAL_S = 1.0
SHUTDOWN_POLL_S = 0.05
# Time for which a new leader that knows no evacuations waits to learn of them. It starts to read
# them when its process starts, so that a store that lets it claim has usually answered already.
INFORMED_LIMIT_S = 2.0
# Share of the time after which nothing may reach an evacuated domain in which grants may still void
# unanswered ones there, counted from when the leader learned of the evacuation. The rest covers how
# late it learned of it.
EVACUATED_GRANTS_SHARE = 0.5
# Interval at which a cut off leader checks whether another instance reaches the servers.
HAND_OVER_CHECK_S = 0.2

# Instances of each failure domain that check frequently whether the leader has failed. If all did,
# they would only add reads of the store: 600 a second for 195 instances.
CANDIDATES_PER_DOMAIN = 4


@frozen(kw_only=True)
class PlatformAdapters:
    """The adapters through which the gateway uses the deployment's platform."""

    configuration: ConfigurationFeed
    servers: ServerFeed
    plan_store: PlanStore
    key_commands: Callable[[ServerPool, GrantChannels], KeyCommands]
    header_codec: HeaderCodec
    id_header: bytes
    ready_path: bytes


class _ReadinessHandler:
    def __init__(self, ready: Callable[[], bool], path: bytes) -> None:
        self._ready = ready
        self._path = path

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        if request.target.split(b"?", 1)[0] != self._path:
            return CallerAnswer(status=404)
        return CallerAnswer(status=200 if self._ready() else 503)


class _MetricsHandler:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        return CallerAnswer(status=200, headers=headers, body=self._metrics.exposition())


def _cold_servers(
    settings: GatewaySettings, timers: Timers, metrics: Metrics, tables: RouteTables
) -> ColdServers | None:
    """Return the state of cold servers, or None if the deployment states no bound for them."""
    bounds = settings.bounds
    if bounds.warmup_overage <= 0:
        return None
    return ColdServers(timers, metrics, tables, bounds.warmup_overage, bounds.warmup_slack)


class GatewayDaemon:
    """Run one gateway instance."""

    _peers: asyncio.Server | None = None
    _was_ready = False

    def __init__(
        self,
        settings: GatewaySettings,
        adapters: PlatformAdapters,
        timers: Timers,
        metrics: Metrics,
        dialer: Dial = dial,
    ) -> None:
        self._settings, self._adapters = settings, adapters
        self._timers, self._metrics = timers, metrics
        self._stopping = asyncio.Event()
        self._tables = RouteTables()
        self._directory = ServerDirectory()
        self._evacuations = Evacuations(timers, metrics)
        self._view = PlanView(timers)
        self._reports = LoadReports(KeyLoad(timers))
        self._load = KeyLoad(timers)
        self._crashes = CrashMonitor(timers)
        self._crash_counter = CrashCounter(timers, self._directory.has_ended)
        self._limits = ServerLimits(timers, metrics)
        self._identity = Leader(settings.instance, secrets.token_hex(8), settings.peer_address)
        self._record = InstanceRecord(
            settings.instance,
            settings.peer_address,
            settings.failure_domain,
            settings.capacity,
            settings.relay_address,
            build_id(),
        )
        self._instances = InstanceList(self._record)
        self._rank = SettledRank(timers, self._instances, self._record)
        self._cold = _cold_servers(settings, timers, metrics, self._tables)
        self._retries = SharedRetries(
            timers,
            settings.bounds.retry_window_s,
            (settings.instance, self._identity.incarnation),
        )
        self._health = ServerHealth(timers)
        self._protection = CallerProtection(
            timers,
            metrics,
            adapters.header_codec,
            settings.memory_mb,
            settings.max_descriptors,
        )
        self._paths = ServerPaths(
            self._record,
            self._instances,
            self._directory,
            self._health,
            adapters.id_header,
            timers,
            metrics,
            dialer,
            self._stopping.is_set,
            self._protection.budget,
            self._protection.max_relayed,
        )
        self._grant_channels = GrantChannels(self._paths.connect_directly)
        self._key_commands = adapters.key_commands(self._paths.command_pool, self._grant_channels)
        self._keeper = QueueKeeper(
            self._directory,
            self._health,
            self._limits,
            self._view.range_count,
            timers,
            self._cold,
            self._rank.is_settled_first,
        )
        self._queues = QueueLink(
            settings.peer_address,
            settings.instance,
            self._instances,
            self._keeper,
            timers,
            metrics,
            self._on_leader_announced,
        )
        self._link = LeaderLink(
            timers,
            self._hello,
            self._view.offer,
            lambda: self._view.plan,
            self._recent_report,
            self._next_report,
            self._apply_servers,
            self._view.pause,
            self._instances.apply,
            self._crashes.set_suspects,
            lambda: self._instances.count,
            self._record_heartbeat,
            self._evacuations.accept if self._evacuates else None,
        )
        self._link_server = LinkServer(
            settings.peer_address,
            timers,
            self._leader_status,
            lambda: self._view.plan,
            self._directory.listed_records,
            self._add_report,
            self._on_link_opened,
            self._instances,
            self._announce_leadership,
            self._find_suspects,
            self._retries.handle_link,
        )
        self._availability = StoreAvailability(
            timers, random.Random(), longest_interval_s(settings.bounds.apply_s)
        )
        self._configuration = ConfigurationFollower(
            adapters.configuration,
            self._tables,
            timers,
            self._link,
            self._handle_configuration,
            self._availability,
            ConfigurationAge(timers, self._leader_configuration_age_s),
        )
        self._servers = ServerFollower(
            adapters.servers, self._directory, timers, self._link, self._availability
        )
        self._subscribe()
        self._leadership = Leadership(self._leadership_dependencies())
        self._dispatcher = Dispatcher(self._dispatcher_dependencies())
        self._callers = CallerServer(
            settings.caller_address,
            self._dispatcher,
            timers,
            self._caller_limits,
            self._protection,
        )
        self._readiness = CallerServer(
            settings.readiness_address,
            _ReadinessHandler(self.is_ready, adapters.ready_path),
            timers,
        )
        self._metrics_server = CallerServer(
            settings.metrics_address, _MetricsHandler(metrics), timers
        )
        self._supervisor = Supervisor(settings.instance, timers)
        self._manager: KeyManager | None = None
        self._predecessor: Leader | None = None
        # Version of the plan when this instance last claimed leadership.
        self._claim_version = -1

    def _subscribe(self) -> None:
        self._directory.subscribe_stored(self._publish_server)
        self._directory.subscribe_registrations(self._observe_registration)
        if self._evacuates:
            self._adapters.configuration.subscribe_evacuations(self._evacuations.apply)
            self._evacuations.subscribe(self._handle_evacuation)

    @property
    def _evacuates(self) -> bool:
        """Return whether the settings ask for evacuations of failure domains."""
        return self._settings.bounds.evacuate_s is not None

    @property
    def is_leader(self) -> bool:
        """Return whether this instance is the leader."""
        return self._leadership.leading

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers to this instance."""
        table = self._tables.current
        if self._stopping.is_set() or table is None:
            return False
        sharded = any(spec.sharded for spec in table.services.values())
        return not sharded or self._view.plan is not None

    def stop(self) -> None:
        """Begin a graceful shutdown; `run` returns when it is complete."""
        self._stopping.set()

    def handle_reload(self) -> None:
        """Log a request to reload the settings.

        Nothing is read again: addresses and identity can't change within a process, and all other
        configuration comes from the store.
        """
        emit(Event.SETTINGS_RELOADED, instance=self._settings.instance)

    async def run(self) -> None:
        """Serve until `stop` is called."""
        build = self._record.build
        emit(Event.STARTED, incarnation=self._identity.incarnation, build=build)
        self._metrics.set("build", 1, build)
        await self._start()
        await self._stopping.wait()
        await self._shut_down()
        await self.end()
        emit(Event.STOPPED)

    async def end(self) -> None:
        """Stop all tasks and listeners immediately."""
        await self._supervisor.stop_all()
        for server in (self._callers, self._readiness, self._metrics_server):
            server.close()
        self._callers.reset_unfinished()
        if self._peers is not None:
            self._peers.close()
        self._queues.close()
        self._paths.relay_server.close()
        self._paths.reach.close()

    async def _start(self) -> None:
        await self._readiness.start()
        await self._callers.start()
        await self._metrics_server.start()
        self._peers = await self._link_server.start()
        await self._queues.start()
        await self._paths.relay_server.start()
        children = (
            Child("configuration", self._configuration.run),
            Child("servers", self._servers.run),
            Child("links", self._link_server.run),
            Child("leadership", self._leadership.run),
            Child("queues", self._keeper.run),
            Child("queue-link", self._queues.run),
            Child("callers", self._callers.enforce_limits),
            Child("housekeeping", self._run_housekeeping),
        )
        for child in children:
            self._supervisor.start(child)

    async def _shut_down(self) -> None:
        times = ShutdownTimes.begin(self._timers.now(), self._settings.bounds.shutdown_s)
        emit(Event.SHUTDOWN_STARTED, busy=self._callers.busy)
        self._callers.disable_keep_alive()
        self._queues.declining = True
        self._paths.relay_server.retire()
        self._dispatcher.begin_shutdown(times)
        while (now := self._timers.now()) < times.ends_at:
            await self._timers.sleep(min(SHUTDOWN_POLL_S, times.ends_at - now))
            if self._timers.now() < times.listener_closes_at:
                # The load balancer and callers may still use an instance that is not ready.
                continue
            self._callers.close()
            self._callers.close_idle()
            relayed = self._paths.relay_server.busy
            if not self._callers.busy and not self._dispatcher.detached and not relayed:
                break

    async def _run_housekeeping(self) -> None:
        evacuation_reach = EvacuationReach(self._evacuations, self._directory)
        async for _ in self._timers.ticks(HOUSEKEEPING_INTERVAL_S):
            records = self._directory.records()
            incarnations = {record.incarnation for record in records}
            self._paths.pool.retain(
                {record.incarnation for record in records if not record.draining}
            )
            self._paths.command_pool.retain(incarnations)
            self._grant_channels.retain(incarnations if self._leadership.leading else set())
            for pool in (self._paths.pool, self._paths.command_pool):
                pool.expire()
            self._health.retain(incarnations)
            self._limits.retain(incarnations)
            self._load.retain(incarnations)
            evacuation_reach.report()
            self._reports.work.review(incarnations)
            costs = {
                f"{service} {route}": cost_s
                for service, route, cost_s in self._reports.work.costs()
            }
            self._metrics.replace("expected_cost_seconds", costs)
            if self._cold is not None:
                self._cold.retain(incarnations)
            self._report_readiness()

    def _report_readiness(self) -> None:
        ready = self.is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            emit(Event.READY if ready else Event.NOT_READY, stopping=self._stopping.is_set())

    def _leadership_dependencies(self) -> LeadershipDependencies:
        return LeadershipDependencies(
            store=self._adapters.plan_store,
            identity=self._identity,
            view=self._view,
            link=self._link,
            timers=self._timers,
            rng=random.Random(),
            availability=self._availability,
            first_start=self._settings.first_start,
            is_candidate=lambda: self._instances.is_among_first("leader", CANDIDATES_PER_DOMAIN),
            capacity=self._settings.capacity,
            lead=self._lead,
            may_lead=lambda: not self._stopping.is_set(),
            wait_hand_over=self._wait_hand_over,
            is_cut_off=lambda: self._paths.reach.any_cut_off,
        )

    def _handle_evacuation(self, domain: str, evacuated: bool) -> None:
        """Close unused connections to servers of an evacuated domain, and tell the followers."""
        self._directory.set_evacuated(domain, evacuated)
        if evacuated:
            records = self._directory.records()
            ready = {record.incarnation for record in records if not record.draining}
            self._paths.pool.retain(ready)
        if self._leadership.leading:
            self._link_server.send_heartbeat()

    def _evacuated_until(self, record: ServerRecord) -> float | None:
        """Return until when a server in an evacuated domain may be sent grants, else None."""
        learned_at = self._evacuations.learned_at(record.failure_domain)
        bound_s = self._settings.bounds.evacuate_s
        if learned_at is None or bound_s is None:
            return None
        return learned_at + bound_s * EVACUATED_GRANTS_SHARE

    async def _wait_hand_over(self) -> None:
        """Wait until this instance is cut off from the servers while another one reaches them."""
        claimed_at = self._timers.now()
        while True:
            await self._paths.reach.wait_cut_off()
            store_age_s = self._leadership.store_age_s()
            store_reached = store_age_s is not None and store_age_s <= STORE_REACHABLE_S
            # One that was cut off before it claimed leads as no other instance did.
            since_claim = self._paths.reach.cut_off_since >= claimed_at
            if since_claim and store_reached and await self._paths.is_relayed():
                return
            await self._timers.sleep(HAND_OVER_CHECK_S)

    def _dispatcher_dependencies(self) -> DispatcherDependencies:
        return DispatcherDependencies(
            tables=self._tables,
            configuration_age=self._configuration.age,
            directory=self._directory,
            plan=self._view,
            pool=self._paths.pool,
            health=self._health,
            limits=self._limits,
            header_codec=self._adapters.header_codec,
            timers=self._timers,
            metrics=self._metrics,
            failure_domain=self._settings.failure_domain,
            queues=self._queues,
            new_budget=self._new_budget,
            reports=self._reports,
            crashes=self._crashes,
            reach=self._paths.reach,
            has_path=self._paths.has_path,
            on_back_off=self._paths.handle_back_off,
            cold=self._cold,
        )

    async def _lead(self, claim: Claim) -> None:
        if self._evacuates and not await self._evacuations.wait_informed(INFORMED_LIMIT_S):
            # Grants could reach an evacuated domain; this instance, or another one, claims again.
            return
        manager = KeyManager(
            KeyManagerDependencies(
                writer=claim.writer,
                authority=claim.authority,
                commands=self._key_commands,
                tables=self._tables,
                directory=self._directory,
                load=self._load,
                limits=self._limits,
                reach=self._paths.reach,
                timers=self._timers,
                metrics=self._metrics,
                publish=self._publish,
                pause=self._publish_pause,
                max_lease_s=self._settings.bounds.max_hold_s,
                evacuated_until=self._evacuated_until,
                cold_rate=self._cold_rate,
            )
        )
        manager.inherit(claim.plan, claim.predecessor_ended, claim.writes_lost_by)
        self._claim_version = -1 if claim.plan is None else claim.plan.version
        self._retries.begin_term()
        self._manager, self._predecessor = manager, claim.predecessor
        self._load.reset_counts()
        self._crash_counter.reset()
        self._add_report(self._recent_report())
        own_reports = asyncio.ensure_future(self._add_own_reports())
        try:
            await manager.run()
        finally:
            self._manager = None
            self._retries.end_term()
            own_reports.cancel()

    def _on_link_opened(self, hello: Hello) -> None:
        """Report the previous leader as ended if a later incarnation of it opens a link."""
        previous = self._predecessor
        if self._manager is None or previous is None or hello.record.instance != previous.instance:
            return
        if hello.incarnation != previous.incarnation:
            self._manager.handle_predecessor_ended()

    async def _add_own_reports(self) -> None:
        async for _ in self._timers.ticks(HOUSEKEEPING_INTERVAL_S / 2):
            self._add_report(self._next_report())

    def _publish(self, plan: Plan, change: PlanChange) -> None:
        self._view.offer(plan, "own change")
        self._link_server.publish(change)

    def _publish_pause(self, pause: RangePause) -> None:
        self._view.pause(pause)
        self._link_server.publish_pause(pause)

    def _publish_server(self, record: ServerRecord, removed: bool) -> None:
        if self._leadership.leading:
            self._link_server.publish_server(record, removed)

    def _observe_registration(self, record: ServerRecord, distributed: bool) -> None:
        """Learn whether a server is cold, and as the leader tell the others if need be."""
        if self._cold is None:
            return
        due = self._cold.record_registration(record, distributed)
        if due and self._leadership.leading:
            self._link_server.publish_server(record, removed=False)

    def _cold_rate(self, record: ServerRecord) -> float | None:
        return None if self._cold is None else self._cold.max_rate(record)

    def _record_heartbeat(self, term: int, count: int, age_s: float, store_age_s: float) -> None:
        link_age_s = self._link.longest_heartbeat_age_s()
        confirmed_age_s = store_age_s - age_s + link_age_s
        self._rank.record_contact(("link", self._link.linked_at), link_age_s, confirmed_age_s)
        self._retries.record(term, count, age_s, store_age_s)

    def _announce_leadership(self, address: str) -> None:
        self._queues.announce(address, Leads(self._identity, self._claim_version))

    def _on_leader_announced(self, leads: Leads) -> None:
        self._leadership.handle_announcement(leads.leader, leads.claim)

    def _handle_configuration(self) -> None:
        """Use the servers of a new configuration's services, and as the leader announce it."""
        table = self._tables.current
        if table is not None:
            self._directory.name_services(table.services)
        self._link_server.send_heartbeat()

    def _hello(self) -> Hello:
        return Hello(
            self._record, self._identity.incarnation, self._view.version, self._instances.digest()
        )

    def _apply_servers(self, update: ServerUpdate) -> None:
        now = self._timers.now()
        if update.complete:
            self._directory.retain(
                (record.server for record in update.present), now, with_grace=True
            )
        for record in update.present:
            self._directory.put(record)
        for record in update.removed:
            self._directory.remove_version(record, now)

    def _recent_report(self) -> InstanceReport:
        return evolve(
            self._reports.collect_recent(),
            crashes=self._crashes.recent_report(),
            leaving=self._directory.leaving(),
            limits=self._limits.notices(),
        )

    def _next_report(self) -> InstanceReport:
        return evolve(
            self._reports.collect(),
            crashes=self._crashes.next_report(),
            limits=self._limits.take_new_notices(),
        )

    def _find_suspects(self) -> Suspects:
        suspects = self._crash_counter.suspects()
        self._crashes.set_suspects(suspects)
        return suspects

    def _add_report(self, report: InstanceReport) -> None:
        self._crash_counter.add_report(report.crashes)
        for incarnation in report.leaving:
            self._directory.mark_leaving(incarnation)
        for notice in report.limits:
            self._limits.apply(notice)
        for service, counts in report.keys.items():
            work = report.work.get(service, {})
            for key, count in counts.items():
                self._load.record_requests(service, key, work.get(key, count))
        for incarnation, mean_s in report.times.items():
            self._load.record_answer_time(incarnation, mean_s)

    def _leader_status(self) -> LeaderStatus | None:
        age_s = self._leadership.store_age_s()
        if age_s is None:
            return None
        table = self._tables.current
        term, sharers = self._retries.announce(age_s)
        self._rank.record_contact(("term", term), 0.0, age_s)
        return LeaderStatus(
            age_s,
            0 if table is None else table.version,
            self._timers.now() - self._servers.read_at,
            self._directory.digest(),
            self._view.version,
            self._configuration.age.own_age_s(),
            term,
            sharers,
            self._evacuations.state if self._evacuates else None,
        )

    def _leader_configuration_age_s(self) -> float | None:
        """Return the age of the leader's configuration if this instance has the same version."""
        table, heartbeat = self._tables.current, self._link.heartbeat
        if table is None or heartbeat is None or heartbeat.configuration != table.version:
            return None
        return self._link.configuration_age_s()

    def _new_budget(self) -> RetryBudget:
        bounds = self._settings.bounds
        return RetryBudget(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window_s,
            self._retries.sharers,
        )

    def _caller_limits(self) -> CallerLimits | None:
        table = self._tables.current
        return None if table is None else table.limits
