"""Checks of an entry process's settings."""

import pytest
from click.testing import CliRunner

from mangosaddle.cli import ExitCode, main
from mangosaddle.daemon import EntrySettings

GOOD = {
    "MANGOSADDLE_VM": "addis-1",
    "MANGOSADDLE_REGION": "addis",
    "MANGOSADDLE_ZONE": "addis-a",
    "MANGOSADDLE_ADDRESS": "127.0.1.1",
    "MANGOSADDLE_PORT": "8080",
    "MANGOSADDLE_PEER_PORT": "8090",
    "MANGOSADDLE_FLEET": "authority",
    "MANGOSADDLE_STORE_URL": "http://127.0.0.1:8500",
    "MANGOSADDLE_VM_LIST_URL": "http://127.0.0.1:8600",
    "MANGOSADDLE_PEER_SECRET": "peer-secret-of-the-test",
    "MANGOSADDLE_OPERATOR_TOKEN": "operator-token-of-the-test",
}


def test_good_settings_are_taken_and_do_not_show_secrets() -> None:
    """Guards against a secret in a log line that prints the settings."""
    peers = {"MANGOSADDLE_PEERS": "addis-2=ws://127.0.1.2:8090,gondar-1=ws://127.0.1.3:8090"}
    settings = EntrySettings.from_environment({**GOOD, **peers}).unwrap()
    assert sorted(settings.peer_urls_by_vm) == ["addis-2", "gondar-1"]
    assert "of-the-test" not in repr(settings)


@pytest.mark.parametrize(
    ("changes", "places"),
    [
        ({"MANGOSADDLE_VM": ""}, {"VM"}),
        ({"MANGOSADDLE_PORT": "http", "MANGOSADDLE_ADDRESS": "addis"}, {"PORT", "ADDRESS"}),
        (
            {"MANGOSADDLE_PORT": "70000", "MANGOSADDLE_PEER_SECRET": "short"},
            {"PORT", "PEER_SECRET"},
        ),
        ({"MANGOSADDLE_STORE_URL": "store:8500", "MANGOSADDLE_PEERS": "x"}, {"STORE_URL", "PEERS"}),
        ({"MANGOSADDLE_LOG_LEVEL": "LOUD"}, {"LOG_LEVEL"}),
        (dict.fromkeys(GOOD, ""), {name.removeprefix("MANGOSADDLE_") for name in GOOD}),
    ],
)
def test_all_faults_are_reported_at_once(changes: dict[str, str], places: set[str]) -> None:
    """Guards against an operator who mends one setting only to be told of the next."""
    findings = EntrySettings.from_environment({**GOOD, **changes}).failure()
    assert {finding.place for finding in findings} == {f"MANGOSADDLE_{name}" for name in places}


def test_the_command_names_every_fault_and_no_secret() -> None:
    """Guards against a process that starts with bad settings or prints a secret."""
    bad = {**GOOD, "MANGOSADDLE_PEER_SECRET": "short-secret", "MANGOSADDLE_PORT": "-1"}
    result = CliRunner().invoke(main, ["entry"], env=bad)
    assert result.exit_code == ExitCode.USAGE
    assert "MANGOSADDLE_PEER_SECRET" in result.output
    assert "MANGOSADDLE_PORT" in result.output
    assert "short-secret" not in result.output
