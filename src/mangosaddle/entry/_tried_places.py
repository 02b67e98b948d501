"""Places that have not answered a request."""

from dataclasses import dataclass, field

from .._identifiers import EndpointId, RegionName, VmId
from ..traffic import RefusalCause
from ._attempt import AttemptEnd
from ._results import RunResult


@dataclass(slots=True)
class TriedPlaces:
    """Places that have not answered one request."""

    endpoints: set[EndpointId] = field(default_factory=set)
    unsent: set[EndpointId] = field(default_factory=set)
    """Those of the endpoints to which no connection could be opened."""
    vms: set[VmId] = field(default_factory=set)
    """VMs that have refused the request and have not run it."""
    regions: set[RegionName] = field(default_factory=set)
    """Regions of which each VM would refuse it."""
    refusal: RunResult | None = None
    """Latest refusal that names a time for a region."""

    def add_endpoint(self, endpoint: EndpointId, end: AttemptEnd | None) -> None:
        """Record an endpoint at which an attempt has ended, ``None`` if it was ended."""
        self.endpoints.add(endpoint)
        if end is AttemptEnd.NOT_SENT:
            self.unsent.add(endpoint)

    def add_forward(self, region: RegionName, result: RunResult | None) -> None:
        """Record a forward to a region that has ended, ``None`` if it was ended."""
        if result is None or result.vm is None or result.is_region_refusal:
            self.regions.add(region)
        else:
            self.vms.add(result.vm)
        if result is not None and (
            result.is_region_refusal or result.cause == RefusalCause.NO_ROOM
        ):
            self.refusal = result
