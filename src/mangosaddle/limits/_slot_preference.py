"""Organisations of which a VM should hold a slot, updated incrementally."""

from collections.abc import Collection

from .._entities import Configuration, Organisation
from .._identifiers import OrganisationId, RegionName, VmId
from ._documents import shard_of
from ._placement import Placement


class SlotPreference:
    """Organisations of which one VM should hold a slot, by shard.

    A full computation ranks the region's VMs for every organisation. Its results are therefore
    cached per organisation and dropped only when the region's VMs or the set of regions change.
    """

    def __init__(self, vm: VmId, configuration: Configuration) -> None:
        """Start without usable VMs, so the VM is preferred for no organisation."""
        self._vm = vm
        self._preferences_by_id: dict[OrganisationId, tuple[Organisation, bool]] = {}
        self._organisations_by_shard: dict[int, list[Organisation]] = {}
        self._placement_inputs: tuple[object, ...] = ()
        self.own_region = RegionName("")
        self.placement = Placement(configuration, ())
        self.update(configuration, ())

    def update(self, configuration: Configuration, usable: Collection[VmId]) -> bool:
        """Apply a configuration and the usable VMs; return whether anything changed."""
        own = configuration.vms_by_id.get(self._vm)
        self.own_region = RegionName("") if own is None else own.region
        vms = [configuration.vms_by_id[vm] for vm in usable if vm in configuration.vms_by_id]
        placement_inputs = (
            self.own_region,
            frozenset(vm.id for vm in vms if vm.region == self.own_region),
            frozenset(vm.region for vm in vms),
            frozenset(vm.region for vm in configuration.vms_by_id.values()),
        )
        organisations = configuration.organisations_by_id
        unchanged = placement_inputs == self._placement_inputs and organisations == {
            organisation_id: known[0] for organisation_id, known in self._preferences_by_id.items()
        }
        if unchanged:
            return False
        if placement_inputs != self._placement_inputs:
            self._preferences_by_id.clear()
        self._placement_inputs = placement_inputs
        self.placement = Placement(configuration, usable)
        self._preferences_by_id = {
            o.id: (o, self._is_preferred_cached(o)) for o in organisations.values()
        }
        self._organisations_by_shard = {}
        for organisation, preferred in self._preferences_by_id.values():
            if preferred:
                shard = shard_of(organisation.id)
                self._organisations_by_shard.setdefault(shard, []).append(organisation)
        return True

    def shards(self) -> frozenset[int]:
        """Return the shards with organisations of which this VM should hold a slot."""
        return frozenset(self._organisations_by_shard)

    def preferred_in(self, shard: int) -> list[Organisation]:
        """Return the organisations of a shard of which this VM should hold a slot."""
        return self._organisations_by_shard.get(shard, [])

    def _is_preferred_cached(self, organisation: Organisation) -> bool:
        known = self._preferences_by_id.get(organisation.id)
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
