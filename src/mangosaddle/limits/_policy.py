"""Policy for borrowing shares: target amounts, thresholds and the choice of lenders."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .._identifiers import VmId
from ._messages import ShareGrant


@dataclass(frozen=True, slots=True)
class BorrowPolicy:
    """Tunable parameters of borrowing; ``mangosaddle.measure.limits`` measures their effect.

    Fields that end in ``_mean_requests`` are amounts of tokens in units of the mean request size.
    The targets of a VM are, in terms of its own demand (tokens/s) and mean request (tokens):

    - rate: ``target_rate_factor * demand``, at most the organisation's rate
    - capacity: ``target_capacity_s * demand + target_capacity_mean_requests * mean request``, at
      most the organisation's burst
    - level: ``target_level_factor * demand / rate * burst``, with the organisation's rate and
      burst, but at least ``min_level_mean_requests * mean request`` and at most the burst and the
      bucket's capacity
    """

    target_rate_factor: float = 1.2
    """Target rate as a multiple of the VM's own demand."""
    target_capacity_s: float = 2.0
    """Part of the target capacity, in seconds of the VM's own demand."""
    target_capacity_mean_requests: float = 1.0
    """Part of the target capacity, in mean requests."""
    surplus_factor: float = 1.3
    """A share is returned if the VM would exceed its targets by this factor without it.

    A factor above 1 is a hysteresis against returning and borrowing in turns.
    """
    open_reservation_fraction: float = 1.0
    """Capacity kept beyond the target, as a fraction of the open reservations.

    It leaves room for their refunds.
    """
    min_share_fraction: float = 0.2
    """Smallest proactive request as a fraction of the target; less is not worth the messages."""
    min_urgent_mean_requests: float = 0.01
    """Smallest urgent request, in mean requests; less is not worth waiting for."""
    request_interval_s: float = 0.5
    """Minimum time between two proactive requests to the same lender."""
    recall_fraction: float = 0.7
    """Threshold for recalling lent shares.

    A lender recalls them if the rate of its bucket is below ``recall_fraction * min(target rate,
    rate of its own slots)``, or if the same holds for the capacity.
    """
    target_level_factor: float = 0.25
    """Target level as a multiple of the burst's part that corresponds to the VM's part of the rate.

    A target level that is not proportional to demand makes idle VMs keep tokens that a busy VM
    needs.
    """
    min_level_mean_requests: float = 1.0
    """Lower bound of the target level, in mean requests."""
    min_transfer_mean_requests: float = 0.2
    """Smallest proactive transfer of tokens, in mean requests; less is not worth the messages."""
    idle_timeout_s: float = 10.0
    """Time without requests after which all targets are zero: a VM borrows and reserves nothing."""


ESTIMATE_MAX_AGE_S = 0.3
"""Age from which an estimate is too old to refuse a request.

The holder is then assumed to have at least one slot's capacity, so that it is asked first.
"""


@dataclass(slots=True)
class LenderEstimate:
    """What a VM last learned about a holder; a wrong estimate costs one wasted message."""

    lendable_tokens: float
    """Tokens that it can lend for an urgent request."""
    spare_tokens: float
    """Tokens beyond its own target level, which it can lend for a proactive request."""
    spare_rate: float
    """Rate (tokens/s) beyond its own target rate."""
    spare_capacity_tokens: float
    """Capacity beyond its own target capacity."""
    held_slots: int
    observed_at_s: float


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to one holder: rate in tokens/s, capacity and level in tokens."""

    lender: VmId
    rate: float
    capacity_tokens: float
    level_tokens: float


@dataclass(frozen=True, slots=True)
class SlotSize:
    """Rate (tokens/s) and capacity (tokens) of one slot."""

    rate: float
    capacity_tokens: float


class LenderSelector:
    """Estimates of what the holders of one organisation can lend, and the choice among them."""

    __slots__ = ("_estimates_by_vm", "_last_request_s_by_vm")

    def __init__(self) -> None:
        """Start without estimates: every preferred holder is assumed to have a full bucket."""
        self._estimates_by_vm: dict[VmId, LenderEstimate] = {}
        self._last_request_s_by_vm: dict[VmId, float] = {}

    def update_estimate(self, vm: VmId, grant: ShareGrant, now: float) -> None:
        """Store the figures that a holder reported in a grant."""
        self._estimates_by_vm[vm] = LenderEstimate(
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
        """Estimate the tokens that each holder can lend, for an urgent or a proactive request."""
        tokens_by_vm = {}
        for vm, slots in Counter(holders).items():
            estimate = self._estimates_by_vm.get(vm)
            if estimate is None:
                tokens_by_vm[vm] = slots * slot.capacity_tokens
                continue
            accrued = estimate.held_slots * slot.rate * max(0.0, now - estimate.observed_at_s)
            if urgent and now - estimate.observed_at_s >= ESTIMATE_MAX_AGE_S:
                tokens_by_vm[vm] = max(estimate.lendable_tokens + accrued, slot.capacity_tokens)
                continue
            tokens_by_vm[vm] = (
                estimate.lendable_tokens if urgent else estimate.spare_tokens
            ) + accrued
        return tokens_by_vm

    def plan_proactive(
        self,
        holders: list[VmId],
        wanted: tuple[float, float, float],
        slot: SlotSize,
        request_interval_s: float,
        now: float,
    ) -> list[PlannedRequest]:
        """Spread the wanted rate, capacity and level over the holders.

        Holders that were asked less than ``request_interval_s`` ago are skipped.
        """
        rate, capacity, level = wanted
        requests = []
        for vm, slots in Counter(holders).items():
            if now - self._last_request_s_by_vm.get(vm, float("-inf")) < request_interval_s:
                continue
            if rate <= 0 and capacity <= 0:
                break
            part = min(capacity, slots * slot.capacity_tokens)
            request = PlannedRequest(vm, min(rate, slots * slot.rate), part, min(level, part))
            self._last_request_s_by_vm[vm] = now
            requests.append(request)
            estimate = self._estimates_by_vm.get(vm)
            rate -= request.rate if estimate is None else min(request.rate, estimate.spare_rate)
            capacity -= part if estimate is None else min(part, estimate.spare_capacity_tokens)
            level -= request.level_tokens
        return requests


def split_among_lenders(
    estimates: dict[VmId, float], tokens: float, min_tokens: float
) -> list[PlannedRequest]:
    """Split a request for ``tokens`` over the holders, largest estimate first.

    No holder is asked for less than ``min_tokens``.
    """
    requests = []
    for vm in sorted(estimates, key=lambda vm: (-estimates[vm], vm)):
        if tokens <= 0 or estimates[vm] <= 0 or estimates[vm] < min_tokens:
            break
        part = min(max(tokens, min_tokens), estimates[vm])
        requests.append(PlannedRequest(vm, 0.0, part, part))
        tokens -= part
    return requests
