"""Chooses the endpoint or region of a request by its expected start and its burden on others.

Answers the load of long prompts with shared parts beside long answers: sending a prompt where its
parts are cached saves reading them again, but a queue there may cost more than the reading, and
reading delays all answers that are being generated.
"""

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from .._affinity import combine_hashes, hash64
from .._identifiers import EndpointId, RegionName, ServiceName, VmId
from ._endpoints import Endpoints, EndpointView
from ._load import DEFAULT_TIME_PER_TOKEN_S, READ_TOKENS_PER_S, Work
from ._requests import RoutedRequest
from ._versions import ANY_VERSION, VersionChoice

REGION_ROUND_TRIP_S = 0.2
"""Time that another region adds to the first event: the usual round trip and the VM there."""
SPILL_GAIN_S = 0.15
"""Gain from which a request leaves its region: traffic between regions is slow and priced."""
REPORT_VALID_S = 4.0
"""Age after which a region's report is no longer believed; several of its intervals."""
AFFINITY_BONUS_S = 0.02
"""Advantage of the endpoint that the hash of a prompt's parts names, so that VMs that have not
seen the prompt before agree about its place."""
FULL_SHARE_URGENT = 0.0
MIN_FREE_SLOT_SHARE = 0.1
"""Free part of an engine's slots below which it gets no more requests, of the most urgent rank and
of others. Each request in a batch slows all answers; when more wait than run, all end late, and
their work is in vain."""
ANSWER_WEIGHT = 0.15
"""Worth of a second of generating an answer, against a second before its first event."""
DELAY_WEIGHT = 0.1
"""Worth of a second of delay of a running answer, against a second before a first event."""
PACE_REVERSION = 0.5
"""Part of the way from the observed to the usual pace that an answer is expected to see: peaks are
shorter than long answers."""
LATE_FACTOR = 1.5
"""Multiple of the time within which a first event is on time, up to which a request is let wait.
A longer queue would make all that follow late as well."""
MIN_WAIT_S = 1.0
"""Wait that is always allowed, so that short targets do not refuse for a single prompt."""
MIN_RETRY_S = 0.3
"""Shortest wait that a caller is asked for: a queue does not change much in less."""
FULL_RETRY_S = 0.5
"""Time in which some answers of a full engine usually end."""


class RefusalCause(StrEnum):
    """Why no endpoint is chosen."""

    NO_ENDPOINT = "no_endpoint"
    """No endpoint that may run the request is known or reachable."""
    FULL = "full"
    """No engine has a free slot for a request of its rank."""
    LATE_START = "late_start"
    """The first byte would come far too late."""
    LATE_END = "late_end"
    """The answer could not be complete in time."""


@dataclass(frozen=True, slots=True)
class LocalPlacement:
    """An endpoint of the own region."""

    endpoint: EndpointView
    work: Work
    forecast_s: float
    """Expected time to the first byte of the answer."""
    cost_s: float
    """Forecast and burden, in seconds."""
    time_per_token_s: float
    """Expected time per generated token."""


@dataclass(frozen=True, slots=True)
class RemotePlacement:
    """Another region."""

    region: RegionName
    forecast_s: float
    cost_s: float
    time_per_token_s: float


@dataclass(frozen=True, slots=True)
class PlacementRefusal:
    """The request is refused."""

    cause: RefusalCause
    retry_after_s: float
    forecast_s: float = 0.0
    """Expected time to the first byte at the best place, if there was one."""
    time_per_token_s: float = 0.0
    """Expected time per generated token there."""


@dataclass(frozen=True, slots=True)
class RegionReport:
    """What a VM of another region says about a service there."""

    wait_s: float
    """Time that a request without a prompt would wait for its first byte."""
    endpoints: int
    time_per_token_s: float
    """Time per generated token at the endpoint that a request would get."""
    running: int
    """Requests that run there."""
    at_s: float
    """Monotonic time of arrival."""


class RegionReports:
    """Reports of other regions by service and region."""

    def __init__(self) -> None:
        """Create without reports."""
        self._reports: dict[tuple[ServiceName, RegionName], RegionReport] = {}
        self._sent_s: dict[tuple[ServiceName, RegionName], float] = {}

    def set_report(self, service: ServiceName, region: RegionName, report: RegionReport) -> None:
        """Take a report; work sent there since the last one is in it."""
        self._reports[service, region] = report
        self._sent_s.pop((service, region), None)

    def add_sent_work(self, service: ServiceName, region: RegionName, work_s: float) -> None:
        """Note work of ``work_s`` seconds that this VM has sent since the last report."""
        key = (service, region)
        self._sent_s[key] = self._sent_s.get(key, 0.0) + work_s

    def find(self, service: ServiceName, region: RegionName, now: float) -> RegionReport | None:
        """Return what is expected in a region; ``None`` if nothing is known or it has none."""
        report = self._reports.get((service, region))
        if report is None or now - report.at_s > REPORT_VALID_S or not report.endpoints:
            return None
        sent_s = self._sent_s.get((service, region), 0.0) / report.endpoints
        return replace(report, wait_s=report.wait_s + sent_s)


def work_of(request: RoutedRequest, view: EndpointView) -> Work:
    """Return what a request asks of an endpoint."""
    prompt = request.prompt
    if prompt is None:
        return Work(0, 0)
    cached = view.prefixes.cached_tokens(prompt.model, prompt.parts)
    unread = max(0, prompt.prompt_tokens - cached)
    own_tokens = prompt.parts[-1].tokens if prompt.parts else prompt.prompt_tokens
    return Work(unread, own_tokens + prompt.expected_tokens)


class PlacementPolicy:
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
        versions: Sequence[VersionChoice] = ANY_VERSION,
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        """Return where a request should run now; ``versions`` are the choices, preferred first."""
        regions = tuple(reachable_regions)
        decision: LocalPlacement | RemotePlacement | PlacementRefusal = PlacementRefusal(
            RefusalCause.NO_ENDPOINT, 1.0
        )
        for version in versions:
            decision = self._decide_for(version, request, region_vms, regions, tried, now)
            if not isinstance(decision, PlacementRefusal):
                break
        return decision

    def _decide_for(
        self,
        version: VersionChoice,
        request: RoutedRequest,
        region_vms: Collection[VmId],
        reachable_regions: Iterable[RegionName],
        tried: Collection[EndpointId],
        now: float,
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        local = self._local(version, request, region_vms, tried, now)
        remote = self._remote(version, request, reachable_regions, now)
        if local is None and remote is None:
            if request.prompt is not None and self._has_full(version, request, tried):
                return PlacementRefusal(RefusalCause.FULL, FULL_RETRY_S)
            return PlacementRefusal(RefusalCause.NO_ENDPOINT, 1.0)
        if local is None or (remote is not None and remote.cost_s + SPILL_GAIN_S < local.cost_s):
            assert remote is not None
            return self._if_in_time(request, remote, tried, now)
        return self._if_in_time(request, local, tried, now)

    def _if_in_time(
        self,
        request: RoutedRequest,
        place: LocalPlacement | RemotePlacement,
        tried: Collection[EndpointId],
        now: float,
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        """Refuse a request whose answer would come too late to be of use.

        One that has been tried already is late in any case: it only has to end in time.
        """
        end_late_s = place.forecast_s - request.left_s(now)
        start_late_s = -math.inf
        prompt = request.prompt
        if prompt is not None:
            time_per_token_s = place.time_per_token_s + PACE_REVERSION * (
                DEFAULT_TIME_PER_TOKEN_S - place.time_per_token_s
            )
            end_late_s += prompt.expected_tokens * time_per_token_s
        if prompt is not None and not tried:
            waited_s = now - request.began_s
            bound_s = max(MIN_WAIT_S, request.route.target_latency_s * LATE_FACTOR)
            start_late_s = place.forecast_s + waited_s - bound_s
        late_s = max(end_late_s, start_late_s)
        if late_s <= 0:
            return place
        cause = RefusalCause.LATE_END if end_late_s > start_late_s else RefusalCause.LATE_START
        return PlacementRefusal(
            cause, max(MIN_RETRY_S, late_s), place.forecast_s, place.time_per_token_s
        )

    def _has_full(
        self, version: VersionChoice, request: RoutedRequest, tried: Collection[EndpointId]
    ) -> bool:
        """Return whether engines of the region are left out only because they are full."""
        if not request.allows(self._endpoints.own_region):
            return False
        views = self._endpoints.usable(request.service)
        return any(
            view.id not in tried and version.allows(view.registration.version) for view in views
        )

    def _local(
        self,
        version: VersionChoice,
        request: RoutedRequest,
        region_vms: Collection[VmId],
        tried: Collection[EndpointId],
        now: float,
    ) -> LocalPlacement | None:
        if not request.allows(self._endpoints.own_region):
            return None
        spec = self._endpoints.spec(request.service)
        rate_per_s = spec.cold_requests_per_s if spec is not None else 0.0
        usual = self._endpoints.baseline_failure_rate(request.service)
        sound: list[LocalPlacement] = []
        faulty: list[LocalPlacement] = []
        views = [
            view
            for view in self._endpoints.usable(request.service)
            if version.allows(view.registration.version)
        ]
        named = _named_by_hash(request, views)
        for view in views:
            if view.id in tried:
                continue
            if not view.cold.may_send(self._own, region_vms, rate_per_s, now):
                continue
            if request.prompt is not None and view.load.free_slot_share(now) <= _full_share(
                request
            ):
                continue
            work = work_of(request, view)
            forecast_s = view.load.forecast_s(work, now)
            time_per_token_s = view.load.time_per_token_s(now)
            reading_s = work.unread_tokens / READ_TOKENS_PER_S
            cost_s = forecast_s + _burden_s(
                request, time_per_token_s, reading_s, view.load.running(now)
            )
            if view is named:
                cost_s -= AFFINITY_BONUS_S
            place = LocalPlacement(view, work, forecast_s, cost_s, time_per_token_s)
            (faulty if view.health.is_faulty(usual, now) else sound).append(place)
        # Of equal endpoints the one that has waited longest is next.
        return min(
            sound or faulty,
            key=lambda place: (place.cost_s, place.endpoint.health.last_request_at_s),
            default=None,
        )

    def _remote(
        self,
        version: VersionChoice,
        request: RoutedRequest,
        reachable: Iterable[RegionName],
        now: float,
    ) -> RemotePlacement | None:
        if request.forwarded:
            return None
        best: RemotePlacement | None = None
        serving = self._endpoints.registry.regions(request.service, version)
        for region in reachable:
            if region not in serving or not request.allows(region):
                continue
            report = self._regions.find(request.service, region, now)
            if report is None:
                continue
            reading_s = _reading_s(request)
            forecast_s = report.wait_s + REGION_ROUND_TRIP_S + reading_s
            burden_s = _burden_s(request, report.time_per_token_s, reading_s, report.running)
            place = RemotePlacement(
                region, forecast_s, forecast_s + burden_s, report.time_per_token_s
            )
            if best is None or place.cost_s < best.cost_s:
                best = place
        return best


def _full_share(request: RoutedRequest) -> float:
    return FULL_SHARE_URGENT if request.priority <= 0 else MIN_FREE_SLOT_SHARE


def _burden_s(
    request: RoutedRequest, time_per_token_s: float, reading_s: float, running: int
) -> float:
    """Return what slow generation costs this request, and its reading the running ones.

    So long answers gather where little is read, and long prompts where few answers are generated.
    """
    if request.prompt is None:
        return 0.0
    answer_s = request.prompt.expected_tokens * time_per_token_s
    return answer_s * ANSWER_WEIGHT + reading_s * running * DELAY_WEIGHT


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
    return max(views, key=lambda view: combine_hashes(hash64(view.id.encode()), key), default=None)
