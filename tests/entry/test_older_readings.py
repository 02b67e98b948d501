"""Readings of the store that are older than what the VM has learnt over the links."""

import asyncio
import random
import zlib
from collections.abc import Callable

import pytest
from relay_fleet import KEY, OTHER_KEY, Node, create_item, create_relay

from mangosaddle._store_revisions import compose
from mangosaddle.coordination import HoldTimes, Item, Removal, RestoreGuard, Snapshot
from mangosaddle.entry import _store_relay
from mangosaddle.entry._store_relay import ABSENT, PRESENT, STORE_ITEM

HOLD_TIMES = HoldTimes(3.0, 3.0)
KEYS = [f"servers/{name}" for name in "abcdef"]
STEPS = 60
MAX_WAIT_S = 5.0


def _relay_fact(node: Node, event: Item | Removal) -> None:
    """Let another VM relay a change."""
    payload = PRESENT + zlib.compress(event.value) if isinstance(event, Item) else ABSENT
    era = event.revision >> 48
    key = f"{era}:{event.key}" if era else event.key
    node.publish(node.new_fact(STORE_ITEM.name, key, event.revision, payload))


@pytest.mark.parametrize("is_guarded", [True, False])
@pytest.mark.parametrize("is_watched", [True, False])
@pytest.mark.parametrize("era", [0, 2])
@pytest.mark.parametrize(
    ("change", "read"),
    [
        (Item(KEY, b"new", 9), [Item(KEY, b"old", 4)]),
        (Item(KEY, b"new", 9), []),
        (Removal(KEY, 9), [Item(KEY, b"old", 4)]),
    ],
    ids=["changed", "added", "removed"],
)
def test_a_reading_does_not_take_back_a_later_change(
    change: Item | Removal, read: list[Item], era: int, is_watched: bool, is_guarded: bool
) -> None:
    """Guards against evacuations, leaving endpoints and orders that an older reading undoes."""

    async def _main() -> None:
        def _in_era(event: Item | Removal) -> Item | Removal:
            revision = compose(era, event.revision)
            if isinstance(event, Item):
                return Item(event.key, event.value, revision)
            return Removal(event.key, revision)

        node = Node()
        guard = RestoreGuard(HOLD_TIMES) if is_guarded else None
        _, relaying, listener = create_relay(node, guard)
        items = [item for item in map(_in_era, read) if isinstance(item, Item)]
        other = create_item(OTHER_KEY, compose(era, 3))
        relaying.handle_snapshot(Snapshot((*items, other), compose(era, 5)), after_outage=False)
        _relay_fact(node, _in_era(change))
        relaying.handle_snapshot(Snapshot((*items, other), compose(era, 8)), after_outage=False)
        if is_watched:
            relaying.handle_change(_in_era(change))
        expected = {OTHER_KEY: other}
        if isinstance(change, Item):
            expected[KEY] = _in_era(change)  # type: ignore[assignment]
        assert listener.items_by_key == expected
        later = create_item(KEY, compose(era, 12), b"later")
        relaying.handle_snapshot(Snapshot((later,), compose(era, 12)), after_outage=False)
        assert listener.items_by_key == {KEY: later}

    asyncio.run(_main())


class _Store:
    """Store whose readings are paged and delivered late."""

    def __init__(self, rng: random.Random) -> None:
        self.revision = 0
        self.items_by_key: dict[str, Item] = {}
        self.history: list[Item | Removal] = []
        self._rng = rng

    def change(self) -> Item | Removal:
        """Write or remove a key."""
        self.revision += 1
        key = self._rng.choice(KEYS)
        event: Item | Removal
        if key in self.items_by_key and self._rng.random() < 0.5:
            event = Removal(key, self.revision)
            del self.items_by_key[key]
        else:
            event = Item(key, b"%d" % self.revision, self.revision)
            self.items_by_key[key] = event
        self.history.append(event)
        return event

    def read(self, on_page: Callable[[], None]) -> Snapshot:
        """Read in pages of two keys; ``on_page`` is called between them."""
        revision = self.revision
        items: list[Item] = []
        for start in range(0, len(KEYS), 2):
            page = (self.items_by_key.get(key) for key in KEYS[start : start + 2])
            items += [item for item in page if item is not None]
            on_page()
        return Snapshot(tuple(items), revision)


@pytest.mark.parametrize("is_guarded", [True, False])
@pytest.mark.parametrize("seed", range(20))
def test_the_state_is_that_of_the_store_whatever_the_order_of_arrival(
    monkeypatch: pytest.MonkeyPatch, seed: int, is_guarded: bool
) -> None:
    """Guards against any order of readings, watches and relayed changes that loses one.

    Compared with the state of the store itself, once all changes have been watched or relayed.
    """
    monkeypatch.setattr(_store_relay, "MAX_RELAY_DELAY_S", 0.0)

    async def _main() -> None:
        rng = random.Random(seed)
        store, node = _Store(rng), Node()
        guard = RestoreGuard(HOLD_TIMES) if is_guarded else None
        _, relaying, listener = create_relay(node, guard)

        def _change_and_relay() -> None:
            for _ in range(rng.randrange(3)):
                event = store.change()
                if rng.random() < 0.7:
                    _relay_fact(node, event)

        snapshot = Snapshot((), 0)
        for _ in range(STEPS):
            _change_and_relay()
            snapshot = store.read(_change_and_relay)
            _change_and_relay()
            relaying.handle_snapshot(snapshot, after_outage=False)
            watched = [event for event in store.history if event.revision > snapshot.revision]
            for event in watched[: rng.randrange(len(watched) + 1)]:
                relaying.handle_change(event)
        for event in store.history:
            if event.revision > snapshot.revision:
                relaying.handle_change(event)
        assert listener.items_by_key == store.items_by_key

    asyncio.run(_main())


@pytest.mark.parametrize("seed", range(5))
def test_the_latest_change_before_the_links_exist_is_published(seed: int) -> None:
    """Guards against an older change that is published in place of a later one."""

    async def _main() -> None:
        node = Node()
        relay, relaying, _ = create_relay(seed=seed)
        for revision in range(1, 6):
            relaying.handle_change(create_item(KEY, revision))
        await asyncio.sleep(1.2 * _store_relay.MAX_RELAY_DELAY_S)
        relay.connect(node)  # type: ignore[arg-type]
        async with asyncio.timeout(MAX_WAIT_S):
            while (fact := node.facts.find(STORE_ITEM.name, KEY)) is None or fact.version < 5:
                await asyncio.sleep(0.01)

    asyncio.run(_main())
