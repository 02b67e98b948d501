"""Simulated fleet for the measurement of wrongful refusals: seeded, in simulated time."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from .._identifiers import Incarnation, OrganisationId, RegionName, VmId, ZoneName
from ..configuration import Configuration, Organisation, Vm
from ..limits import (
    AllowanceLedger,
    BorrowPolicy,
    HeldSlot,
    OutgoingMessage,
    Placement,
    Reservation,
    ShareGrant,
    ShareRecall,
    ShareRenewalConfirmation,
    ShareRenewalRequest,
    ShareRequest,
    ShareReturn,
    SlotId,
    TokenBucket,
)

REQUEST_TOKENS = 300.0
"""Mean upper bound of a request."""
RATE_TOKENS_PER_S = 1000.0
BURST_TOKENS = 10 * REQUEST_TOKENS
HOT_SHARE = 0.7
HOT_PERIOD_S = 20.0
NEAR_DELAY_S = 0.0005
FAR_DELAY_S = 0.04
TICK_S = 0.05
WAIT_LIMIT_S = 0.5
STEERING_S = 10.0
"""Callers use a discovery response for this long."""
VM_IDS = tuple(VmId(f"vm-{number}") for number in range(6))


@dataclass(slots=True)
class Counts:
    """What happened to the requests of one organisation."""

    requests: int = 0
    refused: int = 0
    waited: int = 0
    waited_far: int = 0
    far_although_near: int = 0
    """Waited over a wide-area link although a VM of the region had the missing tokens."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the generated load."""

    at_s: float
    organisation: OrganisationId
    vm: VmId
    bound_tokens: float
    used_tokens: float
    duration_s: float


def configuration(organisations: int) -> Configuration:
    """Return 6 VMs in 3 regions and organisations with the same limits."""
    vms = {
        vm: Vm(vm, RegionName(f"region-{number // 2}"), ZoneName("a"), "", "")
        for number, vm in enumerate(VM_IDS)
    }
    ids = [OrganisationId(f"organisation-{number}") for number in range(organisations)]
    return Configuration(
        1,
        vms,
        organisations_by_id={i: Organisation(i, RATE_TOKENS_PER_S, BURST_TOKENS) for i in ids},
    )


def arrivals(loads_by_id: dict[OrganisationId, float], seconds: float, seed: int) -> list[Arrival]:
    """Generate Poisson arrivals; a load of 1 uses the rate exactly, in final cost."""
    randomness = random.Random(seed)
    found = []
    for organisation, load in loads_by_id.items():
        now, used_share = 0.0, 0.75
        mean_gap_s = REQUEST_TOKENS * used_share / (load * RATE_TOKENS_PER_S)
        while now < seconds:
            now += randomness.expovariate(1 / mean_gap_s)
            hot = random.Random(f"{seed}/{organisation}/{int(now // HOT_PERIOD_S)}").choice(VM_IDS)
            others = [vm for vm in VM_IDS if vm != hot]
            vm = hot if randomness.random() < HOT_SHARE else randomness.choice(others)
            bound = REQUEST_TOKENS * randomness.uniform(0.5, 1.5)
            used = bound * randomness.uniform(0.5, 1.0)
            found.append(Arrival(now, organisation, vm, bound, used, randomness.uniform(0.5, 4.0)))
    return sorted(found, key=lambda arrival: arrival.at_s)


def run_buckets(
    load: list[Arrival], buckets_of: Callable[[Arrival], str], parts: int
) -> dict[OrganisationId, Counts]:
    """Admit by unconnected buckets: one ideal bucket (1 part) or a static split."""
    buckets: dict[str, TokenBucket] = {}
    counts: dict[OrganisationId, Counts] = {}
    ends: list[tuple[float, int, Callable[[float], object]]] = []
    for number, arrival in enumerate(load):
        while ends and ends[0][0] <= arrival.at_s:
            end_s, _, end = heapq.heappop(ends)
            end(end_s)
        key = f"{arrival.organisation}/{buckets_of(arrival)}"
        rate, burst = RATE_TOKENS_PER_S / parts, BURST_TOKENS / parts
        bucket = buckets.setdefault(key, TokenBucket(rate, burst, burst, 0.0))
        count = counts.setdefault(arrival.organisation, Counts())
        count.requests += 1
        group = bucket.reserve(arrival.bound_tokens, arrival.at_s)
        if group is None:
            count.refused += 1
            continue
        unused = arrival.bound_tokens - arrival.used_tokens

        def settle(now: float, bucket=bucket, group=group, unused=unused) -> object:  # type: ignore[no-untyped-def] # noqa: ANN001
            return bucket.refund(group, unused, now)

        heapq.heappush(ends, (arrival.at_s + arrival.duration_s, number, settle))
    return counts


class FleetSimulation:
    """All ledgers of a fleet with message delays."""

    def __init__(self, organisations: int, steered: bool, policy: BorrowPolicy) -> None:
        """Start with all slots held and full."""
        self.configuration = configuration(organisations)
        self.steered = steered
        self.counts: dict[OrganisationId, Counts] = {}
        self.messages = 0
        self.admitted_at: list[float] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._waiting: list[tuple[Arrival, VmId, bool, float]] = []
        self._steering: dict[tuple[OrganisationId, RegionName, int], VmId] = {}
        self.ledgers = {
            vm: AllowanceLedger.from_configuration(
                vm, self.INCARNATION, self.configuration, 0.0, policy
            )
            for vm in VM_IDS
        }
        for vm, ledger in self.ledgers.items():
            ledger.set_held_slots(self.held_slots(self.configuration, vm), -60.0)

    INCARNATION = Incarnation("a")

    @staticmethod
    def held_slots(fleet: Configuration, vm: VmId) -> list[HeldSlot]:
        """Return the slots that a VM holds when all VMs live."""
        placement = Placement(fleet, VM_IDS)
        return [
            HeldSlot(SlotId(organisation, index), len(placement.holders(organisation)), "n")
            for organisation in fleet.organisations_by_id
            for index, holder in enumerate(placement.holders(organisation))
            if holder == vm
        ]

    def apply_at(self, at_s: float, newer: Configuration, spread_s: float) -> None:
        """Let the VMs learn a configuration one after the other, within ``spread_s``."""
        for number, (vm, ledger) in enumerate(self.ledgers.items()):
            self._at(
                at_s + spread_s * number / len(self.ledgers),
                lambda now, vm=vm, ledger=ledger: self._send(  # type: ignore[misc]
                    vm, ledger.apply_configuration(newer, now), now
                ),
            )

    def run(self, load: list[Arrival], seconds: float) -> dict[OrganisationId, Counts]:
        """Run the load and return what happened."""
        for arrival in load:
            self._at(arrival.at_s, lambda now, arrival=arrival: self._arrive(arrival, now))  # type: ignore[misc]
        for step in range(int(seconds / TICK_S)):
            self._at(step * TICK_S, self._tick)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.counts

    def _at(self, time_s: float, action: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time_s, self._number, action))

    def _tick(self, now: float) -> None:
        for vm, ledger in self.ledgers.items():
            self._send(vm, ledger.tick(now), now)
        self._retry(None, now)

    def _region(self, vm: VmId) -> RegionName:
        return self.configuration.vms_by_id[vm].region

    def _arrive(self, arrival: Arrival, now: float) -> None:
        count = self.counts.setdefault(arrival.organisation, Counts())
        count.requests += 1
        vm = self._steer(arrival, now) if self.steered else arrival.vm
        self._try(replace(arrival, vm=vm), vm, False, now, now, first=True)

    def _steer(self, arrival: Arrival, now: float) -> VmId:
        key = (arrival.organisation, self._region(arrival.vm), int(now // STEERING_S))
        if key not in self._steering:
            near = [vm for vm in VM_IDS if self._region(vm) == key[1]]
            self._steering[key] = max(
                near, key=lambda vm: self.ledgers[vm].available_tokens(arrival.organisation, now)
            )
        return self._steering[key]

    def _try(
        self, arrival: Arrival, vm: VmId, far: bool, since: float, now: float, first: bool = False
    ) -> None:
        ledger, count = self.ledgers[vm], self.counts[arrival.organisation]
        result = ledger.reserve(arrival.organisation, arrival.bound_tokens, now, waited=not first)
        if isinstance(result, Reservation):
            self.admitted_at.append(now)
            identifier = result.reservation_id
            self._at(
                now + arrival.duration_s,
                lambda end: self._send(
                    vm, ledger.settle(identifier, arrival.used_tokens, end), end
                ),
            )
            return
        if not result.worth_waiting or now - since >= WAIT_LIMIT_S:
            count.refused += 1
            return
        count.waited += first
        if result.crosses_regions and not far:
            count.waited_far += 1
            near = [v for v in VM_IDS if v != vm and self._region(v) == self._region(vm)]
            has = [self.ledgers[v].available_tokens(arrival.organisation, now) for v in near]
            count.far_although_near += max(has) >= result.missing_tokens
        self._waiting.append((arrival, vm, far or result.crosses_regions, since))
        self._send(vm, result.messages, now)

    def _retry(self, vm: VmId | None, now: float) -> None:
        """Retry after a grant; a tick only ends waits that have lasted too long."""
        waiting, self._waiting = self._waiting, []
        for arrival, at, far, since in waiting:
            if at == vm or (vm is None and now - since >= WAIT_LIMIT_S):
                self._try(arrival, at, far, since, now)
            else:
                self._waiting.append((arrival, at, far, since))

    def _send(
        self,
        sender: VmId,
        messages: "list[OutgoingMessage] | tuple[OutgoingMessage, ...]",
        now: float,
    ) -> None:
        for outgoing in messages:
            near = self._region(sender) == self._region(outgoing.destination)
            delay_s = NEAR_DELAY_S if near else FAR_DELAY_S
            self._at(
                now + delay_s,
                lambda at, outgoing=outgoing: self._deliver(sender, outgoing, at),  # type: ignore[misc]
            )

    def _deliver(self, sender: VmId, outgoing: OutgoingMessage, now: float) -> None:
        vm, message = outgoing.destination, outgoing.message
        ledger = self.ledgers[vm]
        handlers: dict[type, Callable[..., list[OutgoingMessage]]] = {
            ShareRequest: ledger.handle_share_request,
            ShareGrant: ledger.handle_share_grant,
            ShareRenewalRequest: ledger.handle_share_renewal_request,
            ShareRenewalConfirmation: ledger.handle_share_renewal_confirmation,
            ShareReturn: ledger.handle_share_return,
            ShareRecall: ledger.handle_share_recall,
        }
        self.messages += 1
        self._send(vm, handlers[type(message)](sender, message, now), now)
        if isinstance(message, ShareGrant):
            self._retry(vm, now)
