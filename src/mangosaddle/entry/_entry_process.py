"""Assembly and life cycle of one entry process."""

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable, Sequence
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from .._identifiers import Incarnation, ServiceName, VmId
from .._prompt_crash_exchange import CLEARED_PARTS, PROMPT_CRASHES, PromptCrashExchange
from .._prompt_quarantine import PromptQuarantine
from .._quarantine import Quarantine
from .._retry_budget import RetryBudget, reserve_per_vm
from .._store_revisions import start_order
from .._tasks import BackgroundTasks
from ..coordination import (
    CoordinationStore,
    PrefixWatcher,
    VmRecord,
    VmRegistration,
)
from ..duties import ScalingLimits
from ..http11 import ConnectionPool, ServerExchange, ServerLimits
from ..membership import VmIdentity
from ..peers import PeerNode, PeerSettings, PeerTimings
from ..traffic import (
    AllowanceLimiter,
    AllowanceLimits,
    Catalogue,
    Endpoints,
    HomeDemand,
    PlacementPolicy,
    RegionReports,
    VmReach,
)
from ._allowance_calls import AllowanceCalls
from ._attempt import EndpointClient
from ._caller_requests import CallerRequestHandler
from ._catalogue_holder import CatalogueHolder
from ._crash_reports import CRASHES, CrashReports
from ._crash_tracker import CrashTracker
from ._discovery import Discovery
from ._duties import Duties
from ._duty_holders import DUTY_HOLDER
from ._entry_servers import EntryServers
from ._fleet_view import FleetView
from ._forwarding import ForwardedRequests, PeerForwarder
from ._indirect_checks import IndirectChecks
from ._ingress_limits import ProcessLimits
from ._load_reports import (
    ENDPOINT_LOAD,
    FLEET_REPORT,
    LOAD_INTERVAL_S,
    UNREACHED_SERVICES,
    LoadReports,
)
from ._pause_guard import CHECK_INTERVAL_S as PAUSE_CHECK_INTERVAL_S
from ._pause_guard import PauseGuard
from ._peer_secret import PeerSecret
from ._platform_adapter import PlatformAdapter
from ._prober import CHECK_INTERVAL_S, Prober
from ._rollout_records import RolloutRecords
from ._rollouts import ROLLOUT_PROGRESS, ROLLOUT_VETO, TICK_S, RolloutTracker
from ._runner import RequestRunner
from ._settings import DutySettings, EntryProcessSettings
from ._speed_reports import READ_TOKENS
from ._statement_exchange import (
    ENDPOINT_LEAVING,
    ENDPOINT_LIMIT,
    ENDPOINT_REJECTIONS,
    StatementExchange,
)
from ._store_followers import (
    OPERATOR_HOLD_TIMES,
    REGISTRATION_HOLD_TIMES,
    VM_ENTRY_HOLD_TIMES,
    VM_ENTRY_WATCH_WAIT_S,
    FollowedPrefix,
    create_followers,
)
from ._store_listeners import OperatorListener, RegistrationListener, VmEntryListener
from ._store_relay import STORE_ITEM, StoreRelay
from ._watch_policy import WatchPolicy

FACT_KINDS = (
    STORE_ITEM,
    ENDPOINT_LOAD,
    ENDPOINT_LIMIT,
    ENDPOINT_REJECTIONS,
    ENDPOINT_LEAVING,
    FLEET_REPORT,
    UNREACHED_SERVICES,
    READ_TOKENS,
    CRASHES,
    PROMPT_CRASHES,
    CLEARED_PARTS,
    ROLLOUT_PROGRESS,
    ROLLOUT_VETO,
    DUTY_HOLDER,
)
FLEET = "mangosaddle"
STORE_PREFIX = "mangosaddle/"
VM_PREFIX = STORE_PREFIX + "vms/"
DUTY_PREFIX = STORE_PREFIX + "duties/"
PEER_SECRET_KEY = STORE_PREFIX + "peer-secret"
PEER_TIMINGS = PeerTimings(
    heartbeat_interval_s=1.0, dial_timeout_s=2.0, backoff_max_s=2.0, idle_timeout_s=20.0
)
"""A VM that is silent for 3 s is avoided: half of the time after which it must no longer be named
to callers."""
BURST_SLACK_SHARE = 0.5
"""Share of an allowance's tolerated excess that is handed out as burst; the rest covers the age of
reports and requests larger than a VM's share."""
ISOLATED_AFTER_S = 8.0
"""Time without contact to the store and to other VMs after which those may have taken over this
VM's share of the allowances."""
TAKEN_OVER_AFTER_S = 2.5
"""Pause after which other VMs may have suspected this one and taken over its buckets."""
HOUSEKEEPING_INTERVAL_S = 0.5
MAX_RESTORE_DELAY_S = 1.0
"""Maximum random delay after which a VM checks what a restored store has lost: by then another VM
has usually written it again."""
REFUSE_AFTER_S = 3.0
"""Time after the stop signal from which new requests are refused: by then callers know that the VM
stops, and requests accepted before can end within the grace period."""
STOP_LISTENING_AFTER_S = 3.2
EXIT_MARGIN_S = 0.6
"""Time before the end of the grace period at which the process exits in any case."""
ANSWER_MARGIN_S = 0.2
"""Time before the exit at which the requests that still run are ended, so that their callers get an
answer rather than a closed connection."""
FORWARD_MARGIN_S = 0.8
"""Time before the exit at which a VM removes its entry although requests of other VMs still run, as
a slow store needs the time. They go on until the links are closed, ``ANSWER_MARGIN_S`` before the
exit at the earliest."""
MAX_MARGIN_SHARE = 0.25
"""Maximum share of a short grace period, or of the time until the exit, that a margin takes."""
MIN_DEREGISTRATION_S = 0.3
"""Time that the store gets to remove the entry of a VM that has used its whole grace period."""
DRAIN_CHECK_INTERVAL_S = 0.05

logger = logging.getLogger(__name__)


def _time_until_exit_s(grace_s: float) -> float:
    """Return the time from the stop signal to the exit, for a grace period in seconds."""
    return grace_s - min(EXIT_MARGIN_S, MAX_MARGIN_SHARE * grace_s)


def _time_for_forwards_s(exit_within_s: float) -> float:
    """Return for how many seconds a stop keeps the VM's entry while requests of other VMs run.

    ``exit_within_s`` is the time from the stop signal to the exit.
    """
    return exit_within_s - min(FORWARD_MARGIN_S, MAX_MARGIN_SHARE * exit_within_s)


class EntryProcess:
    """One entry process of the fleet; must only be used on the event loop."""

    def __init__(
        self, settings: EntryProcessSettings, store: CoordinationStore, adapter: PlatformAdapter
    ) -> None:
        """Assemble the process; ``start`` opens its sockets."""
        self.settings = settings
        self.registry = CollectorRegistry()
        self._store = store
        self._adapter = adapter
        self._rng = random.Random(f"{settings.vm} {os.urandom(8).hex()}")
        self._clock = time.monotonic
        self._incarnation = Incarnation(os.urandom(8).hex())
        self._tasks = BackgroundTasks()
        self._pool = ConnectionPool()
        self._node: PeerNode | None = None
        self._peer_secret = PeerSecret(store, PEER_SECRET_KEY, first_start=settings.first_start)
        self._store_era = 0
        """Era of the store in which what this VM wrote was last checked."""
        self._leaving = False
        self._last_contact_at_s = self._clock()
        self._process_limits = ProcessLimits.from_vm(settings.vm_limits)
        self._assemble_state()
        self._assemble_traffic()
        self._assemble_sources()
        self._assemble_servers()
        self._assemble_metrics()

    def _assemble_state(self) -> None:
        settings = self.settings
        self.catalogue = CatalogueHolder(self._clock)
        self.pause_guard = PauseGuard(self._on_pause)
        self.endpoints = Endpoints(settings.region)
        self.statements = StatementExchange(settings.vm, self.endpoints, self._clock, time.time)
        self.fleet = FleetView(settings.vm, self.is_ready)
        self.regions = RegionReports()
        self.reach = VmReach()
        self.quarantine = Quarantine()
        self.prompt_quarantine = PromptQuarantine()
        self.crashes = CrashTracker(self.quarantine, self.prompt_quarantine, time.time)
        self.allowances = AllowanceLimiter(
            settings.vm,
            settings.bounds.allowance_slack * BURST_SLACK_SHARE,
            first_start=settings.first_start,
        )
        self.allowance_calls = AllowanceCalls(settings.vm, self.allowances)
        self.home_demand = HomeDemand()
        self.watch_policy = WatchPolicy(settings.vm, settings.region)
        self.rollouts = RolloutTracker(
            settings.vm,
            self.endpoints,
            lambda: self.settings.bounds,
            self._live_vms,
            self._clock,
            time.time,
        )
        self.catalogue.on_change(self._on_catalogue_change)
        self._duties = self._new_duties(settings.duties) if settings.duties is not None else None

    def _new_duties(self, duty_settings: DutySettings) -> Duties:
        return Duties(
            self.settings,
            duty_settings,
            self._incarnation,
            self._store,
            DUTY_PREFIX,
            self._adapter.create_duty_calls(duty_settings.address),
            self.endpoints,
            self.fleet,
            self._scaling_limits,
            self.registry,
            self._clock,
        )

    def _assemble_traffic(self) -> None:
        placement = PlacementPolicy(self.settings.vm, self.endpoints, self.regions)
        self._endpoint_client = EndpointClient(
            self._adapter.wire,
            self._pool,
            self.pause_guard.is_current,
            self.statements.record_answer,
            self.rollouts.loop_stalls,
            self._duties.record_begun if self._duties is not None else lambda request: None,
            self._process_limits.buffered_answers_bytes,
        )
        self.runner = RequestRunner(
            self.settings.vm,
            self.endpoints,
            placement,
            self._endpoint_client,
            self.crashes,
            self.rollouts,
            self.statements,
            lambda: self.fleet.region_vms(self.settings.region),
            self._new_budget,
            self.registry,
        )
        self.request_handler = CallerRequestHandler(
            self._adapter.wire,
            self.catalogue,
            self.allowance_calls,
            self.crashes,
            self.home_demand,
            self.runner,
            self.pause_guard,
            self.registry,
            self._rng,
        )
        self._prober = Prober(
            self._adapter.wire,
            self.endpoints,
            self._endpoint_client,
            self._tasks,
            self.crashes.record_endpoint_loss,
            self.statements.record_answer,
            lambda view: self._indirect_checks.is_reached_elsewhere(view),
            self._clock,
        )
        self._indirect_checks = IndirectChecks(
            self.endpoints, self._prober.reaches, self._vms_to_ask, time.time
        )

    def _vms_to_ask(self, service: ServiceName) -> Sequence[VmId]:
        """Return other VMs of this region that may reach endpoints of a service."""
        own, region_vms = self.settings.vm, self.fleet.region_vms(self.settings.region)
        return self.reach.relays(own, region_vms, service, (own,), self._clock())

    def _assemble_sources(self) -> None:
        adapter, settings = self._adapter, self.settings
        self._operator_listener = OperatorListener(
            adapter.configuration_key,
            adapter.decode_configuration,
            adapter.evacuated_zone,
            self.catalogue,
            self.endpoints,
            self.rollouts,
            adapter.rollouts,
            self._clock,
        )
        self._registration_listener = RegistrationListener(
            adapter.decode_registration,
            adapter.endpoint_of_key,
            settings.regions_by_zone,
            self.endpoints,
            self._clock,
        )
        self._vm_record = VmRecord(
            vm=settings.vm,
            incarnation=self._incarnation,
            region=settings.region,
            zone=settings.zone,
            host=settings.host,
            peer_port=settings.peer_port,
            front_port=settings.front[1],
        )
        self._presence = VmRegistration(
            self._store, VM_PREFIX + settings.vm, self._vm_record, self._rng
        )
        self._vm_entry_listener = VmEntryListener(
            VM_PREFIX,
            settings.vm,
            self._presence.handle_change,
            self._on_vms_change,
            self._is_reporting,
            self._clock,
        )
        self._relay = StoreRelay(self._rng)
        self._followers = create_followers(
            self._store,
            self._relay,
            (
                FollowedPrefix(
                    adapter.operator_prefix, self._operator_listener, OPERATOR_HOLD_TIMES
                ),
                FollowedPrefix(
                    adapter.registration_prefix,
                    self._registration_listener,
                    REGISTRATION_HOLD_TIMES,
                ),
                FollowedPrefix(
                    VM_PREFIX,
                    self._vm_entry_listener,
                    VM_ENTRY_HOLD_TIMES,
                    VM_ENTRY_WATCH_WAIT_S,
                ),
            ),
            adapter.item_order,
            self._rng,
            self._clock,
        )
        self.pause_guard.watch(self._followers)
        self._rollout_records = RolloutRecords(
            settings.vm,
            self._store,
            adapter.rollouts,
            self.rollouts,
            self._live_vms,
            self._tasks,
            self._clock,
        )
        prefix = adapter.rollouts.STATUS_PREFIX
        self._rollout_record_follower = PrefixWatcher(
            self._store, prefix, self._relay.wrap_listener(prefix, self._rollout_records), self._rng
        )
        self._relay.add_reader(prefix, self._rollout_record_follower.read_again)

    def _assemble_servers(self) -> None:
        discovery = Discovery(
            self.fleet,
            lambda: self.catalogue.current,
            self.home_demand,
            self._rng,
            self._clock,
            self.settings.bounds.discovery_ttl_s,
            min(REFUSE_AFTER_S, _time_until_exit_s(self.settings.bounds.grace_s)),
            self.registry,
        )
        interface_handler = self._adapter.create_interface_handler(discovery, self.is_ready)
        refused = Counter(
            "mangosaddle_clients_refused",
            "Clients refused or disconnected for lack of room, by server and limit",
            ["server", "limit"],
            registry=self.registry,
        )
        self._servers = EntryServers.create(
            self.request_handler,
            self._front_limits,
            self._log_bad_request,
            interface_handler.handle,
            self._metrics_page,
            self._process_limits.ingress_by_door,
            lambda server, limit: refused.labels(server, limit).inc(),
        )

    def _assemble_metrics(self) -> None:
        self.add_gauge(
            "mangosaddle_busy", "Requests in progress", lambda: self._servers.front.active_requests
        )
        self.add_gauge(
            "mangosaddle_endpoint_connections",
            "Connections opened to endpoints",
            lambda: self._endpoint_client.connections_opened,
        )
        self.add_gauge(
            "mangosaddle_partial_event_bytes",
            "Bytes of events of streams that are not complete yet",
            lambda: self._endpoint_client.event_memory.held_bytes,
        )
        self.add_gauge(
            "mangosaddle_health_checks", "Health checks sent", lambda: self._prober.checks_sent
        )
        self.add_gauge(
            "mangosaddle_configuration_version",
            "Version of the configuration in force",
            lambda: self.catalogue.version or 0,
        )
        self.add_gauge(
            "mangosaddle_rollouts_active",
            "Ordered rollouts that have not ended",
            lambda: len(self.rollouts.active()),
        )
        self.add_gauge(
            "mangosaddle_store_contact_age_seconds",
            "Time since the store answered last",
            lambda: self._clock() - self._last_contact_at_s,
        )

    def add_gauge(self, name: str, help_text: str, value: Callable[[], float]) -> None:
        """Add a gauge to the metrics page; ``value`` is called on each scrape."""
        Gauge(name, help_text, registry=self.registry).set_function(value)

    # Life cycle

    async def start(self) -> None:
        """Open the sockets and start to follow the store; raises ``OSError``."""
        await self._servers.start(self.settings)
        for follower in self._followers:
            self._tasks.spawn(follower.run())
        self._rollout_record_follower.set_enabled(False)
        self._tasks.spawn(self._rollout_record_follower.run())
        self._tasks.spawn(self._presence.run())
        self._tasks.spawn(self._join_fleet())
        self._tasks.run_periodically(
            PAUSE_CHECK_INTERVAL_S, self.pause_guard.check, detects_stalls=True
        )
        self._tasks.run_periodically(CHECK_INTERVAL_S, self._prober.check)
        self._tasks.run_periodically(HOUSEKEEPING_INTERVAL_S, self._housekeeping)
        self._tasks.run_periodically(TICK_S, self._tick_rollouts)
        self._tasks.spawn(
            self.rollouts.loop_stalls.run(lambda: bool(self.rollouts.active()), TICK_S)
        )

    async def _join_fleet(self) -> None:
        """Open the links to the other VMs once this one is registered."""
        await self._presence.registered.wait()
        secret = await self._peer_secret.obtain()
        self._store_era = self._store.era
        order = start_order(self._presence.revision)
        identity = VmIdentity(self.settings.vm, self._incarnation, order)
        peer_settings = PeerSettings(
            identity,
            FLEET,
            secret,
            self.settings.host,
            self.settings.peer_port,
            PEER_TIMINGS,
            self._process_limits.handshakes,
            self._process_limits.forwarded_bodies_bytes,
        )
        node = PeerNode(
            peer_settings,
            self.fleet.inventory(),
            FACT_KINDS,
            self.registry,
            self._rng,
        )
        forwarder = PeerForwarder(
            node,
            self.regions,
            self.reach,
            self.settings.vm,
            lambda: self.fleet.vms_for_forwards(self.settings.region),
            self._rng,
            self._process_limits.buffered_answers_bytes,
        )
        forwarded = ForwardedRequests(
            self._adapter.wire,
            self.runner,
            self.settings.region,
            lambda: self.catalogue.current,
            self.pause_guard,
        )
        node.on_forward(forwarded.handle)
        self._relay.connect(node)
        self.rollouts.connect(node)
        self.allowance_calls.connect(node)
        self.statements.connect(node)
        self._indirect_checks.connect(node)
        self.crashes.reports = CrashReports(node, self.quarantine, time.time)
        self.crashes.prompt_exchange = PromptCrashExchange(node, self.prompt_quarantine, time.time)
        reports = LoadReports(
            self.settings.vm,
            self._incarnation,
            self.settings.region,
            self.settings.zone,
            node,
            self.fleet,
            self.endpoints,
            self.allowances,
            self.regions,
            self.reach,
            self.watch_policy,
            self._service_names,
            lambda: all(follower.is_watching for follower in self._followers),
            self._clock,
        )
        await node.start()
        self._node = self.fleet.node = node
        node.update_vms(self.fleet.inventory())
        self.runner.forwarder = forwarder
        self._tasks.run_periodically(LOAD_INTERVAL_S, reports.publish)
        if self._duties is not None:
            self._duties.connect(node)
            self._duties.run(self._tasks)
        logger.info("joined the fleet", extra={"incarnation": self._incarnation})

    async def _restore_peer_secret(self, node: PeerNode) -> None:
        """Write the secret of the links to a restored store, or use the one that it has."""
        await asyncio.sleep(self._rng.uniform(0.0, MAX_RESTORE_DELAY_S))
        secret = await self._peer_secret.ensure(node.secret)
        if secret != node.secret:
            logger.warning("another peer secret is in the store, using it for new links")
            node.use_secret(secret)

    def is_ready(self) -> bool:
        """Return whether this VM accepts requests."""
        knows_all = self.catalogue.current is not None and self._registration_listener.has_snapshot
        return knows_all and not self._leaving and not self.request_handler.refuses_new_requests

    async def drain(self) -> None:
        """Drain the VM and return when the process may exit.

        Callers move to other VMs, and running requests may finish within the grace period.
        """
        began_s = self._clock()
        exit_within_s = _time_until_exit_s(self.settings.bounds.grace_s)
        answer_within_s = exit_within_s - min(ANSWER_MARGIN_S, MAX_MARGIN_SHARE * exit_within_s)
        if self.is_ready():
            self._try_step("announce", self.fleet.start_leaving)
        self._leaving = True
        self._servers.start_closing()
        self._try_step("mark entry", self._presence.mark_leaving)
        if self._node is not None:
            self._try_step("leave fleet", self._node.leave)
        logger.info(
            "stopping",
            extra={"busy": self._servers.front.active_requests, "grace_s": exit_within_s},
        )
        self._try_step(
            "limit requests", partial(self.runner.end_requests_by, began_s + answer_within_s)
        )
        if self._duties is not None:
            self._tasks.spawn(self._duties.leave())
        forwards_within_s = _time_for_forwards_s(exit_within_s)
        self._try_step(
            "limit forwards",
            partial(self.runner.end_new_forwards_by, began_s + forwards_within_s),
        )
        await asyncio.sleep(min(REFUSE_AFTER_S, answer_within_s))
        self.request_handler.refuses_new_requests = True
        stop_listening_at_s = began_s + min(STOP_LISTENING_AFTER_S, answer_within_s)
        await asyncio.sleep(max(0.0, stop_listening_at_s - self._clock()))
        self._try_step("stop accepting", self._servers.front.stop_accepting)
        check_interval_s = min(DRAIN_CHECK_INTERVAL_S, MAX_MARGIN_SHARE * exit_within_s)
        # The server does not know the connections yet that were accepted last.
        await asyncio.sleep(check_interval_s)
        while self._clock() - began_s < self._time_to_finish_s(exit_within_s):
            self._try_step("close idle connections", self._servers.close_idle)
            await asyncio.sleep(check_interval_s)
        if self._node is not None:
            # The entry is removed next, which may take longer than the time until the next forward.
            self._try_step("refuse forwards", self._node.refuse_forwards)
        logger.info(
            "stopped",
            extra={
                "busy": self._servers.front.active_requests,
                "unfinished": self._unfinished_work(),
                "took_s": round(self._clock() - began_s, 2),
                **self._servers.ended_idle_waits(),
            },
        )
        remaining_s = max(MIN_DEREGISTRATION_S, exit_within_s - (self._clock() - began_s))
        try:
            async with asyncio.timeout(remaining_s):
                await self._presence.deregister()
        except TimeoutError:
            logger.warning("registration entry was not removed", extra={"cause": "timeout"})
        # The entry expires with its lease.
        except Exception:
            logger.exception("step of the stop failed", extra={"step": "remove entry"})
        while self._running_forwards() and self._clock() - began_s < answer_within_s:
            await asyncio.sleep(check_interval_s)

    @staticmethod
    def _try_step(step: str, action: Callable[[], object]) -> None:
        """Take a step of the stop; a failure is logged and does not cut the running requests."""
        try:
            action()
        except Exception:
            logger.exception("step of the stop failed", extra={"step": step})

    def _time_to_finish_s(self, exit_within_s: float) -> float:
        """Return for how many seconds a stop may wait if the process exits after so many."""
        match self._unfinished_work():
            case []:
                return 0.0
            case ["forwarded_requests"]:
                return _time_for_forwards_s(exit_within_s)
            case _:
                return exit_within_s

    def _unfinished_work(self) -> list[str]:
        """Name what a planned stop waits for."""
        names = self._servers.unfinished_work()
        if self._running_forwards():
            names.append("forwarded_requests")
        return names

    def _running_forwards(self) -> int:
        return self._node.running_forward_count if self._node is not None else 0

    async def stop(self) -> None:
        """Close the servers, the links, the background tasks and the connections."""
        await self._servers.stop()
        if self._node is not None:
            await self._node.stop()
        await self._tasks.stop()
        self._pool.close()

    # Changes

    def _on_pause(self, pause_s: float) -> None:
        self.fleet.extend_reports(pause_s)
        if pause_s > TAKEN_OVER_AFTER_S:
            self.allowances.empty_buckets(self._clock())

    def _on_catalogue_change(self, catalogue: Catalogue) -> None:
        now = self._clock()
        self.endpoints.set_catalogue(catalogue)
        self.home_demand.retain(catalogue.routes_by_host.keys())
        limits = {
            organisation.id: AllowanceLimits(organisation.rate_per_s, organisation.burst)
            for organisation in catalogue.organisations_by_id.values()
            if organisation.rate_per_s > 0
        }
        self.allowances.set_limits(limits, now)

    def _is_reporting(self, record: VmRecord) -> bool:
        # After a pause, this may be called before the pause has been detected.
        self.pause_guard.check()
        return self.fleet.is_reporting(record)

    def _on_vms_change(self) -> None:
        records = dict(self._vm_entry_listener.records_by_vm)
        records[self.settings.vm] = self._vm_record
        self.fleet.set_records(records, self._vm_entry_listener.revisions_by_vm)
        self.allowances.set_vms(self.fleet.all_vms(), self._clock())
        extra_retries = self.settings.bounds.extra_retries
        self.runner.resize_budgets(reserve_per_vm(extra_retries, len(self.fleet.all_vms())))

    def _new_budget(self) -> RetryBudget:
        bounds = self.settings.bounds
        vms = len(self.fleet.all_vms())
        return RetryBudget.from_fleet_budget(bounds.retry_ratio, bounds.extra_retries, vms)

    def _service_names(self) -> list[ServiceName]:
        catalogue = self.catalogue.current
        return list(catalogue.services_by_name) if catalogue is not None else []

    def _scaling_limits(self) -> dict[ServiceName, ScalingLimits]:
        """Return the services whose endpoints may be ordered: those without an active rollout."""
        catalogue = self.catalogue.current
        if catalogue is None:
            return {}
        changing = {rollout.order.service for rollout in self.rollouts.active()}
        return {
            name: service.scaling
            for name, service in catalogue.services_by_name.items()
            if service.scaling is not None and name not in changing
        }

    def _housekeeping(self) -> None:
        now = self._clock()
        if self._node is not None and self._store_era != self._store.era:
            self._on_store_restored(self._node)
        for follower in (*self._followers, self._rollout_record_follower):
            follower.follow_era(self._store.era)
            follower.follow_recovery(self._store.recovered_at_s)
        self._registration_listener.remove_due()
        self._vm_entry_listener.remove_due()
        self._relay.release_held([row.prefix for row in self._followers if row.is_failing])
        self.fleet.record_served_regions()
        self._pool.close_expired()
        for view in self.endpoints.views():
            view.load.observe_overdue(now, self.rollouts.loop_stalls.reading_delay_s)
        self._update_watching(now)
        if any(follower.is_watching for follower in self._followers):
            self._last_contact_at_s = now
        self._last_contact_at_s = max(self._last_contact_at_s, self._presence.renewed_at_s)
        is_isolated = now - self._last_contact_at_s > ISOLATED_AFTER_S and self.fleet.is_alone()
        self.allowances.set_isolated(is_isolated, now)
        self.allowances.rebalance(now)

    def _on_store_restored(self, node: PeerNode) -> None:
        """Write again what a restored store has lost of what the fleet wrote.

        The registration of this VM notices by itself that its lease has ended.
        """
        self._store_era = self._store.era
        self._rollout_records.handle_restore(self._store_era)
        self._tasks.spawn(self._restore_peer_secret(node))

    def _tick_rollouts(self) -> None:
        """Evaluate the versions of ordered rollouts and write the states that are due."""
        self._rollout_record_follower.set_enabled(self._rollout_records.must_follow)
        self.rollouts.tick()
        self._rollout_records.write_due()

    def _live_vms(self) -> frozenset[VmId]:
        return frozenset(row.vm for row in self.fleet.live())

    def _update_watching(self, now: float) -> None:
        """Watch the store, or rely on the changes that other VMs relay."""
        region_vms = self.fleet.region_vms(self.settings.region)
        is_watcher = self.watch_policy.should_watch(len(self.fleet.all_vms()), region_vms, now)
        for follower in self._followers:
            # What was relayed before this VM started may no longer be among the facts.
            follower.set_enabled(is_watcher or follower.last_contact_s is None)

    # Servers

    def _front_limits(self) -> ServerLimits:
        catalogue = self.catalogue.current
        if catalogue is None:
            return ServerLimits()
        limits = catalogue.limits
        return ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    @staticmethod
    def _log_bad_request(status: int, reason: str) -> None:
        logger.info("malformed request refused", extra={"status": status, "cause": reason})

    async def _metrics_page(self, exchange: ServerExchange) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, headers, generate_latest(self.registry))
