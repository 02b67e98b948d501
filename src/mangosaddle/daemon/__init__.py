"""Assembly of one entry process."""

from ._node import EntryNode
from ._settings import EntrySettings, SettingFinding

__all__ = ["EntryNode", "EntrySettings", "SettingFinding"]
