"""Periodic work of a node."""

import logging
from collections.abc import Awaitable, Callable

from ._metrics import PeerMetrics

logger = logging.getLogger(__name__)


async def run_periodically(
    work: Callable[[], None], wait: Callable[[], Awaitable[None]], metrics: PeerMetrics
) -> None:
    """Alternate between ``wait`` and ``work`` until cancelled.

    Exceptions of ``work`` are logged and counted but do not end the loop: without heartbeats, all
    other VMs would suspect this one.
    """
    while True:
        await wait()
        try:
            work()
        except Exception:
            metrics.count_drop("periodic_work_failed")
            logger.exception("periodic work failed", extra={"work": work.__name__})
