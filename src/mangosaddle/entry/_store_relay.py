"""Relays what one VM reads from the store to VMs that the store turns away."""

import asyncio
import logging
import random
import zlib
from dataclasses import dataclass

from ..coordination import Item, PrefixListener, Removal, Snapshot
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import EncodeError, PeerNode

STORE_ITEM = FactKind("store_item", HIGHEST_VERSION, lifetime_s=3600.0)
"""A key of the store as one VM has read it; the revision is the version. The life bounds the table
when many endpoints come and go; VMs that reach the store do not need it."""
RELAY_DELAY_S = 0.3
"""Longest pause before an item is relayed: usually another VM has done it by then."""
PRESENT, ABSENT = b"\x01", b"\x00"
"""First byte of a fact's payload."""

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Followed:
    listener: PrefixListener
    floor: int = 0
    """Revision of the last reading of all items: what is older is in it."""


class StoreRelay:
    """Publishes changes to the links and hands those of other VMs to the listeners."""

    def __init__(self, rng: random.Random) -> None:
        """Create without links; ``connect`` adds them."""
        self._rng = rng
        self._node: PeerNode | None = None
        self._followed_by_prefix: dict[str, _Followed] = {}
        self._revisions_by_key: dict[str, int] = {}

    def relayed(self, prefix: str, listener: PrefixListener) -> PrefixListener:
        """Return a listener for a follower that also relays what it reads."""
        followed = self._followed_by_prefix[prefix] = _Followed(listener)
        return _RelayedListener(self, followed)

    def connect(self, node: PeerNode) -> None:
        """Use the links of a node; items that were read before are offered to the others."""
        self._node = node
        node.on_fact(STORE_ITEM.name, self._received)

    def observed(self, event: Item | Removal) -> bool:
        """Take a change that was read from the store; returns whether it is news."""
        if event.revision <= self._revisions_by_key.get(event.key, 0):
            return False
        self._revisions_by_key[event.key] = event.revision
        delay_s = self._rng.uniform(0.0, RELAY_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self._publish, event)
        return True

    def _publish(self, event: Item | Removal) -> None:
        if self._node is None:
            return
        known = self._node.facts.find(STORE_ITEM.name, event.key)
        if known is not None and known.version >= event.revision:
            return
        payload = ABSENT
        if isinstance(event, Item):
            payload = PRESENT + zlib.compress(event.value)
        try:
            fact = self._node.new_fact(STORE_ITEM.name, event.key, event.revision, payload)
        except EncodeError as error:
            logger.warning("item is not relayed", extra={"key": event.key, "cause": str(error)})
            return
        self._node.publish(fact)

    def _received(self, fact: Fact) -> None:
        """Hand an item that another VM has read to its listener, unless it is known already."""
        followed = next(
            (f for prefix, f in self._followed_by_prefix.items() if fact.key.startswith(prefix)),
            None,
        )
        known = self._revisions_by_key.get(fact.key, 0)
        if followed is None or fact.version <= max(known, followed.floor):
            return
        event = _decode(fact)
        if event is None:
            return
        self._revisions_by_key[fact.key] = fact.version
        logger.info(
            "item relayed",
            extra={"key": fact.key, "revision": fact.version, "from_vm": fact.origin},
        )
        followed.listener.handle_change(event)


class _RelayedListener:
    def __init__(self, relay: StoreRelay, followed: _Followed) -> None:
        self._relay = relay
        self._followed = followed

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Take all items and relay those that are new."""
        self._followed.floor = max(self._followed.floor, snapshot.revision)
        for item in snapshot.items:
            self._relay.observed(item)
        self._followed.listener.handle_snapshot(snapshot, after_outage=after_outage)

    def handle_change(self, event: Item | Removal) -> None:
        """Take one change and relay it."""
        if self._relay.observed(event):
            self._followed.listener.handle_change(event)


def _decode(fact: Fact) -> Item | Removal | None:
    if fact.payload[:1] == ABSENT:
        return Removal(fact.key, fact.version)
    try:
        return Item(fact.key, zlib.decompress(fact.payload[1:]), fact.version)
    except zlib.error as error:
        logger.warning(
            "relayed item cannot be read",
            extra={"key": fact.key, "from_vm": fact.origin, "cause": str(error)},
        )
        return None
