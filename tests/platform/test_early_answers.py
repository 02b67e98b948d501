"""Runners that answer a long upload before they have read it, and then reset the connection."""

import pytest

from platform_standins import Fleet, RunnerStandIn, run_on_empty_fleet, start_vm_with

UPLOAD = bytes(number % 251 for number in range(3_000_000))
ANSWER = b"the whole answer"


async def _start(fleet: Fleet, *, is_forwarded: bool) -> list[RunnerStandIn]:
    """Start a VM and two runners that reset uploads."""
    runners = [RunnerStandIn(f"desk-{n}", "desk", "east-a", body=ANSWER) for n in (1, 2)]
    for runner in runners:
        runner.resets_uploads = True
    await start_vm_with(fleet, runners, is_forwarded=is_forwarded)
    return runners


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize(("path", "runs"), [("/read/x", 2), ("/order/x", 1)])
def test_the_part_of_an_answer_that_precedes_a_reset_is_no_answer(
    path: str, runs: int, is_forwarded: bool
) -> None:
    """Guards against half an answer passed on as whole, and against a second run of an order."""

    async def _scenario(fleet: Fleet) -> None:
        runners = await _start(fleet, is_forwarded=is_forwarded)
        answer = await fleet.call(
            fleet.vms["vm-1"], path, method="POST", body=UPLOAD, deadline_milliseconds="8000"
        )
        assert answer.status == 502
        assert sum(runner.runs_by_request_id.total() for runner in runners) == runs

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_request_whose_upload_was_reset_is_repeated(is_forwarded: bool) -> None:
    """Guards against an idempotent request that fails although another runner is sound."""

    async def _scenario(fleet: Fleet) -> None:
        runners = await _start(fleet, is_forwarded=is_forwarded)
        runners[0].resets_uploads = False
        for _ in range(4):
            answer = await fleet.call(
                fleet.vms["vm-1"],
                "/read/x",
                method="POST",
                body=UPLOAD,
                deadline_milliseconds="8000",
            )
            assert (answer.status, answer.body) == (200, ANSWER)

    run_on_empty_fleet(_scenario)
