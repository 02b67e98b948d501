"""States of VMs and their encoding as facts."""

from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import Incarnation, VmId
from ._exceptions import InvalidFactError
from ._merge_rules import HIGHEST_VERSION, Fact, FactKind

VM_STATE_LIFETIME_S = 24 * 3600.0
"""Time after which the states of VMs removed from the inventory expire."""
VM_STATE_KIND = FactKind("vm", HIGHEST_VERSION, lifetime_s=VM_STATE_LIFETIME_S)
"""State of each VM, keyed by VM id; published by the VM itself and by VMs that suspect it."""

_COUNTER_BITS = 20
MAX_COUNTER = 2 ** (_COUNTER_BITS - 1) - 1
"""Highest state counter: about 500,000 state changes per incarnation.

That is far more than one process ever makes.
"""
_MAX_VERSION = 2**63 - 1


class VmState(StrEnum):
    """Known state of a VM."""

    UNKNOWN = "unknown"
    """In the inventory, but no state has been received."""
    LIVE = "live"
    SUSPECTED = "suspected"
    """Three heartbeats are missing; the VM gets no traffic but keeps its slots."""
    LEAVING = "leaving"
    GONE = "gone"
    """The platform's VM list no longer contains this incarnation."""


@dataclass(frozen=True, slots=True)
class VmIdentity:
    """Identity of one process (incarnation) of a VM."""

    vm: VmId
    incarnation: Incarnation
    started_ms: int
    """Wall-clock start in milliseconds since the epoch; a later start replaces an earlier one."""


@dataclass(frozen=True, slots=True)
class VmStatus:
    """A VM's state at one point in its incarnation."""

    identity: VmIdentity
    counter: int
    """Number of the state within the incarnation; only the VM itself increments it."""
    state: VmState

    @property
    def version(self) -> int:
        """Return the version of the fact that carries this state.

        A suspicion supersedes the state with the same counter, and the VM's next state supersedes
        the suspicion. Observers that suspect the same state publish the same version, so a failure
        floods one fact and not one per observer.
        """
        suspected = 1 if self.state is VmState.SUSPECTED else 0
        return (self.identity.started_ms << _COUNTER_BITS) | (self.counter << 1) | suspected

    def to_fact(self, publisher: VmIdentity) -> Fact:
        """Encode this state as a fact published by ``publisher``."""
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
        """Decode a fact; raises ``InvalidFactError`` if it is not a valid VM state."""
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
            raise InvalidFactError(f"invalid state fact for VM {fact.key!r}") from error
