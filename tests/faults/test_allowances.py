"""P7: rate limits hold while one organisation overloads all six VMs and components fail.

Callers cannot observe the time of admission, so a request counts towards a window only if both
its sending and its response head lie inside the window.
"""

import random
import signal
import time
from collections.abc import Callable

import pytest
from fault_callers import (
    TIMEOUT_S,
    Answer,
    LoadGenerator,
    chat_body,
    excess_tokens,
    put_configuration,
    send_chat,
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
SUSPENSION_S = 4.0
FLOOD_CALLERS = 12

SLOT_RECOVERY_TIMEOUT_S = 40.0
"""VM list delay (4 s), takeover wait (15 s), planning by other VMs, refill, and a margin."""


def _flood(urls: list[str], key: str) -> LoadGenerator:
    """Overload all VMs with requests whose ``max_tokens`` is far above their real cost."""

    def send_request(number: int, rng: random.Random) -> Answer:
        body = chat_body(rng.choice((150, 300)), rng.randrange(150, 450), answer_tokens=4)
        return send_chat(urls[number % len(urls)], key, body)

    return LoadGenerator(FLOOD_CALLERS, send_request)


def _has_full_burst(fleet: LocalFleet) -> bool:
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    organisation = OrganisationId(ORGANISATION)
    nodes = fleet.nodes_by_vm.values()
    levels = [node.allowances.ledger.available_tokens(organisation, now) for node in nodes]
    return sum(levels) > 0.95 * BURST_TOKENS


def _isolate_region(fleet: LocalFleet) -> None:
    fleet.standins.isolate(RegionName("mekele"))


def _stop_store(fleet: LocalFleet) -> None:
    fleet.standins.store.faults.down = True


def _lose_store_answers(fleet: LocalFleet) -> None:
    fleet.standins.store.faults.lose_write_answers = 50


def _delay_store(fleet: LocalFleet) -> None:
    fleet.standins.store.faults.delay_s = 1.0


@pytest.mark.parametrize(
    "fault", [lambda _fleet: None, _isolate_region, _stop_store, _lose_store_answers, _delay_store],
    ids=["no fault", "isolated region", "store down", "lost store answers", "slow store"],
)  # fmt: skip
def test_overload_stays_within_rate_and_burst(
    fleet: LocalFleet, fault: Callable[[LocalFleet], None]
) -> None:
    """Guards against a fault that raises the limit, and against one that blocks the allowance."""
    wait_for(lambda: _has_full_burst(fleet), "the burst has been earned", TIMEOUT_S)
    urls = [fleet.url(vm) for vm in fleet.nodes_by_vm]
    started_at = time.monotonic()
    with _flood(urls, fleet.standins.key_of(ORGANISATION)) as load:
        wait_for(lambda: len(load.admitted()) > 3, "the flood has begun", TIMEOUT_S)
        fault(fleet)
        wait_for(lambda: time.monotonic() > started_at + FLOOD_S, "the flood's time", TIMEOUT_S)
    assert load.status_counts()[429] > 0
    assert set(load.status_counts()) <= {200, 429}
    assert excess_tokens(load.answers, RATE_TOKENS_PER_S, BURST_TOKENS) <= 0
    assert sum(answer.cost_tokens for answer in load.answers) > BURST_TOKENS / 2


def test_lowered_limits_apply_during_overload(fleet: LocalFleet) -> None:
    """Guards against spending tokens of the old limits after the lower limits apply."""
    wait_for(lambda: _has_full_burst(fleet), "the burst has been earned", TIMEOUT_S)
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


def _flood_processes(processes: AuthorityProcesses) -> LoadGenerator:
    urls = [processes.url(vm) for vm in sorted(processes.processes_by_vm)]
    return _flood(urls, processes.standins.key_of(ORGANISATION))


def _rate_and_burst(processes: AuthorityProcesses) -> tuple[float, float]:
    found = processes.standins.configuration.organisations_by_id[OrganisationId(ORGANISATION)]
    return found.rate_tokens_per_s, found.burst_tokens


def test_a_suspended_vm_does_not_raise_the_limit(processes: AuthorityProcesses) -> None:
    """Guards against a resumed VM that spends from slots or loans that are no longer valid."""
    with _flood_processes(processes) as load:
        wait_for(lambda: len(load.admitted()) > 3, "the flood has begun", TIMEOUT_S)
        processes.signal("gondar-1", signal.SIGSTOP)
        suspended_at = time.monotonic()
        wait_for(
            lambda: time.monotonic() > suspended_at + SUSPENSION_S, "the VM is suspended", TIMEOUT_S
        )
        processes.signal("gondar-1", signal.SIGCONT)
        resumed_at = time.monotonic()
        url = processes.url("gondar-1")
        key = processes.standins.key_of("tower-trust")
        wait_for(
            lambda: send_chat(url, key, chat_body(4)).complete,
            "the resumed VM serves again",
            TIMEOUT_S,
        )
        wait_for(lambda: time.monotonic() > resumed_at + FLOOD_S, "the flood's time", TIMEOUT_S)
    assert excess_tokens(load.answers, *_rate_and_burst(processes)) <= 0


def test_a_restarted_vm_does_not_raise_the_limit_and_its_slots_are_recovered(
    processes: AuthorityProcesses,
) -> None:
    """Guards against slots used by both incarnations, and against a permanent loss of rate."""
    standins = processes.standins
    slots = processes.slots()
    with _flood_processes(processes) as load:
        wait_for(lambda: len(load.admitted()) > 3, "the flood has begun", TIMEOUT_S)
        processes.signal("gondar-1", signal.SIGKILL)
        killed_at = time.monotonic()
        processes.processes_by_vm["gondar-1"].wait(TIMEOUT_S)
        processes.start_vm("gondar-1")
        wait_for(
            lambda: processes.get("gondar-1", "/readyz") is not None,
            "the VM is ready again",
            TIMEOUT_S,
        )
        status = processes.get("gondar-1", "/admin/v1/status")
        assert status is not None
        incarnation = status.json()["incarnation"]
        standins.vm_list.vms = [
            ListedVm(vm.id, vm.state, incarnation if vm.id == "gondar-1" else "")
            for vm in standins.vm_list.vms
        ]
        wait_for(
            lambda: processes.slots() >= slots, "all slots are held again", SLOT_RECOVERY_TIMEOUT_S
        )
        print(f"all slots held {time.monotonic() - killed_at:.1f} s after the kill")
    assert excess_tokens(load.answers, *_rate_and_burst(processes)) <= 0
