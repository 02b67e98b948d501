"""Contract with the store: behaviour of the client and of a fleet when the store misbehaves."""

import asyncio
import json

import pytest

from mangosaddle._identifiers import EndpointId
from mangosaddle._store_revisions import number_of
from mangosaddle.coordination import (
    HistoryLostError,
    LeaseEndedError,
    OutcomeUnknownError,
    Put,
    Removal,
    RevisionConflictError,
    StoreUnavailableError,
)
from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits
from mangosaddle.platform import PlatformStore, _store
from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    StoreFault,
    StoreStandIn,
    default_configuration,
    run_on_default_fleet,
    run_on_empty_fleet,
    wait_until,
)


def _run_with_store(scenario) -> None:  # type: ignore[no-untyped-def]  # noqa: ANN001
    async def _main() -> None:
        store = StoreStandIn()
        client = PlatformStore(await store.start())
        try:
            await scenario(store, client)
        finally:
            client.close()
            await store.stop()

    asyncio.run(_main())


def test_a_lease_from_before_a_restore_is_not_revoked_for_its_new_owner() -> None:
    """Guards against a VM that stops after a restore and removes the entry of another one."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        await client.read("keys/")
        state = store.copy_state()
        lease = await client.create_lease(10.0)
        await store.restore(state)
        other = PlatformStore(await store.start())
        await other.write([Put("keys/a", b"x", await other.create_lease(10.0))])
        assert number_of(lease) == store.lease_of("keys/a")
        await client.revoke_lease(lease)
        other.close()
        assert store.value("keys/a") == b"x"

    _run_with_store(_scenario)


def test_a_late_response_from_before_a_restore_is_not_used() -> None:
    """Guards against orders that come back older with a response that was delayed."""

    async def _main() -> None:
        is_restored = asyncio.Event()

        async def _handle(exchange: ServerExchange) -> None:
            era = b"2"
            if b"late" in exchange.target:
                era = b"1"
                await is_restored.wait()
            body = b'{"items": [], "store_revision": 60}'
            await exchange.respond(200, [(b"Store-Era", era)], body)

        server = HttpServer(_handle, ServerLimits)
        client = PlatformStore(await server.start("127.0.0.1", 0))
        late = asyncio.create_task(client.read("late/"))
        await client.read("keys/")
        is_restored.set()
        with pytest.raises(StoreUnavailableError):
            await late
        client.close()
        await server.stop()

    asyncio.run(_main())


@pytest.mark.parametrize(
    ("fault", "read_error", "write_error", "written"),
    [
        (StoreFault.BUSY, StoreUnavailableError, StoreUnavailableError, False),
        (StoreFault.RATE_LIMITED, StoreUnavailableError, StoreUnavailableError, False),
        (StoreFault.RESET, StoreUnavailableError, OutcomeUnknownError, False),
        (StoreFault.ANSWER_LOST, StoreUnavailableError, OutcomeUnknownError, True),
        (StoreFault.NOT_JSON, StoreUnavailableError, OutcomeUnknownError, True),
        (StoreFault.DEEPLY_NESTED, StoreUnavailableError, OutcomeUnknownError, True),
        (StoreFault.ENDLESS, StoreUnavailableError, OutcomeUnknownError, True),
    ],
)
def test_a_failed_write_reports_whether_it_may_have_been_executed(
    fault: StoreFault, read_error: type[Exception], write_error: type[Exception], written: bool
) -> None:
    """Guards against treating an executed write as not executed, or the reverse."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        await store.put("own/other", {"n": 1})
        await store.set_fault(fault)
        with pytest.raises(read_error):
            await client.find("own/other")
        with pytest.raises(write_error):
            await client.write([Put("own/key", b"value")])
        assert (store.value("own/key") == b"value") is written

    _run_with_store(_scenario)


def test_read_returns_the_items_of_all_pages() -> None:
    """Guards against treating entries beyond the first page as removed."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        for number in range(8):
            await store.put(f"servers/{number}", {"n": number})
        snapshot = await client.read("servers/")
        assert [item.key for item in snapshot.items] == [f"servers/{n}" for n in range(8)]

    _run_with_store(_scenario)


def test_a_repeated_page_is_an_error() -> None:
    """Guards against reading the same page forever."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        for number in range(8):
            await store.put(f"servers/{number}", {"n": number})
        await store.set_fault(StoreFault.SAME_PAGE)
        async with asyncio.timeout(5.0):
            with pytest.raises(StoreUnavailableError):
                await client.read("servers/")

    _run_with_store(_scenario)


def test_a_prefix_above_the_size_limit_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory use that grows with the number of pages without a limit."""
    monkeypatch.setattr(_store, "MAX_SNAPSHOT_BYTES", 100)

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        for number in range(4):
            await store.put(f"servers/{number}", {"n": number})
        assert len((await client.read("servers/")).items) == 4
        await store.put("servers/large", b"x" * 100)
        with pytest.raises(StoreUnavailableError):
            await client.read("servers/")

    _run_with_store(_scenario)


def test_a_watch_returns_changes_and_removals_in_order() -> None:
    """Guards against missed or reordered changes."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        revision = await store.put("op/config", {"version": 1})
        await store.put("op/config", {"version": 2})
        await store.remove("op/config")
        changes = await client.watch("op/", revision, 5.0)
        assert [type(event).__name__ for event in changes.events] == ["Item", "Removal"]
        assert isinstance(changes.events[1], Removal)

    _run_with_store(_scenario)


def test_lost_history_is_distinguished_from_an_outage() -> None:
    """Guards against a watch that continues although changes are missing."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        revision = await store.put("op/config", {"version": 1})
        await store.put("op/config", {"version": 2})
        await store.drop_history()
        with pytest.raises(HistoryLostError):
            await client.watch("op/", revision, 5.0)

    _run_with_store(_scenario)


def test_revision_conflicts_and_ended_leases_are_distinguished() -> None:
    """Guards against mistaking a revision conflict for an ended lease."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        await client.write([Put("own/a", b"1")], expected=[("own/a", 0)])
        with pytest.raises(RevisionConflictError):
            await client.write([Put("own/a", b"2")], expected=[("own/a", 0)])
        lease = await client.create_lease(5.0)
        await client.write([Put("own/b", b"1", lease)])
        await store.expire_all_leases()
        with pytest.raises(LeaseEndedError):
            await client.renew_lease(lease)
        with pytest.raises(LeaseEndedError):
            await client.write([Put("own/b", b"1", lease)])
        assert await client.find("own/b") is None

    _run_with_store(_scenario)


def test_numbers_given_out_again_after_a_restore_are_not_taken_for_former_ones() -> None:
    """Guards against skipped changes, wrong writes and the lease of another VM."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        state = store.copy_state()
        written = await client.write([Put("own/a", b"1")])
        lease = await client.create_lease(5.0)
        await store.restore(state)
        other = PlatformStore(client._address)
        assert number_of(await other.write([Put("own/a", b"2")])) == number_of(written)
        other_lease = await other.create_lease(5.0)
        assert number_of(other_lease) == number_of(lease)
        await other.write([Put("own/b", b"2", other_lease)])
        with pytest.raises(HistoryLostError):
            await client.watch("own/", written, 0.1)
        with pytest.raises(RevisionConflictError):
            await client.write([Put("own/a", b"3")], expected=[("own/a", written)])
        with pytest.raises(LeaseEndedError):
            await client.write([Put("own/a", b"3", lease)])
        with pytest.raises(LeaseEndedError):
            await client.renew_lease(lease)
        await client.revoke_lease(lease)
        assert store.keys("own/") == ["own/a", "own/b"]
        assert (await client.read("own/")).items[0].revision > written
        other.close()

    _run_with_store(_scenario)


def test_a_lease_of_another_vm_is_not_renewed_by_a_vm_that_has_not_heard_of_the_restore() -> None:
    """Guards against a VM that believes in its entry while it renews the lease of another one."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        state = store.copy_state()
        lease = await client.create_lease(5.0)
        await store.restore(state)
        other = PlatformStore(client._address)
        await other.create_lease(5.0)
        other.close()
        with pytest.raises(LeaseEndedError):
            await client.renew_lease(lease)

    _run_with_store(_scenario)


def test_a_value_that_is_not_base64_does_not_hide_other_items() -> None:
    """Guards against one undecodable entry that blocks all others."""

    async def _scenario(store: StoreStandIn, client: PlatformStore) -> None:
        await store.put("servers/good", {"n": 1})
        await store.put("servers/odd", b"")
        store._items["servers/odd"]["value"] = "*not base64*"
        items = {item.key: item.value for item in (await client.read("servers/")).items}
        assert items == {"servers/good": b'{"n": 1}', "servers/odd": b""}

    _run_with_store(_scenario)


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.RESET, StoreFault.ANSWER_LOST])
def test_a_fleet_serves_during_a_store_outage_and_catches_up(fault: StoreFault) -> None:
    """Guards against requests that depend on the store, and against missed changes."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.set_fault(fault)
        assert (await fleet.call(vm, "/read/x")).status == 200
        await fleet.store.put("op/config", default_configuration(2, routes=[]))
        await fleet.store.set_fault(StoreFault.NONE)
        await wait_until(lambda: vm.catalogue.version == 2)
        assert (await fleet.call(vm, "/read/x")).status == 404

    run_on_default_fleet(_scenario)


def test_changes_are_read_again_after_the_history_is_dropped() -> None:
    """Guards against missing a configuration when the store discards its history."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.put("op/config", default_configuration(2))
        await fleet.store.drop_history()
        await wait_until(lambda: vm.catalogue.version == 2)

    run_on_default_fleet(_scenario)


def test_an_older_configuration_is_not_applied() -> None:
    """Guards against a configuration that reverts to an older version."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.put("op/config", default_configuration(7))
        await wait_until(lambda: vm.catalogue.version == 7)
        await fleet.store.put("op/config", default_configuration(3, routes=[]))
        await fleet.store.put("op/evacuate/east-a", {})
        await wait_until(lambda: vm.endpoints.registry.evacuated_zones)
        assert vm.catalogue.version == 7

    run_on_default_fleet(_scenario)


def test_invalid_configurations_are_rejected_and_a_later_valid_one_is_applied() -> None:
    """Guards against a process that stops because of an operator's mistake."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.put("op/config", b"not json")
        await fleet.store.put("op/config", {"version": 5, "routes": [{"host": 1}]})
        await fleet.store.put("op/config", default_configuration(6))
        await wait_until(lambda: vm.catalogue.version == 6)
        assert (await fleet.call(vm, "/read/x")).status == 200

    run_on_default_fleet(_scenario)


def test_registrations_that_expire_in_a_store_outage_get_time_to_return() -> None:
    """Guards against dropping endpoints because the store was unavailable."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        await fleet.store.set_fault(StoreFault.BUSY)
        await wait_until(lambda: all(follower.is_failing for follower in vm._followers))
        await asyncio.sleep(0.8)
        for name in ("desk-1", "desk-2"):
            await fleet.store.remove(f"servers/{name}")
        await fleet.store.set_fault(StoreFault.NONE)
        await wait_until(lambda: not any(follower.is_failing for follower in vm._followers))
        assert (await fleet.call(vm, "/read/x")).status == 200
        await fleet.store.put("servers/desk-1", fleet.runners["desk-1"].entry())
        await wait_until(lambda: vm.endpoints.registry.find(EndpointId("desk-2")) is None)
        assert vm.endpoints.registry.find(EndpointId("desk-1")) is not None

    run_on_default_fleet(_scenario)


def test_an_invalid_registration_is_ignored_and_the_others_are_kept() -> None:
    """Guards against sending requests to an address from an invalid entry."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        runner = fleet.runners["desk-1"]
        await fleet.store.put("servers/desk-1", b"\xff\x00")
        changes: list[dict[str, object]] = [
            {"slots": "8"},
            {"state": "unknown"},
            {"address": "x"},
            {"zone": 4},
            {"service": None},
        ]
        for number, change in enumerate(changes):
            await fleet.store.put(f"servers/odd-{number}", runner.entry(**change))
        await wait_until(lambda: vm.endpoints.registry.find(EndpointId("desk-1")) is None)
        assert (await fleet.call(vm, "/read/x")).status == 200
        assert sum(fleet.runners["desk-1"].runs_by_request_id.values()) == 0
        assert len(vm.endpoints.registry.registrations_by_id()) == 3

    run_on_default_fleet(_scenario)


def test_a_vm_cut_off_from_the_store_learns_changes_from_other_vms() -> None:
    """Guards against a VM that sends full load to an endpoint that has returned cold."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        runner = await fleet.add_runner(RunnerStandIn("engine-1", "engine", "east-a"))
        runner.behaviour = Behaviour.STREAM
        await fleet.add_vm("vm-1")
        cut_off = await fleet.add_vm("vm-2", store=await fleet.store.start())
        await fleet.wait_until_ready()
        await fleet.store.set_fault(StoreFault.RESET, port_index=1)
        await wait_until(lambda: all(follower.is_failing for follower in cut_off._followers))
        await fleet.store.put(
            runner.key, runner.entry(cold_remaining_ms=3000, born=1_800_000_000_000)
        )
        await fleet.store.put("op/config", default_configuration(2))
        await fleet.store.put("op/evacuate/west-a", {})
        await wait_until(lambda: cut_off.catalogue.version == 2)
        await wait_until(lambda: "west-a" in cut_off.endpoints.registry.evacuated_zones)

        def _is_cold() -> bool:
            view = cut_off.endpoints.view(EndpointId("engine-1"))
            return view is not None and view.cold_limiter.is_cold(cut_off._clock())

        await wait_until(_is_cold)

    run_on_empty_fleet(_scenario)


def test_a_vm_rewrites_its_expired_entry() -> None:
    """Guards against a VM that other VMs can no longer find."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.expire_all_leases()
        assert fleet.store.keys("mangosaddle/vms/") == []
        value = await asyncio.wait_for(fleet.store.wait_for("mangosaddle/vms/vm-1"), 10)
        assert json.loads(value)["vm"] == "vm-1"

    run_on_default_fleet(_scenario)


def test_a_late_write_of_a_previous_process_does_not_hide_the_vm() -> None:
    """Guards against a restarted VM whose entry vanishes with the lease of its last process."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        vm = await fleet.add_vm("vm-1")
        other = await fleet.add_vm("vm-2")
        await fleet.wait_until_ready()
        key = "mangosaddle/vms/vm-1"
        own = fleet.store.value(key)
        assert own is not None
        client = PlatformStore(fleet.store_address)
        lease = await client.create_lease(8.0)
        previous = json.loads(own) | {"incarnation": "former", "leaving": True}
        late_revision = await client.write([Put(key, json.dumps(previous).encode(), lease)])
        await wait_until(lambda: fleet.store.revision_of(key) > late_revision)
        assert fleet.store.value(key) == own
        await client.revoke_lease(lease)
        client.close()
        assert fleet.store.value(key) == own
        await wait_until(lambda: vm.settings.vm in {live.vm for live in other.fleet.live()})

    run_on_empty_fleet(_scenario)


def test_a_vm_cut_off_from_the_store_stays_live_while_it_serves() -> None:
    """Guards against directing callers away from VMs that serve but cannot renew their leases."""

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        vm = await fleet.add_vm("vm-1")
        cut_off = (await fleet.add_vm("vm-2", "west-a", await fleet.store.start())).settings.vm
        await fleet.wait_until_ready()

        def _is_live() -> bool:
            return cut_off in {live.vm for live in vm.fleet.live()}

        await wait_until(lambda: cut_off in vm.watch_policy._watcher_reported_at_by_vm)
        assert _is_live()
        await fleet.store.set_fault(StoreFault.RESET, port_index=1)
        revision_before_expiry = fleet.store.revision
        await fleet.store.expire_all_leases()
        # Changes arrive in order, so the rewritten entry of vm-1 follows the two removals.
        await wait_until(
            lambda: (
                vm._vm_entry_listener.revisions_by_vm.get(vm.settings.vm, 0)
                > revision_before_expiry + 2
            )
        )
        assert f"mangosaddle/vms/{cut_off}" not in fleet.store.keys("mangosaddle/")
        assert _is_live()
        await fleet.kill_vm(cut_off)
        async with asyncio.timeout(vm.settings.bounds.contact_s):
            await wait_until(lambda: not _is_live())
        await wait_until(lambda: cut_off not in vm.fleet.all_vms())

    run_on_empty_fleet(_scenario)
