"""Runs requests that other VMs forward to this one."""

from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from returns.result import Success

from .._identifiers import VersionId, VmId
from .._problems import Execution
from ..peers import ForwardChunk, ForwardEnd, ForwardHead, ForwardRequest, ForwardResponsePart
from ._chat_service import CHAT_ROUTE, ChatService
from ._forwarding import parse_forwarded
from ._messages import CallerRequest, CallerResponse
from ._service_call_controller import OpenCall, ServiceCallController
from ._service_handler import ServiceHandler
from ._service_request import parse_service_call

FORWARDED_HOPS = 1

RunBlocking = Callable[[Callable[[], CallerResponse]], Coroutine[Any, Any, CallerResponse]]


class ForwardedRequestHandler:
    """Handles forwarded requests; event loop thread only."""

    def __init__(
        self,
        chats: ChatService,
        service_calls: ServiceCallController,
        service_handler: ServiceHandler,
        run_blocking: RunBlocking,
    ) -> None:
        """Create the handler; ``run_blocking`` runs a blocking function in a worker thread."""
        self._chats = chats
        self._service_calls = service_calls
        self._service_handler = service_handler
        self._run_blocking = run_blocking

    async def handle(
        self, _sender: VmId, request: ForwardRequest
    ) -> AsyncIterator[ForwardResponsePart]:
        """Run one request and yield the parts of its response."""
        if request.path == CHAT_ROUTE:
            parsed = parse_forwarded(request)
            if not isinstance(parsed, Success):
                yield ForwardEnd(False, Execution.NOT_RUN.value, parsed.failure().code)
                return
            version = VersionId(request.traffic.version) if request.traffic.version else None
            chat = parsed.unwrap()
            async for answer in self._chats.run_forwarded(chat, request.organisation, version):
                yield answer
            return
        async for answer in self._run_call(request):
            yield answer

    async def _run_call(self, request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        headers = {"content-type": request.content_type}
        if request.traffic.order_id:
            headers["idempotency-key"] = request.traffic.order_id
        path, _, query = request.path.partition("?")
        parsed = parse_service_call(
            CallerRequest(request.method, path, query, headers, request.body, request.request_id),
            self._service_calls.configuration(),
        )
        if not isinstance(parsed, Success):
            yield ForwardEnd(False, Execution.NOT_RUN.value, parsed.failure().code)
            return
        admitted = await self._service_calls.admit_forwarded(parsed.unwrap(), request.organisation)
        if not isinstance(admitted, Success):
            yield ForwardEnd(False, admitted.failure().execution.value, admitted.failure().code)
            return
        call: OpenCall = admitted.unwrap()
        response = await self._run_blocking(lambda: self._service_handler.run(call, FORWARDED_HOPS))
        problem = response.problem
        # An order that has not run may still be claimed, so that another VM would not run it.
        is_order = call.request.idempotency_key is not None
        if problem is not None and problem.execution is Execution.NOT_RUN and not is_order:
            yield ForwardEnd(False, problem.execution.value, problem.code)
            return
        yield ForwardHead(response.status, response.content_type)
        yield ForwardChunk(response.body)
        yield ForwardEnd(complete=True)
