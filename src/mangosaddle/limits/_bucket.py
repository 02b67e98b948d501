"""Token bucket whose refunds never let any time window exceed its burst and rate."""

from dataclasses import dataclass

from ._constants import ROUNDING_TOLERANCE_TOKENS


@dataclass(slots=True, eq=False)
class HeadroomGroup:
    """Open reservations with the same minimum headroom since their admission."""

    headroom_tokens: float
    open_reservations: int = 1
    merged_into: "HeadroomGroup | None" = None


class TokenBucket:
    """Token bucket that reserves an upper bound per request and refunds the unused part.

    A refund has the same effect as charging only the final cost at admission. It is therefore
    limited by the minimum headroom (capacity minus level) since admission. The minimum headroom
    grows from the oldest open reservation to the newest, so reservations with equal headroom form
    groups in a sorted list, and a refill touches only the newest groups.

    Shares move rate, capacity and level together between the buckets of different VMs. Each bucket
    stays within its own capacity, so the sum over all buckets stays within the burst.
    """

    __slots__ = ("_groups", "_updated_s", "capacity_tokens", "level_tokens", "rate")

    def __init__(
        self, rate_tokens_per_s: float, capacity_tokens: float, level_tokens: float, now: float
    ) -> None:
        """Create a bucket; the rate is in tokens per second, ``now`` in monotonic seconds."""
        self.rate = rate_tokens_per_s
        self.capacity_tokens = capacity_tokens
        self.level_tokens = min(level_tokens, capacity_tokens)
        self._updated_s = now
        self._groups: list[HeadroomGroup] = []

    def refill(self, now: float) -> None:
        """Add the tokens accrued until ``now``; a clock that runs backwards adds none."""
        elapsed_s = max(0.0, now - self._updated_s)
        self._updated_s = max(now, self._updated_s)
        self._set_level(self.level_tokens + elapsed_s * self.rate)

    def set_limits(self, rate_tokens_per_s: float, capacity_tokens: float, now: float) -> None:
        """Change rate and capacity; a lower capacity caps the level immediately."""
        self.refill(now)
        self.rate = rate_tokens_per_s
        self.capacity_tokens = capacity_tokens
        self._set_level(self.level_tokens)

    def reserve(self, tokens: float, now: float) -> HeadroomGroup | None:
        """Deduct ``tokens`` and return the handle for the refund; ``None`` if too few are left."""
        self.refill(now)
        if tokens > self.level_tokens + ROUNDING_TOLERANCE_TOKENS:
            return None
        self.level_tokens = max(0.0, self.level_tokens - tokens)
        return self._open_group()

    def take_up_to(self, tokens: float, now: float) -> float:
        """Deduct up to ``tokens`` without a reservation and return the deducted amount."""
        self.refill(now)
        taken = min(tokens, self.level_tokens)
        self.level_tokens -= taken
        return taken

    def refund(self, group: HeadroomGroup, unused_tokens: float, now: float) -> float:
        """Close a reservation and return the number of tokens added back to the level."""
        self.refill(now)
        while group.merged_into is not None:
            group = group.merged_into
        refund = max(0.0, min(unused_tokens, group.headroom_tokens))
        self.level_tokens += refund
        position = self._groups.index(group)
        for later in self._groups[position:]:
            later.headroom_tokens -= refund
        while position and self._groups[position - 1].headroom_tokens >= group.headroom_tokens:
            position -= 1
            self._merge(self._groups.pop(position), group)
        group.open_reservations -= 1
        if not group.open_reservations:
            del self._groups[position]
        return refund

    def add_level(self, tokens: float, now: float) -> None:
        """Add tokens to the level; tokens above the capacity are discarded."""
        self.refill(now)
        self._set_level(self.level_tokens + tokens)

    def remove_share(
        self, rate: float, capacity_tokens: float, level_tokens: float, now: float
    ) -> None:
        """Remove the rate, capacity and level of a share.

        Headrooms shrink by the unfilled part of the removed capacity.
        """
        self.refill(now)
        self.rate = max(0.0, self.rate - rate)
        self.capacity_tokens = max(0.0, self.capacity_tokens - capacity_tokens)
        self._set_level(max(0.0, self.level_tokens - level_tokens))

    def _open_group(self) -> HeadroomGroup:
        headroom = max(0.0, self.capacity_tokens - self.level_tokens)
        if self._groups and self._groups[-1].headroom_tokens >= headroom:
            self._groups[-1].open_reservations += 1
            return self._groups[-1]
        self._groups.append(HeadroomGroup(headroom))
        return self._groups[-1]

    def _set_level(self, level_tokens: float) -> None:
        self.level_tokens = min(level_tokens, self.capacity_tokens)
        headroom = self.capacity_tokens - self.level_tokens
        newest = None
        while self._groups and self._groups[-1].headroom_tokens >= headroom:
            group = self._groups.pop()
            if newest is not None:
                self._merge(newest, group)
            newest = group
        if newest is not None:
            newest.headroom_tokens = headroom
            self._groups.append(newest)

    @staticmethod
    def _merge(group: HeadroomGroup, into: HeadroomGroup) -> None:
        into.open_reservations += group.open_reservations
        group.merged_into = into
