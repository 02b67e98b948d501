"""Charges requests to the allowance of their organisation, at the VM that keeps its bucket."""

import asyncio
import logging
from dataclasses import dataclass

from .._identifiers import OrganisationId, VmId
from ..peers import PeerError, PeerNode, register
from ..traffic import AllowanceLimiter, AllowanceRefusal

ANSWER_TIMEOUT_S = 0.15
"""Time for the answer of a VM of the same zone: a hundred round trips."""
UNREACHABLE_RETRY_S = 0.3
"""Retry delay of a refusal because neither owner nor deputy answers."""
MS_PER_S = 1000.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ChargeRequest:
    """Asks the owner of a bucket to charge a request."""

    organisation: OrganisationId
    cost: float


@dataclass(frozen=True, slots=True)
class ChargeAnswer:
    """Answer to a ``ChargeRequest``."""

    is_admitted: bool
    retry_after_ms: int
    """Time until a refused request may be admitted."""


@dataclass(frozen=True, slots=True)
class ChargeRefund:
    """Returns the charge of a request that did not run."""

    organisation: OrganisationId
    cost: float


register("charge", ChargeRequest)
register("charge-answer", ChargeAnswer)
register("charge-refund", ChargeRefund)


class AllowanceCalls:
    """Admits requests at this VM or, through ``connect``, at the owner of the bucket."""

    def __init__(self, own: VmId, limiter: AllowanceLimiter) -> None:
        """Create without links; until ``connect`` the buckets of this VM are used."""
        self._own = own
        self._limiter = limiter
        self._node: PeerNode | None = None

    def connect(self, node: PeerNode) -> None:
        """Ask owners over the links of a peer node, and answer other VMs."""
        self._node = node
        node.on_message(ChargeRequest, self._handle_charge)
        node.on_message(ChargeRefund, self._handle_refund)

    async def admit(self, organisation: OrganisationId, cost: float) -> AllowanceRefusal | None:
        """Charge a request; return a refusal if the allowance does not cover it."""
        if not self._limiter.is_limited(organisation):
            return None
        self._limiter.record_demand(organisation, cost, _now())
        for keeper in self._limiter.keepers_of(organisation):
            if keeper == self._own:
                return self._limiter.charge(organisation, cost, _now())
            answer = await self._ask(keeper, ChargeRequest(organisation, float(cost)))
            if answer is not None:
                retry_after_s = answer.retry_after_ms / MS_PER_S
                return None if answer.is_admitted else AllowanceRefusal(retry_after_s)
        return AllowanceRefusal(UNREACHABLE_RETRY_S)

    async def _ask(self, keeper: VmId, request: ChargeRequest) -> ChargeAnswer | None:
        """Return the answer of a VM, or ``None`` without one."""
        if self._node is None or keeper not in self._node.linked_vms():
            return None
        try:
            answer = await self._node.request(keeper, request, ANSWER_TIMEOUT_S)
        except PeerError as error:
            extra = {"vm": keeper, "organisation": request.organisation, "cause": str(error)}
            logger.info("keeper of an allowance does not answer", extra=extra)
            return None
        return answer if isinstance(answer, ChargeAnswer) else None

    def refund(self, organisation: OrganisationId, cost: float) -> None:
        """Return the charge of a request that did not run."""
        owner = self._limiter.keepers_of(organisation)[0]
        if owner == self._own:
            self._limiter.refund(organisation, cost, _now())
        elif self._node is not None:
            self._node.send(owner, ChargeRefund(organisation, float(cost)))

    def _handle_charge(self, _vm: VmId, request: ChargeRequest) -> ChargeAnswer:
        refusal = self._limiter.charge(request.organisation, request.cost, _now())
        retry_after_s = 0.0 if refusal is None else refusal.retry_after_s
        return ChargeAnswer(refusal is None, round(retry_after_s * MS_PER_S))

    def _handle_refund(self, _vm: VmId, refund: ChargeRefund) -> None:
        self._limiter.refund(refund.organisation, refund.cost, _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
