"""VM states, discovery, watchers and draining in simulated time."""

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
    """Return a process of a VM; its incarnation follows from its start."""
    return VmIdentity(VmId(name), Incarnation(f"i{started_ms}"), started_ms)


def live(name: str, started_ms: int = 1000, counter: int = 0) -> VmStatus:
    """Return the status that a heartbeat of a live VM tells."""
    return VmStatus(identity(name, started_ms), counter, VmState.LIVE)


def table(own: str = "addis-1") -> MembershipTable:
    """Return the table of a VM that has heard of all others by relayed facts."""
    vms = {}
    for name in NAMES:
        region = RegionName(name.split("-")[0])
        vms[VmId(name)] = Vm(VmId(name), region, ZoneName("a"), f"http://{name}", "ws://unused")
    result = MembershipTable(identity(own), vms)
    for name in NAMES:
        result.apply(live(name).to_fact(identity(name)))
    return result


def silence(members: MembershipTable, name: str, until_s: int) -> tuple[Fact, ...]:
    """Let a neighbour be silent after a heartbeat at time 0; return the last tick's facts."""
    members.record_heartbeat(live(name), 0.0)
    facts: tuple[Fact, ...] = ()
    for second in range(0, until_s + 1):
        facts = members.tick(float(second), [VmId(name)])
    return facts


@pytest.mark.parametrize(
    ("silent_s", "state"), [(2, VmState.LIVE), (5, VmState.LIVE), (6, VmState.SUSPECTED)]
)
def test_neighbour_is_suspected_after_three_heartbeats(silent_s: int, state: VmState) -> None:
    """Guards against suspicion that comes too early, or never."""
    members = table()
    facts = silence(members, "addis-2", silent_s)
    assert members.state_of(VmId("addis-2")) is state
    assert len(facts) == (state is VmState.SUSPECTED)


def test_suspicion_is_relayed_and_refuted() -> None:
    """Guards against a live VM that stays out of traffic because one link broke."""
    observer, other, subject = table(), table("gondar-1"), table("addis-2")
    (suspicion,) = silence(observer, "addis-2", 6)
    assert other.apply(suspicion) is None
    assert other.state_of(VmId("addis-2")) is VmState.SUSPECTED
    refutation = subject.apply(suspicion)
    assert refutation is not None
    other.apply(refutation)
    assert other.state_of(VmId("addis-2")) is VmState.LIVE
    assert observer.apply(refutation) is None
    assert observer.state_of(VmId("addis-2")) is VmState.SUSPECTED
    assert observer.tick(7.0, [VmId("addis-2")]) == ()
    observer.record_heartbeat(live("addis-2", counter=1), 8.0)
    assert observer.state_of(VmId("addis-2")) is VmState.LIVE


def test_suspicions_of_two_observers_are_one_fact_version() -> None:
    """Guards against a flooded fact per observer when a VM of a large zone fails."""
    (one,) = silence(table(), "addis-2", 6)
    (two,) = silence(table("addis-3"), "addis-2", 6)
    late = table("addis-3")
    late.apply(one)
    assert one.version == two.version
    assert silence(late, "addis-2", 6) == ()


def test_own_pause_suspects_nobody() -> None:
    """Guards against a VM that wakes from a pause and reports all its neighbours."""
    members = table()
    members.record_heartbeat(live("addis-2"), 0.0)
    members.tick(0.0, [VmId("addis-2")])
    assert members.tick(60.0, [VmId("addis-2")]) == ()
    assert members.state_of(VmId("addis-2")) is VmState.LIVE


def test_silent_vm_is_remembered_after_its_link_has_moved() -> None:
    """Guards against a link that moves to and fro between a VM that is cut off and another."""
    members = table()
    silence(members, "gondar-1", 6)
    members.apply(live("gondar-1", counter=1).to_fact(identity("gondar-1")))
    for second in range(7, 70):
        members.tick(float(second), [])
        assert (VmId("gondar-1") in members.avoided_vms()) is (second < 60)
        assert members.state_of(VmId("gondar-1")) is VmState.LIVE


def test_old_incarnation_is_ignored() -> None:
    """Guards against late messages of a replaced process that revive it."""
    members = table()
    assert members.record_heartbeat(live("addis-2", 2000), 1.0)
    assert not members.record_heartbeat(live("addis-2", 1000, counter=7), 2.0)
    old = VmStatus(identity("addis-2", 1000), 9, VmState.LEAVING)
    members.apply(old.to_fact(old.identity))
    assert members.identity_of(VmId("addis-2")) == identity("addis-2", 2000)
    assert members.state_of(VmId("addis-2")) is VmState.LIVE


def test_new_incarnation_ends_suspicion() -> None:
    """Guards against a replaced VM that gets no traffic because its predecessor went silent."""
    members = table()
    silence(members, "addis-2", 6)
    members.apply(live("addis-2", 2000).to_fact(identity("addis-2", 2000)))
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
def test_platform_list(row: VmListEntry | None, state: VmState) -> None:
    """Guards against a missed disappearance from the platform's list."""
    members = table()
    members.update_vm_list([VmListEntry(VmId("addis-2"), False, Incarnation("i1000"))], 1.0)
    members.update_vm_list([row] if row else [], 2.0)
    assert members.state_of(VmId("addis-2")) is state
    since_s = members.gone_since_s(VmId("addis-2"), Incarnation("i1000"), 9.0)
    assert since_s == (2.0 if state is VmState.GONE else None)


def test_vm_that_the_list_does_not_show_yet_is_not_gone() -> None:
    """Guards against a takeover of slots from a VM that has just started."""
    members = table()
    members.update_vm_list([], 1.0)
    assert members.state_of(VmId("addis-2")) is VmState.LIVE
    members.update_vm_list([], 61.0)
    assert members.state_of(VmId("addis-2")) is VmState.GONE


def test_discovery_order() -> None:
    """Guards against callers sent to other regions, to leaving VMs or past the holders."""
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


def test_config_watchers_are_live_and_agreed() -> None:
    """Guards against regions without a watcher and against a watch per VM."""
    watchers = table().config_watchers(RegionName("addis"))
    assert len(watchers) == 2
    assert watchers == table("gondar-1").config_watchers(RegionName("addis"))
    members = table()
    members.apply(VmStatus(identity(watchers[0]), 1, VmState.LEAVING).to_fact(identity("x")))
    if watchers[0] != "addis-1":
        assert watchers[0] not in members.config_watchers(RegionName("addis"))


@pytest.mark.parametrize("payload", [b"", b"\xff", b"live", b"odd i1", b"live i1 more"])
def test_unreadable_state_is_refused(payload: bytes) -> None:
    """Guards against an exception of another kind in the event loop."""
    with pytest.raises(InvalidFactError):
        table().apply(Fact("vm", "addis-2", VmId("x"), Incarnation("i"), 1, 1, payload))


def test_drain_serves_late_callers_and_cuts_no_request() -> None:
    """Guards against a planned stop that refuses too early or exits with answers running."""
    step = Drain().handle_sigterm(100.0)
    assert step.actions == (DrainAction.PUBLISH_LEAVING,)
    assert step.drain.is_leaving
    step = step.drain.advance(100.9, active=0)
    assert (step.drain.accepts_work, step.actions) == (True, ())
    step = step.drain.advance(101.0, active=2)
    assert (step.drain.accepts_work, step.actions) == (False, (DrainAction.REFUSE_NEW_WORK,))
    step = step.drain.advance(9999.0, active=1)
    assert (step.drain.phase, step.actions) == (DrainPhase.REFUSING, ())
    step = step.drain.advance(9999.1, active=0)
    assert step.actions == (DrainAction.RELEASE_SLOTS,)
    step = step.drain.handle_slots_released()
    assert (step.drain.phase, step.actions) == (DrainPhase.EXITED, (DrainAction.EXIT,))


def test_second_signal_cuts_running_answers_once() -> None:
    """Guards against an operator who cannot stop a VM with an endless answer."""
    drain = Drain().handle_sigterm(0.0).drain.advance(5.0, active=3).drain
    step = drain.handle_sigterm(6.0)
    assert DrainAction.CUT_RUNNING in step.actions
    assert step.drain.phase is DrainPhase.RELEASING
    assert step.drain.handle_sigterm(7.0).actions == ()
