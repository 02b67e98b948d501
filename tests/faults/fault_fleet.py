"""Pytest plugin with the fixtures of the fault tests."""

import time
from collections.abc import Iterator

import pytest
from fault_callers import chat_body, send_chat, with_allowance

from mangosaddle.demo import LocalFleet, example_configuration, wait_for
from mangosaddle.standins import EngineFaults, EngineSpeed

RATE_TOKENS_PER_S = 2_000.0
BURST_TOKENS = 6_000.0
MIN_TOKENS_SHARE = 0.1
RECOVERY_TIMEOUT_S = 30.0


@pytest.fixture(scope="session")
def running_fleet() -> Iterator[LocalFleet]:
    """Six entry VMs in this process; the organisation ``school-clocks`` has a small burst."""
    configuration = with_allowance(
        example_configuration("authority"), "school-clocks", RATE_TOKENS_PER_S, BURST_TOKENS
    )
    fleet = LocalFleet(configuration, speed=EngineSpeed(0.0, 0.005, 0.1))
    fleet.start()
    yield fleet
    fleet.stop()


@pytest.fixture
def fleet(running_fleet: LocalFleet) -> Iterator[LocalFleet]:
    """The running fleet; all faults are cleared after each test."""
    wait_for(lambda: _is_healthy(running_fleet), "the fleet is healthy", RECOVERY_TIMEOUT_S)
    yield running_fleet
    standins = running_fleet.standins
    standins.heal()
    standins.store.faults.down = False
    standins.store.faults.delay_s = 0.0
    standins.store.faults.lose_write_answers = 0
    for engine in standins.engines_by_id.values():
        engine.faults = EngineFaults()
        engine.crashed = False
    for service in standins.services_by_id.values():
        service.drop_connections = False
        service.lose_answers = 0


def _is_healthy(fleet: LocalFleet) -> bool:
    """Return whether all VMs serve a chat and each organisation has enough tokens for a test."""
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    nodes = fleet.nodes_by_vm.values()
    for organisation in fleet.standins.configuration.organisations_by_id.values():
        ledgers = [node.allowances.ledger for node in nodes]
        tokens = sum(ledger.available_tokens(organisation.id, now) for ledger in ledgers)
        if tokens < MIN_TOKENS_SHARE * organisation.burst_tokens:
            return False
    key = fleet.standins.key_of("gondar-heritage")
    return all(send_chat(fleet.url(vm), key, chat_body(1)).complete for vm in fleet.nodes_by_vm)
