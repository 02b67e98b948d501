"""A key is withdrawn in a large configuration, in a fleet of twelve VMs."""

import asyncio
import os
import random
import string
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from stand_ins import (
    Cluster,
    configuration,
    main,
    plain_answer,
    plain_service,
    route,
    tenant,
)

ZONES = {
    f"{region}-{letter}": region for region in ("addis", "gondar", "mekele") for letter in "ab"
}
VMS_PER_ZONE = 2
PROPAGATION_S = 5.0
TENANTS, KEYS_PER_TENANT, FEW_KEYS_PER_TENANT = 4600, 8, 1
VALUE_BYTES = 1_048_576


async def play(has_trouble: bool) -> tuple[bool, str]:
    cluster = Cluster(Path(__file__).with_name("record.txt"), ZONES)
    store = cluster.store
    rng = random.Random(1)
    alphabet = string.ascii_lowercase + string.digits
    per_tenant = KEYS_PER_TENANT if has_trouble else FEW_KEYS_PER_TENANT
    tenants = [
        {
            "name": f"t{number}",
            "api_keys": ["".join(rng.choices(alphabet, k=20)) for _ in range(per_tenant)],
        }
        for number in range(TENANTS if has_trouble else 500)
    ]

    def version(number: int, *keys: str) -> dict:
        return configuration(
            number,
            [route("/status/", "safe", "clock-ledger")],
            [plain_service("clock-ledger")],
            [tenant("parish", *keys), *tenants],
        )

    try:
        await store.put("op/config", version(1, "key-1", "key-2"))
        for zone in ZONES:
            await cluster.add_runner(
                f"ledger-{zone}", "clock-ledger", zone, plain_answer(b"on time", 0.01)
            )
        for zone in ZONES:
            for number in range(VMS_PER_ZONE):
                cluster.add_vm(f"vm-{zone}-{number}", zone)
        await cluster.start_vms()
        await asyncio.sleep(10.0)
        await store.put("op/config", version(2, "key-1", "key-2", "key-3"))
        cluster.record("acknowledged", version=2, added="key-3")
        await asyncio.sleep(6.0)
        acknowledged_s = await store.put("op/config", version(3, "key-2", "key-3"))
        size = len(store.items["op/config"]["value"]) * 3 // 4
        if size > VALUE_BYTES:
            raise RuntimeError(f"a value of {size} B is too large for the store")
        cluster.record("acknowledged", version=3, dropped="key-1", bytes=size)
        await asyncio.sleep(acknowledged_s + PROPAGATION_S + 1.5 - time.monotonic())
        dropped = await asyncio.gather(
            *(cluster.call(vm, "/status/tower", "key-1") for vm in cluster.vms.values())
        )
        kept = await asyncio.gather(
            *(cluster.call(vm, "/status/tower", "key-2") for vm in cluster.vms.values())
        )
    finally:
        await cluster.stop()
    if not all(row.status == 200 for row in kept):
        raise RuntimeError(f"the key that is kept is not served: {[row.status for row in kept]}")
    served = [row for row in dropped if row.status != 401]
    for row in served:
        cluster.record(
            "broken", rule="CONFIG", request=row.headers["request-id"], status=row.status
        )
    text = (
        f"{len(served)} of {len(dropped)} machines served a key more than"
        f" {PROPAGATION_S:.0f} s after the acknowledgement of the version that dropped it"
    )
    cluster.write_record(text)
    return bool(served), text


main(play, has_trouble=os.environ.get("TROUBLE") != "0")
