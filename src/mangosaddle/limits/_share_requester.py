"""Share requests that a VM without enough tokens sends to slot holders."""

from dataclasses import dataclass

from .._entities import Configuration
from .._identifiers import Incarnation, VmId
from ._allowance import Allowance
from ._constants import ROUNDING_TOLERANCE_TOKENS
from ._messages import OutgoingMessage, ShareRequest
from ._placement import Placement
from ._policy import BorrowPolicy, PlannedRequest, SlotSize, split_among_lenders
from ._shares import PendingShare

MIN_RETRY_AFTER_S = 0.1
"""Smallest retry delay that is reported to callers."""


@dataclass(frozen=True, slots=True)
class InsufficientTokens:
    """Result of ``reserve`` if this VM does not have enough tokens."""

    missing_tokens: float
    messages: tuple[OutgoingMessage, ...]
    """Share requests to send before the caller waits."""
    worth_waiting: bool
    """Whether outstanding requests or the ones in ``messages`` may cover the request.

    The caller of ``reserve`` waits for the next ``ShareGrant`` and calls again with
    ``waited=True``. Otherwise it refuses the request.
    """
    crosses_regions: bool
    """Whether waiting includes a round trip to another region."""
    retry_after_s: float | None
    """Time until the fleet accrues the missing tokens; ``None`` if it never has that many."""


class ShareRequester:
    """Chooses holders and creates share requests; times are seconds, amounts tokens."""

    def __init__(self, vm: VmId, incarnation: Incarnation, policy: BorrowPolicy) -> None:
        """Create a requester; ``update`` must be called before the first use."""
        self._vm = vm
        self._incarnation = incarnation
        self._policy = policy
        self._next_id = 0

    def update(self, configuration: Configuration, placement: Placement) -> None:
        """Apply a new configuration or placement."""
        self._configuration = configuration
        self._placement = placement

    def request_proactively(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        """Request shares before tokens run out; holders in the VM's own region come first."""
        rate, capacity = allowance.targets(self._policy, now)
        expected = allowance.borrowed.outstanding(now)
        bucket = allowance.bucket
        missing_rate = rate - bucket.rate - sum(p.rate for p in expected)
        missing = capacity - bucket.capacity_tokens - sum(p.capacity_tokens for p in expected)
        part = self._policy.min_share_fraction
        if missing_rate <= part * rate and missing <= part * capacity:
            return []
        planned = allowance.lender_selector.plan_proactive(
            sorted(
                self._candidate_lenders(allowance, False, now),
                key=lambda vm: not self._is_in_own_region(vm),
            ),
            (max(0.0, missing_rate), max(0.0, missing), max(0.0, missing)),
            self._slot_size(allowance),
            self._policy.request_interval_s,
            now,
        )
        return self._create_requests(allowance, planned, False, False, now)

    def request_token_transfers(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        """Request transfers, that is level without capacity, from VMs that have tokens to spare."""
        expected = sum(pending.level_tokens for pending in allowance.borrowed.outstanding(now))
        target = allowance.target_level_tokens(self._policy, now)
        missing = target - allowance.bucket.level_tokens - expected
        min_tokens = self._policy.min_transfer_mean_requests * allowance.demand.mean_request_tokens
        if missing <= min_tokens:
            return []
        spare = allowance.lender_selector.lendable(
            self._candidate_lenders(allowance, False, now), self._slot_size(allowance), False, now
        )
        return self._create_requests(
            allowance, split_among_lenders(spare, missing, min_tokens), False, True, now
        )

    def request_urgently(
        self, allowance: Allowance, tokens: float, now: float, suspended: bool
    ) -> InsufficientTokens:
        """Request the tokens that a request lacks, in the VM's own region first, then elsewhere."""
        missing = tokens - allowance.available_tokens(now, suspended)
        rate = allowance.organisation.rate_tokens_per_s
        retry_after = max(MIN_RETRY_AFTER_S, missing / rate) if rate > 0 else None
        expected = allowance.borrowed.outstanding_urgent_tokens_by_lender(now)
        estimates = allowance.lender_selector.lendable(
            self._candidate_lenders(allowance, True, now), self._slot_size(allowance), True, now
        )
        estimates = {vm: level - expected.get(vm, 0.0) for vm, level in estimates.items()}
        transfer = allowance.bucket.capacity_tokens >= tokens
        in_region = {vm: level for vm, level in estimates.items() if self._is_in_own_region(vm)}
        min_tokens = self._min_urgent_tokens(allowance)
        expected_in_region = sum(
            level for vm, level in expected.items() if self._is_in_own_region(vm)
        )
        planned = split_among_lenders(in_region, missing - expected_in_region, min_tokens)
        if planned:
            messages = self._create_requests(allowance, planned, True, transfer, now)
            return InsufficientTokens(missing, tuple(messages), True, False, retry_after)
        still_missing = missing - sum(expected.values())
        if still_missing <= ROUNDING_TOLERANCE_TOKENS:
            crosses = expected_in_region + ROUNDING_TOLERANCE_TOKENS < missing
            return InsufficientTokens(missing, (), True, crosses, retry_after)
        planned = split_among_lenders(estimates, still_missing, min_tokens)
        if (
            sum(request_plan.level_tokens for request_plan in planned) + ROUNDING_TOLERANCE_TOKENS
            < still_missing
        ):
            return InsufficientTokens(missing, (), False, False, retry_after)
        messages = self._create_requests(allowance, planned, True, transfer, now)
        return InsufficientTokens(missing, tuple(messages), True, True, retry_after)

    def _candidate_lenders(self, allowance: Allowance, urgent: bool, now: float) -> list[VmId]:
        asked = set() if urgent else allowance.borrowed.lenders_asked_proactively(now)
        holders = self._placement.holders(allowance.organisation.id)
        return [vm for vm in holders if vm != self._vm and vm not in asked]

    def _slot_size(self, allowance: Allowance) -> SlotSize:
        count = self._placement.slot_count(allowance.organisation)
        organisation = allowance.organisation
        return SlotSize(organisation.rate_tokens_per_s / count, organisation.burst_tokens / count)

    def _min_urgent_tokens(self, allowance: Allowance) -> float:
        return self._policy.min_urgent_mean_requests * allowance.demand.mean_request_tokens

    def _create_requests(
        self,
        allowance: Allowance,
        planned: list[PlannedRequest],
        urgent: bool,
        transfer: bool,
        now: float,
    ) -> list[OutgoingMessage]:
        allowance.borrowed.drop_expired_requests(now)
        messages = []
        for request_plan in planned:
            self._next_id += 1
            share_id = f"{self._vm}/{self._incarnation}/{self._next_id}"
            size = (request_plan.rate, request_plan.capacity_tokens, request_plan.level_tokens)
            allowance.borrowed.pending_by_id[share_id] = PendingShare(
                request_plan.lender, *size, now, urgent, transfer
            )
            request = ShareRequest(share_id, allowance.organisation.id, *size, urgent, transfer)
            messages.append(OutgoingMessage(request_plan.lender, request))
        return messages

    def _is_in_own_region(self, vm: VmId) -> bool:
        vms = self._configuration.vms_by_id
        return vm in vms and self._vm in vms and vms[vm].region == vms[self._vm].region
