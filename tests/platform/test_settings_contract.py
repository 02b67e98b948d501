"""Decoding and validation of the platform's settings file."""

from pathlib import Path

import pytest
from returns.result import Failure, Success

from mangosaddle.platform import load_settings, parse_settings

VALID_SETTINGS = """
node_name = "front-a-1"
ip = "10.1.0.25"
zone = "east-a"
region = "east"
internal_ports = [7600, 7615]
bootstrap = true
unknown_field = 3
[zones]
east-a = "east"
[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
directory = "10.1.0.25:8220"
[bounds]
drain_ms = 5000
quota_slack = 110000
[platform]
address = "10.200.1.7:8225"
"""


def test_a_settings_file_is_decoded() -> None:
    """Guards against mixed-up fields; unknown fields are ignored."""
    loaded = parse_settings("boot.toml", VALID_SETTINGS)
    assert isinstance(loaded, Success)
    settings = loaded.unwrap()
    assert (settings.vm, settings.region, settings.zone) == ("front-a-1", "east", "east-a")
    assert settings.front == ("10.1.0.25", 8221)
    assert (settings.peer_port, settings.metrics_port) == (7600, 7601)
    assert settings.store == ("10.200.1.7", 8225)
    assert settings.first_start
    assert settings.bounds.drain_s == 5.0
    assert settings.bounds.allowance_slack == 110_000
    assert settings.bounds.grace_s == 8.0


@pytest.mark.parametrize(
    ("old", "new", "places"),
    [
        ('node_name = "front-a-1"\n', "", ["node_name"]),
        ("[7600, 7615]", "[7600, 7600]", ["internal_ports"]),
        ('front = "10.1.0.25:8221"', 'front = "10.1.0.25"', ["listen.front"]),
        ('ready = "10.1.0.25:8224"', 'ready = "x:y"', ["listen.ready"]),
        ("drain_ms = 5000", 'drain_ms = "soon"', ["bounds.drain_ms"]),
        ('zone = "east-a"\n', 'zone = "west-a"\n', ["zone"]),
        ('address = "10.200.1.7:8225"', "", ["platform.address"]),
        ("bootstrap = true", "bootstrap = ", [""]),
    ],
)
def test_an_invalid_setting_is_reported_with_its_place(
    old: str, new: str, places: list[str]
) -> None:
    """Guards against a process that starts with guessed settings."""
    assert old in VALID_SETTINGS
    loaded = parse_settings("boot.toml", VALID_SETTINGS.replace(old, new))
    assert isinstance(loaded, Failure)
    assert [finding.place for finding in loaded.failure()] == places


def test_all_errors_are_reported_together() -> None:
    """Guards against an operator who learns of only one error per start."""
    text = VALID_SETTINGS.replace("10.1.0.25:8221", "x").replace("10.200.1.7:8225", "y")
    loaded = parse_settings("boot.toml", text, log_level="LOUD")
    assert isinstance(loaded, Failure)
    places = [finding.place for finding in loaded.failure()]
    assert places == ["MANGOSADDLE_LOG_LEVEL", "listen.front", "platform.address"]


def test_a_missing_file_or_variable_is_reported(tmp_path: Path) -> None:
    """Guards against a traceback instead of an error message."""
    missing = load_settings({})
    unreadable = load_settings({"MANGOSADDLE_CONFIG": str(tmp_path / "none.toml")})
    assert isinstance(missing, Failure)
    assert isinstance(unreadable, Failure)
    assert missing.failure()[0].place == "MANGOSADDLE_CONFIG"
