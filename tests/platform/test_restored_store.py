"""A fleet whose store goes back to a copy, so that revisions, leases and keys are gone."""

import asyncio

from mangosaddle._identifiers import EndpointId
from platform_standins import (
    Fleet,
    RunnerStandIn,
    StoreCopy,
    StoreFault,
    default_configuration,
    run_on_default_fleet,
    run_on_empty_fleet,
    wait_until,
)

WATCHES_PER_VM = 3


async def _restore(fleet: Fleet, state: StoreCopy) -> None:
    """Restore the store and wait until a VM watches it again."""
    fleet.store.calls.clear()
    await fleet.store.restore(state)
    await wait_until(lambda: fleet.store.calls.count("GET /api/kv-watch") >= WATCHES_PER_VM)


def test_a_configuration_written_after_a_restore_comes_into_force() -> None:
    """Guards against VMs that drop changes because their revisions were given out before."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        store = fleet.store
        state = store.copy_state()
        for version in (2, 3):
            await store.put("op/config", default_configuration(version))
        await wait_until(lambda: vm.catalogue.version == 3)
        await _restore(fleet, state)
        await store.put("op/config", default_configuration(3))
        await store.put("op/config", default_configuration(4, routes=[]))
        async with asyncio.timeout(vm.settings.bounds.configuration_s):
            await wait_until(lambda: vm.catalogue.version == 4)

    run_on_default_fleet(_scenario)


def test_an_endpoint_that_begins_to_leave_after_a_restore_gets_no_more_requests() -> None:
    """Guards against VMs that drop an endpoint's leaving because its revision is a former one."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        runner = fleet.runners["desk-1"]
        state = fleet.store.copy_state()
        for sequence in (2, 3):
            await fleet.store.put(runner.key, runner.entry(seq=sequence))
        await asyncio.sleep(0.1)
        await _restore(fleet, state)
        await fleet.store.put(runner.key, runner.entry(seq=4, state="draining"))
        registry = vm.endpoints.registry
        async with asyncio.timeout(vm.settings.bounds.drain_s):
            await wait_until(
                lambda: (
                    (row := registry.find(EndpointId("desk-1"))) is not None
                    and not registry.takes_work(row)
                )
            )

    run_on_default_fleet(_scenario)


def test_a_vm_cut_off_from_a_restored_store_learns_its_changes_from_other_vms() -> None:
    """Guards against VMs that drop relayed changes because their revisions are former ones."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a"))
        await fleet.add_vm("vm-1")
        cut_off = await fleet.add_vm("vm-2", store=await fleet.store.start())
        await fleet.wait_until_ready()
        state = fleet.store.copy_state()
        for version in (2, 3):
            await fleet.store.put("op/config", default_configuration(version))
        await wait_until(lambda: cut_off.catalogue.version == 3)
        await fleet.store.set_fault(StoreFault.RESET, port_index=1)
        await fleet.store.restore(state)
        await fleet.store.put("op/config", default_configuration(4))
        async with asyncio.timeout(cut_off.settings.bounds.configuration_s):
            await wait_until(lambda: cut_off.catalogue.version == 4)

    run_on_empty_fleet(_scenario)
