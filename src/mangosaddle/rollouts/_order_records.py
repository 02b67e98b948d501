"""What is ordered from a fleet and what the fleet records about it."""

from dataclasses import dataclass

from .._identifiers import ServiceName, VersionId
from ._control import RolloutState

RECORDED_STATES = frozenset(
    {RolloutState.IN_PROGRESS, RolloutState.COMPLETED, RolloutState.ROLLED_BACK}
)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move the traffic of a service to another version."""

    service: ServiceName
    target: VersionId
    duration_s: float
    """Time in seconds, from the order on, within which the traffic has to be moved."""
    revision: int
    """Revision of the store at which the order was written: identifies it."""


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """Shared record of how far an order has got.

    Raises ``ValueError`` for a state that is not recorded, such as ``PLANNED`` or ``LATE``.
    """

    service: ServiceName
    target: VersionId
    state: RolloutState
    order: int
    """Revision of the order; 0 if another writer left it out."""
    began_at_s: float
    """Wall-clock seconds since the epoch at which the order was first seen; 0 if unknown."""

    def __post_init__(self) -> None:
        """Check the state."""
        if self.state not in RECORDED_STATES:
            raise ValueError(f"state {self.state} is not recorded")
