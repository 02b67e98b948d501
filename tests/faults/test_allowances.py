"""P7 on running VMs: one organisation floods all six of them while parts of the system fail.

The time of an admission is not visible from outside. A request counts for a window only if the
window contains the whole time from sending it to its response head.
"""

import random
import signal
import time
from collections.abc import Callable

import pytest
from fault_callers import (
    TIMEOUT_S,
    Answer,
    Callers,
    ask,
    chat_body,
    excess_tokens,
    put_configuration,
)

from entry_processes import AuthorityProcesses
from mangosaddle._identifiers import OrganisationId, RegionName
from mangosaddle.demo import LocalFleet, wait_for
from mangosaddle.standins import ListedVm

pytest_plugins = ("fault_fleet",)

ORGANISATION = "school-clocks"
RATE_TOKENS_PER_S = 2_000.0
BURST_TOKENS = 6_000.0
LOWERED_RATE_TOKENS_PER_S = 400.0
LOWERED_BURST_TOKENS = 2_048.0
FLOOD_S = 3.0
FROZEN_S = 4.0
FLOOD_CALLERS = 12

TAKEOVER_S = 40.0
"""Lag of the list 4 s, wait 15 s, the other VMs' plans, and time to refill; with a reserve."""


def _flood(urls: list[str], key: str) -> Callers:
    """Ask all VMs for answers whose upper bound is well above their cost."""

    def ask_once(number: int, rng: random.Random) -> Answer:
        body = chat_body(rng.choice((150, 300)), rng.randrange(150, 450), answer_tokens=4)
        return ask(urls[number % len(urls)], key, body)

    return Callers(FLOOD_CALLERS, ask_once)


def _is_full(fleet: LocalFleet) -> bool:
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    organisation = OrganisationId(ORGANISATION)
    nodes = fleet.nodes_by_vm.values()
    levels = [node.allowances.ledger.available_tokens(organisation, now) for node in nodes]
    return sum(levels) > 0.95 * BURST_TOKENS


def _isolate(fleet: LocalFleet) -> None:
    fleet.standins.isolate(RegionName("mekele"))


def _stop_store(fleet: LocalFleet) -> None:
    fleet.standins.store.faults.down = True


def _lose_answers(fleet: LocalFleet) -> None:
    fleet.standins.store.faults.lose_write_answers = 50


def _slow_store(fleet: LocalFleet) -> None:
    fleet.standins.store.faults.delay_s = 1.0


@pytest.mark.parametrize(
    "fault", [lambda _fleet: None, _isolate, _stop_store, _lose_answers, _slow_store],
    ids=["no fault", "isolated region", "store down", "lost store answers", "slow store"],
)  # fmt: skip
def test_a_flood_stays_within_rate_and_burst(
    fleet: LocalFleet, fault: Callable[[LocalFleet], None]
) -> None:
    """Guards against tokens that a fault creates, and against an allowance that nobody serves."""
    wait_for(lambda: _is_full(fleet), "the burst has been earned", TIMEOUT_S)
    urls = [fleet.url(vm) for vm in fleet.nodes_by_vm]
    began = time.monotonic()
    with _flood(urls, fleet.standins.key_of(ORGANISATION)) as load:
        wait_for(lambda: len(load.admitted()) > 3, "the flood has begun", TIMEOUT_S)
        fault(fleet)
        wait_for(lambda: time.monotonic() > began + FLOOD_S, "the flood's time", TIMEOUT_S)
    assert load.statuses()[429] > 0
    assert set(load.statuses()) <= {200, 429}
    assert excess_tokens(load.answers, RATE_TOKENS_PER_S, BURST_TOKENS) <= 0
    assert sum(answer.cost_tokens for answer in load.answers) > BURST_TOKENS / 2


def test_a_lowered_rate_holds_during_a_flood(fleet: LocalFleet) -> None:
    """Guards against tokens of the old limits that are spent after the lower ones are in force."""
    wait_for(lambda: _is_full(fleet), "the burst has been earned", TIMEOUT_S)
    urls = [fleet.url(vm) for vm in fleet.nodes_by_vm]
    document = fleet.call_admin_api("GET", "addis-1", "/admin/v1/configuration").json()
    (row,) = [r for r in document["rules"]["allowances"] if r["organisation"] == ORGANISATION]
    before = dict(row)
    with _flood(urls, fleet.standins.key_of(ORGANISATION)) as load:
        wait_for(lambda: len(load.admitted()) > 3, "the flood has begun", TIMEOUT_S)
        row |= {
            "rate_tokens_per_s": LOWERED_RATE_TOKENS_PER_S,
            "burst_tokens": LOWERED_BURST_TOKENS,
        }
        document["revision"], in_force_at = put_configuration(fleet, document)
        wait_for(lambda: time.monotonic() > in_force_at + FLOOD_S, "the flood's time", TIMEOUT_S)
    row |= before
    put_configuration(fleet, document)
    assert excess_tokens(load.answers, RATE_TOKENS_PER_S, BURST_TOKENS) <= 0
    lowered = excess_tokens(
        load.answers, LOWERED_RATE_TOKENS_PER_S, LOWERED_BURST_TOKENS, since_s=in_force_at
    )
    assert lowered <= 0
    assert any(answer.sent_at > in_force_at for answer in load.admitted())


def _flood_processes(processes: AuthorityProcesses) -> Callers:
    urls = [processes.url(vm) for vm in sorted(processes.processes_by_vm)]
    return _flood(urls, processes.standins.key_of(ORGANISATION))


def _rate_of(processes: AuthorityProcesses) -> tuple[float, float]:
    found = processes.standins.configuration.organisations_by_id[OrganisationId(ORGANISATION)]
    return found.rate_tokens_per_s, found.burst_tokens


def test_a_frozen_vm_adds_no_tokens(processes: AuthorityProcesses) -> None:
    """Guards against a VM that wakes and spends from slots or loans that it must not trust."""
    with _flood_processes(processes) as load:
        wait_for(lambda: len(load.admitted()) > 3, "the flood has begun", TIMEOUT_S)
        processes.signal("gondar-1", signal.SIGSTOP)
        frozen_at = time.monotonic()
        wait_for(lambda: time.monotonic() > frozen_at + FROZEN_S, "frozen", TIMEOUT_S)
        processes.signal("gondar-1", signal.SIGCONT)
        woken_at = time.monotonic()
        url = processes.url("gondar-1")
        key = processes.standins.key_of("tower-trust")
        wait_for(lambda: ask(url, key, chat_body(4)).complete, "it serves again", TIMEOUT_S)
        wait_for(lambda: time.monotonic() > woken_at + FLOOD_S, "the flood's time", TIMEOUT_S)
    assert excess_tokens(load.answers, *_rate_of(processes)) <= 0


def test_a_replaced_vm_creates_no_tokens_and_the_rate_comes_back(
    processes: AuthorityProcesses,
) -> None:
    """Guards against slots that both incarnations use, and against a rate that stays lost."""
    standins = processes.standins
    slots = processes.slots()
    with _flood_processes(processes) as load:
        wait_for(lambda: len(load.admitted()) > 3, "the flood has begun", TIMEOUT_S)
        processes.signal("gondar-1", signal.SIGKILL)
        killed_at = time.monotonic()
        processes.processes_by_vm["gondar-1"].wait(TIMEOUT_S)
        processes.start_vm("gondar-1")
        wait_for(lambda: processes.get("gondar-1", "/readyz") is not None, "back", TIMEOUT_S)
        status = processes.get("gondar-1", "/admin/v1/status")
        assert status is not None
        incarnation = status.json()["incarnation"]
        standins.vm_list.vms = [
            ListedVm(vm.id, vm.state, incarnation if vm.id == "gondar-1" else "")
            for vm in standins.vm_list.vms
        ]
        wait_for(lambda: processes.slots() >= slots, "all slots are held again", TAKEOVER_S)
        print(f"all slots held {time.monotonic() - killed_at:.1f} s after the kill")
    assert excess_tokens(load.answers, *_rate_of(processes)) <= 0
