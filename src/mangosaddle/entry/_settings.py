"""Settings of one entry process, independent of the format in which they come."""

from collections.abc import Mapping
from dataclasses import dataclass

from .._identifiers import RegionName, VmId, ZoneName

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """What operators have promised their users, and what the fleet has to keep."""

    drain_s: float
    """Time after which a leaving endpoint must get no more requests."""
    grace_s: float
    """Time between the signal to stop and the end of the process."""
    configuration_s: float
    """Time in which an accepted configuration has to be in force."""
    contact_s: float
    """Time without trouble after which a VM has to keep all bounds."""
    retry_ratio: float
    """Retries allowed per request, over all VMs."""
    extra_retries: float
    """Retries allowed beside the ratio in a window, over all VMs."""
    allowance_slack: float
    """Units by which an organisation may exceed its allowance in a window."""
    discovery_ttl_s: float
    """Longest time for which callers may keep a discovery answer."""
    rollback_s: float
    """Time after its fault has shown in which a bad version has to be out of use."""
    exposure_share: float = 0.1
    """Part of a service's requests that a bad version may get until the deadline of its order."""
    exposure_slack: float = 50.0
    """Requests that it may get beside that part."""


@dataclass(frozen=True, slots=True)
class EntryProcessSettings:
    """Identity, addresses and bounds of one process."""

    vm: VmId
    region: RegionName
    zone: ZoneName
    host: str
    front: Address
    ready: Address | None
    discovery: Address | None
    peer_port: int
    metrics_port: int
    store: Address
    first_start: bool
    """Whether the whole fleet starts for the first time."""
    regions_by_zone: Mapping[ZoneName, RegionName]
    bounds: FleetBounds
    max_value_bytes: int
    """Largest value of the store."""
    log_level: str = "INFO"
