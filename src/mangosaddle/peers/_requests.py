"""Messages that expect an answer."""

import asyncio

from ._codec import CODEC
from ._exceptions import (
    DecodeError,
    LinkLostError,
    PeerError,
    RequestFailedError,
    RequestTimeoutError,
)
from ._link import Link
from ._messages import Request, Response
from ._metrics import PeerMetrics


class PendingRequests:
    """Requests that wait for their answers, by link and number.

    The key holds the link, so an answer that arrives on another link, or after the link was
    renewed, finds no request and is dropped.
    """

    def __init__(self, metrics: PeerMetrics) -> None:
        """Create without requests."""
        self._metrics = metrics
        self._pending: dict[tuple[Link, int], asyncio.Future[Response]] = {}

    async def ask(self, link: Link, number: int, message: object, timeout_s: float) -> object:
        """Send a request and wait; raises the errors of ``PeerNode.request``."""
        body = CODEC.encode(message)
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self._pending[(link, number)] = future
        try:
            link.send(Request(number, body))
            async with asyncio.timeout(timeout_s):
                response = await future
        except TimeoutError as error:
            vm = link.peer.vm
            raise RequestTimeoutError(f"no answer from {vm} in {timeout_s} s") from error
        finally:
            del self._pending[(link, number)]
        return _content(response, link)

    def answered(self, link: Link, response: Response) -> None:
        """Hand an answer to its request; a late or crossed one is dropped and counted."""
        future = self._pending.get((link, response.number))
        if future is None or future.done():
            self._metrics.count_drop("late_answer")
            return
        future.set_result(response)

    def is_busy(self, link: Link) -> bool:
        """Return whether an answer is awaited on the link."""
        return any(other is link for other, _ in self._pending)

    def link_closed(self, link: Link) -> None:
        """Fail the requests of a link."""
        for (other, _), future in list(self._pending.items()):
            if other is link and not future.done():
                future.set_exception(LinkLostError(f"link to {link.peer.vm} closed"))


def _content(response: Response, link: Link) -> object:
    if response.failed:
        raise RequestFailedError(f"{link.peer.vm} could not answer the request")
    if not response.body:
        return None
    try:
        return CODEC.decode(response.body)
    except DecodeError as error:
        raise PeerError(f"answer of {link.peer.vm} cannot be read") from error
