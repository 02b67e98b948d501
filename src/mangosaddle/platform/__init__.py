"""Adapter for the users' platform: translates its names and formats; contains no policy."""

from ._configuration_check import check_configuration, check_version, comparable_document
from ._run import create_adapter, main
from ._settings import load_settings, parse_settings
from ._store import PlatformStore

__all__ = [
    "PlatformStore",
    "check_configuration",
    "check_version",
    "comparable_document",
    "create_adapter",
    "load_settings",
    "main",
    "parse_settings",
]
