"""Limits on waits for an endpoint that end an attempt only if another one can replace it."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from ..http11 import UpstreamConnection

RECHECK_INTERVAL_S = 0.2
"""Interval at which an overdue attempt that could not be replaced is checked again."""


class GiveUpCheck:
    """Tells whether an attempt on a connection may be given up because its endpoint is silent."""

    def __init__(self, connection: UpstreamConnection, may_replace: Callable[[], bool]) -> None:
        """Create the check; ``may_replace`` reserves another attempt and tells if there is one."""
        self._connection = connection
        self._may_replace = may_replace

    def __call__(self) -> bool:
        """Return whether the endpoint is still silent and another attempt is reserved."""
        # After a pause of this process, timers expire although data has arrived in the meantime.
        return not self._connection.has_unread_data and self._may_replace()

    @asynccontextmanager
    async def applied_from(self, due_s: float | None) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the body once the attempt may be given up.

        ``due_s`` is the event loop time in seconds of the first check; ``None`` for no limit.
        """
        loop = asyncio.get_running_loop()
        timer: asyncio.TimerHandle | None = None

        def _check() -> None:
            nonlocal timer
            if self():
                limit.reschedule(loop.time())
            else:
                timer = loop.call_later(RECHECK_INTERVAL_S, _check)

        async with asyncio.timeout(None) as limit:
            if due_s is not None:
                timer = loop.call_at(due_s, _check)
            try:
                yield
            finally:
                if timer is not None:
                    timer.cancel()
