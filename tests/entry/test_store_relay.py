"""Relay of store changes to VMs that do not read the store themselves."""

import asyncio
import zlib
from typing import Any, cast

import pytest
from relay_fleet import KEY, OTHER_KEY, Node, create_item, create_relay

from mangosaddle._store_revisions import compose
from mangosaddle.coordination import HoldTimes, Removal, RestoreGuard, Snapshot
from mangosaddle.entry._store_listeners import LAPSE_GRACE_S
from mangosaddle.entry._store_relay import (
    ABSENT,
    MAX_RELAY_DELAY_S,
    MAX_VALUE_BYTES,
    PRESENT,
    STORE_ITEM,
)


def test_items_whose_delay_ends_before_the_links_exist_are_published() -> None:
    """Guards against VMs that never learn what this VM read before it had links."""

    async def _main() -> None:
        node = Node()
        relay, relaying, _ = create_relay()
        relaying.handle_change(create_item(KEY, 5))
        await asyncio.sleep(2 * MAX_RELAY_DELAY_S)
        relay.connect(cast(Any, node))
        await asyncio.sleep(2 * MAX_RELAY_DELAY_S)
        assert node.facts.find(STORE_ITEM.name, KEY) is not None

    asyncio.run(_main())


@pytest.mark.parametrize("after_outage", [False, True])
def test_keys_missing_from_a_snapshot_are_removed_at_all_vms(
    monkeypatch: pytest.MonkeyPatch, after_outage: bool
) -> None:
    """Guards against VMs that use an endpoint whose removal no VM saw as a change.

    The reading VM missed the change because the history was dropped, or because it was not running.
    """
    monkeypatch.setattr("mangosaddle.entry._store_relay.LAPSE_RELAY_DELAY_S", 0.1)

    async def _main() -> None:
        reading, other = Node(), Node()
        reading.others = [other]
        _, relaying, _ = create_relay(reading)
        _, _, listener = create_relay(other)
        reading.publish(reading.new_fact(STORE_ITEM.name, KEY, 5, PRESENT + zlib.compress(b"v")))
        relaying.handle_snapshot(
            Snapshot((create_item(OTHER_KEY, 4),), 9), after_outage=after_outage
        )
        await asyncio.sleep(0.1 + 2 * MAX_RELAY_DELAY_S)
        assert Removal(KEY, 9) in listener.events
        assert [event.key for event in listener.events if isinstance(event, Removal)] == [KEY]

    asyncio.run(_main())


def test_lapsed_keys_that_return_after_an_outage_are_not_removed() -> None:
    """Guards against endpoints that are dropped while they register again after an outage."""

    async def _main() -> None:
        reading, other = Node(), Node()
        reading.others = [other]
        _, relaying, _ = create_relay(reading)
        _, _, listener = create_relay(other)
        reading.publish(reading.new_fact(STORE_ITEM.name, KEY, 5, PRESENT + zlib.compress(b"v")))
        relaying.handle_snapshot(Snapshot((), 9), after_outage=True)
        relaying.handle_change(create_item(KEY, 10))
        await asyncio.sleep(LAPSE_GRACE_S + 2 * MAX_RELAY_DELAY_S)
        assert not any(isinstance(event, Removal) for event in listener.events)

    asyncio.run(_main())


@pytest.mark.parametrize(
    "payload",
    [b"", b"\x07", PRESENT, PRESENT + b"no zlib", PRESENT + zlib.compress(b"v")[:-3]],
)
def test_undecodable_item_is_ignored(payload: bytes) -> None:
    """Guards against a relayed item of another version that stops the relay or empties a key."""

    async def _main() -> None:
        node = Node()
        _, _, listener = create_relay(node)
        node.publish(node.new_fact(STORE_ITEM.name, KEY, 5, payload))
        assert listener.events == []
        node.publish(node.new_fact(STORE_ITEM.name, KEY, 6, ABSENT))
        assert listener.events == [Removal(KEY, 6)]

    asyncio.run(_main())


def test_compressed_item_cannot_take_more_memory_than_the_store_holds() -> None:
    """Guards against a small message that expands to hundreds of megabytes."""

    async def _main() -> None:
        node = Node()
        _, _, listener = create_relay(node)
        bomb = zlib.compress(b"\0" * (MAX_VALUE_BYTES + 1))
        node.publish(node.new_fact(STORE_ITEM.name, KEY, 5, PRESENT + bomb))
        assert listener.events == []

    asyncio.run(_main())


def test_a_key_that_a_restored_store_lacks_is_held_back_only_once() -> None:
    """Guards against VMs without a watch that keep a key for the hold times of two VMs."""

    async def _main() -> None:
        reading, other = Node(), Node()
        reading.others = [other]
        now = 0.0
        guards = [RestoreGuard(HoldTimes(3.0, 3.0), clock=lambda: now) for _ in range(2)]
        relay, relaying, _ = create_relay(reading, guards[0])
        _, _, listener = create_relay(other, guards[1])
        relaying.handle_change(create_item(KEY, compose(1, 60)))
        await asyncio.sleep(2 * MAX_RELAY_DELAY_S)
        relaying.handle_snapshot(Snapshot((), compose(2, 55)), after_outage=True)
        now = 3.0
        relay.release_held()
        await asyncio.sleep(2 * MAX_RELAY_DELAY_S)
        assert listener.events[1:] == [Removal(KEY, compose(2, 55))]

    asyncio.run(_main())
