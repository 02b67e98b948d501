"""Dispatch of HTTP requests by path; runs in worker threads."""

from collections.abc import Callable, Coroutine
from typing import Any

from .._problems import Problem, RequestFinding
from ._chat_handler import LoopCalls
from ._messages import Answer, CallerRequest, CallerResponse

LOOP_CALL_TIMEOUT_S = 30.0

ThreadHandler = Callable[[CallerRequest], Answer]
LoopHandler = Callable[[CallerRequest], Coroutine[Any, Any, CallerResponse]]


class Application:
    """Finds the handler of a request.

    Thread handlers may block. Loop handlers run on the event loop and must not.
    """

    def __init__(self, loop: LoopCalls) -> None:
        """Create an application without routes."""
        self._loop = loop
        self._exact: dict[str, dict[str, ThreadHandler]] = {}
        self._by_prefix: dict[str, ThreadHandler] = {}

    def add(self, method: str, path: str, handler: ThreadHandler) -> None:
        """Handle a method of an exact path in the worker thread."""
        self._exact.setdefault(path, {})[method] = handler

    def add_loop(self, method: str, path: str, handler: LoopHandler) -> None:
        """Handle a method of an exact path on the loop."""
        self.add(method, path, self._on_loop(handler))

    def add_prefix(self, prefix: str, handler: ThreadHandler) -> None:
        """Handle all methods of all paths below a prefix in the worker thread."""
        self._by_prefix[prefix] = handler

    def add_loop_prefix(self, prefix: str, handler: LoopHandler) -> None:
        """Handle all methods of all paths below a prefix on the loop."""
        self.add_prefix(prefix, self._on_loop(handler))

    def _on_loop(self, handler: LoopHandler) -> ThreadHandler:
        return lambda request: self._loop.run(handler(request), LOOP_CALL_TIMEOUT_S)

    def handle(self, request: CallerRequest) -> Answer:
        """Return the answer to a request; 404 and 405 for what no handler takes."""
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
