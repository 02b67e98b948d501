"""Permissions that run out while a process is paused or its machine is suspended."""

import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from mangosaddle._identifiers import Incarnation, VmId
from mangosaddle.entry import _pause_guard
from mangosaddle.entry._pause_guard import PauseGuard
from mangosaddle.entry._vm_reports import identity_hash
from platform_standins import (
    Fleet,
    RunnerStandIn,
    StoreFault,
    default_configuration,
    run_on_empty_fleet,
)


class _SuspendableClock:
    """Boot time that the test moves ahead, as if the machine had been suspended."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._boot_time_s: Callable[[], float] = _pause_guard._boot_time_s

    def __call__(self) -> float:
        return self._boot_time_s() + self.suspended_s


async def _start(fleet: Fleet) -> _SuspendableClock:
    await fleet.store.put("op/config", default_configuration())
    await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a"))
    vm = await fleet.add_vm("vm-1")
    clock = _SuspendableClock()
    vm.pause_guard._boot_clock = clock
    await fleet.wait_until_ready()
    await fleet.wait_for_endpoints(vm, "desk-1")
    return clock


@pytest.mark.parametrize("pause_s", [1.5, 3.0, 10.0])
@pytest.mark.parametrize("change", ["endpoint left", "key withdrawn", "route moved"])
def test_a_paused_vm_does_not_act_on_what_it_knew(pause_s: float, change: str) -> None:
    """Guards against an endpoint that has left, or a withdrawn key, in use after a pause.

    The watch brings no news: its connection was lost during the pause.
    """

    async def _scenario(fleet: Fleet) -> None:
        clock = await _start(fleet)
        vm = fleet.vms["vm-1"]
        assert (await fleet.call(vm, "/read/x")).status == 200
        fleet.store.hold_watches = True
        if change == "endpoint left":
            await fleet.store.remove("servers/desk-1")
        else:
            document = default_configuration(2)
            if change == "key withdrawn":
                document["tenants"][0]["api_keys"] = ["another-key"]
            else:
                document["routes"] = []
            await fleet.store.put("op/config", document)
        clock.suspended_s += pause_s
        answer = await fleet.call(vm, "/read/x")
        expected = {"endpoint left": 503, "key withdrawn": 401, "route moved": 404}
        assert answer.status == expected[change]
        assert sum(fleet.runners["desk-1"].runs_by_request_id.values()) == 1

    run_on_empty_fleet(_scenario)


def test_a_paused_vm_serves_without_the_store() -> None:
    """Guards against a VM that refuses all requests because the store is down after a pause."""

    async def _scenario(fleet: Fleet) -> None:
        clock = await _start(fleet)
        await fleet.store.set_fault(StoreFault.BUSY)
        clock.suspended_s += 3.0
        assert (await fleet.call(fleet.vms["vm-1"], "/read/x")).status == 200

    run_on_empty_fleet(_scenario)


def test_a_short_delay_does_not_cause_store_calls() -> None:
    """Guards against reading the store again whenever a VM is busy for a moment."""
    now, boot = [100.0], [100.0]
    paused: list[float] = []
    guard = PauseGuard(paused.append, lambda: now[0], lambda: boot[0])
    for delay_s in (0.25, 0.5, 1.0, 1.2):
        boot[0] += delay_s
        assert guard.is_current()
    assert paused == []
    boot[0] += 1.5
    guard.check()
    assert paused == [1.25]


def test_a_paused_vm_forgets_its_saved_allowance() -> None:
    """Guards against a burst that other VMs have taken over while this one was paused."""

    async def _scenario(fleet: Fleet) -> None:
        clock = await _start(fleet)
        vm = fleet.vms["vm-1"]
        assert any(bucket.level > 0.0 for bucket in vm.allowances._buckets_by_id.values())
        clock.suspended_s += 1.5
        vm.pause_guard.check()
        assert any(bucket.level > 0.0 for bucket in vm.allowances._buckets_by_id.values())
        clock.suspended_s += 3.0
        vm.pause_guard.check()
        assert all(bucket.level <= 0.0 for bucket in vm.allowances._buckets_by_id.values())

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize(("pause_s", "is_kept"), [(0.0, False), (3.5, True), (900.0, True)])
def test_a_pause_does_not_make_other_vms_silent(pause_s: float, is_kept: bool) -> None:
    """Guards against a live VM whose entry lapsed and is removed because this one was paused."""

    async def _scenario(fleet: Fleet) -> None:
        clock = await _start(fleet)
        vm = fleet.vms["vm-1"]
        record = replace(vm._vm_record, vm=VmId("vm-2"), incarnation=Incarnation("other"))
        vm.fleet.set_records({record.vm: record}, {record.vm: 1})
        identity = identity_hash(record.vm, record.incarnation)
        vm.fleet.record_reports([identity])
        # The last report came half a second before a pause, or was not followed by others.
        vm.fleet._reported_at_by_identity[identity] -= 0.5 + 3.5
        clock.suspended_s += pause_s
        assert vm._is_reporting(record) is is_kept
        assert vm.fleet._reported_at_by_identity[identity] <= time.monotonic()

    run_on_empty_fleet(_scenario)
