"""Retry policy of a request: which VM is next, how long to wait, when to give up."""

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
"""Limit of failed attempts of one request that may have run, so that a request that crashes
endpoints does not reach more of them."""

RETRIED_STATUSES = frozenset({429, 502, 503, 504})


@dataclass(frozen=True, slots=True)
class RetryDependencies:
    """Clock, sleep function and random number generator; tests replace them."""

    clock: Callable[[], float]
    """Monotonic time in seconds."""
    sleep: Callable[[float], None]
    rng: random.Random


class RetryState:
    """State of one request across its attempts."""

    def __init__(
        self, vms: EntryVms, dependencies: RetryDependencies, deadline_s: float, retry_unknown: bool
    ) -> None:
        """Start the deadline, in seconds from now.

        `retry_unknown` allows retries of refusals whose execution is ``unknown``.
        """
        self._vms = vms
        self._dependencies = dependencies
        self._deadline_s = deadline_s
        self._retry_unknown = retry_unknown
        self._deadline_at_s = dependencies.clock() + deadline_s
        self._url = ""
        self._tried_urls: set[str] = set()
        self._completed_rounds = 0
        self._uncertain_attempts = 0
        self._execution = Execution.NOT_RUN
        self._problem: Problem | None = None

    def next_url(self, preferred_url: str | None = None) -> str:
        """Return the base URL for the next attempt, one not yet tried in this round if possible."""
        urls = self._vms.urls()
        if preferred_url is not None:
            urls = (preferred_url, *urls)
        self._url = next((url for url in urls if url not in self._tried_urls), urls[0])
        self._tried_urls.add(self._url)
        return self._url

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, at least one millisecond."""
        return max(self._deadline_at_s - self._dependencies.clock(), 0.001)

    def record_progress(self) -> None:
        """Record that part of the answer arrived: restart the deadline and the rounds."""
        self._execution = Execution.UNKNOWN
        self._deadline_at_s = self._dependencies.clock() + self._deadline_s
        self._tried_urls = {self._url}
        self._completed_rounds = 0
        self._uncertain_attempts = 0

    def record_failure(self, failure: AttemptFailed | Problem) -> None:
        """Record a failed attempt and wait until the next one is allowed.

        Raises `RefusedError` if a retry cannot succeed, and `OverloadedError` or
        `UnreachableError` if the wait would exceed the deadline. After `MAX_SENT_ATTEMPTS`
        attempts that may have run, raises `RefusedError` or `UnreachableError`.
        """
        if isinstance(failure, AttemptFailed):
            self._vms.mark_failed(self._url)
            self._count_attempt(may_have_run=failure.sent)
            self._wait_before_retry(None)
            return
        self._problem = failure
        self._count_attempt(may_have_run=not failure.not_run)
        may_retry = failure.not_run or self._retry_unknown
        if failure.status not in RETRIED_STATUSES or not may_retry:
            raise RefusedError(failure.detail, self._execution, failure)
        self._wait_before_retry(failure.retry_after_s)

    def _count_attempt(self, may_have_run: bool) -> None:
        if not may_have_run:
            return
        self._execution = Execution.UNKNOWN
        self._uncertain_attempts += 1
        if self._uncertain_attempts == MAX_SENT_ATTEMPTS:
            reason = f"gave up after {self._uncertain_attempts} failed attempts that may have run"
            if self._problem is not None:
                detail = f"{reason}: {self._problem.detail}"
                raise RefusedError(detail, self._execution, self._problem)
            raise UnreachableError(reason, self._execution)

    def _wait_before_retry(self, retry_after_s: float | None) -> None:
        untried = [url for url in self._vms.urls() if url not in self._tried_urls]
        wait_s = retry_after_s
        if wait_s is None and not untried:
            ceiling_s = min(BACKOFF_S * 2**self._completed_rounds, MAX_BACKOFF_S)
            wait_s = self._dependencies.rng.uniform(ceiling_s / 2, ceiling_s)
        if not untried:
            self._completed_rounds += 1
            self._tried_urls.clear()
        now = self._dependencies.clock()
        if now >= self._deadline_at_s:
            raise self._deadline_error("the deadline has passed")
        if now + (wait_s or 0.0) >= self._deadline_at_s:
            raise self._deadline_error("the deadline would pass before the next attempt")
        if wait_s:
            self._dependencies.sleep(wait_s)

    def _deadline_error(self, reason: str) -> ClientError:
        if self._problem is not None:
            detail = f"{reason}: {self._problem.detail}"
            return OverloadedError(detail, self._execution, self._problem)
        return UnreachableError(reason, self._execution)
