"""Which VM holds each duty, as far as it is known over the links."""

import itertools
import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass

import cbor2

from .._cbor import InvalidCborError, decode_cbor
from .._identifiers import VmId
from ..duties import Candidacy, LossCause
from ..membership import PER_ORIGIN, Fact, FactKind, rendezvous_ranking
from ..peers import PeerNode
from ._duty_claim import DutyClaim

DUTY_HOLDER = FactKind("duty_holder", PER_ORIGIN, lifetime_s=24 * 3600.0, reconciled=False)
"""Sign of life of a duty's holder; the key is the duty. Receivers bound its age by their own
clock."""
SIGN_INTERVAL_S = 1.0
HOLDER_SILENT_S = 2.5
"""Time without a sign after which a VM asks the store who holds a duty: two lost signs."""
DELAY_PER_RANK_S = 0.5
"""Additional time for each VM before this one in the ranking of candidates, so that usually only
one VM asks."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Sign:
    vm: VmId
    token: int
    at_s: float


class DutyHolders:
    """Publishes and receives signs of the holders; times are monotonic seconds."""

    def __init__(self, own: VmId, clock: Callable[[], float]) -> None:
        """Create without links; ``connect`` adds them."""
        self._own = own
        self._clock = clock
        self._node: PeerNode | None = None
        self._signs_by_duty: dict[str, dict[VmId, _Sign]] = {}
        self._listeners_by_duty: dict[str, Callable[[], None]] = {}
        self._numbers = itertools.count(1)

    def connect(self, node: PeerNode) -> None:
        """Exchange signs over the links of a peer node."""
        self._node = node
        node.on_fact(DUTY_HOLDER.name, self._on_fact)

    def on_other_holder(self, duty: str, listener: Callable[[], None]) -> None:
        """Call the listener for each sign of another VM that holds a duty."""
        self._listeners_by_duty[duty] = listener

    def publish(self, duty: str, token: int) -> None:
        """Tell the other VMs that this one holds a duty."""
        self.record_holder(duty, self._own, token)
        if self._node is not None:
            payload = cbor2.dumps(token)
            number = next(self._numbers)
            self._node.publish(self._node.new_fact(DUTY_HOLDER.name, duty, number, payload))

    def find(self, duty: str) -> VmId | None:
        """Return the VM with the highest token among those heard of lately, or ``None``."""
        now = self._clock()
        signs = self._signs_by_duty.get(duty, {}).values()
        recent = [sign for sign in signs if now - sign.at_s <= HOLDER_SILENT_S]
        return max(recent, key=lambda sign: sign.token).vm if recent else None

    def record_holder(self, duty: str, vm: VmId, token: int) -> None:
        """Record a sign that a VM holds a duty with a token."""
        self._signs_by_duty.setdefault(duty, {})[vm] = _Sign(vm, token, self._clock())

    def _on_fact(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            token = decode_cbor(fact.payload)
        except InvalidCborError as error:
            extra = {"vm": fact.origin, "cause": str(error)}
            logger.warning("cannot decode the sign of a duty's holder", extra=extra)
            return
        # Duties that this VM does not know are of no use to it.
        if type(token) is not int or fact.key not in self._listeners_by_duty:
            return
        self.record_holder(fact.key, fact.origin, token)
        self._listeners_by_duty[fact.key]()


class DutyTenancy:
    """Keeps or seeks the claim on one duty, and tells the other VMs about it."""

    def __init__(
        self,
        claim: DutyClaim,
        holders: DutyHolders,
        candidates: Callable[[], Collection[VmId]],
        own: VmId,
        clock: Callable[[], float],
    ) -> None:
        """Create without a claim; ``candidates`` returns the VMs that may hold the duty."""
        self.claim = claim
        self._holders = holders
        self._candidates = candidates
        self._own = own
        self._clock = clock
        self._candidacy = Candidacy(clock(), HOLDER_SILENT_S, DELAY_PER_RANK_S)
        self._sign_at_s = 0.0
        self._is_leaving = False
        holders.on_other_holder(claim.name, self._on_other_holder)

    async def advance(self) -> int | None:
        """Renew or seek the claim; return the fencing token if this VM holds the duty."""
        await self.claim.advance(is_candidate=self._is_candidate())
        if self._is_leaving:
            # A claim may have been on its way when the VM began to leave.
            await self.claim.give_up(LossCause.LEAVING)
        token = self.claim.token()
        now = self._clock()
        if token is not None and now >= self._sign_at_s:
            self._sign_at_s = now + SIGN_INTERVAL_S
            self._holders.publish(self.claim.name, token)
        return token

    async def leave(self) -> None:
        """Give the duty back, as this VM is about to stop."""
        self._is_leaving = True
        await self.claim.give_up(LossCause.LEAVING)

    def _is_candidate(self) -> bool:
        now = self._clock()
        # The first rank is due first, so the ranking is not needed before.
        if self._is_leaving or not self._candidacy.is_due(0, now):
            return False
        candidates = self._candidates()
        if self._own not in candidates:
            return False
        ranking = rendezvous_ranking(f"duty {self.claim.name}", frozenset(candidates))
        return self._candidacy.is_due(ranking.index(self._own), now)

    def _on_other_holder(self) -> None:
        self._candidacy.record_news(self._clock())
        self.claim.tenure.record_sign()
