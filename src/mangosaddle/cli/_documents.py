"""Commands for the inventory and rules documents: lint, check, diff, apply and show."""

from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import click

from ..configuration import (
    DocumentFile,
    Finding,
    TomlSource,
    check_documents,
    has_errors,
    inventory_to_json,
    rules_to_json,
)
from ._admin_client import AdminClient, Json
from ._diff import iter_differences
from ._exceptions import ExitCode, FindingsError
from ._options import admin_options, json_option, option, print_findings_on_error
from ._output import print_document, print_findings, print_json, print_table
from ._toml import parse_revision, replace_revision, to_toml

TOML_PATH = click.Path(exists=True, dir_okay=False, readable=True, path_type=Path)
_FILES = {"inventory": DocumentFile.INVENTORY, "rules": DocumentFile.RULES}


@dataclass(frozen=True, slots=True)
class LocalDocuments:
    """Inventory and rules documents read from files."""

    paths_by_name: dict[str, Path]
    sources_by_name: dict[str, TomlSource]
    documents_by_name: dict[str, Json]

    @classmethod
    def from_paths(cls, paths_by_name: dict[str, Path | None]) -> "LocalDocuments":
        """Read the given files; raises `FindingsError` for invalid TOML."""
        given_paths = {name: path for name, path in paths_by_name.items() if path is not None}
        sources, documents = {}, {}
        findings: list[Finding] = []
        for name, path in given_paths.items():
            sources[name] = TomlSource.from_path(path, _FILES[name])
            document, syntax_findings = sources[name].parse()
            documents[name] = _datetimes_to_text(document)
            findings += syntax_findings
        if findings:
            raise FindingsError(tuple(findings))
        return cls(given_paths, sources, documents)

    def merged(self, current: Json) -> tuple[Json, Json]:
        """Return inventory and rules; a document without a file is taken from `current`."""
        merged = {**current, **self.documents_by_name}
        return merged.get("inventory", {}), merged.get("rules", {})

    def with_line_numbers(self, findings: tuple[Finding, ...]) -> tuple[Finding, ...]:
        """Add the line numbers in the files to the findings."""
        for source in self.sources_by_name.values():
            findings = tuple(source.locate(finding) for finding in findings)
        return findings

    def base_revision(self) -> int | None:
        """Return the lowest revision named in the files, or ``None`` if none names one."""
        revisions = [parse_revision(source.text) for source in self.sources_by_name.values()]
        return min((revision for revision in revisions if revision is not None), default=None)

    def update_revision_lines(self, revision: int) -> None:
        """Update the line `# revision: N` in the files that have one."""
        for name, source in self.sources_by_name.items():
            text = replace_revision(source.text, revision)
            if text == source.text:
                continue
            try:
                self.paths_by_name[name].write_text(text, encoding="utf-8")
            except OSError as error:
                click.echo(f"cannot update the line '# revision': {error}", err=True)


def _datetimes_to_text(value: Any) -> Any:  # noqa: ANN401 - JSON
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, dict):
        return {name: _datetimes_to_text(entry) for name, entry in value.items()}
    if isinstance(value, list):
        return [_datetimes_to_text(entry) for entry in value]
    # A date without a time, or the reverse, is not valid; as text it is reported as a finding.
    return value if isinstance(value, str | int | float) else str(value)


def document_group(name: str, other: str) -> click.Group:
    """Return the command group for one of the documents."""

    @click.group(name, help=f"Check, compare, apply and show {_FILES[name]}.")
    def group() -> None:
        """Group the commands of the document."""

    other_option = option(
        f"--{other}",
        "other_path",
        envvar=f"{other.upper()}_FILE",
        type=TOML_PATH,
        help=f"File {_FILES[other]} to use in the same edit; default: the current document.",
    )

    def read_documents(path: Path, other_path: Path | None) -> LocalDocuments:
        return LocalDocuments.from_paths({name: path, other: other_path})

    @group.command("lint")
    @click.argument("path", type=TOML_PATH)
    @click.argument("other_path", type=TOML_PATH)
    @json_option
    @print_findings_on_error
    def lint(path: Path, other_path: Path, as_json: bool) -> None:
        """Check both files without contacting an entry VM.

        Exit code 1 if there are errors.
        """
        documents = read_documents(path, other_path)
        findings = documents.with_line_numbers(check_documents(*documents.merged({})).findings)
        _report_findings(findings, as_json)

    @group.command("check")
    @click.argument("path", type=TOML_PATH)
    @other_option
    @admin_options
    def check(admin: AdminClient, path: Path, other_path: Path | None, as_json: bool) -> None:
        """Check a file against the current configuration without applying it.

        Also reports changes that are unsafe to apply. Exit code 1 if there are errors.
        """
        documents = read_documents(path, other_path)
        inventory, rules = documents.merged(admin.configuration())
        _report_findings(documents.with_line_numbers(admin.check(inventory, rules)), as_json)

    @group.command("diff")
    @click.argument("path", type=TOML_PATH)
    @other_option
    @admin_options
    def diff(admin: AdminClient, path: Path, other_path: Path | None, as_json: bool) -> None:
        """Show what applying a file would change. Exit code 1 if the file has errors."""
        documents = read_documents(path, other_path)
        current = admin.configuration()
        checked = check_documents(*documents.merged(current))
        edited = checked.to_configuration()
        if edited is None:
            raise FindingsError(documents.with_line_numbers(checked.findings))
        changes = [
            *iter_differences(current["inventory"], inventory_to_json(edited)),
            *iter_differences(current["rules"], rules_to_json(edited)),
        ]
        rows = [difference.to_json() for difference in changes]
        if as_json:
            print_json({"revision": current["revision"], "differences": rows})
        elif rows:
            print_table(("kind", "collection", "id", "detail"), rows)
        else:
            click.echo(f"no differences from revision {current['revision']}")

    @group.command("apply")
    @click.argument("path", type=TOML_PATH)
    @other_option
    @option(
        "--revision",
        envvar="REVISION",
        type=click.IntRange(0),
        help="Revision that the edit is based on; default: the line '# revision: N' of the file.",
    )
    @option(
        "--overwrite",
        envvar="OVERWRITE",
        is_flag=True,
        help="Base the edit on the current revision, overwriting changes made by others.",
    )
    @admin_options
    def apply(
        admin: AdminClient,
        path: Path,
        other_path: Path | None,
        revision: int | None,
        overwrite: bool,
        as_json: bool,
    ) -> None:
        """Apply a file. Callers' keys, and the other document unless given, are not changed.

        The edit is rejected with exit code 3 if another operator has changed the configuration in
        the meantime, and with exit code 1 if there are errors. The line '# revision: N' of the
        file, if any, is updated.
        """
        documents = read_documents(path, other_path)
        current = admin.configuration()
        base = current["revision"] if overwrite else revision
        if base is None:
            base = documents.base_revision()
        if base is None:
            if current["inventory"].get("vms"):
                raise click.UsageError(
                    f"{path} has no line '# revision: N'; pass --revision (current revision: "
                    f"{current['revision']}) or --overwrite"
                )
            base = current["revision"]
        inventory, rules = documents.merged(current)
        try:
            new_revision, warnings = admin.apply(inventory, rules, base)
        except FindingsError as error:
            raise FindingsError(documents.with_line_numbers(error.findings)) from error
        documents.update_revision_lines(new_revision)
        if as_json:
            rows = [finding.to_json() for finding in documents.with_line_numbers(warnings)]
            print_json({"revision": new_revision, "findings": rows})
        else:
            print_findings(documents.with_line_numbers(warnings), as_json)
            click.echo(f"accepted as revision {new_revision}")

    @group.command("show")
    @option("--toml", "as_toml", envvar="TOML", is_flag=True, help="Print TOML to edit and apply.")
    @admin_options
    def show(admin: AdminClient, as_toml: bool, as_json: bool) -> None:
        """Show the current document."""
        current = admin.configuration()
        if as_toml:
            click.echo(to_toml(current[name], current["revision"]), nl=False)
        elif as_json:
            print_json({"revision": current["revision"], name: current[name]})
        else:
            print_document({"revision": current["revision"], **current[name]})

    return group


def _report_findings(findings: tuple[Finding, ...], as_json: bool) -> None:
    print_findings(findings, as_json)
    if not findings and not as_json:
        click.echo("no findings")
    if has_errors(findings):
        raise click.exceptions.Exit(ExitCode.FINDINGS)
