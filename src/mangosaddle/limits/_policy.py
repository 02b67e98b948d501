"""How much to borrow, from whom, and how much a holder keeps for itself."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import VmId
from ._messages import BorrowGrant


@dataclass(frozen=True, slots=True)
class BorrowPolicy:
    """Tunable parameters; the defaults come from ``mangosaddle.measure.limits``."""

    stock_factor: float = 0.25
    """A VM wants this multiple of its share of the organisation's demand, as share of the burst.

    Targets that are not proportional to demand make idle VMs hoard what a busy one needs.
    """
    keep_requests: float = 0.5
    """A holder with demand of its own keeps this many mean requests from loans ahead of need."""
    surplus_factor: float = 1.5
    """Loans above the target times this factor go back."""
    smallest_loan_requests: float = 0.1
    """Loans ahead of need below this many mean requests are not worth their messages."""
    smallest_urgent_requests: float = 0.01
    """Smaller loans are not worth a wait either."""
    idle_s: float = 10.0
    """After this time without a request a VM borrows nothing and keeps nothing."""


@dataclass(frozen=True, slots=True)
class LenderBelief:
    """What a VM believes about a holder's level; a wrong belief costs a message."""

    level_tokens: float
    spare_tokens: float
    known_s: float
    held_slots: int


@dataclass(frozen=True, slots=True)
class LoanWish:
    """Tokens to ask of one holder."""

    lender: VmId
    tokens: float


class Lenders:
    """Beliefs about the holders of one organisation, and the choice among them."""

    __slots__ = ("_beliefs_by_vm",)

    def __init__(self) -> None:
        """Start without beliefs: every preferred holder is taken to be full."""
        self._beliefs_by_vm: dict[VmId, LenderBelief] = {}

    def learn(self, vm: VmId, grant: BorrowGrant, now: float) -> None:
        """Keep what a holder said about itself."""
        self._beliefs_by_vm[vm] = LenderBelief(
            grant.level_tokens, grant.spare_tokens, now, grant.held_slots
        )

    def forget_except(self, vms: Iterable[VmId]) -> None:
        """Drop beliefs about VMs that are no longer preferred holders."""
        keep = set(vms)
        for vm in list(self._beliefs_by_vm):
            if vm not in keep:
                del self._beliefs_by_vm[vm]

    def estimates(
        self, holders: Iterable[VmId], slot_rate: float, slot_tokens: float, now: float
    ) -> dict[VmId, float]:
        """Return the believed level of each holder in tokens, for a request that waits."""
        return {
            vm: self._estimate(vm, slots, slot_rate, slot_tokens, now, spare=False)
            for vm, slots in Counter(holders).items()
        }

    def spare_estimates(
        self, holders: Iterable[VmId], slot_rate: float, slot_tokens: float, now: float
    ) -> dict[VmId, float]:
        """Return what each holder would probably lend ahead of need, in tokens."""
        return {
            vm: self._estimate(vm, slots, slot_rate, slot_tokens, now, spare=True)
            for vm, slots in Counter(holders).items()
        }

    def _estimate(
        self, vm: VmId, slots: int, slot_rate: float, slot_tokens: float, now: float, spare: bool
    ) -> float:
        belief = self._beliefs_by_vm.get(vm)
        if belief is None:
            return slots * slot_tokens
        level = belief.spare_tokens if spare else belief.level_tokens
        accrued = belief.held_slots * slot_rate * max(0.0, now - belief.known_s)
        return min(level + accrued, belief.held_slots * slot_tokens)


def share_out(estimates: dict[VmId, float], tokens: float, smallest: float) -> list[LoanWish]:
    """Ask the holders with the most tokens first until the sum covers ``tokens``."""
    wishes = []
    for vm in sorted(estimates, key=lambda vm: (-estimates[vm], vm)):
        part = min(tokens, estimates[vm])
        if part < smallest or part <= 0:
            break
        wishes.append(LoanWish(vm, part))
        tokens -= part
    return wishes
