"""VM states, discovery order, configuration watchers and draining, in simulated time."""

import pytest

from mangosaddle._identifiers import Incarnation, RegionName, VmId, ZoneName
from mangosaddle.configuration import Vm
from mangosaddle.membership import (
    Drain,
    DrainAction,
    DrainPhase,
    Fact,
    InvalidFactError,
    MembershipTable,
    VmIdentity,
    VmListEntry,
    VmState,
    VmStatus,
)

NAMES = ("addis-1", "addis-2", "addis-3", "gondar-1", "gondar-2", "mekele-1")


def identity(name: str, started_ms: int = 1000) -> VmIdentity:
    """Return the identity of a VM's process; its incarnation is derived from its start."""
    return VmIdentity(VmId(name), Incarnation(f"i{started_ms}"), started_ms)


def live_status(name: str, started_ms: int = 1000, counter: int = 0) -> VmStatus:
    """Return the status in a heartbeat of a live VM."""
    return VmStatus(identity(name, started_ms), counter, VmState.LIVE)


def table(own: str = "addis-1") -> MembershipTable:
    """Return the table of a VM that knows all others from relayed facts."""
    vms = {}
    for name in NAMES:
        region = RegionName(name.split("-")[0])
        vms[VmId(name)] = Vm(VmId(name), region, ZoneName("a"), f"http://{name}", "ws://unused")
    result = MembershipTable(identity(own), vms)
    for name in NAMES:
        result.apply(live_status(name).to_fact(identity(name)))
    return result


def let_neighbour_go_silent(members: MembershipTable, name: str, until_s: int) -> tuple[Fact, ...]:
    """Tick without heartbeats after one at time 0; return the facts of the last tick."""
    members.record_heartbeat(live_status(name), 0.0)
    facts: tuple[Fact, ...] = ()
    for second in range(0, until_s + 1):
        facts = members.tick(float(second), [VmId(name)])
    return facts


@pytest.mark.parametrize(
    ("silent_s", "state"), [(2, VmState.LIVE), (5, VmState.LIVE), (6, VmState.SUSPECTED)]
)
def test_neighbour_is_suspected_after_three_missed_heartbeats(
    silent_s: int, state: VmState
) -> None:
    """Guards against suspicion that starts too early or never."""
    members = table()
    facts = let_neighbour_go_silent(members, "addis-2", silent_s)
    assert members.state_of(VmId("addis-2")) is state
    assert len(facts) == (state is VmState.SUSPECTED)


def test_suspicion_is_relayed_and_refuted() -> None:
    """Guards against a live VM that gets no traffic because one link failed."""
    observer, other, subject = table(), table("gondar-1"), table("addis-2")
    (suspicion,) = let_neighbour_go_silent(observer, "addis-2", 6)
    assert other.apply(suspicion) is None
    assert other.state_of(VmId("addis-2")) is VmState.SUSPECTED
    refutation = subject.apply(suspicion)
    assert refutation is not None
    other.apply(refutation)
    assert other.state_of(VmId("addis-2")) is VmState.LIVE
    assert observer.apply(refutation) is None
    assert observer.state_of(VmId("addis-2")) is VmState.SUSPECTED
    assert observer.tick(7.0, [VmId("addis-2")]) == ()
    observer.record_heartbeat(live_status("addis-2", counter=1), 8.0)
    assert observer.state_of(VmId("addis-2")) is VmState.LIVE


def test_observers_publish_the_same_suspicion_version() -> None:
    """Guards against one flooded fact per observer when a VM in a large zone fails."""
    (one,) = let_neighbour_go_silent(table(), "addis-2", 6)
    (two,) = let_neighbour_go_silent(table("addis-3"), "addis-2", 6)
    late = table("addis-3")
    late.apply(one)
    assert one.version == two.version
    assert let_neighbour_go_silent(late, "addis-2", 6) == ()


def test_own_pause_causes_no_suspicion() -> None:
    """Guards against a VM that suspects all its neighbours after its own pause."""
    members = table()
    members.record_heartbeat(live_status("addis-2"), 0.0)
    members.tick(0.0, [VmId("addis-2")])
    assert members.tick(60.0, [VmId("addis-2")]) == ()
    assert members.state_of(VmId("addis-2")) is VmState.LIVE


def test_silent_vm_is_avoided_after_its_link_has_moved() -> None:
    """Guards against a link that moves back and forth between a silent VM and another one."""
    members = table()
    let_neighbour_go_silent(members, "gondar-1", 6)
    members.apply(live_status("gondar-1", counter=1).to_fact(identity("gondar-1")))
    for second in range(7, 70):
        members.tick(float(second), [])
        assert (VmId("gondar-1") in members.avoided_vms()) is (second < 60)
        assert members.state_of(VmId("gondar-1")) is VmState.LIVE


def test_old_incarnation_is_ignored() -> None:
    """Guards against a replaced process that counts as live again because of late messages."""
    members = table()
    assert members.record_heartbeat(live_status("addis-2", 2000), 1.0)
    assert not members.record_heartbeat(live_status("addis-2", 1000, counter=7), 2.0)
    old = VmStatus(identity("addis-2", 1000), 9, VmState.LEAVING)
    members.apply(old.to_fact(old.identity))
    assert members.identity_of(VmId("addis-2")) == identity("addis-2", 2000)
    assert members.state_of(VmId("addis-2")) is VmState.LIVE


def test_new_incarnation_ends_suspicion() -> None:
    """Guards against a new process without traffic because its predecessor was suspected."""
    members = table()
    let_neighbour_go_silent(members, "addis-2", 6)
    members.apply(live_status("addis-2", 2000).to_fact(identity("addis-2", 2000)))
    assert members.state_of(VmId("addis-2")) is VmState.LIVE


@pytest.mark.parametrize(
    ("row", "state"),
    [
        (None, VmState.GONE),
        (VmListEntry(VmId("addis-2"), False, Incarnation("other")), VmState.GONE),
        (VmListEntry(VmId("addis-2"), True, Incarnation("i1000")), VmState.LEAVING),
        (VmListEntry(VmId("addis-2"), False, None), VmState.LIVE),
    ],
)
def test_state_follows_the_platform_list(row: VmListEntry | None, state: VmState) -> None:
    """Guards against missing that the platform's list has dropped or marked an incarnation."""
    members = table()
    members.update_vm_list([VmListEntry(VmId("addis-2"), False, Incarnation("i1000"))], 1.0)
    members.update_vm_list([row] if row else [], 2.0)
    assert members.state_of(VmId("addis-2")) is state
    since_s = members.gone_since_s(VmId("addis-2"), Incarnation("i1000"), 9.0)
    assert since_s == (2.0 if state is VmState.GONE else None)


def test_vm_not_yet_listed_is_not_gone() -> None:
    """Guards against taking over the slots of a VM that has just started."""
    members = table()
    members.update_vm_list([], 1.0)
    assert members.state_of(VmId("addis-2")) is VmState.LIVE
    members.update_vm_list([], 61.0)
    assert members.state_of(VmId("addis-2")) is VmState.GONE


def test_discovery_order() -> None:
    """Guards against preferring other regions, leaving VMs or VMs that hold no tokens."""
    members = table()
    members.apply(VmStatus(identity("addis-3"), 1, VmState.LEAVING).to_fact(identity("addis-3")))
    holders = {VmId("addis-2"), VmId("gondar-2"), VmId("mekele-1")}
    ids = [vm.id for vm in members.discovery_order(holders)]
    assert ids[:2] == ["addis-2", "addis-1"]
    assert sorted(ids) == ["addis-1", "addis-2", "gondar-1", "gondar-2", "mekele-1"]
    assert ids.index(VmId("gondar-2")) + 1 == ids.index(VmId("gondar-1"))
    assert [vm.id for vm in members.discovery_order(limit=1)] == ["addis-1"]
    members.leave()
    assert "addis-1" not in [vm.id for vm in members.discovery_order()]


def test_vms_agree_on_live_config_watchers() -> None:
    """Guards against regions without a configuration watch and against one watch per VM."""
    watchers = table().config_watchers(RegionName("addis"))
    assert len(watchers) == 2
    assert watchers == table("gondar-1").config_watchers(RegionName("addis"))
    members = table()
    members.apply(VmStatus(identity(watchers[0]), 1, VmState.LEAVING).to_fact(identity("x")))
    if watchers[0] != "addis-1":
        assert watchers[0] not in members.config_watchers(RegionName("addis"))


@pytest.mark.parametrize("payload", [b"", b"\xff", b"live", b"odd i1", b"live i1 more"])
def test_invalid_state_fact_is_rejected(payload: bytes) -> None:
    """Guards against unexpected exception types in the event loop."""
    with pytest.raises(InvalidFactError):
        table().apply(Fact("vm", "addis-2", VmId("x"), Incarnation("i"), 1, 1, payload))


def test_drain_serves_late_callers_and_aborts_no_request() -> None:
    """Guards against a shutdown that refuses requests too early or exits with open requests."""
    step = Drain().handle_sigterm(100.0)
    assert step.actions == (DrainAction.PUBLISH_LEAVING,)
    assert step.drain.is_leaving
    step = step.drain.advance(100.9, open_requests=0)
    assert (step.drain.accepts_work, step.actions) == (True, ())
    step = step.drain.advance(101.0, open_requests=2)
    assert (step.drain.accepts_work, step.actions) == (False, (DrainAction.REFUSE_NEW_WORK,))
    step = step.drain.advance(9999.0, open_requests=1)
    assert (step.drain.phase, step.actions) == (DrainPhase.REFUSING, ())
    step = step.drain.advance(9999.1, open_requests=0)
    assert step.actions == (DrainAction.RELEASE_SLOTS,)
    step = step.drain.handle_slots_released()
    assert (step.drain.phase, step.actions) == (DrainPhase.EXITED, (DrainAction.EXIT,))


def test_second_signal_aborts_open_requests_once() -> None:
    """Guards against a VM that cannot be stopped because a response never ends."""
    drain = Drain().handle_sigterm(0.0).drain.advance(5.0, open_requests=3).drain
    step = drain.handle_sigterm(6.0)
    assert DrainAction.ABORT_RUNNING in step.actions
    assert step.drain.phase is DrainPhase.RELEASING
    assert step.drain.handle_sigterm(7.0).actions == ()
