"""What a VM that is short of tokens asks of the holders."""

from dataclasses import dataclass

from .._entities import Configuration
from .._identifiers import Incarnation, VmId
from ._allowance import Allowance
from ._constants import ROUNDING_TOKENS
from ._messages import OutgoingMessage, ShareRequest
from ._placement import Placement
from ._policy import BorrowPolicy, ShareWish, SlotSize, share_out
from ._shares import PendingShare

SHORTEST_RETRY_S = 0.1
"""Callers are never told to come back sooner."""


@dataclass(frozen=True, slots=True)
class InsufficientTokens:
    """There are not enough tokens on this VM."""

    missing_tokens: float
    messages: tuple[OutgoingMessage, ...]
    """Share requests to send before waiting."""
    worth_waiting: bool
    """Whether a share on its way or asked for now may cover the request.

    The caller of ``reserve`` waits for the next ``ShareGrant`` and calls again with
    ``waited=True``. Otherwise it refuses the request.
    """
    crosses_regions: bool
    """Whether the wait includes a round trip to another region."""
    retry_after_s: float | None
    """Time until the fleet has earned the missing tokens; ``None`` if it never holds so many."""


class ShareAsker:
    """Chooses holders and writes share requests; times are seconds, amounts tokens."""

    def __init__(self, vm: VmId, incarnation: Incarnation, policy: BorrowPolicy) -> None:
        """Create an asker; ``update`` must follow before its first use."""
        self._vm = vm
        self._incarnation = incarnation
        self._policy = policy
        self._next_id = 0

    def update(self, configuration: Configuration, placement: Placement) -> None:
        """Use a new configuration or new preferred holders."""
        self._configuration = configuration
        self._placement = placement

    def ask_ahead(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        """Ask for shares before requests run short; holders of the own region come first."""
        rate, capacity = allowance.targets(self._policy, now)
        expected = allowance.borrowed.expected(now)
        bucket = allowance.bucket
        missing_rate = rate - bucket.rate - sum(p.rate for p in expected)
        missing = capacity - bucket.capacity_tokens - sum(p.capacity_tokens for p in expected)
        part = self._policy.smallest_part
        if missing_rate <= part * rate and missing <= part * capacity:
            return []
        wishes = allowance.lenders.ahead(
            sorted(self._lenders(allowance, False, now), key=lambda vm: not self._is_near(vm)),
            (max(0.0, missing_rate), max(0.0, missing), max(0.0, missing)),
            self._slot_size(allowance),
            self._policy.ask_again_s,
            now,
        )
        return self._ask(allowance, wishes, False, False, now)

    def fetch_ahead(self, allowance: Allowance, now: float) -> list[OutgoingMessage]:
        """Ask for level only, which other VMs can spare."""
        expected = sum(pending.level_tokens for pending in allowance.borrowed.expected(now))
        stock = allowance.stock_tokens(self._policy, now)
        missing = stock - allowance.bucket.level_tokens - expected
        smallest = self._policy.smallest_transfer_requests * allowance.demand.mean_request_tokens
        if missing <= smallest:
            return []
        spare = allowance.lenders.lendable(
            self._lenders(allowance, False, now), self._slot_size(allowance), False, now
        )
        return self._ask(allowance, share_out(spare, missing, smallest), False, True, now)

    def ask_urgently(
        self, allowance: Allowance, tokens: float, now: float, suspended: bool
    ) -> InsufficientTokens:
        """Ask for the tokens that a request lacks: in the own region first, then elsewhere."""
        missing = tokens - allowance.available_tokens(now, suspended)
        rate = allowance.organisation.rate_tokens_per_s
        retry_after = max(SHORTEST_RETRY_S, missing / rate) if rate > 0 else None
        expected = allowance.borrowed.expected_urgent_by_lender(now)
        estimates = allowance.lenders.lendable(
            self._lenders(allowance, True, now), self._slot_size(allowance), True, now
        )
        estimates = {vm: level - expected.get(vm, 0.0) for vm, level in estimates.items()}
        transfer = allowance.bucket.capacity_tokens >= tokens
        near = {vm: level for vm, level in estimates.items() if self._is_near(vm)}
        smallest = self._smallest_urgent(allowance)
        near_expected = sum(level for vm, level in expected.items() if self._is_near(vm))
        wishes = share_out(near, missing - near_expected, smallest)
        if wishes:
            messages = self._ask(allowance, wishes, True, transfer, now)
            return InsufficientTokens(missing, tuple(messages), True, False, retry_after)
        missing_far = missing - sum(expected.values())
        if missing_far <= ROUNDING_TOKENS:
            crosses = near_expected + ROUNDING_TOKENS < missing
            return InsufficientTokens(missing, (), True, crosses, retry_after)
        wishes = share_out(estimates, missing_far, smallest)
        if sum(wish.level_tokens for wish in wishes) + ROUNDING_TOKENS < missing_far:
            return InsufficientTokens(missing, (), False, False, retry_after)
        messages = self._ask(allowance, wishes, True, transfer, now)
        return InsufficientTokens(missing, tuple(messages), True, True, retry_after)

    def _lenders(self, allowance: Allowance, urgent: bool, now: float) -> list[VmId]:
        asked = set() if urgent else allowance.borrowed.lenders_asked(now)
        holders = self._placement.holders(allowance.organisation.id)
        return [vm for vm in holders if vm != self._vm and vm not in asked]

    def _slot_size(self, allowance: Allowance) -> SlotSize:
        count = self._placement.slot_count(allowance.organisation)
        organisation = allowance.organisation
        return SlotSize(organisation.rate_tokens_per_s / count, organisation.burst_tokens / count)

    def _smallest_urgent(self, allowance: Allowance) -> float:
        return self._policy.smallest_urgent_requests * allowance.demand.mean_request_tokens

    def _ask(
        self,
        allowance: Allowance,
        wishes: list[ShareWish],
        urgent: bool,
        transfer: bool,
        now: float,
    ) -> list[OutgoingMessage]:
        allowance.borrowed.forget_unanswered(now)
        messages = []
        for wish in wishes:
            self._next_id += 1
            share_id = f"{self._vm}/{self._incarnation}/{self._next_id}"
            size = (wish.rate, wish.capacity_tokens, wish.level_tokens)
            allowance.borrowed.pending_by_id[share_id] = PendingShare(
                wish.lender, *size, now, urgent, transfer
            )
            request = ShareRequest(share_id, allowance.organisation.id, *size, urgent, transfer)
            messages.append(OutgoingMessage(wish.lender, request))
        return messages

    def _is_near(self, vm: VmId) -> bool:
        vms = self._configuration.vms_by_id
        return vm in vms and self._vm in vms and vms[vm].region == vms[self._vm].region
