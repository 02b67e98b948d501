"""Interfaces that request handling requires from the process; event loop thread only."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from .._identifiers import OrganisationId, RegionName, VmId
from ..configuration import Vm
from ..peers import ForwardRequest, ForwardResponsePart


@dataclass(frozen=True, slots=True)
class AllowanceExceeded:
    """A request exceeds the remaining allowance of its organisation."""

    retry_after_s: float | None
    """``None`` if the request exceeds the organisation's burst and can never run."""


class Allowances(Protocol):
    """Fleet-wide token allowances (rate and burst) of the organisations."""

    async def reserve(self, organisation: OrganisationId, tokens: float) -> int | AllowanceExceeded:
        """Reserve an upper bound of tokens, and return the number of the reservation."""
        ...

    def settle(self, reservation: int, used_tokens: float) -> None:
        """Replace a reservation with the final cost."""
        ...

    def holders(self, organisation: OrganisationId) -> tuple[VmId, ...]:
        """Return the VMs that hold tokens of an organisation."""
        ...


class Fleet(Protocol):
    """The other entry VMs."""

    def accepts_work(self) -> bool:
        """Return whether this VM accepts new requests."""
        ...

    def discovery(self, preferred: tuple[VmId, ...]) -> tuple[Vm, ...]:
        """Return the VMs that callers should use now, best first; ``preferred`` VMs lead."""
        ...

    def is_live(self, vm: VmId) -> bool:
        """Return whether a VM is considered live."""
        ...

    def live_vms_in(self, region: RegionName) -> tuple[frozenset[VmId], ...]:
        """Return groups of live VMs of a region to forward to, preferred ones first."""
        ...

    def forward(self, vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        """Forward a request to another VM and yield the parts of its answer."""
        ...
