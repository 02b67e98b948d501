"""Command that checks a platform configuration before it is sent."""

from pathlib import Path

import click

from ..configuration import Finding, has_errors
from ..platform import check_configuration, check_version, comparable_document
from ._diff import iter_differences
from ._exceptions import ExitCode
from ._options import json_option, option
from ._output import print_findings, print_json

JSON_PATH = click.Path(exists=True, dir_okay=False, readable=True, path_type=Path)


@click.command("check")
@click.argument("path", type=JSON_PATH)
@option(
    "--against",
    envvar="AGAINST",
    type=JSON_PATH,
    help="File with the configuration in force, to list what differs from it.",
)
@option("--strict", envvar="STRICT", is_flag=True, help="Exit with 1 for warnings too.")
@json_option
def check(path: Path, against: Path | None, strict: bool, as_json: bool) -> None:
    """Check a configuration of the platform before it is sent.

    Lists errors, entries that can never match, limits that contradict each other, and what differs
    from the configuration in force. Reads files only. Exit code 1 if there are errors.
    """
    value = path.read_bytes()
    findings = check_configuration(value)
    differences = []
    if against is not None and not has_errors(findings):
        in_force = against.read_bytes()
        if has_errors(check_configuration(in_force)):
            raise click.BadParameter("has errors itself, check it first", param_hint="--against")
        findings += tuple(check_version(value, in_force))
        old, new = comparable_document(in_force), comparable_document(value)
        differences = list(iter_differences(old, new))
    if as_json:
        print_json(
            {
                "findings": [finding.to_json() for finding in findings],
                "differences": [difference.to_json() for difference in differences],
            }
        )
    else:
        print_findings(findings, as_json=False)
        for difference in differences:
            detail = f": {difference.detail}" if difference.detail else ""
            click.echo(f"{difference.kind} {difference.collection} {difference.id}{detail}")
    if _is_rejected(findings, strict):
        click.get_current_context().exit(int(ExitCode.FINDINGS))


def _is_rejected(findings: tuple[Finding, ...], strict: bool) -> bool:
    return has_errors(findings) or (strict and bool(findings))
