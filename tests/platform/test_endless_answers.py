"""Contract with runners that send without end: what callers get, and what it costs."""

import asyncio

import pytest

from mangosaddle.entry._attempt import MAX_BUFFERED_BYTES
from mangosaddle.http11 import ResponseBrokenError, UpstreamConnection
from mangosaddle.traffic._health import EndpointHealth, Reachability
from platform_standins import (
    Behaviour,
    Fleet,
    ReceivedRequest,
    RunnerStandIn,
    run_on_default_fleet,
    wait_until,
)

GIVEN_UP_S = 3.0
"""Time within which an answer without end is given up, of the 4 s that a request has."""
TAKEN_BYTES = 24 * 1024 * 1024
"""Bytes that may be taken of one such answer: the largest answer, and buffers of two sockets."""

FAST = [behaviour for behaviour in Behaviour if behaviour.startswith("endless")]
SLOW = [
    Behaviour.DRIP_HEAD,
    Behaviour.DRIP_GARBAGE,
    Behaviour.DRIP_BODY,
    Behaviour.DRIP_FAILURE,
    Behaviour.DRIP_REJECTION,
    Behaviour.DRIP_LATE,
]


def _desks(fleet: Fleet) -> list[RunnerStandIn]:
    return [fleet.runners["desk-1"], fleet.runners["desk-2"]]


async def _call(fleet: Fleet, path: str, method: str = "GET") -> tuple[int, bytes]:
    answer = await fleet.call(fleet.vms["vm-1"], path, method=method)
    return answer.status, answer.body


async def _until_met(fleet: Fleet, faulty: RunnerStandIn) -> None:
    """Call until the faulty runner has been met; all callers get a whole answer."""
    for _ in range(20):
        assert await _call(fleet, "/read/x") == (200, b"the whole answer")
        if faulty.received_requests:
            return
    pytest.fail("the faulty runner was never asked")


def _health(fleet: Fleet, runner: RunnerStandIn) -> EndpointHealth:
    views = fleet.vms["vm-1"].endpoints.views()
    (health,) = [view.health for view in views if view.id == runner.id]
    return health


def _judge(faulty: RunnerStandIn) -> None:
    assert faulty.closed_after_s
    assert max(faulty.closed_after_s) <= GIVEN_UP_S
    assert faulty.endless_bytes / len(faulty.closed_after_s) <= TAKEN_BYTES


@pytest.mark.parametrize("behaviour", FAST + SLOW)
def test_a_request_that_may_be_repeated_is_answered_by_another_runner(
    behaviour: Behaviour,
) -> None:
    """Guards against callers whose time goes to a runner that sends without end."""

    async def _body(fleet: Fleet) -> None:
        faulty, _ = _desks(fleet)
        for _ in range(4):
            # The usual time of a route has to be known before one that takes longer is given up.
            await _call(fleet, "/read/x")
        faulty.received_requests.clear()
        faulty.behaviour = behaviour
        await _until_met(fleet, faulty)
        await wait_until(lambda: faulty.closed_after_s)
        _judge(faulty)

    run_on_default_fleet(_body)


@pytest.mark.parametrize("behaviour", [*FAST, *SLOW])
def test_a_request_that_runs_once_ends_with_502_and_does_not_wait(behaviour: Behaviour) -> None:
    """Guards against a refusal that says it has not run, and against a wait for nothing."""

    async def _body(fleet: Fleet) -> None:
        for runner in _desks(fleet):
            runner.behaviour = behaviour
        # An answer that drips after a sound head is a slow one: only the deadline ends it.
        waits = behaviour is Behaviour.DRIP_BODY
        deadline_ms = "1500" if waits else "4000"
        answer = await fleet.call(
            fleet.vms["vm-1"], "/order/x", method="POST", deadline_milliseconds=deadline_ms
        )
        assert answer.status == (504 if waits else 502)
        assert not answer.header("Response-Stamp")
        (faulty,) = [runner for runner in _desks(fleet) if runner.received_requests]
        assert sum(faulty.runs.values()) == 1
        await wait_until(lambda: faulty.closed_after_s)
        _judge(faulty)
        assert _health(fleet, faulty).failure_rate > 0

    run_on_default_fleet(_body)


@pytest.mark.parametrize("behaviour", [Behaviour.ENDLESS_HEAD, Behaviour.DRIP_HEAD])
def test_a_runner_that_sends_without_end_gets_no_work_before_a_sound_health_check(
    behaviour: Behaviour,
) -> None:
    """Guards against a runner that spoils one request after the other."""

    async def _body(fleet: Fleet) -> None:
        faulty, _ = _desks(fleet)
        faulty.behaviour = behaviour
        faulty.endless_checks = True
        await _until_met(fleet, faulty)
        seen = len(faulty.received_requests)
        for _ in range(10):
            assert (await _call(fleet, "/read/x"))[0] == 200
            assert (await _call(fleet, "/order/x", "POST"))[0] == 200
        assert len(faulty.received_requests) == seen
        assert _health(fleet, faulty).reachability is Reachability.UNREACHABLE
        faulty.behaviour = Behaviour.OK
        faulty.endless_checks = False
        await wait_until(lambda: _health(fleet, faulty).reachability is Reachability.OK)

    run_on_default_fleet(_body)


def test_an_event_that_drips_is_asked_for_elsewhere() -> None:
    """Guards against a stream that waits for an event of which only parts ever come."""

    async def _body(fleet: Fleet) -> None:
        first: list[str] = []

        def _drips_once(seen: ReceivedRequest) -> Behaviour:
            first.append(seen.headers["expect-instance"])
            return Behaviour.DRIP_EVENT if len(first) == 1 else Behaviour.STREAM

        for runner in fleet.runners.values():
            runner.behaviour = _drips_once
        answer = await fleet.call(
            fleet.vms["vm-1"], "/review/x", method="POST", body=b"p", token_counts="100,28"
        )
        assert answer.status == 200
        assert answer.body.startswith(b"id: 1\n")
        assert len(first) == 2
        await wait_until(lambda: fleet.runners[first[0]].closed_after_s)
        _judge(fleet.runners[first[0]])

    run_on_default_fleet(_body)


@pytest.mark.parametrize("path", ["/review/x", "/chat/x"])
def test_an_event_without_end_never_reaches_the_caller(path: str) -> None:
    """Guards against bytes that are no event, and against a stream that waits for them."""

    async def _body(fleet: Fleet) -> None:
        engines = [fleet.runners["engine-1"], fleet.runners["engine-2"]]
        resumable = path == "/review/x"
        for runner in engines:
            runner.behaviour = lambda seen: (
                Behaviour.STREAM
                if any(r.closed_after_s for r in engines) and resumable
                else Behaviour.ENDLESS_BODY
            )
        answer = await fleet.call(
            fleet.vms["vm-1"], path, method="POST", body=b"p", token_counts="100,28"
        )
        assert b"xxx" not in answer.body
        await wait_until(lambda: any(runner.closed_after_s for runner in engines))
        (faulty,) = [runner for runner in engines if runner.closed_after_s]
        _judge(faulty)
        assert answer.status == (200 if resumable else 502)

    run_on_default_fleet(_body)


@pytest.mark.parametrize("path", ["/review/x", "/chat/x"])
def test_events_that_nobody_reads_are_not_taken_from_the_runner(path: str) -> None:
    """Guards against memory for a caller that reads slowly, and work beyond its time."""

    async def _body(fleet: Fleet) -> None:
        engines = [fleet.runners["engine-1"], fleet.runners["engine-2"]]
        for runner in engines:
            runner.behaviour = Behaviour.ENDLESS_EVENTS
        connection = await UpstreamConnection.open(*fleet.vms["vm-1"].settings.front, 1.0)
        connection.send(
            fleet.request(
                path, "key-1", "POST", b"p", token_counts="100,28", deadline_milliseconds="1000"
            )
        )
        assert (await connection.head()).status == 200
        await wait_until(lambda: any(runner.closed_after_s for runner in engines))
        (faulty,) = [runner for runner in engines if runner.closed_after_s]
        _judge(faulty)
        with pytest.raises(ResponseBrokenError):
            await connection.whole_body(1 << 30)

    run_on_default_fleet(_body)


def test_large_answers_share_a_bounded_memory() -> None:
    """Guards against a process that is ended because many answers have no end at once."""

    async def _body(fleet: Fleet) -> None:
        for runner in _desks(fleet):
            runner.behaviour = Behaviour.ENDLESS_BODY
        memory = fleet.vms["vm-1"]._endpoint_client._memory
        most = 0

        async def _watch() -> None:
            nonlocal most
            while True:
                most = max(most, memory.held_bytes)
                await asyncio.sleep(0)

        watching = asyncio.create_task(_watch())
        calls = [_call(fleet, "/order/x", "POST") for _ in range(12)]
        statuses = {status for status, _ in await asyncio.gather(*calls)}
        watching.cancel()
        assert statuses <= {502, 503}
        assert 0 < most <= MAX_BUFFERED_BYTES
        assert memory.held_bytes == 0

    run_on_default_fleet(_body)
