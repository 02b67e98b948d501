"""TOML output of the documents, for operators to edit."""

import json
import re
from collections.abc import Iterator, Mapping
from typing import Any

DATETIME_FIELDS = frozenset({"at", "start", "deadline"})
"""Fields that are strings in JSON and date-times in TOML."""

_REVISION = re.compile(r"^# revision: (\d+)$", re.MULTILINE)


def to_toml(document: Mapping[str, Any], revision: int) -> str:
    """Return a document as TOML, with the revision it was read at in the first line."""
    lines = [f"# revision: {revision}", "", *_table_lines(document, "")]
    return "\n".join(lines).rstrip() + "\n"


def _table_lines(document: Mapping[str, Any], prefix: str) -> Iterator[str]:
    for name, rows in document.items():
        for row in rows:
            yield f"[[{prefix}{name}]]"
            nested = {field: value for field, value in row.items() if _is_array_of_tables(value)}
            for field, value in row.items():
                if field not in nested:
                    yield f"{field} = {_toml_value(field, value)}"
            yield ""
            yield from _table_lines(nested, f"{prefix}{name}.")


def _is_array_of_tables(value: object) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def _toml_value(field: str, value: object) -> str:
    if field in DATETIME_FIELDS and isinstance(value, str):
        return value
    if isinstance(value, Mapping):
        entries = (
            f"{json.dumps(name)} = {_toml_value('', entry)}" for name, entry in value.items()
        )
        return "{ " + ", ".join(entries) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_toml_value("", entry) for entry in value) + "]"
    return json.dumps(value)


def parse_revision(text: str) -> int | None:
    """Return the revision in the line `# revision: N`, or ``None`` without such a line."""
    match = _REVISION.search(text)
    return int(match.group(1)) if match else None


def replace_revision(text: str, revision: int) -> str:
    """Return the text with another revision in its line `# revision: N`, if it has one."""
    return _REVISION.sub(f"# revision: {revision}", text, count=1)
