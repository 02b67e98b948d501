"""Rate limits per organisation, shared between VMs in proportion to demand.

Requests are admitted from token buckets that hold a share of the organisation's rate and burst. The
shares follow the demand that the VMs report to each other. All VMs compute them from the same
reports, so the shares add up to the whole except for report delay, which the fleet's tolerance
covers. A VM that stops reporting keeps its share until it leaves the membership, so that a
partition cannot give the same share to both sides.

In a large fleet the share of one VM is smaller than a request, and requests would be refused at one
VM while others have tokens left. There the VMs of a zone form a group with one bucket for each
organisation. It is kept by the group's owner for that organisation, which the other VMs ask. While
the owner does not answer they ask its deputy, whose bucket starts empty.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .._identifiers import OrganisationId, VmId
from ..membership import rendezvous_ranking

DEMAND_TIME_CONSTANT_S = 3.0
"""Time constant of the moving average of demand; rate checks use a window a few times longer."""
MIN_DEMAND_SHARE = 0.03
"""Fraction of the rate added to every VM's demand, so that an idle VM can start to admit."""
GROUP_MIN_DEMAND_SHARE = 0.1
"""The same for a group of VMs. It is higher because a few large requests of a small organisation
must not draw its whole rate to the zone where they happened to arrive."""
REQUIRED_COST_SHARE = 0.5
"""Fraction of a request's cost that the bucket must hold; the rest drives the level negative.
Otherwise a request larger than a VM's share of the burst could never run."""
DEPUTY_IDLE_RESET_S = 2.0
"""Time without a request after which the bucket of a deputy is empty again: its owner is back."""
NOT_KEPT_RETRY_S = 0.3
"""Retry delay of a refusal because no bucket is kept here: the VMs agree on the owner by then."""
ISOLATED_USE_SHARE = 0.5
"""Fraction of its share that a VM uses while it reaches neither the store nor another VM."""


Demand = Mapping[OrganisationId, float]
"""Requested cost per second, by organisation."""


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


@dataclass(frozen=True, slots=True)
class _DemandReport:
    members: frozenset[VmId]
    demand_by_id: Demand


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

        Buckets start full only on the ``first_start`` of the fleet, when an organisation gets its
        limit, before any VM has admitted a request. Otherwise they start empty: a process may have
        used up the burst just before it restarted, and a rolling restart would grant the burst
        again on every VM. The same holds for a VM that becomes the owner of a bucket later, because
        the group has changed.
        """
        self._own = own
        self._extra_burst = extra_burst
        self._is_first_start = first_start
        self._seen: set[OrganisationId] = set()
        """Organisations that have had a limit; one that gets a limit again has used its burst."""
        self._unused: set[OrganisationId] = set()
        """Organisations that have just got their first limit."""
        self._limits_by_id: dict[OrganisationId, AllowanceLimits] = {}
        self._buckets_by_id: dict[OrganisationId, _Bucket] = {}
        self._demand_by_id: dict[OrganisationId, _DemandAverage] = {}
        self._reports_by_vm: dict[VmId, _DemandReport] = {}
        """Latest report of each reporting VM."""
        self._vms: frozenset[VmId] = frozenset({own})
        self._group: frozenset[VmId] = frozenset({own})
        self._keepers_by_id: dict[OrganisationId, tuple[VmId, ...]] = {}
        self._deputy_buckets_by_id: dict[OrganisationId, _Bucket] = {}
        self._isolated = False
        self._reported: tuple[Demand, Demand] = ({}, {})
        """The group's demand in the last two reports that the other VMs have got."""

    def set_limits(
        self, limits_by_id: Mapping[OrganisationId, AllowanceLimits], now: float
    ) -> None:
        """Replace the limits; organisations that are not in the mapping are not limited."""
        self._limits_by_id = dict(limits_by_id)
        if self._is_first_start:
            self._unused = self._limits_by_id.keys() - self._seen
        self._seen |= self._limits_by_id.keys()
        for buckets in (self._buckets_by_id, self._deputy_buckets_by_id):
            for organisation in buckets.keys() - self._limits_by_id.keys():
                del buckets[organisation]
        self.rebalance(now)
        self._unused = set()

    def set_vms(self, vms: frozenset[VmId], now: float) -> None:
        """Set the VMs that share the allowances."""
        if vms | {self._own} == self._vms:
            return
        self._vms = vms | {self._own}
        for vm, report in list(self._reports_by_vm.items()):
            if report.members.isdisjoint(self._vms):
                del self._reports_by_vm[vm]
        self.rebalance(now)

    def set_group(self, vms: Collection[VmId], now: float) -> None:
        """Set the VMs that share one bucket for each organisation with this VM."""
        group = frozenset(vms) | {self._own}
        if group != self._group:
            self._group = group
            self._keepers_by_id.clear()
            self._deputy_buckets_by_id.clear()
            self.rebalance(now)

    def empty_buckets(self, now: float) -> None:
        """Forget the saved tokens: other VMs may have taken over this VM's shares meanwhile."""
        for buckets in (self._buckets_by_id, self._deputy_buckets_by_id):
            for bucket in buckets.values():
                bucket.level, bucket.updated_s = min(0.0, bucket.level), now

    def keepers_of(self, organisation: OrganisationId) -> tuple[VmId, ...]:
        """Return the owner of an organisation's bucket and, unless it is alone, its deputy."""
        keepers = self._keepers_by_id.get(organisation)
        if keepers is None:
            ranking = rendezvous_ranking(f"allowance {organisation}", self._group)
            keepers = self._keepers_by_id[organisation] = ranking[:2]
        return keepers

    def set_isolated(self, isolated: bool, now: float) -> None:
        """Set whether this VM reaches neither the store nor another VM."""
        if isolated != self._isolated:
            self._isolated = isolated
            self.rebalance(now)

    def set_reported_demand(
        self, vm: VmId, demand_by_id: Demand, members: Collection[VmId] | None = None
    ) -> None:
        """Store the demand per second that another VM has reported.

        ``members`` are the VMs whose demand the report sums up, without this one; by default only
        the reporting VM.
        """
        included = frozenset((vm,) if members is None else members)
        self._reports_by_vm[vm] = _DemandReport(included, dict(demand_by_id))

    def drop_report(self, vm: VmId) -> None:
        """Drop the report of a VM, because another one covers the same VMs."""
        self._reports_by_vm.pop(vm, None)

    def demand(self, now: float) -> dict[OrganisationId, float]:
        """Return this VM's demand per second for its next report."""
        rates = {id: demand.value_at(now) for id, demand in self._demand_by_id.items()}
        return {id: rate for id, rate in rates.items() if rate >= 1.0}

    def confirm_reported(self, demand_by_id: Demand) -> None:
        """Record the demand of the group in a report that has been sent to all other VMs.

        The group's share grows only with the following report, when the other VMs have received
        this one and reduced theirs. Otherwise two groups with a simultaneous rise in demand would
        both use the whole rate.
        """
        self._reported = (self._reported[1], demand_by_id)

    def _group_demand(self, organisation: OrganisationId, now: float) -> float:
        """Return the demand of the group that the other VMs know about, or less if it has fallen.

        How far the demand at other VMs of the group has fallen is not known before their reports.
        """
        known = min(demand.get(organisation, 0.0) for demand in self._reported)
        if len(self._group) > 1:
            return known
        return min(known, self._demand_by_id.get(organisation, _DemandAverage()).value_at(now))

    def rebalance(self, now: float) -> None:
        """Recompute this VM's shares from the latest reports."""
        for organisation, limits in self._limits_by_id.items():
            keepers = self.keepers_of(organisation)
            if keepers[0] != self._own:
                self._buckets_by_id.pop(organisation, None)
            if self._own not in keepers:
                continue
            share = self._group_share(organisation, limits, now)
            rate = limits.rate_per_s * share
            capacity = (limits.burst + self._extra_burst) * share
            if keepers[0] != self._own:
                self._resize_deputy(organisation, rate, capacity, now)
                continue
            bucket = self._buckets_by_id.get(organisation)
            if bucket is None:
                level = capacity if organisation in self._unused else 0.0
                self._buckets_by_id[organisation] = _Bucket(rate, capacity, level, now)
                continue
            bucket.refill(now)
            bucket.rate_per_s, bucket.capacity = rate, capacity
            bucket.level = min(bucket.level, capacity)

    def _resize_deputy(
        self, organisation: OrganisationId, rate: float, capacity: float, now: float
    ) -> None:
        bucket = self._deputy_buckets_by_id.setdefault(
            organisation, _Bucket(rate, capacity, 0.0, now)
        )
        bucket.rate_per_s, bucket.capacity = rate, capacity

    def _group_share(
        self, organisation: OrganisationId, limits: AllowanceLimits, now: float
    ) -> float:
        group_size = len(self._group)
        is_alone = group_size == 1
        min_share = MIN_DEMAND_SHARE if is_alone else GROUP_MIN_DEMAND_SHARE / group_size
        min_demand = limits.rate_per_s * min_share
        group_demand = self._group_demand(organisation, now) + min_demand * group_size
        total = group_demand
        unreported = len(self._vms - self._group)
        for report in self._reports_by_vm.values():
            members = len((report.members & self._vms) - self._group)
            if members:
                counted_share = members / len(report.members)
                total += report.demand_by_id.get(organisation, 0.0) * counted_share
                total += min_demand * members
                unreported -= members
        # The demand of a VM that has not reported yet is assumed to equal that of the group's VMs.
        total += group_demand / group_size * max(0, unreported)
        share = group_demand / total
        return share * ISOLATED_USE_SHARE if self._isolated else share

    def admit(
        self, organisation: OrganisationId, cost: float, now: float
    ) -> AllowanceRefusal | None:
        """Charge a request of this VM's callers; return a refusal if the allowance is used up."""
        self.record_demand(organisation, cost, now)
        return self.charge(organisation, cost, now)

    def is_limited(self, organisation: OrganisationId) -> bool:
        """Return whether an organisation has a limit."""
        return organisation in self._limits_by_id

    def record_demand(self, organisation: OrganisationId, cost: float, now: float) -> None:
        """Count a request towards the demand of this VM, whether it is admitted or not."""
        if organisation in self._limits_by_id:
            self._demand_by_id.setdefault(organisation, _DemandAverage()).add(cost, now)

    def charge(
        self, organisation: OrganisationId, cost: float, now: float
    ) -> AllowanceRefusal | None:
        """Charge a request to the bucket at this VM; return a refusal if there are too few tokens.

        A VM that is asked although it does not keep a bucket refuses; the asking VM knows another
        set of live VMs for a moment.
        """
        if organisation not in self._limits_by_id:
            return None
        bucket = self._buckets_by_id.get(organisation) or self._deputy_bucket(organisation, now)
        if bucket is None:
            return AllowanceRefusal(NOT_KEPT_RETRY_S)
        bucket.refill(now)
        needed = min(cost * REQUIRED_COST_SHARE, bucket.capacity)
        if bucket.level >= needed:
            bucket.level -= cost
            return None
        missing = needed - bucket.level
        return AllowanceRefusal(missing / bucket.rate_per_s if bucket.rate_per_s > 0 else 1.0)

    def _deputy_bucket(self, organisation: OrganisationId, now: float) -> _Bucket | None:
        bucket = self._deputy_buckets_by_id.get(organisation)
        if bucket is not None and now - bucket.updated_s > DEPUTY_IDLE_RESET_S:
            bucket.level, bucket.updated_s = 0.0, now
        return bucket

    def refund(self, organisation: OrganisationId, cost: float, now: float) -> None:
        """Return the charge of a request that did not run."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is not None:
            bucket.refill(now)
            bucket.level = min(bucket.capacity, bucket.level + cost)
