"""Consistency checks between the entries of both documents."""

import ipaddress
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from urllib.parse import urlsplit

from .._entities import EndpointKind
from .._finding import DocumentFile, Finding, Severity
from ._documents import (
    AllowanceItem,
    EndpointItem,
    ModelItem,
    OpenRouteItem,
    OrganisationItem,
    RegionItem,
    RolloutItem,
    ServiceItem,
    VmItem,
)
from ._parse import ParsedDocument

MIN_BURST_TOKENS = 2048
"""Smallest allowed burst: the tokens of a request's prompt and output are reserved together, so a
smaller burst would reject an ordinary request even if the organisation is idle."""

_INVENTORY = DocumentFile.INVENTORY
_RULES = DocumentFile.RULES


@dataclass(frozen=True, slots=True)
class CrossChecks:
    """Runs the consistency checks on both parsed documents."""

    inventory: ParsedDocument
    rules: ParsedDocument

    def findings(self) -> tuple[Finding, ...]:
        """Run all checks and return their findings."""
        checks: tuple[Callable[[], Iterator[Finding]], ...] = (
            self._check_duplicates,
            self._check_addresses,
            self._check_locations,
            self._check_endpoints,
            self._check_unserved,
            self._check_allowances,
            self._check_open_routes,
            self._check_rollouts,
        )
        return tuple(finding for check in checks for finding in check())

    def _check_duplicates(self) -> Iterator[Finding]:
        inventory, rules = self.inventory, self.rules
        vms, endpoints = inventory.items(VmItem), inventory.items(EndpointItem)
        regions, models = inventory.items(RegionItem), inventory.items(ModelItem)
        yield from _find_duplicates(_INVENTORY, ((f"{p}.name", r.name) for p, r in regions))
        zones = [(f"{p}.zones[{i}]", z) for p, r in regions for i, z in enumerate(r.zones)]
        yield from _find_duplicates(_INVENTORY, zones)
        yield from _find_duplicates(_INVENTORY, ((f"{p}.id", vm.id) for p, vm in vms))
        yield from _find_duplicates(_INVENTORY, ((f"{p}.name", m.name) for p, m in models))
        for place, model in models:
            versions = ((f"{place}.versions[{i}]", v) for i, v in enumerate(model.versions))
            yield from _find_duplicates(_INVENTORY, versions)
        yield from _find_duplicates(_INVENTORY, ((f"{p}.id", e.id) for p, e in endpoints))
        services = inventory.items(ServiceItem)
        yield from _find_duplicates(_INVENTORY, ((f"{p}.name", s.name) for p, s in services))
        organisations = inventory.items(OrganisationItem)
        yield from _find_duplicates(_INVENTORY, ((f"{p}.id", o.id) for p, o in organisations))
        addresses = [(f"{p}.url", vm.url) for p, vm in vms]
        addresses += [(f"{p}.peer_url", vm.peer_url) for p, vm in vms]
        addresses += [(f"{p}.url", e.url) for p, e in endpoints]
        authorities = [(p, _url_authority(url)) for p, url in addresses]
        yield from _find_duplicates(_INVENTORY, authorities)
        allowances = rules.items(AllowanceItem)
        yield from _find_duplicates(
            _RULES, ((f"{p}.organisation", a.organisation) for p, a in allowances)
        )
        routes = rules.items(OpenRouteItem)
        yield from _find_duplicates(_RULES, ((f"{p}.service", r.service) for p, r in routes))
        rollouts = rules.items(RolloutItem)
        yield from _find_duplicates(_RULES, ((f"{p}.model", r.model) for p, r in rollouts))

    def _check_addresses(self) -> Iterator[Finding]:
        for place, vm in self.inventory.items(VmItem):
            yield from _check_url(f"{place}.url", vm.url, "http")
            yield from _check_url(f"{place}.peer_url", vm.peer_url, "ws")
        for place, endpoint in self.inventory.items(EndpointItem):
            yield from _check_url(f"{place}.url", endpoint.url, "http")

    def _check_locations(self) -> Iterator[Finding]:
        known = self.inventory.names("regions", RegionItem)
        zones_by_region = {r.name: r.zones for _, r in self.inventory.items(RegionItem)}
        located: list[tuple[str, VmItem | EndpointItem]] = [
            *self.inventory.items(VmItem),
            *self.inventory.items(EndpointItem),
        ]
        for place, item in located:
            if item.region not in known:
                yield _unknown_reference(_INVENTORY, f"{place}.region", "region", item.region)
            elif item.zone not in zones_by_region.get(item.region, [item.zone]):
                yield Finding(
                    _INVENTORY,
                    f"{place}.zone",
                    f"zone {item.zone!r} is not a zone of region {item.region!r}",
                    f"use one of: {', '.join(zones_by_region[item.region])}",
                )

    def _check_endpoints(self) -> Iterator[Finding]:
        services = self.inventory.names("services", ServiceItem)
        models = self.inventory.names("models", ModelItem)
        versions_by_model = {m.name: m.versions for _, m in self.inventory.items(ModelItem)}
        for place, endpoint in self.inventory.items(EndpointItem):
            if endpoint.kind is EndpointKind.ENGINE:
                yield from _check_engine(place, endpoint, models, versions_by_model)
            elif endpoint.service is None:
                yield Finding(
                    _INVENTORY,
                    f"{place}.service",
                    "an endpoint of kind 'service' must name a service",
                    "add the field service",
                )
            elif endpoint.service not in services:
                yield _unknown_reference(
                    _INVENTORY, f"{place}.service", "service", endpoint.service
                )
            if endpoint.kind is EndpointKind.SERVICE and endpoint.versions:
                yield Finding(
                    _INVENTORY,
                    f"{place}.versions",
                    "an endpoint of kind 'service' cannot serve model versions",
                    "remove the field or set kind to 'engine'",
                )

    def _check_unserved(self) -> Iterator[Finding]:
        # An invalid entry might serve what seems unserved, so its fault has to be corrected first.
        if self.inventory.findings:
            return
        vms, endpoints = self.inventory.items(VmItem), self.inventory.items(EndpointItem)
        if not vms:
            yield Finding(_INVENTORY, "vms", "there is no entry VM", "add a [[vms]] table")
        regions_with_vm = {vm.region for _, vm in vms}
        for place, region in self.inventory.items(RegionItem):
            if region.name not in regions_with_vm:
                yield _warning(
                    place, f"region {region.name!r} has no entry VM", "add an entry VM there"
                )
        served_models = {model for _, e in endpoints for model in e.versions}
        for place, model in self.inventory.items(ModelItem):
            if model.name not in served_models:
                yield _warning(place, f"no endpoint serves model {model.name!r}", "add an endpoint")
        served = {e.service for _, e in endpoints}
        for place, service in self.inventory.items(ServiceItem):
            if service.name not in served:
                yield _warning(
                    place, f"service {service.name!r} has no endpoint", "add an endpoint"
                )

    def _check_allowances(self) -> Iterator[Finding]:
        organisations = self.inventory.names("organisations", OrganisationItem)
        regions = self.inventory.names("regions", RegionItem)
        allowances = self.rules.items(AllowanceItem)
        for place, allowance in allowances:
            if allowance.organisation not in organisations:
                where = f"{place}.organisation"
                yield _unknown_reference(_RULES, where, "organisation", allowance.organisation)
            for index, region in enumerate(allowance.residency or ()):
                if region not in regions:
                    yield _unknown_reference(
                        _RULES, f"{place}.residency[{index}]", "region", region
                    )
            if allowance.burst_tokens < MIN_BURST_TOKENS:
                yield Finding(
                    _RULES,
                    f"{place}.burst_tokens",
                    f"a burst of {allowance.burst_tokens:g} tokens is too small for one request",
                    f"set it to at least {MIN_BURST_TOKENS}",
                )
        yield from self._check_missing_allowances({a.organisation for _, a in allowances})

    def _check_missing_allowances(self, allowed: set[str]) -> Iterator[Finding]:
        # The organisation that an invalid allowance was meant for is not known for certain.
        if any(finding.place.startswith("allowances") for finding in self.rules.findings):
            return
        for place, organisation in self.inventory.items(OrganisationItem):
            if organisation.id not in allowed:
                yield Finding(
                    _INVENTORY,
                    place,
                    f"organisation {organisation.id!r} has no allowance",
                    "add an [[allowances]] table to rules.toml",
                )

    def _check_open_routes(self) -> Iterator[Finding]:
        methods_by_service = {
            s.name: s.idempotent_methods for _, s in self.inventory.items(ServiceItem)
        }
        known = self.inventory.names("services", ServiceItem)
        for place, route in self.rules.items(OpenRouteItem):
            if route.service not in known:
                yield _unknown_reference(_RULES, f"{place}.service", "service", route.service)
                continue
            idempotent = methods_by_service.get(route.service, route.methods)
            for index, method in enumerate(route.methods):
                if method not in idempotent:
                    yield Finding(
                        _RULES,
                        f"{place}.methods[{index}]",
                        f"{method} of service {route.service!r} is not idempotent",
                        "open only idempotent methods",
                    )

    def _check_rollouts(self) -> Iterator[Finding]:
        known = self.inventory.names("models", ModelItem)
        versions = {m.name: m.versions for _, m in self.inventory.items(ModelItem)}
        for place, plan in self.rules.items(RolloutItem):
            if plan.model not in known:
                yield _unknown_reference(_RULES, f"{place}.model", "model", plan.model)
            for name, version in (("old", plan.old), ("new", plan.new)):
                if version not in versions.get(plan.model, [version]):
                    where = f"{place}.{name}"
                    yield _unknown_reference(_RULES, where, f"version of {plan.model}", version)
            yield from _check_plan(place, plan)


def _check_engine(
    place: str,
    endpoint: EndpointItem,
    models: set[str],
    versions_by_model: dict[str, list[str]],
) -> Iterator[Finding]:
    if endpoint.service is not None:
        yield Finding(
            _INVENTORY,
            f"{place}.service",
            "an engine cannot belong to a service",
            "remove the field or set kind to 'service'",
        )
    if not any(endpoint.versions.values()):
        yield Finding(
            _INVENTORY,
            f"{place}.versions",
            "an engine must serve at least one model version",
            'add versions, for example { advisor = ["v1"] }',
        )
    for model, versions in endpoint.versions.items():
        if model not in models:
            yield _unknown_reference(_INVENTORY, f"{place}.versions.{model}", "model", model)
            continue
        for index, version in enumerate(versions):
            if version not in versions_by_model.get(model, [version]):
                where = f"{place}.versions.{model}[{index}]"
                yield _unknown_reference(_INVENTORY, where, f"version of {model}", version)


def _check_plan(place: str, plan: RolloutItem) -> Iterator[Finding]:
    def finding(where: str, message: str, remedy: str) -> Finding:
        return Finding(_RULES, f"{place}.{where}", message, remedy)

    if plan.old == plan.new:
        yield finding("new", "old and new version are the same", "name two different versions")
    if plan.deadline <= plan.start:
        yield finding("deadline", "the deadline is not after the start", "move the deadline")
    if plan.steps[0].at < plan.start:
        yield finding("steps[0].at", "the step is before the start", "move the step or the start")
    for index, (earlier, later) in enumerate(zip(plan.steps, plan.steps[1:], strict=False), 1):
        if later.at <= earlier.at:
            yield finding(
                f"steps[{index}].at",
                "the step is not after the previous step",
                "sort the steps by time",
            )
        if later.share < earlier.share:
            yield finding(
                f"steps[{index}].share",
                "the share decreases",
                "use shares that do not decrease from step to step",
            )
    last = f"steps[{len(plan.steps) - 1}]"
    if plan.steps[-1].share != 1:
        yield finding(
            f"{last}.share",
            "the last step does not reach share 1",
            "set the share of the last step to 1.0",
        )
    if plan.steps[-1].at > plan.deadline:
        yield finding(
            f"{last}.at", "the last step is after the deadline", "move the step or the deadline"
        )


def _url_authority(url: str) -> str:
    """Return the address and port of a URL, or the whole text if it cannot be parsed."""
    try:
        return urlsplit(url).netloc or url
    except ValueError:
        return url


def _check_url(place: str, url: str, scheme: str) -> Iterator[Finding]:
    try:
        parts = urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        port = None
    else:
        plain = not (parts.path or parts.query or parts.fragment or "@" in parts.netloc)
        port = port if plain and parts.scheme == scheme else None
    if not port:
        yield Finding(
            _INVENTORY,
            place,
            f"{url!r} is not of the form {scheme}://ADDRESS:PORT",
            "write a literal IP address and a port, without path",
        )


def _find_duplicates(file: str, places: Iterable[tuple[str, str]]) -> Iterator[Finding]:
    first_by_value: dict[str, str] = {}
    for place, value in places:
        first = first_by_value.setdefault(value, place)
        if first != place:
            yield Finding(
                file,
                place,
                f"{value!r} is already used at {first}",
                "remove one of the two or change the value",
            )


def _unknown_reference(file: str, place: str, what: str, name: str) -> Finding:
    return Finding(
        file, place, f"unknown {what} {name!r}", "correct the name or add it to inventory.toml"
    )


def _warning(place: str, message: str, remedy: str) -> Finding:
    return Finding(_INVENTORY, place, message, remedy, Severity.WARNING)
