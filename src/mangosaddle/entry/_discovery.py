"""Answers callers that ask which VMs to use."""

import logging
import random
from collections.abc import Callable

from .._identifiers import RegionName
from ..traffic import Catalogue, HomeDemand
from ._fleet_view import FleetView, LiveVm

MAX_VMS = 64
"""Most VMs in one answer."""
TIE = 0.01
"""Difference of weights, as a part of them, up to which regions count as equal."""

logger = logging.getLogger(__name__)


class Discovery:
    """Chooses the VMs for a caller."""

    def __init__(
        self,
        fleet: FleetView,
        catalogue: Callable[[], Catalogue | None],
        demand: HomeDemand,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create the discovery of a VM."""
        self._fleet = fleet
        self._catalogue = catalogue
        self._demand = demand
        self._rng = rng
        self._clock = clock

    def vms_for(self, host: str, region: RegionName | None) -> list[LiveVm]:
        """Return the VMs of the caller's region, or if there are none those of its homes.

        Bodies of requests that are bound to homes must not reach other regions. Before the homes
        are known nothing is returned: other VMs' directories know them.
        """
        live = self._fleet.live()
        chosen = [vm for vm in live if vm.region == region]
        if not chosen:
            catalogue = self._catalogue()
            if catalogue is not None:
                chosen = self._vms_at_homes(catalogue, host, live)
            logger.info(
                "caller's region has no VM",
                extra={
                    "host": host,
                    "region": region,
                    "vms": [vm.vm for vm in chosen],
                    "configuration": catalogue.version if catalogue is not None else None,
                },
            )
        self._rng.shuffle(chosen)
        return chosen[:MAX_VMS]

    def _vms_at_homes(self, catalogue: Catalogue, host: str, live: list[LiveVm]) -> list[LiveVm]:
        """Return the VMs of the region that is home to most requests that are bound to homes.

        Which route and organisation a caller will use is not known yet.
        """
        weights = self._demand.by_region(catalogue, host, self._clock())
        most = max((weights.get(vm.region, 0.0) for vm in live), default=0.0)
        return [vm for vm in live if weights.get(vm.region, 0.0) >= most * (1.0 - TIE)]
