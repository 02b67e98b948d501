"""What request handling needs from the other parts of the process; loop thread only."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from .._identifiers import OrganisationId, RegionName, VmId
from ..configuration import Vm
from ..peers import ForwardRequest, ForwardResponsePart


@dataclass(frozen=True, slots=True)
class AllowanceExceeded:
    """An organisation has no tokens left for a request."""

    retry_after_s: float | None
    """``None`` when the request exceeds the organisation's burst and can never run."""


class Allowances(Protocol):
    """Fleet-wide rate and burst of the organisations."""

    async def reserve(self, organisation: OrganisationId, tokens: float) -> int | AllowanceExceeded:
        """Reserve an upper bound; return the reservation's number or why there is none."""
        ...

    def settle(self, reservation: int, used_tokens: float) -> None:
        """Replace a reservation by the final cost."""
        ...

    def holders(self, organisation: OrganisationId) -> tuple[VmId, ...]:
        """Return the VMs that hold tokens of an organisation."""
        ...


class Fleet(Protocol):
    """The other entry VMs."""

    def accepts_work(self) -> bool:
        """Return whether this VM takes new requests."""
        ...

    def discovery(self, preferred: tuple[VmId, ...]) -> tuple[Vm, ...]:
        """Return the VMs that callers should use now, best first."""
        ...

    def is_live(self, vm: VmId) -> bool:
        """Return whether a VM is believed alive."""
        ...

    def live_vm_in(self, region: RegionName) -> VmId | None:
        """Return a live VM of a region to forward to."""
        ...

    def forward(self, vm: VmId, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        """Forward a request to another VM."""
        ...
