"""Settings of one entry process, independent of their source format."""

from collections.abc import Mapping
from dataclasses import dataclass

from .._identifiers import RegionName, VmId, ZoneName
from ._ingress_limits import NO_STATED_LIMITS, VmLimits

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Service levels that the operators have promised and the fleet has to meet."""

    drain_s: float
    """Time after which a leaving endpoint must not get any more requests."""
    grace_s: float
    """Time between the stop signal and the end of the process."""
    configuration_s: float
    """Time within which an accepted configuration has to be in force."""
    contact_s: float
    """Time without disturbance after which a VM has to meet all bounds again."""
    retry_ratio: float
    """Retries allowed per request, summed over all VMs."""
    extra_retries: float
    """Retries allowed per window in addition to the ratio, summed over all VMs."""
    allowance_slack: float
    """Units by which an organisation may exceed its allowance per window."""
    discovery_ttl_s: float
    """Longest time for which callers may cache a discovery answer."""
    rollback_s: float
    """Time within which a bad version has to be out of use once its fault has shown."""
    exposure_share: float = 0.1
    """Share of a service's requests that a bad version may get until the deadline of its order."""
    exposure_slack: float = 50.0
    """Number of requests that it may get in addition to that share."""


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Calls to the platform that one VM of the fleet makes at a time."""

    address: Address
    reports_usage: bool
    orders_endpoints: bool
    calls_per_s: float
    """Calls that the platform accepts from all VMs together."""
    lease_s: float
    """Time within which holders of a duty must not alternate."""
    usage_window_s: float
    usage_late_s: float
    """Time after the end of a window at which its report is due."""


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
    """Whether the whole fleet is starting for the first time."""
    regions_by_zone: Mapping[ZoneName, RegionName]
    bounds: FleetBounds
    max_value_bytes: int
    """Maximum size of a value in the store."""
    log_level: str = "INFO"
    vm_limits: VmLimits = NO_STATED_LIMITS
    duties: DutySettings | None = None
    """Duties that this VM takes part in; ``None`` for none."""
