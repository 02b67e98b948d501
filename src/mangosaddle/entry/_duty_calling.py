"""What all duties do with the outcome of a call to the platform."""

import logging
from collections.abc import Callable

from prometheus_client import Counter

from ..duties import CallOutcome, CallPace, LossCause
from ._duty_claim import DutyClaim

UNREACHABLE_AFTER_S = 4.0
"""Time without any response of the platform after which another VM should try."""

logger = logging.getLogger(__name__)


class DutyCalling:
    """Paces the calls of one duty and gives the claim back where the outcome asks for it."""

    def __init__(
        self, claim: DutyClaim, pace: CallPace, counter: Counter, clock: Callable[[], float]
    ) -> None:
        """Create for the holder of a claim; ``counter`` has labels for duty and outcome."""
        self._claim = claim
        self._pace = pace
        self._counter = counter
        self._clock = clock
        self._failing_since_s: float | None = None

    def may_call(self) -> bool:
        """Return whether the pace allows a call now."""
        return self._pace.may_call(self._clock())

    def may_send_with(self, token: int) -> Callable[[], bool]:
        """Return a check, to be made directly before sending, that a token is still valid."""
        return lambda: self._claim.token() == token

    async def handle(self, outcome: CallOutcome, call: str) -> None:
        """Record the outcome of a call, which ``call`` describes for the log."""
        now = self._clock()
        self._pace.record_call(outcome, now)
        self._counter.labels(self._claim.name, outcome.value).inc()
        if outcome is not CallOutcome.ACCEPTED:
            extra = {"duty": self._claim.name, "call": call, "outcome": outcome.value}
            logger.info("duty call not accepted", extra=extra)
        if outcome not in (CallOutcome.UNKNOWN, CallOutcome.NOT_SENT):
            self._failing_since_s = None
        elif self._failing_since_s is None:
            self._failing_since_s = now
        if outcome is CallOutcome.SUPERSEDED:
            await self._claim.give_up(LossCause.SUPERSEDED)
        elif (
            self._failing_since_s is not None and now - self._failing_since_s >= UNREACHABLE_AFTER_S
        ):
            self._failing_since_s = None
            await self._claim.give_up(LossCause.UNREACHABLE)
