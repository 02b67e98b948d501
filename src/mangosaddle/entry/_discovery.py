"""Answers callers that ask which VMs to use."""

import logging
import random
from collections import Counter
from collections.abc import Callable, Iterator

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
            chosen = self._vms_at_homes(host, live)
            logger.info(
                "caller's region has no VM",
                extra={"host": host, "region": region, "vms": [vm.vm for vm in chosen]},
            )
        self._rng.shuffle(chosen)
        return chosen[:MAX_VMS]

    def _vms_at_homes(self, host: str, live: list[LiveVm]) -> list[LiveVm]:
        """Return the VMs of the regions that are home to most of what is bound to homes.

        Which route and organisation a caller will use is not known yet.
        """
        bound = Counter(home for homes in self._homes(host) for home in homes)
        most = max((bound[vm.region] for vm in live), default=0)
        return [vm for vm in live if bound[vm.region] == most]

    def _homes(self, host: str) -> Iterator[frozenset[RegionName]]:
        """Yield the homes of the host's routes and of the organisations."""
        catalogue = self._catalogue()
        if catalogue is None:
            return
        for route in catalogue.routes_by_host.get(host.lower(), ()):
            yield route.home_regions
        for organisation in catalogue.organisations_by_id.values():
            yield organisation.home_regions
