"""A fleet whose store leaves calls unanswered for a while, on connections that stay open."""

import asyncio

import pytest

from mangosaddle._identifiers import EndpointId, Incarnation, RegionName, VmId, ZoneName
from mangosaddle.coordination import CoordinationError, VmRecord
from mangosaddle.platform import PlatformStore
from platform_standins import (
    Fleet,
    StoreSilence,
    default_configuration,
    run_on_default_fleet,
    wait_until,
)

SILENCE_S = 2.2
"""Longer than the interval between renewals of a VM's entry, so that one of them is dropped."""
WATCH_PATHS = frozenset({"/api/kv-watch"})
SILENCES = [kind for kind in StoreSilence if kind is not StoreSilence.NONE]
QUIET_S = 4.0
MAX_QUIET_CALLS_PER_S = 1.5
"""Watch calls that a VM may make on a prefix without changes: below a hundredth of what the store
allows for each VM, as about three prefixes are quiet."""


def test_a_configuration_written_after_a_silence_comes_into_force() -> None:
    """Guards against VMs that wait for the answer to a watch call that the store has dropped."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        store = fleet.store
        store.silence = StoreSilence.CALLS
        # The answer to the pending watch call makes the VM send another one, which is dropped.
        await store.put("op/config", default_configuration(2))
        await wait_until(lambda: vm.catalogue.version == 2)
        await asyncio.sleep(SILENCE_S)
        store.silence = StoreSilence.NONE
        await store.put("op/config", default_configuration(3))
        async with asyncio.timeout(vm.settings.bounds.configuration_s):
            await wait_until(lambda: vm.catalogue.version == 3)

    run_on_default_fleet(_scenario)


async def _write_all(fleet: Fleet, version: int) -> None:
    """Write a key below each prefix that VMs watch."""
    vm, region, zone = VmId(f"late-{version}"), RegionName("east"), ZoneName("east-a")
    record = VmRecord(vm, Incarnation("0001"), region, zone, "127.0.0.9", 1, 2)
    await fleet.store.put("op/config", default_configuration(version))
    await fleet.store.put(f"servers/late-{version}", fleet.runners["desk-1"].entry())
    await fleet.store.put(f"mangosaddle/vms/{vm}", record.encode())


@pytest.mark.parametrize("waited_s", [0.0, 0.7])
@pytest.mark.parametrize("silence_s", [0.05, 0.4, 2.0])
@pytest.mark.parametrize("kind", SILENCES)
def test_changes_of_each_prefix_are_noticed_after_a_silence_of_the_watch_calls(
    kind: StoreSilence, silence_s: float, waited_s: float
) -> None:
    """Guards against a watch that waits for a dropped call while all other calls are answered."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        store = fleet.store
        await asyncio.sleep(waited_s)
        store.silence, store.silent_paths = kind, WATCH_PATHS
        await _write_all(fleet, 2)
        await asyncio.sleep(silence_s)
        store.silence = StoreSilence.NONE
        await _write_all(fleet, 3)
        bounds = vm.settings.bounds
        changed_at_s = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(changed_at_s + min(bounds.configuration_s, bounds.drain_s)):
            await wait_until(lambda: vm.catalogue.version == 3)
            await fleet.wait_for_endpoints(vm, EndpointId("late-3"))
        async with asyncio.timeout_at(changed_at_s + bounds.contact_s):
            await wait_until(lambda: VmId("late-3") in vm.fleet.all_vms())

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("kind", SILENCES)
def test_readings_and_writes_end_although_their_answers_are_missing(kind: StoreSilence) -> None:
    """Guards against a reading that stays open after the first half of its answer."""

    async def _scenario(fleet: Fleet) -> None:
        client = PlatformStore(fleet.store_address)
        fleet.store.silence = kind
        async with asyncio.timeout(2 * fleet.vms["vm-1"].settings.bounds.configuration_s):
            for call in (client.read("op/"), client.find("op/config"), client.create_lease(5.0)):
                with pytest.raises(CoordinationError):
                    await call
        fleet.store.silence = StoreSilence.NONE
        client.close()

    run_on_default_fleet(_scenario)


def test_changes_that_watches_miss_before_the_history_is_dropped_are_read() -> None:
    """Guards against a watch that continues after changes which the store has held back."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        store = fleet.store
        store.hold_watches = True
        await _write_all(fleet, 2)
        await asyncio.sleep(1.5)
        await store.drop_history()
        store.hold_watches = False
        async with asyncio.timeout(vm.settings.bounds.configuration_s):
            await wait_until(lambda: vm.catalogue.version == 2)
            await fleet.wait_for_endpoints(vm, EndpointId("late-2"))

    run_on_default_fleet(_scenario)


def test_quiet_prefixes_cost_the_store_few_calls() -> None:
    """Guards against watches that end so often that a large fleet exceeds the store's limits."""

    async def _scenario(fleet: Fleet) -> None:
        calls = fleet.store.calls
        await asyncio.sleep(1.0)
        calls.clear()
        await asyncio.sleep(QUIET_S)
        watches, readings = calls.count("GET /api/kv-watch"), calls.count("GET /api/kv-range")
        assert readings == 0
        assert watches <= 3 * MAX_QUIET_CALLS_PER_S * QUIET_S

    run_on_default_fleet(_scenario)
