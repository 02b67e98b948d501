"""Decoding of requests that are valid but for random changes, in pieces of random sizes."""

import asyncio
import random
import sys
import tracemalloc
from collections.abc import Iterator
from types import FrameType

import pytest
from endless_peers import PeerTransport, run_virtually

from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits

SEEDS = range(60)
MAX_CALLS_PER_BYTE = 40
MAX_CALLS_PER_PIECE = 250
BASE_CALLS = 5_000
"""Bounds of the function calls in Python and C, about twice of what the requests below take. A
piece wakes the server, and a chunk of one byte has six bytes."""
MAX_BYTES_PER_BYTE = 40
BASE_MEMORY_BYTES = 256 * 1024
"""Bounds of the memory at any time, about three times of what the requests take. A header field of
four bytes becomes several objects."""
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


def _head(rng: random.Random) -> bytes:
    fields = [b"Host: h"]
    for _ in range(rng.choice((0, 1, 5, 60, 400))):
        name = bytes(rng.choices(b"abcXYZ-_", k=rng.randint(1, 12)))
        fields.append(name + b":" + bytes(rng.choices(b" vw,;=\t", k=rng.randint(0, 30))))
    fields.append(rng.choice((b"Transfer-Encoding: chunked", b"Content-Length: 300", b"A: b")))
    rng.shuffle(fields)
    return b"POST /x HTTP/1.1\r\n" + b"\r\n".join(fields) + b"\r\n\r\n"


def _body(rng: random.Random) -> bytes:
    chunks = []
    for _ in range(rng.choice((0, 1, 20, 800))):
        size = rng.choice((1, 1, 2, 17, 300))
        extension = b";" + b"e" * rng.randint(0, 40) if rng.random() < 0.1 else b""
        chunks.append(b"%x" % size + extension + b"\r\n" + b"d" * size + b"\r\n")
    trailer = b"T: x\r\n" * rng.choice((0, 0, 1, 50))
    return b"".join(chunks) + b"0\r\n" + trailer + b"\r\n"


def _changed(rng: random.Random, data: bytes) -> bytes:
    """Return the bytes with some of them replaced, removed or repeated."""
    changed = bytearray(data)
    for _ in range(rng.choice((0, 1, 3, 30))):
        place = rng.randrange(len(changed))
        kind = rng.randrange(3)
        if kind == 0:
            changed[place] = rng.choice(b"\x00\r\n :;0fFxX\xff") if rng.random() < 0.8 else 65
        elif kind == 1:
            del changed[place : place + rng.randint(1, 8)]
        else:
            part = changed[place : place + rng.randint(1, 64)]
            changed[place:place] = part * rng.randint(1, 40)
        if not changed:
            return b"\r\n"
    return bytes(changed)


def _pieces(rng: random.Random, data: bytes) -> Iterator[bytes]:
    largest = rng.choice((1, 3, 100, 5000, 65_536))
    if largest == 1:
        data = data[:8192]
    start = 0
    while start < len(data):
        end = start + rng.randint(1, largest)
        yield data[start:end]
        start = end


async def _answer(exchange: ServerExchange) -> None:
    await exchange.respond(200, [], b"")


async def _serve(pieces: list[bytes]) -> bytes:
    """Return what the server writes to a client that sends the pieces and leaves."""
    server = HttpServer(_answer, ServerLimits)
    reader = asyncio.StreamReader(limit=64 * 1024)
    protocol = asyncio.StreamReaderProtocol(reader)
    transport = PeerTransport(protocol)
    writer = asyncio.StreamWriter(transport, protocol, reader, asyncio.get_running_loop())
    serving = asyncio.create_task(server._serve_connection(reader, writer))
    for piece in pieces:
        if serving.done():
            break
        reader.feed_data(piece)
        await asyncio.sleep(0.001)
    reader.feed_eof()
    await asyncio.wait_for(serving, 60.0)
    return bytes(transport.written)


def _count_calls(pieces: list[bytes]) -> int:
    calls = 0

    def _profile(_frame: FrameType, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(_profile)
    try:
        run_virtually(_serve(pieces))
    finally:
        sys.setprofile(None)
    return calls


def _peak_bytes(pieces: list[bytes]) -> int:
    tracemalloc.start()
    try:
        run_virtually(_serve(pieces))
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("seed", SEEDS)
def test_work_and_memory_are_bounded_by_the_bytes_received(seed: int) -> None:
    """Guards against requests that cost far more to decode than to send, and against an exit."""
    rng = random.Random(seed)
    data = b"".join(_changed(rng, _head(rng) + _body(rng)) for _ in range(rng.randint(1, 3)))
    pieces = list(_pieces(rng, data))
    size = sum(map(len, pieces))
    calls = _count_calls(pieces)
    assert calls <= BASE_CALLS + MAX_CALLS_PER_BYTE * size + MAX_CALLS_PER_PIECE * len(pieces)
    assert _peak_bytes(pieces) <= BASE_MEMORY_BYTES + MAX_BYTES_PER_BYTE * size


def test_an_unchanged_request_is_answered_in_any_pieces() -> None:
    """Guards against a fuzz run in which the server refuses everything."""
    for seed in range(10):
        rng = random.Random(seed)
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"3\r\nabc\r\n" * rng.randint(1, 500) + b"0\r\n\r\n"
        pieces = list(_pieces(rng, head + body))
        written = run_virtually(_serve([*pieces, GET]))
        assert written.startswith(b"HTTP/1.1 200"), (seed, written[:60])
