"""Parse one document, entry by entry, so that one bad entry hides no other finding."""

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

_REMEDIES_BY_TYPE = {
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
    """Valid entries of a document with their places, and the findings on the others."""

    items_by_place: dict[str, DocumentItem] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()
    rejected_names: frozenset[tuple[str, str]] = frozenset()
    """Collection and name of bad entries: a reference to one of them is no second fault."""

    def items(self, item_type: type[ItemT]) -> list[tuple[str, ItemT]]:
        """Return places and entries of one type."""
        return [
            (place, item)
            for place, item in self.items_by_place.items()
            if isinstance(item, item_type)
        ]

    def names(self, collection: str, item_type: type[DocumentItem]) -> set[str]:
        """Return the names of a collection, those of bad entries included."""
        valid = {_name_of(item.model_dump()) for _, item in self.items(item_type)}
        rejected = {name for owner, name in self.rejected_names if owner == collection}
        return {name for name in valid if name is not None} | rejected


def parse_document(
    document: object, file: str, collections: Mapping[str, type[DocumentItem]]
) -> ParsedDocument:
    """Validate every entry of a document; this function never raises for bad input."""
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
                findings += [_finding_of(file, place, detail) for detail in error.errors()]
                name = _name_of(row)
                if name is not None:
                    rejected.add((collection, name))
    return ParsedDocument(items, tuple(findings), frozenset(rejected))


def _finding_of(file: str, place: str, detail: ErrorDetails) -> Finding:
    remedy = _REMEDIES_BY_TYPE.get(detail["type"], "correct the value")
    return Finding(file, place + _path(detail["loc"]), detail["msg"], remedy)


def _path(location: tuple[int | str, ...]) -> str:
    parts = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in location)
    return "".join(part for part in parts if part != ".[key]")


def _name_of(row: object) -> str | None:
    if not isinstance(row, Mapping):
        return None
    for name_field in _NAME_FIELDS:
        value = row.get(name_field)
        if isinstance(value, str):
            return value
    return None
