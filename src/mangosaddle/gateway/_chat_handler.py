"""Handles chat requests in worker threads until the caller's socket is handed over."""

import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from returns.result import Success

from ..routing import ChosenEndpoint
from ._chat_request import engine_payload, parse_chat
from ._chat_service import ChatService, OpenChat
from ._endpoint import EndpointStream, open_stream
from ._exceptions import EndpointError
from ._messages import CallerRequest, CallerResponse, HandlerResult, SocketHandover
from ._refusals import INCOMPLETE_ANSWER

Value = TypeVar("Value")
ADMISSION_TIMEOUT_S = 120.0


class EventLoopRunner(Protocol):
    """Runs coroutines on the event loop for a worker thread."""

    def run(self, coroutine: Coroutine[Any, Any, Value], timeout_s: float | None = None) -> Value:
        """Run a coroutine on the loop and wait up to ``timeout_s`` seconds for its result."""
        ...


class ChatHandler:
    """Handles ``POST /v1/chat/completions``."""

    def __init__(
        self, loop: EventLoopRunner, service: ChatService, url_of: Callable[[ChosenEndpoint], str]
    ) -> None:
        """Create the handler; ``url_of`` returns the base URL of an endpoint."""
        self._loop = loop
        self._service = service
        self._url_of = url_of

    def handle(self, request: CallerRequest) -> HandlerResult:
        """Admit the request, open the stream of an endpoint and hand over the caller's socket."""
        parsed = parse_chat(request)
        if not isinstance(parsed, Success):
            return CallerResponse.from_problem(parsed.failure(), request.request_id)
        admitted = self._loop.run(
            self._service.admit(parsed.unwrap(), request.header("authorization")),
            ADMISSION_TIMEOUT_S,
        )
        if not isinstance(admitted, Success):
            return CallerResponse.from_problem(admitted.failure(), request.request_id)
        open_chat = admitted.unwrap()
        try:
            return self._open(open_chat)
        except Exception:
            # A request that stays admitted would keep its endpoint busy and the VM from stopping.
            self._loop.run(self._service.settle_failed(open_chat, INCOMPLETE_ANSWER))
            raise

    def _open(self, open_chat: OpenChat) -> HandlerResult:
        while isinstance(open_chat.target, ChosenEndpoint):
            try:
                stream = self._open_stream(open_chat, open_chat.target)
            except EndpointError as error:
                retried = self._loop.run(self._service.retry(open_chat, error))
                if not isinstance(retried, Success):
                    problem = retried.failure()
                    self._loop.run(self._service.settle_failed(open_chat, problem))
                    return CallerResponse.from_problem(problem, open_chat.chat.request_id)
                continue
            return self._hand_over(open_chat, stream)
        return self._hand_over(open_chat, None)

    def _open_stream(self, open_chat: OpenChat, target: ChosenEndpoint) -> EndpointStream:
        chat = open_chat.chat
        payload = engine_payload(chat, str(target.version), chat.resume_from)
        return open_stream(self._url_of(target), payload, chat.run_id, target.priority)

    def _hand_over(self, open_chat: OpenChat, stream: EndpointStream | None) -> SocketHandover:
        def take(caller: socket.socket) -> None:
            self._loop.run(self._service.start_relay(open_chat, caller, stream))

        return SocketHandover(take)
