"""Exchanges evidence about requests that crash endpoints between VMs."""

import logging
import time
from collections.abc import Callable

from .._identifiers import EndpointId, VmId
from .._prompt_crash_exchange import PromptCrashExchange
from .._prompt_quarantine import PromptCrash
from .._tasks import BackgroundTasks
from ..gateway import TargetSelector
from ..membership import PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode
from ..routing import CrashReport
from ._loss_checks import LossChecks

CRASH_KIND = FactKind("crash", PER_ORIGIN, lifetime_s=600.0)

_log = logging.getLogger(__name__)


class CrashService:
    """Supplies the router with crashes; event loop thread only.

    Evidence of this VM counts here at once. It is published when the loss has been checked, or
    withdrawn if this VM has been cut off.
    """

    def __init__(
        self,
        own_vm: VmId,
        target_selector: TargetSelector,
        peers: PeerNode,
        loss_checks: LossChecks,
        tasks: BackgroundTasks,
        clock: Callable[[], float],
    ) -> None:
        """Create the service; ``start`` starts the exchange."""
        self._own_vm = own_vm
        self._target_selector = target_selector
        self._router = target_selector.router
        self._peers = peers
        self._loss_checks = loss_checks
        self._tasks = tasks
        self._clock = clock
        self._prompt_exchange = PromptCrashExchange(peers, self._router.prompts, time.time)
        self._known: frozenset[CrashReport] = frozenset()
        """Reports that were published, or whose losses are being checked."""
        self._confirmed: set[tuple[str, str]] = set()
        """Fingerprints and endpoints of the reports that were published, by this VM or others."""
        self._unchecked_by_endpoint: dict[EndpointId, list[CrashReport]] = {}
        self._unchecked_prompts: dict[str, list[PromptCrash]] = {}
        """Crashes of prompts by the endpoint, before the check of the loss."""

    def start(self) -> None:
        """Exchange evidence from now on."""
        self._loss_checks.start()
        self._peers.on_fact(CRASH_KIND.name, self._handle_crash_fact)
        self._target_selector.on_connection_lost = self._handle_loss
        self._router.on_prompt_crash = self._hold_prompt_crash
        self._router.on_cleared_parts = self._prompt_exchange.publish_cleared_parts

    def _hold_prompt_crash(self, crash: PromptCrash) -> None:
        self._unchecked_prompts.setdefault(crash.process, []).append(crash)

    def _handle_loss(self, endpoint: EndpointId) -> None:
        crashes = frozenset(self._router.export_crashes(self._clock()))
        self._confirmed.intersection_update({(row.fingerprint, row.endpoint) for row in crashes})
        new = [row for row in crashes - self._known if row.endpoint == endpoint]
        self._known = crashes
        is_checking = endpoint in self._unchecked_by_endpoint
        self._unchecked_by_endpoint.setdefault(endpoint, []).extend(new)
        if not is_checking:
            self._tasks.spawn(self._check(endpoint))

    async def _check(self, endpoint: EndpointId) -> None:
        is_cut_off = False
        try:
            is_cut_off = await self._loss_checks.is_only_reached_elsewhere(endpoint)
        finally:
            reports = self._unchecked_by_endpoint.pop(endpoint, [])
            prompts = self._unchecked_prompts.pop(endpoint, [])
            if is_cut_off:
                self._withdraw(endpoint, reports, prompts)
            else:
                self._publish(reports, prompts)

    def _withdraw(
        self, endpoint: EndpointId, reports: list[CrashReport], prompts: list[PromptCrash]
    ) -> None:
        extra = {"endpoint": endpoint, "requests": len(reports), "prompts": len(prompts)}
        _log.info("endpoint lost by a cut of this VM", extra=extra)
        for report in reports:
            if (report.fingerprint, report.endpoint) not in self._confirmed:
                self._router.withdraw_crash(report.fingerprint, report.endpoint)
        for crash in prompts:
            self._router.prompts.withdraw_crash(crash, time.time())

    def _publish(self, reports: list[CrashReport], prompts: list[PromptCrash]) -> None:
        current = frozenset(self._router.export_crashes(self._clock()))
        # An answer may have cleared a request in the meantime.
        for report in filter(current.__contains__, reports):
            self._confirmed.add((report.fingerprint, report.endpoint))
            key = f"{report.fingerprint}|{report.endpoint}"
            version_ms = int(report.expires_at_s * 1000)
            payload = repr(report.expires_at_s).encode()
            self._peers.publish(self._peers.new_fact(CRASH_KIND.name, key, version_ms, payload))
        for crash in prompts:
            self._prompt_exchange.publish_prompt_crash(crash)

    def _handle_crash_fact(self, fact: Fact) -> None:
        if fact.origin == self._own_vm:
            return
        fingerprint, _, endpoint = fact.key.rpartition("|")
        try:
            report = CrashReport(fingerprint, endpoint, float(fact.payload))
        except ValueError:
            _log.warning("cannot decode a crash report", extra={"vm": fact.origin})
            return
        self._known |= {report}
        self._confirmed.add((fingerprint, endpoint))
        self._router.import_crashes([report], self._clock())
