"""P10 and P11: orders with races, lost responses, outages and restarts."""

import signal
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from fault_callers import TIMEOUT_S

from entry_processes import AuthorityProcesses
from mangosaddle._identifiers import EndpointId, VmId
from mangosaddle.demo import LocalFleet, wait_for

pytest_plugins = ("fault_fleet",)

ORDER_BODY = {"clock": 7, "seconds": 2}


def _send_order(
    fleet: LocalFleet, vm: str, order_id: str, body: dict[str, int] | None = None
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        "POST",
        fleet.url(vm) + "/v1/services/orders/corrections",
        headers={
            "Authorization": f"Bearer {fleet.standins.key_of('tower-trust')}",
            "Idempotency-Key": order_id,
        },
        json=body or ORDER_BODY,
        retries=False,
        timeout=TIMEOUT_S,
    )


def _execution_count(fleet: LocalFleet, order_id: str) -> int:
    services = fleet.standins.services_by_id.values()
    return sum(service.executions_by_key[order_id] for service in services)


def _request_entry_issued_id(fleet: LocalFleet, vm: str) -> str:
    answer = urllib3.request(
        "GET",
        fleet.url(vm) + "/v1/entry-vms?order_ids=1",
        headers={"Authorization": f"Bearer {fleet.standins.key_of('tower-trust')}"},
        retries=False,
    )
    return str(answer.json()["order_ids"][0])


def _check_execution_reports(
    fleet: LocalFleet, order_id: str, answers: list[urllib3.BaseHTTPResponse]
) -> None:
    """Check that the order ran at most once and that the responses report this correctly."""
    executions = _execution_count(fleet, order_id)
    assert executions <= 1
    delivered = {answer.data for answer in answers if answer.status == 201}
    assert len(delivered) <= 1
    if delivered:
        assert executions == 1
    if all(a.status != 201 and a.json()["execution"] == "not_run" for a in answers):
        assert executions == 0


@pytest.fixture(params=range(5))
def seed(request: pytest.FixtureRequest) -> int:
    """Number of the repetition; it makes the order ids unique."""
    return int(request.param)


@pytest.mark.parametrize(
    "fault", ["none", "lost store answers", "slow store", "store down", "lost service answer"]
)
def test_an_order_sent_to_all_vms_at_once_runs_at_most_once(
    fleet: LocalFleet, fault: str, seed: int
) -> None:
    """Guards against a second execution when VMs race for an order during a fault."""
    faults = fleet.standins.store.faults
    faults.lose_write_answers = 3 if fault == "lost store answers" else 0
    faults.delay_s = 0.1 if fault == "slow store" else 0.0
    if fault == "lost service answer":
        for service in fleet.standins.services_by_id.values():
            service.lose_answers = 1
    order_id = f"race-{fault}-{seed}"
    vms = [vm for vm in fleet.nodes_by_vm for _ in range(2)]
    with ThreadPoolExecutor(len(vms)) as pool:
        calls = [pool.submit(_send_order, fleet, vm, order_id) for vm in vms]
        if fault == "store down":
            wait_for(
                lambda: any(call.running() for call in calls),
                "an order request is running",
                TIMEOUT_S,
            )
            faults.down = True
        answers = [call.result(2 * TIMEOUT_S) for call in calls]
    faults.down = False
    _check_execution_reports(fleet, order_id, answers)
    if fault in ("none", "slow store"):
        assert _execution_count(fleet, order_id) == 1


def test_an_order_with_a_lost_service_response_stays_unknown(fleet: LocalFleet) -> None:
    """Guards against a retry that reruns an order whose first response was lost."""
    for service in fleet.standins.services_by_id.values():
        service.lose_answers = 1
    answers = [_send_order(fleet, vm, "lost-1") for vm in ("addis-1", "addis-1", "gondar-1")]
    assert [a.json()["execution"] for a in answers] == ["unknown"] * 3
    assert _execution_count(fleet, "lost-1") == 1


@pytest.mark.parametrize("issued", [False, True], ids=["caller-chosen", "entry-issued"])
def test_an_order_runs_in_another_region_without_a_local_endpoint(
    fleet: LocalFleet, issued: bool
) -> None:
    """Guards against a forwarded order that is blocked by its own claim and never runs."""
    node = fleet.nodes_by_vm[VmId("addis-1")]
    order_id = _request_entry_issued_id(fleet, "addis-1") if issued else "elsewhere-1"
    router = node.target_selector.router
    router.mark_endpoint_leaving(EndpointId("orders-1"))
    answer = _send_order(fleet, "addis-1", order_id)
    router.mark_endpoint_live(EndpointId("orders-1"), 0.0)
    _check_execution_reports(fleet, order_id, [answer])
    # Only the issuing VM may run an entry-issued id, so this order is refused as not run.
    assert answer.status == (503 if issued else 201), answer.data
    assert _send_order(fleet, "addis-1", order_id).status == 201
    assert _execution_count(fleet, order_id) == 1


def test_an_entry_issued_id_runs_once_when_sent_to_all_vms(fleet: LocalFleet) -> None:
    """Guards against a second execution when an entry-issued id is sent to another VM."""
    order_id = _request_entry_issued_id(fleet, "addis-1")
    with ThreadPoolExecutor(6) as pool:
        calls = [pool.submit(_send_order, fleet, vm, order_id) for vm in fleet.nodes_by_vm]
        answers = [call.result(TIMEOUT_S) for call in calls]
    _check_execution_reports(fleet, order_id, answers)
    assert _execution_count(fleet, order_id) == 1


def test_an_entry_issued_id_is_rejected_after_a_restart(fleet: LocalFleet) -> None:
    """Guards against a second execution by a restarted VM that has no record of the first."""
    order_id = _request_entry_issued_id(fleet, "mekele-2")
    first = _send_order(fleet, "mekele-2", order_id)
    assert first.status == 201
    fleet.nodes_by_vm[VmId("mekele-2")].stop()
    fleet.start_vm(VmId("mekele-2"))
    wait_for(
        lambda: _send_order(fleet, "mekele-2", order_id).status == 409,
        "the order id is rejected",
        TIMEOUT_S,
    )
    answers = [_send_order(fleet, vm, order_id) for vm in ("mekele-2", "gondar-1")]
    assert [a.json()["execution"] for a in answers] == ["unknown"] * 2
    assert _execution_count(fleet, order_id) == 1


def test_an_order_runs_once_when_its_vm_is_killed_before_the_response(
    processes: AuthorityProcesses,
) -> None:
    """Guards against a second execution when the VM is killed while the order runs."""
    standins = processes.standins
    services = standins.services_by_id.values()
    headers = {
        "Authorization": f"Bearer {standins.key_of('tower-trust')}",
        "Idempotency-Key": "killed-1",
    }

    def order(vm: str) -> urllib3.BaseHTTPResponse | None:
        url = processes.url(vm) + "/v1/services/orders/corrections"
        try:
            return urllib3.request(
                "POST", url, headers=headers, json=ORDER_BODY, retries=False, timeout=TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return None

    for service in services:
        service.hold_answers = True
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(order, "addis-1")
        wait_for(
            lambda: sum(s.executions_by_key["killed-1"] for s in services) == 1,
            "the order is running",
            TIMEOUT_S,
        )
        processes.signal("addis-1", signal.SIGKILL)
        assert first.result(TIMEOUT_S) is None
    for service in services:
        service.hold_answers = False
    processes.processes_by_vm["addis-1"].wait(TIMEOUT_S)
    processes.start_vm("addis-1")
    wait_for(
        lambda: processes.get("addis-1", "/readyz") is not None, "the VM has restarted", TIMEOUT_S
    )
    repeats = [order(vm) for vm in processes.processes_by_vm]
    executions = [a.json()["execution"] for a in repeats if a is not None]
    assert executions == ["unknown"] * len(processes.processes_by_vm)
    assert sum(service.executions_by_key["killed-1"] for service in services) == 1
