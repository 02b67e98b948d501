"""End-to-end tests with separate VM processes: kill, drain and store outage."""

import signal
import threading
from dataclasses import dataclass, field

import urllib3

from entry_processes import EXIT_TIMEOUT_S, AuthorityProcesses
from mangosaddle.client import Client, ClientError
from mangosaddle.demo import wait_for

QUESTION = [{"role": "user", "content": "How far does the tower clock drift?"}]
TOKENS = 40
CALLERS = 12
DETECTION_TIMEOUT_S = 15.0


@dataclass
class LoadGenerator:
    """Callers that stream chats in a loop until they are stopped."""

    processes: AuthorityProcesses
    complete_count: int = 0
    truncated_count: int = 0
    errors: list[ClientError] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def run(self, number: int) -> None:
        """Stream chats from one VM; ``number`` selects the VM."""
        vms = sorted(self.processes.processes_by_vm)
        key = self.processes.standins.key_of("tower-trust")
        with Client([self.processes.url(vms[number % len(vms)])], key, deadline_s=20.0) as client:
            while not self.stopping.is_set():
                try:
                    text = "".join(client.stream_chat(QUESTION, "advisor", {"max_tokens": TOKENS}))
                except ClientError as error:
                    with self.lock:
                        self.errors.append(error)
                    continue
                with self.lock:
                    if len(text.split()) == TOKENS:
                        self.complete_count += 1
                    else:
                        self.truncated_count += 1


def test_responses_stay_complete_when_vms_are_drained_and_killed(
    processes: AuthorityProcesses,
) -> None:
    """Guards against responses that are cut, truncated or duplicated when VMs leave.

    A planned stop must not abort any response; after a kill, callers resume at another VM.
    """
    load = LoadGenerator(processes)
    threads = [threading.Thread(target=load.run, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    wait_for(lambda: load.complete_count >= CALLERS, "the load is running", 20.0)

    processes.signal("gondar-2", signal.SIGTERM)
    assert processes.processes_by_vm["gondar-2"].wait(EXIT_TIMEOUT_S) == 0
    after_drain = load.complete_count
    wait_for(
        lambda: load.complete_count >= after_drain + CALLERS,
        "the load continues after the drain",
        20.0,
    )
    assert load.errors == []

    processes.signal("mekele-1", signal.SIGKILL)
    wait_for(
        lambda: processes.sees("addis-1", 4), "the killed VM leaves discovery", DETECTION_TIMEOUT_S
    )
    after_kill = load.complete_count
    wait_for(
        lambda: load.complete_count >= after_kill + CALLERS,
        "the load continues after the kill",
        20.0,
    )
    load.stopping.set()
    for thread in threads:
        thread.join(30.0)

    assert load.truncated_count == 0
    assert load.errors == []


def test_an_order_runs_once_when_its_vm_is_killed(processes: AuthorityProcesses) -> None:
    """Guards against a second execution when the VM that ran the order is killed."""
    key = processes.standins.key_of("tower-trust")
    order = {"clock": 3, "seconds": -2}
    with Client([processes.url("addis-1")], key) as client:
        first = client.order("orders", "/corrections", order, "order-1")
    processes.signal("addis-1", signal.SIGKILL)
    with Client([processes.url("mekele-2")], key) as client:
        second = client.order("orders", "/corrections", order, "order-1")
    services = processes.standins.services_by_id.values()
    assert second.body == first.body
    assert sum(service.executions_by_key["order-1"] for service in services) == 1


def test_a_store_outage_refuses_orders_and_serves_chats(
    processes: AuthorityProcesses,
) -> None:
    """Guards against a store outage that stops chats, or refuses orders with a false report."""
    processes.standins.store.faults.down = True
    key = processes.standins.key_of("tower-trust")
    with Client([processes.url("gondar-1")], key, deadline_s=3.0) as client:
        text = "".join(client.stream_chat(QUESTION, "advisor", {"max_tokens": TOKENS}))
        assert len(text.split()) == TOKENS
        refused = urllib3.request(
            "POST",
            processes.url("gondar-1") + "/v1/services/orders/corrections",
            headers={"Authorization": f"Bearer {key}", "Idempotency-Key": "order-2"},
            json={"clock": 4},
            retries=False,
        )
        assert (refused.status, refused.json()["execution"]) == (503, "not_run")
        entry_issued = client.order("orders", "/corrections", {"clock": 5}, entry_issued=True)
    services = processes.standins.services_by_id.values()
    assert sum(service.executions_by_key["order-2"] for service in services) == 0
    assert entry_issued.status == 201
