"""Tests of nodes over loopback connections: facts, VM states, requests and links."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

import pytest
from peer_fleet import FAST_TIMINGS, Fleet, run_with_fleet

from loop_pauses import pause_in_next_poll
from mangosaddle._identifiers import VmId
from mangosaddle.membership import Fact, PeerTopology, VmState
from mangosaddle.peers import (
    LinkLostError,
    NotSentError,
    PeerNode,
    PeerTimings,
    RequestFailedError,
    RequestTimeoutError,
    register,
)
from mangosaddle.peers._gossip import MAX_FLOODED_PULL_FACTS, Gossip
from mangosaddle.peers._link import Link
from mangosaddle.peers._messages import ForwardChunk, Response

SIX = ("addis-1", "addis-2", "gondar-1", "gondar-2", "mekele-1", "mekele-2")
ADDIS, GONDAR, MEKELE = VmId("addis-1"), VmId("gondar-1"), VmId("mekele-1")
MAX_STOP_S = 0.35
"""Time in which a node has to stop: the margin between the exit and the end of the grace period is
0.6 s."""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request message used by the tests."""

    number: int


@dataclass(frozen=True, slots=True)
class PingResponse:
    """Response message used by the tests."""

    number: int


register("test question", PingRequest)
register("test answer", PingResponse)


def now_ms() -> int:
    """Return the wall-clock time in milliseconds, used as the version of a withdrawal."""
    return int(time.time() * 1000)


def withdraw(node: PeerNode, key: str) -> None:
    """Publish the withdrawal of a key."""
    node.publish(node.new_fact("withdrawal", key, now_ms()))


def vms_knowing(fleet: Fleet, key: str) -> set[VmId]:
    """Return the VMs that have received a withdrawal."""
    nodes = fleet.nodes_by_vm.items()
    return {vm for vm, node in nodes if node.facts.find("withdrawal", key) is not None}


@pytest.mark.parametrize("delay_s", [0.0, 0.04])
def test_fact_reaches_all_regions_and_is_confirmed(delay_s: float) -> None:
    """Guards against VMs that miss a withdrawal and against confirmations that hide them."""

    async def _scenario(fleet: Fleet) -> None:
        for proxy in fleet.proxies.values():
            proxy.delay_s = delay_s
        notified_keys: list[str] = []
        fleet.nodes_by_vm[MEKELE].on_fact("withdrawal", lambda fact: notified_keys.append(fact.key))
        withdraw(fleet.nodes_by_vm[ADDIS], "key1")
        assert vms_knowing(fleet, "key1") == {ADDIS}
        assert fleet.nodes_by_vm[ADDIS].confirmations("withdrawal", "key1").confirmed == {ADDIS}
        await fleet.wait_until(
            lambda: all(
                not node.confirmations("withdrawal", "key1").unconfirmed
                for node in fleet.nodes_by_vm.values()
            )
        )
        assert vms_knowing(fleet, "key1") == set(fleet.nodes_by_vm)
        assert notified_keys == ["key1"]

    run_with_fleet(_scenario, *SIX)


def test_regional_facts_stay_in_their_region_without_exchanges() -> None:
    """Guards against regional reports that are sent to the whole fleet or pulled by exchanges.

    The subsequent withdrawal proves that the links between regions carried facts meanwhile.
    """

    async def _scenario(fleet: Fleet) -> None:
        origin = fleet.nodes_by_vm[ADDIS]
        before = origin.facts.digest()
        origin.publish(origin.new_fact("load", "runner-1", 1))
        # Exchanges start only if digests differ.
        assert origin.facts.digest() == before
        near = fleet.nodes_by_vm[VmId("addis-2")]
        await fleet.wait_until(lambda: near.facts.find("load", "runner-1", ADDIS) is not None)
        withdraw(origin, "key1")
        await fleet.wait_until(lambda: vms_knowing(fleet, "key1") == set(fleet.nodes_by_vm))
        for vm, node in fleet.nodes_by_vm.items():
            known = node.facts.find("load", "runner-1", ADDIS) is not None
            assert known == vm.startswith("addis")
        digests = {node.facts.digest() for node in fleet.nodes_by_vm.values()}
        assert len(digests) == 1

    run_with_fleet(_scenario, *SIX)


def test_failed_withdrawal_is_not_confirmed() -> None:
    """Guards against reporting a VM as confirmed that failed to apply the withdrawal."""

    async def _scenario(fleet: Fleet) -> None:
        def _fail(_fact: Fact) -> None:
            raise ValueError("fault of the listener")

        fleet.nodes_by_vm[GONDAR].on_fact("withdrawal", _fail)
        withdraw(fleet.nodes_by_vm[ADDIS], "key1")
        await fleet.wait_until(lambda: vms_knowing(fleet, "key1") == {ADDIS, GONDAR, MEKELE})
        found = fleet.nodes_by_vm[ADDIS].confirmations
        await fleet.wait_until(lambda: MEKELE in found("withdrawal", "key1").confirmed)
        assert found("withdrawal", "key1").unconfirmed == {GONDAR}

    run_with_fleet(_scenario, "addis-1", "gondar-1", "mekele-1")


def test_partitioned_region_converges_after_healing() -> None:
    """Guards against facts lost in a partition and VMs that stay suspected after it."""

    async def _scenario(fleet: Fleet) -> None:
        addis, gondar = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        fleet.cut("addis")
        withdraw(addis, "inside")
        withdraw(gondar, "outside")
        outside = {VmId(name) for name in SIX[2:]}
        await fleet.wait_until(
            lambda: (
                addis.membership.live_vms() == {ADDIS, VmId("addis-2")}
                and gondar.membership.live_vms() == outside
            )
        )
        assert vms_knowing(fleet, "inside") == {ADDIS, VmId("addis-2")}
        unconfirmed = gondar.confirmations("withdrawal", "outside").unconfirmed
        assert {ADDIS, VmId("addis-2")} <= unconfirmed
        fleet.heal("addis")
        await fleet.wait_until(
            lambda: vms_knowing(fleet, "inside") == vms_knowing(fleet, "outside") == set(SIX)
        )
        await fleet.wait_until_linked()
        await fleet.wait_until(
            lambda: not gondar.confirmations("withdrawal", "outside").unconfirmed
        )

    run_with_fleet(_scenario, *SIX)


def test_large_difference_converges_without_flooding(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against pulls of large tables that end early, and against resending whole tables."""
    flooded_counts = []
    flood = Gossip._flood

    def _flood(gossip: Gossip, facts: Sequence[Fact], source: Link | None) -> None:
        if source is not None:
            flooded_counts.append(len(facts))
        flood(gossip, facts, source)

    monkeypatch.setattr(Gossip, "_flood", _flood)

    async def _scenario(fleet: Fleet) -> None:
        addis = fleet.nodes_by_vm[ADDIS]
        fleet.cut("addis")
        for number in range(1000):
            addis.publish(addis.new_fact("configuration", f"{number}", 1, b"x" * 700))
        fleet.heal("addis")
        nodes = fleet.nodes_by_vm.values()
        await fleet.wait_until(lambda: len({node.facts.digest() for node in nodes}) == 1)
        assert fleet.counter(GONDAR, "facts_changed_total") >= 1000
        assert max(flooded_counts, default=0) <= MAX_FLOODED_PULL_FACTS

    run_with_fleet(_scenario, "addis-1", "gondar-1", "gondar-2", "mekele-1")


def test_restarted_vm_replaces_its_old_incarnation() -> None:
    """Guards against accepting late messages of a replaced process."""

    async def _scenario(fleet: Fleet) -> None:
        old, addis = fleet.nodes_by_vm[GONDAR], fleet.nodes_by_vm[ADDIS]
        old.publish(old.new_fact("evidence", "v2", 50, b"old"))
        await fleet.wait_until(lambda: addis.facts.find("evidence", "v2", GONDAR) is not None)
        late = replace(old.new_fact("evidence", "v2", 99, b"late"))
        await old.stop()
        new = await fleet.add(GONDAR, started_ms=2000)
        new.publish(new.new_fact("evidence", "v2", 1, b"new"))

        def _payload() -> bytes:
            fact = addis.facts.find("evidence", "v2", GONDAR)
            return b"" if fact is None else fact.payload

        await fleet.wait_until(lambda: _payload() == b"new")
        addis.publish(late)
        assert _payload() == b"new"
        identity = addis.membership.identity_of(GONDAR)
        assert identity is not None
        assert identity.started_ms == 2000
        await new.stop()
        revived = await fleet.add(GONDAR, started_ms=1000)
        with pytest.raises(NotSentError):
            await revived.request(ADDIS, PingRequest(1), timeout_s=0.5)
        assert fleet.counter(ADDIS, "refused_total", reason="stale_incarnation") >= 1

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_leaving_and_stopped_vms_are_no_longer_live() -> None:
    """Guards against traffic to VMs that are leaving or dead."""

    async def _scenario(fleet: Fleet) -> None:
        addis = fleet.nodes_by_vm[ADDIS]
        fleet.nodes_by_vm[GONDAR].leave()
        await fleet.wait_until(lambda: addis.membership.state_of(GONDAR) is VmState.LEAVING)
        await fleet.nodes_by_vm.pop(MEKELE).stop()
        await fleet.wait_until(lambda: addis.membership.state_of(MEKELE) is VmState.SUSPECTED)
        assert addis.membership.live_vms() == {ADDIS, VmId("gondar-2")}

    run_with_fleet(_scenario, "addis-1", "gondar-1", "gondar-2", "mekele-1")


def test_responses_are_matched_to_their_requests() -> None:
    """Guards against delivering a response to another request (P9)."""

    async def _scenario(fleet: Fleet) -> None:
        gates = {number: asyncio.Event() for number in range(20)}

        async def _respond(_vm: VmId, ping: PingRequest) -> PingResponse:
            await gates[ping.number].wait()
            return PingResponse(ping.number)

        fleet.nodes_by_vm[GONDAR].on_message(PingRequest, _respond)
        addis = fleet.nodes_by_vm[ADDIS]
        pending_requests = [
            asyncio.create_task(addis.request(GONDAR, PingRequest(number), timeout_s=5.0))
            for number in gates
        ]
        for number in reversed(gates):
            gates[number].set()
            assert await pending_requests[number] == PingResponse(number)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


@pytest.mark.parametrize("vm", [ADDIS, GONDAR])
def test_stop_does_not_wait_for_a_vm_that_does_not_answer(vm: VmId) -> None:
    """Guards against a process that is killed at the end of its grace period.

    One of the two VMs has dialled the link, the other one has accepted it.
    """

    async def _scenario(fleet: Fleet) -> None:
        for proxy in fleet.proxies.values():
            proxy.delay_s = 5.0
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await fleet.nodes_by_vm.pop(vm).stop()
        assert loop.time() - began_s < MAX_STOP_S
        for proxy in fleet.proxies.values():
            proxy.stop()

    run_with_fleet(_scenario, ADDIS, GONDAR)


@pytest.mark.parametrize("iterations", range(6))
def test_response_that_arrives_during_a_stall_is_used(iterations: int) -> None:
    """Guards against a VM taken for silent because this process stood still."""

    async def _scenario(fleet: Fleet) -> None:
        async def _respond(_vm: VmId, ping: PingRequest) -> PingResponse:
            return PingResponse(ping.number)

        addis, gondar = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        gondar.on_message(PingRequest, _respond)
        assert await addis.request(GONDAR, PingRequest(1), timeout_s=5.0) == PingResponse(1)
        asking = asyncio.create_task(addis.request(GONDAR, PingRequest(2), timeout_s=0.1))
        for _ in range(iterations):
            await asyncio.sleep(0)
        time.sleep(0.2)
        assert await asking == PingResponse(2)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_late_and_unmatched_responses_are_dropped_and_counted() -> None:
    """Guards against delivering a late response to a newer request."""

    async def _scenario(fleet: Fleet) -> None:
        gate = asyncio.Event()

        async def _respond(_vm: VmId, ping: PingRequest) -> PingResponse:
            if ping.number == 1:
                await gate.wait()
            return PingResponse(ping.number)

        addis, gondar = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        gondar.on_message(PingRequest, _respond)
        with pytest.raises(RequestTimeoutError):
            await addis.request(GONDAR, PingRequest(1), timeout_s=0.05)
        gate.set()
        assert await addis.request(GONDAR, PingRequest(2), timeout_s=5.0) == PingResponse(2)
        assert fleet.counter(ADDIS, "dropped_total", reason="late_answer") == 1
        gondar.send(ADDIS, Response(2, b"forged for another number"))
        gondar.send(ADDIS, ForwardChunk(b"of nobody", 7))
        assert await addis.request(GONDAR, PingRequest(3), timeout_s=5.0) == PingResponse(3)
        assert fleet.counter(ADDIS, "dropped_total", reason="late_answer") == 2

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_request_errors_distinguish_not_run_from_unknown() -> None:
    """Guards against reporting a request as not run although it may have run."""

    async def _scenario(fleet: Fleet) -> None:
        addis, gondar = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        arrived = asyncio.Event()

        def _fail(_vm: VmId, _ping: PingRequest) -> None:
            raise ValueError("fault of the handler")

        async def _hang(_vm: VmId, _response: PingResponse) -> None:
            arrived.set()
            await asyncio.Event().wait()

        with pytest.raises(RequestFailedError):
            await addis.request(GONDAR, PingRequest(1), timeout_s=5.0)
        gondar.on_message(PingRequest, _fail)
        with pytest.raises(RequestFailedError):
            await addis.request(GONDAR, PingRequest(1), timeout_s=5.0)
        gondar.on_message(PingResponse, _hang)
        pending = asyncio.create_task(addis.request(GONDAR, PingResponse(1), timeout_s=5.0))
        await arrived.wait()
        fleet.cut("addis")
        with pytest.raises(LinkLostError):
            await pending
        await fleet.wait_until(lambda: GONDAR not in addis.linked_vms())
        with pytest.raises(NotSentError):
            await addis.request(GONDAR, PingRequest(1), timeout_s=1.0)
        with pytest.raises(NotSentError):
            await addis.request(VmId("nobody"), PingRequest(1), timeout_s=1.0)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_idle_links_opened_on_demand_are_closed() -> None:
    """Guards against traffic that gradually creates a full mesh of links."""

    async def _scenario(fleet: Fleet) -> None:
        topology = PeerTopology.from_config(fleet.vms_by_id)
        # Links of the topology are unsuitable: they may not be open yet and do not time out.
        pairs = (
            (vm, other)
            for vm in fleet.nodes_by_vm
            for other in fleet.nodes_by_vm.keys() - topology.links_of(vm) - {vm}
            if vm not in topology.links_of(other)
        )
        one, other = next(pairs)
        node, far = fleet.nodes_by_vm[one], fleet.nodes_by_vm[other]
        assert other not in node.linked_vms()
        received = asyncio.Event()
        far.on_message(PingResponse, lambda _vm, _response: received.set())
        while not received.is_set():
            # The message is dropped if the dial fails, which may happen on a busy machine.
            node.send(other, PingResponse(1))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(received.wait(), timings.dial_timeout_s)
        assert other in node.linked_vms()
        await fleet.wait_until(
            lambda: other not in node.linked_vms() and one not in far.linked_vms()
        )

    timings: PeerTimings = replace(FAST_TIMINGS, idle_timeout_s=0.2)
    run_with_fleet(_scenario, *SIX, timings=timings)


def test_simultaneous_dials_leave_a_working_link() -> None:
    """Guards against two VMs that repeatedly close the link dialled by the other."""

    async def _scenario() -> None:
        fleet = await Fleet.create("addis-1", "gondar-1", start=False)
        addis, gondar = fleet.nodes_by_vm.values()
        for node in (addis, gondar):
            node.on_message(PingRequest, lambda _vm, ping: PingResponse(ping.number))
        await asyncio.gather(addis.start(), gondar.start())
        responses = await asyncio.gather(
            addis.request(GONDAR, PingRequest(1), 5.0), gondar.request(ADDIS, PingRequest(2), 5.0)
        )
        assert list(responses) == [PingResponse(1), PingResponse(2)]
        await fleet.wait_until_linked()
        await fleet.stop()

    asyncio.run(_scenario())


def test_vm_whose_heartbeat_arrives_in_a_pause_of_this_process_is_not_suspected(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a live VM that is reported to all others because this one was stopped."""
    timings = PeerTimings(heartbeat_interval_s=1.0, dial_timeout_s=2.0)

    async def _scenario(fleet: Fleet) -> None:
        await fleet.wait_until_linked()
        own, other = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        ticked_at_s = own.membership._last_tick_s
        await fleet.wait_until(lambda: own.membership._last_tick_s != ticked_at_s)
        # The heartbeat before came almost an interval ago, and the next one is on its way.
        own.membership._neighbours_by_vm[GONDAR].last_heartbeat_s = time.monotonic() - 0.9
        other._send_heartbeat(other._connector.links_by_vm[ADDIS])
        await asyncio.sleep(0)
        pause_in_next_poll(2.4)
        await asyncio.sleep(0)
        await asyncio.sleep(0.5)
        assert own.membership.state_of(GONDAR) is VmState.LIVE

    with caplog.at_level(logging.INFO):
        run_with_fleet(_scenario, ADDIS, GONDAR, timings=timings)
    assert not [row for row in caplog.records if getattr(row, "state", "") == "suspected"]
