"""Compares ways to relay streams: a thread a stream, hand-over to one loop, an asyncio server.

Run ``python -m mangosaddle.measure.relay``: each mode runs in a process of its own, with the
engine stand-in and the load generator in further processes, on loopback.
"""

import asyncio
import json
import multiprocessing
import resource
import socket
import statistics
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any

import aiohttp
import click
import urllib3
from aiohttp import web
from cheroot.wsgi import Server as WsgiServer

from ..gateway import (
    CallerRequest,
    CallerResponse,
    HttpFrontend,
    Relay,
    SocketHandover,
    StreamSink,
    attach_caller,
    attach_endpoint,
    open_stream,
)
from ..standins import EngineSpeed, EngineStandIn, StandInHost

TOKEN_INTERVAL_S = 0.08
RUN_S = 12.0
RAMP_S = 4.0
LOOP_PROBE_S = 0.05


@dataclass(frozen=True, slots=True)
class RelayUse:
    """Resources that a relay process used during the run."""

    cpu_s: float
    resident_mib: float
    loop_lag_p99_ms: float


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of the values, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def _run_engines(count: int, pipe: Connection) -> None:
    host = StandInHost()
    host.start()
    speed = EngineSpeed(prefill_s_per_token=0.0, token_interval_s=TOKEN_INTERVAL_S)
    engine = EngineStandIn("engine", ("m@v",), capacity=10_000, speed=speed)
    pipe.send([host.serve(engine.application(), "127.0.0.1") for _ in range(count)])
    pipe.recv()


class _LoopThread:
    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.lags_ms: list[float] = []
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._probe(), self.loop)

    async def _probe(self) -> None:
        while True:
            due = self.loop.time() + LOOP_PROBE_S
            await asyncio.sleep(LOOP_PROBE_S)
            self.lags_ms.append((self.loop.time() - due) * 1000)


class _SilentObserver:
    def on_first_token(self, relay: Relay) -> None:
        pass

    def on_source_lost(self, relay: Relay) -> None:
        relay.sink_lost()

    def on_closed(self, relay: Relay) -> None:
        pass

    def on_answer_unread(self, relay: Relay) -> None:
        pass


def _serve_handover(engine: str, control: _LoopThread) -> int:
    observer = _SilentObserver()

    def handle(request: CallerRequest) -> CallerResponse | SocketHandover:
        stream = open_stream(engine, json.loads(request.body), request.request_id, 0)

        def take(caller: socket.socket) -> None:
            async def start() -> None:
                relay = Relay(request.request_id, observer)
                sink = StreamSink(relay)
                relay.attach_sink(sink)
                await attach_caller(sink, caller)
                await attach_endpoint(relay, stream)

            asyncio.run_coroutine_threadsafe(start(), control.loop)

        return SocketHandover(take)

    return HttpFrontend("127.0.0.1", 0, handle).start()


def _serve_threads(engine: str, _control: _LoopThread) -> int:
    manager = urllib3.PoolManager(num_pools=4, maxsize=4096, retries=False)

    def application(
        environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterator[bytes]:
        body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        answer = manager.request(
            "POST", f"{engine}/v1/chat/completions", body=body, preload_content=False
        )
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        while part := answer.read1(65_536):
            yield part
        answer.release_conn()

    server = WsgiServer(("127.0.0.1", 0), application, numthreads=64, max=4096)
    server.prepare()
    server.requests.max = 4096
    server.requests.grow(1500)
    threading.Thread(target=server.serve, daemon=True).start()
    return int(server.bind_addr[1])


def _serve_asyncio(engine: str, control: _LoopThread) -> int:
    async def start() -> int:
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

        async def handle(request: web.Request) -> web.StreamResponse:
            body = await request.read()
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            async with session.post(f"{engine}/v1/chat/completions", data=body) as answer:
                await response.prepare(request)
                async for part in answer.content.iter_any():
                    await response.write(part)
            return response

        application = web.Application()
        application.router.add_post("/v1/chat/completions", handle)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0, backlog=2048).start()
        return int(runner.addresses[0][1])

    return asyncio.run_coroutine_threadsafe(start(), control.loop).result()


SERVERS = {"threads": _serve_threads, "handover": _serve_handover, "asyncio": _serve_asyncio}


def _run_relay(mode: str, engine: str, pipe: Connection) -> None:
    control = _LoopThread()
    pipe.send(SERVERS[mode](engine, control))
    pipe.recv()
    started_s = time.process_time()
    control.lags_ms.clear()
    pipe.recv()
    pipe.send(
        RelayUse(
            time.process_time() - started_s,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
            percentile(control.lags_ms[int(RAMP_S / LOOP_PROBE_S) :], 99),
        )
    )


async def _read_stream(session: aiohttp.ClientSession, url: str, gaps_ms: list[float]) -> None:
    body = {"model": "m@v", "messages": [{"content": "hello"}], "max_tokens": 1_000_000}
    measure_from = time.monotonic() + RAMP_S
    async with session.post(url, json=body) as answer:
        last = 0.0
        async for part in answer.content.iter_any():
            now = time.monotonic()
            if now > measure_from and last:
                gaps_ms.extend([(now - last) * 1000] * part.count(b"data: "))
            last = now


def _run_load(urls: list[str], streams: int, pipe: Connection) -> None:
    async def load() -> list[float]:
        gaps_ms: list[float] = []
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = []
            for number in range(streams):
                url = urls[number % len(urls)]
                tasks.append(asyncio.create_task(_read_stream(session, url, gaps_ms)))
                await asyncio.sleep(RAMP_S / 2 / streams)
            await asyncio.sleep(RUN_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return gaps_ms

    pipe.recv()
    pipe.send(asyncio.run(load()))


def _start(target: Callable[..., None], *arguments: object) -> tuple[Any, Connection]:
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=target, args=(*arguments, theirs), daemon=True)
    process.start()
    return process, ours


def run_mode(mode: str, streams: int, processes: int) -> str:
    """Run one mode and return its row of the table."""
    engines = [_start(_run_engines, 1) for _ in range(2)]
    engine_urls = [pipe.recv()[0] for _, pipe in engines]
    relays = [_start(_run_relay, mode, engine_urls[n % 2]) for n in range(processes)]
    urls = [f"http://127.0.0.1:{pipe.recv()}/v1/chat/completions" for _, pipe in relays]
    loads = [_start(_run_load, urls[n % processes :] or urls, streams // 2) for n in range(2)]
    for _, pipe in [*loads, *relays]:
        pipe.send("start")
    gaps_ms = [gap for _, pipe in loads for gap in pipe.recv()]
    for _, pipe in relays:
        pipe.send("report")
    uses: list[RelayUse] = [pipe.recv() for _, pipe in relays]
    for process, _ in [*engines, *relays, *loads]:
        process.kill()
        process.join()
    return _row(mode, streams, processes, gaps_ms, uses)


def _row(
    mode: str, streams: int, processes: int, gaps_ms: list[float], uses: list[RelayUse]
) -> str:
    measured_s = RUN_S - RAMP_S / 2
    cpu_s = sum(use.cpu_s for use in uses)
    # The load runs for the ramp and the run; tokens are counted after the ramp only.
    tokens = len(gaps_ms) * (RUN_S + RAMP_S / 2) / measured_s
    gaps = " / ".join(f"{percentile(gaps_ms, p):.0f}" for p in (50, 95, 99))
    resident = statistics.mean(use.resident_mib for use in uses)
    lag = max(use.loop_lag_p99_ms for use in uses)
    return (
        f"| {mode} | {processes} | {streams} | {len(gaps_ms) / measured_s:,.0f} | {gaps} | "
        f"{cpu_s / max(tokens, 1) * 1e6:.0f} | {resident:.0f} | {lag:.0f} |"
    )


@click.command()
@click.option("--mode", "modes", multiple=True, type=click.Choice(list(SERVERS)))
@click.option("--streams", "stream_counts", multiple=True, type=int, default=(200, 700, 1440))
@click.option("--processes", default=1, show_default=True, help="Relay processes.")
def main(modes: tuple[str, ...], stream_counts: tuple[int, ...], processes: int) -> None:
    """Print a table of the relays' throughput, token gaps, CPU and memory."""
    click.echo(
        "| relay | processes | streams | tokens/s | gap p50 / p95 / p99, ms | CPU per token, us "
        "| resident, MiB | control loop lag p99, ms |\n|---|---|---|---|---|---|---|---|"
    )
    for mode in modes or tuple(SERVERS):
        for streams in stream_counts:
            click.echo(run_mode(mode, streams, processes))


if __name__ == "__main__":
    main()
