"""VM entries whose leases have ended, combined with what the links report."""

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from mangosaddle._identifiers import Incarnation, RegionName, VmId, ZoneName
from mangosaddle.coordination import Item, Removal, Snapshot, VmRecord
from mangosaddle.entry._fleet_view import FleetView
from mangosaddle.entry._store_listeners import VmEntryListener
from mangosaddle.entry._vm_reports import identity_hash
from mangosaddle.membership import MembershipTable, VmIdentity, VmState, VmStatus
from mangosaddle.peers import PeerNode

OWN, OTHER = VmId("vm-1"), VmId("vm-2")
OLD, NEW = Incarnation("old"), Incarnation("new")
RECORD = VmRecord(OTHER, OLD, RegionName("b"), ZoneName("b-a"), "127.0.0.2", 7600, 8221)
KEY = f"vms/{OTHER}"
MAX_NAMED_WHEN_DEAD_S = 6.0
"""Time after which a dead VM must no longer be named, less the tolerance."""


class _Observer:
    """View that one VM has of another one, with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self._report_count = 0
        self.table = MembershipTable(VmIdentity(OWN, OLD, 1), {})
        self.fleet = FleetView(OWN, lambda: True, lambda: self.now)
        node = SimpleNamespace(membership=self.table, update_vms=lambda _: None)
        self.fleet.node = cast("PeerNode", node)
        self.listener = VmEntryListener(
            "vms/", OWN, lambda _: None, self._on_change, self.fleet.is_reporting, lambda: self.now
        )

    def _on_change(self) -> None:
        self.fleet.set_records(self.listener.records_by_vm, self.listener.revisions_by_vm)

    def report_state(self, state: VmState) -> None:
        """Apply a state that the links report for the other VM."""
        self._report_count += 1
        status = VmStatus(VmIdentity(OTHER, OLD, 5), self._report_count, state)
        self.table.apply(status.to_fact(status.identity))

    def named_vms(self) -> list[VmId]:
        """Return the VMs that are named to callers."""
        self.listener.remove_due()
        return [vm.vm for vm in self.fleet.live()]


def _observer() -> _Observer:
    observer = _Observer()
    observer.listener.handle_change(Item(KEY, RECORD.encode(), 5))
    observer.report_state(VmState.LIVE)
    return observer


@pytest.mark.parametrize("by_snapshot", [False, True])
@pytest.mark.parametrize(
    ("state", "reporter", "age_s", "leaving", "kept"),
    [
        (VmState.LIVE, OLD, 0.5, False, True),
        (VmState.LIVE, OLD, 2.9, False, True),
        (VmState.LIVE, OLD, 3.1, False, False),
        (VmState.LIVE, NEW, 0.5, False, False),
        (VmState.LIVE, None, 0.0, False, False),
        (VmState.LIVE, OLD, 0.5, True, False),
        (VmState.LEAVING, OLD, 0.5, False, False),
        (VmState.SUSPECTED, OLD, 0.5, False, False),
    ],
    ids=[
        "reporting",
        "reported lately",
        "silent",
        "other process",
        "never reported",
        "entry says leaving",
        "links say leaving",
        "suspected",
    ],
)
def test_lapsed_entry_is_kept_while_its_vm_reports(
    state: VmState,
    reporter: Incarnation | None,
    age_s: float,
    leaving: bool,
    kept: bool,
    by_snapshot: bool,
) -> None:
    """Guards against a region without VMs because the store rejects their calls.

    Their leases end, although the VMs are alive and report over the links.
    """
    observer = _observer()
    observer.listener.handle_change(Item(KEY, replace(RECORD, leaving=leaving).encode(), 6))
    observer.report_state(state)
    if reporter is not None:
        observer.fleet.record_reports([identity_hash(OTHER, reporter)])
    observer.now += age_s
    if by_snapshot:
        observer.listener.handle_snapshot(Snapshot((), 9), after_outage=False)
    else:
        observer.listener.handle_change(Removal(KEY, 9))
    assert (OTHER in observer.listener.records_by_vm) is kept
    assert observer.named_vms() == ([OTHER] if kept else [])
    assert (observer.listener.revisions_by_vm.get(OTHER) is not None) is kept


def test_kept_entry_is_removed_when_its_vm_falls_silent() -> None:
    """Guards against a killed VM that is named to callers for too long."""
    observer = _observer()
    observer.fleet.record_reports([identity_hash(OTHER, OLD)])
    observer.listener.handle_change(Removal(KEY, 9))
    killed_at_s = observer.now
    while observer.named_vms():
        observer.now += 0.5
        assert observer.now - killed_at_s <= MAX_NAMED_WHEN_DEAD_S
    assert not observer.listener.records_by_vm


def test_kept_entry_that_is_written_again_stays() -> None:
    """Guards against removing a VM long after it has renewed its entry."""
    observer = _observer()
    observer.fleet.record_reports([identity_hash(OTHER, OLD)])
    observer.listener.handle_change(Removal(KEY, 9))
    observer.listener.handle_change(Item(KEY, RECORD.encode(), 10))
    observer.now += 60.0
    assert observer.named_vms() == [OTHER]
    assert observer.listener.revisions_by_vm == {OTHER: 10}


@pytest.mark.parametrize("in_snapshot", [True, False])
def test_an_entry_that_names_another_vm_than_its_key_is_ignored(in_snapshot: bool) -> None:
    """Guards against one odd entry that replaces the addresses of a VM."""
    observer = _observer()
    forged = Item("vms/vm-3", replace(RECORD, host="127.0.0.9").encode(), 6)
    if in_snapshot:
        items = (Item(KEY, RECORD.encode(), 5), forged)
        observer.listener.handle_snapshot(Snapshot(items, 6), after_outage=False)
    else:
        observer.listener.handle_change(forged)
    assert observer.listener.records_by_vm == {OTHER: RECORD}
