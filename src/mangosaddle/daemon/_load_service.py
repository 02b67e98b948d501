"""Load reports of endpoints and regions, and crash reports between VMs."""

import json
import logging
import time
from collections.abc import Callable

from returns.result import Success

from .._identifiers import EndpointId, RegionName, VmId
from ..configuration import Configuration, Endpoint, EndpointKind, ModelVersion
from ..gateway import RouteDesk
from ..membership import HIGHEST_VERSION, PER_ORIGIN, Fact, FactKind, rendezvous
from ..peers import PeerNode
from ..platform import (
    EngineClient,
    EngineLoad,
    ListedVmRow,
    ListedVmState,
    PlatformMetrics,
)
from ..routing import CrashReport, RegionLoad
from ._blocking import BlockingCalls
from ._reported_versions import ReportedVersions, parse_versions
from ._tasks import BackgroundTasks

ENDPOINT_LOAD_KIND = FactKind("endpoint-load", HIGHEST_VERSION, lifetime_s=30.0)
REGION_LOAD_KIND = FactKind("region-load", PER_ORIGIN, lifetime_s=30.0)
CRASH_KIND = FactKind("crash", PER_ORIGIN, lifetime_s=600.0)
POLL_S = 1.0
VERSIONS_S = 3.0
"""Time between two reads of the versions of one engine, which change far less than its load."""
REGION_LOAD_S = 2.0
REGION_REPORTERS = 2
RELEASE_S = 0.1
ASSUMED_REPORT_LAG_S = 0.5
"""Engines sample their load some time before they report it."""

_log = logging.getLogger(__name__)


class LoadService:
    """Feeds the router with loads and crashes; loop thread only."""

    def __init__(
        self,
        own: VmId,
        region: RegionName,
        routes: RouteDesk,
        peers: PeerNode,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        metrics: PlatformMetrics,
        clock: Callable[[], float],
    ) -> None:
        """Create the service; ``start`` begins to poll."""
        self._own = own
        self._region = region
        self._routes = routes
        self._peers = peers
        self._blocking = blocking
        self._tasks = tasks
        self._metrics = metrics
        self._clock = clock
        self._clients_by_endpoint: dict[EndpointId, EngineClient] = {}
        self._urls_by_endpoint: dict[EndpointId, str] = {}
        self._engines: tuple[Endpoint, ...] = ()
        self._versions = ReportedVersions()
        self._versions_due_s: dict[EndpointId, float] = {}
        self._configuration = Configuration(revision=-1)
        self.on_versions: Callable[[Configuration], None] | None = None
        """Called with the inventory as reported when it has changed."""
        self._published_crashes: frozenset[CrashReport] = frozenset()
        self._version = 0
        self._listed_leaving: set[str] = set()

    def start(self) -> None:
        """Handle facts and begin to poll."""
        self._peers.on_fact(ENDPOINT_LOAD_KIND.name, self._endpoint_load_received)
        self._peers.on_fact(REGION_LOAD_KIND.name, self._region_load_received)
        self._peers.on_fact(CRASH_KIND.name, self._crash_received)
        self._tasks.every(POLL_S, self._poll)
        self._tasks.every(REGION_LOAD_S, self._publish_region_load)
        self._tasks.every(RELEASE_S, self._routes.release)
        self._routes.on_lost_connection = self._publish_crashes

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take over the endpoints of a configuration."""
        self._configuration = configuration
        self._versions.apply_configuration(configuration)
        self._apply_versions()
        self._engines = tuple(
            e for e in configuration.endpoints_by_id.values() if e.kind is EndpointKind.ENGINE
        )
        urls = {endpoint.id: endpoint.url for endpoint in self._engines}
        for endpoint in list(self._clients_by_endpoint):
            if urls.get(endpoint) != self._urls_by_endpoint[endpoint]:
                del self._clients_by_endpoint[endpoint]

    def _apply_versions(self) -> None:
        """Give the router the inventory with the versions that engines really serve."""
        reported = self._versions.as_reported(self._configuration)
        self._routes.router.apply_configuration(reported, self._clock())
        if self.on_versions is not None:
            self.on_versions(reported)

    def versions_of(self, endpoint: Endpoint) -> frozenset[ModelVersion]:
        """Return the versions that an engine serves: as reported, or as in the inventory."""
        return self._versions.of(endpoint)

    def versions_read(self, endpoint: EndpointId, versions: frozenset[ModelVersion]) -> None:
        """Take the versions that an engine has just stated."""
        if self._versions.take(endpoint, versions):
            self._apply_versions()
            self._routes.release()

    def list_read(self, rows: tuple[ListedVmRow, ...], _requested_s: float, now: float) -> None:
        """Give no new work to endpoints whose VMs the platform's list shows as leaving."""
        leaving = {str(row.id) for row in rows if row.state is ListedVmState.LEAVING}
        for endpoint in leaving - self._listed_leaving:
            self._routes.router.endpoint_leaving(EndpointId(endpoint))
        for endpoint in self._listed_leaving - leaving:
            self._routes.router.endpoint_live(EndpointId(endpoint), now)
        self._listed_leaving = leaving

    def client_of(self, endpoint: Endpoint) -> EngineClient:
        """Return the client of an engine."""
        client = self._clients_by_endpoint.get(endpoint.id)
        if client is None:
            client = EngineClient(endpoint.url, self._metrics)
            self._clients_by_endpoint[endpoint.id] = client
            self._urls_by_endpoint[endpoint.id] = endpoint.url
        return client

    def _polled_here(self) -> list[Endpoint]:
        """Return the region's engines that this VM polls: each engine has one poller."""
        live = self._peers.membership.live_vms(self._region) | {self._own}
        return [
            endpoint
            for endpoint in self._engines
            if endpoint.region == self._region
            and rendezvous(f"poll {endpoint.id}", live)[0] == self._own
        ]

    async def _poll(self) -> None:
        for endpoint in self._polled_here():
            self._tasks.spawn(self._poll_one(endpoint))

    async def _poll_one(self, endpoint: Endpoint) -> None:
        result = await self._blocking.run(self.client_of(endpoint).load)
        if not isinstance(result, Success):
            return
        load = result.unwrap()
        self._take_load(endpoint.id, load, ASSUMED_REPORT_LAG_S)
        await self._read_versions(endpoint)
        row = [load.running, load.waiting, load.capacity, time.time()]
        payload = json.dumps([*row, self._versions.names(endpoint.id)]).encode()
        version_ms = int(time.time() * 1000)
        self._peers.publish(
            self._peers.new_fact(ENDPOINT_LOAD_KIND.name, endpoint.id, version_ms, payload)
        )

    async def _read_versions(self, endpoint: Endpoint) -> None:
        now = self._clock()
        if now < self._versions_due_s.get(endpoint.id, now):
            return
        self._versions_due_s[endpoint.id] = now + VERSIONS_S
        result = await self._blocking.run(self.client_of(endpoint).versions)
        if isinstance(result, Success):
            served = result.unwrap().versions
            self.versions_read(
                endpoint.id, frozenset(ModelVersion(v.model, v.version) for v in served)
            )

    def _take_load(self, endpoint: EndpointId, load: EngineLoad, age_s: float) -> None:
        self._routes.router.load_reported(
            endpoint, load.running, load.waiting, load.capacity, age_s, self._clock()
        )
        self._routes.release()

    def _endpoint_load_received(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            running, waiting, capacity, sampled_at, *rest = json.loads(fact.payload)
            load = EngineLoad(int(running), int(waiting), int(capacity), float(sampled_at))
            versions = parse_versions(rest[0] if rest else None)
        except (ValueError, TypeError):
            _log.warning("load report cannot be read", extra={"vm": fact.origin})
            return
        age_s = max(0.0, time.time() - load.sampled_at) + ASSUMED_REPORT_LAG_S
        self._take_load(EndpointId(fact.key), load, age_s)
        if versions is not None:
            self.versions_read(EndpointId(fact.key), versions)

    def _publish_region_load(self) -> None:
        live = self._peers.membership.live_vms(self._region) | {self._own}
        if self._own not in rendezvous(f"load {self._region}", live)[:REGION_REPORTERS]:
            return
        for load in self._routes.router.own_loads(self._clock()):
            payload = json.dumps([load.region, load.usage, load.capacity, time.time()]).encode()
            self._version += 1
            self._peers.publish(
                self._peers.new_fact(REGION_LOAD_KIND.name, load.target, self._version, payload)
            )

    def _region_load_received(self, fact: Fact) -> None:
        try:
            region, usage, capacity, sampled_at = json.loads(fact.payload)
            load = RegionLoad(str(region), fact.key, float(usage), float(capacity))
            age_s = max(0.0, time.time() - float(sampled_at))
        except (ValueError, TypeError):
            _log.warning("region load cannot be read", extra={"vm": fact.origin})
            return
        if load.region != self._region:
            self._routes.router.region_load(load, age_s, self._clock())

    def _publish_crashes(self) -> None:
        crashes = frozenset(self._routes.router.export_crashes(self._clock()))
        for crash in crashes - self._published_crashes:
            key = f"{crash.fingerprint}|{crash.endpoint}"
            version_ms = int(crash.expires_at_s * 1000)
            payload = repr(crash.expires_at_s).encode()
            self._peers.publish(self._peers.new_fact(CRASH_KIND.name, key, version_ms, payload))
        self._published_crashes = crashes

    def _crash_received(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        fingerprint, _, endpoint = fact.key.rpartition("|")
        try:
            report = CrashReport(fingerprint, endpoint, float(fact.payload))
        except ValueError:
            _log.warning("crash report cannot be read", extra={"vm": fact.origin})
            return
        self._published_crashes |= {report}
        self._routes.router.import_crashes([report], self._clock())
