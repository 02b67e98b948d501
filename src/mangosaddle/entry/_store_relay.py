"""Relay of store changes to VMs whose own calls the store rejects."""

import asyncio
import logging
import random
import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .._store_revisions import era_of, format_revision
from ..coordination import Item, PrefixListener, Removal, RestoreGuard, Snapshot
from ..membership import HIGHEST_VERSION, Fact, FactKind
from ..peers import EncodeError, PeerNode

STORE_ITEM = FactKind("stored_item", HIGHEST_VERSION, lifetime_s=3600.0)
"""A store key as one VM has read it; the fact's version is the store revision. The era is part of
the key, so that what was known before a restore is kept beside what was read after it. The lifetime
bounds the size of the fact table when many endpoints come and go; VMs that reach the store do not
need these facts."""
MAX_RELAY_DELAY_S = 0.3
"""Maximum random delay before an item is relayed: by then another VM has usually relayed it."""
MAX_READING_DELAY_S = 1.0
"""Maximum random delay before a VM reads an item that could not be relayed to it: the readings of a
large fleet are spread, and still end within the time in which a change has to take effect."""
LAPSE_RELAY_DELAY_S = 2.3
"""Time after an outage of the store before lapsed keys are relayed as removed: endpoints that are
alive register again within two seconds."""
MAX_VALUE_BYTES = 4 * 1024 * 1024
"""Maximum size of a relayed value after decompression; the store holds values of up to 1 MiB."""
PRESENT, ABSENT, TOO_LARGE = b"\x01", b"\x00", b"\x04"
"""First byte of the payload: whether the key exists, and whether its value is left out because it
does not fit into a fact."""
OBSERVED = 2
"""Added to the first byte if the change was seen by a watch, or held back for long enough, so that
it is no outdated part of a copy from which the store was restored."""

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _FollowedPrefix:
    listener: PrefixListener
    guard: RestoreGuard | None
    """Guards against outdated content of a restored store; ``None`` if the listener does."""
    snapshot_revision: int = 0
    """Revision of the latest snapshot, which includes all older changes."""
    read_again: Callable[[], None] | None = None
    """Makes this VM read the prefix itself."""
    unread_by_key: dict[str, int] = field(default_factory=dict)
    """Revisions that a scheduled reading has to include."""


class StoreRelay:
    """Publishes store changes over the links and passes those of other VMs to the listeners."""

    def __init__(self, rng: random.Random) -> None:
        """Create the relay without links; ``connect`` adds them."""
        self._rng = rng
        self._node: PeerNode | None = None
        self._followed_by_prefix: dict[str, _FollowedPrefix] = {}
        self._latest_by_key: dict[str, Item | Removal] = {}
        """Latest change of each key, whether read by this VM or received over the links."""
        self._unsent_by_key: dict[str, Item | Removal] = {}
        """Latest change of each key whose relay delay has ended before there were links."""

    def wrap_listener(
        self, prefix: str, listener: PrefixListener, guard: RestoreGuard | None = None
    ) -> PrefixListener:
        """Return a follower listener that relays what it reads and passes it to ``listener``."""
        followed = self._followed_by_prefix[prefix] = _FollowedPrefix(listener, guard)
        return _RelayingListener(self, prefix, followed)

    def add_reader(self, prefix: str, read_again: Callable[[], None]) -> None:
        """Use ``read_again`` to read a prefix when the links cannot bring one of its changes."""
        self._followed_by_prefix[prefix].read_again = read_again

    def connect(self, node: PeerNode) -> None:
        """Use the links of a peer node.

        Changes that were read before are published as well.
        """
        self._node = node
        node.on_fact(STORE_ITEM.name, self._on_fact)
        unsent, self._unsent_by_key = self._unsent_by_key, {}
        for event in unsent.values():
            self._schedule(event, 0.0)

    def release_held(self, failing_prefixes: Collection[str] = ()) -> None:
        """Apply what was held back after a restore of the store and has not been replaced since.

        ``failing_prefixes`` are those that this VM fails to read at present.
        """
        for prefix, followed in self._followed_by_prefix.items():
            if followed.guard is None:
                continue
            for event in followed.guard.release_due(is_failing=prefix in failing_prefixes):
                # Other VMs need not hold it back as well.
                if self.relay_if_new(event, observed=True):
                    self._apply(followed, event)

    def relay_if_new(self, event: Item | Removal, *, observed: bool = False) -> bool:
        """Schedule the relay of a change read from the store; return whether it is new."""
        if event.revision <= self._known_revision(event.key):
            return False
        self._latest_by_key[event.key] = event
        self._schedule(event, 0.0, observed=observed)
        return True

    def correct_snapshot(self, prefix: str, snapshot: Snapshot) -> Snapshot:
        """Return the snapshot with the changes that were received over the links since its reading.

        A reading can take longer than a change takes to arrive from another VM.
        """
        items_by_key = {item.key: item for item in snapshot.items}
        for key, latest in self._latest_by_key.items():
            if not key.startswith(prefix) or latest.revision <= snapshot.revision:
                continue
            read = items_by_key.get(key)
            if read is not None and read.revision > latest.revision:
                # Later pages of a reading may contain later changes.
                continue
            if isinstance(latest, Item):
                items_by_key[key] = latest
            else:
                items_by_key.pop(key, None)
        return Snapshot(tuple(items_by_key.values()), snapshot.revision)

    def relay_missing(self, prefix: str, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Schedule the relay of removals that no VM may have seen as a change.

        These are the keys known from the links that the snapshot does not contain. After an outage
        they may only have lapsed, so their owners get time to write them again.
        """
        if self._node is None:
            return
        present = {item.key for item in snapshot.items}
        latest_by_key: dict[str, Fact] = {}
        for fact in self._node.facts.facts(STORE_ITEM.name):
            key = _stored_key(fact)
            latest = latest_by_key.get(key)
            if key.startswith(prefix) and (latest is None or latest.version < fact.version):
                latest_by_key[key] = fact
        for key, fact in latest_by_key.items():
            is_missing = key not in present and fact.version < snapshot.revision
            if is_missing and _kind(fact.payload) != ABSENT:
                removal = Removal(key, snapshot.revision)
                self._schedule(removal, LAPSE_RELAY_DELAY_S if after_outage else 0.0)

    def _schedule(
        self, event: Item | Removal, min_delay_s: float, *, observed: bool = False
    ) -> None:
        delay_s = min_delay_s + self._rng.uniform(0.0, MAX_RELAY_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self._publish, event, observed)

    def _publish(self, event: Item | Removal, observed: bool = False) -> None:
        if self._node is None:
            unsent = self._unsent_by_key.get(event.key)
            if unsent is None or unsent.revision < event.revision:
                self._unsent_by_key[event.key] = event
            return
        fact_key = _fact_key(event)
        known = self._node.facts.find(STORE_ITEM.name, fact_key)
        if known is not None and known.version >= event.revision:
            return
        payload = _encode(event, observed=observed)
        try:
            fact = self._node.new_fact(STORE_ITEM.name, fact_key, event.revision, payload)
        except EncodeError as error:
            logger.warning(
                "store item is too large to relay, the other VMs read it themselves",
                extra={"key": event.key, "cause": str(error)},
            )
            fact = self._node.new_fact(STORE_ITEM.name, fact_key, event.revision, TOO_LARGE)
        self._node.publish(fact)

    def _known_revision(self, key: str) -> int:
        latest = self._latest_by_key.get(key)
        return latest.revision if latest is not None else 0

    def _find_followed(self, key: str) -> _FollowedPrefix | None:
        return next(
            (f for prefix, f in self._followed_by_prefix.items() if key.startswith(prefix)), None
        )

    def _has_later_fact(self, fact: Fact, last_era: int) -> bool:
        """Return whether there is a fact about the same key from a later era."""
        key = _stored_key(fact)
        return self._node is not None and any(
            self._node.facts.find(STORE_ITEM.name, _key_in_era(key, era)) is not None
            for era in range(era_of(fact.version) + 1, last_era + 1)
        )

    def _on_fact(self, fact: Fact) -> None:
        """Pass an item that another VM has read to its listener unless it is already known."""
        key = _stored_key(fact)
        followed = self._find_followed(key)
        if followed is None:
            return
        known = max(self._known_revision(key), followed.snapshot_revision)
        is_of_earlier_era = era_of(fact.version) < era_of(known)
        if fact.version <= known and not is_of_earlier_era:
            return
        event = _decode(fact)
        if event is None:
            if not is_of_earlier_era:
                self._schedule_reading(followed, key, fact.version)
            return
        guard = followed.guard
        if is_of_earlier_era:
            # This VM has read the copy of a restored store, and the other one what came after it.
            if guard is None or isinstance(event, Removal):
                return
            if guard.supersedes_known(event):
                guard.admits(event, observed=True)
            elif not guard.knows(key) and not self._has_later_fact(fact, era_of(known)):
                guard.keep_missing(event, followed.snapshot_revision)
            else:
                return
        else:
            if guard is not None and not guard.admits(event, observed=_is_observed(fact)):
                return
            self._latest_by_key[key] = event
        logger.info(
            "received relayed store item",
            extra={
                "key": key,
                "revision": format_revision(fact.version),
                "from_vm": fact.origin,
            },
        )
        self._apply(followed, event)

    def _apply(self, followed: _FollowedPrefix, event: Item | Removal) -> None:
        """Pass on a change; if the listener fails, the prefix is read again as after a watch."""
        try:
            followed.listener.handle_change(event)
        # An unexpected error of one change must not end the work of the caller.
        except Exception:
            logger.exception("relayed store item not applied", extra={"key": event.key})
            self._latest_by_key.pop(event.key, None)
            self._schedule_reading(followed, event.key, event.revision)

    def _schedule_reading(self, followed: _FollowedPrefix, key: str, revision: int) -> None:
        """Let this VM read a prefix after a random delay, unless it knows the change by then."""
        is_scheduled = bool(followed.unread_by_key)
        followed.unread_by_key[key] = max(revision, followed.unread_by_key.get(key, 0))
        if not is_scheduled:
            delay_s = self._rng.uniform(0.0, MAX_READING_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, self._read_missed, followed)

    def _read_missed(self, followed: _FollowedPrefix) -> None:
        unread, followed.unread_by_key = followed.unread_by_key, {}
        missed = [
            key
            for key, revision in unread.items()
            if max(self._known_revision(key), followed.snapshot_revision) < revision
        ]
        if missed and followed.read_again is not None:
            logger.info("reading store items that were not relayed", extra={"keys": missed})
            followed.read_again()


class _RelayingListener:
    def __init__(self, relay: StoreRelay, prefix: str, followed: _FollowedPrefix) -> None:
        self._relay = relay
        self._prefix = prefix
        self._followed = followed

    def handle_snapshot(self, snapshot: Snapshot, *, after_outage: bool) -> None:
        """Relay the items that are new and pass on the snapshot."""
        snapshot = self._relay.correct_snapshot(self._prefix, snapshot)
        if self._followed.guard is not None:
            snapshot = self._followed.guard.filter_snapshot(snapshot, after_outage=after_outage)
        self._followed.snapshot_revision = max(self._followed.snapshot_revision, snapshot.revision)
        for item in snapshot.items:
            self._relay.relay_if_new(item)
        self._relay.relay_missing(self._prefix, snapshot, after_outage=after_outage)
        self._followed.listener.handle_snapshot(snapshot, after_outage=after_outage)

    def handle_change(self, event: Item | Removal) -> None:
        """Relay a change and pass it on if it is new."""
        if self._relay.relay_if_new(event, observed=True):
            if self._followed.guard is not None:
                self._followed.guard.admits(event, observed=True)
            self._followed.listener.handle_change(event)
        else:
            # Usually another VM has relayed the change before.
            logger.info(
                "store change is not newer",
                extra={"key": event.key, "revision": format_revision(event.revision)},
            )


def _fact_key(event: Item | Removal) -> str:
    return _key_in_era(event.key, era_of(event.revision))


def _key_in_era(key: str, era: int) -> str:
    return f"{era}:{key}" if era else key


def _stored_key(fact: Fact) -> str:
    return fact.key.removeprefix(f"{era_of(fact.version)}:")


def _encode(event: Item | Removal, *, observed: bool) -> bytes:
    kind, value = (
        (PRESENT, zlib.compress(event.value)) if isinstance(event, Item) else (ABSENT, b"")
    )
    return bytes([kind[0] + (OBSERVED if observed else 0)]) + value


def _is_observed(fact: Fact) -> bool:
    return bool(fact.payload) and bool(fact.payload[0] & OBSERVED)


def _kind(payload: bytes) -> bytes:
    return bytes([payload[0] & ~OBSERVED]) if payload else b""


def _decode(fact: Fact) -> Item | Removal | None:
    """Return the change, or ``None`` if its value is left out or cannot be decoded."""
    if _kind(fact.payload) == ABSENT:
        return Removal(_stored_key(fact), fact.version)
    if _kind(fact.payload) == TOO_LARGE:
        return None
    try:
        return Item(_stored_key(fact), _decompress(fact.payload), fact.version)
    except (ValueError, zlib.error) as error:
        logger.warning(
            "cannot decode relayed store item",
            extra={"key": fact.key, "from_vm": fact.origin, "cause": str(error)},
        )
        return None


def _decompress(payload: bytes) -> bytes:
    """Return the value of an existing key; raises ``ValueError`` and ``zlib.error``."""
    if _kind(payload) != PRESENT:
        raise ValueError(f"unknown format {payload[:1]!r}")
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(payload[1:], MAX_VALUE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"incomplete, or larger than {MAX_VALUE_BYTES} B")
    return value
