"""Assembly of the duties that the settings of this VM enable."""

from collections.abc import Callable, Collection, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge

from .._identifiers import Incarnation, ServiceName, VmId
from .._tasks import BackgroundTasks
from ..coordination import CoordinationStore
from ..duties import CallPace, DutyCalls, ScalingLimits, UsagePolicy
from ..peers import PeerNode
from ..traffic import Endpoints, RoutedRequest
from ._duty_calling import DutyCalling
from ._duty_claim import DutyClaim
from ._duty_holders import DutyHolders, DutyTenancy
from ._fleet_view import FleetView
from ._scaling_duty import DEMAND_INTERVAL_S, ScalingDuty
from ._settings import DutySettings, EntryProcessSettings
from ._usage_duty import UsageDuty
from ._usage_exchange import SEND_INTERVAL_S, UsageExchange

STEP_INTERVAL_S = 0.25
"""Interval of the steps of a duty: a small part of a lease."""
USAGE = "usage"
SCALING = "scaling"


class Duties:
    """Runs the duties of one VM; must only be used on the event loop."""

    def __init__(
        self,
        settings: EntryProcessSettings,
        duty_settings: DutySettings,
        incarnation: Incarnation,
        store: CoordinationStore,
        key_prefix: str,
        calls: DutyCalls,
        endpoints: Endpoints,
        fleet: FleetView,
        limits_by_service: Callable[[], Mapping[ServiceName, ScalingLimits]],
        registry: CollectorRegistry,
        clock: Callable[[], float],
    ) -> None:
        """Create the duties; ``connect`` adds the links, ``run`` starts them."""
        self._settings = settings
        self._duty_settings = duty_settings
        self._incarnation = incarnation
        self._store = store
        self._key_prefix = key_prefix
        self._calls = calls
        self._fleet = fleet
        self._registry = registry
        self._clock = clock
        self._holders = DutyHolders(settings.vm, clock)
        self._pace = CallPace(duty_settings.calls_per_s)
        self._call_counter = Counter(
            "mangosaddle_duty_calls",
            "Calls to the platform by duty and outcome",
            ["duty", "outcome"],
            registry=registry,
        )
        self._held_gauge = Gauge(
            "mangosaddle_duty_held",
            "Whether this VM holds a duty",
            ["duty"],
            registry=registry,
        )
        self._exchange: UsageExchange | None = None
        self._usage: UsageDuty | None = None
        self._scaling: ScalingDuty | None = None
        if duty_settings.reports_usage:
            self._exchange = self._new_exchange()
            self._usage = self._new_usage(self._exchange)
        if duty_settings.orders_endpoints:
            self._scaling = self._new_scaling(endpoints, limits_by_service)

    def record_begun(self, request: RoutedRequest) -> None:
        """Count a request whose run at an endpoint has begun."""
        if self._exchange is not None:
            self._exchange.record_begun(request.organisation)

    def connect(self, node: PeerNode) -> None:
        """Use the links of a peer node."""
        self._holders.connect(node)
        if self._exchange is not None:
            self._exchange.connect(node)
        if self._scaling is not None:
            self._scaling.connect(node)

    def run(self, tasks: BackgroundTasks) -> None:
        """Start the duties as background tasks."""
        if self._exchange is not None:
            tasks.run_periodically(SEND_INTERVAL_S, self._exchange.send)
        if self._usage is not None:
            tasks.run_periodically(STEP_INTERVAL_S, self._usage.advance)
        if self._scaling is not None:
            tasks.run_periodically(DEMAND_INTERVAL_S, self._scaling.send_demand)
            tasks.run_periodically(STEP_INTERVAL_S, self._scaling.advance)

    async def leave(self) -> None:
        """Give back the duties that this VM holds, as it is about to stop."""
        for duty in (self._usage, self._scaling):
            if duty is not None:
                await duty.tenancy.leave()

    def _candidates(self) -> Collection[VmId]:
        return [row.vm for row in self._fleet.live()]

    def _new_tenancy(self, name: str) -> DutyTenancy:
        claim = DutyClaim(
            name,
            f"{self._key_prefix}{name}",
            self._settings.vm,
            self._incarnation,
            self._store,
            self._duty_settings.lease_s,
            self._clock,
        )
        self._held_gauge.labels(name).set_function(lambda: float(claim.token() is not None))
        return DutyTenancy(claim, self._holders, self._candidates, self._settings.vm, self._clock)

    def _new_calling(self, claim: DutyClaim) -> DutyCalling:
        return DutyCalling(claim, self._pace, self._call_counter, self._clock)

    def _new_exchange(self) -> UsageExchange:
        settings = self._settings
        return UsageExchange(
            USAGE,
            settings.vm,
            self._incarnation,
            settings.zone,
            self._duty_settings.usage_window_s,
            self._holders,
            lambda: self._fleet.zone_vms(settings.region, settings.zone),
            self._clock,
        )

    def _new_usage(self, exchange: UsageExchange) -> UsageDuty:
        tenancy = self._new_tenancy(USAGE)
        delays = Counter(
            "mangosaddle_usage_reports_late",
            "Usage reports that were accepted after they were due",
            registry=self._registry,
        )
        return UsageDuty(
            self._settings.vm,
            tenancy,
            f"{self._key_prefix}{USAGE}-report",
            self._store,
            self._calls,
            self._new_calling(tenancy.claim),
            exchange,
            self._fleet.live_zones,
            UsagePolicy(self._duty_settings.usage_window_s, self._duty_settings.usage_late_s),
            delays,
        )

    def _new_scaling(
        self,
        endpoints: Endpoints,
        limits_by_service: Callable[[], Mapping[ServiceName, ScalingLimits]],
    ) -> ScalingDuty:
        settings = self._settings
        tenancy = self._new_tenancy(SCALING)
        return ScalingDuty(
            SCALING,
            settings.vm,
            settings.region,
            tenancy,
            self._holders,
            self._calls,
            self._new_calling(tenancy.claim),
            endpoints,
            lambda: self._fleet.region_vms(settings.region),
            limits_by_service,
            self._clock,
        )
