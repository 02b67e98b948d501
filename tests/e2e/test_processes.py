"""End-to-end tests with separate VM processes: kill, drain and store outage."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from urllib.parse import urlsplit

import pytest
import urllib3

from entry_processes import EXIT_TIMEOUT_S, AuthorityProcesses
from mangosaddle.client import Client, ClientError
from mangosaddle.demo import OPERATOR_TOKEN, wait_for
from mangosaddle.membership import STALE_DISCOVERY_GRACE_S

QUESTION = [{"role": "user", "content": "How far does the tower clock drift?"}]
TOKENS = 40
LONG_TOKENS = 1_500
"""An answer takes 15 s at the speed of these engines."""
CALLERS = 12
DETECTION_TIMEOUT_S = 15.0
MAX_ENDED_CALL_S = 4.0
"""Time in which a call is answered once the VM is told to stop at once; services get 10 s."""


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


def _open_streams(processes: AuthorityProcesses, vm: str) -> int:
    answer = processes.get(vm, "/admin/v1/status")
    return 0 if answer is None else int(answer.json()["open_streams"])


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "buffered"])
def test_a_second_sigterm_ends_a_request_with_a_reported_error(
    processes: AuthorityProcesses, stream: bool
) -> None:
    """Guards against a request without an answer at a VM that is told to stop at once.

    The process must exit as well; otherwise the platform kills it and cuts the request.
    """
    key = processes.standins.key_of("tower-trust")
    body = {"model": "advisor", "messages": QUESTION, "max_tokens": LONG_TOKENS, "stream": stream}
    url = processes.url("gondar-2") + "/v1/chat/completions"

    def send() -> urllib3.BaseHTTPResponse:
        """Send the request until the allowance admits it, which may need a share first."""
        while True:
            answer = urllib3.request(
                "POST", url, headers={"Authorization": f"Bearer {key}"}, json=body, retries=False
            )
            if answer.status != 429:
                return answer
            time.sleep(0.2)

    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(send)
        wait_for(
            lambda: _open_streams(processes, "gondar-2") == 1, "the request runs", EXIT_TIMEOUT_S
        )
        processes.signal("gondar-2", signal.SIGTERM)
        time.sleep(STALE_DISCOVERY_GRACE_S + 0.5)
        processes.signal("gondar-2", signal.SIGTERM)
        code = processes.processes_by_vm["gondar-2"].wait(EXIT_TIMEOUT_S)
        answer = pending.result(EXIT_TIMEOUT_S)
    assert code == 0
    if stream:
        assert b"event: error" in answer.data
        assert b'"execution": "unknown"' in answer.data
    else:
        assert (answer.status, answer.json()["execution"]) == (503, "unknown")


@pytest.mark.parametrize("entry_issued", [False, True], ids=["claimed", "issued"])
def test_a_second_sigterm_answers_a_call_of_a_service(
    processes: AuthorityProcesses, entry_issued: bool
) -> None:
    """Guards against a VM that is told to stop at once and waits for a service instead.

    The platform would kill it then, and cut the call.
    """
    key = processes.standins.key_of("tower-trust")
    services = processes.standins.services_by_id.values()
    for service in services:
        service.hold_answers = True
    headers = {"Authorization": f"Bearer {key}"}
    vms = urllib3.request(
        "GET", processes.url("gondar-2") + "/v1/entry-vms?order_ids=1", headers=headers
    )
    order_id = vms.json()["order_ids"][0] if entry_issued else "order-3"
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(
            urllib3.request,
            "POST",
            processes.url("gondar-2") + "/v1/services/orders/corrections",
            headers={**headers, "Idempotency-Key": order_id},
            json={"clock": 6},
            retries=False,
            timeout=EXIT_TIMEOUT_S,
        )
        wait_for(
            lambda: sum(service.executions_by_key.total() for service in services) == 1,
            "the order runs",
            EXIT_TIMEOUT_S,
        )
        processes.signal("gondar-2", signal.SIGTERM)
        time.sleep(STALE_DISCOVERY_GRACE_S + 0.5)
        stopped_at_s = time.monotonic()
        processes.signal("gondar-2", signal.SIGTERM)
        answer = pending.result(EXIT_TIMEOUT_S)
        assert time.monotonic() - stopped_at_s < MAX_ENDED_CALL_S
        code = processes.processes_by_vm["gondar-2"].wait(EXIT_TIMEOUT_S)
    for service in services:
        service.hold_answers = False
    assert code == 0
    assert (answer.status, answer.json()["execution"]) == (409, "unknown")
    assert sum(service.executions_by_key[order_id] for service in services) == 1


def test_sighup_does_not_cut_requests(processes: AuthorityProcesses) -> None:
    """Guards against a signal, such as that of a closed terminal, that ends the process at once.

    It is sent while the first VM answers requests and at several moments of another one's start.
    """
    key = processes.standins.key_of("tower-trust")
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(
            urllib3.request,
            "POST",
            processes.url("gondar-1") + "/v1/chat/completions",
            headers={"Authorization": f"Bearer {key}"},
            json={"model": "advisor", "messages": QUESTION, "max_tokens": 200},
            retries=False,
        )
        wait_for(
            lambda: _open_streams(processes, "gondar-1") == 1, "the request runs", EXIT_TIMEOUT_S
        )
        processes.signal("gondar-1", signal.SIGHUP)
        answer = pending.result(EXIT_TIMEOUT_S)
    assert answer.status == 200
    assert len(answer.json()["choices"][0]["message"]["content"].split()) == 200

    processes.signal("gondar-2", signal.SIGTERM)
    processes.processes_by_vm["gondar-2"].wait(EXIT_TIMEOUT_S)
    processes.start_vm("gondar-2")
    restarted = processes.processes_by_vm["gondar-2"]
    # The interpreter needs some time until any code of the package can ignore the signal.
    wait_for(lambda: _ignores(restarted.pid, signal.SIGHUP), "the signal is ignored", 10.0)
    while processes.get("gondar-2", "/readyz") is None:
        restarted.send_signal(signal.SIGHUP)
        assert restarted.poll() is None
        time.sleep(0.05)
    assert restarted.poll() is None


def test_no_request_is_cut_at_a_planned_stop(processes: AuthorityProcesses) -> None:
    """Guards against kept connections that are closed while a request is on its way.

    Callers leave the VM once a response announces the end of its connection or a new connection
    is refused. The configuration changes at the same time.
    """
    failures: list[str] = []
    answered = [0] * CALLERS
    threads = [
        threading.Thread(target=_ask_until_stopped, args=(processes, number, answered, failures))
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    wait_for(lambda: min(answered) > 5, "all callers have answers", EXIT_TIMEOUT_S)
    processes.signal("gondar-2", signal.SIGTERM)
    _change_configuration(processes)
    assert processes.processes_by_vm["gondar-2"].wait(EXIT_TIMEOUT_S) == 0
    for thread in threads:
        thread.join(EXIT_TIMEOUT_S)
    assert failures == []


def _ask_until_stopped(
    processes: AuthorityProcesses, number: int, answered: list[int], failures: list[str]
) -> None:
    """Send requests on kept connections; the pause between them differs by caller."""
    address = urlsplit(processes.url("gondar-2"))
    pause_s = 0.005 + 0.09 * number
    while True:
        connection = HTTPConnection(str(address.hostname), address.port, timeout=EXIT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            return
        is_kept = True
        answered_before = answered[number]
        while is_kept:
            try:
                connection.request("GET", "/v1/models")
                response = connection.getresponse()
                response.read()
            except (OSError, HTTPException) as error:
                count = answered[number] - answered_before
                failures.append(
                    f"caller {number} after {answered[number]} answers, {count} of them on this"
                    f" connection: {error!r}"
                )
                return
            answered[number] += 1
            is_kept = response.getheader("Connection") != "close"
            time.sleep(pause_s)
        connection.close()


def _change_configuration(processes: AuthorityProcesses) -> None:
    """Apply a changed configuration at another VM."""
    url = processes.url("addis-1") + "/admin/v1/configuration"
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    current = urllib3.request("GET", url, headers=headers, retries=False)
    document = {name: current.json()[name] for name in ("inventory", "rules")}
    document["rules"]["allowances"][0]["rate_tokens_per_s"] += 1
    headers["If-Match"] = current.headers["ETag"]
    stored = urllib3.request("PUT", url, headers=headers, json=document, retries=False)
    assert stored.status == 200, stored.data


def _ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores a signal."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    (mask,) = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:")]
    return bool(int(mask, 16) >> (number - 1) & 1)
