"""Routing decisions of one entry VM.

Queues and spill shares are kept by target: the model or service that a request asks for
(``RouteRequest.target``).
"""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from .._entities import Configuration
from .._identifiers import EndpointId, ModelName, OrganisationId, RegionName, VersionId, VmId
from .._prompt_quarantine import MAX_SUSPECT_PARTS, Parts, PromptCrash, PromptQuarantine
from .._quarantine import CrashReport, Quarantine
from .._retry_budget import RetryBudget
from ..traffic import VmReach
from ._endpoint_state import EndpointState
from ._fair_queue import FairQueue, flow_name
from ._local_region import LocalRegion
from ._remote_regions import (
    RETURN_BELOW_USAGE,
    SPILL_ABOVE_USAGE,
    RemoteRegions,
    SpillShare,
    choose_region,
    is_spilled,
)
from ._requests import (
    PRIORITY_BY_CLASS,
    ChosenEndpoint,
    Decision,
    FailureKind,
    Forward,
    Queued,
    RefusalReason,
    Refused,
    RegionLoad,
    ReleasedRequest,
    RouteRequest,
)
from ._routing_table import RoutingTable

RETRY_AFTER_S = 1.0
"""Retry delay suggested to callers when capacity is short."""
MAX_FORWARDS = 3
"""Number of VMs to which a request is forwarded, one after another, until one runs it."""
MAX_ORGANISATIONS_PER_RELEASE = 8
"""Maximum number of organisations considered for one release.

The first request may be waiting for something other than free capacity, such as an endpoint that
it has not tried, so several are considered. The number is bounded because each decision iterates
over the endpoints.
"""


@dataclass(frozen=True, slots=True)
class _Attempt:
    request_id: str
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class _Start:
    """Request of an attempt in flight, and the monotonic time at which the attempt began."""

    request: RouteRequest
    started_at: float


class Router:
    """Decides where requests run; all ``now`` parameters are monotonic seconds.

    Only crash reports, which VMs exchange, need wall-clock time. It is computed as
    ``now + wall_offset_s``.
    """

    def __init__(
        self, local_region: RegionName, *, wall_offset_s: float = 0.0, vm: VmId | None = None
    ) -> None:
        self._routing_table = RoutingTable(local_region, Configuration(revision=-1))
        self._vm = vm or VmId("")
        self._wall_offset_s = wall_offset_s
        self._local_region = LocalRegion()
        self._vetoed_versions: set[tuple[ModelName, VersionId]] = set()
        self._start_by_attempt: dict[_Attempt, _Start] = {}
        self._spill_share_by_target: dict[str, SpillShare] = {}
        self._queue_by_target: dict[str, FairQueue] = {}
        self._remote_regions = RemoteRegions()
        self._vm_reach = VmReach()
        self._retry_budget = RetryBudget()
        self._quarantine = Quarantine()
        self.prompts = PromptQuarantine()
        self.on_prompt_crash: Callable[[PromptCrash], None] | None = None
        """Called with the prompt of each request whose connection was lost."""
        self.on_cleared_parts: Callable[[Parts], object] | None = None
        """Called with the suspect prompt prefixes on which an answer was completed."""

    @classmethod
    def from_configuration(
        cls, vm: VmId, configuration: Configuration, *, wall_offset_s: float = 0.0
    ) -> "Router":
        """Return a router for ``vm`` whose initial endpoints are considered warm.

        Raises ``KeyError`` if the configuration does not contain the VM.
        """
        router = cls(configuration.vms_by_id[vm].region, wall_offset_s=wall_offset_s, vm=vm)
        router.apply_configuration(configuration, now=float("-inf"))
        return router

    @property
    def local_region(self) -> RegionName:
        """Region of the VM."""
        return self._routing_table.local_region

    def apply_configuration(self, configuration: Configuration, now: float) -> None:
        """Apply a configuration unless its revision is older than the current one.

        Added endpoints start with a cold cache. Removed endpoints get no new requests, but the
        results of attempts in flight there may still be recorded.
        """
        if configuration.revision < self._routing_table.configuration.revision:
            return
        self._routing_table = RoutingTable(self._routing_table.local_region, configuration)
        self._local_region.apply(self._routing_table, now)

    def choose(self, request: RouteRequest, now: float, rng: random.Random) -> Decision:
        """Decide where to run a request; an attempt at a chosen endpoint counts as in flight.

        A queued request is kept until ``release`` returns it or ``cancel`` removes it.
        """
        if not (request.tried_endpoints or request.tried_regions or request.tried_vms):
            self._retry_budget.record_request()
        queue = self._queue_by_target.get(request.target())
        if (
            queue
            and not self._refusal_for(request, now)
            and self._routing_table.allows_local_region(request)
            and not self._local_region.is_cut_off(request.target(), now)
        ):
            return self._enqueue(request, now)
        decision = self._decide(request, now, rng)
        return self._enqueue(request, now) if decision is None else decision

    def release(self, now: float, rng: random.Random) -> list[ReleasedRequest]:
        """Decide about queued requests.

        Must be called after each end of an attempt, after each load report, and every 100 ms.
        """
        released: list[ReleasedRequest] = []
        for target, queue in list(self._queue_by_target.items()):
            for waiting in queue.expire(now):
                refused = Refused(RefusalReason.QUEUE_TIMEOUT, RETRY_AFTER_S)
                released.append(ReleasedRequest(waiting.request.request_id, refused))
            while (decided := self._release_one(queue, now, rng)) is not None:
                released.append(decided)
            if not queue:
                del self._queue_by_target[target]
        return released

    def cancel(self, request_id: str) -> bool:
        """Remove a queued request whose caller has disconnected; return whether it was queued."""
        return any(queue.remove(request_id) for queue in self._queue_by_target.values())

    def try_spend_retry(self, *, sent: bool, idempotent: bool) -> bool:
        """Return whether a failed attempt may be retried, charging the retry budget if so."""
        return self._retry_budget.try_spend(sent=sent, idempotent=idempotent)

    def record_start(self, request: RouteRequest, endpoint: EndpointId, now: float) -> None:
        """Count an attempt as in flight; ``choose`` does this already, and repeats are ignored."""
        attempt = _Attempt(request.request_id, endpoint)
        state = self._local_region.state(endpoint)
        if state is None or attempt in self._start_by_attempt:
            return
        self._start_by_attempt[attempt] = _Start(request, now)
        state.record_start(now)
        if self._endpoints_crashed_by(request, now):
            state.crash_suspect_ids.add(request.request_id)

    def record_success(self, request_id: str, endpoint: EndpointId, now: float) -> None:
        """Record a complete answer; ignored if the attempt is not in flight."""
        ended = self._end_attempt(request_id, endpoint, now)
        if ended is None:
            return
        start, state = ended
        request = start.request
        state.record_success(now)
        self._local_region.record_connection(endpoint, start.started_at)
        wall_s = now + self._wall_offset_s
        if request.fingerprint:
            self._quarantine.record_answer(request.fingerprint, wall_s)
        if self.prompts.has_crashes:
            cleared = self.prompts.record_answer(_prompt_parts(request), wall_s)
            if cleared and self.on_cleared_parts is not None:
                self.on_cleared_parts(cleared)

    def record_failure(
        self, request_id: str, endpoint: EndpointId, kind: FailureKind, now: float
    ) -> None:
        """Record a failed attempt; ignored if the attempt is not in flight."""
        ended = self._end_attempt(request_id, endpoint, now)
        if ended is None:
            return
        start, state = ended
        if kind is FailureKind.CANCELLED:
            state.abandon_probe()
            return
        if kind is FailureKind.CONNECTION_REFUSED:
            self.record_connection_refused(endpoint, now)
            return
        state.record_failure(now, connection_refused=False)
        if kind is FailureKind.CONNECTION_LOST:
            self._record_crash(start.request, endpoint, now + self._wall_offset_s)
        elif kind is FailureKind.SERVER_ERROR:
            self._local_region.record_connection(endpoint, start.started_at)

    def _record_crash(self, request: RouteRequest, endpoint: EndpointId, wall_s: float) -> None:
        if request.fingerprint:
            self._quarantine.record_crash(request.fingerprint, endpoint, wall_s)
        if request.prefix_digests:
            crash = PromptCrash(endpoint, wall_s, frozenset((_prompt_parts(request),)))
            self.prompts.record_crash(crash, wall_s)
            if self.on_prompt_crash is not None:
                self.on_prompt_crash(crash)

    def record_load_report(
        self,
        endpoint: EndpointId,
        running: int,
        waiting: int,
        capacity: int,
        age_s: float,
        now: float,
    ) -> None:
        """Apply a load report sampled ``age_s`` ago; ignored if the endpoint is not local."""
        state = self._local_region.state(endpoint)
        if state is not None:
            state.record_load_report(running, waiting, capacity, now - age_s, now)

    def mark_endpoint_leaving(self, endpoint: EndpointId) -> None:
        """Stop sending new requests to the endpoint."""
        self._local_region.mark_leaving(endpoint)

    def mark_endpoint_live(self, endpoint: EndpointId, now: float) -> None:
        """Use an endpoint again that was observed leaving; its cache is considered cold.

        An endpoint that the configuration marks as leaving stays out of use.
        """
        self._local_region.mark_live(endpoint, now)

    def record_connection_refused(self, endpoint: EndpointId, now: float) -> None:
        """Eject an endpoint that refuses connections, because it is leaving or down."""
        self._local_region.record_connection_refused(endpoint, now)

    def endpoints_to_probe(self, limit: int, now: float, rng: random.Random) -> list[EndpointId]:
        """Return at most ``limit`` endpoints to which a connection should be tried now."""
        return self._local_region.endpoints_to_probe(limit, now, rng)

    def is_cut_off(self, target: str, now: float) -> bool:
        """Return whether this VM cannot connect to the endpoints of a target in its region."""
        return self._local_region.is_cut_off(target, now)

    def cut_off_targets(self, now: float) -> frozenset[str]:
        """Return the targets to whose endpoints in its region this VM cannot connect."""
        targets = self._local_region.targets()
        return frozenset(target for target in targets if self.is_cut_off(target, now))

    def record_failed_probe(self, endpoint: EndpointId, now: float) -> None:
        """Record that a connection to an endpoint without a request could not be made."""
        self._local_region.record_failed_probe(endpoint, now)

    def record_connection(self, endpoint: EndpointId, started_at: float, now: float) -> None:
        """Record a connection to an endpoint that was begun at ``started_at``."""
        self._local_region.record_connection(endpoint, started_at)
        state = self._local_region.state(endpoint)
        if state is not None:
            state.end_refusal(now)

    def record_vm_cut_off(self, vm: VmId, target: str, now: float) -> bool:
        """Record that another VM reaches no endpoint of a target; return whether this was new."""
        return self._vm_reach.record_unreached(vm, target, now)

    def relays(self, request: RouteRequest, vms: Collection[VmId], now: float) -> list[VmId]:
        """Return those of some VMs of a region to which a request may be forwarded."""
        target, tried = request.target(), request.tried_vms
        return self._vm_reach.relays(self._vm, sorted(vms), target, tried, now)

    def record_back_off(self, endpoint: EndpointId, wait_s: float, now: float) -> None:
        """Send an endpoint nothing for ``wait_s`` seconds, because it has asked for that."""
        state = self._local_region.state(endpoint)
        if state is not None:
            state.wait.record(wait_s, self._vm, now)

    def veto_version(self, model: ModelName, version: VersionId) -> None:
        """Use a version, whose rollout was rolled back, only for requests that accept no other.

        This includes queued requests.
        """
        self._vetoed_versions.add((model, version))

    def record_region_load(self, load: RegionLoad, age_s: float, now: float) -> None:
        """Apply the load of another region, measured ``age_s`` ago."""
        self._remote_regions.record_load(load, age_s, now)

    def mark_region_unreachable(self, region: RegionName, now: float) -> None:
        """Record that a forward to the region failed."""
        self._remote_regions.mark_unreachable(region, now)

    def local_region_loads(self, now: float) -> tuple[RegionLoad, ...]:
        """Return the local region's load for each target, for publication to other regions."""
        loads = []
        for target in self._local_region.targets():
            view = self._local_region.view(target, now)
            waiting = len(self._queue_by_target.get(target, ()))
            usage = view.usage() + (waiting / view.capacity if view.capacity else 0.0)
            loads.append(RegionLoad(self._routing_table.local_region, target, usage, view.capacity))
        return tuple(loads)

    def export_crashes(self, now: float) -> tuple[CrashReport, ...]:
        """Return the unexpired crash reports, for publication to other VMs."""
        return self._quarantine.active_reports(now + self._wall_offset_s)

    def withdraw_crash(self, fingerprint: str, endpoint: str) -> None:
        """Discard the crash report about a request whose endpoint has not crashed."""
        self._quarantine.withdraw_crash(fingerprint, endpoint)

    def import_crashes(self, reports: Iterable[CrashReport], now: float) -> None:
        """Add crash reports from other VMs."""
        self._quarantine.merge(reports, now + self._wall_offset_s)

    def _end_attempt(
        self, request_id: str, endpoint: EndpointId, now: float
    ) -> tuple[_Start, EndpointState] | None:
        """End an attempt and return its start and endpoint state.

        Returns ``None`` if the attempt is not in flight or the endpoint is not local.
        """
        start = self._start_by_attempt.pop(_Attempt(request_id, endpoint), None)
        state = self._local_region.state(endpoint)
        if start is None or state is None:
            return None
        state.record_end(now)
        state.crash_suspect_ids.discard(request_id)
        return start, state

    def _enqueue(self, request: RouteRequest, now: float) -> Queued | Refused:
        queue = self._queue_by_target.setdefault(request.target(), FairQueue())
        position = queue.push(request, now)
        if position is None:
            return Refused(RefusalReason.QUEUE_FULL, RETRY_AFTER_S)
        return Queued(position)

    def _release_one(
        self, queue: FairQueue, now: float, rng: random.Random
    ) -> ReleasedRequest | None:
        for waiting in queue.heads(MAX_ORGANISATIONS_PER_RELEASE):
            decision = self._decide(waiting.request, now, rng)
            if decision is not None:
                name = flow_name(waiting.request)
                queue.pop(name, self._routing_table.organisation_weight(OrganisationId(name)))
                return ReleasedRequest(waiting.request.request_id, decision)
        return None

    def _decide(
        self, request: RouteRequest, now: float, rng: random.Random
    ) -> ChosenEndpoint | Forward | Refused | None:
        """Return the decision, or ``None`` if the request has to be queued."""
        refusal = self._refusal_for(request, now)
        if refusal is not None:
            return refusal
        target = request.target()
        available = self._local_region.available_versions(request, self._versions(request), now)
        if not self._routing_table.allows_local_region(request) or not available:
            return self._forward_or_refuse(request, now, rng)
        if self._local_region.is_cut_off(target, now):
            forward = self._forward(request, now, rng)
            if forward is not None:
                return forward
            if request.forwarded or request.tried_vms:
                return Refused(RefusalReason.ENDPOINT_UNREACHABLE, RETRY_AFTER_S)
            # No VM is known to reach an endpoint, so this one tries although it may fail.
        usage = self._local_region.view(target, now).usage()
        spill = self._spill_share_by_target.setdefault(target, SpillShare())
        if is_spilled(request, spill.update(usage, now), rng):
            # The local region could run the request, so only clearly less busy regions may take it.
            region = self._region_with_spare_capacity(request, RETURN_BELOW_USAGE, now, rng)
            if region is not None:
                return Forward(region)
        crashed = self._endpoints_crashed_by(request, now)
        for version in available:
            state = self._local_region.place(request, version, crashed, now, rng)
            if state is not None:
                self.record_start(request, state.endpoint.id, now)
                self._local_region.remember_prefixes(request, version, state)
                priority = PRIORITY_BY_CLASS[request.request_class]
                return ChosenEndpoint(state.endpoint.id, version, priority)
        # No local endpoint has room, so any region that does not spill itself may take the request.
        region = self._region_with_spare_capacity(request, SPILL_ABOVE_USAGE, now, rng)
        return None if region is None else Forward(region)

    def _versions(self, request: RouteRequest) -> tuple[VersionId | None, ...]:
        """Return the acceptable versions, excluding vetoed ones if any others remain."""
        versions = self._routing_table.versions(request)
        if not self._vetoed_versions:
            return versions
        remaining = tuple(v for v in versions if (request.model, v) not in self._vetoed_versions)
        return remaining or versions

    def _refusal_for(self, request: RouteRequest, now: float) -> Refused | None:
        if not self._routing_table.knows_organisation(request):
            return Refused(RefusalReason.UNKNOWN_ORGANISATION, None)
        if not self._routing_table.is_known(request.target()):
            return Refused(RefusalReason.UNKNOWN_TARGET, None)
        wall_s = now + self._wall_offset_s
        if request.fingerprint and self._quarantine.is_quarantined(request.fingerprint, wall_s):
            wait_s = self._quarantine.retry_after_s(request.fingerprint, wall_s)
            return Refused(RefusalReason.QUARANTINED, wait_s)
        if self.prompts.has_crashes:
            prompt_wait_s = self.prompts.retry_after_s(_prompt_parts(request), wall_s)
            if prompt_wait_s is not None:
                return Refused(RefusalReason.PROMPT_QUARANTINED, prompt_wait_s)
        return None

    def _endpoints_crashed_by(self, request: RouteRequest, now: float) -> frozenset[str]:
        """Return the endpoints that were lost while this request was in flight there."""
        if not request.fingerprint:
            return frozenset()
        return self._quarantine.crashed_endpoints(request.fingerprint, now + self._wall_offset_s)

    def _region_with_spare_capacity(
        self, request: RouteRequest, max_usage: float, now: float, rng: random.Random
    ) -> RegionName | None:
        """Return an allowed region whose usage is below ``max_usage``, or ``None``."""
        others = self._regions_with_relays(request, now)
        spare = self._remote_regions.spare_capacity(others, request.target(), max_usage, now)
        return choose_region(request, spare, rng)

    def _regions_with_relays(self, request: RouteRequest, now: float) -> list[RegionName]:
        """Return the other regions that may run a request; untried ones if there are any."""
        if len(request.tried_vms) >= MAX_FORWARDS:
            return []
        others = self._routing_table.other_regions(request)
        others = [region for region in others if self._has_relay(request, region, now)]
        tried = self._routing_table.regions_of(request.tried_vms)
        return [region for region in others if region not in tried] or others

    def _has_relay(self, request: RouteRequest, region: RegionName, now: float) -> bool:
        vms = self._routing_table.vms_in(region)
        target, excluded = request.target(), request.tried_vms | {self._vm}
        return not vms or self._vm_reach.any_reaches(vms, target, excluded, now)

    def _may_relay_locally(self, request: RouteRequest, now: float) -> bool:
        """Return whether another VM of this region may reach endpoints that this VM does not."""
        region = self._routing_table.local_region
        return (
            not request.forwarded
            and len(request.tried_vms) < MAX_FORWARDS
            and region not in request.tried_regions
            and self._routing_table.allows_local_region(request)
            and self._local_region.is_cut_off(request.target(), now)
            and bool(self._routing_table.vms_in(region))
            and self._has_relay(request, region, now)
        )

    def _forward(self, request: RouteRequest, now: float, rng: random.Random) -> Forward | None:
        """Return where to forward a request that this VM cannot run, or ``None``.

        VMs of this region come first, since they reach the same endpoints. After a refusal the
        other regions do, because a whole region may be cut off.
        """
        local = self._routing_table.local_region
        relays_locally = self._may_relay_locally(request, now)
        if relays_locally and local not in self._routing_table.regions_of(request.tried_vms):
            return Forward(local)
        region = self._region_with_spare_capacity(request, SPILL_ABOVE_USAGE, now, rng)
        if region is not None:
            return Forward(region)
        others = self._regions_with_relays(request, now)
        reachable = self._remote_regions.reachable(others, now)
        if reachable:
            return Forward(rng.choice(reachable))
        return Forward(local) if relays_locally else None

    def _forward_or_refuse(
        self, request: RouteRequest, now: float, rng: random.Random
    ) -> Forward | Refused:
        """Decide about a request that the local region must not or cannot run."""
        forward = self._forward(request, now, rng)
        if forward is not None:
            return forward
        if self._routing_table.allows_local_region(request):
            wait_s = self._local_region.stated_wait_s(request, self._versions(request), now)
            if wait_s is not None:
                return Refused(RefusalReason.ASKED_TO_WAIT, wait_s)
            return Refused(RefusalReason.NO_ENDPOINT, RETRY_AFTER_S)
        if self._routing_table.other_regions(request):
            return Refused(RefusalReason.REGION_UNREACHABLE, RETRY_AFTER_S)
        return Refused(RefusalReason.RESIDENCY, None)


def with_tried_endpoint(request: RouteRequest, endpoint: EndpointId) -> RouteRequest:
    """Return a copy of the request that excludes an endpoint at which an attempt failed."""
    return replace(request, tried_endpoints=request.tried_endpoints | {endpoint})


def with_tried_vm(request: RouteRequest, vm: VmId) -> RouteRequest:
    """Return a copy of the request that excludes a VM that has not run a forward of it."""
    return replace(request, tried_vms=request.tried_vms | {vm})


def _prompt_parts(request: RouteRequest) -> Parts:
    """Return the prefixes of the prompt by which crashing prompts are compared."""
    return frozenset(digest.hex() for digest in request.prefix_digests[:MAX_SUSPECT_PARTS])
