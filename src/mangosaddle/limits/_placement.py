"""Where the slots of an organisation belong: regions first, then rendezvous hashing over VMs."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from .._entities import Configuration, Organisation
from .._identifiers import OrganisationId, RegionName, VmId

MINIMUM_SLOTS = 6


@dataclass(frozen=True, slots=True, order=True)
class SlotId:
    """One of the equal parts of an organisation's allowance."""

    organisation: OrganisationId
    index: int


@dataclass(frozen=True, slots=True, order=True)
class HeldSlot:
    """A slot that the store registers for this VM's incarnation."""

    id: SlotId
    slot_count: int
    """Slots that the allowance was split into when the organisation was registered.

    All slots of an organisation carry the same count, whatever the configuration says by now, so
    their shares never add up to more than the whole.
    """
    nonce: str
    """Identifies the registration: after a loss and a new claim the slot starts empty."""


def rendezvous_weight(subject: str, candidate: str) -> int:
    """Return the weight of a candidate for a subject; the highest weight wins."""
    digest = blake2b(f"{subject}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(subject: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by falling weight."""
    return sorted(
        candidates, key=lambda candidate: rendezvous_weight(subject, candidate), reverse=True
    )


class Placement:
    """Preferred VM of every slot under one configuration and set of usable VMs."""

    __slots__ = ("_configuration", "_holders_by_organisation", "_regions", "_vms_by_region")

    def __init__(self, configuration: Configuration, usable: Iterable[VmId]) -> None:
        """Place over the VMs of the inventory that are in ``usable``."""
        self._configuration = configuration
        self._regions = frozenset(vm.region for vm in configuration.vms_by_id.values())
        self._vms_by_region: dict[RegionName, list[VmId]] = {}
        self._holders_by_organisation: dict[OrganisationId, tuple[VmId, ...]] = {}
        for vm_id in sorted(set(usable)):
            vm = configuration.vms_by_id.get(vm_id)
            if vm is not None:
                self._vms_by_region.setdefault(vm.region, []).append(vm_id)

    def slot_count(self, organisation: Organisation) -> int:
        """Return how many slots the allowance is split into."""
        return max(MINIMUM_SLOTS, len(self._allowed(organisation)))

    def regions(self, organisation: Organisation) -> list[RegionName]:
        """Return the allowed regions with a usable VM; slot ``i`` is in region ``i`` modulo n."""
        usable = self._allowed(organisation) & self._vms_by_region.keys()
        return [RegionName(region) for region in rank(organisation.id, usable)]

    def ranked_vms(self, organisation: Organisation, region: RegionName) -> list[VmId]:
        """Return the usable VMs of a region by falling preference for the organisation."""
        vms = rank(organisation.id, self._vms_by_region.get(region, []))
        return [VmId(vm) for vm in vms]

    def holders(self, organisation_id: OrganisationId) -> tuple[VmId, ...]:
        """Return the preferred VM of each slot by slot index; empty if unknown or unplaceable.

        The slots of an organisation in one region go to different VMs as far as there are enough.
        """
        found = self._holders_by_organisation.get(organisation_id)
        if found is None:
            found = self._place(organisation_id)
            self._holders_by_organisation[organisation_id] = found
        return found

    def forget(self, organisation_id: OrganisationId) -> None:
        """Drop the cached holders of an organisation that is no longer in use here."""
        self._holders_by_organisation.pop(organisation_id, None)

    def _place(self, organisation_id: OrganisationId) -> tuple[VmId, ...]:
        organisation = self._configuration.organisations_by_id.get(organisation_id)
        regions = [] if organisation is None else self.regions(organisation)
        if organisation is None or not regions:
            return ()
        ranked = [self.ranked_vms(organisation, region) for region in regions]
        holders = []
        for index in range(self.slot_count(organisation)):
            vms = ranked[index % len(regions)]
            holders.append(vms[index // len(regions) % len(vms)])
        return tuple(holders)

    def _allowed(self, organisation: Organisation) -> frozenset[RegionName]:
        return self._regions if organisation.regions is None else organisation.regions
