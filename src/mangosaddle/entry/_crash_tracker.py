"""Attributes crashes of endpoints to the requests that were lost with them."""

import logging
from collections.abc import Callable

from .._prompt_crash_exchange import PromptCrashExchange, record_prompt_crash
from .._prompt_quarantine import (
    MAX_SUSPECT_PARTS,
    MAX_SUSPECTS,
    Parts,
    PromptCrash,
    PromptQuarantine,
    part_digests,
)
from .._quarantine import CRASH_REPORT_TTL_S, CrashReport, Quarantine
from ..traffic import EndpointView, RoutedRequest
from ._crash_reports import CrashReports

HEALTHY_STREAM_S = 0.5
"""Time for which an answer has to stream before its prompt is no longer suspected: an endpoint may
send a first event in the moment in which it crashes."""

logger = logging.getLogger(__name__)


class CrashTracker:
    """Records crashes and answers, and tells which requests must not run."""

    def __init__(
        self,
        quarantine: Quarantine,
        prompts: PromptQuarantine,
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the tracker; the exchanges are set once links to other VMs exist."""
        self.reports: CrashReports | None = None
        self.prompt_exchange: PromptCrashExchange | None = None
        self._quarantine = quarantine
        self._prompts = prompts
        self._wall_clock = wall_clock

    def is_quarantined(self, request: RoutedRequest) -> bool:
        """Return whether this very request has crashed too many endpoints."""
        return self._quarantine.is_quarantined(request.fingerprint, self._wall_clock())

    def prompt_retry_after_s(self, request: RoutedRequest) -> float | None:
        """Return the seconds for which the request's prompt is quarantined, or ``None``."""
        if not self._prompts.has_crashes:
            return None
        return self._prompts.retry_after_s(_shared_parts(request), self._wall_clock())

    def record_lost(
        self,
        request: RoutedRequest,
        view: EndpointView,
        streamed_s: float | None,
        *,
        ended_by_endpoint: bool,
    ) -> None:
        """Suspect a request whose connection was lost until a health check tells why.

        ``streamed_s`` is the time since the first event of its answer, if there was one.
        A crashing process closes its connections; one that only falls silent has lost its host,
        for which no prompt is to blame.
        """
        view.lost_at_s = self._wall_clock()
        if request.fingerprint:
            view.crash_suspect_fingerprints.add(request.fingerprint)
        parts = _shared_parts(request)
        had_begun = streamed_s is not None and streamed_s >= HEALTHY_STREAM_S
        if not parts or had_begun or not ended_by_endpoint:
            return
        if len(view.crash_suspect_prompts) < MAX_SUSPECTS:
            view.crash_suspect_prompts.add(parts)

    def record_answer(self, request: RoutedRequest, *, delivered: bool) -> None:
        """Record that the endpoint answered; ``delivered`` tells whether with a success."""
        now = self._wall_clock()
        if request.fingerprint:
            self._quarantine.record_answer(request.fingerprint, now)
        if delivered and self._prompts.has_crashes:
            self._clear_parts(_shared_parts(request), now)

    def record_endpoint_loss(self, view: EndpointView) -> None:
        """Record a crash for each request whose connection was lost with the endpoint.

        The crash is dated by the loss: an answer that was completed after it clears a prompt, and
        reports of several VMs are about one crash, however late each VM has learned of it.
        """
        reports = [
            self._record_crash(fingerprint, view.incarnation)
            for fingerprint in view.crash_suspect_fingerprints
        ]
        if reports and self.reports is not None:
            self.reports.publish(reports)
        if view.crash_suspect_prompts:
            self._record_prompt_crash(view)
        view.clear_crash_suspects()

    def _record_crash(self, fingerprint: str, endpoint: str) -> CrashReport:
        now = self._wall_clock()
        was_quarantined = self._quarantine.is_quarantined(fingerprint, now)
        self._quarantine.record_crash(fingerprint, endpoint, now)
        if not was_quarantined and self._quarantine.is_quarantined(fingerprint, now):
            logger.warning("request quarantined", extra={"fingerprint": fingerprint})
        return CrashReport(fingerprint, endpoint, now + CRASH_REPORT_TTL_S)

    def _record_prompt_crash(self, view: EndpointView) -> None:
        crash = PromptCrash(view.incarnation, view.lost_at_s, frozenset(view.crash_suspect_prompts))
        logger.warning(
            "endpoint lost with requests",
            extra={"endpoint": view.id, "suspect_prompts": len(crash.suspects)},
        )
        record_prompt_crash(self._prompts, crash, self._wall_clock())
        if self.prompt_exchange is not None:
            self.prompt_exchange.publish_prompt_crash(crash)

    def _clear_parts(self, parts: Parts, now: float) -> None:
        cleared = self._prompts.record_answer(parts, now)
        if cleared and self.prompt_exchange is not None:
            self.prompt_exchange.publish_cleared_parts(cleared)


def _shared_parts(request: RoutedRequest) -> Parts:
    """Return the parts that other requests may share: all but the last one."""
    if request.prompt is None:
        return frozenset()
    return part_digests(part.id for part in request.prompt.parts[:-1][:MAX_SUSPECT_PARTS])
