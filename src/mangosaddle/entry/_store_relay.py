"""Relay of store changes to VMs whose own calls the store rejects."""

import asyncio
import logging
import random
import zlib
from dataclasses import dataclass

from ..coordination import Item, PrefixListener, Removal, Snapshot
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import EncodeError, PeerNode

STORE_ITEM = FactKind("store_item", HIGHEST_VERSION, lifetime_s=3600.0)
"""A store key as one VM has read it; the fact's version is the store revision. The lifetime bounds
the size of the fact table when many endpoints come and go; VMs that reach the store do not need
these facts."""
MAX_RELAY_DELAY_S = 0.3
"""Maximum random delay before an item is relayed: by then another VM has usually relayed it."""
PRESENT, ABSENT = b"\x01", b"\x00"
"""First byte of the payload: whether the key exists."""

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _FollowedPrefix:
    listener: PrefixListener
    snapshot_revision: int = 0
    """Revision of the latest snapshot, which includes all older changes."""


class StoreRelay:
    """Publishes store changes over the links and passes those of other VMs to the listeners."""

    def __init__(self, rng: random.Random) -> None:
        """Create the relay without links; ``connect`` adds them."""
        self._rng = rng
        self._node: PeerNode | None = None
        self._followed_by_prefix: dict[str, _FollowedPrefix] = {}
        self._revisions_by_key: dict[str, int] = {}

    def wrap_listener(self, prefix: str, listener: PrefixListener) -> PrefixListener:
        """Return a follower listener that relays what it reads and passes it to ``listener``."""
        followed = self._followed_by_prefix[prefix] = _FollowedPrefix(listener)
        return _RelayingListener(self, followed)

    def connect(self, node: PeerNode) -> None:
        """Use the links of a peer node.

        Items that were read before and whose relay delay is still running are published as well.
        """
        self._node = node
        node.on_fact(STORE_ITEM.name, self._on_fact)

    def relay_if_new(self, event: Item | Removal) -> bool:
        """Schedule the relay of a change read from the store; return whether it is new."""
        if event.revision <= self._revisions_by_key.get(event.key, 0):
            return False
        self._revisions_by_key[event.key] = event.revision
        delay_s = self._rng.uniform(0.0, MAX_RELAY_DELAY_S)
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
            logger.warning("cannot relay store item", extra={"key": event.key, "cause": str(error)})
            return
        self._node.publish(fact)

    def _on_fact(self, fact: Fact) -> None:
        """Pass an item that another VM has read to its listener unless it is already known."""
        followed = next(
            (f for prefix, f in self._followed_by_prefix.items() if fact.key.startswith(prefix)),
            None,
        )
        known = self._revisions_by_key.get(fact.key, 0)
        if followed is None or fact.version <= max(known, followed.snapshot_revision):
            return
        event = _decode(fact)
        if event is None:
            return
        self._revisions_by_key[fact.key] = fact.version
        logger.info(
            "received relayed store item",
            extra={"key": fact.key, "revision": fact.version, "from_vm": fact.origin},
        )
        followed.listener.handle_change(event)


class _RelayingListener:
    def __init__(self, relay: StoreRelay, followed: _FollowedPrefix) -> None:
        self._relay = relay
        self._followed = followed

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Relay the items that are new and pass on the snapshot."""
        self._followed.snapshot_revision = max(self._followed.snapshot_revision, snapshot.revision)
        for item in snapshot.items:
            self._relay.relay_if_new(item)
        self._followed.listener.handle_snapshot(snapshot, after_outage=after_outage)

    def handle_change(self, event: Item | Removal) -> None:
        """Relay a change and pass it on if it is new."""
        if self._relay.relay_if_new(event):
            self._followed.listener.handle_change(event)


def _decode(fact: Fact) -> Item | Removal | None:
    if fact.payload[:1] == ABSENT:
        return Removal(fact.key, fact.version)
    try:
        return Item(fact.key, zlib.decompress(fact.payload[1:]), fact.version)
    except zlib.error as error:
        logger.warning(
            "cannot decode relayed store item",
            extra={"key": fact.key, "from_vm": fact.origin, "cause": str(error)},
        )
        return None
