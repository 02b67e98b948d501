"""Rollout orders from operators, and the fleet's shared records of their progress."""

from dataclasses import dataclass

from .._identifiers import ServiceName, VersionId
from .._store_revisions import era_of
from ._control import RolloutState

RECORDED_STATES = frozenset(
    {RolloutState.IN_PROGRESS, RolloutState.COMPLETED, RolloutState.REVERTED}
)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move the traffic of a service to another version."""

    service: ServiceName
    target: VersionId
    duration_s: float
    """Time in seconds after the order within which all traffic must be moved."""
    revision: int
    """Revision of the store at which the order was written, which identifies the order."""

    def repeats(self, earlier: "RolloutOrder") -> bool:
        """Return whether this is an earlier order as a restored store shows it.

        The operator writes an order again that the restored store lacks, under another revision.
        """
        is_same = self.target == earlier.target and self.duration_s == earlier.duration_s
        return is_same and era_of(self.revision) > era_of(earlier.revision)


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """Shared record of the progress of an order.

    Raises ``ValueError`` for a state that is never recorded, such as ``PLANNED`` or ``LATE``.
    """

    service: ServiceName
    target: VersionId
    state: RolloutState
    order: int
    """Revision of the order; 0 if the writer of the record left it out."""
    began_at_s: float
    """Wall-clock seconds since the epoch when the order was first seen; 0 if unknown."""

    def describes(self, order: RolloutOrder) -> bool:
        """Return whether the record is about an order.

        A record from before a restore names the order by a revision that it does not have any more.
        """
        if self.order == order.revision:
            return True
        is_earlier = self.order > 0 and era_of(self.order) < era_of(order.revision)
        return is_earlier and self.target == order.target

    def __post_init__(self) -> None:
        """Check the state."""
        if self.state not in RECORDED_STATES:
            raise ValueError(f"state {self.state} is not recorded")
