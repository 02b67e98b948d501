"""Shared watches: in a large fleet few VMs watch the store, and all VMs learn of changes."""

import asyncio
import base64
import random
import zlib
from collections.abc import Collection

import pytest

from mangosaddle._identifiers import RegionName, VmId
from mangosaddle.entry._watch_policy import (
    SHARED_WATCH_MIN_VMS,
    WATCHER_REPORT_VALID_S,
    WatchPolicy,
)
from mangosaddle.peers._gossip import MAX_FACT_BYTES
from platform_standins import (
    Fleet,
    RunnerStandIn,
    StoreFault,
    default_configuration,
    run_on_empty_fleet,
    tenant,
    wait_until,
)

EAST = RegionName("east")
REGION_VMS = [VmId(f"vm-{number}") for number in range(8)]


class _OthersWatch(WatchPolicy):
    """Policy of a VM for which enough others watch."""

    def should_watch(self, fleet_vms: int, region_vms: Collection[VmId], now: float) -> bool:
        """Return False."""
        return False


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


def test_a_configuration_too_large_to_relay_comes_into_force_at_all_vms() -> None:
    """Guards against VMs that serve a withdrawn key, as they neither watch nor are told."""

    async def _body(fleet: Fleet) -> None:
        rng = random.Random(1)
        keys = [base64.b64encode(rng.randbytes(900)).decode() for _ in range(600)]
        many = [tenant(f"t{number}", key) for number, key in enumerate(keys)]
        document = default_configuration()
        await fleet.store.put("op/config", document)
        vms = []
        for number in range(6):
            vms.append(await fleet.add_vm(f"vm-{number}"))
            vms[-1].watch_policy = WatchPolicy(vms[-1].settings.vm, EAST, min_fleet_vms=1)
        await fleet.wait_until_ready()
        await wait_until(lambda: sum(vm._followers[0].is_watching for vm in vms) == 2)
        for version in (2, 3):
            tenants = [tenant("acme", f"key-{version}"), *many]
            await fleet.store.put("op/config", document | {"version": version, "tenants": tenants})
            async with asyncio.timeout(vms[0].settings.bounds.configuration_s):
                await wait_until(lambda v=version: all(vm.catalogue.version == v for vm in vms))
        assert len(zlib.compress(fleet.store.value("op/config") or b"")) > MAX_FACT_BYTES
        assert sum(vm._followers[0].is_watching for vm in vms) == 2
        for vm in vms:
            assert (await fleet.call(vm, "/read/x", key="key-1")).status == 401

    run_on_empty_fleet(_body)


def test_a_vm_reads_the_store_once_before_it_relies_on_others() -> None:
    """Guards against a new VM that knows only what is still among the relayed facts."""

    async def _body(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        await fleet.store.set_fault(StoreFault.BUSY)
        vm = await fleet.add_vm("vm-1")
        vm.watch_policy = _OthersWatch(vm.settings.vm, EAST)
        await asyncio.sleep(0.3)
        await fleet.store.set_fault(StoreFault.NONE)
        await wait_until(lambda: vm.catalogue.version == 1)

    run_on_empty_fleet(_body)
