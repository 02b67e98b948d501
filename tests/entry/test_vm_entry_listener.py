"""Entries of VMs whose leases end, beside what the links tell."""

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from mangosaddle._identifiers import Incarnation, RegionName, VmId, ZoneName
from mangosaddle.coordination import Item, Removal, Snapshot, VmRecord
from mangosaddle.entry._fleet_view import FleetView
from mangosaddle.entry._store_listeners import VmEntryListener
from mangosaddle.membership import MembershipTable, VmIdentity, VmState, VmStatus
from mangosaddle.peers import PeerNode

OWN, OTHER = VmId("vm-1"), VmId("vm-2")
OLD, NEW = Incarnation("old"), Incarnation("new")
RECORD = VmRecord(OTHER, OLD, RegionName("b"), ZoneName("b-a"), "127.0.0.2", 7600, 8221)
KEY = f"vms/{OTHER}"
CONTACT_S = 6.0
"""Time after which a dead VM must not be named, less the tolerance."""


class _View:
    """What one VM believes of another, with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self._told = 0
        self.table = MembershipTable(VmIdentity(OWN, OLD, 1), {})
        self.fleet = FleetView(OWN, lambda: True, lambda: self.now)
        node = SimpleNamespace(membership=self.table, update_vms=lambda _: None)
        self.fleet.node = cast("PeerNode", node)
        self.source = VmEntryListener(
            "vms/", OWN, lambda _: None, self._changed, self.fleet.is_reporting, lambda: self.now
        )

    def _changed(self) -> None:
        self.fleet.set_records(self.source.records_by_vm, self.source.revisions_by_vm)

    def told(self, state: VmState) -> None:
        """Take a state that the links tell."""
        self._told += 1
        status = VmStatus(VmIdentity(OTHER, OLD, 5), self._told, state)
        self.table.apply(status.to_fact(status.identity))

    def named(self) -> list[VmId]:
        """Return the VMs that callers are led to."""
        self.source.remove_due()
        return [vm.vm for vm in self.fleet.live()]


def _view() -> _View:
    view = _View()
    view.source.handle_change(Item(KEY, RECORD.encode(), 5))
    view.told(VmState.LIVE)
    return view


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
        "heard",
        "heard lately",
        "silent",
        "other process",
        "never heard",
        "entry says leaving",
        "links say leaving",
        "suspected",
    ],
)
def test_an_entry_whose_lease_has_ended_is_kept_while_its_vm_is_heard(
    state: VmState,
    reporter: Incarnation | None,
    age_s: float,
    leaving: bool,
    kept: bool,
    by_snapshot: bool,
) -> None:
    """Guards against a region without VMs because the store turns them away."""
    view = _view()
    view.source.handle_change(Item(KEY, replace(RECORD, leaving=leaving).encode(), 6))
    view.told(state)
    if reporter is not None:
        view.fleet.record_report(OTHER, reporter)
    view.now += age_s
    if by_snapshot:
        view.source.handle_snapshot(Snapshot((), 9), after_outage=False)
    else:
        view.source.handle_change(Removal(KEY, 9))
    assert (OTHER in view.source.records_by_vm) is kept
    assert view.named() == ([OTHER] if kept else [])
    assert (view.source.revisions_by_vm.get(OTHER) is not None) is kept


def test_an_entry_that_was_kept_is_dropped_when_its_vm_falls_silent() -> None:
    """Guards against a killed VM that is named for longer than callers may be led to it."""
    view = _view()
    view.fleet.record_report(OTHER, OLD)
    view.source.handle_change(Removal(KEY, 9))
    killed_at_s = view.now
    while view.named():
        view.now += 0.5
        assert view.now - killed_at_s <= CONTACT_S
    assert not view.source.records_by_vm


def test_an_entry_that_was_kept_and_is_written_again_stays() -> None:
    """Guards against a VM that is dropped long after it has been back."""
    view = _view()
    view.fleet.record_report(OTHER, OLD)
    view.source.handle_change(Removal(KEY, 9))
    view.source.handle_change(Item(KEY, RECORD.encode(), 10))
    view.now += 60.0
    assert view.named() == [OTHER]
    assert view.source.revisions_by_vm == {OTHER: 10}
