"""Chooses the endpoint or region of a request: the earliest first event wins.

Answers the load of long prompts with shared parts: sending a prompt where its parts are cached
saves reading them again, but a queue there may cost more than the reading.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import EndpointId, RegionName, ServiceName, VmId
from ..routing import hash64, mix
from ._endpoints import Endpoints, EndpointView
from ._load import READ_TOKENS_PER_S, Work
from ._requests import RoutedRequest

REGION_ROUND_TRIP_S = 0.2
"""Time that another region adds to the first event: the usual round trip and the VM there."""
SPILL_GAIN_S = 0.15
"""Gain from which a request leaves its region: traffic between regions is slow and priced."""
REPORT_VALID_S = 4.0
"""Age after which a region's report is no longer believed; several of its intervals."""
AFFINITY_BONUS_S = 0.02
"""Advantage of the endpoint that the hash of a prompt's parts names, so that VMs that have not
seen the prompt before agree about its place."""
STEP_S = 0.012
"""Time per generated token of a busy engine, for the forecast of an answer's end."""


class RefusalCause(StrEnum):
    """Why no endpoint is chosen."""

    NO_ENDPOINT = "no_endpoint"
    """No endpoint that may run the request is known or reachable."""
    OVERLOADED = "overloaded"
    """The answer could not be complete in time."""


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint of the own region."""

    endpoint: EndpointView
    work: Work
    forecast_s: float


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Another region."""

    region: RegionName
    forecast_s: float


@dataclass(frozen=True, slots=True)
class NoPlace:
    """The request is refused."""

    cause: RefusalCause
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class RegionReport:
    """What a VM of another region says about a service there."""

    wait_s: float
    """Time that a request without a prompt would wait for its first byte."""
    endpoints: int
    at_s: float
    """Monotonic time of arrival."""


class RegionReports:
    """Reports of other regions by service and region."""

    def __init__(self) -> None:
        """Create without reports."""
        self._reports: dict[tuple[ServiceName, RegionName], RegionReport] = {}
        self._sent_s: dict[tuple[ServiceName, RegionName], float] = {}

    def received(self, service: ServiceName, region: RegionName, report: RegionReport) -> None:
        """Take a report; work sent there since the last one is in it."""
        self._reports[service, region] = report
        self._sent_s.pop((service, region), None)

    def sent(self, service: ServiceName, region: RegionName, work_s: float) -> None:
        """Note work of ``work_s`` seconds that this VM has sent since the last report."""
        key = (service, region)
        self._sent_s[key] = self._sent_s.get(key, 0.0) + work_s

    def wait_s(self, service: ServiceName, region: RegionName, now: float) -> float | None:
        """Return the expected wait in a region; ``None`` if nothing is known or it has none."""
        report = self._reports.get((service, region))
        if report is None or now - report.at_s > REPORT_VALID_S or not report.endpoints:
            return None
        return report.wait_s + self._sent_s.get((service, region), 0.0) / report.endpoints


def work_of(request: RoutedRequest, view: EndpointView) -> Work:
    """Return what a request asks of an endpoint."""
    prompt = request.prompt
    if prompt is None:
        return Work(0, 0)
    cached = view.prefixes.cached_tokens(prompt.model, prompt.parts)
    unread = max(0, prompt.prompt_tokens - cached)
    return Work(unread, prompt.prompt_tokens + prompt.expected_tokens)


class Placement:
    """Decides for the requests of one VM; all times are monotonic seconds."""

    def __init__(self, own: VmId, endpoints: Endpoints, regions: RegionReports) -> None:
        """Create the decisions of a VM."""
        self._own = own
        self._endpoints = endpoints
        self._regions = regions

    def decide(
        self,
        request: RoutedRequest,
        region_vms: Collection[VmId],
        reachable_regions: Iterable[RegionName],
        tried: Collection[EndpointId],
        now: float,
    ) -> Place | Elsewhere | NoPlace:
        """Return where a request should run now."""
        local = self._local(request, region_vms, tried, now)
        remote = self._remote(request, reachable_regions, now)
        if local is None and remote is None:
            return NoPlace(RefusalCause.NO_ENDPOINT, 1.0)
        if local is None or (
            remote is not None and remote.forecast_s + SPILL_GAIN_S < local.forecast_s
        ):
            assert remote is not None
            return self._if_in_time(request, remote, now)
        return self._if_in_time(request, local, now)

    def _if_in_time(
        self, request: RoutedRequest, place: Place | Elsewhere, now: float
    ) -> Place | Elsewhere | NoPlace:
        """Refuse a request whose answer would come too late to be of use."""
        answer_s = request.prompt.expected_tokens * STEP_S if request.prompt is not None else 0.0
        late_s = place.forecast_s + answer_s - request.left_s(now)
        if late_s <= 0:
            return place
        return NoPlace(RefusalCause.OVERLOADED, max(0.3, late_s))

    def _local(
        self,
        request: RoutedRequest,
        region_vms: Collection[VmId],
        tried: Collection[EndpointId],
        now: float,
    ) -> Place | None:
        if not request.allows(self._endpoints.own_region):
            return None
        spec = self._endpoints.spec(request.service)
        rate_per_s = spec.cold_requests_per_s if spec is not None else 0.0
        usual = self._endpoints.usual_failure_rate(request.service)
        sound: list[Place] = []
        faulty: list[Place] = []
        views = self._endpoints.usable(request.service)
        named = _named_by_hash(request, views)
        for view in views:
            if view.id in tried:
                continue
            if not view.cold.may_send(self._own, region_vms, rate_per_s, now):
                continue
            work = work_of(request, view)
            forecast_s = view.load.forecast_s(work, now)
            is_faulty = view.health.is_faulty(usual, now)
            (faulty if is_faulty else sound).append(Place(view, work, forecast_s))

        def _cost(place: Place) -> tuple[float, float]:
            bonus_s = AFFINITY_BONUS_S if place.endpoint is named else 0.0
            # Of equal endpoints the one that has waited longest is next.
            return place.forecast_s - bonus_s, place.endpoint.health.tried_at_s

        return min(sound or faulty, key=_cost, default=None)

    def _remote(
        self, request: RoutedRequest, reachable: Iterable[RegionName], now: float
    ) -> Elsewhere | None:
        if request.forwarded:
            return None
        best: Elsewhere | None = None
        serving = self._endpoints.registry.regions(request.service)
        for region in reachable:
            if region not in serving or not request.allows(region):
                continue
            wait_s = self._regions.wait_s(request.service, region, now)
            if wait_s is None:
                continue
            forecast_s = wait_s + REGION_ROUND_TRIP_S + _reading_s(request)
            if best is None or forecast_s < best.forecast_s:
                best = Elsewhere(region, forecast_s)
        return best


def _reading_s(request: RoutedRequest) -> float:
    """Return the time to read the part of a prompt that no other request shares."""
    if request.prompt is None:
        return 0.0
    own = request.prompt.parts[-1].tokens if request.prompt.parts else request.prompt.prompt_tokens
    return own / READ_TOKENS_PER_S


def _named_by_hash(request: RoutedRequest, views: Iterable[EndpointView]) -> EndpointView | None:
    """Return the endpoint with the highest hash for the shared parts of a prompt."""
    prompt = request.prompt
    if prompt is None or len(prompt.parts) < 2:
        return None
    key = hash64("/".join(part.id for part in prompt.parts[:-1]).encode())
    return max(views, key=lambda view: mix(hash64(view.id.encode()), key), default=None)
