"""A fleet whose store accepts calls for a while without ever answering them."""

import asyncio

from platform_standins import Fleet, default_configuration, run_on_default_fleet, wait_until

SILENCE_S = 2.2
"""Longer than the interval between renewals of a VM's entry, so that one of them is dropped."""


def test_a_configuration_written_after_a_silence_comes_into_force() -> None:
    """Guards against VMs that wait for the answer to a watch call that the store has dropped."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        store = fleet.store
        store.drops_calls = True
        # The answer to the pending watch call makes the VM send another one, which is dropped.
        await store.put("op/config", default_configuration(2))
        await wait_until(lambda: vm.catalogue.version == 2)
        await asyncio.sleep(SILENCE_S)
        store.drops_calls = False
        await store.put("op/config", default_configuration(3))
        async with asyncio.timeout(vm.settings.bounds.configuration_s):
            await wait_until(lambda: vm.catalogue.version == 3)

    run_on_default_fleet(_scenario)
