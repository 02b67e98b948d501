"""State of the endpoints of this VM's region."""

from collections import Counter
from collections.abc import Callable, Collection, Iterator

from .._identifiers import EndpointId, RegionName, ServiceName, VmId
from .._prompt_quarantine import Parts
from ._catalogue import Catalogue, ServiceSpec
from ._cold_start import ColdStartLimiter
from ._health import EndpointHealth, Reachability
from ._load import EndpointLoad
from ._prompt_cache import MAX_TRACKED_PARTS, PromptCacheEstimate
from ._prompt_precedence import PromptPrecedence
from ._reading_speed import PREFILL_TOKENS_PER_S
from ._registry import EndpointRegistry, Registration
from ._statements import EndpointStatements, Hold, HoldReason

MAX_FORMER_INSTANCES = 1_000
"""Number of records that are kept of endpoints without a registration, which may be read again."""


class EndpointView:
    """Registration, load, health and prompt cache of one endpoint."""

    def __init__(
        self,
        registration: Registration,
        spec: ServiceSpec | None,
        statements: EndpointStatements | None = None,
        max_tracked_parts: Callable[[], int] = lambda: MAX_TRACKED_PARTS,
    ) -> None:
        """Create the initial state of a newly registered endpoint.

        ``statements`` are those that are already known of its process. ``max_tracked_parts`` is
        described at ``PromptCacheEstimate``.
        """
        self._max_tracked_parts = max_tracked_parts
        engine = spec.engine if spec is not None else None
        self.registration = registration
        self.crash_suspect_fingerprints: set[str] = set()
        """Fingerprints of requests whose connection was lost since the last health check."""
        self.crash_suspect_prompts: set[Parts] = set()
        """Shared prompt parts of those whose answer had not begun."""
        self.lost_at_s = 0.0
        """Wall-clock time, in seconds since the epoch, of the latest loss of such a connection."""
        self.health = EndpointHealth()
        self.load = EndpointLoad(
            registration.slots, engine.memory_tokens if engine is not None else None
        )
        self.tokens_per_event = engine.tokens_per_event if engine is not None else 1
        self.statements = statements or EndpointStatements(registration.id)
        """What the endpoint has stated about itself."""
        memory_tokens = engine.memory_tokens if engine is not None else 0
        self.prefixes = PromptCacheEstimate(memory_tokens, self._max_tracked_parts)

    def apply_spec(self, spec: ServiceSpec | None) -> None:
        """Apply a changed configuration of the service, and forget what was observed under it.

        Requests in flight stay: they take up the capacity of the endpoint until they end.
        """
        engine = spec.engine if spec is not None else None
        self.load.reconfigure(engine.memory_tokens if engine is not None else None)
        self.tokens_per_event = engine.tokens_per_event if engine is not None else 1
        memory_tokens = engine.memory_tokens if engine is not None else 0
        self.prefixes = PromptCacheEstimate(memory_tokens, self._max_tracked_parts)

    def is_silent(self, now: float) -> bool:
        """Return whether requests are in flight and the endpoint has sent nothing for too long."""
        since_s = self.load.waiting_since_s()
        if since_s is None:
            return False
        return self.health.is_silent(since_s, self.load.memory_tokens is not None, now)

    @property
    def has_crash_suspects(self) -> bool:
        """Return whether requests lost their connection and the cause is not known."""
        return bool(self.crash_suspect_fingerprints or self.crash_suspect_prompts)

    def clear_crash_suspects(self) -> None:
        """Forget the requests whose connection was lost, as the cause of the loss is known."""
        self.crash_suspect_fingerprints.clear()
        self.crash_suspect_prompts.clear()

    @property
    def id(self) -> EndpointId:
        """Return the id of the endpoint."""
        return self.registration.id

    @property
    def cold_limiter(self) -> ColdStartLimiter:
        """Return the bound on the requests to the endpoint while its caches are cold."""
        return self.statements.cold

    @property
    def incarnation(self) -> str:
        """Return the name of the endpoint's process."""
        return self.registration.incarnation


class Endpoints:
    """Endpoint views, kept in sync with the registry; all times are monotonic seconds."""

    def __init__(self, own_region: RegionName) -> None:
        """Create the state of a region without endpoints."""
        self.own_region = own_region
        self.registry = EndpointRegistry()
        self._views_by_id: dict[EndpointId, EndpointView] = {}
        self._statements_by_incarnation: dict[str, EndpointStatements] = {}
        self._catalogue: Catalogue | None = None
        self.prompt_precedence = PromptPrecedence()

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a new configuration; endpoints whose service has not changed keep their state."""
        old, self._catalogue = self._catalogue, catalogue
        self.prompt_precedence = PromptPrecedence.from_catalogue(catalogue, self.own_region)
        for view in self._views_by_id.values():
            name = view.registration.service
            if old is None or old.services_by_name.get(name) != self._spec(name):
                view.apply_spec(self._spec(name))

    def register(self, registration: Registration, now: float) -> None:
        """Add or update a registration; a changed address or start time means a new process."""
        old = self.registry.find(registration.id)
        self.registry.apply(registration)
        if registration.region != self.own_region:
            return
        view = self._views_by_id.get(registration.id)
        if view is None or old is None or _restarted(old, registration):
            statements = self.statements(registration.id, registration.incarnation)
            spec = self._spec(registration.service)
            view = EndpointView(registration, spec, statements, self._max_tracked_parts)
            self._views_by_id[registration.id] = view
        view.registration = registration
        view.statements.rejections.set_slots(registration.slots)
        self._statements_by_incarnation[view.incarnation] = view.statements
        if registration.cold_s > 0:
            view.cold_limiter.set_cold(registration.cold_s, now)

    def _max_tracked_parts(self) -> int:
        """Return the number of prompt parts that may be tracked for each endpoint."""
        return MAX_TRACKED_PARTS // max(1, len(self._views_by_id))

    def remove(self, endpoint: EndpointId) -> bool:
        """Remove an endpoint; return whether it was registered."""
        self._views_by_id.pop(endpoint, None)
        return self.registry.remove(endpoint)

    def remove_due(self, now: float) -> tuple[EndpointId, ...]:
        """Remove the endpoints whose scheduled removal is due, and return their ids."""
        due = self.registry.remove_due(now)
        for endpoint in due:
            self._views_by_id.pop(endpoint, None)
        return due

    def statements(self, endpoint: EndpointId, incarnation: str) -> EndpointStatements:
        """Return what a process of an endpoint has stated, whether it is registered or not."""
        statements = self._statements_by_incarnation.get(incarnation)
        if statements is None:
            self._forget_former_instances()
            statements = self._statements_by_incarnation[incarnation] = EndpointStatements(endpoint)
        return statements

    def _forget_former_instances(self) -> None:
        excess = len(self._statements_by_incarnation) - len(self._views_by_id)
        if excess < MAX_FORMER_INSTANCES:
            return
        registered = {view.incarnation for view in self._views_by_id.values()}
        former = [name for name in self._statements_by_incarnation if name not in registered]
        for name in former[: len(former) // 2]:
            del self._statements_by_incarnation[name]

    def hold(
        self, view: EndpointView, own: VmId, region_vms: Collection[VmId], now: float
    ) -> Hold | None:
        """Return why the VM ``own`` must not send the endpoint a request now, or ``None``."""
        spec = self._spec(view.registration.service)
        cold_rate_per_s = spec.cold_requests_per_s if spec is not None else 0.0
        others_running = view.load.others_running(now)
        return view.statements.hold(own, region_vms, cold_rate_per_s, others_running, now)

    def held(
        self, service: ServiceName, own: VmId, region_vms: Collection[VmId], now: float
    ) -> Counter[HoldReason]:
        """Return how many of a service's endpoints are held for each reason, for the log."""
        views = (
            self._views_by_id.get(registration.id)
            for registration in self.registry.serving(service, self.own_region)
        )
        holds = (self.hold(view, own, region_vms, now) for view in views if view is not None)
        return Counter(hold.reason for hold in holds if hold is not None)

    def require_zone_health_checks(self, zone: str, now: float) -> None:
        """Require the endpoints of a zone to pass a health check before they get requests."""
        for view in self._views_by_id.values():
            if view.registration.zone == zone:
                view.health.mark_unreachable(now)

    def view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return the view of an endpoint of the own region."""
        return self._views_by_id.get(endpoint)

    def views(self) -> Iterator[EndpointView]:
        """Return the views of the own region's endpoints."""
        return iter(list(self._views_by_id.values()))

    def accepting(self, service: ServiceName) -> list[EndpointView]:
        """Return the endpoints of the own region that accept requests, reachable or not."""
        views = []
        for registration in self.registry.serving(service, self.own_region):
            view = self._views_by_id.get(registration.id)
            if view is not None and not view.statements.is_leaving:
                views.append(view)
        return views

    def usable(self, service: ServiceName) -> list[EndpointView]:
        """Return the endpoints of the own region that accept requests and are reachable."""
        return [
            view for view in self.accepting(service) if view.health.reachability is Reachability.OK
        ]

    def is_cut_off(self, service: ServiceName) -> bool:
        """Return whether the own region has endpoints of a service, and none is reachable."""
        views = self.accepting(service)
        return bool(views) and all(
            view.health.reachability is not Reachability.OK for view in views
        )

    def baseline_failure_rate(self, service: ServiceName) -> float:
        """Return the lowest failure rate of a service's endpoints, to compare the others with."""
        rates = [view.health.failure_rate for view in self.usable(service)]
        return min(rates, default=0.0)

    def prefill_s_per_token(self, service: ServiceName) -> float:
        """Return the time in which a service's endpoints read a prompt token, on average.

        Other regions are assumed to have equal endpoints.
        """
        times = [view.load.prefill_s_per_token for view in self.usable(service)]
        return sum(times) / len(times) if times else 1.0 / PREFILL_TOKENS_PER_S

    def spec(self, service: ServiceName) -> ServiceSpec | None:
        """Return the configuration of a service, or ``None``."""
        return self._spec(service)

    def _spec(self, service: ServiceName) -> ServiceSpec | None:
        if self._catalogue is None:
            return None
        return self._catalogue.services_by_name.get(service)


def _restarted(old: Registration, new: Registration) -> bool:
    moved = old.address != new.address
    return moved or (old.born_ms != new.born_ms and None not in (old.born_ms, new.born_ms))
