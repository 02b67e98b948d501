"""State of a VM as it travels in a fact."""

from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import Incarnation, VmId
from ._exceptions import InvalidFactError
from ._rules import HIGHEST_VERSION, Fact, FactKind

VM_STATE_LIFETIME_S = 24 * 3600.0
"""States of VMs that have left the inventory are forgotten after this time."""
VM_STATE_KIND = FactKind("vm", HIGHEST_VERSION, lifetime_s=VM_STATE_LIFETIME_S)
"""State of each VM, keyed by the VM; published by the VM itself and by VMs that suspect it."""

_COUNTER_BITS = 20
MAX_COUNTER = 2 ** (_COUNTER_BITS - 1) - 1
"""About half a million changes of state per incarnation, far above what one process goes
through."""
_MAX_VERSION = 2**63 - 1


class VmState(StrEnum):
    """What is known about a VM."""

    UNKNOWN = "unknown"
    """In the inventory, but no news has come."""
    LIVE = "live"
    SUSPECTED = "suspected"
    """Three heartbeats are missing; it gets no traffic, but keeps its slots."""
    LEAVING = "leaving"
    GONE = "gone"
    """The platform's list no longer shows this incarnation."""


@dataclass(frozen=True, slots=True)
class VmIdentity:
    """A process of a VM."""

    vm: VmId
    incarnation: Incarnation
    started_ms: int
    """Wall-clock start in milliseconds since the epoch; a higher one replaces a lower one."""


@dataclass(frozen=True, slots=True)
class VmStatus:
    """A VM's state at one moment of its incarnation."""

    identity: VmIdentity
    counter: int
    """Number of the state within the incarnation; only the VM itself raises it."""
    state: VmState

    @property
    def version(self) -> int:
        """Return the version: a suspicion beats the state it doubts, the VM's next state beats it.

        Two observers that doubt the same state publish the same version, so a failure costs
        one flooded fact and not one per observer.
        """
        suspected = 1 if self.state is VmState.SUSPECTED else 0
        return (self.identity.started_ms << _COUNTER_BITS) | (self.counter << 1) | suspected

    def to_fact(self, publisher: VmIdentity) -> Fact:
        """Return the fact that tells this state."""
        return Fact(
            kind=VM_STATE_KIND.name,
            key=self.identity.vm,
            origin=publisher.vm,
            incarnation=publisher.incarnation,
            started_ms=publisher.started_ms,
            version=self.version,
            payload=f"{self.state} {self.identity.incarnation}".encode(),
        )

    @classmethod
    def from_fact(cls, fact: Fact) -> "VmStatus":
        """Read a fact; raises ``InvalidFactError``."""
        try:
            state, incarnation = fact.payload.decode().split(" ")
            identity = VmIdentity(
                VmId(fact.key), Incarnation(incarnation), fact.version >> _COUNTER_BITS
            )
            if not 0 <= fact.version <= _MAX_VERSION:
                raise ValueError("version out of range")
            counter = (fact.version & ((1 << _COUNTER_BITS) - 1)) >> 1
            return cls(identity, counter, VmState(state))
        except ValueError as error:
            raise InvalidFactError(f"state of VM {fact.key!r} cannot be read") from error
