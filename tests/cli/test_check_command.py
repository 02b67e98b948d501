"""Command that checks a platform configuration before it is sent."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from mangosaddle.cli import ExitCode, main

ROUTE = {"host": "api.example", "prefix": "/", "kind": "safe", "service": "web"}
IN_FORCE = {"version": 7, "routes": [ROUTE], "services": [{"name": "web"}]}
CHANGED = {**IN_FORCE, "version": 8, "routes": [{**ROUTE, "attempts": 2}]}
DOUBTFUL = {**CHANGED, "services": [{"name": "web"}, {"name": "unused"}]}
HIDDEN = {**CHANGED, "routes": [ROUTE, ROUTE]}


def _check(folder: Path, new: object, *options: str) -> Result:
    """Run the command on a file, with the configuration in force in another one."""
    path, in_force = folder / "new.json", folder / "in-force.json"
    path.write_text(json.dumps(new))
    in_force.write_text(json.dumps(IN_FORCE))
    arguments = ["check", str(path), "--against", str(in_force), *options]
    return CliRunner().invoke(main, arguments)


@pytest.mark.parametrize(
    ("new", "options", "code"),
    [
        (CHANGED, (), ExitCode.OK),
        (DOUBTFUL, (), ExitCode.OK),
        (DOUBTFUL, ("--strict",), ExitCode.FINDINGS),
        (HIDDEN, (), ExitCode.FINDINGS),
        (HIDDEN, ("--json",), ExitCode.FINDINGS),
    ],
)
def test_the_exit_code_tells_whether_the_file_may_be_sent(
    tmp_path: Path, new: object, options: tuple[str, ...], code: ExitCode
) -> None:
    """Guards against a script that sends a configuration with errors."""
    assert _check(tmp_path, new, *options).exit_code == code


def test_differences_are_printed(tmp_path: Path) -> None:
    """Guards against a change that its author did not mean to make."""
    assert _check(tmp_path, CHANGED).output == (
        "changed routes api.example/: attempts: 1 -> 2\nchanged version version: value: 7 -> 8\n"
    )


def test_json_has_findings_and_differences(tmp_path: Path) -> None:
    """Guards against output that a script has to read as text."""
    output = json.loads(_check(tmp_path, DOUBTFUL, "--json").output)
    assert [finding["place"] for finding in output["findings"]] == ["services.1"]
    assert [row["collection"] for row in output["differences"]] == [
        "routes",
        "services",
        "version",
    ]
