"""Links that the topology asks for, and the upkeep of all links."""

from collections.abc import Callable, Collection, Mapping

from .._entities import Vm
from .._identifiers import VmId
from ..membership import (
    MISSED_HEARTBEATS_TO_SUSPECT,
    MembershipTable,
    PeerTopology,
    rendezvous_ranking,
)
from ._connector import Connector
from ._link import Link
from ._settings import PeerTimings

CONFIRMATION_RELAYS = 2
"""VMs of a zone that collect and hand out confirmations for its other VMs."""


class Neighbourhood:
    """Neighbours of a VM; a link is a neighbour's if either side's topology asks for it."""

    def __init__(
        self,
        connector: Connector,
        membership: MembershipTable,
        vms_by_id: Mapping[VmId, Vm],
        timings: PeerTimings,
        clock: Callable[[], float],
        is_busy: Callable[[Link], bool],
    ) -> None:
        """Compute the neighbours of the inventory."""
        self.wanted: frozenset[VmId] = frozenset()
        """VMs to which the own topology asks for a link."""
        self._zone: frozenset[VmId] = frozenset()
        self._vms_by_id = dict(vms_by_id)
        self._relays: frozenset[VmId] = frozenset()
        self._avoided: frozenset[VmId] = frozenset()
        self._own = membership.own.identity.vm
        self._connector = connector
        self._topology = PeerTopology.from_config(vms_by_id)
        self._timings = timings
        self._is_busy = is_busy
        self._maintained_at_s = clock()
        self._compute()

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Take over the inventory."""
        self._vms_by_id = dict(vms_by_id)
        self._topology = self._topology.with_vms(vms_by_id)
        self._compute()

    def avoid(self, vms: Collection[VmId]) -> None:
        """Give pair links of suspected and leaving VMs to others."""
        topology = self._topology.avoiding(vms)
        if topology is not self._topology:
            self._topology = topology
            self._avoided = frozenset(vms)
            self._compute()

    def _compute(self) -> None:
        self.wanted = self._topology.links_of(self._own)
        self._zone = self._topology.zone_neighbours(self._own)
        usable = (self._zone | {self._own}) - self._avoided
        self._relays = frozenset(rendezvous_ranking("confirmations", usable)[:CONFIRMATION_RELAYS])

    def is_neighbour(self, link: Link) -> bool:
        """Return whether heartbeats and facts travel on a link."""
        return link.wanted_by_peer or link.peer.vm in self.wanted

    def is_in_zone(self, vm: VmId) -> bool:
        """Return whether a VM belongs to the own zone's mesh."""
        return vm in self._zone

    def is_in_region(self, vm: VmId) -> bool:
        """Return whether a VM belongs to the own region; unknown VMs count as elsewhere."""
        own, other = self._vms_by_id.get(self._own), self._vms_by_id.get(vm)
        return own is not None and other is not None and own.region == other.region

    def links(self) -> list[Link]:
        """Return the open links to neighbours."""
        links = self._connector.links_by_vm.values()
        return [link for link in links if self.is_neighbour(link)]

    def heartbeat_links(self) -> list[Link]:
        """Return the open links that are watched: those to neighbours and those with requests.

        A link whose topology has given it up keeps its heartbeats while requests run on it, so
        that a quiet request is not taken for a dead VM, and a dead VM is noticed.
        """
        links = self._connector.links_by_vm.values()
        return [link for link in links if self._is_watched(link)]

    def _is_watched(self, link: Link) -> bool:
        return self.is_neighbour(link) or self._is_busy(link)

    def confirmation_links(self) -> list[Link]:
        """Return the links on which confirmations travel: in the own zone only to its relays.

        With every pair of a zone's VMs exchanging bitmaps, a withdrawal cost a node of a zone of
        24 VMs about 14 KB.
        """
        if self._own in self._relays:
            return self.links()
        links = self.links()
        return [ln for ln in links if ln.peer.vm in self._relays or ln.peer.vm not in self._zone]

    def maintain(self, now: float) -> None:
        """Dial missing links and close dead and idle ones; ``now`` is monotonic seconds."""
        # After an own pause the silence of a link says nothing about the other side.
        paused = now - self._maintained_at_s > self._timings.heartbeat_interval_s
        self._maintained_at_s = now
        for vm in self.wanted:
            self._connector.dial_when_due(vm, now)
        for link in [*self._connector.links_by_vm.values(), *self._connector.spares]:
            if paused:
                link.received_at_s = now
            if self._is_dead(link, now) or self._is_idle(link, now):
                self._connector.close_later(link)

    def _is_dead(self, link: Link, now: float) -> bool:
        """Return whether heartbeats are missing on a link that should carry them."""
        silent_s = now - link.received_at_s
        is_spare = link in self._connector.spares
        expected = not is_spare and self._is_watched(link)
        return (
            expected
            and silent_s >= MISSED_HEARTBEATS_TO_SUSPECT * self._timings.heartbeat_interval_s
        )

    def _is_idle(self, link: Link, now: float) -> bool:
        """Return whether nothing runs on a link that the topology does not ask for."""
        idle_timeout_s = self._timings.idle_timeout_s
        if link in self._connector.spares:
            idle_timeout_s = self._timings.dial_timeout_s
        elif self.is_neighbour(link):
            return False
        if now - link.used_at_s < idle_timeout_s:
            return False
        return not self._is_busy(link)
