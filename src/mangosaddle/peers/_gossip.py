"""Gossip of facts: flooding along the topology and anti-entropy between neighbours."""

import logging
from collections.abc import Callable, Iterator, Sequence

from ..membership import LEVEL_KINDS, Fact, FactTable, VmIdentity, fact_size_bytes
from ._codec import CODEC
from ._confirmations import ConfirmationTracker
from ._exceptions import EncodeError
from ._link import Link
from ._messages import Confirmation, FactRequest, FactUpdate
from ._metrics import PeerMetrics
from ._neighbourhood import Neighbourhood

MAX_UPDATE_BYTES = 64 * 1024
"""Largest batch of facts in one frame.

A larger update is split, so that heartbeats can be sent between its frames.
"""
MAX_FACT_BYTES = 512 * 1024
"""Largest payload of a fact; leaves room in the frame for the other fields."""
MAX_FLOODED_PULL_FACTS = 16
"""Largest number of changed facts in a pulled update that are flooded to the other neighbours.

More changes mean that this VM is new or was partitioned. Flooding them would resend whole tables to
neighbours that mostly have them; instead, the digests in the heartbeats trigger exchanges.
"""
MAX_CONCURRENT_EXCHANGES = 3
"""Exchanges that may run at the same time.

With only one, VMs that wait for each other in a ring would all be blocked.
"""
EXCHANGE_TIMEOUT_S = 1.0
"""Time after which an exchange without a response no longer counts as running."""
CONFIRMATION_WINDOW_S = 24 * 3600.0
"""Maximum age of a withdrawal that is confirmed; a new VM does not confirm the whole history."""

logger = logging.getLogger(__name__)


class Gossip:
    """Replicates the facts of a node by flooding, anti-entropy exchanges and confirmations."""

    def __init__(
        self,
        table: FactTable,
        tracker: ConfirmationTracker,
        metrics: PeerMetrics,
        neighbourhood: Neighbourhood,
    ) -> None:
        """Create the gossip of a node on its fact table and neighbour links."""
        self.table = table
        self.tracker = tracker
        self._metrics = metrics
        self._neighbourhood = neighbourhood
        self._listeners_by_kind: dict[str, list[Callable[[Fact], None]]] = {}
        self._exchange_deadlines_s: dict[Link, float] = {}

    def add_listener(self, kind: str, listener: Callable[[Fact], None]) -> None:
        """Call the listener for each changed fact of a kind.

        Raises ``UnknownFactKindError``.
        """
        self.table.kind(kind)
        self._listeners_by_kind.setdefault(kind, []).append(listener)

    def new_fact(
        self,
        publisher: VmIdentity,
        kind: str,
        key: str,
        version: int,
        payload: bytes,
        wall_s: float,
    ) -> Fact:
        """Create a fact published by a VM; see ``PeerNode.new_fact``.

        Raises ``EncodeError`` if the payload exceeds ``MAX_FACT_BYTES``, and
        ``UnknownFactKindError``.
        """
        if len(payload) > MAX_FACT_BYTES:
            raise EncodeError(
                f"payload of {len(payload)} B exceeds the limit of {MAX_FACT_BYTES} B"
            )
        lifetime_s = self.table.kind(kind).lifetime_s
        return Fact(
            kind=kind,
            key=key,
            origin=publisher.vm,
            incarnation=publisher.incarnation,
            started_ms=publisher.started_ms,
            version=version,
            payload=payload,
            expires_at_s=0.0 if lifetime_s is None else wall_s + lifetime_s,
        )

    def publish(self, fact: Fact, wall_s: float) -> bool:
        """Merge a fact, notify its listeners and flood it; returns whether the table changed."""
        changed = self.table.merge((fact,), wall_s)
        self._apply(changed, wall_s)
        self._flood(changed, None)
        return bool(changed)

    def handle_update(self, link: Link, update: FactUpdate, wall_s: float) -> None:
        """Merge the facts of a neighbour and flood those that changed the table."""
        changed = self.table.merge(update.facts, wall_s)
        self._metrics.facts_changed.inc(len(changed))
        self._metrics.facts_repeated.inc(len(update.facts) - len(changed))
        if update.pulled:
            self._exchange_deadlines_s.pop(link, None)
        self._apply(changed, wall_s)
        if not update.pulled or len(changed) <= MAX_FLOODED_PULL_FACTS:
            self._flood(changed, link)

    def compare_digest(self, link: Link, digest: bytes, now: float) -> None:
        """Start an anti-entropy exchange if the digest of a neighbour differs from the own one.

        The number of concurrent exchanges is limited: a new VM differs from all its neighbours and
        would otherwise pull the whole table from each of them.
        """
        if digest == self.table.digest() or not self._try_begin_exchange(link, now):
            return
        self._metrics.pulls.inc()
        link.send(FactRequest(self.table.summary()))

    def handle_request(self, link: Link, request: FactRequest, now: float) -> None:
        """Reply to a summary with the facts that the neighbour lacks, or with a finer summary."""
        if request.summary.level == LEVEL_KINDS and not self._try_begin_exchange(link, now):
            return
        comparison = self.table.compare_summary(request.summary)
        for facts in _split_into_batches(comparison.facts):
            link.send(FactUpdate(facts, pulled=True))
        if comparison.next_summary is not None:
            link.send(FactRequest(comparison.next_summary))
        else:
            self._exchange_deadlines_s.pop(link, None)

    def handle_confirmation(self, link: Link, message: Confirmation) -> None:
        """Merge a confirmation bitmap received from a neighbour."""
        if message.vm_ids_hash != self.tracker.vm_ids_hash or not self._is_confirmed(message.kind):
            return
        fact_id = (message.kind, message.key)
        bits = self.tracker.merge(fact_id, message.bitmap)
        link.known_confirmations[fact_id] = link.known_confirmations.get(fact_id, 0) | bits
        link.sent_confirmations_revision = -1

    def send_confirmations(self) -> None:
        """Send the bitmaps that neighbours lack; called at each maintenance interval."""
        for link in self._neighbourhood.confirmation_links():
            if link.sent_confirmations_revision == self.tracker.revision:
                continue
            link.sent_confirmations_revision = self.tracker.revision
            for (kind, key), bitmap in self.tracker.take_unsent(link.known_confirmations):
                link.send(Confirmation(kind, key, self.tracker.vm_ids_hash, bitmap))

    def _apply(self, changed: Sequence[Fact], wall_s: float) -> None:
        for fact in changed:
            kind = self.table.kind(fact.kind)
            listeners = self._listeners_by_kind.get(fact.kind, ())
            failures = sum(not self._notify(listener, fact) for listener in listeners)
            if (
                not failures
                and kind.confirmed
                and wall_s - fact.version / 1000 < CONFIRMATION_WINDOW_S
            ):
                self.tracker.confirm_locally((fact.kind, fact.key))

    def _notify(self, listener: Callable[[Fact], None], fact: Fact) -> bool:
        try:
            listener(fact)
            return True
        # A failing listener must not stop the replication of facts.
        except Exception:
            self._metrics.count_drop("listener_failed")
            logger.exception("fact listener failed", extra={"kind": fact.kind, "key": fact.key})
            return False

    def _flood(self, facts: Sequence[Fact], source: Link | None) -> None:
        """Send facts to all neighbours except the source.

        VMs of a zone form a full mesh, so facts from a VM of the own zone are not sent to other VMs
        of the zone. Regional facts are sent only within the region.
        """
        if not facts:
            return
        in_zone = source is not None and self._neighbourhood.is_in_own_zone(source.peer.vm)
        fleet_wide = [fact for fact in facts if not self.table.kind(fact.kind).regional]
        bodies = [CODEC.encode(FactUpdate(batch)) for batch in _split_into_batches(facts)]
        bodies_outside_region = bodies
        if len(fleet_wide) < len(facts):
            bodies_outside_region = [
                CODEC.encode(FactUpdate(b)) for b in _split_into_batches(fleet_wide)
            ]
        for link in self._neighbourhood.neighbour_links():
            if link is source or (in_zone and self._neighbourhood.is_in_own_zone(link.peer.vm)):
                continue
            in_region = self._neighbourhood.is_in_own_region(link.peer.vm)
            for body in bodies if in_region else bodies_outside_region:
                link.send_encoded(body)

    def _try_begin_exchange(self, link: Link, now: float) -> bool:
        """Register an exchange on a link; returns False if too many are running."""
        running = {
            other: deadline_s
            for other, deadline_s in self._exchange_deadlines_s.items()
            if now < deadline_s and not other.closed.is_set()
        }
        accepted = link in running or len(running) < MAX_CONCURRENT_EXCHANGES
        if accepted:
            running[link] = now + EXCHANGE_TIMEOUT_S
        self._exchange_deadlines_s = running
        return accepted

    def _is_confirmed(self, kind: str) -> bool:
        return self.table.has_kind(kind) and self.table.kind(kind).confirmed


def _split_into_batches(facts: Sequence[Fact]) -> Iterator[tuple[Fact, ...]]:
    batch: list[Fact] = []
    size_bytes = 0
    for fact in facts:
        if batch and size_bytes + fact_size_bytes(fact) > MAX_UPDATE_BYTES:
            yield tuple(batch)
            batch, size_bytes = [], 0
        batch.append(fact)
        size_bytes += fact_size_bytes(fact)
    if batch:
        yield tuple(batch)
