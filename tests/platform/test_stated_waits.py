"""Endpoints that ask a VM to wait when they turn a request away."""

import asyncio
import contextlib
from functools import cache

import pytest

from mangosaddle._identifiers import RegionName, ServiceName
from mangosaddle.http11 import HttpError
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

WAIT_S = 2.5
SHORT_WAIT_S = 1.1
"""A wait that callers honour: less than a third of the time that they have."""
REQUESTS_PER_S = 40.0
VM_COUNT = 3
IN_FLIGHT = 3
"""Requests that may be under way when the first of them is turned away."""
DOUBLING_S = 0.25
"""Time after a wait in which the number of requests that a VM may send doubles, from one request. A
count that is compared with it by the time of each arrival does not depend on pauses of the test."""
RAMP_S = 1.0
"""Time after the first request in which the number of requests is checked."""
RESUMED_S = 6.0
"""Time in which an endpoint gets work again after its wait."""


async def _start(
    fleet: Fleet,
    service: str = "desk",
    behaviour: Behaviour = Behaviour.OK,
    names: tuple[str, ...] = ("busy", "free"),
    vm_zones: tuple[str, ...] = ("east-a",) * VM_COUNT,
) -> None:
    await fleet.store.put("op/config", default_configuration())
    for name in names:
        runner = await fleet.add_runner(RunnerStandIn(name, service, "east-a"))
        runner.behaviour = behaviour
    for number, zone in enumerate(vm_zones):
        await fleet.add_vm(f"vm-{number}", zone)
    await fleet.wait_until_ready()
    for vm in fleet.vms.values():
        await fleet.wait_for_endpoints(vm, *names)


def _turn_away(runner: RunnerStandIn, wait: str = str(WAIT_S)) -> None:
    runner.behaviour = Behaviour.REJECT
    runner.retry_after = wait


CASES = pytest.mark.parametrize(
    ("service", "prefix", "behaviour"),
    [
        ("engine", "/chat/", Behaviour.STREAM),
        ("desk", "/read/", Behaviour.OK),
        ("desk", "/order/", Behaviour.OK),
    ],
)


@cache
def _observe_wait(service: str, prefix: str, behaviour: Behaviour) -> tuple[int, int, list[Call]]:
    """Return the requests in a wait and after it, and the calls that were not served."""
    observed: list[tuple[int, int, list[Call]]] = []

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, service, behaviour)
        busy = fleet.runners["busy"]
        traffic = Traffic(fleet, {prefix: 1.0}, REQUESTS_PER_S)
        traffic.start()
        await wait_until(lambda: len(busy.arrivals) > 2)
        _turn_away(busy)
        await wait_until(lambda: busy.rejected_at_s)
        await asyncio.sleep(0.9 * WAIT_S)
        busy.behaviour = behaviour
        in_wait = len(busy.rejected_at_s)
        known = len(busy.arrivals)
        await asyncio.sleep(RESUMED_S)
        await traffic.stop()
        not_served = [call for call in traffic.calls if call.status != 200]
        observed.append((in_wait, len(busy.arrivals) - known, not_served))

    run_on_empty_fleet(_scenario)
    return observed[0]


@CASES
def test_an_endpoint_gets_nothing_while_it_has_asked_to_wait(
    service: str, prefix: str, behaviour: Behaviour
) -> None:
    """Guards against requests to an endpoint that has turned one away for some seconds."""
    in_wait, after_wait, _ = _observe_wait(service, prefix, behaviour)
    assert in_wait <= VM_COUNT + IN_FLIGHT
    assert after_wait > REQUESTS_PER_S


@CASES
def test_callers_are_served_while_one_endpoint_asks_to_wait(
    service: str, prefix: str, behaviour: Behaviour
) -> None:
    """Guards against calls that are lost as one of two endpoints wants nothing."""
    assert _observe_wait(service, prefix, behaviour)[2] == []


def test_no_flood_follows_the_end_of_a_wait() -> None:
    """Guards against VMs that all send at once what they have held back."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, names=("busy",))
        busy = fleet.runners["busy"]
        _turn_away(busy)
        traffic = Traffic(fleet, {"/read/": 1.0}, 3 * REQUESTS_PER_S)
        traffic.start()
        await wait_until(lambda: len(busy.rejected_at_s) >= VM_COUNT)
        busy.behaviour = Behaviour.OK
        ends_at_s = min(busy.rejected_at_s) + WAIT_S

        def _returned_at_s() -> list[float]:
            # Requests that were under way when the endpoint asked for the wait come before its end.
            arrived_at_s = [arrival.started_at_s for arrival in busy.arrivals]
            return [at_s for at_s in arrived_at_s if at_s >= ends_at_s]

        await wait_until(_returned_at_s)
        await asyncio.sleep(RAMP_S)
        for count, at_s in enumerate(_returned_at_s(), 1):
            assert count <= VM_COUNT * 2.0 ** ((at_s - ends_at_s) / DOUBLING_S)
        await asyncio.sleep(RESUMED_S)
        resumed, ended_calls = len(busy.arrivals), len(traffic.calls)
        await asyncio.sleep(1.0)
        await traffic.stop()
        # In proportion to the calls, since a slow machine sends fewer of them in a second.
        assert len(busy.arrivals) - resumed > 2 / 3 * (len(traffic.calls) - ended_calls) > 0

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("vm_zone", ["east-a", "west-a"])
def test_callers_are_refused_at_once_when_all_endpoints_ask_to_wait(vm_zone: str) -> None:
    """Guards against held callers, and against a wait that is not that of the endpoints."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, vm_zones=("east-a", vm_zone))
        clock = asyncio.get_running_loop().time
        east, vm = fleet.vms.values()
        told = vm if vm_zone == "east-a" else east
        if vm is not told:
            service = ServiceName("desk")
            await wait_until(lambda: vm.regions.find(service, RegionName("east"), clock()))
        for runner, wait in zip(fleet.runners.values(), ("8", str(SHORT_WAIT_S)), strict=True):
            _turn_away(runner, wait)
        while not all(runner.rejected_at_s for runner in fleet.runners.values()):
            await fleet.call(told, "/read/1")
        ends_s = fleet.runners["free"].rejected_at_s[0] + SHORT_WAIT_S
        arrivals = sum(len(runner.arrivals) for runner in fleet.runners.values())
        for path in ("/read/2", "/order/2"):
            sent_s = clock()
            answer = await fleet.call(vm, path, method="POST", body=b"one")
            assert answer.status == 503
            left_s = ends_s - clock()
            assert clock() - sent_s < 0.3
            assert left_s - 0.1 <= float(answer.header("Retry-After")) <= 1.25 * left_s + 0.1
        assert sum(len(runner.arrivals) for runner in fleet.runners.values()) == arrivals

    run_on_empty_fleet(_scenario)


def test_a_stream_is_not_resumed_at_an_endpoint_that_has_asked_to_wait() -> None:
    """Guards against a second attempt at an endpoint that wants nothing."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, "engine", names=("busy",), vm_zones=("east-a",))
        vm, busy = fleet.vms["vm-0"], fleet.runners["busy"]
        _turn_away(busy)
        assert (await fleet.call(vm, "/chat/1", method="POST", body=b"question")).status == 503
        free = await fleet.add_runner(RunnerStandIn("free", "engine", "east-a"))
        free.behaviour = Behaviour.CUT_STREAM
        await fleet.wait_for_endpoints(vm, "free")
        with contextlib.suppress(HttpError):
            await fleet.call(vm, "/review/1", method="POST", body=b"question")
        assert len(free.arrivals) == 1
        assert len(busy.rejected_at_s) == 1

    run_on_empty_fleet(_scenario)


def test_an_endpoint_that_has_asked_to_wait_gets_no_health_check() -> None:
    """Guards against a check of a silent endpoint that wants nothing for now."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, "engine", Behaviour.HOLD_STREAM, names=("busy",), vm_zones=("east-a",))
        vm, busy = fleet.vms["vm-0"], fleet.runners["busy"]
        call = asyncio.create_task(fleet.call(vm, "/chat/1", method="POST", body=b"question"))
        await wait_until(lambda: busy.arrivals)
        _turn_away(busy)
        assert (await fleet.call(vm, "/chat/2", method="POST", body=b"one")).status == 503
        # Longer than the silence after which an engine gets a health check.
        await asyncio.sleep(0.8 * WAIT_S)
        assert busy.health_checks == 0
        await wait_until(lambda: busy.health_checks)
        busy.release.set()
        assert (await call).status == 200

    run_on_empty_fleet(_scenario)
