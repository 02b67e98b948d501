"""Parsing of a document entry by entry, so that an invalid entry does not hide other findings."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeVar

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from .._finding import Finding
from ._documents import (
    AllowanceItem,
    DocumentItem,
    EndpointItem,
    ModelItem,
    OpenRouteItem,
    OrganisationItem,
    RegionItem,
    RolloutItem,
    ServiceItem,
    VmItem,
)

ItemT = TypeVar("ItemT", bound=DocumentItem)

INVENTORY_COLLECTIONS: Mapping[str, type[DocumentItem]] = MappingProxyType(
    {
        "regions": RegionItem,
        "vms": VmItem,
        "models": ModelItem,
        "endpoints": EndpointItem,
        "services": ServiceItem,
        "organisations": OrganisationItem,
    }
)
RULES_COLLECTIONS: Mapping[str, type[DocumentItem]] = MappingProxyType(
    {"allowances": AllowanceItem, "open_routes": OpenRouteItem, "rollouts": RolloutItem}
)

_REMEDIES_BY_ERROR_TYPE = {
    "missing": "add the field",
    "extra_forbidden": "remove the field or correct its spelling",
    "string_pattern_mismatch": "use lower-case letters, digits, '-' and '.' "
    "(for methods, an upper-case HTTP method)",
    "timezone_aware": "add an offset, for example 2027-01-31T08:00:00Z",
    "too_short": "list at least one entry or remove the field",
}
_NAME_FIELDS = ("id", "name")


@dataclass(frozen=True, slots=True)
class ParsedDocument:
    """The valid entries of a document by place, and the findings about the invalid ones."""

    items_by_place: dict[str, DocumentItem] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()
    rejected_names: frozenset[tuple[str, str]] = frozenset()
    """Collection and name of invalid entries; references to them are not reported as well."""

    def items(self, item_type: type[ItemT]) -> list[tuple[str, ItemT]]:
        """Return the valid entries of a type with their places."""
        return [
            (place, item)
            for place, item in self.items_by_place.items()
            if isinstance(item, item_type)
        ]

    def names(self, collection: str, item_type: type[DocumentItem]) -> set[str]:
        """Return the names in a collection, including those of invalid entries."""
        valid = {_get_name(item.model_dump()) for _, item in self.items(item_type)}
        rejected = {
            name
            for owning_collection, name in self.rejected_names
            if owning_collection == collection
        }
        return {name for name in valid if name is not None} | rejected


def parse_document(
    document: object, file: str, collections: Mapping[str, type[DocumentItem]]
) -> ParsedDocument:
    """Validate every entry of a document; invalid input never raises, but gives findings."""
    if not isinstance(document, Mapping):
        finding = Finding(file, "", "the document is not a table", "write a table of entries")
        return ParsedDocument(findings=(finding,))
    findings = [
        Finding(
            file,
            str(name),
            f"unknown table {str(name)!r}",
            f"use one of: {', '.join(collections)}",
        )
        for name in document
        if name not in collections
    ]
    items: dict[str, DocumentItem] = {}
    rejected: set[tuple[str, str]] = set()
    for collection, item_type in collections.items():
        rows = document.get(collection, [])
        if not isinstance(rows, list):
            findings.append(
                Finding(file, collection, "not a list of tables", f"write [[{collection}]]")
            )
            continue
        for index, row in enumerate(rows):
            place = f"{collection}[{index}]"
            try:
                items[place] = item_type.model_validate(row)
            except ValidationError as error:
                findings += [_to_finding(file, place, detail) for detail in error.errors()]
                name = _get_name(row)
                if name is not None:
                    rejected.add((collection, name))
    return ParsedDocument(items, tuple(findings), frozenset(rejected))


def _to_finding(file: str, place: str, detail: ErrorDetails) -> Finding:
    remedy = _REMEDIES_BY_ERROR_TYPE.get(detail["type"], "correct the value")
    return Finding(file, place + _format_location(detail["loc"]), detail["msg"], remedy)


def _format_location(location: tuple[int | str, ...]) -> str:
    parts = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in location)
    return "".join(part for part in parts if part != ".[key]")


def _get_name(row: object) -> str | None:
    if not isinstance(row, Mapping):
        return None
    for name_field in _NAME_FIELDS:
        value = row.get(name_field)
        if isinstance(value, str):
            return value
    return None
