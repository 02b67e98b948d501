"""Organisations of which a VM should hold a slot, kept up to date at little cost."""

from collections.abc import Collection

from .._entities import Configuration, Organisation
from .._identifiers import OrganisationId, RegionName, VmId
from ._documents import shard_of
from ._placement import Placement


class SlotInterest:
    """Preferred organisations of one VM by shard.

    A full computation ranks the VMs of the region for every organisation, so its result is kept
    per organisation and thrown away only when the region's VMs or the set of regions change.
    """

    def __init__(self, vm: VmId, configuration: Configuration) -> None:
        """Start without usable VMs: the VM is preferred for nothing."""
        self._vm = vm
        self._known_by_id: dict[OrganisationId, tuple[Organisation, bool]] = {}
        self._organisations_by_shard: dict[int, list[Organisation]] = {}
        self._view: tuple[object, ...] = ()
        self.own_region = RegionName("")
        self.placement = Placement(configuration, ())
        self.update(configuration, ())

    def update(self, configuration: Configuration, usable: Collection[VmId]) -> bool:
        """Take a configuration and the usable VMs; return whether anything changed."""
        own = configuration.vms_by_id.get(self._vm)
        self.own_region = RegionName("") if own is None else own.region
        vms = [configuration.vms_by_id[vm] for vm in usable if vm in configuration.vms_by_id]
        view = (
            self.own_region,
            frozenset(vm.id for vm in vms if vm.region == self.own_region),
            frozenset(vm.region for vm in vms),
            frozenset(vm.region for vm in configuration.vms_by_id.values()),
        )
        organisations = configuration.organisations_by_id
        unchanged = view == self._view and organisations == {
            organisation_id: known[0] for organisation_id, known in self._known_by_id.items()
        }
        if unchanged:
            return False
        if view != self._view:
            self._known_by_id.clear()
        self._view = view
        self.placement = Placement(configuration, usable)
        self._known_by_id = {o.id: (o, self._is_known_preferred(o)) for o in organisations.values()}
        self._organisations_by_shard = {}
        for organisation, preferred in self._known_by_id.values():
            if preferred:
                shard = shard_of(organisation.id)
                self._organisations_by_shard.setdefault(shard, []).append(organisation)
        return True

    def shards(self) -> frozenset[int]:
        """Return the shards that register organisations this VM should hold a slot of."""
        return frozenset(self._organisations_by_shard)

    def preferred_in(self, shard: int) -> list[Organisation]:
        """Return the organisations of a shard that this VM should hold a slot of."""
        return self._organisations_by_shard.get(shard, [])

    def _is_known_preferred(self, organisation: Organisation) -> bool:
        known = self._known_by_id.get(organisation.id)
        if known is not None and known[0].regions == organisation.regions:
            return known[1]
        return self._is_preferred(organisation)

    def _is_preferred(self, organisation: Organisation) -> bool:
        regions = self.placement.regions(organisation)
        if self.own_region not in regions:
            return False
        count = self.placement.slot_count(organisation)
        position = regions.index(self.own_region)
        slots_in_region = len(range(position, count, len(regions)))
        ranked = self.placement.ranked_vms(organisation, self.own_region)
        return self._vm in ranked[:slots_in_region]
