"""Tells a VM that is cut off from the endpoints from endpoints that have crashed.

Such a VM loses its connections as if the endpoints had crashed. Another VM of the region that
connects to an endpoint tells the two apart.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .._identifiers import EndpointId, VmId
from ..peers import PeerError, PeerNode, register
from ..providers import is_connectable
from ._blocking import BlockingCalls

MAX_ASKED_VMS = 3
"""Number of VMs that are asked at the same time: some of them may be cut off as well."""
CONNECT_TIMEOUT_S = 0.3
"""Time for a connection within a region: hundreds of round trips. One that hangs delays the
evidence of a crash."""
ANSWER_TIMEOUT_S = 0.5
"""Time for the answers of the VMs, which connect in ``CONNECT_TIMEOUT_S``."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReachRequest:
    """Asks another VM whether it can connect to an endpoint."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ReachAnswer:
    """Answer to a ``ReachRequest``."""

    is_reached: bool


register("endpoint-reach", ReachRequest)
register("endpoint-reach-answer", ReachAnswer)


class LossChecks:
    """Asks other VMs about endpoints, and answers them; event loop thread only."""

    def __init__(
        self,
        peers: PeerNode,
        vms_to_ask: Callable[[], Sequence[VmId]],
        url_of: Callable[[EndpointId], str | None],
        blocking: BlockingCalls,
    ) -> None:
        """Create the checks; ``url_of`` returns the URL of an endpoint unless it was removed."""
        self._peers = peers
        self._vms_to_ask = vms_to_ask
        self._url_of = url_of
        self._blocking = blocking

    def start(self) -> None:
        """Answer other VMs."""
        self._peers.on_message(ReachRequest, self._handle_request)

    async def is_only_reached_elsewhere(self, endpoint: EndpointId) -> bool:
        """Return whether another VM can connect to an endpoint and this one cannot.

        ``False`` is also returned if no VM answers.
        """
        if await self._is_connectable(endpoint):
            return False
        request = ReachRequest(endpoint)
        vms = self._vms_to_ask()[:MAX_ASKED_VMS]
        return any(await asyncio.gather(*(self._ask(vm, request) for vm in vms)))

    async def _ask(self, vm: VmId, request: ReachRequest) -> bool:
        try:
            answer = await self._peers.request(vm, request, ANSWER_TIMEOUT_S)
        except PeerError as error:
            extra = {"vm": vm, "endpoint": request.endpoint, "cause": str(error)}
            _log.info("no answer about a lost endpoint", extra=extra)
            return False
        return isinstance(answer, ReachAnswer) and answer.is_reached

    async def _handle_request(self, _vm: VmId, request: ReachRequest) -> ReachAnswer:
        return ReachAnswer(await self._is_connectable(request.endpoint))

    async def _is_connectable(self, endpoint: EndpointId) -> bool:
        url = self._url_of(endpoint)
        return url is not None and await self._blocking.run(is_connectable, url, CONNECT_TIMEOUT_S)
