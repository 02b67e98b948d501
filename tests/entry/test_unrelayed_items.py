"""VMs that depend on the relay, and changes that it cannot bring them."""

import asyncio
import random
import zlib
from collections.abc import Callable

import pytest
from relay_fleet import KEY, OTHER_KEY, Node, RecordingListener, create_item, create_relay

from mangosaddle.coordination import Item, Snapshot
from mangosaddle.entry import _store_relay
from mangosaddle.entry._store_relay import (
    ABSENT,
    PRESENT,
    STORE_ITEM,
    TOO_LARGE,
    StoreRelay,
)
from mangosaddle.peers._gossip import MAX_FACT_BYTES

STORE_VALUE_BYTES = 1024 * 1024
SETTLING_S = 0.15
"""Time in which all delays of these tests end, for what must not happen."""
MAX_WAIT_S = 10.0


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_store_relay, "MAX_RELAY_DELAY_S", 0.03)
    monkeypatch.setattr(_store_relay, "MAX_READING_DELAY_S", 0.05)


def _incompressible(size: int) -> bytes:
    return random.Random(size).randbytes(size)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(MAX_WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


class _Store:
    """Holds what readings return; relays read it through ``reader_of``."""

    def __init__(self, *items: Item) -> None:
        self.items_by_key = {item.key: item for item in items}
        self.readings = 0

    def snapshot(self) -> Snapshot:
        items = tuple(self.items_by_key.values())
        return Snapshot(items, max((item.revision for item in items), default=1))

    def reader_of(self, relay: StoreRelay, relaying: object) -> Callable[[], None]:
        def _read() -> None:
            self.readings += 1
            relaying.handle_snapshot(self.snapshot(), after_outage=False)  # type: ignore[attr-defined]

        relay.add_reader("servers/", _read)
        return _read


def _add_vms(store: _Store, count: int) -> tuple[list[Node], list[RecordingListener]]:
    """Create linked VMs of which the caller lets the first one watch the store."""
    nodes = [Node() for _ in range(count)]
    listeners = []
    for number, node in enumerate(nodes):
        node.others = [other for other in nodes if other is not node]
        relay, relaying, listener = create_relay(node, seed=number)
        store.reader_of(relay, relaying)
        listeners.append(listener)
    return nodes, listeners


@pytest.mark.parametrize("vms", [2, 12, 40])
@pytest.mark.parametrize(
    ("size", "is_relayed"),
    [
        (1000, True),
        (MAX_FACT_BYTES - 1000, True),
        (MAX_FACT_BYTES + 1, False),
        (STORE_VALUE_BYTES, False),
    ],
)
def test_an_item_of_any_size_reaches_all_vms(size: int, is_relayed: bool, vms: int) -> None:
    """Guards against VMs that serve withdrawn keys, as a large configuration is not relayed."""

    async def _main() -> None:
        item = create_item(KEY, 5, _incompressible(size))
        store = _Store(item)
        node, others = Node(), _add_vms(store, vms - 1)
        node.others = others[0]
        _, relaying, _ = create_relay(node)
        relaying.handle_change(item)
        await _wait_until(
            lambda: all(listener.items_by_key == {KEY: item} for listener in others[1])
        )
        assert store.readings == (0 if is_relayed else vms - 1)

    asyncio.run(_main())


@pytest.mark.parametrize("payload", [b"", b"\x07", PRESENT + b"no zlib", TOO_LARGE])
def test_an_item_that_cannot_be_decoded_is_read(payload: bytes) -> None:
    """Guards against a VM that misses a change of a VM of another version for good."""

    async def _main() -> None:
        store = _Store(create_item(KEY, 5), create_item(OTHER_KEY, 3))
        (node,), (listener,) = _add_vms(store, 1)
        node.publish(node.new_fact(STORE_ITEM.name, KEY, 5, payload))
        await _wait_until(lambda: listener.items_by_key == store.items_by_key)

    asyncio.run(_main())


@pytest.mark.parametrize("payload", [PRESENT + zlib.compress(b"value"), ABSENT])
def test_a_change_that_is_known_by_then_is_not_read(payload: bytes) -> None:
    """Guards against needless calls to the store by hundreds of VMs."""

    async def _main() -> None:
        store = _Store(create_item(KEY, 5))
        (node,), _ = _add_vms(store, 1)
        node.publish(node.new_fact(STORE_ITEM.name, KEY, 5, TOO_LARGE))
        node.publish(node.new_fact(STORE_ITEM.name, KEY, 6, payload))
        await asyncio.sleep(SETTLING_S)
        assert store.readings == 0

    asyncio.run(_main())


@pytest.mark.parametrize("first", [KEY, OTHER_KEY])
def test_changes_that_are_missed_together_are_read_once(first: str) -> None:
    """Guards against a missed change that is forgotten as the one before it has become known."""

    async def _main() -> None:
        store = _Store(create_item(KEY, 5), create_item(OTHER_KEY, 6))
        (node,), (listener,) = _add_vms(store, 1)
        for key, revision in sorted([(KEY, 5), (OTHER_KEY, 6)], key=lambda row: row[0] != first):
            node.publish(node.new_fact(STORE_ITEM.name, key, revision, TOO_LARGE))
        store.items_by_key[first] = create_item(first, 7, b"new")
        node.publish(node.new_fact(STORE_ITEM.name, first, 7, PRESENT + zlib.compress(b"new")))
        expected = {KEY: 5, OTHER_KEY: 6} | {first: 7}
        await _wait_until(
            lambda: {key: item.revision for key, item in listener.items_by_key.items()} == expected
        )
        assert store.readings == 1

    asyncio.run(_main())


def test_a_removed_item_that_was_too_large_to_relay_is_removed_at_all_vms() -> None:
    """Guards against VMs that keep a large item whose removal no VM saw as a change."""

    async def _main() -> None:
        item = create_item(KEY, 5, _incompressible(STORE_VALUE_BYTES))
        store = _Store(item)
        node, (others, (listener,)) = Node(), _add_vms(store, 1)
        node.others = others
        _, relaying, _ = create_relay(node)
        relaying.handle_change(item)
        await _wait_until(lambda: listener.items_by_key == {KEY: item})
        relaying.handle_snapshot(Snapshot((), 9), after_outage=False)
        await _wait_until(lambda: listener.items_by_key == {})

    asyncio.run(_main())


def test_a_relayed_change_that_could_not_be_applied_is_read() -> None:
    """Guards against an unexpected error after which a VM counts a change as known."""

    async def _main() -> None:
        store = _Store(create_item(KEY, 5))
        (node,), (listener,) = _add_vms(store, 1)
        listener.failures = 1
        node.publish(node.new_fact(STORE_ITEM.name, KEY, 5, PRESENT + zlib.compress(b"value")))
        await _wait_until(lambda: listener.items_by_key == store.items_by_key)

    asyncio.run(_main())
