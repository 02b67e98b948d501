"""How much to borrow, from whom, and how much a holder keeps for itself."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import VmId
from ._messages import ShareGrant


@dataclass(frozen=True, slots=True)
class BorrowPolicy:
    """Tunable parameters; the defaults come from ``mangosaddle.measure.limits``."""

    rate_factor: float = 1.2
    """A VM wants this multiple of its own demand as rate."""
    stock_s: float = 2.0
    """A VM wants capacity for its demand of this time, and ..."""
    keep_requests: float = 1.0
    """... for this many mean requests."""
    surplus_factor: float = 1.3
    """A share goes back when the rest exceeds the targets by this factor (hysteresis)."""
    open_part: float = 1.0
    """Capacity kept beyond the target, as part of the open reservations: room for their refunds."""
    smallest_part: float = 0.2
    """Shares ahead of need below this part of the target are not worth their messages."""
    smallest_urgent_requests: float = 0.01
    """Smaller urgent shares are not worth a wait."""
    ask_again_s: float = 0.5
    """A lender is asked ahead of need at most once in this time."""
    recall_part: float = 0.7
    """A lender recalls shares when it has less than this part of what its own slots cover."""
    stock_factor: float = 0.25
    """A VM wants this multiple of its share of the organisation's demand, as part of the burst, ...

    Stocks that are not proportional to demand make idle VMs hoard what a busy one needs.
    """
    stock_requests: float = 1.0
    """... and at least this many mean requests as level."""
    smallest_transfer_requests: float = 0.2
    """Transfers ahead of need below this many mean requests are not worth their messages."""
    idle_s: float = 10.0
    """After this time without a request a VM borrows nothing and keeps nothing."""


BELIEF_S = 0.3
"""A request is not refused because of older beliefs: the holders are asked first."""


@dataclass(slots=True)
class LenderBelief:
    """What a VM believes about a holder; a wrong belief costs a message."""

    lendable_tokens: float
    spare_tokens: float
    spare_rate: float
    spare_capacity_tokens: float
    held_slots: int
    known_s: float


@dataclass(frozen=True, slots=True)
class ShareWish:
    """What to ask of one holder."""

    lender: VmId
    rate: float
    capacity_tokens: float
    level_tokens: float


@dataclass(frozen=True, slots=True)
class SlotSize:
    """Rate (tokens/s) and capacity (tokens) of one slot."""

    rate: float
    capacity_tokens: float


class Lenders:
    """Beliefs about the holders of one organisation, and the choice among them."""

    __slots__ = ("_asked_s", "_beliefs_by_vm")

    def __init__(self) -> None:
        """Start without beliefs: every preferred holder is taken to be full."""
        self._beliefs_by_vm: dict[VmId, LenderBelief] = {}
        self._asked_s: dict[VmId, float] = {}

    def learn(self, vm: VmId, grant: ShareGrant, now: float) -> None:
        """Keep what a holder said about itself."""
        self._beliefs_by_vm[vm] = LenderBelief(
            grant.lendable_tokens,
            grant.spare_tokens,
            grant.spare_rate_tokens_per_s,
            grant.spare_capacity_tokens,
            grant.held_slots,
            now,
        )

    def lendable(
        self, holders: Iterable[VmId], slot: SlotSize, urgent: bool, now: float
    ) -> dict[VmId, float]:
        """Return the tokens that each holder could probably lend, urgently or ahead of need."""
        found = {}
        for vm, slots in Counter(holders).items():
            belief = self._beliefs_by_vm.get(vm)
            if belief is None:
                found[vm] = slots * slot.capacity_tokens
                continue
            accrued = belief.held_slots * slot.rate * max(0.0, now - belief.known_s)
            if urgent and now - belief.known_s >= BELIEF_S:
                found[vm] = max(belief.lendable_tokens + accrued, slot.capacity_tokens)
                continue
            found[vm] = (belief.lendable_tokens if urgent else belief.spare_tokens) + accrued
        return found

    def ahead(
        self,
        holders: list[VmId],
        wanted: tuple[float, float, float],
        slot: SlotSize,
        ask_again_s: float,
        now: float,
    ) -> list[ShareWish]:
        """Spread wanted rate, capacity and level over holders that were not asked just now."""
        rate, capacity, level = wanted
        wishes = []
        for vm, slots in Counter(holders).items():
            if now - self._asked_s.get(vm, float("-inf")) < ask_again_s:
                continue
            if rate <= 0 and capacity <= 0:
                break
            part = min(capacity, slots * slot.capacity_tokens)
            wish = ShareWish(vm, min(rate, slots * slot.rate), part, min(level, part))
            self._asked_s[vm] = now
            wishes.append(wish)
            belief = self._beliefs_by_vm.get(vm)
            rate -= wish.rate if belief is None else min(wish.rate, belief.spare_rate)
            capacity -= part if belief is None else min(part, belief.spare_capacity_tokens)
            level -= wish.level_tokens
        return wishes


def share_out(estimates: dict[VmId, float], tokens: float, smallest: float) -> list[ShareWish]:
    """Ask the holders with the most tokens first until the sum covers ``tokens``.

    Nobody is asked for less than ``smallest``.
    """
    wishes = []
    for vm in sorted(estimates, key=lambda vm: (-estimates[vm], vm)):
        if tokens <= 0 or estimates[vm] <= 0 or estimates[vm] < smallest:
            break
        part = min(max(tokens, smallest), estimates[vm])
        wishes.append(ShareWish(vm, 0.0, part, part))
        tokens -= part
    return wishes
