"""P1, P2 and P3: data residency, forwarding loops and network partitions between regions."""

import pytest
from fault_callers import TIMEOUT_S, Answer, LoadGenerator, chat_body, send_chat

from mangosaddle._identifiers import EndpointId, RegionName
from mangosaddle.demo import LocalFleet, wait_for

pytest_plugins = ("fault_fleet",)

TOKENS = 8
VMS = ("addis-1", "addis-2", "gondar-1", "gondar-2", "mekele-1", "mekele-2")


def _partition(fleet: LocalFleet, region: str, condition: str) -> None:
    if condition == "cut":
        fleet.standins.isolate(RegionName(region))
        return
    others = fleet.standins.configuration.regions() - {RegionName(region)}
    fleet.standins.links.conditions.frozen |= {frozenset({RegionName(region), o}) for o in others}


def _requests_by_region(fleet: LocalFleet) -> dict[str, int]:
    counts: dict[str, int] = {}
    for name, engine in fleet.standins.engines_by_id.items():
        region = fleet.standins.configuration.endpoints_by_id[EndpointId(name)].region
        counts[region] = counts.get(region, 0) + sum(engine.requests_by_version.values())
    return counts


@pytest.mark.parametrize("condition", ["cut", "frozen"])
def test_an_isolated_region_serves_its_callers(fleet: LocalFleet, condition: str) -> None:
    """Guards against an isolated region that stops serving, and against false refusals."""
    standins = fleet.standins
    _partition(fleet, "gondar", condition)
    resident_key, other_key = standins.key_of("gondar-heritage"), standins.key_of("station-clocks")
    for vm in ("gondar-1", "gondar-2"):
        assert send_chat(fleet.url(vm), resident_key, chat_body(TOKENS)).complete
        assert send_chat(fleet.url(vm), other_key, chat_body(TOKENS)).complete
    for vm in ("addis-1", "mekele-1"):
        assert send_chat(fleet.url(vm), other_key, chat_body(TOKENS)).complete
    before = _requests_by_region(fleet)

    def is_refused(answer: Answer) -> bool:
        # A request sent just before the loss of the link was detected correctly reports "unknown".
        assert not answer.complete
        return answer.status in (429, 503) and answer.execution == "not_run"

    for vm in ("addis-1", "mekele-1"):
        url = fleet.url(vm)
        wait_for(
            lambda url=url: is_refused(send_chat(url, resident_key, chat_body(TOKENS))),  # type: ignore[misc]
            vm,
            3 * TIMEOUT_S,
        )
    after = _requests_by_region(fleet)
    assert {r: after[r] - before[r] for r in ("addis", "mekele")} == {"addis": 0, "mekele": 0}


def test_residency_holds_during_changing_partitions(fleet: LocalFleet) -> None:
    """Guards against requests that run outside the organisation's region during partitions."""
    before = _requests_by_region(fleet)
    resident_key = fleet.standins.key_of("gondar-heritage")
    with LoadGenerator(
        6, lambda n, _: send_chat(fleet.url(VMS[n]), resident_key, chat_body(TOKENS))
    ) as load:
        for region in ("mekele", "gondar", "addis"):
            count = len(load.answers)
            fleet.standins.isolate(RegionName(region))
            wait_for(lambda c=count: len(load.answers) > c + 20, region, TIMEOUT_S)  # type: ignore[misc]
            fleet.standins.heal()
    after = _requests_by_region(fleet)
    assert {r: after[r] - before[r] for r in ("addis", "mekele")} == {"addis": 0, "mekele": 0}
    assert after["gondar"] > before["gondar"]
    assert all(a.complete or a.problem for a in load.answers if a.status)


def test_a_forward_is_not_forwarded_again(fleet: LocalFleet) -> None:
    """Guards against forwarding loops between VMs whose regions cannot run the request."""
    nodes = fleet.nodes_by_vm
    engines = [EndpointId(e) for e in fleet.standins.engines_by_id]
    for node in nodes.values():
        for engine in engines:
            node.target_selector.router.mark_endpoint_leaving(engine)
    before = {vm: _forward_count(fleet, vm) for vm in nodes}
    answer = send_chat(
        fleet.url("addis-1"), fleet.standins.key_of("tower-trust"), chat_body(TOKENS)
    )
    forwards_made = {vm: _forward_count(fleet, vm) - before[vm] for vm in nodes}
    for node in nodes.values():
        for engine in engines:
            node.target_selector.router.mark_endpoint_live(engine, 0.0)
    assert (answer.status, answer.execution) == (503, "not_run")
    assert forwards_made.pop(next(vm for vm in nodes if vm == "addis-1")) <= 2
    assert set(forwards_made.values()) == {0.0}


def _forward_count(fleet: LocalFleet, vm: str) -> float:
    node = next(node for name, node in fleet.nodes_by_vm.items() if name == vm)
    return float(node._metrics.forwards._value.get())
