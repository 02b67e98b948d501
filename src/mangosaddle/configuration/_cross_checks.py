"""Checks across the entries of both documents."""

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
"""Smallest burst: prompt and output of one ordinary request are reserved together, so that a
smaller burst refuses even the first request of an idle organisation."""

_INVENTORY = DocumentFile.INVENTORY
_RULES = DocumentFile.RULES


@dataclass(frozen=True, slots=True)
class CrossChecks:
    """Both parsed documents; `findings` runs all checks between their entries."""

    inventory: ParsedDocument
    rules: ParsedDocument

    def findings(self) -> tuple[Finding, ...]:
        """Return the findings of all checks in the order of the documents."""
        checks: tuple[Callable[[], Iterator[Finding]], ...] = (
            self._duplicates,
            self._addresses,
            self._locations,
            self._endpoints,
            self._unserved,
            self._allowances,
            self._open_routes,
            self._rollouts,
        )
        return tuple(finding for check in checks for finding in check())

    def _duplicates(self) -> Iterator[Finding]:
        inventory, rules = self.inventory, self.rules
        vms, endpoints = inventory.items(VmItem), inventory.items(EndpointItem)
        regions, models = inventory.items(RegionItem), inventory.items(ModelItem)
        yield from _repeated(_INVENTORY, ((f"{p}.name", r.name) for p, r in regions))
        zones = [(f"{p}.zones[{i}]", z) for p, r in regions for i, z in enumerate(r.zones)]
        yield from _repeated(_INVENTORY, zones)
        yield from _repeated(_INVENTORY, ((f"{p}.id", vm.id) for p, vm in vms))
        yield from _repeated(_INVENTORY, ((f"{p}.name", m.name) for p, m in models))
        for place, model in models:
            versions = ((f"{place}.versions[{i}]", v) for i, v in enumerate(model.versions))
            yield from _repeated(_INVENTORY, versions)
        yield from _repeated(_INVENTORY, ((f"{p}.id", e.id) for p, e in endpoints))
        services = inventory.items(ServiceItem)
        yield from _repeated(_INVENTORY, ((f"{p}.name", s.name) for p, s in services))
        organisations = inventory.items(OrganisationItem)
        yield from _repeated(_INVENTORY, ((f"{p}.id", o.id) for p, o in organisations))
        addresses = [(f"{p}.url", vm.url) for p, vm in vms]
        addresses += [(f"{p}.peer_url", vm.peer_url) for p, vm in vms]
        addresses += [(f"{p}.url", e.url) for p, e in endpoints]
        authorities = [(p, urlsplit_authority(url)) for p, url in addresses]
        yield from _repeated(_INVENTORY, authorities)
        allowances = rules.items(AllowanceItem)
        yield from _repeated(_RULES, ((f"{p}.organisation", a.organisation) for p, a in allowances))
        routes = rules.items(OpenRouteItem)
        yield from _repeated(_RULES, ((f"{p}.service", r.service) for p, r in routes))
        rollouts = rules.items(RolloutItem)
        yield from _repeated(_RULES, ((f"{p}.model", r.model) for p, r in rollouts))

    def _addresses(self) -> Iterator[Finding]:
        for place, vm in self.inventory.items(VmItem):
            yield from _bad_url(f"{place}.url", vm.url, "http")
            yield from _bad_url(f"{place}.peer_url", vm.peer_url, "ws")
        for place, endpoint in self.inventory.items(EndpointItem):
            yield from _bad_url(f"{place}.url", endpoint.url, "http")

    def _locations(self) -> Iterator[Finding]:
        known = self.inventory.names("regions", RegionItem)
        zones_by_region = {r.name: r.zones for _, r in self.inventory.items(RegionItem)}
        located: list[tuple[str, VmItem | EndpointItem]] = [
            *self.inventory.items(VmItem),
            *self.inventory.items(EndpointItem),
        ]
        for place, item in located:
            if item.region not in known:
                yield _unknown(_INVENTORY, f"{place}.region", "region", item.region)
            elif item.zone not in zones_by_region.get(item.region, [item.zone]):
                yield Finding(
                    _INVENTORY,
                    f"{place}.zone",
                    f"zone {item.zone!r} is not a zone of region {item.region!r}",
                    f"use one of: {', '.join(zones_by_region[item.region])}",
                )

    def _endpoints(self) -> Iterator[Finding]:
        services = self.inventory.names("services", ServiceItem)
        models = self.inventory.names("models", ModelItem)
        versions_by_model = {m.name: m.versions for _, m in self.inventory.items(ModelItem)}
        for place, endpoint in self.inventory.items(EndpointItem):
            if endpoint.kind is EndpointKind.ENGINE:
                yield from _bad_engine(place, endpoint, models, versions_by_model)
            elif endpoint.service is None:
                yield Finding(
                    _INVENTORY,
                    f"{place}.service",
                    "an endpoint of kind 'service' names no service",
                    "add the field service",
                )
            elif endpoint.service not in services:
                yield _unknown(_INVENTORY, f"{place}.service", "service", endpoint.service)
            if endpoint.kind is EndpointKind.SERVICE and endpoint.versions:
                yield Finding(
                    _INVENTORY,
                    f"{place}.versions",
                    "an endpoint of kind 'service' serves no model versions",
                    "remove the field or set kind to 'engine'",
                )

    def _unserved(self) -> Iterator[Finding]:
        # Bad entries might serve what seems unserved; their findings come first.
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

    def _allowances(self) -> Iterator[Finding]:
        organisations = self.inventory.names("organisations", OrganisationItem)
        regions = self.inventory.names("regions", RegionItem)
        allowances = self.rules.items(AllowanceItem)
        for place, allowance in allowances:
            if allowance.organisation not in organisations:
                where = f"{place}.organisation"
                yield _unknown(_RULES, where, "organisation", allowance.organisation)
            for index, region in enumerate(allowance.residency or ()):
                if region not in regions:
                    yield _unknown(_RULES, f"{place}.residency[{index}]", "region", region)
            if allowance.burst_tokens < MIN_BURST_TOKENS:
                yield Finding(
                    _RULES,
                    f"{place}.burst_tokens",
                    f"a burst of {allowance.burst_tokens:g} tokens is too small for one request",
                    f"set it to at least {MIN_BURST_TOKENS}",
                )
        yield from self._without_allowance({a.organisation for _, a in allowances})

    def _without_allowance(self, allowed: set[str]) -> Iterator[Finding]:
        # The row that a bad allowance was meant for is not known for certain.
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

    def _open_routes(self) -> Iterator[Finding]:
        methods_by_service = {
            s.name: s.idempotent_methods for _, s in self.inventory.items(ServiceItem)
        }
        known = self.inventory.names("services", ServiceItem)
        for place, route in self.rules.items(OpenRouteItem):
            if route.service not in known:
                yield _unknown(_RULES, f"{place}.service", "service", route.service)
                continue
            idempotent = methods_by_service.get(route.service, route.methods)
            for index, method in enumerate(route.methods):
                if method not in idempotent:
                    yield Finding(
                        _RULES,
                        f"{place}.methods[{index}]",
                        f"{method} of service {route.service!r} is not idempotent",
                        "open only methods that may be repeated",
                    )

    def _rollouts(self) -> Iterator[Finding]:
        known = self.inventory.names("models", ModelItem)
        versions = {m.name: m.versions for _, m in self.inventory.items(ModelItem)}
        for place, plan in self.rules.items(RolloutItem):
            if plan.model not in known:
                yield _unknown(_RULES, f"{place}.model", "model", plan.model)
            for name, version in (("old", plan.old), ("new", plan.new)):
                if version not in versions.get(plan.model, [version]):
                    where = f"{place}.{name}"
                    yield _unknown(_RULES, where, f"version of {plan.model}", version)
            yield from _bad_plan(place, plan)


def _bad_engine(
    place: str,
    endpoint: EndpointItem,
    models: set[str],
    versions_by_model: dict[str, list[str]],
) -> Iterator[Finding]:
    if endpoint.service is not None:
        yield Finding(
            _INVENTORY,
            f"{place}.service",
            "an engine belongs to no service",
            "remove the field or set kind to 'service'",
        )
    if not any(endpoint.versions.values()):
        yield Finding(
            _INVENTORY,
            f"{place}.versions",
            "an engine serves no model version",
            'add versions, for example { advisor = ["v1"] }',
        )
    for model, versions in endpoint.versions.items():
        if model not in models:
            yield _unknown(_INVENTORY, f"{place}.versions.{model}", "model", model)
            continue
        for index, version in enumerate(versions):
            if version not in versions_by_model.get(model, [version]):
                where = f"{place}.versions.{model}[{index}]"
                yield _unknown(_INVENTORY, where, f"version of {model}", version)


def _bad_plan(place: str, plan: RolloutItem) -> Iterator[Finding]:
    def finding(where: str, message: str, remedy: str) -> Finding:
        return Finding(_RULES, f"{place}.{where}", message, remedy)

    if plan.old == plan.new:
        yield finding("new", "old and new version are the same", "name another version")
    if plan.deadline <= plan.start:
        yield finding("deadline", "the deadline is not after the start", "move the deadline")
    if plan.steps[0].at < plan.start:
        yield finding("steps[0].at", "the step lies before the start", "move step or start")
    for index, (earlier, later) in enumerate(zip(plan.steps, plan.steps[1:], strict=False), 1):
        if later.at <= earlier.at:
            yield finding(
                f"steps[{index}].at", "the step is not after the one before", "order the steps"
            )
        if later.share < earlier.share:
            yield finding(
                f"steps[{index}].share", "the share falls", "let shares rise from step to step"
            )
    last = f"steps[{len(plan.steps) - 1}]"
    if plan.steps[-1].share != 1:
        yield finding(f"{last}.share", "the last step does not reach share 1", "end in 1.0")
    if plan.steps[-1].at > plan.deadline:
        yield finding(
            f"{last}.at", "the last step lies after the deadline", "move step or deadline"
        )


def urlsplit_authority(url: str) -> str:
    """Return the host and port of a URL; the whole text when it cannot be split."""
    try:
        return urlsplit(url).netloc or url
    except ValueError:
        return url


def _bad_url(place: str, url: str, scheme: str) -> Iterator[Finding]:
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


def _repeated(file: str, places: Iterable[tuple[str, str]]) -> Iterator[Finding]:
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


def _unknown(file: str, place: str, what: str, name: str) -> Finding:
    return Finding(
        file, place, f"unknown {what} {name!r}", "correct the name or add it to inventory.toml"
    )


def _warning(place: str, message: str, remedy: str) -> Finding:
    return Finding(_INVENTORY, place, message, remedy, Severity.WARNING)
