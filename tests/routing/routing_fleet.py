"""Factories for small fleets, routers and requests used by the routing tests."""

import random

from mangosaddle._identifiers import (
    EndpointId,
    ModelName,
    OrganisationId,
    RegionName,
    ServiceName,
    VersionId,
    VmId,
    ZoneName,
)
from mangosaddle.configuration import (
    Configuration,
    Endpoint,
    EndpointKind,
    ModelVersion,
    Organisation,
    Vm,
)
from mangosaddle.routing import RequestClass, Router, RouteRequest

NORTH, SOUTH, WEST = RegionName("north"), RegionName("south"), RegionName("west")
MODEL = ModelName("m")
OLD, NEW = VersionId("v1"), VersionId("v2")
LOCAL_VM = VmId("north-1")


def engine(
    name: str,
    region: RegionName = NORTH,
    capacity: int = 10,
    *,
    versions: tuple[VersionId, ...] = (OLD,),
    leaving: bool = False,
) -> Endpoint:
    """Return an engine that serves the given versions of the model."""
    served = frozenset(ModelVersion(MODEL, version) for version in versions)
    return Endpoint(
        EndpointId(name), EndpointKind.ENGINE, region, ZoneName("z"), "", capacity, served,
        leaving=leaving,
    )  # fmt: skip


def plain_service(name: str, region: RegionName = NORTH) -> Endpoint:
    """Return an endpoint of the service ``stock``."""
    return Endpoint(
        EndpointId(name), EndpointKind.SERVICE, region, ZoneName("z"), "", 5,
        service=ServiceName("stock"),
    )  # fmt: skip


def organisation(
    name: str, regions: frozenset[RegionName] | None = None, weight: float = 1.0
) -> Organisation:
    """Return an organisation; ``regions`` is its residency."""
    return Organisation(OrganisationId(name), 1.0, 1.0, regions, weight)


def configuration(
    *endpoints: Endpoint, organisations: tuple[Organisation, ...] = (), revision: int = 1
) -> Configuration:
    """Return a configuration with the VM ``north-1`` and three organisations.

    ``any`` may run in every region, ``home`` only in the north and ``abroad`` only in the south.
    """
    rows = (
        organisation("any"),
        organisation("home", frozenset({NORTH})),
        organisation("abroad", frozenset({SOUTH})),
        *organisations,
    )
    return Configuration(
        revision=revision,
        vms_by_id={LOCAL_VM: Vm(LOCAL_VM, NORTH, ZoneName("z"), "", "")},
        endpoints_by_id={endpoint.id: endpoint for endpoint in endpoints},
        organisations_by_id={row.id: row for row in rows},
        versions_by_model={MODEL: (OLD, NEW)},
    )


def router(*endpoints: Endpoint, organisations: tuple[Organisation, ...] = ()) -> Router:
    """Return a router for the VM ``north-1``."""
    return Router.from_configuration(
        LOCAL_VM, configuration(*endpoints, organisations=organisations)
    )


def request(
    number: int | str = 0,
    organisation: str | None = "any",
    *,
    versions: tuple[VersionId, ...] = (OLD,),
    request_class: RequestClass = RequestClass.INTERACTIVE,
    prefix: tuple[bytes, ...] = (),
    allowed: frozenset[RegionName] | None = None,
    tried_endpoints: frozenset[EndpointId] = frozenset(),
    forwarded: bool = False,
    fingerprint: str = "",
    deadline_s: float | None = None,
) -> RouteRequest:
    """Return a request for the model."""
    return RouteRequest(
        request_id=str(number),
        organisation=None if organisation is None else OrganisationId(organisation),
        request_class=request_class,
        model=MODEL,
        versions=versions,
        prefix_digests=prefix,
        allowed_regions=allowed,
        tried_endpoints=tried_endpoints,
        forwarded=forwarded,
        fingerprint=fingerprint,
        deadline_s=deadline_s,
    )


def rng(seed: int = 1) -> random.Random:
    """Return a seeded random number generator."""
    return random.Random(seed)
