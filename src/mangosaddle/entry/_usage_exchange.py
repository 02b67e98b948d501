"""Sums of begun requests: from each VM to the collector of its zone, from there to the holder."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from .._identifiers import Incarnation, OrganisationId, VmId, ZoneName
from ..duties import ChangedCounts, SteadyClock, UsageCount, UsageTotals, UsageWindows
from ..membership import rendezvous_ranking
from ..peers import PeerNode, register
from ._duty_holders import DutyHolders

SEND_INTERVAL_S = 1.0
"""Interval of counts: what a VM counts within this time is lost with it."""
SOURCE_VALID_S = 2.5
"""Age at which the counts of a VM are no longer waited for; two lost messages."""
MAX_COUNTS_PER_MESSAGE = 5_000
"""Counts that fit into one message with names of organisations of 100 bytes."""
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class VmUsage:
    """Counts of a VM, for the collector of its zone."""

    incarnation: Incarnation
    complete_until_ms: int
    """Wall-clock time up to which the VM has counted."""
    counts: tuple[UsageCount, ...]


@dataclass(frozen=True, slots=True)
class ZoneUsage:
    """Sums of a zone, for the holder of the duty."""

    zone: ZoneName
    complete_until_ms: int
    counts: tuple[UsageCount, ...]


register("vm-usage", VmUsage)
register("zone-usage", ZoneUsage)


class UsageExchange:
    """Counts the requests of this VM and passes the counts on."""

    def __init__(
        self,
        duty: str,
        own: VmId,
        incarnation: Incarnation,
        zone: ZoneName,
        window_s: float,
        holders: DutyHolders,
        zone_vms: Callable[[], Collection[VmId]],
        clock: Callable[[], float],
        wall_clock: Callable[[], float] | None = None,
    ) -> None:
        """Create without counts; ``zone_vms`` returns the live VMs of this VM's zone."""
        self.wall_clock = wall_clock or SteadyClock(clock=clock)
        self.own_windows = UsageWindows(window_s, self.wall_clock)
        self.fleet_totals = UsageTotals(window_s, self.wall_clock, clock)
        """Sums by zone, which are complete only at the holder of the duty."""
        self._zone_totals = UsageTotals(window_s, self.wall_clock, clock)
        self._duty = duty
        self._own = own
        self._incarnation = incarnation
        self._zone = zone
        self._holders = holders
        self._zone_vms = zone_vms
        self._node: PeerNode | None = None
        self._changed_for_collector = ChangedCounts()
        self._changed_for_holder = ChangedCounts()

    def connect(self, node: PeerNode) -> None:
        """Exchange counts over the links of a peer node."""
        self._node = node
        node.on_message(VmUsage, self._on_vm_usage)
        node.on_message(ZoneUsage, self._on_zone_usage)

    def record_begun(self, organisation: OrganisationId | None) -> None:
        """Count a request of an organisation whose run has begun."""
        if organisation is not None:
            self.own_windows.record(organisation)

    def send(self) -> None:
        """Pass the counts on; must be called every ``SEND_INTERVAL_S``."""
        if self._node is None:
            return
        counts = self.own_windows.counts()
        until_s = self.wall_clock()
        collector = self._collector()
        if collector != self._own:
            self._send_to_collector(self._node, collector, counts, until_s)
            return
        self._zone_totals.merge((self._own, self._incarnation), counts, until_s)
        self._send_to_holder(self._node)

    def _collector(self) -> VmId:
        vms = frozenset({self._own, *self._zone_vms()})
        return rendezvous_ranking(f"usage {self._zone}", vms)[0]

    def _send_to_collector(
        self, node: PeerNode, collector: VmId, counts: Iterable[UsageCount], until_s: float
    ) -> None:
        changed = self._changed_for_collector.select(collector, counts)
        until_ms = int(until_s * MS_PER_S)
        for part in _parts(changed):
            node.send(collector, VmUsage(self._incarnation, until_ms, part))

    def _send_to_holder(self, node: PeerNode) -> None:
        counts = self._zone_totals.counts()
        until_s = self._zone_totals.complete_until_s(SOURCE_VALID_S)
        holder = self._holders.find(self._duty)
        if holder == self._own:
            self.fleet_totals.merge(self._zone, counts, until_s)
        elif holder is not None:
            changed = self._changed_for_holder.select(holder, counts)
            until_ms = int(until_s * MS_PER_S)
            for part in _parts(changed):
                node.send(holder, ZoneUsage(self._zone, until_ms, part))

    def _on_vm_usage(self, vm: VmId, message: VmUsage) -> None:
        until_s = message.complete_until_ms / MS_PER_S
        self._zone_totals.merge((vm, message.incarnation), message.counts, until_s)

    def _on_zone_usage(self, _vm: VmId, message: ZoneUsage) -> None:
        until_s = message.complete_until_ms / MS_PER_S
        self.fleet_totals.merge(message.zone, message.counts, until_s)


def _parts(counts: tuple[UsageCount, ...]) -> Iterable[tuple[UsageCount, ...]]:
    """Split counts into messages; without counts there is one that tells how far they reach."""
    starts = range(0, max(1, len(counts)), MAX_COUNTS_PER_MESSAGE)
    return (counts[start : start + MAX_COUNTS_PER_MESSAGE] for start in starts)
