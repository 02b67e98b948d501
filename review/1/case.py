"""One of six runners goes dark in the middle of an answer without a length; others are free."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from stand_ins import (
    Cluster,
    Message,
    Runner,
    answer_head,
    configuration,
    main,
    plain_service,
    route,
    tenant,
)

WHOLE_BODY = b"".join(b"line %05d of the tower clock status\n" % n for n in range(1000))
WORK_S = 0.2
RUNNERS, CALLS = 6, 12
DARK_S = 4.0


async def play(has_trouble: bool) -> tuple[bool, str]:
    cluster = Cluster(Path(__file__).with_name("record.txt"), {"addis-a": "addis"})
    half_sent: asyncio.Queue[Runner] = asyncio.Queue()

    async def answer(runner: Runner, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer without a length, in two parts; the answer ends with the connection."""
        await asyncio.sleep(WORK_S)
        head = [f"{name}: {value}" for name, value in answer_head(request).items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *head, "", ""]).encode())
        writer.write(WHOLE_BODY[: len(WHOLE_BODY) // 2])
        await writer.drain()
        half_sent.put_nowait(runner)
        await asyncio.sleep(0.1)
        writer.write(WHOLE_BODY[len(WHOLE_BODY) // 2 :])
        await writer.drain()
        return False

    document = configuration(
        1,
        [route("/status/", "safe", "clock-ledger", timeout_ms=8000)],
        [plain_service("clock-ledger")],
        [tenant("parish", "key-1")],
    )
    try:
        await cluster.store.put("op/config", document)
        links = {}
        for name in (f"ledger-{number}" for number in range(1, RUNNERS + 1)):
            runner = cluster.runners[name] = Runner(
                cluster, name, "clock-ledger", "addis-a", answer, 6
            )
            links[name] = await runner.start(behind=True)
        vm = cluster.add_vm("vm-1", "addis-a")
        await cluster.start_vms()

        async def call() -> Message:
            return await cluster.call(vm, "/status/tower", deadline_ms=8000)

        answers = [await call() for _ in range(4 * RUNNERS)]
        while not half_sent.empty():
            half_sent.get_nowait()
        calls = [asyncio.create_task(call()) for _ in range(CALLS)]
        if has_trouble:
            runner = await half_sent.get()
            await asyncio.sleep(0.02)
            links[runner.id].hold_all()
            cluster.record("dark", runner=runner.id)
            await asyncio.sleep(DARK_S)
            links[runner.id].reset()
            links[runner.id].release()
            cluster.record("back", runner=runner.id)
        answers += await asyncio.gather(*calls)
        answers += [await call() for _ in range(5)]
    finally:
        await cluster.stop()
    successes = [row for row in answers if 200 <= row.status < 300 and row.is_complete]
    wrong = [row for row in successes if row.body != WHOLE_BODY]
    for row in wrong:
        cluster.record(
            "broken",
            rule="MIXED",
            request=row.headers["request-id"],
            got=len(row.body),
            whole=len(WHOLE_BODY),
        )
    text = f"{len(wrong)} of {len(successes)} complete successes without the runner's whole body"
    cluster.write_record(text)
    return bool(wrong), text


main(play, has_trouble=os.environ.get("TROUBLE") != "0")
