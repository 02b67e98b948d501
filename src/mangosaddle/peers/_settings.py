"""Settings of a peer node."""

from dataclasses import dataclass

from ..membership import HEARTBEAT_INTERVAL_S, VmIdentity


@dataclass(frozen=True, slots=True)
class PeerTimings:
    """Intervals and timeouts of a node in seconds; tests use shorter ones."""

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    maintenance_interval_s: float = 0.5
    """Interval at which links are dialled and closed and confirmations are sent."""
    dial_timeout_s: float = 5.0
    """Timeout for connecting and authenticating."""
    backoff_initial_s: float = 0.5
    backoff_max_s: float = 5.0
    """Upper bound of the backoff before jitter.

    After a partition has healed, facts are exchanged again within about 1.5 times this value.
    """
    idle_timeout_s: float = 60.0
    """Links opened on demand are closed after this time without traffic."""


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Identity, credentials and listen address of a node."""

    identity: VmIdentity
    fleet: str
    secret: bytes
    """Secret shared by all entry VMs of the fleet."""
    listen_address: str
    listen_port: int
    """0 selects a free port."""
    timings: PeerTimings = PeerTimings()
    max_handshakes: int = 64
    """Accepted connections that may be unauthenticated at the same time."""
    forwarded_bodies_bytes: int = 32 * 1024 * 1024
    """Memory for the bodies of requests that other VMs forward, beside small ones."""
