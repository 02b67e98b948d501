"""Ends of forwarded answers that the forwarding VM does not expect."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import pytest

from mangosaddle._identifiers import RequestId
from mangosaddle._problems import Problem
from mangosaddle.gateway._forwarding import ForwardedSource
from mangosaddle.gateway._relay import Relay
from mangosaddle.peers import ForwardEnd, ForwardResponsePart

TIMEOUT_S = 2.0


class _Observer:
    """Records how a relay's source or the relay itself ended."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    def on_source_lost(self, _relay: Relay) -> None:
        self.ended.set()

    def on_closed(self, _relay: Relay) -> None:
        self.ended.set()

    async def forward_refused(self, _relay: Relay, _reason: str) -> None:
        raise RuntimeError("the region has been removed")


class _Sink:
    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def fail(self, problem: Problem) -> None:
        self.problems.append(problem)


async def _failing() -> AsyncIterator[ForwardResponsePart]:
    raise KeyError("gondar-1")
    yield


async def _cancelled_inside() -> AsyncIterator[ForwardResponsePart]:
    dial = asyncio.create_task(asyncio.sleep(TIMEOUT_S))
    asyncio.get_running_loop().call_soon(dial.cancel)
    await asyncio.shield(dial)
    yield ForwardEnd(complete=True)


async def _refusing() -> AsyncIterator[ForwardResponsePart]:
    yield ForwardEnd(False, "not_run", "shutting-down")


@pytest.mark.parametrize("answers", [_failing, _cancelled_inside, _refusing])
def test_an_unexpected_end_of_a_forward_is_told_to_the_relay(
    answers: Callable[[], AsyncIterator[ForwardResponsePart]],
) -> None:
    """Guards against a caller that waits for over a minute because a forward ended unnoticed.

    The link or its dial may be cancelled, and the VM or region may leave the configuration.
    """

    async def scenario() -> None:
        observer = _Observer()
        relay = Relay(RequestId("r"), cast(Any, observer))
        relay.attach_sink(cast(Any, _Sink()))
        source = ForwardedSource(relay, answers(), observer)
        relay.attach_source(source, 0.0)
        source.start()
        await asyncio.wait_for(observer.ended.wait(), TIMEOUT_S)

    asyncio.run(scenario())


def test_a_forward_that_is_closed_ends_silently() -> None:
    """Guards against another attempt for a caller that has left."""

    async def scenario() -> None:
        observer = _Observer()
        relay = Relay(RequestId("r"), cast(Any, observer))
        source = ForwardedSource(relay, _hanging(), observer)
        relay.attach_source(source, 0.0)
        source.start()
        await asyncio.sleep(0)
        source.close()
        await asyncio.sleep(0.05)
        assert not observer.ended.is_set()

    asyncio.run(scenario())


async def _hanging() -> AsyncIterator[ForwardResponsePart]:
    await asyncio.sleep(TIMEOUT_S)
    yield ForwardEnd(complete=True)
