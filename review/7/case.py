"""A store that is silent for 0.15 s, and keys that change 7 s later."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from deployment import (  # noqa: E402
    CouldNotRun, Machine, Record, Server, Store, call, configuration, free_network, main, route,
    service, tenant,
)

ZONES = {"addis-a": "addis"}
SILENCE_S = 0.15
CONTACT_S = 6.0
PROPAGATION_S = 4.0


def version(number: int, timeout_ms: int, *keys: str) -> dict:
    routes = [route("/status/", "safe", "ledger", timeout_ms=timeout_ms)]
    return configuration(number, routes, [service("ledger")], [tenant("huka270", *keys)])


async def wait_for_quiet_leases(store: Store) -> None:
    """Wait for a moment at which no machine is about to renew its lease.

    The leases are renewed every 1.6 to 2 s. At any other moment a silence of this length misses
    all three renewals in about three of four cases.
    """
    for _ in range(2000):
        ages = [time.monotonic() - at_s for at_s in store.kept_at.values()]
        if all(0.05 < age < 1.3 for age in ages):
            return
        await asyncio.sleep(0.005)
    raise CouldNotRun("no quiet moment")


async def case(folder: Path, record: Record, trouble: bool, machines: list[Machine]) -> bool:
    network = free_network()
    store = Store(record)
    address = await store.start(f"{network}.250")
    await store.put("op/config", version(3, 4000, "key-old", "key-kept"))
    for number in (1, 2):
        server = Server(record, store, f"i-{number}", "ledger", "addis-a")
        await server.start(f"{network}.{200 + number}")
    for number in (1, 2, 3):
        machine = Machine(f"front-{number}", f"{network}.{number}", "addis-a", ZONES, address,
                          folder, record)
        machines.append(machine)
        await machine.start()
    for machine in machines:
        await machine.wait_until_ready()
    await asyncio.sleep(CONTACT_S)
    for machine in machines:
        id_, answer = await call(record, machine.host, "/status/1", "key-old")
        record.write(f"{id_} with key-old to {machine.name}: {answer.status} {answer.end}")
        if answer.status != 200:
            raise CouldNotRun("the key does not work before the case")
    await wait_for_quiet_leases(store)
    await store.put("op/config", version(5, 3900, "key-old", "key-kept"))
    record.write("version 5 (another time-out) is acknowledged")
    if trouble:
        store.silent = True
        await asyncio.sleep(SILENCE_S)
        store.silent = False
        record.write(f"the store was silent for {SILENCE_S} s; it got and never answered "
                     f"{sorted(store.dropped)}")
    await asyncio.sleep(CONTACT_S + 1.0)
    await store.put("op/config", version(8, 3900, "key-new", "key-kept"))
    acknowledged_s = time.monotonic()
    record.write("version 8 (key-old is taken away, key-new is added) is acknowledged")
    broken = 0
    while time.monotonic() - acknowledged_s < PROPAGATION_S + 4.0:
        await asyncio.sleep(0.5)
        for machine in machines:
            for key, stale in (("key-old", 200), ("key-new", 401)):
                sent_s = time.monotonic() - acknowledged_s
                id_, answer = await call(record, machine.host, "/status/1", key)
                record.write(f"{id_} with {key} to {machine.name}, sent {sent_s:.2f} s after the "
                             f"acknowledgement: {answer.status} {answer.end}")
                if sent_s > PROPAGATION_S and answer.status == stale:
                    broken += 1
    record.write(f"{broken} requests were handled as only version 5 or older allows, more than "
                 f"{PROPAGATION_S} s after version 8 was acknowledged")
    return broken > 0


main(str(Path(__file__).parent), case, trouble=os.environ.get("TROUBLE", "1") != "0")
