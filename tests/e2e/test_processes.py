"""End to end: separate processes, one killed and one drained under load."""

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
DETECTION_S = 15.0


@dataclass
class Load:
    """Callers that stream again and again until they are told to stop."""

    processes: AuthorityProcesses
    whole: int = 0
    short: int = 0
    errors: list[ClientError] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def run(self, number: int) -> None:
        """Stream answers at a VM of the caller's own."""
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
                        self.whole += 1
                    else:
                        self.short += 1


def test_a_killed_and_a_drained_vm_under_load(processes: AuthorityProcesses) -> None:
    """Guards against answers that are cut, short or doubled when VMs leave.

    A planned stop must cut nothing; after a kill callers resume at another VM.
    """
    load = Load(processes)
    threads = [threading.Thread(target=load.run, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    wait_for(lambda: load.whole >= CALLERS, "load runs", 20.0)

    processes.signal("gondar-2", signal.SIGTERM)
    assert processes.processes_by_vm["gondar-2"].wait(EXIT_TIMEOUT_S) == 0
    after_drain = load.whole
    wait_for(lambda: load.whole >= after_drain + CALLERS, "load goes on after the drain", 20.0)
    assert load.errors == []

    processes.signal("mekele-1", signal.SIGKILL)
    wait_for(lambda: processes.sees("addis-1", 4), "killed VM leaves discovery", DETECTION_S)
    after_kill = load.whole
    wait_for(lambda: load.whole >= after_kill + CALLERS, "load goes on after the kill", 20.0)
    load.stopping.set()
    for thread in threads:
        thread.join(30.0)

    assert load.short == 0
    assert load.errors == []


def test_an_order_survives_a_kill_of_its_vm(processes: AuthorityProcesses) -> None:
    """Guards against a second execution when the VM that ran an order is gone."""
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


def test_an_outage_of_the_store_refuses_orders_and_keeps_chats(
    processes: AuthorityProcesses,
) -> None:
    """Guards against an outage that stops serving, or a refusal that is not true."""
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
        by_entry_id = client.order("orders", "/corrections", {"clock": 5}, entry_issued=True)
    services = processes.standins.services_by_id.values()
    assert sum(service.executions_by_key["order-2"] for service in services) == 0
    assert by_entry_id.status == 201
