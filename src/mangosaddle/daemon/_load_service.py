"""Exchanges load reports of endpoints and regions between VMs."""

import asyncio
import json
import logging
import time
from collections.abc import Callable
from dataclasses import astuple, dataclass

from returns.result import Success

from .._identifiers import EndpointId, RegionName, VmId
from .._tasks import BackgroundTasks
from ..configuration import Configuration, Endpoint, EndpointKind, ModelVersion
from ..gateway import TargetSelector
from ..membership import HIGHEST_VERSION, PER_ORIGIN, Fact, FactKind, rendezvous_ranking
from ..peers import PeerNode
from ..providers import (
    EngineClient,
    EngineLoad,
    ListedVmRow,
    ListedVmState,
    PlatformMetrics,
)
from ..routing import RegionLoad
from ._blocking import BlockingCalls
from ._reported_versions import ReportedVersions, parse_versions

ENDPOINT_LOAD_KIND = FactKind(
    "endpoint-load", PER_ORIGIN, lifetime_s=60.0, regional=True, reconciled=False
)
ENGINE_VERSIONS_KIND = FactKind("engine-versions", HIGHEST_VERSION)
"""Versions that an engine serves, published when they differ from those known so far."""
REGION_LOAD_KIND = FactKind("region-load", HIGHEST_VERSION, lifetime_s=60.0, reconciled=False)
MIN_POLL_INTERVAL_S = 1.0
REGION_REPORTS_PER_S = 6.0
"""Limits the rate of engine reports in a region.

Each VM reports the engines that it polls in one fact of about 200 B. With 57 VMs in a region the
reports take 1.2 KB/s, and each VM reports every 9.5 s.
"""
VERSIONS_INTERVAL_S = 3.0
"""Interval between reads of an engine's versions, which change far less often than its load."""
MIN_REGION_LOAD_INTERVAL_S = 2.0
REGION_LOAD_INTERVAL_PER_REGION_S = 0.3
"""With 35 regions each region reports every 10.5 s, within the 15 s for which reports are used.

The 35 facts of about 250 B then take 0.8 KB/s at each VM.
"""
RELEASE_INTERVAL_S = 0.1
ASSUMED_REPORT_LAG_S = 0.5
"""Assumed age of a load report on arrival: engines sample their load before they report it."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EngineRow:
    """Load of one engine in a report; serialised by position."""

    endpoint: str
    running: int
    waiting: int
    capacity: int

    @classmethod
    def from_document(cls, document: object) -> "EngineRow":
        """Parse a row of a report; raises ``ValueError`` or ``TypeError`` if it is invalid."""
        if not isinstance(document, list):
            raise TypeError("row is not a list")
        endpoint, running, waiting, capacity = document
        return cls(str(endpoint), int(running), int(waiting), int(capacity))


class LoadService:
    """Supplies the router with loads and served versions; event loop thread only."""

    def __init__(
        self,
        own_vm: VmId,
        region: RegionName,
        target_selector: TargetSelector,
        peers: PeerNode,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        metrics: PlatformMetrics,
        clock: Callable[[], float],
    ) -> None:
        """Create the service; ``start`` starts polling."""
        self._own_vm = own_vm
        self._region = region
        self._target_selector = target_selector
        self._peers = peers
        self._blocking = blocking
        self._tasks = tasks
        self._metrics = metrics
        self._clock = clock
        self._clients_by_endpoint: dict[EndpointId, EngineClient] = {}
        self._urls_by_endpoint: dict[EndpointId, str] = {}
        self._engines: tuple[Endpoint, ...] = ()
        self._reported_versions = ReportedVersions()
        self._versions_due_s_by_endpoint: dict[EndpointId, float] = {}
        self._configuration = Configuration(revision=-1)
        self.on_inventory_changed: Callable[[Configuration], None] | None = None
        """Called with the inventory with reported versions whenever it has been updated."""
        self._leaving_ids: set[str] = set()

    def start(self) -> None:
        """Register the fact handlers and start polling."""
        self._peers.on_fact(ENDPOINT_LOAD_KIND.name, self._handle_endpoint_load_fact)
        self._peers.on_fact(ENGINE_VERSIONS_KIND.name, self._handle_versions_fact)
        self._peers.on_fact(REGION_LOAD_KIND.name, self._handle_region_load_fact)
        self._tasks.spawn(self._report_engines())
        self._tasks.spawn(self._report_region())
        self._tasks.run_periodically(RELEASE_INTERVAL_S, self._target_selector.release)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the endpoints of a configuration and drop clients of removed or moved engines."""
        self._configuration = configuration
        self._reported_versions.apply_configuration(configuration)
        self._apply_reported_versions()
        self._engines = tuple(
            e for e in configuration.endpoints_by_id.values() if e.kind is EndpointKind.ENGINE
        )
        urls = {endpoint.id: endpoint.url for endpoint in self._engines}
        for endpoint in list(self._clients_by_endpoint):
            if urls.get(endpoint) != self._urls_by_endpoint[endpoint]:
                del self._clients_by_endpoint[endpoint]

    def _apply_reported_versions(self) -> None:
        """Update the router with the versions that engines report instead of the inventory's."""
        reported = self._reported_versions.apply_to(self._configuration)
        self._target_selector.router.apply_configuration(reported, self._clock())
        if self.on_inventory_changed is not None:
            self.on_inventory_changed(reported)

    def versions_of(self, endpoint: Endpoint) -> frozenset[ModelVersion]:
        """Return the versions that an engine reported, else those of the inventory."""
        return self._reported_versions.versions_of(endpoint)

    def record_versions(self, endpoint: EndpointId, versions: frozenset[ModelVersion]) -> None:
        """Record the versions that an engine has reported and update the router on changes."""
        if self._reported_versions.record(endpoint, versions):
            self._apply_reported_versions()
            self._target_selector.release()

    def handle_vm_list(
        self, rows: tuple[ListedVmRow, ...], _requested_s: float, now: float
    ) -> None:
        """Send no new work to endpoints whose VMs are leaving according to the VM list."""
        leaving = {str(row.id) for row in rows if row.state is ListedVmState.LEAVING}
        for endpoint in leaving - self._leaving_ids:
            self._target_selector.router.mark_endpoint_leaving(EndpointId(endpoint))
        for endpoint in self._leaving_ids - leaving:
            self._target_selector.router.mark_endpoint_live(EndpointId(endpoint), now)
        self._leaving_ids = leaving

    def client_of(self, endpoint: Endpoint) -> EngineClient:
        """Return the cached client of an engine, creating it if needed."""
        client = self._clients_by_endpoint.get(endpoint.id)
        if client is None:
            client = EngineClient(endpoint.url, self._metrics)
            self._clients_by_endpoint[endpoint.id] = client
            self._urls_by_endpoint[endpoint.id] = endpoint.url
        return client

    def _assigned_engines(self, live: frozenset[VmId]) -> list[Endpoint]:
        """Return the engines of the region that this VM polls; each engine has one polling VM."""
        return [
            endpoint
            for endpoint in self._engines
            if endpoint.region == self._region
            and rendezvous_ranking(f"poll {endpoint.id}", live)[0] == self._own_vm
        ]

    async def _report_engines(self) -> None:
        """Poll the engines assigned to this VM and report their load to the region."""
        while True:
            live = self._peers.membership.live_vms(self._region) | {self._own_vm}
            try:
                rows = await asyncio.gather(*(self._poll(e) for e in self._assigned_engines(live)))
                self._publish_engines([row for row in rows if row is not None])
            # A single failed round must not end the loop.
            except Exception:
                _log.exception("cannot report the engine loads")
            await asyncio.sleep(max(MIN_POLL_INTERVAL_S, len(live) / REGION_REPORTS_PER_S))

    async def _poll(self, endpoint: Endpoint) -> EngineRow | None:
        result = await self._blocking.run(self.client_of(endpoint).load)
        if not isinstance(result, Success):
            return None
        load = result.unwrap()
        self._record_load(endpoint.id, load, ASSUMED_REPORT_LAG_S)
        await self._read_versions(endpoint)
        return EngineRow(endpoint.id, load.running, load.waiting, load.capacity)

    def _publish_engines(self, rows: list[EngineRow]) -> None:
        if rows:
            document = [time.time(), [astuple(row) for row in rows]]
            self._publish(ENDPOINT_LOAD_KIND, "", document)

    def _publish(self, kind: FactKind, key: str, document: object) -> None:
        payload = json.dumps(document, separators=(",", ":")).encode()
        version_ms = int(time.time() * 1000)
        self._peers.publish(self._peers.new_fact(kind.name, key, version_ms, payload))

    async def _read_versions(self, endpoint: Endpoint) -> None:
        now = self._clock()
        if now < self._versions_due_s_by_endpoint.get(endpoint.id, now):
            return
        self._versions_due_s_by_endpoint[endpoint.id] = now + VERSIONS_INTERVAL_S
        result = await self._blocking.run(self.client_of(endpoint).versions)
        if isinstance(result, Success):
            served = result.unwrap().versions
            self.record_versions(
                endpoint.id, frozenset(ModelVersion(v.model, v.version) for v in served)
            )
            self._publish_versions(endpoint)

    def _publish_versions(self, endpoint: Endpoint) -> None:
        """Publish the versions that an engine serves if the other VMs assume different ones."""
        version_names = self._reported_versions.version_names(endpoint.id)
        known_fact = self._peers.facts.find(ENGINE_VERSIONS_KIND.name, endpoint.id)
        expected_names: object = sorted(f"{v.model}@{v.version}" for v in endpoint.versions)
        if known_fact is not None:
            try:
                expected_names = json.loads(known_fact.payload)
            except (ValueError, RecursionError):
                # Already logged on arrival; a valid fact replaces it.
                expected_names = None
        if version_names is not None and version_names != expected_names:
            self._publish(ENGINE_VERSIONS_KIND, endpoint.id, version_names)

    def _handle_versions_fact(self, fact: Fact) -> None:
        if fact.origin == self._own_vm:
            return
        try:
            reported_versions = parse_versions(json.loads(fact.payload))
        except (ValueError, TypeError, RecursionError):
            _log.warning("cannot decode the versions of an engine", extra={"vm": fact.origin})
            return
        if reported_versions is not None:
            self.record_versions(EndpointId(fact.key), reported_versions)

    def _record_load(self, endpoint: EndpointId, load: EngineLoad, age_s: float) -> None:
        self._target_selector.router.record_load_report(
            endpoint, load.running, load.waiting, load.capacity, age_s, self._clock()
        )
        self._target_selector.release()

    def _handle_endpoint_load_fact(self, fact: Fact) -> None:
        if fact.origin == self._own_vm:
            return
        try:
            sampled_at, documents = json.loads(fact.payload)
            rows = [EngineRow.from_document(document) for document in documents]
            age_s = max(0.0, time.time() - float(sampled_at)) + ASSUMED_REPORT_LAG_S
        except (ValueError, TypeError, RecursionError):
            _log.warning("cannot decode a load report", extra={"vm": fact.origin})
            return
        for row in rows:
            load = EngineLoad(row.running, row.waiting, row.capacity, 0.0)
            self._record_load(EndpointId(row.endpoint), load, age_s)

    async def _report_region(self) -> None:
        """Report the loads of this region to the other regions; one VM per region does this."""
        while True:
            live = self._peers.membership.live_vms(self._region) | {self._own_vm}
            if rendezvous_ranking(f"load {self._region}", live)[0] == self._own_vm:
                loads = self._target_selector.router.local_region_loads(self._clock())
                rows = [[load.target, round(load.usage, 4), load.capacity] for load in loads]
                self._publish(REGION_LOAD_KIND, self._region, [time.time(), rows])
            regions = len(self._configuration.regions())
            await asyncio.sleep(
                max(MIN_REGION_LOAD_INTERVAL_S, regions * REGION_LOAD_INTERVAL_PER_REGION_S)
            )

    def _handle_region_load_fact(self, fact: Fact) -> None:
        if fact.key == self._region:
            return
        try:
            sampled_at, rows = json.loads(fact.payload)
            age_s = max(0.0, time.time() - float(sampled_at))
            loads = [
                RegionLoad(fact.key, str(target), float(usage), float(capacity))
                for target, usage, capacity in rows
            ]
        except (ValueError, TypeError, RecursionError):
            _log.warning("cannot decode a region load report", extra={"vm": fact.origin})
            return
        for load in loads:
            self._target_selector.router.record_region_load(load, age_s, self._clock())
