"""The same small answer from three HTTP servers, and a raw server that breaks the protocol."""

import asyncio
import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

from aiohttp import web
from cheroot.wsgi import Server

from ..http11 import HttpServer, ServerExchange, ServerLimits

BODY = b"x" * 800
HOST = "127.0.0.1"
THREADS = 64
"""Threads of the server with a thread a connection: as many as the load has connections."""


class Stack(StrEnum):
    """A server, or the client of the same kind."""

    CHEROOT = "cheroot and urllib3"
    AIOHTTP = "aiohttp"
    H11 = "h11 on asyncio"


class Odd(StrEnum):
    """How the raw server answers."""

    SOUND = "sound"
    EARLIER = "answer to an earlier request first"
    EXTRA = "bytes after the answer"
    SHORT = "body shorter than stated"
    RESET = "no length, reset in the body"
    GARBAGE = "bytes that are not HTTP"


def serve(stack: Stack, port: int) -> None:
    """Serve until the process ends."""
    if stack is Stack.CHEROOT:
        server = Server((HOST, port), _wsgi, numthreads=THREADS)
        server.keep_alive_conn_limit = THREADS
        server.start()
    elif stack is Stack.AIOHTTP:
        application = web.Application()
        application.router.add_get("/{rest:.*}", _aiohttp)
        web.run_app(application, host=HOST, port=port, print=None, access_log=None)
    else:
        asyncio.run(_serve_h11(port))


def _wsgi(_environ: object, start_response: object) -> list[bytes]:
    start_response("200 OK", [("Content-Length", str(len(BODY)))])  # type: ignore[operator]
    return [BODY]


async def _aiohttp(_request: web.Request) -> web.Response:
    return web.Response(body=BODY)


async def _h11(exchange: ServerExchange) -> None:
    await exchange.respond(200, [(b"Content-Length", str(len(BODY)).encode())], BODY)


async def _serve_h11(port: int) -> None:
    server = HttpServer(_h11, ServerLimits)
    await server.start(HOST, port)
    await asyncio.Event().wait()


@contextmanager
def odd_server(odd: Odd) -> Iterator[int]:
    """Run the raw server in a thread of its own; yields its port."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    async def _answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _converse(odd, reader, writer)

    starting = asyncio.run_coroutine_threadsafe(asyncio.start_server(_answer, HOST, 0), loop)
    server = starting.result()
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        loop.call_soon_threadsafe(server.close)
        asyncio.run_coroutine_threadsafe(_cancel_others(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def _cancel_others() -> None:
    """End the conversations of clients that keep their connections."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def _converse(odd: Odd, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while request := await reader.readuntil(b"\r\n\r\n"):
            name = next(
                line.partition(b":")[2].strip()
                for line in request.split(b"\r\n")
                if line.lower().startswith(b"echo-id:")
            )
            if not await _write(odd, name, writer):
                return
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        # The client has left, or the measurement is over.
        return
    finally:
        writer.close()


async def _write(odd: Odd, name: bytes, writer: asyncio.StreamWriter) -> bool:
    """Write one answer; returns whether the connection stays open."""
    sound = _head(name, len(BODY)) + BODY
    match odd:
        case Odd.EARLIER:
            writer.write(_head(b"earlier", 5) + b"other" + sound)
        case Odd.EXTRA:
            writer.write(sound + _head(b"later", 5) + b"other")
        case Odd.SHORT:
            writer.write(_head(name, len(BODY)) + BODY[:-3])
        case Odd.RESET:
            writer.write(_head(name, None) + BODY[:400])
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        case Odd.GARBAGE:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
        case _:
            writer.write(sound)
    return odd in (Odd.SOUND, Odd.EARLIER, Odd.EXTRA)


def _head(name: bytes, size: int | None) -> bytes:
    length = b"" if size is None else f"Content-Length: {size}\r\n".encode()
    return b"HTTP/1.1 200 OK\r\nEcho-Id: " + name + b"\r\n" + length + b"\r\n"
