"""Hand-over of a request from a silent endpoint to another place that has begun to run it."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from copy import copy
from typing import Any, Generic, TypeVar

from .._time_limits import TimeLimit
from ..http11 import HeaderList
from ..traffic import EventSplitter, LocalPlacement, RemotePlacement
from ._attempt import AttemptResult, StreamProgress
from ._results import AnswerSink, FailedAnswer, RunResult

REFUSAL_WAIT_S = 0.25
"""Time in which an endpoint of this region that was sent the request may refuse it, before the
attempt at the silent endpoint is given up. Two endpoints may work on a resumed stream for that
long. How far another VM has come is only known from its answer."""

Place = LocalPlacement | RemotePlacement
PlaceResult = AttemptResult | RunResult
"""Result at an endpoint of this region, or of a forward."""
Result = TypeVar("Result", bound=PlaceResult)
RunAtPlace = Callable[[AnswerSink, StreamProgress, Callable[[], None]], Awaitable[Result]]
"""Runs the request at the other place; calls the last argument once an endpoint was sent it."""


class HandoverLostError(Exception):
    """The attempt that was to be replaced has gone on."""


class Handover(Generic[Result]):
    """Runs a request at another place while the attempt at a silent endpoint may still go on.

    The attempt is given up once the other place sends an answer, or if that is an endpoint of this
    region, once it has not refused the request within ``REFUSAL_WAIT_S``. A refusal before that
    leaves the attempt as it is.
    """

    def __init__(
        self,
        place: Place,
        sink: AnswerSink,
        progress: StreamProgress,
        is_attempt_silent: Callable[[], bool],
        give_up: Callable[[], bool],
    ) -> None:
        """Create a hand-over to ``place``; ``start`` begins it.

        ``is_attempt_silent`` returns whether the attempt has received no event since the hand-over
        began. ``give_up`` ends the attempt and returns whether it did: one that has received data
        goes on.
        """
        self.place = place
        self.progress = _copy_progress(progress)
        """Progress of the answer from the other place."""
        self.is_taken = False
        """Whether the attempt has ended or been given up, so that the answer comes from here."""
        self.failure: FailedAnswer | None = None
        """Failure of an endpoint that another VM has passed on, and the caller has not got."""
        self._sink = _HandoverSink(sink, self)
        self.is_attempt_silent = is_attempt_silent
        self._give_up = give_up
        self._attempt_ended = asyncio.Event()
        self._sent = asyncio.Event()
        """Set once an endpoint of this region has been sent the request."""
        self._task: asyncio.Task[Result | None] | None = None

    def start(
        self,
        run: RunAtPlace[Result],
        on_refused: Callable[[Result | None], None],
    ) -> None:
        """Run the request at the other place.

        ``on_refused`` is called if it ends there while the attempt still goes on, with the result
        or, if the attempt has gone on, ``None``.
        """
        self._task = asyncio.create_task(self._run(run, on_refused))

    async def _run(
        self,
        run: RunAtPlace[Result],
        on_refused: Callable[[Result | None], None],
    ) -> Result | None:
        running = asyncio.ensure_future(run(self._sink, self.progress, self._sent.set))
        try:
            if isinstance(self.place, LocalPlacement):
                await self._wait_for_refusal(running)
                if not running.done():
                    self._give_up_attempt()
            result = await running
        except HandoverLostError:
            result = None
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        if not self.is_taken:
            on_refused(result)
        elif self.failure is not None and result is not None:
            await self._sink.send_failure(self.failure)
        return result

    async def _wait_for_refusal(self, running: asyncio.Future[Result]) -> None:
        """Wait until an endpoint has been sent the request and has had time to refuse it.

        Ends at once when the run there ends.
        """
        sent = asyncio.create_task(self._sent.wait())
        try:
            waits: set[asyncio.Future[Any]] = {running, sent}
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sent.cancel()
        with contextlib.suppress(TimeoutError):
            # A refusal that arrived while this process stood still has not been read yet.
            async with TimeLimit(REFUSAL_WAIT_S):
                await asyncio.wait({running})

    def end_attempt(self) -> None:
        """Record that the attempt has ended without an answer."""
        self.is_taken = True
        self._attempt_ended.set()

    async def result(self) -> Result | None:
        """Return the result at the other place; ``None`` if the attempt seemed to go on."""
        assert self._task is not None
        return await self._task

    async def cancel(self) -> None:
        """End the run at the other place."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def _give_up_attempt(self) -> None:
        if not self.is_taken and not self._give_up():
            raise HandoverLostError
        self.is_taken = True

    async def take_over(self) -> None:
        """Give the attempt up and wait until it has ended, so that it sends nothing any more."""
        self._give_up_attempt()
        await self._attempt_ended.wait()


class _HandoverSink:
    """Passes an answer on once the attempt at the silent endpoint has ended.

    A failure is kept at the hand-over while the attempt may still succeed.
    """

    def __init__(self, sink: AnswerSink, handover: Handover[Any]) -> None:
        self._sink = sink
        self._handover = handover

    @property
    def started(self) -> bool:
        """Return whether part of the answer has been sent, by either place."""
        return self._sink.started

    async def send_whole(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete answer, or keep a failure."""
        if not self._handover.is_taken and not 200 <= status < 300:
            self._handover.failure = FailedAnswer(status, headers, body)
            return
        await self._handover.take_over()
        await self._sink.send_whole(status, headers, body)

    async def send_failure(self, answer: FailedAnswer) -> None:
        """Send a failure that was kept."""
        await self._sink.send_whole(answer.status, answer.headers, answer.body)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a streamed answer."""
        await self._handover.take_over()
        await self._sink.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send part of a streamed answer."""
        await self._handover.take_over()
        await self._sink.write(data)

    async def finish(self) -> None:
        """End a streamed answer."""
        await self._handover.take_over()
        await self._sink.finish()


def _copy_progress(progress: StreamProgress) -> StreamProgress:
    """Return the progress of an answer that continues after the last complete event."""
    copied = copy(progress)
    copied.splitter = EventSplitter(progress.splitter.last_id)
    copied.attempt_began_at_s = None
    return copied
