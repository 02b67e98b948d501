"""Behaviour towards runners that send endless or dripping responses, and its cost."""

import asyncio
import gc

import pytest

from mangosaddle.entry import _request_run
from mangosaddle.entry._ingress_limits import MAX_BUFFERED_ANSWERS_BYTES
from mangosaddle.http11 import BodyMemoryBudget, ResponseBrokenError, UpstreamConnection
from mangosaddle.http11._body_memory import GUARANTEED_BODY_BYTES
from mangosaddle.traffic import EventSplitter
from mangosaddle.traffic._health import EndpointHealth, Reachability
from platform_standins import (
    Behaviour,
    Fleet,
    ReceivedRequest,
    RunnerStandIn,
    run_on_default_fleet,
    wait_until,
)

MAX_GIVE_UP_S = 3.0
"""Time within which an endless response has to be given up; a request has 4 s in total."""
MAX_READ_BYTES = 24 * 1024 * 1024
"""Maximum bytes read of one such response: the largest response and the buffers of two sockets."""
DEADLINE_MS = 4000
LONG_DEADLINE_MS = 9000
"""Deadline of requests that read many endless responses at once on a busy machine."""

ENDLESS_BEHAVIOURS = [behaviour for behaviour in Behaviour if behaviour.startswith("endless")]
DRIP_BEHAVIOURS = [
    Behaviour.DRIP_HEAD,
    Behaviour.DRIP_GARBAGE,
    Behaviour.DRIP_BODY,
    Behaviour.DRIP_FAILURE,
    Behaviour.DRIP_REJECTION,
    Behaviour.DRIP_LATE,
]


def _desk_runners(fleet: Fleet) -> list[RunnerStandIn]:
    return [fleet.runners["desk-1"], fleet.runners["desk-2"]]


async def _call(
    fleet: Fleet, path: str, method: str = "GET", deadline_ms: int = DEADLINE_MS
) -> tuple[int, bytes]:
    answer = await fleet.call(
        fleet.vms["vm-1"], path, method=method, deadline_milliseconds=str(deadline_ms)
    )
    return answer.status, answer.body


async def _call_until_reached(fleet: Fleet, faulty: RunnerStandIn) -> None:
    """Call until the faulty runner was reached; all callers have to get a complete response."""
    for _ in range(20):
        assert await _call(fleet, "/read/x") == (200, b"the whole answer")
        if faulty.received_requests:
            return
    pytest.fail("the faulty runner got no request")


def _endpoint_health(fleet: Fleet, runner: RunnerStandIn) -> EndpointHealth:
    views = fleet.vms["vm-1"].endpoints.views()
    (health,) = [view.health for view in views if view.id == runner.id]
    return health


def _assert_given_up_in_time(faulty: RunnerStandIn) -> None:
    assert faulty.closed_after_s
    assert max(faulty.closed_after_s) <= MAX_GIVE_UP_S
    assert faulty.endless_bytes_sent / len(faulty.closed_after_s) <= MAX_READ_BYTES


@pytest.mark.parametrize("behaviour", ENDLESS_BEHAVIOURS + DRIP_BEHAVIOURS)
def test_an_idempotent_request_is_retried_at_another_runner(
    behaviour: Behaviour,
) -> None:
    """Guards against callers that time out because a runner never ends its response."""

    async def _scenario(fleet: Fleet) -> None:
        faulty, _ = _desk_runners(fleet)
        for _ in range(4):
            # Slow attempts are given up only once the usual time of the route is known.
            await _call(fleet, "/read/x")
        faulty.received_requests.clear()
        faulty.behaviour = behaviour
        await _call_until_reached(fleet, faulty)
        await wait_until(lambda: faulty.closed_after_s)
        _assert_given_up_in_time(faulty)

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("behaviour", [*ENDLESS_BEHAVIOURS, *DRIP_BEHAVIOURS])
def test_a_non_idempotent_request_fails_early_with_502(behaviour: Behaviour) -> None:
    """Guards against a response that claims the request has not run, and against useless waits."""

    async def _scenario(fleet: Fleet) -> None:
        for runner in _desk_runners(fleet):
            runner.behaviour = behaviour
        # A dripping body after a valid head counts as a slow response: only the deadline ends it.
        is_slow = behaviour is Behaviour.DRIP_BODY
        deadline_ms = "1500" if is_slow else "4000"
        answer = await fleet.call(
            fleet.vms["vm-1"], "/order/x", method="POST", deadline_milliseconds=deadline_ms
        )
        assert answer.status == (504 if is_slow else 502)
        assert not answer.header("Response-Stamp")
        (faulty,) = [runner for runner in _desk_runners(fleet) if runner.received_requests]
        assert sum(faulty.runs_by_request_id.values()) == 1
        await wait_until(lambda: faulty.closed_after_s)
        _assert_given_up_in_time(faulty)
        assert _endpoint_health(fleet, faulty).failure_rate > 0

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("behaviour", [Behaviour.ENDLESS_HEAD, Behaviour.DRIP_HEAD])
def test_an_endless_runner_gets_no_requests_until_a_health_check_succeeds(
    behaviour: Behaviour,
) -> None:
    """Guards against a runner that breaks one request after the other."""

    async def _scenario(fleet: Fleet) -> None:
        faulty, _ = _desk_runners(fleet)
        faulty.behaviour = behaviour
        faulty.endless_health_checks = True
        await _call_until_reached(fleet, faulty)
        seen = len(faulty.received_requests)
        for _ in range(10):
            assert (await _call(fleet, "/read/x"))[0] == 200
            assert (await _call(fleet, "/order/x", "POST"))[0] == 200
        assert len(faulty.received_requests) == seen
        assert _endpoint_health(fleet, faulty).reachability is Reachability.UNREACHABLE
        faulty.behaviour = Behaviour.OK
        faulty.endless_health_checks = False
        await wait_until(lambda: _endpoint_health(fleet, faulty).reachability is Reachability.OK)

    run_on_default_fleet(_scenario)


def test_a_stream_with_a_dripping_event_resumes_at_another_runner() -> None:
    """Guards against a stream that waits for an event that never becomes complete."""

    async def _scenario(fleet: Fleet) -> None:
        asked_runners: list[str] = []

        def _drip_once(seen: ReceivedRequest) -> Behaviour:
            asked_runners.append(seen.headers["expect-instance"])
            return Behaviour.DRIP_EVENT if len(asked_runners) == 1 else Behaviour.STREAM

        for runner in fleet.runners.values():
            runner.behaviour = _drip_once
        answer = await fleet.call(
            fleet.vms["vm-1"], "/review/x", method="POST", body=b"p", token_counts="100,28"
        )
        assert answer.status == 200
        assert answer.body.startswith(b"id: 1\n")
        assert len(asked_runners) == 2
        await wait_until(lambda: fleet.runners[asked_runners[0]].closed_after_s)
        _assert_given_up_in_time(fleet.runners[asked_runners[0]])

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("path", ["/review/x", "/chat/x"])
def test_an_endless_event_is_not_passed_to_the_caller(path: str) -> None:
    """Guards against passing on bytes that are not an event, and against waiting for its end."""

    async def _scenario(fleet: Fleet) -> None:
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
        _assert_given_up_in_time(faulty)
        assert answer.status == (200 if resumable else 502)

    run_on_default_fleet(_scenario)


@pytest.mark.parametrize("path", ["/review/x", "/chat/x"])
def test_events_are_not_read_from_the_runner_while_the_caller_does_not_read(path: str) -> None:
    """Guards against unbounded buffers for slow callers, and against work past the deadline."""

    async def _scenario(fleet: Fleet) -> None:
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
        _assert_given_up_in_time(faulty)
        with pytest.raises(ResponseBrokenError):
            await connection.whole_body(1 << 30)

    run_on_default_fleet(_scenario)


def test_large_responses_share_a_bounded_buffer() -> None:
    """Guards against running out of memory when many responses are endless at the same time."""

    async def _scenario(fleet: Fleet) -> None:
        for runner in _desk_runners(fleet):
            runner.behaviour = Behaviour.ENDLESS_BODY
        buffer_memory = fleet.vms["vm-1"]._endpoint_client._memory
        peak_bytes = 0

        async def _watch() -> None:
            nonlocal peak_bytes
            while True:
                peak_bytes = max(peak_bytes, buffer_memory.held_bytes)
                await asyncio.sleep(0)

        watching = asyncio.create_task(_watch())
        calls = [_call(fleet, "/order/x", "POST", LONG_DEADLINE_MS) for _ in range(12)]
        statuses = {status for status, _ in await asyncio.gather(*calls)}
        watching.cancel()
        assert statuses <= {502, 503}
        assert 0 < peak_bytes <= MAX_BUFFERED_ANSWERS_BYTES
        assert buffer_memory.held_bytes == 0

    run_on_default_fleet(_scenario)


def test_a_lack_of_memory_for_answers_is_no_fault_of_the_endpoint() -> None:
    """Guards against avoiding sound endpoints, and loading others, when memory is short."""

    async def _scenario(fleet: Fleet) -> None:
        vm = fleet.vms["vm-1"]
        vm._endpoint_client._memory = BodyMemoryBudget(0)
        for runner in _desk_runners(fleet):
            runner.behaviour = Behaviour.ENDLESS_BODY
        assert (await _call(fleet, "/order/x", "POST"))[0] == 502
        for runner in _desk_runners(fleet):
            health = _endpoint_health(fleet, runner)
            assert health.reachability is Reachability.OK
            assert health.failure_rate == 0

    run_on_default_fleet(_scenario)


def test_partial_events_share_a_bounded_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against running out of memory by events without end, also after their streams."""
    limit_bytes, streams = 256 * 1024, 12
    splitters: list[EventSplitter] = []

    def _record_splitter(last_id: int | None = None) -> EventSplitter:
        splitters.append(EventSplitter(last_id))
        return splitters[-1]

    async def _scenario(fleet: Fleet) -> None:
        engines = [fleet.runners["engine-1"], fleet.runners["engine-2"]]
        for runner in engines:
            runner.behaviour = Behaviour.ENDLESS_BODY
        vm = fleet.vms["vm-1"]
        memory = vm._endpoint_client.event_memory = BodyMemoryBudget(limit_bytes)
        peak_bytes = 0

        async def _watch() -> None:
            nonlocal peak_bytes
            while True:
                peak_bytes = max(peak_bytes, memory.held_bytes)
                await asyncio.sleep(0)

        watching = asyncio.create_task(_watch())
        calls = [_call(fleet, "/chat/x", "POST", LONG_DEADLINE_MS) for _ in range(streams)]
        statuses = {status for status, _ in await asyncio.gather(*calls)}
        watching.cancel()
        assert statuses <= {502, 503}
        assert limit_bytes // 2 < peak_bytes <= limit_bytes + streams * GUARANTEED_BODY_BYTES
        assert memory.held_bytes == 0
        assert [splitter.buffered_bytes for splitter in splitters if splitter.buffered_bytes] == []
        # A lack of memory here says nothing about the endpoints.
        for runner in engines:
            assert _endpoint_health(fleet, runner).reachability is Reachability.OK

    monkeypatch.setattr(_request_run, "EventSplitter", _record_splitter)
    gc.disable()
    try:
        run_on_default_fleet(_scenario)
    finally:
        gc.enable()
