"""Shared watches: in a large fleet few VMs watch the store, and all VMs learn of changes."""

import pytest

from mangosaddle._identifiers import RegionName, VmId
from mangosaddle.entry._watch_policy import (
    SHARED_WATCH_MIN_VMS,
    WATCHER_REPORT_VALID_S,
    WatchPolicy,
)
from platform_standins import (
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
)

EAST = RegionName("east")
REGION_VMS = [VmId(f"vm-{number}") for number in range(8)]


def _policies() -> dict[VmId, WatchPolicy]:
    policies = {vm: WatchPolicy(vm, EAST) for vm in REGION_VMS}
    for policy in policies.values():
        for vm in REGION_VMS[:3]:
            policy.record_report(vm, watching=True, now=0.0)
    return policies


def test_all_vms_of_a_small_fleet_watch() -> None:
    """Guards against delayed changes in fleets where watching is cheap."""
    policies = _policies()
    assert all(
        policy.should_watch(SHARED_WATCH_MIN_VMS - 1, REGION_VMS, 0.0)
        for policy in policies.values()
    )


def test_two_vms_of_a_region_watch_in_a_large_fleet() -> None:
    """Guards against calls that grow with the square of the fleet size."""
    watching = [d.should_watch(SHARED_WATCH_MIN_VMS, REGION_VMS, 0.0) for d in _policies().values()]
    assert watching.count(True) == 2


@pytest.mark.parametrize("lost", ["silent", "turned away"])
def test_vm_watches_when_no_watching_vm_reports(lost: str) -> None:
    """Guards against a fleet that relies on VMs whose calls the store rejects."""
    policy = _policies()[REGION_VMS[0]]
    now = WATCHER_REPORT_VALID_S + 0.1 if lost == "silent" else 0.0
    if lost == "turned away":
        for vm in REGION_VMS[:3]:
            policy.record_report(vm, watching=False, now=now)
    assert policy.should_watch(SHARED_WATCH_MIN_VMS, REGION_VMS, now)


def test_vm_that_does_not_watch_learns_changes_and_takes_over_watching() -> None:
    """Guards against changes that never reach the VMs that do not watch."""

    async def _body(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        for number in range(4):
            vm = await fleet.add_vm(f"vm-{number}")
            vm.watch_policy = WatchPolicy(vm.settings.vm, EAST, min_fleet_vms=1)
        await fleet.wait_until_ready()
        vms = fleet.vms.values()

        def _watching() -> list[str]:
            return [vm.settings.vm for vm in vms if vm._followers[0]._enabled.is_set()]

        await wait_until(lambda: len(_watching()) == 2)
        await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a"))
        await fleet.store.put("op/config", default_configuration(2))
        await wait_until(lambda: all(vm.catalogue.version == 2 for vm in vms))
        for vm in vms:
            await fleet.wait_for_endpoints(vm, "desk-1")
        await fleet.store.remove("servers/desk-1")
        await wait_until(lambda: not any(vm.endpoints.registry.registrations_by_id() for vm in vms))
        for name in _watching():
            await fleet.vms.pop(name).stop()
        await wait_until(lambda: len(_watching()) == 2)
        await fleet.store.put("op/config", default_configuration(3))
        await wait_until(lambda: all(vm.catalogue.version == 3 for vm in vms))

    run_on_empty_fleet(_body)
