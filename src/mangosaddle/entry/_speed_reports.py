"""Exchange of the prompt tokens that engines have read between the VMs of a region.

Like loads, they go to the collector of a zone, which publishes sums. All numbers are counted from a
start and never reset, so that a message that is lost or late changes nothing but the time at which
the tokens become known. Only services whose prompts leave room for a more urgent route need them:
there the length of a queue in seconds decides whether a prompt is admitted.
"""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

import cbor2

from .._cbor import InvalidCborError, decode_cbor
from .._identifiers import EndpointId, VmId
from ..membership import PER_ORIGIN, Fact, FactKind
from ..peers import PeerNode, register
from ..traffic import Endpoints, EndpointView

READ_TOKENS = FactKind(
    "read_tokens", PER_ORIGIN, lifetime_s=24 * 3600.0, regional=True, reconciled=False
)
"""Prompt tokens that a zone's VMs have seen each engine read. VMs of earlier versions skip it."""
SPEED_INTERVAL_S = 0.6
"""Interval of reports and length of a window: an engine reads several long prompts in it."""
SOURCE_LATE_S = 1.5
"""Silence of a collector after which its part of a window is missing; two intervals and some."""
SOURCE_GONE_S = 5.0
"""Silence after which another collector has taken its place, or its zone is lost."""
MAX_TOKENS = 2**48
"""Bound of the numbers in a report; anything larger is an error of the sender."""

logger = logging.getLogger(__name__)


class SpeedReportError(ValueError):
    """A report of read tokens cannot be decoded."""


@dataclass(frozen=True, slots=True)
class ReadTokensMessage:
    """Prompt tokens that engines have read for a VM, sent to the collector of its zone."""

    payload: bytes


register("read-tokens", ReadTokensMessage)

Counts = Mapping[EndpointId, int]


def decode_counts(payload: bytes) -> dict[EndpointId, int]:
    """Decode the tokens read by engine; raises ``SpeedReportError``."""
    try:
        content = decode_cbor(payload)
    except InvalidCborError as error:
        raise SpeedReportError(str(error)) from error
    if not isinstance(content, dict):
        raise SpeedReportError("a map expected")
    counts = {}
    for endpoint, tokens in content.items():
        if not isinstance(endpoint, str) or type(tokens) is not int:
            raise SpeedReportError("an endpoint and a number expected")
        if not 0 <= tokens <= MAX_TOKENS:
            raise SpeedReportError(f"a number from 0 to {MAX_TOKENS} expected")
        counts[EndpointId(endpoint)] = tokens
    return counts


@dataclass(slots=True)
class _Source:
    """Latest counts of a VM or a collector."""

    counts: Counts = field(default_factory=dict)
    at_s: float = 0.0

    def update(self, counts: Counts, now: float) -> dict[EndpointId, int]:
        """Store new counts and return what was added; a lower count is that of a new process."""
        added = {
            endpoint: tokens - self.counts.get(endpoint, 0)
            for endpoint, tokens in counts.items()
            if tokens > self.counts.get(endpoint, 0)
        }
        self.counts, self.at_s = counts, now
        return added


class SpeedReports:
    """Reports the tokens read for this VM, and applies those of all VMs of its region."""

    def __init__(
        self, own: VmId, node: PeerNode, endpoints: Endpoints, clock: Callable[[], float]
    ) -> None:
        """Create the reports of a VM and subscribe to those of other VMs."""
        self._own = own
        self._node = node
        self._endpoints = endpoints
        self._clock = clock
        self._due_at_s = 0.0
        self._next_fact_number = 1
        self._members_by_vm: dict[VmId, _Source] = {}
        """Counts of the VMs that report to this one, itself included."""
        self._zone_counts: dict[EndpointId, int] = {}
        """Sums of these since this VM has begun to collect them."""
        self._sources_by_vm: dict[VmId, _Source] = {}
        """Counts of the collectors."""
        self._is_complete = False
        """Whether all tokens that were read in the current window are counted."""
        node.on_message(ReadTokensMessage, self._on_message)
        node.on_fact(READ_TOKENS.name, self._on_fact)

    def publish(self, collector: VmId) -> None:
        """Report to the collector of the zone, or publish the zone's sums if that is this VM.

        Does nothing until ``SPEED_INTERVAL_S`` has passed since the last report, or if no service
        of the configuration needs it.
        """
        now = self._clock()
        services = self._endpoints.prompt_precedence.limited_services
        if now < self._due_at_s or not services:
            return
        self._due_at_s = now + SPEED_INTERVAL_S
        views = [view for view in self._endpoints.views() if view.registration.service in services]
        counts = {view.id: view.load.read_tokens for view in views if view.load.read_tokens}
        if collector != self._own:
            self._members_by_vm.clear()
            if counts:
                self._node.send(collector, ReadTokensMessage(cbor2.dumps(counts)))
        else:
            self._collect(self._own, counts, now)
            self._forget_former({view.id for view in views}, now)
            if self._zone_counts:
                self._publish_zone(now)
        self._end_window(views, now)

    def _forget_former(self, endpoints: Collection[EndpointId], now: float) -> None:
        """Forget endpoints and VMs that have ended, which new ones with other ids replace."""
        self._zone_counts = {
            endpoint: tokens
            for endpoint, tokens in self._zone_counts.items()
            if endpoint in endpoints
        }
        for vm, member in list(self._members_by_vm.items()):
            if now - member.at_s > SOURCE_GONE_S:
                del self._members_by_vm[vm]

    def _publish_zone(self, now: float) -> None:
        self._node.publish(
            self._node.new_fact(
                READ_TOKENS.name, self._own, self._next_fact_number, cbor2.dumps(self._zone_counts)
            )
        )
        self._next_fact_number += 1
        self._apply(self._own, dict(self._zone_counts), now)

    def _collect(self, vm: VmId, counts: Counts, now: float) -> None:
        member = self._members_by_vm.get(vm)
        if member is None:
            # What a VM has counted before was published by its former collector.
            self._members_by_vm[vm] = _Source(counts, now)
            return
        for endpoint, tokens in member.update(counts, now).items():
            self._zone_counts[endpoint] = self._zone_counts.get(endpoint, 0) + tokens

    def _end_window(self, views: Iterable[EndpointView], now: float) -> None:
        for vm, source in list(self._sources_by_vm.items()):
            age_s = now - source.at_s
            if age_s > SOURCE_LATE_S:
                self._is_complete = False
            if age_s > SOURCE_GONE_S:
                del self._sources_by_vm[vm]
        for view in views:
            queued = view.load.unread_tokens(now)
            view.load.reading_speed.end_window(queued, now, is_complete=self._is_complete)
        self._is_complete = bool(self._sources_by_vm)

    def _on_message(self, vm: VmId, message: ReadTokensMessage) -> None:
        try:
            counts = decode_counts(message.payload)
        except SpeedReportError as error:
            logger.warning("cannot decode read tokens", extra={"vm": vm, "cause": str(error)})
            return
        self._collect(vm, counts, self._clock())

    def _on_fact(self, fact: Fact) -> None:
        if fact.origin == self._own:
            return
        try:
            counts = decode_counts(fact.payload)
        except SpeedReportError as error:
            extra = {"vm": fact.origin, "cause": str(error)}
            logger.warning("cannot decode read tokens", extra=extra)
            return
        self._apply(fact.origin, counts, self._clock())

    def _apply(self, collector: VmId, counts: Counts, now: float) -> None:
        source = self._sources_by_vm.get(collector)
        if source is None:
            self._sources_by_vm[collector] = _Source(counts, now)
            self._is_complete = False
            return
        for endpoint, tokens in source.update(counts, now).items():
            view = self._endpoints.view(endpoint)
            if view is not None:
                view.load.reading_speed.record_read(tokens)
