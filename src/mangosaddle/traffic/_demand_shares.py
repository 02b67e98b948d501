"""Allowances divided over the VMs by demand, without messages on a request's way.

Each VM admits from a bucket with its part of the organisation's rate and burst. The part follows
the demand that the VMs report to each other. All VMs compute the parts from the same reports, so
the parts add up to the whole but for the age of the reports, which the fleet's tolerance covers.
A VM that falls silent keeps its part until it has left the membership, so that a partition does
not let both sides use it.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from .._identifiers import OrganisationId, VmId

DEMAND_MEMORY_S = 3.0
"""Time constant of the running mean of demand: the window of a rate check is a few times longer."""
FLOOR_SHARE = 0.03
"""Part of the rate that counts as demand of a VM that has none, so that it can begin to admit."""
DEBT_SHARE = 0.5
"""Part of a request's cost that has to be in the bucket; the rest becomes debt. Without debt a
request larger than a VM's part of the burst could never run."""
ISOLATED_SHARE = 0.5
"""Part of its rate that a VM keeps while it reaches neither the store nor another VM."""


@dataclass(frozen=True, slots=True)
class AllowanceLimits:
    """An organisation's allowance across the fleet, in units of its charge."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """The allowance does not cover a request."""

    retry_after_s: float


@dataclass(slots=True)
class _Bucket:
    rate_per_s: float
    capacity: float
    level: float
    updated_s: float

    def refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_s)
        self.updated_s = max(now, self.updated_s)
        self.level = min(self.capacity, self.level + elapsed_s * self.rate_per_s)


@dataclass(slots=True)
class _Demand:
    """Running mean of what callers ask for."""

    per_s: float = 0.0
    updated_s: float = field(default=-math.inf)

    def add(self, cost: float, now: float) -> None:
        self.per_s = self.at(now) + cost / DEMAND_MEMORY_S
        self.updated_s = now

    def at(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.updated_s)
        return self.per_s * math.exp(-elapsed_s / DEMAND_MEMORY_S)


class AllowanceLimiter:
    """Allowances of one VM; all times are monotonic seconds."""

    def __init__(self, own: VmId, extra_burst: float = 0.0, *, first_start: bool = False) -> None:
        """Create without organisations; ``extra_burst`` is added to each burst.

        ``first_start`` says that no VM has admitted anything before, so buckets begin full.
        Otherwise they begin empty: the process may have used the burst just before, and VMs that
        restart one after the other would hand it out again each time.
        """
        self._own = own
        self._extra_burst = extra_burst
        self._start_level = 1.0 if first_start else 0.0
        self._limits_by_id: dict[OrganisationId, AllowanceLimits] = {}
        self._buckets_by_id: dict[OrganisationId, _Bucket] = {}
        self._demand_by_id: dict[OrganisationId, _Demand] = {}
        self._reported: dict[VmId, dict[OrganisationId, float]] = {}
        self._vms: frozenset[VmId] = frozenset({own})
        self._isolated = False
        self._announced: tuple[dict[OrganisationId, float], dict[OrganisationId, float]] = ({}, {})

    def set_limits(
        self, limits_by_id: Mapping[OrganisationId, AllowanceLimits], now: float
    ) -> None:
        """Take another version of the allowances; organisations without a limit are left out."""
        self._limits_by_id = dict(limits_by_id)
        for organisation in self._buckets_by_id.keys() - self._limits_by_id.keys():
            del self._buckets_by_id[organisation]
        self.rebalance(now)

    def set_vms(self, vms: frozenset[VmId], now: float) -> None:
        """Take the VMs among which the allowances are divided."""
        if vms | {self._own} == self._vms:
            return
        self._vms = vms | {self._own}
        for vm in self._reported.keys() - self._vms:
            del self._reported[vm]
        self.rebalance(now)

    def set_isolated(self, isolated: bool, now: float) -> None:
        """Note whether this VM reaches neither the store nor another VM."""
        if isolated != self._isolated:
            self._isolated = isolated
            self.rebalance(now)

    def set_reported_demand(self, vm: VmId, demand_by_id: Mapping[OrganisationId, float]) -> None:
        """Take another VM's demand per second."""
        self._reported[vm] = dict(demand_by_id)

    def announce(self, now: float) -> dict[OrganisationId, float]:
        """Return this VM's demand per second, which is now being reported to all others.

        The own part grows only with the report after it: by then the others have heard of it and
        use less. Otherwise two VMs whose demand begins at once would both take the whole rate.
        """
        rates = {id: demand.at(now) for id, demand in self._demand_by_id.items()}
        announced = {id: rate for id, rate in rates.items() if rate >= 1.0}
        self._announced = (self._announced[1], announced)
        return announced

    def _own_demand(self, organisation: OrganisationId, now: float) -> float:
        """Return the demand that the others know of, or the present one if that is lower."""
        known = min(announced.get(organisation, 0.0) for announced in self._announced)
        return min(known, self._demand_by_id.get(organisation, _Demand()).at(now))

    def rebalance(self, now: float) -> None:
        """Compute the parts anew from the newest reports."""
        for organisation, limits in self._limits_by_id.items():
            share = self._share(organisation, limits, now)
            rate = limits.rate_per_s * share
            capacity = (limits.burst + self._extra_burst) * share
            bucket = self._buckets_by_id.get(organisation)
            if bucket is None:
                level = capacity * self._start_level
                self._buckets_by_id[organisation] = _Bucket(rate, capacity, level, now)
                continue
            bucket.refill(now)
            bucket.rate_per_s, bucket.capacity = rate, capacity
            bucket.level = min(bucket.level, capacity)

    def _share(self, organisation: OrganisationId, limits: AllowanceLimits, now: float) -> float:
        floor = limits.rate_per_s * FLOOR_SHARE
        mine = self._own_demand(organisation, now) + floor
        total = mine
        for vm in self._vms - {self._own}:
            report = self._reported.get(vm)
            # Nothing is known of a VM that has not reported: it may use an equal part.
            total += mine if report is None else report.get(organisation, 0.0) + floor
        share = mine / total
        return share * ISOLATED_SHARE if self._isolated else share

    def admit(self, organisation: OrganisationId, cost: float, now: float) -> Refusal | None:
        """Charge a request; returns the refusal if the allowance does not cover it."""
        if organisation not in self._limits_by_id:
            return None
        self._demand_by_id.setdefault(organisation, _Demand()).add(cost, now)
        bucket = self._buckets_by_id[organisation]
        bucket.refill(now)
        needed = min(cost * DEBT_SHARE, bucket.capacity)
        if bucket.level >= needed:
            bucket.level -= cost
            return None
        missing = needed - bucket.level
        return Refusal(missing / bucket.rate_per_s if bucket.rate_per_s > 0 else 1.0)

    def refund(self, organisation: OrganisationId, cost: float, now: float) -> None:
        """Give back the charge of a request that has not run."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is not None:
            bucket.refill(now)
            bucket.level = min(bucket.capacity, bucket.level + cost)
