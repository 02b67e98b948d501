"""Factories for routes, organisations and catalogues with home regions."""

from collections.abc import Iterable

from mangosaddle._identifiers import OrganisationId, RegionName, ServiceName
from mangosaddle.traffic import (
    CallerLimits,
    Catalogue,
    Organisation,
    RequestKind,
    Route,
    ServiceShare,
    ServiceSpec,
)

HOST = "example.test"
SERVICE = ServiceName("engine")
LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)


def homes_of(names: Iterable[str]) -> frozenset[RegionName]:
    """Return a set of home regions from their names."""
    return frozenset(RegionName(name) for name in names)


def route(prefix: str, homes: Iterable[str] = (), *, is_open: bool = False) -> Route:
    """Return a route of ``HOST`` with the given prefix and home regions."""
    return Route(
        name=prefix,
        host=HOST,
        prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        shares=(ServiceShare(SERVICE, 1.0),),
        timeout_s=10.0,
        target_latency_s=1.0,
        gap_target_s=0.0,
        priority=1,
        attempts=2,
        is_open=is_open,
        has_prompt=False,
        resumable=False,
        home_regions=homes_of(homes),
    )


def organisation(name: str, homes: Iterable[str] = ()) -> Organisation:
    """Return an organisation with the given home regions and without a rate limit."""
    return Organisation(
        id=OrganisationId(name),
        keys=frozenset({f"key-{name}"}),
        priority=None,
        counts_tokens=False,
        plain_tokens=0,
        rate_per_s=0.0,
        burst=0.0,
        home_regions=homes_of(homes),
    )


def catalogue(
    routes: Iterable[Route],
    organisations: Iterable[Organisation] = (),
    version: int = 1,
    services: Iterable[ServiceSpec] = (),
) -> Catalogue:
    """Return a catalogue with these routes, organisations and services."""
    return Catalogue.from_parts(version, routes, services, organisations, LIMITS)
