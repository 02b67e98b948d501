"""A zone is evacuated while a VM reads the store again after its connections were reset."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from stand_ins import (
    Cluster,
    Link,
    configuration,
    main,
    plain_answer,
    plain_service,
    route,
    tenant,
)

ZONES = {"addis-a": "addis", "addis-b": "addis"}
CONTACT_S, EVACUATION_S = 6.0, 5.0
EVACUATED_FOR_S = 14.0
LINK_MBPS = 5.0
"""Of the smallest machines of the grown deployments."""
ROUTES = 1000
WORK_S = 0.06
INTERVAL_S = 0.04


async def play(has_trouble: bool) -> tuple[bool, str]:
    cluster = Cluster(Path(__file__).with_name("record.txt"), ZONES)
    store = cluster.store
    reads: asyncio.Queue[float] = asyncio.Queue()

    def on_call(port: int, path: str, prefix: str) -> None:
        if port == 0 and path == "/api/kv-range" and prefix.startswith("op"):
            reads.put_nowait(time.monotonic())

    store.on_call = on_call
    routes = [route("/status/", "safe", "clock-ledger")]
    routes += [route(f"/parish-{n}/", "safe", "clock-ledger") for n in range(ROUTES)]
    document = configuration(
        1, routes, [plain_service("clock-ledger")], [tenant("parish", "key-1")]
    )
    sent_at_by_id: dict[str, float] = {}
    calls: list[asyncio.Task] = []

    def record_sent(done: asyncio.Task, at_s: float) -> None:
        if not done.cancelled():
            sent_at_by_id[done.result().headers["request-id"]] = at_s

    async def send_steadily() -> None:
        while True:
            at_s = time.monotonic()
            task = asyncio.create_task(cluster.call(vm, "/status/tower"))
            task.add_done_callback(lambda done, at_s=at_s: record_sent(done, at_s))
            calls.append(task)
            await asyncio.sleep(INTERVAL_S)

    try:
        await store.put("op/config", document)
        answer = plain_answer(b"all towers are on time", WORK_S)
        for name, zone in (("ledger-1", "addis-a"), ("ledger-2", "addis-b")):
            await cluster.add_runner(name, "clock-ledger", zone, answer, slots=1)
        evacuated = cluster.runners["ledger-1"]
        vm, *others = (cluster.add_vm(f"vm-{number}", "addis-b") for number in (1, 2, 3))
        link = Link(await store.start(), LINK_MBPS)
        vm.store = await link.start()
        for other in others:
            other.store = await store.start()
        await cluster.start_vms()
        async with asyncio.timeout(15.0):
            while await vm.linked_vms() < len(others):
                await asyncio.sleep(0.1)
        traffic = asyncio.create_task(send_steadily())
        await asyncio.sleep(2.0)
        while not reads.empty():
            reads.get_nowait()
        if has_trouble:
            cluster.record("reset", vm=vm.name, link="store")
            link.reset()
            async with asyncio.timeout(5.0):
                await reads.get()
            cluster.record("read", vm=vm.name, prefix="op/")
        reset_at_s = time.monotonic()
        await asyncio.sleep(0.05)
        acknowledged_s = await store.put("op/evacuate/addis-a", {"zone": "addis-a"})
        cluster.record("acknowledged", evacuated="addis-a")
        await asyncio.sleep(EVACUATED_FOR_S)
        taken_back_s = await store.remove("op/evacuate/addis-a")
        cluster.record("acknowledged", taken_back="addis-a")
        traffic.cancel()
        await asyncio.gather(*calls)
    finally:
        await cluster.stop()
    in_touch_s = max(reset_at_s + CONTACT_S, acknowledged_s + EVACUATION_S)
    late = [
        run
        for run in evacuated.runs
        if sent_at_by_id.get(run.request_id, 0.0) > in_touch_s
        and in_touch_s < run.at_s < taken_back_s
    ]
    for run in late:
        cluster.record("broken", rule="EVAC", request=run.request_id, runner=run.runner)
    text = (
        f"{len(late)} requests reached the runner of the evacuated zone from a machine in touch,"
        f" more than {EVACUATION_S:.0f} s after the acknowledgement"
    )
    cluster.write_record(text)
    return bool(late), text


main(play, has_trouble=os.environ.get("TROUBLE") != "0")
