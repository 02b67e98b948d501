"""Which VMs reach endpoints of which services."""

from collections.abc import Collection, Iterable

from .._identifiers import VmId
from ..membership import rendezvous_ranking

REACH_REPORT_VALID_S = 1.6
"""Time for which a VM counts as cut off from a service after a report or a refusal that says so:
three intervals of the reports."""
MAX_RELAYS = 4
"""Number of VMs of a region that a VM forwards to at the same time, so that it has few links."""
MAX_KEPT_STATES = 10_000
"""Number of states above which expired ones are discarded."""


class VmReach:
    """Services that other VMs have lately said they cannot run; all times are monotonic seconds.

    A VM that has said nothing is taken to reach the endpoints of its region. A service is the name
    of one or, for the product's own interface, a target such as ``model/<name>``.
    """

    def __init__(self) -> None:
        """Create without reports."""
        self._reported_at_by_service: dict[str, dict[VmId, float]] = {}

    def record_unreached(self, vm: VmId, service: str, now: float) -> bool:
        """Record that a VM reaches no endpoint of a service; return whether this was new."""
        was_known = not self.reaches(vm, service, now)
        reported_at_by_vm = self._reported_at_by_service.setdefault(service, {})
        reported_at_by_vm[vm] = now
        if len(reported_at_by_vm) > MAX_KEPT_STATES:
            for other, at_s in list(reported_at_by_vm.items()):
                if now - at_s > REACH_REPORT_VALID_S:
                    del reported_at_by_vm[other]
        return not was_known

    def reaches(self, vm: VmId, service: str, now: float) -> bool:
        """Return whether a VM may be expected to reach an endpoint of a service."""
        at_s = self._reported_at_by_service.get(service, {}).get(vm)
        return at_s is None or now - at_s > REACH_REPORT_VALID_S

    def any_reaches(
        self, vms: Iterable[VmId], service: str, excluded: Collection[VmId], now: float
    ) -> bool:
        """Return whether a VM that is not excluded may be expected to reach the service."""
        return any(vm not in excluded and self.reaches(vm, service, now) for vm in vms)

    def relays(
        self,
        own: VmId,
        vms: Collection[VmId],
        service: str,
        excluded: Collection[VmId],
        now: float,
    ) -> list[VmId]:
        """Return the VMs to which ``own`` may forward a request for a service, at most a few.

        Each VM has others of its own choice, so that those that reach the endpoints share the
        requests of those that do not.
        """
        reaching = [vm for vm in vms if vm not in excluded and self.reaches(vm, service, now)]
        if len(reaching) <= MAX_RELAYS:
            return reaching
        return list(rendezvous_ranking(f"relays of {own}", reaching)[:MAX_RELAYS])
