"""Rate limits per organisation, shared between VMs in proportion to demand.

Each VM admits requests from a local token bucket that holds its share of the organisation's rate
and burst, so admission needs no message to other VMs. The shares follow the demand that the VMs
report to each other. All VMs compute them from the same reports, so the shares add up to the whole
except for report delay, which the fleet's tolerance covers. A VM that stops reporting keeps its
share until it leaves the membership, so that a partition cannot give the same share to both sides.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from .._identifiers import OrganisationId, VmId

DEMAND_TIME_CONSTANT_S = 3.0
"""Time constant of the moving average of demand; rate checks use a window a few times longer."""
MIN_DEMAND_SHARE = 0.03
"""Fraction of the rate added to every VM's demand, so that an idle VM can start to admit."""
REQUIRED_COST_SHARE = 0.5
"""Fraction of a request's cost that the bucket must hold; the rest drives the level negative.
Otherwise a request larger than a VM's share of the burst could never run."""
ISOLATED_USE_SHARE = 0.5
"""Fraction of its share that a VM uses while it reaches neither the store nor another VM."""


@dataclass(frozen=True, slots=True)
class AllowanceLimits:
    """Fleet-wide rate and burst of an organisation, in tokens or requests as it is charged."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class AllowanceRefusal:
    """Refusal of a request that exceeds the allowance."""

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
class _DemandAverage:
    """Exponential moving average of the requested cost per second."""

    per_s: float = 0.0
    updated_s: float = field(default=-math.inf)

    def add(self, cost: float, now: float) -> None:
        self.per_s = self.value_at(now) + cost / DEMAND_TIME_CONSTANT_S
        self.updated_s = now

    def value_at(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.updated_s)
        return self.per_s * math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)


class AllowanceLimiter:
    """Admits requests against this VM's shares; all times are monotonic seconds."""

    def __init__(self, own: VmId, extra_burst: float = 0.0, *, first_start: bool = False) -> None:
        """Create a limiter without organisations; ``extra_burst`` is added to each burst.

        Buckets start full only on the ``first_start`` of the fleet, before any VM has admitted a
        request. Otherwise they start empty: a process may have used up the burst just before it
        restarted, and a rolling restart would grant the burst again on every VM.
        """
        self._own = own
        self._extra_burst = extra_burst
        self._start_level = 1.0 if first_start else 0.0
        self._limits_by_id: dict[OrganisationId, AllowanceLimits] = {}
        self._buckets_by_id: dict[OrganisationId, _Bucket] = {}
        self._demand_by_id: dict[OrganisationId, _DemandAverage] = {}
        self._demand_by_vm: dict[VmId, dict[OrganisationId, float]] = {}
        self._vms: frozenset[VmId] = frozenset({own})
        self._isolated = False
        self._announced: tuple[dict[OrganisationId, float], dict[OrganisationId, float]] = ({}, {})

    def set_limits(
        self, limits_by_id: Mapping[OrganisationId, AllowanceLimits], now: float
    ) -> None:
        """Replace the limits; organisations that are not in the mapping are not limited."""
        self._limits_by_id = dict(limits_by_id)
        for organisation in self._buckets_by_id.keys() - self._limits_by_id.keys():
            del self._buckets_by_id[organisation]
        self.rebalance(now)

    def set_vms(self, vms: frozenset[VmId], now: float) -> None:
        """Set the VMs that share the allowances."""
        if vms | {self._own} == self._vms:
            return
        self._vms = vms | {self._own}
        for vm in self._demand_by_vm.keys() - self._vms:
            del self._demand_by_vm[vm]
        self.rebalance(now)

    def set_isolated(self, isolated: bool, now: float) -> None:
        """Set whether this VM reaches neither the store nor another VM."""
        if isolated != self._isolated:
            self._isolated = isolated
            self.rebalance(now)

    def set_reported_demand(self, vm: VmId, demand_by_id: Mapping[OrganisationId, float]) -> None:
        """Store the demand per second that another VM has reported."""
        self._demand_by_vm[vm] = dict(demand_by_id)

    def announce(self, now: float) -> dict[OrganisationId, float]:
        """Return this VM's demand per second for the report that is sent to all other VMs now.

        This VM's share grows only with the following report, when the other VMs have received this
        one and reduced theirs. Otherwise two VMs with a simultaneous rise in demand would both use
        the whole rate.
        """
        rates = {id: demand.value_at(now) for id, demand in self._demand_by_id.items()}
        announced = {id: rate for id, rate in rates.items() if rate >= 1.0}
        self._announced = (self._announced[1], announced)
        return announced

    def _own_demand(self, organisation: OrganisationId, now: float) -> float:
        """Return the lower of the current demand and the demand the other VMs know about."""
        known = min(announced.get(organisation, 0.0) for announced in self._announced)
        return min(known, self._demand_by_id.get(organisation, _DemandAverage()).value_at(now))

    def rebalance(self, now: float) -> None:
        """Recompute this VM's shares from the latest reports."""
        for organisation, limits in self._limits_by_id.items():
            share = self._own_share(organisation, limits, now)
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

    def _own_share(
        self, organisation: OrganisationId, limits: AllowanceLimits, now: float
    ) -> float:
        min_demand = limits.rate_per_s * MIN_DEMAND_SHARE
        own_demand = self._own_demand(organisation, now) + min_demand
        total = own_demand
        for vm in self._vms - {self._own}:
            report = self._demand_by_vm.get(vm)
            # The demand of a VM that has not reported yet is assumed to equal this VM's.
            total += own_demand if report is None else report.get(organisation, 0.0) + min_demand
        share = own_demand / total
        return share * ISOLATED_USE_SHARE if self._isolated else share

    def admit(
        self, organisation: OrganisationId, cost: float, now: float
    ) -> AllowanceRefusal | None:
        """Charge a request; return a refusal if the allowance does not cover it."""
        if organisation not in self._limits_by_id:
            return None
        self._demand_by_id.setdefault(organisation, _DemandAverage()).add(cost, now)
        bucket = self._buckets_by_id[organisation]
        bucket.refill(now)
        needed = min(cost * REQUIRED_COST_SHARE, bucket.capacity)
        if bucket.level >= needed:
            bucket.level -= cost
            return None
        missing = needed - bucket.level
        return AllowanceRefusal(missing / bucket.rate_per_s if bucket.rate_per_s > 0 else 1.0)

    def refund(self, organisation: OrganisationId, cost: float, now: float) -> None:
        """Return the charge of a request that did not run."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is not None:
            bucket.refill(now)
            bucket.level = min(bucket.capacity, bucket.level + cost)
