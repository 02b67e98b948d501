"""Differences between two documents, per entry and field."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

ID_FIELDS = ("id", "name", "organisation", "service", "model")


@dataclass(frozen=True, slots=True)
class Difference:
    """An added, removed or changed entry."""

    kind: str
    """``added``, ``removed`` or ``changed``."""
    collection: str
    id: str
    detail: str = ""
    """Changed fields with their old and new values."""

    def to_json(self) -> dict[str, str]:
        """Return the difference as a JSON object."""
        return {
            "kind": self.kind,
            "collection": self.collection,
            "id": self.id,
            "detail": self.detail,
        }


def iter_differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[Difference]:
    """Yield the differences in all collections, sorted by collection and id."""
    for collection in sorted({*old, *new}):
        before = _rows_by_id(old.get(collection, ()))
        after = _rows_by_id(new.get(collection, ()))
        for name in sorted({*before, *after}):
            if name not in before:
                yield Difference("added", collection, name)
            elif name not in after:
                yield Difference("removed", collection, name)
            elif before[name] != after[name]:
                detail = "; ".join(_changed_fields(before[name], after[name]))
                yield Difference("changed", collection, name, detail)


def _rows_by_id(rows: Any) -> dict[str, Mapping[str, Any]]:  # noqa: ANN401 - JSON
    return {next(row[field] for field in ID_FIELDS if field in row): row for row in rows}


def _changed_fields(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[str]:
    for field in sorted({*before, *after}):
        if before.get(field) != after.get(field):
            yield f"{field}: {before.get(field, '-')} -> {after.get(field, '-')}"
