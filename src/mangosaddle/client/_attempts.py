"""Retries of one request: which VM next, how long to wait, when to give up."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from ._entry_vms import EntryVms
from ._exceptions import ClientError, Execution, OverloadedError, RefusedError, UnreachableError
from ._http import AttemptFailed
from ._problem import Problem

BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_SENT_ATTEMPTS = 3
"""Attempts of one request that may have run and brought nothing: a request that crashes endpoints
must not reach more of them."""

RETRIED_STATUSES = frozenset({429, 502, 503, 504})


@dataclass(frozen=True, slots=True)
class Pacing:
    """Sources of time and chance, replaced in tests."""

    clock: Callable[[], float]
    """Monotonic time in seconds."""
    sleep: Callable[[float], None]
    rng: random.Random


class Attempts:
    """State of one request over all its attempts."""

    def __init__(
        self, vms: EntryVms, pacing: Pacing, deadline_s: float, retry_unknown: bool
    ) -> None:
        """Start the deadline; `retry_unknown` tells whether a refusal ``unknown`` is retried."""
        self._vms = vms
        self._pacing = pacing
        self._deadline_s = deadline_s
        self._retry_unknown = retry_unknown
        self._ends_at_s = pacing.clock() + deadline_s
        self._url = ""
        self._tried: set[str] = set()
        self._rounds = 0
        self._sent = 0
        self._execution = Execution.NOT_RUN
        self._problem: Problem | None = None

    def next_url(self, preferred: str | None = None) -> str:
        """Return the VM for the next attempt: one that was not tried in this round."""
        urls = self._vms.urls()
        if preferred is not None:
            urls = (preferred, *urls)
        self._url = next((url for url in urls if url not in self._tried), urls[0])
        self._tried.add(self._url)
        return self._url

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, never below a millisecond."""
        return max(self._ends_at_s - self._pacing.clock(), 0.001)

    def received(self) -> None:
        """Note that part of the answer arrived: deadline and rounds begin anew."""
        self._execution = Execution.UNKNOWN
        self._ends_at_s = self._pacing.clock() + self._deadline_s
        self._tried = {self._url}
        self._rounds = 0
        self._sent = 0

    def note(self, failure: AttemptFailed | Problem) -> None:
        """Note a failed attempt and wait as long as it demands.

        Raises `RefusedError` when a retry does not help, `OverloadedError` or `UnreachableError`
        when the wait would pass the deadline or too many attempts may have run.
        """
        if isinstance(failure, AttemptFailed):
            self._vms.mark_failed(self._url)
            self._count(may_have_run=failure.sent)
            self._wait(None)
            return
        self._problem = failure
        self._count(may_have_run=not failure.not_run)
        may_retry = failure.not_run or self._retry_unknown
        if failure.status not in RETRIED_STATUSES or not may_retry:
            raise RefusedError(failure.detail, self._execution, failure)
        self._wait(failure.retry_after_s)

    def _count(self, may_have_run: bool) -> None:
        if not may_have_run:
            return
        self._execution = Execution.UNKNOWN
        self._sent += 1
        if self._sent == MAX_SENT_ATTEMPTS:
            reason = f"{self._sent} attempts that may have run have failed"
            if self._problem is not None:
                detail = f"{reason}: {self._problem.detail}"
                raise RefusedError(detail, self._execution, self._problem)
            raise UnreachableError(reason, self._execution)

    def _wait(self, retry_after_s: float | None) -> None:
        untried = [url for url in self._vms.urls() if url not in self._tried]
        wait_s = retry_after_s
        if wait_s is None and not untried:
            ceiling_s = min(BACKOFF_S * 2**self._rounds, MAX_BACKOFF_S)
            wait_s = self._pacing.rng.uniform(ceiling_s / 2, ceiling_s)
        if not untried:
            self._rounds += 1
            self._tried.clear()
        if self._pacing.clock() + (wait_s or 0.0) >= self._ends_at_s:
            raise self._final("the deadline has passed")
        if wait_s:
            self._pacing.sleep(wait_s)

    def _final(self, reason: str) -> ClientError:
        if self._problem is not None:
            detail = f"{reason}: {self._problem.detail}"
            return OverloadedError(detail, self._execution, self._problem)
        return UnreachableError(reason, self._execution)
