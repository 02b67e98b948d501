"""Forwarding of requests to other VMs, and handling of forwarded requests."""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Collection, Mapping
from contextlib import aclosing
from dataclasses import replace

from .._identifiers import OrganisationId, RegionName, RequestId, ServiceName, VmId
from .._tasks import is_current_task_cancelled, release_tracebacks
from ..http11 import BodyMemoryBudget, BodyReservation
from ..peers import (
    EncodeError,
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    ForwardResponsePart,
    HeaderField,
    LinkLostError,
    NotSentError,
    OpaqueTraffic,
    PeerNode,
)
from ..traffic import (
    MAX_RELAYS,
    Catalogue,
    EventTooLargeError,
    OpaqueRequest,
    RefusalCause,
    RegionReports,
    RequestKind,
    Route,
    RoutedRequest,
    ServiceShare,
    VmReach,
    allowed_regions,
)
from ._attempt import (
    MAX_BUFFERED_BODY_BYTES,
    STATUS_CAUSE,
    StreamProgress,
    is_event_stream,
)
from ._ingress_limits import MAX_BUFFERED_ANSWERS_BYTES
from ._pause_guard import PauseGuard
from ._results import AnswerSink, Ending, RunResult
from ._runner import RequestRunner
from ._sinks import LinkSink
from ._wire_format import WireFormat

MS_PER_S = 1000.0
FORWARD_WORK_S = 0.05
"""Load time that a forwarded request adds to a region until the region's next report: the
time to read a typical prompt."""
MAX_RETRY_AFTER_S = 3600.0
"""Largest retry time in seconds that another VM is told: infinite ones cannot be encoded."""
MAX_LINKED_FORWARDS = 8
"""Forwards of this VM to each linked VM of a region above which others get some as well."""
REGIONS_VALID_S = 0.1
"""Time for which the regions of a service are reused: each request needs them, and to look at all
VMs takes long in a large fleet."""
REGION_REFUSALS = frozenset(cause.value for cause in RefusalCause) - {
    RefusalCause.NO_ENDPOINT.value,
    RefusalCause.NO_ROOM.value,
}
"""Causes that come from the endpoints of a region; the others concern the VM that refuses: its
reach, or its share of the room that is left."""
ENDINGS_BY_VALUE = {ending.value: ending for ending in Ending}

logger = logging.getLogger(__name__)


class PeerForwarder:
    """Implements ``Forwarder`` over the links to other VMs."""

    def __init__(
        self,
        node: PeerNode,
        reports: RegionReports,
        reach: VmReach,
        own: VmId,
        vms_by_region: Callable[[], Mapping[RegionName, Collection[VmId]]],
        rng: random.Random,
        buffered_bytes: int = MAX_BUFFERED_ANSWERS_BYTES,
    ) -> None:
        """Create the forwarder of the VM ``own``.

        ``vms_by_region`` returns the VMs that accept forwards, also those of the own region.
        ``buffered_bytes`` limits the answers that are buffered at the same time.
        """
        self._node = node
        self._reports = reports
        self._reach = reach
        self._own = own
        self._vms_by_region = vms_by_region
        self._rng = rng
        self._memory = BodyMemoryBudget(buffered_bytes)
        self._forwards_by_vm: Counter[VmId] = Counter()
        """Forwards of this VM that run, by the VM that runs them."""
        self._regions_by_service: dict[ServiceName, tuple[float, Collection[RegionName]]] = {}
        """Until when the regions of a service are valid, in event loop seconds, and the regions."""

    def regions(self, service: ServiceName, tried: Collection[VmId]) -> Collection[RegionName]:
        """Return the regions with a VM, not tried yet, that may reach endpoints of a service.

        For a request that has tried none, the result may be ``REGIONS_VALID_S`` old.
        """
        now = asyncio.get_running_loop().time()
        if tried:
            return self._find_regions(service, tried, now)
        valid_until_s, regions = self._regions_by_service.get(service, (0.0, ()))
        if now >= valid_until_s:
            regions = self._find_regions(service, tried, now)
            self._regions_by_service[service] = (now + REGIONS_VALID_S, regions)
        return regions

    def _find_regions(
        self, service: ServiceName, tried: Collection[VmId], now: float
    ) -> Collection[RegionName]:
        excluded = {*tried, self._own}
        return [
            region
            for region, vms in self._vms_by_region().items()
            if self._reach.any_reaches(vms, service, excluded, now)
        ]

    def _choose_vm(
        self, service: ServiceName, region: RegionName, tried: Collection[VmId]
    ) -> VmId | None:
        """Return the VM with the fewest forwards of this VM among those that may run one."""
        now = asyncio.get_running_loop().time()
        vms = self._vms_by_region().get(region, ())
        excluded = {*tried, self._own}
        linked_vms = self._node.linked_vms()
        linked = [vm for vm in vms if vm in linked_vms]
        relays = self._reach.relays(self._own, linked, service, excluded, now)
        if not relays or (len(relays) < MAX_RELAYS and self._is_busy(relays)):
            relays = self._reach.relays(self._own, vms, service, excluded, now)
        if not relays:
            return None
        fewest = min(self._forwards_by_vm[vm] for vm in relays)
        return self._rng.choice([vm for vm in relays if self._forwards_by_vm[vm] == fewest])

    def _is_busy(self, relays: Collection[VmId]) -> bool:
        return all(self._forwards_by_vm[vm] >= MAX_LINKED_FORWARDS for vm in relays)

    async def run(
        self,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        region: RegionName,
        tried: Collection[VmId],
        sink: AnswerSink,
        progress: StreamProgress,
    ) -> RunResult:
        """Forward the request to a VM of the region and pass its answer to the sink."""
        vm = self._choose_vm(request.service, region, tried)
        if vm is None:
            return RunResult(Ending.NOT_RUN, f"no VM of {region} can be reached")
        self._forwards_by_vm[vm] += 1
        try:
            result = await self._run_at(vm, request, opaque, region, sink, progress)
        finally:
            self._forwards_by_vm[vm] -= 1
            if not self._forwards_by_vm[vm]:
                del self._forwards_by_vm[vm]
        if result.ending is not Ending.NOT_RUN:
            return result
        if result.cause == RefusalCause.NO_ENDPOINT:
            now = asyncio.get_running_loop().time()
            if self._reach.record_unreached(vm, request.service, now):
                extra = {"vm": vm, "service": request.service}
                logger.info("VM reaches no endpoint", extra=extra)
        return replace(result, vm=vm)

    async def _run_at(
        self,
        vm: VmId,
        request: RoutedRequest,
        opaque: OpaqueRequest,
        region: RegionName,
        sink: AnswerSink,
        progress: StreamProgress,
    ) -> RunResult:
        resume_after = progress.splitter.last_id if progress.must_resume else None
        self._reports.add_sent_work(request.service, region, FORWARD_WORK_S)
        now = asyncio.get_running_loop().time()
        forward = _encode(request, opaque, request.left_s(now), resume_after)
        logger.info("forwarded", extra={"request_id": request.id, "vm": vm, "region": region})
        try:
            with self._memory.reserve() as reservation:
                async with aclosing(self._node.forward(vm, forward)) as answers:
                    return await _deliver(request, answers, sink, progress, reservation)
        except (_TooLargeError, EventTooLargeError) as error:
            logger.warning(
                "forwarded answer too large",
                extra={"request_id": request.id, "vm": vm, "cause": str(error)},
            )
            ending = Ending.TRUNCATED if sink.started else Ending.UNKNOWN
            return RunResult(ending, f"answer without end: {error}")
        except NotSentError as error:
            return RunResult(Ending.NOT_RUN, str(error))
        except EncodeError as error:
            return RunResult(Ending.NOT_RUN, f"request cannot be forwarded: {error}")
        except LinkLostError as error:
            ending = Ending.TRUNCATED if sink.started else Ending.UNKNOWN
            return RunResult(ending, str(error), link_lost=True)
        finally:
            # The splitter outlives its stream if the request goes on elsewhere.
            progress.splitter.discard_partial_event()


class _TooLargeError(Exception):
    """An answer that has to be buffered until it is complete is too large."""


async def _deliver(
    request: RoutedRequest,
    answers: AsyncIterator[ForwardResponsePart],
    sink: AnswerSink,
    progress: StreamProgress,
    reservation: BodyReservation,
) -> RunResult:
    """Pass on the parts of an answer; an answer that is not a stream is buffered until complete.

    Raises ``_TooLargeError`` and ``EventTooLargeError``.
    """
    is_stream = request.route.kind is RequestKind.STREAM
    progress.splitter.discard_partial_event()
    head: ForwardHead | None = None
    body = bytearray()
    async for answer in answers:
        if isinstance(answer, ForwardHead):
            if not progress.continues(sink, answer.status, _headers(answer)):
                return RunResult(Ending.TRUNCATED, f"status {answer.status} within a stream")
            head = answer
            is_stream = is_stream and 200 <= head.status < 300
        elif isinstance(answer, ForwardChunk):
            if not is_stream or head is None:
                body += answer.data
                if len(body) > MAX_BUFFERED_BODY_BYTES or not reservation.grow(len(answer.data)):
                    raise _TooLargeError(f"{len(body)} B")
                continue
            events = progress.splitter.feed(answer.data)
            if not reservation.resize(progress.splitter.buffered_bytes):
                raise _TooLargeError(f"event of {progress.splitter.buffered_bytes} B")
            if events:
                await progress.start(sink, head.status, _headers(head))
                progress.must_resume = True
                await sink.write(events)
        else:
            return await _finish(answer, head, bytes(body), is_stream, sink, progress)
    return RunResult(Ending.TRUNCATED if sink.started else Ending.UNKNOWN, "answer without end")


async def _finish(
    end: ForwardEnd,
    head: ForwardHead | None,
    body: bytes,
    is_stream: bool,
    sink: AnswerSink,
    progress: StreamProgress,
) -> RunResult:
    if not end.complete or head is None:
        ending = ENDINGS_BY_VALUE.get(end.execution, Ending.UNKNOWN)
        if sink.started:
            ending = Ending.TRUNCATED
        elif ending in (Ending.TRUNCATED, Ending.DELIVERED):
            # The other VM sent part of an answer or none; nothing has reached the caller.
            ending = Ending.UNKNOWN
        retry_after_s = end.retry_after_ms / MS_PER_S if end.retry_after_ms else None
        # Other VMs of the region would send the request to the endpoint that has rejected it.
        is_region_refusal = end.reason in REGION_REFUSALS or end.reason.startswith(STATUS_CAUSE)
        return RunResult(
            ending, end.reason, retry_after_s=retry_after_s, is_region_refusal=is_region_refusal
        )
    if not is_stream:
        await sink.send_whole(head.status, _headers(head), body)
        return RunResult(Ending.DELIVERED, status=head.status)
    if progress.splitter.has_partial_event and is_event_stream(_headers(head)):
        ending = Ending.TRUNCATED if sink.started else Ending.UNKNOWN
        return RunResult(ending, "forwarded stream ended inside an event")
    await progress.start(sink, head.status, _headers(head))
    tail = progress.splitter.take_remainder()
    if tail:
        await sink.write(tail)
    await sink.finish()
    return RunResult(Ending.DELIVERED, status=head.status)


def _headers(head: ForwardHead) -> list[tuple[bytes, bytes]]:
    return [(field.name, field.value) for field in head.headers]


def _encode(
    request: RoutedRequest, opaque: OpaqueRequest, left_s: float, resume_after: int | None
) -> ForwardRequest:
    route = request.route
    headers = tuple(HeaderField(name, value) for name, value in opaque.headers)
    return ForwardRequest(
        method=opaque.method.decode("latin-1"),
        path=opaque.target.decode("latin-1"),
        content_type="",
        body=opaque.body,
        organisation=OrganisationId(request.organisation or ""),
        request_class="",
        request_id=RequestId(request.id),
        opaque=OpaqueTraffic(
            host=opaque.host,
            headers=headers,
            service=request.service,
            kind=route.kind.value,
            resumable=route.resumable,
            attempts=route.attempts,
            priority=request.priority,
            remaining_ms=max(0, int(left_s * MS_PER_S)),
            target_latency_ms=int(route.target_latency_s * MS_PER_S),
            gap_target_ms=int(route.gap_target_s * MS_PER_S),
            fingerprint=request.fingerprint,
            resume_after=-1 if resume_after is None else resume_after,
        ),
    )


def _encode_retry_ms(retry_after_s: float | None) -> int:
    """Return a retry time in milliseconds as ``ForwardEnd`` has it; 0 if it is not known."""
    if retry_after_s is None or not retry_after_s > 0.0:
        return 0
    return int(min(retry_after_s, MAX_RETRY_AFTER_S) * MS_PER_S)


class ForwardedRequests:
    """Runs the requests that other VMs forward to this one."""

    def __init__(
        self,
        wire: WireFormat,
        runner: RequestRunner,
        region: RegionName,
        catalogue: Callable[[], Catalogue | None],
        pause_guard: PauseGuard,
    ) -> None:
        """Create the handler of forwarded requests for a VM of ``region``."""
        self._pause_guard = pause_guard
        self._wire = wire
        self._runner = runner
        self._region = region
        self._catalogue = catalogue

    async def handle(self, vm: VmId, forward: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        """Run a request and yield its answer; cancelled when the other VM abandons it."""
        if forward.opaque is None:
            yield ForwardEnd(False, Ending.NOT_RUN.value, "only opaque requests run here")
            return
        await self._pause_guard.wait_until_current()
        route = self._find_route(forward, forward.opaque)
        if route is not None and not self._may_run_here(forward, route):
            extra = {"request_id": forward.request_id, "from_vm": vm}
            logger.warning("forwarded request must not run in this region", extra=extra)
            yield ForwardEnd(False, Ending.NOT_RUN.value, f"{self._region} is no home")
            return
        now = asyncio.get_running_loop().time()
        label = route.label if route is not None else ""
        try:
            request, opaque = self._decode(forward, forward.opaque, label, now)
        except (ValueError, ArithmeticError) as error:
            # A VM of another version may send values that this one does not know.
            extra = {"request_id": forward.request_id, "from_vm": vm, "cause": str(error)}
            logger.warning("forwarded request cannot be decoded", extra=extra)
            yield ForwardEnd(False, Ending.NOT_RUN.value, "cannot be decoded here")
            return
        sink = LinkSink()
        task = asyncio.create_task(self._run(request, opaque, sink, vm))
        try:
            async for part in sink.parts():
                yield part
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            release_tracebacks(task)

    def _find_route(self, forward: ForwardRequest, traffic: OpaqueTraffic) -> Route | None:
        """Return the route of a request according to this VM's configuration."""
        catalogue = self._catalogue()
        if catalogue is None:
            return None
        return catalogue.match(traffic.host, forward.path.partition("?")[0])

    def _may_run_here(self, forward: ForwardRequest, route: Route) -> bool:
        """Return whether this VM's configuration allows the request to run in its region.

        The VM that forwarded the request may have an older configuration.
        """
        catalogue = self._catalogue()
        assert catalogue is not None
        organisation = catalogue.organisations_by_id.get(forward.organisation)
        regions = allowed_regions(route, organisation)
        return regions is None or self._region in regions

    async def _run(
        self, request: RoutedRequest, opaque: OpaqueRequest, sink: LinkSink, vm: VmId
    ) -> None:
        try:
            result = await self._runner.run(request, opaque, sink)
        # Without an end, the other VM would wait until the deadline of the request.
        except (Exception, asyncio.CancelledError):
            if is_current_task_cancelled():
                # The other VM has abandoned the request: nobody reads the queue, which may be full.
                raise
            extra = {"request_id": request.id, "from_vm": vm}
            logger.exception("forwarded request failed", extra=extra)
            result = RunResult(Ending.UNKNOWN, "handler failed")
        logger.info(
            "forwarded request ended",
            extra={
                "request_id": request.id,
                "from_vm": vm,
                "ending": result.ending.value,
                "cause": result.cause,
            },
        )
        complete = result.ending is Ending.DELIVERED
        retry_ms = _encode_retry_ms(result.retry_after_s)
        await sink.end(
            ForwardEnd(complete, result.ending.value, result.cause, retry_after_ms=retry_ms)
        )

    def _decode(
        self, forward: ForwardRequest, traffic: OpaqueTraffic, route_label: str, now: float
    ) -> tuple[RoutedRequest, OpaqueRequest]:
        headers = [(field.name, field.value) for field in traffic.headers]
        left_s = traffic.remaining_ms / MS_PER_S
        prompt = self._wire.decode_prompt(headers)
        service = ServiceName(traffic.service)
        route = Route(
            name="",
            host=traffic.host,
            prefix="/",
            kind=RequestKind(traffic.kind),
            shares=(ServiceShare(service, 1.0),),
            timeout_s=left_s,
            target_latency_s=traffic.target_latency_ms / MS_PER_S,
            gap_target_s=traffic.gap_target_ms / MS_PER_S,
            priority=traffic.priority,
            attempts=traffic.attempts,
            is_open=True,
            has_prompt=prompt is not None,
            resumable=traffic.resumable,
            home_regions=frozenset(),
        )
        request = RoutedRequest(
            id=forward.request_id,
            route=route,
            service=service,
            organisation=OrganisationId(forward.organisation) if forward.organisation else None,
            priority=traffic.priority,
            regions=None,
            prompt=prompt,
            began_s=now,
            deadline_s=now + left_s,
            fingerprint=traffic.fingerprint,
            route_label=route_label,
            forwarded=True,
        )
        opaque = OpaqueRequest(
            id=forward.request_id,
            method=forward.method.encode("latin-1"),
            target=forward.path.encode("latin-1"),
            host=traffic.host,
            path=forward.path.partition("?")[0],
            headers=headers,
            body=forward.body,
            key=None,
            caller_timeout_s=left_s,
            resume_after=None if traffic.resume_after < 0 else traffic.resume_after,
            prompt=prompt,
        )
        return request, opaque
