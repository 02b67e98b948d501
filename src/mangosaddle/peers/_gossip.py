"""Spreads facts along the topology and repairs differences between neighbours."""

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
"""Facts of one frame; more are split over frames so that heartbeats get between them."""
MAX_FACT_BYTES = 512 * 1024
"""Largest payload of a fact, so that it fits into a frame with its other fields."""
MAX_PULLED_FLOOD = 16
"""Pulled facts that are flooded on. A larger pull is a new or healed VM: flooding it would resend
whole tables to neighbours that mostly have them, so heartbeats spread it instead."""
MAX_EXCHANGES = 3
"""Exchanges at the same time; one alone could wait in a ring of VMs that wait for each other."""
EXCHANGE_TIMEOUT_S = 1.0
"""Time after which an unanswered exchange makes room for the next."""
CONFIRMATION_WINDOW_S = 24 * 3600.0
"""Age up to which a withdrawal is confirmed; a new VM does not confirm the whole history."""

logger = logging.getLogger(__name__)


class Gossip:
    """Facts of a node: flooding, anti-entropy and confirmations."""

    def __init__(
        self,
        table: FactTable,
        book: ConfirmationTracker,
        metrics: PeerMetrics,
        neighbourhood: Neighbourhood,
    ) -> None:
        """Create the gossip of a node."""
        self.table = table
        self.book = book
        self._metrics = metrics
        self._neighbourhood = neighbourhood
        self._listeners_by_kind: dict[str, list[Callable[[Fact], None]]] = {}
        self._exchanges_until_s: dict[Link, float] = {}

    def listen(self, kind: str, listener: Callable[[Fact], None]) -> None:
        """Call the listener for each change of a kind; raises ``UnknownFactKindError``."""
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
        """Return a fact of a VM; see ``PeerNode.new_fact``."""
        if len(payload) > MAX_FACT_BYTES:
            raise EncodeError(f"{len(payload)} B of payload exceed {MAX_FACT_BYTES} B")
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
        """Take over an own fact, tell listeners and flood it; returns whether it is new."""
        changed = self.table.merge((fact,), wall_s)
        self._apply(changed, wall_s)
        self._flood(changed, None)
        return bool(changed)

    def received(self, link: Link, update: FactUpdate, wall_s: float) -> None:
        """Take over a neighbour's facts and pass on what was new."""
        changed = self.table.merge(update.facts, wall_s)
        self._metrics.facts_changed.inc(len(changed))
        self._metrics.facts_repeated.inc(len(update.facts) - len(changed))
        if update.pulled:
            self._exchanges_until_s.pop(link, None)
        self._apply(changed, wall_s)
        if not update.pulled or len(changed) <= MAX_PULLED_FLOOD:
            self._flood(changed, link)

    def compare(self, link: Link, digest: bytes, now: float) -> None:
        """Start an exchange if a neighbour's digest differs.

        A VM runs few exchanges at a time: a new VM differs from all its neighbours, and would
        otherwise pull the whole table from each of them.
        """
        if digest == self.table.digest() or not self._begin(link, now):
            return
        self._metrics.pulls.inc()
        link.send(FactRequest(self.table.summary()))

    def requested(self, link: Link, request: FactRequest, now: float) -> None:
        """Answer a neighbour's summary with facts, or with a finer summary."""
        if request.summary.level == LEVEL_KINDS and not self._begin(link, now):
            return
        answer = self.table.compare_summary(request.summary)
        for facts in _batches(answer.facts):
            link.send(FactUpdate(facts, pulled=True))
        if answer.next_summary is not None:
            link.send(FactRequest(answer.next_summary))
        else:
            self._exchanges_until_s.pop(link, None)

    def confirmed(self, link: Link, message: Confirmation) -> None:
        """Merge a neighbour's bitmap."""
        if message.numbering != self.book.numbering or not self._is_confirmed(message.kind):
            return
        place = (message.kind, message.key)
        bits = self.book.merge(place, message.bitmap)
        link.confirmations[place] = link.confirmations.get(place, 0) | bits
        link.confirmations_revision = -1

    def send_confirmations(self) -> None:
        """Send bitmaps that neighbours do not have yet; called at every tick."""
        for link in self._neighbourhood.confirmation_links():
            if link.confirmations_revision == self.book.revision:
                continue
            link.confirmations_revision = self.book.revision
            for (kind, key), bitmap in self.book.unsent(link.confirmations):
                link.send(Confirmation(kind, key, self.book.numbering, bitmap))

    def _apply(self, changed: Sequence[Fact], wall_s: float) -> None:
        for fact in changed:
            kind = self.table.kind(fact.kind)
            listeners = self._listeners_by_kind.get(fact.kind, ())
            failures = sum(not self._tell(listener, fact) for listener in listeners)
            if (
                not failures
                and kind.confirmed
                and wall_s - fact.version / 1000 < CONFIRMATION_WINDOW_S
            ):
                self.book.confirm((fact.kind, fact.key))

    def _tell(self, listener: Callable[[Fact], None], fact: Fact) -> bool:
        try:
            listener(fact)
            return True
        # One listener's fault may not stop the spread of facts.
        except Exception:
            self._metrics.count_drop("listener_failed")
            logger.exception("fact listener failed", extra={"kind": fact.kind, "key": fact.key})
            return False

    def _flood(self, facts: Sequence[Fact], source: Link | None) -> None:
        """Send facts on; those of a zone neighbour have reached the rest of the zone's mesh."""
        if not facts:
            return
        in_zone = source is not None and self._neighbourhood.is_in_zone(source.peer.vm)
        everywhere = [fact for fact in facts if not self.table.kind(fact.kind).regional]
        bodies = [CODEC.encode(FactUpdate(batch)) for batch in _batches(facts)]
        bodies_elsewhere = bodies
        if len(everywhere) < len(facts):
            bodies_elsewhere = [CODEC.encode(FactUpdate(b)) for b in _batches(everywhere)]
        for link in self._neighbourhood.links():
            if link is source or (in_zone and self._neighbourhood.is_in_zone(link.peer.vm)):
                continue
            in_region = self._neighbourhood.is_in_region(link.peer.vm)
            for body in bodies if in_region else bodies_elsewhere:
                link.send_encoded(body)

    def _begin(self, link: Link, now: float) -> bool:
        """Note an exchange; returns False if too many are running."""
        running = {
            other: until_s
            for other, until_s in self._exchanges_until_s.items()
            if now < until_s and not other.closed.is_set()
        }
        accepted = link in running or len(running) < MAX_EXCHANGES
        if accepted:
            running[link] = now + EXCHANGE_TIMEOUT_S
        self._exchanges_until_s = running
        return accepted

    def _is_confirmed(self, kind: str) -> bool:
        return self.table.has_kind(kind) and self.table.kind(kind).confirmed


def _batches(facts: Sequence[Fact]) -> Iterator[tuple[Fact, ...]]:
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
