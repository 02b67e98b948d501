"""Reports the usage of each window to the platform while this VM holds that duty."""

import logging
from collections.abc import Callable, Collection

from prometheus_client import Counter

from .._identifiers import VmId, ZoneName
from .._store_revisions import era_of
from ..coordination import CoordinationError, CoordinationStore, Put, RevisionConflictError
from ..duties import CallOutcome, DutyCalls, LossCause, UsagePlan, UsagePolicy, UsageReport
from ._duty_calling import DutyCalling
from ._duty_holders import DutyTenancy
from ._usage_exchange import UsageExchange

MAX_CONFLICTS = 2
"""Conflicts in a row after which the claim itself must have changed: one can come from a write of
this VM whose response was lost."""

logger = logging.getLogger(__name__)


class UsageDuty:
    """Records each report in the store before it is sent; must only be used by one task."""

    def __init__(
        self,
        own: VmId,
        tenancy: DutyTenancy,
        report_key: str,
        store: CoordinationStore,
        calls: DutyCalls,
        calling: DutyCalling,
        exchange: UsageExchange,
        zones: Callable[[], Collection[ZoneName]],
        policy: UsagePolicy,
        delays: Counter,
    ) -> None:
        """Create without a plan.

        ``report_key`` is where the latest report is recorded, ``zones`` returns the zones with live
        VMs, and ``delays`` counts reports that were sent after they were due.
        """
        self.tenancy = tenancy
        self._own = own
        self._report_key = report_key
        self._store = store
        self._calls = calls
        self._calling = calling
        self._exchange = exchange
        self._zones = zones
        self._policy = policy
        self._delays = delays
        self._plan: UsagePlan | None = None
        self._plan_token = 0
        self._record_revision = 0
        self._unconfirmed: UsageReport | None = None
        """Report whose record had no response; the same one is written again."""
        self._conflicts = 0

    async def advance(self) -> None:
        """Take the next step of the duty; must be called several times a second."""
        token = await self.tenancy.advance()
        if token is None:
            self._forget()
            return
        if self._plan is None or token != self._plan_token:
            self._forget()
            await self._load(token)
        plan = self._plan
        if plan is None:
            return
        if plan.pending is None:
            await self._record_next(plan, token)
        if plan.pending is not None and self._calling.may_call():
            await self._send(plan, plan.pending, token)

    def _forget(self) -> None:
        self._plan = None
        self._unconfirmed = None
        self._conflicts = 0

    async def _load(self, token: int) -> None:
        """Read the latest record and plan the reports after it."""
        windows = self._exchange.own_windows
        try:
            item = await self._store.find(self._report_key)
        except CoordinationError as error:
            logger.info("usage record not read", extra={"cause": str(error)})
            return
        recorded = None
        if item is not None:
            try:
                recorded = UsageReport.decode(item.value)
            except ValueError as error:
                logger.error("usage record is invalid", extra={"cause": str(error)})
        # A record that was read after a restore says nothing about the reports of this claim's era.
        if self.tenancy.claim.token() != token:
            return
        self._record_revision = item.revision if item is not None else 0
        self._plan = UsagePlan(token, recorded, windows.current(), windows.oldest_kept())
        self._plan_token = token
        extra = {
            "next_window": self._plan.next_window,
            "recorded": recorded.window if recorded is not None else None,
        }
        logger.info("usage reports planned", extra=extra)

    async def _record_next(self, plan: UsagePlan, token: int) -> None:
        window = plan.next_window
        wall_s = self._exchange.wall_clock()
        totals = self._exchange.fleet_totals
        report = self._unconfirmed
        if report is None:
            is_complete = totals.is_complete(self._zones(), self._policy.end_s(window))
            if not self._policy.may_report(window, wall_s, is_complete=is_complete):
                return
            report = UsageReport(window, totals.of_window(window), era_of(token))
        put = Put(self._report_key, report.encode())
        expected = [(self.tenancy.claim.key, token), (self._report_key, self._record_revision)]
        try:
            self._record_revision = await self._store.write((put,), expected=expected)
        except RevisionConflictError:
            await self._handle_conflict(plan, report)
            return
        except CoordinationError as error:
            self._unconfirmed = report
            extra = {"window": window, "cause": str(error)}
            logger.info("usage report not recorded", extra=extra)
            return
        self._unconfirmed = None
        self._conflicts = 0
        plan.record(report)

    async def _handle_conflict(self, plan: UsagePlan, report: UsageReport) -> None:
        """Find out whether an earlier write of the same record has been executed."""
        self._conflicts += 1
        if self._conflicts > MAX_CONFLICTS:
            self.tenancy.claim.lose(LossCause.CONFLICT)
            return
        try:
            item = await self._store.find(self._report_key)
        except CoordinationError:
            return
        if item is not None and item.value == report.encode() and self._unconfirmed is not None:
            self._record_revision = item.revision
            self._unconfirmed = None
            plan.record(report)

    async def _send(self, plan: UsagePlan, report: UsageReport, token: int) -> None:
        outcome = await self._calls.report_usage(
            self._own,
            token,
            report.window,
            report.counts,
            self._calling.may_send_with(token),
        )
        await self._calling.handle(outcome, f"usage {report.window}")
        wall_s = self._exchange.wall_clock()
        if outcome is CallOutcome.ACCEPTED:
            delay_s = wall_s - self._policy.end_s(report.window)
            if delay_s > self._policy.late_s:
                self._delays.inc()
            extra = {
                "window": report.window,
                "requests": sum(report.counts.values()),
                "organisations": len(report.counts),
                "delay_s": round(delay_s, 2),
            }
            logger.info("usage reported", extra=extra)
            plan.finish()
        elif outcome is CallOutcome.REJECTED or not self._policy.may_repeat(report.window, wall_s):
            logger.warning("usage report abandoned", extra={"window": report.window})
            plan.finish()
