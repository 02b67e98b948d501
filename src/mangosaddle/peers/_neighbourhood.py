"""Neighbours of a VM and the maintenance of its links."""

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
"""Number of VMs per zone that collect and distribute confirmations for the other VMs."""


class Neighbourhood:
    """Selects the neighbours of a VM and maintains the links to them.

    A linked VM is a neighbour if the link is part of the topology of either side.
    """

    def __init__(
        self,
        connector: Connector,
        membership: MembershipTable,
        vms_by_id: Mapping[VmId, Vm],
        timings: PeerTimings,
        clock: Callable[[], float],
        is_busy: Callable[[Link], bool],
    ) -> None:
        """Compute the neighbours from the inventory."""
        self.topology_neighbours: frozenset[VmId] = frozenset()
        """VMs to which the topology of this VM requires a link."""
        self._zone_vms: frozenset[VmId] = frozenset()
        self._vms_by_id = dict(vms_by_id)
        self._relay_vms: frozenset[VmId] = frozenset()
        self._avoided_vms: frozenset[VmId] = frozenset()
        self._own_vm = membership.own.identity.vm
        self._connector = connector
        self._topology = PeerTopology.from_config(vms_by_id)
        self._timings = timings
        self._is_busy = is_busy
        self._maintained_at_s = clock()
        self._recompute()

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Recompute the neighbours for a new inventory."""
        self._vms_by_id = dict(vms_by_id)
        self._topology = self._topology.with_vms(vms_by_id)
        self._recompute()

    def avoid(self, vms: Collection[VmId]) -> None:
        """Move the links between zones and regions away from suspected and leaving VMs."""
        topology = self._topology.avoiding(vms)
        if topology is not self._topology:
            self._topology = topology
            self._avoided_vms = frozenset(vms)
            self._recompute()

    def _recompute(self) -> None:
        self.topology_neighbours = self._topology.links_of(self._own_vm)
        self._zone_vms = self._topology.zone_neighbours(self._own_vm)
        usable = (self._zone_vms | {self._own_vm}) - self._avoided_vms
        self._relay_vms = frozenset(
            rendezvous_ranking("confirmations", usable)[:CONFIRMATION_RELAYS]
        )

    def is_neighbour(self, link: Link) -> bool:
        """Return whether heartbeats and facts are exchanged on a link."""
        return link.in_peer_topology or link.peer.vm in self.topology_neighbours

    def is_in_own_zone(self, vm: VmId) -> bool:
        """Return whether a VM belongs to the full mesh of the own zone."""
        return vm in self._zone_vms

    def is_in_own_region(self, vm: VmId) -> bool:
        """Return whether a VM belongs to the own region; False for unknown VMs."""
        own, other = self._vms_by_id.get(self._own_vm), self._vms_by_id.get(vm)
        return own is not None and other is not None and own.region == other.region

    def neighbour_links(self) -> list[Link]:
        """Return the open links to neighbours."""
        links = self._connector.links_by_vm.values()
        return [link for link in links if self.is_neighbour(link)]

    def heartbeat_links(self) -> list[Link]:
        """Return the open links to neighbours and those with running requests.

        A link that has left the topology keeps its heartbeats while requests run on it. Otherwise
        a request without traffic would look like a dead VM, and a dead VM would go unnoticed.
        """
        links = self._connector.links_by_vm.values()
        return [link for link in links if self._carries_heartbeats(link)]

    def _carries_heartbeats(self, link: Link) -> bool:
        return self.is_neighbour(link) or self._is_busy(link)

    def confirmation_links(self) -> list[Link]:
        """Return the links on which this VM sends confirmations.

        Within a zone, confirmations go through its relays: when all pairs of VMs exchanged bitmaps,
        a withdrawal cost each VM of a zone of 24 about 14 KB.
        """
        if self._own_vm in self._relay_vms:
            return self.neighbour_links()
        links = self.neighbour_links()
        return [
            link
            for link in links
            if link.peer.vm in self._relay_vms or link.peer.vm not in self._zone_vms
        ]

    def maintain(self, now: float) -> None:
        """Dial missing links and close dead and idle ones; ``now`` is monotonic, in seconds."""
        # If this process was paused, missing heartbeats do not show that the other side is dead.
        was_paused = now - self._maintained_at_s > self._timings.heartbeat_interval_s
        self._maintained_at_s = now
        for vm in self.topology_neighbours:
            self._connector.dial_if_due(vm, now)
        for link in [*self._connector.links_by_vm.values(), *self._connector.spare_links]:
            if was_paused:
                link.last_received_at_s = now
            if self._is_dead(link, now) or self._is_idle(link, now):
                self._connector.close_in_background(link)

    def _is_dead(self, link: Link, now: float) -> bool:
        """Return whether a link that carries heartbeats has missed too many of them.

        Silence before a request or a change of the topology made the link carry them does not
        count.
        """
        is_spare = link in self._connector.spare_links
        if is_spare or not self._carries_heartbeats(link):
            link.heartbeats_expected_since_s = None
            return False
        if link.heartbeats_expected_since_s is None:
            link.heartbeats_expected_since_s = now
        silent_s = now - max(link.last_received_at_s, link.heartbeats_expected_since_s)
        return silent_s >= MISSED_HEARTBEATS_TO_SUSPECT * self._timings.heartbeat_interval_s

    def _is_idle(self, link: Link, now: float) -> bool:
        """Return whether a link outside the topology has been unused for too long."""
        idle_timeout_s = self._timings.idle_timeout_s
        if link in self._connector.spare_links:
            idle_timeout_s = self._timings.dial_timeout_s
        elif self.is_neighbour(link):
            return False
        if now - link.last_used_at_s < idle_timeout_s:
            return False
        return not self._is_busy(link)
