"""Entries of another writer among the registrations of runners."""

import json
from collections.abc import Callable
from typing import Any

import pytest

from platform_standins import Fleet, RunnerStandIn, StoreFault, run_on_default_fleet, wait_until

HUGE_INTEGER = 10**4000
LATE_RUNNER = "desk-3"


def _changed(**changes: object) -> Callable[[RunnerStandIn], bytes]:
    return lambda runner: json.dumps(runner.entry(**changes)).encode()


def _with_extra(text: str) -> Callable[[RunnerStandIn], bytes]:
    """Return entries that end with one more field, as text that ``json.dumps`` cannot write."""
    return lambda runner: (json.dumps(runner.entry())[:-1] + f', "x": {text}}}').encode()


ODD_VALUES: dict[str, Callable[[RunnerStandIn], bytes]] = {
    "deep": _with_extra("[" * 100_000 + "]" * 100_000),
    "number_of_many_digits": _with_extra("9" * 5000),
    "port_of_many_digits": _changed(address="127.0.0.1:" + "9" * 5000),
    "port_zero": _changed(address="127.0.0.1:0"),
    "port_too_large": _changed(address="127.0.0.1:65536"),
    "host_no_ip": _changed(address="a" * 70 + ":80"),
    "host_with_nul": _changed(address="\0:80"),
    "host_surrogate": _changed(address="\ud800:80"),
    "host_unspecified": lambda runner: json.dumps(
        runner.entry(address=f"0.0.0.0:{runner.port}")
    ).encode(),
    "slots_huge": _changed(slots=HUGE_INTEGER),
    "slots_negative": _changed(slots=-1),
    "slots_bool": _changed(slots=True),
    "cold_huge": _changed(cold_remaining_ms=1e300),
    "born_huge": _changed(born=HUGE_INTEGER),
    "version_surrogate": _changed(version="\ud800"),
    "version_long": _changed(version="v" * 500_000),
    "state_unnamed": _changed(state="gone"),
    "wrong_types": _changed(service=["desk"]),
    "no_object": lambda _: b'["desk"]',
    "no_text": lambda _: b"\xff\xfe\x00",
    "empty": lambda _: b"",
}

ODD_IDS = ["", "a\r\nb: c", "中", "\ud800", "a b"]


@pytest.mark.parametrize("name", ODD_VALUES)
def test_an_odd_entry_leaves_the_other_runners_followed(name: str) -> None:
    """Guards against one entry of another writer that stops following or using the others."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        odd = RunnerStandIn("desk-0", "desk", "east-a")
        await odd.start()
        fleet.runners[odd.id] = odd
        await fleet.store.put(odd.key, ODD_VALUES[name](odd))
        late = RunnerStandIn(LATE_RUNNER, "desk", "east-a")
        await fleet.add_runner(late)
        await fleet.wait_for_endpoints(vm, LATE_RUNNER)
        restarted = await fleet.add_vm("vm-2")
        await fleet.wait_for_endpoints(restarted, "desk-1", "desk-2", LATE_RUNNER)
        for process in (vm, restarted):
            await wait_until(process.is_ready)
            assert odd.id not in process.endpoints.registry.registrations_by_id()
            for _ in range(4):
                answer = await fleet.call(process, "/order/x", method="POST", body=b"one")
                assert answer.status == 200
        assert not odd.received_requests
        await fleet.store.put(odd.key, odd.entry())
        for process in (vm, restarted):
            await fleet.wait_for_endpoints(process, odd.id)

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("id_", ODD_IDS)
def test_an_id_that_no_header_can_hold_names_no_runner(id_: str) -> None:
    """Guards against requests that fail at an endpoint whose id cannot be sent."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        good = fleet.runners["desk-1"]
        await fleet.store.put(f"servers/{id_}", good.entry())
        await fleet.add_runner(RunnerStandIn(LATE_RUNNER, "desk", "east-a"))
        await fleet.wait_for_endpoints(vm, LATE_RUNNER)
        assert id_ not in vm.endpoints.registry.registrations_by_id()
        for _ in range(6):
            answer = await fleet.call(vm, "/order/x", method="POST", body=b"one")
            assert answer.status == 200

    run_on_default_fleet(_scenario)


def test_an_odd_value_under_the_key_of_a_runner_is_corrected_by_its_next_write() -> None:
    """Guards against a runner that stays unused after another writer overwrote its entry."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        runner = fleet.runners["desk-1"]

        def _registered() -> Any:  # noqa: ANN401
            return vm.endpoints.registry.find(runner.id)  # type: ignore[arg-type]

        await fleet.store.put(runner.key, runner.entry(address="127.0.0.1:" + "9" * 5000))
        await wait_until(lambda: _registered() is None)
        assert (await fleet.call(vm, "/order/x", method="POST", body=b"one")).status == 200
        await fleet.store.put(runner.key, runner.entry(seq=2))
        await wait_until(lambda: _registered() is not None)

    run_on_default_fleet(_scenario)


def test_odd_entries_are_relayed_without_harm_to_the_links() -> None:
    """Guards against one entry that stops the relay to VMs that the store turns away."""

    async def _scenario(fleet: Fleet) -> None:
        cut_off = await fleet.add_vm("vm-2", store=await fleet.store.start())
        await fleet.wait_until_ready()
        await fleet.store.set_fault(StoreFault.RESET, port_index=1)
        await wait_until(lambda: all(follower.is_failing for follower in cut_off._followers))
        odd = fleet.runners["desk-1"]
        for number, odd_value in enumerate(ODD_VALUES.values()):
            await fleet.store.put(f"servers/odd-{number}", odd_value(odd))
        for id_ in ODD_IDS:
            await fleet.store.put(f"servers/{id_}", odd.entry())
        await fleet.add_runner(RunnerStandIn(LATE_RUNNER, "desk", "east-a"))
        await fleet.wait_for_endpoints(cut_off, LATE_RUNNER)
        endpoints = set(cut_off.endpoints.registry.registrations_by_id())
        assert endpoints == set(fleet.runners)

    run_on_default_fleet(_scenario)
