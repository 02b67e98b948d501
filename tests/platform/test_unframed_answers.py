"""Answers without a length, which end with their connection, beside runners that go dark."""

import pytest

from platform_standins import (
    Behaviour,
    Fleet,
    ReceivedRequest,
    RunnerStandIn,
    run_on_empty_fleet,
    start_vm_with,
)

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 5))


async def _start(fleet: Fleet, service: str, *, is_forwarded: bool, body: bytes) -> None:
    """Start a VM and two runners, of which the first one that gets a request goes dark."""
    runners = [RunnerStandIn(f"{service}-{n}", service, "east-a", body=body) for n in (1, 2)]

    def _behave(seen: ReceivedRequest) -> Behaviour:
        if any(runner.silent_health_checks for runner in runners):
            return Behaviour.NO_LENGTH if service == "desk" else Behaviour.STREAM
        fleet.runners[seen.headers["expect-instance"]].silent_health_checks = True
        return Behaviour.NO_LENGTH_HELD if service == "desk" else Behaviour.HOLD_STREAM

    for runner in runners:
        runner.behaviour = _behave
        runner.unframed_streams = True
    await start_vm_with(fleet, runners, is_forwarded=is_forwarded)


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize("size", [2, 37_000, 400_000])
def test_half_an_answer_of_a_runner_that_goes_dark_is_not_passed_on(
    size: int, is_forwarded: bool
) -> None:
    """Guards against half an answer that looks whole, once its runner is given up."""

    async def _scenario(fleet: Fleet) -> None:
        body = bytes(number % 251 for number in range(size))
        await _start(fleet, "desk", is_forwarded=is_forwarded, body=body)
        answer = await fleet.call(fleet.vms["vm-1"], "/read/x", deadline_milliseconds="8000")
        assert (answer.status, answer.body) == (200, body)
        assert sum(runner.runs_by_request_id.total() for runner in fleet.runners.values()) == 2

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize("cut_after", [1, 3])
def test_a_stream_of_a_runner_that_goes_dark_after_an_event_is_resumed(
    cut_after: int, is_forwarded: bool
) -> None:
    """Guards against the first events of a stream that look like all of them."""

    async def _scenario(fleet: Fleet) -> None:
        await _start(fleet, "engine", is_forwarded=is_forwarded, body=b"")
        for runner in fleet.runners.values():
            runner.cut_after = cut_after
        answer = await fleet.call(
            fleet.vms["vm-1"],
            "/review/x",
            method="POST",
            body=b"p",
            token_counts="100,28",
            deadline_milliseconds="8000",
        )
        assert (answer.status, answer.body) == (200, EVENTS)

    run_on_empty_fleet(_scenario)
