"""Answers callers that ask which VMs to use."""

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
"""Most VMs in one answer."""
TIE = 0.01
"""Difference of weights, as a part of them, up to which regions count as equal."""

LIFE_SHARE = 0.4
"""Part of the longest life of an answer that is used: callers leave a dead VM sooner."""
AWAY_LIFE_S = 1.0
"""Life of an answer that leads callers out of their region: they return soon when it has VMs."""
KEPT_FACTOR = 3.0
"""Multiple of an answer's life for which some callers keep it."""
LEAVING_MARGIN_S = 0.3
"""Time before a leaving VM refuses requests from which no caller should use it."""
MIN_LIFE_S = 0.2
HOMES_RETURN_S = 10.0
"""Time without a VM at any home of a host after which its callers are led elsewhere: longer than a
planned restart takes."""
MOSTLY_BOUND = 0.5
"""Part of a host's requests that are bound to homes above which its callers wait for these."""

logger = logging.getLogger(__name__)


class AnswerKind(StrEnum):
    """Where an answer leads a caller."""

    OWN_REGION = "own_region"
    LEAVING = "leaving"
    """To VMs of the own region, or of a home, that have begun to leave."""
    HOME = "home"
    ELSEWHERE = "elsewhere"
    NONE = "none"


class AnswerReason(StrEnum):
    """Why a caller is led where it is."""

    REGION_SERVES = "region_serves"
    REGION_LEAVES = "region_leaves"
    NO_CONFIGURATION = "no_configuration"
    HOME_LIVES = "home_lives"
    HOMES_TIE = "homes_tie"
    """Several regions are home to as many requests."""
    HOMES_LEAVE = "homes_leave"
    HOMES_RESTART = "homes_restart"
    """No home has a VM, for as long as a planned restart may take."""
    NO_HOME_LIVES = "no_home_lives"
    NOTHING_BOUND = "nothing_bound"


@dataclass(frozen=True, slots=True)
class DiscoveryAnswer:
    """VMs for a caller."""

    vms: list[LiveVm]
    ttl_s: float
    """Time after which the caller should ask again."""
    kind: AnswerKind
    reason: AnswerReason


class Discovery:
    """Chooses the VMs for a caller."""

    def __init__(
        self,
        fleet: FleetView,
        catalogue: Callable[[], Catalogue | None],
        demand: HomeDemand,
        rng: random.Random,
        clock: Callable[[], float],
        max_life_s: float,
        leaving_serves_s: float,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        """Create the discovery of a VM.

        ``max_life_s`` bounds the life of an answer; a VM serves for ``leaving_serves_s`` after it
        has begun to leave.
        """
        self._fleet = fleet
        self._catalogue = catalogue
        self._demand = demand
        self._rng = rng
        self._clock = clock
        self._life_s = max_life_s * LIFE_SHARE
        self._leaving_serves_s = leaving_serves_s
        self._answers = prometheus_client.Counter(
            "mangosaddle_directory_answers",
            "Answers of the directory by where they lead",
            ["kind"],
            registry=registry,
        )

    def answer(self, host: str, region: RegionName | None) -> DiscoveryAnswer:
        """Return the VMs of the caller's region, or if there are none those of its homes.

        Bodies of requests that are bound to homes must not reach other regions: when all VMs of
        the region leave, they are named while they serve. Before the homes are known nothing is
        returned: other VMs' directories know them.
        """
        live = self._fleet.live()
        chosen = [vm for vm in live if vm.region == region]
        if chosen:
            kind, reason = AnswerKind.OWN_REGION, AnswerReason.REGION_SERVES
            answer = self._answer(chosen, self._life_s, kind, reason)
        else:
            leaving = self._leaving(region, AnswerReason.REGION_LEAVES)
            answer = leaving or self._without_own_region(host, live)
            self._log(host, region, live, answer)
        self._answers.labels(answer.kind).inc()
        return answer

    def _without_own_region(self, host: str, live: list[LiveVm]) -> DiscoveryAnswer:
        """Return the VMs of the region that is home to most requests that are bound to homes.

        Which route and organisation a caller will use is not known yet.
        """
        catalogue = self._catalogue()
        if catalogue is None:
            return self._away([], AnswerKind.NONE, AnswerReason.NO_CONFIGURATION)
        now = self._clock()
        weights = self._demand.requests_by_region(catalogue, host, now)
        homes = {home: weight for home, weight in weights.items() if weight > 0.0}
        if not homes:
            return self._away(live, AnswerKind.ELSEWHERE, AnswerReason.NOTHING_BOUND)
        most = max((homes.get(vm.region, 0.0) for vm in live), default=0.0)
        if most > 0.0:
            chosen = [vm for vm in live if homes.get(vm.region, 0.0) >= most * (1.0 - TIE)]
            is_tie = len({vm.region for vm in chosen}) > 1
            reason = AnswerReason.HOMES_TIE if is_tie else AnswerReason.HOME_LIVES
            return self._away(chosen, AnswerKind.HOME, reason)
        is_mostly_bound = self._demand.home_bound_share(catalogue, host, now) > MOSTLY_BOUND
        return self._without_homes(homes, live, is_mostly_bound=is_mostly_bound)

    def _without_homes(
        self, homes: Mapping[RegionName, float], live: list[LiveVm], *, is_mostly_bound: bool
    ) -> DiscoveryAnswer:
        """Return what remains when no home has a live VM; ``homes`` has requests by region."""
        for home in sorted(homes, key=lambda region: (-homes[region], region)):
            leaving = self._leaving(home, AnswerReason.HOMES_LEAVE)
            if leaving is not None:
                return leaving
        unserved_s = min(self._fleet.unserved_s(home) for home in homes)
        if is_mostly_bound and unserved_s < HOMES_RETURN_S:
            # Bound requests would be refused there; callers keep the answer that they have.
            return self._away([], AnswerKind.NONE, AnswerReason.HOMES_RESTART)
        return self._away(live, AnswerKind.ELSEWHERE, AnswerReason.NO_HOME_LIVES)

    def _leaving(self, region: RegionName | None, reason: AnswerReason) -> DiscoveryAnswer | None:
        """Return the region's leaving VMs while those who keep the answer longest are served."""
        lives_by_vm = {
            vm: (self._leaving_serves_s - LEAVING_MARGIN_S - left_s) / KEPT_FACTOR
            for vm, left_s in self._fleet.leaving(region)
        }
        serving = [vm for vm, ttl_s in lives_by_vm.items() if ttl_s >= MIN_LIFE_S]
        if not serving:
            return None
        ttl_s = min(self._life_s, *(lives_by_vm[vm] for vm in serving))
        return self._answer(serving, ttl_s, AnswerKind.LEAVING, reason)

    def _away(self, vms: list[LiveVm], kind: AnswerKind, reason: AnswerReason) -> DiscoveryAnswer:
        return self._answer(vms, min(self._life_s, AWAY_LIFE_S), kind, reason)

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
            "caller's region has no VM",
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
