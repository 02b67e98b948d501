"""Streams that end inside an event although their framing is complete."""

import pytest

from mangosaddle.traffic import EventSplitter
from platform_standins import (
    Behaviour,
    Fleet,
    ReceivedRequest,
    RunnerStandIn,
    run_on_empty_fleet,
    start_vm_with,
)

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 5)]
EVENT_BYTES = len(EVENTS[0])


async def _start(fleet: Fleet, *, is_forwarded: bool) -> list[RunnerStandIn]:
    """Start a VM and two runners, of which the first one that gets a request truncates it."""
    runners = [RunnerStandIn(f"engine-{number}", "engine", "east-a") for number in (1, 2)]

    def _behave(seen: ReceivedRequest) -> Behaviour:
        is_first = sum(len(runner.received_requests) for runner in runners) == 1
        return Behaviour.TRUNCATED_STREAM if is_first else Behaviour.STREAM

    for runner in runners:
        runner.behaviour = _behave
    await start_vm_with(fleet, runners, is_forwarded=is_forwarded)
    return runners


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize("has_length", [False, True])
@pytest.mark.parametrize("cut_after", [0, 2, 3])
def test_a_stream_truncated_inside_an_event_is_resumed(
    cut_after: int, has_length: bool, is_forwarded: bool
) -> None:
    """Guards against a truncated stream that looks complete, or whose event comes in two parts."""

    async def _scenario(fleet: Fleet) -> None:
        runners = await _start(fleet, is_forwarded=is_forwarded)
        for truncated_bytes in (1, 7, EVENT_BYTES - 1):
            for runner in runners:
                runner.received_requests.clear()
                runner.cut_after, runner.has_stream_length = cut_after, has_length
                runner.truncated_bytes = truncated_bytes
            answer = await fleet.call(
                fleet.vms["vm-1"], "/review/x", method="POST", body=b"p", token_counts="100,28"
            )
            assert (answer.status, answer.body) == (200, b"".join(EVENTS))
            assert sum(len(runner.received_requests) for runner in runners) == 2

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize("has_length", [False, True])
def test_a_truncated_stream_that_may_not_be_resumed_does_not_look_complete(
    has_length: bool, is_forwarded: bool
) -> None:
    """Guards against a complete answer, or a second run, for a stream that may run only once."""

    async def _scenario(fleet: Fleet) -> None:
        runners = await _start(fleet, is_forwarded=is_forwarded)
        for runner in runners:
            runner.has_stream_length = has_length
        received = await fleet.call_until_broken(
            fleet.vms["vm-1"], "/chat/x", b"p", token_counts="100,28"
        )
        assert received == b"".join(EVENTS[:2])
        assert sum(len(runner.received_requests) for runner in runners) == 1

    run_on_empty_fleet(_scenario)


def test_a_runner_that_truncates_its_streams_counts_as_failing() -> None:
    """Guards against a faulty runner that gets as many requests as sound ones."""

    async def _scenario(fleet: Fleet) -> None:
        runners = await _start(fleet, is_forwarded=False)
        vm = fleet.vms["vm-1"]
        await fleet.call(vm, "/review/x", method="POST", body=b"p", token_counts="100,28")
        (faulty,) = [
            row for row in runners if "last-event-id" not in row.received_requests[0].headers
        ]
        rates = {view.id: view.health.failure_rate for view in vm.endpoints.views()}
        assert rates[faulty.id] == max(rates.values()) > min(rates.values())  # type: ignore[index]

    run_on_empty_fleet(_scenario)


@pytest.mark.parametrize("event", [b"id: 1\ndata: x\n\n", b"data: x\r\n\r\n", b": note\n\n"])
def test_only_a_part_of_an_event_counts_as_partial(event: bytes) -> None:
    """Guards against breaking off a whole stream for the line ends that follow its last event."""
    for size in range(1, len(event)):
        splitter = EventSplitter()
        splitter.feed(event + event[:size])
        assert splitter.has_partial_event
    for line_ends in (b"", b"\n", b"\r\n"):
        splitter = EventSplitter()
        splitter.feed(event + line_ends)
        assert not splitter.has_partial_event
