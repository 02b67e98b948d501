"""What a VM holds of requests that have ended, with the garbage collector switched off."""

import asyncio
import gc
import weakref
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from mangosaddle.entry import _forwarding, _request_run
from mangosaddle.entry._sinks import LinkSink
from mangosaddle.http11 import UpstreamConnection
from mangosaddle.peers import ForwardChunk, ForwardHead
from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    run_on_empty_fleet,
    start_vm_with,
    wait_until,
)

CALLERS = 10


@pytest.fixture
def _collector_off() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def _recording(
    create: Callable[..., Any], created: list[weakref.ReferenceType[Any]]
) -> Callable[..., Any]:
    """Return a constructor that keeps weak references to what it has created."""

    def _create(*arguments: object) -> object:
        instance = create(*arguments)
        created.append(weakref.ref(instance))
        return instance

    return _create


@pytest.mark.usefixtures("_collector_off")
@pytest.mark.parametrize("is_forwarded", [False, True])
def test_buffers_of_streams_end_with_their_callers(
    is_forwarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against buffers that hang on the errors of ended tasks until a garbage collection."""
    created: list[weakref.ReferenceType[Any]] = []
    for module, name in ((_request_run, "EventSplitter"), (_forwarding, "LinkSink")):
        monkeypatch.setattr(module, name, _recording(getattr(module, name), created))

    async def _scenario(fleet: Fleet) -> None:
        engines = [RunnerStandIn(f"engine-{n}", "engine", "east-a") for n in (1, 2)]
        await start_vm_with(fleet, engines, is_forwarded=is_forwarded)
        for engine in engines:
            engine.behaviour = Behaviour.ENDLESS_EVENTS
        connections = []
        for _ in range(CALLERS):
            connection = await UpstreamConnection.open(*fleet.vms["vm-1"].settings.front, 1.0)
            connection.send(
                fleet.request("/review/x", "key-1", "POST", b"p", token_counts="100,28")
            )
            connections.append(connection)
        for connection in connections:
            assert (await connection.head()).status == 200
            connection.abort()
        assert len(created) == CALLERS * (3 if is_forwarded else 1)
        await wait_until(lambda: all(reference() is None for reference in created))

    run_on_empty_fleet(_scenario)


def test_a_whole_answer_stays_reserved_until_the_link_has_taken_it() -> None:
    """Guards against answers that leave the memory budget while they wait for a slow link."""

    async def _main() -> None:
        sink = LinkSink()
        sending = asyncio.create_task(sink.send_whole(200, [], b"answer"))
        parts = sink.parts()
        for kind in (ForwardHead, ForwardChunk):
            assert isinstance(await anext(parts), kind)
            await asyncio.sleep(0)
            assert not sending.done()
        # The link asks for the next part once it has sent the last one.
        following = asyncio.ensure_future(anext(parts))
        await sending
        following.cancel()

    asyncio.run(_main())
