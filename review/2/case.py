"""A faulty runner truncates some of its streams inside an event; another runner is free."""

import asyncio
import os
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from stand_ins import (
    Cluster,
    Message,
    Runner,
    answer_head,
    configuration,
    engine_service,
    main,
    route,
    tenant,
)

EVENTS = 8
EVENT_INTERVAL_S = 0.01
REQUESTS, CALLERS = 400, 8
TRUNCATED_EACH = 50
"""One of the two runners truncates one in so many of its streams: the first to get so many."""
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def event(number: int) -> bytes:
    return b"id: %d\ndata: seven tokens of the verdict, %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def play(has_trouble: bool) -> tuple[bool, str]:
    cluster = Cluster(Path(__file__).with_name("record.txt"), {"addis-a": "addis"})
    streams_by_runner: dict[str, int] = {}
    faulty = ""

    async def answer(runner: Runner, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Stream the events after ``Last-Event-Id`` in chunks."""
        nonlocal faulty
        streams = streams_by_runner[runner.id] = streams_by_runner.get(runner.id, 0) + 1
        is_turn = has_trouble and streams % TRUNCATED_EACH == 0
        if is_turn and not faulty:
            # The placement may prefer either runner: the busier one is the faulty one.
            faulty = runner.id
        is_truncated = is_turn and runner.id == faulty
        head = [f"{name}: {value}" for name, value in answer_head(request).items()]
        head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *head, "", ""]).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if is_truncated and number == EVENTS // 2:
                cluster.record("truncated", runner=runner.id, request=request.headers["request-id"])
                writer.write(chunk(event(number)[:20]))
                break
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    document = configuration(
        1,
        [route("/verdict/", "streaming", "keeper-advisor", resumable=True, timeout_ms=5000)],
        [engine_service("keeper-advisor")],
        [tenant("parish", "key-1")],
    )
    try:
        await cluster.store.put("op/config", document)
        for name in ("advisor-1", "advisor-2"):
            await cluster.add_runner(name, "keeper-advisor", "addis-a", answer, slots=64)
        vm = cluster.add_vm("vm-1", "addis-a")
        await cluster.start_vms()
        answers = []

        async def send_in_turn(caller: int) -> None:
            for number in range(REQUESTS // CALLERS):
                answers.append(
                    await cluster.call(
                        vm,
                        "/verdict/log",
                        method="POST",
                        body=b"maintenance log",
                        Model="m",
                        Token_Counts="400,56",
                        Prompt_Prefix=f"{caller:04x}{number:04x}:400",
                    )
                )

        await asyncio.gather(*(send_in_turn(caller) for caller in range(CALLERS)))
    finally:
        await cluster.stop()
    whole = list(range(1, EVENTS + 1))
    successes = [row for row in answers if row.status == 200 and row.is_complete]
    wrong = [row for row in successes if [int(n) for n in EVENT_ID.findall(row.body)] != whole]
    for row in wrong:
        cluster.record(
            "broken",
            rule="ORDER",
            request=row.headers["request-id"],
            events=len(EVENT_ID.findall(row.body)),
            of=EVENTS,
        )
    text = f"{len(wrong)} of {len(successes)} streams ended as complete before their last piece"
    cluster.write_record(text)
    return bool(wrong), text


main(play, has_trouble=os.environ.get("TROUBLE") != "0")
