"""Which content of a restored store holds against what was known before."""

import pytest

from mangosaddle._store_revisions import compose
from mangosaddle.coordination import HoldTimes, Item, Removal, RestoreGuard, Snapshot
from mangosaddle.coordination._restore_guard import REMOVAL_RETENTION_S

KEY = "keys/a"
HOLD_TIMES = HoldTimes(missing_s=2.0, outdated_s=6.0)


class _Clock:
    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def _order(item: Item) -> tuple[int, ...] | None:
    """Read values such as ``b"7 text"``, whose writer numbers them."""
    number = item.value.split()[0]
    return (int(number),) if number.isdigit() else None


def _item(era: int, number: int, value: bytes) -> Item:
    return Item(KEY, value, compose(era, number))


def _removal(era: int, number: int) -> Removal:
    return Removal(KEY, compose(era, number))


def _guard(*events: Item | Removal) -> tuple[RestoreGuard, _Clock]:
    clock = _Clock()
    guard = RestoreGuard(HOLD_TIMES, _order, clock)
    for event in events:
        guard.admits(event, observed=True)
    return guard, clock


@pytest.mark.parametrize(
    ("known", "read", "holds"),
    [
        ([_item(1, 60, b"x")], _item(2, 60, b"x"), True),
        ([_item(1, 60, b"x")], _item(2, 40, b"x"), True),
        ([_item(1, 60, b"x")], _item(2, 40, b"old"), False),
        ([_item(1, 60, b"x")], _item(2, 61, b"new"), True),
        ([_item(1, 20, b"x")], _item(2, 40, b"new"), True),
        ([_item(1, 60, b"5 x")], _item(2, 57, b"4 old"), False),
        ([_item(1, 60, b"5 x")], _item(2, 57, b"5 x"), True),
        ([_item(1, 60, b"5 x")], _item(2, 57, b"6 new"), True),
        ([_item(1, 40, b"x"), _removal(1, 60)], _item(2, 40, b"x"), False),
        ([_item(1, 40, b"x"), _removal(1, 60)], _item(2, 61, b"x"), True),
        ([_item(1, 40, b"5 x"), _removal(1, 60)], _item(2, 57, b"5 x"), False),
        ([_item(1, 40, b"5 x"), _removal(1, 60)], _item(2, 57, b"6 x"), True),
        ([_item(1, 50, b"x"), _removal(2, 43)], _item(3, 50, b"x"), False),
        ([_item(1, 50, b"old"), _item(2, 43, b"x")], _item(3, 50, b"old"), False),
        ([_item(1, 50, b"old"), _item(2, 43, b"x")], _item(3, 51, b"new"), True),
        ([_item(1, 60, b"x")], _item(1, 61, b"new"), True),
        ([], _item(2, 40, b"x"), True),
    ],
)
def test_an_outdated_copy_does_not_replace_what_is_known(
    known: list[Item | Removal], read: Item, holds: bool
) -> None:
    """Guards against keys, endpoints and orders that come back older after a restore."""
    guard, _ = _guard(*known)
    snapshot = Snapshot((read,), compose(2 if read.revision >= compose(2, 0) else 1, 70))
    former = tuple(event for event in known[-1:] if isinstance(event, Item))
    assert guard.filter_snapshot(snapshot).items == ((read,) if holds else former)
    relayed, _ = _guard(*known)
    assert relayed.admits(read, observed=False) is holds


@pytest.mark.parametrize(("after_s", "is_kept"), [(1.9, True), (2.0, False)])
def test_a_key_that_is_not_written_again_is_removed_in_time(after_s: float, is_kept: bool) -> None:
    """Guards against keys that are lost with a restore, and against those that stay for ever."""
    known = _item(1, 60, b"x")
    guard, clock = _guard(known)
    snapshot = Snapshot((), compose(2, 55))
    assert guard.filter_snapshot(snapshot).items == (known,)
    clock.now_s += after_s
    assert guard.filter_snapshot(snapshot).items == (known,)
    assert guard.release_due() == ([] if is_kept else [Removal(KEY, snapshot.revision)])
    assert guard.release_due() == []
    assert guard.filter_snapshot(snapshot).items == ((known,) if is_kept else ())


def test_an_outdated_copy_that_is_not_written_again_is_accepted_in_the_end() -> None:
    """Guards against a VM that differs from the store for ever."""
    guard, clock = _guard(_item(1, 60, b"x"))
    copied = _item(2, 40, b"old")
    guard.filter_snapshot(Snapshot((copied,), compose(2, 55)))
    clock.now_s += HOLD_TIMES.outdated_s
    assert guard.release_due() == [copied]


def test_a_change_that_was_observed_takes_effect_at_once() -> None:
    """Guards against new orders that wait because they look like a copy."""
    guard, clock = _guard(_item(1, 60, b"x"))
    guard.filter_snapshot(Snapshot((_item(2, 40, b"old"),), compose(2, 55)))
    assert guard.admits(_item(2, 56, b"new"), observed=True)
    clock.now_s += HOLD_TIMES.outdated_s
    assert guard.release_due() == []


def test_a_key_missing_without_a_restore_is_removed_at_once() -> None:
    """Guards against endpoints that are kept although they have left."""
    guard, _ = _guard(_item(1, 60, b"x"))
    assert guard.filter_snapshot(Snapshot((), compose(1, 61))).items == ()


@pytest.mark.parametrize("number", [55, 61])
def test_a_removal_that_no_vm_has_seen_is_held_back_whatever_its_number(number: int) -> None:
    """Guards against keys that are dropped because another VM read the restored store later."""
    guard, clock = _guard(_item(1, 60, b"x"))
    removal = _removal(2, number)
    assert not guard.admits(removal, observed=False)
    clock.now_s += HOLD_TIMES.missing_s
    assert guard.release_due() == [removal]


def test_a_key_is_kept_while_its_writer_cannot_write_to_the_store() -> None:
    """Guards against keys that are dropped because the store is away again after a restore."""
    known = _item(1, 60, b"x")
    guard, clock = _guard(known)
    guard.filter_snapshot(Snapshot((), compose(2, 55)), after_outage=True)
    clock.now_s += 2 * HOLD_TIMES.missing_s
    assert guard.release_due(is_failing=True) == []
    snapshot = Snapshot((), compose(2, 56))
    assert guard.filter_snapshot(snapshot, after_outage=True).items == (known,)
    assert guard.release_due() == []
    clock.now_s += HOLD_TIMES.missing_s
    assert guard.release_due() == [Removal(KEY, snapshot.revision)]


def test_a_key_that_is_removed_twice_is_remembered_from_the_second_time() -> None:
    """Guards against endpoints that come back because an earlier removal has been forgotten."""
    guard, clock = _guard(_item(1, 40, b"x"), _removal(1, 41))
    clock.now_s += REMOVAL_RETENTION_S - 1.0
    item = _item(1, 60, b"x")
    for event in (item, _removal(1, 61)):
        guard.admits(event, observed=True)
    clock.now_s += 2.0
    guard.admits(Removal("keys/b", compose(1, 62)), observed=True)
    copied = _item(2, 60, b"x")
    assert guard.filter_snapshot(Snapshot((copied,), compose(2, 60))).items == ()
