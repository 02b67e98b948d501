"""Work that a node repeats."""

import logging
from collections.abc import Awaitable, Callable

from ._metrics import PeerMetrics

logger = logging.getLogger(__name__)


async def repeat(
    work: Callable[[], None], pause: Callable[[], Awaitable[None]], metrics: PeerMetrics
) -> None:
    """Pause and work in turn until cancelled; a fault in the work does not end the repetition.

    Heartbeats that stop would have the VM suspected by all others.
    """
    while True:
        await pause()
        try:
            work()
        except Exception:
            metrics.count_drop("periodic_work_failed")
            logger.exception("periodic work failed", extra={"work": work.__name__})
