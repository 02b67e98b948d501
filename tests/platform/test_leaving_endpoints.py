"""Endpoints that say in their answers that they are leaving."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import cache

import pytest

from mangosaddle._identifiers import EndpointId
from mangosaddle.entry import EntryProcess
from platform_standins import (
    Behaviour,
    Call,
    Fleet,
    RunnerStandIn,
    Traffic,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
)

LEARNING_S = 1.0
"""Time after which all VMs of the region know that an endpoint is leaving."""
OBSERVED_S = 5.0
"""Longer than the time for which a draining endpoint may still get requests."""
REQUESTS_PER_S = 20.0
VM_COUNT = 3
CALLS = 8
"""Calls after which an endpoint that is in use has had one."""


async def _start(fleet: Fleet, service: str = "desk", behaviour: Behaviour = Behaviour.OK) -> None:
    await fleet.store.put("op/config", default_configuration())
    for name in ("leaving", "staying"):
        runner = await fleet.add_runner(RunnerStandIn(name, service, "east-a"))
        runner.behaviour = behaviour
    for number in range(VM_COUNT):
        await fleet.add_vm(f"vm-{number}", "east-a")
    await fleet.wait_until_ready()
    for vm in fleet.vms.values():
        await fleet.wait_for_endpoints(vm, "leaving", "staying")


async def _call_until_sent(fleet: Fleet, vm: EntryProcess, runner: RunnerStandIn) -> None:
    """Call a VM until it has sent a request to the runner."""
    known = len(runner.arrivals)
    async with asyncio.timeout(5.0):
        while len(runner.arrivals) == known:
            await fleet.call(vm, "/read/1")


async def _count_arrivals(fleet: Fleet, vms: list[EntryProcess], runner: RunnerStandIn) -> int:
    """Return the number of requests that reach the runner when all VMs are called."""
    known = len(runner.arrivals)
    for vm in vms:
        for _ in range(CALLS):
            answer = await fleet.call(vm, "/read/1")
            assert answer.status == 200
    return len(runner.arrivals) - known


CASES = pytest.mark.parametrize(
    ("service", "prefix", "behaviour", "last_behaviour"),
    [
        ("engine", "/chat/", Behaviour.STREAM, Behaviour.STREAM),
        ("desk", "/read/", Behaviour.OK, Behaviour.OK),
        ("desk", "/read/", Behaviour.OK, Behaviour.FAIL),
        ("desk", "/read/", Behaviour.OK, Behaviour.REJECT),
    ],
)


@cache
def _observe_leaving(
    service: str, prefix: str, behaviour: Behaviour, last_behaviour: Behaviour
) -> tuple[int, list[Call]]:
    """Return the late arrivals at a leaving endpoint, and the calls that were not served."""
    observed: list[tuple[int, list[Call]]] = []

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, service, behaviour)
        leaving = fleet.runners["leaving"]
        traffic = Traffic(fleet, {prefix: 1.0}, REQUESTS_PER_S)
        traffic.start()
        await wait_until(lambda: leaving.arrivals)
        leaving.is_leaving = True
        leaving.behaviour = last_behaviour
        await asyncio.sleep(LEARNING_S)
        known_from = len(leaving.arrivals)
        await asyncio.sleep(OBSERVED_S)
        await traffic.stop()
        not_served = [call for call in traffic.calls if call.status != 200]
        observed.append((len(leaving.arrivals) - known_from, not_served))

    run_on_empty_fleet(_scenario)
    return observed[0]


@CASES
def test_a_leaving_endpoint_gets_no_more_requests(
    service: str, prefix: str, behaviour: Behaviour, last_behaviour: Behaviour
) -> None:
    """Guards against requests to an endpoint that has said in an answer that it is leaving."""
    assert _observe_leaving(service, prefix, behaviour, last_behaviour)[0] == 0


@CASES
def test_callers_of_a_leaving_endpoint_are_served(
    service: str, prefix: str, behaviour: Behaviour, last_behaviour: Behaviour
) -> None:
    """Guards against calls that are lost as one of two endpoints leaves."""
    assert _observe_leaving(service, prefix, behaviour, last_behaviour)[1] == []


def test_vms_learn_over_the_links_that_an_endpoint_is_leaving() -> None:
    """Guards against VMs that each send a request to find out, also one that starts later."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        leaving = fleet.runners["leaving"]
        leaving.is_leaving = True
        await _call_until_sent(fleet, fleet.vms["vm-0"], leaving)
        await asyncio.sleep(LEARNING_S)
        assert await _count_arrivals(fleet, list(fleet.vms.values()), leaving) == 0
        late = await fleet.add_vm("vm-late", "east-a")
        await fleet.wait_until_ready()
        await fleet.wait_for_endpoints(late, "leaving", "staying")
        await asyncio.sleep(2 * LEARNING_S)
        assert await _count_arrivals(fleet, [late], leaving) == 0

    run_on_empty_fleet(_scenario)


async def _write_again(fleet: Fleet, leaving: RunnerStandIn) -> None:
    await fleet.store.put(leaving.key, leaving.entry(seq=2))


async def _lapse_and_return(fleet: Fleet, leaving: RunnerStandIn) -> None:
    await fleet.store.remove(leaving.key)
    await wait_until(
        lambda: all(
            vm.endpoints.registry.find(EndpointId("leaving")) is None for vm in fleet.vms.values()
        )
    )
    await fleet.store.put(leaving.key, leaving.entry())


async def _move(fleet: Fleet, leaving: RunnerStandIn) -> None:
    await leaving.stop()
    await leaving.start()
    await fleet.store.put(leaving.key, leaving.entry())


async def _read_all_again(fleet: Fleet, leaving: RunnerStandIn) -> None:
    del leaving
    await fleet.store.drop_history()


@pytest.mark.parametrize("change", [_write_again, _lapse_and_return, _move, _read_all_again])
def test_a_registration_that_is_read_again_does_not_end_leaving(
    change: Callable[[Fleet, RunnerStandIn], Awaitable[None]],
) -> None:
    """Guards against a leaving endpoint that a VM forgets when the store names it again."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        leaving = fleet.runners["leaving"]
        leaving.is_leaving = True
        await _call_until_sent(fleet, fleet.vms["vm-0"], leaving)
        await asyncio.sleep(LEARNING_S)
        leaving.is_leaving = False
        await change(fleet, leaving)
        for vm in fleet.vms.values():
            await fleet.wait_for_endpoints(vm, "leaving", "staying")
        await asyncio.sleep(LEARNING_S)
        assert await _count_arrivals(fleet, list(fleet.vms.values()), leaving) == 0

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("new_id", ["leaving", "successor"])
def test_a_new_instance_at_the_same_address_is_not_leaving(new_id: str) -> None:
    """Guards against an endpoint that is avoided for what another instance has said."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        leaving = fleet.runners["leaving"]
        leaving.is_leaving = True
        await _call_until_sent(fleet, fleet.vms["vm-0"], leaving)
        await asyncio.sleep(LEARNING_S)
        port = leaving.port
        await fleet.store.remove(leaving.key)
        await leaving.stop()
        successor = RunnerStandIn(new_id, "desk", "east-a")
        await successor.start(port)
        fleet.runners["successor"] = successor
        await fleet.store.put(successor.key, successor.entry(born=1_700_000_005_000))
        for vm in fleet.vms.values():
            await fleet.wait_for_endpoints(vm, new_id, "staying")
            await _call_until_sent(fleet, vm, successor)

    run_on_empty_fleet(_scenario)


def test_a_health_check_tells_that_an_endpoint_is_leaving() -> None:
    """Guards against work for an endpoint whose answer to a health check says that it leaves."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet)
        leaving = fleet.runners["leaving"]
        await leaving.stop()
        await wait_until(lambda: not leaving.is_listening)
        vms = list(fleet.vms.values())
        for vm in vms:
            await _count_arrivals(fleet, [vm], leaving)
        leaving.is_leaving = True
        await leaving.start(leaving.port)
        await wait_until(lambda: leaving.health_checks)
        await asyncio.sleep(LEARNING_S)
        assert await _count_arrivals(fleet, vms, leaving) == 0

    run_on_empty_fleet(_scenario)


def test_an_answer_of_a_leaving_endpoint_is_finished() -> None:
    """Guards against a stream that is cut because its endpoint says that it is leaving."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, "engine", Behaviour.HOLD_STREAM)
        for runner in fleet.runners.values():
            runner.is_leaving = True
        vm = fleet.vms["vm-0"]
        call = asyncio.create_task(fleet.call(vm, "/chat/1", method="POST", body=b"question"))
        # Longer than the silence after which an engine gets a health check.
        await asyncio.sleep(2.5)
        for runner in fleet.runners.values():
            runner.release.set()
        answer = await call
        assert answer.status == 200
        assert answer.body.endswith(b"data: piece 4\n\n")

    run_on_empty_fleet(_scenario)
