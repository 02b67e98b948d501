"""Discovery: tells callers which VMs to send their requests to."""

import logging
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

import prometheus_client

from .._identifiers import RegionName
from ..traffic import Catalogue, HomeDemand
from ._fleet_view import FleetView, LiveVm

MAX_VMS = 64
"""Maximum number of VMs in an answer."""
TIE_TOLERANCE = 0.01
"""Relative difference of weights up to which regions count as equal."""

TTL_SHARE = 0.4
"""Share of the maximum TTL that is used, so that callers stop using a dead VM sooner."""
OUT_OF_REGION_MAX_TTL_S = 1.0
"""Maximum TTL of an answer that sends callers out of their region: they return soon after the
region has VMs again."""
MAX_CACHING_FACTOR = 3.0
"""Multiple of an answer's TTL for which some callers cache it."""
LEAVING_MARGIN_S = 0.3
"""Safety margin: callers should stop using a leaving VM this long before it refuses requests."""
MIN_TTL_S = 0.2
HOME_OUTAGE_GRACE_S = 10.0
"""Time without a VM in any home region of a host after which its callers are sent to other regions:
longer than a planned restart takes."""
WAIT_BOUND_SHARE = 0.5
"""If more than this share of a host's requests is bound to home regions, its callers get no VMs of
other regions until ``HOME_OUTAGE_GRACE_S`` has passed."""

logger = logging.getLogger(__name__)


class AnswerKind(StrEnum):
    """Which VMs an answer names."""

    OWN_REGION = "own_region"
    LEAVING = "leaving"
    """VMs of the caller's region, or of a home region, that have begun to leave."""
    HOME = "home"
    ELSEWHERE = "elsewhere"
    NONE = "none"


class AnswerReason(StrEnum):
    """Why an answer names these VMs."""

    CALLER_REGION_LIVE = "region_serves"
    """The caller's region has live VMs."""
    CALLER_REGION_LEAVING = "region_leaves"
    """All VMs of the caller's region are leaving."""
    NO_CONFIGURATION = "no_configuration"
    """The home regions are unknown, because this VM has no configuration yet."""
    HOME_LIVE = "home_lives"
    """The home region of most requests has live VMs."""
    HOMES_TIE = "homes_tie"
    """Several regions are home to equally many requests."""
    HOMES_LEAVING = "homes_leave"
    """No home region has live VMs; these VMs of one are leaving."""
    HOMES_RESTARTING = "homes_restart"
    """No home region has a VM, but not for longer than a planned restart may take."""
    NO_HOME_LIVE = "no_home_lives"
    """No home region has live VMs, and callers need not wait for one."""
    NO_BOUND_REQUESTS = "nothing_bound"
    """No requests for the host are bound to home regions."""


@dataclass(frozen=True, slots=True)
class DiscoveryAnswer:
    """VMs that a caller should use, with the reason for the choice."""

    vms: list[LiveVm]
    ttl_s: float
    """Time after which the caller should ask again."""
    kind: AnswerKind
    reason: AnswerReason


class Discovery:
    """Chooses the VMs that a caller should use."""

    def __init__(
        self,
        fleet: FleetView,
        catalogue: Callable[[], Catalogue | None],
        demand: HomeDemand,
        rng: random.Random,
        clock: Callable[[], float],
        max_ttl_s: float,
        serves_while_leaving_s: float,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        """Create the discovery of a VM.

        ``max_ttl_s`` bounds the TTL of an answer. A VM still serves requests for
        ``serves_while_leaving_s`` seconds after it has begun to leave.
        """
        self._fleet = fleet
        self._catalogue = catalogue
        self._demand = demand
        self._rng = rng
        self._clock = clock
        self._ttl_s = max_ttl_s * TTL_SHARE
        self._serves_while_leaving_s = serves_while_leaving_s
        self._answers = prometheus_client.Counter(
            "mangosaddle_directory_answers",
            "Answers of the directory by where they lead",
            ["kind"],
            registry=registry,
        )

    def answer(self, host: str, region: RegionName | None) -> DiscoveryAnswer:
        """Return VMs of the caller's region or, if it has none, of a home region of the host.

        Bodies of requests that are bound to home regions must not reach other regions. Therefore,
        when all VMs of the caller's region are leaving, these are returned for as long as they
        serve. While no configuration is known, and with it the home regions, no VM of another
        region is returned; the discovery of other VMs can answer then.
        """
        live = self._fleet.live()
        chosen = [vm for vm in live if vm.region == region]
        if chosen:
            kind, reason = AnswerKind.OWN_REGION, AnswerReason.CALLER_REGION_LIVE
            answer = self._answer(chosen, self._ttl_s, kind, reason)
        else:
            leaving = self._leaving_answer(region, AnswerReason.CALLER_REGION_LEAVING)
            answer = leaving or self._answer_without_caller_region(host, live)
            self._log(host, region, live, answer)
        self._answers.labels(answer.kind).inc()
        return answer

    def _answer_without_caller_region(self, host: str, live: list[LiveVm]) -> DiscoveryAnswer:
        """Return VMs of the region that is home to most of the host's bound requests.

        The route and the organisation that the caller will use are not known at this point.
        """
        catalogue = self._catalogue()
        if catalogue is None:
            return self._answer_out_of_region([], AnswerKind.NONE, AnswerReason.NO_CONFIGURATION)
        now = self._clock()
        weights = self._demand.requests_by_region(catalogue, host, now)
        homes = {home: weight for home, weight in weights.items() if weight > 0.0}
        if not homes:
            return self._answer_out_of_region(
                live, AnswerKind.ELSEWHERE, AnswerReason.NO_BOUND_REQUESTS
            )
        most = max((homes.get(vm.region, 0.0) for vm in live), default=0.0)
        if most > 0.0:
            chosen = [
                vm for vm in live if homes.get(vm.region, 0.0) >= most * (1.0 - TIE_TOLERANCE)
            ]
            is_tie = len({vm.region for vm in chosen}) > 1
            reason = AnswerReason.HOMES_TIE if is_tie else AnswerReason.HOME_LIVE
            return self._answer_out_of_region(chosen, AnswerKind.HOME, reason)
        is_mostly_bound = self._demand.home_bound_share(catalogue, host, now) > WAIT_BOUND_SHARE
        return self._answer_without_live_homes(homes, live, is_mostly_bound=is_mostly_bound)

    def _answer_without_live_homes(
        self, homes: Mapping[RegionName, float], live: list[LiveVm], *, is_mostly_bound: bool
    ) -> DiscoveryAnswer:
        """Return the best answer if no home region has a live VM.

        ``homes`` holds the weight of requests by home region.
        """
        for home in sorted(homes, key=lambda region: (-homes[region], region)):
            leaving = self._leaving_answer(home, AnswerReason.HOMES_LEAVING)
            if leaving is not None:
                return leaving
        time_without_vm_s = min(self._fleet.time_without_vm_s(home) for home in homes)
        if is_mostly_bound and time_without_vm_s < HOME_OUTAGE_GRACE_S:
            # Other regions would refuse the bound requests; callers reuse their cached answer.
            return self._answer_out_of_region([], AnswerKind.NONE, AnswerReason.HOMES_RESTARTING)
        return self._answer_out_of_region(live, AnswerKind.ELSEWHERE, AnswerReason.NO_HOME_LIVE)

    def _leaving_answer(
        self, region: RegionName | None, reason: AnswerReason
    ) -> DiscoveryAnswer | None:
        """Return the region's leaving VMs with a TTL that ends before they refuse requests.

        The TTL takes into account callers that cache an answer for ``MAX_CACHING_FACTOR`` times its
        TTL. Returns ``None`` if no leaving VM serves for long enough.
        """
        ttl_s_by_vm = {
            vm: (self._serves_while_leaving_s - LEAVING_MARGIN_S - leaving_for_s)
            / MAX_CACHING_FACTOR
            for vm, leaving_for_s in self._fleet.leaving(region)
        }
        serving = [vm for vm, ttl_s in ttl_s_by_vm.items() if ttl_s >= MIN_TTL_S]
        if not serving:
            return None
        ttl_s = min(self._ttl_s, *(ttl_s_by_vm[vm] for vm in serving))
        return self._answer(serving, ttl_s, AnswerKind.LEAVING, reason)

    def _answer_out_of_region(
        self, vms: list[LiveVm], kind: AnswerKind, reason: AnswerReason
    ) -> DiscoveryAnswer:
        return self._answer(vms, min(self._ttl_s, OUT_OF_REGION_MAX_TTL_S), kind, reason)

    def _answer(
        self, vms: list[LiveVm], ttl_s: float, kind: AnswerKind, reason: AnswerReason
    ) -> DiscoveryAnswer:
        self._rng.shuffle(vms)
        return DiscoveryAnswer(vms[:MAX_VMS], ttl_s, kind if vms else AnswerKind.NONE, reason)

    def _log(
        self, host: str, region: RegionName | None, live: list[LiveVm], answer: DiscoveryAnswer
    ) -> None:
        catalogue = self._catalogue()
        logger.info(
            "no live VM in the caller's region",
            extra={
                "host": host,
                "region": region,
                "vms": [vm.vm for vm in answer.vms],
                "life_s": round(answer.ttl_s, 2),
                "reason": answer.reason,
                "live_by_region": dict(Counter(vm.region for vm in live)),
                "configuration": catalogue.version if catalogue is not None else None,
            },
        )
