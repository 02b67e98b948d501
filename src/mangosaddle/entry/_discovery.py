"""Answers callers that ask which VMs to use."""

import logging
import random
from collections.abc import Callable

from .._identifiers import RegionName
from ..traffic import Catalogue
from ._fleet_view import FleetView, LiveVm

MAX_VMS = 64
"""Most VMs in one answer."""

logger = logging.getLogger(__name__)


class Discovery:
    """Chooses the VMs for a caller."""

    def __init__(
        self,
        fleet: FleetView,
        catalogue: Callable[[], Catalogue | None],
        rng: random.Random,
    ) -> None:
        """Create the discovery of a VM."""
        self._fleet = fleet
        self._catalogue = catalogue
        self._rng = rng

    def vms_for(self, host: str, region: RegionName | None) -> list[LiveVm]:
        """Return the VMs of the caller's region, or if there are none those of its homes.

        Bodies of requests that are bound to homes must not reach other regions.
        """
        live = self._fleet.live()
        chosen = [vm for vm in live if vm.region == region]
        if not chosen:
            homes = self._homes(host)
            chosen = [vm for vm in live if homes is None or vm.region in homes] or live
        self._rng.shuffle(chosen)
        return chosen[:MAX_VMS]

    def _homes(self, host: str) -> frozenset[RegionName] | None:
        """Return the regions in which all routes of a host may run; ``None`` for all regions."""
        catalogue = self._catalogue()
        if catalogue is None:
            return None
        homes = [
            route.home_regions
            for route in catalogue.routes_by_host.get(host.lower(), ())
            if route.home_regions
        ]
        return frozenset.intersection(*homes) if homes else None
