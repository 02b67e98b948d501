"""Dispatches HTTP requests by path; runs in worker threads."""

from collections.abc import Callable, Coroutine
from typing import Any

from .._problems import Problem, RequestFinding
from ._chat_handler import EventLoopRunner
from ._messages import CallerRequest, CallerResponse, HandlerResult

LOOP_CALL_TIMEOUT_S = 30.0

ThreadHandler = Callable[[CallerRequest], HandlerResult]
LoopHandler = Callable[[CallerRequest], Coroutine[Any, Any, CallerResponse]]


class Application:
    """Routes requests to handlers.

    Thread handlers may block. Loop handlers run on the event loop and must not block.
    """

    def __init__(self, loop: EventLoopRunner) -> None:
        """Create an application without routes; ``loop`` runs the loop handlers."""
        self._loop = loop
        self._exact: dict[str, dict[str, ThreadHandler]] = {}
        self._by_prefix: dict[str, ThreadHandler] = {}

    def add(self, method: str, path: str, handler: ThreadHandler) -> None:
        """Register a thread handler for a method of an exact path."""
        self._exact.setdefault(path, {})[method] = handler

    def add_loop(self, method: str, path: str, handler: LoopHandler) -> None:
        """Register a loop handler for a method of an exact path."""
        self.add(method, path, self._on_loop(handler))

    def add_prefix(self, prefix: str, handler: ThreadHandler) -> None:
        """Register a thread handler for all methods of all paths with a prefix."""
        self._by_prefix[prefix] = handler

    def add_loop_prefix(self, prefix: str, handler: LoopHandler) -> None:
        """Register a loop handler for all methods of all paths with a prefix."""
        self.add_prefix(prefix, self._on_loop(handler))

    def _on_loop(self, handler: LoopHandler) -> ThreadHandler:
        return lambda request: self._loop.run(handler(request), LOOP_CALL_TIMEOUT_S)

    def handle(self, request: CallerRequest) -> HandlerResult:
        """Handle a request; respond with 404 or 405 if no handler is registered for it."""
        by_method = self._exact.get(request.path)
        if by_method is not None:
            handler = by_method.get(request.method)
            if handler is not None:
                return handler(request)
            return _method_not_allowed(request, by_method)
        for prefix, prefix_handler in self._by_prefix.items():
            if request.path.startswith(prefix):
                return prefix_handler(request)
        finding = RequestFinding("path", "nothing is served here", "see the README for all paths")
        problem = Problem(404, "not-found", finding.message, findings=(finding,))
        return CallerResponse.from_problem(problem, request.request_id)


def _method_not_allowed(
    request: CallerRequest, by_method: dict[str, ThreadHandler]
) -> CallerResponse:
    allowed = ", ".join(sorted(by_method))
    finding = RequestFinding("method", f"{request.method} is not allowed here", f"use {allowed}")
    problem = Problem(405, "method-not-allowed", finding.message, findings=(finding,))
    return CallerResponse.from_problem(problem, request.request_id)
