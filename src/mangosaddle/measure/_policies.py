"""Routing policies of the simulation: three simple ones and the router itself."""

import random
from dataclasses import dataclass, field
from typing import Protocol

from .._affinity import hash64, rendezvous_score
from .._identifiers import (
    EndpointId,
    ModelName,
    OrganisationId,
    RegionName,
    VersionId,
    VmId,
    ZoneName,
)
from ..configuration import (
    Configuration,
    Endpoint,
    EndpointKind,
    ModelVersion,
    Organisation,
    Vm,
)
from ..routing import (
    ChosenEndpoint,
    FailureKind,
    Forward,
    Queued,
    RegionLoad,
    RequestClass,
    Router,
    RouteRequest,
)
from ._engine_model import SHARED_BLOCKS, SLOTS, Job

MODEL, VERSION = ModelName("m"), VersionId("v1")
SPILL_USAGE = 0.9
DOWN_S = 5.0
"""Time for which a simple policy leaves an endpoint alone that refused a connection."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send the job to this endpoint of the own region."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Away:
    """Send the job to another region."""

    region: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Keep the job in the queue of the VM."""


Choice = Send | Away | Wait | None
"""``None`` refuses the job."""


class Policy(Protocol):
    """Decisions of one VM."""

    def choose(self, job: Job, forwarded: bool, now: float) -> Choice:
        """Decide about a job."""

    def release(self, now: float) -> list[tuple[int, Choice]]:
        """Decide about waiting jobs by number."""

    def finished(self, job: Job, endpoint: str, now: float) -> None:
        """Note the end of a job."""

    def failed(self, job: Job, endpoint: str, refused: bool, now: float) -> None:
        """Note a refused or lost connection."""

    def report(self, endpoint: str, load: int, age_s: float, now: float) -> None:
        """Take a load report."""

    def region_report(self, region: int, usage: float, capacity: float, now: float) -> None:
        """Take a fact about another region."""

    def own_load(self, now: float) -> tuple[float, float]:
        """Return usage and capacity of the own region."""


@dataclass
class SimplePolicy:
    """Random, least reported load, or consistent hashing of the conversation."""

    kind: str
    region: int
    engines_by_region: dict[int, list[str]]
    generator: random.Random
    reported: dict[str, int] = field(default_factory=dict)
    down_until: dict[str, float] = field(default_factory=dict)
    usage_by_region: dict[int, float] = field(default_factory=dict)

    def choose(self, job: Job, forwarded: bool, now: float) -> Choice:
        """Spill above a fixed usage, otherwise choose by the kind of the policy."""
        names = self._up(now)
        if not forwarded and not job.home:
            others = {r: u for r, u in self.usage_by_region.items() if u < SPILL_USAGE}
            if others and (not names or self.own_load(now)[0] > SPILL_USAGE):
                return Away(min(others, key=lambda region: others[region]))
        names = names or self.engines_by_region[self.region]
        if self.kind == "random":
            return Send(self.generator.choice(names))
        if self.kind == "least load":
            return Send(min(names, key=lambda name: (self.reported.get(name, 0), name)))
        key = hash64(job.blocks[SHARED_BLOCKS].encode())
        return Send(max(names, key=lambda name: rendezvous_score(hash64(name.encode()), key, 1.0)))

    def release(self, now: float) -> list[tuple[int, Choice]]:
        """Return nothing: the engines queue."""
        return []

    def finished(self, job: Job, endpoint: str, now: float) -> None:
        """Ignore the end of a job."""

    def failed(self, job: Job, endpoint: str, refused: bool, now: float) -> None:
        """Leave the endpoint alone for a while."""
        self.down_until[endpoint] = now + DOWN_S

    def report(self, endpoint: str, load: int, age_s: float, now: float) -> None:
        """Keep the reported load."""
        self.reported[endpoint] = load

    def region_report(self, region: int, usage: float, capacity: float, now: float) -> None:
        """Keep the usage of a region."""
        self.usage_by_region[region] = usage

    def own_load(self, now: float) -> tuple[float, float]:
        """Return the reported usage of the endpoints that are not down."""
        names = self._up(now)
        capacity = float(SLOTS * len(names))
        load = sum(self.reported.get(name, 0) for name in names)
        return (load / capacity if capacity else 1.0), capacity

    def _up(self, now: float) -> list[str]:
        names = self.engines_by_region[self.region]
        return [name for name in names if self.down_until.get(name, 0.0) <= now]


class RouterPolicy:
    """The router of the project."""

    def __init__(
        self, region: int, engines_by_region: dict[int, list[str]], generator: random.Random
    ) -> None:
        self._generator = generator
        self._router = Router.from_configuration(
            VmId(f"vm{region}"), _configuration(engines_by_region)
        )

    def choose(self, job: Job, forwarded: bool, now: float) -> Choice:
        """Ask the router."""
        home = f"home{job.region}" if job.home else "any"
        digests = (job.blocks[SHARED_BLOCKS - 1], *job.blocks[SHARED_BLOCKS + 1 :: 2])
        request = RouteRequest(
            request_id=f"{job.number}.{job.attempts}",
            organisation=OrganisationId(home),
            request_class=RequestClass.INTERACTIVE,
            model=MODEL,
            prefix_digests=tuple(block.encode() for block in digests),
            forwarded=forwarded,
        )
        return _choice(self._router.choose(request, now, self._generator))

    def release(self, now: float) -> list[tuple[int, Choice]]:
        """Ask the router about waiting jobs."""
        released = self._router.release(now, self._generator)
        return [(int(r.request_id.partition(".")[0]), _choice(r.decision)) for r in released]

    def finished(self, job: Job, endpoint: str, now: float) -> None:
        """Tell the router."""
        self._router.record_success(f"{job.number}.{job.attempts}", EndpointId(endpoint), now)

    def failed(self, job: Job, endpoint: str, refused: bool, now: float) -> None:
        """Tell the router."""
        kind = FailureKind.CONNECTION_REFUSED if refused else FailureKind.CONNECTION_LOST
        self._router.record_failure(f"{job.number}.{job.attempts}", EndpointId(endpoint), kind, now)

    def report(self, endpoint: str, load: int, age_s: float, now: float) -> None:
        """Tell the router."""
        running, waiting = min(load, SLOTS), max(0, load - SLOTS)
        self._router.record_load_report(EndpointId(endpoint), running, waiting, SLOTS, age_s, now)

    def region_report(self, region: int, usage: float, capacity: float, now: float) -> None:
        """Tell the router."""
        load = RegionLoad(f"r{region}", f"model/{MODEL}", usage, capacity)
        self._router.record_region_load(load, 0.1, now)

    def own_load(self, now: float) -> tuple[float, float]:
        """Return the router's own fact."""
        (load,) = self._router.local_region_loads(now)
        return load.usage, load.capacity


def _choice(decision: object) -> Choice:
    match decision:
        case ChosenEndpoint(endpoint, _, _):
            return Send(endpoint)
        case Forward(region):
            return Away(int(region[1:]))
        case Queued():
            return Wait()
    return None


def _configuration(engines_by_region: dict[int, list[str]]) -> Configuration:
    vms, endpoints, organisations = {}, {}, {}
    organisations[OrganisationId("any")] = Organisation(OrganisationId("any"), 1.0, 1.0)
    for number, names in engines_by_region.items():
        region, vm = RegionName(f"r{number}"), VmId(f"vm{number}")
        vms[vm] = Vm(vm, region, ZoneName("z"), "", "")
        home = OrganisationId(f"home{number}")
        organisations[home] = Organisation(home, 1.0, 1.0, frozenset({region}))
        for name in names:
            served = frozenset({ModelVersion(MODEL, VERSION)})
            endpoints[EndpointId(name)] = Endpoint(
                EndpointId(name), EndpointKind.ENGINE, region, ZoneName("z"), "", SLOTS, served
            )
    return Configuration(
        1,
        vms_by_id=vms,
        endpoints_by_id=endpoints,
        organisations_by_id=organisations,
        versions_by_model={MODEL: (VERSION,)},
    )
