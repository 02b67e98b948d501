"""VMs whose relays pass on what they read, without links and without a store."""

import random
from collections.abc import Callable
from typing import Any, cast

from mangosaddle._identifiers import Incarnation, VmId
from mangosaddle.coordination import Item, PrefixListener, Removal, RestoreGuard, Snapshot
from mangosaddle.entry._store_relay import STORE_ITEM, StoreRelay
from mangosaddle.membership import Fact, FactTable
from mangosaddle.peers import EncodeError
from mangosaddle.peers._gossip import MAX_FACT_BYTES

PREFIX = "servers/"
KEY, OTHER_KEY = "servers/a", "servers/b"


class RecordingListener:
    """Records the changes, and the state that follows from them and from the snapshots."""

    def __init__(self) -> None:
        """Create the listener without knowledge."""
        self.events: list[Item | Removal] = []
        self.items_by_key: dict[str, Item] = {}
        self.failures = 0
        """Number of coming changes that are not applied."""

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Replace the state."""
        del after_outage
        self.items_by_key = {item.key: item for item in snapshot.items}

    def handle_change(self, event: Item | Removal) -> None:
        """Apply a change."""
        if self.failures:
            self.failures -= 1
            raise RuntimeError("not applied")
        self.events.append(event)
        if isinstance(event, Item):
            self.items_by_key[event.key] = event
        else:
            self.items_by_key.pop(event.key, None)


class Node:
    """A VM's fact table whose publications reach the other nodes at once."""

    def __init__(self) -> None:
        """Create a node that is linked to no other."""
        self.facts = FactTable([STORE_ITEM])
        self.others: list[Node] = []
        self.listener: Callable[[Fact], None] | None = None

    def on_fact(self, _kind: str, listener: Callable[[Fact], None]) -> None:
        """Call the listener for each fact that changes the table."""
        self.listener = listener

    def new_fact(self, kind: str, key: str, version: int, payload: bytes) -> Fact:
        """Create a fact; raises ``EncodeError`` like the links."""
        if len(payload) > MAX_FACT_BYTES:
            raise EncodeError("too large")
        return Fact(kind, key, VmId("vm"), Incarnation("i"), 1, version, payload, 1e12)

    def publish(self, fact: Fact) -> None:
        """Merge a fact at this node and at the others."""
        for node in (self, *self.others):
            if node.facts.merge([fact], 0.0) and node.listener is not None:
                node.listener(fact)


def create_relay(
    node: Node | None = None, guard: RestoreGuard | None = None, seed: int = 1
) -> tuple[StoreRelay, PrefixListener, RecordingListener]:
    """Return a relay, the listener for its watch, and the one that applies the changes."""
    relay, listener = StoreRelay(random.Random(seed)), RecordingListener()
    relaying = relay.wrap_listener(PREFIX, listener, guard)
    if node is not None:
        relay.connect(cast(Any, node))
    return relay, relaying, listener


def create_item(key: str, revision: int, value: bytes = b"value") -> Item:
    """Return an item as the store has it."""
    return Item(key, value, revision)
