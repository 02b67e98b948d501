"""Assignment of slots to preferred VMs: by region first, then by rendezvous hashing over VMs."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from .._entities import Configuration, Organisation
from .._identifiers import OrganisationId, RegionName, VmId

MIN_SLOT_COUNT = 6
"""Minimum number of slots of an organisation; there is at least one per allowed region."""


@dataclass(frozen=True, slots=True, order=True)
class SlotId:
    """One of the equal parts of an organisation's allowance."""

    organisation: OrganisationId
    index: int


@dataclass(frozen=True, slots=True, order=True)
class HeldSlot:
    """A slot registered in the store for this VM's incarnation."""

    id: SlotId
    slot_count: int
    """Number of slots that the allowance was split into when the organisation was registered.

    All slots of an organisation carry the same count, even if the configuration has changed since.
    Their parts therefore never add up to more than the whole allowance.
    """
    nonce: str
    """Identifies the registration; a slot that was lost and claimed again starts empty."""


def rendezvous_weight(subject: str, candidate: str) -> int:
    """Return the weight of a candidate for a subject; the highest weight wins."""
    digest = blake2b(f"{subject}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_candidates(subject: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of weight."""
    return sorted(
        candidates, key=lambda candidate: rendezvous_weight(subject, candidate), reverse=True
    )


class Placement:
    """Preferred VM of every slot for one configuration and one set of usable VMs."""

    __slots__ = ("_configuration", "_holders_by_organisation", "_regions", "_vms_by_region")

    def __init__(self, configuration: Configuration, usable: Iterable[VmId]) -> None:
        """Place slots on the VMs of the inventory that are in ``usable``."""
        self._configuration = configuration
        self._regions = frozenset(vm.region for vm in configuration.vms_by_id.values())
        self._vms_by_region: dict[RegionName, list[VmId]] = {}
        self._holders_by_organisation: dict[OrganisationId, tuple[VmId, ...]] = {}
        for vm_id in sorted(set(usable)):
            vm = configuration.vms_by_id.get(vm_id)
            if vm is not None:
                self._vms_by_region.setdefault(vm.region, []).append(vm_id)

    def slot_count(self, organisation: Organisation) -> int:
        """Return the number of slots that the allowance is split into."""
        return max(MIN_SLOT_COUNT, len(self._allowed_regions(organisation)))

    def regions(self, organisation: Organisation) -> list[RegionName]:
        """Return the allowed regions with a usable VM; slot ``i`` is in region ``i`` modulo n."""
        usable = self._allowed_regions(organisation) & self._vms_by_region.keys()
        return [RegionName(region) for region in rank_candidates(organisation.id, usable)]

    def ranked_vms(self, organisation: Organisation, region: RegionName) -> list[VmId]:
        """Return the usable VMs of a region, the most preferred for the organisation first."""
        vms = rank_candidates(organisation.id, self._vms_by_region.get(region, []))
        return [VmId(vm) for vm in vms]

    def holders(self, organisation_id: OrganisationId) -> tuple[VmId, ...]:
        """Return the preferred VM of each slot by slot index.

        Empty if the organisation is unknown or has no usable VM in its regions. The slots of an
        organisation in one region go to different VMs if there are enough.
        """
        cached = self._holders_by_organisation.get(organisation_id)
        if cached is None:
            cached = self._compute_holders(organisation_id)
            self._holders_by_organisation[organisation_id] = cached
        return cached

    def drop_cached_holders(self, organisation_id: OrganisationId) -> None:
        """Drop the cached holders of an organisation that this VM no longer serves."""
        self._holders_by_organisation.pop(organisation_id, None)

    def _compute_holders(self, organisation_id: OrganisationId) -> tuple[VmId, ...]:
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

    def _allowed_regions(self, organisation: Organisation) -> frozenset[RegionName]:
        return self._regions if organisation.regions is None else organisation.regions
