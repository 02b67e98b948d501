"""Contract with runners: what a caller gets for each way in which a runner may answer."""

import asyncio

import pytest

from mangosaddle.http11 import HttpError
from platform_standins import Behaviour, Fleet, ReceivedRequest, run_on_default_fleet, wait_until

# Behaviour of all runners, status for an idempotent request and for one that runs once, and runs.
WHOLE_ANSWERS = [
    (Behaviour.OK, 200, 1, 200),
    (Behaviour.FAIL, 500, 2, 500),
    (Behaviour.REJECT, 503, 0, 503),
    (Behaviour.RESET, 502, 2, 502),
    (Behaviour.UNSIGNED, 502, 2, 502),
    (Behaviour.ENCODED, 502, 2, 502),
    (Behaviour.NO_LENGTH, 200, 1, 200),
    (Behaviour.NO_LENGTH_RESET, 502, 2, 502),
    (Behaviour.GARBAGE, 502, 2, 502),
    (Behaviour.EXTRA_ANSWER, 200, 1, 200),
    (Behaviour.STALE_ANSWER, 200, 1, 200),
    (Behaviour.SHORT_BODY, 502, 2, 502),
]


def _set(fleet: Fleet, behaviour: Behaviour, *names: str) -> None:
    for runner in fleet.runners.values():
        if not names or runner.id in names:
            runner.behaviour = behaviour


def _runs(fleet: Fleet) -> int:
    return sum(sum(runner.runs.values()) for runner in fleet.runners.values())


@pytest.mark.parametrize(("behaviour", "status", "runs", "_once"), WHOLE_ANSWERS)
def test_an_idempotent_request_is_tried_at_a_second_runner(
    behaviour: Behaviour, status: int, runs: int, _once: int
) -> None:
    """Guards against answers that are not the runner's, and against too many runs."""

    async def _body(fleet: Fleet) -> None:
        _set(fleet, behaviour)
        answer = await fleet.call(fleet.vms["vm-1"], "/read/x")
        assert answer.status == status
        assert _runs(fleet) == runs
        if status == 200:
            assert answer.body == b"the whole answer"
            assert answer.header("Response-Stamp")

    run_on_default_fleet(_body)


@pytest.mark.parametrize(("behaviour", "_status", "_runs_", "once"), WHOLE_ANSWERS)
def test_a_request_that_runs_once_is_never_repeated(
    behaviour: Behaviour, _status: int, _runs_: int, once: int
) -> None:
    """Guards against a second run, and against a refusal that says it has not run."""

    async def _body(fleet: Fleet) -> None:
        _set(fleet, behaviour)
        answer = await fleet.call(fleet.vms["vm-1"], "/order/x", method="POST", body=b"one")
        assert answer.status == once
        assert _runs(fleet) <= 1
        if answer.status == 503:
            assert _runs(fleet) == 0

    run_on_default_fleet(_body)


def test_a_second_answer_is_not_taken_for_the_next_request() -> None:
    """Guards against an answer that belongs to another request."""

    async def _body(fleet: Fleet) -> None:
        for behaviour in (Behaviour.EXTRA_ANSWER, Behaviour.STALE_ANSWER, Behaviour.OK):
            _set(fleet, behaviour)
            for _ in range(4):
                request = fleet.request("/read/x")
                answer = await fleet.call(
                    fleet.vms["vm-1"], "/read/x", request_id=f"{behaviour}-{id(request)}"
                )
                assert (answer.status, answer.body) == (200, b"the whole answer")

    run_on_default_fleet(_body)


def test_a_runner_that_is_down_is_passed_over_and_checked_before_it_gets_work() -> None:
    """Guards against requests lost at a runner that is gone, also those that run once."""

    async def _body(fleet: Fleet) -> None:
        first = fleet.runners["desk-1"]
        port = first.port
        await first.stop()
        vm = fleet.vms["vm-1"]
        for _ in range(6):
            answer = await fleet.call(vm, "/order/x", method="POST", body=b"one")
            assert answer.status == 200
        assert sum(first.runs.values()) == 0
        await first.start(port)
        await wait_until(lambda: first.checks > 0)

    run_on_default_fleet(_body)


def test_an_address_that_belongs_to_another_runner_by_now_gets_no_request() -> None:
    """Guards against a request that runs at a runner of another service."""

    async def _body(fleet: Fleet) -> None:
        other = fleet.runners["engine-1"]
        for name in ("desk-1", "desk-2"):
            runner = fleet.runners[name]
            await fleet.store.put(runner.key, runner.entry(address=f"127.0.0.1:{other.port}"))
        answer = await fleet.call(fleet.vms["vm-1"], "/order/x", method="POST", body=b"one")
        assert answer.status == 503
        assert _runs(fleet) == 0

    run_on_default_fleet(_body)


def _events(first: int, last: int) -> bytes:
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(first, last + 1))


def test_a_stream_arrives_whole() -> None:
    """Guards against pieces that are missing or come twice."""

    async def _body(fleet: Fleet) -> None:
        _set(fleet, Behaviour.STREAM)
        answer = await fleet.call(
            fleet.vms["vm-1"], "/chat/x", method="POST", body=b"p", token_counts="100,28"
        )
        assert answer.body == _events(1, 4)

    run_on_default_fleet(_body)


def test_a_resumable_stream_goes_on_at_another_runner() -> None:
    """Guards against a joint: the half event of the first run must not reach the caller."""

    async def _body(fleet: Fleet) -> None:
        _set(
            fleet,
            lambda seen: (
                Behaviour.STREAM if "last-event-id" in seen.headers else Behaviour.CUT_STREAM
            ),  # type: ignore[arg-type]
        )
        answer = await fleet.call(
            fleet.vms["vm-1"], "/review/x", method="POST", body=b"p", token_counts="100,28"
        )
        assert answer.body == _events(1, 4)
        assert _runs(fleet) == 2

    run_on_default_fleet(_body)


def test_a_stream_that_may_not_be_resumed_does_not_look_complete_when_it_breaks() -> None:
    """Guards against a part of an answer that looks like the whole one."""

    async def _body(fleet: Fleet) -> None:
        _set(fleet, Behaviour.CUT_STREAM)
        with pytest.raises(HttpError):
            await fleet.call(
                fleet.vms["vm-1"], "/chat/x", method="POST", body=b"p", token_counts="100,28"
            )
        assert _runs(fleet) == 1

    run_on_default_fleet(_body)


def test_a_caller_that_leaves_ends_the_work_of_the_runner() -> None:
    """Guards against runners that work for nobody."""

    async def _body(fleet: Fleet) -> None:
        _set(fleet, Behaviour.HOLD_STREAM)
        with pytest.raises(HttpError):
            await fleet.call(
                fleet.vms["vm-1"],
                "/chat/x",
                method="POST",
                body=b"p",
                timeout_s=0.3,
                token_counts="100,28",
            )
        await wait_until(lambda: sum(runner.cancelled for runner in fleet.runners.values()) == 1)

    run_on_default_fleet(_body)


def test_the_time_of_a_route_ends_a_request_with_a_truthful_answer() -> None:
    """Guards against callers that wait beyond the route's time-out."""

    async def _body(fleet: Fleet) -> None:
        _set(fleet, Behaviour.SILENT)
        answer = await fleet.call(
            fleet.vms["vm-1"], "/order/x", method="POST", deadline_milliseconds="300"
        )
        assert answer.status == 504

    run_on_default_fleet(_body)


@pytest.mark.parametrize("path", ["/read/x", "/review/x"])
def test_a_runner_that_loses_power_is_noticed_and_what_may_be_repeated_goes_elsewhere(
    path: str,
) -> None:
    """Guards against callers that wait for a runner that will never answer."""

    async def _body(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]

        def _goes_dark(seen: ReceivedRequest) -> Behaviour:
            runner = fleet.runners[seen.headers["expect-instance"]]
            if not any(other.dark for other in fleet.runners.values()):
                runner.dark = True
                return Behaviour.SILENT if path == "/read/x" else Behaviour.STREAM
            return Behaviour.OK if path == "/read/x" else Behaviour.STREAM

        for runner in fleet.runners.values():
            runner.behaviour = _goes_dark
        answer = await fleet.call(vm, path, method="POST", body=b"p", token_counts="100,28")
        assert answer.status == 200
        (dark,) = [runner for runner in fleet.runners.values() if runner.dark]
        before = len(dark.received_requests)
        for _ in range(3):
            await fleet.call(vm, path, method="POST", body=b"p", token_counts="100,28")
        assert len(dark.received_requests) == before

    run_on_default_fleet(_body)


@pytest.mark.parametrize("path", ["/read/x", "/review/x"])
def test_a_lost_answer_of_a_runner_that_lives_is_asked_for_elsewhere(path: str) -> None:
    """Guards against callers that wait for an answer that got lost, beside others that arrive."""

    async def _body(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        lost: list[str] = []

        def _usual(_seen: ReceivedRequest) -> Behaviour:
            return Behaviour.OK if path == "/read/x" else Behaviour.STREAM

        def _loses_one(seen: ReceivedRequest) -> Behaviour:
            if lost:
                return _usual(seen)
            lost.append(seen.headers["request-id"])
            return Behaviour.SILENT if path == "/read/x" else Behaviour.HOLD_STREAM

        for behaviour in (_usual, _loses_one):
            for runner in fleet.runners.values():
                runner.behaviour = behaviour
            answer = await fleet.call(vm, path, method="POST", body=b"p", token_counts="100,28")
            assert answer.status == 200
        assert lost
        assert path == "/read/x" or answer.body == _events(1, 4)

    run_on_default_fleet(_body)


def test_a_slow_service_is_waited_for() -> None:
    """Guards against a slow service that is asked twice instead of answered once."""

    async def _body(fleet: Fleet) -> None:
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
        assert _runs(fleet) == 1

    run_on_default_fleet(_body)


def test_a_request_that_runs_once_is_not_ended_by_silence() -> None:
    """Guards against an answer that is given up although its runner may still work on it."""

    async def _body(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        for runner in fleet.runners.values():
            runner.behaviour = Behaviour.SILENT
        answer = await fleet.call(vm, "/order/x", method="POST", deadline_milliseconds="2500")
        assert answer.status == 504
        assert _runs(fleet) == 1
        await wait_until(lambda: sum(runner.cancelled for runner in fleet.runners.values()) == 1)

    run_on_default_fleet(_body)


def test_what_a_runner_sees_of_a_request() -> None:
    """Guards against keys, forged headers and a changed request at a runner."""

    async def _body(fleet: Fleet) -> None:
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

    run_on_default_fleet(_body)


def test_a_runner_that_fails_while_healthy_gets_fewer_requests() -> None:
    """Guards against a runner that fails fast and so attracts all requests."""

    async def _body(fleet: Fleet) -> None:
        _set(fleet, Behaviour.FAIL, "desk-1")
        statuses = []
        for _ in range(40):
            answer = await fleet.call(fleet.vms["vm-1"], "/order/x", method="POST", body=b"one")
            statuses.append(answer.status)
        assert statuses[10:].count(200) >= 28

    run_on_default_fleet(_body)
