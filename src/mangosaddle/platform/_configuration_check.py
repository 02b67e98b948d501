"""Checks a configuration before the operator writes it, and compares it with the one in force."""

import hashlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure

from .._finding import Finding, Severity
from ._configuration import (
    CONFIGURATION_KEY,
    Configuration,
    RouteEntry,
    decode_configuration,
    read_document,
)


def check_configuration(value: bytes) -> tuple[Finding, ...]:
    """Return all errors of a configuration, or without errors all doubtful entries."""
    decoded = decode_configuration(value)
    if isinstance(decoded, Failure):
        errors: tuple[Finding, ...] = decoded.failure()
        return errors
    checks = _Checks(read_document(value))
    rules: tuple[Callable[[], Iterator[Finding]], ...] = (
        checks.duplicates,
        checks.references,
        checks.regions,
        checks.routes,
        checks.services,
        checks.tenants,
    )
    return tuple(finding for rule in rules for finding in rule())


def comparable_document(value: bytes) -> dict[str, list[dict[str, Any]]]:
    """Return the entries of a valid configuration by collection, each with an id or a name.

    Defaults are filled in, so that a field that only states its default is no difference. Keys of
    callers are replaced by digests, since differences are printed.
    """
    document = read_document(value).model_dump(mode="json")
    routes = [
        {**route, "id": f"{route['host'].lower()}{route['prefix']}"} for route in document["routes"]
    ]
    tenants = [
        {**tenant, "api_keys": sorted(map(_digest, tenant["api_keys"]))}
        for tenant in document["tenants"]
    ]
    return {
        "limits": [{"name": "limits", **document["limits"]}],
        "routes": routes,
        "services": document["services"],
        "tenants": tenants,
        "version": [{"name": "version", "value": document["version"]}],
    }


def check_version(new: bytes, in_force: bytes) -> Iterator[Finding]:
    """Warn if a configuration does not have a higher version than the one in force."""
    version, current = read_document(new).version, read_document(in_force).version
    if version <= current:
        yield _warning(
            "version",
            f"version {version} is not higher than {current}, the one in force",
            f"use a version above {current}",
        )


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()[:12]


def _finding(place: str, message: str, remedy: str, severity: Severity) -> Finding:
    return Finding(CONFIGURATION_KEY, place, message, remedy, severity)


def _error(place: str, message: str, remedy: str) -> Finding:
    return _finding(place, message, remedy, Severity.ERROR)


def _warning(place: str, message: str, remedy: str) -> Finding:
    return _finding(place, message, remedy, Severity.WARNING)


@dataclass(frozen=True, slots=True)
class _Checks:
    """Checks between the entries of a configuration whose fields are valid."""

    document: Configuration

    def duplicates(self) -> Iterator[Finding]:
        """Find entries that another one hides, so that they never match."""
        document = self.document
        yield from _hidden(
            (f"routes.{n}", f"{route.host.lower()}{route.prefix}", "host and prefix")
            for n, route in enumerate(document.routes)
        )
        yield from _hidden(
            (f"services.{n}", service.name, "name") for n, service in enumerate(document.services)
        )
        yield from _hidden(
            (f"tenants.{n}", tenant.name, "name") for n, tenant in enumerate(document.tenants)
        )
        places_by_key: dict[str, str] = {}
        for number, tenant in enumerate(document.tenants):
            for index, key in enumerate(tenant.api_keys):
                place = f"tenants.{number}.api_keys.{index}"
                first = places_by_key.setdefault(key, place)
                if first != place:
                    message = f"is the same key as {first}, so that one of them never matches"
                    yield _error(place, message, "give each tenant keys of its own")

    def references(self) -> Iterator[Finding]:
        """Find services without a route, and routes whose service is not described."""
        known = {service.name for service in self.document.services}
        used: set[str] = set()
        for number, route in enumerate(self.document.routes):
            place = f"routes.{number}"
            targets = _services(route)
            if route.service and route.service not in targets:
                message = f"{route.service!r} gets no request, as the route has a split"
                yield _warning(f"{place}.service", message, "name it in the split, or remove it")
            for index, share in enumerate(route.split):
                if share.weight == 0:
                    message = f"{share.service!r} has weight 0 and gets no request"
                    remedy = "remove it or give it a weight"
                    yield _warning(f"{place}.split.{index}.weight", message, remedy)
            used |= targets
            if targets == {""}:
                yield _error(place, "names no service", "add the field service or split")
                continue
            for name in sorted(targets - known):
                message = f"names the service {name!r}, which is not among the services"
                yield _warning(place, message, "add it to the services, or correct its name")
        for number, service in enumerate(self.document.services):
            if service.name not in used:
                message = f"no route leads to {service.name!r}"
                yield _warning(f"services.{number}", message, "add a route, or remove the service")

    def regions(self) -> Iterator[Finding]:
        """Find tenants whose requests on a route may run in no region."""
        for number, tenant in enumerate(self.document.tenants):
            for route in self.document.routes:
                both = (set(tenant.home_regions), set(route.home_regions))
                if all(both) and both[0].isdisjoint(both[1]):
                    label = route.name or f"{route.host}{route.prefix}"
                    yield _warning(
                        f"tenants.{number}.home_regions",
                        f"has no region in common with route {label!r}, which refuses it always",
                        "add a region to one of them, if the tenant is to use the route",
                    )

    def routes(self) -> Iterator[Finding]:
        """Find fields of routes that contradict each other."""
        engines = {service.name for service in self.document.services if service.engine}
        known = {service.name for service in self.document.services}
        for number, route in enumerate(self.document.routes):
            place = f"routes.{number}"
            for name in ("target_latency_ms", "gap_target_ms"):
                target_ms = getattr(route, name)
                if target_ms >= route.timeout_ms:
                    message = f"{target_ms:g} cannot be missed before timeout_ms ends the request"
                    yield _warning(
                        f"{place}.{name}", message, f"use less than {route.timeout_ms:g}"
                    )
            if route.kind != "streaming":
                for name in ("gap_target_ms", "resumable"):
                    if getattr(route, name):
                        message = f"applies to streams, but the kind is {route.kind!r}"
                        yield _warning(f"{place}.{name}", message, "remove it, or correct the kind")
            targets = _services(route)
            if route.session_affinity and targets <= known and targets.isdisjoint(engines):
                message = f"sends prompts to {', '.join(sorted(targets))}, without an engine"
                remedy = "describe its engine, or remove session_affinity"
                yield _warning(f"{place}.session_affinity", message, remedy)

    def services(self) -> Iterator[Finding]:
        """Find limits of services that contradict each other."""
        for number, service in enumerate(self.document.services):
            place = f"services.{number}"
            if service.cold_per_s and not service.cold_start_s:
                message = "never applies, as cold_start_s is 0"
                yield _warning(f"{place}.cold_per_s", message, "set cold_start_s, or remove it")
            if service.scaling is not None and service.scaling.minimum > service.scaling.maximum:
                message = "is above the maximum, which is raised to it"
                yield _warning(f"{place}.scaling.minimum", message, "use at most the maximum")
            if service.engine is not None and 0 < service.connection_limit < service.engine.slots:
                message = "allows fewer requests than the engine has slots"
                remedy = f"use at least {service.engine.slots}"
                yield _warning(f"{place}.connection_limit", message, remedy)

    def tenants(self) -> Iterator[Finding]:
        """Find tenants that no request belongs to, or whose allowance admits none."""
        for number, tenant in enumerate(self.document.tenants):
            place = f"tenants.{number}"
            if not tenant.api_keys:
                yield _warning(place, "has no key, so no request belongs to it", "add a key")
            cost = tenant.plain_tokens if tenant.unit == "tokens" else 1
            if tenant.rate_per_s and tenant.burst < cost:
                message = f"admits no request that costs {cost}"
                yield _warning(f"{place}.burst", message, f"use at least {cost}")
            if tenant.burst and not tenant.rate_per_s:
                message = "has no effect, as rate_per_s is 0 and sets no limit"
                yield _warning(f"{place}.burst", message, "set rate_per_s, or remove it")


def _services(route: RouteEntry) -> set[str]:
    """Return the services that get requests of a route."""
    return {share.service for share in route.split if share.weight > 0} or {route.service}


def _hidden(entries: Iterator[tuple[str, str, str]]) -> Iterator[Finding]:
    """Yield an error for each entry whose value an earlier one has."""
    places_by_value: dict[str, str] = {}
    for place, value, field in entries:
        first = places_by_value.setdefault(value, place)
        if first != place:
            message = f"has the {field} {value!r} of {first}, so that one of them never matches"
            yield _error(place, message, "remove one of the entries")
