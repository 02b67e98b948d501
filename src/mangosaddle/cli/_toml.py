"""Write the documents as TOML, for operators to edit."""

import json
import re
from collections.abc import Iterator, Mapping
from typing import Any

MOMENT_FIELDS = frozenset({"at", "start", "deadline"})
"""Fields that JSON carries as text and TOML as date-times."""

_REVISION = re.compile(r"^# revision: (\d+)$", re.MULTILINE)


def to_toml(document: Mapping[str, Any], revision: int) -> str:
    """Return a document as TOML text that states the revision it was read at."""
    lines = [f"# revision: {revision}", "", *_tables(document, "")]
    return "\n".join(lines).rstrip() + "\n"


def _tables(document: Mapping[str, Any], prefix: str) -> Iterator[str]:
    for name, rows in document.items():
        for row in rows:
            yield f"[[{prefix}{name}]]"
            nested = {field: value for field, value in row.items() if _is_tables(value)}
            for field, value in row.items():
                if field not in nested:
                    yield f"{field} = {_value(field, value)}"
            yield ""
            yield from _tables(nested, f"{prefix}{name}.")


def _is_tables(value: object) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def _value(field: str, value: object) -> str:
    if field in MOMENT_FIELDS and isinstance(value, str):
        return value
    if isinstance(value, Mapping):
        entries = (f"{json.dumps(name)} = {_value('', entry)}" for name, entry in value.items())
        return "{ " + ", ".join(entries) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_value("", entry) for entry in value) + "]"
    return json.dumps(value)


def revision_of(text: str) -> int | None:
    """Return the revision that a document states, ``None`` without one."""
    match = _REVISION.search(text)
    return int(match.group(1)) if match else None


def with_revision(text: str, revision: int) -> str:
    """Return a document whose line of the revision, if it has one, states another revision."""
    return _REVISION.sub(f"# revision: {revision}", text, count=1)
