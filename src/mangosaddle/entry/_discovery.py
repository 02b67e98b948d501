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
        """Return the VMs of the regions that are home to most of what is bound to homes.

        Which route and organisation a caller will use is not known yet.
        """
        bound = Counter(home for homes in _homes(catalogue, host) for home in homes)
        most = max((bound[vm.region] for vm in live), default=0)
        return [vm for vm in live if bound[vm.region] == most]


def _homes(catalogue: Catalogue, host: str) -> Iterator[frozenset[RegionName]]:
    """Yield the homes of the host's routes and of the organisations."""
    for route in catalogue.routes_by_host.get(host.lower(), ()):
        yield route.home_regions
    for organisation in catalogue.organisations_by_id.values():
        yield organisation.home_regions
