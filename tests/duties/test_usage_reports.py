"""Counts of begun requests, their sums, and the plan of reports."""

import random

import pytest

from mangosaddle._identifiers import OrganisationId
from mangosaddle._store_revisions import compose
from mangosaddle.duties import (
    ChangedCounts,
    SteadyClock,
    UsageCount,
    UsagePlan,
    UsagePolicy,
    UsageReport,
    UsageTotals,
    UsageWindows,
)

WINDOW_S = 5.0
ORGANISATIONS = tuple(OrganisationId(name) for name in ("a", "b", "c"))


class Clock:
    """Clock that a test sets."""

    def __init__(self, now: float = 1000.0) -> None:
        """Start at ``now`` seconds."""
        self.now = now

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


def test_sums_survive_lost_and_repeated_messages() -> None:
    """Guards against counts that are lost or added twice on their way to the holder.

    The sums of three VMs over a lossy link are compared with a plain count of all requests.
    """
    rng, clock = random.Random(1), Clock()
    expected: dict[tuple[int, str], int] = {}
    vms = [UsageWindows(WINDOW_S, clock) for _ in range(3)]
    changes = [ChangedCounts() for _ in vms]
    totals = UsageTotals(WINDOW_S, clock, clock)
    for _ in range(300):
        clock.now += 0.05
        number, organisation = rng.randrange(3), rng.choice(ORGANISATIONS)
        vms[number].record(organisation)
        key = (vms[number].current(), organisation)
        expected[key] = expected.get(key, 0) + 1
        counts = changes[number].select("holder", vms[number].counts())
        for _ in range(rng.choice((0, 1, 1, 2))):
            totals.merge(number, counts, clock.now)
    for number, windows in enumerate(vms):
        for _ in range(5):
            totals.merge(number, changes[number].select("holder", windows.counts()), clock.now)
    sums = {(row.window, row.organisation): row.requests for row in totals.counts()}
    assert sums == expected


def test_a_new_receiver_gets_all_counts() -> None:
    """Guards against a successor that knows only what was counted after its claim."""
    counts, changes = [UsageCount(1, ORGANISATIONS[0], 4)], ChangedCounts()
    assert changes.select("first", counts) == tuple(counts)
    assert changes.select("first", counts) == ()
    assert changes.select("second", counts) == tuple(counts)


def test_counts_of_a_vm_that_has_ended_stay_in_the_sums() -> None:
    """Guards against requests that are not reported because their VM was killed."""
    clock = Clock()
    totals = UsageTotals(WINDOW_S, clock, clock)
    totals.merge("old process", [UsageCount(200, ORGANISATIONS[0], 4)], clock.now)
    clock.now += 4.0
    totals.merge("new process", [UsageCount(200, ORGANISATIONS[0], 3)], clock.now)
    assert totals.of_window(200) == {ORGANISATIONS[0]: 7}
    assert totals.complete_until_s(2.0) == clock.now


def test_old_windows_are_dropped() -> None:
    """Guards against memory that grows with the age of the process."""
    clock = Clock()
    totals = UsageTotals(WINDOW_S, clock, clock)
    for number in range(500):
        totals.merge(number, [UsageCount(int(clock.now // WINDOW_S), "a", 1)], clock.now)  # type: ignore[arg-type]
        clock.now += 1.0
        totals.counts()
    assert len(totals._windows_by_source) < 50


def test_sums_that_are_only_merged_drop_old_windows() -> None:
    """Guards against memory that grows at the holder, which is sent sums and sends none."""
    clock = Clock()
    totals = UsageTotals(WINDOW_S, clock, clock)
    for _ in range(300):
        counts = [UsageCount(int(clock.now // WINDOW_S), ORGANISATIONS[0], 1)]
        totals.merge("zone", counts, clock.now)
        clock.now += 1.0
    kept = totals._windows_by_source["zone"]._counts_by_window
    assert len(kept) < 10


def test_a_step_of_the_wall_clock_does_not_move_the_windows() -> None:
    """Guards against counts in a wrong window after the time of day has jumped."""
    wall, clock = Clock(5000.0), Clock(10.0)
    steady = SteadyClock(wall, clock)
    wall.now += 3600.0
    clock.now += 2.0
    assert steady() == 5002.0


ERA_TOKEN = compose(3, 50)


@pytest.mark.parametrize(
    ("recorded", "pending", "next_window"),
    [
        (None, None, 20),
        (UsageReport(17, {}, 3), 17, 18),
        (UsageReport(3, {}, 3), 3, 14),
        (UsageReport(17, {}, 2), None, 20),
        (UsageReport(25, {}, 2), None, 26),
    ],
)
def test_a_new_holder_goes_on_after_the_record(
    recorded: UsageReport | None, pending: int | None, next_window: int
) -> None:
    """Guards against windows that are left out, and against those that are reported anew.

    A recorded report may not have been sent. A record of an earlier era may lack later ones.
    """
    plan = UsagePlan(ERA_TOKEN, recorded, open_window=20, oldest_kept=14)
    assert (plan.pending.window if plan.pending else None) == pending
    assert plan.next_window == next_window


def test_a_report_waits_for_missing_zones_only_for_a_time() -> None:
    """Guards against a zone that is cut off and makes all reports late."""
    policy = UsagePolicy(WINDOW_S, late_s=10.0)
    end_s = policy.end_s(7)
    assert not policy.may_report(7, end_s + 1.0, is_complete=True)
    assert policy.may_report(7, end_s + 3.0, is_complete=True)
    assert not policy.may_report(7, end_s + 3.0, is_complete=False)
    assert policy.may_report(7, end_s + 7.0, is_complete=False)


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"window": 1, "counts": {"a": "x"}, "era": 1}', b"[" * 100_000],
)
def test_an_invalid_record_is_told_apart(value: bytes) -> None:
    """Guards against a value of another writer that ends the duty for good."""
    with pytest.raises(ValueError, match=r"report|Expecting|counts"):
        UsageReport.decode(value)


def test_a_record_is_decoded_as_it_was_encoded() -> None:
    """Guards against a repeated report with other counts."""
    report = UsageReport(12, {ORGANISATIONS[0]: 3, ORGANISATIONS[1]: 1}, 2)
    assert UsageReport.decode(report.encode()) == report
