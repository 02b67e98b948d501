"""One entry process: construction, startup, draining and shutdown."""

import asyncio
import logging
import random
import secrets
import threading
import time
from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest

from .._identifiers import Incarnation, ModelName, VersionId, VmId
from .._prompt_crash_exchange import CLEARED_PARTS, PROMPT_CRASHES
from .._tasks import BackgroundTasks
from ..configuration import Configuration, Vm
from ..gateway import (
    ADMIN_PREFIX,
    CHAT_ROUTE,
    SERVICES_PREFIX,
    AdminHandler,
    Application,
    CallerRequest,
    CallerResponse,
    ChatHandler,
    ChatService,
    DiscoveryHandler,
    ForwardedRequestHandler,
    GatewayMetrics,
    HttpFrontend,
    Problem,
    ServiceCallController,
    ServiceClient,
    ServiceHandler,
    TargetSelector,
    UnansweredRequests,
)
from ..keys import KeyRing
from ..membership import VmIdentity
from ..orders import IssuedOrderTable, OrderExecutor, OrderIdIssuer
from ..peers import PeerNode, PeerSettings
from ..providers import PlatformMetrics, StoreClient, VmListClient, WeightStoreClient
from ..rollouts import RolloutControl, Veto
from ..routing import Router
from ._administration import AdministrationService
from ._allowance_service import SLOTS_VACATED_KIND, AllowanceService
from ._blocking import BlockingCalls
from ._claim_sweep import ClaimSweep
from ._configuration_holder import ConfigurationHolder
from ._configuration_service import CONFIGURATION_KIND, ConfigurationService
from ._control_loop import ControlLoop
from ._crash_service import CRASH_KIND, CrashService
from ._endpoint_orders_service import EndpointOrdersService
from ._fleet_service import DRAIN_INTERVAL_S, FleetService
from ._key_service import KEY_WITHDRAWAL_KIND, KeyService
from ._load_service import (
    ENDPOINT_LOAD_KIND,
    ENGINE_VERSIONS_KIND,
    REGION_LOAD_KIND,
    LoadService,
)
from ._loss_checks import LossChecks
from ._opener import StreamOpener
from ._order_plan import OrderTimings
from ._reach_probe import ReachProbe
from ._rollout_service import EVIDENCE_KIND, REGION_EVIDENCE_KIND, VETO_KIND, RolloutService
from ._settings import EntrySettings
from ._store_epoch_service import (
    CLAIMS_SETTLED_KEY,
    CLAIMS_WRITTEN_KIND,
    SLOTS_SETTLED_KEY,
    STORE_EPOCH_KIND,
    StoreEpochService,
)
from ._withdrawal_sync import SYNC_INTERVAL_S, WithdrawalSync

STALL_CHECK_INTERVAL_S = 1.0
PENDING_ORDERS_INTERVAL_S = 2.0
CLAIM_RETRY_INTERVAL_S = 0.2
SLOT_RELEASE_TIMEOUT_S = 5.0
START_TIMEOUT_S = 30.0
UNSENT_LIMIT_S = 5.0
"""Time that callers get at the exit to read the ends of their answers."""
STOP_TIMEOUT_S = 30.0
FACT_KINDS = (
    CONFIGURATION_KIND,
    KEY_WITHDRAWAL_KIND,
    EVIDENCE_KIND,
    REGION_EVIDENCE_KIND,
    VETO_KIND,
    ENDPOINT_LOAD_KIND,
    ENGINE_VERSIONS_KIND,
    REGION_LOAD_KIND,
    CRASH_KIND,
    PROMPT_CRASHES,
    CLEARED_PARTS,
    SLOTS_VACATED_KIND,
    STORE_EPOCH_KIND,
    CLAIMS_WRITTEN_KIND,
)

_log = logging.getLogger(__name__)


def boot_clock_s() -> float:
    """Return seconds since boot, including time in suspension; monotonic."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EntryNode:
    """An entry process; its public methods are thread-safe."""

    def __init__(
        self,
        settings: EntrySettings,
        rng: random.Random | None = None,
        order_timings: OrderTimings | None = None,
    ) -> None:
        """Create the services of the process; nothing runs before ``start``.

        ``rng`` makes a run reproducible, ``order_timings`` replaces the default timings of orders.
        """
        self._order_timings = order_timings or OrderTimings()
        self.settings = settings
        self.incarnation = Incarnation(secrets.token_hex(8))
        self._rng = rng or random.Random()
        self.clock: Callable[[], float] = boot_clock_s
        self._registry = CollectorRegistry()
        self._metrics = GatewayMetrics(self._registry)
        self._platform_metrics = PlatformMetrics.from_registry(self._registry)
        self._store = StoreClient(settings.store_url, self._platform_metrics)
        self._blocking = BlockingCalls(f"blocking-{settings.vm}")
        self.control = ControlLoop(f"control-{settings.vm}")
        self._tasks = BackgroundTasks()
        self._configuration_holder = ConfigurationHolder()
        self._drained = threading.Event()
        self._started_at_s = time.time()
        self._build()

    def _build(self) -> None:
        settings = self.settings
        self._peers = self._new_peers()
        self.store_epochs = StoreEpochService(self._peers, self._store, self._tasks)
        vm_list = VmListClient(settings.vm_list_url, self._platform_metrics)
        self.fleet = FleetService(
            settings.vm, self._peers, vm_list, self._blocking, self._tasks, self.clock
        )
        self._configuration_service = ConfigurationService(
            settings.region,
            settings.vm,
            self._configuration_holder,
            self._peers,
            self._store,
            self._blocking,
            self._tasks,
            self._rng,
        )
        self.allowances = AllowanceService(
            settings.vm,
            self.incarnation,
            self._configuration_holder.current,
            self._peers,
            self._store,
            self._blocking,
            self._tasks,
            self._rng,
            self.clock,
            lambda: self.store_epochs.settled_epoch(SLOTS_SETTLED_KEY),
        )
        self.store_epochs.add_listener(self.allowances.handle_restore)
        self.target_selector = TargetSelector(
            Router(settings.region, wall_offset_s=time.time() - self.clock(), vm=settings.vm),
            self._rng,
            self.clock,
        )
        self._load_service = LoadService(
            settings.vm,
            settings.region,
            self.target_selector,
            self._peers,
            self._blocking,
            self._tasks,
            self._platform_metrics,
            self.clock,
        )
        self._build_rollouts()
        self._claim_sweep = ClaimSweep(
            settings.vm,
            self._current_configuration,
            self._peers,
            self._store,
            self._blocking,
            self._tasks,
            self.clock,
            time.time,
        )
        self._build_request_handling()
        self._configuration_holder.add_listener(self._apply_configuration)

    def _build_rollouts(self) -> None:
        settings, url = self.settings, self.settings.weight_store_url
        self._rollout_service = RolloutService(
            settings.vm,
            settings.region,
            RolloutControl(settings.vm),
            self._peers,
            self._store,
            self._blocking,
            self._tasks,
            # A separate generator, so that its draws do not change those of others in a seeded run.
            random.Random(f"vetoes/{settings.vm}"),
            self._handle_veto,
        )
        self.endpoint_orders = EndpointOrdersService(
            settings.vm,
            self._rollout_service.control,
            self._load_service,
            self._peers,
            self._store,
            WeightStoreClient(url, self._platform_metrics) if url else None,
            self._blocking,
            self._tasks,
            self.clock,
            self._order_timings,
        )
        self.store_epochs.add_listener(self._rollout_service.handle_restore)
        self._load_service.on_inventory_changed = self._rollout_service.apply_reported_inventory

    def _new_peers(self) -> PeerNode:
        settings = self.settings
        identity = VmIdentity(settings.vm, self.incarnation, int(self._started_at_s * 1000))
        # Configured peers are assumed to be in this zone until the inventory is loaded.
        vms = {
            vm: Vm(vm, settings.region, settings.zone, "", url)
            for vm, url in settings.peer_urls_by_vm.items()
        }
        peer_settings = PeerSettings(
            identity,
            settings.fleet,
            settings.peer_secret.encode(),
            settings.address,
            settings.peer_port,
        )
        return PeerNode(peer_settings, vms, FACT_KINDS, self._registry, self._rng)

    def _vms_of_own_region(self) -> list[VmId]:
        """Return the other live VMs of the region in random order, linked ones first."""
        linked, others = self.fleet.live_vms_in(self.settings.region)
        return [vm for vms in (linked, others) for vm in self._rng.sample(sorted(vms), len(vms))]

    def _build_request_handling(self) -> None:
        settings, current_configuration = self.settings, self._current_configuration
        self._keys = KeyRing()
        self._opener = StreamOpener(
            current_configuration, self._load_service, self._blocking, self._tasks
        )
        self._reach_probe = ReachProbe(
            self.target_selector,
            self._opener.find_url,
            self._blocking,
            self._tasks,
            self._rng,
            self.clock,
        )
        self._crash_service = CrashService(
            settings.vm,
            self.target_selector,
            self._peers,
            LossChecks(self._peers, self._vms_of_own_region, self._opener.find_url, self._blocking),
            self._tasks,
            self.clock,
        )
        self.chat_service = ChatService(
            current_configuration,
            self._keys,
            self._rollout_service.control,
            self.target_selector,
            self.allowances,
            self.fleet,
            self._opener,
            self._metrics,
            time.time,
        )
        issuer = OrderIdIssuer.from_secret(
            settings.vm, self.incarnation, settings.peer_secret.encode()
        )
        self._service_calls = ServiceCallController(
            current_configuration,
            self._keys,
            self.target_selector,
            self.allowances,
            self.fleet,
            IssuedOrderTable(issuer),
            self._metrics,
            time.time,
        )
        self._order_executor = OrderExecutor(
            self._store,
            settings.vm,
            self.incarnation,
            settled_epoch=lambda: self.store_epochs.settled_epoch(CLAIMS_SETTLED_KEY),
        )
        self.store_epochs.add_listener(self._restore_claims)
        service_handler = self._service_handler = ServiceHandler(
            self.control, self._service_calls, self._order_executor, ServiceClient()
        )
        forwarded_handler = ForwardedRequestHandler(
            self.chat_service, self._service_calls, service_handler, self._blocking.run
        )
        self._peers.on_forward(forwarded_handler.handle)
        self._key_service = KeyService(
            self._keys, self._peers, self.chat_service.end_withdrawn_streams
        )
        self._withdrawal_sync = WithdrawalSync(
            self._keys, self._configuration_service, current_configuration, self._is_watcher
        )
        self._discovery = DiscoveryHandler(
            current_configuration, self._keys, self.allowances, self.fleet, issuer, time.time
        )
        administration = AdministrationService(
            current_configuration,
            self._configuration_service,
            self._key_service,
            self._rollout_service,
            self._status,
        )
        admin = AdminHandler(administration, settings.operator_token, time.time)
        application = Application(self.control)
        chat = ChatHandler(self.control, self.chat_service, self._opener.url_of)
        application.add("POST", CHAT_ROUTE, chat.handle)
        application.add_loop("GET", "/v1/models", self._discovery.models)
        application.add_loop("GET", "/v1/entry-vms", self._discovery.entry_vms)
        application.add("GET", "/metrics", self._serve_metrics)
        application.add(
            "GET", "/healthz", lambda _request: CallerResponse(200, b"ok\n", "text/plain")
        )
        application.add("GET", "/readyz", self._serve_readiness)
        application.add_prefix(SERVICES_PREFIX, service_handler.handle)
        application.add_loop_prefix(ADMIN_PREFIX, admin.handle)
        self._http_frontend = HttpFrontend(
            settings.address,
            settings.port,
            application.handle,
            body_limit=admin.body_limit_bytes,
            on_unanswered=UnansweredRequests(self._metrics).record,
        )

    def _is_watcher(self) -> bool:
        """Return whether this VM is one of those that watch the store for its region."""
        return self.settings.vm in self._peers.membership.config_watchers(self.settings.region)

    def _current_configuration(self) -> Configuration:
        return self._configuration_holder.current

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.fleet.apply_configuration(configuration)
        self._key_service.apply_configuration(configuration)
        self.allowances.apply_configuration(configuration)
        self._rollout_service.apply_configuration(configuration)
        self._load_service.apply_configuration(configuration)
        self.endpoint_orders.apply_configuration(configuration)

    def _handle_veto(self, veto: Veto) -> None:
        """Keep requests that wait for an endpoint from using the vetoed version."""
        self.target_selector.router.veto_version(ModelName(veto.model), VersionId(veto.version))
        self.target_selector.release()

    def start(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Start all threads, wait for a configuration and start serving callers.

        Raises ``TimeoutError`` if no configuration is available within ``timeout_s`` seconds.
        """
        self.control.start()
        self.control.run(self._start(), timeout_s)
        self._http_frontend.start()
        _log.info("serving", extra={"vm": self.settings.vm, "address": self.settings.address})

    async def _start(self) -> None:
        await self._peers.start()
        self.store_epochs.start()
        self._configuration_service.start()
        self.allowances.start()
        self._load_service.start()
        self._crash_service.start()
        self._reach_probe.start()
        self._rollout_service.start()
        self.endpoint_orders.start()
        self.fleet.add_list_listener(self.allowances.handle_vm_list)
        self.fleet.add_list_listener(self._load_service.handle_vm_list)
        self.fleet.start()
        self._tasks.run_periodically(STALL_CHECK_INTERVAL_S, self._check_stalled)
        self._tasks.run_periodically(PENDING_ORDERS_INTERVAL_S, self._write_pending_orders)
        self._tasks.run_periodically(SYNC_INTERVAL_S, self._withdrawal_sync.step)
        self._claim_sweep.start()
        await self._configuration_service.wait_until_loaded()

    def _check_stalled(self) -> None:
        self.chat_service.abort_stalled_sources(asyncio.get_running_loop().time())

    async def _write_pending_orders(self) -> None:
        if self._order_executor.pending_updates:
            await self._blocking.run(self._order_executor.write_pending_updates)

    async def _restore_claims(self, epoch: int) -> None:
        """Write the claims of this VM again that a restore of the store may have removed."""
        count = await self._blocking.run(self._order_executor.handle_restore, epoch)
        while self._order_executor.has_unwritten_claims(epoch):
            await self._blocking.run(self._order_executor.write_pending_updates)
            if self._order_executor.has_unwritten_claims(epoch):
                await asyncio.sleep(CLAIM_RETRY_INTERVAL_S)
        self.store_epochs.confirm_claims(epoch)
        if count:
            _log.warning("claims written again", extra={"epoch": epoch, "claims": count})

    def terminate(self) -> None:
        """Start draining on the first call; end running answers with an error on the second."""
        self.control.post(self._terminate)

    def _terminate(self) -> None:
        first = not self.fleet.is_leaving
        self._http_frontend.close_connections()
        if self.fleet.handle_sigterm():
            self._end_answers()
            if running := self._service_calls.running:
                _log.warning("running calls of services ended", extra={"calls": running})
            self._service_handler.end_calls()
        if first:
            self._tasks.spawn(self._drain())

    async def _drain(self) -> None:
        while not self.fleet.advance_drain(self._active()):
            await asyncio.sleep(DRAIN_INTERVAL_S)
        await self.endpoint_orders.release_all()
        await self.allowances.release_all(SLOT_RELEASE_TIMEOUT_S)
        _log.info("drained", extra={"vm": self.settings.vm})
        self._drained.set()

    def _end_answers(self) -> None:
        if ended := self.chat_service.end_all():
            _log.warning("running answers ended", extra={"answers": ended})

    def _active(self) -> int:
        return (
            self.chat_service.active
            + self._service_calls.running
            + self._peers.running_forward_count
        )

    def wait_until_drained(self, timeout_s: float | None = None) -> bool:
        """Wait until draining or ``stop`` has finished; return ``False`` on timeout."""
        return self._drained.wait(timeout_s)

    def stop(self) -> None:
        """Stop all threads; running requests end with an error."""
        self._http_frontend.stop()
        self.control.run(self._stop(), STOP_TIMEOUT_S)
        self.control.stop()
        self._blocking.stop()
        self._store.close()
        self._drained.set()

    async def _stop(self) -> None:
        self._end_answers()
        await self.chat_service.wait_until_sent(UNSENT_LIMIT_S)
        await self._tasks.stop()
        await self._peers.stop()

    def _serve_metrics(self, _request: CallerRequest) -> CallerResponse:
        return CallerResponse(200, generate_latest(self._registry), "text/plain; version=0.0.4")

    def _serve_readiness(self, request: CallerRequest) -> CallerResponse:
        if self._configuration_holder.is_loaded and self.fleet.accepts_work():
            return CallerResponse(200, b"ready\n", "text/plain")
        problem = Problem(503, "not-ready", "no configuration yet, or shutting down")
        return CallerResponse.from_problem(problem, request.request_id)

    def _status(self) -> dict[str, object]:
        now = self.clock()
        membership = self._peers.membership
        configuration = self._configuration_holder.current
        read_at = self.fleet.list_read_at_s
        organisations = sorted(configuration.organisations_by_id)
        return {
            "vm": self.settings.vm,
            "incarnation": self.incarnation,
            "revision": configuration.revision,
            "store_answers": self._configuration_service.is_store_answering,
            "vm_list_age_s": None if read_at is None else round(now - read_at, 3),
            "vms": [
                {"id": vm.id, "region": vm.region, "state": membership.state_of(vm.id).value}
                for _, vm in sorted(configuration.vms_by_id.items())
            ],
            "endpoints": [
                {"id": e.id, "region": e.region, "kind": e.kind.value, "leaving": e.leaving}
                for _, e in sorted(configuration.endpoints_by_id.items())
            ],
            "slots": len(self.allowances.directory.held_slots()),
            "slots_suspended": self.allowances.ledger.is_suspended,
            "tokens": {
                organisation: round(self.allowances.ledger.available_tokens(organisation, now), 1)
                for organisation in organisations[:100]
            },
            "open_streams": self.chat_service.open_relays,
        }
