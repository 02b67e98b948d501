"""Assembles, configures and runs one entry process."""

from ._node import EntryNode
from ._order_plan import OrderTimings
from ._run import configure_logging, run_entry
from ._settings import ENVIRONMENT_PREFIX, EntrySettings, SettingFinding, SettingsDocument

__all__ = [
    "ENVIRONMENT_PREFIX",
    "EntryNode",
    "EntrySettings",
    "OrderTimings",
    "SettingFinding",
    "SettingsDocument",
    "configure_logging",
    "run_entry",
]
