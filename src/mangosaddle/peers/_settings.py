"""Settings of a node."""

from dataclasses import dataclass

from ..membership import HEARTBEAT_INTERVAL_S, VmIdentity


@dataclass(frozen=True, slots=True)
class PeerTimings:
    """Intervals of a node in seconds; tests shorten them."""

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    maintenance_interval_s: float = 0.5
    """Interval at which links are dialled, closed and confirmations sent."""
    dial_timeout_s: float = 5.0
    """Time for connecting and authenticating."""
    backoff_initial_s: float = 0.5
    backoff_max_s: float = 5.0
    """A healed partition carries facts again after at most about 1.5 times this."""
    idle_timeout_s: float = 60.0
    """On-demand links without traffic are closed after this time."""


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Identity and addresses of a node."""

    identity: VmIdentity
    fleet: str
    secret: bytes
    """Shared secret of all entry VMs of the fleet."""
    listen_address: str
    listen_port: int
    """0 takes a free port."""
    timings: PeerTimings = PeerTimings()
