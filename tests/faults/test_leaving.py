"""P12 and P13 on running VMs: leaving endpoints and a rolling restart under load."""

import random
import signal
import time

import pytest
from fault_callers import BROKEN, TIMEOUT_S, Answer, Callers, ask, chat_body, put_configuration

from entry_processes import EXIT_TIMEOUT_S, READY_TIMEOUT_S, AuthorityProcesses
from mangosaddle._identifiers import EndpointId
from mangosaddle.demo import LocalFleet, wait_for
from mangosaddle.standins import ListedVm

pytest_plugins = ("fault_fleet",)

TOKENS = 30
LONG_TOKENS = 700
LEAVING = "runner-3"
WITHIN_S = 4.0
CALLERS = 6
COLD_S = 90.0
"""An endpoint that is back has a cold cache: its weight grows over 30 s."""
STOP_S = 10.0
"""A stop takes 1 s of grace, the longest running answer and up to 5 s to hand slots over."""


def _mark_in_configuration(fleet: LocalFleet, leaving: bool) -> None:
    document = fleet.call_admin_api("GET", "addis-1", "/admin/v1/configuration").json()
    (row,) = [row for row in document["inventory"]["endpoints"] if row["id"] == LEAVING]
    row["leaving"] = leaving
    put_configuration(fleet, document)


def _mark_in_list(fleet: LocalFleet, leaving: bool) -> None:
    rows = [row for row in fleet.standins.vm_list.vms if row.id != LEAVING]
    state = "leaving" if leaving else "live"
    fleet.standins.vm_list.vms = [*rows, ListedVm(LEAVING, state)]


@pytest.mark.parametrize(
    "mark", [_mark_in_configuration, _mark_in_list], ids=["configuration", "platform's list"]
)
def test_a_leaving_endpoint_gets_no_new_work(fleet: LocalFleet, mark: object) -> None:
    """Guards against work for an endpoint that leaves, and against cutting what it still runs."""
    assert callable(mark)
    engine = fleet.standins.engines_by_id[EndpointId(LEAVING)]
    key = fleet.standins.key_of("tower-trust")

    def started() -> int:
        return sum(engine.requests_by_version.values())

    def ask_once(number: int, rng: random.Random) -> Answer:
        words = rng.randrange(4, 400)
        url = fleet.url("gondar-1" if number % 2 else "gondar-2")
        return ask(url, key, chat_body(LONG_TOKENS if number == 0 else TOKENS, words))

    before = started()
    with Callers(CALLERS, ask_once) as load:
        wait_for(lambda: started() > before + CALLERS, "it has work", TIMEOUT_S)
        mark(fleet, True)
        marked_at = time.monotonic()
        wait_for(lambda: time.monotonic() > marked_at + WITHIN_S, "some seconds", TIMEOUT_S)
        after, count = started(), len(load.answers)
        wait_for(lambda: len(load.answers) > count + 4 * CALLERS, "others serve", TIMEOUT_S)
        new_work = started() - after
    mark(fleet, False)
    assert new_work == 0
    assert all(answer.complete for answer in load.answers if answer.status == 200)
    assert set(load.statuses()) <= {200, 429}
    wait_for(lambda: _serves_again(fleet, key, started), "it serves again", COLD_S)


def _serves_again(fleet: LocalFleet, key: str, started: object) -> bool:
    assert callable(started)
    before = started()
    for number in range(8):
        ask(fleet.url("gondar-1"), key, chat_body(2, 4 + 40 * number))
    return bool(started() > before)


def test_a_rolling_restart_cuts_nothing(processes: AuthorityProcesses) -> None:
    """Guards against requests that a planned stop cuts, and against slots that it loses."""
    vms = sorted(processes.processes_by_vm)
    key = processes.standins.key_of("tower-trust")
    serving = list(vms)
    slots = processes.slots()
    with Callers(
        CALLERS, lambda _n, rng: ask(processes.url(rng.choice(serving)), key, chat_body(TOKENS))
    ) as load:
        for vm in vms:
            count = len(load.answers)
            other = next(one for one in vms if one != vm)
            _list(processes, vm, "leaving")
            processes.signal(vm, signal.SIGTERM)
            told_at = time.monotonic()
            wait_for(lambda o=other: processes.sees(o, 5), f"{vm} is dropped", READY_TIMEOUT_S)  # type: ignore[misc]
            serving.remove(vm)
            assert processes.processes_by_vm[vm].wait(EXIT_TIMEOUT_S) == 0
            assert time.monotonic() - told_at < STOP_S
            if vm == vms[0]:
                wait_for(lambda: processes.slots() >= slots, "slots handed over", READY_TIMEOUT_S)
                print(f"{vm}: slots handed over {time.monotonic() - told_at:.1f} s after SIGTERM")
            processes.start_vm(vm)
            _list(processes, vm, "live")
            wait_for(lambda v=vm: _is_ready(processes, v), f"{vm} is back", READY_TIMEOUT_S)  # type: ignore[misc]
            wait_for(lambda o=other: processes.sees(o, 6), f"{vm} is listed", READY_TIMEOUT_S)  # type: ignore[misc]
            serving.append(vm)
            assert len(load.answers) > count
    cut = [a for a in load.answers if a.status == BROKEN or (a.status == 200 and not a.complete)]
    assert cut == []
    assert all(a.tokens == TOKENS for a in load.admitted())
    refused = [a for a in load.answers if a.status >= 400]
    assert all(a.execution == "not_run" for a in refused)
    print(f"{len(load.admitted())} whole answers, {len(refused)} refused")


def _list(processes: AuthorityProcesses, vm: str, state: str) -> None:
    """Let the platform's list show a VM in a state, as it does for a planned stop."""
    listed = processes.standins.vm_list
    listed.vms = [ListedVm(vm, state) if row.id == vm else row for row in listed.vms]


def _is_ready(processes: AuthorityProcesses, vm: str) -> bool:
    answer = processes.get(vm, "/readyz")
    return answer is not None and answer.status == 200
