"""Command output: tables for people, JSON for programs."""

import json
from collections.abc import Iterable, Mapping, Sequence

import click

from ..configuration import Finding


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(columns: Sequence[str], rows: Iterable[Mapping[str, object]]) -> None:
    """Print rows as a table with a header of column names."""
    cells = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(text) for text in texts) for texts in zip(columns, *cells, strict=True)]
    for line in ([column.upper() for column in columns], *cells):
        padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        click.echo("  ".join(padded).rstrip())


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        separator = "; " if _is_table(value) else ", "
        return separator.join(_format_cell(entry) for entry in value) or "-"
    if isinstance(value, Mapping):
        return " ".join(f"{name}={_format_cell(entry)}" for name, entry in value.items()) or "-"
    return str(value)


def print_findings(findings: Iterable[Finding], as_json: bool) -> None:
    """Print findings as JSON, or as text with the remedy on a line below each finding."""
    if as_json:
        print_json({"findings": [finding.to_json() for finding in findings]})
        return
    for finding in findings:
        line = f":{finding.line}" if finding.line is not None else ""
        place = f" {finding.place}:" if finding.place else ""
        click.echo(f"{finding.file}{line}: {finding.severity}:{place} {finding.message}")
        click.echo(f"    remedy: {finding.remedy}")


def print_document(document: Mapping[str, object], prefix: str = "") -> None:
    """Print a JSON object: plain values first, then lists of objects as tables."""
    plain = {name: value for name, value in document.items() if not _is_table(value)}
    for name, value in plain.items():
        if isinstance(value, Mapping):
            print_document(value, f"{prefix}{name}.")
        else:
            click.echo(f"{prefix}{name}: {_format_cell(value)}")
    for name, value in document.items():
        if isinstance(value, list) and _is_table(value):
            click.echo(f"\n{prefix}{name}:")
            columns = list(dict.fromkeys(column for row in value for column in row))
            print_table(columns, value)


def _is_table(value: object) -> bool:
    is_rows = isinstance(value, list) and all(isinstance(row, Mapping) for row in value)
    return is_rows and bool(value)
