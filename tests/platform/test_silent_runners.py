"""Runners that fall silent for a while and go on."""

import asyncio

import pytest

from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_empty_fleet,
)

PAUSE_S = 1.4
"""Longer than the second for which a sound runner may be silent."""
SHORT_SILENCE_S = 1.8
"""Longer than the time after which the event of a stream is overdue."""
LONG_SILENCE_S = 2.8
"""Longer than the time after which a health check of a silent runner has failed."""


async def _start(fleet: Fleet, *names: str, may_retry: bool = True) -> list[RunnerStandIn]:
    """Start a VM and runners; the part of a name before the hyphen is the service."""
    await fleet.store.put("op/config", default_configuration())
    runners = [RunnerStandIn(name, name.partition("-")[0], "east-a") for name in names]
    for runner in runners:
        await fleet.add_runner(runner)
    ratio, extra = (0.2, 52.0) if may_retry else (0.0, 0.0)
    vm = await fleet.add_vm("vm-1", retry_ratio=ratio, extra_retries=extra)
    await fleet.wait_until_ready()
    await fleet.wait_for_endpoints(vm, *names)
    return runners


async def _be_silent(runner: RunnerStandIn, silence_s: float) -> None:
    """Let a runner go on some seconds after its first request, health checks too."""
    runner.silent_health_checks = True
    await runner.request_started.wait()
    await asyncio.sleep(silence_s)
    runner.release.set()


async def _call_review(fleet: Fleet) -> bytes:
    answer = await fleet.call(
        fleet.vms["vm-1"], "/review/x", method="POST", body=b"p", token_counts="100,28"
    )
    return answer.body


@pytest.mark.parametrize("silence_s", [SHORT_SILENCE_S, LONG_SILENCE_S])
def test_a_begun_stream_is_not_cut_while_no_other_runner_can_go_on(silence_s: float) -> None:
    """Guards against giving up a stream for a silence when nothing can replace its runner."""

    async def _scenario(fleet: Fleet) -> None:
        (engine,) = await _start(fleet, "engine-1")
        engine.behaviour = Behaviour.HOLD_STREAM
        body, _ = await asyncio.gather(_call_review(fleet), _be_silent(engine, silence_s))
        assert body.count(b"data:") == 4
        assert engine.runs_by_request_id.total() == 1

    run_on_empty_fleet(_scenario)


def test_a_begun_stream_is_not_cut_while_the_retry_budget_is_used_up() -> None:
    """Guards against giving up a stream for a silence without the budget to resume it."""

    async def _scenario(fleet: Fleet) -> None:
        engines = await _start(fleet, "engine-1", "engine-2", may_retry=False)
        for engine in engines:
            engine.behaviour = Behaviour.HOLD_STREAM
        call = asyncio.create_task(_call_review(fleet))
        started = [asyncio.create_task(row.request_started.wait()) for row in engines]
        await asyncio.wait(started, return_when=asyncio.FIRST_COMPLETED)
        await asyncio.sleep(SHORT_SILENCE_S)
        for engine in engines:
            engine.release.set()
        assert (await call).count(b"data:") == 4
        assert sum(row.runs_by_request_id.total() for row in engines) == 1

    run_on_empty_fleet(_scenario)


def test_an_idempotent_request_is_not_failed_while_no_other_runner_can_serve_it() -> None:
    """Guards against a failure in place of the answer of a runner that was silent for a while."""

    async def _scenario(fleet: Fleet) -> None:
        (desk,) = await _start(fleet, "desk-1")
        desk.behaviour = Behaviour.SLOW
        answer, _ = await asyncio.gather(
            fleet.call(fleet.vms["vm-1"], "/read/x"), _be_silent(desk, LONG_SILENCE_S)
        )
        assert answer.status == 200
        assert desk.runs_by_request_id.total() == 1

    run_on_empty_fleet(_scenario)


def test_an_idempotent_request_is_failed_early_once_its_runner_has_ended() -> None:
    """Guards against waiting until the deadline for a process that no longer exists."""

    async def _scenario(fleet: Fleet) -> None:
        (desk,) = await _start(fleet, "desk-1")
        desk.behaviour = Behaviour.SILENT
        call = asyncio.create_task(
            fleet.call(fleet.vms["vm-1"], "/read/x", timeout_s=LONG_SILENCE_S)
        )
        await desk.request_started.wait()
        assert desk._server is not None
        desk._server.close()
        assert (await call).status == 502

    run_on_empty_fleet(_scenario)


def test_a_begun_stream_moves_to_another_runner_when_one_can_go_on() -> None:
    """Guards against waiting for a silent runner although another one can replace it."""

    async def _scenario(fleet: Fleet) -> None:
        engines = await _start(fleet, "engine-1", "engine-2")
        for engine in engines:
            engine.behaviour = lambda seen: (
                Behaviour.STREAM if "last-event-id" in seen.headers else Behaviour.HOLD_STREAM
            )
        body = await _call_review(fleet)
        assert body.count(b"data:") == 4
        assert sum(row.runs_by_request_id.total() for row in engines) == 2

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize(
    ("behaviour", "status"), [(Behaviour.PAUSED_HEAD, 200), (Behaviour.PAUSED_FAILURE, 500)]
)
def test_a_pause_within_an_answer_does_not_replace_it_by_a_failure(
    behaviour: Behaviour, status: int
) -> None:
    """Guards against taking a runner that is silent for a while for one that never ends."""

    async def _scenario(fleet: Fleet) -> None:
        (desk,) = await _start(fleet, "desk-1")
        desk.behaviour = behaviour
        call = fleet.call(fleet.vms["vm-1"], "/order/x", method="POST", body=b"one")
        answer, _ = await asyncio.gather(call, _be_silent(desk, PAUSE_S))
        assert answer.status == status
        assert answer.header("Response-Stamp")

    run_on_empty_fleet(_scenario)


def test_a_stream_stays_at_a_runner_that_only_fails_its_health_check() -> None:
    """Guards against moving streams that go on, as their runner has no connection left."""

    async def _scenario(fleet: Fleet) -> None:
        engines = await _start(fleet, "engine-1", "engine-2")
        for engine in engines:
            engine.behaviour = Behaviour.STREAM
            engine.event_count, engine.event_interval_s = 10, 0.2
            engine.silent_health_checks = True
        call = asyncio.create_task(_call_review(fleet))
        await asyncio.sleep(0.5)
        (running,) = [row for row in engines if row.runs_by_request_id]
        for view in fleet.vms["vm-1"].endpoints.views():
            if view.id == running.id:
                view.health.mark_unreachable(asyncio.get_running_loop().time())
        assert (await call).count(b"data:") == 10
        assert running.health_checks > 0
        assert sum(row.runs_by_request_id.total() for row in engines) == 1

    run_on_empty_fleet(_scenario)
