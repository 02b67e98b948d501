"""Health checks of endpoints through other VMs, as the SWIM protocol has them for members.

A VM that is cut off from the endpoints loses its connections as if they had crashed. Another VM of
the region that reaches an endpoint tells the two apart.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from .._identifiers import EndpointId, ServiceName, VmId
from ..peers import PeerError, PeerNode, register
from ..traffic import Endpoints, EndpointView

MAX_ASKED_VMS = 3
"""Number of VMs that are asked at the same time: some of them may be cut off as well."""
ANSWER_TIMEOUT_S = 0.3
"""Time for the answers: several round trips between VMs and from there to the endpoint."""
MAX_LOSS_AGE_S = 1.5
"""Time after a loss within which a passed check shows that the process has not ended: later it may
have started again. One check of this VM that gets no answer, and its interval, fit in."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CheckRequest:
    """Asks another VM to check a process of an endpoint."""

    endpoint: EndpointId
    process: str


@dataclass(frozen=True, slots=True)
class CheckAnswer:
    """Answer to a ``CheckRequest``."""

    is_reached: bool


register("endpoint-check", CheckRequest)
register("endpoint-check-answer", CheckAnswer)


class IndirectChecks:
    """Asks other VMs to check endpoints, and checks them for others."""

    def __init__(
        self,
        endpoints: Endpoints,
        check: Callable[[EndpointView], Awaitable[bool]],
        vms_to_ask: Callable[[ServiceName], Sequence[VmId]],
        wall_clock: Callable[[], float],
    ) -> None:
        """Create without links; until ``connect`` no other VM is asked.

        ``check`` returns whether this VM reaches an endpoint, ``vms_to_ask`` the VMs of the region
        that may be expected to reach endpoints of a service.
        """
        self._endpoints = endpoints
        self._check = check
        self._vms_to_ask = vms_to_ask
        self._wall_clock = wall_clock
        self._node: PeerNode | None = None

    def connect(self, node: PeerNode) -> None:
        """Ask over the links of a peer node, and answer other VMs."""
        self._node = node
        node.on_message(CheckRequest, self._handle_request)

    async def is_reached_elsewhere(self, view: EndpointView) -> bool:
        """Return whether another VM reaches the process that this VM has just lost requests with.

        ``False`` is also returned if no VM answers, or if the process may have started again.
        """
        lost_at_s = view.lost_at_s
        if self._node is None or self._wall_clock() - lost_at_s > MAX_LOSS_AGE_S:
            return False
        request = CheckRequest(view.id, view.incarnation)
        vms = self._vms_to_ask(view.registration.service)[:MAX_ASKED_VMS]
        answers = await asyncio.gather(*(self._ask(self._node, vm, request) for vm in vms))
        current = self._endpoints.view(view.id)
        if current is None or current.incarnation != request.process:
            # The asked VMs may not know yet that the process was replaced.
            return False
        # After a stall of this process the answers may be about checks long after the loss.
        return any(answers) and self._wall_clock() - lost_at_s <= MAX_LOSS_AGE_S

    async def _ask(self, node: PeerNode, vm: VmId, request: CheckRequest) -> bool:
        try:
            answer = await node.request(vm, request, ANSWER_TIMEOUT_S)
        except PeerError as error:
            extra = {"vm": vm, "endpoint": request.endpoint, "cause": str(error)}
            logger.info("no answer to an indirect check", extra=extra)
            return False
        return isinstance(answer, CheckAnswer) and answer.is_reached

    async def _handle_request(self, _vm: VmId, request: CheckRequest) -> CheckAnswer:
        view = self._endpoints.view(request.endpoint)
        if view is None or view.incarnation != request.process:
            return CheckAnswer(is_reached=False)
        return CheckAnswer(await self._check(view))
