"""Connections that are accepted just before a stopping VM closes its listening socket."""

import asyncio
import socket
from typing import Any

import pytest

from mangosaddle.entry import _entry_process
from mangosaddle.http11 import HttpServer
from platform_standins import (
    Behaviour,
    Fleet,
    RunnerStandIn,
    default_configuration,
    run_on_empty_fleet,
)

REQUEST = b"GET /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n\r\n"
GRACE_S = 8.0
ROUND_TRIP_S = 0.1
MAX_ANSWER_S = 5.0


def _connect(front: HttpServer) -> tuple[socket.socket, asyncio.Task[Any]]:
    """Return a caller's socket, and the start of the server's side of it, as after an accept."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    accepted.setblocking(False)
    caller.setblocking(False)

    def _create_protocol() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(), front._serve_connection)

    return caller, loop.create_task(loop.connect_accepted_socket(_create_protocol, accepted))


def test_a_connection_that_is_still_starting_when_the_vm_stops_listening_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that ends before the server knows its last connection."""
    monkeypatch.setattr(_entry_process, "REFUSE_AFTER_S", 0.2)
    monkeypatch.setattr(_entry_process, "STOP_LISTENING_AFTER_S", 0.3)

    async def _scenario(fleet: Fleet) -> None:
        await fleet.store.put("op/config", default_configuration())
        await fleet.add_runner(RunnerStandIn("desk-1", "desk", "east-a", Behaviour.OK))
        vm = await fleet.add_vm("vm-1", grace_s=GRACE_S)
        await fleet.wait_until_ready()
        front = vm._servers.front
        stop_accepting = front.stop_accepting
        connected: list[tuple[socket.socket, asyncio.Task[Any]]] = []

        def _connect_and_stop_accepting() -> None:
            if not connected:
                connected.append(_connect(front))
            stop_accepting()

        monkeypatch.setattr(front, "stop_accepting", _connect_and_stop_accepting)

        async def _stop() -> None:
            await vm.drain()
            await vm.stop()

        stopping = asyncio.create_task(_stop())
        async with asyncio.timeout(MAX_ANSWER_S):
            while not connected:
                await asyncio.sleep(0.001)
            caller, _ = connected[0]
            await asyncio.sleep(ROUND_TRIP_S)
            loop = asyncio.get_running_loop()
            with caller:
                await loop.sock_sendall(caller, REQUEST)
                answer = await loop.sock_recv(caller, 4096)
            assert answer.startswith(b"HTTP/1.1 503")
        await stopping

    run_on_empty_fleet(_scenario)
