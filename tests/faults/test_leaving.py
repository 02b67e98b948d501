"""P12 and P13: endpoints that leave and a rolling restart of all VMs under load."""

import random
import signal
import time

import pytest
from fault_callers import (
    CONNECTION_LOST,
    TIMEOUT_S,
    Answer,
    LoadGenerator,
    chat_body,
    put_configuration,
    send_chat,
)

from entry_processes import EXIT_TIMEOUT_S, READY_TIMEOUT_S, AuthorityProcesses
from mangosaddle._identifiers import EndpointId
from mangosaddle.demo import LocalFleet, wait_for
from mangosaddle.standins import ListedVm

pytest_plugins = ("fault_fleet",)

TOKENS = 30
LONG_TOKENS = 700
LEAVING_ENDPOINT = "runner-3"
PROPAGATION_S = 4.0
CALLERS = 6
WARM_UP_TIMEOUT_S = 90.0
"""A returning endpoint has a cold cache, so its weight ramps up over 30 s."""
STOP_TIMEOUT_S = 10.0
"""Covers 1 s of grace, the longest open response and up to 5 s to hand over slots."""


def _mark_in_configuration(fleet: LocalFleet, leaving: bool) -> None:
    document = fleet.call_admin_api("GET", "addis-1", "/admin/v1/configuration").json()
    (row,) = [row for row in document["inventory"]["endpoints"] if row["id"] == LEAVING_ENDPOINT]
    row["leaving"] = leaving
    put_configuration(fleet, document)


def _mark_in_list(fleet: LocalFleet, leaving: bool) -> None:
    rows = [row for row in fleet.standins.vm_list.vms if row.id != LEAVING_ENDPOINT]
    state = "leaving" if leaving else "live"
    fleet.standins.vm_list.vms = [*rows, ListedVm(LEAVING_ENDPOINT, state)]


@pytest.mark.parametrize(
    "mark", [_mark_in_configuration, _mark_in_list], ids=["configuration", "platform's list"]
)
def test_a_leaving_endpoint_gets_no_new_requests(fleet: LocalFleet, mark: object) -> None:
    """Guards against new requests to a leaving endpoint, and against aborting its open ones."""
    assert callable(mark)
    engine = fleet.standins.engines_by_id[EndpointId(LEAVING_ENDPOINT)]
    key = fleet.standins.key_of("tower-trust")

    def started_requests() -> int:
        return sum(engine.requests_by_version.values())

    def send_request(number: int, rng: random.Random) -> Answer:
        words = rng.randrange(4, 400)
        url = fleet.url("gondar-1" if number % 2 else "gondar-2")
        return send_chat(url, key, chat_body(LONG_TOKENS if number == 0 else TOKENS, words))

    before = started_requests()
    with LoadGenerator(CALLERS, send_request) as load:
        wait_for(
            lambda: started_requests() > before + CALLERS, "the endpoint has requests", TIMEOUT_S
        )
        mark(fleet, True)
        marked_at = time.monotonic()
        wait_for(
            lambda: time.monotonic() > marked_at + PROPAGATION_S,
            "the mark has taken effect",
            TIMEOUT_S,
        )
        after, count = started_requests(), len(load.answers)
        wait_for(
            lambda: len(load.answers) > count + 4 * CALLERS, "other endpoints serve", TIMEOUT_S
        )
        new_work = started_requests() - after
    mark(fleet, False)
    assert new_work == 0
    assert all(answer.complete for answer in load.answers if answer.status == 200)
    assert set(load.status_counts()) <= {200, 429}
    wait_for(
        lambda: _serves_again(fleet, key, started_requests),
        "the endpoint serves again",
        WARM_UP_TIMEOUT_S,
    )


def _serves_again(fleet: LocalFleet, key: str, started_requests: object) -> bool:
    assert callable(started_requests)
    before = started_requests()
    for number in range(8):
        send_chat(fleet.url("gondar-1"), key, chat_body(2, 4 + 40 * number))
    return bool(started_requests() > before)


def test_a_rolling_restart_aborts_no_request(processes: AuthorityProcesses) -> None:
    """Guards against planned stops that abort requests or lose rate limit slots."""
    vms = sorted(processes.processes_by_vm)
    key = processes.standins.key_of("tower-trust")
    serving = list(vms)
    slots = processes.slots()
    with LoadGenerator(
        CALLERS,
        lambda _n, rng: send_chat(processes.url(rng.choice(serving)), key, chat_body(TOKENS)),
    ) as load:
        for vm in vms:
            count = len(load.answers)
            observer = next(one for one in vms if one != vm)
            _set_listed_state(processes, vm, "leaving")
            processes.signal(vm, signal.SIGTERM)
            signalled_at = time.monotonic()
            wait_for(lambda o=observer: processes.sees(o, 5), f"{vm} is dropped", READY_TIMEOUT_S)  # type: ignore[misc]
            serving.remove(vm)
            assert processes.processes_by_vm[vm].wait(EXIT_TIMEOUT_S) == 0
            assert time.monotonic() - signalled_at < STOP_TIMEOUT_S
            if vm == vms[0]:
                wait_for(
                    lambda: processes.slots() >= slots, "the slots are handed over", READY_TIMEOUT_S
                )
                print(
                    f"{vm}: slots handed over {time.monotonic() - signalled_at:.1f} s after SIGTERM"
                )
            processes.start_vm(vm)
            _set_listed_state(processes, vm, "live")
            wait_for(lambda v=vm: _is_ready(processes, v), f"{vm} is back", READY_TIMEOUT_S)  # type: ignore[misc]
            wait_for(lambda o=observer: processes.sees(o, 6), f"{vm} is listed", READY_TIMEOUT_S)  # type: ignore[misc]
            serving.append(vm)
            assert len(load.answers) > count
    cut = [
        a
        for a in load.answers
        if a.status == CONNECTION_LOST or (a.status == 200 and not a.complete)
    ]
    assert cut == []
    assert all(a.tokens == TOKENS for a in load.admitted())
    refused = [a for a in load.answers if a.status >= 400]
    assert all(a.execution == "not_run" for a in refused)
    print(f"{len(load.admitted())} whole answers, {len(refused)} refused")


def _set_listed_state(processes: AuthorityProcesses, vm: str, state: str) -> None:
    """Set the state of a VM in the platform's list, as the platform does for a planned stop."""
    listed = processes.standins.vm_list
    listed.vms = [ListedVm(vm, state) if row.id == vm else row for row in listed.vms]


def _is_ready(processes: AuthorityProcesses, vm: str) -> bool:
    answer = processes.get(vm, "/readyz")
    return answer is not None and answer.status == 200
