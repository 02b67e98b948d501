"""Admits, retries and settles chat requests and their relays; event loop thread only."""

import asyncio
import logging
import socket
import weakref
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from .._identifiers import EndpointId, OrganisationId, VersionId, VmId
from .._problems import Problem
from .._tasks import is_current_task_cancelled
from ..configuration import Configuration
from ..http11 import UnansweredCause
from ..keys import Caller, KeyRing
from ..peers import ForwardEnd, ForwardResponsePart
from ..rollouts import RolloutControl
from ..routing import ChosenEndpoint, FailureKind, Forward, Refused, RequestClass, RouteRequest
from ._chat_request import ChatRequest
from ._endpoint import EndpointStream
from ._exceptions import EndpointCutError, EndpointError, NotSentError
from ._forwarding import ForwardedSink, ForwardedSource, forward_request
from ._interfaces import AllowanceExceeded, Allowances, Fleet
from ._metrics import GatewayMetrics
from ._refusals import (
    INCOMPLETE_ANSWER,
    STOPPED_ANSWER,
    mark_possibly_executed,
    refuse_draining,
    refuse_exceeded_allowance,
    refuse_failed_attempt,
    refuse_key,
    refuse_overload,
    refuse_routing,
    refuse_unknown_model,
    refuse_withdrawn_stream,
)
from ._relay import BufferedResponseSink, Relay, Sink, StreamSink, attach_caller, attach_endpoint
from ._target_selector import PendingTarget, TargetSelector
from ._unanswered import UnansweredRequests

_log = logging.getLogger(__name__)

FIRST_TOKEN_LIMIT_S = 60.0
STALL_LIMIT_S = 10.0
FORWARD_RESUME_MARGIN_S = 15.0
"""Added to the stall limit of a forward. The other VM abandons a stalled endpoint after the same
limit; the margin covers its attempt at another endpoint (1 s to connect, 10 s until the response
head) and the check interval of one second."""
CRASH_REPORT_DELAY_S = 0.3
"""Delay before refusing a request that may have crashed endpoints, so that the other VMs have been
told: the caller may resend the request at once, to any of them."""
CHAT_ROUTE = "/v1/chat/completions"

SLOW_CALLER_LIMIT_S = 60.0
SENT_POLL_INTERVAL_S = 0.05
MAX_OPEN_CHATS = 4_096
"""Maximum number of admitted requests of a process; each holds up to two sockets."""

Target = ChosenEndpoint | Forward


class EndpointOpener(Protocol):
    """Opens and cancels streams at endpoints without blocking the event loop."""

    async def open(
        self, target: ChosenEndpoint, chat: ChatRequest, resume_from: int
    ) -> EndpointStream:
        """Open a stream that starts after ``resume_from`` tokens; raises ``EndpointError``."""
        ...

    def cancel(self, target: ChosenEndpoint, chat: ChatRequest) -> None:
        """Tell the endpoint that the answer is no longer wanted."""
        ...


@dataclass(slots=True, eq=False)
class OpenChat:
    """A chat request that has been admitted and has not ended."""

    chat: ChatRequest
    organisation: OrganisationId
    caller: Caller | None
    """``None`` for a request that another VM forwarded."""
    reservation: int | None
    """Number of the reservation; ``None`` if another VM holds it."""
    route: RouteRequest
    target: Target | PendingTarget
    started_at: float
    """Event loop time of the admission, in seconds."""
    attempt_at: float
    """Event loop time at the start of the latest attempt, in seconds."""
    may_have_run: bool = False
    """Whether any attempt has reached an endpoint."""
    first_token_at: float | None = None
    relay: Relay | None = None
    forwarded_to: VmId | None = None
    """VM of the latest forward."""


class ChatService:
    """Admits chat requests, retries failed attempts and settles the cost."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        keys: KeyRing,
        rollouts: RolloutControl,
        target_selector: TargetSelector,
        allowances: Allowances,
        fleet: Fleet,
        opener: EndpointOpener,
        metrics: GatewayMetrics,
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the service; ``wall_clock`` returns Unix time in seconds."""
        self._configuration = configuration
        self._keys = keys
        self._rollouts = rollouts
        self._target_selector = target_selector
        self._allowances = allowances
        self._fleet = fleet
        self._opener = opener
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._unanswered = UnansweredRequests(metrics)
        self._open_chats_by_relay: dict[Relay, OpenChat] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sinks: weakref.WeakSet[StreamSink | BufferedResponseSink] = weakref.WeakSet()
        self._admitted = 0

    @property
    def active(self) -> int:
        """Number of requests that have been admitted and have not ended."""
        return self._admitted

    @property
    def open_relays(self) -> int:
        """Number of answers that are being relayed."""
        return len(self._open_chats_by_relay)

    async def admit(
        self, chat: ChatRequest, authorization: str | None
    ) -> Result[OpenChat, Problem]:
        """Admit a caller's request: check key and model, reserve tokens and choose a target."""
        if not self._fleet.accepts_work():
            return self._refuse(chat, "", refuse_draining(self._fleet.discovery(())))
        if self._admitted >= MAX_OPEN_CHATS:
            return self._refuse(chat, "", refuse_overload(self._fleet.discovery(())))
        verified = self._keys.verify(authorization)
        if not isinstance(verified, Success):
            return self._refuse(chat, "", refuse_key(verified.failure()))
        caller = verified.unwrap()
        known = self._configuration().versions_by_model
        if chat.model not in known:
            problem = refuse_unknown_model(chat.model, known)
            return self._refuse(chat, caller.organisation, problem)
        reserved = await self._allowances.reserve(caller.organisation, chat.max_cost_tokens)
        if isinstance(reserved, AllowanceExceeded):
            return self._refuse(chat, caller.organisation, refuse_exceeded_allowance(reserved))
        return await self._route(chat, caller.organisation, caller, reserved, ())

    async def _admit_forwarded(
        self, chat: ChatRequest, organisation: OrganisationId, version: VersionId | None
    ) -> Result[OpenChat, Problem]:
        # The forwarding VM has checked the key and reserved the tokens.
        if not self._fleet.accepts_work():
            return self._refuse(chat, organisation, refuse_draining(()))
        versions = (version,) if version is not None else ()
        return await self._route(chat, organisation, None, None, versions)

    async def _route(
        self,
        chat: ChatRequest,
        organisation: OrganisationId,
        caller: Caller | None,
        reservation: int | None,
        versions: tuple[VersionId, ...],
    ) -> Result[OpenChat, Problem]:
        request = RouteRequest(
            request_id=chat.run_id,
            organisation=organisation,
            request_class=chat.request_class,
            model=chat.model,
            versions=versions or self._versions(chat),
            prefix_digests=chat.prefix_digests,
            forwarded=caller is None,
            fingerprint=f"{organisation}/{chat.body_digest.hex()}",
            cost=float(chat.max_cost_tokens),
        )
        decision = self._target_selector.choose_now(request)
        if isinstance(decision, Refused):
            self._settle(reservation, 0)
            return self._refuse(chat, organisation, refuse_routing(decision))
        now = asyncio.get_running_loop().time()
        self._admitted += 1
        return Success(
            OpenChat(chat, organisation, caller, reservation, request, decision, now, now)
        )

    def _versions(self, chat: ChatRequest) -> tuple[VersionId, ...]:
        if chat.resume_from and chat.resume_version is not None:
            return (chat.resume_version,)
        digest = chat.body_digest + str(chat.request_id).encode()
        return self._rollouts.versions_for(chat.model, digest, self._wall_clock())

    def _refuse(
        self, chat: ChatRequest, organisation: str, problem: Problem
    ) -> Result[OpenChat, Problem]:
        self._count(organisation, chat.request_class, problem.code)
        return Failure(problem)

    async def retry(
        self, open_chat: OpenChat, error: EndpointError, resume_from: int = 0
    ) -> Result[OpenChat, Problem]:
        """Choose another target after a failed attempt, or return the problem to respond with."""
        assert isinstance(open_chat.target, ChosenEndpoint)
        self._attempt_failed(open_chat, error)
        open_chat.may_have_run |= not isinstance(error, NotSentError)
        decision = await self._target_selector.next_target(
            open_chat.route, open_chat.target, error, idempotent=True
        )
        if decision is None or isinstance(decision, Refused):
            problem = refuse_failed_attempt(error)
            if isinstance(error, EndpointCutError):
                await asyncio.sleep(CRASH_REPORT_DELAY_S)
            if resume_from or (open_chat.relay is not None and open_chat.relay.buffer.tokens):
                problem = INCOMPLETE_ANSWER
            return Failure(mark_possibly_executed(problem, may_have_run=open_chat.may_have_run))
        if open_chat.relay is not None and open_chat.relay.closed:
            # The caller disconnected during the wait, so nothing else would end this attempt.
            if isinstance(decision.target, ChosenEndpoint):
                self._target_selector.record_cancellation(decision.request, decision.target)
            return Failure(INCOMPLETE_ANSWER)
        open_chat.route, open_chat.target = decision.request, decision.target
        open_chat.attempt_at = asyncio.get_running_loop().time()
        return Success(open_chat)

    def _attempt_failed(self, open_chat: OpenChat, error: EndpointError) -> None:
        assert isinstance(open_chat.target, ChosenEndpoint)
        self._metrics.attempts.labels(type(error).__name__).inc()
        kind = self._target_selector.record_failure(open_chat.route, open_chat.target, error)
        if kind is not FailureKind.CONNECTION_REFUSED and open_chat.target.version is not None:
            lost = kind is FailureKind.CONNECTION_LOST
            self._record(open_chat, None, open_chat.target.endpoint if lost else None)

    async def settle_failed(self, open_chat: OpenChat, problem: Problem) -> None:
        """Settle a request that failed before its relay started, and release its target."""
        if isinstance(open_chat.target, PendingTarget):
            self._target_selector.abandon(open_chat.target)
        elif isinstance(open_chat.target, ChosenEndpoint):
            self._target_selector.record_cancellation(open_chat.route, open_chat.target)
        self._admitted -= 1
        self._settle(open_chat.reservation, 0)
        self._count(open_chat.organisation, open_chat.chat.request_class, problem.code)

    async def start_relay(
        self, open_chat: OpenChat, caller: socket.socket, stream: EndpointStream | None
    ) -> None:
        """Relay the answer to a caller's socket, from an open stream or another source."""
        relay = self._new_relay(open_chat)
        sink: StreamSink | BufferedResponseSink
        if open_chat.chat.wants_stream:
            sink = StreamSink(relay)
        else:
            sink = BufferedResponseSink(relay, open_chat.chat.model)
        try:
            await attach_caller(sink, caller)
        except BaseException:
            if stream is not None:
                stream.socket.close()
            await self.settle_failed(open_chat, INCOMPLETE_ANSWER)
            raise
        self._sinks.add(sink)
        try:
            self._start_source(open_chat, relay, sink, stream)
        except Exception:
            _log.exception("start of an answer failed", extra={"request_id": relay.request_id})
            relay.fail(INCOMPLETE_ANSWER)

    async def run_forwarded(
        self, chat: ChatRequest, organisation: OrganisationId, version: VersionId | None
    ) -> AsyncIterator[ForwardResponsePart]:
        """Run a request that another VM has admitted, and yield the parts of the answer."""
        admitted = await self._admit_forwarded(chat, organisation, version)
        if not isinstance(admitted, Success):
            problem = admitted.failure()
            yield ForwardEnd(False, problem.execution.value, problem.code)
            return
        relay = self._new_relay(admitted.unwrap())
        sink = ForwardedSink(relay)
        self._start_source(admitted.unwrap(), relay, sink, None)
        try:
            async for answer in sink.answers():
                yield answer
        finally:
            relay.sink_lost()

    def _new_relay(self, open_chat: OpenChat) -> Relay:
        return Relay(open_chat.chat.request_id, self, open_chat.chat.resume_from)

    def _start_source(
        self, open_chat: OpenChat, relay: Relay, sink: Sink, stream: EndpointStream | None
    ) -> None:
        open_chat.relay = relay
        relay.attach_sink(sink)
        self._open_chats_by_relay[relay] = open_chat
        self._metrics.open_streams.inc()
        caller = open_chat.caller
        if caller is not None and not self._keys.register_stream(
            caller.key_id, open_chat.chat.run_id
        ):
            if stream is not None:
                stream.socket.close()
            relay.fail(refuse_withdrawn_stream())
            return
        relay.last_progress_at = asyncio.get_running_loop().time()
        if stream is not None:
            self._spawn(relay, attach_endpoint(relay, stream))
        else:
            self._spawn(relay, self._wait_and_connect(open_chat, relay))

    def _spawn(self, relay: Relay, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._run_for(relay, coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_for(self, relay: Relay, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task of a relay; an unexpected error ends the answer, or its caller would wait."""
        extra = {"request_id": relay.request_id}
        try:
            await coroutine
        except asyncio.CancelledError:
            if is_current_task_cancelled():
                raise
            _log.exception("wait of a chat request was cancelled", extra=extra)
            relay.fail(INCOMPLETE_ANSWER)
        except Exception:
            _log.exception("task of a chat request failed", extra=extra)
            relay.fail(INCOMPLETE_ANSWER)

    async def _wait_and_connect(self, open_chat: OpenChat, relay: Relay) -> None:
        """Wait for a target if the request is queued, then attach a source."""
        pending = open_chat.target
        if isinstance(pending, PendingTarget):
            decision = await self._target_selector.wait(pending)
            now = asyncio.get_running_loop().time()
            relay.last_progress_at = open_chat.attempt_at = now
            if isinstance(decision, Refused):
                relay.fail(
                    mark_possibly_executed(
                        refuse_routing(decision), may_have_run=open_chat.may_have_run
                    )
                )
                return
            open_chat.target = decision
            if relay.closed and isinstance(decision, ChosenEndpoint):
                self._target_selector.record_cancellation(open_chat.route, decision)
        await self._connect(open_chat, relay)

    async def _connect(self, open_chat: OpenChat, relay: Relay) -> None:
        """Attach a source to the relay; try further targets while the retry budget allows it."""
        while not relay.closed:
            if isinstance(open_chat.target, Forward):
                self._connect_forward(open_chat, relay, open_chat.target)
                return
            assert isinstance(open_chat.target, ChosenEndpoint)
            try:
                stream = await self._opener.open(
                    open_chat.target, open_chat.chat, relay.buffer.tokens
                )
            except EndpointError as error:
                retried = await self.retry(open_chat, error, relay.buffer.tokens)
                if not isinstance(retried, Success):
                    relay.fail(retried.failure())
                continue
            await attach_endpoint(relay, stream)
            return

    def _connect_forward(self, open_chat: OpenChat, relay: Relay, target: Forward) -> None:
        groups = self._fleet.live_vms_in(target.region)
        vm = open_chat.forwarded_to = self._target_selector.choose_vm(open_chat.route, groups)
        if vm is None:
            reason = "no entry VM of the region is reachable"
            self._spawn(relay, self.forward_refused(relay, reason))
            return
        self._metrics.forwards.inc()
        request = forward_request(
            open_chat.chat, open_chat.organisation, open_chat.route, relay.buffer.tokens
        )
        source = ForwardedSource(relay, self._fleet.forward(vm, request), self)
        relay.attach_source(source, asyncio.get_running_loop().time())
        source.start()

    async def forward_refused(self, relay: Relay, reason: str) -> None:
        """Choose another target after a forward that did not run the request."""
        open_chat = self._open_chats_by_relay.get(relay)
        if open_chat is None or not isinstance(open_chat.target, Forward):
            return
        relay.awaits_source = True
        decision = await self._target_selector.next_after_forward(
            open_chat.route, open_chat.target, open_chat.forwarded_to, reason
        )
        if isinstance(decision, Refused):
            problem = replace(refuse_routing(decision), detail=reason)
            relay.fail(mark_possibly_executed(problem, may_have_run=open_chat.may_have_run))
            return
        if relay.closed:
            # The caller disconnected during the wait, so nothing else would end this attempt.
            if isinstance(decision.target, ChosenEndpoint):
                self._target_selector.record_cancellation(decision.request, decision.target)
            return
        open_chat.route, open_chat.target = decision.request, decision.target
        await self._connect(open_chat, relay)

    def on_first_token(self, relay: Relay) -> None:
        """Record the time to the first token."""
        open_chat = self._open_chats_by_relay.get(relay)
        if open_chat is None:
            return
        now = asyncio.get_running_loop().time()
        open_chat.first_token_at = now
        label = open_chat.chat.request_class.value
        self._metrics.first_token_s.labels(label).observe(now - open_chat.started_at)

    def on_source_lost(self, relay: Relay) -> None:
        """Resume an answer whose source was lost."""
        open_chat = self._open_chats_by_relay.get(relay)
        if open_chat is not None:
            self._spawn(relay, self._resume(open_chat, relay))

    async def _resume(self, open_chat: OpenChat, relay: Relay) -> None:
        if not isinstance(open_chat.target, ChosenEndpoint):
            relay.fail(INCOMPLETE_ANSWER)
            return
        # Only the same version can continue an answer; another one would mix two answers.
        if relay.buffer.tokens and open_chat.target.version is not None:
            open_chat.route = replace(open_chat.route, versions=(open_chat.target.version,))
        retried = await self.retry(
            open_chat, EndpointCutError("the stream broke off"), relay.buffer.tokens
        )
        if not isinstance(retried, Success):
            relay.fail(retried.failure())
            return
        await self._connect(open_chat, relay)

    def on_closed(self, relay: Relay) -> None:
        """Settle a request whose relay has ended."""
        open_chat = self._open_chats_by_relay.pop(relay, None)
        if open_chat is None:
            return
        self._metrics.open_streams.dec()
        self._admitted -= 1
        if isinstance(open_chat.target, PendingTarget):
            self._target_selector.abandon(open_chat.target)
        if open_chat.caller is not None:
            self._keys.unregister_stream(open_chat.caller.key_id, open_chat.chat.run_id)
        complete = relay.buffer.is_complete
        self._settle(open_chat.reservation, _cost_tokens(open_chat, relay))
        if isinstance(open_chat.target, ChosenEndpoint):
            self._end_attempt(open_chat, open_chat.target, relay)
        outcome = "complete" if complete else "caller-gone" if relay.caller_gone else "cut"
        self._count(open_chat.organisation, open_chat.chat.request_class, outcome)
        if open_chat.caller is not None:
            if relay.caller_gone:
                began = relay.buffer.tokens > open_chat.chat.resume_from
                self._unanswered.record(
                    relay.request_id,
                    UnansweredCause.CLIENT_DISCONNECTED,
                    answer_began=began and open_chat.chat.wants_stream,
                )
            label = self._metrics.organisation_label(open_chat.organisation)
            elapsed_s = asyncio.get_running_loop().time() - open_chat.started_at
            self._metrics.answer_s.labels(label).observe(elapsed_s)
            self._metrics.tokens.labels(label).inc(_cost_tokens(open_chat, relay))

    def on_answer_unread(self, relay: Relay) -> None:
        """Report an answer that was written to a caller that had closed its connection."""
        cause = UnansweredCause.CLIENT_DISCONNECTED
        self._unanswered.record(relay.request_id, cause, answer_began=True)

    def _end_attempt(self, open_chat: OpenChat, target: ChosenEndpoint, relay: Relay) -> None:
        if relay.buffer.is_complete:
            self._target_selector.record_success(open_chat.route, target)
            now = asyncio.get_running_loop().time()
            self._record(open_chat, (open_chat.first_token_at or now) - open_chat.attempt_at)
            return
        self._target_selector.record_cancellation(open_chat.route, target)
        self._opener.cancel(target, open_chat.chat)

    def _record(
        self,
        open_chat: OpenChat,
        latency_s: float | None,
        lost_endpoint: EndpointId | None = None,
    ) -> None:
        target = open_chat.target
        if isinstance(target, ChosenEndpoint) and target.version is not None:
            route = open_chat.chat.request_class.value
            self._rollouts.record(
                open_chat.chat.model,
                target.version,
                route,
                latency_s=latency_s,
                lost_endpoint=lost_endpoint,
                wall_time=self._wall_clock(),
            )

    def end_withdrawn_streams(self) -> int:
        """End the open answers to requests with withdrawn keys, and return their number."""
        withdrawn_run_ids = {
            r for streams in self._keys.streams_to_close().values() for r in streams
        }
        relays = [
            relay
            for relay, open_chat in self._open_chats_by_relay.items()
            if open_chat.chat.run_id in withdrawn_run_ids
        ]
        for relay in relays:
            relay.fail(refuse_withdrawn_stream())
        return len(relays)

    def end_all(self) -> int:
        """End all open answers because the VM stops, and return their number."""
        relays = list(self._open_chats_by_relay)
        for relay in relays:
            relay.fail(STOPPED_ANSWER)
        return len(relays)

    async def wait_until_sent(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds until the callers have taken their answers."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while any(sink.has_unsent_bytes for sink in self._sinks):
            if asyncio.get_running_loop().time() > deadline_s:
                return
            await asyncio.sleep(SENT_POLL_INTERVAL_S)

    def abort_stalled_sources(self, now: float) -> None:
        """Drop sources without data and callers that stopped reading, after their limits.

        Call it each second; ``now`` is event loop time in seconds.
        """
        for relay in list(self._open_chats_by_relay):
            if relay.paused_for_s(now) > SLOW_CALLER_LIMIT_S:
                relay.abandon()
                continue
            limit_s = STALL_LIMIT_S if relay.buffer.tokens else FIRST_TOKEN_LIMIT_S
            target = self._open_chats_by_relay[relay].target
            if isinstance(target, Forward):
                limit_s = self._forward_limit_s(self._open_chats_by_relay[relay], limit_s)
            is_delivering = not relay.awaits_source and not relay.is_paused
            if is_delivering and now - relay.last_progress_at > limit_s:
                relay.last_progress_at = now
                relay.drop_source()

    def _forward_limit_s(self, open_chat: OpenChat, limit_s: float) -> float:
        vm = open_chat.forwarded_to
        if vm is not None and not self._fleet.is_live(vm):
            return STALL_LIMIT_S
        return limit_s + FORWARD_RESUME_MARGIN_S

    def _settle(self, reservation: int | None, used_tokens: float) -> None:
        if reservation is not None:
            self._allowances.settle(reservation, used_tokens)

    def _count(self, organisation: str, request_class: RequestClass, outcome: str) -> None:
        label = self._metrics.organisation_label(organisation)
        self._metrics.requests.labels(label, request_class.value, outcome).inc()


def _cost_tokens(open_chat: OpenChat, relay: Relay) -> float:
    """Return the cost in tokens: the engine's count, or else estimated prompt plus sent tokens."""
    usage = relay.buffer.usage
    if usage is not None:
        resumed = open_chat.chat.resume_from
        return float(usage.prompt_tokens + max(0, usage.completion_tokens - resumed))
    return float(open_chat.chat.prompt_tokens + relay.buffer.tokens - open_chat.chat.resume_from)
