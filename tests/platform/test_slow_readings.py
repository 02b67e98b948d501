"""A VM reads the store again while other VMs relay what has changed since the reading began."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from mangosaddle._identifiers import EndpointId, ServiceName
from mangosaddle.entry import EntryProcess
from mangosaddle.traffic import EndpointPhase
from platform_standins import (
    Fleet,
    RunnerStandIn,
    StoreFault,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
)

READING_S = 1.0
DESK = EndpointId("desk-1")


def _is_evacuated(vm: EntryProcess) -> bool:
    return bool(vm.endpoints.registry.evacuated_zones)


def _is_draining(vm: EntryProcess) -> bool:
    registration = vm.endpoints.registry.find(DESK)
    return registration is not None and registration.phase is EndpointPhase.LEAVING


def _is_gone(vm: EntryProcess) -> bool:
    return vm.endpoints.registry.find(DESK) is None


def _is_added(vm: EntryProcess) -> bool:
    return vm.endpoints.registry.find(EndpointId("desk-2")) is not None


def _has_new_configuration(vm: EntryProcess) -> bool:
    return vm.catalogue.version == 2


def _has_order(vm: EntryProcess) -> bool:
    return any(row.order.service == ServiceName("desk") for row in vm.rollouts.active())


CHANGES: dict[str, tuple[str, dict[str, Any] | None, Callable[[EntryProcess], bool]]] = {
    "evacuation": ("op/evacuate/east-a", {"zone": "east-a"}, _is_evacuated),
    "draining": ("servers/desk-1", {"state": "draining"}, _is_draining),
    "removal": ("servers/desk-1", None, _is_gone),
    "registration": ("servers/desk-2", {}, _is_added),
    "configuration": ("op/config", default_configuration(2), _has_new_configuration),
    "order": ("op/rollout/desk", {}, _has_order),
}


@pytest.mark.parametrize("name", CHANGES)
def test_a_slow_reading_takes_back_no_later_change(name: str) -> None:
    """Guards against an older reading that undoes for good what another VM has relayed."""
    key, value, is_applied = CHANGES[name]

    async def _scenario(fleet: Fleet) -> None:
        store = fleet.store
        await store.put("op/config", default_configuration())
        desk = await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a"))
        reading = await fleet.add_vm("vm-1")
        await fleet.add_vm("vm-2", store=await store.start())
        await fleet.wait_until_ready()
        for vm in fleet.vms.values():
            await fleet.wait_for_endpoints(vm, desk.id)
        store.calls.clear()
        store.reading_delay_s = READING_S
        await store.set_fault(StoreFault.RESET, 0)
        await store.set_fault(StoreFault.NONE, 0)
        await wait_until(lambda: store.calls.count("GET /api/kv-range") >= 3)
        await _change(fleet, key, value)
        await wait_until(lambda: is_applied(reading))
        await _hold(is_applied, reading, 2.5 * READING_S)

    run_on_empty_fleet(_scenario)


async def _change(fleet: Fleet, key: str, value: dict[str, Any] | None) -> None:
    if value is None:
        await fleet.store.remove(key)
    elif key.startswith("servers/"):
        runner = RunnerStandIn(key.removeprefix("servers/"), "desk", "east-a")
        await runner.start()
        fleet.runners.setdefault(runner.id, runner)
        await fleet.store.put(key, fleet.runners[runner.id].entry(**value))
    elif key.startswith("op/rollout/"):
        order = {"service": "desk", "target": "v2", "duration_s": 20.0}
        await fleet.store.put(key, order | value)
    else:
        await fleet.store.put(key, value)


async def _hold(
    condition: Callable[[EntryProcess], bool], vm: EntryProcess, duration_s: float
) -> None:
    """Assert that a condition holds throughout; the slow reading ends within ``duration_s``."""
    ends_at_s = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < ends_at_s:
        assert condition(vm)
        await asyncio.sleep(0.02)
