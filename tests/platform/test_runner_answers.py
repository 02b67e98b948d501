"""Contract with runners: what a caller gets for each kind of runner response."""

import asyncio

import pytest

from mangosaddle.http11 import HttpError
from platform_standins import Behaviour, Fleet, ReceivedRequest, run_on_default_fleet, wait_until

# Behaviour of all runners, status and number of runs of an idempotent request, and status of a
# non-idempotent request.
WHOLE_ANSWERS = [
    (Behaviour.OK, 200, 1, 200),
    (Behaviour.FAIL, 500, 2, 500),
    (Behaviour.REJECT, 503, 0, 503),
    (Behaviour.RESET, 502, 2, 502),
    (Behaviour.UNSIGNED, 502, 2, 502),
    (Behaviour.ENCODED, 502, 2, 502),
    (Behaviour.NO_LENGTH, 200, 1, 200),
    (Behaviour.NO_LENGTH_RESET, 502, 2, 502),
    (Behaviour.NO_STATUS, 502, 2, 502),
    (Behaviour.GARBAGE, 502, 2, 502),
    (Behaviour.EXTRA_ANSWER, 200, 1, 200),
    (Behaviour.STALE_ANSWER, 200, 1, 200),
    (Behaviour.SHORT_BODY, 502, 2, 502),
]


def _set_behaviour(fleet: Fleet, behaviour: Behaviour, *names: str) -> None:
    for runner in fleet.runners.values():
        if not names or runner.id in names:
            runner.behaviour = behaviour


def _received(fleet: Fleet) -> list[ReceivedRequest]:
    return [seen for runner in fleet.runners.values() for seen in runner.received_requests]


def _total_runs(fleet: Fleet) -> int:
    return sum(sum(runner.runs_by_request_id.values()) for runner in fleet.runners.values())


@pytest.mark.parametrize(("behaviour", "status", "runs", "_once"), WHOLE_ANSWERS)
def test_an_idempotent_request_is_retried_at_a_second_runner(
    behaviour: Behaviour, status: int, runs: int, _once: int
) -> None:
    """Guards against responses that do not come from the runner, and against too many runs."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, behaviour)
        answer = await fleet.call(fleet.vms["vm-1"], "/read/x")
        assert answer.status == status
        assert _total_runs(fleet) == runs
        if status == 200:
            assert answer.body == b"the whole answer"
            assert answer.header("Response-Stamp")

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize(("behaviour", "_status", "_runs_", "once"), WHOLE_ANSWERS)
def test_a_non_idempotent_request_is_never_retried(
    behaviour: Behaviour, _status: int, _runs_: int, once: int
) -> None:
    """Guards against a second run, and against refusing as "not run" what has run."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, behaviour)
        answer = await fleet.call(fleet.vms["vm-1"], "/order/x", method="POST", body=b"one")
        assert answer.status == once
        assert _total_runs(fleet) <= 1
        if answer.status == 503:
            assert _total_runs(fleet) == 0

    run_on_default_fleet(_scenario)


def test_a_surplus_response_is_not_delivered_to_the_next_request() -> None:
    """Guards against delivering a response that belongs to another request."""

    async def _scenario(fleet: Fleet) -> None:
        for behaviour in (Behaviour.EXTRA_ANSWER, Behaviour.STALE_ANSWER, Behaviour.OK):
            _set_behaviour(fleet, behaviour)
            for _ in range(4):
                request = fleet.request("/read/x")
                answer = await fleet.call(
                    fleet.vms["vm-1"], "/read/x", request_id=f"{behaviour}-{id(request)}"
                )
                assert (answer.status, answer.body) == (200, b"the whole answer")

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize(
    ("has_id", "copy_has_id", "status"),
    [(True, True, 200), (False, False, 200), (True, False, 502)],
)
def test_a_repeated_rejection_does_not_reject_a_request_that_runs(
    has_id: bool, copy_has_id: bool, status: int
) -> None:
    """Guards against "not run" for a request that runs, and against a second run elsewhere."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        for runner in fleet.runners.values():
            runner.rejections_have_ids = has_id
            runner.repeated_rejections_have_ids = copy_has_id
        for behaviour, expected in (
            (Behaviour.REJECT, 503),
            (Behaviour.REPEATED_REJECTION, status),
        ):
            _set_behaviour(fleet, behaviour)
            # Runners that have rejected a request are taken as full for a moment.
            await asyncio.sleep(0.3)
            answer = await fleet.call(vm, "/order/x", method="POST", body=b"one")
            assert answer.status == expected
        assert _total_runs(fleet) == 1

    run_on_default_fleet(_scenario)


def test_an_unreachable_runner_is_skipped_and_checked_again() -> None:
    """Guards against losing requests, including non-idempotent ones, at a stopped runner."""

    async def _scenario(fleet: Fleet) -> None:
        first = fleet.runners["desk-1"]
        port = first.port
        await first.stop()
        vm = fleet.vms["vm-1"]
        for _ in range(6):
            answer = await fleet.call(vm, "/order/x", method="POST", body=b"one")
            assert answer.status == 200
        assert sum(first.runs_by_request_id.values()) == 0
        await first.start(port)
        await wait_until(lambda: first.health_checks > 0)

    run_on_default_fleet(_scenario)


def test_a_reused_address_gets_no_request_for_the_former_runner() -> None:
    """Guards against running a request at a runner of another service."""

    async def _scenario(fleet: Fleet) -> None:
        other = fleet.runners["engine-1"]
        for name in ("desk-1", "desk-2"):
            runner = fleet.runners[name]
            await fleet.store.put(runner.key, runner.entry(address=f"127.0.0.1:{other.port}"))
        answer = await fleet.call(fleet.vms["vm-1"], "/order/x", method="POST", body=b"one")
        assert answer.status == 503
        assert _total_runs(fleet) == 0

    run_on_default_fleet(_scenario)


def _events(first: int, last: int) -> bytes:
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(first, last + 1))


def test_a_stream_is_delivered_completely() -> None:
    """Guards against missing or duplicate events."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, Behaviour.STREAM)
        answer = await fleet.call(
            fleet.vms["vm-1"], "/chat/x", method="POST", body=b"p", token_counts="100,28"
        )
        assert answer.body == _events(1, 4)

    run_on_default_fleet(_scenario)


def test_a_resumable_stream_resumes_at_another_runner() -> None:
    """Guards against passing the incomplete event of the first run to the caller."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(
            fleet,
            lambda seen: (
                Behaviour.STREAM if "last-event-id" in seen.headers else Behaviour.CUT_STREAM
            ),  # type: ignore[arg-type]
        )
        answer = await fleet.call(
            fleet.vms["vm-1"], "/review/x", method="POST", body=b"p", token_counts="100,28"
        )
        assert answer.body == _events(1, 4)
        assert _total_runs(fleet) == 2

    run_on_default_fleet(_scenario)


NO_CONTINUATIONS = [
    Behaviour.FAIL,
    Behaviour.REJECT,
    Behaviour.OK,
    Behaviour.NO_LENGTH,
    Behaviour.UNSIGNED,
    Behaviour.GARBAGE,
    Behaviour.RESET,
]


@pytest.mark.parametrize("behaviour", NO_CONTINUATIONS)
def test_an_answer_that_continues_no_stream_breaks_the_stream_off(behaviour: Behaviour) -> None:
    """Guards against another answer in the middle of a stream, and against a false end."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(
            fleet,
            lambda seen: behaviour if "last-event-id" in seen.headers else Behaviour.CUT_STREAM,  # type: ignore[arg-type]
        )
        received = await fleet.call_until_broken(
            fleet.vms["vm-1"], "/review/x", b"p", token_counts="100,28"
        )
        assert received == _events(1, 2)
        assert len([seen for seen in _received(fleet) if "last-event-id" in seen.headers]) == 1

    run_on_default_fleet(_scenario)


def test_a_broken_stream_without_resumption_does_not_look_complete() -> None:
    """Guards against a partial response that looks complete."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, Behaviour.CUT_STREAM)
        with pytest.raises(HttpError):
            await fleet.call(
                fleet.vms["vm-1"], "/chat/x", method="POST", body=b"p", token_counts="100,28"
            )
        assert _total_runs(fleet) == 1

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("cut_after", [0, 2])
@pytest.mark.parametrize("path", ["/chat/x", "/review/x"])
def test_a_stream_without_framing_that_ends_early_does_not_look_complete(
    path: str, cut_after: int
) -> None:
    """Guards against passing on a stream that ended inside an event, or without any, as whole."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(
            fleet,
            lambda seen: (
                Behaviour.STREAM if "last-event-id" in seen.headers else Behaviour.CUT_STREAM
            ),  # type: ignore[arg-type]
        )
        for runner in fleet.runners.values():
            runner.unframed_streams = True
            runner.cut_after = cut_after
        call = fleet.call(fleet.vms["vm-1"], path, method="POST", body=b"p", token_counts="100,28")
        if path == "/review/x" and cut_after:
            assert (await call).body == _events(1, 4)
        elif cut_after:
            with pytest.raises(HttpError):
                await call
        else:
            assert (await call).status == 502

    run_on_default_fleet(_scenario)


def test_a_whole_stream_without_framing_is_delivered() -> None:
    """Guards against refusing streams that end with their connection."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, Behaviour.STREAM)
        for runner in fleet.runners.values():
            runner.unframed_streams = True
        answer = await fleet.call(
            fleet.vms["vm-1"], "/chat/x", method="POST", body=b"p", token_counts="100,28"
        )
        assert answer.body == _events(1, 4)

    run_on_default_fleet(_scenario)


def test_a_disconnected_caller_cancels_its_request_at_the_runner() -> None:
    """Guards against runners that work for callers that are gone."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, Behaviour.HOLD_STREAM)
        with pytest.raises(HttpError):
            await fleet.call(
                fleet.vms["vm-1"],
                "/chat/x",
                method="POST",
                body=b"p",
                timeout_s=0.3,
                token_counts="100,28",
            )
        await wait_until(
            lambda: sum(runner.cancelled_requests for runner in fleet.runners.values()) == 1
        )

    run_on_default_fleet(_scenario)


def test_a_request_past_its_deadline_gets_504() -> None:
    """Guards against callers that wait past their deadline."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, Behaviour.SILENT)
        answer = await fleet.call(
            fleet.vms["vm-1"], "/order/x", method="POST", deadline_milliseconds="300"
        )
        assert answer.status == 504

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("path", ["/read/x", "/review/x"])
def test_a_runner_that_loses_power_is_detected_and_its_requests_are_retried_elsewhere(
    path: str,
) -> None:
    """Guards against callers that wait for a runner that will never respond."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]

        def _lose_power(seen: ReceivedRequest) -> Behaviour:
            runner = fleet.runners[seen.headers["expect-instance"]]
            if not any(other.has_lost_power for other in fleet.runners.values()):
                runner.has_lost_power = True
                return Behaviour.SILENT if path == "/read/x" else Behaviour.STREAM
            return Behaviour.OK if path == "/read/x" else Behaviour.STREAM

        for runner in fleet.runners.values():
            runner.behaviour = _lose_power
        answer = await fleet.call(vm, path, method="POST", body=b"p", token_counts="100,28")
        assert answer.status == 200
        (failed_runner,) = [runner for runner in fleet.runners.values() if runner.has_lost_power]
        count_before = len(failed_runner.received_requests)
        for _ in range(3):
            await fleet.call(vm, path, method="POST", body=b"p", token_counts="100,28")
        assert len(failed_runner.received_requests) == count_before

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("path", ["/read/x", "/review/x"])
def test_a_response_lost_by_a_reachable_runner_is_retried_elsewhere(path: str) -> None:
    """Guards against waiting for a lost response while the same runner responds to others."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        lost_request_ids: list[str] = []

        def _respond(_seen: ReceivedRequest) -> Behaviour:
            return Behaviour.OK if path == "/read/x" else Behaviour.STREAM

        def _lose_one_response(seen: ReceivedRequest) -> Behaviour:
            if lost_request_ids:
                return _respond(seen)
            lost_request_ids.append(seen.headers["request-id"])
            return Behaviour.SILENT if path == "/read/x" else Behaviour.HOLD_STREAM

        for behaviour in (_respond, _lose_one_response):
            for runner in fleet.runners.values():
                runner.behaviour = behaviour
            answer = await fleet.call(vm, path, method="POST", body=b"p", token_counts="100,28")
            assert answer.status == 200
        assert lost_request_ids
        assert path == "/read/x" or answer.body == _events(1, 4)

    run_on_default_fleet(_scenario)


def test_a_slow_service_is_not_retried() -> None:
    """Guards against a second attempt at a service that is merely slow."""

    async def _scenario(fleet: Fleet) -> None:
        async def _release() -> None:
            await asyncio.sleep(1.5)
            for runner in fleet.runners.values():
                runner.release.set()

        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.SLOW
        releasing = asyncio.create_task(_release())
        answer = await fleet.call(fleet.vms["vm-1"], "/read/x")
        await releasing
        assert answer.status == 200
        assert _total_runs(fleet) == 1

    run_on_default_fleet(_scenario)


def test_a_non_idempotent_request_waits_for_a_silent_runner_until_its_deadline() -> None:
    """Guards against giving up a response that the runner may still be working on."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.SILENT
        answer = await fleet.call(vm, "/order/x", method="POST", deadline_milliseconds="2500")
        assert answer.status == 504
        assert _total_runs(fleet) == 1
        await wait_until(
            lambda: sum(runner.cancelled_requests for runner in fleet.runners.values()) == 1
        )

    run_on_default_fleet(_scenario)


def test_a_runner_receives_the_request_without_keys_or_forged_headers() -> None:
    """Guards against passing keys, forged headers or a modified request to a runner."""

    async def _scenario(fleet: Fleet) -> None:
        answer = await fleet.call(
            fleet.vms["vm-1"],
            "/read/x?q=1",
            method="POST",
            body=b"body \x00\xff",
            tenant="forged",
            hold="1",
            pin_milliseconds="5",
            kv_backup="1.2.3.4:5",
            kv_from="1.2.3.4:5/x",
            expect_instance="forged",
            x_other="kept",
        )
        assert answer.status == 200
        (seen,) = [seen for runner in fleet.runners.values() for seen in runner.received_requests]
        assert (seen.method, seen.target, seen.body) == ("POST", "/read/x?q=1", b"body \x00\xff")
        assert seen.headers["tenant"] == "acme"
        assert seen.headers["expect-instance"] in ("desk-1", "desk-2")
        assert seen.headers["x-other"] == "kept"
        assert 0 < int(seen.headers["deadline-milliseconds"]) <= 4000
        unwanted = {"api-key", "hold", "pin-milliseconds", "kv-backup", "kv-from"}
        assert not unwanted & seen.headers.keys()

    run_on_default_fleet(_scenario)


def test_a_runner_that_fails_while_healthy_gets_fewer_requests() -> None:
    """Guards against a runner that attracts all requests because it fails fast."""

    async def _scenario(fleet: Fleet) -> None:
        _set_behaviour(fleet, Behaviour.FAIL, "desk-1")
        statuses = []
        for _ in range(40):
            answer = await fleet.call(fleet.vms["vm-1"], "/order/x", method="POST", body=b"one")
            statuses.append(answer.status)
        assert statuses[10:].count(200) >= 28

    run_on_default_fleet(_scenario)
