"""Contract of nodes: facts, states, requests and links, over loopback connections."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, replace

import pytest
from peer_fleet import FAST, Fleet, run_with_fleet

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
from mangosaddle.peers._messages import ForwardChunk, Response

SIX = ("addis-1", "addis-2", "gondar-1", "gondar-2", "mekele-1", "mekele-2")
ADDIS, GONDAR, MEKELE = VmId("addis-1"), VmId("gondar-1"), VmId("mekele-1")


@dataclass(frozen=True, slots=True)
class Question:
    """Request of the tests."""

    number: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer of the tests."""

    number: int


register("test question", Question)
register("test answer", Answer)


def now_ms() -> int:
    """Return the wall-clock time in milliseconds, the version of a withdrawal."""
    return int(time.time() * 1000)


def withdraw(node: PeerNode, key: str) -> None:
    """Publish the withdrawal of a key."""
    node.publish(node.new_fact("withdrawal", key, now_ms()))


def knowing(fleet: Fleet, key: str) -> set[VmId]:
    """Return the VMs that know a withdrawal."""
    nodes = fleet.nodes_by_vm.items()
    return {vm for vm, node in nodes if node.facts.find("withdrawal", key) is not None}


@pytest.mark.parametrize("delay_s", [0.0, 0.04])
def test_fact_reaches_all_regions_and_is_confirmed(delay_s: float) -> None:
    """Guards against VMs that a withdrawal misses, and against an answer that hides them."""

    async def _scenario(fleet: Fleet) -> None:
        for forwarder in fleet.forwarders.values():
            forwarder.delay_s = delay_s
        heard: list[str] = []
        fleet.nodes_by_vm[MEKELE].on_fact("withdrawal", lambda fact: heard.append(fact.key))
        withdraw(fleet.nodes_by_vm[ADDIS], "key1")
        assert knowing(fleet, "key1") == {ADDIS}
        assert fleet.nodes_by_vm[ADDIS].confirmations("withdrawal", "key1").confirmed == {ADDIS}
        await fleet.until(
            lambda: all(
                not node.confirmations("withdrawal", "key1").unconfirmed
                for node in fleet.nodes_by_vm.values()
            )
        )
        assert knowing(fleet, "key1") == set(fleet.nodes_by_vm)
        assert heard == ["key1"]

    run_with_fleet(_scenario, *SIX)


def test_regional_facts_stay_in_their_region_and_cost_no_exchange() -> None:
    """Guards against reports that travel the whole fleet, or that VMs pull from each other.

    The withdrawal that follows shows that the links between regions carried facts meanwhile.
    """

    async def _scenario(fleet: Fleet) -> None:
        origin = fleet.nodes_by_vm[ADDIS]
        before = origin.facts.digest()
        origin.publish(origin.new_fact("load", "runner-1", 1))
        # Exchanges start on different digests only.
        assert origin.facts.digest() == before
        near = fleet.nodes_by_vm[VmId("addis-2")]
        await fleet.until(lambda: near.facts.find("load", "runner-1", ADDIS) is not None)
        withdraw(origin, "key1")
        await fleet.until(lambda: knowing(fleet, "key1") == set(fleet.nodes_by_vm))
        for vm, node in fleet.nodes_by_vm.items():
            known = node.facts.find("load", "runner-1", ADDIS) is not None
            assert known == vm.startswith("addis")
        digests = {node.facts.digest() for node in fleet.nodes_by_vm.values()}
        assert len(digests) == 1

    run_with_fleet(_scenario, *SIX)


def test_failed_withdrawal_is_not_confirmed() -> None:
    """Guards against a VM reported as confirmed that could not apply the withdrawal."""

    async def _scenario(fleet: Fleet) -> None:
        def _fail(_fact: Fact) -> None:
            raise ValueError("fault of the listener")

        fleet.nodes_by_vm[GONDAR].on_fact("withdrawal", _fail)
        withdraw(fleet.nodes_by_vm[ADDIS], "key1")
        await fleet.until(lambda: knowing(fleet, "key1") == {ADDIS, GONDAR, MEKELE})
        found = fleet.nodes_by_vm[ADDIS].confirmations
        await fleet.until(lambda: MEKELE in found("withdrawal", "key1").confirmed)
        assert found("withdrawal", "key1").unconfirmed == {GONDAR}

    run_with_fleet(_scenario, "addis-1", "gondar-1", "mekele-1")


def test_cut_off_region_converges_after_healing() -> None:
    """Guards against facts that a partition loses and VMs that stay suspected after it."""

    async def _scenario(fleet: Fleet) -> None:
        addis, gondar = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        fleet.cut("addis")
        withdraw(addis, "inside")
        withdraw(gondar, "outside")
        outside = {VmId(name) for name in SIX[2:]}
        await fleet.until(
            lambda: (
                addis.membership.live_vms() == {ADDIS, VmId("addis-2")}
                and gondar.membership.live_vms() == outside
            )
        )
        assert knowing(fleet, "inside") == {ADDIS, VmId("addis-2")}
        unconfirmed = gondar.confirmations("withdrawal", "outside").unconfirmed
        assert {ADDIS, VmId("addis-2")} <= unconfirmed
        fleet.heal("addis")
        await fleet.until(lambda: knowing(fleet, "inside") == knowing(fleet, "outside") == set(SIX))
        await fleet.linked()
        await fleet.until(lambda: not gondar.confirmations("withdrawal", "outside").unconfirmed)

    run_with_fleet(_scenario, *SIX)


def test_large_difference_converges_without_flooding() -> None:
    """Guards against a new VM whose pull is cut off, and against resent tables."""

    async def _scenario(fleet: Fleet) -> None:
        addis = fleet.nodes_by_vm[ADDIS]
        fleet.cut("addis")
        for number in range(1000):
            addis.publish(addis.new_fact("configuration", f"{number}", 1, b"x" * 700))
        fleet.heal("addis")
        nodes = fleet.nodes_by_vm.values()
        await fleet.until(lambda: len({node.facts.digest() for node in nodes}) == 1)
        assert fleet.counted(GONDAR, "facts_changed_total") >= 1000

    run_with_fleet(_scenario, "addis-1", "gondar-1", "gondar-2", "mekele-1")


def test_restarted_vm_replaces_its_old_incarnation() -> None:
    """Guards against late messages of a process that has been replaced."""

    async def _scenario(fleet: Fleet) -> None:
        old, addis = fleet.nodes_by_vm[GONDAR], fleet.nodes_by_vm[ADDIS]
        old.publish(old.new_fact("evidence", "v2", 50, b"old"))
        await fleet.until(lambda: addis.facts.find("evidence", "v2", GONDAR) is not None)
        late = replace(old.new_fact("evidence", "v2", 99, b"late"))
        await old.stop()
        new = await fleet.add(GONDAR, started_ms=2000)
        new.publish(new.new_fact("evidence", "v2", 1, b"new"))

        def _payload() -> bytes:
            fact = addis.facts.find("evidence", "v2", GONDAR)
            return b"" if fact is None else fact.payload

        await fleet.until(lambda: _payload() == b"new")
        addis.publish(late)
        assert _payload() == b"new"
        identity = addis.membership.identity_of(GONDAR)
        assert identity is not None
        assert identity.started_ms == 2000
        await new.stop()
        revived = await fleet.add(GONDAR, started_ms=1000)
        with pytest.raises(NotSentError):
            await revived.request(ADDIS, Question(1), timeout_s=0.5)
        assert fleet.counted(ADDIS, "refused_total", reason="stale_incarnation") >= 1

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_leaving_and_killed_vms_drop_out() -> None:
    """Guards against traffic for VMs that are draining or dead."""

    async def _scenario(fleet: Fleet) -> None:
        addis = fleet.nodes_by_vm[ADDIS]
        fleet.nodes_by_vm[GONDAR].leave()
        await fleet.until(lambda: addis.membership.state_of(GONDAR) is VmState.LEAVING)
        await fleet.nodes_by_vm.pop(MEKELE).stop()
        await fleet.until(lambda: addis.membership.state_of(MEKELE) is VmState.SUSPECTED)
        assert addis.membership.live_vms() == {ADDIS, VmId("gondar-2")}

    run_with_fleet(_scenario, "addis-1", "gondar-1", "gondar-2", "mekele-1")


def test_answers_find_their_requests() -> None:
    """Guards against answers that are given to another request (P9)."""

    async def _scenario(fleet: Fleet) -> None:
        gates = {number: asyncio.Event() for number in range(20)}

        async def _answer(_vm: VmId, question: Question) -> Answer:
            await gates[question.number].wait()
            return Answer(question.number)

        fleet.nodes_by_vm[GONDAR].on_message(Question, _answer)
        addis = fleet.nodes_by_vm[ADDIS]
        asked = [
            asyncio.create_task(addis.request(GONDAR, Question(number), timeout_s=5.0))
            for number in gates
        ]
        for number in reversed(gates):
            gates[number].set()
            assert await asked[number] == Answer(number)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_late_and_crossed_answers_are_dropped_and_counted() -> None:
    """Guards against a late answer that is taken for the answer to a newer request."""

    async def _scenario(fleet: Fleet) -> None:
        gate = asyncio.Event()

        async def _answer(_vm: VmId, question: Question) -> Answer:
            if question.number == 1:
                await gate.wait()
            return Answer(question.number)

        addis, gondar = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        gondar.on_message(Question, _answer)
        with pytest.raises(RequestTimeoutError):
            await addis.request(GONDAR, Question(1), timeout_s=0.05)
        gate.set()
        assert await addis.request(GONDAR, Question(2), timeout_s=5.0) == Answer(2)
        assert fleet.counted(ADDIS, "dropped_total", reason="late_answer") == 1
        gondar.send(ADDIS, Response(2, b"forged for another number"))
        gondar.send(ADDIS, ForwardChunk(b"of nobody", 7))
        assert await addis.request(GONDAR, Question(3), timeout_s=5.0) == Answer(3)
        assert fleet.counted(ADDIS, "dropped_total", reason="late_answer") == 2

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_errors_of_requests_tell_what_is_known() -> None:
    """Guards against a request reported as not run although it may have run."""

    async def _scenario(fleet: Fleet) -> None:
        addis, gondar = fleet.nodes_by_vm[ADDIS], fleet.nodes_by_vm[GONDAR]
        arrived = asyncio.Event()

        def _fail(_vm: VmId, _question: Question) -> None:
            raise ValueError("fault of the handler")

        async def _hang(_vm: VmId, _answer: Answer) -> None:
            arrived.set()
            await asyncio.Event().wait()

        with pytest.raises(RequestFailedError):
            await addis.request(GONDAR, Question(1), timeout_s=5.0)
        gondar.on_message(Question, _fail)
        with pytest.raises(RequestFailedError):
            await addis.request(GONDAR, Question(1), timeout_s=5.0)
        gondar.on_message(Answer, _hang)
        pending = asyncio.create_task(addis.request(GONDAR, Answer(1), timeout_s=5.0))
        await arrived.wait()
        fleet.cut("addis")
        with pytest.raises(LinkLostError):
            await pending
        await fleet.until(lambda: GONDAR not in addis.linked_vms())
        with pytest.raises(NotSentError):
            await addis.request(GONDAR, Question(1), timeout_s=1.0)
        with pytest.raises(NotSentError):
            await addis.request(VmId("nobody"), Question(1), timeout_s=1.0)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_links_on_demand_are_closed_when_idle() -> None:
    """Guards against links that grow to a full mesh with the traffic."""

    async def _scenario(fleet: Fleet) -> None:
        topology = PeerTopology.from_config(fleet.vms_by_id)
        # A link of the topology may still be missing, and is not closed when idle.
        pairs = (
            (vm, other)
            for vm in fleet.nodes_by_vm
            for other in fleet.nodes_by_vm.keys() - topology.links_of(vm) - {vm}
            if vm not in topology.links_of(other)
        )
        one, other = next(pairs)
        node, far = fleet.nodes_by_vm[one], fleet.nodes_by_vm[other]
        assert other not in node.linked_vms()
        got = asyncio.Event()
        far.on_message(Answer, lambda _vm, _answer: got.set())
        while not got.is_set():
            # A message is lost if its dial fails, as it may on a busy machine.
            node.send(other, Answer(1))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(got.wait(), timings.dial_timeout_s)
        assert other in node.linked_vms()
        await fleet.until(lambda: other not in node.linked_vms() and one not in far.linked_vms())

    timings: PeerTimings = replace(FAST, idle_timeout_s=0.2)
    run_with_fleet(_scenario, *SIX, timings=timings)


def test_both_sides_dial_at_once() -> None:
    """Guards against two VMs that close each other's link again and again."""

    async def _scenario() -> None:
        fleet = await Fleet.of("addis-1", "gondar-1", start=False)
        addis, gondar = fleet.nodes_by_vm.values()
        for node in (addis, gondar):
            node.on_message(Question, lambda _vm, question: Answer(question.number))
        await asyncio.gather(addis.start(), gondar.start())
        answers = await asyncio.gather(
            addis.request(GONDAR, Question(1), 5.0), gondar.request(ADDIS, Question(2), 5.0)
        )
        assert list(answers) == [Answer(1), Answer(2)]
        await fleet.linked()
        await fleet.stop()

    asyncio.run(_scenario())
