"""Limits on waits for an endpoint that end an attempt only if another one can replace it."""

import asyncio
from collections.abc import Callable
from types import TracebackType

from .._time_limits import EXTENSION_S, TOLERATED_DELAY_S
from ..http11 import UpstreamConnection

RECHECK_INTERVAL_S = 0.2
"""Interval at which an overdue attempt that could not be replaced is checked again."""


class GiveUpCheck:
    """Tells whether an attempt on a connection may be given up because its endpoint is silent."""

    def __init__(
        self,
        connection: UpstreamConnection,
        may_replace: Callable[[], bool],
        request_id: str = "",
    ) -> None:
        """Create the check; ``may_replace`` is described at ``EndpointClient.run``."""
        self.request_id = request_id
        self._connection = connection
        self._may_replace = may_replace

    def __call__(self) -> bool:
        """Return whether the endpoint is still silent and the attempt may be given up."""
        # After a pause of this process, timers expire although data has arrived in the meantime.
        return not self._connection.has_unread_data and self._may_replace()

    def applied_from(self, due_s: float | None) -> "_GiveUpLimit":
        """Raise ``TimeoutError`` in the body of the context once the attempt may be given up.

        ``due_s`` is the event loop time in seconds of the first check; ``None`` for no limit.
        """
        return _GiveUpLimit(self, due_s)


class _GiveUpLimit:
    """Context of one wait; a stream enters one for each event, so that it has to be cheap."""

    __slots__ = ("_check", "_due_s", "_is_extended", "_limit", "_timer")

    def __init__(self, check: GiveUpCheck, due_s: float | None) -> None:
        self._check = check
        self._due_s = due_s
        self._is_extended = False
        """Whether the latest timer was late, so that the check was put off."""
        self._limit: asyncio.Timeout | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        if self._due_s is not None:
            self._limit = asyncio.timeout(None)
            await self._limit.__aenter__()
            self._timer = asyncio.get_running_loop().call_at(self._due_s, self._give_up_or_recheck)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._limit is not None and self._timer is not None:
            self._timer.cancel()
            await self._limit.__aexit__(exc_type, exc, traceback)

    def _give_up_or_recheck(self) -> None:
        assert self._limit is not None
        assert self._due_s is not None
        loop = asyncio.get_running_loop()
        now = loop.time()
        # If a signal had stopped this process, its timers come before the bytes that have arrived.
        was_extended, self._is_extended = self._is_extended, False
        if not was_extended and now - self._due_s > TOLERATED_DELAY_S:
            self._is_extended = True
            self._due_s = now + EXTENSION_S
        elif self._check():
            self._limit.reschedule(now)
            return
        else:
            self._due_s = now + RECHECK_INTERVAL_S
        self._timer = loop.call_at(self._due_s, self._give_up_or_recheck)
