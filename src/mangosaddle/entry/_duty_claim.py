"""Claims a duty in the store, keeps the claim alive and gives it back."""

import json
import logging
from collections.abc import Callable

from .._identifiers import Incarnation, VmId
from .._store_revisions import era_of, format_revision
from ..coordination import (
    CoordinationError,
    CoordinationStore,
    Item,
    LeaseEndedError,
    Put,
    RevisionConflictError,
)
from ..duties import LossCause, Tenure

RETRY_PAUSE_S = 0.5
"""Pause after a failed call to the store."""
POLL_INTERVAL_S = 1.0
"""Interval at which a VM without news of the holder reads its claim."""

logger = logging.getLogger(__name__)


class DutyClaim:
    """Claim of this VM on one duty; must only be used by one task.

    The key of the claim is attached to a lease. The revision of its last write is the fencing
    token.
    """

    def __init__(
        self,
        name: str,
        key: str,
        own: VmId,
        incarnation: Incarnation,
        store: CoordinationStore,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Create without a claim; ``key`` is where it is stored."""
        self.name = name
        self.key = key
        self.tenure = Tenure(lease_s)
        self._own = own
        self._incarnation = incarnation
        self._store = store
        self._clock = clock
        self._lease = 0

    def token(self) -> int | None:
        """Return the fencing token if this VM holds the duty now."""
        if self.tenure.token(self._clock()) is not None:
            self._check_era()
        token = self.tenure.token(self._clock())
        self._log_loss()
        return token

    async def advance(self, *, is_candidate: bool) -> None:
        """Renew the claim, or make one if this VM ``is_candidate`` and the duty is free."""
        if self.token() is not None:
            if self.tenure.must_renew(self._clock()):
                await self._renew()
        elif is_candidate and self.tenure.may_claim(self._clock()):
            await self._claim()
        self._log_loss()

    async def renew_token(self) -> int | None:
        """Write the claim again for a new token, which outdates the calls made with the old one."""
        token = self.token()
        if token is None:
            return None
        try:
            token = await self._write(token, self._lease)
        except (RevisionConflictError, LeaseEndedError):
            self.tenure.lose(LossCause.CONFLICT, self._clock())
            self._log_loss()
            return None
        except CoordinationError as error:
            await self._find_new_token(error)
            return None
        self.tenure.record_new_token(token)
        return self.token()

    async def give_up(self, cause: LossCause) -> None:
        """Stop to hold the duty and remove the claim, so that another VM need not wait for it."""
        token = self.token()
        if token is None:
            return
        self.tenure.lose(cause, self._clock())
        self._log_loss()
        try:
            await self._store.write((), expected=[(self.key, token)], removed=[self.key])
        except CoordinationError as error:
            # The claim ends with its lease.
            extra = {"duty": self.name, "cause": str(error)}
            logger.info("claim of a duty was not removed", extra=extra)

    def lose(self, cause: LossCause) -> None:
        """Stop to hold the duty without a call to the store."""
        self.tenure.lose(cause, self._clock())
        self._log_loss()

    def _check_era(self) -> None:
        token = self.tenure.token(self._clock())
        if token is not None and era_of(token) != self._store.era:
            self.tenure.lose(LossCause.STORE_RESTORED, self._clock())

    async def _renew(self) -> None:
        requested_at_s = self._clock()
        try:
            await self._store.renew_lease(self._lease)
        except LeaseEndedError:
            self.tenure.lose(LossCause.ENDED, self._clock())
        except CoordinationError as error:
            # The claim is valid until its lease can have lapsed; the renewal is tried again.
            extra = {"duty": self.name, "cause": str(error)}
            logger.info("claim of a duty not renewed", extra=extra)
        else:
            if self.token() is not None:
                self.tenure.record_renewal(requested_at_s)

    async def _claim(self) -> None:
        try:
            item = await self._store.find(self.key)
            if item is not None and not self._may_replace(item):
                self.tenure.record_other_holder(POLL_INTERVAL_S, self._clock())
                return
            requested_at_s = self._clock()
            lease = await self._store.create_lease(self.tenure.lease_s)
            token = await self._write(item.revision if item is not None else 0, lease)
        except CoordinationError as error:
            self.tenure.delay_claim(self._clock() + RETRY_PAUSE_S)
            logger.info("duty not claimed", extra={"duty": self.name, "cause": str(error)})
            return
        self._lease = lease
        self.tenure.record_claim(token, requested_at_s)
        extra = {"duty": self.name, "token": format_revision(token)}
        logger.info("duty claimed", extra=extra)

    def _may_replace(self, item: Item) -> bool:
        """Return whether a stored claim is this VM's own, unreadable or abandoned."""
        if self._is_own(item):
            return True
        return self.tenure.is_abandoned(item.revision, self._clock())

    def _is_own(self, item: Item) -> bool:
        return item.value == self._value()

    async def _find_new_token(self, error: CoordinationError) -> None:
        """Find out whether a claim that was written again, without a response, is stored."""
        extra = {"duty": self.name, "cause": str(error)}
        logger.info("new token not confirmed", extra=extra)
        try:
            item = await self._store.find(self.key)
        except CoordinationError:
            return
        if item is None or not self._is_own(item):
            self.tenure.lose(LossCause.CONFLICT, self._clock())
        elif self.token() is not None:
            self.tenure.record_new_token(item.revision)

    async def _write(self, expected: int, lease: int) -> int:
        put = Put(self.key, self._value(), lease)
        return await self._store.write((put,), expected=[(self.key, expected)])

    def _value(self) -> bytes:
        fields = {"vm": self._own, "incarnation": self._incarnation}
        return json.dumps(fields, sort_keys=True).encode()

    def _log_loss(self) -> None:
        cause = self.tenure.take_loss()
        if cause is not None:
            extra = {"duty": self.name, "cause": cause.value}
            logger.info("duty lost", extra=extra)
