"""Contract between VMs: requests that are forwarded to another region."""

import asyncio

import pytest

from mangosaddle.http11 import HttpError
from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_empty_fleet,
    wait_until,
)


async def _start_two_regions(fleet: Fleet) -> None:
    await fleet.store.put("op/config", default_configuration())
    await fleet.add_runner(RunnerStandIn("desk-west", "desk", "west-a"))
    await fleet.add_runner(RunnerStandIn("engine-west", "engine", "west-a"))
    await fleet.add_vm("vm-east", "east-a")
    await fleet.add_vm("vm-west", "west-a")
    await fleet.wait_until_ready()
    east = fleet.vms["vm-east"]
    await fleet.wait_for_endpoints(east, "desk-west", "engine-west")
    # Requests are forwarded to a region only after it has reported its waiting time.
    await wait_until(
        lambda: all(
            east.regions.find(service, "west", asyncio.get_running_loop().time())  # type: ignore[arg-type]
            for service in ("desk", "engine")
        )
    )


@pytest.mark.parametrize(
    ("behaviour", "path", "status"),
    [
        (Behaviour.OK, "/west/x", 200),
        (Behaviour.OK, "/order/x", 200),
        (Behaviour.FAIL, "/order/x", 500),
        (Behaviour.REJECT, "/order/x", 503),
        (Behaviour.RESET, "/order/x", 502),
        (Behaviour.RESET, "/read/x", 502),
    ],
)
def test_a_forwarded_request_returns_the_outcome_of_its_run(
    behaviour: Behaviour, path: str, status: int
) -> None:
    """Guards against wrong refusals, and against responses that change while forwarded."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_two_regions(fleet)
        runner = fleet.runners["desk-west"]
        runner.behaviour = behaviour
        answer = await fleet.call(fleet.vms["vm-east"], path, method="POST", body=b"b" * 40_000)
        assert answer.status == status
        assert sum(runner.runs_by_request_id.values()) == (0 if status == 503 else 1)
        if status == 200:
            assert answer.body == b"the whole answer"
            assert answer.header("Response-Stamp")
            (seen,) = runner.received_requests
            assert seen.body == b"b" * 40_000
            assert seen.headers["tenant"] == "acme"
            assert "api-key" not in seen.headers

    run_on_empty_fleet(_scenario)


def test_a_forwarded_stream_is_complete_and_is_cancelled_with_its_caller() -> None:
    """Guards against events lost on the link, and against work for callers that are gone."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_two_regions(fleet)
        runner, vm = fleet.runners["engine-west"], fleet.vms["vm-east"]
        runner.behaviour = Behaviour.STREAM
        answer = await fleet.call(vm, "/chat/x", method="POST", body=b"p", token_counts="10,28")
        assert answer.body.count(b"data:") == 4
        runner.behaviour = Behaviour.HOLD_STREAM
        with pytest.raises(HttpError):
            await fleet.call(
                vm, "/chat/x", method="POST", body=b"p", token_counts="10,28", timeout_s=0.4
            )
        await wait_until(lambda: runner.cancelled_requests == 1)

    run_on_empty_fleet(_scenario)


async def _break_stream_off_in_east(fleet: Fleet) -> None:
    await _start_two_regions(fleet)
    await fleet.add_runner(RunnerStandIn("engine-east", "engine", "east-a"))
    await fleet.wait_for_endpoints(fleet.vms["vm-east"], "engine-east")
    fleet.runners["engine-east"].behaviour = Behaviour.CUT_STREAM


def test_a_stream_resumes_in_another_region_after_its_last_event() -> None:
    """Guards against a whole new run whose events are joined to those of the first one."""

    async def _scenario(fleet: Fleet) -> None:
        await _break_stream_off_in_east(fleet)
        west = fleet.runners["engine-west"]
        west.behaviour = Behaviour.STREAM
        east = fleet.vms["vm-east"]
        answer = await fleet.call(east, "/review/x", method="POST", token_counts="100,28")
        assert answer.body.count(b"data:") == 4
        assert [seen.headers.get("last-event-id") for seen in west.received_requests] == ["2"]

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("behaviour", [Behaviour.FAIL, Behaviour.REJECT, Behaviour.OK])
def test_an_answer_of_another_region_that_continues_no_stream_breaks_the_stream_off(
    behaviour: Behaviour, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against another answer in the middle of a stream, and against a false end."""

    async def _scenario(fleet: Fleet) -> None:
        await _break_stream_off_in_east(fleet)
        fleet.runners["engine-west"].behaviour = behaviour
        received = await fleet.call_until_broken(
            fleet.vms["vm-east"], "/review/x", b"p", token_counts="100,28"
        )
        assert received == b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in (1, 2))
        assert fleet.runners["engine-west"].received_requests
        assert "request handler failed" not in caplog.messages

    run_on_empty_fleet(_scenario)


def test_forwarded_attempts_count_towards_the_limit_of_the_route() -> None:
    """Guards against a request that is attempted more often than its route allows."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_two_regions(fleet)
        await fleet.add_runner(RunnerStandIn("desk-west-2", "desk", "west-a"))
        await fleet.add_runner(RunnerStandIn("desk-east", "desk", "east-a"))
        for vm in fleet.vms.values():
            await fleet.wait_for_endpoints(vm, "desk-west-2", "desk-east")
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.FAIL
        answer = await fleet.call(fleet.vms["vm-east"], "/read/x")
        assert answer.status == 500
        assert (
            sum(sum(runner.runs_by_request_id.values()) for runner in fleet.runners.values()) == 2
        )

    run_on_empty_fleet(_scenario)


def test_a_request_that_crashes_runners_is_refused_by_all_vms() -> None:
    """Guards against one request that crashes the runners of region after region."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_two_regions(fleet)
        for number in (1, 2):
            await fleet.add_runner(RunnerStandIn(f"desk-east-{number}", "desk", "east-a"))
        east, west = fleet.vms["vm-east"], fleet.vms["vm-west"]
        await fleet.wait_for_endpoints(east, "desk-east-1", "desk-east-2")
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.CRASH
        assert (await fleet.call(east, "/read/x", method="POST", body=b"deadly")).status == 502
        await wait_until(lambda: west.quarantine.active_reports(0.0))
        assert (await fleet.call(west, "/read/x", method="POST", body=b"deadly")).status == 503
        assert sum(fleet.runners["desk-west"].runs_by_request_id.values()) == 0

    run_on_empty_fleet(_scenario)


def test_crashes_that_different_vms_have_seen_add_up() -> None:
    """Guards against a crashing request that gets the full number of crashes from each VM."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_two_regions(fleet)
        await fleet.add_runner(RunnerStandIn("desk-east", "desk", "east-a"))
        vms = (fleet.vms["vm-east"], fleet.vms["vm-west"])
        await fleet.wait_for_endpoints(vms[0], "desk-east")
        for vm, desk in zip(vms, ("desk-east", "desk-west"), strict=True):
            fleet.runners[desk].behaviour = Behaviour.CRASH
            assert (await fleet.call(vm, "/order/x", method="POST", body=b"deadly")).status == 502
            await wait_until(lambda vm=vm: vm.quarantine.active_reports(0.0))
        await fleet.add_runner(RunnerStandIn("desk-new", "desk", "east-a"))
        await fleet.wait_for_endpoints(vms[0], "desk-new")
        await asyncio.sleep(0.5)
        for vm in vms:
            assert (await fleet.call(vm, "/order/x", method="POST", body=b"deadly")).status == 503
        assert not fleet.runners["desk-new"].runs_by_request_id

    run_on_empty_fleet(_scenario)


def test_a_request_whose_link_breaks_is_not_reported_as_not_run() -> None:
    """Guards against reporting "not run" for a request that runs in a disconnected region."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_two_regions(fleet)
        runner = fleet.runners["desk-west"]
        runner.behaviour = Behaviour.SILENT
        call = asyncio.create_task(
            fleet.call(fleet.vms["vm-east"], "/order/x", method="POST", body=b"one")
        )
        await runner.request_started.wait()
        node = fleet.vms["vm-west"].fleet.node
        assert node is not None
        await node.stop()
        assert (await call).status == 502

    run_on_empty_fleet(_scenario)


async def _start_region_of_two_vms(fleet: Fleet, behaviour: Behaviour) -> RunnerStandIn:
    """Start a second VM in the region of the runners, and return the engine there."""
    await _start_two_regions(fleet)
    await fleet.add_vm("vm-west-2", "west-a")
    await fleet.wait_until_ready()
    for runner in fleet.runners.values():
        runner.behaviour = behaviour
    return fleet.runners["engine-west"]


async def _kill_forwarded_to_vm(fleet: Fleet) -> None:
    """Kill the VM that runs the forwarded request."""
    for name in ("vm-west", "vm-west-2"):
        node = fleet.vms[name].fleet.node
        if node is not None and node.running_forward_count:
            await fleet.kill_vm(name)
            return
    pytest.fail("no VM runs a forwarded request")


def test_a_forwarded_stream_goes_on_at_another_vm_when_its_vm_is_lost() -> None:
    """Guards against cutting a stream that may be resumed because the VM that ran it has ended."""

    async def _scenario(fleet: Fleet) -> None:
        engine = await _start_region_of_two_vms(fleet, Behaviour.HOLD_STREAM)
        call = asyncio.create_task(
            fleet.call(
                fleet.vms["vm-east"], "/review/x", method="POST", body=b"p", token_counts="10,28"
            )
        )
        await engine.request_started.wait()
        engine.behaviour = Behaviour.STREAM
        await _kill_forwarded_to_vm(fleet)
        assert (await call).body.count(b"data:") == 4

    run_on_empty_fleet(_scenario)


def test_a_forwarded_idempotent_request_is_repeated_when_its_vm_is_lost() -> None:
    """Guards against a failure although another VM can run the request."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_region_of_two_vms(fleet, Behaviour.SILENT)
        desk = fleet.runners["desk-west"]
        call = asyncio.create_task(fleet.call(fleet.vms["vm-east"], "/read/x"))
        await desk.request_started.wait()
        desk.behaviour = Behaviour.OK
        await _kill_forwarded_to_vm(fleet)
        assert (await call).status == 200
        assert desk.runs_by_request_id.total() == 2

    run_on_empty_fleet(_scenario)


def test_a_forwarded_request_that_must_run_once_is_not_repeated_when_its_vm_is_lost() -> None:
    """Guards against a second run of a request that may have run."""

    async def _scenario(fleet: Fleet) -> None:
        await _start_region_of_two_vms(fleet, Behaviour.SILENT)
        desk = fleet.runners["desk-west"]
        call = asyncio.create_task(
            fleet.call(fleet.vms["vm-east"], "/order/x", method="POST", body=b"one")
        )
        await desk.request_started.wait()
        desk.behaviour = Behaviour.OK
        await _kill_forwarded_to_vm(fleet)
        assert (await call).status == 502
        assert desk.runs_by_request_id.total() == 1

    run_on_empty_fleet(_scenario)
