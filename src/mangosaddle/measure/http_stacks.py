"""Compare HTTP libraries: ``python -m mangosaddle.measure.http_stacks``."""

import asyncio
import os
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import click
import urllib3

from ..http11 import HttpError, UpstreamConnection, UpstreamRequest
from ._http_servers import BODY, HOST, Odd, Stack, odd_server, serve

CONNECTIONS = 64
REQUESTS_PER_S = 600.0
LOAD_S = 5.0
START_S = 10.0
TIMEOUT_S = 2.0
CLIENT_REQUESTS = 2000
REQUEST = b"GET /read/1 HTTP/1.1\r\nHost: a\r\nEcho-Id: 1\r\n\r\n"
PERCENTILE = 0.99


@click.command()
@click.option(
    "--serve",
    "served",
    type=click.Choice([stack.name for stack in Stack]),
    default=None,
    hidden=True,
)
@click.option("--port", type=int, default=0, hidden=True)
def main(served: str | None, port: int) -> None:
    """Measure processor time, latency and the treatment of broken answers."""
    if served is not None:
        serve(Stack[served], port)
        return
    click.echo(
        f"server: {CONNECTIONS} connections, {REQUESTS_PER_S:.0f} requests/s, answers of "
        f"{len(BODY)} B; client: {CLIENT_REQUESTS} requests one after the other"
    )
    click.echo(
        f"{'stack':<22} {'answers':>8} {'us/answer':>10} {'p99 ms':>8} {'peak MB':>8}"
        f" {'client us':>10}"
    )
    for stack in Stack:
        answers, cpu_us, p99_ms, peak_mb = _server_figures(stack)
        client_us = asyncio.run(_client_us(stack))
        click.echo(
            f"{stack:<22} {answers:>8} {cpu_us:>10.0f} {p99_ms:>8.1f} {peak_mb:>8.0f}"
            f" {client_us:>10.0f}"
        )
    click.echo("\nclients and broken answers: what the caller of the library sees")
    for odd in Odd:
        seen = asyncio.run(_clients_see(odd))
        click.echo(f"{odd:<36} " + ", ".join(f"{stack}: {text}" for stack, text in seen.items()))


def _server_figures(stack: Stack) -> tuple[int, float, float, float]:
    """Return answers, microseconds of processor time an answer, p99 in ms and peak MB."""
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    command = [sys.executable, "-m", __spec__.name, "--serve", stack.name, "--port", str(port)]
    child = subprocess.Popen(command)
    try:
        _wait_for(port)
        idle_s = _cpu_s(child.pid)
        latencies = asyncio.run(_load(port))
        used_s = _cpu_s(child.pid) - idle_s
        peak_mb = _peak_mb(child.pid)
    finally:
        child.kill()
        child.wait()
    ranked = sorted(latencies)
    p99_ms = ranked[int(PERCENTILE * len(ranked))] * 1000
    return len(latencies), used_s / len(latencies) * 1e6, p99_ms, peak_mb


def _wait_for(port: int) -> None:
    end_s = time.monotonic() + START_S
    while True:
        try:
            socket.create_connection((HOST, port), 1.0).close()
        except OSError:
            if time.monotonic() > end_s:
                raise
            time.sleep(0.05)
        else:
            return


def _cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _peak_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        line = next(line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


async def _load(port: int) -> list[float]:
    """Return the latencies in seconds of a steady load, counted from when each was due.

    What is not answered soon after its end is left out.
    """
    latencies: list[float] = []
    clock = asyncio.get_running_loop().time
    began_s = clock()

    async def _connection(number: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        due_s = began_s + number / REQUESTS_PER_S
        while due_s < began_s + LOAD_S:
            await asyncio.sleep(max(0.0, due_s - clock()))
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(BODY))
            latencies.append(clock() - due_s)
            due_s += CONNECTIONS / REQUESTS_PER_S
        writer.close()

    tasks = [asyncio.ensure_future(_connection(number)) for number in range(CONNECTIONS)]
    _, late = await asyncio.wait(tasks, timeout=LOAD_S + TIMEOUT_S)
    for task in late:
        task.cancel()
    return latencies


async def _client_us(stack: Stack) -> float:
    """Return microseconds of processor time a request on one kept connection."""
    with odd_server(Odd.SOUND) as port:
        if stack is Stack.CHEROOT:
            return await asyncio.to_thread(_blocking_client_us, port)
        async with _asker(stack, port) as ask:
            await ask()
            began_s = time.thread_time()
            for _ in range(CLIENT_REQUESTS):
                await ask()
            return (time.thread_time() - began_s) / CLIENT_REQUESTS * 1e6


def _blocking_client_us(port: int) -> float:
    pool = _urllib3_pool(port)
    _ask_urllib3(pool)
    began_s = time.thread_time()
    for _ in range(CLIENT_REQUESTS):
        _ask_urllib3(pool)
    return (time.thread_time() - began_s) / CLIENT_REQUESTS * 1e6


async def _clients_see(odd: Odd) -> dict[Stack, str]:
    """Return what each client makes of two requests in a row."""
    seen = {}
    for stack in Stack:
        with odd_server(odd) as port:
            async with _asker(stack, port) as ask:
                seen[stack] = " / ".join([await ask(), await ask()])
    return seen


def _urllib3_pool(port: int) -> urllib3.HTTPConnectionPool:
    return urllib3.HTTPConnectionPool(HOST, port, maxsize=1, retries=False, timeout=TIMEOUT_S)


@asynccontextmanager
async def _asker(stack: Stack, port: int) -> AsyncIterator[Callable[[], Awaitable[str]]]:
    """Yield a call that asks once on a kept connection and says what came."""
    if stack is Stack.CHEROOT:
        pool = _urllib3_pool(port)
        yield lambda: asyncio.to_thread(_ask_urllib3, pool)
        pool.close()
    elif stack is Stack.AIOHTTP:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(TIMEOUT_S)) as session:
            yield lambda: _ask_aiohttp(session, port)
    else:
        connections: list[UpstreamConnection] = []
        yield lambda: _ask_h11(connections, port)
        for connection in connections:
            connection.abort()


def _ask_urllib3(pool: urllib3.HTTPConnectionPool) -> str:
    try:
        answer = pool.request("GET", "/read/1", headers={"Echo-Id": "1"})
    except urllib3.exceptions.HTTPError as error:
        return type(error).__name__
    return _shown(answer.headers.get("Echo-Id", ""), answer.data)


async def _ask_aiohttp(session: aiohttp.ClientSession, port: int) -> str:
    try:
        async with session.get(f"http://{HOST}:{port}/", headers={"Echo-Id": "1"}) as answer:
            return _shown(answer.headers.get("Echo-Id", ""), await answer.read())
    except (aiohttp.ClientError, TimeoutError) as error:
        return type(error).__name__


async def _ask_h11(connections: list[UpstreamConnection], port: int) -> str:
    headers = [(b"Host", b"a"), (b"Echo-Id", b"1")]
    request = UpstreamRequest(b"GET", b"/", headers, b"", b"1", b"echo-id")
    try:
        if not connections or not connections[-1].usable:
            connections.append(await UpstreamConnection.open(HOST, port, TIMEOUT_S))
        head, body = await connections[-1].call(request, TIMEOUT_S, 1 << 20)
    except HttpError as error:
        return type(error).__name__
    return _shown((head.view.first(b"echo-id") or b"").decode(), body)


def _shown(name: str, body: bytes) -> str:
    if name != "1":
        return "WRONG ANSWER"
    return "answer" if body == BODY else "PART AS WHOLE"


if __name__ == "__main__":
    main()
