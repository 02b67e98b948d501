"""Chooses an endpoint or region by the expected latency and the slowdown of other requests.

Model services get both long prompts with shared prefixes and long answers. Sending a prompt to an
engine that has its prefix cached saves the prefill, but a queue at that engine may cost more than
the prefill elsewhere. A prefill also delays all answers that the engine is generating. An engine is
an endpoint that runs a model.
"""

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from .._affinity import combine_hashes, hash64
from .._identifiers import EndpointId, RegionName, VmId
from ._endpoints import Endpoints, EndpointView
from ._load import DEFAULT_TIME_PER_TOKEN_S, Work
from ._prompt_precedence import accepted_wait_s
from ._region_reports import RegionReport, RegionReports
from ._requests import RoutedRequest
from ._statements import HoldReason
from ._versions import ANY_VERSION, VersionChoice

REGION_ROUND_TRIP_S = 0.2
"""Latency added by another region: the usual round trip and the VM there."""
REGION_RELAY_S = 0.03
"""Latency added by another VM of this region."""
MIN_SPILL_GAIN_S = 0.15
"""Minimum cost advantage for sending a request to another region: traffic between regions is slow
and charged for."""
AFFINITY_BONUS_S = 0.02
"""Cost reduction for the endpoint with the highest hash for a prompt's shared parts, so that VMs
that have not seen the prompt before choose the same endpoint."""
MIN_FREE_SLOT_SHARE_URGENT = 0.0
MIN_FREE_SLOT_SHARE = 0.1
"""An engine whose fraction of free slots is at or below this value gets no more requests; the
first value applies to the most urgent priority, the second to all others. Each request in a batch
slows down all answers. When more requests wait than run, all of them end late and their work is
wasted."""
MIN_FREE_SLOT_SHARE_BESIDE_URGENT = 0.7
"""The same for prompts that have to leave room for a more urgent route: reading them slows its
streams, which then hold their slots for longer. With 0.5 more urgent streams are refused, with 0.85
callers of the prompts get a third of what they are owed."""
GENERATION_WEIGHT = 0.15
"""Cost of a second of generating the answer, relative to a second before the first event."""
RUNNING_DELAY_WEIGHT = 0.1
"""Cost of a second of delay of a running answer, relative to a second before a first event."""
TIME_PER_TOKEN_REVERSION = 0.5
"""Fraction by which the expected time per token moves from the observed to the default value,
because a load peak usually ends before a long answer does."""
MIN_RETRY_AFTER_S = 0.3
"""Minimum retry delay given to callers: a queue hardly changes in less time."""
FULL_RETRY_AFTER_S = 0.5
"""Retry delay when engines are full: usually some of their answers end within it."""
NO_WORK = Work(0, 0)


class RefusalCause(StrEnum):
    """Reason why a request is refused."""

    NO_ENDPOINT = "no_endpoint"
    """This VM reaches no endpoint that may run the request."""
    NONE_LEFT = "none_left"
    """The reachable endpoints were tried, or may get no request from this VM for now."""
    FULL = "full"
    """No engine has a free slot for a request of this priority."""
    RESERVED = "reserved"
    """What room the engines have is left to requests of a more urgent route."""
    LIMITED = "limited"
    """The endpoints state limits that leave nothing for this VM now."""
    ASKED_TO_WAIT = "asked_to_wait"
    """The endpoints want no request from this VM for a time."""
    NO_ROOM = "no_room"
    """The endpoints fail if they have to reject many requests, and have no room for more now."""
    LATE_START = "late_start"
    """The first byte would exceed the maximum wait."""
    LATE_END = "late_end"
    """The answer would not be complete before the deadline."""


CAUSES_BY_HOLD_REASON = {
    HoldReason.ASKED_TO_WAIT: RefusalCause.ASKED_TO_WAIT,
    HoldReason.LIMITED: RefusalCause.LIMITED,
    HoldReason.NO_ROOM: RefusalCause.NO_ROOM,
}
"""Causes of refusals while all endpoints are held; the other reasons do not name a time."""


@dataclass(frozen=True, slots=True)
class LocalPlacement:
    """Decision to run the request at an endpoint of this VM's region."""

    endpoint: EndpointView
    work: Work
    forecast_s: float
    """Expected time to the first byte of the answer."""
    cost_s: float
    """Forecast plus the weighted cost of generation and of delays to other requests."""
    time_per_token_s: float
    """Expected time per generated token."""


@dataclass(frozen=True, slots=True)
class RemotePlacement:
    """Decision to forward the request to a VM of another region, or to another one of this region.

    This region is chosen only while this VM reaches none of its endpoints.
    """

    region: RegionName
    forecast_s: float
    """Expected time to the first byte of the answer."""
    cost_s: float
    time_per_token_s: float


@dataclass(frozen=True, slots=True)
class PlacementRefusal:
    """Decision to refuse the request."""

    cause: RefusalCause
    retry_after_s: float
    forecast_s: float = 0.0
    """Expected time to the first byte at the best candidate, if there was one."""
    time_per_token_s: float = 0.0
    """Expected time per generated token there."""


def work_of(request: RoutedRequest, view: EndpointView) -> Work:
    """Return the resources that a request needs at an endpoint, given its prompt cache."""
    prompt = request.prompt
    if prompt is None:
        return Work(0, 0)
    cached = view.prefixes.cached_tokens(prompt.model, prompt.parts)
    uncached_tokens = max(0, prompt.prompt_tokens - cached)
    unshared_tokens = prompt.parts[-1].tokens if prompt.parts else prompt.prompt_tokens
    return Work(uncached_tokens, unshared_tokens + prompt.expected_tokens)


class PlacementPolicy:
    """Decides where the requests of one VM run; all times are monotonic seconds."""

    def __init__(self, own: VmId, endpoints: Endpoints, regions: RegionReports) -> None:
        """Create the policy of this VM, whose id is ``own``."""
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
        unsent: Collection[EndpointId] = (),
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        """Return where a request should run now.

        ``reachable_regions`` have a VM that reaches endpoints of the service; this region may be
        one of them. ``tried`` are the endpoints of earlier attempts, ``unsent`` those of them
        to which no connection could be opened. ``versions`` are the acceptable version
        choices, preferred first; a later one is used if the earlier ones lead to a refusal.
        """
        regions = tuple(reachable_regions)
        refusal = PlacementRefusal(RefusalCause.NO_ENDPOINT, 1.0)
        for version in versions:
            decision = self._decide_for(version, request, region_vms, regions, tried, unsent, now)
            if not isinstance(decision, PlacementRefusal):
                return decision
            if refusal.cause is not RefusalCause.NO_ROOM:
                refusal = decision
        return refusal

    def _decide_for(
        self,
        version: VersionChoice,
        request: RoutedRequest,
        region_vms: Collection[VmId],
        reachable_regions: Iterable[RegionName],
        tried: Collection[EndpointId],
        unsent: Collection[EndpointId],
        now: float,
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        local = self._best_local(version, request, region_vms, tried, now)
        own_region = self._endpoints.own_region
        if local is not None or not self._is_cut_off(version, request, tried, unsent):
            reachable_regions = [region for region in reachable_regions if region != own_region]
        remote = self._best_remote(version, request, reachable_regions, now)
        if local is None and remote is None:
            refusal = self._refuse_if_held(version, request, region_vms, tried, now)
            if refusal is not None:
                return refusal
            if request.prompt is not None and self._has_untried_endpoint(version, request, tried):
                return self._refuse_as_full(request)
            if request.allows(own_region) and self._endpoints.usable(request.service):
                return PlacementRefusal(RefusalCause.NONE_LEFT, 1.0)
            return PlacementRefusal(RefusalCause.NO_ENDPOINT, 1.0)
        if local is None or (
            remote is not None and remote.cost_s + MIN_SPILL_GAIN_S < local.cost_s
        ):
            assert remote is not None
            decision = self._refuse_if_late(request, remote, tried, now)
            if isinstance(decision, PlacementRefusal) and own_region in reachable_regions:
                relayed = self._best_relayed(version, request, now)
                if relayed is not None:
                    own_decision = self._refuse_if_late(request, relayed, tried, now)
                    if remote.region != own_region and isinstance(own_decision, PlacementRefusal):
                        # The caller may be served as soon as one of the two regions has room.
                        return min(decision, own_decision, key=lambda r: r.retry_after_s)
                    return own_decision
            return decision
        return self._refuse_if_late(request, local, tried, now)

    def _refuse_as_full(self, request: RoutedRequest) -> PlacementRefusal:
        is_limited = self._endpoints.prompt_precedence.max_queue_s(request) < math.inf
        cause = RefusalCause.RESERVED if is_limited else RefusalCause.FULL
        return PlacementRefusal(cause, FULL_RETRY_AFTER_S)

    def _refuse_if_late(
        self,
        request: RoutedRequest,
        candidate: LocalPlacement | RemotePlacement,
        tried: Collection[EndpointId],
        now: float,
    ) -> LocalPlacement | RemotePlacement | PlacementRefusal:
        """Refuse a request whose answer would come too late to be useful.

        A retry is late in any case, so only its end has to be in time, not its start.
        """
        end_late_s = candidate.forecast_s - request.left_s(now)
        start_late_s = -math.inf
        prompt = request.prompt
        if prompt is not None:
            time_per_token_s = candidate.time_per_token_s + TIME_PER_TOKEN_REVERSION * (
                DEFAULT_TIME_PER_TOKEN_S - candidate.time_per_token_s
            )
            end_late_s += prompt.expected_tokens * time_per_token_s
        if prompt is not None and not tried:
            waited_s = now - request.began_s
            start_late_s = candidate.forecast_s + waited_s - accepted_wait_s(request.route)
        late_s = max(end_late_s, start_late_s)
        if late_s <= 0:
            return candidate
        cause = RefusalCause.LATE_END if end_late_s > start_late_s else RefusalCause.LATE_START
        return PlacementRefusal(
            cause, max(MIN_RETRY_AFTER_S, late_s), candidate.forecast_s, candidate.time_per_token_s
        )

    def _refuse_if_held(
        self,
        version: VersionChoice,
        request: RoutedRequest,
        region_vms: Collection[VmId],
        tried: Collection[EndpointId],
        now: float,
    ) -> PlacementRefusal | None:
        """Refuse a request until the first endpoint accepts one, by what they state.

        An engine that is not held was skipped as full. A cold endpoint names no time and is left
        out. Returns ``None`` if no endpoint names one, or if something else stands in the way.
        """
        if not request.allows(self._endpoints.own_region):
            return None
        refusals = []
        for view in self._endpoints.usable(request.service):
            if not version.allows(view.registration.version):
                continue
            hold = self._endpoints.hold(view, self._own, region_vms, now)
            cause = CAUSES_BY_HOLD_REASON.get(hold.reason) if hold is not None else None
            if hold is not None and hold.wait_s is not None and cause is not None:
                wait_s = max(MIN_RETRY_AFTER_S, hold.wait_s)
                refusals.append(PlacementRefusal(cause, wait_s))
            elif hold is None and request.prompt is not None and view.id not in tried:
                refusals.append(self._refuse_as_full(request))
            elif view.id not in tried and (hold is None or hold.reason is not HoldReason.COLD):
                return None
        # The request may wait here for room, whatever the others state.
        return min(
            refusals,
            key=lambda refusal: (refusal.cause is not RefusalCause.NO_ROOM, refusal.retry_after_s),
            default=None,
        )

    def _is_cut_off(
        self,
        version: VersionChoice,
        request: RoutedRequest,
        tried: Collection[EndpointId],
        unsent: Collection[EndpointId],
    ) -> bool:
        """Return whether another VM may reach an endpoint here, and this one has none left.

        An endpoint to which the request was sent does not count: another VM would only repeat that.
        """
        usable = {view.id for view in self._endpoints.usable(request.service)}
        if not usable <= set(tried):
            return False
        return any(
            version.allows(view.registration.version)
            and view.id not in usable
            and (view.id not in tried or view.id in unsent)
            for view in self._endpoints.accepting(request.service)
        )

    def _has_untried_endpoint(
        self, version: VersionChoice, request: RoutedRequest, tried: Collection[EndpointId]
    ) -> bool:
        """Return whether this VM's region has an endpoint of this version that was not tried.

        If no candidate was found nevertheless, all of these endpoints were skipped, as full.
        """
        if not request.allows(self._endpoints.own_region):
            return False
        views = self._endpoints.usable(request.service)
        return any(
            view.id not in tried and version.allows(view.registration.version) for view in views
        )

    def _best_local(
        self,
        version: VersionChoice,
        request: RoutedRequest,
        region_vms: Collection[VmId],
        tried: Collection[EndpointId],
        now: float,
    ) -> LocalPlacement | None:
        if not request.allows(self._endpoints.own_region):
            return None
        baseline = self._endpoints.baseline_failure_rate(request.service)
        healthy: list[LocalPlacement] = []
        faulty: list[LocalPlacement] = []
        views = [
            view
            for view in self._endpoints.usable(request.service)
            if version.allows(view.registration.version)
        ]
        preferred = _preferred_by_hash(request, views)
        max_queue_s = self._endpoints.prompt_precedence.max_queue_s(request)
        for view in views:
            if view.id in tried:
                continue
            if self._endpoints.hold(view, self._own, region_vms, now) is not None:
                continue
            if request.prompt is not None and view.load.free_slot_share(
                now
            ) <= _min_free_slot_share(request):
                continue
            if max_queue_s < math.inf and (
                view.load.forecast_s(NO_WORK, now) > max_queue_s
                or view.load.free_slot_share(now) < MIN_FREE_SLOT_SHARE_BESIDE_URGENT
            ):
                continue
            work = work_of(request, view)
            forecast_s = view.load.forecast_s(work, now)
            time_per_token_s = view.load.time_per_token_s(now)
            prefill_s = work.unread_tokens * view.load.prefill_s_per_token
            cost_s = forecast_s + _load_cost_s(
                request, time_per_token_s, prefill_s, view.load.running(now)
            )
            if view is preferred:
                cost_s -= AFFINITY_BONUS_S
            candidate = LocalPlacement(view, work, forecast_s, cost_s, time_per_token_s)
            (faulty if view.health.is_faulty(baseline, now) else healthy).append(candidate)
        # Ties go to the endpoint with the oldest last request.
        return min(
            healthy or faulty,
            key=lambda candidate: (candidate.cost_s, candidate.endpoint.health.last_request_at_s),
            default=None,
        )

    def _best_remote(
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
        prefill_s = _unshared_tokens(request) * self._endpoints.prefill_s_per_token(request.service)
        for region in reachable:
            if region not in serving or not request.allows(region):
                continue
            report = self._regions.find(request.service, region, now)
            if report is None:
                continue
            candidate = self._forwarded(request, region, report, prefill_s)
            if best is None or candidate.cost_s < best.cost_s:
                best = candidate
        return best

    def _best_relayed(
        self, version: VersionChoice, request: RoutedRequest, now: float
    ) -> RemotePlacement | None:
        """Return a forward within this region, by the loads that its VMs have reported.

        The region's own report may show a moment in which all endpoints were full, and refuse
        requests until the next one. The other VM knows whether they still are.
        """
        own_region, service = self._endpoints.own_region, request.service
        report = self._regions.find(service, own_region, now)
        waits_s = sorted(
            view.load.nominal_forecast_s(Work(0, 0), now)
            for view in self._endpoints.accepting(service)
            if version.allows(view.registration.version)
        )
        if report is None or not waits_s or not request.allows(own_region):
            return None
        sent_wait_s = self._regions.sent_wait_s(service, own_region, report.endpoints)
        prefill_s = _unshared_tokens(request) * self._endpoints.prefill_s_per_token(service)
        # Those that no VM can use have no load, and come first.
        unusable = max(0, len(waits_s) - report.endpoints)
        report = replace(report, wait_s=waits_s[unusable] + sent_wait_s)
        return self._forwarded(request, own_region, report, prefill_s)

    def _forwarded(
        self, request: RoutedRequest, region: RegionName, report: RegionReport, prefill_s: float
    ) -> RemotePlacement:
        is_own = region == self._endpoints.own_region
        way_s = REGION_RELAY_S if is_own else REGION_ROUND_TRIP_S
        forecast_s = report.wait_s + way_s + prefill_s
        load_cost_s = _load_cost_s(request, report.time_per_token_s, prefill_s, report.running)
        return RemotePlacement(
            region, forecast_s, forecast_s + load_cost_s, report.time_per_token_s
        )


def _min_free_slot_share(request: RoutedRequest) -> float:
    return MIN_FREE_SLOT_SHARE_URGENT if request.priority <= 0 else MIN_FREE_SLOT_SHARE


def _load_cost_s(
    request: RoutedRequest, time_per_token_s: float, prefill_s: float, running: int
) -> float:
    """Return the cost of generating this answer, and of delaying running ones by the prefill.

    As a result, long answers go to engines with little prefill work, and long prompts to engines
    that generate few answers.
    """
    if request.prompt is None:
        return 0.0
    generation_s = request.prompt.expected_tokens * time_per_token_s
    return generation_s * GENERATION_WEIGHT + prefill_s * running * RUNNING_DELAY_WEIGHT


def _unshared_tokens(request: RoutedRequest) -> int:
    """Return the tokens of the prompt's last part, which no other prompt shares."""
    prompt = request.prompt
    if prompt is None:
        return 0
    return prompt.parts[-1].tokens if prompt.parts else prompt.prompt_tokens


def _preferred_by_hash(
    request: RoutedRequest, views: Iterable[EndpointView]
) -> EndpointView | None:
    """Return the endpoint with the highest rendezvous hash for a prompt's shared parts."""
    prompt = request.prompt
    if prompt is None or len(prompt.parts) < 2:
        return None
    key = hash64("/".join(part.id for part in prompt.parts[:-1]).encode())
    return max(views, key=lambda view: combine_hashes(hash64(view.id.encode()), key), default=None)
