"""Requests to other VMs that await a response."""

import asyncio

from .._time_limits import TimeLimit
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
    """Requests that await a response, keyed by link and request number.

    The link is part of the key so that a response on another link, or on a link opened later to the
    same VM, matches no request and is dropped.
    """

    def __init__(self, metrics: PeerMetrics) -> None:
        """Create an empty set of pending requests."""
        self._metrics = metrics
        self._pending: dict[tuple[Link, int], asyncio.Future[Response]] = {}

    async def send_and_wait(
        self, link: Link, number: int, message: object, timeout_s: float
    ) -> object:
        """Send a request and return its decoded response.

        Raises ``EncodeError``, ``LinkLostError``, ``RequestTimeoutError``, ``RequestFailedError``,
        and ``PeerError`` if the response cannot be decoded.
        """
        body = CODEC.encode(message)
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self._pending[(link, number)] = future
        try:
            link.send(Request(number, body))
            async with TimeLimit(timeout_s):
                response = await future
        except TimeoutError as error:
            vm = link.peer.vm
            raise RequestTimeoutError(f"no response from {vm} within {timeout_s} s") from error
        finally:
            del self._pending[(link, number)]
        return _decode_response(response, link)

    def deliver(self, link: Link, response: Response) -> None:
        """Complete the request of a response; an unmatched response is dropped and counted."""
        future = self._pending.get((link, response.number))
        if future is None or future.done():
            self._metrics.count_drop("late_answer")
            return
        future.set_result(response)

    def is_busy(self, link: Link) -> bool:
        """Return whether a response is pending on the link."""
        return any(other is link for other, _ in self._pending)

    def handle_link_closed(self, link: Link) -> None:
        """Fail the pending requests of a closed link with ``LinkLostError``."""
        for (other, _), future in list(self._pending.items()):
            if other is link and not future.done():
                future.set_exception(LinkLostError(f"link to {link.peer.vm} closed"))


def _decode_response(response: Response, link: Link) -> object:
    if response.failed:
        raise RequestFailedError(f"{link.peer.vm} failed to handle the request")
    if not response.body:
        return None
    try:
        return CODEC.decode(response.body)
    except DecodeError as error:
        raise PeerError(f"response of {link.peer.vm} cannot be decoded") from error
