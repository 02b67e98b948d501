"""A fleet whose store goes back to a copy, so that revisions, leases and keys are gone."""

import asyncio
import json

import pytest

from mangosaddle._identifiers import EndpointId
from mangosaddle.entry._entry_process import HOUSEKEEPING_INTERVAL_S
from mangosaddle.entry._store_followers import OPERATOR_HOLD_TIMES
from mangosaddle.entry._store_relay import STORE_ITEM
from mangosaddle.entry._watch_policy import WatchPolicy
from mangosaddle.membership import WATCHERS_PER_REGION
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
SHARED_WATCH_VMS = 6
MAX_EVACUATION_DELAY_S = 5.0
MAX_WAIT_S = 10.0


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


def test_a_restore_is_noticed_while_all_watches_are_silent() -> None:
    """Guards against VMs that wait for changes since a revision that does not exist any more."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        store = fleet.store
        state = store.copy_state()
        await store.put("op/config", default_configuration(2))
        await wait_until(lambda: vm.catalogue.version == 2)
        store.hold_watches = True
        await store.restore(state, breaks_connections=False)
        await store.put("op/config", default_configuration(3))
        async with asyncio.timeout(vm.settings.bounds.configuration_s):
            await wait_until(lambda: vm.catalogue.version == 3)

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


def test_an_evacuation_that_a_copy_lacks_stays_in_force_until_it_is_written_again() -> None:
    """Guards against requests to an evacuated zone while its order is lost with the restore."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        registry = vm.endpoints.registry
        state = fleet.store.copy_state()
        await fleet.store.put("op/evacuate/east-a", {})
        await wait_until(lambda: registry.evacuated_zones)
        await _restore(fleet, state)
        assert registry.evacuated_zones
        await fleet.store.put("op/evacuate/east-a", {})
        await asyncio.sleep(0.2)
        assert registry.evacuated_zones
        await fleet.store.remove("op/evacuate/east-a")
        await wait_until(lambda: not registry.evacuated_zones)

    run_on_default_fleet(_scenario)


def test_vms_without_a_watch_follow_a_restored_store() -> None:
    """Guards against large fleets in which most VMs keep to an order that has been taken back."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a"))
        for number in range(SHARED_WATCH_VMS):
            vm = await fleet.add_vm(f"vm-{number}")
            vm.watch_policy = WatchPolicy(vm.settings.vm, vm.settings.region, SHARED_WATCH_VMS)
        await fleet.wait_until_ready()
        vms = fleet.vms.values()
        registries = [vm.endpoints.registry for vm in vms]
        followers = [follower for vm in vms for follower in vm._followers]
        watches = WATCHERS_PER_REGION * WATCHES_PER_VM
        await wait_until(lambda: sum(row.is_watching for row in followers) == watches)
        state = fleet.store.copy_state()
        await fleet.store.put("op/evacuate/east-a", {})
        await wait_until(lambda: all(row.evacuated_zones for row in registries))
        await fleet.store.restore(state)
        await fleet.store.put("op/config", default_configuration(2))
        await wait_until(lambda: all(vm.catalogue.version == 2 for vm in vms))
        assert all(row.evacuated_zones for row in registries)
        async with asyncio.timeout(MAX_EVACUATION_DELAY_S):
            await wait_until(lambda: not any(row.evacuated_zones for row in registries))

    run_on_empty_fleet(_scenario)


def test_an_evacuation_stays_in_force_while_the_store_is_away_again() -> None:
    """Guards against an order that ends because the operator cannot write it again in time."""

    async def _scenario(fleet: Fleet) -> None:
        registry = fleet.vms["vm-1"].endpoints.registry
        state = fleet.store.copy_state()
        await fleet.store.put("op/evacuate/east-a", {})
        await wait_until(lambda: registry.evacuated_zones)
        await _restore(fleet, state)
        await fleet.store.set_fault(StoreFault.RESET)
        await asyncio.sleep(OPERATOR_HOLD_TIMES.missing_s + 2 * HOUSEKEEPING_INTERVAL_S)
        assert registry.evacuated_zones
        await fleet.store.set_fault(StoreFault.NONE)
        await wait_until(lambda: not registry.evacuated_zones)

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("is_removed", [False, True])
def test_an_endpoint_that_has_left_is_not_used_again_after_a_restore(is_removed: bool) -> None:
    """Guards against requests to an endpoint that the copy shows as ready."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        runner = fleet.runners["desk-1"]
        registry = vm.endpoints.registry
        endpoint = EndpointId("desk-1")

        def _takes_work() -> bool:
            row = registry.find(endpoint)
            return row is not None and registry.takes_work(row)

        state = fleet.store.copy_state()
        await fleet.store.put(runner.key, runner.entry(seq=2, state="draining"))
        if is_removed:
            await fleet.store.remove(runner.key)
        await wait_until(lambda: not _takes_work())
        await _restore(fleet, state)
        await asyncio.sleep(0.2)
        assert not _takes_work()
        await fleet.store.put(runner.key, runner.entry(seq=1, born=1_700_000_100_000))
        await wait_until(_takes_work)

    run_on_default_fleet(_scenario)


def test_a_vm_that_starts_from_an_outdated_copy_learns_the_configuration_from_other_vms() -> None:
    """Guards against a configuration that comes back older at a VM that has just started."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        first = await fleet.add_vm("vm-1")
        await fleet.wait_until_ready()
        state = fleet.store.copy_state()
        await fleet.store.put("op/config", default_configuration(2))
        await wait_until(lambda: first.catalogue.version == 2)
        await _restore(fleet, state)
        started = await fleet.add_vm("vm-2")
        await wait_until(lambda: started.catalogue.version == 2)
        assert first.catalogue.version == 2

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("is_taken_back", [False, True])
def test_a_vm_that_starts_after_a_restore_keeps_to_orders_that_the_copy_lacks(
    is_taken_back: bool,
) -> None:
    """Guards against requests to an evacuated zone from a VM that has not seen the order."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a"))
        first = await fleet.add_vm("vm-1")
        await fleet.wait_until_ready()
        state = fleet.store.copy_state()
        await fleet.store.put("op/evacuate/east-a", {})
        await wait_until(lambda: first.endpoints.registry.evacuated_zones)
        await _restore(fleet, state)
        if is_taken_back:
            await fleet.store.put("op/evacuate/east-a", {})
            await fleet.store.remove("op/evacuate/east-a")
            await wait_until(lambda: not first.endpoints.registry.evacuated_zones)
        registry = (await fleet.add_vm("vm-2")).endpoints.registry
        await fleet.wait_until_ready()
        if not is_taken_back:
            await wait_until(lambda: registry.evacuated_zones)
        async with asyncio.timeout(MAX_EVACUATION_DELAY_S):
            await wait_until(lambda: not registry.evacuated_zones)
        await asyncio.sleep(1.0)
        assert not registry.evacuated_zones

    run_on_empty_fleet(_scenario)


async def _two_linked_vms(fleet: Fleet) -> StoreCopy:
    """Start two linked VMs and return the state of the store before them."""
    await fleet.store.put("op/config", default_configuration())
    state = fleet.store.copy_state()
    await fleet.add_vm("vm-1")
    await fleet.add_vm("vm-2")
    await fleet.wait_until_ready()
    return state


def test_a_vm_that_starts_after_a_restore_links_up_with_the_others() -> None:
    """Guards against a second peer secret, and a process that counts as older than its former."""

    async def _scenario(fleet: Fleet) -> None:
        state = await _two_linked_vms(fleet)
        killed = await fleet.kill_vm("vm-2")
        await _restore(fleet, state)
        await fleet.restart_vm(killed)
        await fleet.wait_until_ready()
        first = fleet.vms["vm-1"]
        await wait_until(lambda: "vm-2" in {live.vm for live in first.fleet.live()})

    run_on_empty_fleet(_scenario)


def test_a_store_with_a_large_era_is_followed_like_others() -> None:
    """Guards against revisions that do not fit into messages, and equal orders of two processes."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.store.era = 70_000
        state = await _two_linked_vms(fleet)
        killed = await fleet.kill_vm("vm-2")
        await _restore(fleet, state)
        started = await fleet.restart_vm(killed)
        await fleet.wait_until_ready()
        await wait_until(lambda: "vm-2" in {live.vm for live in fleet.vms["vm-1"].fleet.live()})
        node = started.fleet.node
        assert node is not None
        await wait_until(lambda: bool(list(node.facts.facts(STORE_ITEM.name))))
        assert all(fact.version < 2**64 for fact in node.facts.facts(STORE_ITEM.name))

    run_on_empty_fleet(_scenario)


def test_vms_use_the_peer_secret_that_the_store_has_after_a_restore() -> None:
    """Guards against VMs that refuse each other for ever after one has created another secret."""

    async def _scenario(fleet: Fleet) -> None:
        state = await _two_linked_vms(fleet)
        await fleet.store.restore(state)
        await fleet.store.put("mangosaddle/peer-secret", b"s" * 32)
        nodes = [vm.fleet.node for vm in fleet.vms.values()]
        await wait_until(lambda: all(node and node.secret == b"s" * 32 for node in nodes))

    run_on_empty_fleet(_scenario)


def test_vms_register_again_when_their_leases_are_lost_and_given_out_again() -> None:
    """Guards against a VM that renews the lease of another one while its own entry is gone."""

    async def _scenario(fleet: Fleet) -> None:
        state = await _two_linked_vms(fleet)
        await _restore(fleet, state)
        for name in ("vm-1", "vm-2"):
            await asyncio.wait_for(fleet.store.wait_for(f"mangosaddle/vms/{name}"), MAX_WAIT_S)
        leases = [fleet.store.lease_of(f"mangosaddle/vms/{name}") for name in ("vm-1", "vm-2")]
        assert len(set(leases)) == 2
        assert all(len(vm.fleet.live()) == 2 for vm in fleet.vms.values())

    run_on_empty_fleet(_scenario)


ORDER = {"service": "desk", "target": "v2", "duration_s": 20.0}
ORDER_KEY, STATUS_KEY = "op/rollout/desk", "status/rollout/desk"


def _status(fleet: Fleet) -> dict[str, object]:
    return dict(json.loads(fleet.store.value(STATUS_KEY) or b"{}"))


def _shows_end(fleet: Fleet) -> bool:
    status = _status(fleet)
    is_of_order = status.get("order") == fleet.store.revision_of(ORDER_KEY)
    return is_of_order and status["state"] == "rolled_back"


@pytest.mark.parametrize("copy_has", ["nothing", "order", "order and first state"])
def test_a_rejected_version_is_not_tried_again_after_a_restore(copy_has: str) -> None:
    """Guards against an order that counts as a new one, and an end that is never written again."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        state = fleet.store.copy_state()
        await fleet.store.put(ORDER_KEY, ORDER)
        if copy_has != "nothing":
            state = fleet.store.copy_state()
        await wait_until(lambda: _status(fleet).get("state") == "running")
        if copy_has == "order and first state":
            state = fleet.store.copy_state()
        end = _status(fleet) | {"state": "rolled_back"}
        await fleet.store.put(STATUS_KEY, end)
        await wait_until(lambda: not vm.rollouts.active())
        await _restore(fleet, state)
        if copy_has == "nothing":
            await fleet.store.put(ORDER_KEY, ORDER)
        await wait_until(lambda: _shows_end(fleet))
        assert not vm.rollouts.active()
        started = await fleet.add_vm("vm-2")
        await wait_until(started.is_ready)
        await wait_until(lambda: not started.rollouts.active())

    run_on_default_fleet(_scenario)


def test_an_order_that_is_placed_again_after_a_restore_begins_anew() -> None:
    """Guards against new orders that are taken for former ones with the same target."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.put(ORDER_KEY, ORDER)
        await wait_until(lambda: _status(fleet).get("state") == "running")
        await fleet.store.put(STATUS_KEY, _status(fleet) | {"state": "rolled_back"})
        await wait_until(lambda: not vm.rollouts.active())
        await _restore(fleet, fleet.store.copy_state())
        await wait_until(lambda: _shows_end(fleet))
        await fleet.store.put(ORDER_KEY, ORDER)
        await wait_until(lambda: _status(fleet)["state"] == "running")
        assert vm.rollouts.active()

    run_on_default_fleet(_scenario)
