"""Tests of the settings of an entry process."""

import pytest
from click.testing import CliRunner

from mangosaddle.cli import ExitCode, main
from mangosaddle.daemon import EntrySettings

VALID_ENVIRONMENT = {
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


def test_valid_settings_are_accepted_and_their_repr_hides_secrets() -> None:
    """Guards against secrets in log lines that contain the settings."""
    peers = {"MANGOSADDLE_PEERS": "addis-2=ws://127.0.1.2:8090,gondar-1=ws://127.0.1.3:8090"}
    settings = EntrySettings.from_environment({**VALID_ENVIRONMENT, **peers}).unwrap()
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
        (
            dict.fromkeys(VALID_ENVIRONMENT, ""),
            {name.removeprefix("MANGOSADDLE_") for name in VALID_ENVIRONMENT},
        ),
    ],
)
def test_all_invalid_settings_are_reported_at_once(
    changes: dict[str, str], places: set[str]
) -> None:
    """Guards against reporting invalid settings one at a time."""
    findings = EntrySettings.from_environment({**VALID_ENVIRONMENT, **changes}).failure()
    assert {finding.place for finding in findings} == {f"MANGOSADDLE_{name}" for name in places}


def test_the_entry_command_reports_invalid_settings_without_secrets() -> None:
    """Guards against a process that starts with invalid settings or prints a secret."""
    bad = {**VALID_ENVIRONMENT, "MANGOSADDLE_PEER_SECRET": "short-secret", "MANGOSADDLE_PORT": "-1"}
    result = CliRunner().invoke(main, ["entry"], env=bad)
    assert result.exit_code == ExitCode.USAGE
    assert "MANGOSADDLE_PEER_SECRET" in result.output
    assert "MANGOSADDLE_PORT" in result.output
    assert "short-secret" not in result.output
