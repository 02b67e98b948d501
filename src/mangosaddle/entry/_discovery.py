"""Answers callers that ask which VMs to use."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

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

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DiscoveryAnswer:
    """VMs for a caller."""

    vms: list[LiveVm]
    life_s: float
    """Time after which the caller should ask again."""


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

    def answer(self, host: str, region: RegionName | None) -> DiscoveryAnswer:
        """Return the VMs of the caller's region, or if there are none those of its homes.

        Bodies of requests that are bound to homes must not reach other regions: when all VMs of
        the region leave, they are named while they serve. Before the homes are known nothing is
        returned: other VMs' directories know them.
        """
        live = self._fleet.live()
        chosen = [vm for vm in live if vm.region == region]
        if chosen:
            return self._answer(chosen, self._life_s)
        answer = self._leaving(region)
        catalogue = self._catalogue()
        if answer is None:
            chosen = self._vms_at_homes(catalogue, host, live) if catalogue is not None else []
            answer = self._answer(chosen, min(self._life_s, AWAY_LIFE_S))
        logger.info(
            "caller's region has no VM",
            extra={
                "host": host,
                "region": region,
                "vms": [vm.vm for vm in answer.vms],
                "life_s": round(answer.life_s, 2),
                "configuration": catalogue.version if catalogue is not None else None,
            },
        )
        return answer

    def _answer(self, vms: list[LiveVm], life_s: float) -> DiscoveryAnswer:
        self._rng.shuffle(vms)
        return DiscoveryAnswer(vms[:MAX_VMS], life_s)

    def _leaving(self, region: RegionName | None) -> DiscoveryAnswer | None:
        """Return the region's leaving VMs while those who keep the answer longest are served."""
        lives_by_vm = {
            vm: (self._leaving_serves_s - LEAVING_MARGIN_S - left_s) / KEPT_FACTOR
            for vm, left_s in self._fleet.leaving(region)
        }
        serving = [vm for vm, life_s in lives_by_vm.items() if life_s >= MIN_LIFE_S]
        if not serving:
            return None
        return self._answer(serving, min(self._life_s, *(lives_by_vm[vm] for vm in serving)))

    def _vms_at_homes(self, catalogue: Catalogue, host: str, live: list[LiveVm]) -> list[LiveVm]:
        """Return the VMs of the region that is home to most requests that are bound to homes.

        Which route and organisation a caller will use is not known yet.
        """
        weights = self._demand.by_region(catalogue, host, self._clock())
        most = max((weights.get(vm.region, 0.0) for vm in live), default=0.0)
        return [vm for vm in live if weights.get(vm.region, 0.0) >= most * (1.0 - TIE)]
