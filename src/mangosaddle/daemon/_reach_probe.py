"""Connects to endpoints, to find out whether this VM reaches those of its region."""

import asyncio
import logging
import random
from collections.abc import Callable

from .._identifiers import EndpointId
from .._tasks import BackgroundTasks
from ..gateway import TargetSelector
from ..providers import is_connectable
from ._blocking import BlockingCalls

PROBE_INTERVAL_S = 0.5
MAX_PROBES = 6
"""Maximum number of connections per round, so that a region with many services causes no burst of
them; others follow in later rounds."""

_log = logging.getLogger(__name__)


class ReachProbe:
    """Finds out about a cut and its end, so that no request has to; event loop thread only.

    Nothing is sent on the connections. Each is closed at once.
    """

    def __init__(
        self,
        target_selector: TargetSelector,
        url_of: Callable[[EndpointId], str | None],
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create the probe; ``url_of`` returns the URL of an endpoint unless it was removed."""
        self._target_selector = target_selector
        self._url_of = url_of
        self._blocking = blocking
        self._tasks = tasks
        self._rng = rng
        self._clock = clock
        self._unreached_targets: frozenset[str] = frozenset()

    def start(self) -> None:
        """Start probing."""
        self._tasks.run_periodically(PROBE_INTERVAL_S, self._probe_all)

    async def _probe_all(self) -> None:
        router = self._target_selector.router
        endpoints = router.endpoints_to_probe(MAX_PROBES, self._clock(), self._rng)
        await asyncio.gather(*(self._probe(endpoint) for endpoint in endpoints))
        self._report(router.cut_off_targets(self._clock()))

    def _report(self, unreached: frozenset[str]) -> None:
        for target in sorted(unreached - self._unreached_targets):
            _log.warning("no endpoint of a target can be reached", extra={"target": target})
        for target in sorted(self._unreached_targets - unreached):
            _log.info("endpoints of a target can be reached again", extra={"target": target})
        self._unreached_targets = unreached

    async def _probe(self, endpoint: EndpointId) -> None:
        url = self._url_of(endpoint)
        if url is None:
            return
        started_at = self._clock()
        router = self._target_selector.router
        if await self._blocking.run(is_connectable, url):
            router.record_connection(endpoint, started_at, self._clock())
            self._target_selector.release()
        else:
            router.record_failed_probe(endpoint, self._clock())
