"""Differences between two documents, by entry and field."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

ID_FIELDS = ("id", "name", "organisation", "service", "model")


@dataclass(frozen=True, slots=True)
class Difference:
    """One added, removed or changed entry."""

    kind: str
    """``added``, ``removed`` or ``changed``."""
    collection: str
    id: str
    detail: str = ""
    """Changed fields with their values before and after."""

    def to_json(self) -> dict[str, str]:
        """Return the difference as JSON."""
        return {
            "kind": self.kind,
            "collection": self.collection,
            "id": self.id,
            "detail": self.detail,
        }


def differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[Difference]:
    """Return the differences of all collections, in the order of collections and ids."""
    for collection in sorted({*old, *new}):
        before = _by_id(old.get(collection, ()))
        after = _by_id(new.get(collection, ()))
        for name in sorted({*before, *after}):
            if name not in before:
                yield Difference("added", collection, name)
            elif name not in after:
                yield Difference("removed", collection, name)
            elif before[name] != after[name]:
                detail = "; ".join(_fields(before[name], after[name]))
                yield Difference("changed", collection, name, detail)


def _by_id(rows: Any) -> dict[str, Mapping[str, Any]]:  # noqa: ANN401 - JSON
    return {next(row[field] for field in ID_FIELDS if field in row): row for row in rows}


def _fields(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[str]:
    for field in sorted({*before, *after}):
        if before.get(field) != after.get(field):
            yield f"{field}: {before.get(field, '-')} -> {after.get(field, '-')}"
