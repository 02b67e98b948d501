"""Crowds of clients that do not behave, at each door of one entry process.

Checked is what does not depend on the speed of the machine: the process lives, its memory and its
descriptors stay below the limits of its VM, and an ordinary client is served while the crowd is
there.
"""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path

import pytest
from crowd import (
    BODY_BYTES,
    DOORS,
    FILE_DESCRIPTORS,
    HEADER_BYTES,
    HOST,
    MEMORY_MB,
    NO_ROUTE,
    PEER_PORT,
    READINESS,
    ROUTE,
    Client,
    Door,
    limited_vm,
)

Behaviour = Callable[[Client], Coroutine[None, None, None]]

BODIES = 40
"""Clients whose bodies together are larger than the memory of the VM."""
CONNECTIONS = 400
"""More connections than the VM has descriptors."""
MANY_FIELDS = 240
PIPELINES = 240
SMALL_PIECE_BYTES = 4096
FIELD = "a:b\r\n"
FIELDS = FIELD * ((HEADER_BYTES - 400) // 7)
"""As many fields as a legal head holds; the server counts four bytes beside name and value."""
PIPELINED_BYTES = 250 * 1024
DRIP_S = 0.05


async def _body_in_one_piece(client: Client) -> None:
    fields = f"Content-Length: {BODY_BYTES}\r\n"
    await client.send(client.door.head(fields) + bytes(BODY_BYTES - 1))


async def _body_in_small_pieces(client: Client) -> None:
    await client.send(client.door.head(f"Content-Length: {BODY_BYTES}\r\n"))
    for _ in range(BODY_BYTES // SMALL_PIECE_BYTES - 1):
        await client.send(bytes(SMALL_PIECE_BYTES))


async def _body_in_chunks(client: Client) -> None:
    await client.send(client.door.head("Transfer-Encoding: chunked\r\n"))
    chunk = b"%x\r\n" % SMALL_PIECE_BYTES + bytes(SMALL_PIECE_BYTES) + b"\r\n"
    for _ in range(BODY_BYTES // SMALL_PIECE_BYTES - 1):
        await client.send(chunk)


async def _body_without_end(client: Client) -> None:
    await client.send(client.door.head("Transfer-Encoding: chunked\r\n"))
    chunk = b"%x\r\n" % (16 * SMALL_PIECE_BYTES) + bytes(16 * SMALL_PIECE_BYTES) + b"\r\n"
    for _ in range(4 * BODY_BYTES // len(chunk)):
        await client.send(chunk)


async def _many_short_fields(client: Client) -> None:
    await client.send(client.door.head(f"{FIELDS}Content-Length: 1000\r\n") + bytes(999))


async def _many_requests_ahead(client: Client) -> None:
    request = client.door.head("Content-Length: 0\r\n")
    sent = 0
    while sent < PIPELINED_BYTES:
        await client.send(request)
        sent += len(request)


async def _half_a_head(client: Client) -> None:
    await client.send(client.door.head()[:-4])


async def _slow_head(client: Client) -> None:
    for byte in client.door.head():
        await client.send(bytes([byte]))
        await asyncio.sleep(DRIP_S)


async def _nothing(client: Client) -> None:
    del client


CROWDS: dict[str, tuple[Behaviour, int]] = {
    "one_piece": (_body_in_one_piece, BODIES),
    "small_pieces": (_body_in_small_pieces, BODIES),
    "chunks": (_body_in_chunks, BODIES),
    "without_end": (_body_without_end, BODIES),
    "many_fields": (_many_short_fields, MANY_FIELDS),
    "requests_ahead": (_many_requests_ahead, PIPELINES),
    "half_heads": (_half_a_head, CONNECTIONS),
    "slow_heads": (_slow_head, CONNECTIONS),
    "silent": (_nothing, CONNECTIONS),
}


def _check(crowd: str, door: Door, folder: Path) -> None:
    behave, size = CROWDS[crowd]

    async def _main() -> None:
        async with limited_vm(folder) as vm:
            await vm.send_crowd(door, size, behave)
            assert vm.is_running()
            assert vm.descriptors() <= FILE_DESCRIPTORS
            assert await vm.is_served(ROUTE)
            assert await vm.is_served(READINESS)
            vm.disconnect_crowd()
            assert await vm.is_served(ROUTE)
            assert vm.peak_memory_mb() <= MEMORY_MB

    asyncio.run(_main())


@pytest.mark.parametrize("door", DOORS, ids=["route", "no_route", "readiness", "directory"])
@pytest.mark.parametrize("crowd", CROWDS)
def test_a_crowd_does_not_exhaust_the_process(crowd: str, door: Door, tmp_path: Path) -> None:
    """Guards against a process that runs out of memory or descriptors, and against its callers."""
    _check(crowd, door, tmp_path)


def test_callers_that_do_not_read_are_bounded(tmp_path: Path) -> None:
    """Guards against answers that are kept for clients which never read them."""

    async def _ask_for_large_answers(client: Client) -> None:
        for _ in range(40):
            await client.send(client.door.head())

    async def _main() -> None:
        async with limited_vm(tmp_path) as vm:
            vm.runner.body = bytes(512 * 1024)
            await vm.send_crowd(Door(ROUTE.port, ROUTE.path, "GET"), 150, _ask_for_large_answers)
            assert vm.descriptors() <= FILE_DESCRIPTORS
            assert await vm.is_served(ROUTE)
            assert vm.peak_memory_mb() <= MEMORY_MB

    asyncio.run(_main())


def test_crowds_on_the_port_for_other_vms_are_bounded(tmp_path: Path) -> None:
    """Guards against connections that never authenticate and take all descriptors."""

    async def _main() -> None:
        async with limited_vm(tmp_path) as vm:
            await vm.send_crowd(Door(PEER_PORT, "/"), CONNECTIONS, _slow_head)
            assert vm.is_running()
            assert vm.descriptors() <= FILE_DESCRIPTORS
            assert await vm.is_served(ROUTE)
            assert vm.peak_memory_mb() <= MEMORY_MB

    asyncio.run(_main())


@pytest.mark.parametrize("door", [ROUTE, READINESS], ids=["route", "readiness"])
def test_a_large_request_is_served_in_calm(door: Door, tmp_path: Path) -> None:
    """Guards against limits that a single client within the operator's limits meets."""

    async def _main() -> None:
        async with limited_vm(tmp_path) as vm:
            assert await vm.is_served(door, bytes(BODY_BYTES))
            large_head = Door(door.port, door.path, door.method)
            connection = Client(vm, large_head, 0)
            await connection.connect()
            await connection.send(large_head.head(FIELDS))
            head = await connection.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head

    asyncio.run(_main())


def test_a_stop_beside_a_crowd_ends_in_time(tmp_path: Path) -> None:
    """Guards against a crowd that keeps a planned stop from ending."""

    async def _main() -> None:
        async with limited_vm(tmp_path) as vm:
            await vm.send_crowd(NO_ROUTE, BODIES, _body_in_small_pieces)
            assert vm.process.process is not None
            vm.process.process.terminate()
            assert await vm.process.wait(30.0) == 0

    asyncio.run(_main())


def test_the_host_of_these_tests_is_a_loopback_address() -> None:
    """Guards against crowds that leave this machine."""
    assert HOST.startswith("127.")
